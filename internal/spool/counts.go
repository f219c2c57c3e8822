package spool

import (
	"cmp"
	"slices"
)

// line is what is spilled for one destination.
type line struct {
	left int
	runs []run // by segment, the oldest first; the newest segment has none
}

// run is where spilled messages of one destination stand in a sealed segment, one beside the other in its index.
type run struct {
	seg   *segment
	taken int64  // of the entry at next
	next  uint32 // position; none of the run in front of it is spilled
	left  uint32
}

func (b *backlog) line(dst int64) *line {
	l := b.lines[dst]
	if l == nil {
		l = &line{}
		b.lines[dst] = l
	}
	return l
}

// prune forgets a destination of which nothing is spilled.
func (b *backlog) prune(dst int64, l *line) {
	if l.left == 0 && !b.opening {
		delete(b.lines, dst)
	}
}

// of finds a segment's run.
func (l *line) of(seg *segment) (i int, found bool) {
	return slices.BinarySearchFunc(l.runs, seg.number, func(r run, number int64) int { return cmp.Compare(r.seg.number, number) })
}

func (l *line) add(r run) {
	i, _ := l.of(r.seg)
	l.runs = slices.Insert(l.runs, i, r)
}

// count takes a spilled message into the counts by destination and key, or out of them.
func (b *backlog) count(e *entry, by int) {
	b.all += by
	l := b.line(e.dst)
	l.left += by
	b.prune(e.dst, l)
	if e.key != 0 && !b.unkeyed {
		b.countKey(e.key, e.dst, int32(by))
	}
}

// Unkeyed has order keys not be counted any more: SpilledKey says no, and Spill gives no ErrKeys. For where nothing keeps an order.
func (s *Spool) Unkeyed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog != nil {
		s.backlog.unkeyed, s.backlog.keys = true, nil
	}
}

// spilledKey is what is known of an order key.
type spilledKey struct {
	dst     int64 // of the first one spilled
	count   int32
	several bool // at another destination too, at some time
}

func (b *backlog) countKey(key uint64, dst int64, by int32) {
	k, known := b.keys[key]
	if !known {
		k.dst = dst
	}
	k.count += by
	k.several = k.several || k.dst != dst
	if k.count == 0 {
		delete(b.keys, key)
		return
	}
	b.keys[key] = k
}

// isSpilled tells whether a slot is spilled, in the newest segment or a sealed one.
func (b *backlog) isSpilled(seg *segment, slot uint32) bool {
	if seg.sealed != nil {
		return seg.sealed.spilled.has(slot)
	}
	return b.newest != nil && b.newest.seg == seg && int(slot) < len(b.newest.entries) && b.newest.entries[slot].spilled
}

// unspill has a slot spilled no more. It stays owed.
func (b *backlog) unspill(seg *segment, e *entry) {
	if r := seg.sealed; r == nil {
		b.newest.unspill(e.slot)
	} else {
		r.spilled.clear(e.slot)
		if r.left--; r.left == 0 && !b.opening {
			r.filter, r.due = nil, never
		}
		b.shorten(seg, e.dst)
	}
	b.count(e, -1)
}

// shorten takes one off a run.
func (b *backlog) shorten(seg *segment, dst int64) {
	l := b.line(dst)
	i, found := l.of(seg)
	if !found {
		return
	}
	if l.runs[i].left--; l.runs[i].left == 0 && !b.opening {
		l.runs = slices.Delete(l.runs, i, i+1)
	}
}

// die has a slot owed no more, or not here. The newest segment's index will tell so of a slot of an older one.
func (b *backlog) die(seg *segment, e *entry) {
	if b.newest.seg == seg {
		b.newest.die(e.slot)
		return
	}
	b.newest.dead = append(b.newest.dead, dead{seg.number, *e})
}

// overSpilled has a spilled slot be owed no more, or not here.
func (s *Spool) overSpilled(seg *segment, e *entry) {
	s.backlog.unspill(seg, e)
	s.discard(seg, e)
	s.backlog.die(seg, e)
}
