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

const replayBufferSize = 256 << 10 // bytes, read buffer for the replay of a segment

// OpenBacklog is Open with the backlog enabled: messages may be spilled. Pending returns only messages that were loaded before, ended,
// belong to a channel, or have legs and were not spilled with them; Load and the other load methods return the rest. Segments are smaller
// than with Open. Each but the newest has an index file, which is rebuilt from the segment if it is missing or damaged; that takes memory
// for the entries of one segment. Open and OpenBacklog can read each other's folders.
func OpenBacklog(dir string, capacity int64) (s *Spool, notes []string, err error) {
	return openBacklog(dir, capacity, newBacklog())
}

func openBacklog(dir string, capacity int64, b *backlog) (*Spool, []string, error) {
	s := &Spool{dir: dir, capacity: capacity, pending: map[string]*Message{}, backlog: b}
	b.recovering = true
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentExtension))
	if err != nil {
		return nil, nil, fmt.Errorf("spool: %w", err)
	}
	slices.Sort(names)
	removeStaleIndexes(dir, names)
	r := &recovery{s: s}
	for _, name := range names {
		r.recoverSegment(name)
	}
	r.finish()
	s.priorRun = s.lastNumber > 0
	if err := s.startSegment(); err != nil {
		return nil, r.notes, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reclaim()
	return s, r.notes, nil
}

// removeStaleIndexes removes unfinished indexes and those without a segment. One that cannot be removed does no harm.
func removeStaleIndexes(dir string, names []string) {
	temporary, _ := filepath.Glob(filepath.Join(dir, "*"+indexExtension+tmpSuffix))
	for _, name := range temporary {
		_ = os.Remove(name)
	}
	indexes, _ := filepath.Glob(filepath.Join(dir, "*"+indexExtension))
	for _, name := range indexes {
		if !slices.Contains(names, strings.TrimSuffix(name, indexExtension)+segmentExtension) {
			_ = os.Remove(name)
		}
	}
}

// recovery reads the segments, oldest first. The active messages are known from the newest valid index, and replayed from there on.
type recovery struct {
	s           *Spool
	states      []byte // open states of the latest index that were not restored yet
	file        *os.File
	fileSegment *segment // segment of the open file
	notes       []string
	buf         []byte // reused for each index summary
}

