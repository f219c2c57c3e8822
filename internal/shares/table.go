// Package shares divides the rate limit of a destination among the senders of a fleet, so that the limit holds for the total however many
// of them call it.
//
// Each destination has a few voters, chosen from the listed fleet by rendezvous hashing. One of them owns the destination while a majority
// of them votes for it; votes expire, and two sides of a partition never both have a majority. The owner leases parts of the limit to
// senders with demand: a standing rate to busy ones, single calls to the others. Every lease expires by its holder's own clock, counted
// from the holder's request, and a new owner grants nothing until all leases of the last one have expired.
//
// The package is pure: no I/O, no clock, no goroutine. Times are µs of the caller's monotonic clock. A Table is not safe for concurrent
// use.
package shares

import (
	"encoding/binary"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"ravenlink/internal/members"
	"ravenlink/internal/post"
)

// Table is one sender's share of the limits of all destinations.
type Table struct {
	self            string
	listed          []string
	listDigest      uint32
	timing          Timing
	startedAt       int64 // time of the first call; 0 before
	runID           uint64
	view            members.View
	missingFraction float64 // fraction of the listed fleet that may be partitioned; owners reserve its fallback shares
	destinations    map[string]*destination
	names           []string       // keys of destinations, sorted, for a deterministic order
	active          []*destination // those that the next tick visits; cleared as they are rescheduled or evicted
	scheduled       dueHeap        // all others, by the time of their next visit
	visits          uint64         // destinations visited by ticks
	outbox          []post.PeerMessage[Msg]
	counts          Counts
}

// Counts holds the counters since the start of the table.
type Counts struct {
	Invalid, Foreign, Full uint64 // messages out of bounds; from unlisted members or with another list; destinations that did not fit
	Owned                  uint64 // times that this sender became an owner
	Lapsed                 uint64 // leases that ended while still needed
}

// destination is the state of one destination.
type destination struct {
	dst            string
	voters         []string
	rank           int // of this sender among the voters; -1 if it is none
	limit          learnedLimit
	demand         float64 // messages per second
	waiting        int
	lastUsed       int64 // last time of any demand or request
	ownerlessSince int64 // since when the view reports a majority of the voters missing; 0 if it does not
	lease          lease
	vote           vote
	owner          ownerState

	nextVisit int64 // while scheduled: time of the next visit, µs
	heapIndex int   // in the heap; notQueued while active
	evicted   bool  // no longer in the table
}

// learnedLimit is a limit with its source and the time when it was learned.
type learnedLimit struct {
	perSec    float64
	source    LimitSource
	learnedAt int64
}

// New returns a table for the sender self of the listed fleet.
func New(self string, listed []string, t Timing) *Table {
	l := slices.Clone(listed)
	slices.Sort(l)
	l = slices.Compact(l)
	d := xxhash.New()
	for _, n := range l {
		_, _ = d.WriteString(n + "\n")
	}
	return &Table{self: self, listed: l, listDigest: uint32(d.Sum64()), timing: t, destinations: map[string]*destination{}}
}

// Counts returns the counters.
func (t *Table) Counts() Counts { return t.counts }

// SetView updates this sender's view of the fleet. Its own incarnation, its folder and its start time identify its requests, so that
// answers to an earlier run are ignored even if the folder was lost.
func (t *Table) SetView(now int64, v members.View) {
	t.markStart(now)
	t.view, t.missingFraction = v, 0
	for _, m := range v.Members {
		if m.Name == t.self {
			t.runID = newRunID(m, t.startedAt)
		}
		if m.State == members.Suspect || m.State == members.Dead {
			t.missingFraction += 1 / float64(max(1, len(t.listed)))
		}
	}
	t.missingFraction = min(t.missingFraction, 1)
	for _, dst := range t.names {
		d := t.destinations[dst]
		was := d.ownerlessSince
		if t.updateOwnerless(now, d); d.ownerlessSince != was {
			t.activate(d)
		}
	}
}

// updateOwnerless records whether the view reports a majority of a destination's voters missing.
func (t *Table) updateOwnerless(now int64, d *destination) {
	n := 0
	for _, voter := range d.voters {
		if m, ok := t.view.Member(voter); ok && (m.State == members.Suspect || m.State == members.Dead) {
			n++
		}
	}
	switch {
	case n <= len(d.voters)/2:
		d.ownerlessSince = 0
	case d.ownerlessSince == 0:
		d.ownerlessSince = now
	}
}

