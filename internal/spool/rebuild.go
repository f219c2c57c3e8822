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

// rebuildIndex rebuilds the index of a sealed segment whose body is damaged, from the segment and the summary. It holds the messages
// pending now: those that completed since need no entry.
func (s *Spool) rebuildIndex(seg *segment) error {
	r := seg.sealed
	if r.pinned { // their entries must stay, but they are not known to be pending
		return errBadIndex
	}
	c, err := s.readIndexRest(seg)
	if err != nil {
		return err
	}
	pending := map[uint32]bool{}
	for _, m := range s.pending {
		if m.segment == seg {
			pending[m.slot] = true
		}
	}
	f, err := os.Open(s.segmentPath(seg))
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	defer func() { _ = f.Close() }()
	stoppedAt, err := c.scanEntries(f, func(slot uint32) bool { return r.spilled.has(slot) || pending[slot] })
	if err != nil {
		return err
	}
	before := r.spilledCount
	s.replaceIndex(seg, c)
	if lost := before - r.spilledCount; lost > 0 {
		s.backlog.addDamage(&DamagedError{Segment: seg.number, Offset: stoppedAt, Err: fmt.Errorf("%w: %d from there on", errBadRecord, lost)})
	}
	s.flushIndexes()
	return nil
}

// readIndexRest reads the parts of an index that need no rebuild.
func (s *Spool) readIndexRest(seg *segment) (*indexContents, error) {
	f, err := os.Open(s.indexPath(seg))
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	sum, ok := readSummary(f, info.Size(), seg.number, nil)
	if !ok {
		return nil, errBadIndex
	}
	c := &indexContents{number: seg.number, size: seg.size, slots: sum.slots, states: sum.states()}
	sum.eachDead(func(d *deadEntry) { c.dead = append(c.dead, *d) })
	return c, nil
}

// scanEntries adds entries of the accepted records wanted, and returns where it stopped. An error means that a read failed.
func (c *indexContents) scanEntries(f io.Reader, want func(slot uint32) bool) (stoppedAt int64, err error) {
	reader := bufio.NewReaderSize(f, replayBufferSize)
	if _, err := reader.Discard(len(segmentMagic)); err != nil {
		return 0, fmt.Errorf("spool: %w", err)
	}
	offset, slot := int64(len(segmentMagic)), uint32(0)
	for {
		record, err := readRecordFrom(reader)
		if err != nil {
			if !errors.Is(err, errBadRecord) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				return offset, err
			}
			break
		}
		length := int64(len(record)) + headerSize
		d := &decoder{rest: record[1:]}
		if id := string(d.bytes()); record[0] == recAccepted {
			if m := decodeMessage(id, d); !d.failed {
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

// replaceIndex switches a sealed segment to a new index. Spilled messages without an entry there are no longer pending.
func (s *Spool) replaceIndex(seg *segment, c *indexContents) {
	b, r := s.backlog, seg.sealed
	for dst, l := range b.dests {
		if i, found := l.findRun(seg); found {
			l.count -= int(l.runs[i].count)
			b.total -= int(l.runs[i].count)
			l.runs = slices.Delete(l.runs, i, i+1)
			b.pruneDest(dst, l)
		}
	}
	b.addUsage(seg, -1)
	s.liveBytes -= seg.liveBytes
	spilled := r.spilled
	r.spilled, r.filter, r.spilledCount = newBitmap(c.slots), newFilter(len(c.entries)), 0
	seg.liveBytes, seg.pending = 0, len(c.entries)
	for i := range c.entries {
		e := &c.entries[i]
		if seg.liveBytes += int64(e.length); spilled.has(e.slot) {
			r.spilled.set(e.slot)
			r.spilledCount++
		}
		r.filter.add(e.id)
	}
	s.liveBytes += seg.liveBytes
	r.image, r.layout = c.encode()
	b.unwritten++
	b.addUsage(seg, 1)
	b.addRuns(seg, c.entries, true)
}
