package spool

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
)

const (
	never       = int64(math.MaxInt64) // µs since 1970
	mostKeys    = 1 << 20              // distinct order keys spilled, about 40 bytes each; emptied as messages are loaded
	maxInt      = math.MaxInt
	mostDamaged = 64 // kept until the next load tells them
)

// What a spill is refused for, beside ErrFull.
var (
	ErrKeys    = errors.New("spool: too many order keys are spilled")
	ErrChannel = errors.New("spool: a message of a channel, or one that ended, is not spilled")
	ErrTwice   = errors.New("spool: a spilled message has this id")
	ErrOff     = errors.New("spool: the backlog is off")
)

// DamagedError says that the record of a spilled message cannot be read: it is handed out no more, like what stands behind a torn record.
type DamagedError struct {
	Segment int64 // its number
	Offset  int64 // bytes
	Err     error // of the read, or that the record is not whole
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("spool: the record at byte %d of segment %d cannot be read: %v", e.Offset, e.Segment, e.Err)
}

func (e *DamagedError) Unwrap() error { return e.Err }

// backlog is what memory keeps of spilled messages beside that of each segment. Spool's lock guards it.
type backlog struct {
	newest  *newest
	lines   map[int64]*line // of destinations with spilled messages; emptied as these are loaded
	all     int
	keys    map[uint64]spilledKey // by the hash of the order key
	most    int                   // of keys
	unkeyed bool                  // keys are not counted
	moved   int                   // spilled messages copied forward so far
	damaged []error               // not told yet
	untold  int                   // beyond those
	opening bool                  // segments are being read back: nothing is forgotten yet of which none is spilled
	probes  []probe               // of sealed segments, as of when one was begun
	probed  *segment              // that one

	segment int64 // bytes, at most, of one
	closed  int64 // bytes in use by sealed segments
	indexes int64 // bytes in use by their indexes
	waiting int   // indexes in memory that could not be written yet

	write  func(name string, data []byte) error
	rename func(from, to string) error
	step   func() // a moment at which a process may be killed
}

// line is what is spilled for one destination.
type line struct {
	left int
	runs []run // by segment, the oldest first; the newest segment has none
}

// run is where spilled messages of one destination stand in a sealed segment, one beside the other in its index.
type run struct {
	seg   *segment
	taken int64  // of the entry at next
	next  uint32 // position; none of the run in front of it is spilled
	left  uint32
}

func newBacklog() *backlog {
	return &backlog{lines: map[int64]*line{}, keys: map[uint64]spilledKey{}, most: mostKeys, segment: mostSegment, step: func() {},
		write: func(name string, data []byte) error { return os.WriteFile(name, data, 0o600) }, rename: os.Rename}
}

func (b *backlog) line(dst int64) *line {
	l := b.lines[dst]
	if l == nil {
		l = &line{}
		b.lines[dst] = l
	}
	return l
}

// prune forgets a destination of which nothing is spilled.
func (b *backlog) prune(dst int64, l *line) {
	if l.left == 0 && !b.opening {
		delete(b.lines, dst)
	}
}

// of finds a segment's run.
func (l *line) of(seg *segment) (i int, found bool) {
	return slices.BinarySearchFunc(l.runs, seg.number, func(r run, number int64) int { return cmp.Compare(r.seg.number, number) })
}

func (l *line) add(r run) {
	i, _ := l.of(r.seg)
	l.runs = slices.Insert(l.runs, i, r)
}

// count takes a spilled message into the counts by destination and key, or out of them.
func (b *backlog) count(e *entry, by int) {
	b.all += by
	l := b.line(e.dst)
	l.left += by
	b.prune(e.dst, l)
	if e.key != 0 && !b.unkeyed {
		b.countKey(e.key, e.dst, int32(by))
	}
}

// Unkeyed has order keys not be counted any more: SpilledKey says no, and Spill gives no ErrKeys. For where nothing keeps an order.
func (s *Spool) Unkeyed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog != nil {
		s.backlog.unkeyed, s.backlog.keys = true, nil
	}
}

// spilledKey is what is known of an order key.
type spilledKey struct {
	dst     int64 // of the first one spilled
	count   int32
	several bool // at another destination too, at some time
}

