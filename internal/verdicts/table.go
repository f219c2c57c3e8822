package verdicts

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ravenlink/internal/members"
	"ravenlink/internal/post"
)

// Timing holds the intervals of a table, in µs.
type Timing struct {
	GossipInterval   int64 // between gossip rounds
	ExchangeInterval int64 // between digest comparisons with another sender
	SyncTimeout      int64 // after which a joining sender stops waiting for the facts of others
}

// Bounds limits the size of a table and of what it sends.
type Bounds struct {
	MaxSubjects int // more are rejected until facts have expired
	MaxOrigins  int // facts per subject and kind; a newer one replaces the oldest
	MaxBytes    int // size of one message
	BytesPerSec int // of all messages together; what does not fit waits for the next round
}

// Defaults returns the default timing and bounds.
func Defaults() (Timing, Bounds) {
	return Timing{GossipInterval: 100_000, ExchangeInterval: 1_000_000, SyncTimeout: 3_000_000},
		Bounds{MaxSubjects: 4096, MaxOrigins: 16, MaxBytes: 1200, BytesPerSec: 2000}
}

const (
	fanout          = 4             // targets of each send of a new fact
	rounds          = 4             // times that a new fact is sent, each to fanout targets
	roundsLow       = 2             // the same, with less than a second's budget left
	suppressAfter   = 3             // origins with the same fact on a subject: further ones are stored but not forwarded
	syncPeers       = 3             // senders that a joining sender compares digests with
	buckets         = 32            // digest buckets of a table
	maxReplies      = 4             // messages at most in reply to a digest
	maxNameLen      = 200           // bytes
	maxFacts        = 256           // per message; more is rejected
	maxPlausibleAge = 3_600_000_000 // µs
	driftDivisor    = 5000          // clocks differ by at most one part in this
	maxResendAge    = 2_000_000     // µs: facts up to this age are sent again to a peer that could not date them
	burstSeconds    = 4             // seconds of BytesPerSec that may be saved up
	changeDivisor   = 10            // a relative change of a value below one part in this is not propagated
)

// Counts counts rejected messages and facts by cause, and bytes sent.
type Counts struct {
	Unlisted, Unknown, Invalid, Future, Undated, Full uint64
	Bytes                                             uint64 // approximate, of all messages
}

// peer is the state of another sender.
type peer struct {
	name              string
	unreachable       bool   // dead or left, per the view
	needsSync         bool   // was unreachable and has returned: digests are compared in the next round
	incarnation       uint64 // per the view or its own messages
	folder            uint64
	clock             clock
	resendRequestedAt int64 // last request to send undated facts again
}

// Table is the fact table of one sender. It is not safe for concurrent use.
type Table struct {
	timing       Timing
	bounds       Bounds
	self         string
	incarnation  uint64
	version      uint64
	subjects     map[Subject][]*record // per subject, sorted by slot and origin
	order        []Subject             // sorted
	peers        map[string]*peer
	names        []string  // of all peers, sorted
	aliveCount   int       // number of peers that are alive
	targets      []string  // alive or suspect, shuffled: a suspect is mostly on a slow link, and a message costs less than a fact not received in time
	nextTarget   int       // index of the next target
	hot          []*record // in the order in which they became hot
	rng          *rand.Rand
	tokens       float64 // bytes that may be sent
	tokensAt     int64
	started      bool
	hasView      bool
	startedAt    int64
	nextRound    int64
	nextExchange int64
	syncedWith   map[string]bool
	slotCounter  uint64
	counts       Counts
	purgedAt     map[int64]int64 // time of the last purge by destination; trimmed by Forget, at most the destinations in the operator's file
}

// record is an entry with its forwarding state.
type record struct {
	entry
	sendsLeft  int  // rounds in which it is still sent
	queued     bool // in the hot list
	suppressed bool // own, but enough others have reported the same
}

// New returns the table of a sender in one incarnation. It sends nothing before SetView names the others.
func New(self string, incarnation uint64, t Timing, bounds Bounds) *Table {
	return &Table{timing: t, bounds: bounds, self: self, incarnation: incarnation, subjects: map[Subject][]*record{}, peers: map[string]*peer{},
		syncedWith: map[string]bool{}, rng: rand.New(rand.NewPCG(xxhash.Sum64String(self), incarnation)),
		tokens: float64(burstSeconds * bounds.BytesPerSec)}
}

