package choice

import "math"

// What a route with a known limit may be sent on its return from an outage. Its rate keeps to the limit, but a cold destination takes less than
// that.

const (
	minBoundedLimit = 30.0   // calls a second; below that, the margin for randomness of a return covers the even shares
	firstWindow     = second // µs after the return whose share is allowed from the first moment: the budget counts calls over a window
)

// limitedReturn bounds the rate of a route with a known limit from when it may be called again.
type limitedReturn struct {
	at      int64 // when it may be called again
	warmFor int64 // warm-up time in µs
	start   float64
	factor  float64 // of its share of the warm rate that it may be sent
}

// shares is how many even shares of its limit a route may be sent; unbounded once it is warm, or without a return.
func (l *limitedReturn) shares(now int64) float64 {
	if l == nil || now >= l.at+l.warmFor {
		return math.Inf(1)
	}
	since := max(firstWindow, now-l.at)
	return l.factor * (l.start + (1-l.start)*float64(since)/float64(l.warmFor))
}

// limitedReturned handles a delivered call after refusals at a route with a known limit, before it is counted. All senders have a backlog, and
// even shares of the whole limit are more than a cold destination takes for some seconds. A silence, or an equally long wait still ahead, may be
// an outage's.
func (s *Sender) limitedReturned(r *receiver) {
	p := r.route
	resumesAt := max(s.now, p.pausedUntil, p.waitUntil) // the successful call may have been sent before the refusals
	silent := s.now-p.lastSuccessAt >= outageQuiet || resumesAt-p.refusedAt >= outageQuiet
	if !silent || s.rules.OverloadFactor <= 0 || s.capacity(r) < minBoundedLimit {
		return
	}
	p.refill(s.now) // at the previous rate
	p.returned = &limitedReturn{resumesAt, max(1, s.rules.WarmUpTime), s.rules.StartCapacity, s.rules.OverloadFactor}
}
