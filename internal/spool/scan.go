package spool

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
)

const maxBufferedSegment = 16 << 20 // bytes; a scan reads longer segments record by record, others at once

// segmentView is the data that a scan needs of a segment. It is taken with the lock held and used without it.
type segmentView struct {
	seg       *segment
	path      string
	indexPath string
	image     []byte
	layout    layout
	spilled   bitmap
	size      int64
}

// nextView returns the view of the next sealed segment after a number that has spilled messages.
func (s *Spool) nextView(after int64) (v segmentView, ok bool) {
	for _, seg := range s.segments {
		if r := seg.sealed; r != nil && seg.number > after && r.spilledCount > 0 {
			_, _ = s.verifyIndex(seg) // matches reports an index that is damaged
			return segmentView{seg: seg, path: s.segmentPath(seg), indexPath: s.indexPath(seg), image: r.image, layout: r.layout,
				spilled: slices.Clone(r.spilled), size: seg.size}, true
		}
	}
	return segmentView{}, false
}

// matches lists up to limit messages of a sealed segment that match and were spilled when the view was taken.
func (v segmentView) matches(match func(*Message) bool, limit int) (candidates []candidate, ids []string, err error) {
	data := v.image
	if data == nil {
		if data, err = os.ReadFile(v.indexPath); err != nil {
			return nil, nil, fmt.Errorf("spool: %w", err)
		}
	}
	if int64(len(data)) != v.layout.size() || !bodyIntact(data[v.layout.bodyAt():]) {
		return nil, nil, fmt.Errorf("%w: %s", errBadIndex, v.indexPath)
	}
	f, err := openBuffered(v.path, v.size)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = f.Close() }()
	eachEntry(data[v.layout.bodyAt():], v.layout, func(_ uint32, e *entry) {
		if len(candidates) >= limit || !v.spilled.has(e.slot) {
			return
		}
		m, readErr := readMessageAt(f, e)
		if readErr != nil && !errors.Is(readErr, errBadRecord) {
			err = readErr
		}
		if readErr == nil && match(m) {
			candidates, ids = append(candidates, candidate{v.seg, *e}), append(ids, m.ID)
		}
	})
	return candidates, ids, err
}

// ignoreIfRemoved drops an error if the segment was removed meanwhile: its pending messages are in a later one, which is read next.
func (s *Spool) ignoreIfRemoved(v segmentView, err error) error {
	if s.segmentByNumber(v.seg.number) == nil {
		return nil
	}
	return err
}

// openBuffered reads a segment into memory unless it is too long.
func openBuffered(path string, size int64) (randomReader, error) {
	if size > maxBufferedSegment {
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("spool: %w", err)
		}
		return f, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	return memoryFile{bytes.NewReader(data)}, nil
}

func readMessageAt(f io.ReaderAt, e *entry) (*Message, error) {
	data, err := readRecord(f, e.offset, int64(e.length))
	if err != nil {
		return nil, err
	}
	m, err := decodeAccepted(data)
	if err != nil || hashID(m.ID) != e.id {
		return nil, errBadRecord
	}
	return m, nil
}

// newestMatches is matches for the newest segment; it reads that one segment with the lock held.
func (s *Spool) newestMatches(match func(*Message) bool, limit int) (candidates []candidate, ids []string, err error) {
	n := s.backlog.newest
	if n.spilledCount == 0 {
		return nil, nil, nil
	}
	f, err := openBuffered(s.segmentPath(n.seg), n.seg.size)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = f.Close() }()
	for i := 0; i < len(n.entries) && len(candidates) < limit; i++ {
		e := &n.entries[i]
		if !e.spilled {
			continue
		}
		m, readErr := readMessageAt(f, &e.entry)
		if readErr != nil && !errors.Is(readErr, errBadRecord) {
			err = readErr
		}
		if readErr == nil && match(m) {
			candidates, ids = append(candidates, candidate{n.seg, e.entry}), append(ids, m.ID)
		}
	}
	return candidates, ids, err
}

// matchSpilled lists the IDs of spilled messages that match, and calls finish with the lock still held. Sealed segments are read without
// the lock. Messages moved or loaded meanwhile are in a later segment, which is read later, or active: finish sees them.
func (s *Spool) matchSpilled(match func(*Message) bool, finish func(ids []string)) (err error) {
	type hit struct {
		candidate
		id string
	}
	var foundEntries []hit
	s.mu.Lock()
	for v, ok := s.nextView(0); ok; v, ok = s.nextView(v.seg.number) {
		s.mu.Unlock()
		candidates, ids, scanErr := v.matches(match, maxInt)
		for i := range candidates {
			foundEntries = append(foundEntries, hit{candidates[i], ids[i]})
		}
		s.mu.Lock()
		err = errors.Join(err, s.ignoreIfRemoved(v, scanErr))
	}
	defer s.mu.Unlock()
	_, ids, scanErr := s.newestMatches(match, maxInt)
	for _, h := range foundEntries {
		if s.backlog.isSpilled(h.seg, h.slot) {
			ids = append(ids, h.id)
		}
	}
	finish(ids)
	return errors.Join(err, scanErr)
}

// LoadMatching is Load for up to n messages that match, so that they can end by the usual path. In the worst case it reads everything
// that is spilled, sealed segments without the lock. Repeated calls until none is returned cover all messages spilled at the first call.
func (s *Spool) LoadMatching(match func(*Message) bool, n int) (all []*Message, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog == nil {
		return nil, ErrBacklogDisabled
	}
	after := int64(0)
	for v, ok := s.nextView(after); ok && len(all) < n; v, ok = s.nextView(after) {
		s.mu.Unlock()
		candidates, _, scanErr := v.matches(match, n-len(all))
		s.mu.Lock()
		batch, loadErr := s.loadIfSpilled(candidates, n-len(all))
		all, err = append(all, batch...), errors.Join(err, s.ignoreIfRemoved(v, scanErr))
		if loadErr != nil { // the next load would fail too
			return s.joinDamage(all, errors.Join(err, loadErr))
		}
		if len(batch) == len(candidates) { // otherwise other calls loaded some of them, and more may match
			after = v.seg.number
		}
	}
	if len(all) < n {
		candidates, _, scanErr := s.newestMatches(match, n-len(all))
		batch, loadErr := s.loadIfSpilled(candidates, n-len(all))
		all, err = append(all, batch...), errors.Join(err, scanErr, loadErr)
	}
	return s.joinDamage(all, err)
}

// loadIfSpilled loads the candidates that are still spilled at their position.
func (s *Spool) loadIfSpilled(candidates []candidate, n int) ([]*Message, error) {
	return s.load(n, func(n int) (batch []candidate, _ error) {
		for _, c := range candidates {
			if len(batch) < n && s.backlog.isSpilled(c.seg, c.slot) {
				batch = append(batch, c)
			}
		}
		return batch, nil
	})
}
