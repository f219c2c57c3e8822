package verdicts

import (
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/lab/explore"
	"ravenlink/internal/post"
)

var deep = flag.Bool("deep", false, "explore deeper and run more walks (minutes)")

// world is three senders with their own clocks, one subject, and a message queue for every directed link. Its reference is when each
// version was observed, and which versions each sender knows to be withdrawn.
type world struct {
	names      []string
	tables     []*Table
	now        int64
	links      map[[2]int][]post.PeerMessage[Msg]
	delivered  map[[2]int]post.PeerMessage[Msg] // the last message delivered, for a duplicate
	cut        bool                             // between the third sender and the others
	factsOnly  bool                             // deliver only messages with facts; exchanges happen at the end of each walk
	remaining  map[string]int                   // how often each event may still occur
	seen       map[string]int64                 // observation time by origin, incarnation and version
	withdrawn  []map[string]uint64              // by origin and incarnation: the newest version known to be withdrawn
	snapshot   []byte                           // of the second sender, when time last advanced
	snapshotAt int64
	faults     faults
}

// faults are injected into a sender.
type faults struct {
	dropAges, dropWithdrawals, dropDigests, ignoreVersions, clearWithdrawn, freshTimestamps bool
}

func (w *world) clock(i int) int64 { return w.now + int64(i)*1_000_000_000 }

func newWorld(f faults) *world {
	w := &world{names: []string{"a", "b", "c"}, now: 1e6, links: map[[2]int][]post.PeerMessage[Msg]{}, delivered: map[[2]int]post.PeerMessage[Msg]{},
		remaining: map[string]int{"down": 1, "back": 1, "withdraw": 1, "crash": 1, "cut": 1, "heal": 1, "later": 3, "again": 1},
		seen:      map[string]int64{}, withdrawn: make([]map[string]uint64, 3), faults: f}
	for i := range w.names {
		w.tables = append(w.tables, nil)
		w.start(i, 1)
	}
	w.settle(1e6) // until their clocks are known
	w.factsOnly = true
	return w
}

func (w *world) start(i int, incarnation uint64) {
	timing, room := Defaults()
	w.tables[i], w.withdrawn[i] = New(w.names[i], incarnation, timing, room), map[string]uint64{}
	v := viewOf(w.names[i], w.names)
	for k := range v.Members {
		v.Members[k].Incarnation = 2 // as if the view already knew of every start to come
	}
	v.Members[i].Incarnation = incarnation
	w.tables[i].SetView(w.clock(i), v)
}

func (w *world) post(from int, messages []post.PeerMessage[Msg]) {
	for _, m := range messages {
		to := strings.Index("abc", m.To)
		if w.cut && (from == 2 || to == 2) || w.faults.dropDigests && len(m.Msg.Digest) > 0 || w.factsOnly && len(m.Msg.Facts) == 0 {
			continue
		}
		link := [2]int{from, to}
		w.links[link] = append(w.links[link], m)
		w.links[link] = w.links[link][max(0, len(w.links[link])-2):] // a bounded queue drops the oldest
	}
}

func (w *world) recordVersion(i int, version uint64, withdrawn bool) {
	origin := fmt.Sprint(w.names[i], w.tables[i].incarnation)
	if withdrawn {
		w.withdrawn[i][origin] = version
	}
	w.seen[fmt.Sprint(origin, version)] = w.now
}

func (w *world) observe(i int, k Kind) {
	w.post(i, w.tables[i].Observe(w.clock(i), Fact{Subject: testSubject, Kind: k}))
	w.recordVersion(i, w.tables[i].version, false)
}

func (w *world) deliver(link [2]int, pm post.PeerMessage[Msg]) {
	from, to := link[0], link[1]
	t := w.tables[to]
	m := pm.Msg
	m.Facts = append([]wireFact(nil), m.Facts...)
	for i := range m.Facts {
		if w.faults.dropAges {
			m.Facts[i].Age, m.Facts[i].Slack = 0, 0
		}
		if w.faults.clearWithdrawn {
			m.Facts[i].Withdrawn = false
		}
	}
	if w.faults.freshTimestamps {
		m.SentAt = w.clock(from)
	}
	if w.faults.ignoreVersions && len(m.Facts) > 0 {
		t.retain(func(h *record) bool { return h.Origin == t.self })
	}
	changes, messages := t.Receive(w.clock(to), w.names[from], m)
	for _, f := range changes {
		if f.Withdrawn {
			w.withdrawn[to][fmt.Sprint(f.Origin, f.Incarnation)] = f.Version
		}
	}
	w.post(to, messages)
}

