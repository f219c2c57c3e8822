package choice

import "math"

// What a route may be sent in each recovery phase. Calls and probes spend from one token bucket, filled at this sender's even share of what the
// route can take. The buckets of all senders start at random levels, so their sum is even from the start.

const (
	minFleetRate    = 0.5            // calls a second of all senders that any return can take: the rule allows three a window on top of its share
	slowStartMargin = 0.8            // share of the allowed load on a cold receiver; the rest absorbs randomness
	roughLow        = 0.67           // a rough weight may be half too high
	releaseDouble   = second         // µs in which the share doubles after slow start
	releaseFor      = 4 * second     // µs until it no longer limits: sixteen times what the route can take
	maxColdRelease  = 2.0            // of the capacity; deliveries at half of the full load measure half of it
	maxReleaseTime  = 4 * releaseFor // µs until it limits nobody, however little was known of the capacity
	unprovenSpan    = 20 * second    // µs in which a sender that has delivered nothing counts as having delivered one call
)

// drawTokens sets the bucket to a random level; senders that start at one moment would otherwise call at one moment.
func (s *Sender) drawTokens(p *route) { p.recovery.tokens, p.recovery.filledAt = s.chance(), s.now }

// recoveryShare is the share of its capacity up to which a route is called. Senders that find a return together end their slow starts together,
// and each would send its backlog at once. So the share keeps growing beyond the whole until it limits nobody.
func (s *Sender) recoveryShare(p *route, at int64) float64 {
	switch p.recovery.phase {
	case releasing:
		byClock := s.rules.StartCapacity * releaseShare(at-p.recovery.since)
		bySuccesses := s.rules.StartCapacity * releaseShare(at-p.stalledFor(at)-p.recovery.since)
		return min(s.releaseBound(p, at), max(min(1, byClock), bySuccesses))
	case recovering:
		share := s.rules.StartCapacity + (1-s.rules.StartCapacity)*s.warm(p, at)
		if p.recovery.proved {
			share *= releaseShare(at - p.recovery.since - s.rules.WarmUpTime)
		}
		return share
	default:
		return s.rules.StartCapacity
	}
}

// stallsAt is when a release beyond the whole stalls without another success. By the clock alone it would go on through a second outage
// in which this sender makes no call, and send the rest at that return.
func (p *route) stallsAt() int64 { return max(p.lastSuccessAt, p.recovery.since) + outageQuiet }

// stalledFor is for how many µs it has stalled since the latest success. A low-traffic sender's share may allow no call in time, so it
// stalls for releaseFor at most and then goes on by the clock.
func (p *route) stalledFor(at int64) int64 { return min(releaseFor, max(0, at-p.stallsAt())) }

// releaseBound caps the share of a release while the destination may be cold. Senders refused once each start their releases within a second or
// two, and all would send most of their backlog in the same last second.
func (s *Sender) releaseBound(p *route, at int64) float64 {
	warmFor := at - p.stalledFor(at) - p.recovery.since - s.rules.WarmUpTime
	return maxColdRelease * releaseShare(warmFor)
}

// resumeRelease handles a success during a release, before it is counted: the stalled time does not count as progress.
func (p *route) resumeRelease(now int64) {
	if p.recovery.phase == releasing {
		p.recovery.since += p.stalledFor(now)
	}
}

// releaseShare is the share of its capacity up to which a warm route is called this many µs after the release began.
func releaseShare(since int64) float64 {
	return math.Exp2(float64(min(maxReleaseTime, max(0, since))) / float64(releaseDouble))
}

// warm is the progress of a route's slow start, from 0 to 1.
func (s *Sender) warm(p *route, at int64) float64 {
	return min(1, float64(at-p.recovery.since)/float64(max(1, s.rules.WarmUpTime)))
}

// recoveryRate is this sender's share of what a route may be sent at a time, in calls a second.
func (s *Sender) recoveryRate(r *receiver, at int64) float64 {
	return max(s.coldShare(r, s.recoveryShare(r.route, at)), minProbeRate)
}

func (s *Sender) fillRecovery(r *receiver) {
	b := &r.route.recovery
	mean := (s.recoveryRate(r, b.filledAt) + s.recoveryRate(r, s.now)) / 2 // exact for a rate that grows linearly
	b.tokens = min(1, b.tokens+mean*float64(s.now-b.filledAt)/float64(second))
	b.filledAt = s.now
}

