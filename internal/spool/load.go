package spool

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"slices"
	"syscall"
)

const (
	maxLoadBatch       = 1024 // messages loaded per record write
	loadRecordEstimate = 64   // bytes, approximate size of a recLoaded record
	maxLoadAttempts    = 4    // copying forward may move the selected entries
)

var (
	errBadRecord = errors.New("record is incomplete or corrupt")
	errMoved     = errors.New("spool: messages to be loaded are being copied forward")
)

// candidate is a spilled message selected for loading.
type candidate struct {
	seg *segment
	entry
}

// Load makes up to n spilled messages of a destination active again, in order of acceptance. It may return messages together with an
// error: a damaged record does not hold back the others, and is reported once (DamagedError). Fences are ignored, since fenced messages
// could not end otherwise: the caller handles messages older than a purge, as at a start. ErrFull: there is no space left to record the
// load.
func (s *Spool) Load(dst int64, n int) ([]*Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joinDamage(s.load(n, func(n int) ([]candidate, error) { return s.selectOldest(dst, n) }))
}

// LoadExpiring is Load for up to n messages of any destination whose Expires is before a time (µs since 1970). They are ordered by
// Expires only within a segment. None is missed: fewer than n without an error are all of them.
func (s *Spool) LoadExpiring(before int64, n int) ([]*Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joinDamage(s.load(n, func(n int) ([]candidate, error) { return s.selectExpiring(before, n) }))
}

// joinDamage adds the damage that was not reported yet.
func (s *Spool) joinDamage(ms []*Message, err error) ([]*Message, error) {
	if s.backlog == nil {
		return ms, err
	}
	return ms, errors.Join(err, s.backlog.takeDamage())
}

// load makes the selected messages active again, in batches.
func (s *Spool) load(n int, selectBatch func(n int) ([]candidate, error)) (all []*Message, err error) {
	b := s.backlog
	if b == nil {
		return nil, ErrBacklogDisabled
	}
	for attempts := 0; len(all) < n; {
		batch := min(n-len(all), maxLoadBatch)
		_ = s.ensureSpaceForUpdate(int64(batch) * loadRecordEstimate) // best effort: loadCandidates checks the exact size
		copiedBefore := b.copied
		candidates, selectErr := selectBatch(batch)
		if len(candidates) == 0 {
			return all, selectErr
		}
		ms, retry, err := s.loadCandidates(candidates, copiedBefore)
		all = append(all, ms...)
		if err = errors.Join(err, selectErr); err != nil {
			return all, err
		}
		if !retry {
			continue
		}
		if attempts++; attempts == maxLoadAttempts {
			return all, errMoved
		}
	}
	return all, nil
}

// loadCandidates reads the candidates, records that they are loaded, and makes them active. It asks for a retry if copying forward moved
// some.
func (s *Spool) loadCandidates(candidates []candidate, copiedBefore int) (ms []*Message, retry bool, err error) {
	b := s.backlog
	ms, candidates, err = s.readCandidates(candidates)
	if err != nil || len(candidates) == 0 {
		return nil, false, err
	}
	var records []byte
	for i, c := range candidates {
		records = append(records, loadedRecord(ms[i].ID, c.seg, &candidates[i].entry)...)
	}
	if n := int64(len(records)); !s.fitsWithoutIndexes(n) && s.ensureSpaceForUpdate(n) != nil {
		return nil, false, ErrFull
	}
	if b.copied != copiedBefore {
		return nil, true, nil
	}
	if err := s.appendRecord(records); err != nil {
		return nil, false, err
	}
	for i, c := range candidates {
		b.unspill(c.seg, &candidates[i].entry)
		s.activate(ms[i], c.seg, &candidates[i].entry)
		ms[i].loaded = true
	}
	return ms, false, nil
}

func loadedRecord(id string, seg *segment, e *entry) []byte {
	return newRecord(recLoaded, id).varint(seg.number).varint(int64(e.slot)).varint(e.offset).varint(int64(e.length)).finish()
}

// activate makes a spilled message active.
func (s *Spool) activate(m *Message, seg *segment, e *entry) {
	m.segment, m.slot, m.offset, m.length = seg, e.slot, e.offset, int64(e.length)
	s.pending[m.ID] = m
}

