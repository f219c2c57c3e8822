package spool

import (
	"fmt"
	"maps"
	"os"
	"slices"
)

const (
	mostSegment = 2 << 20 // bytes, with the backlog on: bounds the entries in memory, the replay at a start, and the time that sealing takes
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
	for _, dst := range slices.Sorted(maps.Keys(n.byDst)) {
		l := n.byDst[dst]
		n.sort(l)
		for _, slot := range l.slots {
			if e := &n.entries[slot]; e.owed {
				all = append(all, e.entry)
			}
		}
	}
	return all
}

// sort has the slots of a destination stand in the order taken on.
func (n *newest) sort(l *list) {
	if l.unsorted {
		slices.SortFunc(l.slots, func(a, b uint32) int { return n.entries[a].compare(&n.entries[b].entry) })
		l.unsorted, l.next = false, 0
	}
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
	b.closed += n.seg.bothBlocks()
	b.waiting++
	b.adopt(n.seg, image)
	if !b.opening {
		b.settle(n.seg, tallyOf(n.seg, image, func(*entry) {}))
	}
	s.flush()
}

// adopt makes the filter of a sealed segment.
func (b *backlog) adopt(seg *segment, index []byte) {
	r := seg.sealed
	r.filter = newFilter(int(r.shape.entries))
	eachEntry(index, r.shape, func(_ uint32, e *entry) { r.filter.add(e.id) })
}

// tally is what the spilled entries of a sealed segment come to.
type tally struct {
	dsts  []int64 // of the runs
	runs  []run
	due   int64
	bytes int64 // of their records
	keyed bool  // some have an order key
}

// tallyOf goes through an index. Entries of a destination stand together there.
func tallyOf(seg *segment, index []byte, key func(*entry)) (t tally) {
	t.due = never
	r := seg.sealed
	eachEntry(index, r.shape, func(pos uint32, e *entry) {
		if !r.spilled.has(e.slot) {
			return
		}
		t.due = min(t.due, e.expires)
		t.bytes += int64(e.length)
		if k := len(t.dsts); k == 0 || t.dsts[k-1] != e.dst {
			t.dsts = append(t.dsts, e.dst)
			t.runs = append(t.runs, run{seg: seg, taken: e.taken, next: pos})
		}
		t.runs[len(t.runs)-1].left++
		if e.key != 0 {
			t.keyed = true
			key(e)
		}
	})
	return t
}

// settle has the runs of a sealed segment stand.
func (b *backlog) settle(seg *segment, t tally) {
	seg.sealed.due, seg.sealed.cursor = t.due, 0
	for i, dst := range t.dsts {
		l := b.line(dst)
		l.runs = append(l.runs, t.runs[i])
	}
	if seg.sealed.left == 0 {
		seg.sealed.filter = nil
	}
}

// flush writes the indexes that wait, oldest first.
func (s *Spool) flush() {
	if s.backlog.waiting == 0 {
		return
	}
	for _, seg := range s.order {
		if seg.sealed == nil || seg.sealed.image == nil {
			continue
		}
		if s.writeIndex(seg) != nil {
			return
		}
		seg.sealed.image = nil
		s.backlog.waiting--
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
	if s.backlog == nil || s.backlog.waiting < mostImages {
		return false
	}
	s.flush()
	return s.backlog.waiting >= mostImages
}

// usedBoth is the part of the room that is in use with the backlog on: segments and indexes, the newest one's to come too.
func (s *Spool) usedBoth() int64 {
	sum := s.foreign + s.backlog.closed
	if n := s.backlog.newest; n != nil {
		sum += n.seg.blocks() + blocks(n.indexSize(len(s.owed)))
	}
	return sum
}

// bothBlocks is what a sealed segment and its index take.
func (seg *segment) bothBlocks() int64 { return seg.blocks() + blocks(seg.sealed.shape.size()) }
