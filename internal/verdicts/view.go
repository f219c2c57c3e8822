package verdicts

import (
	"cmp"
	"slices"
	"strings"
)

// ownHolds is the part of its greatest age through which own sight stands against younger hearsay.
const ownHolds = 4

// Of lists the facts on a subject that count now: by kind, own sight first, then the youngest. Own sight hides hearsay that is older, and
// any while it is young itself; waits are heeded whoever they were told to.
func (t *Table) Of(now int64, s Subject) []Fact {
	own := map[slot]entry{}
	for _, h := range t.subjects[s] {
		if h.Origin == t.self && h.counts(now) {
			own[h.Kind.slot()] = h.entry
		}
	}
	var facts []Fact
	for _, h := range t.subjects[s] {
		if !h.counts(now) {
			continue
		}
		o, seen := own[h.Kind.slot()]
		if seen && h.Origin != t.self && h.Kind != Wait && (h.seen <= o.seen || now-o.seen < o.Kind.Greatest()/ownHolds) {
			continue
		}
		facts = append(facts, h.at(now))
	}
	slices.SortStableFunc(facts, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), bit(b.Origin == t.self)-bit(a.Origin == t.self), cmp.Compare(a.Age, b.Age),
			strings.Compare(a.Origin, b.Origin))
	})
	return facts
}

// Verdict is what the facts on a subject come to.
type Verdict struct {
	Down   bool
	Since  int64   // µs that it has been down
	Back   bool    // after it was down
	Warm   float64 // 0 to 1, of one that is back
	Wait   int64   // µs left of the longest wait told; 0 for none
	Limit  float64 // calls a second; 0 for none told
	Scarce bool
	Share  float64 // of the connections wanted that can be had, where scarce
}

// Verdict sums up Of: the youngest fact of a kind stands, of waits the longest.
func (t *Table) Verdict(now int64, s Subject) Verdict {
	var v Verdict
	youngest := map[slot]Fact{}
	for _, f := range t.Of(now, s) {
		if f.Kind == Wait {
			v.Wait = max(v.Wait, f.Left())
			continue
		}
		if y, ok := youngest[f.Kind.slot()]; !ok || f.Age < y.Age {
			youngest[f.Kind.slot()] = f
		}
	}
	switch f := youngest[Down.slot()]; f.Kind {
	case Down:
		v.Down, v.Since = true, f.For+f.Age
	case Back:
		v.Back, v.Warm = true, f.Level
	}
	if f, ok := youngest[Scarce.slot()]; ok {
		v.Scarce, v.Share = true, f.Level
	}
	v.Limit = youngest[Limit.slot()].Level
	return v
}

// Subjects lists what anything is known of, sorted.
func (t *Table) Subjects() []Subject { return slices.Clone(t.order) }

// Len is how many facts are in the table, those withdrawn or too old to count among them.
func (t *Table) Len() int {
	n := 0
	for _, hs := range t.subjects {
		n += len(hs)
	}
	return n
}
