package daemon

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/kept"
)

// delayedOutcome delays a leg's outcome between its receipt and its recording, as a busy machine can.
type delayedOutcome struct {
	until func()
	once  sync.Once
}

func (*delayedOutcome) MessageAccepted(int64) {}
func (*delayedOutcome) LegStarted(int64)      {}
func (*delayedOutcome) LegRefused(int64)      {}
func (*delayedOutcome) MessageEnded(int64)    {}
func (o *delayedOutcome) LegEnded(int64)      { o.once.Do(o.until) }

// A non-retriable message is refused by its receiver, which proves that it never ran, but the refusal is recorded only after the deadline, when
// the message was already reported as failed. Seen in TestFailedMessageIsStoredAndResentOnce beside 24 busy processes: the end was reported 58 ms
// after the deadline with `"legs": [... {"NeverRan":false}]`, the leg's `"status": 503` was recorded 129 ms later, and the message was held:
// "it may have run, and its lane allows no repeat". The refusal must count whenever it is recorded.
func TestRefusalRecordedAfterDeadlineProvesNeverRan(t *testing.T) {
	t.Parallel()
	for name, when := range map[string]func(w *testEnv){
		"before it is kept": func(w *testEnv) {
			w.eventually(func() bool { return w.rejectPosts == 0 })
		},
		"after it is kept": func(w *testEnv) {
			require.Eventually(w.t, func() bool {
				_, err := w.sender.resender.Store().Get("a")
				return err == nil
			}, testTimeout, testInterval)
		},
		"after it is held": func(w *testEnv) {
			require.Eventually(w.t, func() bool {
				r, err := w.sender.resender.Store().Get("a")
				return err == nil && r.State == kept.Held
			}, testTimeout, testInterval)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, func(id string, _ int, out http.ResponseWriter) {
				if id == "a" {
					out.WriteHeader(503)
				}
			})
			w.enableDeadLetters(resendSoon)
			w.rejectPosts = 3
			w.prepare = func(p *Program) { p.engine.Observer = &delayedOutcome{until: func() { when(w) }} }
			stop := w.start()
			require.Equal(t, "+OK", w.dial().send(handIn("a", "c=once,d=1200,dest=7", "a body")))
			w.eventually(func() bool { return w.notices["a"] == "failed" }, "its deadline passed with the leg out")
			w.eventually(func() bool { return w.calls["a-r1"] == 1 })
			stop()
			a := w.deadLetters()["a"]
			require.NotNil(t, a)
			assert.False(t, a.MayHaveRun())
			require.Len(t, a.Legs, 1)
			assert.True(t, a.Legs[0].NeverRan)
			assert.Equal(t, "turned away", a.Legs[0].Result)
		})
	}
}
