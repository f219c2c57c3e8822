package spool

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
)

// remake makes the index of a sealed segment again whose body is broken, from the segment and the brief. It holds what is owed by now: what
// ended since needs no entry.
func (s *Spool) remake(seg *segment) error {
	r := seg.sealed
	if r.pinned { // an entry of those must stay, and they are not known to be owed
		return errIndex
	}
	c, err := s.remains(seg)
	if err != nil {
		return err
	}
	owed := map[uint32]bool{}
	for _, m := range s.owed {
		if m.segment == seg {
			owed[m.slot] = true
		}
	}
	f, err := os.Open(s.path(seg))
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	defer func() { _ = f.Close() }()
	torn, err := c.scan(f, func(slot uint32) bool { return r.spilled.has(slot) || owed[slot] })
	if err != nil {
		return err
	}
	before := r.left
	s.replace(seg, c)
	if lost := before - r.left; lost > 0 {
		s.backlog.noteDamage(&DamagedError{Segment: seg.number, Offset: torn, Err: fmt.Errorf("%w: %d from there on", errRecord, lost)})
	}
	s.flush()
	return nil
}

// remains is what of an index needs not be made again.
func (s *Spool) remains(seg *segment) (*contents, error) {
	f, err := os.Open(s.indexPath(seg))
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	t, ok := readBrief(f, info.Size(), seg.number, nil)
	if !ok {
		return nil, errIndex
	}
	c := &contents{number: seg.number, size: seg.size, slots: t.slots, states: t.states()}
	t.eachDead(func(d *dead) { c.dead = append(c.dead, *d) })
	return c, nil
}

// scan makes entries of the taken records wanted, and tells where it had to stop. An error is of a read that failed.
func (c *contents) scan(f io.Reader, want func(slot uint32) bool) (torn int64, err error) {
	in := bufio.NewReaderSize(f, readAhead)
	if _, err := in.Discard(len(magic)); err != nil {
		return 0, fmt.Errorf("spool: %w", err)
	}
	offset, slot := int64(len(magic)), uint32(0)
	for {
		record, err := nextOf(in)
		if err != nil {
			if !errors.Is(err, errRecord) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				return offset, err
			}
			break
		}
		length := int64(len(record)) + headSize
		d := &decoder{left: record[1:]}
		if id := string(d.text()); record[0] == recTaken {
			if m := readMessage(id, d); !d.bad {
				if want(slot) {
					m.offset, m.length = offset, length
					e := m.entry()
					e.slot = slot
					c.entries = append(c.entries, e)
				}
				slot++
			}
		}
		offset += length
	}
	slices.SortFunc(c.entries, func(a, b entry) int { return cmp.Or(cmp.Compare(a.dst, b.dst), a.compare(&b)) })
	return offset, nil
}

// replace has a sealed segment go by a new index. What was spilled and is not in it is owed no more.
func (s *Spool) replace(seg *segment, c *contents) {
	b, r := s.backlog, seg.sealed
	for dst, l := range b.lines {
		if i, found := l.of(seg); found {
			l.left -= int(l.runs[i].left)
			b.all -= int(l.runs[i].left)
			l.runs = slices.Delete(l.runs, i, i+1)
			b.prune(dst, l)
		}
	}
	b.weigh(seg, -1)
	s.live -= seg.live
	spilled := r.spilled
	r.spilled, r.filter, r.left = newBitmap(c.slots), newFilter(len(c.entries)), 0
	seg.live, seg.owed = 0, len(c.entries)
	for i := range c.entries {
		e := &c.entries[i]
		if seg.live += int64(e.length); spilled.has(e.slot) {
			r.spilled.set(e.slot)
			r.left++
		}
		r.filter.add(e.id)
	}
	s.live += seg.live
	r.image, r.shape = c.encode()
	b.waiting++
	b.weigh(seg, 1)
	b.settle(seg, c.entries, true)
}
