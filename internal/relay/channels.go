package relay

import (
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// Channels accepts messages that name a channel, in place of Accept and Deliver, and decides when their turn has come.
type Channels interface {
	// HandIn decides on a message. An accepted message is recorded when HandIn returns, and no leg of it starts before
	// OnAnswered.
	HandIn(m *spool.Message, class int) HandInResult
	// ConnectionClosed reports that a connection that used a channel was closed.
	ConnectionClosed(channel string)
	Sequencer
}

// HandInResult is the result of a hand-in to a channel: OK, else an error with its cause, else the client is to retry.
type HandInResult struct {
	OK         bool
	Cause      string
	RetryAfter int64  // µs
	Pos        int64  // last accepted position; negative if not known here
	OnAnswered func() // to be called once the client has received its answer or certainly never will; may be nil
}

// Sequencer decides when messages of channels may start, and is notified of their ends.
type Sequencer interface {
	// MayBegin is called right before the first byte of a leg.
	MayBegin(m *spool.Message) bool
	// Ended is called once for a message that Resume started, when it is over and no leg of it is in flight. mayRun: a leg may
	// still run at its receiver.
	Ended(m *spool.Message, delivered, mayRun bool)
	// Postponed is called in place of Ended for a message that MayBegin kept from starting and that was not abandoned: its end
	// stays with the sequencer, and Resume starts it again. mayRun as for Ended.
	Postponed(m *spool.Message, mayRun bool)
}

// SetSequencer sets the sequencer and the maximum timeout of a leg of a channel. It must be called before any message is
// accepted.
func (e *Engine) SetSequencer(t Sequencer, most time.Duration) {
	e.sequencer, e.maxLegTimeout = t, most
}

// legTimeout returns the timeout of a leg. For a channel it is bounded, because a later owner of the channel waits only that
// long for outstanding legs.
func (e *Engine) legTimeout(m *spool.Message, d routing.Decision) time.Duration {
	if e.sequencer == nil || m.Channel == "" {
		return d.Timeout
	}
	return min(d.Timeout, e.maxLegTimeout)
}

// Store records a message whose turn has not come: its end is due from then on. Nothing is sent before Resume.
func (e *Engine) Store(m *spool.Message) error {
	if err := e.spool.Accept(m); err != nil {
		return err
	}
	e.Stats.Accepted.Add(1)
	return nil
}

// IsActive reports whether a message is with the decision module.
func (e *Engine) IsActive(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active[id] != nil
}

// AbandonStored ends a message that was stored and not resumed: rejected if no leg of it can have run, else failed.
func (e *Engine) AbandonStored(m *spool.Message, retryAfter int64) {
	e.endUndelivered(&delivery{msg: m}, !mayHaveRun(m), retryAfter)
}

// Abandon ends an active message once no leg of it is in flight. If that leg delivers, the message is delivered.
func (e *Engine) Abandon(id string, retryAfter int64) {
	e.mu.Lock()
	c := e.active[id]
	now := c != nil && c.legsOut == 0
	if c != nil {
		c.abandoned, c.retryAfter = true, retryAfter
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

// finish ends a message that the decision module completed: it was delivered or abandoned. A leg may have been chosen between
// the check that found none in flight and the abandoning: its outcome counts, and its end calls finish again.
func (e *Engine) finish(c *delivery) {
	e.mu.Lock()
	abandoned, retryAfter := c.abandoned && !c.delivered, c.retryAfter
	c.endDeferred = abandoned && c.legsOut > 0
	endDeferred := c.endDeferred
	e.mu.Unlock()
	if endDeferred {
		return
	}
	if abandoned {
		e.undelivered(c, !mayHaveRun(c.msg), retryAfter)
		return
	}
	e.endCounters.ended(c.msg)
	e.Complete(c.msg)
	if e.OnDelivered != nil {
		e.OnDelivered(c.msg.ID)
	}
	e.notifySequencer(c, true)
}

// notifySequencer reports the end of a message to its channel, now or after the leg in flight.
func (e *Engine) notifySequencer(c *delivery, delivered bool) {
	if e.sequencer == nil || c.msg.Channel == "" {
		return
	}
	e.mu.Lock()
	c.ended = true
	legsOut := c.legsOut
	e.mu.Unlock()
	if legsOut == 0 {
		e.sequencer.Ended(c.msg, delivered, e.mayStillRun(c))
	}
}

// addResult records the result of a leg, before the decision module is told of it.
func (e *Engine) addResult(c *delivery, res routing.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.delivered = c.delivered || res == routing.Delivered || res == routing.Gone
	c.unresolved = c.unresolved || res > routing.Errored
}

// finishLeg counts a leg as ended, and ends what waited for it.
func (e *Engine) finishLeg(c *delivery) {
	e.mu.Lock()
	c.legsOut--
	ended, endDeferred, abandoned, postponed, legsOut := c.ended, c.endDeferred, c.abandoned && !c.delivered, c.isPostponed(), c.legsOut
	e.mu.Unlock()
	switch {
	case legsOut > 0:
	case endDeferred && postponed:
		e.postpone(c)
	case endDeferred:
		e.finish(c)
	case ended && e.sequencer != nil && c.msg.Channel != "":
		e.sequencer.Ended(c.msg, c.delivered, e.mayStillRun(c))
	case abandoned:
		e.router.Withdraw(c.msg.ID)
	}
}

// postpone returns a message to its channel whose turn was lost before a leg started. Left with the decision module, it would
// use up its legs one after another and be rejected with time left, although its sender regains the channel after a moment.
func (e *Engine) postpone(c *delivery) {
	e.mu.Lock()
	c.endDeferred = c.legsOut > 0
	endDeferred := c.endDeferred
	e.mu.Unlock()
	if endDeferred { // the end of that leg calls postpone again
		return
	}
	e.router.EndReported(c.msg.ID)
	e.sequencer.Postponed(c.msg, e.mayStillRun(c))
}

// mayStillRun reports whether a leg may still run at its receiver: one without an outcome, in this process or before a restart.
func (e *Engine) mayStillRun(c *delivery) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.unresolved
}

// isPostponed reports whether a message goes back to its channel once no leg of it is in flight. The lock of the engine is held.
func (c *delivery) isPostponed() bool { return c.postponed && !c.abandoned && !c.delivered }

func (e *Engine) legPostponed(c *delivery) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.isPostponed()
}

// mayBegin is called right before the first byte of a leg. A leg of an abandoned message does not start.
func (e *Engine) mayBegin(c *delivery) bool {
	e.mu.Lock()
	abandoned := c.abandoned
	e.mu.Unlock()
	m := c.msg
	if abandoned {
		return false
	}
	if e.sequencer == nil || m.Channel == "" || e.sequencer.MayBegin(m) {
		return true
	}
	e.log.Debug("not its turn", zap.String("id", m.ID), zap.String("channel", m.Channel))
	e.mu.Lock()
	c.postponed = true
	e.mu.Unlock()
	return false
}