func (t *Table) start(now int64) {
	if !t.started {
		t.started, t.startedAt, t.nextRound, t.nextExchange, t.tokensAt = true, now, now, now, now
	}
}

// Counts returns the counters.
func (t *Table) Counts() Counts { return t.counts }

// SetView updates the listed members and their states. It removes facts of origins that are no longer listed.
func (t *Table) SetView(now int64, v members.View) {
	t.start(now)
	t.hasView = true
	listed := map[string]bool{}
	t.aliveCount, t.targets, t.names = 0, t.targets[:0], t.names[:0]
	for _, m := range v.Members {
		listed[m.Name] = true
		if m.Name == t.self {
			t.incarnation = max(t.incarnation, m.Incarnation)
			continue
		}
		p := t.peers[m.Name]
		if p == nil {
			p = &peer{name: m.Name}
			t.peers[m.Name] = p
		}
		t.resetNewFolder(p, m)
		unreachable := m.State != members.Alive && m.State != members.Suspect
		p.needsSync = !unreachable && (p.needsSync || p.unreachable)
		p.unreachable, p.incarnation = unreachable, max(p.incarnation, m.Incarnation)
		t.names = append(t.names, m.Name)
		t.aliveCount += boolToInt(m.State == members.Alive)
		if !unreachable && p.incarnation > 0 {
			t.targets = append(t.targets, m.Name)
		}
	}
	for name := range t.peers {
		if !listed[name] {
			delete(t.peers, name)
		}
	}
	t.rng.Shuffle(len(t.targets), func(i, j int) { t.targets[i], t.targets[j] = t.targets[j], t.targets[i] })
	t.retain(func(r *record) bool { return r.Origin == t.self || listed[r.Origin] })
}

// resetNewFolder handles a sender with a new folder. Its incarnations count from one again, so state with higher incarnations would
// otherwise mask its new facts.
func (t *Table) resetNewFolder(p *peer, m members.Member) {
	if p.folder != 0 && m.Folder != p.folder {
		*p = peer{name: p.name}
		t.retain(func(r *record) bool { return r.Origin != m.Name || r.Incarnation <= m.Incarnation })
	}
	p.folder = m.Folder
}

// retain removes the records for which keep returns false.
func (t *Table) retain(keep func(*record) bool) {
	t.order = slices.DeleteFunc(t.order, func(s Subject) bool {
		t.subjects[s] = slices.DeleteFunc(t.subjects[s], func(r *record) bool {
			if !keep(r) {
				r.sendsLeft = 0
				return true
			}
			return false
		})
		if len(t.subjects[s]) == 0 {
			delete(t.subjects, s)
			return true
		}
		return false
	})
}

// Syncing reports whether a joining sender should still send only a trickle: until it has compared digests with three other senders (all,
// if fewer are alive), or SyncTimeout has passed.
func (t *Table) Syncing(now int64) bool {
	if !t.started {
		return true
	}
	if now-t.startedAt >= t.timing.SyncTimeout {
		return false
	}
	return !t.hasView || len(t.syncedWith) == 0 && len(t.names) > 0 || len(t.syncedWith) < min(syncPeers, t.aliveCount)
}

// Observe records an observation of this sender. The caller sets the age and the values of the kind.
func (t *Table) Observe(now int64, f Fact) []post.PeerMessage[Msg] {
	t.start(now)
	f.Origin, f.Incarnation, f.Version, f.Slack, f.Withdrawn = t.self, t.incarnation, t.version+1, 0, false
	if f.Kind == RetryAfter {
		f.Duration = min(f.Duration, MaxAgeRetryAfter)
	}
	if !f.valid() {
		t.counts.Invalid++
		return nil
	}
	f = pack(f).fact() // rounded as others will receive it
	e := entry{Fact: f, latestSeen: now - f.Age, earliestSeen: now - f.Age - f.Slack}
	e.Age, e.Slack = 0, 0
	if old := t.find(f.key()); old != nil && old.Incarnation == t.incarnation && old.active(now) && !old.changedBy(e, now) {
		return nil
	}
	r := t.put(now, e)
	if r == nil {
		return nil
	}
	t.version++
	if t.corroborated(now, r) {
		r.suppressed, r.sendsLeft = true, 0
		return nil
	}
	return t.sendNow(now, []*record{r})
}

