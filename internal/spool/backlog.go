package spool

import (
	"errors"
	"maps"
	"math"
	"os"
	"slices"
)

const (
	noExpiry        = int64(math.MaxInt64) // µs since 1970
	maxOrderKeys    = 1 << 20              // distinct order keys of spilled messages, about 40 bytes each; they go as messages are loaded
	maxInt          = math.MaxInt
	maxDamageErrors = 64 // held until the next load reports them
)

// Errors of Spill, beside ErrFull.
var (
	ErrTooManyKeys     = errors.New("spool: too many order keys are spilled")
	ErrNotSpillable    = errors.New("spool: messages of a channel and ended messages cannot be spilled")
	ErrDuplicate       = errors.New("spool: message ID is in use by a spilled message")
	ErrBacklogDisabled = errors.New("spool: backlog is disabled")
)

// backlog is the in-memory state of spilled messages beside that of each segment. Spool.mu guards it.
type backlog struct {
	newest        *newestState
	dests         map[int64]*destSpill // destinations with spilled messages; entries go as these are loaded
	total         int
	keys          map[uint64]spilledKey // by the hash of the order key
	maxKeys       int                   // limit of keys
	keysDisabled  bool                  // keys are not counted
	copied        int                   // spilled messages copied forward so far
	damaged       []error               // not reported yet
	damageOmitted int                   // number of errors beyond those
	recovering    bool                  // segments are being read: entries without spilled messages are not removed yet
	filters       []segmentFilter       // of the sealed segments at the start of filtersFor
	filtersFor    *segment              // newest segment when filters was built

	maxSegment  int64 // bytes, limit of one segment
	maxSlots    int   // approximate limit of one segment
	sealedBytes int64 // disk usage of sealed segments
	indexBytes  int64 // disk usage of their indexes
	unwritten   int   // indexes in memory that could not be written yet

	writeFile  func(name string, data []byte) error
	rename     func(from, to string) error
	crashPoint func() // called where tests simulate a kill
}

func newBacklog() *backlog {
	return &backlog{dests: map[int64]*destSpill{}, keys: map[uint64]spilledKey{}, maxKeys: maxOrderKeys, maxSegment: maxSegmentSize,
		maxSlots: maxSlots, crashPoint: func() {},
		writeFile: func(name string, data []byte) error { return os.WriteFile(name, data, 0o600) }, rename: os.Rename}
}

func (m *Message) entry() entry {
	e := entry{dst: m.Dst, expires: m.Expires, seq: m.AcceptSeq, id: hashID(m.ID), key: hashKey(m.OrderKey), offset: m.offset,
		length: uint32(m.length), slot: m.slot}
	if m.Erased {
		e.key = 0
	}
	return e
}

// Spill records a new or an active message as pending, and releases it: the caller may pass m only to Complete, and Load returns a copy
// with all its legs. After an error, a new message is not pending and an active one stays active. ErrFull: no space, or the indexes
// cannot be written. ErrTooManyKeys: its order key exceeds the limit. ErrNotSpillable: it belongs to a channel, or ended. ErrDuplicate: a
// spilled message has its ID. ErrFenced: as in Accept. ErrNotPending: it was active, and is not any more.
func (s *Spool) Spill(m *Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backlog
	active := m.segment != nil
	switch key := hashKey(m.OrderKey); {
	case b == nil:
		return ErrBacklogDisabled
	case m.Channel != "" || m.Ended:
		return ErrNotSpillable
	case active && s.pending[m.ID] != m:
		return ErrNotPending
	case key != 0 && !b.keysDisabled && b.keys[key].count == 0 && len(b.keys) >= b.maxKeys:
		return ErrTooManyKeys
	}
	if active && m.segment == b.newest.seg && m.untouched() { // its record is complete
		delete(s.pending, m.ID)
		s.markSpilled(m)
		return nil
	}
	if !active {
		if err := s.admit(m); err != nil {
			return err
		}
	}
	return s.spill(m, active)
}

// spill writes the record of a message that is spilled.
func (s *Spool) spill(m *Message, active bool) error {
	record := m.encode()
	n := int64(len(record))
	if len(m.Legs) > 0 {
		record = append(record, newRecord(recSpilled, m.ID).finish()...)
	}
	if err := s.ensureSpaceForNew(int64(len(record))); err != nil {
		return err
	}
	if err := s.appendRecord(record); err != nil {
		return err
	}
	if old := s.pending[m.ID]; old != nil { // m itself if it was active
		s.dropPending(old)
	}
	s.placeInNewest(m, s.newestSegment(), s.newestSegment().size-int64(len(record)), n)
	s.markSpilled(m)
	s.reclaim()
	return nil
}

