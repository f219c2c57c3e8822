package choice

// Updates of the list of receivers, and when discovery is asked for it.

const (
	lookupSpread = 0.5              // of MaxLookupInterval; first lookups are spread over it
	maxLookupGap = 47 * second / 10 // µs from the start of a failed lookup to the next; a sender must know a list change 6 s after discovery has it
	lookupJitter = second * 4 / 10  // µs; random reduction of that. Discovery can take one lookup of each sender in 8 s
)

// UpdateList takes a list of receivers. A failed lookup leaves the old one in force.
func (s *Sender) UpdateList(form ListKind, entries []Entry) {
	if form == LookupFailed {
		s.lookupFailed()
		return
	}
	before := s.listBegins(form, len(entries))
	for _, e := range entries {
		s.listedOne(form, e)
	}
	s.listEnds(before)
	s.sweep()
}

func (s *Sender) listedOne(form ListKind, e Entry) {
	d := s.dst(e.Dst)
	if e.Kind >= 0 && e.Kind < len(s.kinds) {
		d.kind = s.kinds[e.Kind]
	}
	r := s.recvs[e.Receiver]
	if r == nil {
		r = s.newReceiver(e.Receiver, d)
		if d.down { // a machine that replaces a dead one is cold, and the whole backlog waits for it
			s.setHealth(r, closed)
		} else if form == Delta && s.showsTrouble(d) { // it may replace one not yet known to be unhealthy, and be cold
			s.setHealth(r, warming)
		}
	}
	r.zone, r.weight, r.listedAt = e.Zone, e.Weight, s.now
	s.wake(d)
	s.list(d, r, e.Listed)
	s.applyRestoredCold(r)
	if s.trust != NoWeight && r.weight > 0 && r.route.announcedLimit == 0 {
		r.route.setShare(r.weight / float64(s.topology.Senders))
	}
}

// lookupFailed schedules the next lookup at random. Lookups that discovery cannot answer in time still cost it the work; if all senders retry in
// step, none gets an answer. A sender whose last lookup was long ago draws from the whole interval and then keeps its phase.
func (s *Sender) lookupFailed() {
	s.lookupAt = s.lastLookupAt + maxLookupGap - int64(s.chance()*float64(lookupJitter))
	if s.now-s.lastLookupAt >= maxLookupGap {
		s.lookupAt = s.now + int64(s.chance()*float64(maxLookupGap))
	}
}

// firstLookups is the span in µs over which the first lookups of all senders are spread.
func (s *Sender) firstLookups() float64 {
	if s.rules.MaxLookupInterval <= 0 { // not configured: an interval of zero would synchronize them
		return float64(maxLookupGap)
	}
	return min(float64(maxLookupGap), lookupSpread*float64(s.rules.MaxLookupInterval))
}

// LookupStarted takes the event that discovery was called without a Subscribe, as a watch fell silent or discovery moved.
func (s *Sender) LookupStarted() { s.lastLookupAt = s.now }

// KnowsDst tells whether a receiver of a destination is known, listed or not.
func (s *Sender) KnowsDst(id int64) bool {
	d := s.dsts[id]
	return d != nil && d.knownRecvs > 0
}

// Reachable tells whether a receiver is listed and not within a Retry-After.
func (s *Sender) Reachable(receiver uint32) bool {
	r := s.recvs[receiver]
	return r != nil && r.listIndex > 0 && s.now >= r.route.waitUntil
}

// KnowsReceiver tells whether a receiver is still remembered.
func (s *Sender) KnowsReceiver(receiver uint32) bool { return s.recvs[receiver] != nil }

// Forgotten lists the receivers that the latest list update removed.
func (s *Sender) Forgotten() []uint32 { return s.forgotten }
