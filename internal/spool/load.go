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
	mostLoad  = 1024 // messages drawn by one record write
	noteSize  = 64   // bytes, about, of the note that one is drawn
	drawTries = 4    // as copying forward moves what was chosen
)

var (
	errRecord = errors.New("not a whole record of this message")
	errMoved  = errors.New("spool: what was to be loaded is being copied forward")
)

// pick is a spilled message chosen to be drawn.
type pick struct {
	seg *segment
	entry
}

// Load takes up to n spilled messages of a destination back as working, in the order in which they were taken on. Beside an error it may
// give messages: a damaged record keeps none of the others back, and is told once (DamagedError). Fences hold none of them back, as they
// could not end then: who loads looks at what is older than a purge, as at a start. ErrFull: the room has none left for a note of it.
func (s *Spool) Load(dst int64, n int) ([]*Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tell(s.draw(n, func(n int) ([]pick, error) { return s.oldest(dst, n) }))
}

// LoadDue is Load for up to n messages of any destination whose Expires is before a time (µs since 1970). The order is by Expires within a
// segment alone, and none is missed: fewer than n without an error are all.
func (s *Spool) LoadDue(before int64, n int) ([]*Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tell(s.draw(n, func(n int) ([]pick, error) { return s.due(before, n) }))
}

// tell adds the damage that was not told yet.
func (s *Spool) tell(ms []*Message, err error) ([]*Message, error) {
	if s.backlog == nil {
		return ms, err
	}
	return ms, errors.Join(err, s.backlog.told())
}

// draw takes what is chosen back as working, some at a time.
func (s *Spool) draw(n int, choose func(n int) ([]pick, error)) (all []*Message, err error) {
	b := s.backlog
	if b == nil {
		return nil, ErrOff
	}
	for tries := 0; len(all) < n; {
		some := min(n-len(all), mostLoad)
		_ = s.noteRoom(int64(some) * noteSize) // an estimate: take makes sure
		moved := b.moved
		picks, failed := choose(some)
		if len(picks) == 0 {
			return all, failed
		}
		ms, again, err := s.take(picks, moved)
		all = append(all, ms...)
		if err = errors.Join(err, failed); err != nil {
			return all, err
		}
		if !again {
			continue
		}
		if tries++; tries == drawTries {
			return all, errMoved
		}
	}
	return all, nil
}

// take reads what was picked, notes on disk that it is drawn, and has it work. It is to be done again when copying forward moved some.
func (s *Spool) take(picks []pick, moved int) (ms []*Message, again bool, err error) {
	b := s.backlog
	ms, picks, err = s.read(picks)
	if err != nil || len(picks) == 0 {
		return nil, false, err
	}
	var note []byte
	for i, p := range picks {
		note = append(note, drawn(ms[i].ID, p.seg, &picks[i].entry)...)
	}
	if n := int64(len(note)); !s.fitsBare(n) && s.noteRoom(n) != nil {
		return nil, false, ErrFull
	}
	if b.moved != moved {
		return nil, true, nil
	}
	if err := s.append(note); err != nil {
		return nil, false, err
	}
	for i, p := range picks {
		b.unspill(p.seg, &picks[i].entry)
		s.work(ms[i], p.seg, &picks[i].entry)
		ms[i].drawn = true
	}
	return ms, false, nil
}

func drawn(id string, seg *segment, e *entry) []byte {
	return begin(recDrawn, id).number(seg.number).number(int64(e.slot)).number(e.offset).number(int64(e.length)).seal()
}

// work has a message that was spilled be a working one.
func (s *Spool) work(m *Message, seg *segment, e *entry) {
	m.segment, m.slot, m.offset, m.length = seg, e.slot, e.offset, int64(e.length)
	s.owed[m.ID] = m
}

