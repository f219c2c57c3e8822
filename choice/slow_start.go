package choice

import "math"

// What a route may be sent in each phase of its recovery. Calls, probes and trials spend from one bucket, which fills at this sender's even part of
// what the route bears. The buckets of all senders begin at draws, so their sum is even from the start.

const (
	fleetLeast      = 0.5            // calls a second of all senders that any return bears: the rule lets three a window on top of its share
	slowStartMargin = 0.8            // share of the allowed load on a cold receiver; rest is for chance
	roughLow        = 0.67           // a rough weight may be half too high
	releaseDouble   = second         // µs in which the share doubles after slow start
	releaseFor      = 4 * second     // µs until it no longer binds: sixteen times what the route bears
	releaseWhole    = 2.0            // of the capacity; deliveries at half of the full load measure half of it
	releaseMost     = 4 * releaseFor // µs until it binds nobody, however little was known of the capacity
)

// drawRecovery sets the bucket to a draw. Danger: what begins at one moment at many senders has them call at one moment later.
func (s *Sender) drawRecovery(p *route) { p.recovery.tokens, p.recovery.filledAt = s.chance(), s.now }

// recoveryShare is the share of its capacity up to which a route is called so long after its ramp began. Danger: senders that find a return
// at one time end their slow starts at one time, and what each has held back would go at once. So the share goes on to grow beyond the
// whole, until it binds nobody.
func (s *Sender) recoveryShare(p *route, at int64) float64 {
	switch p.recovery.phase {
	case releasing:
		byClock := s.guards.StartShare * releaseShare(at-p.recovery.since)
		bySuccesses := s.guards.StartShare * releaseShare(at-p.releaseStood(at)-p.recovery.since)
		return min(s.releaseBound(p, at), max(min(1, byClock), bySuccesses))
	case recovering:
		share := s.guards.StartShare + (1-s.guards.StartShare)*s.warm(p, at)
		if p.recovery.proved {
			share *= releaseShare(at - p.recovery.since - s.guards.WarmWithin)
		}
		return share
	default:
		return s.guards.StartShare
	}
}

// releaseStands is when a release goes beyond the whole no further without another success. Danger: one that went on by the clock alone would
// pass a second outage in which this sender makes no call, and let the rest go at that return.
func (p *route) releaseStands() int64 { return max(p.okAt, p.recovery.since) + outageQuiet }

// releaseStood is for how many µs it has stood at a time, since the latest success. Danger: a thin sender may have a share of which no call comes
// in time, so it stands for releaseFor at most, and goes on by the clock then.
func (p *route) releaseStood(at int64) int64 { return min(releaseFor, max(0, at-p.releaseStands())) }

// releaseBound is the share beyond which a release does not go while the destination may be cold. Danger: senders that were refused once each begin
// their releases within a second or two, and at all of them most of what they hold goes in the same last second.
func (s *Sender) releaseBound(p *route, at int64) float64 {
	warmFor := at - p.releaseStood(at) - p.recovery.since - s.guards.WarmWithin
	return releaseWhole * releaseShare(warmFor)
}

// releaseGoesOn takes in a success of a release, before that is counted: for as long as it stood it came no further.
func (p *route) releaseGoesOn(now int64) {
	if p.recovery.phase == releasing {
		p.recovery.since += p.releaseStood(now)
	}
}

// releaseShare is the share of its capacity up to which a warm route is called so many µs after the release began.
func releaseShare(since int64) float64 {
	return math.Exp2(float64(min(releaseMost, max(0, since))) / float64(releaseDouble))
}

// warm is how far a route has come in its slow start, from 0 to 1.
func (s *Sender) warm(p *route, at int64) float64 {
	return min(1, float64(at-p.recovery.since)/float64(max(1, s.guards.WarmWithin)))
}

// recoveryRate is this sender's part of what a route may be sent at a time, in calls a second.
func (s *Sender) recoveryRate(r *receiver, at int64) float64 {
	return max(s.coldShare(r, s.recoveryShare(r.route, at)), leastTrials)
}

func (s *Sender) fillRecovery(r *receiver) {
	b := &r.route.recovery
	mean := (s.recoveryRate(r, b.filledAt) + s.recoveryRate(r, s.now)) / 2 // exact, as it grows evenly
	b.tokens = min(1, b.tokens+mean*float64(s.now-b.filledAt)/float64(second))
	b.filledAt = s.now
}

// recoveryReadyAt is when a route may get its next call; never for one that waits for an outcome.
func (s *Sender) recoveryReadyAt(r *receiver) int64 {
	b := &r.route.recovery
	if at := s.releasedAt(r); at <= s.now {
		s.enterRecovery(r, established)
	} else if at < never {
		s.wakeBy(r.dst, at)
	}
	if b.phase == established {
		if s.awaitsSilent(r) {
			return never // until that call ends
		}
		return s.now
	}
	if (b.phase == suspect || !b.proved) && s.outAt(r) > 0 {
		return never
	}
	s.fillRecovery(r)
	if b.tokens >= 1 {
		return s.now
	}
	return s.now + s.recoveryWait(r, 1-b.tokens)
}

