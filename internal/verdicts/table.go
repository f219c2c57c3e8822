package verdicts

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ravenlink/internal/members"
	"ravenlink/internal/post"
)

// Timing of a table, in µs.
type Timing struct {
	Hot      int64 // between two rounds of what is hot
	Exchange int64 // between two comparisons with one other sender
	LearnFor int64 // a joiner waits no longer for what others know
}

// Room bounds a table and its letters.
type Room struct {
	Subjects int // more are refused until facts have gone by their age
	Origins  int // facts a subject and kind; a younger one takes the place of the oldest
	Letter   int // bytes
	Rate     int // bytes a second of all letters together; what does not fit waits for the next round
}

// Usual timing and room.
func Usual() (Timing, Room) {
	return Timing{Hot: 100_000, Exchange: 1_000_000, LearnFor: 3_000_000}, Room{Subjects: 4096, Origins: 16, Letter: 1200, Rate: 2000}
}

const (
	fanout    = 4             // letters at once on what is new
	rounds    = 4             // times it goes out, the first among them; each to fanout others
	roundsFew = 2             // where less than a second's bytes are left
	enough    = 3             // origins that say the same of a subject: further ones are kept but not passed on
	learnFrom = 3             // senders that a joiner compares with before it knows enough
	buckets   = 32            // parts of a table that are compared
	answers   = 4             // letters at most in answer to a digest
	maxName   = 200           // bytes
	maxFacts  = 256           // a letter; more is refused
	absurdAge = 3_600_000_000 // µs
	drift     = 5000          // clocks differ by one part in this at most
	freshHear = 2_000_000     // µs: facts not older than this are sent again to one who could not date them
	burst     = 4             // seconds of Rate that may be saved up
	newsOf    = 10            // one part in this: a lesser change of a figure is no news
)

// Counts of what was refused, by cause, and of what went out.
type Counts struct {
	Unlisted, Unknown, Absurd, Future, Undated, Full uint64
	Bytes                                            uint64 // about, of all letters
}

// peer is another sender.
type peer struct {
	name        string
	gone        bool   // or left, as the view says
	missed      bool   // it was gone and is back: what it missed is compared at the next round
	incarnation uint64 // as the view or its own letters say
	folder      uint64
	clock       clock
	again       int64 // when it was last told that its facts could not be dated
}

// Table is one sender's. Not for use by several goroutines at once.
type Table struct {
	t           Timing
	room        Room
	self        string
	incarnation uint64
	version     uint64
	subjects    map[Subject][]*held // of a subject, sorted by slot and origin
	order       []Subject           // sorted
	peers       map[string]*peer
	names       []string // of all peers, sorted
	alive       int      // how many
	told        []string // alive or doubted, shuffled: a doubt is mostly a slow link, and a letter costs less than what is not heard in time
	turn        int      // in told: who is next
	hot         []*held  // in the order in which they became hot
	rng         *rand.Rand
	tokens      float64 // bytes that may go out
	filled      int64
	begun       bool
	viewed      bool
	born        int64
	nextHot     int64
	nextComp    int64
	learnt      map[string]bool
	letterNo    uint64
	counts      Counts
	forgot      map[int64]int64 // when the data of destinations was purged; emptied by Forget, at most what the operator's file lists
}

// held is an entry with what is to be done with it here.
type held struct {
	entry
	copies int  // rounds in which it still goes out
	listed bool // among the hot
	quiet  bool // own, but others have said so often enough
}

// New table of a sender in one incarnation. It tells nobody anything before View names the others.
func New(self string, incarnation uint64, t Timing, room Room) *Table {
	return &Table{t: t, room: room, self: self, incarnation: incarnation, subjects: map[Subject][]*held{}, peers: map[string]*peer{},
		learnt: map[string]bool{}, rng: rand.New(rand.NewPCG(xxhash.Sum64String(self), incarnation)), tokens: float64(burst * room.Rate)}
}

