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

var maxDepth = flag.Int("shares.depth", 3, "number of consecutive events to explore")

// node is a state of three senders with synchronized clocks, one destination, and messages in flight.
type node struct {
	tables   []*Table
	now      int64
	inFlight []flight
	cut      [3]bool // links between 0 and 1, 1 and 2, 2 and 0
	cuts     int
	crashes  int
	surges   int
	fault    fault
}

var nodeNames = []string{"s000", "s001", "s002"}

func (t *Table) copy() *Table {
	c := *t
	c.destinations, c.names, c.outbox = map[string]*destination{}, slices.Clone(t.names), nil
	for k, p := range t.destinations {
		q := *p
		q.owner.votes, q.owner.holders, q.owner.sorted = maps.Clone(p.owner.votes), map[string]*holder{}, nil
		for _, s := range p.owner.sorted {
			d := *s
			q.owner.sorted, q.owner.holders[d.name] = append(q.owner.sorted, &d), &d
		}
		c.destinations[k] = &q
	}
	c.active, c.scheduled = nil, nil
	for _, p := range t.active {
		if !p.evicted {
			c.active = append(c.active, c.destinations[p.dst])
		}
	}
	for _, p := range t.scheduled {
		c.scheduled = append(c.scheduled, c.destinations[p.dst])
	}
	return &c
}

func (n *node) copy() *node {
	c := *n
	c.tables, c.inFlight = nil, slices.Clone(n.inFlight)
	for _, t := range n.tables {
		c.tables = append(c.tables, t.copy())
	}
	return &c
}

var keySeed = maphash.MakeSeed()

func hashInto[T comparable](h *uint64, v T) {
	*h = *h*0x9e3779b97f4a7c15 ^ maphash.Comparable(keySeed, v)
}

func (n *node) key() (h uint64) {
	hashInto(&h, [4]int64{n.now, int64(n.cuts), int64(n.crashes), int64(n.surges)})
	hashInto(&h, n.cut)
	for _, f := range n.inFlight {
		hashInto(&h, f)
	}
	for _, t := range n.tables {
		d := t.destinations[dst]
		hashInto(&h, d.lease)
		hashInto(&h, d.vote)
		hashInto(&h, [2]float64{d.demand, float64(d.waiting)})
		o := &d.owner
		hashInto(&h, [...]int64{t.startedAt, int64(t.runID), int64(o.phase), int64(o.term), o.since, o.retryAt,
			o.votesRequestedAt, o.lastRequestAt, o.grantFrom, o.poolUpdatedAt, int64(o.nextSession)})
		hashInto(&h, o.pool)
		for _, name := range nodeNames {
			hashInto(&h, o.votes[name])
			if s := o.holders[name]; s != nil {
				hashInto(&h, *s)
			}
		}
	}
	return h
}

func (n *node) post(from int, messages []post.PeerMessage[Msg]) {
	for _, m := range messages {
		to := slices.Index(nodeNames, m.To)
		if link := map[int]int{1: 0, 3: 1, 2: 2}[from+to]; !n.cut[link] {
			n.inFlight = append(n.inFlight, flight{n.now, from, to, m.Msg})
		}
	}
}

func (n *node) start(i int) {
	w := world{names: nodeNames, senders: []*sender{{runID: uint64(n.now)}, {runID: uint64(n.now)}, {runID: uint64(n.now)}}}
	n.tables[i] = New(nodeNames[i], nodeNames, DefaultTiming())
	n.tables[i].SetView(n.now, w.view(i))
	n.tables[i].SetLimit(n.now, dst, 60, Reported)
	n.tables[i].SetDemand(n.now, dst, 60, 10)
}

func (n *node) deliver(i int) {
	f := n.inFlight[i]
	n.inFlight = slices.Delete(n.inFlight, i, i+1)
	if n.fault == leaseFromReceipt && f.m.Kind == Grant {
		f.m.SentAt = n.now - 1
	}
	n.post(f.to, n.tables[f.to].Receive(n.now, nodeNames[f.from], f.m))
}

// advance advances time and ticks all senders but the stopped one; messages stay in flight.
func (n *node) advance(d int64, stopped int) {
	n.now += d
	for i, t := range n.tables {
		if i == stopped {
			continue
		}
		n.fault.inject(t.destinations[dst], n.now)
		n.post(i, t.Tick(n.now))
	}
}

func (n *node) settle(rounds int) {
	for range rounds {
		for k := 0; len(n.inFlight) > 0 && k < 60; k++ {
			n.deliver(0)
		}
		n.advance(250_000, -1)
	}
}

// successors returns every state that one event leads to.
func (n *node) successors() []*node {
	var to []*node
	add := func(do func(*node)) {
		c := n.copy()
		do(c)
		to = append(to, c)
	}
	add(func(c *node) { c.advance(250_000, -1) })
	for stopped := -1; stopped < len(n.tables); stopped++ {
		add(func(c *node) { c.advance(1_000_000, stopped) })
	}
	add(func(c *node) { c.settle(2) })
	add(func(c *node) { c.settle(10) })
	for i := range n.inFlight {
		add(func(c *node) { c.deliver(i) })
		add(func(c *node) { c.inFlight = slices.Delete(c.inFlight, i, i+1) }) // lost
	}
	if n.crashes == 0 {
		for i := range n.tables {
			add(func(c *node) { c.crashes++; c.start(i) })
		}
	}
	if n.surges == 0 {
		for i := range n.tables { // much greater demand than the others
			add(func(c *node) { c.surges++; c.tables[i].SetDemand(c.now, dst, 600, 100) })
		}
	}
	if n.cuts == 0 {
		for l := range n.cut {
			add(func(c *node) { c.cuts++; c.cut[l] = true })
		}
	}
	return to
}

func (n *node) violation() string {
	w := world{now: n.now, limit: 60}
	for _, t := range n.tables {
		w.senders = append(w.senders, &sender{Table: t})
	}
	w.check()
	return w.violation
}

// explorer visits every order of events up to a depth. It visits a state again only if more events are left than before.
type explorer struct {
	seen      map[uint64]int
	violation string
}

func (e *explorer) visit(n *node, depth int) {
	if e.violation == "" {
		e.violation = n.violation()
	}
	k := n.key()
	if left, ok := e.seen[k]; e.violation != "" || ok && left >= depth {
		return
	}
	e.seen[k] = depth
	if depth > 0 {
		for _, c := range n.successors() {
			e.visit(c, depth-1)
		}
	}
}

func explore(f fault, depth int) (states int, violation string) {
	root := &node{now: 10_000_000, tables: make([]*Table, 3), fault: f}
	for i := range root.tables {
		root.start(i)
	}
	root.settle(50)
	e := &explorer{seen: map[uint64]int{}}
	e.visit(root, depth)
	return len(e.seen), e.violation
}

func TestEveryOrderOfEvents(t *testing.T) {
	states, bad := explore(noFault, *maxDepth)
	t.Logf("%d states to depth %d", states, *maxDepth)
	assert.Empty(t, bad)
	assert.Greater(t, states, 1000)
}

func TestExplorationDetectsInjectedFaults(t *testing.T) {
	for _, f := range []fault{noExpiryWait, grantsNotCounted} {
		states, bad := explore(f, 4)
		t.Logf("fault %d after %d states: %s", f, states, bad)
		assert.NotEmpty(t, bad)
	}
}
