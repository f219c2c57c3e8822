package choice

import (
	"fmt"
	"slices"
)

// Outlier detection: when a receiver is closed, probed and opened again.

const (
	closeScore      = 3.0             // three errors in a row, two missing responses or two failed connects
	noAnswerScore   = 1.5             // a leg without any response weighs more than an error
	shutRefusals    = 2               // consecutive refusals that look like a destination that is shut
	shutAfter       = 3 * second      // µs for which such refusals must go on; rate limiters free capacity sooner
	shutRetryAfter  = 5 * second / 2  // µs; a destination that is shut asks for such long waits, a rate limiter does not
	minProbeGap     = 7 * second / 10 // µs between probes of a closed route, at least
	fleetProbeGap   = second / 2      // µs between the probes of all senders where probes may pile up
	minProbeRate    = 0.001           // a second; fewer than one probe in a quarter of an hour would be none
	maxPileUpFactor = 8               // usual gaps; upper bound of the spacing by fleetProbeGap: large destinations cope with more probes
	recoveryNoteGap = 2 * second      // µs between two notes of one receiver's recovery
	recoveryMark    = "+"             // prefix of a note of a recovery
	refusalMark     = "-"             // prefix of a note of a refusal
	rateMark        = "/"             // stands before the sender's messages a second in a note of a refusal
	minHangingCalls = 2               // calls without a response that may mean a hanging receiver
)

// countFailure counts consecutive failed calls at a route.
func (s *Sender) countFailure(r *receiver, sentAt int64, o Outcome) {
	if r.used().route.failures == 0 {
		r.route.failuresFrom = s.now
	}
	r.route.failures++
	r.route.failureRate += (1 - r.route.failureRate) * failStep
	s.recoveryFailed(r, sentAt, o)
}

func (s *Sender) recordAnswer(r *receiver, sentAt int64) {
	r.lastDeliveredAt, r.deliveredSentAt, r.peakCalls = s.now, max(r.deliveredSentAt, sentAt), max(r.peakCalls, r.calls+1)
	if sentAt < r.since {
		return
	}
	r.failureScore, r.route.failureScore = 0, 0
	if r.health == closed {
		s.setHealth(r, warming)
	}
	isNews := r.health == warming && !r.proved
	if sentAt >= r.route.recovery.since {
		isNews = s.recoveryAnswered(r, true) || isNews
	}
	if isNews {
		s.shareObservation(r, Observation{Kind: ObservedRecovery, Warm: min(1, float64(s.now-r.since)/float64(max(1, s.rules.WarmUpTime)))})
		s.sendNote(r, recoveryMark, &r.recoveryNotedUntil, recoveryNoteGap)
	}
	r.dst.setDown(s.now, false)
	r.proved = true
}

func (s *Sender) setHealth(r *receiver, h health) {
	s.host.Log(fmt.Sprintf("%d ms: receiver %d of destination %d is %s (%.1f strikes, %d refusals)",
		s.now/1000, r.id, r.dst.id, h, r.failureScore, r.route.refusals))
	r.used()
	r.health, r.since, r.failureScore, r.proved, r.lostLeg, r.connScarceUntil = h, s.now, 0, false, false, 0
	r.tokens, r.filledAt = s.chance(), s.now // random, or the first calls of all senders would coincide
	s.wake(r.dst)
}

// recordFailure detects any outage that shows as failed legs: down, silent, hung or failing most calls. Legs sent before the last change of
// health tell nothing new. Where consecutive failures at several receivers of a route reach the score, all close, as a low-traffic sender would
// find each of them too late. A setback while warming restarts slow start, but not a single error among successes: with occasional errors it
// would never end.
func (s *Sender) recordFailure(r *receiver, sentAt int64, points float64) {
	if sentAt < r.since || r.health == closed {
		return
	}
	p := r.used().route
	points *= s.weightOfSilence()
	if r.failureScore == 0 {
		r.scoreFrom = s.now
	}
	r.failureScore, p.failureScore, r.lastFailureAt = r.failureScore+points, p.failureScore+points, s.now
	switch {
	case p.failureScore >= closeScore && p.failures > minFailureRow && p.failureScore > r.failureScore: // failures at more than one receiver
		s.closeRoute(r, p.failuresFrom)
	case r.failureScore >= closeScore || r.health == warming && !r.proved:
		s.close(r, r.scoreFrom)
	case r.health == warming && r.failureScore > 1:
		r.since = s.now
	}
}