// newRunID hashes the values that differ between any two runs of a sender.
func newRunID(m members.Member, startedAt int64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], m.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], m.Folder)
	binary.LittleEndian.PutUint64(b[16:], uint64(startedAt))
	return xxhash.Sum64(b[:]) >> 32
}

// SetLimit sets a limit that this sender has just learned, in calls per second. Zero and negative values are ignored.
func (t *Table) SetLimit(now int64, dst string, perSec float64, source LimitSource) {
	t.markStart(now)
	if !(perSec > 0) || perSec > maxLimit {
		return
	}
	if d := t.getOrCreate(now, dst); d != nil {
		if d.updateLimit(learnedLimit{perSec, source, now}) {
			t.activate(d)
		}
	}
}

// SetDemand sets this sender's demand at a destination: the rate of incoming messages per second, and the number waiting now.
func (t *Table) SetDemand(now int64, dst string, perSec float64, waiting int) {
	t.markStart(now)
	d := t.destinations[dst]
	if d == nil && (perSec > 0 || waiting > 0) {
		d = t.getOrCreate(now, dst)
	}
	if d == nil {
		return
	}
	if perSec > 0 || waiting > 0 {
		d.lastUsed = now
	}
	d.lease.refill(now, t.rate(now, d))
	d.demand, d.waiting = math.Min(math.Max(perSec, 0), maxLimit), max(waiting, 0)
	t.activate(d)
}

// Unlimited reports whether a destination is in the table without a limit and this sender's demand is small. Until a limit is learned or
// another event occurs, neither its share nor a small change of demand has any effect.
func (t *Table) Unlimited(dst string) bool {
	d := t.destinations[dst]
	return d != nil && d.limit.perSec == 0 && d.demand < minRate
}

// Share returns the rate in calls per second at which this sender may call a destination, and the time until which that holds without
// further peer messages. Without a known limit it is infinite.
func (t *Table) Share(now int64, dst string) (perSec float64, until int64) {
	t.markStart(now)
	d := t.destinations[dst]
	if d == nil || d.limit.perSec == 0 {
		return math.Inf(1), math.MaxInt64
	}
	t.updateStage(now, d)
	t.activate(d)
	l := &d.lease
	perSec = t.rate(now, d)
	if l.stage != leased {
		return perSec, now + t.timing.Renew
	}
	if left := l.granted - l.used; left > 0 {
		perSec += float64(left) * 1e6 / float64(max(l.expiresAt-now, 1))
	}
	return perSec, l.expiresAt
}

// Allow reports whether a call may start and deducts it from the share. Call it right before the first byte is sent.
func (t *Table) Allow(now int64, dst string) bool {
	t.markStart(now)
	d := t.destinations[dst]
	if d == nil || d.limit.perSec == 0 {
		return true
	}
	t.updateStage(now, d)
	t.activate(d)
	d.lastUsed = now
	l := &d.lease
	l.refill(now, t.rate(now, d))
	switch {
	case l.stage == leased && l.granted > l.used:
		l.used++
	case l.tokens >= 1:
		l.tokens--
	default:
		return false
	}
	return true
}

// RecordRefusal records that a destination refused a call because of its limit. Refused calls may count against the limit, and a fleet that
// stays right at it would never be admitted again, so the owner reduces its budget for a short time.
func (t *Table) RecordRefusal(now int64, dst string) {
	t.markStart(now)
	if d := t.destinations[dst]; d != nil {
		d.lease.refusedAt = now
	}
}

// RetryFloor returns this sender's part of the floor of a destination's retry budget, in retries per second: the design's floor divided
// among the members that may be alive, but at least one retry within the lifetime of retry credits.
func (t *Table) RetryFloor(int64) float64 {
	n := 0
	for _, m := range t.view.Members {
		if m.State == members.Alive || m.State == members.Suspect {
			n++
		}
	}
	return max(minRetryFloor, designRetryFloor/float64(max(n, 1)))
}

// Tick performs what is due. Call it at least ten times a second. It visits only destinations that an event or time may have changed.
func (t *Table) Tick(now int64) []post.PeerMessage[Msg] {
	t.markStart(now)
	for _, d := range t.takeDue(now) {
		t.visit(now, d)
	}
	t.reschedule(now)
	return t.takeOutbox()
}

// visit performs what is due at one destination.
func (t *Table) visit(now int64, d *destination) {
	t.visits++
	t.updateStage(now, d)
	t.updateOwner(now, d)
	t.sendRequest(now, d)
	t.distribute(now, d, "")
	t.evictIdle(now, d)
}

