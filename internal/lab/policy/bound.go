package policy

import (
	"slices"

	"ravenlink/choice"
)

const (
	boundLooks    = second / 100 // µs between looks at the true state while something waits
	boundPatience = 6            // times the mean work at that receiver for which it waits for an answer
	boundScans    = 200          // held messages of one destination weighed for each leg; further ones wait their turn
)

// bound sees the true state of every receiver and sends only what will be worked on at once. It is no policy that could
// be built, and no proof of a bound either: it decides greedily, each sender in its turn.
type bound struct {
	Start
	now     int64
	msgs    map[string]*boundItem // emptied as messages end and their legs settle
	dsts    map[int64]*boundDst
	order   []*boundDst
	targets map[uint32]*target
	lines   map[string]*boundLine // emptied as lines run empty and have rested
	out     int
	ringing bool
}

type boundItem struct {
	item
	dst  *boundDst
	line *boundLine
}

type boundDst struct {
	apart     bool
	targets   []*target
	held      []*boundItem
	waitUntil int64
}

type boundLine struct {
	items []*boundItem
	rest  int64
}

func newBound(s Start) Policy {
	return &bound{Start: s, msgs: map[string]*boundItem{}, dsts: map[int64]*boundDst{}, targets: map[uint32]*target{},
		lines: map[string]*boundLine{}}
}

func (b *bound) At(now int64)                                 { b.now = now }
func (b *bound) Noted(string)                                 {}
func (b *bound) Probed(uint32, choice.Outcome, choice.Report) {}
func (b *bound) Rang(uint64)                                  { b.ringing = false }

func (b *bound) Listed(form choice.ListForm, entries []choice.Entry) {
	if form == choice.LookupFailed {
		return
	}
	if form != choice.Changes {
		for _, d := range b.order {
			d.targets = nil
		}
	}
	for _, e := range entries {
		d := b.dsts[e.Dst]
		if d == nil {
			d = &boundDst{}
			b.dsts[e.Dst] = d
			b.order = append(b.order, d)
		}
		d.apart = e.Kind >= 0 && b.Kinds[e.Kind].Apart
		t := b.targets[e.Receiver]
		if t == nil {
			t = &target{id: e.Receiver, zone: e.Zone}
			b.targets[e.Receiver] = t
		}
		d.targets = slices.DeleteFunc(d.targets, func(o *target) bool { return o == t })
		if e.Listed {
			d.targets = append(d.targets, t)
		}
	}
}

func (b *bound) Take(id string, lane int, key string, to, expires int64, _ ...choice.PastLeg) {
	d := b.dsts[to]
	if d == nil {
		b.Host.PushBack(id, 0)
		return
	}
	m := &boundItem{item: item{id: id, lane: &b.Lanes[lane], expires: expires}, dst: d}
	b.msgs[id] = m
	d.held = append(d.held, m)
	if m.lane.InOrder && key != "" {
		if m.line = b.lines[key]; m.line == nil {
			m.line = &boundLine{}
			b.lines[key] = m.line
		}
		m.line.items = append(m.line.items, m)
	}
}

func (b *bound) Withdrawn(id string) {
	if m := b.msgs[id]; m != nil {
		b.over(m)
	}
}

func (b *bound) over(m *boundItem) {
	m.over = true
	m.dst.held = slices.DeleteFunc(m.dst.held, func(o *boundItem) bool { return o == m })
	if m.out() > 0 {
		return
	}
	delete(b.msgs, m.id)
	if m.line != nil {
		m.line.items = slices.DeleteFunc(m.line.items, func(o *boundItem) bool { return o == m })
	}
}

