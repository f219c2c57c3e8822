package choice

import "slices"

// The recovery phases of a route, from the first sign of an outage until it is warm again, and their transitions. A returning destination copes
// with a limited number of calls from all senders to all its receivers together, and fails when it gets more. So the phase belongs to the route,
// not to a receiver, and starts with what a low-traffic sender sees of an outage rather than with a closed receiver.

const (
	outageQuiet        = second  // µs without a success after which failures mean an outage: random errors of a busy sender lie between successes
	failStep           = 1.0 / 4 // weight of the newest call in failureRate; three in a row exceed maxFailureRate
	minSilenceWeight   = 0.5     // silence weight below which two consecutive failures are likely by chance: a fifth of the calls get lost
	maxFailureRate     = 0.5     // failure rate above which the few successes are no sign of health
	siblingProbeFactor = 2       // times the usual gap between probes of closed receivers while their route is called already
)

type recoveryPhase uint8

const (
	established recoveryPhase = iota // warm, as far as this sender can tell
	releasing                        // likewise, but the backlog is released gradually
	suspect                          // calls failed and none has succeeded since
	recovering                       // it answers again: slow start
)

func (p recoveryPhase) String() string {
	return [...]string{"established", "releasing", "suspect", "recovering"}[p]
}

// recovery is the state of a route's recovery from an outage.
type recovery struct {
	phase    recoveryPhase
	since    int64 // when the phase, or the ramp of recovering, began
	tokens   float64
	filledAt int64
	proved   bool // a call was delivered since the route is recovering or releasing
}

// enterRecovery is the only place that changes a route's phase. A call from before a restart changes none, as it failed by the end of the
// process; its receiver is not listed, so the route would stay cold for ever.
func (s *Sender) enterRecovery(r *receiver, phase recoveryPhase) {
	p := r.used().route
	if p.recovery.phase == phase || s.rules.OverloadFactor <= 0 || r.placeholder { // not configured: no recovery rule applies
		return
	}
	s.host.Log(PhaseChange{s.now, r.dst.id, r.id, p.recovery.phase.String(), phase.String(), p.failures, p.lastSuccessAt}.String())
	first := p.recovery.phase == established
	if s.cold[p] = r.dst; phase == established {
		delete(s.cold, p)
	}
	s.coldChanges++
	p.recovery.phase, p.recovery.since, p.recovery.proved = phase, s.now, false
	if first {
		s.drawTokens(p)
	}
	s.wake(r.dst)
}

// recoveryFailed takes a failed call into account. Where calls get lost now and then a single one is chance, and where many do, consecutive ones
// are too.
func (s *Sender) recoveryFailed(r *receiver, sentAt int64, o Outcome) {
	p := r.used().route
	weight := s.weightOfSilence()
	if weight < minSilenceWeight || sentAt < p.recovery.since {
		return
	}
	quiet, most := s.now-p.lastSuccessAt >= outageQuiet, p.failureRate > maxFailureRate
	switch p.recovery.phase {
	case established, releasing:
		silent := weight >= 1 && o != ConnectFailed && float64(s.now-sentAt) > s.silentAfter(r.dst) // some connections are set up late whatever the receiver does
		if most || quiet && (p.failures >= minFailureRow || silent) {
			s.enterRecovery(r, suspect)
		}
	case recovering:
		if !p.recovery.proved {
			s.enterRecovery(r, suspect)
		} else if most || quiet {
			p.recovery.since = s.now // restarts the ramp
		}
	}
}

// refusalsEnded handles a delivered call after refusals, before the success is counted. The refusals may have been an outage too short, or seen
// too rarely, to be detected as one. As only one call at a time goes until a success, each sender would release its whole backlog at its first
// success, while the destination is cold. Refusals without Retry-After, or continuing after it, count as an outage; after a single Retry-After,
// as a rate limiter sends it, the backlog is released gradually. With a known limit the rate is bounded instead, as a lowered limiter refuses in
// the same way.
func (s *Sender) refusalsEnded(r *receiver) {
	p := r.route
	switch {
	case p.refusals == 0:
		return
	case p.share > 0:
		s.limitedReturned(r)
		return
	}
	quiet := s.now-p.lastSuccessAt >= outageQuiet
	resumesAt := max(s.now, p.pausedUntil)                                            // the successful call may have been sent before the refusals
	heldOn := resumesAt-max(p.lastSuccessAt, p.refusedAt, p.waitUntil) >= outageQuiet // held back beyond the Retry-After by our own pause
	outage := quiet && p.refusalsMeanOutage()
	again := quiet && p.recovery.phase == releasing // the progress of the release dates from before these refusals
	switch {
	case outage && p.recovery.phase == recovering:
		p.recovery.since = s.now // restarts the ramp
	case outage:
		s.enterRecovery(r, recovering)
	case (heldOn || again) && !p.mayBeCold():
		s.enterRecovery(r, releasing)
		p.recovery.since = resumesAt
	}
}

