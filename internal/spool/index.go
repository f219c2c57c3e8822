package spool

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sort"
)

// The index file of a sealed segment. All numbers but the states are little-endian and of fixed size.
const (
	indexMagic     = "rvlidx1\n"
	indexExtension = ".idx"
	unfinished     = ".tmp" // behind the name while it is written
	indexHead      = 40     // bytes: magic, number, size, counts of slots, entries, dead; bytes of states
	entrySize      = 56     // bytes
	deadSize       = 12     // bytes
	pageEntries    = 64     // read at once
)

var errIndex = errors.New("spool: no whole index")

// entry is what an index tells of a message whose newest taken record stands in its segment.
type entry struct {
	dst, expires, taken int64
	id, key             uint64 // hashes; key 0 for none
	offset              int64  // bytes, of the record with its head
	length              uint32 // bytes
	slot                uint32 // so many taken records stand in front of this one in the segment
}

func (e *entry) put(b []byte) []byte {
	le := binary.LittleEndian
	b = le.AppendUint64(b, uint64(e.dst))
	b = le.AppendUint64(b, uint64(e.expires))
	b = le.AppendUint64(b, uint64(e.taken))
	b = le.AppendUint64(le.AppendUint64(b, e.id), e.key)
	return le.AppendUint32(le.AppendUint32(le.AppendUint64(b, uint64(e.offset)), e.length), e.slot)
}

func (e *entry) get(b []byte) {
	le := binary.LittleEndian
	e.dst, e.expires, e.taken = int64(le.Uint64(b)), int64(le.Uint64(b[8:])), int64(le.Uint64(b[16:]))
	e.id, e.key = le.Uint64(b[24:]), le.Uint64(b[32:])
	e.offset, e.length, e.slot = int64(le.Uint64(b[40:])), le.Uint32(b[48:]), le.Uint32(b[52:])
}

// compare is the order within a destination.
func (e *entry) compare(o *entry) int {
	return cmp.Or(cmp.Compare(e.taken, o.taken), cmp.Compare(e.expires, o.expires), cmp.Compare(e.slot, o.slot))
}

// ref names a taken record.
type ref struct {
	segment int64
	slot    uint32
}

// shape is where the parts of an index stand.
type shape struct {
	slots, entries, dead, states uint32
}

func (p shape) byExpires() int64 { return indexHead + int64(p.entries)*entrySize }
func (p shape) byID() int64      { return p.byExpires() + int64(p.entries)*4 }
func (p shape) deadAt() int64    { return p.byID() + int64(p.entries)*8 }
func (p shape) statesAt() int64  { return p.deadAt() + int64(p.dead)*deadSize }
func (p shape) size() int64      { return p.statesAt() + int64(p.states) + 4 }

func entryAt(pos uint32) int64 { return indexHead + int64(pos)*entrySize }

// encodeIndex makes the index of a segment: what stands in it, what ended or moved by records of it, and all that is working.
func encodeIndex(seg *segment, n *newest, working map[string]*Message) ([]byte, shape) {
	entries := n.sorted()
	states := encodeStates(working)
	p := shape{slots: uint32(len(n.entries)), entries: uint32(len(entries)), dead: uint32(len(n.dead)), states: uint32(len(states))}
	le := binary.LittleEndian
	b := append(make([]byte, 0, p.size()), indexMagic...)
	b = le.AppendUint64(le.AppendUint64(b, uint64(seg.number)), uint64(seg.size))
	for _, v := range []uint32{p.slots, p.entries, p.dead, p.states} {
		b = le.AppendUint32(b, v)
	}
	for i := range entries {
		b = entries[i].put(b)
	}
	for _, v := range byExpires(entries) {
		b = le.AppendUint32(b, v.pos)
	}
	for _, v := range byID(entries) {
		b = le.AppendUint32(le.AppendUint32(b, uint32(v>>32)), uint32(v))
	}
	for _, d := range n.dead {
		b = le.AppendUint32(le.AppendUint64(b, uint64(d.segment)), d.slot)
	}
	b = append(b, states...)
	return le.AppendUint32(b, crc32.ChecksumIEEE(b)), p
}

type expiry struct {
	at  int64
	pos uint32
}

