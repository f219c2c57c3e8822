// Package mesh carries letters between decision modules in virtual time, over directed links that delay, lose, double and cut.
// The same seed gives the same run.
package mesh

import (
	"container/heap"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"ravenlink/internal/post"
)

// Node is a module under test. Both return what is to be sent.
type Node[M any] interface {
	Heard(now int64, from string, m M) []post.Letter[M]
	Tick(now int64) []post.Letter[M]
}

// tick in place of a flight's sender: the receiver's own time to tick.
const tick = -1

type flight[M any] struct {
	at, n    int64
	from, to int
	msg      M
}

type flights[M any] []flight[M]

func (h flights[M]) Len() int { return len(h) }
func (h flights[M]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h flights[M]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *flights[M]) Push(x any)   { *h = append(*h, x.(flight[M])) }
func (h *flights[M]) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Mesh is the fleet's links. Nodes that are nil are down. Every tells how often each node ticks, in µs.
type Mesh[M any] struct {
	Names  []string
	Nodes  []Node[M]
	Now    int64
	Every  int64
	Delay  int64                    // µs at least; up to twice that
	Loss   float64                  // share of letters lost
	Double float64                  // share carried twice
	Cut    func(from, to int) bool  // nil for none
	Took   func(from, to, size int) // each letter handed over, with its size in cbor; nil for none
	index  map[string]int
	air    flights[M]
	begun  []int64 // first ticks, until Run has them
	n      int64
	rng    *rand.Rand
}

// New has no nodes yet: set Nodes[i] for each of names.
func New[M any](names []string, seed uint64) *Mesh[M] {
	m := &Mesh[M]{Names: names, Nodes: make([]Node[M], len(names)), Every: 50_000, Delay: 1000, index: map[string]int{},
		begun: make([]int64, len(names)), rng: rand.New(rand.NewPCG(seed, 1))}
	for i, name := range names {
		m.index[name] = i
		m.begun[i] = m.rng.Int64N(m.Every)
	}
	return m
}

// Post sends what node from wants told.
func (m *Mesh[M]) Post(from int, letters []post.Letter[M]) {
	for _, l := range letters {
		if l.To != "" {
			m.send(from, m.index[l.To], l.Msg)
			continue
		}
		for to := range m.Names {
			if to != from {
				m.send(from, to, l.Msg)
			}
		}
	}
}

func (m *Mesh[M]) send(from, to int, msg M) {
	if m.Took != nil {
		b, err := cbor.Marshal(msg)
		if err != nil {
			panic(err) // a module's message that cannot be encoded is a fault of the module
		}
		m.Took(from, to, len(b))
	}
	times := 1
	if m.rng.Float64() < m.Double {
		times = 2
	}
	for range times {
		if m.rng.Float64() < m.Loss || m.Cut != nil && m.Cut(from, to) {
			continue
		}
		m.n++
		heap.Push(&m.air, flight[M]{at: m.Now + m.Delay + m.rng.Int64N(m.Delay+1), n: m.n, from: from, to: to, msg: msg})
	}
}

// Run lets time pass until the given moment.
func (m *Mesh[M]) Run(until int64) {
	for i := range m.begun {
		heap.Push(&m.air, flight[M]{at: m.begun[i], n: int64(i) - int64(len(m.begun)), from: tick, to: i})
	}
	m.begun = nil
	for len(m.air) > 0 && m.air[0].at < until {
		f := heap.Pop(&m.air).(flight[M])
		m.Now = f.at
		switch {
		case f.from == tick:
			if m.Nodes[f.to] != nil {
				m.Post(f.to, m.Nodes[f.to].Tick(m.Now))
			}
			f.at += m.Every
			heap.Push(&m.air, f)
		case m.Nodes[f.to] != nil && m.Nodes[f.from] != nil:
			m.Post(f.to, m.Nodes[f.to].Heard(m.Now, m.Names[f.from], f.msg))
		}
	}
	m.Now = until
}
