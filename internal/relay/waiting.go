package relay

import (
	"sync"
	"time"

	"ravenlink/internal/spool"
)

// channelGrace is for which a channel may end a message itself once its time is up: it knows its position's fate and the advice.
const channelGrace = 50 * time.Millisecond

// waiting has the messages of channels that are not with the decisions, for their turn has not come. Each ends at its deadline whatever
// becomes of the part that orders them: its store may hang, or its state be lost.
type waiting struct {
	mu     sync.Mutex                     // a leaf
	timers map[*spool.Message]*time.Timer // as many as channels hold; emptied as turns come and messages end
}

// take tells whether a message waited, which it does no longer then: of several who would end it or take it up, one does.
func (w *waiting) take(m *spool.Message) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	timer := w.timers[m]
	if timer == nil {
		return false
	}
	timer.Stop()
	delete(w.timers, m)
	return true
}

func (w *waiting) add(m *spool.Message, left time.Duration, expire func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timers == nil {
		w.timers = map[*spool.Message]*time.Timer{}
	}
	w.timers[m] = time.AfterFunc(left, expire)
}

// Await has a message end at its deadline if it is neither resumed nor given up before. Its channel hears of that end as of any other.
func (e *Engine) Await(m *spool.Message) {
	left := time.Duration(m.Expires-e.clock.Now())*time.Microsecond + channelGrace
	e.waiting.add(m, left, func() { e.expire(m) })
}

// expire ends a message whose channel did not. Once no leg may start any more, what is left is the next process's. Danger: its channel writes no
// row from then on, and the next start would take the row of a message that ended for a delivery.
func (e *Engine) expire(m *spool.Message) {
	if e.picking.Err() != nil || !e.waiting.take(m) {
		return
	}
	mayRun := mayHaveRun(m)
	e.tell(&carried{msg: m}, !mayRun, 0)
	e.turns.Ended(m, false, mayRun)
}
