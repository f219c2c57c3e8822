// Package loop is a discrete-event scheduler: it runs events in virtual time, ordered by their time and, among equal
// times, by the order in which they were scheduled. A loop belongs to one goroutine, and its runs are deterministic.
package loop

// Origin is the virtual time at which a loop starts, in µs. It is above zero so that zero can mean "never".
const Origin = int64(1_000_000_000)

// arity is the number of children of a heap node. Four children fit into one or two cache lines, and the tree is half as
// deep as a binary one.
const arity = 4

// Handler receives events that are due, with the kind and number that were passed to At.
type Handler interface {
	Handle(kind uint8, number uint64)
}

// node is an element of the heap. It holds no pointer, so that moving it causes no work for the
// garbage collector.
type node struct {
	at   int64
	seq  uint64
	slot uint32
}

func (a node) before(b node) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// payload is the event that a node refers to by its slot.
type payload struct {
	h      Handler
	number uint64
	kind   uint8
}

// Loop is a queue of events with a virtual clock. Its memory grows with the number of pending events.
type Loop struct {
	now   int64
	seq   uint64
	ran   uint64
	heap  []node
	slots []payload
	free  []uint32 // slots that can be reused
}

// New returns an empty loop whose time is Origin.
func New() *Loop { return &Loop{now: Origin} }

// Now returns the virtual time in µs: that of the running event.
func (l *Loop) Now() int64 { return l.now }

// Ran returns the number of events that have run.
func (l *Loop) Ran() uint64 { return l.ran }

// Pending returns the number of events that have not run yet.
func (l *Loop) Pending() int { return len(l.heap) }

// At schedules an event for a handler; a time in the past means now. Events cannot be cancelled: the handler ignores the
// ones that are obsolete, which it recognizes by kind and number.
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
	l.siftUp(len(l.heap) - 1)
}

// Run executes the events that are due up to and including end, and then sets the time to end.
func (l *Loop) Run(end int64) {
	for len(l.heap) > 0 && l.heap[0].at <= end {
		l.step()
	}
	l.now = max(l.now, end)
}

// Drain executes events until none is pending or maxEvents have run. It reports whether none is pending.
func (l *Loop) Drain(maxEvents uint64) bool {
	for limit := l.ran + maxEvents; len(l.heap) > 0 && l.ran < limit; {
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
		l.siftDown(0)
	}
	p := l.slots[n.slot]
	l.slots[n.slot] = payload{}
	l.free = append(l.free, n.slot)
	l.now = n.at
	l.ran++
	p.h.Handle(p.kind, p.number)
}

func (l *Loop) siftUp(i int) {
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

func (l *Loop) siftDown(i int) {
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