func (b *backlog) countKey(key uint64, dst int64, by int32) {
	k, known := b.keys[key]
	if !known {
		k.dst = dst
	}
	k.count += by
	k.several = k.several || k.dst != dst
	if k.count == 0 {
		delete(b.keys, key)
		return
	}
	b.keys[key] = k
}

// isSpilled tells whether a slot is spilled, in the newest segment or a sealed one.
func (b *backlog) isSpilled(seg *segment, slot uint32) bool {
	if seg.sealed != nil {
		return seg.sealed.spilled.has(slot)
	}
	return b.newest != nil && b.newest.seg == seg && int(slot) < len(b.newest.entries) && b.newest.entries[slot].spilled
}

// unspill has a slot spilled no more. It stays owed.
func (b *backlog) unspill(seg *segment, e *entry) {
	if r := seg.sealed; r == nil {
		b.newest.unspill(e.slot)
	} else {
		r.spilled.clear(e.slot)
		if r.left--; r.left == 0 && !b.opening {
			r.filter, r.due = nil, never
		}
		b.shorten(seg, e.dst)
	}
	b.count(e, -1)
}

// shorten takes one off a run.
func (b *backlog) shorten(seg *segment, dst int64) {
	l := b.line(dst)
	i, found := l.of(seg)
	if !found {
		return
	}
	if l.runs[i].left--; l.runs[i].left == 0 && !b.opening {
		l.runs = slices.Delete(l.runs, i, i+1)
	}
}

// die has a slot owed no more, or not here. The newest segment's index will tell so of a slot of an older one.
func (b *backlog) die(seg *segment, e *entry) {
	if b.newest.seg == seg {
		b.newest.die(e.slot)
		return
	}
	b.newest.dead = append(b.newest.dead, dead{seg.number, *e})
}

// overSpilled has a spilled slot be owed no more, or not here.
func (s *Spool) overSpilled(seg *segment, e *entry) {
	s.backlog.unspill(seg, e)
	s.discard(seg, e)
	s.backlog.die(seg, e)
}

func (m *Message) entry() entry {
	e := entry{dst: m.Dst, expires: m.Expires, taken: m.Taken, id: hashOf(m.ID), key: hashKey(m.OrderKey), offset: m.offset,
		length: uint32(m.length), slot: m.slot}
	if m.Bare {
		e.key = 0
	}
	return e
}

// Spill records a message as owed, new or working, and lets go of it: m is not the spool's any more but for Over, and comes back by Load as a
// copy with all its attempts. Without an error it is owed. With one, a new message is not, and a working one stays so. ErrFull: no room, or the
// indexes cannot be written. ErrKeys: its order key would be one too many. ErrChannel: it is of a channel, or ended. ErrTwice: a spilled
// one has its id. ErrFenced: as Take. ErrOver: it was working, and is not.
func (s *Spool) Spill(m *Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backlog
	working := m.segment != nil
	switch key := hashKey(m.OrderKey); {
	case b == nil:
		return ErrOff
	case m.Channel != "" || m.Ended:
		return ErrChannel
	case working && s.owed[m.ID] != m:
		return ErrOver
	case key != 0 && !b.unkeyed && b.keys[key].count == 0 && len(b.keys) >= b.most:
		return ErrKeys
	}
	if working && m.segment == b.newest.seg && m.fresh() { // its record tells all
		delete(s.owed, m.ID)
		s.rest(m)
		return nil
	}
	if !working {
		if err := s.admit(m); err != nil {
			return err
		}
	}
	return s.spill(m, working)
}

// spill writes the record of a message that rests from now on.
func (s *Spool) spill(m *Message, working bool) error {
	record := m.record()
	n := int64(len(record))
	if len(m.Legs) > 0 {
		record = append(record, begin(recRested, m.ID).seal()...)
	}
	if err := s.makeRoom(int64(len(record))); err != nil {
		return err
	}
	if err := s.append(record); err != nil {
		return err
	}
	if old := s.owed[m.ID]; old != nil { // m itself while it was working
		s.drop(old)
	}
	s.stand(m, s.now(), s.now().size-int64(len(record)), n)
	s.rest(m)
	s.shrink()
	return nil
}

// stand enters the newest record of a message, in the newest segment.
func (s *Spool) stand(m *Message, seg *segment, offset, length int64) {
	m.segment, m.offset, m.length = seg, offset, length
	seg.owed++
	seg.live += length
	s.live += length
	m.slot = s.backlog.newest.add(m.entry(), false)
}

