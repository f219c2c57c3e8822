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

var deep = flag.Bool("deep", false, "explore deeper and walk more ways (minutes)")

// world is three senders with clocks of their own, one place, and every directed link a line of letters. Its truth is when each version was
// seen, and which versions each sender knows to be over.
type world struct {
	names  []string
	ts     []*Table
	now    int64
	links  map[[2]int][]post.Letter[Msg]
	late   map[[2]int]post.Letter[Msg] // the latest letter carried, for one more time
	cut    bool                        // the third from the others
	bare   bool                        // only letters with facts are carried: comparisons have their time at the end of each way
	left   map[string]int              // how often each event may still be
	seen   map[string]int64            // of origin/incarnation/version
	over   []map[string]uint64         // of origin/incarnation: the newest version known to be withdrawn
	snap   []byte                      // of the second sender, when time last passed
	snapAt int64
	faults faults
}

// faults planted in a sender.
type faults struct {
	ageless, forgetful, mute, careless, raising, flattering bool
}

func (w *world) clock(i int) int64 { return w.now + int64(i)*1_000_000_000 }

func newWorld(f faults) *world {
	w := &world{names: []string{"a", "b", "c"}, now: 1e6, links: map[[2]int][]post.Letter[Msg]{}, late: map[[2]int]post.Letter[Msg]{},
		left: map[string]int{"down": 1, "back": 1, "withdraw": 1, "crash": 1, "cut": 1, "heal": 1, "later": 3, "again": 1},
		seen: map[string]int64{}, over: make([]map[string]uint64, 3), faults: f}
	for i := range w.names {
		w.ts = append(w.ts, nil)
		w.start(i, 1)
	}
	w.settle(1e6) // their clocks are acquainted
	w.bare = true
	return w
}

func (w *world) start(i int, incarnation uint64) {
	timing, room := Usual()
	w.ts[i], w.over[i] = New(w.names[i], incarnation, timing, room), map[string]uint64{}
	v := viewOf(w.names[i], w.names)
	for k := range v.Members {
		v.Members[k].Incarnation = 2 // as if the view already knew of every start to come
	}
	v.Members[i].Incarnation = incarnation
	w.ts[i].View(w.clock(i), v)
}

func (w *world) post(from int, letters []post.Letter[Msg]) {
	for _, l := range letters {
		to := strings.Index("abc", l.To)
		if w.cut && (from == 2 || to == 2) || w.faults.mute && len(l.Msg.Digest) > 0 || w.bare && len(l.Msg.Facts) == 0 {
			continue
		}
		link := [2]int{from, to}
		w.links[link] = append(w.links[link], l)
		w.links[link] = w.links[link][max(0, len(w.links[link])-2):] // a bounded queue: the oldest goes
	}
}

func (w *world) note(i int, version uint64, withdrawn bool) {
	origin := fmt.Sprint(w.names[i], w.ts[i].incarnation)
	if withdrawn {
		w.over[i][origin] = version
	}
	w.seen[fmt.Sprint(origin, version)] = w.now
}

func (w *world) own(i int, k Kind) {
	w.post(i, w.ts[i].Own(w.clock(i), Fact{Subject: place, Kind: k}))
	w.note(i, w.ts[i].version, false)
}

func (w *world) carry(link [2]int, l post.Letter[Msg]) {
	from, to := link[0], link[1]
	t := w.ts[to]
	m := l.Msg
	m.Facts = append([]wire(nil), m.Facts...)
	for i := range m.Facts {
		if w.faults.ageless {
			m.Facts[i].Age, m.Facts[i].Slack = 0, 0
		}
		if w.faults.raising {
			m.Facts[i].Withdrawn = false
		}
	}
	if w.faults.flattering {
		m.Stamp = w.clock(from)
	}
	if w.faults.careless && len(m.Facts) > 0 {
		t.sweep(func(h *held) bool { return h.Origin == t.self })
	}
	news, letters := t.Heard(w.clock(to), w.names[from], m)
	for _, f := range news {
		if f.Withdrawn {
			w.over[to][fmt.Sprint(f.Origin, f.Incarnation)] = f.Version
		}
	}
	w.post(to, letters)
}

