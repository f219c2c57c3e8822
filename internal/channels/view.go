package channels

import (
	"maps"
	"slices"
)

// ChannelStatus is the status of one channel at this sender.
type ChannelStatus struct {
	Channel   string
	Phase     Phase
	Owner     string // as last reported; empty if unknown
	Fence     uint64
	Last      int64
	Uncertain int64
	Held      int
	Version   uint64 // of the contract in force, 0 if unknown
	Closed    bool
}

// View returns the status of all known channels, sorted by name.
func (t *Table) View() []ChannelStatus {
	var all []ChannelStatus
	for _, name := range slices.Sorted(maps.Keys(t.channels)) {
		c := t.channels[name]
		s := ChannelStatus{Channel: name, Phase: c.phase, Owner: c.knownOwner, Fence: c.fence, Last: c.record.Last,
			Uncertain: c.record.Uncertain, Held: len(c.entries)}
		if c.record.Owner == t.self && c.phase != Fenced {
			s.Owner = t.self
		}
		if c.contract != nil {
			s.Version, s.Closed = c.contract.Version, c.record.Closed >= c.contract.Version
		}
		all = append(all, s)
	}
	return all
}

// Counts are the gauges and counters of a Table.
type Counts struct {
	Channels, VoterStates, Declarations, Held int
	Malformed                                 int    // malformed or unexpected peer messages
	LastRejection                             string // the last declaration that voters rejected, and the reason
}

// Count returns the current counts.
func (t *Table) Count() Counts {
	return Counts{len(t.channels), len(t.voterStates), len(t.declarations), t.held, t.malformed, t.lastRejection}
}

// Snapshot returns all durable rows, ordered by key, for rewriting the log.
func (t *Table) Snapshot() []Row {
	pending := t.effects
	t.effects = Effects{}
	for _, name := range slices.Sorted(maps.Keys(t.declarations)) {
		t.putRow(declarationKey+name, t.declarations[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.channels)) {
		c := t.channels[name]
		for _, e := range c.entries {
			t.putRow(entryRow(e), e)
		}
		if c.record.Fence > 0 {
			t.putRow(recordKey+name, c.record)
		}
	}
	for _, instance := range slices.Sorted(maps.Keys(t.purged)) {
		t.putRow(purgedRow(instance), purged{instance, t.purged[instance]})
	}
	for _, name := range slices.Sorted(maps.Keys(t.voterStates)) {
		t.putRow(voterKey+name, t.voterStates[name])
	}
	rows := t.effects.Rows
	t.effects = pending
	return rows
}
