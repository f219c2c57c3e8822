package links

import (
	"container/list"
	"sync"
)

type slotKey struct {
	kind Kind
	name string
}

type queuedFrame struct {
	Frame
	queuedAt int64 // µs, when it was passed to Send
}

// queue holds the frames queued for one peer: one per slot, in the order in which the slots were added. Frames leave it
// by being posted, replaced by newer ones, dropped at its limits or expired after maxQueueAge.
type queue struct {
	mu       sync.Mutex // no other mutex is locked under it
	order    list.List  // of queuedFrame, oldest slot first
	slots    map[slotKey]*list.Element
	bytes    int
	wake     chan struct{} // holds a token while there may be something to send
	counters *counters
}

func newQueue(t *counters) *queue {
	return &queue{slots: map[slotKey]*list.Element{}, wake: make(chan struct{}, 1), counters: t}
}

func (q *queue) enqueue(f Frame, at int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e, ok := q.slots[slotKey{f.Kind, f.Slot}]; ok {
		old := e.Value.(queuedFrame)
		e.Value = queuedFrame{f, at}
		q.bytes += f.size() - old.size()
		q.counters.replaced.Add(1)
	} else {
		q.slots[slotKey{f.Kind, f.Slot}] = q.order.PushBack(queuedFrame{f, at})
		q.bytes += f.size()
	}
	for q.order.Len() > maxQueueFrames || q.bytes > maxQueueBytes {
		q.remove(q.order.Front())
		q.counters.dropped.Add(1)
	}
	q.signal()
}

// requeue puts unacknowledged frames back at the front, except where a newer one of the slot is queued.
func (q *queue) requeue(frames []queuedFrame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := len(frames) - 1; i >= 0; i-- {
		f := frames[i]
		key := slotKey{f.Kind, f.Slot}
		if q.slots[key] != nil {
			q.counters.replaced.Add(1)
			continue
		}
		if q.order.Len() >= maxQueueFrames || q.bytes+f.size() > maxQueueBytes {
			q.counters.dropped.Add(1)
			continue
		}
		q.slots[key] = q.order.PushFront(f)
		q.bytes += f.size()
	}
	if q.order.Len() > 0 {
		q.signal()
	}
}

// takeBatch removes and returns one batch, and drops expired frames.
func (q *queue) takeBatch(now int64) (batch []queuedFrame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	bytes := 0
	for e := q.order.Front(); e != nil; e = q.order.Front() {
		f := e.Value.(queuedFrame)
		if now-f.queuedAt > maxQueueAge.Microseconds() {
			q.counters.stale.Add(1)
			q.remove(e)
			continue
		}
		if len(batch) > 0 && (len(batch) >= maxBatchFrames || bytes+f.size() > maxBatchBytes) {
			q.signal()
			break
		}
		bytes += f.size()
		batch = append(batch, f)
		q.remove(e)
	}
	return batch
}

func (q *queue) remove(e *list.Element) {
	f := q.order.Remove(e).(queuedFrame)
	delete(q.slots, slotKey{f.Kind, f.Slot})
	q.bytes -= f.size()
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
