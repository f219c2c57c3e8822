package verdicts

import (
	"cmp"
	"slices"
	"strings"
)

// ownPrecedence divides the maximum age; for that long, an own observation takes precedence over newer ones of others.
const ownPrecedence = 4

// Facts returns the active facts on a subject, sorted by kind, own observations first, then by age. An own observation hides older ones of
// others, and any while it is recent itself; a retry-after counts whichever sender was told.
func (t *Table) Facts(now int64, s Subject) []Fact {
	own := map[slot]entry{}
	for _, r := range t.subjects[s] {
		if r.Origin == t.self && r.active(now) {
			own[r.Kind.slot()] = r.entry
		}
	}
	var facts []Fact
	for _, r := range t.subjects[s] {
		if !r.active(now) {
			continue
		}
		o, hasOwn := own[r.Kind.slot()]
		if hasOwn && r.Origin != t.self && r.Kind != RetryAfter && (r.latestSeen <= o.latestSeen || now-o.latestSeen < o.Kind.MaxAge()/ownPrecedence) {
			continue
		}
		facts = append(facts, r.factAt(now))
	}
	slices.SortStableFunc(facts, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), boolToInt(b.Origin == t.self)-boolToInt(a.Origin == t.self), cmp.Compare(a.Age, b.Age),
			strings.Compare(a.Origin, b.Origin))
	})
	return facts
}

// Verdict summarizes the facts on a subject.
type Verdict struct {
	Down        bool
	DownFor     int64   // µs that it has been down
	Recovered   bool    // after it was down
	Warmth      float64 // 0 to 1, if recovered
	RetryAfter  int64   // µs left of the longest retry-after; 0 for none
	Limit       float64 // calls per second; 0 for none
	ConnsScarce bool
	ConnShare   float64 // fraction of the wanted connections available, if scarce
}

// Verdict summarizes Facts: the most recent fact of a kind counts, and the longest retry-after.
func (t *Table) Verdict(now int64, s Subject) Verdict {
	var v Verdict
	latest := map[slot]Fact{}
	for _, f := range t.Facts(now, s) {
		if f.Kind == RetryAfter {
			v.RetryAfter = max(v.RetryAfter, f.Remaining())
			continue
		}
		if y, ok := latest[f.Kind.slot()]; !ok || f.Age < y.Age {
			latest[f.Kind.slot()] = f
		}
	}
	switch f := latest[Down.slot()]; f.Kind {
	case Down:
		v.Down, v.DownFor = true, f.Duration+f.Age
	case Recovered:
		v.Recovered, v.Warmth = true, f.Value
	}
	if f, ok := latest[ConnsScarce.slot()]; ok {
		v.ConnsScarce, v.ConnShare = true, f.Value
	}
	v.Limit = latest[Limit.slot()].Value
	return v
}

// Subjects returns the subjects of all facts, sorted.
func (t *Table) Subjects() []Subject { return slices.Clone(t.order) }

// Len returns the number of facts, including withdrawn and expired ones.
func (t *Table) Len() int {
	n := 0
	for _, hs := range t.subjects {
		n += len(hs)
	}
	return n
}
