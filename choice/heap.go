package choice

import "container/heap"

// expiryHeap holds the messages that still owe an answer, the earliest give-up first.
type expiryHeap []*msg

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].giveUp < h[j].giveUp }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push is for container/heap.
func (h *expiryHeap) Push(x any) {
	m := x.(*msg)
	m.at = len(*h)
	*h = append(*h, m)
}

// Pop is for container/heap.
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
