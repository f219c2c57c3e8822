package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/tidwall/gjson"
	"go.uber.org/zap"

	"ravenlink/internal/routing"
	"ravenlink/internal/transport"
)

const (
	toldAnyway = 6 * time.Second // after a watch fell silent, by the operators' word
	margin     = 500 * time.Millisecond
)

const settings = `{"balancers":1,"machine_types":["m"],"zones":["z"],"classes":[{"name":"n","aim":2000,"deadline":8000,"group":"all",` +
	`"importance":1,"late_worth":0.5,"repeat":"once"}],"family_info":{"max_calls":20},"limits":{"most_held":4,"send_cap":6},` +
	`"rules":{"start_capacity":0.2,"warm_within":1000,"overload_factor":2}}`

// deeds of an agent at one call.
const (
	answers   = "answers"
	falls     = "answers, then falls silent"
	hangs     = "takes the call and says nothing"
	neverUp   = "does not take the call"
	refuses   = "refuses the call"
	mostCalls = 9
)

// agentOf plays an agent's deeds, the last one for ever, in the time of a test bubble. It tells how long after it fell silent it
// was called when it answers.
func agentOf(t *testing.T, asked bool, deeds ...string) time.Duration {
	var fell, told atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	router := routing.New(1, gjson.Parse(settings), func() int64 { return time.Now().UnixMicro() }, func(string) {}, func(string) {})
	d := NewDiscovery(zap.NewNop(), router, NewAgent("agent"), time.Second, asked)
	d.Asked() // once: a watch that fell silent is nobody's to ask for
	calls := 0
	d.dial = func(ctx context.Context, _ string, within time.Duration) (*transport.Conn, error) {
		deed := deeds[min(calls, len(deeds)-1)]
		calls++
		switch deed {
		case refuses:
			return nil, errors.New("refused")
		case neverUp:
			time.Sleep(within)
			return nil, errors.New("not up in time")
		}
		ours, theirs := net.Pipe()
		context.AfterFunc(ctx, func() { _ = ours.Close(); _ = theirs.Close() })
		go func() {
			_, err := http.ReadRequest(bufio.NewReader(theirs))
			if err != nil || deed == hangs {
				return
			}
			if deed == answers {
				told.Store(time.Now().UnixNano())
				defer cancel()
			}
			list := "{\n\"revision\":2,\n\"members\":[]}\n"
			fmt.Fprintf(theirs, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list)
			if deed == falls {
				fell.Store(time.Now().UnixNano())
			}
		}()
		return transport.Over(ours), nil
	}
	d.Run(ctx)
	synctest.Wait()
	assert.LessOrEqual(t, calls, mostCalls)
	return time.Duration(told.Load() - fell.Load())
}

// The first call to open a silent watch anew may come to nothing. What the agent holds has to be here before it counts as told.
func TestSilentWatchIsOpenedAnewInTime(t *testing.T) {
	for _, first := range []string{answers, hangs, neverUp, refuses} {
		t.Run(first, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.Less(t, agentOf(t, false, falls, first, answers), toldAnyway-margin)
			})
		})
	}
}

// Where lists are asked for, the module's wait after a failed call is too long for a watch that was up.
func TestSilentWatchThatWasAskedForIsOpenedAnewInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Less(t, agentOf(t, true, falls, answers), toldAnyway-margin)
	})
}
