package daemon

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/kept"
)

// lateOutcome holds a leg's outcome back between its being read and its being recorded, as a machine without time for the process does.
type lateOutcome struct {
	until func()
	once  sync.Once
}

func (*lateOutcome) Came(int64)       {}
func (*lateOutcome) Began(int64)      {}
func (*lateOutcome) TurnedAway(int64) {}
func (*lateOutcome) Ended(int64)      {}
func (o *lateOutcome) Paused(int64)   { o.once.Do(o.until) }

// A message that may not run twice is refused by its receiver, so it surely never ran; but the refusal is recorded only after the message's
// deadline, by which it was told as failed. Seen in TestWhatFailedIsKeptSentAgainOnceAndItsStoryTold beside 24 busy processes: the end was
// told 58 ms behind the deadline with `"legs": [... {"NeverRan":false}]`, the leg's `"status": 503` was recorded 129 ms after that, and the
// message was held for a person: "it may have run, and its lane allows no repeat". The refusal counts whenever it is recorded.
func TestARefusalRecordedAfterTheDeadlineStillProvesThatAMessageNeverRan(t *testing.T) {
	t.Parallel()
	for name, when := range map[string]func(w *world){
		"before it is kept": func(w *world) {
			w.soon(func() bool { return w.deaf == 0 })
		},
		"after it is kept": func(w *world) {
			require.Eventually(w.t, func() bool {
				_, err := w.sender.keeper.Store().Get("a")
				return err == nil
			}, long, glimpse)
		},
		"after it is held": func(w *world) {
			require.Eventually(w.t, func() bool {
				r, err := w.sender.keeper.Store().Get("a")
				return err == nil && r.State == kept.Held
			}, long, glimpse)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for plays := 1; !refusedLate(t, when); plays++ {
				require.Less(t, plays, mostPlays, "the receiver was not called in any play")
			}
		})
	}
}

// mostPlays bounds how often a case is played: on a busy machine a leg may stand too long before its first byte, and is not sent.
const mostPlays = 5

// refusedLate plays a leg whose outcome is recorded late, and tells whether its receiver was called, so that it is a refusal.
func refusedLate(t *testing.T, when func(*world)) (called bool) {
	w := newWorld(t, func(id string, _ int, out http.ResponseWriter) {
		if id == "a" {
			out.WriteHeader(503)
		}
	})
	w.keeps(sendSoon)
	w.deaf = 3
	w.before = func(p *Program) { p.engine.Watch = &lateOutcome{until: func() { when(w) }} }
	stop := w.start()
	require.Equal(t, "+OK", w.dial().say(handIn("a", "c=once,d=1200,dest=7", "a body")))
	w.soon(func() bool { return w.notices["a"] == "failed" }, "its deadline passed with the leg out")
	w.soon(func() bool { return w.calls["a-r1"] == 1 })
	stop()
	a := w.kept()["a"]
	require.NotNil(t, a)
	assert.False(t, a.MayHaveRun())
	require.Len(t, a.Legs, 1)
	assert.True(t, a.Legs[0].NeverRan)
	calls := w.called("a")
	if calls == 0 {
		assert.Equal(t, "not sent", a.Legs[0].Result)
		return false
	}
	assert.Equal(t, 1, calls)
	assert.Equal(t, "turned away", a.Legs[0].Result)
	return true
}
