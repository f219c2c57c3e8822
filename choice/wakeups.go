package choice

import "slices"

// Which destinations a turn looks at.

// wake has the coming turn look at a destination; wakeBy has it looked at by then.
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

// awake takes out all that is to be looked at in this turn, in the fixed order. So a turn costs what it has to do, and not
// a walk over all destinations.
func (s *Sender) awake() (ds []*dst) {
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

// keepBusy keeps the list of destinations with calls out.
func (s *Sender) keepBusy(d *dst) {
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
	if s.allowed.Subscribe {
		at = min(at, s.askAt)
	}
	if len(s.wakes) > 0 {
		at = min(at, s.wakes[0].wakeAt)
	}
	// What this turn sent woke its destination: its next time to go is not known yet. With all slots in use they
	// wait for an outcome, and a timer would ring again and again.
	if len(s.due) > 0 && s.calls < s.room.Slots {
		at = s.now + 1
	}
	if at < s.timerAt && at < never {
		s.timerAt = at
		s.host.Timer(max(1, at-s.now), 0)
	}
}
