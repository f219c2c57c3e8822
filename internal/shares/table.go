// Package shares divides the limit of a destination among the senders of a fleet: one limit, however many of them call there.
//
// Each destination has a few electors, drawn by rendezvous hashing from the listed fleet. One of them is its owner while a majority of
// them promises so for a time; two halves never both have a majority. The owner leases parts of the limit to the senders that need one:
// a standing rate to busy ones, single calls to the others. Every lease ends by its holder's own clock, counted from when the holder
// asked, and a new owner grants nothing until all that the last one granted has ended.
//
// The package is pure: no I/O, no clock, no goroutine. Times are µs of the caller's monotonic clock. A Table is not safe for use by
// several goroutines at once.
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

// Table is one sender's part in the limits of all destinations.
type Table struct {
	self    string
	listed  []string
	list    uint32
	t       Timing
	born    int64 // first time heard of; 0 before
	life    uint64
	view    members.View
	missing float64 // share of the listed fleet that may be cut off: reserved by owners
	places  map[string]*place
	order   []string // names of places, sorted: map order never decides
	awake   []*place // those that the next tick looks at; emptied as they rest or are forgotten
	resting dueHeap  // all others, by when one has to look at them again
	looks   uint64   // places that ticks looked at
	out     []post.Letter[Msg]
	counts  Counts
}

// Counts are what the table counts from its start.
type Counts struct {
	Unsound, Strange, Full uint64 // messages out of bounds, from a member not listed or of another list; destinations for which there was no room
	Owned                  uint64 // times that this sender became an owner
	Lapsed                 uint64 // leases that ended while still needed
}

// place is a destination.
type place struct {
	dst      string
	electors []string
	rank     int // of this sender among the electors; -1 if it is none
	limit    known
	need     float64 // messages a second
	waiting  int
	used     int64 // last time that anything was asked of it
	unled    int64 // since when the view misses a majority of the electors; 0 while it does not
	hold     holding
	vote     promise
	seat     owning

	due       int64 // while it rests: when a tick has to look at it, µs
	slot      int   // in the heap of those that rest; awake while it does not
	forgotten bool  // it is no longer in the table
}

// known is a limit with how and when it was learned.
type known struct {
	perSec float64
	how    How
	at     int64
}

// New gives a table for the sender self of the listed fleet.
func New(self string, listed []string, t Timing) *Table {
	l := slices.Clone(listed)
	slices.Sort(l)
	l = slices.Compact(l)
	d := xxhash.New()
	for _, n := range l {
		_, _ = d.WriteString(n + "\n")
	}
	return &Table{self: self, listed: l, list: uint32(d.Sum64()), t: t, places: map[string]*place{}}
}

// Counts tells what was counted.
func (t *Table) Counts() Counts { return t.counts }

// View takes in how this sender sees the fleet. Its own incarnation, its folder and when it began mark its asks, so that answers to an
// earlier life count for nothing, also where the folder was lost.
func (t *Table) View(now int64, v members.View) {
	t.begin(now)
	t.view, t.missing = v, 0
	for _, m := range v.Members {
		if m.Name == t.self {
			t.life = lifeOf(m, t.born)
		}
		if m.State == members.Doubted || m.State == members.Gone {
			t.missing += 1 / float64(max(1, len(t.listed)))
		}
	}
	t.missing = min(t.missing, 1)
	for _, dst := range t.order {
		p := t.places[dst]
		was := p.unled
		if t.see(now, p); p.unled != was {
			t.wake(p)
		}
	}
}

// see takes in whether the view misses a majority of a destination's electors.
func (t *Table) see(now int64, p *place) {
	n := 0
	for _, e := range p.electors {
		if m, ok := t.view.Member(e); ok && (m.State == members.Doubted || m.State == members.Gone) {
			n++
		}
	}
	switch {
	case n <= len(p.electors)/2:
		p.unled = 0
	case p.unled == 0:
		p.unled = now
	}
}

// lifeOf draws a mark from what differs between any two lives of a sender.
func lifeOf(m members.Member, born int64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], m.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], m.Folder)
	binary.LittleEndian.PutUint64(b[16:], uint64(born))
	return xxhash.Sum64(b[:]) >> 32
}