// byExpires lists positions of entries in the order in which these expire.
func byExpires(entries []entry) []expiry {
	all := make([]expiry, len(entries))
	for i := range entries {
		all[i] = expiry{entries[i].expires, uint32(i)}
	}
	slices.SortFunc(all, func(a, b expiry) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.pos, b.pos)) })
	return all
}

// byID lists them by the upper half of the hash of their ids: that half, and the position in the lower one.
func byID(entries []entry) []uint64 {
	all := make([]uint64, len(entries))
	for i := range entries {
		all[i] = entries[i].id>>32<<32 | uint64(i)
	}
	slices.Sort(all)
	return all
}

// The bits of a state.
const (
	stateEnded = 1 << iota
	statePushedBack
	stateBare
	stateDrawn
)

func encodeStates(working map[string]*Message) encoder {
	e := encoder(nil).number(int64(len(working)))
	for _, m := range working {
		flags := flag(m.Ended)*stateEnded | flag(m.PushedBack)*statePushedBack | flag(m.Bare)*stateBare | flag(m.drawn)*stateDrawn
		e = e.number(m.segment.number).number(int64(m.slot)).number(m.offset).number(m.length).number(flags).number(m.Advice)
		e = e.number(int64(len(m.Legs)))
		for _, l := range m.Legs {
			e = e.leg(l)
		}
	}
	return e
}

// state is one open state: where the taken record of a message stands, and what came to it since.
type state struct {
	ref
	offset, length int64
	flags, advice  int64
	legs           []Leg
}

func decodeStates(data []byte) (all []state) {
	d := &decoder{left: data}
	for n := d.number(); n > 0 && !d.bad; n-- {
		var st state
		st.segment, st.slot = d.number(), uint32(d.number())
		st.offset, st.length, st.flags, st.advice = d.number(), d.number(), d.number(), d.number()
		for legs := d.number(); legs > 0 && !d.bad; legs-- {
			st.legs = append(st.legs, readLeg(d))
		}
		if !d.bad {
			all = append(all, st)
		}
	}
	return all
}

// readShape takes the head of an index apart. All of the index stands in data.
func readShape(data []byte, number int64) (p shape, ok bool) {
	le := binary.LittleEndian
	if len(data) < indexHead+4 || string(data[:len(indexMagic)]) != indexMagic || int64(le.Uint64(data[8:])) != number {
		return p, false
	}
	p = shape{slots: le.Uint32(data[24:]), entries: le.Uint32(data[28:]), dead: le.Uint32(data[32:]), states: le.Uint32(data[36:])}
	end := len(data) - 4
	return p, p.size() == int64(len(data)) && le.Uint32(data[end:]) == crc32.ChecksumIEEE(data[:end])
}

func eachDead(data []byte, p shape, f func(ref)) {
	for b := data[p.deadAt():p.statesAt()]; len(b) > 0; b = b[deadSize:] {
		f(ref{int64(binary.LittleEndian.Uint64(b)), binary.LittleEndian.Uint32(b[8:])})
	}
}

func eachEntry(data []byte, p shape, f func(pos uint32, e *entry)) {
	var e entry
	for pos := range p.entries {
		e.get(data[entryAt(pos):])
		f(pos, &e)
	}
}

func (s *Spool) indexPath(seg *segment) string {
	return filepath.Join(s.dir, fmt.Sprintf("%012d%s", seg.number, indexExtension))
}

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

// readEntries reads entries from a position on, as many as fit the page, and gives those read.
func readEntries(f io.ReaderAt, p shape, pos uint32, page []entry) ([]entry, error) {
	if pos >= p.entries {
		return nil, nil
	}
	page = page[:min(len(page), int(p.entries-pos))]
	data := make([]byte, len(page)*entrySize)
	if _, err := f.ReadAt(data, entryAt(pos)); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	for i := range page {
		page[i].get(data[i*entrySize:])
	}
	return page, nil
}

// lookup finds the spilled entry of a sealed segment with this hash of an id.
func (s *Spool) lookup(seg *segment, id uint64) (e entry, ok bool, err error) {
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
		if _, err := f.ReadAt(item[:], p.byID()+int64(at)*8); err != nil {
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
		if _, err := f.ReadAt(page, p.byID()+int64(from)*8); err != nil {
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