// closeIfShut tells a destination that is shut, and comes back cold, from a busy one: it asks for a long wait or refuses for longer than rate
// limiters do.
func (s *Sender) closeIfShut(r *receiver, retryAfter int64) {
	if retryAfter >= shutRetryAfter || r.route.refusals >= shutRefusals && s.now-r.route.refusalsFrom >= shutAfter {
		s.closeRoute(r, r.route.refusalsFrom)
	}
}

// closeRoute closes all receivers of a route for failures that began at from.
func (s *Sender) closeRoute(r *receiver, from int64) {
	for _, o := range r.dst.recvs {
		if o.route == r.route && o.health != closed {
			s.close(o, from)
		} else if o.route == r.route {
			s.scheduleProbe(o, true)
		}
	}
}

func (s *Sender) close(r *receiver, from int64) {
	s.closeUnshared(r, from)
	s.shareObservation(r, Observation{Kind: ObservedDown})
}

func (s *Sender) closeUnshared(r *receiver, from int64) {
	s.setHealth(r, closed)
	s.recoveryClosed(r, from)
	s.scheduleProbe(r, true)
	r.dst.setDown(s.now, !slices.ContainsFunc(r.dst.recvs, func(o *receiver) bool { return o.health == open }))
}

// probeInterval is the time in µs between calls at this sender's share of a cold start.
func (s *Sender) probeInterval(r *receiver) float64 {
	return float64(second) / max(s.coldShare(r, s.rules.StartCapacity), minProbeRate)
}

// scheduleProbe keeps probes within a cold destination's load, as they weigh like calls and nobody knows when it returns. Where they hang or are
// refused they pile up and would overload it on its return, however few each sender sends: there all senders share one spacing.
func (s *Sender) scheduleProbe(r *receiver, first bool) {
	gap := max(minProbeGap, int64(s.probeInterval(r)))
	if r.route.recovery.phase == recovering {
		gap *= siblingProbeFactor
	}
	if r.route.callsPileUp {
		gap = max(gap, min(int64(s.topology.Senders)*fleetProbeGap, maxPileUpFactor*gap))
	}
	r.route.nextProbeAt = s.now + int64(float64(gap)*(0.75+s.chance()/2))
	if first { // the first probes of all senders together keep to the sum of their shares, with or without Retry-After
		r.route.nextProbeAt = max(s.now+minProbeGap, r.route.waitUntil) + int64(float64(gap)*s.chance())
	}
}

// ProbeEnded takes the outcome of a probe.
func (s *Sender) ProbeEnded(id uint32, o Outcome, rep RateLimit) {
	r := s.recvs[id]
	if r == nil {
		return
	}
	r.used().probing = false
	r.route.callsPileUp = o == TimedOut || o == Refused
	s.wake(r.dst)
	s.recordRateLimit(r, rep)
	if o == Delivered {
		if r.health == closed {
			s.setHealth(r, warming)
		}
		s.recoveryAnswered(r, false)
	}
}

// probeClosed sends rare probes to closed receivers, and to suspect ones without a queued message.
func (s *Sender) probeClosed(d *dst) {
	for _, r := range d.recvs {
		if !s.caps.Probes || !s.wantsProbe(r) || r.probing || d.lease.none() {
			continue
		}
		if at := s.probeAt(r); at > s.now {
			s.wakeBy(d, at)
			continue
		}
		r.used().probing = true
		r.route.spendProbe()
		s.scheduleProbe(r, false)
		s.host.CloseIdle(r.id)
		s.noteColdCall("", r, float64(second)/s.probeInterval(r))
		s.host.Probe(r.id)
	}
}