// rest has a message that stands in the newest segment be spilled.
func (s *Spool) rest(m *Message) {
	b := s.backlog
	b.newest.spill(m.slot)
	e := m.entry()
	b.count(&e, 1)
	m.segment = nil
}

// lose gives up a spilled slot that cannot be read. Its segment goes as if it were over, unless the read itself failed or the index
// is broken: then it stays for the next start.
func (s *Spool) lose(seg *segment, e *entry, err error) {
	b := s.backlog
	if errors.Is(err, errRecord) && !s.trusted(seg) {
		err = errIndex
	}
	b.unspill(seg, e)
	if errors.Is(err, errRecord) {
		s.discard(seg, e)
	} else if seg.sealed != nil {
		seg.sealed.pinned = true
	}
	b.noteDamage(&DamagedError{Segment: seg.number, Offset: e.offset, Err: err})
}

func (b *backlog) noteDamage(err error) {
	if len(b.damaged) < mostDamaged {
		b.damaged = append(b.damaged, err)
	} else {
		b.untold++
	}
}

// told gives the damage that was not told yet.
func (b *backlog) told() error {
	all := b.damaged
	if b.untold > 0 {
		all = append(all, fmt.Errorf("spool: and %d more that cannot be read", b.untold))
	}
	b.damaged, b.untold = nil, 0
	return errors.Join(all...)
}

// NextDue is a lower bound of the earliest Expires of what is spilled, in µs since 1970; the highest int64 when nothing is.
func (s *Spool) NextDue() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog == nil || s.backlog.all == 0 {
		return never
	}
	due := s.backlog.newest.due
	for _, seg := range s.order {
		if seg.sealed != nil {
			due = min(due, seg.sealed.due)
		}
	}
	return due
}

// Spilled counts what is spilled for a destination.
func (s *Spool) Spilled(dst int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog == nil || s.backlog.lines[dst] == nil {
		return 0
	}
	return s.backlog.lines[dst].left
}

// SpilledAll counts all that is spilled.
func (s *Spool) SpilledAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog == nil {
		return 0
	}
	return s.backlog.all
}

// SpilledTo lists destinations with spilled messages, in rising order.
func (s *Spool) SpilledTo() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.backlog.lines))
}

// SpilledKey tells whether a message with this order key is spilled, and whether one may be at another destination than dst: that yes
// may be out of date until the key's last one is loaded. Both are no for the empty key. It goes by a hash of 64 bits.
func (s *Spool) SpilledKey(orderKey string, dst int64) (rests, elsewhere bool) {
	if orderKey == "" {
		return false, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog == nil {
		return false, false
	}
	k := s.backlog.keys[hashKey(orderKey)]
	return k.count > 0, k.count > 0 && (k.several || k.dst != dst)
}

// withdraw has a message be over that was spilled, or was loaded again since. Over calls it, for who gave it to Spill has no other hold on it.
func (s *Spool) withdraw(m *Message) error {
	if m.segment != nil || m.Taken == 0 {
		return ErrOver
	}
	if now := s.owed[m.ID]; now != nil && now.Taken == m.Taken {
		return s.recordOver(now)
	}
	seg, e, found, err := s.find(m.ID)
	if err != nil {
		return err
	}
	if !found || e.taken != m.Taken {
		return ErrOver
	}
	record := begin(recOver, m.ID).seal()
	moved := s.backlog.moved
	if err := s.noteRoom(int64(len(record))); err != nil {
		return err
	}
	if s.backlog.moved != moved { // making room had it copied forward
		if seg, e, found, err = s.find(m.ID); err != nil || !found {
			return errors.Join(ErrOver, err)
		}
	}
	if err := s.append(record); err != nil {
		return err
	}
	s.overSpilled(seg, &e)
	s.shrink()
	return nil
}

// discard has a slot that is spilled no more count as owed no more in its segment.
func (s *Spool) discard(seg *segment, e *entry) {
	seg.owed--
	seg.live -= int64(e.length)
	s.live -= int64(e.length)
}

// Has tells whether a message of this id is owed, spilled or not; one of which the notice alone is owed does not count. Where a file cannot be read at the moment, it says yes: a refused
// hand-in does less harm than a message that is owed twice.
func (s *Spool) Has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.owed[id]; m != nil && !m.Ended {
		return true
	}
	_, _, found, err := s.find(id)
	return found || err != nil
}