func (t *Table) begin(now int64) {
	if !t.begun {
		t.begun, t.born, t.nextHot, t.nextComp, t.filled = true, now, now, now, now
	}
}

// Counts tells what was refused so far.
func (t *Table) Counts() Counts { return t.counts }

// View takes in who is listed and who lives. Facts of origins that are no longer listed go.
func (t *Table) View(now int64, v members.View) {
	t.begin(now)
	t.viewed = true
	listed := map[string]bool{}
	t.alive, t.told, t.names = 0, t.told[:0], t.names[:0]
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
		t.refolded(p, m)
		gone := m.State != members.Alive && m.State != members.Doubted
		p.missed = !gone && (p.missed || p.gone)
		p.gone, p.incarnation = gone, max(p.incarnation, m.Incarnation)
		t.names = append(t.names, m.Name)
		t.alive += bit(m.State == members.Alive)
		if !gone && p.incarnation > 0 {
			t.told = append(t.told, m.Name)
		}
	}
	for name := range t.peers {
		if !listed[name] {
			delete(t.peers, name)
		}
	}
	t.rng.Shuffle(len(t.told), func(i, j int) { t.told[i], t.told[j] = t.told[j], t.told[i] })
	t.sweep(func(h *held) bool { return h.Origin == t.self || listed[h.Origin] })
}

// refolded: a sender on another folder counts its incarnations from one again, so what is known of the old ones must not stand in their way.
func (t *Table) refolded(p *peer, m members.Member) {
	if p.folder != 0 && m.Folder != p.folder {
		*p = peer{name: p.name}
		t.sweep(func(h *held) bool { return h.Origin != m.Name || h.Incarnation <= m.Incarnation })
	}
	p.folder = m.Folder
}

