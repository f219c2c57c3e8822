package spool

import (
	"cmp"
	"fmt"
	"os"
	"slices"
)

const (
	mostSegment = 8 << 20 // bytes, with the backlog on; what the newest segment's entries in memory are bounded by
	mostImages  = 4       // indexes that wait in memory to be written, before nothing more is taken on
	perWorking  = 32      // bytes of an index, about, for each message that is working
)

// sealed is what memory keeps of a segment that is written no more.
type sealed struct {
	shape   shape
	spilled bitmap // by slot
	left    int    // bits set
	filter  filter // of ids; nil once nothing is spilled
	due     int64  // lower bound of Expires of what is spilled, µs since 1970
	cursor  uint32 // into the order by Expires: nothing in front of it is spilled
	image   []byte // the index, as long as it could not be written; nil then
	checked bool   // the index was found whole when a record was not
}

// slotted is an entry of the newest segment.
type slotted struct {
	entry
	owed, spilled bool
}

// list is what the newest segment holds for one destination.
type list struct {
	slots    []uint32
	next     int // none in front of it is spilled
	unsorted bool
}

// newest is what memory keeps of the segment written to. It is bounded by the segment's size, and emptied when that is sealed.
type newest struct {
	seg     *segment
	entries []slotted         // of all taken records, by slot
	byID    map[uint64]uint32 // the latest slot
	byDst   map[int64]*list
	dead    []ref // of older segments, that records of this one ended or moved
	owed    int
	left    int   // spilled
	due     int64 // lower bound, as of a sealed one
}

func newNewest(seg *segment) *newest {
	return &newest{seg: seg, byID: map[uint64]uint32{}, byDst: map[int64]*list{}, due: never}
}

// add enters a taken record.
func (n *newest) add(e entry, spilled bool) uint32 {
	e.slot = uint32(len(n.entries))
	n.entries = append(n.entries, slotted{entry: e, owed: true})
	n.byID[e.id] = e.slot
	l := n.byDst[e.dst]
	if l == nil {
		l = &list{}
		n.byDst[e.dst] = l
	}
	if k := len(l.slots); k > 0 && e.compare(&n.entries[l.slots[k-1]].entry) < 0 {
		l.unsorted = true
	}
	l.slots = append(l.slots, e.slot)
	n.owed++
	if spilled {
		n.spill(e.slot)
	}
	return e.slot
}

func (n *newest) spill(slot uint32) {
	e := &n.entries[slot]
	if !e.spilled {
		e.spilled = true
		n.left++
		n.due = min(n.due, e.expires)
		n.byDst[e.dst].next = 0
	}
}

func (n *newest) unspill(slot uint32) {
	if e := &n.entries[slot]; e.spilled {
		e.spilled = false
		if n.left--; n.left == 0 {
			n.due = never
		}
	}
}

// die forgets a slot that is owed no more, or not here.
func (n *newest) die(slot uint32) {
	n.unspill(slot)
	if e := &n.entries[slot]; e.owed {
		e.owed = false
		n.owed--
	}
}

// sorted lists what is owed by destination, and within it in the order taken on.
func (n *newest) sorted() []entry {
	all := make([]entry, 0, n.owed)
	for i := range n.entries {
		if n.entries[i].owed {
			all = append(all, n.entries[i].entry)
		}
	}
	slices.SortFunc(all, func(a, b entry) int { return cmp.Or(cmp.Compare(a.dst, b.dst), a.compare(&b)) })
	return all
}

// indexSize is about that of the index to come.
func (n *newest) indexSize(working int) int64 {
	p := shape{entries: uint32(n.owed), dead: uint32(len(n.dead)), states: uint32(working * perWorking)}
	return p.size()
}

// seal makes the index of the segment that was the newest. One that cannot be written waits in memory and is tried again.
func (s *Spool) seal() {
	b := s.backlog
	n := b.newest
	if n == nil {
		return
	}
	image, p := encodeIndex(n.seg, n, s.owed)
	n.seg.sealed = &sealed{shape: p, spilled: newBitmap(p.slots), left: n.left, image: image}
	for i := range n.entries {
		if n.entries[i].spilled {
			n.seg.sealed.spilled.set(uint32(i))
		}
	}
	b.newest = nil
	b.adopt(n.seg, image)
	if !b.opening {
		b.tally(n.seg, image, false)
	}
	s.flush()
}

// adopt makes the filter of a sealed segment.
func (b *backlog) adopt(seg *segment, index []byte) {
	r := seg.sealed
	r.filter = newFilter(int(r.shape.entries))
	eachEntry(index, r.shape, func(_ uint32, e *entry) { r.filter.add(e.id) })
}

// tally makes the runs of a sealed segment; count says whether its messages are to be counted too, as at a start.
func (b *backlog) tally(seg *segment, index []byte, count bool) {
	r := seg.sealed
	r.due, r.cursor = never, 0
	var of *run
	var dst int64
	eachEntry(index, r.shape, func(pos uint32, e *entry) {
		if !r.spilled.has(e.slot) {
			return
		}
		r.due = min(r.due, e.expires)
		l := b.line(e.dst)
		if of == nil || dst != e.dst {
			l.runs = append(l.runs, run{seg: seg, taken: e.taken, next: pos})
			of, dst = &l.runs[len(l.runs)-1], e.dst
		}
		of.left++
		if count {
			b.count(e, 1)
			seg.owed++
			seg.live += int64(e.length)
		}
	})
	if r.left == 0 {
		r.filter = nil
	}
}

// flush writes the indexes that wait, oldest first.
func (s *Spool) flush() {
	for _, seg := range s.order {
		if seg.sealed == nil || seg.sealed.image == nil {
			continue
		}
		if s.writeIndex(seg) != nil {
			return
		}
		seg.sealed.image = nil
	}
}

// writeIndex has an index stand under its name whole or not at all.
func (s *Spool) writeIndex(seg *segment) error {
	name, b := s.indexPath(seg), s.backlog
	b.step()
	if err := b.write(name+unfinished, seg.sealed.image); err != nil {
		_ = os.Remove(name + unfinished)
		return fmt.Errorf("spool: %w", err)
	}
	b.step()
	if err := b.rename(name+unfinished, name); err != nil {
		_ = os.Remove(name + unfinished)
		return fmt.Errorf("spool: %w", err)
	}
	b.step()
	return nil
}

// crowded tells whether too many indexes wait to be written. Danger: without a bound a disk that takes records but no index has memory
// grow with all that is owed.
func (s *Spool) crowded() bool {
	if s.backlog == nil || s.images() < mostImages {
		return false
	}
	s.flush()
	return s.images() >= mostImages
}

func (s *Spool) images() (n int) {
	for _, seg := range s.order {
		if seg.sealed != nil && seg.sealed.image != nil {
			n++
		}
	}
	return n
}

// indexSizes is the part of the room that indexes take, the newest one's to come too.
func (s *Spool) indexSizes() (sum int64) {
	for _, seg := range s.order {
		if seg.sealed != nil {
			sum += blocks(seg.sealed.shape.size())
		}
	}
	if n := s.backlog.newest; n != nil {
		sum += blocks(n.indexSize(len(s.owed)))
	}
	return sum
}