// placeInNewest registers the newest record of a message, in the newest segment.
func (s *Spool) placeInNewest(m *Message, seg *segment, offset, length int64) {
	m.segment, m.offset, m.length = seg, offset, length
	seg.pending++
	seg.liveBytes += length
	s.liveBytes += length
	m.slot = s.backlog.newest.add(m.entry(), false)
}

// markSpilled marks a message of the newest segment as spilled.
func (s *Spool) markSpilled(m *Message) {
	b := s.backlog
	b.newest.spill(m.slot)
	e := m.entry()
	b.addCount(&e, 1)
	m.segment = nil
}

// NextExpiry returns a lower bound of the earliest Expires of the spilled messages (µs since 1970), or the highest int64 if there are
// none.
func (s *Spool) NextExpiry() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog == nil || s.backlog.total == 0 {
		return noExpiry
	}
	earliestExpiry := s.backlog.newest.minExpiry
	for _, seg := range s.segments {
		if seg.sealed != nil {
			earliestExpiry = min(earliestExpiry, seg.sealed.minExpiry)
		}
	}
	return earliestExpiry
}

// SpilledCount returns the number of spilled messages of a destination.
func (s *Spool) SpilledCount(dst int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog == nil || s.backlog.dests[dst] == nil {
		return 0
	}
	return s.backlog.dests[dst].count
}

// SpilledTotal returns the number of spilled messages.
func (s *Spool) SpilledTotal() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog == nil {
		return 0
	}
	return s.backlog.total
}

// SpilledDestinations lists the destinations with spilled messages in ascending order.
func (s *Spool) SpilledDestinations() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.backlog.dests))
}

// HasSpilledKey reports whether a message with this order key is spilled, and whether one may be spilled for a destination other than
// dst: that may be out of date until the last message of the key is loaded. Both are false for the empty key. Keys are compared by a
// 64-bit hash.
func (s *Spool) HasSpilledKey(orderKey string, dst int64) (spilled, elsewhere bool) {
	if orderKey == "" {
		return false, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backlog == nil {
		return false, false
	}
	k := s.backlog.keys[hashKey(orderKey)]
	return k.count > 0, k.count > 0 && (k.multipleDsts || k.dst != dst)
}

// completeReleased completes a message that was spilled, whether or not it was loaded again: Complete is all that its former owner can
// still call.
func (s *Spool) completeReleased(m *Message) error {
	if m.segment != nil || m.AcceptSeq == 0 {
		return ErrNotPending
	}
	if current := s.pending[m.ID]; current != nil && current.AcceptSeq == m.AcceptSeq {
		return s.completeLocked(current)
	}
	seg, e, found, err := s.findSpilled(m.ID)
	if err != nil {
		return err
	}
	if !found || e.seq != m.AcceptSeq {
		return ErrNotPending
	}
	record := newRecord(recCompleted, m.ID).finish()
	copiedBefore := s.backlog.copied
	if err := s.ensureSpaceForUpdate(int64(len(record))); err != nil {
		return err
	}
	if s.backlog.copied != copiedBefore { // making space copied it forward
		if seg, e, found, err = s.findSpilled(m.ID); err != nil || !found {
			return errors.Join(ErrNotPending, err)
		}
	}
	if err := s.appendRecord(record); err != nil {
		return err
	}
	s.dropSpilled(seg, &e)
	s.reclaim()
	return nil
}

// subtractLive subtracts a slot that is no longer spilled from the pending counts of its segment.
func (s *Spool) subtractLive(seg *segment, e *entry) {
	seg.pending--
	seg.liveBytes -= int64(e.length)
	s.liveBytes -= int64(e.length)
}

// Has reports whether a message with this ID is pending, spilled or not. Messages of which only the notice is pending do not count. If a
// file cannot be read at the moment it returns true: a refused hand-in does less harm than a duplicate message.
func (s *Spool) Has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.pending[id]; m != nil && !m.Ended {
		return true
	}
	_, _, found, err := s.findSpilled(id)
	return found || err != nil
}
