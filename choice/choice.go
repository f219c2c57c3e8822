package choice

import "math"

// Usage: call New at each start of a sender with the Host and the plain types of host.go. In each turn call SetTime(now), pass the turn's events
// in order (UpdateList, Accept, StreamStarted, LegEnded, Withdraw, ProbeEnded, TimerFired), then call Decide once. Events only update state and
// answer messages that are over; Decide does all the sending. The usual path of a failed leg: LegEnded -> retry (retry budget, Retry-After plus
// full jitter, deadline) -> Decide -> call. Each file has one responsibility, stated at its head, and holds the constants for it.

const (
	never  = int64(math.MaxInt64 / 4) // µs; later than any real time
	second = int64(1_000_000)         // µs
)

// TimerFired takes the event that the single timer fired.
func (s *Sender) TimerFired(uint64) { s.timerAt = never }

// Decide ends a turn: it answers messages past their deadline, probes closed receivers and sends what may go.
func (s *Sender) Decide() {
	if s.caps.Subscribe && (s.now >= s.lookupAt || s.lastLookupAt == 0 && len(s.order) == 0) { // no receiver is known at all
		s.lookupAt, s.lastLookupAt = never, s.now
		s.host.Subscribe()
	}
	s.dropQuietQueues()
	for len(s.expiry) > 0 && s.expiry[0].giveUp <= s.now {
		s.endUndelivered(s.expiry[0], 0, DeadlineExceeded)
	}
	dueDsts := s.dueDsts()
	s.cancelOverdue() // after dueDsts, which would drop the wake-ups set here
	var ready []*dst
	for _, d := range dueDsts {
		if len(d.queued) > 0 || len(d.recvs) > 0 {
			s.probeClosed(d)
			s.giveUp(d)
			ready = append(ready, d)
		}
	}
	s.dispatch(ready)
	s.shedLargest()
	for _, r := range s.connScarce {
		s.host.CloseIdle(r.id)
	}
	s.connScarce = s.connScarce[:0]
	s.setTimer()
}
