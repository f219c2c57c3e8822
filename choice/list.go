package choice

import (
	"container/heap"
	"slices"
)

// What the module keeps of lists, without any decision. A change costs by what changes; only a whole list costs by all that is known.

const (
	keepGone = 60 * second // µs unlisted until a receiver is forgotten: it may come back as ill as it was
)

const fewReceivers = 16 // of a destination: so many are walked rather than counted apart

func (s *Sender) newReceiver(id uint32, d *dst) *receiver {
	r := &receiver{id: id, dst: d, route: &d.route, conduct: idleConduct}
	if d.kind.Apart {
		r.route = newRoute()
	}
	s.recvs[id] = r
	d.known++
	return r
}

// listBegins makes the tables for a first list of so many entries at once; a whole one leaves nothing listed, and it returns what was.
func (s *Sender) listBegins(form ListForm, n int) []*receiver {
	if len(s.recvs) == 0 && len(s.dsts) == 0 && n > 0 {
		s.recvs, s.dsts = make(map[uint32]*receiver, n), make(map[int64]*dst, n)
		s.order = slices.Grow(s.order, n)
	}
	if form == Changes {
		return nil
	}
	return s.unlistAll()
}

func (s *Sender) unlistAll() (were []*receiver) {
	for _, d := range s.order {
		for _, r := range d.recvs {
			r.listedAt = s.now
			if r.dst == d {
				r.place = 0
				were = append(were, r)
			}
		}
		clear(d.recvs)
		d.recvs = d.recvs[:0]
	}
	return were
}

// list puts a receiver last in a destination's list, or takes it from there. Its earlier place stays as a gap until the list ends.
func (s *Sender) list(d *dst, r *receiver, listed bool) {
	if r.dst != d { // it was another's before, and keeps that one's route
		s.listElsewhere(d, r, listed)
		return
	}
	n, counted := s.unwells[d]
	if counted && r.unwell() {
		if r.place > 0 {
			n--
		}
		if listed {
			n++
		}
		s.unwells[d] = n
	}
	if r.place > 0 {
		s.gap(d)
	}
	r.place = 0
	if listed {
		d.recvs = append(d.recvs, r)
		r.place = int32(len(d.recvs))
	} else {
		s.leaves(r)
	}
}

func (s *Sender) listElsewhere(d *dst, r *receiver, listed bool) {
	d.compact()
	d.recvs = slices.DeleteFunc(d.recvs, func(o *receiver) bool { return o == r })
	if listed {
		d.recvs = append(d.recvs, r)
	}
	d.renumber()
	delete(s.unwells, d)
	if r.place == 0 {
		s.leaves(r)
	}
}

func (s *Sender) gap(d *dst) {
	if !d.gaps {
		d.gaps = true
		s.gapped = append(s.gapped, d)
	}
}

// lists tells whether a place is a receiver's latest.
func (d *dst) lists(i int) bool { return d.recvs[i].dst != d || int(d.recvs[i].place) == i+1 }

// compact closes the gaps. Danger: closed at each entry, the receivers of a large destination would cost their square.
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
			r.place = int32(i + 1)
		}
	}
}

// unwell counts the receivers listed at a destination that are not well. The count of a large one is kept until the list ends.
func (s *Sender) unwell(d *dst) (n int) {
	n, counted := s.unwells[d]
	if counted {
		return n
	}
	for i, r := range d.recvs {
		if r.unwell() && d.lists(i) {
			n++
		}
	}
	if len(d.recvs) > fewReceivers {
		if s.unwells == nil {
			s.unwells = map[*dst]int{}
		}
		s.unwells[d] = n
	}
	return n
}

// listEnds closes the gaps of a list that was taken in; were are those listed before a whole one.
func (s *Sender) listEnds(were []*receiver) {
	for _, d := range s.gapped {
		d.compact()
		d.gaps = false
	}
	for _, r := range were {
		if r.place == 0 {
			s.leaves(r)
		}
	}
	s.gapped, s.unwells = nil, nil
}

// leaves has a receiver that is unlisted looked at once keepGone is over.
func (s *Sender) leaves(r *receiver) {
	if !r.leaving {
		r.leaving = true
		heap.Push(&s.gone, unlisted{r, r.listedAt})
	}
}

// mayBeBare has the next sweep look at a destination.
func (s *Sender) mayBeBare(d *dst) {
	if !d.bare {
		d.bare = true
		s.bare = append(s.bare, d)
	}
}

// sweep drops receivers that no list has named for long and that nothing is out to, and then destinations
// left with nothing. It looks only at those unlisted for so long and at destinations without receivers.
func (s *Sender) sweep() {
	s.forgot = nil
	again := s.lingering
	s.lingering = nil
	for len(s.gone) > 0 && s.now-s.gone[0].at > keepGone {
		again = append(again, heap.Pop(&s.gone).(unlisted).r)
	}
	for _, r := range again {
		r.leaving = false
		switch {
		case r.place > 0:
		case s.now-r.listedAt <= keepGone:
			s.leaves(r)
		case r.calls > 0 || r.probing:
			r.leaving = true
			s.lingering = append(s.lingering, r)
		default:
			s.forgetReceiver(r)
		}
	}
	s.sweepBare()
}

func (s *Sender) forgetReceiver(r *receiver) {
	delete(s.recvs, r.id)
	if r.route != &r.dst.route {
		s.forgetCold(r.route)
	}
	s.forgot = append(s.forgot, r.id)
	if r.dst.known--; r.dst.known == 0 {
		s.mayBeBare(r.dst)
	}
}

// sweepBare drops the destinations without anything. The fixed order moves up over their places: a move of memory, no walk.
func (s *Sender) sweepBare() {
	var left []*dst
	var places []int
	for _, d := range s.bare {
		switch {
		case d.known > 0:
			d.bare = false
		case len(d.recvs) > 0 || len(d.held) > 0 || len(d.calls) > 0:
			left = append(left, d)
		default:
			delete(s.dsts, d.id)
			s.forgetCold(&d.route)
			s.wakes.drop(d)
			i, _ := slices.BinarySearchFunc(s.order, d, func(a, b *dst) int { return int(a.number - b.number) })
			places = append(places, i)
		}
	}
	s.bare = left
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
