package spool

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

func (s *Spool) segmentPath(seg *segment) string {
	return filepath.Join(s.dir, fmt.Sprintf("%012d%s", seg.number, segmentExtension))
}

func (s *Spool) startSegment() error {
	seg := &segment{number: s.lastNumber + 1}
	f, err := os.OpenFile(s.segmentPath(seg), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	if _, err := f.WriteString(segmentMagic); err != nil {
		_ = f.Close()
		_ = os.Remove(f.Name())
		return fmt.Errorf("spool: %w", err)
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.lastNumber, s.tornTail = seg.number, false
	seg.size = int64(len(segmentMagic))
	s.file = f
	s.segments = append(s.segments, seg)
	if s.backlog != nil {
		s.backlog.crashPoint()
		s.seal()
		s.backlog.newest = newNewestState(seg)
	}
	return nil
}

func (s *Spool) newestSegment() *segment { return s.segments[len(s.segments)-1] }

func (s *Spool) usedBytes() int64 {
	if s.backlog != nil {
		return s.usedWithIndexes()
	}
	sum := s.foreignBytes
	for _, seg := range s.segments {
		sum += seg.diskSize()
	}
	return sum
}

// segmentLimit is the size at which a new segment is started.
func (s *Spool) segmentLimit() int64 {
	if s.backlog != nil {
		return min(s.capacity/segmentDivisor, s.backlog.maxSegment)
	}
	return s.capacity / segmentDivisor
}

// fits reports whether n more bytes stay within a limit, including the header of a new segment.
func (s *Spool) fits(n int64, limit int64) bool { return s.usedBytes()+n+2*blockSize <= limit }

// appendRecord writes one record to the newest segment, and starts a new segment when that is full.
func (s *Spool) appendRecord(record []byte) error {
	seg := s.newestSegment()
	if seg.size >= s.segmentLimit() || s.tornTail || s.backlog != nil && s.backlog.newest.isFull(s.backlog.maxSlots) {
		// Otherwise the old segment takes the record: file descriptors may be exhausted for a moment.
		if err := s.startSegment(); err != nil && s.tornTail {
			return err
		}
		seg = s.newestSegment()
	}
	n, err := s.file.Write(record)
	if err == nil {
		seg.size += int64(n)
		if s.backlog != nil {
			s.backlog.crashPoint()
		}
		return nil
	}
	if s.file.Truncate(seg.size) == nil {
		_, seekErr := s.file.Seek(seg.size, 0)
		s.tornTail = seekErr != nil
	} else {
		s.tornTail = true
	}
	return fmt.Errorf("spool: %w", err)
}

// reclaim removes the oldest segments while nothing in them is pending, or so little that copying it forward is cheap.
func (s *Spool) reclaim() {
	for len(s.segments) > 1 {
		oldest := s.segments[0]
		cheap := s.usedBytes() > s.capacity/2 && oldest.liveBytes*copyLiveDivisor <= oldest.size
		if oldest.pending > 0 && !(cheap && s.copyForward(oldest)) || !s.removeOldest(oldest) {
			return
		}
	}
}

// compact copies pending messages forward, oldest segment first, until a record fits. Each segment is copied at most once.
func (s *Spool) compact(n, limit int64) bool { return s.compactSome(n, limit, s.compactLimit()) }

// compactSome copies the pending messages of at most maxSegments segments.
func (s *Spool) compactSome(n, limit int64, maxSegments int) bool {
	for range maxSegments {
		oldest := s.segments[0]
		if s.fits(n, limit) || len(s.segments) < 2 || !s.copyForward(oldest) || !s.removeOldest(oldest) {
			break
		}
	}
	return s.fits(n, limit)
}

func (s *Spool) removeOldest(oldest *segment) bool {
	if s.backlog != nil && !s.removeIndex(oldest) {
		return false
	}
	if err := os.Remove(s.segmentPath(oldest)); err != nil && !os.IsNotExist(err) {
		return false
	}
	s.segments = s.segments[1:]
	if s.backlog != nil {
		s.accountRemoval(oldest)
	}
	return true
}

// copyForward copies the pending messages of a segment to the newest one.
func (s *Spool) copyForward(old *segment) bool {
	if s.backlog != nil {
		return s.copyForwardWithIndex(old)
	}
	for _, m := range s.pending {
		if m.segment != old {
			continue
		}
		record := m.encode()
		if !s.fits(int64(len(record)), s.capacity) || s.appendRecord(record) != nil {
			return false
		}
		s.place(m, s.newestSegment(), int64(len(record)))
	}
	return old.pending == 0
}

// Accept records a message. If it returns nil, the message is pending.
func (s *Spool) Accept(m *Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admit(m); err != nil {
		return err
	}
	record := m.encode()
	n := int64(len(record))
	if err := s.ensureSpaceForNew(n); err != nil {
		return err
	}
	if err := s.appendRecord(record); err != nil {
		return err
	}
	s.place(m, s.newestSegment(), n)
	s.reclaim()
	return nil
}

// admit rejects duplicate and fenced messages and numbers new ones.
func (s *Spool) admit(m *Message) error {
	if s.backlog != nil {
		if _, _, duplicate, err := s.findSpilled(m.ID); duplicate {
			return ErrDuplicate
		} else if err != nil { // it may be a duplicate
			return err
		}
	}
	if m.AcceptSeq == 0 {
		s.acceptCount++
		m.AcceptSeq = s.lastSeq()
	} else if s.fence != nil && s.fence(m) { // sent again, from before a purge
		return ErrFenced
	}
	return nil
}

// ensureSpaceForNew makes space for a new message and leaves the reserve for messages already accepted untouched.
func (s *Spool) ensureSpaceForNew(n int64) error {
	limit := s.newMessageLimit()
	if !s.fits(n, limit) && (s.liveBytes+n > limit || !s.compact(n, limit)) || s.tooManyUnwritten() {
		return ErrFull
	}
	return nil
}

// update records a change of a pending message.
func (s *Spool) update(m *Message, record []byte, change func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updateLocked(m, record, change)
}

// updateLocked is update with the lock held.
func (s *Spool) updateLocked(m *Message, record []byte, change func()) error {
	if s.pending[m.ID] != m {
		return ErrNotPending
	}
	if err := s.ensureSpaceForUpdate(int64(len(record))); err != nil {
		return err
	}
	if err := s.appendRecord(record); err != nil {
		return err
	}
	change()
	return nil
}

// AddLeg records a leg before its first byte is sent, or a leg that certainly never ran.
func (s *Spool) AddLeg(m *Message, l Leg) error {
	return s.update(m, newRecord(recLeg, m.ID).leg(l).finish(), func() { m.addLeg(l) })
}

// MarkNeverRan records that the latest leg certainly never ran.
func (s *Spool) MarkNeverRan(m *Message) error {
	return s.update(m, newRecord(recNeverRan, m.ID).finish(), m.markNeverRan)
}

// Legs returns the legs recorded so far.
func (s *Spool) Legs(m *Message) []Leg {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(m.Legs)
}

// MarkUndelivered records that a message ended undelivered: no further leg starts, and its notice is pending.
func (s *Spool) MarkUndelivered(m *Message, rejected bool, retryAfter int64) error {
	return s.update(m, newRecord(recUndelivered, m.ID).varint(boolToInt(rejected)).varint(retryAfter).finish(), func() {
		m.Ended, m.Rejected, m.RetryAfter = true, rejected, retryAfter
	})
}

// Complete records that nothing of a message is pending any more. It also accepts a message that was passed to Spill.
func (s *Spool) Complete(m *Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog != nil && s.pending[m.ID] != m {
		return s.completeReleased(m)
	}
	return s.completeLocked(m)
}

func (s *Spool) completeLocked(m *Message) error {
	return s.updateLocked(m, newRecord(recCompleted, m.ID).finish(), func() {
		s.dropPending(m)
		s.reclaim()
	})
}

// Close closes the newest segment.
func (s *Spool) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.file.Close(); err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	return nil
}
