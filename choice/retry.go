package choice

import (
	"cmp"
	"slices"
)

// The retry budget of a destination, and the retry of a message whose leg failed.

const (
	percentCanRetry    = 0.1         // retries earned per success (design)
	minRetriesPerSec   = 3           // retries a second always allowed (design)
	ttl                = 10 * second // lifetime of a credit (design)
	creditSpan         = second / 2  // resolution at which credits expire; 5% of ttl is fine enough
	retryAfterMultiple = 2           // refusals with Retry-After spend at this multiple (design)
	backoffBase        = second / 10 // µs; first jitter window (design)
	backoffCap         = 8 * second  // µs; widest jitter window (design)
)

// budget is the retry budget of the design. Only spans with live credits are stored, as most destinations get few messages.
type budget struct {
	spans []credits // ordered by slot in a ring of all spans that can live, so bounded by its size
	spent float64
}

type credits struct {
	span int64
	n    int
}

// place is the slot of a span in the ring.
func (c credits) place() int64 { return c.span % int64(ttl/creditSpan+1) }

func (b *budget) expire(now int64, percent float64) (live int) {
	edge := now/creditSpan - int64(ttl/creditSpan)
	b.spans = slices.DeleteFunc(b.spans, func(c credits) bool {
		if c.span <= edge {
			b.spent = max(0, b.spent-float64(c.n)*percent)
			return true
		}
		live += c.n
		return false
	})
	return live
}

func (b *budget) deposit(now int64, percent float64) {
	b.expire(now, percent)
	c := credits{span: now / creditSpan}
	i, is := slices.BinarySearchFunc(b.spans, c, func(a, b credits) int { return cmp.Compare(a.place(), b.place()) })
	if !is {
		b.spans = slices.Insert(b.spans, i, c)
	}
	b.spans[i].n++
}

func (b *budget) withdraw(now int64, percent, floor float64) bool {
	live := b.expire(now, percent)
	allowed := float64(live)*percent+floor*float64(ttl/second)-b.spent >= 1
	if allowed {
		b.spent++
	}
	return allowed
}

// backoff draws from the jitter window that a message has after its legs, in µs.
func (s *Sender) backoff(m *msg) int64 {
	window := min(backoffCap, backoffBase<<min(len(m.legs)-1, 10))
	return int64(s.chance() * float64(window))
}

// delayUnsent delays a message whose leg did not start, while there is time. What kept the leg from starting, such as a folder that takes no
// record, keeps the next from it too: without a delay all legs would be used up within milliseconds. A leg from before a restart is long over.
func (s *Sender) delayUnsent(m *msg) {
	latest := m.legs[len(m.legs)-1].call
	if at := s.now + s.backoff(m); !latest.r.placeholder && at <= m.lastChance() {
		m.notBefore = max(m.notBefore, at)
	}
}

// retry requeues a message after a failed leg as designed: budget, Retry-After plus full jitter, deadline.
func (s *Sender) retry(m *msg, o Outcome, wait int64) {
	d := m.dst
	if m.recalled || len(m.legs) >= s.limits.MaxLegs || m.firstMaybeRun() != nil && m.class.RetryMode == NonRetriable {
		s.endUndelivered(m, wait, RetryNotAllowed)
		return
	}
	if o == NotSent { // the destination was not called, so its budget does not apply
		s.delayUnsent(m)
		s.setState(m, queued)
		return
	}
	bucket, percent := &d.errorRetries, percentCanRetry
	if o == Refused && wait > 0 {
		bucket, percent = &d.retryAfterRetries, percentCanRetry*retryAfterMultiple
	}
	m.notBefore = s.now + wait + s.backoff(m)
	switch {
	case !bucket.withdraw(s.now, percent, s.floor):
		s.endUndelivered(m, wait, RetryBudgetExhausted)
		return
	case m.notBefore > m.lastChance():
		s.endUndelivered(m, wait, RetryTooLate)
		return
	}
	s.setState(m, queued)
}

// SetRetryFloor sets the retries a second always allowed at a destination; a negative one restores the default.
func (s *Sender) SetRetryFloor(perSec float64) {
	s.floor = perSec
	if perSec < 0 {
		s.floor = minRetriesPerSec
	}
}