// slotFreed handles a destination that gets a slot after waiting for one. When hung calls to others occupied all slots, its whole backlog would
// go at once as they end, though nothing was heard of it meanwhile. If calls succeeded anywhere the slots were busy, not hung; with a known
// limit the rate bounds the backlog.
func (s *Sender) slotFreed(r *receiver) {
	since := r.dst.slotlessSince
	r.dst.slotlessSince = 0
	hung := since > 0 && s.now-max(since, s.lastSuccessAt) >= outageQuiet
	if hung && r.route.share == 0 && r.route.recovery.phase == established {
		s.enterRecovery(r, releasing)
	}
}

// refusalsMeanOutage tells whether refusals are no rate limiter's: without Retry-After, or continuing after it.
func (p *route) refusalsMeanOutage() bool { return p.noRetryAfter || p.refusalRounds >= minFailureRow }

// restoreRefusal counts a message from before a restart whose last leg was probably refused. Otherwise a backlog that the earlier process held
// back behind refusals would go at once. One message is not enough.
func (p *route) restoreRefusal(now int64) {
	p.use()
	if p.restoredRefusals++; p.restoredRefusals >= minFailureRow && p.refusals == 0 && p.lastSuccessAt == 0 {
		p.refusals, p.refusalsFrom, p.noRetryAfter = 1, now, true
	}
}

// silentAfter is the time in µs after which a call counts as silent: that of a slow response.
func (s *Sender) silentAfter(d *dst) float64 {
	mean, dev := s.answerTime(d)
	return mean + slowVar*dev
}

// hasSilentCall tells whether a route has a silent call and no success since it was sent, while other destinations may be cold; a slow call
// alone is no sign. Hung calls occupy the slots, and when those of one destination end, the backlog would go to others whose own calls have not
// ended yet.
func (s *Sender) hasSilentCall(r *receiver) bool {
	i := slices.IndexFunc(r.dst.calls, func(c *call) bool { return c.r.route == r.route })
	if i < 0 || !s.anyCold() || s.weightOfSilence() < 1 {
		return false
	}
	oldest := r.dst.calls[i]
	after := max(s.silentAfter(r.dst), minOvertakenShare*float64(s.target())) // a sender that just started knows few response times
	return r.route.lastSuccessAt <= oldest.sentAt && float64(s.now-oldest.sentAt) > after
}

// anyCold tells whether any destination may be cold.
func (s *Sender) anyCold() bool {
	for p := range s.cold {
		if p.mayBeCold() {
			return true
		}
	}
	return false
}

// recoveryClosed handles a receiver closed for failures that began at from. If another receiver of the route has succeeded since, the fault is
// the receiver's own.
func (s *Sender) recoveryClosed(r *receiver, from int64) {
	if p := r.used().route; p.lastSuccessAt < from || p.lastSuccessAt == 0 || p.failureRate > maxFailureRate {
		s.enterRecovery(r, suspect)
	}
}

// recoveryAnswered handles an answered call or probe, or a peer's report of one. It tells whether that proved a return.
func (s *Sender) recoveryAnswered(r *receiver, delivered bool) (proved bool) {
	p := r.used().route
	if p.recovery.phase == suspect {
		s.enterRecovery(r, recovering)
	}
	proved = delivered && p.mayBeCold() && !p.recovery.proved
	p.recovery.proved = p.recovery.proved || delivered
	return proved
}

// probeAt is when a closed receiver may be probed. While another one of its route may be called, both use one token bucket.
func (s *Sender) probeAt(r *receiver) int64 {
	at := max(r.route.nextProbeAt, r.route.waitUntil)
	if !r.route.mayBeCold() || s.allClosed(r) {
		return at
	}
	return max(at, s.recoveryReadyAt(r))
}

// wantsProbe tells whether only a probe can find a recovery: the receiver is closed, or its route is suspect and nothing is queued or out.
func (s *Sender) wantsProbe(r *receiver) bool {
	return r.health == closed || r.route.recovery.phase == suspect && len(r.dst.queued) == 0 && len(r.dst.calls) == 0
}

// allClosed tells whether every receiver of a route is closed.
func (s *Sender) allClosed(r *receiver) bool {
	return !slices.ContainsFunc(r.dst.recvs, func(o *receiver) bool { return o.route == r.route && o.health != closed })
}

// mayBeCold tells whether a route is in an outage or recovering from one.
func (p *route) mayBeCold() bool { return p.routeState != nil && p.recovery.phase > releasing }

// outAt counts the calls in flight at a receiver's route.
func (s *Sender) outAt(r *receiver) int {
	if r.dst.kind.PerReceiver {
		return r.calls
	}
	return len(r.dst.calls)
}
