package shares

import (
	"container/heap"
	"math"
	"slices"
	"strings"
)

// never is the due time of a place that only an event changes.
const never = math.MaxInt64

// dueHeap has the places that rest, by the µs of the table's clock at which time alone changes something of them. A place leaves it when
// it is woken, is due or is forgotten, so it is bounded by placesMost.
type dueHeap []*place

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].slot, h[j].slot = i, j
}

// Push puts a place at the end, for container/heap.
func (h *dueHeap) Push(x any) {
	p := x.(*place)
	p.slot = len(*h)
	*h = append(*h, p)
}

// Pop takes the last place away, for container/heap.
func (h *dueHeap) Pop() any {
	i := len(*h) - 1
	p := (*h)[i]
	(*h)[i] = nil
	*h, p.slot = (*h)[:i], awake
	return p
}

// awake is the slot of a place that the next tick looks at.
const awake = -1

// wake has the next tick look at a place. Whatever changes a place outside of a tick has to wake it: one that rests on is not asked for, not
// granted and not let go until its old time.
func (t *Table) wake(p *place) {
	if p.slot != awake {
		heap.Remove(&t.resting, p.slot)
		t.awake = append(t.awake, p)
	}
}

// takeDue gives the places that a tick has to look at, by name: the order of the letters. They are awake from then on, until rest.
func (t *Table) takeDue(now int64) []*place {
	for len(t.resting) > 0 && t.resting[0].due <= now {
		t.awake = append(t.awake, heap.Pop(&t.resting).(*place))
	}
	slices.SortFunc(t.awake, func(a, b *place) int { return strings.Compare(a.dst, b.dst) })
	return t.awake
}

// rest lets those places rest that the tick has just looked at and that time alone will not change soon, and lets go of the forgotten ones.
func (t *Table) rest(now int64) {
	t.awake = slices.DeleteFunc(t.awake, func(p *place) bool {
		if p.forgotten {
			return true
		}
		p.due = t.nextDue(now, p)
		if p.due <= now {
			return false
		}
		heap.Push(&t.resting, p)
		return true
	})
}

// nextDue tells from when on a tick may change a place again or say something of it, if no event comes before; now where that may be at
// the next tick. It may be too early, which costs a look, but never too late: then a letter or a change of stage would be late too.
func (t *Table) nextDue(now int64, p *place) int64 {
	h, o := &p.hold, &p.seat
	needs := p.waiting > 0 || p.need >= quantum
	switch {
	case o.phase != idle, // its promises and seats go on
		p.rank >= 0 && o.wanted != 0 && now-o.wanted <= 2*t.t.Lease, // it may stand
		h.phase == leased || h.until > now,
		needs && (p.limit.perSec > 0 || h.unanswered > 0), // it asks, and comes to doubt
		h.given > h.done && p.waiting == 0,                // it gives back
		t.stageOf(now, p) != h.phase:
		return now
	}
	due := int64(never)
	if p.unled > 0 && !t.cutOff(now, p) {
		due = p.unled + t.t.cutSeen()
	}
	if p.waiting == 0 {
		due = min(due, max(p.used+forgetAfter, p.vote.until))
	}
	return due
}