// readCandidates reads the records of the candidates and drops damaged ones. It returns the messages with their candidates. An error
// means that a segment cannot be opened at the moment.
func (s *Spool) readCandidates(candidates []candidate) (ms []*Message, valid []candidate, err error) {
	files := map[*segment]*os.File{}
	defer func() {
		for _, f := range files {
			_ = f.Close()
		}
	}()
	for _, c := range candidates {
		f, opened := files[c.seg]
		var err error
		if !opened {
			if f, err = os.Open(s.segmentPath(c.seg)); isResourceShortage(err) {
				return nil, nil, fmt.Errorf("spool: %w", err)
			}
			if files[c.seg] = f; errors.Is(err, os.ErrNotExist) {
				err = fmt.Errorf("%w: %w", errBadRecord, err)
			}
		}
		var m *Message
		if err == nil {
			m, err = readMessageAt(f, &c.entry)
		}
		if err != nil {
			s.dropDamaged(c.seg, &c.entry, err)
			continue
		}
		ms, valid = append(ms, m), append(valid, c)
	}
	return ms, valid, nil
}

// readRecord reads one record including its header. An error other than errBadRecord comes from the read itself.
func readRecord(f io.ReaderAt, offset, length int64) ([]byte, error) {
	if length <= headerSize || length > headerSize+maxRecordSize {
		return nil, errBadRecord
	}
	data := make([]byte, length)
	if n, err := f.ReadAt(data, offset); n < len(data) {
		if errors.Is(err, io.EOF) {
			err = errBadRecord
		}
		return nil, err
	}
	return data, nil
}

// decodeAccepted decodes an accepted record including its header.
func decodeAccepted(data []byte) (*Message, error) {
	body := data[headerSize:]
	le := binary.LittleEndian
	if int(le.Uint32(data)) != len(body) || crc32.ChecksumIEEE(body) != le.Uint32(data[4:]) || body[0] != recAccepted {
		return nil, errBadRecord
	}
	d := &decoder{rest: body[1:]}
	m := decodeMessage(string(d.bytes()), d)
	if d.failed {
		return nil, errBadRecord
	}
	return m, nil
}

// cursor iterates over the spilled messages of a destination in one segment.
type cursor struct {
	seg    *segment
	index  randomReader // index of a sealed segment
	dst    int64
	pos    uint32 // of the page's first entry
	page   []entry
	i      int
	slots  *slotList // of the newest segment
	newest *newestState
}

// selectOldest selects the messages of a destination accepted first, over all segments. A segment is opened only once its run may hold
// the next one. A segment whose index cannot be read does not hold back the others.
func (s *Spool) selectOldest(dst int64, limit int) (candidates []candidate, err error) {
	l := s.backlog.dests[dst]
	if l == nil {
		return nil, nil
	}
	var open []*cursor
	defer func() {
		for _, c := range open {
			c.close()
		}
	}()
	if c := s.backlog.newest.cursor(dst); c != nil {
		open = append(open, c)
	}
	unopened := runsBySeq(l.runs)
	for len(candidates) < limit {
		best := earliest(open)
		if len(unopened) > 0 && (best == nil || l.runs[unopened[0]].nextSeq <= best.head().seq) {
			rebuilt, runErr := s.verifyIndex(l.runs[unopened[0]].seg)
			if rebuilt { // its runs have changed
				return s.selectOldest(dst, limit)
			}
			var c *cursor
			if runErr == nil {
				c, runErr = s.openRun(&l.runs[unopened[0]], dst)
			}
			if isResourceShortage(runErr) {
				return candidates, runErr
			}
			if unopened = unopened[1:]; runErr == nil {
				open = append(open, c)
			}
			err = errors.Join(err, runErr)
			continue
		}
		if best == nil {
			break
		}
		candidates = append(candidates, candidate{best.seg, *best.head()})
		best.i++
		if runErr := best.seek(); runErr != nil { // treat the run as finished
			best.page, best.i, err = nil, 0, errors.Join(err, runErr)
		}
	}
	return candidates, err
}

// isResourceShortage reports whether an error is transient: file descriptors or memory are exhausted.
func isResourceShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOMEM)
}

// runsBySeq orders runs by the acceptance number of their first message.
func runsBySeq(runs []run) []int {
	all := make([]int, len(runs))
	for i := range all {
		all[i] = i
	}
	slices.SortStableFunc(all, func(a, b int) int { return cmp.Compare(runs[a].nextSeq, runs[b].nextSeq) })
	return all
}

// earliest returns the cursor at the message accepted first, or nil if all are at their end.
func earliest(open []*cursor) (best *cursor) {
	for _, c := range open {
		if h := c.head(); h != nil && (best == nil || h.compare(best.head()) < 0) {
			best = c
		}
	}
	return best
}