// read reads the records of what was picked, and gives up those that are damaged. Those left of picks go with the messages. An error says
// that a segment cannot be opened for the moment.
func (s *Spool) read(picks []pick) (ms []*Message, left []pick, err error) {
	files := map[*segment]*os.File{}
	defer func() {
		for _, f := range files {
			_ = f.Close()
		}
	}()
	for _, p := range picks {
		f, opened := files[p.seg]
		var err error
		if !opened {
			if f, err = os.Open(s.path(p.seg)); short(err) {
				return nil, nil, fmt.Errorf("spool: %w", err)
			}
			if files[p.seg] = f; errors.Is(err, os.ErrNotExist) {
				err = fmt.Errorf("%w: %w", errRecord, err)
			}
		}
		var m *Message
		if err == nil {
			m, err = readMessageAt(f, &p.entry)
		}
		if err != nil {
			s.lose(p.seg, &p.entry, err)
			continue
		}
		ms, left = append(ms, m), append(left, p)
	}
	return ms, left, nil
}

// readRecord reads one record with its head. An error that is not errRecord is of the read itself.
func readRecord(f io.ReaderAt, offset, length int64) ([]byte, error) {
	if length <= headSize || length > headSize+mostRecord {
		return nil, errRecord
	}
	data := make([]byte, length)
	if n, err := f.ReadAt(data, offset); n < len(data) {
		if errors.Is(err, io.EOF) {
			err = errRecord
		}
		return nil, err
	}
	return data, nil
}

// decode takes a taken record with its head apart.
func decode(data []byte) (*Message, error) {
	body := data[headSize:]
	le := binary.LittleEndian
	if int(le.Uint32(data)) != len(body) || crc32.ChecksumIEEE(body) != le.Uint32(data[4:]) || body[0] != recTaken {
		return nil, errRecord
	}
	d := &decoder{left: body[1:]}
	m := readMessage(string(d.text()), d)
	if d.bad {
		return nil, errRecord
	}
	return m, nil
}

// cursor goes through what is spilled for a destination in one segment.
type cursor struct {
	seg  *segment
	f    file // of a sealed one's index
	dst  int64
	pos  uint32 // of the page's first entry
	page []entry
	i    int
	list *list // of the newest one
	n    *newest
}

// oldest picks what of a destination was taken on first, over all segments. A segment is looked into only once its run may hold the next;
// one whose index cannot be read keeps the others' messages not back.
func (s *Spool) oldest(dst int64, most int) (picks []pick, err error) {
	l := s.backlog.lines[dst]
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
	closed := byTaken(l.runs)
	for len(picks) < most {
		best := first(open)
		if len(closed) > 0 && (best == nil || l.runs[closed[0]].taken <= best.head().taken) {
			remade, failed := s.check(l.runs[closed[0]].seg)
			if remade { // its runs are others now
				return s.oldest(dst, most)
			}
			var c *cursor
			if failed == nil {
				c, failed = s.openRun(&l.runs[closed[0]], dst)
			}
			if short(failed) {
				return picks, failed
			}
			if closed = closed[1:]; failed == nil {
				open = append(open, c)
			}
			err = errors.Join(err, failed)
			continue
		}
		if best == nil {
			break
		}
		picks = append(picks, pick{best.seg, *best.head()})
		best.i++
		if failed := best.seek(); failed != nil { // that run is at its end then
			best.page, best.i, err = nil, 0, errors.Join(err, failed)
		}
	}
	return picks, err
}

// short tells whether a fault is of the moment: there are no descriptors, or no memory.
func short(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOMEM)
}

// byTaken lists runs by when the first of each was taken on.
func byTaken(runs []run) []int {
	all := make([]int, len(runs))
	for i := range all {
		all[i] = i
	}
	slices.SortStableFunc(all, func(a, b int) int { return cmp.Compare(runs[a].taken, runs[b].taken) })
	return all
}

// first is the cursor at the message taken on first; nil when all are at their end.
func first(open []*cursor) (best *cursor) {
	for _, c := range open {
		if h := c.head(); h != nil && (best == nil || h.compare(best.head()) < 0) {
			best = c
		}
	}
	return best
}

