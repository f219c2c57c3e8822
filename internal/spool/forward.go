package spool

import (
	"io"
	"os"
	"slices"
)

const (
	mostCompact = 2  // segments that a call which takes one on copies forward, with the backlog on: what it may take is bounded by that
	leastDead   = 16 // one in so many bytes of the room is to be dead, or copying would win nothing back
)

// mayCompact is how many segments a call that takes a message on may copy forward to make room.
func (s *Spool) mayCompact() int {
	if s.backlog == nil {
		return len(s.order)
	}
	dead := -s.live
	for _, seg := range s.order {
		dead += seg.size
	}
	if dead < s.room/leastDead {
		return 0
	}
	return mostCompact
}

// noteRoom sees to it that a record of a message fits that is owed already. With the backlog on, room is won back while there is enough
// left to copy a segment. Danger: later, the notes of many messages that are loaded and end could find no room, nor could any copy.
func (s *Spool) noteRoom(n int64) error {
	if s.backlog == nil {
		if !s.fits(n, s.room) && !s.compact(n, s.room) {
			return ErrFull
		}
		return nil
	}
	if spare := n + s.spare(); !s.fits(spare, s.room) {
		s.compactSome(spare, s.room, s.mayCompact())
	}
	if !s.fitsBare(n) && !s.compactSome(n, s.room, len(s.order)) && !s.fitsBare(n) {
		return ErrFull
	}
	return nil
}

// spare is what has to be free for a copy of a segment, its index and what tells that the old ones are dead, in bytes, and for what is
// written until enough is dead to be won back.
func (s *Spool) spare() int64 { return s.segmentSize()*5/2 + s.room/leastDead + 8*block }

// within is the part of the room that messages may take which are not owed yet.
func (s *Spool) within() int64 {
	kept := s.room / reserve
	if s.backlog != nil {
		kept = max(kept, s.spare())
	}
	return s.room - kept
}

// removeIndex removes the index of a segment that is to go: first, so that none is left without its segment.
func (s *Spool) removeIndex(seg *segment) bool {
	s.backlog.step()
	if err := os.Remove(s.indexPath(seg)); err != nil && !os.IsNotExist(err) {
		return false
	}
	s.backlog.step()
	return true
}

// gone counts a segment out that was removed.
func (s *Spool) gone(seg *segment) {
	b := s.backlog
	if r := seg.sealed; r != nil {
		b.weigh(seg, -1)
		if r.image != nil {
			b.waiting--
		}
	}
	if b.newest != nil {
		b.newest.dead = slices.DeleteFunc(b.newest.dead, func(d dead) bool { return d.segment <= seg.number })
	}
	b.step()
}

// forwardBoth copies what is owed of a segment to the newest one: what is working, then what is spilled.
func (s *Spool) forwardBoth(old *segment) bool {
	if s.crowded() || !s.fitsBare(old.live) { // half a copy would win nothing back
		return false
	}
	for _, m := range s.owed {
		if m.segment == old && !s.forwardWorking(m) {
			return false
		}
	}
	if r := old.sealed; r != nil && r.left > 0 && !s.forwardSpilled(old) {
		return false
	}
	return old.owed == 0
}

func (s *Spool) forwardWorking(m *Message) bool {
	record := m.record()
	n := int64(len(record))
	if m.drawn {
		record = append(record, begin(recDrawn, m.ID).number(0).number(0).number(0).number(0).seal()...)
	}
	all := int64(len(record))
	if !s.fitsBare(all) || s.append(record) != nil {
		return false
	}
	s.lift(m)
	s.stand(m, s.now(), s.now().size-all, n)
	return true
}

// forwardSpilled walks the segment's own entries, and copies the records of those spilled as they are.
func (s *Spool) forwardSpilled(old *segment) bool {
	if _, err := s.check(old); err != nil {
		return false
	}
	index, err := s.index(old)
	if err != nil {
		return false
	}
	defer func() { _ = index.Close() }()
	f, err := os.Open(s.path(old))
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }()
	page := make([]entry, pageEntries)
	for pos := uint32(0); pos < old.sealed.shape.entries && old.sealed.left > 0; pos += uint32(len(page)) {
		if page, err = readEntries(index, old.sealed.shape, pos, page); err != nil {
			return false
		}
		for i := range page {
			if e := &page[i]; old.sealed.spilled.has(e.slot) && !s.moveSpilled(old, f, e) {
				return false
			}
		}
	}
	return true
}

func (s *Spool) moveSpilled(old *segment, f io.ReaderAt, e *entry) bool {
	m, err := readMessageAt(f, e)
	if err != nil {
		s.lose(old, e, err)
		return true
	}
	record := m.record()
	n := int64(len(record))
	if len(m.Legs) > 0 {
		record = append(record, begin(recRested, m.ID).seal()...)
	}
	all := int64(len(record))
	if !s.fitsBare(all) || s.append(record) != nil {
		return false
	}
	s.overSpilled(old, e)
	s.stand(m, s.now(), s.now().size-all, n)
	s.rest(m)
	s.backlog.moved++
	return true
}
