// Package loop runs events in virtual time: a queue ordered by time, and among equal times by when each was asked for.
// One goroutine owns a loop; nothing in it depends on the machine.
package loop

// Origin is the time at which a loop begins, in µs: past zero, so that zero can mean never.
const Origin = int64(1_000_000_000)

// arity of the heap: four children share a cache line or two, and the tree is half as deep as a binary one.
const arity = 4

// Handler is told when something it asked for is due. kind and number are what it asked with.
type Handler interface {
	Handle(kind uint8, number uint64)
}

// node is a place in the heap. It holds no pointer, so that moving it costs the collector nothing.
type node struct {
	at   int64
	seq  uint64
	slot uint32
}

func (a node) before(b node) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// payload is what a node stands for.
type payload struct {
	h      Handler
	number uint64
	kind   uint8
}

// Loop is a queue of events and the time of the one that runs. Its room follows the events pending.
type Loop struct {
	now   int64
	seq   uint64
	ran   uint64
	heap  []node
	slots []payload
	free  []uint32 // slots to use again
}

// New gives an empty loop at Origin.
func New() *Loop { return &Loop{now: Origin} }

// Now is the time of the running event, in µs.
func (l *Loop) Now() int64 { return l.now }

// Ran counts the events that have run.
func (l *Loop) Ran() uint64 { return l.ran }

// Pending counts those that wait.
func (l *Loop) Pending() int { return len(l.heap) }

// At asks for a handler to be told at a time, at once if that is past. An event cannot be taken back: its handler
// knows by kind and number whether it still means anything.
func (l *Loop) At(at int64, h Handler, kind uint8, number uint64) {
	l.seq++
	n := node{at: max(at, l.now), seq: l.seq}
	if k := len(l.free); k > 0 {
		n.slot, l.free = l.free[k-1], l.free[:k-1]
		l.slots[n.slot] = payload{h, number, kind}
	} else {
		n.slot = uint32(len(l.slots))
		l.slots = append(l.slots, payload{h, number, kind})
	}
	l.heap = append(l.heap, n)
	l.up(len(l.heap) - 1)
}

// Run takes events in order until none is left that is due by the end, and leaves the time there.
func (l *Loop) Run(end int64) {
	for len(l.heap) > 0 && l.heap[0].at <= end {
		l.step()
	}
	l.now = max(l.now, end)
}

// Drain runs until nothing is pending, or a bound on events is met; it tells whether nothing is left.
func (l *Loop) Drain(most uint64) bool {
	for limit := l.ran + most; len(l.heap) > 0 && l.ran < limit; {
		l.step()
	}
	return len(l.heap) == 0
}

func (l *Loop) step() {
	n := l.heap[0]
	last := len(l.heap) - 1
	l.heap[0] = l.heap[last]
	l.heap = l.heap[:last]
	if last > 1 {
		l.down(0)
	}
	p := l.slots[n.slot]
	l.slots[n.slot] = payload{}
	l.free = append(l.free, n.slot)
	l.now = n.at
	l.ran++
	p.h.Handle(p.kind, p.number)
}

func (l *Loop) up(i int) {
	h, n := l.heap, l.heap[i]
	for i > 0 {
		parent := (i - 1) / arity
		if !n.before(h[parent]) {
			break
		}
		h[i] = h[parent]
		i = parent
	}
	h[i] = n
}

func (l *Loop) down(i int) {
	h, n := l.heap, l.heap[i]
	for {
		first := i*arity + 1
		if first >= len(h) {
			break
		}
		least := first
		for c := first + 1; c < min(first+arity, len(h)); c++ {
			if h[c].before(h[least]) {
				least = c
			}
		}
		if !h[least].before(n) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = n
}
