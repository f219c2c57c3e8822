package choice

import "math"

// How to call it: New for each start of a sender, on the Host of host.go, where the plain types are too. For each turn: At(now), the turn's
// events in order (Listed, Take, Began, Settled, Withdrawn, Probed, Rang), then Decide once. Events only update state and answer messages that
// are over; Decide does all the sending. The ordinary path: Settled -> repeat (retry budget, told wait plus full jitter, deadline) -> Decide ->
// call. Each file has one job, named at its head, and the constants that belong to it.

const (
	never  = int64(math.MaxInt64 / 4) // µs; a time that does not come
	second = int64(1_000_000)         // µs
)

// Rang takes back the one timer.
func (s *Sender) Rang(uint64) { s.timerAt = never }

// Decide is the end of a turn: answers what is out of time, tries what is closed, sends what may go.
func (s *Sender) Decide() {
	if s.allowed.Subscribe && (s.now >= s.askAt || s.askedAt == 0 && len(s.order) == 0) { // nothing known at all
		s.askAt, s.askedAt = never, s.now
		s.host.Subscribe()
	}
	s.restOver()
	for len(s.expiry) > 0 && s.expiry[0].giveUp <= s.now {
		s.end(s.expiry[0], 0, OutOfTime)
	}
	awake := s.awake()
	s.callOff() // once they are no longer due: what it sets for later would be lost
	var ready []*dst
	for _, d := range awake {
		if len(d.held) > 0 || len(d.recvs) > 0 {
			s.tryClosed(d)
			s.giveUp(d)
			ready = append(ready, d)
		}
	}
	s.dispatch(ready)
	s.makeRoom()
	for _, r := range s.spare {
		s.host.CloseIdle(r.id)
	}
	s.spare = s.spare[:0]
	s.setTimer()
}
