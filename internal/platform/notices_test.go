package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"ravenlink/internal/relay"
	"ravenlink/internal/spool"
	"ravenlink/internal/transport"
)

const (
	lostAfter          = 300 * time.Millisecond // after a message's deadline
	endsBeforeDeadline = 10 * time.Millisecond  // before its deadline
)

// fakePlatform replaces the pool by a platform in a synctest bubble. It answers each post with the next of the
// answers, the last one repeatedly; an empty answer hangs. It parses the lines as JSON and answers 400 if one
// is invalid or has the id "bad".
func fakePlatform(t *testing.T, received map[string]int, answers ...string) func(context.Context, string, string, time.Duration, transport.Exchange) transport.Stage {
	posts := 0
	return func(ctx context.Context, _, _ string, timeout time.Duration, x transport.Exchange) transport.Stage {
		answer := answers[min(posts, len(answers)-1)]
		posts++
		var out bytes.Buffer
		w := bufio.NewWriter(&out)
		require.NoError(t, x.Write(w))
		require.NoError(t, w.Flush())
		in, err := http.ReadRequest(bufio.NewReader(&out))
		require.NoError(t, err)
		body, err := io.ReadAll(in.Body)
		require.NoError(t, err)
		if answer == "" {
			time.Sleep(timeout)
			return transport.TimedOut
		}
		var ids []string
		for line := range strings.Lines(string(body)) {
			var n struct{ ID string }
			if json.Unmarshal([]byte(line), &n) != nil || n.ID == "bad" {
				answer = "400 Bad Request"
			}
			ids = append(ids, n.ID)
		}
		if strings.HasPrefix(answer, "204") {
			for _, id := range ids {
				received[id]++
			}
		}
		_, err = x.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 "+answer+"\r\nContent-Length: 0\r\n\r\n")), func() {})
		require.NoError(t, err)
		return transport.Done
	}
}

// runNotices sends notices and returns what the platform received, how long it took, and how many were
// acknowledged.
func runNotices(t *testing.T, ids []string, answers ...string) (received map[string]int, took time.Duration, acknowledged int) {
	received = map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		started := time.Now()
		n := NewNotices(zap.NewNop(), NewAgent("agent"), time.Second, func(us []relay.Undelivered) {
			if acknowledged += len(us); acknowledged == len(ids) {
				took = time.Since(started)
				cancel()
			}
		})
		n.exchange = fakePlatform(t, received, answers...)
		for _, id := range ids {
			n.Undelivered(relay.Undelivered{Msg: &spool.Message{ID: id}})
		}
		n.Run(ctx)
	})
	return received, took, acknowledged
}

// A message ends just before its deadline, and its notice may meet a dead connection or a failing platform.
func TestNoticeIsDeliveredBeforeMessageIsLost(t *testing.T) {
	for _, answers := range [][]string{
		{"", "204 OK"},
		{"", "", "204 OK"},
		{"500 Oh", "500 Oh", "500 Oh", "204 OK"},
		{"503 Busy", "", "204 OK"},
	} {
		received, took, _ := runNotices(t, []string{"a"}, answers...)
		assert.Equal(t, map[string]int{"a": 1}, received, "%q", answers)
		assert.Less(t, took, lostAfter+endsBeforeDeadline, "%q", answers)
	}
}

// A slow platform gets longer timeouts in the end, and is asked less and less often.
func TestSlowPlatformGetsLongerTimeouts(t *testing.T) {
	hung := make([]string, 9)
	_, took, acknowledged := runNotices(t, []string{"a"}, append(hung, "204 OK")...)
	assert.Equal(t, 1, acknowledged)
	assert.Greater(t, took, 5*maxPostTimeout)
}

func TestInvalidNoticeDoesNotBlockOthers(t *testing.T) {
	want := map[string]int{`q"uo\te`: 1}
	ids := []string{`q"uo\te`}
	for i := range 450 {
		id := fmt.Sprint("m", i)
		ids, want[id] = append(ids, id), 1
		if i%149 == 0 {
			ids = append(ids, "bad")
		}
	}
	received, took, acknowledged := runNotices(t, ids, "204 OK")
	assert.Equal(t, want, received)
	assert.Equal(t, len(ids), acknowledged, "the bad ones too: no repeat would mend them")
	assert.Zero(t, took)
}
