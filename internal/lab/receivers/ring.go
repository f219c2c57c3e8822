package receivers

// ring is a FIFO queue of calls in a ring buffer that grows as needed.
type ring struct {
	calls []*Call
	head  int
	n     int
}

func (q *ring) len() int { return q.n }

func (q *ring) push(c *Call) {
	if q.n == len(q.calls) {
		grown := make([]*Call, max(4, 2*len(q.calls)))
		for i := range q.n {
			grown[i] = q.calls[(q.head+i)%len(q.calls)]
		}
		q.calls, q.head = grown, 0
	}
	q.calls[(q.head+q.n)%len(q.calls)] = c
	q.n++
}

func (q *ring) pop() *Call {
	c := q.calls[q.head]
	q.calls[q.head] = nil
	q.head = (q.head + 1) % len(q.calls)
	q.n--
	return c
}

// drop removes a call from any position.
func (q *ring) drop(c *Call) {
	for i := range q.n {
		if q.calls[(q.head+i)%len(q.calls)] != c {
			continue
		}
		for j := i; j < q.n-1; j++ {
			q.calls[(q.head+j)%len(q.calls)] = q.calls[(q.head+j+1)%len(q.calls)]
		}
		q.n--
		q.calls[(q.head+q.n)%len(q.calls)] = nil
		return
	}
}
