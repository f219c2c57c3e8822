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

// The index file of a sealed segment: a head, the brief, which a start reads, and the body, which is read in parts once something is looked
// for. Brief and body end in a CRC-32 each. All numbers but the states are little-endian and of fixed size.
const (
	indexMagic     = "rvlidx1\n"
	indexExtension = ".idx"
	unfinished     = ".tmp" // behind the name while it is written
	indexHead      = 64     // bytes
	runSize        = 24     // bytes
	keySize        = 20     // bytes
	deadSize       = 32     // bytes
	entrySize      = 56     // bytes
	sumSize        = 4      // bytes
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
	b = put64(b, e.dst, e.expires, e.taken, int64(e.id), int64(e.key), e.offset)
	return put32(b, e.length, e.slot)
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

// dead is a taken record of an older segment that is owed no more, or no more there, and what the counts need to know of it.
type dead struct {
	segment int64
	entry   // slot, length, dst and key alone
}

func (d *dead) put(b []byte) []byte {
	return put32(put64(b, d.segment, d.dst, int64(d.key)), d.slot, d.length)
}

func (d *dead) get(b []byte) {
	le := binary.LittleEndian
	d.segment, d.dst, d.key = int64(le.Uint64(b)), int64(le.Uint64(b[8:])), le.Uint64(b[16:])
	d.slot, d.length = le.Uint32(b[24:]), le.Uint32(b[28:])
}

// shape tells how many of each thing an index holds, and so where each stands.
type shape struct {
	slots, entries, runs, keys, dead, states uint32 // states: bytes
}

func (p shape) keysAt() int64      { return indexHead + int64(p.runs)*runSize }
func (p shape) filterAt() int64    { return p.keysAt() + int64(p.keys)*keySize }
func (p shape) bitsAt() int64      { return p.filterAt() + int64(filterLen(int(p.entries)))*8 }
func (p shape) deadAt() int64      { return p.bitsAt() + int64(bitmapLen(p.slots))*8 }
func (p shape) statesAt() int64    { return p.deadAt() + int64(p.dead)*deadSize }
func (p shape) statesEnd() int64   { return p.statesAt() + int64(p.states) }
func (p shape) bodyAt() int64      { return p.statesEnd() + sumSize }
func (p shape) byExpiresAt() int64 { return p.entryAt(p.entries) }
func (p shape) byIDAt() int64      { return p.byExpiresAt() + int64(p.entries)*4 }
func (p shape) size() int64        { return p.byIDAt() + int64(p.entries)*8 + sumSize }

func (p shape) entryAt(pos uint32) int64 { return p.bodyAt() + int64(pos)*entrySize }

// contents is what an index is made of.
type contents struct {
	number, size int64 // of the segment
	slots        uint32
	entries      []entry // by destination, and within it in the order taken on
	dead         []dead
	states       []byte
}

func (c *contents) encode() ([]byte, shape) {
	runs, keys := runsOf(c.entries), keysOf(c.entries)
	p := shape{slots: c.slots, entries: uint32(len(c.entries)), runs: uint32(len(runs)), keys: uint32(len(keys)),
		dead: uint32(len(c.dead)), states: uint32(len(c.states))}
	due, bytes := never, int64(0)
	f, bits := newFilter(len(c.entries)), newBitmap(c.slots)
	for i := range c.entries {
		e := &c.entries[i]
		due, bytes = min(due, e.expires), bytes+int64(e.length)
		f.add(e.id)
		bits.set(e.slot)
	}
	b := append(make([]byte, 0, p.size()), indexMagic...)
	b = put32(put64(b, c.number, c.size, due, bytes), p.slots, p.entries, p.runs, p.keys, p.dead, p.states)
	for _, r := range runs {
		b = put32(put64(b, r.dst, r.taken), r.first, r.count)
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
		b = c.dead[i].put(b)
	}
	b = append(b, c.states...)
	b = put32(b, crc32.ChecksumIEEE(b))
	return c.encodeBody(b), p
}

func (c *contents) encodeBody(b []byte) []byte {
	from := len(b)
	for i := range c.entries {
		b = c.entries[i].put(b)
	}
	for _, v := range byExpires(c.entries) {
		b = put32(b, v.pos)
	}
	for _, v := range byID(c.entries) {
		b = put32(b, uint32(v>>32), uint32(v))
	}
	return put32(b, crc32.ChecksumIEEE(b[from:]))
}

// indexRun is a destination's part of the entries.
type indexRun struct {
	dst, taken   int64 // taken: of the first
	first, count uint32
}

func runsOf(entries []entry) (runs []indexRun) {
	for i := range entries {
		e := &entries[i]
		if k := len(runs); k == 0 || runs[k-1].dst != e.dst {
			runs = append(runs, indexRun{dst: e.dst, taken: e.taken, first: uint32(i)})
		}
		runs[len(runs)-1].count++
	}
	return runs
}

// indexKey counts entries of an order key to a destination.
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

// brief is the front part of an index, whole.
type brief struct {
	shape
	due, bytes int64 // earliest Expires (µs since 1970) and bytes of the records of its entries
	data       []byte
}

// readBrief reads that part of an index of so many bytes. It stands in the buffer given, if that is large enough. Danger: only a shape that
// fits the file's size is believed, or a flipped bit would ask for any amount of memory.
func readBrief(f io.ReaderAt, size, number int64, buf []byte) (t brief, ok bool) {
	head := make([]byte, indexHead)
	if _, err := f.ReadAt(head, 0); err != nil || string(head[:len(indexMagic)]) != indexMagic {
		return t, false
	}
	le := binary.LittleEndian
	t.due, t.bytes = int64(le.Uint64(head[24:])), int64(le.Uint64(head[32:]))
	t.shape = shape{slots: le.Uint32(head[40:]), entries: le.Uint32(head[44:]), runs: le.Uint32(head[48:]), keys: le.Uint32(head[52:]),
		dead: le.Uint32(head[56:]), states: le.Uint32(head[60:])}
	if int64(le.Uint64(head[8:])) != number || t.shape.size() != size {
		return t, false
	}
	t.data = slices.Grow(buf[:0], int(t.bodyAt()))[:t.bodyAt()]
	if _, err := f.ReadAt(t.data, 0); err != nil {
		return t, false
	}
	end := t.statesEnd()
	return t, le.Uint32(t.data[end:]) == crc32.ChecksumIEEE(t.data[:end])
}

func (t *brief) eachRun(f func(indexRun)) {
	le := binary.LittleEndian
	for b := t.data[indexHead:t.keysAt()]; len(b) > 0; b = b[runSize:] {
		f(indexRun{int64(le.Uint64(b)), int64(le.Uint64(b[8:])), le.Uint32(b[16:]), le.Uint32(b[20:])})
	}
}

func (t *brief) eachKey(f func(indexKey)) {
	le := binary.LittleEndian
	for b := t.data[t.keysAt():t.filterAt()]; len(b) > 0; b = b[keySize:] {
		f(indexKey{le.Uint64(b), int64(le.Uint64(b[8:])), le.Uint32(b[16:])})
	}
}

func (t *brief) eachDead(f func(*dead)) {
	var d dead
	for b := t.data[t.deadAt():t.statesAt()]; len(b) > 0; b = b[deadSize:] {
		d.get(b)
		f(&d)
	}
}

func (t *brief) words(from, to int64) []uint64 {
	all := make([]uint64, 0, (to-from)/8)
	for b := t.data[from:to]; len(b) > 0; b = b[8:] {
		all = append(all, binary.LittleEndian.Uint64(b))
	}
	return all
}

func (t *brief) filter() filter { return t.words(t.filterAt(), t.bitsAt()) }
func (t *brief) bits() bitmap   { return t.words(t.bitsAt(), t.deadAt()) }
func (t *brief) states() []byte { return t.data[t.statesAt():t.statesEnd()] }

// bodyWhole tells whether the body of an index is as it was written; data ends with it.
func bodyWhole(body []byte) bool {
	end := len(body) - sumSize
	return end >= 0 && binary.LittleEndian.Uint32(body[end:]) == crc32.ChecksumIEEE(body[:end])
}

// eachEntry goes through the body of an index.
func eachEntry(body []byte, p shape, f func(pos uint32, e *entry)) {
	var e entry
	for pos := range p.entries {
		e.get(body[int(pos)*entrySize:])
		f(pos, &e)
	}
}

func (s *Spool) indexPath(seg *segment) string {
	return filepath.Join(s.dir, fmt.Sprintf("%012d%s", seg.number, indexExtension))
}
