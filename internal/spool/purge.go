package spool

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Errors of a purge that callers distinguish.
var (
	ErrFenced     = errors.New("spool: message is older than a purge of its tenant")
	ErrPending    = errors.New("spool: messages to be erased are still pending")
	ErrUnreadable = errors.New("spool: files that cannot be read may hold data to be erased")
)

// acceptCountBits is the number of low bits of an acceptance number that count the messages of one process. The bits above hold the
// highest segment number, which survives the process.
const acceptCountBits = 32

// PurgeResult describes the work of a purge.
type PurgeResult struct {
	Segments    int // removed
	BytesRead   int64
	BytesCopied int64 // bytes of the data that stays
}

// lastSeq returns a number that is not below that of any message accepted so far, and not above that of the next. The newest segment is
// never removed, so the highest number is found at each restart, and a new process takes a higher one.
func (s *Spool) lastSeq() int64 { return s.lastNumber<<acceptCountBits | s.acceptCount }

// Fence refuses messages older than a purge from now on, and returns the acceptance number of the latest message.
func (s *Spool) Fence(old func(*Message) bool) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence = old
	return s.lastSeq()
}

// PendingMatching lists the messages in progress that match, including spilled ones, and counts those that ended and whose notice is
// pending. Spilled messages are read from the files.
func (s *Spool) PendingMatching(match func(*Message) bool) (open []string, ended int) {
	open, ended, _ = s.pendingMatching(match) // for unreadable files Purge fails
	return open, ended
}

func (s *Spool) pendingMatching(match func(*Message) bool) (open []string, ended int, err error) {
	if s.backlog == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		open, ended = s.activeMatching(match)
	} else {
		err = s.matchSpilled(match, func(ids []string) {
			open, ended = s.activeMatching(match)
			open = append(open, ids...)
		})
	}
	slices.Sort(open)
	return open, ended, err
}

// activeMatching is pendingMatching without the spilled messages.
func (s *Spool) activeMatching(match func(*Message) bool) (open []string, ended int) {
	for _, m := range s.pending {
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

// Purge removes every byte of matching messages from the folder, also of those completed long ago. None may be in progress: callers end
// them first, by the usual path. Messages that ended and whose notice is pending lose body and keys. All segments up to the newest with
// matching data are removed, oldest first, with their pending messages copied forward: a restart at any point restores the same pending
// messages. After an error, Purge can be repeated.
func (s *Spool) Purge(match func(*Message) bool) (p PurgeResult, err error) {
	if err := s.markErased(match); err != nil {
		return p, err
	}
	last, read, err := s.newestMatchingSegment(match)
	p.BytesRead = read
	if err != nil || last == 0 {
		return p, err
	}
	for {
		more, copied, err := s.removeUpTo(last)
		p.BytesCopied += copied
		if err != nil {
			return p, err
		}
		if !more {
			return p, syncDir(s.dir)
		}
		p.Segments++
	}
}

// markErased marks messages that ended; their next record has neither body nor keys.
func (s *Spool) markErased(match func(*Message) bool) error {
	if s.backlog != nil {
		if err := s.ensureNoneSpilled(match); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unreadable) > 0 {
		return fmt.Errorf("%w: %s", ErrUnreadable, strings.Join(s.unreadable, ", "))
	}
	open := 0
	for _, m := range s.pending {
		if match(m) && !m.Ended {
			open++
		}
	}
	if open > 0 {
		return fmt.Errorf("%w: %d", ErrPending, open)
	}
	for _, m := range s.pending {
		if match(m) {
			m.Erased = true
		}
	}
	return nil
}

// ensureNoneSpilled checks that no spilled message matches. The purge would otherwise erase its record while it is still pending.
func (s *Spool) ensureNoneSpilled(match func(*Message) bool) error {
	open, _, err := s.pendingMatching(match)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if len(open) > 0 {
		return fmt.Errorf("%w: %d", ErrPending, len(open))
	}
	return nil
}

// IsErased reports whether a message's body was erased.
func (s *Spool) IsErased(m *Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.Erased
}

// newestMatchingSegment returns the number of the newest segment with a record of a matching message, or 0. It reads without the lock:
// only the newest segment changes, and no matching message is written any more.
func (s *Spool) newestMatchingSegment(match func(*Message) bool) (last, read int64, err error) {
	s.mu.Lock()
	segs := make([]*segment, len(s.segments))
	copy(segs, s.segments)
	s.mu.Unlock()
	found := map[string]bool{}
	for i, seg := range segs {
		n, matches, err := s.countRecords(seg, match, found, i == len(segs)-1)
		read += n
		if err != nil {
			return 0, read, err
		}
		if matches > 0 {
			last = seg.number
		}
	}
	return last, read, nil
}

// countRecords counts the records of matching messages in a segment, including those whose ID was found in earlier segments. Bytes after
// the last whole record may be anything, and count as one; in the newest segment they may be a record being written.
func (s *Spool) countRecords(seg *segment, match func(*Message) bool, found map[string]bool, newest bool) (size int64, matches int, err error) {
	data, err := os.ReadFile(s.segmentPath(seg))
	if os.IsNotExist(err) { // removed meanwhile
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, fmt.Errorf("spool: %w", err)
	}
	size = int64(len(data))
	content, _ := strings.CutPrefix(string(data), segmentMagic)
	record, rest := nextRecord([]byte(content))
	for ; record != nil; record, rest = nextRecord(rest) {
		d := &decoder{rest: record[1:]}
		id := string(d.bytes())
		if record[0] == recAccepted {
			if m := decodeMessage(id, d); !d.failed && match(m) && !m.Erased {
				found[id] = true
			} else if m.Erased {
				continue
			}
		}
		if found[id] {
			matches++
		}
	}
	if len(rest) > 0 && !newest {
		matches++
	}
	return size, matches, nil
}

// removeUpTo removes the oldest segment unless its number is above last, after copying its pending messages forward.
func (s *Spool) removeUpTo(last int64) (more bool, copied int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.segments[0]
	if oldest.number > last {
		return false, 0, nil
	}
	if s.newestSegment().number <= last {
		if !s.fits(0, s.capacity) {
			return false, 0, ErrFull
		}
		if err := s.startSegment(); err != nil {
			return false, 0, err
		}
	}
	copied = oldest.liveBytes
	if !s.copyForward(oldest) {
		return false, 0, fmt.Errorf("%w: %d pending bytes of the oldest segment must be copied", ErrFull, copied)
	}
	if err := s.file.Sync(); err != nil {
		return false, copied, fmt.Errorf("spool: %w", err)
	}
	if !s.removeOldest(oldest) {
		return false, copied, fmt.Errorf("spool: %s cannot be removed", filepath.Base(s.segmentPath(oldest)))
	}
	return true, copied, nil
}

// CountMatching reads the files and counts the remaining records of matching messages.
func (s *Spool) CountMatching(match func(*Message) bool) (n int, err error) {
	s.mu.Lock()
	segs := make([]*segment, len(s.segments))
	copy(segs, s.segments)
	unreadable := len(s.unreadable)
	s.mu.Unlock()
	found := map[string]bool{}
	for i, seg := range segs {
		_, matches, err := s.countRecords(seg, match, found, i == len(segs)-1)
		if err != nil {
			return n, err
		}
		n += matches
	}
	return n + unreadable, nil
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
