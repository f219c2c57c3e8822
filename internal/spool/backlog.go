package spool

import (
	"errors"
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
	ErrOff     = errors.New("spool: the backlog is off")
)

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
	slots   int   // of one, about
	closed  int64 // bytes in use by sealed segments
	indexes int64 // bytes in use by their indexes
	waiting int   // indexes in memory that could not be written yet

	write  func(name string, data []byte) error
	rename func(from, to string) error
	step   func() // a moment at which a process may be killed
}

func newBacklog() *backlog {
	return &backlog{lines: map[int64]*line{}, keys: map[uint64]spilledKey{}, most: mostKeys, segment: mostSegment, slots: mostSlots, step: func() {},
		write: func(name string, data []byte) error { return os.WriteFile(name, data, 0o600) }, rename: os.Rename}
}

func (m *Message) entry() entry {
	e := entry{dst: m.Dst, expires: m.Expires, taken: m.Taken, id: hashOf(m.ID), key: hashKey(m.OrderKey), offset: m.offset,
		length: uint32(m.length), slot: m.slot}
	if m.Bare {
		e.key = 0
	}
	return e
}

// Spill records a message as owed, new or working, and lets go of it: m is not the spool's any more but for Over, and comes back by Load
// as a copy with all its attempts. Without an error it is owed. With one, a new message is not, and a working one stays so. ErrFull: no
// room, or the indexes cannot be written. ErrKeys: its order key would be one too many. ErrChannel: it is of a channel, or ended.
// ErrTwice, ErrEnding, ErrFenced: as Take. ErrOver: it was working, and is not.
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
		defer s.release(m)
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

// withdraw has a message be over that was spilled, or was loaded again since: who gave it to Spill has no other hold on it than Over.
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

// Has tells whether a message of this id is owed, spilled or not; one of which the notice alone is owed does not count. Where a file cannot
// be read at the moment, it says yes: a refused hand-in does less harm than a message that is owed twice.
func (s *Spool) Has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.owed[id]; m != nil && !m.Ended {
		return true
	}
	_, _, found, err := s.find(id)
	return found || err != nil
}