// releasedAt is when a route is established if nothing more goes wrong, never where it waits for an answer. Danger: where no limit is known and
// little of the capacity, what still waits at a set time goes at once then, at all senders that found the return together.
func (s *Sender) releasedAt(r *receiver) int64 {
	b, waits := &r.route.recovery, len(r.dst.held) > 0
	from := b.since
	switch {
	case b.phase == recovering && (b.proved || !waits && len(r.dst.calls) == 0): // a probe's word is enough where nobody waits
		from += s.guards.WarmWithin
	case b.phase != releasing:
		return never
	case !b.proved && !waits:
		from += s.guards.WarmWithin // nobody knows yet whether it answers
	}
	if waits && r.route.share == 0 {
		return from + releaseMost + 1
	}
	return from + releaseFor + 1
}

// recoveryWait is how many µs pass until the bucket has so much more, at a rate that grows evenly.
func (s *Sender) recoveryWait(r *receiver, more float64) int64 {
	now := s.recoveryRate(r, s.now)
	slope := s.recoveryRate(r, s.now+second) - now // a second
	if slope <= 0 {
		return int64(more/now*float64(second)) + 1
	}
	return int64((math.Sqrt(now*now+2*slope*more)-now)/slope*float64(second)) + 1
}

// spendProbe is spendRecovery for a probe. Trials at a route that is closed altogether keep to their own spacing, and leave no debt.
func (p *route) spendProbe() { p.recovery.tokens = max(0, p.recovery.tokens-1) }

// spendRecovery takes a call's part, or a message's of a call that takes several, from the bucket.
func (p *route) spendRecovery(part float64) { p.recovery.tokens -= part }

// capacity is what a receiver's destination (or route) surely takes when warm, in calls a second from all.
func (s *Sender) capacity(r *receiver) float64 {
	switch {
	case r.route.told > 0:
		return r.route.told
	case s.trust == NominalWeight && r.weight > 0:
		return r.weight
	case s.trust == RoughWeight && r.weight > 0:
		return r.weight * roughLow
	}
	// What it delivered while it stood: in sum right. Danger: what arrives counts each time clients come again.
	stood := max(s.now-s.startAt-r.dst.downFor(s.now), rateSpan)
	return float64(s.team.Senders) * max(r.route.okPeak, max(1, r.route.oks)*float64(second)/float64(stood))
}

// slowStart is this sender's share of what a receiver back from an outage may be sent, in calls a second.
// Danger: a cold destination sent a multiple of what it can do falls over for good.
func (s *Sender) slowStart(r *receiver) float64 {
	start, warm := s.guards.StartShare, min(1, float64(s.now-r.since)/float64(max(1, s.guards.WarmWithin)))
	rate := s.coldShare(r, start+(1-start)*warm)
	if !r.dst.kind.Apart {
		rate /= float64(max(1, len(r.dst.recvs)))
	}
	return rate
}

// coldShare is this sender's part of what a destination (or route) may be sent at a share of its capacity. Danger: a sender that has hardly
// delivered there takes it for tiny where no limit is told, and would find its return after minutes.
func (s *Sender) coldShare(r *receiver, share float64) float64 {
	return max(s.capacity(r)*share*s.guards.Overload*slowStartMargin, fleetLeast) / float64(s.team.Senders)
}

// boundOf is the rate in calls a second at which this sender may call a receiver, 0 where nothing bounds it.
func (s *Sender) boundOf(r *receiver) float64 {
	switch {
	case r.route.mayBeCold():
		return s.recoveryRate(r, s.now)
	case r.health == warming:
		return s.slowStart(r)
	default:
		return r.route.rate(s.now)
	}
}

// noteColdCall counts and logs a call or probe to a destination that may be cold: some receiver is not open, or the latest call went wrong.
func (s *Sender) noteColdCall(message string, r *receiver, perSec float64) {
	if r.route.bad == 0 && r.dst.ill() == 0 && !r.route.mayBeCold() {
		return
	}
	s.coldCalls++
	s.host.Log(ColdCall{Now: s.now, Message: message, Receiver: r.id, Dst: r.dst.id, Health: r.health.String(), Phase: r.route.recovery.phase.String(), Listed: len(r.dst.recvs),
		Ill: r.dst.ill(), Strikes: r.strikes, Failures: r.route.bad, SuccessAt: r.route.okAt, Tokens: r.route.recovery.tokens, PerSecond: perSec,
		Capacity: s.capacity(r), Held: len(r.dst.held), UpFor: s.now - s.startAt}.String())
}
