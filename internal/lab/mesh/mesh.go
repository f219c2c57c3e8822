// Package mesh simulates the network between the decision modules of peers in virtual time. Its directed links delay, lose,
// duplicate and block peer messages. Runs with the same seed are identical.
package mesh

import (
	"container/heap"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"ravenlink/internal/post"
)

// Node is a module under test. Both methods return the peer messages to send.
type Node[M any] interface {
	Receive(now int64, from string, m M) []post.PeerMessage[M]
	Tick(now int64) []post.PeerMessage[M]
}

// timerTick stands in place of the sender of an event that makes its receiver tick.
const timerTick = -1

// event is a peer message that is due to arrive, or the next tick of a node.
type event[M any] struct {
	at, seq  int64
	from, to int
	msg      M
}

type eventHeap[M any] []event[M]

func (h eventHeap[M]) Len() int { return len(h) }
func (h eventHeap[M]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap[M]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap[M]) Push(x any)   { *h = append(*h, x.(event[M])) }
func (h *eventHeap[M]) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Mesh is the network between all nodes. A nil node is down.
type Mesh[M any] struct {
	Names         []string
	Nodes         []Node[M]
	Now           int64
	TickInterval  int64                    // of each node, in µs
	MinDelay      int64                    // in µs; delays are uniform up to twice that
	LossRate      float64                  // share of messages lost
	DuplicateRate float64                  // share of messages delivered twice
	Partitioned   func(from, to int) bool  // reports whether a link is blocked; may be nil
	OnSend        func(from, to, size int) // called for each message sent, with its size in CBOR; may be nil
	index         map[string]int
	events        eventHeap[M]
	firstTicks    []int64 // times of the first ticks; nil once Run has scheduled them
	seq           int64
	rng           *rand.Rand
}

// New returns a network without nodes; the caller sets Nodes[i] for each name.
func New[M any](names []string, seed uint64) *Mesh[M] {
	m := &Mesh[M]{Names: names, Nodes: make([]Node[M], len(names)), TickInterval: 50_000, MinDelay: 1000, index: map[string]int{},
		firstTicks: make([]int64, len(names)), rng: rand.New(rand.NewPCG(seed, 1))}
	for i, name := range names {
		m.index[name] = i
		m.firstTicks[i] = m.rng.Int64N(m.TickInterval)
	}
	return m
}

// Send transmits the peer messages of a node; those without a recipient go to all other nodes.
func (m *Mesh[M]) Send(from int, messages []post.PeerMessage[M]) {
	for _, p := range messages {
		if p.To != "" {
			m.transmit(from, m.index[p.To], p.Msg)
			continue
		}
		for to := range m.Names {
			if to != from {
				m.transmit(from, to, p.Msg)
			}
		}
	}
}

func (m *Mesh[M]) transmit(from, to int, msg M) {
	if m.OnSend != nil {
		b, err := cbor.Marshal(msg)
		if err != nil {
			panic(err) // the module produced a message that cannot be encoded
		}
		m.OnSend(from, to, len(b))
	}
	copies := 1
	if m.rng.Float64() < m.DuplicateRate {
		copies = 2
	}
	for range copies {
		if m.rng.Float64() < m.LossRate || m.Partitioned != nil && m.Partitioned(from, to) {
			continue
		}
		m.seq++
		heap.Push(&m.events, event[M]{at: m.Now + m.MinDelay + m.rng.Int64N(m.MinDelay+1), seq: m.seq, from: from, to: to, msg: msg})
	}
}

// Run processes the events before the given time and advances Now to it.
func (m *Mesh[M]) Run(until int64) {
	for i := range m.firstTicks {
		heap.Push(&m.events, event[M]{at: m.firstTicks[i], seq: int64(i) - int64(len(m.firstTicks)), from: timerTick, to: i})
	}
	m.firstTicks = nil
	for len(m.events) > 0 && m.events[0].at < until {
		e := heap.Pop(&m.events).(event[M])
		m.Now = e.at
		switch {
		case e.from == timerTick:
			if m.Nodes[e.to] != nil {
				m.Send(e.to, m.Nodes[e.to].Tick(m.Now))
			}
			e.at += m.TickInterval
			heap.Push(&m.events, e)
		case m.Nodes[e.to] != nil && m.Nodes[e.from] != nil:
			m.Send(e.to, m.Nodes[e.to].Receive(m.Now, m.Names[e.from], e.msg))
		}
	}
	m.Now = until
}
