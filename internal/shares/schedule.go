package shares

import (
	"container/heap"
	"math"
	"slices"
	"strings"
)

// never is the due time of a destination that only an event changes.
const never = math.MaxInt64

// dueHeap orders destinations by when time alone changes their state, in µs of the table's clock. Activated, due and evicted ones leave
// it, so maxDestinations bounds its size.
type dueHeap []*destination

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].nextVisit < h[j].nextVisit }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a destination; see heap.Interface.
func (h *dueHeap) Push(x any) {
	d := x.(*destination)
	d.heapIndex = len(*h)
	*h = append(*h, d)
}

// Pop removes the last destination; see heap.Interface.
func (h *dueHeap) Pop() any {
	i := len(*h) - 1
	d := (*h)[i]
	(*h)[i] = nil
	*h, d.heapIndex = (*h)[:i], notQueued
	return d
}

// notQueued is the heapIndex of a destination that the next tick visits.
const notQueued = -1

// activate makes the next tick visit a destination. Every change outside of a tick must call it; otherwise requests, grants and eviction
// wait until the old due time.
func (t *Table) activate(d *destination) {
	if d.heapIndex != notQueued {
		heap.Remove(&t.scheduled, d.heapIndex)
		t.active = append(t.active, d)
	}
}

// takeDue returns the destinations to visit, sorted by name, which determines the order of the peer messages. They stay active until
// reschedule.
func (t *Table) takeDue(now int64) []*destination {
	for len(t.scheduled) > 0 && t.scheduled[0].nextVisit <= now {
		t.active = append(t.active, heap.Pop(&t.scheduled).(*destination))
	}
	slices.SortFunc(t.active, func(a, b *destination) int { return strings.Compare(a.dst, b.dst) })
	return t.active
}

// reschedule moves visited destinations whose state will not change soon to the heap and drops evicted ones.
func (t *Table) reschedule(now int64) {
	t.active = slices.DeleteFunc(t.active, func(d *destination) bool {
		if d.evicted {
			return true
		}
		d.nextVisit = t.nextDue(now, d)
		if d.nextVisit <= now {
			return false
		}
		heap.Push(&t.scheduled, d)
		return true
	})
}

// nextDue returns the earliest time at which a tick may change or send anything for a destination without a further event, or now if the
// next tick may. Too early costs a visit; too late would delay a peer message or a stage change.
func (t *Table) nextDue(now int64, d *destination) int64 {
	l, o := &d.lease, &d.owner
	needs := d.waiting > 0 || d.demand >= minRate
	switch {
	case o.phase != idle, // renews votes, serves holders
		d.rank >= 0 && o.lastRequestAt != 0 && now-o.lastRequestAt <= 2*t.timing.Lease, // may become a candidate
		l.stage == leased || l.expiresAt > now,
		needs && (d.limit.perSec > 0 || l.unansweredSince > 0), // sends requests, may enter fallback
		l.granted > l.used && d.waiting == 0,                   // returns unused calls
		t.stageOf(now, d) != l.stage:
		return now
	}
	due := int64(never)
	if d.ownerlessSince > 0 && !t.partitioned(now, d) {
		due = d.ownerlessSince + t.timing.partitionDelay()
	}
	if d.waiting == 0 {
		due = min(due, max(d.lastUsed+idleTimeout, d.vote.until))
	}
	return due
}
