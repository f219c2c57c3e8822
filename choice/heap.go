package choice

import "container/heap"

// expiryHeap holds the messages that have no final answer yet, ordered by giveUp.
type expiryHeap []*msg

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].giveUp < h[j].giveUp }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	m := x.(*msg)
	m.at = len(*h)
	*h = append(*h, m)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	m := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	m.at = -1
	return m
}

func (h *expiryHeap) place(m *msg) {
	switch {
	case m.giveUp == never && m.at >= 0:
		heap.Remove(h, m.at)
	case m.giveUp == never:
	case m.at < 0:
		heap.Push(h, m)
	default:
		heap.Fix(h, m.at)
	}
}

// wakeHeap holds the destinations to be processed later, ordered by wakeAt.
type wakeHeap []*dst

func (h wakeHeap) Len() int           { return len(h) }
func (h wakeHeap) Less(i, j int) bool { return h[i].wakeAt < h[j].wakeAt }
func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = int32(i), int32(j)
}

// Push implements heap.Interface.
func (h *wakeHeap) Push(x any) {
	d := x.(*dst)
	d.at = int32(len(*h))
	*h = append(*h, d)
}

// Pop implements heap.Interface.
func (h *wakeHeap) Pop() any {
	d := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	d.at = -1
	return d
}

func (h *wakeHeap) place(d *dst) {
	if d.at < 0 {
		heap.Push(h, d)
		return
	}
	heap.Fix(h, int(d.at))
}

func (h *wakeHeap) drop(d *dst) {
	if d.at >= 0 {
		heap.Remove(h, int(d.at))
	}
}

// unlisted is a receiver that no list names, and when one last did as known at the time of queueing.
type unlisted struct {
	r  *receiver
	at int64
}

// unlistedHeap holds unlisted receivers, the earliest first.
type unlistedHeap []unlisted

func (h unlistedHeap) Len() int           { return len(h) }
func (h unlistedHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h unlistedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *unlistedHeap) Push(x any) { *h = append(*h, x.(unlisted)) }

// Pop implements heap.Interface.
func (h *unlistedHeap) Pop() any {
	last := len(*h) - 1
	u := (*h)[last]
	(*h)[last] = unlisted{}
	*h = (*h)[:last]
	return u
}
