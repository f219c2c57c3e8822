package spool

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
)

const mostHeld = 16 << 20 // bytes of a segment that a scan reads at once; of a longer one it reads record by record

// view is what a scan needs of a segment, taken with the lock held and read without it.
type view struct {
	seg     *segment
	path    string
	index   string
	image   []byte
	shape   shape
	spilled bitmap
	size    int64
}

// nextView is that of the first sealed segment behind a number in which something is spilled.
func (s *Spool) nextView(after int64) (v view, ok bool) {
	for _, seg := range s.order {
		if r := seg.sealed; r != nil && seg.number > after && r.left > 0 {
			_, _ = s.check(seg) // hits tells of an index that is not whole
			return view{seg: seg, path: s.path(seg), index: s.indexPath(seg), image: r.image, shape: r.shape,
				spilled: slices.Clone(r.spilled), size: seg.size}, true
		}
	}
	return view{}, false
}

// hits lists up to most messages of a sealed segment that match and were spilled when the view was taken.
func (v view) hits(match func(*Message) bool, most int) (picks []pick, ids []string, err error) {
	data := v.image
	if data == nil {
		if data, err = os.ReadFile(v.index); err != nil {
			return nil, nil, fmt.Errorf("spool: %w", err)
		}
	}
	if int64(len(data)) != v.shape.size() || !bodyWhole(data[v.shape.bodyAt():]) {
		return nil, nil, fmt.Errorf("%w: %s", errIndex, v.index)
	}
	f, err := openAll(v.path, v.size)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = f.Close() }()
	eachEntry(data[v.shape.bodyAt():], v.shape, func(_ uint32, e *entry) {
		if len(picks) >= most || !v.spilled.has(e.slot) {
			return
		}
		m, failed := readMessageAt(f, e)
		if failed != nil && !errors.Is(failed, errRecord) {
			err = failed
		}
		if failed == nil && match(m) {
			picks, ids = append(picks, pick{v.seg, *e}), append(ids, m.ID)
		}
	})
	return picks, ids, err
}

// unlessGone is no fault when the segment went meanwhile: what was owed of it stands in a later one, which comes next.
func (s *Spool) unlessGone(v view, err error) error {
	if s.numbered(v.seg.number) == nil {
		return nil
	}
	return err
}

// openAll reads a segment that is not too long at once.
func openAll(path string, size int64) (file, error) {
	if size > mostHeld {
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
	return held{bytes.NewReader(data)}, nil
}

func readMessageAt(f io.ReaderAt, e *entry) (*Message, error) {
	data, err := readRecord(f, e.offset, int64(e.length))
	if err != nil {
		return nil, err
	}
	m, err := decode(data)
	if err != nil || hashOf(m.ID) != e.id {
		return nil, errRecord
	}
	return m, nil
}

// newestHits is hits for the newest segment; it reads with the lock held, at most that one segment.
func (s *Spool) newestHits(match func(*Message) bool, most int) (picks []pick, ids []string, err error) {
	n := s.backlog.newest
	if n.left == 0 {
		return nil, nil, nil
	}
	f, err := openAll(s.path(n.seg), n.seg.size)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = f.Close() }()
	for i := 0; i < len(n.entries) && len(picks) < most; i++ {
		e := &n.entries[i]
		if !e.spilled {
			continue
		}
		m, failed := readMessageAt(f, &e.entry)
		if failed != nil && !errors.Is(failed, errRecord) {
			err = failed
		}
		if failed == nil && match(m) {
			picks, ids = append(picks, pick{n.seg, e.entry}), append(ids, m.ID)
		}
	}
	return picks, ids, err
}

// spilledIDs lists those of spilled messages that match, and calls last with the lock still held. Sealed segments are read without the lock.
// What is moved or drawn meanwhile stands in a later segment, which is read later, or works: last sees it.
func (s *Spool) spilledIDs(match func(*Message) bool, last func(ids []string)) (err error) {
	type hit struct {
		pick
		id string
	}
	var hits []hit
	s.mu.Lock()
	for v, ok := s.nextView(0); ok; v, ok = s.nextView(v.seg.number) {
		s.mu.Unlock()
		picks, ids, failed := v.hits(match, maxInt)
		for i := range picks {
			hits = append(hits, hit{picks[i], ids[i]})
		}
		s.mu.Lock()
		err = errors.Join(err, s.unlessGone(v, failed))
	}
	defer s.mu.Unlock()
	_, ids, failed := s.newestHits(match, maxInt)
	for _, h := range hits {
		if s.backlog.isSpilled(h.seg, h.slot) {
			ids = append(ids, h.id)
		}
	}
	last(ids)
	return errors.Join(err, failed)
}

// LoadMatching is Load for up to n messages that match, so that they end by the usual path. It reads all that is spilled, in the worst
// case; the lock is not held while it reads sealed segments. Called until nothing comes, it has all that were spilled at first.
func (s *Spool) LoadMatching(match func(*Message) bool, n int) (all []*Message, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog == nil {
		return nil, ErrOff
	}
	after := int64(0)
	for v, ok := s.nextView(after); ok && len(all) < n; v, ok = s.nextView(after) {
		s.mu.Unlock()
		picks, _, failed := v.hits(match, n-len(all))
		s.mu.Lock()
		some, hard := s.drawThese(picks, n-len(all))
		all, err = append(all, some...), errors.Join(err, s.unlessGone(v, failed))
		if hard != nil { // the next would fail too
			return s.tell(all, errors.Join(err, hard))
		}
		if len(some) == len(picks) { // else others drew some of them, and more may match
			after = v.seg.number
		}
	}
	if len(all) < n {
		picks, _, failed := s.newestHits(match, n-len(all))
		some, hard := s.drawThese(picks, n-len(all))
		all, err = append(all, some...), errors.Join(err, failed, hard)
	}
	return s.tell(all, err)
}

// drawThese draws those that are still spilled where they were found.
func (s *Spool) drawThese(picks []pick, n int) ([]*Message, error) {
	return s.draw(n, func(n int) (some []pick, _ error) {
		for _, p := range picks {
			if len(some) < n && s.backlog.isSpilled(p.seg, p.slot) {
				some = append(some, p)
			}
		}
		return some, nil
	})
}
