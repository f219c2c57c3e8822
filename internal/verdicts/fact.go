// Package verdicts holds what the senders of a fleet saw of destinations and receivers. Each fact has an origin, a version and an
// age; merged facts do not depend on the order in which they came, and none counts beyond its kind's greatest age.
package verdicts

import (
	"cmp"
	"strings"
)

// Kind of a fact.
type Kind uint8

// The kinds. Down and Back take each other's place.
const (
	Down   Kind = iota + 1 // For: µs that it was down already when seen
	Back                   // For: µs that it was back already when seen; Level: how warm, 0 to 1
	Wait                   // For: µs left of a wait that was told
	Limit                  // Level: calls a second
	Scarce                 // connections are; Level: share of those wanted that can be had, 0 to 1
)

func (k Kind) String() string {
	if k < Down || k > Scarce {
		return "unknown"
	}
	return [...]string{"down", "back", "wait", "limit", "scarce"}[k-1]
}

// Greatest ages in µs: beyond it a fact counts for nothing. What changes fast, or does harm when it is wrong, has the shorter one.
// What still holds is seen anew by then.
const (
	GreatestDown   int64 = 10_000_000
	GreatestBack   int64 = 30_000_000
	GreatestWait   int64 = 60_000_000 // and never past the wait's end; a longer one is cut to this, and told anew by who is told it anew
	GreatestLimit  int64 = 60_000_000
	GreatestScarce int64 = 5_000_000
)

// Greatest is the greatest age of a kind; 0 for an unknown one.
func (k Kind) Greatest() int64 {
	switch k {
	case Down:
		return GreatestDown
	case Back:
		return GreatestBack
	case Wait:
		return GreatestWait
	case Limit:
		return GreatestLimit
	case Scarce:
		return GreatestScarce
	}
	return 0
}

// slot is what one origin has one fact in.
type slot uint8

func (k Kind) slot() slot {
	if k == Back {
		return slot(Down)
	}
	return slot(k)
}

// kept is how long a fact or its withdrawal stays in the table: no older version in its slot can count any more afterwards.
func (s slot) kept() int64 {
	if s == slot(Down) {
		return max(GreatestDown, GreatestBack)
	}
	return Kind(s).Greatest()
}

// Subject is what a fact is about: a destination, or one receiver of it.
type Subject struct {
	Dst      int64
	Receiver string // empty for the destination as a whole
}

// Fact is one sight of one sender.
type Fact struct {
	Subject
	Kind        Kind
	Origin      string
	Incarnation uint64 // of the origin
	Version     uint64 // of the origin's facts in this incarnation
	Age         int64  // µs at least since it was seen
	Slack       int64  // µs that it may be older than that
	For         int64  // see Kind; as it was when seen
	Level       float64
	Withdrawn   bool
}

// Left is what is left of a wait, in µs: at most, since the fact may be older than Age.
func (f Fact) Left() int64 { return max(0, f.For-f.Age) }

const maxLevel = 1e9 // calls a second

// sane tells whether its figures make sense, whoever says them.
func (f Fact) sane() bool {
	g := f.Kind.Greatest()
	switch {
	case g == 0, f.Origin == "", f.Incarnation == 0, f.Version == 0, f.Dst < 0, len(f.Receiver) > maxName, len(f.Origin) > maxName:
		return false
	case f.Age < 0, f.Slack < 0, f.Age > absurdAge, f.Slack > absurdAge, f.For < 0, f.For > absurdAge:
		return false
	case f.Kind == Wait && f.For > g:
		return false
	case !(f.Level >= 0 && f.Level <= maxLevel): // also not a number
		return false
	}
	return f.Kind != Back && f.Kind != Scarce || f.Level <= 1
}

// key names a fact: a newer version in it takes the place of an older one.
type key struct {
	Subject
	slot   slot
	origin string
}

func (f Fact) key() key { return key{f.Subject, f.Kind.slot(), f.Origin} }

func (a Subject) compare(b Subject) int {
	return cmp.Or(cmp.Compare(a.Dst, b.Dst), strings.Compare(a.Receiver, b.Receiver))
}

// entry is a fact as one sender has it. The moment when it was seen lies between surely and seen, by this sender's own clock.
type entry struct {
	Fact         // without ages
	seen   int64 // at the latest
	surely int64 // at the earliest
}

// newer is the order of versions in a slot. Two of one version that differ are told apart by what they say, so that all choose the same.
func newer(a, b Fact) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Version, b.Version), bit(a.Withdrawn)-bit(b.Withdrawn),
		cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.For, b.For), cmp.Compare(a.Level, b.Level))
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// merge of two entries of one key: the newer version; of one version, what both know of its moment. It is commutative, associative and
// idempotent.
func merge(a, b entry) entry {
	switch c := newer(a.Fact, b.Fact); {
	case c < 0:
		return b
	case c > 0:
		return a
	}
	a.seen, a.surely = min(a.seen, b.seen), max(a.surely, b.surely)
	return a
}

// counts: not withdrawn, and surely not beyond the greatest age. A wait counts to its end.
func (e entry) counts(now int64) bool {
	if e.Withdrawn || now-min(e.surely, e.seen) >= e.Kind.Greatest() {
		return false
	}
	return e.Kind != Wait || now-e.seen < e.For
}

// over: nothing that its slot could still hear of would count.
func (e entry) over(now int64) bool { return now-e.seen >= e.Kind.slot().kept() }

// at is the entry as a fact of this moment.
func (e entry) at(now int64) Fact {
	f := e.Fact
	f.Age = max(0, now-e.seen)
	f.Slack = max(0, e.seen-e.surely)
	return f
}