func (w *world) tick(i int) {
	w.post(i, w.tables[i].Tick(w.clock(i)))
	if w.faults.dropWithdrawals {
		w.tables[i].retain(func(h *record) bool { return !h.Withdrawn })
	}
}

// settle ticks all senders for a while and delivers all messages at once.
func (w *world) settle(span int64) {
	for end := w.now + span; w.now < end; w.now += 100_000 {
		for i := range w.tables {
			w.tick(i)
		}
		for busy, rounds := true, 0; busy && rounds < 20; rounds++ {
			busy = false
			for _, link := range allLinks {
				line := w.links[link]
				w.links[link] = nil
				for _, m := range line {
					busy = true
					w.deliver(link, m)
				}
			}
		}
	}
}

var allLinks = [][2]int{{0, 1}, {0, 2}, {1, 0}, {1, 2}, {2, 0}, {2, 1}}

// Events returns the events that can happen now.
func (w *world) Events() []string {
	var es []string
	for _, e := range []string{"down", "back", "withdraw", "crash", "cut", "heal", "later"} {
		ok := w.remaining[e] > 0
		switch e {
		case "withdraw":
			ok = ok && w.remaining["down"] == 0
		case "heal":
			ok = ok && w.cut
		}
		if ok {
			es = append(es, e)
		}
	}
	for i, link := range allLinks {
		if len(w.links[link]) > 0 {
			es = append(es, fmt.Sprintf("%d", i))
		}
		if _, ok := w.delivered[link]; ok && w.remaining["again"] > 0 {
			es = append(es, fmt.Sprintf("again%d", i))
		}
	}
	return es
}

func (w *world) Apply(e string) {
	w.remaining[e]--
	switch e {
	case "down":
		w.observe(0, Down)
	case "back":
		w.observe(1, Recovered)
	case "withdraw":
		was := w.tables[0].version
		messages := w.tables[0].Withdraw(w.clock(0), testSubject, Down)
		if w.tables[0].version > was {
			w.recordVersion(0, w.tables[0].version, true)
		}
		w.post(0, messages)
	case "crash":
		w.start(1, 2)
		if w.snapshot != nil {
			if _, err := w.tables[1].Restore(w.clock(1), w.snapshot, w.now-w.snapshotAt); err != nil {
				panic(err) // a complete snapshot always restores
			}
		}
		for _, link := range allLinks {
			if link[0] == 1 || link[1] == 1 {
				delete(w.links, link)
			}
		}
	case "cut":
		w.cut = true
	case "heal":
		w.cut = false
	case "later":
		w.now += 4_000_000
		for i := range w.tables {
			w.tick(i)
		}
		w.snapshot, _ = w.tables[1].Snapshot(w.clock(1))
		w.snapshotAt = w.now
	default:
		again := strings.HasPrefix(e, "again")
		link := allLinks[e[len(e)-1]-'0']
		if again {
			w.remaining["again"]--
			w.deliver(link, w.delivered[link])
			return
		}
		m := w.links[link][0]
		w.links[link] = w.links[link][1:]
		if len(m.Msg.Facts) > 0 {
			w.delivered[link] = m
		}
		w.deliver(link, m)
	}
}

// Violation describes a violated invariant, or returns an empty string.
func (w *world) Violation() string {
	for i, t := range w.tables {
		for _, h := range t.subjects[testSubject] {
			if !h.active(w.clock(i)) {
				continue
			}
			origin := fmt.Sprint(h.Origin, h.Incarnation)
			if w.now-w.seen[fmt.Sprint(origin, h.Version)] >= h.Kind.MaxAge() {
				return "a fact is active beyond its maximum age"
			}
			if h.Version <= w.withdrawn[i][origin] {
				return "a withdrawn fact is active again"
			}
		}
	}
	return ""
}

func (w *world) HealAndCheck() string {
	w.cut, w.factsOnly = false, false
	w.settle(3e6)
	if bad := w.Violation(); bad != "" {
		return bad
	}
	for i := range w.tables {
		if !equalFacts(w.facts(i), w.facts(0)) {
			return "connected senders disagree"
		}
	}
	return ""
}

func equalFacts(a, b []string) bool { return strings.Join(a, " ") == strings.Join(b, " ") }

func (w *world) facts(i int) (all []string) {
	for _, h := range w.tables[i].subjects[testSubject] {
		if h.active(w.clock(i)) {
			all = append(all, fmt.Sprint(h.Origin, h.Incarnation, h.Version, h.Kind))
		}
	}
	return all
}

