package spool

import (
	"fmt"
	"maps"
	"os"
	"slices"
)

const (
	mostSegment = 4 << 20 // bytes, with the backlog on: bounds the replay at a start
	mostSlots   = 26_000  // taken records of a segment and dead ones that its index tells of: bounds memory and the time that sealing takes
	mostImages  = 4       // indexes that wait in memory to be written, before nothing more is taken on
	perWorking  = 48      // bytes of an index, about, for each message that is working
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
	checked bool   // the body of the index was found whole
	trusted bool   // and again, when a record was not
	pinned  bool   // some that could not be read are kept for the next start
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
	dead    []dead // of older segments, that records of this one ended or moved
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

// full tells whether there is enough to seal. Danger: sealing sorts it all with the lock held.
func (n *newest) full(most int) bool { return len(n.entries)+len(n.dead) >= most }

// indexSize is about that of the index to come.
func (n *newest) indexSize(working int) int64 {
	p := shape{slots: uint32(len(n.entries)), entries: uint32(n.owed), runs: uint32(min(n.owed, len(n.byDst))), dead: uint32(len(n.dead)),
		states: uint32(working * perWorking)}
	return p.size()
}

// seal makes the index of the segment that was the newest. One that cannot be written waits in memory and is tried again.
func (s *Spool) seal() {
	b := s.backlog
	n := b.newest
	if n == nil {
		return
	}
	c := contents{number: n.seg.number, size: n.seg.size, slots: uint32(len(n.entries)), entries: n.sorted(), dead: n.dead,
		states: encodeStates(s.owed)}
	r := &sealed{spilled: newBitmap(c.slots), left: n.left, filter: newFilter(len(c.entries))}
	r.image, r.shape = c.encode()
	for i := range c.entries {
		if e := &c.entries[i]; n.entries[e.slot].spilled {
			r.spilled.set(e.slot)
		}
		r.filter.add(c.entries[i].id)
	}
	n.seg.sealed, b.newest = r, nil
	b.weigh(n.seg, 1)
	b.waiting++
	b.settle(n.seg, c.entries, false)
	s.flush()
}

// settle has the runs of a sealed segment stand; count says whether what is spilled is to be counted by destination, too.
func (b *backlog) settle(seg *segment, entries []entry, count bool) {
	r := seg.sealed
	r.due, r.cursor = never, 0
	for i := 0; i < len(entries); {
		dst, of := entries[i].dst, run{seg: seg, taken: entries[i].taken, next: uint32(i)}
		for ; i < len(entries) && entries[i].dst == dst; i++ {
			if r.spilled.has(entries[i].slot) {
				of.left++
				r.due = min(r.due, entries[i].expires)
			}
		}
		if of.left == 0 && !b.opening {
			continue
		}
		l := b.line(dst)
		l.add(of)
		if count {
			l.left += int(of.left)
			b.all += int(of.left)
		}
	}
	if r.left == 0 && !b.opening {
		r.filter = nil
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

// weigh takes the bytes of a sealed segment and its index into the sums, or out of them.
func (b *backlog) weigh(seg *segment, by int64) {
	b.closed += by * seg.blocks()
	b.indexes += by * blocks(seg.sealed.shape.size())
}

// usedBoth is the part of the room that is in use with the backlog on: segments and indexes, the newest one's to come too.
func (s *Spool) usedBoth() int64 {
	sum := s.usedBySegments() + s.backlog.indexes
	if n := s.backlog.newest; n != nil {
		sum += blocks(n.indexSize(len(s.owed)))
	}
	return sum
}

func (s *Spool) usedBySegments() int64 {
	sum := s.foreign + s.backlog.closed
	if n := s.backlog.newest; n != nil {
		sum += n.seg.blocks()
	}
	return sum
}

// fitsBare tells whether so many bytes more stay within the room, indexes not counted. Danger: with them counted, a folder that was full the
// old way could get rid of nothing any more.
func (s *Spool) fitsBare(n int64) bool { return s.usedBySegments()+n+2*block <= s.room }
