package spool

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"
	"slices"
)

// An index file of a sealed segment has a header, a summary, which is read at start, and a body, which is read in parts when entries are
// looked up. Summary and body each end in a CRC-32. All numbers except the states are little-endian and of fixed size.
const (
	indexMagic      = "rvlidx1\n"
	indexExtension  = ".idx"
	tmpSuffix       = ".tmp" // suffix of the file name until it is complete
	indexHeaderSize = 64     // bytes
	runSize         = 24     // bytes
	keySize         = 20     // bytes
	deadEntrySize   = 32     // bytes
	entrySize       = 56     // bytes
	checksumSize    = 4      // bytes
)

var errBadIndex = errors.New("spool: index is missing or damaged")

// entry describes a message whose newest accepted record is in the segment.
type entry struct {
	dst, expires, seq int64
	id, key           uint64 // hashes; key is 0 for none
	offset            int64  // bytes, of the record including its header
	length            uint32 // bytes
	slot              uint32 // number of accepted records before this one in the segment
}

func (e *entry) appendTo(b []byte) []byte {
	b = put64(b, e.dst, e.expires, e.seq, int64(e.id), int64(e.key), e.offset)
	return put32(b, e.length, e.slot)
}

func (e *entry) decode(b []byte) {
	le := binary.LittleEndian
	e.dst, e.expires, e.seq = int64(le.Uint64(b)), int64(le.Uint64(b[8:])), int64(le.Uint64(b[16:]))
	e.id, e.key = le.Uint64(b[24:]), le.Uint64(b[32:])
	e.offset, e.length, e.slot = int64(le.Uint64(b[40:])), le.Uint32(b[48:]), le.Uint32(b[52:])
}

// compare orders the entries of one destination.
func (e *entry) compare(o *entry) int {
	return cmp.Or(cmp.Compare(e.seq, o.seq), cmp.Compare(e.expires, o.expires), cmp.Compare(e.slot, o.slot))
}

func put64(b []byte, all ...int64) []byte {
	for _, v := range all {
		b = binary.LittleEndian.AppendUint64(b, uint64(v))
	}
	return b
}

func put32(b []byte, all ...uint32) []byte {
	for _, v := range all {
		b = binary.LittleEndian.AppendUint32(b, v)
	}
	return b
}

// deadEntry is an accepted record of an older segment that was completed or moved, with the fields needed to update the counts.
type deadEntry struct {
	segment int64
	entry   // only slot, length, dst and key
}

func (d *deadEntry) appendTo(b []byte) []byte {
	return put32(put64(b, d.segment, d.dst, int64(d.key)), d.slot, d.length)
}

func (d *deadEntry) decode(b []byte) {
	le := binary.LittleEndian
	d.segment, d.dst, d.key = int64(le.Uint64(b)), int64(le.Uint64(b[8:])), le.Uint64(b[16:])
	d.slot, d.length = le.Uint32(b[24:]), le.Uint32(b[28:])
}

// layout holds the number of items of each kind in an index, and thereby their offsets.
type layout struct {
	slots, entries, runs, keys, dead, states uint32 // states: bytes
}

func (p layout) keysAt() int64      { return indexHeaderSize + int64(p.runs)*runSize }
func (p layout) filterAt() int64    { return p.keysAt() + int64(p.keys)*keySize }
func (p layout) bitsAt() int64      { return p.filterAt() + int64(filterLen(int(p.entries)))*8 }
func (p layout) deadAt() int64      { return p.bitsAt() + int64(bitmapLen(p.slots))*8 }
func (p layout) statesAt() int64    { return p.deadAt() + int64(p.dead)*deadEntrySize }
func (p layout) statesEnd() int64   { return p.statesAt() + int64(p.states) }
func (p layout) bodyAt() int64      { return p.statesEnd() + checksumSize }
func (p layout) byExpiresAt() int64 { return p.entryAt(p.entries) }
func (p layout) byIDAt() int64      { return p.byExpiresAt() + int64(p.entries)*4 }
func (p layout) size() int64        { return p.byIDAt() + int64(p.entries)*8 + checksumSize }