// Fingerprint hashes a state: states with equal fingerprints continue alike.
func (w *world) Fingerprint() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.now, w.cut, w.remaining["down"], w.remaining["back"], w.remaining["withdraw"], w.remaining["crash"],
		w.remaining["heal"], w.remaining["cut"], w.remaining["again"])
	for i, t := range w.tables {
		for _, e := range t.subjects[testSubject] {
			fmt.Fprint(h, i, e.Fact, e.latestSeen, e.earliestSeen, e.sendsLeft)
		}
	}
	fmt.Fprintf(h, "%x %d", w.snapshot, w.snapshotAt)
	for _, link := range allLinks {
		for _, m := range w.links[link] {
			fmt.Fprint(h, link, m.Msg.Facts, m.Msg.Digest, m.Msg.WantBuckets, m.Msg.Flags, m.Msg.SentAt)
		}
		fmt.Fprint(h, link, w.delivered[link].Msg.Facts, w.delivered[link].Msg.SentAt)
	}
	return h.Sum64()
}

// Clone returns a deep copy.
func (w *world) Clone() *world {
	c := *w
	c.tables, c.links, c.delivered = nil, map[[2]int][]post.PeerMessage[Msg]{}, maps.Clone(w.delivered)
	c.remaining, c.seen, c.withdrawn = maps.Clone(w.remaining), maps.Clone(w.seen), nil
	for i, t := range w.tables {
		c.tables, c.withdrawn = append(c.tables, t.copy()), append(c.withdrawn, maps.Clone(w.withdrawn[i]))
	}
	for link, line := range w.links {
		c.links[link] = slices.Clone(line)
	}
	return &c
}

func (t *Table) copy() *Table {
	c := *t
	c.subjects, c.order, c.hot, c.peers = map[Subject][]*record{}, slices.Clone(t.order), nil, map[string]*peer{}
	c.names, c.targets, c.syncedWith, c.rng = slices.Clone(t.names), slices.Clone(t.targets), maps.Clone(t.syncedWith), rand.New(rand.NewPCG(1, 1))
	clones := map[*record]*record{}
	for s, hs := range t.subjects {
		for _, h := range hs {
			clone := *h
			clones[h] = &clone
			c.subjects[s] = append(c.subjects[s], &clone)
		}
	}
	for _, h := range t.hot {
		if clone := clones[h]; clone != nil {
			c.hot = append(c.hot, clone)
		}
	}
	for name, p := range t.peers {
		clone := *p
		c.peers[name] = &clone
	}
	return &c
}

func TestEveryOrderOfEvents(t *testing.T) {
	depth := 5
	if *deep {
		depth = 8
	}
	x := explore.Explorer[*world]{HealEvery: 8}
	bad := x.Search(newWorld(faults{}), depth)
	t.Log(x.States(), "states,", depth, "events deep")
	require.Empty(t, bad, x.Path)
	require.Greater(t, x.States(), 300)
}

func TestRandomWalks(t *testing.T) {
	n := uint64(500)
	if *deep {
		n = 100_000
	}
	for seed := range n {
		require.Empty(t, explore.RandomWalk(newWorld(faults{}), seed, 18), seed)
	}
}

func TestInjectedFaultsAreDetected(t *testing.T) {
	const tooOld, resurrected, diverged = "a fact is active beyond its maximum age", "a withdrawn fact is active again", "connected senders disagree"
	for _, c := range []struct {
		name   string
		faults faults
		found  string
	}{
		{"ages are not transmitted", faults{dropAges: true}, tooOld},
		{"timestamps claim that a message was just sent", faults{freshTimestamps: true}, tooOld},
		{"withdrawals are dropped", faults{dropWithdrawals: true}, resurrected},
		{"facts replace newer versions", faults{ignoreVersions: true}, resurrected},
		{"withdrawals are forwarded as facts", faults{clearWithdrawn: true}, diverged},
		{"no digests are exchanged", faults{dropDigests: true}, diverged},
	} {
		found := map[string]uint64{}
		for seed := uint64(1); seed <= 1000 && found[c.found] == 0; seed++ {
			found[explore.RandomWalk(newWorld(c.faults), seed, 18)] = seed
		}
		require.NotZero(t, found[c.found], "%s: %v", c.name, found)
		t.Logf("%s: found on walk %d", c.name, found[c.found])
	}
}
