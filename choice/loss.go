package choice

import (
	"math"
	"slices"
)

// Network faults, told apart from faults of receivers: lost calls, stale connections, cancellations.

const (
	minOvertakenShare = 0.25        // of the target time; an overtaken leg is not cancelled sooner
	lossStep          = 0.03        // weight of the newest leg in the share of lost legs
	usualLoss         = 0.05        // share of lost legs up to which consecutive losses count in full
	distrustFor       = 60 * second // µs without trust in idle connections where loss is common; new ones cost less
	minStaleLosses    = 2           // consecutive losses on idle connections after which none is trusted
	minLateDsts       = 3           // destinations overdue at once, at least, that mean a network fault
	lateShare         = 0.66        // of the destinations with calls out, likewise
)

// countLost updates the share of legs lost at receivers that answered again: network loss counts, an outage, which shows as consecutive losses,
// does not. Otherwise destinations that return together would pass for loss, and those still down for healthy. The connection that lost a leg is
// not reused.
func (s *Sender) countLost(r *receiver, o Outcome, row int) {
	switch o {
	case Delivered:
		if r.used().lostLeg && row < minFailureRow {
			s.loss += (1 - s.loss) * lossStep
		}
		r.lostLeg = false
		s.loss -= s.loss * lossStep
	case TimedOut, Cancelled, Reset, ConnectFailed:
		r.used().lostLeg = o != ConnectFailed
		s.host.CloseIdle(r.id)
		if s.weightOfSilence() < 1 {
			s.distrustIdleUntil = s.now + distrustFor
		}
	}
}

// countStale detects connections that die while idle by consecutive losses on them. A low-traffic sender calls a receiver too rarely to detect
// network loss by later successes.
func (s *Sender) countStale(c *call, o Outcome) {
	switch {
	case !c.onIdle:
	case o == Delivered:
		s.stale = 0
	case o == TimedOut || o == Reset || o == Cancelled:
		if s.stale++; s.stale >= minStaleLosses {
			s.distrustIdleUntil = s.now + distrustFor
		}
	}
}

// weightOfSilence tells an outage from network loss. Where calls get lost now and then consecutive losses are chance, and closing would starve
// healthy receivers. A row of losses is weighted by how unlikely chance makes it.
func (s *Sender) weightOfSilence() float64 {
	return min(1, math.Log(s.loss)/math.Log(usualLoss))
}

// cancelOverdue detects a network fault towards everyone: with most destinations overdue at once, their calls sit on dead connections. They are
// cancelled and no idle connection is trusted. Shortly after, hanging calls are on new connections and stay.
func (s *Sender) cancelOverdue() {
	var late []*dst
	for _, d := range s.busy {
		s.cancelOvertaken(d)
		sentAt := d.calls[0].sentAt
		if due := sentAt + int64(d.slowAfter()) + 1; due > s.now {
			s.wakeBy(d, due)
			continue
		}
		if d.sampled && !slices.ContainsFunc(d.recvs, func(r *receiver) bool { return r.lastDeliveredAt > sentAt }) {
			late = append(late, d)
		}
	}
	if !s.caps.Cancel || s.now < s.distrustIdleUntil || len(late) < minLateDsts ||
		float64(len(late)) < lateShare*float64(len(s.busy)) {
		return
	}
	s.distrustIdleUntil = s.now + distrustFor
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
	c.cancelled = true
}

// cancelOvertaken cancels calls whose answers were probably lost, as calls sent much later have been answered: until their timeout they
// occupy slots and keep their messages waiting. Only while loss is common, or slots or the destination's cap are used up.
func (s *Sender) cancelOvertaken(d *dst) {
	if !s.caps.Cancel || !s.scarce() && len(d.calls) < s.slotCap(d) && s.weightOfSilence() >= 1 {
		return
	}
	for _, c := range d.calls {
		after := max(int64(d.mean+timeoutVar*d.dev), int64(minOvertakenShare*float64(c.msgs[0].class.Target)))
		if due := c.sentAt + after; due > s.now {
			s.wakeBy(d, due)
		} else if !c.cancelled && float64(c.r.deliveredSentAt-c.sentAt) > d.slowAfter() && c.msgs[0].class.RetryMode != NonRetriable {
			s.cancel(c)
		}
	}
}

// refresh closes connections that may have died while idle, as only a new one helps. Done while loss is common.
func (s *Sender) refresh(r *receiver) {
	if r.calls == 0 && !s.hasIdle(r) && s.now < s.distrustIdleUntil {
		s.host.CloseIdle(r.id)
	}
}

// hasIdle tells whether a receiver has an idle connection that can be trusted.
func (s *Sender) hasIdle(r *receiver) bool {
	trusted := s.limits.IdleTimeout
	if s.now < s.distrustIdleUntil {
		trusted = min(trusted, staleIdle)
	}
	return r.calls == 0 && r.lastOutcomeAt > 0 && s.now-r.lastOutcomeAt <= trusted
}
