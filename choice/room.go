package choice

import (
	"cmp"
	"slices"
)

// Load shedding when the queue is full, and the end of messages that cannot go in time.

const (
	queueFullShare = 0.97 // of the queue's limit; beyond, messages that cannot go soon are rejected
)

// giveUp ends messages that cannot go in time: queued, they would fill the queue and expire; rejected, their clients find another sender, or
// this one later. A message that surely never ran, and has no Retry-After that long, is kept for most of its time first: a peer's note of a
// recovery may let it go.
func (s *Sender) giveUp(d *dst) {
	at, waitsUntil := never, never
	for _, r := range d.recvs {
		earliest := max(r.route.waitUntil, r.route.pausedUntil)
		if r.health == closed {
			earliest = max(earliest, r.route.nextProbeAt)
		} else if ready := s.recoveryReadyAt(r); ready < never {
			earliest = max(earliest, ready)
		}
		at, waitsUntil = min(at, earliest), min(waitsUntil, r.route.waitUntil)
	}
	for _, m := range d.endingBefore(at) {
		if m.firstMaybeRun() == nil && max(s.now, waitsUntil) < m.keepUntil {
			s.wakeBy(d, m.keepUntil)
		} else {
			s.endUndelivered(m, at-s.now, NoReceiverInTime)
		}
	}
}

// shedLargest rejects messages before the queue is full, when no new one would get in. It sheds from the destination with the longest queue.
func (s *Sender) shedLargest() {
	if excess := s.excess(); excess > 0 {
		s.shed(slices.MaxFunc(s.order, func(a, b *dst) int { return len(a.queued) - len(b.queued) }), excess)
	}
}

func (s *Sender) excess() int { return len(s.expiry) - int(queueFullShare*float64(s.limits.MaxQueued)) }

// ShedExcess is for callers that accept many messages in one turn; shedLargest would take all of them from one destination.
func (s *Sender) ShedExcess() {
	for _, c := range s.shedCounts(s.excess()) {
		s.shed(c.dst, c.n)
	}
}

// shed rejects the least urgent messages of a destination.
func (s *Sender) shed(d *dst, n int) {
	var out []candidate
	for _, m := range slices.Backward(d.queued) {
		if m.mayReject() {
			out = append(out, candidate{m: m, urgent: s.urgency(m)})
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Compare(a.urgent, b.urgent) })
	for _, c := range out[:min(n, len(out))] {
		s.endUndelivered(c.m, 0, QueueFull)
	}
}

// shedCount is how many messages a destination sheds.
type shedCount struct {
	dst *dst
	n   int
}

// shedCounts distributes the excess: the longest queues come down to one level, as if each excess message had arrived alone.
func (s *Sender) shedCounts(excess int) (cs []shedCount) {
	if excess <= 0 {
		return nil
	}
	ds := slices.Clone(s.order)
	slices.SortStableFunc(ds, func(a, b *dst) int { return len(b.queued) - len(a.queued) })
	n, sum := 0, 0
	for n < len(ds) && sum-n*len(ds[n].queued) < excess {
		sum += len(ds[n].queued)
		n++
	}
	ds = ds[:n]
	slices.SortFunc(ds, func(a, b *dst) int { return int(a.number - b.number) }) // of equal ones the first sheds first
	for _, d := range ds {
		over := min(excess, len(d.queued)-max(0, sum-excess)/n)
		cs = append(cs, shedCount{d, over})
		sum, excess, n = sum-len(d.queued), excess-over, n-1
	}
	return cs
}

// enqueue adds a message to its destination's queue.
func (d *dst) enqueue(m *msg) {
	if d.use(); len(d.queued) == 0 {
		d.slotlessSince = 0
	}
	d.queued = append(d.queued, m)
	d.firstChance = min(d.firstChance, m.lastChance()) // does not change while m is queued: legs are added and ended elsewhere
}

// endingBefore lists the queued messages whose last chance is before a time.
func (d *dst) endingBefore(at int64) (ms []*msg) {
	if at == never || d.firstChance >= at {
		return nil
	}
	d.firstChance = never
	for _, m := range d.queued {
		chance := m.lastChance()
		d.firstChance = min(d.firstChance, chance)
		if chance < at {
			ms = append(ms, m)
		}
	}
	return ms
}