// openRun opens a run at its first spilled entry, and stores that position in the run.
func (s *Spool) openRun(r *run, dst int64) (*cursor, error) {
	f, err := s.openIndex(r.seg)
	if err != nil {
		return nil, err
	}
	c := &cursor{seg: r.seg, index: f, dst: dst, pos: r.next}
	if err := c.seek(); err != nil {
		c.close()
		return nil, err
	}
	if h := c.head(); h != nil {
		r.next, r.nextSeq = c.pos+uint32(c.i), h.seq
	}
	return c, nil
}

func (n *newestState) cursor(dst int64) *cursor {
	l := n.byDst[dst]
	if l == nil {
		return nil
	}
	n.sortSlots(l)
	c := &cursor{seg: n.seg, dst: dst, slots: l, newest: n, i: l.next}
	_ = c.seek() // accesses memory only
	l.next = c.i
	return c
}

// head returns the current entry of a cursor, or nil at the end.
func (c *cursor) head() *entry {
	if c.slots != nil {
		if c.i == len(c.slots.slots) {
			return nil
		}
		return &c.newest.entries[c.slots.slots[c.i]].entry
	}
	if c.i == len(c.page) || c.page[c.i].dst != c.dst {
		return nil
	}
	return &c.page[c.i]
}

// seek advances to the first spilled entry, starting at the current one.
func (c *cursor) seek() error {
	if c.slots != nil {
		for c.i < len(c.slots.slots) && !c.newest.entries[c.slots.slots[c.i]].spilled {
			c.i++
		}
		return nil
	}
	for {
		for ; c.i < len(c.page); c.i++ {
			if e := &c.page[c.i]; e.dst != c.dst || c.seg.sealed.spilled.has(e.slot) {
				return nil
			}
		}
		c.pos, c.i = c.pos+uint32(len(c.page)), 0
		var err error
		if c.page, err = readEntries(c.index, c.seg.sealed.layout, c.pos, make([]entry, pageEntries)); err != nil || len(c.page) == 0 {
			return err
		}
	}
}

func (c *cursor) close() {
	if c.index != nil {
		_ = c.index.Close()
	}
}

// selectExpiring selects messages that expire before a time, segment by segment.
func (s *Spool) selectExpiring(before int64, limit int) (candidates []candidate, err error) {
	for _, seg := range s.segments {
		if seg.sealed == nil || seg.sealed.minExpiry >= before {
			continue
		}
		found, segErr := s.selectExpiringIn(seg, before, limit-len(candidates))
		candidates, err = append(candidates, found...), errors.Join(err, segErr)
		if len(candidates) == limit {
			return candidates, err
		}
	}
	if n := s.backlog.newest; n.minExpiry < before {
		candidates = append(candidates, n.selectExpiring(before, limit-len(candidates))...)
	}
	return candidates, err
}

// selectExpiring scans the whole newest segment, and makes its lower bound exact again.
func (n *newestState) selectExpiring(before int64, limit int) (candidates []candidate) {
	n.minExpiry = noExpiry
	for i := range n.entries {
		if e := &n.entries[i]; e.spilled {
			n.minExpiry = min(n.minExpiry, e.expires)
			if e.expires < before {
				candidates = append(candidates, candidate{n.seg, e.entry})
			}
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.expires, b.expires) })
	return candidates[:min(limit, len(candidates))]
}

// selectExpiringIn continues in the expiry order of a sealed segment.
func (s *Spool) selectExpiringIn(seg *segment, before int64, limit int) (candidates []candidate, err error) {
	if _, err := s.verifyIndex(seg); err != nil {
		return nil, err
	}
	f, err := s.openIndex(seg)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	r := seg.sealed
	var at [4]byte
	page, foundFirst := make([]entry, 1), false
	for i := r.expiryCursor; i < r.layout.entries && len(candidates) < limit; i++ {
		if _, err := f.ReadAt(at[:], r.layout.byExpiresAt()+int64(i)*4); err != nil {
			return candidates, fmt.Errorf("spool: %w", err)
		}
		if page, err = readEntries(f, r.layout, binary.LittleEndian.Uint32(at[:]), page[:1]); err != nil || len(page) == 0 {
			return candidates, err
		}
		if !r.spilled.has(page[0].slot) {
			continue
		}
		if !foundFirst { // all earlier entries are completed or loaded
			r.expiryCursor, r.minExpiry, foundFirst = i, page[0].expires, true
		}
		if page[0].expires >= before {
			break
		}
		candidates = append(candidates, candidate{seg, page[0]})
	}
	return candidates, nil
}
