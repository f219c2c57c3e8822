// Package verdicts holds what the senders of a fleet observed of destinations and receivers. Each fact has an origin, a version and an age.
// Merging does not depend on the order in which facts arrive, and a fact expires at the maximum age of its kind.
package verdicts

import (
	"cmp"
	"strings"
)

// Kind is the kind of a fact.
type Kind uint8

// The kinds. Down and Recovered replace each other.
const (
	Down        Kind = iota + 1 // Duration: µs that it had been down when observed
	Recovered                   // Duration: µs since it recovered when observed; Value: how far warmed up, 0 to 1
	RetryAfter                  // Duration: µs left of the wait that a destination asked for
	Limit                       // Value: calls per second
	ConnsScarce                 // connections are scarce; Value: fraction of the wanted connections available, 0 to 1
)

func (k Kind) String() string {
	if k < Down || k > ConnsScarce {
		return "unknown"
	}
	return [...]string{"down", "back", "wait", "limit", "scarce"}[k-1]
}

// Maximum ages in µs, beyond which a fact is ignored. Kinds that change fast, or that do harm when wrong, have shorter ones. What still
// holds is observed again by then.
const (
	MaxAgeDown        int64 = 10_000_000
	MaxAgeRecovered   int64 = 30_000_000
	MaxAgeRetryAfter  int64 = 60_000_000 // never beyond the end of the wait; a longer wait is cut to this and reported again by whoever is told again
	MaxAgeLimit       int64 = 60_000_000
	MaxAgeConnsScarce int64 = 5_000_000
)

// MaxAge returns the maximum age of a kind; 0 for an unknown kind.
func (k Kind) MaxAge() int64 {
	switch k {
	case Down:
		return MaxAgeDown
	case Recovered:
		return MaxAgeRecovered
	case RetryAfter:
		return MaxAgeRetryAfter
	case Limit:
		return MaxAgeLimit
	case ConnsScarce:
		return MaxAgeConnsScarce
	}
	return 0
}

// slot groups the kinds that replace each other: an origin has at most one fact per subject and slot.
type slot uint8

func (k Kind) slot() slot {
	if k == Recovered {
		return slot(Down)
	}
	return slot(k)
}

// retention is how long a fact or its withdrawal stays in the table; no older version in its slot can be active afterwards.
func (s slot) retention() int64 {
	if s == slot(Down) {
		return max(MaxAgeDown, MaxAgeRecovered)
	}
	return Kind(s).MaxAge()
}

// Subject is what a fact is about: a destination, or one of its receivers.
type Subject struct {
	Dst      int64
	Receiver string // empty for the destination as a whole
}

// Fact is one observation by one sender.
type Fact struct {
	Subject
	Kind        Kind
	Origin      string
	Incarnation uint64 // of the origin
	Version     uint64 // of the origin's facts in this incarnation
	Age         int64  // minimum µs since it was observed
	Slack       int64  // µs by which it may be older than that
	Duration    int64  // see Kind; as of the observation
	Value       float64
	Withdrawn   bool
}

// Remaining returns the maximum µs left of a retry-after: the fact may be older than Age.
func (f Fact) Remaining() int64 { return max(0, f.Duration-f.Age) }

const maxValue = 1e9 // calls per second

// valid reports whether the values are plausible, regardless of the sender.
func (f Fact) valid() bool {
	maxAge := f.Kind.MaxAge()
	switch {
	case maxAge == 0, f.Origin == "", f.Incarnation == 0, f.Version == 0, f.Dst < 0, len(f.Receiver) > maxNameLen, len(f.Origin) > maxNameLen:
		return false
	case f.Age < 0, f.Slack < 0, f.Age > maxPlausibleAge, f.Slack > maxPlausibleAge, f.Duration < 0, f.Duration > maxPlausibleAge:
		return false
	case f.Kind == RetryAfter && f.Duration > maxAge:
		return false
	case !(f.Value >= 0 && f.Value <= maxValue): // also rejects NaN
		return false
	}
	return f.Kind != Recovered && f.Kind != ConnsScarce || f.Value <= 1
}

// key identifies a fact; a newer version replaces an older one with the same key.
type key struct {
	Subject
	slot   slot
	origin string
}

func (f Fact) key() key { return key{f.Subject, f.Kind.slot(), f.Origin} }

func (a Subject) compare(b Subject) int {
	return cmp.Or(cmp.Compare(a.Dst, b.Dst), strings.Compare(a.Receiver, b.Receiver))
}

// entry is a fact as stored by this sender. The time of the observation lies between earliestSeen and latestSeen, by this sender's own
// clock.
type entry struct {
	Fact               // without ages
	latestSeen   int64 // at the latest
	earliestSeen int64 // at the earliest
}

// compareVersions orders the versions in a slot. Facts with equal versions that differ are ordered by their contents, so that all senders
// choose the same one.
func compareVersions(a, b Fact) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Version, b.Version), boolToInt(a.Withdrawn)-boolToInt(b.Withdrawn),
		cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Duration, b.Duration), cmp.Compare(a.Value, b.Value))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// merge combines two entries of one key: the newer version wins; for equal versions, the bounds on the observation time are intersected. It
// is commutative, associative and idempotent.
func merge(a, b entry) entry {
	switch c := compareVersions(a.Fact, b.Fact); {
	case c < 0:
		return b
	case c > 0:
		return a
	}
	a.latestSeen, a.earliestSeen = min(a.latestSeen, b.latestSeen), max(a.earliestSeen, b.earliestSeen)
	return a
}

// active reports whether the entry is not withdrawn and its age is certainly below the maximum. A retry-after is active until it ends.
func (e entry) active(now int64) bool {
	if e.Withdrawn || now-min(e.earliestSeen, e.latestSeen) >= e.Kind.MaxAge() {
		return false
	}
	return e.Kind != RetryAfter || now-e.latestSeen < e.Duration
}

// expired reports whether no older version that may still arrive in its slot could be active.
func (e entry) expired(now int64) bool { return now-e.latestSeen >= e.Kind.slot().retention() }

// factAt returns the entry as a fact with its age at the given time.
func (e entry) factAt(now int64) Fact {
	f := e.Fact
	f.Age = max(0, now-e.latestSeen)
	f.Slack = max(0, e.latestSeen-e.earliestSeen)
	return f
}
