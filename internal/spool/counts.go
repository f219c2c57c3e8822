package spool

import (
	"cmp"
	"slices"
)

// destSpill counts and locates the spilled messages of one destination.
type destSpill struct {
	count int
	runs  []run // by segment, oldest first; the newest segment has none
}

// run locates the spilled messages of one destination in a sealed segment; they are adjacent in its index.
type run struct {
	seg     *segment
	nextSeq int64  // acceptance number of the entry at next
	next    uint32 // index position; no earlier entry of the run is spilled
	count   uint32
}

func (b *backlog) dest(dst int64) *destSpill {
	l := b.dests[dst]
	if l == nil {
		l = &destSpill{}
		b.dests[dst] = l
	}
	return l
}

// pruneDest removes a destination without spilled messages.
func (b *backlog) pruneDest(dst int64, l *destSpill) {
	if l.count == 0 && !b.recovering {
		delete(b.dests, dst)
	}
}

// findRun finds the run of a segment.
func (l *destSpill) findRun(seg *segment) (i int, found bool) {
	return slices.BinarySearchFunc(l.runs, seg.number, func(r run, number int64) int { return cmp.Compare(r.seg.number, number) })
}

func (l *destSpill) insertRun(r run) {
	i, _ := l.findRun(r.seg)
	l.runs = slices.Insert(l.runs, i, r)
}

// addCount adds a spilled message to the counts by destination and key, or subtracts it.
func (b *backlog) addCount(e *entry, delta int) {
	b.total += delta
	l := b.dest(e.dst)
	l.count += delta
	b.pruneDest(e.dst, l)
	if e.key != 0 && !b.keysDisabled {
		b.addKeyCount(e.key, e.dst, int32(delta))
	}
}

// DisableKeyCounts stops counting order keys: HasSpilledKey reports false, and Spill never returns ErrTooManyKeys. It is meant for
// configurations that preserve no order.
func (s *Spool) DisableKeyCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog != nil {
		s.backlog.keysDisabled, s.backlog.keys = true, nil
	}
}

// spilledKey counts the spilled messages of an order key.
type spilledKey struct {
	dst          int64 // destination of the first one spilled
	count        int32
	multipleDsts bool // at some time also spilled for another destination
}

func (b *backlog) addKeyCount(key uint64, dst int64, delta int32) {
	k, known := b.keys[key]
	if !known {
		k.dst = dst
	}
	k.count += delta
	k.multipleDsts = k.multipleDsts || k.dst != dst
	if k.count == 0 {
		delete(b.keys, key)
		return
	}
	b.keys[key] = k
}

// isSpilled reports whether a slot of the newest or of a sealed segment is spilled.
func (b *backlog) isSpilled(seg *segment, slot uint32) bool {
	if seg.sealed != nil {
		return seg.sealed.spilled.has(slot)
	}
	return b.newest != nil && b.newest.seg == seg && int(slot) < len(b.newest.entries) && b.newest.entries[slot].spilled
}

// unspill marks a slot as no longer spilled. It stays pending.
func (b *backlog) unspill(seg *segment, e *entry) {
	if r := seg.sealed; r == nil {
		b.newest.unspill(e.slot)
	} else {
		r.spilled.clear(e.slot)
		if r.spilledCount--; r.spilledCount == 0 && !b.recovering {
			r.filter, r.minExpiry = nil, noExpiry
		}
		b.shortenRun(seg, e.dst)
	}
	b.addCount(e, -1)
}

// shortenRun decrements the count of a run.
func (b *backlog) shortenRun(seg *segment, dst int64) {
	l := b.dest(dst)
	i, found := l.findRun(seg)
	if !found {
		return
	}
	if l.runs[i].count--; l.runs[i].count == 0 && !b.recovering {
		l.runs = slices.Delete(l.runs, i, i+1)
	}
}

// markDead marks a slot as completed or moved. If it is in an older segment, the index of the newest segment will record that.
func (b *backlog) markDead(seg *segment, e *entry) {
	if b.newest.seg == seg {
		b.newest.markDead(e.slot)
		return
	}
	b.newest.dead = append(b.newest.dead, deadEntry{seg.number, *e})
}

// dropSpilled removes a spilled slot that was completed or moved.
func (s *Spool) dropSpilled(seg *segment, e *entry) {
	s.backlog.unspill(seg, e)
	s.subtractLive(seg, e)
	s.backlog.markDead(seg, e)
}
