package spool

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

func (s *Spool) path(seg *segment) string {
	return filepath.Join(s.dir, fmt.Sprintf("%012d%s", seg.number, extension))
}

func (s *Spool) startSegment() error {
	seg := &segment{number: s.last + 1}
	f, err := os.OpenFile(s.path(seg), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	if _, err := f.WriteString(magic); err != nil {
		_ = f.Close()
		_ = os.Remove(f.Name())
		return fmt.Errorf("spool: %w", err)
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.last, s.torn = seg.number, false
	seg.size = int64(len(magic))
	s.file = f
	s.order = append(s.order, seg)
	if s.backlog != nil {
		s.backlog.step()
		s.seal()
		s.backlog.newest = newNewest(seg)
	}
	return nil
}

func (s *Spool) now() *segment { return s.order[len(s.order)-1] }

func (s *Spool) used() int64 {
	if s.backlog != nil {
		return s.usedBoth()
	}
	sum := s.foreign
	for _, seg := range s.order {
		sum += seg.blocks()
	}
	return sum
}

// segmentSize is that from which on a further segment is begun.
func (s *Spool) segmentSize() int64 {
	if s.backlog != nil {
		return min(s.room/segments, s.backlog.segment)
	}
	return s.room / segments
}

// fits tells whether so many bytes more stay within a part of the room, a new segment's start counted.
func (s *Spool) fits(n int64, within int64) bool { return s.used()+n+2*block <= within }

// append writes one record to the newest segment, and opens a further one when that is full.
func (s *Spool) append(record []byte) error {
	seg := s.now()
	if seg.size >= s.segmentSize() || s.torn || s.backlog != nil && s.backlog.newest.full(s.backlog.slots) {
		if err := s.startSegment(); err != nil && s.torn { // else the old one takes it too: descriptors may be short for a moment
			return err
		}
		seg = s.now()
	}
	n, err := s.file.Write(record)
	if err == nil {
		seg.size += int64(n)
		if s.backlog != nil {
			s.backlog.step()
		}
		return nil
	}
	if s.file.Truncate(seg.size) == nil {
		_, cut := s.file.Seek(seg.size, 0)
		s.torn = cut != nil
	} else {
		s.torn = true
	}
	return fmt.Errorf("spool: %w", err)
}

// shrink drops the oldest segments while nothing in them is owed, or little that is cheap to copy forward.
func (s *Spool) shrink() {
	for len(s.order) > 1 {
		oldest := s.order[0]
		cheap := s.used() > s.room/2 && oldest.live*deadShare <= oldest.size
		if oldest.owed > 0 && !(cheap && s.forward(oldest)) || !s.remove(oldest) {
			return
		}
	}
}

// compact copies all that is owed forward, oldest first, until a record fits. Each segment is taken up once.
func (s *Spool) compact(n, within int64) bool { return s.compactSome(n, within, s.mayCompact()) }

// compactSome copies the owed messages of at most so many segments.
func (s *Spool) compactSome(n, within int64, most int) bool {
	for range most {
		oldest := s.order[0]
		if s.fits(n, within) || len(s.order) < 2 || !s.forward(oldest) || !s.remove(oldest) {
			break
		}
	}
	return s.fits(n, within)
}

func (s *Spool) remove(oldest *segment) bool {
	if s.backlog != nil && !s.removeIndex(oldest) {
		return false
	}
	if err := os.Remove(s.path(oldest)); err != nil && !os.IsNotExist(err) {
		return false
	}
	s.order = s.order[1:]
	if s.backlog != nil {
		s.gone(oldest)
	}
	return true
}

// forward copies what is owed of a segment to the newest one.
func (s *Spool) forward(old *segment) bool {
	if s.backlog != nil {
		return s.forwardBoth(old)
	}
	for _, m := range s.owed {
		if m.segment != old {
			continue
		}
		record := m.record()
		if !s.fits(int64(len(record)), s.room) || s.append(record) != nil {
			return false
		}
		s.place(m, s.now(), int64(len(record)))
	}
	return old.owed == 0
}

// Take records a message. Without an error it is owed from now on. ErrTwice: one that is owed, or reserved for another, has its id.
// ErrEnding: one has that ended, and its notice is owed. ErrFull: there is no room. ErrFenced: it is older than a fence.
func (s *Spool) Take(m *Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.release(m)
	if err := s.admit(m); err != nil {
		return err
	}
	record := m.record()
	n := int64(len(record))
	if err := s.makeRoom(n); err != nil {
		return err
	}
	if err := s.append(record); err != nil {
		return err
	}
	s.place(m, s.now(), n)
	s.shrink()
	return nil
}

// admit counts a message that is to be taken on.
func (s *Spool) admit(m *Message) error {
	if err := s.identify(m); err != nil {
		return err
	}
	m.unanswered = m.Print != Print{}
	if m.Taken == 0 {
		s.count++
		m.Taken = s.mark()
	} else if s.fenced != nil && s.fenced(m) { // sent again, from before a purge
		return ErrFenced
	}
	return nil
}

// makeRoom sees to it that a message fits which is not owed yet, without what is kept for those that are.
func (s *Spool) makeRoom(n int64) error {
	within := s.within()
	if !s.fits(n, within) && (s.live+n > within || !s.compact(n, within)) || s.crowded() {
		return ErrFull
	}
	return nil
}

// note records something of a message owed.
func (s *Spool) note(m *Message, record []byte, change func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.noteHeld(m, record, change)
}

// noteHeld is note with the lock held.
func (s *Spool) noteHeld(m *Message, record []byte, change func()) error {
	if s.owed[m.ID] != m {
		return ErrOver
	}
	if err := s.noteRoom(int64(len(record))); err != nil {
		return err
	}
	if err := s.append(record); err != nil {
		return err
	}
	change()
	return nil
}

// Leg records a leg before its first byte goes out, or one that surely never ran.
func (s *Spool) Leg(m *Message, l Leg) error {
	return s.note(m, begin(recLeg, m.ID).leg(l).seal(), func() { m.addLeg(l) })
}

// NeverRan records that the latest leg surely never ran.
func (s *Spool) NeverRan(m *Message) error {
	return s.note(m, begin(recUnrun, m.ID).seal(), m.unrun)
}

// Legs are those on record by now.
func (s *Spool) Legs(m *Message) []Leg {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(m.Legs)
}

// End records that a message ended undelivered: no leg goes out for it any more, its notice is owed. With an error its end is told all the
// same, and its id is free once that is known.
func (s *Spool) End(m *Message, pushedBack bool, advice int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.noteHeld(m, begin(recEnded, m.ID).number(flag(pushedBack)).number(advice).seal(), func() {
		m.Ended, m.PushedBack, m.Advice = true, pushedBack, advice
	})
	m.ending = err != nil
	return err
}

// Over records that nothing is owed for a message any more, also for one that was given to Spill. With an error the record still says that it
// is owed, but its id is free.
func (s *Spool) Over(m *Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.over(m)
	if err != nil {
		m.settled = true
	}
	return err
}

func (s *Spool) over(m *Message) error {
	if s.backlog != nil && s.owed[m.ID] != m {
		return s.withdraw(m)
	}
	return s.recordOver(m)
}

func (s *Spool) recordOver(m *Message) error {
	return s.noteHeld(m, begin(recOver, m.ID).seal(), func() {
		s.drop(m)
		s.shrink()
	})
}

// Close closes the file written to.
func (s *Spool) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.file.Close(); err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	return nil
}
