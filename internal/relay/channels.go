package relay

import (
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/recent"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// Channels takes in messages that name a channel, in the place of Take and Carry, and says when their turn has come.
type Channels interface {
	// HandIn decides on a message. What it takes on is on record when it returns, and no leg of it starts before Then.
	HandIn(m *spool.Message, lane int) Word
	// Gone says that a connection that used a channel has ended.
	Gone(channel string)
	Turns
}

// Word answers a hand-in of a channel: OK, else an error with its cause, else the client is to come back.
type Word struct {
	OK    bool
	Cause string
	Wait  int64  // µs
	Pos   int64  // last taken on; below 0 for not known here
	Then  func() // to be called once the client has its answer or surely never will; may be nil
}

// Turns is what an engine asks about messages of channels, and tells of them.
type Turns interface {
	// MayBegin is asked right before a leg's first byte.
	MayBegin(m *spool.Message) bool
	// Ended comes once for a message that Release set going, when it is over and no leg of it is out. MayRun: a leg may still
	// run at its receiver.
	Ended(m *spool.Message, delivered, mayRun bool)
	// Postponed comes in place of Ended for a message that MayBegin kept from beginning and that was not abandoned: its end is owed by whom
	// it is told to, and Resume sets it going again. MayRun as with Ended.
	Postponed(m *spool.Message, mayRun bool)
}

// Order names who is asked about messages of channels, and the longest that a leg of one may be out. It comes before any message.
func (e *Engine) Order(t Turns, most time.Duration) { e.turns, e.legMost = t, most }

// patience is that of a leg: a later owner of a channel waits no longer than for the longest one.
func (e *Engine) patience(m *spool.Message, p routing.Pick) time.Duration {
	if e.turns == nil || m.Channel == "" {
		return p.Patience
	}
	return min(p.Patience, e.legMost)
}

// Keep writes a message down whose turn has not come: its end is owed from then on. Nothing is sent before Resume. Errors as spool.Take.
func (e *Engine) Keep(m *spool.Message) error {
	if err := e.spool.Take(m); err != nil {
		return err
	}
	e.Tally.Taken.Add(1)
	e.Await(m)
	return nil
}

// GiveUp ends a message that waits for its turn, unless its deadline has: pushed back if no leg of it can have run, else failed.
func (e *Engine) GiveUp(m *spool.Message, advice int64) {
	if e.waiting.take(m) {
		e.End(m, advice)
	}
}

// End ends a message that nobody has taken up since the start, as GiveUp does.
func (e *Engine) End(m *spool.Message, advice int64) {
	e.tell(&carried{msg: m}, !mayHaveRun(m), advice)
}

// Abandon ends a message that is with the decisions, once no leg of it is out. If that leg delivers, it is delivered.
func (e *Engine) Abandon(id string, advice int64) {
	e.mu.Lock()
	c := e.held[id]
	now := c != nil && c.out == 0
	if c != nil {
		c.given, c.advice = true, advice
	}
	e.mu.Unlock()
	if now {
		e.router.Withdraw(id)
	}
}

func mayHaveRun(m *spool.Message) bool {
	for _, l := range m.Legs {
		if !l.NeverRan {
			return true
		}
	}
	return false
}

// over takes a message's end without a notice from the decisions: delivered, or given up. A leg may have been picked between a look that
// saw none out and the giving up: what it comes to counts, and its end brings this about again.
func (e *Engine) over(c *carried) {
	e.mu.Lock()
	given, advice, ran := c.given && !c.delivered, c.advice, c.ran
	c.late = given && c.out > 0
	late := c.late
	e.mu.Unlock()
	if late {
		return
	}
	if given {
		e.undelivered(c, !mayHaveRun(c.msg), advice)
		return
	}
	e.counts.ended(c.msg)
	if ran {
		e.remember(c.msg, recent.End{Delivered: true})
	}
	e.Over(c.msg)
	if e.Delivered != nil {
		e.Delivered(c.msg)
	}
	e.endTurn(c, true)
}

// endTurn tells the channel of a message that it is over, now or after the leg that is out.
func (e *Engine) endTurn(c *carried, delivered bool) {
	if e.turns == nil || c.msg.Channel == "" {
		return
	}
	e.mu.Lock()
	c.ended = true
	out := c.out
	e.mu.Unlock()
	if out == 0 {
		e.turns.Ended(c.msg, delivered, e.mayRun(c))
	}
}

// outcome notes what a leg came to, before the decisions hear of it.
func (e *Engine) outcome(c *carried, res routing.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.ran = c.ran || res == routing.Delivered
	c.delivered = c.delivered || res == routing.Delivered || res == routing.GoneThere
	c.running = c.running || res > routing.Errored
}

// legOver counts a leg in, and ends what waited for it.
func (e *Engine) legOver(c *carried) {
	e.mu.Lock()
	c.out--
	ended, late, given, goesBack, out := c.ended, c.late, c.given && !c.delivered, c.goesBack(), c.out
	e.mu.Unlock()
	switch {
	case out > 0:
	case late && goesBack:
		e.postpone(c)
	case late:
		e.over(c)
	case ended && e.turns != nil && c.msg.Channel != "":
		e.turns.Ended(c.msg, c.delivered, e.mayRun(c))
	case given:
		e.router.Withdraw(c.msg.ID)
	}
}

// postpone hands a message back whose turn was lost before a leg began. Danger: kept with the decisions it would use up its
// legs, one after another, and be pushed back with time left, though its sender has the channel again after a moment.
func (e *Engine) postpone(c *carried) {
	e.mu.Lock()
	c.late = c.out > 0
	late := c.late
	e.mu.Unlock()
	if late { // that leg's end brings this about again
		return
	}
	e.router.EndKnown(c.msg.ID)
	e.Await(c.msg)
	e.turns.Postponed(c.msg, e.mayRun(c))
}

// mayRun tells whether a leg may still run at its receiver: one that had no outcome, here or before a restart.
func (e *Engine) mayRun(c *carried) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.running
}

// goesBack tells whether a message is its channel's again once no leg of it is out. The engine's lock is held.
func (c *carried) goesBack() bool { return c.postponed && !c.given && !c.delivered }

func (e *Engine) isPostponed(c *carried) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.goesBack()
}

// begins is asked right before a leg's first byte. What was given up does not begin.
func (e *Engine) begins(c *carried) bool {
	e.mu.Lock()
	given := c.given
	e.mu.Unlock()
	m := c.msg
	if given {
		return false
	}
	if e.turns == nil || m.Channel == "" || e.turns.MayBegin(m) {
		return true
	}
	e.log.Debug("not its turn", zap.String("id", m.ID), zap.String("channel", m.Channel))
	e.mu.Lock()
	c.postponed = true
	e.mu.Unlock()
	return false
}
