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

const pageEntries = 64 // read at once

// file is what is read at offsets.
type file interface {
	io.ReaderAt
	io.Closer
}

// held are bytes in memory, read like a file.
type held struct{ *bytes.Reader }

func (held) Close() error { return nil }

// index opens the index of a sealed segment; one that could not be written yet is read in memory.
func (s *Spool) index(seg *segment) (file, error) {
	if seg.sealed.image != nil {
		return held{bytes.NewReader(seg.sealed.image)}, nil
	}
	f, err := os.Open(s.indexPath(seg))
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	return f, nil
}

// check makes sure, once a process, that the body of an index is whole, and makes the index again if it is not. Danger: positions in it do
// not hold then.
func (s *Spool) check(seg *segment) (remade bool, err error) {
	r := seg.sealed
	if r.checked || r.image != nil {
		return false, nil
	}
	body, err := s.body(seg)
	if short(err) {
		return false, err
	}
	if r.checked = err == nil && bodyWhole(body); r.checked {
		return false, nil
	}
	if err := s.remake(seg); err != nil {
		return false, err
	}
	return true, nil
}

// body reads the body of an index.
func (s *Spool) body(seg *segment) ([]byte, error) {
	f, err := s.index(seg)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	p := seg.sealed.shape
	body := make([]byte, p.size()-p.bodyAt())
	if _, err := f.ReadAt(body, p.bodyAt()); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	return body, nil
}

// trusted tells whether the index that named a damaged record is still whole. Danger: by a broken one whole records would be given up.
func (s *Spool) trusted(seg *segment) bool {
	r := seg.sealed
	if r == nil || r.image != nil || r.trusted {
		return true
	}
	body, err := s.body(seg)
	r.trusted = err == nil && bodyWhole(body)
	return r.trusted
}

// readEntries reads entries from a position on, as many as fit the page, and gives those read.
func readEntries(f io.ReaderAt, p shape, pos uint32, page []entry) ([]entry, error) {
	if pos >= p.entries {
		return nil, nil
	}
	page = page[:min(len(page), int(p.entries-pos))]
	data := make([]byte, len(page)*entrySize)
	if _, err := f.ReadAt(data, p.entryAt(pos)); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	for i := range page {
		page[i].get(data[i*entrySize:])
	}
	return page, nil
}

// find looks for the spilled message of an id, by its hash of 64 bits.
func (s *Spool) find(id string) (seg *segment, e entry, found bool, err error) {
	b := s.backlog
	if b == nil {
		return nil, e, false, nil
	}
	h := hashOf(id)
	if b.newest != nil {
		if slot, in := b.newest.byID[h]; in && b.newest.entries[slot].spilled {
			return b.newest.seg, b.newest.entries[slot].entry, true, nil
		}
	}
	for _, p := range s.probes() {
		if !p.filter.may(h) || p.seg.sealed.left == 0 {
			continue
		}
		e, found, failed := s.lookup(p.seg, h)
		if found {
			return p.seg, e, true, nil
		}
		err = errors.Join(err, failed)
	}
	return nil, e, false, err
}

// probe is the filter of a segment, beside those of the others: each costs a hand-in one line of memory, not three.
type probe struct {
	filter filter
	seg    *segment
}

// probes lists the filters of segments in which something is spilled, or was when they were listed.
func (s *Spool) probes() []probe {
	b := s.backlog
	if len(b.probes) == 0 || b.probed != s.order[len(s.order)-1] {
		b.probes, b.probed = b.probes[:0], s.order[len(s.order)-1]
		for _, seg := range s.order {
			if seg.sealed != nil && (seg.sealed.left > 0 || b.opening) {
				b.probes = append(b.probes, probe{seg.sealed.filter, seg})
			}
		}
	}
	return b.probes
}

// lookup finds the spilled entry of a sealed segment with this hash of an id.
func (s *Spool) lookup(seg *segment, id uint64) (e entry, ok bool, err error) {
	if _, err := s.check(seg); err != nil {
		return e, false, err
	}
	f, err := s.index(seg)
	if err != nil {
		return e, false, err
	}
	defer func() { _ = f.Close() }()
	p := seg.sealed.shape
	at, err := lowerBound(f, p, uint32(id>>32))
	if err != nil {
		return e, false, err
	}
	var item [8]byte
	page := make([]entry, 1)
	for ; at < p.entries; at++ {
		if _, err := f.ReadAt(item[:], p.byIDAt()+int64(at)*8); err != nil {
			return e, false, fmt.Errorf("spool: %w", err)
		}
		if binary.LittleEndian.Uint32(item[:]) != uint32(id>>32) {
			break
		}
		if page, err = readEntries(f, p, binary.LittleEndian.Uint32(item[4:]), page[:1]); err != nil {
			return e, false, err
		}
		if len(page) == 1 && page[0].id == id && seg.sealed.spilled.has(page[0].slot) {
			return page[0], true, nil
		}
	}
	return e, false, nil
}

// lowerBound finds the first place in the order by id that is not below the upper half of a hash. Hashes are spread evenly, so it is looked
// for where it should be, and from there on by halves.
func lowerBound(f io.ReaderAt, p shape, top uint32) (uint32, error) {
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
