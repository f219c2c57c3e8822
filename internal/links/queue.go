package links

import (
	"container/list"
	"sync"
)

type slot struct {
	kind Kind
	name string
}

type waiting struct {
	Frame
	at int64 // µs, when it was handed to Send
}

// queue holds what waits for one peer: one frame a slot, in the order in which the slots came. It is emptied by posts, by
// newer frames, by its bounds and by waitMost.
type queue struct {
	mu    sync.Mutex // a leaf
	order list.List  // of waiting, the oldest slot in front
	slots map[slot]*list.Element
	bytes int
	wake  chan struct{} // holds one token while there may be something to send
	tally *tally
}

func newQueue(t *tally) *queue {
	return &queue{slots: map[slot]*list.Element{}, wake: make(chan struct{}, 1), tally: t}
}

func (q *queue) put(f Frame, at int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e, ok := q.slots[slot{f.Kind, f.Slot}]; ok {
		old := e.Value.(waiting)
		e.Value = waiting{f, at}
		q.bytes += f.size() - old.size()
		q.tally.replaced.Add(1)
	} else {
		q.slots[slot{f.Kind, f.Slot}] = q.order.PushBack(waiting{f, at})
		q.bytes += f.size()
	}
	for q.order.Len() > queueFrames || q.bytes > queueBytes {
		q.remove(q.order.Front())
		q.tally.dropped.Add(1)
	}
	q.ring()
}

// back returns frames that were not answered for, in front of the rest, unless a newer one has come.
func (q *queue) back(frames []waiting) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := len(frames) - 1; i >= 0; i-- {
		f := frames[i]
		key := slot{f.Kind, f.Slot}
		if q.slots[key] != nil {
			q.tally.replaced.Add(1)
			continue
		}
		if q.order.Len() >= queueFrames || q.bytes+f.size() > queueBytes {
			q.tally.dropped.Add(1)
			continue
		}
		q.slots[key] = q.order.PushFront(f)
		q.bytes += f.size()
	}
	if q.order.Len() > 0 {
		q.ring()
	}
}

// take removes one batch; what has waited too long goes.
func (q *queue) take(now int64) (batch []waiting) {
	q.mu.Lock()
	defer q.mu.Unlock()
	bytes := 0
	for e := q.order.Front(); e != nil; e = q.order.Front() {
		f := e.Value.(waiting)
		if now-f.at > waitMost.Microseconds() {
			q.tally.stale.Add(1)
			q.remove(e)
			continue
		}
		if len(batch) > 0 && (len(batch) >= batchFrames || bytes+f.size() > batchBytes) {
			q.ring()
			break
		}
		bytes += f.size()
		batch = append(batch, f)
		q.remove(e)
	}
	return batch
}

func (q *queue) remove(e *list.Element) {
	f := q.order.Remove(e).(waiting)
	delete(q.slots, slot{f.Kind, f.Slot})
	q.bytes -= f.size()
}

func (q *queue) ring() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
