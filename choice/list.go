package choice

import (
	"container/heap"
	"slices"
)

// Bookkeeping of receiver lists. Nothing here decides. A delta costs in proportion to its entries; only a snapshot costs in proportion to all
// receivers.

const (
	keepGone = 60 * second // µs unlisted until a receiver is forgotten: it may come back as unhealthy as it was
)

const fewReceivers = 16 // receivers of a destination up to which they are scanned rather than counted separately

func (s *Sender) newReceiver(id uint32, d *dst) *receiver {
	r := &receiver{id: id, dst: d, route: &d.route, receiverState: unusedReceiver}
	if d.kind.PerReceiver {
		r.route = newRoute()
	}
	s.recvs[id] = r
	d.knownRecvs++
	return r
}

// listBegins allocates the maps for a first list of n entries; a snapshot unlists everything, and it returns the receivers listed before.
func (s *Sender) listBegins(form ListKind, n int) []*receiver {
	if len(s.recvs) == 0 && len(s.dsts) == 0 && n > 0 {
		s.recvs, s.dsts = make(map[uint32]*receiver, n), make(map[int64]*dst, n)
		s.order = slices.Grow(s.order, n)
	}
	if form == Delta {
		return nil
	}
	return s.unlistAll()
}

func (s *Sender) unlistAll() (before []*receiver) {
	for _, d := range s.order {
		for _, r := range d.recvs {
			r.listedAt = s.now
			if r.dst == d {
				r.listIndex = 0
				before = append(before, r)
			}
		}
		clear(d.recvs)
		d.recvs = d.recvs[:0]
	}
	return before
}

// list appends a receiver to a destination's list or removes it. Its earlier entry stays as a gap until the list ends.
func (s *Sender) list(d *dst, r *receiver, listed bool) {
	if r.dst != d { // first listed for another destination, whose route it keeps
		s.listElsewhere(d, r, listed)
		return
	}
	n, counted := s.unhealthyCounts[d]
	if counted && r.unhealthy() {
		if r.listIndex > 0 {
			n--
		}
		if listed {
			n++
		}
		s.unhealthyCounts[d] = n
	}
	if r.listIndex > 0 {
		s.markGap(d)
	}
	r.listIndex = 0
	if listed {
		d.recvs = append(d.recvs, r)
		r.listIndex = int32(len(d.recvs))
	} else {
		s.scheduleSweep(r)
	}
}

func (s *Sender) listElsewhere(d *dst, r *receiver, listed bool) {
	d.compact()
	d.recvs = slices.DeleteFunc(d.recvs, func(o *receiver) bool { return o == r })
	if listed {
		d.recvs = append(d.recvs, r)
	}
	d.renumber()
	delete(s.unhealthyCounts, d)
	if r.listIndex == 0 {
		s.scheduleSweep(r)
	}
}

func (s *Sender) markGap(d *dst) {
	if !d.gaps {
		d.gaps = true
		s.gapped = append(s.gapped, d)
	}
}

// lists tells whether an entry is its receiver's latest.
func (d *dst) lists(i int) bool { return d.recvs[i].dst != d || int(d.recvs[i].listIndex) == i+1 }

// compact closes the gaps. Doing so at each entry would cost quadratic time in the receivers of a large destination.
func (d *dst) compact() {
	n := 0
	for i, r := range d.recvs {
		if d.lists(i) {
			d.recvs[n] = r
			n++
		}
	}
	clear(d.recvs[n:])
	d.recvs = d.recvs[:n]
	d.renumber()
}

func (d *dst) renumber() {
	for i, r := range d.recvs {
		if r.dst == d {
			r.listIndex = int32(i + 1)
		}
	}
}

// unhealthy counts the unhealthy listed receivers of a destination. The count of a large one is cached until the list ends.
func (s *Sender) unhealthy(d *dst) (n int) {
	n, counted := s.unhealthyCounts[d]
	if counted {
		return n
	}
	for i, r := range d.recvs {
		if r.unhealthy() && d.lists(i) {
			n++
		}
	}
	if len(d.recvs) > fewReceivers {
		if s.unhealthyCounts == nil {
			s.unhealthyCounts = map[*dst]int{}
		}
		s.unhealthyCounts[d] = n
	}
	return n
}

// listEnds closes the gaps of an applied list; before are the receivers listed before a snapshot.
func (s *Sender) listEnds(before []*receiver) {
	for _, d := range s.gapped {
		d.compact()
		d.gaps = false
	}
	for _, r := range before {
		if r.listIndex == 0 {
			s.scheduleSweep(r)
		}
	}
	s.gapped, s.unhealthyCounts = nil, nil
}

// scheduleSweep has an unlisted receiver checked once keepGone is over.
func (s *Sender) scheduleSweep(r *receiver) {
	if !r.sweepScheduled {
		r.sweepScheduled = true
		heap.Push(&s.unlistedRecvs, unlisted{r, r.listedAt})
	}
}

// markMaybeEmpty has the next sweep check a destination.
func (s *Sender) markMaybeEmpty(d *dst) {
	if !d.maybeEmpty {
		d.maybeEmpty = true
		s.maybeEmpty = append(s.maybeEmpty, d)
	}
}

// sweep removes receivers that are unlisted for keepGone and have nothing in flight, then destinations that have nothing left. It checks only
// those unlisted for that long and destinations without receivers.
func (s *Sender) sweep() {
	s.forgotten = nil
	again := s.lingering
	s.lingering = nil
	for len(s.unlistedRecvs) > 0 && s.now-s.unlistedRecvs[0].at > keepGone {
		again = append(again, heap.Pop(&s.unlistedRecvs).(unlisted).r)
	}
	for _, r := range again {
		r.sweepScheduled = false
		switch {
		case r.listIndex > 0:
		case s.now-r.listedAt <= keepGone:
			s.scheduleSweep(r)
		case r.calls > 0 || r.probing:
			r.sweepScheduled = true
			s.lingering = append(s.lingering, r)
		default:
			s.forgetReceiver(r)
		}
	}
	s.sweepEmpty()
}

func (s *Sender) forgetReceiver(r *receiver) {
	delete(s.recvs, r.id)
	if r.route != &r.dst.route {
		s.forgetCold(r.route)
	}
	s.forgotten = append(s.forgotten, r.id)
	if r.dst.knownRecvs--; r.dst.knownRecvs == 0 {
		s.markMaybeEmpty(r.dst)
	}
}

// sweepEmpty removes destinations without receivers, messages and calls. The order closes up by moving memory, without a scan.
func (s *Sender) sweepEmpty() {
	var left []*dst
	var places []int
	for _, d := range s.maybeEmpty {
		switch {
		case d.knownRecvs > 0:
			d.maybeEmpty = false
		case len(d.recvs) > 0 || len(d.queued) > 0 || len(d.calls) > 0:
			left = append(left, d)
		default:
			delete(s.dsts, d.id)
			s.forgetCold(&d.route)
			s.wakes.drop(d)
			i, _ := slices.BinarySearchFunc(s.order, d, func(a, b *dst) int { return int(a.number - b.number) })
			places = append(places, i)
		}
	}
	s.maybeEmpty = left
	slices.Sort(places)
	for n, i := range places {
		next := len(s.order)
		if n+1 < len(places) {
			next = places[n+1]
		}
		copy(s.order[i-n:], s.order[i+1:next])
	}
	clear(s.order[len(s.order)-len(places):])
	s.order = s.order[:len(s.order)-len(places)]
}
