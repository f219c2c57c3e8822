package spool

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const readAhead = 256 << 10 // bytes of a segment that is replayed

// OpenBacklog is Open with the backlog on: messages may be spilled. Owed gives back those alone that have attempts and were not spilled
// with them, ended, are of a channel, or were loaded before; all others come back by Load and its kin. Segments are smaller than Open's,
// and each but the newest has an index file beside it, which is made again from the segment when it is missing or broken. That takes
// memory for the entries of one segment. Either way reads a folder of the other.
func OpenBacklog(dir string, room int64) (s *Spool, notes []string, err error) {
	return openBacklog(dir, room, newBacklog())
}

func openBacklog(dir string, room int64, b *backlog) (*Spool, []string, error) {
	s := &Spool{dir: dir, room: room, owed: map[string]*Message{}, backlog: b}
	b.opening = true
	names, err := filepath.Glob(filepath.Join(dir, "*"+extension))
	if err != nil {
		return nil, nil, fmt.Errorf("spool: %w", err)
	}
	slices.Sort(names)
	sweep(dir, names)
	r := &recovery{s: s, known: map[*segment]tally{}}
	for _, name := range names {
		r.segment(name)
	}
	if err := r.finish(); err != nil {
		return nil, r.notes, err
	}
	s.earlier = s.last > 0
	if err := s.startSegment(); err != nil {
		return nil, r.notes, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shrink()
	return s, r.notes, nil
}

// sweep removes indexes that were not finished, and those whose segment is gone. One that cannot be removed does no harm.
func sweep(dir string, names []string) {
	unfinishedOnes, _ := filepath.Glob(filepath.Join(dir, "*"+indexExtension+unfinished))
	for _, name := range unfinishedOnes {
		_ = os.Remove(name)
	}
	indexes, _ := filepath.Glob(filepath.Join(dir, "*"+indexExtension))
	for _, name := range indexes {
		if !slices.Contains(names, strings.TrimSuffix(name, indexExtension)+extension) {
			_ = os.Remove(name)
		}
	}
}

// recovery goes through the segments, the oldest first. What is working is known from the newest whole index, and replayed from there on.
type recovery struct {
	s      *Spool
	states []byte // open states of the latest index, if they were not taken up yet
	file   *os.File
	of     *segment // whose that is
	notes  []string
	buf    []byte             // an index, one at a time
	known  map[*segment]tally // of indexes that need not be read a second time
}

// index reads one; it stands in a buffer that the next reading takes.
func (r *recovery) index(seg *segment) ([]byte, error) {
	if seg.sealed != nil && seg.sealed.image != nil {
		return seg.sealed.image, nil
	}
	f, err := os.Open(r.s.indexPath(seg))
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	r.buf = slices.Grow(r.buf[:0], int(info.Size()))[:info.Size()]
	if _, err := io.ReadFull(f, r.buf); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	return r.buf, nil
}

func (r *recovery) note(format string, args ...any) {
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// segment takes one in. What it cannot read it leaves as it is.
func (r *recovery) segment(name string) {
	s, seg, base := r.s, &segment{}, filepath.Base(name)
	_, misnamed := fmt.Sscanf(base, "%d"+extension, &seg.number)
	s.last = max(s.last, seg.number) // of an unreadable one too, or the next segment would bear its number
	f, err := os.Open(name)
	if err == nil {
		defer func() { _ = f.Close() }()
		var info os.FileInfo
		if info, err = f.Stat(); err == nil {
			seg.size = info.Size()
		}
	}
	head := make([]byte, len(magic))
	if err == nil {
		_, err = io.ReadFull(f, head)
	}
	cut := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	switch {
	case err != nil && !cut:
		s.strange = append(s.strange, base)
		r.note("left alone, not readable: %v", err)
		r.hear(seg)
		return
	case misnamed != nil || !cut && string(head) != magic:
		s.foreign += seg.blocks()
		s.strange = append(s.strange, base)
		r.note("left alone, of an unknown version: %s", base)
		r.hear(seg)
		return
	}
	s.order = append(s.order, seg)
	if !r.adopt(seg) {
		r.rebuild(seg, f, base)
	}
}

// adopt takes a segment in by its index, if that is whole.
func (r *recovery) adopt(seg *segment) bool {
	s := r.s
	data, err := r.index(seg)
	if err != nil {
		return false
	}
	p, whole := readShape(data, seg.number)
	if !whole {
		r.note("made again, not whole: %s", filepath.Base(s.indexPath(seg)))
		return false
	}
	seg.sealed = &sealed{shape: p, spilled: newBitmap(p.slots)}
	eachEntry(data, p, func(_ uint32, e *entry) {
		if seg.sealed.spilled.set(e.slot) {
			seg.sealed.left++
		}
	})
	s.backlog.adopt(seg, data)
	if t := tallyOf(seg, data, func(*entry) {}); !t.keyed {
		r.known[seg] = t
	}
	r.words(data, p)
	return true
}

// hear takes what a whole index says of older messages, where its segment itself is left alone.
func (r *recovery) hear(seg *segment) {
	data, err := r.index(seg)
	if err != nil {
		return
	}
	if p, whole := readShape(data, seg.number); whole {
		r.words(data, p)
	}
}

// words takes in what an index says of messages that stand elsewhere. Its own states tell which of those that worked so far still do.
func (r *recovery) words(data []byte, p shape) {
	s := r.s
	for _, m := range s.owed {
		r.rest(m)
	}
	clear(s.owed)
	eachDead(data, p, func(d ref) {
		if of := s.numbered(d.segment); of != nil {
			r.take(of, d.slot)
		}
	})
	r.states = slices.Clone(data[p.statesAt() : len(data)-4])
}

// numbered is the segment of a number; nil when there is none.
func (s *Spool) numbered(number int64) *segment {
	i, found := slices.BinarySearchFunc(s.order, number, func(seg *segment, n int64) int { return cmp.Compare(seg.number, n) })
	if !found {
		return nil
	}
	return s.order[i]
}

// take has a slot spilled no more.
func (r *recovery) take(seg *segment, slot uint32) {
	if seg.sealed == nil {
		r.s.backlog.newest.unspill(slot)
	} else if seg.sealed.spilled.clear(slot) {
		seg.sealed.left--
		delete(r.known, seg)
	}
}

// rest has the slot of a message be spilled.
func (r *recovery) rest(m *Message) {
	if m.segment.sealed == nil {
		r.s.backlog.newest.spill(m.slot)
	} else if m.segment.sealed.spilled.set(m.slot) {
		m.segment.sealed.left++
		delete(r.known, m.segment)
	}
}

// load has a message work, as its record says; id is empty when it is not known. A damaged one is owed no more.
func (r *recovery) load(seg *segment, slot uint32, offset, length int64, id string) *Message {
	if r.of != seg {
		_ = r.file.Close()
		r.file, _ = os.Open(r.s.path(seg)) // without it the read below fails
		r.of = seg
	}
	data, err := readRecord(r.file, offset, length)
	var m *Message
	if err == nil {
		m, err = decode(data)
	}
	if err == nil && id != "" && m.ID != id {
		err = errRecord
	}
	if err != nil {
		r.note("%v", &DamagedError{Segment: seg.number, Offset: offset, Err: err})
		if errors.Is(err, errRecord) {
			r.take(seg, slot)
		}
		return nil
	}
	r.take(seg, slot)
	r.s.work(m, seg, &entry{slot: slot, offset: offset, length: uint32(length)})
	return m
}

// awake takes up the open states of the latest index.
func (r *recovery) awake() {
	for _, st := range decodeStates(r.states) {
		seg := r.s.numbered(st.segment)
		if seg == nil || seg.sealed == nil {
			continue
		}
		m := r.load(seg, st.slot, st.offset, st.length, "")
		if m == nil {
			continue
		}
		m.Ended, m.PushedBack = st.flags&stateEnded != 0, st.flags&statePushedBack != 0
		m.Bare, m.drawn = st.flags&stateBare != 0, st.flags&stateDrawn != 0
		m.Advice, m.Legs = st.advice, st.legs
	}
	r.states = nil
}

// rebuild replays a segment that has no whole index, up to the first torn record, and makes that.
func (r *recovery) rebuild(seg *segment, f io.Reader, base string) {
	s := r.s
	r.awake()
	s.backlog.newest = newNewest(seg)
	in := bufio.NewReaderSize(f, readAhead)
	offset := int64(len(magic))
	for {
		record, err := nextOf(in)
		if err != nil {
			break
		}
		length := int64(len(record)) + headSize
		r.replay(record, seg, offset, length)
		offset += length
	}
	if left := seg.size - offset; left > 0 && seg.size >= int64(len(magic)) {
		r.note("%d bytes after the last whole record of %s", left, base)
	}
	s.seal()
}

// nextOf reads the next whole record.
func nextOf(in io.Reader) ([]byte, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size == 0 || size > mostRecord {
		return nil, errRecord
	}
	record := make([]byte, size)
	if _, err := io.ReadFull(in, record); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	if crc32.ChecksumIEEE(record) != binary.LittleEndian.Uint32(head[4:]) {
		return nil, errRecord
	}
	return record, nil
}

// replay takes in one record.
func (r *recovery) replay(record []byte, seg *segment, offset, length int64) {
	s, d := r.s, &decoder{left: record[1:]}
	id := string(d.text())
	if record[0] == recTaken {
		if m := readMessage(id, d); !d.bad {
			r.taken(m, seg, offset, length)
		}
		return
	}
	if d.bad {
		return
	}
	switch record[0] {
	case recLeg:
		if l := readLeg(d); !d.bad {
			r.change(id, func(m *Message) { m.addLeg(l) })
		}
	case recUnrun:
		r.change(id, (*Message).unrun)
	case recEnded:
		pushedBack, advice := d.number() != 0, d.number()
		r.change(id, func(m *Message) { m.Ended, m.PushedBack, m.Advice = true, pushedBack, advice })
	case recOver:
		r.over(id)
	case recDrawn:
		r.drawn(id, d)
	case recRested:
		if m := s.owed[id]; m != nil && m.segment == seg {
			delete(s.owed, id)
			r.rest(m)
		}
	}
}

// taken enters a message, and forgets where it stood before. One that was first taken on in this very segment stands in no older one, so
// only the others are looked for there.
func (r *recovery) taken(m *Message, seg *segment, offset, length int64) {
	s, n := r.s, r.s.backlog.newest
	if old := s.owed[m.ID]; old != nil {
		s.drop(old)
	} else if slot, in := n.byID[hashOf(m.ID)]; in && n.entries[slot].spilled {
		n.die(slot)
	} else if m.Taken>>countBits < seg.number {
		r.over(m.ID)
	}
	m.segment, m.offset, m.length = seg, offset, length
	works := m.Channel != "" || m.Ended || len(m.Legs) > 0
	m.slot = n.add(m.entry(), !works)
	if works {
		s.owed[m.ID] = m
	}
}

// over has a message owed no more.
func (r *recovery) over(id string) {
	s := r.s
	if m := s.owed[id]; m != nil {
		s.drop(m)
	} else if seg, e, found, _ := s.find(id); found {
		r.take(seg, e.slot)
		s.backlog.die(seg, e.slot)
	}
}

// change has something come to a message, which works from then on.
func (r *recovery) change(id string, f func(*Message)) {
	m := r.s.owed[id]
	if m == nil {
		seg, e, found, _ := r.s.find(id)
		if !found {
			return
		}
		m = r.load(seg, e.slot, e.offset, int64(e.length), id)
	}
	if m != nil {
		f(m)
	}
}

// drawn has a spilled message work. It stands where the record says, or is looked for, as after it was copied forward.
func (r *recovery) drawn(id string, d *decoder) {
	s := r.s
	number, slot, offset, length := d.number(), uint32(d.number()), d.number(), d.number()
	if d.bad {
		return
	}
	if seg := s.numbered(number); s.owed[id] == nil && seg != nil && s.backlog.isSpilled(seg, slot) {
		r.load(seg, slot, offset, length, id)
	}
	r.change(id, func(m *Message) { m.drawn = true })
}

// finish lets those rest that nothing says more of than that they were taken on, and counts.
func (r *recovery) finish() error {
	s, b := r.s, r.s.backlog
	r.awake()
	_ = r.file.Close()
	for id, m := range s.owed {
		if len(m.Legs) == 0 && !m.Ended && m.Channel == "" && !m.drawn {
			r.rest(m)
			delete(s.owed, id)
		}
	}
	s.live, b.opening = 0, false
	b.closed = 0
	for _, seg := range s.order {
		b.closed += seg.bothBlocks()
		t, known := r.known[seg]
		if !known {
			data, err := r.index(seg)
			if err != nil {
				return err
			}
			t = tallyOf(seg, data, func(e *entry) { b.countKey(e, 1) })
		}
		b.settle(seg, t)
		for i, dst := range t.dsts {
			b.line(dst).left += int(t.runs[i].left)
		}
		b.all += seg.sealed.left
		seg.owed, seg.live = seg.sealed.left, t.bytes
		s.live += t.bytes
	}
	for _, m := range s.owed {
		m.segment.owed++
		m.segment.live += m.length
		s.live += m.length
	}
	return nil
}
