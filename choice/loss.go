package choice

import (
	"math"
	"slices"
)

// Trouble on the way, told apart from trouble of receivers: lost calls, stale connections, calls called off.

const (
	overtakenLeast = 0.25        // of the target time; an overtaken leg is not called off sooner
	lossStep       = 0.03        // weight of the newest leg in the share of lost ones
	usualLoss      = 0.05        // share of lost legs up to which a row of them counts in full
	distrustFor    = 60 * second // µs: none trusted, where loss is common; new ones cost less
	staleRow       = 2           // legs lost in a row on idle connections from which none is trusted
	leastLate      = 3           // destinations overdue at once, at least, that mean trouble on the way
	lateShare      = 0.66        // of the destinations with calls out, likewise
)

// countLost keeps the share of legs lost at receivers that answered again: an outage, which shows as a row, does not count in it,
// loss on the way does. Danger: destinations that return together would pass for loss, and those still down for well. The connection that
// lost one is not used again.
func (s *Sender) countLost(r *receiver, o Outcome, row int) {
	switch o {
	case Delivered:
		if r.used().missed && row < badRow {
			s.loss += (1 - s.loss) * lossStep
		}
		r.missed = false
		s.loss -= s.loss * lossStep
	case TimedOut, Cancelled, Reset, ConnectFailed:
		r.used().missed = o != ConnectFailed
		s.host.CloseIdle(r.id)
		if s.weightOfSilence() < 1 {
			s.distrust = s.now + distrustFor
		}
	}
}

// countStale sees connections that die while idle: a row of legs lost on such. Danger: a thin sender sees a
// receiver too seldom to tell loss on the way by answers that come later.
func (s *Sender) countStale(c *call, o Outcome) {
	switch {
	case !c.onIdle:
	case o == Delivered:
		s.stale = 0
	case o == TimedOut || o == Reset || o == Cancelled:
		if s.stale++; s.stale >= staleRow {
			s.distrust = s.now + distrustFor
		}
	}
}

// weightOfSilence tells an outage from loss on the way. Danger: where calls get lost now and then, rows of
// lost ones are chance, and closing starves the well. A row weighs by how unlikely chance makes it.
func (s *Sender) weightOfSilence() float64 {
	return min(1, math.Log(s.loss)/math.Log(usualLoss))
}

// callOff guards against trouble on the way to everyone: with most destinations overdue at once, calls sit on
// dead connections. They are called off, no idle one is trusted. Done lately, what hangs is on new ones.
func (s *Sender) callOff() {
	var late []*dst
	for _, d := range s.busy {
		s.callOffOvertaken(d)
		sentAt := d.calls[0].sentAt
		if due := sentAt + int64(d.slowAfter()) + 1; due > s.now {
			s.wakeBy(d, due)
			continue
		}
		if d.sampled && !slices.ContainsFunc(d.recvs, func(r *receiver) bool { return r.okAt > sentAt }) {
			late = append(late, d)
		}
	}
	if !s.allowed.Cancel || s.now < s.distrust || len(late) < leastLate ||
		float64(len(late)) < lateShare*float64(len(s.busy)) {
		return
	}
	s.distrust = s.now + distrustFor
	for _, d := range late {
		for _, c := range d.calls {
			if c.overdue(s.now) {
				s.cancel(c)
			}
		}
	}
}

func (s *Sender) cancel(c *call) {
	for _, m := range c.msgs {
		s.host.Cancel(m.id, slices.IndexFunc(m.legs, func(l leg) bool { return l.call == c }))
	}
	c.off = true
}

// callOffOvertaken guards against answers lost on the way, seen as calls overtaken by far: until patience
// ends they hold the slots, and their messages. Only while loss is common, or slots or the cap are full.
func (s *Sender) callOffOvertaken(d *dst) {
	if !s.allowed.Cancel || !s.scarce() && len(d.calls) < s.slotCap(d) && s.weightOfSilence() >= 1 {
		return
	}
	for _, c := range d.calls {
		after := max(int64(d.mean+patienceVar*d.dev), int64(overtakenLeast*float64(c.msgs[0].lane.Target)))
		if due := c.sentAt + after; due > s.now {
			s.wakeBy(d, due)
		} else if !c.off && float64(c.r.okSent-c.sentAt) > d.slowAfter() && c.msgs[0].lane.Repeat != NonRetriable {
			s.cancel(c)
		}
	}
}

// refresh guards against connections that died while idle: only a new one helps. Done while loss is common.
func (s *Sender) refresh(r *receiver) {
	if r.calls == 0 && !s.hasIdle(r) && s.now < s.distrust {
		s.host.CloseIdle(r.id)
	}
}

// hasIdle tells whether a connection to a receiver stands idle that may be trusted.
func (s *Sender) hasIdle(r *receiver) bool {
	trusted := s.room.Idle
	if s.now < s.distrust {
		trusted = min(trusted, staleIdle)
	}
	return r.calls == 0 && r.usedAt > 0 && s.now-r.usedAt <= trusted
}