// sweep keeps what stays.
func (t *Table) sweep(stays func(*held) bool) {
	t.order = slices.DeleteFunc(t.order, func(s Subject) bool {
		t.subjects[s] = slices.DeleteFunc(t.subjects[s], func(h *held) bool {
			if !stays(h) {
				h.copies = 0
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

// Learning is true while a joiner should send no more than a trickle: until it has compared what it knows with three others (all,
// where fewer live), or its time for that is over.
func (t *Table) Learning(now int64) bool {
	if !t.begun {
		return true
	}
	if now-t.born >= t.t.LearnFor {
		return false
	}
	return !t.viewed || len(t.learnt) == 0 && len(t.names) > 0 || len(t.learnt) < min(learnFrom, t.alive)
}

// Own takes in what this sender saw itself; Age and the kind's figures are given by the caller.
func (t *Table) Own(now int64, f Fact) []post.Letter[Msg] {
	t.begin(now)
	f.Origin, f.Incarnation, f.Version, f.Slack, f.Withdrawn = t.self, t.incarnation, t.version+1, 0, false
	if f.Kind == Wait {
		f.For = min(f.For, GreatestWait)
	}
	if !f.sane() {
		t.counts.Absurd++
		return nil
	}
	f = pack(f).fact() // as others will have it
	e := entry{Fact: f, seen: now - f.Age, surely: now - f.Age - f.Slack}
	e.Age, e.Slack = 0, 0
	if old := t.find(f.key()); old != nil && old.Incarnation == t.incarnation && old.counts(now) && !old.news(e, now) {
		return nil
	}
	h := t.put(now, e)
	if h == nil {
		return nil
	}
	t.version++
	if t.echoed(now, h) {
		h.quiet, h.copies = true, 0
		return nil
	}
	return t.atOnce(now, []*held{h})
}

// news tells whether an own fact e says more than e0 did: another kind, a figure that differs, or one that had grown old.
func (e0 entry) news(e entry, now int64) bool {
	if e0.Kind != e.Kind || e0.Withdrawn || now-e0.surely >= e.Kind.Greatest()/3 {
		return true
	}
	if d := e.Level - e0.Level; max(d, -d)*newsOf > max(e.Level, e0.Level) {
		return true
	}
	if e.Kind == Wait {
		end, had := e.seen+e.For, e0.seen+e0.For
		return max(end-had, had-end)*newsOf > max(e.For, had-now)
	}
	return false
}

// Withdraw ends an own fact: it no longer holds, and nothing else is known in its place.
func (t *Table) Withdraw(now int64, s Subject, k Kind) []post.Letter[Msg] {
	t.begin(now)
	old := t.find(key{s, k.slot(), t.self})
	if old == nil || old.Withdrawn {
		return nil
	}
	e := old.entry
	e.Incarnation, e.Version, e.Withdrawn, e.seen, e.surely = t.incarnation, t.version+1, true, now, now
	t.version++
	h := t.put(now, e)
	return t.atOnce(now, []*held{h})
}

// echoed: enough others say just that.
func (t *Table) echoed(now int64, e *held) bool {
	n := 0
	for _, h := range t.subjects[e.Subject] {
		if h.Origin != e.Origin && h.Kind == e.Kind && h.counts(now) && !h.entry.news(e.entry, now) {
			n++
		}
	}
	return n >= enough
}

func (t *Table) find(k key) *held {
	if i, ok := t.index(k); ok {
		return t.subjects[k.Subject][i]
	}
	return nil
}

func (t *Table) index(k key) (int, bool) {
	return slices.BinarySearchFunc(t.subjects[k.Subject], k, func(h *held, k key) int {
		if c := int(h.Kind.slot()) - int(k.slot); c != 0 {
			return c
		}
		return compareNames(h.Origin, k.origin)
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

// put is the only place where an entry comes into the table or changes. It returns nil for what has no
// room and for what was known; a fact that now counts by a better date of it is news.
func (t *Table) put(now int64, e entry) *held {
	if t.purged(e) {
		return nil
	}
	if e.over(now) {
		return nil
	}
	k := e.key()
	i, ok := t.index(k)
	if ok {
		h := t.subjects[k.Subject][i]
		was := h.entry
		h.entry = merge(was, e)
		if newer(h.Fact, was.Fact) == 0 && (was.counts(now) || !h.counts(now)) {
			return nil
		}
		t.heat(h)
		return h
	}
	if !t.makeRoom(now, e) {
		t.counts.Full++
		return nil
	}
	i, _ = t.index(k)
	h := &held{entry: e}
	if _, known := t.subjects[k.Subject]; !known {
		at, _ := slices.BinarySearchFunc(t.order, k.Subject, Subject.compare)
		t.order = slices.Insert(t.order, at, k.Subject)
	}
	t.subjects[k.Subject] = slices.Insert(t.subjects[k.Subject], i, h)
	t.heat(h)
	return h
}

func (t *Table) heat(h *held) {
	if !h.listed {
		t.hot = append(t.hot, h)
	}
	h.listed, h.quiet, h.copies = true, false, rounds
	if t.tokens < float64(t.room.Rate) {
		h.copies = roundsFew
	}
}

// makeRoom: a table full of subjects takes in no more; of a full slot the oldest goes, unless e is older. Withdrawals and own sight stay.
func (t *Table) makeRoom(now int64, e entry) bool {
	all, known := t.subjects[e.Subject]
	if !known {
		return len(t.subjects) < t.room.Subjects
	}
	n, oldest := 0, -1
	for i, h := range all {
		if h.Kind.slot() != e.Kind.slot() {
			continue
		}
		n++
		if !h.Withdrawn && h.Origin != t.self && (oldest < 0 || h.seen < all[oldest].seen) {
			oldest = i
		}
	}
	if n < t.room.Origins || e.Origin == t.self {
		return true
	}
	if oldest < 0 || all[oldest].seen >= e.seen {
		return false
	}
	all[oldest].copies = 0
	t.subjects[e.Subject] = slices.Delete(all, oldest, oldest+1)
	return true
}