// recoveryReadyAt is when a route may get its next call; never if it waits for an outcome.
func (s *Sender) recoveryReadyAt(r *receiver) int64 {
	b := &r.route.recovery
	if at := s.releasedAt(r); at <= s.now {
		s.enterRecovery(r, established)
	} else if at < never {
		s.wakeBy(r.dst, at)
	}
	if b.phase == established {
		if s.hasSilentCall(r) {
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

// releasedAt is when a route is established if nothing more fails, never if it waits for a success. With no known limit and little knowledge of
// the capacity, what is still queued at a fixed time would go at once then, at all senders that found the return together.
func (s *Sender) releasedAt(r *receiver) int64 {
	b, waits := &r.route.recovery, len(r.dst.queued) > 0
	from := b.since
	switch {
	case b.phase == recovering && (b.proved || !waits && len(r.dst.calls) == 0): // with nothing queued, an answered probe is enough
		from += s.rules.WarmUpTime
	case b.phase != releasing:
		return never
	case !b.proved && !waits:
		from += s.rules.WarmUpTime // nobody knows yet whether it answers
	}
	if waits && r.route.share == 0 {
		return from + maxReleaseTime + 1
	}
	return from + releaseFor + 1
}

// recoveryWait is how many µs the bucket takes to gain more tokens at a rate that grows linearly.
func (s *Sender) recoveryWait(r *receiver, more float64) int64 {
	now := s.recoveryRate(r, s.now)
	slope := s.recoveryRate(r, s.now+second) - now // a second
	if slope <= 0 {
		return int64(more/now*float64(second)) + 1
	}
	return int64((math.Sqrt(now*now+2*slope*more)-now)/slope*float64(second)) + 1
}

// spendProbe is spendRecovery for a probe. Probes of an entirely closed route have their own spacing and leave no debt.
func (p *route) spendProbe() { p.recovery.tokens = max(0, p.recovery.tokens-1) }

// spendRecovery takes a call, or a message's part of a batched call, from the bucket.
func (p *route) spendRecovery(part float64) { p.recovery.tokens -= part }

// capacity is what a receiver's route surely takes when warm, in calls a second from all senders.
func (s *Sender) capacity(r *receiver) float64 {
	switch {
	case r.route.announcedLimit > 0:
		return r.route.announcedLimit
	case s.trust == NominalWeight && r.weight > 0:
		return r.weight
	case s.trust == RoughWeight && r.weight > 0:
		return r.weight * roughLow
	}
	// Deliveries over the uptime, which is right in sum. Arrivals would count a message each time its client retries.
	counted := max(s.now-s.startAt-r.dst.downFor(s.now), rateSpan)
	if r.route.successes == 0 { // or many senders that just started would take it for far larger than it is
		counted = max(counted, unprovenSpan)
	}
	return float64(s.topology.Senders) * max(r.route.peakRate, max(1, r.route.successes)*float64(second)/float64(counted))
}

// slowStart is this sender's share of what a receiver back from an outage may be sent, in calls a second. A cold destination that gets a
// multiple of what it can take fails for good.
func (s *Sender) slowStart(r *receiver) float64 {
	start, warm := s.rules.StartCapacity, min(1, float64(s.now-r.since)/float64(max(1, s.rules.WarmUpTime)))
	rate := s.coldShare(r, start+(1-start)*warm)
	if !r.dst.kind.PerReceiver {
		rate /= float64(max(1, len(r.dst.recvs)))
	}
	return rate
}

// coldShare is this sender's part of what a route may be sent at a share of its capacity. A sender that has hardly delivered there takes it for
// tiny where no limit is announced, and without minFleetRate would find its return after minutes.
func (s *Sender) coldShare(r *receiver, share float64) float64 {
	return max(s.capacity(r)*share*s.rules.OverloadFactor*slowStartMargin, minFleetRate) / float64(s.topology.Senders)
}

// rateBound is the rate in calls a second at which this sender may call a receiver, 0 for unlimited.
func (s *Sender) rateBound(r *receiver) float64 {
	switch {
	case r.route.mayBeCold():
		return s.recoveryRate(r, s.now)
	case r.health == warming:
		return s.slowStart(r)
	default:
		return r.route.rate(s.now)
	}
}

// noteColdCall counts and logs a call or probe to a destination that may be cold: some receiver is not open, or the latest call failed.
func (s *Sender) noteColdCall(message string, r *receiver, perSec float64) {
	if r.route.failures == 0 && r.dst.countNotOpen() == 0 && !r.route.mayBeCold() {
		return
	}
	s.coldCalls++
	s.host.Log(ColdCall{Now: s.now, Message: message, Receiver: r.id, Dst: r.dst.id, Health: r.health.String(), Phase: r.route.recovery.phase.String(), Listed: len(r.dst.recvs),
		Unhealthy: r.dst.countNotOpen(), FailureScore: r.failureScore, Failures: r.route.failures, SuccessAt: r.route.lastSuccessAt, Tokens: r.route.recovery.tokens, PerSecond: perSec,
		Capacity: s.capacity(r), Queued: len(r.dst.queued), Uptime: s.now - s.startAt}.String())
}
