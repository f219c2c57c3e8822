package choice

import (
	"cmp"
	"math"
	"strconv"
)

// Rate control: how fast a route with a known limit is called, and how refusals slow it down.

const (
	minFailureRow      = 2          // consecutive failures or refusals anywhere at a route that may mean an outage
	pauseFirst         = second / 4 // µs; mean pause of a route after a refusal, doubled by each further one
	pauseShare         = 0.3        // of the interval of a cold share; mean of the first pause, at least pauseFirst
	pauseMost          = 2 * second // µs; longest such mean, unless the interval of a cold share is longer
	rateSpan           = 5 * second // µs of counting before a rate is computed
	maxEvenShares      = 1.3        // even shares of a known limit, as other senders may leave some of theirs
	minBurst           = 3.0        // calls that may go at once at least, however small the even share
	throttleStart      = 0.5        // calls of each sender in a target time, where its even share is less
	throttleCut        = 0.8        // of the shares; left to each sender by a refusal at any sender
	minThrottledShares = 0.1        // shares; with less, a limit that rose again would not be found
	throttleGap        = second     // µs between two cuts, so that the previous one can take effect
	minRemainingShare  = 0.2        // of a limit; with less remaining, a route waits for the next token
	burstSeconds       = 0.3        // seconds of the rate that may go at once
	successSpan        = 2 * second // µs; successes are counted over spans at least this long,
	minSpanSuccesses   = 5          // and of at least so many: fewer make no rate
	meanStep           = 1.0 / 32   // weight of the newest response time in the mean over all destinations
	minNotedRate       = 0.01       // messages a second; least rate in a note, a smaller one is an error
	minTrafficShare    = 0.5        // of the mean sender; a sender that just started has seen little traffic
	maxTrafficShare    = 4.0        // of the mean sender; no single sender gets more
)

func (p *route) setShare(share float64) {
	if p.share == 0 && p.isUsed() {
		p.tokens = minBurst
	}
	p.share = share
}

// firstTokens is the initial token count of a route.
func (p *route) firstTokens() float64 {
	if p.share > 0 {
		return minBurst
	}
	return 0
}

// shares is how many even shares of the limit each sender may send to a route now.
func (p *route) shares(now int64) float64 {
	if p.throttledAt == 0 {
		return maxEvenShares
	}
	most := maxEvenShares * p.fullShares
	if p.failedSinceSuccess { // else the backlog of all senders would meet the return, as few of them have closed the receiver
		most = 1
	}
	return min(most, p.throttledShares+p.shareSlope*float64(now-p.throttledAt))
}

// isThrottled tells whether a route gets less than without any refusal.
func (p *route) isThrottled(now int64) bool {
	return p.throttledAt > 0 && p.shares(now) < maxEvenShares*p.fullShares
}

// throttle handles a refusal at any sender and tells whether it changed the rate. The initial burst of each of many senders is harmless alone,
// but in sum is many seconds of the limit; where refused calls use it up too, nobody gets through until each was refused itself. Where an even
// share is one call in many target times, few senders have a message at once: each starts with more, and refusals reduce that. An unknown limit
// has no shares to cut.
func (p *route) throttle(now, target int64, chance float64) bool {
	if p.share == 0 || p.throttledAt != 0 && now-p.throttledAt < throttleGap {
		return false
	}
	p.refill(now)
	shares := p.shares(now)
	if !p.isThrottled(now) {
		p.tokens = min(p.tokens, chance) // or the first calls of all senders would coincide
		p.fullShares = max(1, throttleStart*float64(second)/(p.share*float64(target)))
		shares = maxEvenShares * p.fullShares
	}
	p.throttledShares, p.throttledAt = max(minThrottledShares, min(p.fullShares, shares*throttleCut)), now
	p.shareSlope = (1 - throttleCut) * p.fullShares / float64(target) // regained before what waits for it is late
	return true
}

// rate is how many calls a second this sender may send now. Leases sum to the limit, so no sender exceeds its own.
func (p *route) rate(now int64) float64 {
	shares := min(p.shares(now), p.returned.shares(now))
	if p.lease.granted {
		return p.lease.perSec * min(1, shares)
	}
	return p.share * shares * cmp.Or(p.trafficShare, 1)
}

func (p *route) refill(now int64) {
	least, rate := minBurst, p.use().rate(now)
	if p.isThrottled(now) || p.lease.granted {
		least = 1
	}
	p.tokens = min(p.tokens+rate*float64(now-p.filledAt)/float64(second), max(least, rate*burstSeconds))
	p.filledAt = now
}

// trafficShare is this sender's traffic relative to the mean of all senders, where peers have sent theirs. Where some get several times the
// mean, even shares would refuse most of their calls while others leave capacity unused.
func (s *Sender) trafficShare() float64 {
	if s.meanMessageGap == 0 || s.rate() == 0 {
		return 1
	}
	return min(maxTrafficShare, max(minTrafficShare, s.rate()*s.meanMessageGap))
}

