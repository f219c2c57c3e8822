package routing

import "ravenlink/choice"

// signalColdChange signals ColdChanged. It runs at the end of each turn.
func (r *Router) signalColdChange() {
	if n := r.sender.ColdChanges(); n != r.coldSeen {
		r.coldSeen = n
		select {
		case r.cold <- struct{}{}:
		default:
		}
	}
}

// ColdChanged receives a value once the destinations that may be cold have changed since it was last read.
func (r *Router) ColdChanged() <-chan struct{} { return r.cold }

// ColdDst is a destination that may be cold, and the progress of its slow start.
type ColdDst = choice.ColdDst

// Cold lists the destinations that may be cold, in order.
func (r *Router) Cold() []ColdDst {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sender.SetTime(r.clock())
	return r.sender.Cold()
}

// RestoreCold restores what Cold returned in an earlier process of this sender. It must be called before the first list.
func (r *Router) RestoreCold(cold []ColdDst) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sender.RestoreCold(cold)
}