func (r *recovery) note(format string, args ...any) {
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// recoverSegment reads one segment. Files that it cannot read are left unchanged.
func (r *recovery) recoverSegment(name string) {
	s, seg, base := r.s, &segment{}, filepath.Base(name)
	_, misnamed := fmt.Sscanf(base, "%d"+segmentExtension, &seg.number)
	s.lastNumber = max(s.lastNumber, seg.number) // unreadable ones too, or the next segment would get the same number
	f, err := os.Open(name)
	if err == nil {
		defer func() { _ = f.Close() }()
		var info os.FileInfo
		if info, err = f.Stat(); err == nil {
			seg.size = info.Size()
		}
	}
	header := make([]byte, len(segmentMagic))
	if err == nil {
		_, err = io.ReadFull(f, header)
	}
	truncated := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	switch {
	case err != nil && !truncated:
		s.unreadable = append(s.unreadable, base)
		r.note("left unchanged, unreadable: %v", err)
		r.applyOrphanIndex(seg)
		return
	case misnamed != nil || !truncated && string(header) != segmentMagic:
		s.foreignBytes += seg.diskSize()
		s.unreadable = append(s.unreadable, base)
		r.note("left unchanged, unknown version: %s", base)
		r.applyOrphanIndex(seg)
		return
	}
	s.segments = append(s.segments, seg)
	if !r.adoptIndex(seg) {
		r.rebuildIndex(seg, f, base)
	}
}

// readSummary reads the summary of a segment's index into the shared buffer; the next call overwrites it.
func (r *recovery) readSummary(seg *segment) (sum summary, exists, valid bool) {
	f, err := os.Open(r.s.indexPath(seg))
	if err != nil {
		return sum, false, false
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return sum, true, false
	}
	sum, valid = readSummary(f, info.Size(), seg.number, r.buf)
	r.buf = sum.data
	return sum, true, valid
}

// adoptIndex restores a segment from the summary of its index, if that is valid.
func (r *recovery) adoptIndex(seg *segment) bool {
	s, b := r.s, r.s.backlog
	sum, exists, valid := r.readSummary(seg)
	if !valid {
		if exists {
			r.note("rebuilt, damaged: %s", filepath.Base(s.indexPath(seg)))
		}
		return false
	}
	seg.sealed = &sealed{layout: sum.layout, spilled: sum.bitmap(), filter: sum.filter(), minExpiry: sum.minExpiry}
	seg.sealed.spilledCount = seg.sealed.spilled.count()
	seg.pending, seg.liveBytes = seg.sealed.spilledCount, sum.recordBytes
	s.liveBytes += sum.recordBytes
	b.total += seg.pending
	b.addUsage(seg, 1)
	sum.eachRun(func(destRun indexRun) {
		l := b.dest(destRun.dst)
		l.count += int(destRun.count)
		l.insertRun(run{seg: seg, nextSeq: destRun.firstSeq, next: destRun.first, count: destRun.count})
	})
	sum.eachKey(func(k indexKey) { b.addKeyCount(k.key, k.dst, int32(k.count)) })
	r.applySummary(&sum)
	return true
}

// applyOrphanIndex applies what a valid index says about older messages when its own segment is left alone.
func (r *recovery) applyOrphanIndex(seg *segment) {
	if sum, _, valid := r.readSummary(seg); valid {
		r.applySummary(&sum)
	}
}

// applySummary applies what an index says about messages in other segments. Its states list which of the messages that were active so far
// still are.
func (r *recovery) applySummary(sum *summary) {
	s := r.s
	for _, m := range s.pending {
		r.markSpilled(m)
	}
	clear(s.pending)
	sum.eachDead(func(d *deadEntry) {
		if other := s.segmentByNumber(d.segment); other != nil && other.sealed != nil && other.sealed.spilled.has(d.slot) {
			s.backlog.unspill(other, &d.entry)
			s.subtractLive(other, &d.entry)
		}
	})
	r.states = slices.Clone(sum.states())
}

// segmentByNumber returns the segment with a number, or nil if there is none.
func (s *Spool) segmentByNumber(number int64) *segment {
	i, found := slices.BinarySearchFunc(s.segments, number, func(seg *segment, n int64) int { return cmp.Compare(seg.number, n) })
	if !found {
		return nil
	}
	return s.segments[i]
}

// markSpilled marks a message as spilled at its current position.
func (r *recovery) markSpilled(m *Message) {
	b, e := r.s.backlog, m.entry()
	if m.segment.sealed == nil {
		b.newest.spill(m.slot)
	} else {
		m.segment.sealed.spilled.set(m.slot)
		m.segment.sealed.spilledCount++
		l := b.dest(m.Dst)
		if i, found := l.findRun(m.segment); found {
			l.runs[i].count++
		}
	}
	b.addCount(&e, 1)
}

// readSpilled reads the message of a spilled slot.
func (r *recovery) readSpilled(seg *segment, e *entry) (*Message, error) {
	if !r.s.backlog.isSpilled(seg, e.slot) {
		return nil, errBadRecord
	}
	if r.fileSegment != seg {
		_ = r.file.Close()
		r.file, _ = os.Open(r.s.segmentPath(seg)) // on failure the read below fails
		r.fileSegment = seg
	}
	data, err := readRecord(r.file, e.offset, int64(e.length))
	if err != nil {
		return nil, err
	}
	return decodeAccepted(data)
}

// activateSpilled makes a spilled message active, as its record describes it. If the record is unreadable and later records
// changed the message, it must not be loaded from that record later on. So it is dropped, or kept for the next start if the read itself
// failed.
func (r *recovery) activateSpilled(seg *segment, e *entry) *Message {
	if !r.s.backlog.isSpilled(seg, e.slot) {
		return nil
	}
	m, err := r.readSpilled(seg, e)
	if err != nil {
		r.s.backlog.unspill(seg, e)
		if errors.Is(err, errBadRecord) {
			r.s.subtractLive(seg, e)
		} else if seg.sealed != nil {
			seg.sealed.pinned = true
		}
		r.note("%v", &DamagedError{Segment: seg.number, Offset: e.offset, Err: err})
		return nil
	}
	r.activate(m, seg, e)
	return m
}

func (r *recovery) activate(m *Message, seg *segment, e *entry) {
	r.s.activate(m, seg, e)
	current := m.entry()
	r.s.backlog.unspill(seg, &current)
}

// restoreStates applies the open states of the latest index.
func (r *recovery) restoreStates() {
	for _, st := range decodeStates(r.states) {
		seg := r.s.segmentByNumber(st.segment)
		if seg == nil || seg.sealed == nil {
			continue
		}
		m := r.activateSpilled(seg, &st.entry)
		if m == nil {
			continue
		}
		m.Ended, m.Rejected = st.flags&flagEnded != 0, st.flags&flagRejected != 0
		m.Erased, m.loaded = st.flags&flagErased != 0, st.flags&flagLoaded != 0
		m.RetryAfter, m.Legs = st.retryAfter, st.legs
	}
	r.states = nil
}

// rebuildIndex replays a segment without a valid index, up to the first torn record, and creates its index.
func (r *recovery) rebuildIndex(seg *segment, f io.Reader, base string) {
	s := r.s
	r.restoreStates()
	s.backlog.newest = newNewestState(seg)
	reader := bufio.NewReaderSize(f, replayBufferSize)
	offset := int64(len(segmentMagic))
	for {
		record, err := readRecordFrom(reader)
		if err != nil {
			break
		}
		length := int64(len(record)) + headerSize
		r.applyRecord(record, seg, offset, length)
		offset += length
	}
	if trailing := seg.size - offset; trailing > 0 && seg.size >= int64(len(segmentMagic)) {
		r.note("%d bytes after the last whole record of %s", trailing, base)
	}
	s.seal()
}

// readRecordFrom reads the next whole record.
func readRecordFrom(reader io.Reader) ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	size := binary.LittleEndian.Uint32(header[:])
	if size == 0 || size > maxRecordSize {
		return nil, errBadRecord
	}
	record := make([]byte, size)
	if _, err := io.ReadFull(reader, record); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	if crc32.ChecksumIEEE(record) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, errBadRecord
	}
	return record, nil
}