// Limit takes in a limit as this sender has just learned it, in calls a second. One of zero or below is none.
func (t *Table) Limit(now int64, dst string, perSec float64, how How) {
	t.begin(now)
	if !(perSec > 0) || perSec > limitMost {
		return
	}
	if p := t.place(now, dst); p != nil {
		if p.learn(known{perSec, how, now}) {
			t.wake(p)
		}
	}
}

// Need takes in what this sender wants to call at a destination: messages a second that come for it, and those that wait now.
func (t *Table) Need(now int64, dst string, perSec float64, waiting int) {
	t.begin(now)
	p := t.places[dst]
	if p == nil && (perSec > 0 || waiting > 0) {
		p = t.place(now, dst)
	}
	if p == nil {
		return
	}
	if perSec > 0 || waiting > 0 {
		p.used = now
	}
	p.hold.earn(now, t.rate(now, p))
	p.need, p.waiting = math.Min(math.Max(perSec, 0), limitMost), max(waiting, 0)
	t.wake(p)
}

// Unlimited tells that a destination is in the table without a limit, and that this sender needs little there: until a limit is learned or
// an event comes, neither its share nor a small change of its need makes any difference.
func (t *Table) Unlimited(dst string) bool {
	p := t.places[dst]
	return p != nil && p.limit.perSec == 0 && p.need < quantum
}

// Share tells what this sender may call at a destination, in calls a second, and until when without hearing more. Where no limit is known
// it is infinite.
func (t *Table) Share(now int64, dst string) (perSec float64, until int64) {
	t.begin(now)
	p := t.places[dst]
	if p == nil || p.limit.perSec == 0 {
		return math.Inf(1), math.MaxInt64
	}
	t.move(now, p)
	t.wake(p)
	h := &p.hold
	perSec = t.rate(now, p)
	if h.phase != leased {
		return perSec, now + t.t.Renew
	}
	if left := h.given - h.done; left > 0 {
		perSec += float64(left) * 1e6 / float64(max(h.until-now, 1))
	}
	return perSec, h.until
}

// Spend is asked right before a call's first byte: it tells whether the call may go, and takes it off the share.
func (t *Table) Spend(now int64, dst string) bool {
	t.begin(now)
	p := t.places[dst]
	if p == nil || p.limit.perSec == 0 {
		return true
	}
	t.move(now, p)
	t.wake(p)
	p.used = now
	h := &p.hold
	h.earn(now, t.rate(now, p))
	switch {
	case h.phase == leased && h.given > h.done:
		h.done++
	case h.level >= 1:
		h.level--
	default:
		return false
	}
	return true
}

// Refused takes in that a destination refused a call for its limit. Refused calls may use it up, and a fleet that goes on at the very limit
// would never be let in again: the owner gives out less for a moment.
func (t *Table) Refused(now int64, dst string) {
	t.begin(now)
	if p := t.places[dst]; p != nil {
		p.hold.refused = now
	}
}

// Floor is this sender's part of the floor of a destination's retry budget, in repeats a second: the design's, shared by all that may be
// alive, but at least one repeat in the time for which credits live.
func (t *Table) Floor(int64) float64 {
	n := 0
	for _, m := range t.view.Members {
		if m.State == members.Alive || m.State == members.Doubted {
			n++
		}
	}
	return max(floorLeast, floorDesign/float64(max(n, 1)))
}

// Tick does what is due; it is called ten times a second or more often. It looks only at places that an event or time may have changed.
func (t *Table) Tick(now int64) []post.Letter[Msg] {
	t.begin(now)
	for _, p := range t.takeDue(now) {
		t.look(now, p)
	}
	t.rest(now)
	return t.letters()
}

// look does what is due at one place.
func (t *Table) look(now int64, p *place) {
	t.looks++
	t.move(now, p)
	t.reign(now, p)
	t.ask(now, p)
	t.serve(now, p, "")
	t.forget(now, p)
}

