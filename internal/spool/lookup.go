package spool

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
)

const pageEntries = 64 // entries read at once

// randomReader is a file or buffer that is read at offsets.
type randomReader interface {
	io.ReaderAt
	io.Closer
}

// memoryFile is a buffer in memory that is read like a file.
type memoryFile struct{ *bytes.Reader }

func (memoryFile) Close() error { return nil }

// openIndex opens the index of a sealed segment; one that was not written yet is read from memory.
func (s *Spool) openIndex(seg *segment) (randomReader, error) {
	if seg.sealed.image != nil {
		return memoryFile{bytes.NewReader(seg.sealed.image)}, nil
	}
	f, err := os.Open(s.indexPath(seg))
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	return f, nil
}

// verifyIndex verifies the body of an index once per process, and rebuilds the index if it is damaged. Positions in the old index
// are invalid after that.
func (s *Spool) verifyIndex(seg *segment) (rebuilt bool, err error) {
	r := seg.sealed
	if r.bodyVerified || r.image != nil {
		return false, nil
	}
	body, err := s.readIndexBody(seg)
	if isResourceShortage(err) {
		return false, err
	}
	if r.bodyVerified = err == nil && bodyIntact(body); r.bodyVerified {
		return false, nil
	}
	if err := s.rebuildIndex(seg); err != nil {
		return false, err
	}
	return true, nil
}

// readIndexBody reads the body of an index.
func (s *Spool) readIndexBody(seg *segment) ([]byte, error) {
	f, err := s.openIndex(seg)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	p := seg.sealed.layout
	body := make([]byte, p.size()-p.bodyAt())
	if _, err := f.ReadAt(body, p.bodyAt()); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	return body, nil
}

// recheckIndex reports whether the index that located a damaged record is still intact. A damaged index would lead to intact
// records being dropped.
func (s *Spool) recheckIndex(seg *segment) bool {
	r := seg.sealed
	if r == nil || r.image != nil || r.bodyReverified {
		return true
	}
	body, err := s.readIndexBody(seg)
	r.bodyReverified = err == nil && bodyIntact(body)
	return r.bodyReverified
}

// readEntries reads entries from a position on, up to the length of page, and returns those read.
func readEntries(f io.ReaderAt, p layout, pos uint32, page []entry) ([]entry, error) {
	if pos >= p.entries {
		return nil, nil
	}
	page = page[:min(len(page), int(p.entries-pos))]
	data := make([]byte, len(page)*entrySize)
	if _, err := f.ReadAt(data, p.entryAt(pos)); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	for i := range page {
		page[i].decode(data[i*entrySize:])
	}
	return page, nil
}

// findSpilled looks up a spilled message by the 64-bit hash of its ID.
func (s *Spool) findSpilled(id string) (seg *segment, e entry, found bool, err error) {
	b := s.backlog
	if b == nil {
		return nil, e, false, nil
	}
	h := hashID(id)
	if b.newest != nil {
		if slot, in := b.newest.byID[h]; in && b.newest.entries[slot].spilled {
			return b.newest.seg, b.newest.entries[slot].entry, true, nil
		}
	}
	for _, f := range s.segmentFilters() {
		if !f.filter.mayContain(h) || f.seg.sealed.spilledCount == 0 {
			continue
		}
		e, found, lookupErr := s.lookupInIndex(f.seg, h)
		if found {
			return f.seg, e, true, nil
		}
		err = errors.Join(err, lookupErr)
	}
	return nil, e, false, err
}

// segmentFilter is the filter of a segment. Filters are stored side by side: each costs a hand-in one cache line, not three.
type segmentFilter struct {
	filter filter
	seg    *segment
}

// segmentFilters lists the filters of segments that have spilled messages, or had some when the list was built.
func (s *Spool) segmentFilters() []segmentFilter {
	b := s.backlog
	if len(b.filters) == 0 || b.filtersFor != s.segments[len(s.segments)-1] {
		b.filters, b.filtersFor = b.filters[:0], s.segments[len(s.segments)-1]
		for _, seg := range s.segments {
			if seg.sealed != nil && (seg.sealed.spilledCount > 0 || b.recovering) {
				b.filters = append(b.filters, segmentFilter{seg.sealed.filter, seg})
			}
		}
	}
	return b.filters
}

// lookupInIndex finds the spilled entry with this ID hash in a sealed segment.
func (s *Spool) lookupInIndex(seg *segment, id uint64) (e entry, ok bool, err error) {
	if _, err := s.verifyIndex(seg); err != nil {
		return e, false, err
	}
	f, err := s.openIndex(seg)
	if err != nil {
		return e, false, err
	}
	defer func() { _ = f.Close() }()
	p := seg.sealed.layout
	pos, err := lowerBound(f, p, uint32(id>>32))
	if err != nil {
		return e, false, err
	}
	var pair [8]byte
	page := make([]entry, 1)
	for ; pos < p.entries; pos++ {
		if _, err := f.ReadAt(pair[:], p.byIDAt()+int64(pos)*8); err != nil {
			return e, false, fmt.Errorf("spool: %w", err)
		}
		if binary.LittleEndian.Uint32(pair[:]) != uint32(id>>32) {
			break
		}
		if page, err = readEntries(f, p, binary.LittleEndian.Uint32(pair[4:]), page[:1]); err != nil {
			return e, false, err
		}
		if len(page) == 1 && page[0].id == id && seg.sealed.spilled.has(page[0].slot) {
			return page[0], true, nil
		}
	}
	return e, false, nil
}

// lowerBound finds the first position in the ID order whose item is not below the upper half of a hash. Hashes are evenly distributed, so
// it starts at the expected position, and continues by binary search.
func lowerBound(f io.ReaderAt, p layout, top uint32) (uint32, error) {
	const window = 512
	lo, hi := 0, int(p.entries)
	buf := make([]byte, 8*window)
	for {
		from := min(max(lo, (lo+hi)/2-window/2), hi)
		if lo == 0 && hi == int(p.entries) {
			from = min(max(0, int(uint64(top)*uint64(p.entries)>>32)-window/2), hi)
		}
		to := min(from+window, hi)
		if from == to {
			return uint32(to), nil
		}
		page := buf[:8*(to-from)]
		if _, err := f.ReadAt(page, p.byIDAt()+int64(from)*8); err != nil {
			return 0, fmt.Errorf("spool: %w", err)
		}
		at := func(i int) uint32 { return binary.LittleEndian.Uint32(page[8*i:]) }
		switch {
		case from > lo && at(0) >= top:
			hi = from
		case to < hi && at(to-from-1) < top:
			lo = to
		default:
			return uint32(from + sort.Search(to-from, func(i int) bool { return at(i) >= top })), nil
		}
	}
}
