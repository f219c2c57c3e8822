package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
	"go.uber.org/zap"

	"ravenlink/internal/relay"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
	"ravenlink/internal/transport"
)

// script is a receiver that answers each call of each connection with texts of its own: script[connection][call]. "end" ends the connection,
// "hold" leaves a call unanswered.
type script [][]string

const (
	plain200  = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	plain503  = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	closes200 = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	closes503 = "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	waits1s   = "HTTP/1.1 429 Too Many\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// receive plays a script, and tells its address and how many connections have come.
func receive(t *testing.T, s script) (addr string, came *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	came = &atomic.Int64{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, calls := range s {
			c, err := l.Accept()
			if err != nil {
				return
			}
			came.Add(1)
			go playCalls(c, calls)
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String(), came
}

func playCalls(c net.Conn, calls []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, answer := range calls {
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, in.Body)
		_, _ = io.WriteString(c, strings.TrimSuffix(strings.TrimSuffix(answer, "end"), "hold"))
		if strings.HasSuffix(answer, "end") {
			return
		}
	}
	_, _ = io.Copy(io.Discard, c)
}

// router is one that knows a receiver at an address.
func router(addr string) *routing.Router {
	settings := gjson.Parse(`{"balancers":1,"discovery":"automatic","weight_source":"off","machine_types":["m"],"zones":["z"],
"classes":[{"name":"notice","aim":2000,"deadline":8000,"group":"all","importance":1,"late_worth":0.5,"repeat":"by_key","window":15000}],
"family_info":{"max_calls":20,"own_limits":[false],"batch_by_kind":[1],"late":"halves"},
"limits":{"most_held":200,"send_cap":6,"probes":true,"cancel":true,"retry_after":true,"max_retry_after":2000,"connect_timeout":1000,"conn_idle":5000},
"rules":{"start_capacity":0.2,"warm_within":1000,"overload_factor":2}}`)
	r := routing.New(1, settings, relay.NewClock().Now, func(string) {}, func(string) {})
	r.List([]routing.Listing{{ID: "s", Addr: addr, Zone: "z", Kind: "m", Dst: 7, Weight: 1, Listed: true}}, true, false)
	return r
}

func TestCallOnAUsedConnectionTakesNoAnswerButItsOwn(t *testing.T) {
	for name, c := range map[string]struct {
		script  script
		want    []routing.Result
		foreign int64
		conns   int64
	}{
		"a copy of a delivery before a refusal":  {script{{plain200, plain200 + closes503 + "end"}}, []routing.Result{routing.Delivered, routing.TurnedAway}, 1, 1},
		"a copy of a refusal before a delivery":  {script{{plain503, plain503 + closes200 + "end"}}, []routing.Result{routing.TurnedAway, routing.Delivered}, 1, 1},
		"a copy that says close":                 {script{{plain200, closes200 + closes503 + "end"}}, []routing.Result{routing.Delivered, routing.TurnedAway}, 1, 1},
		"a copy alone, and the end":              {script{{plain200, plain200 + "end"}}, []routing.Result{routing.Delivered, routing.Reset}, 1, 1},
		"a copy of a refusal alone, and the end": {script{{plain503, plain503 + "end"}}, []routing.Result{routing.TurnedAway, routing.Reset}, 1, 1},
		"a refusal that says close, as asked":    {script{{plain200, closes503 + "end"}}, []routing.Result{routing.Delivered, routing.TurnedAway}, 0, 1},
		"a new connection's refusal that does":   {script{{closes503 + "end"}}, []routing.Result{routing.NotConnected}, 0, 1},
		"a receiver that does not say close": {script{{plain200, plain200 + "end"}, {plain200, plain200 + "end"}, {plain200, plain200 + "end"}, {plain200, plain200}, {plain200}},
			[]routing.Result{routing.Delivered, routing.Reset, routing.Delivered, routing.Reset, routing.Delivered, routing.Reset, routing.Delivered, routing.Delivered}, 3, 5},
		"one that does not close": {script{{plain200, closes200 + "hold"}, {plain200, closes200 + "hold"}, {plain200, closes200 + "hold"}, {plain200, plain200}, {plain200}},
			[]routing.Result{routing.Delivered, routing.TimedOut, routing.Delivered, routing.TimedOut, routing.Delivered, routing.TimedOut, routing.Delivered, routing.Delivered}, 3, 5},
		"a body that never ends":             {script{{plain200, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabhold"}}, []routing.Result{routing.Delivered, routing.Delivered}, 0, 1},
		"a body of a length that never ends": {script{{plain200, "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 9\r\n\r\nabhold"}}, []routing.Result{routing.Delivered, routing.TurnedAway}, 0, 1},
		"a single one that is torn": {script{{plain200, plain200 + "end"}, {plain200, closes200 + "end"}},
			[]routing.Result{routing.Delivered, routing.Reset, routing.Delivered, routing.Delivered}, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, came := receive(t, c.script)
			pool := transport.NewPool(time.Second, long, 9)
			defer pool.Close()
			calls := NewCalls(pool, relay.NewClock(), router(addr), false)
			yes := func() bool { return true }
			var got []routing.Result
			for i := range c.want {
				begun := time.Now()
				j := calls.Carry(context.Background(), relay.Leg{Msg: &spool.Message{ID: fmt.Sprint(i)}, Patience: shortly, Ready: yes, Still: yes,
					To: routing.Receiver{ID: "s", Addr: addr}})
				got = append(got, j.Result)
				assert.True(t, j.Result == routing.TimedOut || time.Since(begun) < shortly/2, "what has come decides at once")
			}
			assert.Equal(t, c.want, got)
			assert.Equal(t, c.foreign, calls.Foreign.Load())
			assert.Equal(t, c.conns, came.Load())
		})
	}
}

func TestCopiedAnswerOfThePlatformEndsNoNotice(t *testing.T) {
	const plain204, closes503Own = "HTTP/1.1 204 No\r\n\r\n", closes503 + "end"
	addr, came := receive(t, script{{plain204, plain204 + closes503Own}, {plain204}})
	told := make(chan string, 2)
	n := NewNotices(zap.NewNop(), NewAgent(addr), time.Second, func(us []relay.Undelivered) {
		for _, u := range us {
			told <- fmt.Sprintf("%s on connection %d", u.Msg.ID, came.Load())
		}
	})
	defer n.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { n.Run(ctx) })
	defer run.Wait()
	defer cancel()
	for _, want := range []string{"a on connection 1", "b on connection 2"} {
		n.Undelivered(relay.Undelivered{Msg: &spool.Message{ID: want[:1]}})
		assert.Equal(t, want, <-told)
	}
	assert.EqualValues(t, 1, n.Foreign.Load())
}
