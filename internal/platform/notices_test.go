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
	lostAfter = 300 * time.Millisecond // from a message's deadline
	endsAhead = 10 * time.Millisecond  // of its deadline
)

// platformOf plays a platform in the place of the pool, in the time of a test bubble: to each post its answer, the last one for ever.
// What is no answer at all hangs. It takes in lines as JSON, and answers 400 to a post that holds one which is none or is marked bad.
func platformOf(t *testing.T, told map[string]int, answers ...string) func(context.Context, string, string, time.Duration, transport.Exchange) transport.Stage {
	posts := 0
	return func(ctx context.Context, _, _ string, patience time.Duration, x transport.Exchange) transport.Stage {
		answer := answers[min(posts, len(answers)-1)]
		posts++
		var out bytes.Buffer
		w := bufio.NewWriter(&out)
		require.NoError(t, x.Write(w, false))
		require.NoError(t, w.Flush())
		in, err := http.ReadRequest(bufio.NewReader(&out))
		require.NoError(t, err)
		body, err := io.ReadAll(in.Body)
		require.NoError(t, err)
		if answer == "" {
			time.Sleep(patience)
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
				told[id]++
			}
		}
		_, err = x.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 "+answer+"\r\nContent-Length: 0\r\n\r\n")), transport.Reading{Told: func() {}})
		require.NoError(t, err)
		return transport.Done
	}
}

// tell has notices told, and gives what the platform heard, how long it took, and how many were over.
func tell(t *testing.T, ids []string, answers ...string) (told map[string]int, took time.Duration, over int) {
	told = map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		begun := time.Now()
		n := NewNotices(zap.NewNop(), NewAgent("agent"), time.Second, func(us []relay.Undelivered) {
			if over += len(us); over == len(ids) {
				took = time.Since(begun)
				cancel()
			}
		})
		n.do = platformOf(t, told, answers...)
		for _, id := range ids {
			n.Undelivered(relay.Undelivered{Msg: &spool.Message{ID: id}})
		}
		n.Run(ctx)
	})
	return told, took, over
}

// A message ends just before its time is up, and its notice may meet a connection that has died, or a platform that is not well.
func TestNoticeIsToldBeforeItsMessageIsLost(t *testing.T) {
	for _, answers := range [][]string{
		{"", "204 OK"},
		{"", "", "204 OK"},
		{"500 Oh", "500 Oh", "500 Oh", "204 OK"},
		{"503 Busy", "", "204 OK"},
	} {
		told, took, _ := tell(t, []string{"a"}, answers...)
		assert.Equal(t, map[string]int{"a": 1}, told, "%q", answers)
		assert.Less(t, took, lostAfter+endsAhead, "%q", answers)
	}
}

// A platform that needs longer than it should is waited for in the end, and asked less and less often.
func TestSlowPlatformIsAskedWithMorePatience(t *testing.T) {
	hung := make([]string, 9)
	_, took, over := tell(t, []string{"a"}, append(hung, "204 OK")...)
	assert.Equal(t, 1, over)
	assert.Greater(t, took, 5*patienceMost)
}

func TestNoticeThatCannotBeReadKeepsNoOtherBack(t *testing.T) {
	want := map[string]int{`q"uo\te`: 1}
	ids := []string{`q"uo\te`}
	for i := range 450 {
		id := fmt.Sprint("m", i)
		ids, want[id] = append(ids, id), 1
		if i%149 == 0 {
			ids = append(ids, "bad")
		}
	}
	told, took, over := tell(t, ids, "204 OK")
	assert.Equal(t, want, told)
	assert.Equal(t, len(ids), over, "the bad ones too: no repeat would mend them")
	assert.Zero(t, took)
}