// applyRecord replays one record.
func (r *recovery) applyRecord(record []byte, seg *segment, offset, length int64) {
	s, d := r.s, &decoder{rest: record[1:]}
	id := string(d.bytes())
	if record[0] == recAccepted {
		if m := decodeMessage(id, d); !d.failed {
			r.applyAccepted(m, seg, offset, length)
		}
		return
	}
	if d.failed {
		return
	}
	switch record[0] {
	case recLeg:
		if l := decodeLeg(d); !d.failed {
			r.update(id, func(m *Message) { m.addLeg(l) })
		}
	case recNeverRan:
		r.update(id, (*Message).markNeverRan)
	case recUndelivered:
		rejected, retryAfter := d.varint() != 0, d.varint()
		r.update(id, func(m *Message) { m.Ended, m.Rejected, m.RetryAfter = true, rejected, retryAfter })
	case recCompleted:
		r.applyCompleted(id)
	case recLoaded:
		r.applyLoaded(id, d)
	case recSpilled:
		if m := s.pending[id]; m != nil && m.segment == seg {
			delete(s.pending, id)
			r.markSpilled(m)
		}
	}
}

// applyAccepted adds a message, and removes its previous position. A message first accepted in this very segment has none in older
// segments, so those are searched only for the others.
func (r *recovery) applyAccepted(m *Message, seg *segment, offset, length int64) {
	s, n := r.s, r.s.backlog.newest
	if old := s.pending[m.ID]; old != nil {
		s.dropPending(old)
	} else if slot, in := n.byID[hashID(m.ID)]; in && n.entries[slot].spilled {
		s.dropSpilled(seg, &n.entries[slot].entry)
	} else if m.AcceptSeq>>acceptCountBits < seg.number {
		r.applyCompleted(m.ID)
	}
	s.placeInNewest(m, seg, offset, length)
	if m.Channel != "" || m.Ended || len(m.Legs) > 0 {
		s.pending[m.ID] = m
	} else {
		s.markSpilled(m)
	}
}

// applyCompleted removes a pending message.
func (r *recovery) applyCompleted(id string) {
	s := r.s
	if m := s.pending[id]; m != nil {
		s.dropPending(m)
	} else if seg, e, found, _ := s.findSpilled(id); found {
		s.dropSpilled(seg, &e)
	}
}

// update applies a change to a message, which makes it active.
func (r *recovery) update(id string, f func(*Message)) {
	m := r.s.pending[id]
	if m == nil {
		seg, e, found, _ := r.s.findSpilled(id)
		if !found {
			return
		}
		m = r.activateSpilled(seg, &e)
	}
	if m != nil {
		f(m)
	}
}

// applyLoaded makes a spilled message active. It is at the recorded position, or is searched for, as after it was copied forward.
func (r *recovery) applyLoaded(id string, d *decoder) {
	s := r.s
	number := d.varint()
	e := entry{slot: uint32(d.varint()), offset: d.varint(), length: uint32(d.varint())}
	if d.failed {
		return
	}
	if seg := s.segmentByNumber(number); s.pending[id] == nil && seg != nil {
		if m, err := r.readSpilled(seg, &e); err == nil && m.ID == id {
			r.activate(m, seg, &e)
		}
	}
	r.update(id, func(m *Message) { m.loaded = true })
}

// finish marks messages as spilled that have no record beside their acceptance.
func (r *recovery) finish() {
	s, b := r.s, r.s.backlog
	r.restoreStates()
	_ = r.file.Close()
	for id, m := range s.pending {
		if m.untouched() {
			r.markSpilled(m)
			delete(s.pending, id)
		}
	}
	b.recovering, b.filters = false, nil
	for dst, l := range b.dests {
		l.runs = slices.DeleteFunc(l.runs, func(destRun run) bool { return destRun.count == 0 })
		b.pruneDest(dst, l)
	}
	for _, seg := range s.segments {
		if seg.sealed.spilledCount == 0 {
			seg.sealed.filter, seg.sealed.minExpiry = nil, noExpiry
		}
	}
}