func (p layout) entryAt(pos uint32) int64 { return p.bodyAt() + int64(pos)*entrySize }

// indexContents is the data from which an index is encoded.
type indexContents struct {
	number, size int64 // of the segment
	slots        uint32
	entries      []entry // by destination, and by acceptance within each
	dead         []deadEntry
	states       []byte
}

func (c *indexContents) encode() ([]byte, layout) {
	runs, keys := runsOf(c.entries), keysOf(c.entries)
	p := layout{slots: c.slots, entries: uint32(len(c.entries)), runs: uint32(len(runs)), keys: uint32(len(keys)),
		dead: uint32(len(c.dead)), states: uint32(len(c.states))}
	minExpiry, recordBytes := noExpiry, int64(0)
	f, bits := newFilter(len(c.entries)), newBitmap(c.slots)
	for i := range c.entries {
		e := &c.entries[i]
		minExpiry, recordBytes = min(minExpiry, e.expires), recordBytes+int64(e.length)
		f.add(e.id)
		bits.set(e.slot)
	}
	b := append(make([]byte, 0, p.size()), indexMagic...)
	b = put32(put64(b, c.number, c.size, minExpiry, recordBytes), p.slots, p.entries, p.runs, p.keys, p.dead, p.states)
	for _, r := range runs {
		b = put32(put64(b, r.dst, r.firstSeq), r.first, r.count)
	}
	for _, k := range keys {
		b = put32(put64(b, int64(k.key), k.dst), k.count)
	}
	for _, words := range [][]uint64{f, bits} {
		for _, v := range words {
			b = binary.LittleEndian.AppendUint64(b, v)
		}
	}
	for i := range c.dead {
		b = c.dead[i].appendTo(b)
	}
	b = append(b, c.states...)
	b = put32(b, crc32.ChecksumIEEE(b))
	return c.encodeBody(b), p
}

func (c *indexContents) encodeBody(b []byte) []byte {
	from := len(b)
	for i := range c.entries {
		b = c.entries[i].appendTo(b)
	}
	for _, v := range byExpires(c.entries) {
		b = put32(b, v.pos)
	}
	for _, v := range byID(c.entries) {
		b = put32(b, uint32(v>>32), uint32(v))
	}
	return put32(b, crc32.ChecksumIEEE(b[from:]))
}

// indexRun is the range of a destination's entries.
type indexRun struct {
	dst, firstSeq int64 // firstSeq: of the first entry
	first, count  uint32
}

func runsOf(entries []entry) (runs []indexRun) {
	for i := range entries {
		e := &entries[i]
		if k := len(runs); k == 0 || runs[k-1].dst != e.dst {
			runs = append(runs, indexRun{dst: e.dst, firstSeq: e.seq, first: uint32(i)})
		}
		runs[len(runs)-1].count++
	}
	return runs
}

// indexKey counts the entries with an order key for a destination.
type indexKey struct {
	key   uint64
	dst   int64
	count uint32
}

func keysOf(entries []entry) (keys []indexKey) {
	for i := range entries {
		if e := &entries[i]; e.key != 0 {
			keys = append(keys, indexKey{e.key, e.dst, 1})
		}
	}
	slices.SortFunc(keys, func(a, b indexKey) int { return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.dst, b.dst)) })
	n := 0
	for _, k := range keys {
		if n > 0 && keys[n-1].key == k.key && keys[n-1].dst == k.dst {
			keys[n-1].count++
			continue
		}
		keys[n] = k
		n++
	}
	return keys[:n]
}

type expiry struct {
	at  int64
	pos uint32
}

// byExpires lists positions of entries in the order of their expiry.
func byExpires(entries []entry) []expiry {
	all := make([]expiry, len(entries))
	for i := range entries {
		all[i] = expiry{entries[i].expires, uint32(i)}
	}
	slices.SortFunc(all, func(a, b expiry) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.pos, b.pos)) })
	return all
}

