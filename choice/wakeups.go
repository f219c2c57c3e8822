package choice

import "slices"

// Which destinations a turn processes.

// wake has the coming turn process a destination; wakeBy has it processed by a time.
func (s *Sender) wake(d *dst) { s.wakeBy(d, s.now) }

func (s *Sender) wakeBy(d *dst, at int64) {
	switch {
	case d.due:
	case at <= s.now:
		s.wakes.drop(d)
		d.due = true
		s.due = append(s.due, d)
	case at < never && (d.at < 0 || at < d.wakeAt):
		d.wakeAt = at
		s.wakes.place(d)
	}
}

// dueDsts takes out all destinations to be processed in this turn, in the fixed order. So a turn costs what it has to do, not a scan of all
// destinations.
func (s *Sender) dueDsts() (ds []*dst) {
	for len(s.wakes) > 0 && s.wakes[0].wakeAt <= s.now {
		s.wake(s.wakes[0])
	}
	ds, s.due = s.due, nil
	slices.SortFunc(ds, func(a, b *dst) int { return int(a.number - b.number) })
	for _, d := range ds {
		d.due = false
	}
	return ds
}

// updateBusy maintains the list of destinations with calls in flight.
func (s *Sender) updateBusy(d *dst) {
	i, is := slices.BinarySearchFunc(s.busy, d, func(a, b *dst) int { return int(a.number - b.number) })
	switch {
	case len(d.calls) > 0 && !is:
		s.busy = slices.Insert(s.busy, i, d)
	case len(d.calls) == 0 && is:
		s.busy = slices.Delete(s.busy, i, i+1)
	}
}

func (s *Sender) setTimer() {
	at := never
	if len(s.expiry) > 0 {
		at = s.expiry[0].giveUp
	}
	if s.caps.Subscribe {
		at = min(at, s.lookupAt)
	}
	if len(s.wakes) > 0 {
		at = min(at, s.wakes[0].wakeAt)
	}
	// A send of this turn woke its destination, whose next ready time is not known yet. With all slots in use the destinations wait for an
	// outcome, and a timer would fire again and again.
	if len(s.due) > 0 && s.calls < s.limits.MaxCalls {
		at = s.now + 1
	}
	if at < s.timerAt && at < never {
		s.timerAt = at
		s.host.SetTimer(max(1, at-s.now), 0)
	}
}
