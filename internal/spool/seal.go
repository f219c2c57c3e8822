package spool

import (
	"fmt"
	"maps"
	"os"
	"slices"
)

const (
	maxSegmentSize      = 4 << 20 // bytes, with the backlog enabled: bounds the replay at a start
	maxSlots            = 26_000  // accepted records of a segment plus dead entries in its index: bounds memory and the duration of sealing
	maxUnwrittenIndexes = 4       // indexes held in memory until they can be written; at this number no further message is accepted
	stateSizeEstimate   = 48      // bytes, approximate size in the index of an active message's state
)

// sealed is the in-memory state of a segment that is not written any more.
type sealed struct {
	layout         layout
	spilled        bitmap // by slot
	spilledCount   int    // bits set
	filter         filter // of IDs; nil once nothing is spilled
	minExpiry      int64  // lower bound of Expires of the spilled messages, µs since 1970
	expiryCursor   uint32 // position in the expiry order; no earlier entry is spilled
	image          []byte // the encoded index until it is written, then nil
	bodyVerified   bool   // the body of the index was found intact
	bodyReverified bool   // checked again after a damaged record
	pinned         bool   // has unreadable messages that are kept for the next start
}

// newestEntry is an entry of the newest segment.
type newestEntry struct {
	entry
	pending, spilled bool
}

// slotList lists the slots of one destination in the newest segment.
type slotList struct {
	slots    []uint32
	next     int // no earlier slot is spilled
	unsorted bool
}

// newestState is the in-memory state of the newest segment. The segment's size bounds it, and sealing discards it.
type newestState struct {
	seg          *segment
	entries      []newestEntry     // of all accepted records, by slot
	byID         map[uint64]uint32 // the latest slot
	byDst        map[int64]*slotList
	dead         []deadEntry // entries of older segments that records of this one completed or moved
	pending      int
	spilledCount int
	minExpiry    int64 // lower bound, as in sealed
}

func newNewestState(seg *segment) *newestState {
	return &newestState{seg: seg, byID: map[uint64]uint32{}, byDst: map[int64]*slotList{}, minExpiry: noExpiry}
}

// add adds an accepted record.
func (n *newestState) add(e entry, spilled bool) uint32 {
	e.slot = uint32(len(n.entries))
	n.entries = append(n.entries, newestEntry{entry: e, pending: true})
	n.byID[e.id] = e.slot
	l := n.byDst[e.dst]
	if l == nil {
		l = &slotList{}
		n.byDst[e.dst] = l
	}
	if k := len(l.slots); k > 0 && e.compare(&n.entries[l.slots[k-1]].entry) < 0 {
		l.unsorted = true
	}
	l.slots = append(l.slots, e.slot)
	n.pending++
	if spilled {
		n.spill(e.slot)
	}
	return e.slot
}

func (n *newestState) spill(slot uint32) {
	e := &n.entries[slot]
	if !e.spilled {
		e.spilled = true
		n.spilledCount++
		n.minExpiry = min(n.minExpiry, e.expires)
		n.byDst[e.dst].next = 0
	}
}

func (n *newestState) unspill(slot uint32) {
	if e := &n.entries[slot]; e.spilled {
		e.spilled = false
		if n.spilledCount--; n.spilledCount == 0 {
			n.minExpiry = noExpiry
		}
	}
}

// markDead marks a slot as completed or moved.
func (n *newestState) markDead(slot uint32) {
	n.unspill(slot)
	if e := &n.entries[slot]; e.pending {
		e.pending = false
		n.pending--
	}
}

// sortedPending lists pending entries by destination, and by acceptance within each.
func (n *newestState) sortedPending() []entry {
	all := make([]entry, 0, n.pending)
	for _, dst := range slices.Sorted(maps.Keys(n.byDst)) {
		l := n.byDst[dst]
		n.sortSlots(l)
		for _, slot := range l.slots {
			if e := &n.entries[slot]; e.pending {
				all = append(all, e.entry)
			}
		}
	}
	return all
}

// sortSlots sorts the slots of a destination by acceptance.
func (n *newestState) sortSlots(l *slotList) {
	if l.unsorted {
		slices.SortFunc(l.slots, func(a, b uint32) int { return n.entries[a].compare(&n.entries[b].entry) })
		l.unsorted, l.next = false, 0
	}
}

// isFull reports whether the segment has to be sealed. Sealing sorts all entries with the lock held, hence the limit.
func (n *newestState) isFull(limit int) bool { return len(n.entries)+len(n.dead) >= limit }

// estimateIndexSize estimates the size of the segment's future index.
func (n *newestState) estimateIndexSize(active int) int64 {
	p := layout{slots: uint32(len(n.entries)), entries: uint32(n.pending), runs: uint32(min(n.pending, len(n.byDst))), dead: uint32(len(n.dead)),
		states: uint32(active * stateSizeEstimate)}
	return p.size()
}