func (w *world) tick(i int) {
	w.post(i, w.ts[i].Tick(w.clock(i)))
	if w.faults.forgetful {
		w.ts[i].sweep(func(h *held) bool { return !h.Withdrawn })
	}
}

// settle: the links carry all at once, for a while.
func (w *world) settle(span int64) {
	for end := w.now + span; w.now < end; w.now += 100_000 {
		for i := range w.ts {
			w.tick(i)
		}
		for busy, rounds := true, 0; busy && rounds < 20; rounds++ {
			busy = false
			for _, link := range allLinks {
				line := w.links[link]
				w.links[link] = nil
				for _, l := range line {
					busy = true
					w.carry(link, l)
				}
			}
		}
	}
}

var allLinks = [][2]int{{0, 1}, {0, 2}, {1, 0}, {1, 2}, {2, 0}, {2, 1}}

// events that can happen now.
func (w *world) Events() []string {
	var es []string
	for _, e := range []string{"down", "back", "withdraw", "crash", "cut", "heal", "later"} {
		ok := w.left[e] > 0
		switch e {
		case "withdraw":
			ok = ok && w.left["down"] == 0
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
		if _, ok := w.late[link]; ok && w.left["again"] > 0 {
			es = append(es, fmt.Sprintf("again%d", i))
		}
	}
	return es
}

func (w *world) Do(e string) {
	w.left[e]--
	switch e {
	case "down":
		w.own(0, Down)
	case "back":
		w.own(1, Back)
	case "withdraw":
		was := w.ts[0].version
		letters := w.ts[0].Withdraw(w.clock(0), place, Down)
		if w.ts[0].version > was {
			w.note(0, w.ts[0].version, true)
		}
		w.post(0, letters)
	case "crash":
		w.start(1, 2)
		if w.snap != nil {
			if _, err := w.ts[1].Restore(w.clock(1), w.snap, w.now-w.snapAt); err != nil {
				panic(err) // a whole snapshot is always taken
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
		for i := range w.ts {
			w.tick(i)
		}
		w.snap, _ = w.ts[1].Snapshot(w.clock(1))
		w.snapAt = w.now
	default:
		again := strings.HasPrefix(e, "again")
		link := allLinks[e[len(e)-1]-'0']
		if again {
			w.left["again"]--
			w.carry(link, w.late[link])
			return
		}
		l := w.links[link][0]
		w.links[link] = w.links[link][1:]
		if len(l.Msg.Facts) > 0 {
			w.late[link] = l
		}
		w.carry(link, l)
	}
}

// wrong names what must never be.
func (w *world) Wrong() string {
	for i, t := range w.ts {
		for _, h := range t.subjects[place] {
			if !h.counts(w.clock(i)) {
				continue
			}
			origin := fmt.Sprint(h.Origin, h.Incarnation)
			if w.now-w.seen[fmt.Sprint(origin, h.Version)] >= h.Kind.Greatest() {
				return "a fact counts beyond its greatest age"
			}
			if h.Version <= w.over[i][origin] {
				return "a withdrawn fact came back"
			}
		}
	}
	return ""
}

func (w *world) End() string {
	w.cut, w.bare = false, false
	w.settle(3e6)
	if bad := w.Wrong(); bad != "" {
		return bad
	}
	for i := range w.ts {
		if !equalFacts(w.facts(i), w.facts(0)) {
			return "senders that are connected do not agree"
		}
	}
	return ""
}

func equalFacts(a, b []string) bool { return strings.Join(a, " ") == strings.Join(b, " ") }

func (w *world) facts(i int) (all []string) {
	for _, h := range w.ts[i].subjects[place] {
		if h.counts(w.clock(i)) {
			all = append(all, fmt.Sprint(h.Origin, h.Incarnation, h.Version, h.Kind))
		}
	}
	return all
}

// print of a state: two that print alike go on alike.
func (w *world) Print() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.now, w.cut, w.left["down"], w.left["back"], w.left["withdraw"], w.left["crash"], w.left["heal"], w.left["cut"], w.left["again"])
	for i, t := range w.ts {
		for _, e := range t.subjects[place] {
			fmt.Fprint(h, i, e.Fact, e.seen, e.surely, e.copies)
		}
	}
	fmt.Fprintf(h, "%x %d", w.snap, w.snapAt)
	for _, link := range allLinks {
		for _, l := range w.links[link] {
			fmt.Fprint(h, link, l.Msg.Facts, l.Msg.Digest, l.Msg.Want, l.Msg.Flags, l.Msg.Stamp)
		}
		fmt.Fprint(h, link, w.late[link].Msg.Facts, w.late[link].Msg.Stamp)
	}
	return h.Sum64()
}

// copied so that two futures of it do not touch.
func (w *world) Copied() *world {
	c := *w
	c.ts, c.links, c.late = nil, map[[2]int][]post.Letter[Msg]{}, maps.Clone(w.late)
	c.left, c.seen, c.over = maps.Clone(w.left), maps.Clone(w.seen), nil
	for i, t := range w.ts {
		c.ts, c.over = append(c.ts, t.copied()), append(c.over, maps.Clone(w.over[i]))
	}
	for link, line := range w.links {
		c.links[link] = slices.Clone(line)
	}
	return &c
}

func (t *Table) copied() *Table {
	c := *t
	c.subjects, c.order, c.hot, c.peers = map[Subject][]*held{}, slices.Clone(t.order), nil, map[string]*peer{}
	c.names, c.told, c.learnt, c.rng = slices.Clone(t.names), slices.Clone(t.told), maps.Clone(t.learnt), rand.New(rand.NewPCG(1, 1))
	same := map[*held]*held{}
	for s, hs := range t.subjects {
		for _, h := range hs {
			twin := *h
			same[h] = &twin
			c.subjects[s] = append(c.subjects[s], &twin)
		}
	}
	for _, h := range t.hot {
		if twin := same[h]; twin != nil {
			c.hot = append(c.hot, twin)
		}
	}
	for name, p := range t.peers {
		twin := *p
		c.peers[name] = &twin
	}
	return &c
}

func TestEveryOrderOfEvents(t *testing.T) {
	depth := 5
	if *deep {
		depth = 8
	}
	x := explore.Explorer[*world]{Ends: 8}
	bad := x.All(newWorld(faults{}), depth)
	t.Log(x.States(), "states,", depth, "events deep")
	require.Empty(t, bad, x.Way)
	require.Greater(t, x.States(), 300)
}

func TestLongWays(t *testing.T) {
	n := uint64(500)
	if *deep {
		n = 100_000
	}
	for seed := range n {
		require.Empty(t, explore.Walk(newWorld(faults{}), seed, 18), seed)
	}
}

func TestPlantedFaultsAreFound(t *testing.T) {
	const old, back, apart = "a fact counts beyond its greatest age", "a withdrawn fact came back", "senders that are connected do not agree"
	for _, c := range []struct {
		name   string
		faults faults
		found  string
	}{
		{"ages do not travel", faults{ageless: true}, old},
		{"stamps say that a letter left only now", faults{flattering: true}, old},
		{"withdrawals are forgotten", faults{forgetful: true}, back},
		{"what comes later takes the place of what is newer", faults{careless: true}, back},
		{"withdrawals are passed on as facts", faults{raising: true}, apart},
		{"nothing is compared", faults{mute: true}, apart},
	} {
		found := map[string]uint64{}
		for seed := uint64(1); seed <= 1000 && found[c.found] == 0; seed++ {
			found[explore.Walk(newWorld(c.faults), seed, 18)] = seed
		}
		require.NotZero(t, found[c.found], "%s: %v", c.name, found)
		t.Logf("%s: found on way %d", c.name, found[c.found])
	}
}
