package choice

// The list of receivers as it comes, and when discovery is asked for it.

const (
	askSpread = 0.5              // of the time within which each sender must ask: first lookups fall on it
	askMost   = 47 * second / 10 // µs from a failed lookup's call to the next; told counts 6 s after
	askDraw   = second * 4 / 10  // µs; less by a draw of so much. Discovery bears a call of each in 8 s
)

// Listed takes a list of receivers. A failed lookup leaves the old one in force.
func (s *Sender) Listed(form ListForm, entries []Entry) {
	if form == LookupFailed {
		s.lookupFailed()
		return
	}
	were := s.listBegins(form, len(entries))
	for _, e := range entries {
		s.listedOne(form, e)
	}
	s.listEnds(were)
	s.sweep()
}

func (s *Sender) listedOne(form ListForm, e Entry) {
	d := s.dst(e.Dst)
	if e.Kind >= 0 && e.Kind < len(s.kinds) {
		d.kind = s.kinds[e.Kind]
	}
	r := s.recvs[e.Receiver]
	if r == nil {
		r = s.newReceiver(e.Receiver, d)
		if d.down { // danger: a machine that replaces a dead one is cold, and the whole backlog waits for it
			s.become(r, closed)
		} else if form == Changes && s.troubled(d) { // danger: it may replace one not yet known ill, cold
			s.become(r, warming)
		}
	}
	r.zone, r.weight, r.listedAt = e.Zone, e.Weight, s.now
	s.wake(d)
	s.list(d, r, e.Listed)
	s.recallCold(r)
	if s.trust != NoWeight && r.weight > 0 && r.route.told == 0 {
		r.route.know(r.weight / float64(s.team.Senders))
	}
}

// lookupFailed draws when to ask again. Danger: what discovery can't answer in time still costs it the work;
// where all come back at one beat, none gets an answer. One that had long been answered draws over the whole
// span; then each keeps its place in it.
func (s *Sender) lookupFailed() {
	s.askAt = s.askedAt + askMost - int64(s.chance()*float64(askDraw))
	if s.now-s.askedAt >= askMost {
		s.askAt = s.now + int64(s.chance()*float64(askMost))
	}
}

// firstLookups is the span in µs over which the first lookups of all senders fall.
func (s *Sender) firstLookups() float64 {
	if s.guards.AskWithin <= 0 { // untold: no beat of zero
		return float64(askMost)
	}
	return min(float64(askMost), askSpread*float64(s.guards.AskWithin))
}

// Asked says that discovery was just called unasked, for a watch that fell silent or because discovery moved.
func (s *Sender) Asked() { s.askedAt = s.now }

// Lists tells whether a receiver of a destination is known, listed or not.
func (s *Sender) Lists(id int64) bool {
	d := s.dsts[id]
	return d != nil && d.known > 0
}

// Reachable tells whether a receiver is listed and no wait has been told there that still runs.
func (s *Sender) Reachable(receiver uint32) bool {
	r := s.recvs[receiver]
	return r != nil && r.place > 0 && s.now >= r.route.waitUntil
}

// Knows tells whether a receiver is still remembered.
func (s *Sender) Knows(receiver uint32) bool { return s.recvs[receiver] != nil }

// Forgotten lists the receivers that the latest list had forgotten.
func (s *Sender) Forgotten() []uint32 { return s.forgot }