// Receive handles a peer message. An invalid message changes nothing and is counted.
func (t *Table) Receive(now int64, from string, m Msg) []post.PeerMessage[Msg] {
	t.markStart(now)
	switch _, known := slices.BinarySearch(t.listed, from); {
	case !m.valid():
		t.counts.Invalid++
		return nil
	case !known || from == t.self || m.ListDigest != t.listDigest:
		t.counts.Foreign++
		return nil
	}
	d := t.destinations[m.Dst]
	if d == nil {
		if m.Kind != Request && m.Kind != VoteRequest {
			return nil
		}
		if d = t.getOrCreate(now, m.Dst); d == nil {
			return nil
		}
	}
	t.dispatch(now, d, from, m)
	return t.takeOutbox()
}

func (t *Table) dispatch(now int64, d *destination, from string, m Msg) {
	t.activate(d)
	t.updateStage(now, d)
	t.updateOwner(now, d)
	if m.Limit > 0 && m.LimitSource > 0 {
		d.updateLimit(learnedLimit{fromMilli(m.Limit), m.LimitSource, now - m.LimitAge})
	}
	switch m.Kind {
	case Request:
		d.lastUsed = now
		t.handleRequest(now, d, from, m)
	case Grant:
		t.handleGrant(now, d, from, m)
	case Redirect:
		t.handleRedirect(now, d, from, m)
	case VoteRequest:
		d.lastUsed = now
		t.handleVoteRequest(now, d, from, m)
	case VoteGrant:
		t.handleVoteGrant(now, d, from, m)
	}
}

func (t *Table) markStart(now int64) {
	if t.startedAt == 0 {
		t.startedAt = max(now, 1)
	}
}

func (t *Table) send(to, slot string, d *destination, m Msg) {
	m.Dst, m.ListDigest = d.dst, t.listDigest
	t.outbox = append(t.outbox, post.PeerMessage[Msg]{To: to, Slot: slot + d.dst, Msg: m})
}

func (t *Table) takeOutbox() []post.PeerMessage[Msg] {
	out := t.outbox
	t.outbox = nil
	return out
}

// getOrCreate returns a destination, creating it if needed, or nil if the table is full or the name is invalid.
func (t *Table) getOrCreate(now int64, dst string) *destination {
	if d := t.destinations[dst]; d != nil {
		return d
	}
	if dst == "" || len(dst) > maxNameLen || len(t.destinations) >= maxDestinations {
		t.counts.Full++
		return nil
	}
	d := &destination{dst: dst, voters: Voters(t.listed, dst), lastUsed: now, heapIndex: notQueued}
	d.rank = slices.Index(d.voters, t.self)
	d.lease.start(now, xxhash.Sum64String(t.self+"\n"+dst))
	t.updateOwnerless(now, d)
	t.destinations[dst] = d
	t.active = append(t.active, d)
	i, _ := slices.BinarySearch(t.names, dst)
	t.names = slices.Insert(t.names, i, dst)
	return d
}

// evictIdle removes an unused destination. It is active and leaves that list at the end of the tick.
func (t *Table) evictIdle(now int64, d *destination) {
	if now-d.lastUsed < idleTimeout || d.waiting > 0 || d.vote.until > now || d.owner.phase != idle || d.lease.stage == leased {
		return
	}
	d.evicted = true
	delete(t.destinations, d.dst)
	i, _ := slices.BinarySearch(t.names, d.dst)
	t.names = slices.Delete(t.names, i, i+1)
}

// updateLimit replaces the limit if the new one has a source of higher precedence, or the same source, another value and a later time.
// Repeating a value does not refresh its age. It reports whether the limit or its source changed.
func (d *destination) updateLimit(k learnedLimit) bool {
	o := d.limit
	if o.perSec == 0 || k.source > o.source || k.source == o.source && k.perSec != o.perSec && k.learnedAt > o.learnedAt {
		d.limit = k
		return true
	}
	return false
}

// Voters returns the voters of a destination: an odd number of members of the listed fleet, chosen by rendezvous hashing, so that the two
// sides of any partition know which of them may own it.
func Voters(listed []string, dst string) []string {
	n := min(maxVoters, len(listed))
	if n > 0 && n%2 == 0 {
		n--
	}
	type scoredName struct {
		name  string
		score uint64
	}
	ds := make([]scoredName, len(listed))
	for i, name := range listed {
		ds[i] = scoredName{name, xxhash.Sum64String(name + "\n" + dst)}
	}
	sort.Slice(ds, func(i, j int) bool {
		return ds[i].score > ds[j].score || ds[i].score == ds[j].score && ds[i].name < ds[j].name
	})
	es := make([]string, n)
	for i := range es {
		es[i] = ds[i].name
	}
	return es
}
