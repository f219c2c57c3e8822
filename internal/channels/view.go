package channels

import (
	"maps"
	"slices"
)

// Seen is one channel as this sender sees it.
type Seen struct {
	Channel string
	Phase   Phase
	Owner   string // as last told; empty for not known
	Fence   uint64
	Last    int64
	Doubt   int64
	Held    int
	Version uint64 // of the contract in force, 0 for not known
	Closed  bool
}

// View lists the channels at hand, sorted by name.
func (t *Table) View() []Seen {
	var all []Seen
	for _, name := range slices.Sorted(maps.Keys(t.chans)) {
		c := t.chans[name]
		s := Seen{Channel: name, Phase: c.phase, Owner: c.other, Fence: c.fence, Last: c.mine.Last, Doubt: c.mine.Doubt, Held: len(c.entries)}
		if c.mine.Owner == t.self && c.phase != Fenced {
			s.Owner = t.self
		}
		if c.contract != nil {
			s.Version, s.Closed = c.contract.Version, c.mine.Closed >= c.contract.Version
		}
		all = append(all, s)
	}
	return all
}

// Counts are for metrics.
type Counts struct {
	Channels, Seats, Orders, Held int
	Bad                           int    // letters that make no sense
	Refused                       string // the last declaration that electors refused, and why
}

// Count counts.
func (t *Table) Count() Counts {
	return Counts{len(t.chans), len(t.seats), len(t.orders), t.held, t.bad, t.refused}
}

// Snapshot is all that must be durable, in order of keys: for a log that is written anew.
func (t *Table) Snapshot() []Row {
	kept := t.out
	t.out = Effects{}
	for _, name := range slices.Sorted(maps.Keys(t.orders)) {
		t.row(orderKey+name, t.orders[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.chans)) {
		c := t.chans[name]
		for _, e := range c.entries {
			t.row(entryRow(e), e)
		}
		if c.mine.Fence > 0 {
			t.row(ownKey+name, c.mine)
		}
	}
	for _, born := range slices.Sorted(maps.Keys(t.gone)) {
		t.row(goneRow(born), gone{born, t.gone[born]})
	}
	for _, name := range slices.Sorted(maps.Keys(t.seats)) {
		t.row(seatKey+name, t.seats[name])
	}
	rows := t.out.Rows
	t.out = kept
	return rows
}