// byID sorts entries by the upper half of their ID hash. Each item holds that half, and the position in its lower half.
func byID(entries []entry) []uint64 {
	all := make([]uint64, len(entries))
	for i := range entries {
		all[i] = entries[i].id>>32<<32 | uint64(i)
	}
	slices.Sort(all)
	return all
}

// summary is the front part of an index, after verification.
type summary struct {
	layout
	minExpiry, recordBytes int64 // earliest Expires (µs since 1970), and bytes of the entries' records
	data                   []byte
}

// readSummary reads and verifies the summary of an index of the given size, using buf if it is large enough. A layout is used
// only if it matches the file's size, since a flipped bit could otherwise request any amount of memory.
func readSummary(f io.ReaderAt, size, number int64, buf []byte) (sum summary, ok bool) {
	header := make([]byte, indexHeaderSize)
	if _, err := f.ReadAt(header, 0); err != nil || string(header[:len(indexMagic)]) != indexMagic {
		return sum, false
	}
	le := binary.LittleEndian
	sum.minExpiry, sum.recordBytes = int64(le.Uint64(header[24:])), int64(le.Uint64(header[32:]))
	sum.layout = layout{slots: le.Uint32(header[40:]), entries: le.Uint32(header[44:]), runs: le.Uint32(header[48:]), keys: le.Uint32(header[52:]),
		dead: le.Uint32(header[56:]), states: le.Uint32(header[60:])}
	if int64(le.Uint64(header[8:])) != number || sum.layout.size() != size {
		return sum, false
	}
	sum.data = slices.Grow(buf[:0], int(sum.bodyAt()))[:sum.bodyAt()]
	if _, err := f.ReadAt(sum.data, 0); err != nil {
		return sum, false
	}
	end := sum.statesEnd()
	return sum, le.Uint32(sum.data[end:]) == crc32.ChecksumIEEE(sum.data[:end])
}

func (sum *summary) eachRun(f func(indexRun)) {
	le := binary.LittleEndian
	for b := sum.data[indexHeaderSize:sum.keysAt()]; len(b) > 0; b = b[runSize:] {
		f(indexRun{int64(le.Uint64(b)), int64(le.Uint64(b[8:])), le.Uint32(b[16:]), le.Uint32(b[20:])})
	}
}

func (sum *summary) eachKey(f func(indexKey)) {
	le := binary.LittleEndian
	for b := sum.data[sum.keysAt():sum.filterAt()]; len(b) > 0; b = b[keySize:] {
		f(indexKey{le.Uint64(b), int64(le.Uint64(b[8:])), le.Uint32(b[16:])})
	}
}

func (sum *summary) eachDead(f func(*deadEntry)) {
	var d deadEntry
	for b := sum.data[sum.deadAt():sum.statesAt()]; len(b) > 0; b = b[deadEntrySize:] {
		d.decode(b)
		f(&d)
	}
}

func (sum *summary) uint64s(start, end int64) []uint64 {
	all := make([]uint64, 0, (end-start)/8)
	for b := sum.data[start:end]; len(b) > 0; b = b[8:] {
		all = append(all, binary.LittleEndian.Uint64(b))
	}
	return all
}

func (sum *summary) filter() filter { return sum.uint64s(sum.filterAt(), sum.bitsAt()) }
func (sum *summary) bitmap() bitmap { return sum.uint64s(sum.bitsAt(), sum.deadAt()) }
func (sum *summary) states() []byte { return sum.data[sum.statesAt():sum.statesEnd()] }

// bodyIntact verifies the checksum at the end of an index body.
func bodyIntact(body []byte) bool {
	end := len(body) - checksumSize
	return end >= 0 && binary.LittleEndian.Uint32(body[end:]) == crc32.ChecksumIEEE(body[:end])
}

// eachEntry iterates over the entries of an index body.
func eachEntry(body []byte, p layout, f func(pos uint32, e *entry)) {
	var e entry
	for pos := range p.entries {
		e.decode(body[int(pos)*entrySize:])
		f(pos, &e)
	}
}

func (s *Spool) indexPath(seg *segment) string {
	return filepath.Join(s.dir, fmt.Sprintf("%012d%s", seg.number, indexExtension))
}
