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
	s := &Spool{dir: dir, room: room, owed: map[string]*Message{}, reserved: map[string]*Message{}, backlog: b}
	b.opening = true
	names, err := filepath.Glob(filepath.Join(dir, "*"+extension))
	if err != nil {
		return nil, nil, fmt.Errorf("spool: %w", err)
	}
	slices.Sort(names)
	sweep(dir, names)
	r := &recovery{s: s}
	for _, name := range names {
		r.segment(name)
	}
	r.finish()
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
	buf    []byte // for one brief at a time
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

// brief reads the front part of a segment's index; it stands in a buffer that the next one takes.
func (r *recovery) brief(seg *segment) (t brief, known, whole bool) {
	f, err := os.Open(r.s.indexPath(seg))
	if err != nil {
		return t, false, false
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return t, true, false
	}
	t, whole = readBrief(f, info.Size(), seg.number, r.buf)
	r.buf = t.data
	return t, true, whole
}

// adopt takes a segment in by the brief of its index, if that is whole.
func (r *recovery) adopt(seg *segment) bool {
	s, b := r.s, r.s.backlog
	t, known, whole := r.brief(seg)
	if !whole {
		if known {
			r.note("made again, not whole: %s", filepath.Base(s.indexPath(seg)))
		}
		return false
	}
	seg.sealed = &sealed{shape: t.shape, spilled: t.bits(), filter: t.filter(), due: t.due}
	seg.sealed.left = seg.sealed.spilled.count()
	seg.owed, seg.live = seg.sealed.left, t.bytes
	s.live += t.bytes
	b.all += seg.owed
	b.weigh(seg, 1)
	t.eachRun(func(of indexRun) {
		l := b.line(of.dst)
		l.left += int(of.count)
		l.add(run{seg: seg, taken: of.taken, next: of.first, left: of.count})
	})
	t.eachKey(func(k indexKey) { b.countKey(k.key, k.dst, int32(k.count)) })
	r.words(&t)
	return true
}

// hear takes what a whole brief says of older messages, where its segment itself is left alone.
func (r *recovery) hear(seg *segment) {
	if t, _, whole := r.brief(seg); whole {
		r.words(&t)
	}
}

// words takes in what an index says of messages that stand elsewhere. Its own states tell which of those that worked so far still do.
func (r *recovery) words(t *brief) {
	s := r.s
	for _, m := range s.owed {
		r.rest(m)
	}
	clear(s.owed)
	t.eachDead(func(d *dead) {
		if of := s.numbered(d.segment); of != nil && of.sealed != nil && of.sealed.spilled.has(d.slot) {
			s.backlog.unspill(of, &d.entry)
			s.discard(of, &d.entry)
		}
	})
	r.states = slices.Clone(t.states())
}

// numbered is the segment of a number; nil when there is none.
func (s *Spool) numbered(number int64) *segment {
	i, found := slices.BinarySearchFunc(s.order, number, func(seg *segment, n int64) int { return cmp.Compare(seg.number, n) })
	if !found {
		return nil
	}
	return s.order[i]
}

// rest has a message be spilled where it stands.
func (r *recovery) rest(m *Message) {
	b, e := r.s.backlog, m.entry()
	if m.segment.sealed == nil {
		b.newest.spill(m.slot)
	} else {
		m.segment.sealed.spilled.set(m.slot)
		m.segment.sealed.left++
		l := b.line(m.Dst)
		if i, found := l.of(m.segment); found {
			l.runs[i].left++
		}
	}
	b.count(&e, 1)
}

// peek reads the message of a spilled slot.
func (r *recovery) peek(seg *segment, e *entry) (*Message, error) {
	if !r.s.backlog.isSpilled(seg, e.slot) {
		return nil, errRecord
	}
	if r.of != seg {
		_ = r.file.Close()
		r.file, _ = os.Open(r.s.path(seg)) // without it the read below fails
		r.of = seg
	}
	data, err := readRecord(r.file, e.offset, int64(e.length))
	if err != nil {
		return nil, err
	}
	return decode(data)
}

// load has a spilled message work, as its record says. Danger: one that cannot be read, and of which more is known than its record says,
// must not be handed out by that record later on. So it is given up, or kept for the next start when the read itself failed.
func (r *recovery) load(seg *segment, e *entry) *Message {
	if !r.s.backlog.isSpilled(seg, e.slot) {
		return nil
	}
	m, err := r.peek(seg, e)
	if err != nil {
		r.s.backlog.unspill(seg, e)
		if errors.Is(err, errRecord) {
			r.s.discard(seg, e)
		} else if seg.sealed != nil {
			seg.sealed.pinned = true
		}
		r.note("%v", &DamagedError{Segment: seg.number, Offset: e.offset, Err: err})
		return nil
	}
	r.work(m, seg, e)
	return m
}

func (r *recovery) work(m *Message, seg *segment, e *entry) {
	r.s.work(m, seg, e)
	of := m.entry()
	r.s.backlog.unspill(seg, &of)
}

// awake takes up the open states of the latest index.
func (r *recovery) awake() {
	for _, st := range decodeStates(r.states) {
		seg := r.s.numbered(st.segment)
		if seg == nil || seg.sealed == nil {
			continue
		}
		m := r.load(seg, &st.entry)
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
		s.overSpilled(seg, &n.entries[slot].entry)
	} else if m.Taken>>countBits < seg.number {
		r.over(m.ID)
	}
	s.stand(m, seg, offset, length)
	if m.Channel != "" || m.Ended || len(m.Legs) > 0 {
		s.owed[m.ID] = m
	} else {
		s.rest(m)
	}
}

// over has a message owed no more.
func (r *recovery) over(id string) {
	s := r.s
	if m := s.owed[id]; m != nil {
		s.drop(m)
	} else if seg, e, found, _ := s.find(id); found {
		s.overSpilled(seg, &e)
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
		m = r.load(seg, &e)
	}
	if m != nil {
		f(m)
	}
}

// drawn has a spilled message work. It stands where the record says, or is looked for, as after it was copied forward.
func (r *recovery) drawn(id string, d *decoder) {
	s := r.s
	number := d.number()
	e := entry{slot: uint32(d.number()), offset: d.number(), length: uint32(d.number())}
	if d.bad {
		return
	}
	if seg := s.numbered(number); s.owed[id] == nil && seg != nil {
		if m, err := r.peek(seg, &e); err == nil && m.ID == id {
			r.work(m, seg, &e)
		}
	}
	r.change(id, func(m *Message) { m.drawn = true })
}

// finish lets those rest that nothing says more of than that they were taken on.
func (r *recovery) finish() {
	s, b := r.s, r.s.backlog
	r.awake()
	_ = r.file.Close()
	for id, m := range s.owed {
		if m.fresh() {
			r.rest(m)
			delete(s.owed, id)
		}
	}
	b.opening, b.probes = false, nil
	for dst, l := range b.lines {
		l.runs = slices.DeleteFunc(l.runs, func(of run) bool { return of.left == 0 })
		b.prune(dst, l)
	}
	for _, seg := range s.order {
		if seg.sealed.left == 0 {
			seg.sealed.filter, seg.sealed.due = nil, never
		}
	}
}
