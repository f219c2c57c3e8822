package spool

import (
	"io"
	"os"
	"slices"
)

const (
	maxCompactSegments = 2  // segments copied forward by a call that accepts a message, with the backlog enabled: bounds its duration
	minDeadDivisor     = 16 // at least one in this many bytes of the capacity has to be dead, or copying would free nothing
)

// compactLimit returns how many segments a call that accepts a message may copy forward to make space.
func (s *Spool) compactLimit() int {
	if s.backlog == nil {
		return len(s.segments)
	}
	dead := -s.liveBytes
	for _, seg := range s.segments {
		dead += seg.size
	}
	if dead < s.capacity/minDeadDivisor {
		return 0
	}
	return maxCompactSegments
}

// ensureSpaceForUpdate makes space for a record of a message that is already pending. With the backlog enabled, space is reclaimed while
// there is still enough to copy a segment. Any later, the records of many messages that are loaded and end might find no space,
// and neither would a copy.
func (s *Spool) ensureSpaceForUpdate(n int64) error {
	if s.backlog == nil {
		if !s.fits(n, s.capacity) && !s.compact(n, s.capacity) {
			return ErrFull
		}
		return nil
	}
	if needed := n + s.copyReserve(); !s.fits(needed, s.capacity) {
		s.compactSome(needed, s.capacity, s.compactLimit())
	}
	if !s.fitsWithoutIndexes(n) && !s.compactSome(n, s.capacity, len(s.segments)) && !s.fitsWithoutIndexes(n) {
		return ErrFull
	}
	return nil
}

// copyReserve is the space in bytes for the copy of a segment, its index and the dead entries of the old one, plus what is written until
// enough is dead to be reclaimed.
func (s *Spool) copyReserve() int64 {
	return s.segmentLimit()*5/2 + s.capacity/minDeadDivisor + 8*blockSize
}

// newMessageLimit is the part of the capacity that new messages may use.
func (s *Spool) newMessageLimit() int64 {
	reserved := s.capacity / reserveDivisor
	if s.backlog != nil {
		reserved = max(reserved, s.copyReserve())
	}
	return s.capacity - reserved
}

// removeIndex removes the index of a segment before the segment itself, so that no index is left without its segment.
func (s *Spool) removeIndex(seg *segment) bool {
	s.backlog.crashPoint()
	if err := os.Remove(s.indexPath(seg)); err != nil && !os.IsNotExist(err) {
		return false
	}
	s.backlog.crashPoint()
	return true
}

// accountRemoval updates the totals after a segment was removed.
func (s *Spool) accountRemoval(seg *segment) {
	b := s.backlog
	if r := seg.sealed; r != nil {
		b.addUsage(seg, -1)
		if r.image != nil {
			b.unwritten--
		}
	}
	if b.newest != nil {
		b.newest.dead = slices.DeleteFunc(b.newest.dead, func(d deadEntry) bool { return d.segment <= seg.number })
	}
	b.crashPoint()
}

// copyForwardWithIndex copies the pending messages of a segment to the newest one: active messages, then spilled ones.
func (s *Spool) copyForwardWithIndex(old *segment) bool {
	if s.tooManyUnwritten() || !s.fitsWithoutIndexes(old.liveBytes) { // a partial copy would free nothing
		return false
	}
	for _, m := range s.pending {
		if m.segment == old && !s.copyActive(m) {
			return false
		}
	}
	if r := old.sealed; r != nil && r.spilledCount > 0 && !s.copySpilled(old) {
		return false
	}
	return old.pending == 0
}

func (s *Spool) copyActive(m *Message) bool {
	record := m.encode()
	n := int64(len(record))
	if m.loaded {
		record = append(record, newRecord(recLoaded, m.ID).varint(0).varint(0).varint(0).varint(0).finish()...)
	}
	total := int64(len(record))
	if !s.fitsWithoutIndexes(total) || s.appendRecord(record) != nil {
		return false
	}
	s.unplace(m)
	s.placeInNewest(m, s.newestSegment(), s.newestSegment().size-total, n)
	return true
}

// copySpilled iterates over the segment's own entries, and copies the records of the spilled ones unchanged.
func (s *Spool) copySpilled(old *segment) bool {
	if _, err := s.verifyIndex(old); err != nil {
		return false
	}
	index, err := s.openIndex(old)
	if err != nil {
		return false
	}
	defer func() { _ = index.Close() }()
	f, err := os.Open(s.segmentPath(old))
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }()
	page := make([]entry, pageEntries)
	for pos := uint32(0); pos < old.sealed.layout.entries && old.sealed.spilledCount > 0; pos += uint32(len(page)) {
		if page, err = readEntries(index, old.sealed.layout, pos, page); err != nil {
			return false
		}
		for i := range page {
			if e := &page[i]; old.sealed.spilled.has(e.slot) && !s.copySpilledEntry(old, f, e) {
				return false
			}
		}
	}
	return true
}

func (s *Spool) copySpilledEntry(old *segment, f io.ReaderAt, e *entry) bool {
	m, err := readMessageAt(f, e)
	if err != nil {
		s.dropDamaged(old, e, err)
		return true
	}
	record := m.encode()
	n := int64(len(record))
	if len(m.Legs) > 0 {
		record = append(record, newRecord(recSpilled, m.ID).finish()...)
	}
	total := int64(len(record))
	if !s.fitsWithoutIndexes(total) || s.appendRecord(record) != nil {
		return false
	}
	s.dropSpilled(old, e)
	s.placeInNewest(m, s.newestSegment(), s.newestSegment().size-total, n)
	s.markSpilled(m)
	s.backlog.copied++
	return true
}
