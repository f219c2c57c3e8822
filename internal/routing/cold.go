package routing

import "ravenlink/choice"

// coldChanged wakes who waits for ColdChanged. It runs at the end of each turn.
func (r *Router) coldChanged() {
	if n := r.sender.ColdChanges(); n != r.coldSeen {
		r.coldSeen = n
		select {
		case r.cold <- struct{}{}:
		default:
		}
	}
}

// ColdChanged has a value once the destinations that may be cold have changed since it was last read.
func (r *Router) ColdChanged() <-chan struct{} { return r.cold }

// ColdDst is a destination that may be cold, and how far it has come in its slow start.
type ColdDst = choice.ColdDst

// Cold lists the destinations that may be cold, in their order.
func (r *Router) Cold() []ColdDst {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sender.At(r.clock())
	return r.sender.Cold()
}

// ColdBefore takes what an earlier process of this sender left as Cold. It comes before the first list.
func (r *Router) ColdBefore(cold []ColdDst) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sender.ColdBefore(cold)
}