// openRun opens a run at its first spilled entry, which the run remembers.
func (s *Spool) openRun(r *run, dst int64) (*cursor, error) {
	f, err := s.index(r.seg)
	if err != nil {
		return nil, err
	}
	c := &cursor{seg: r.seg, f: f, dst: dst, pos: r.next}
	if err := c.seek(); err != nil {
		c.close()
		return nil, err
	}
	if h := c.head(); h != nil {
		r.next, r.taken = c.pos+uint32(c.i), h.taken
	}
	return c, nil
}

func (n *newest) cursor(dst int64) *cursor {
	l := n.byDst[dst]
	if l == nil {
		return nil
	}
	n.sort(l)
	c := &cursor{seg: n.seg, dst: dst, list: l, n: n, i: l.next}
	_ = c.seek() // reads memory alone
	l.next = c.i
	return c
}

// head is the entry that a cursor is at; nil at the end.
func (c *cursor) head() *entry {
	if c.list != nil {
		if c.i == len(c.list.slots) {
			return nil
		}
		return &c.n.entries[c.list.slots[c.i]].entry
	}
	if c.i == len(c.page) || c.page[c.i].dst != c.dst {
		return nil
	}
	return &c.page[c.i]
}

// seek goes on to the first entry that is spilled, from the one it is at on.
func (c *cursor) seek() error {
	if c.list != nil {
		for c.i < len(c.list.slots) && !c.n.entries[c.list.slots[c.i]].spilled {
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
		if c.page, err = readEntries(c.f, c.seg.sealed.shape, c.pos, make([]entry, pageEntries)); err != nil || len(c.page) == 0 {
			return err
		}
	}
}

func (c *cursor) close() {
	if c.f != nil {
		_ = c.f.Close()
	}
}

// due picks what expires before a time, segment by segment.
func (s *Spool) due(before int64, most int) (picks []pick, err error) {
	for _, seg := range s.order {
		if seg.sealed == nil || seg.sealed.due >= before {
			continue
		}
		some, failed := s.dueOf(seg, before, most-len(picks))
		picks, err = append(picks, some...), errors.Join(err, failed)
		if len(picks) == most {
			return picks, err
		}
	}
	if n := s.backlog.newest; n.due < before {
		picks = append(picks, n.dueBefore(before, most-len(picks))...)
	}
	return picks, err
}

// dueBefore goes through all of the newest segment, and has the bound be exact again.
func (n *newest) dueBefore(before int64, most int) (picks []pick) {
	n.due = never
	for i := range n.entries {
		if e := &n.entries[i]; e.spilled {
			n.due = min(n.due, e.expires)
			if e.expires < before {
				picks = append(picks, pick{n.seg, e.entry})
			}
		}
	}
	slices.SortFunc(picks, func(a, b pick) int { return cmp.Compare(a.expires, b.expires) })
	return picks[:min(most, len(picks))]
}

// dueOf goes on in a sealed segment's order by Expires.
func (s *Spool) dueOf(seg *segment, before int64, most int) (picks []pick, err error) {
	if _, err := s.check(seg); err != nil {
		return nil, err
	}
	f, err := s.index(seg)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	r := seg.sealed
	var at [4]byte
	page, met := make([]entry, 1), false
	for i := r.cursor; i < r.shape.entries && len(picks) < most; i++ {
		if _, err := f.ReadAt(at[:], r.shape.byExpiresAt()+int64(i)*4); err != nil {
			return picks, fmt.Errorf("spool: %w", err)
		}
		if page, err = readEntries(f, r.shape, binary.LittleEndian.Uint32(at[:]), page[:1]); err != nil || len(page) == 0 {
			return picks, err
		}
		if !r.spilled.has(page[0].slot) {
			continue
		}
		if !met { // all in front of it are over, or drawn
			r.cursor, r.due, met = i, page[0].expires, true
		}
		if page[0].expires >= before {
			break
		}
		picks = append(picks, pick{seg, page[0]})
	}
	return picks, nil
}
