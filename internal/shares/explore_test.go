package shares

import (
	"flag"
	"hash/maphash"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"ravenlink/internal/post"
)

var deep = flag.Int("shares.depth", 3, "events in a row that the exploration goes through")

// node is a state of three senders with clocks that agree, one destination, and letters under way.
type node struct {
	ss      []*Table
	now     int64
	air     []flight
	cut     [3]bool // links between 0 and 1, 1 and 2, 2 and 0
	cuts    int
	crashes int
	shifts  int
	f       fault
}

var three = []string{"s000", "s001", "s002"}

func (t *Table) copy() *Table {
	c := *t
	c.places, c.order, c.out = map[string]*place{}, slices.Clone(t.order), nil
	for k, p := range t.places {
		q := *p
		q.seat.votes, q.seat.seats, q.seat.row = maps.Clone(p.seat.votes), map[string]*seat{}, nil
		for _, s := range p.seat.row {
			d := *s
			q.seat.row, q.seat.seats[d.name] = append(q.seat.row, &d), &d
		}
		c.places[k] = &q
	}
	c.awake, c.resting = nil, nil
	for _, p := range t.awake {
		if !p.forgotten {
			c.awake = append(c.awake, c.places[p.dst])
		}
	}
	for _, p := range t.resting {
		c.resting = append(c.resting, c.places[p.dst])
	}
	return &c
}

func (n *node) copy() *node {
	c := *n
	c.ss, c.air = nil, slices.Clone(n.air)
	for _, t := range n.ss {
		c.ss = append(c.ss, t.copy())
	}
	return &c
}

var keySeed = maphash.MakeSeed()

func mix[T comparable](h *uint64, v T) { *h = *h*0x9e3779b97f4a7c15 ^ maphash.Comparable(keySeed, v) }

func (n *node) key() (h uint64) {
	mix(&h, [4]int64{n.now, int64(n.cuts), int64(n.crashes), int64(n.shifts)})
	mix(&h, n.cut)
	for _, f := range n.air {
		mix(&h, f)
	}
	for _, t := range n.ss {
		p := t.places[dst]
		mix(&h, p.hold)
		mix(&h, p.vote)
		mix(&h, [2]float64{p.need, float64(p.waiting)})
		o := &p.seat
		mix(&h, [...]int64{t.born, int64(t.life), int64(o.phase), int64(o.term), o.since, o.rest, o.stoodAt, o.wanted, o.from, o.poolAt, int64(o.nextSeat)})
		mix(&h, o.pool)
		for _, name := range three {
			mix(&h, o.votes[name])
			if s := o.seats[name]; s != nil {
				mix(&h, *s)
			}
		}
	}
	return h
}

func (n *node) post(from int, ls []post.Letter[Msg]) {
	for _, l := range ls {
		to := slices.Index(three, l.To)
		if link := map[int]int{1: 0, 3: 1, 2: 2}[from+to]; !n.cut[link] {
			n.air = append(n.air, flight{n.now, from, to, l.Msg})
		}
	}
}

func (n *node) start(i int) {
	w := world{names: three, ss: []*sender{{life: uint64(n.now)}, {life: uint64(n.now)}, {life: uint64(n.now)}}}
	n.ss[i] = New(three[i], three, Usual())
	n.ss[i].View(n.now, w.view(i))
	n.ss[i].Limit(n.now, dst, 60, Told)
	n.ss[i].Need(n.now, dst, 60, 10)
}

func (n *node) hear(i int) {
	f := n.air[i]
	n.air = slices.Delete(n.air, i, i+1)
	if n.f == granterClock && f.m.Kind == Grant {
		f.m.Stamp = n.now - 1
	}
	n.post(f.to, n.ss[f.to].Heard(n.now, three[f.from], f.m))
}

// pass lets time go by, with all senders but the stopped one taking their turns; letters under way stay there.
func (n *node) pass(d int64, stopped int) {
	n.now += d
	for i, t := range n.ss {
		if i == stopped {
			continue
		}
		n.f.plant(t.places[dst], n.now)
		n.post(i, t.Tick(n.now))
	}
}

func (n *node) calm(rounds int) {
	for range rounds {
		for k := 0; len(n.air) > 0 && k < 60; k++ {
			n.hear(0)
		}
		n.pass(250_000, -1)
	}
}

// next gives every state that one event leads to.
func (n *node) next() []*node {
	var to []*node
	add := func(do func(*node)) {
		c := n.copy()
		do(c)
		to = append(to, c)
	}
	add(func(c *node) { c.pass(250_000, -1) })
	for stopped := -1; stopped < len(n.ss); stopped++ {
		add(func(c *node) { c.pass(1_000_000, stopped) })
	}
	add(func(c *node) { c.calm(2) })
	add(func(c *node) { c.calm(10) })
	for i := range n.air {
		add(func(c *node) { c.hear(i) })
		add(func(c *node) { c.air = slices.Delete(c.air, i, i+1) }) // lost
	}
	if n.crashes == 0 {
		for i := range n.ss {
			add(func(c *node) { c.crashes++; c.start(i) })
		}
	}
	if n.shifts == 0 {
		for i := range n.ss { // one that needs much more than the others
			add(func(c *node) { c.shifts++; c.ss[i].Need(c.now, dst, 600, 100) })
		}
	}
	if n.cuts == 0 {
		for l := range n.cut {
			add(func(c *node) { c.cuts++; c.cut[l] = true })
		}
	}
	return to
}

func (n *node) bad() string {
	w := world{now: n.now, limit: 60}
	for _, t := range n.ss {
		w.ss = append(w.ss, &sender{Table: t})
	}
	w.judge()
	return w.bad
}

// explorer goes through every order of events up to a depth; a state is gone through again only where more events are left than before.
type explorer struct {
	seen map[uint64]int
	bad  string
}

func (e *explorer) from(n *node, depth int) {
	if e.bad == "" {
		e.bad = n.bad()
	}
	k := n.key()
	if left, ok := e.seen[k]; e.bad != "" || ok && left >= depth {
		return
	}
	e.seen[k] = depth
	if depth > 0 {
		for _, c := range n.next() {
			e.from(c, depth-1)
		}
	}
}

func explore(f fault, depth int) (states int, bad string) {
	root := &node{now: 10_000_000, ss: make([]*Table, 3), f: f}
	for i := range root.ss {
		root.start(i)
	}
	root.calm(50)
	e := &explorer{seen: map[uint64]int{}}
	e.from(root, depth)
	return len(e.seen), e.bad
}

func TestEveryOrderOfEvents(t *testing.T) {
	states, bad := explore(none, *deep)
	t.Logf("%d states to depth %d", states, *deep)
	assert.Empty(t, bad)
	assert.Greater(t, states, 1000)
}

func TestExplorationFindsPlantedFaults(t *testing.T) {
	for _, f := range []fault{noWait, notCounted} {
		states, bad := explore(f, 4)
		t.Logf("fault %d after %d states: %s", f, states, bad)
		assert.NotEmpty(t, bad)
	}
}