// Heard takes in what another sender told. A message that makes no sense changes nothing and is counted.
func (t *Table) Heard(now int64, from string, m Msg) []post.Letter[Msg] {
	t.begin(now)
	switch _, known := slices.BinarySearch(t.listed, from); {
	case !m.sound():
		t.counts.Unsound++
		return nil
	case !known || from == t.self || m.List != t.list:
		t.counts.Strange++
		return nil
	}
	p := t.places[m.Dst]
	if p == nil {
		if m.Kind != Ask && m.Kind != Stand {
			return nil
		}
		if p = t.place(now, m.Dst); p == nil {
			return nil
		}
	}
	t.hear(now, p, from, m)
	return t.letters()
}

func (t *Table) hear(now int64, p *place, from string, m Msg) {
	t.wake(p)
	t.move(now, p)
	t.reign(now, p)
	if m.Limit > 0 && m.How > 0 {
		p.learn(known{unit(m.Limit), m.How, now - m.Age})
	}
	switch m.Kind {
	case Ask:
		p.used = now
		t.asked(now, p, from, m)
	case Grant:
		t.granted(now, p, from, m)
	case Redirect:
		t.redirected(now, p, from, m)
	case Stand:
		p.used = now
		t.promise(now, p, from, m)
	case Promise:
		t.promised(now, p, from, m)
	}
}

func (t *Table) begin(now int64) {
	if t.born == 0 {
		t.born = max(now, 1)
	}
}

func (t *Table) send(to, slot string, p *place, m Msg) {
	m.Dst, m.List = p.dst, t.list
	t.out = append(t.out, post.Letter[Msg]{To: to, Slot: slot + p.dst, Msg: m})
}

func (t *Table) letters() []post.Letter[Msg] {
	out := t.out
	t.out = nil
	return out
}

// place finds a destination or makes room for one; nil where there is none.
func (t *Table) place(now int64, dst string) *place {
	if p := t.places[dst]; p != nil {
		return p
	}
	if dst == "" || len(dst) > nameMost || len(t.places) >= placesMost {
		t.counts.Full++
		return nil
	}
	p := &place{dst: dst, electors: Electors(t.listed, dst), used: now, slot: awake}
	p.rank = slices.Index(p.electors, t.self)
	p.hold.start(now, xxhash.Sum64String(t.self+"\n"+dst))
	t.see(now, p)
	t.places[dst] = p
	t.awake = append(t.awake, p)
	i, _ := slices.BinarySearch(t.order, dst)
	t.order = slices.Insert(t.order, i, dst)
	return p
}

// forget drops a destination that nobody has asked for. It is awake, and leaves that list as the tick ends.
func (t *Table) forget(now int64, p *place) {
	if now-p.used < forgetAfter || p.waiting > 0 || p.vote.until > now || p.seat.phase != idle || p.hold.phase == leased {
		return
	}
	p.forgotten = true
	delete(t.places, p.dst)
	i, _ := slices.BinarySearch(t.order, p.dst)
	t.order = slices.Delete(t.order, i, i+1)
}

// learn takes in a limit: a better source counts for more, else the later one. The same value again does not make a fact younger. It tells
// whether the limit or its source is new.
func (p *place) learn(k known) bool {
	o := p.limit
	if o.perSec == 0 || k.how > o.how || k.how == o.how && k.perSec != o.perSec && k.at > o.at {
		p.limit = k
		return true
	}
	return false
}

// Electors of a destination: the first few of the listed fleet by rendezvous hashing, an odd number, so that any two parts of a fleet
// cut in two know which of them may own it.
func Electors(listed []string, dst string) []string {
	n := min(electorsMost, len(listed))
	if n > 0 && n%2 == 0 {
		n--
	}
	type drawn struct {
		name string
		odds uint64
	}
	ds := make([]drawn, len(listed))
	for i, name := range listed {
		ds[i] = drawn{name, xxhash.Sum64String(name + "\n" + dst)}
	}
	sort.Slice(ds, func(i, j int) bool {
		return ds[i].odds > ds[j].odds || ds[i].odds == ds[j].odds && ds[i].name < ds[j].name
	})
	es := make([]string, n)
	for i := range es {
		es[i] = ds[i].name
	}
	return es
}
