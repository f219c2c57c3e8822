// Package spool stores pending messages durably: append-only segments in a folder that outlives the process. The oldest segment is
// removed once nothing in it is pending; messages still pending in it are copied forward first.
package spool

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

const (
	blockSize        = 512        // bytes; disk usage is counted in whole blocks
	segmentDivisor   = 8          // the capacity is divided into this many segments; smaller ones would be copied forward more often
	reserveDivisor   = 4          // one in this many bytes of the capacity is reserved for copies and for messages already accepted
	copyLiveDivisor  = 4          // the oldest segment is copied forward early once at most one in this many of its bytes is still pending
	maxLegs          = 256        // recorded per message
	segmentMagic     = "rvlsp1\n" // header of each segment
	segmentExtension = ".seg"
)

// ErrFull is returned when the folder has no space for another message.
var ErrFull = errors.New("spool is full")

// ErrNotPending is returned for a message that is not pending, or not any more.
var ErrNotPending = errors.New("spool: message is not pending")

// Leg is one attempt to deliver a message to a receiver.
type Leg struct {
	SentAt   int64 // µs since 1970
	Zone     int
	NeverRan bool
}

// Message is a pending message.
type Message struct {
	ID, Class, Key, OrderKey string
	Dst                      int64
	Expires                  int64 // µs since 1970
	Body                     []byte
	Channel                  string // channel that orders the message; empty for none
	Pos                      int64  // position in the channel
	Legs                     []Leg
	Ended                    bool // ended undelivered; only the notice is pending
	Rejected                 bool
	RetryAfter               int64 // µs
	AcceptSeq                int64 // acceptance counter, grows across restarts; 0 before acceptance and in records of older versions
	Erased                   bool  // ended, and its body and keys were erased by a purge

	loaded  bool     // loaded from the backlog
	slot    uint32   // backlog only: the number of accepted records before its newest one in that segment
	segment *segment // segment with its newest complete record
	length  int64    // of that record, in bytes
	offset  int64    // backlog only: position of that record, in bytes
}

// segment is one file of the spool.
type segment struct {
	number    int64
	size      int64
	pending   int     // messages whose newest record is in this segment
	liveBytes int64   // bytes of their records
	sealed    *sealed // backlog only; nil for the newest segment
}

func (s *segment) diskSize() int64 { return roundToBlocks(s.size) }

func roundToBlocks(size int64) int64 { return (size + blockSize - 1) / blockSize * blockSize }

// Spool is the journal of one sender.
type Spool struct {
	mu           sync.Mutex
	dir          string
	capacity     int64               // bytes for all segments
	pending      map[string]*Message // by ID; entries go as messages complete
	liveBytes    int64               // bytes of their records
	segments     []*segment          // oldest first, writes go to the last one; bounded by the capacity
	lastNumber   int64               // highest segment number in use
	acceptCount  int64               // messages accepted by this process
	fence        func(*Message) bool // reports whether a message is older than a purge; nil if there is no fence
	foreignBytes int64               // bytes of files in an unknown format
	unreadable   []string            // names of files that could not be read
	file         *os.File
	priorRun     bool     // an earlier process wrote to this folder
	backlog      *backlog // nil if the backlog is disabled
	tornTail     bool     // the newest segment ends in a partial record; recovery would ignore anything appended after it
}

// Open restores the pending messages and starts a new segment. The notes describe what could not be read.
func Open(dir string, capacity int64) (s *Spool, notes []string, err error) {
	s = &Spool{dir: dir, capacity: capacity, pending: map[string]*Message{}}
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentExtension))
	if err != nil {
		return nil, nil, fmt.Errorf("spool: %w", err)
	}
	slices.Sort(names)
	for _, name := range names {
		if note := s.recoverSegment(name); note != "" {
			notes = append(notes, note)
		}
	}
	s.priorRun = s.lastNumber > 0
	if err := s.startSegment(); err != nil {
		return nil, notes, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reclaim()
	return s, notes, nil
}

// recoverSegment reads one segment up to the first torn record. Files that it cannot read are left unchanged.
func (s *Spool) recoverSegment(name string) (note string) {
	seg := &segment{}
	_, misnamed := fmt.Sscanf(filepath.Base(name), "%d"+segmentExtension, &seg.number)
	s.lastNumber = max(s.lastNumber, seg.number) // unreadable ones too, or the next segment would get the same number
	data, err := os.ReadFile(name)
	if err != nil {
		s.unreadable = append(s.unreadable, filepath.Base(name))
		return "left unchanged, unreadable: " + err.Error()
	}
	seg.size = int64(len(data))
	content, known := strings.CutPrefix(string(data), segmentMagic)
	if misnamed != nil || !known && seg.size >= int64(len(segmentMagic)) {
		s.foreignBytes += seg.diskSize()
		s.unreadable = append(s.unreadable, filepath.Base(name))
		return "left unchanged, unknown version: " + filepath.Base(name)
	}
	s.segments = append(s.segments, seg)
	if !known { // truncated while it was being created
		return ""
	}
	record, rest := nextRecord([]byte(content))
	for ; record != nil; record, rest = nextRecord(rest) {
		s.applyRecord(record, seg)
	}
	if len(rest) > 0 {
		return fmt.Sprintf("%d bytes after the last whole record of %s", len(rest), filepath.Base(name))
	}
	return ""
}