// changedBy reports whether an own fact next adds to e: another kind, a different value, or a refresh of an aged fact.
func (e entry) changedBy(next entry, now int64) bool {
	if e.Kind != next.Kind || e.Withdrawn || now-e.earliestSeen >= next.Kind.MaxAge()/3 {
		return true
	}
	if d := next.Value - e.Value; max(d, -d)*changeDivisor > max(next.Value, e.Value) {
		return true
	}
	if next.Kind == RetryAfter {
		end, oldEnd := next.latestSeen+next.Duration, e.latestSeen+e.Duration
		return max(end-oldEnd, oldEnd-end)*changeDivisor > max(next.Duration, oldEnd-now)
	}
	return false
}

// Withdraw ends an own fact: it no longer holds, and nothing replaces it.
func (t *Table) Withdraw(now int64, s Subject, k Kind) []post.PeerMessage[Msg] {
	t.start(now)
	old := t.find(key{s, k.slot(), t.self})
	if old == nil || old.Withdrawn {
		return nil
	}
	e := old.entry
	e.Incarnation, e.Version, e.Withdrawn, e.latestSeen, e.earliestSeen = t.incarnation, t.version+1, true, now, now
	t.version++
	r := t.put(now, e)
	return t.sendNow(now, []*record{r})
}

// corroborated reports whether enough other origins report the same fact.
func (t *Table) corroborated(now int64, e *record) bool {
	n := 0
	for _, r := range t.subjects[e.Subject] {
		if r.Origin != e.Origin && r.Kind == e.Kind && r.active(now) && !r.entry.changedBy(e.entry, now) {
			n++
		}
	}
	return n >= suppressAfter
}

func (t *Table) find(k key) *record {
	if i, ok := t.index(k); ok {
		return t.subjects[k.Subject][i]
	}
	return nil
}

func (t *Table) index(k key) (int, bool) {
	return slices.BinarySearchFunc(t.subjects[k.Subject], k, func(r *record, k key) int {
		if c := int(r.Kind.slot()) - int(k.slot); c != 0 {
			return c
		}
		return compareNames(r.Origin, k.origin)
	})
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// put is the only method that inserts or changes entries. It returns nil if there is no room or nothing changed; a fact that becomes active
// through tighter bounds on its age counts as a change.
func (t *Table) put(now int64, e entry) *record {
	if t.purged(e) {
		return nil
	}
	if e.expired(now) {
		return nil
	}
	k := e.key()
	i, ok := t.index(k)
	if ok {
		r := t.subjects[k.Subject][i]
		before := r.entry
		r.entry = merge(before, e)
		if compareVersions(r.Fact, before.Fact) == 0 && (before.active(now) || !r.active(now)) {
			return nil
		}
		t.markHot(r)
		return r
	}
	if !t.makeRoom(now, e) {
		t.counts.Full++
		return nil
	}
	i, _ = t.index(k)
	r := &record{entry: e}
	if _, known := t.subjects[k.Subject]; !known {
		at, _ := slices.BinarySearchFunc(t.order, k.Subject, Subject.compare)
		t.order = slices.Insert(t.order, at, k.Subject)
	}
	t.subjects[k.Subject] = slices.Insert(t.subjects[k.Subject], i, r)
	t.markHot(r)
	return r
}

func (t *Table) markHot(r *record) {
	if !r.queued {
		t.hot = append(t.hot, r)
	}
	r.queued, r.suppressed, r.sendsLeft = true, false, rounds
	if t.tokens < float64(t.bounds.BytesPerSec) {
		r.sendsLeft = roundsLow
	}
}

// makeRoom reports whether an entry fits. A table with the maximum number of subjects accepts no more; in a full slot the oldest entry is
// evicted unless e is older. Withdrawals and own observations stay.
func (t *Table) makeRoom(now int64, e entry) bool {
	records, known := t.subjects[e.Subject]
	if !known {
		return len(t.subjects) < t.bounds.MaxSubjects
	}
	count, oldest := 0, -1
	for i, r := range records {
		if r.Kind.slot() != e.Kind.slot() {
			continue
		}
		count++
		if !r.Withdrawn && r.Origin != t.self && (oldest < 0 || r.latestSeen < records[oldest].latestSeen) {
			oldest = i
		}
	}
	if count < t.bounds.MaxOrigins || e.Origin == t.self {
		return true
	}
	if oldest < 0 || records[oldest].latestSeen >= e.latestSeen {
		return false
	}
	records[oldest].sendsLeft = 0
	t.subjects[e.Subject] = slices.Delete(records, oldest, oldest+1)
	return true
}