func (b *bound) Settled(id string, number int, o choice.Outcome, wait int64, final bool, _ choice.Report) {
	m := b.msgs[id]
	if m == nil || number >= len(m.legs) || m.legs[number].settled {
		return
	}
	m.legs[number].settled, m.legs[number].never = true, o.NeverRan()
	b.out--
	if to := m.legs[number].r; wait > 0 && m.dst.apart {
		to.waitUntil = max(to.waitUntil, b.now+wait)
	} else if wait > 0 {
		m.dst.waitUntil = max(m.dst.waitUntil, b.now+wait)
	}
	if m.line != nil && (o == choice.TimedOut || o == choice.Reset || o == choice.Cancelled) {
		m.line.rest = b.now + b.Guards.KeyRest
	}
	switch {
	case final || m.over:
		b.over(m)
	case len(m.legs) >= b.Room.Legs || m.risky() != nil && m.lane.Repeat == choice.NonRetriable:
		b.end(m)
	default:
		m.dst.held = append(m.dst.held, m)
	}
}

func (b *bound) end(m *boundItem) {
	n := len(m.legs)
	harmless := m.lane.Repeat == choice.Retriable || m.risky() == nil || m.lane.Repeat == choice.Keyed && m.lane.AnyInDst
	if (n == 0 || m.legs[n-1].never) && harmless {
		b.Host.PushBack(m.id, min(second, b.Allowed.MaxAdvice))
	} else {
		b.Host.Fail(m.id)
	}
	b.over(m)
}

// Decide sends while the true state has room. A message still in time goes before one that is late; of those in time
// the oldest, of the late ones the youngest.
func (b *bound) Decide() {
	waits := false
	for _, d := range b.order {
		if len(d.held) == 0 {
			continue
		}
		for _, m := range slices.Clone(d.held) {
			if b.now >= b.lastChance(m) {
				b.end(m)
			}
		}
		for b.out < b.Room.Slots {
			m, t := b.next(d)
			if m == nil {
				break
			}
			b.send(d, m, t)
		}
		waits = waits || len(d.held) > 0
	}
	if waits && !b.ringing {
		b.ringing = true
		b.Host.Timer(boundLooks, 0)
	}
}

func (b *bound) lastChance(m *boundItem) int64 {
	if l := m.risky(); l != nil && m.lane.Repeat == choice.Keyed {
		return min(m.expires-margin, l.at+m.lane.Window-margin)
	}
	return m.expires - margin
}

func (b *bound) next(d *boundDst) (best *boundItem, to *target) {
	if d.waitUntil > b.now {
		return nil, nil
	}
	rank := func(m *boundItem) (late bool, age int64) {
		age = b.now - (m.expires - m.lane.Deadline)
		return age > m.lane.Target, age
	}
	for _, m := range d.held[:min(len(d.held), boundScans)] {
		if m.line != nil && (m.line.items[0] != m || m.line.rest > b.now) {
			continue
		}
		late, age := rank(m)
		if best != nil {
			bestLate, bestAge := rank(best)
			if late && !bestLate || late == bestLate && (age < bestAge) != late {
				continue
			}
		}
		if t := b.fastest(d, m); t != nil {
			best, to = m, t
		} else if best == nil && m.risky() == nil {
			return nil, nil // no room for anything here
		}
	}
	return best, to
}

func (b *bound) fastest(d *boundDst, m *boundItem) (to *target) {
	least, risk := 0.0, m.risky()
	for _, t := range d.targets {
		if risk != nil && m.lane.Repeat == choice.Keyed && !m.lane.AnyInDst && t.zone != risk.r.zone {
			continue
		}
		if t.waitUntil > b.now || b.Truth.Room(b.Sender, t.id) <= 0 {
			continue
		}
		if took := b.Truth.Took(t.id); to == nil || took < least {
			to, least = t, took
		}
	}
	return to
}

func (b *bound) send(d *boundDst, m *boundItem, t *target) {
	d.held = slices.DeleteFunc(d.held, func(o *boundItem) bool { return o == m })
	b.out++
	m.legs = append(m.legs, past{r: t, at: b.now})
	patience := max(m.lane.Target, int64(boundPatience*b.Truth.Took(t.id))) // answers get lost, which nobody sees before
	b.Host.Send(m.id, t.id, max(1, min(patience, m.expires-margin-b.now)))
}