// applyRecord replays one record.
func (s *Spool) applyRecord(record []byte, seg *segment) {
	d := &decoder{rest: record[1:]}
	id := string(d.bytes())
	if record[0] == recAccepted {
		if m := decodeMessage(id, d); !d.failed {
			s.place(m, seg, int64(len(record)))
		}
		return
	}
	m := s.pending[id]
	if m == nil || d.failed {
		return
	}
	switch record[0] {
	case recLeg:
		if l := decodeLeg(d); !d.failed {
			m.addLeg(l)
		}
	case recNeverRan:
		m.markNeverRan()
	case recUndelivered:
		m.Ended, m.Rejected, m.RetryAfter = true, d.varint() != 0, d.varint()
	case recCompleted:
		s.dropPending(m)
	}
}

// addLeg records a leg. Beyond maxLegs it discards the oldest leg that never ran, or else the second one: the first leg that may have run
// starts the window of the message's key, and the outcome of the latest may still follow.
func (m *Message) addLeg(l Leg) {
	if len(m.Legs) >= maxLegs {
		i := slices.IndexFunc(m.Legs, func(o Leg) bool { return o.NeverRan })
		if i < 0 {
			i = 1
		}
		m.Legs = slices.Delete(m.Legs, i, i+1)
	}
	m.Legs = append(m.Legs, l)
}

// markNeverRan marks the latest leg as never run.
func (m *Message) markNeverRan() {
	if n := len(m.Legs); n > 0 {
		m.Legs[n-1].NeverRan = true
	}
}

// place assigns a message to a segment, and removes it from its previous one.
func (s *Spool) place(m *Message, seg *segment, length int64) {
	if old := s.pending[m.ID]; old != nil {
		s.unplace(old)
	}
	s.pending[m.ID] = m
	if s.backlog != nil {
		s.placeInNewest(m, seg, seg.size-length, length)
		return
	}
	m.segment, m.length = seg, length
	seg.pending++
	seg.liveBytes += length
	s.liveBytes += length
}

func (s *Spool) unplace(m *Message) {
	if s.backlog != nil {
		e := m.entry()
		s.backlog.markDead(m.segment, &e)
	}
	m.segment.pending--
	m.segment.liveBytes -= m.length
	s.liveBytes -= m.length
}

func (s *Spool) dropPending(m *Message) {
	s.unplace(m)
	delete(s.pending, m.ID)
}

func decodeMessage(id string, d *decoder) *Message {
	m := &Message{ID: id, Class: string(d.bytes()), Key: string(d.bytes()), OrderKey: string(d.bytes()), Dst: d.varint(),
		Expires: d.varint()}
	m.Ended, m.Rejected, m.RetryAfter = d.varint() != 0, d.varint() != 0, d.varint()
	for n := d.varint(); n > 0 && !d.failed; n-- { // decodes all of them, or the remaining bytes would be taken for the body
		m.addLeg(decodeLeg(d))
	}
	m.Body = slices.Clone(d.bytes())
	if len(d.rest) > 0 { // records of older versions end here
		m.Channel, m.Pos = string(d.bytes()), d.varint()
		m.AcceptSeq, m.Erased = d.varint(), d.varint() != 0
	}
	return m
}

func decodeLeg(d *decoder) Leg {
	return Leg{SentAt: d.varint(), Zone: int(d.varint()), NeverRan: d.varint() != 0}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (e encoder) leg(l Leg) encoder {
	return e.varint(l.SentAt).varint(int64(l.Zone)).varint(boolToInt(l.NeverRan))
}

func (m *Message) encode() []byte {
	key, orderKey, channel, body := m.Key, m.OrderKey, m.Channel, m.Body
	if m.Erased {
		key, orderKey, channel, body = "", "", "", nil
	}
	e := newRecord(recAccepted, m.ID).bytes([]byte(m.Class)).bytes([]byte(key)).bytes([]byte(orderKey)).varint(m.Dst)
	e = e.varint(m.Expires).varint(boolToInt(m.Ended)).varint(boolToInt(m.Rejected)).varint(m.RetryAfter)
	e = e.varint(int64(len(m.Legs)))
	for _, l := range m.Legs {
		e = e.leg(l)
	}
	return e.bytes(body).bytes([]byte(channel)).varint(m.Pos).varint(m.AcceptSeq).varint(boolToInt(m.Erased)).finish()
}

// HasPriorRun reports whether an earlier process wrote to this folder.
func (s *Spool) HasPriorRun() bool { return s.priorRun }

// Pending lists the pending messages in order of acceptance. Handing them back in any other order would reorder the messages of a key.
func (s *Spool) Pending() []*Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := make([]*Message, 0, len(s.pending))
	for _, m := range s.pending {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b *Message) int {
		return cmp.Or(cmp.Compare(a.AcceptSeq, b.AcceptSeq), cmp.Compare(a.Expires, b.Expires), strings.Compare(a.ID, b.ID))
	})
	return ms
}