// readyAt is when rate, Retry-After and pause allow a call.
func (p *route) readyAt(now int64) int64 {
	p.refill(now)
	at := now
	if p.lease.none() {
		return never
	}
	if (p.share > 0 || p.lease.granted) && p.tokens < 1 {
		at = now + int64((1-p.tokens)/p.rate(now)*float64(second)) + 1
	}
	return max(at, p.waitUntil, p.pausedUntil)
}

// refused pauses a route after refusals: refused calls may use up the limit too, so callers can block a destination for everyone. Consecutive
// refusals lengthen the pauses; a success ends them. A pause is drawn with full jitter from the end of the Retry-After; if it ran beside that,
// all senders would call when it ends.
func (p *route) refused(now, sentAt int64, chance, interval float64) {
	if p.refusals == 0 {
		p.refusalsFrom = now
	}
	if p.refusalRounds == 0 || sentAt > p.refusedAt {
		p.refusalRounds++
	}
	p.refusals++
	p.refusedAt = now
	if now < p.pausedUntil { // refusals of one burst are one signal
		return
	}
	if p.share > 0 && p.refusals+p.failures < minFailureRow { // the rate keeps to the limit; but a full queue may mean an outage too
		interval /= 2
	}
	first := max(pauseFirst, int64(pauseShare*interval))
	mean := min(max(pauseMost, int64(interval)), first<<min(p.refusals-1, 10))
	p.pausedUntil = max(now, p.waitUntil) + int64(2*chance*float64(mean))
}

// succeeded ends the rows of failures and refusals and updates the peak rate over a span, less the noise of which sender got a call: the best of
// many sparse spans lies far above the mean. A single sender gets all calls, so there is no noise.
func (p *route) succeeded(now int64, open bool, senders int) {
	p.use()
	p.failureRate -= p.failureRate * failStep
	p.refusals, p.refusalRounds, p.noRetryAfter, p.failures, p.successes, p.lastSuccessAt = 0, 0, false, 0, p.successes+1, now
	if !open || p.spanFrom == 0 { // slow start's own limit is no measurement
		p.spanFrom, p.spanSuccesses = now, 0
	} else if now-p.spanFrom > successSpan && p.spanSuccesses >= minSpanSuccesses {
		sure := p.spanSuccesses - math.Sqrt(p.spanSuccesses*(1-1/float64(max(1, senders))))
		p.peakRate = max(p.peakRate, sure*float64(second)/float64(now-p.spanFrom))
		p.spanFrom, p.spanSuccesses = now, 0
	}
	p.spanSuccesses++
}

func (s *Sender) recordRateLimit(r *receiver, rep RateLimit) {
	if rep.Known && rep.LimitPerSec > 0 {
		if rep.LimitPerSec != r.route.announcedLimit {
			s.shareObservation(r, Observation{Kind: ObservedLimit, PerSec: rep.LimitPerSec})
		}
		r.route.announcedLimit = rep.LimitPerSec
		r.route.setShare(rep.LimitPerSec / float64(s.topology.Senders))
		if rep.RemainingShare < minRemainingShare { // others have used the capacity that a full bucket would promise
			r.route.tokens = min(r.route.tokens, 0)
		}
	}
}

// rate is how many messages a second this sender accepts, 0 while it has not run long enough to tell.
func (s *Sender) rate() float64 {
	if s.now-s.acceptedFrom < rateSpan {
		return 0
	}
	return float64(s.accepted) * float64(second) / float64(s.now-s.acceptedFrom)
}

// learnPeerRate takes a peer's rate. Busy peers are refused, and heard of, more often in proportion to their rates, so the mean of the gaps
// between messages, not of the rates, is that of all senders.
func (s *Sender) learnPeerRate(text string) {
	if rate, err := strconv.ParseFloat(text, 64); err == nil && rate >= minNotedRate {
		s.meanMessageGap = cmp.Or(s.meanMessageGap, 1/rate)
		s.meanMessageGap += (1/rate - s.meanMessageGap) * meanStep
	}
}

// lease is the rate that the fleet grants this sender at a destination.
type lease struct {
	granted bool
	perSec  float64 // calls a second; 0 blocks all calls
}

func (l lease) none() bool { return l.granted && l.perSec <= 0 }

// leaseOf is the lease of one route of the destination: with per-receiver routes each gets an equal part.
func (d *dst) leaseOf() lease {
	l := d.lease
	if d.kind.PerReceiver {
		l.perSec /= float64(max(1, len(d.recvs)))
	}
	return l
}

// SetLease sets this sender's lease on a destination's limit, in calls a second; a negative one withdraws it.
func (s *Sender) SetLease(to int64, perSec float64) {
	if d := s.dsts[to]; d != nil {
		d.use().lease = lease{granted: perSec >= 0, perSec: perSec}
		s.wake(d)
	}
}