// seal creates the index of the segment that was the newest. An index that cannot be written stays in memory, and the write is retried.
func (s *Spool) seal() {
	b := s.backlog
	n := b.newest
	if n == nil {
		return
	}
	c := indexContents{number: n.seg.number, size: n.seg.size, slots: uint32(len(n.entries)), entries: n.sortedPending(), dead: n.dead,
		states: encodeStates(s.pending)}
	r := &sealed{spilled: newBitmap(c.slots), spilledCount: n.spilledCount, filter: newFilter(len(c.entries))}
	r.image, r.layout = c.encode()
	for i := range c.entries {
		if e := &c.entries[i]; n.entries[e.slot].spilled {
			r.spilled.set(e.slot)
		}
		r.filter.add(c.entries[i].id)
	}
	n.seg.sealed, b.newest = r, nil
	b.addUsage(n.seg, 1)
	b.unwritten++
	b.addRuns(n.seg, c.entries, false)
	s.flushIndexes()
}

// addRuns adds the runs of a sealed segment. With addCounts it also counts the spilled messages by destination.
func (b *backlog) addRuns(seg *segment, entries []entry, addCounts bool) {
	r := seg.sealed
	r.minExpiry, r.expiryCursor = noExpiry, 0
	for i := 0; i < len(entries); {
		dst, destRun := entries[i].dst, run{seg: seg, nextSeq: entries[i].seq, next: uint32(i)}
		for ; i < len(entries) && entries[i].dst == dst; i++ {
			if r.spilled.has(entries[i].slot) {
				destRun.count++
				r.minExpiry = min(r.minExpiry, entries[i].expires)
			}
		}
		if destRun.count == 0 && !b.recovering {
			continue
		}
		l := b.dest(dst)
		l.insertRun(destRun)
		if addCounts {
			l.count += int(destRun.count)
			b.total += int(destRun.count)
		}
	}
	if r.spilledCount == 0 && !b.recovering {
		r.filter = nil
	}
}

// flushIndexes writes the indexes held in memory, oldest first.
func (s *Spool) flushIndexes() {
	if s.backlog.unwritten == 0 {
		return
	}
	for _, seg := range s.segments {
		if seg.sealed == nil || seg.sealed.image == nil {
			continue
		}
		if s.writeIndex(seg) != nil {
			return
		}
		seg.sealed.image = nil
		s.backlog.unwritten--
	}
}

// writeIndex writes an index atomically, by a temporary file and a rename.
func (s *Spool) writeIndex(seg *segment) error {
	name, b := s.indexPath(seg), s.backlog
	b.crashPoint()
	if err := b.writeFile(name+tmpSuffix, seg.sealed.image); err != nil {
		_ = os.Remove(name + tmpSuffix)
		return fmt.Errorf("spool: %w", err)
	}
	b.crashPoint()
	if err := b.rename(name+tmpSuffix, name); err != nil {
		_ = os.Remove(name + tmpSuffix)
		return fmt.Errorf("spool: %w", err)
	}
	b.crashPoint()
	return nil
}

// tooManyUnwritten reports whether too many indexes are held in memory. Without this bound, memory would grow with the number of pending
// messages on a disk that takes records but no index.
func (s *Spool) tooManyUnwritten() bool {
	if s.backlog == nil || s.backlog.unwritten < maxUnwrittenIndexes {
		return false
	}
	s.flushIndexes()
	return s.backlog.unwritten >= maxUnwrittenIndexes
}

// addUsage adds the sizes of a sealed segment and its index to the totals, or subtracts them.
func (b *backlog) addUsage(seg *segment, sign int64) {
	b.sealedBytes += sign * seg.diskSize()
	b.indexBytes += sign * roundToBlocks(seg.sealed.layout.size())
}

// usedWithIndexes is the space in use with the backlog enabled: segments and indexes, including the future index of the newest segment.
func (s *Spool) usedWithIndexes() int64 {
	sum := s.usedBySegments() + s.backlog.indexBytes
	if n := s.backlog.newest; n != nil {
		sum += roundToBlocks(n.estimateIndexSize(len(s.pending)))
	}
	return sum
}

func (s *Spool) usedBySegments() int64 {
	sum := s.foreignBytes + s.backlog.sealedBytes
	if n := s.backlog.newest; n != nil {
		sum += n.seg.diskSize()
	}
	return sum
}

// fitsWithoutIndexes reports whether n more bytes stay within the capacity, not counting indexes. If they counted, a folder filled by
// Open could not record completions any more.
func (s *Spool) fitsWithoutIndexes(n int64) bool {
	return s.usedBySegments()+n+2*blockSize <= s.capacity
}