// callEnded learns from a call that is over.
func (s *Sender) callEnded(c *call, o Outcome, retryAfter int64) {
	r, d := c.r.used(), c.r.dst
	r.route.callsPileUp = o == TimedOut || o == Refused
	if o == TimedOut || o == ConnectFailed || o == Errored || o == Reset {
		s.countFailure(r, c.sentAt, o)
	}
	r.route.failedSinceSuccess = o != Delivered && (r.route.failedSinceSuccess || o != Refused && o != NotSent && o != Cancelled)
	if r.route.failedSinceSuccess && r.route.throttledAt > 0 { // nor may tokens earned at a larger share be spent there at once
		r.route.tokens = min(r.route.tokens, 0)
	}
	switch o {
	case Delivered:
		d.errorRetries.deposit(s.now, percentCanRetry)
		d.retryAfterRetries.deposit(s.now, percentCanRetry*retryAfterMultiple)
		d.recordAnswerTime(float64(s.now - c.sentAt))
		s.mean += (float64(s.now-c.sentAt) - s.mean) * meanStep
		if r.route.failures > 0 && r.health == open {
			s.host.Log(FailuresEnded{s.now, r.id, d.id, r.route.failures, s.now - r.route.failuresFrom, len(d.queued)}.String())
		}
		s.lastSuccessAt = s.now
		r.route.resumeRelease(s.now)
		s.refusalsEnded(r)
		delete(s.refusing, r.route)
		r.route.succeeded(s.now, r.health == open, s.topology.Senders)
		s.recordAnswer(r, c.sentAt)
	case Refused:
		if r.route.throttle(s.now, s.target(), s.chance()) && s.caps.PeerNotes {
			s.host.Broadcast(fmt.Sprintf("%s%d%s%.2f", refusalMark, r.id, rateMark, s.rate()))
		}
		r.route.refused(s.now, c.sentAt, s.chance(), s.probeInterval(r))
		r.route.noRetryAfter = r.route.noRetryAfter || retryAfter == 0
		s.recordRefusing(r)
		s.closeIfShut(r, retryAfter)
	case TimedOut:
		s.recordFailure(r, c.sentAt, noAnswerScore)
	case ConnectFailed:
		s.shareObservation(r, Observation{Kind: ObservedConnShortage})
		s.sendNote(r, "", &r.connScarceUntil, connScarceFor)
		s.recordFailure(r, c.sentAt, noAnswerScore)
	case Errored, Reset:
		s.recordFailure(r, c.sentAt, 1)
	case NotSent: // not sent, so it used no capacity
		r.route.tokens, r.tokens = r.route.tokens+1, r.tokens+1
		r.route.spendRecovery(-1)
	}
}

// hangs keeps first legs, which no retry budget limits, from a hanging receiver: with several calls out, the oldest overdue and nothing
// delivered since it was sent, no more go until one of them has an outcome.
func (s *Sender) hangs(r *receiver) bool {
	if r.calls < minHangingCalls {
		return false
	}
	oldest := r.dst.calls[slices.IndexFunc(r.dst.calls, func(c *call) bool { return c.r == r })]
	return r.lastDeliveredAt <= oldest.sentAt && oldest.overdue(s.now) && s.weightOfSilence() >= 1
}

func (d *dst) setDown(now int64, is bool) {
	d.use()
	d.earlierDown = d.downFor(now)
	d.down, d.downAt = is, now
}

// downFor is the total downtime so far.
func (d *dst) downFor(now int64) int64 {
	if d.down {
		return d.earlierDown + now - d.downAt
	}
	return d.earlierDown
}

// recordClass records whether the latest leg of a class succeeded.
func (r *receiver) recordClass(c *Class, ok bool) {
	switch {
	case ok:
		delete(r.fails, c)
	case r.fails == nil:
		r.fails = map[*Class]bool{c: true}
	default:
		r.fails[c] = true
	}
}

func (r *receiver) notOpen() bool { return r.health != open }

// showsTrouble tells whether there are first signs of an outage, before any receiver need be closed.
func (s *Sender) showsTrouble(d *dst) bool {
	return len(d.calls) > 0 && d.calls[0].overdue(s.now) || s.unhealthy(d) > 0 || d.route.mayBeCold()
}

func (r *receiver) unhealthy() bool { return r.notOpen() || r.failureScore > 0 }

// Healthy tells whether a destination is listed and none of its receivers is closed, warming or possibly cold.
func (s *Sender) Healthy(id int64) bool {
	d := s.dsts[id]
	return d != nil && len(d.recvs) > 0 && !slices.ContainsFunc(d.recvs, func(r *receiver) bool { return r.notOpen() || r.route.mayBeCold() })
}

// countNotOpen counts the listed receivers that are not open.
func (d *dst) countNotOpen() (n int) {
	for _, r := range d.recvs {
		if r.notOpen() {
			n++
		}
	}
	return n
}
