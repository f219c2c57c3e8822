package spool

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// The faults of a purge, told apart by callers.
var (
	ErrFenced  = errors.New("spool: the message is older than a purge of its tenant")
	ErrOwed    = errors.New("spool: messages to be erased are not over yet")
	ErrStrange = errors.New("spool: files that cannot be read may hold data to be erased")
)

const countBits = 32 // of marks, for messages of one process; above them stands the highest segment's number, which outlasts it

// Purged is what a purge did.
type Purged struct {
	Segments int   // removed
	Read     int64 // bytes
	Copied   int64 // bytes, of what stays
}

// mark is above that of all messages taken so far, and not above that of the next. The newest segment always stays, so the highest
// number is there after each restart, and a process that starts takes a higher one.
func (s *Spool) mark() int64 { return s.last<<countBits | s.count }

// Fence has messages refused from now on that are older than a purge, and gives the mark of the latest one taken.
func (s *Spool) Fence(old func(*Message) bool) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fenced = old
	return s.mark()
}

// Owing lists messages that match and are under way, spilled ones too, and counts those that ended and whose notice is owed.
// Spilled ones are read from the files.
func (s *Spool) Owing(match func(*Message) bool) (open []string, ended int) {
	open, ended, _ = s.owing(match) // what cannot be read has a purge fail
	return open, ended
}

func (s *Spool) owing(match func(*Message) bool) (open []string, ended int, err error) {
	if s.backlog == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		open, ended = s.working(match)
	} else {
		err = s.spilledIDs(match, func(ids []string) {
			open, ended = s.working(match)
			open = append(open, ids...)
		})
	}
	slices.Sort(open)
	return open, ended, err
}

// working is owing of what is not spilled.
func (s *Spool) working(match func(*Message) bool) (open []string, ended int) {
	for _, m := range s.owed {
		switch {
		case !match(m):
		case m.Ended:
			ended++
		default:
			open = append(open, m.ID)
		}
	}
	return open, ended
}

// Purge has no byte of messages that match left in the folder, of those long over too. None may be under way: they end first, by the usual
// path. Of those that ended and whose notice is owed the body and keys go. All segments up to the newest that holds any go, oldest
// first, what is owed of them copied forward: at each point a restart owes what it owed. After an error it can be repeated.
func (s *Spool) Purge(match func(*Message) bool) (p Purged, err error) {
	if err := s.strip(match); err != nil {
		return p, err
	}
	last, read, err := s.newestWith(match)
	p.Read = read
	if err != nil || last == 0 {
		return p, err
	}
	for {
		more, copied, err := s.removeUpTo(last)
		p.Copied += copied
		if err != nil {
			return p, err
		}
		if !more {
			return p, syncDir(s.dir)
		}
		p.Segments++
	}
}

// strip marks those that ended; their next record has neither body nor keys.
func (s *Spool) strip(match func(*Message) bool) error {
	if s.backlog != nil {
		if err := s.spilledNone(match); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.strange) > 0 {
		return fmt.Errorf("%w: %s", ErrStrange, strings.Join(s.strange, ", "))
	}
	open := 0
	for _, m := range s.owed {
		if match(m) && !m.Ended {
			open++
		}
	}
	if open > 0 {
		return fmt.Errorf("%w: %d", ErrOwed, open)
	}
	for _, m := range s.owed {
		if match(m) {
			m.Bare = true
		}
	}
	return nil
}

// spilledNone makes sure that nothing that matches is spilled. Danger: by its record it would be erased while it is owed.
func (s *Spool) spilledNone(match func(*Message) bool) error {
	open, _, err := s.owing(match)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStrange, err)
	}
	if len(open) > 0 {
		return fmt.Errorf("%w: %d", ErrOwed, len(open))
	}
	return nil
}

// Stripped tells whether a message's body was erased.
func (s *Spool) Stripped(m *Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.Bare
}

// newestWith finds the newest segment with a record of a message that matches; 0 for none. It reads without the lock: segments but the
// newest do not change, and nothing that matches is written any more.
func (s *Spool) newestWith(match func(*Message) bool) (last, read int64, err error) {
	s.mu.Lock()
	segs := make([]*segment, len(s.order))
	copy(segs, s.order)
	s.mu.Unlock()
	found := map[string]bool{}
	for i, seg := range segs {
		n, dirty, err := s.scan(seg, match, found, i == len(segs)-1)
		read += n
		if err != nil {
			return 0, read, err
		}
		if dirty > 0 {
			last = seg.number
		}
	}
	return last, read, nil
}

// scan counts what a segment holds of messages that match, by ids found in earlier ones too. Bytes after the last whole record may be
// anything, and count; in the newest one they may be a record on its way.
func (s *Spool) scan(seg *segment, match func(*Message) bool, found map[string]bool, newest bool) (size int64, dirty int, err error) {
	data, err := os.ReadFile(s.path(seg))
	if os.IsNotExist(err) { // gone meanwhile
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, fmt.Errorf("spool: %w", err)
	}
	size = int64(len(data))
	left, _ := strings.CutPrefix(string(data), magic)
	record, rest := next([]byte(left))
	for ; record != nil; record, rest = next(rest) {
		d := &decoder{left: record[1:]}
		id := string(d.text())
		if record[0] == recTaken {
			if m := readMessage(id, d); !d.bad && match(m) && !m.Bare {
				found[id] = true
			} else if m.Bare {
				continue
			}
		}
		if found[id] {
			dirty++
		}
	}
	if len(rest) > 0 && !newest {
		dirty++
	}
	return size, dirty, nil
}

// removeUpTo removes the oldest segment if it is not above a number, what is owed of it copied forward.
func (s *Spool) removeUpTo(last int64) (more bool, copied int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.order[0]
	if oldest.number > last {
		return false, 0, nil
	}
	if s.now().number <= last {
		if !s.fits(0, s.room) {
			return false, 0, ErrFull
		}
		if err := s.startSegment(); err != nil {
			return false, 0, err
		}
	}
	copied = oldest.live
	if !s.forward(oldest) {
		return false, 0, fmt.Errorf("%w: %d bytes owed in the oldest segment have to be copied", ErrFull, copied)
	}
	if err := s.file.Sync(); err != nil {
		return false, copied, fmt.Errorf("spool: %w", err)
	}
	if !s.remove(oldest) {
		return false, copied, fmt.Errorf("spool: %s cannot be removed", filepath.Base(s.path(oldest)))
	}
	return true, copied, nil
}

// Holds reads the files back and counts the records left of messages that match.
func (s *Spool) Holds(match func(*Message) bool) (n int, err error) {
	s.mu.Lock()
	segs := make([]*segment, len(s.order))
	copy(segs, s.order)
	strange := len(s.strange)
	s.mu.Unlock()
	found := map[string]bool{}
	for i, seg := range segs {
		_, dirty, err := s.scan(seg, match, found, i == len(segs)-1)
		if err != nil {
			return n, err
		}
		n += dirty
	}
	return n + strange, nil
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := f.Sync(); err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	return nil
}
