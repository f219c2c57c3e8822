// Package spool keeps the messages owed in the folder that outlasts the process: append-only segments, the
// oldest of which goes when nothing in it is owed, what is still owed of it copied forward.
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
	block     = 512        // bytes; files count in whole ones
	segments  = 8          // of the room; smaller ones would be copied forward more often
	reserve   = 4          // one in so many bytes is kept for copies and for messages already taken on
	deadShare = 4          // the oldest is copied forward early when at most one in so many bytes is still owed
	mostLegs  = 256        // remembered of a message
	magic     = "rvlsp1\n" // opens each segment
	extension = ".seg"
)

// ErrFull says that the folder has no room for a further message.
var ErrFull = errors.New("spool is full")

// ErrOver says that a message is not owed, or not any more.
var ErrOver = errors.New("spool: the message is not owed")

// Leg is one leg of a message.
type Leg struct {
	SentAt   int64 // µs since 1970
	Zone     int
	NeverRan bool
}

// Message is one owed.
type Message struct {
	ID, Lane, Key, OrderKey string
	Dst                     int64
	Expires                 int64 // µs since 1970
	Body                    []byte
	Channel                 string // that orders it; empty for none
	Pos                     int64  // in the channel
	Legs                    []Leg
	Ended                   bool // undelivered, and only the notice is owed
	PushedBack              bool
	Advice                  int64 // µs
	Taken                   int64 // by the sender's own count, which grows also over restarts; 0 until taken, or of an older version
	Bare                    bool  // ended, and its body and keys were erased on a purge's order
	Print                   Print // not on disk

	unanswered bool // its client was not told yet that it is taken on, or never heard

	drawn   bool     // loaded from the backlog
	ending  bool     // its end is told, and could not be recorded
	settled bool     // nothing is owed for it any more, and that could not be recorded
	slot    uint32   // with the backlog on: so many taken records stand in front of its newest one in that segment
	segment *segment // that holds its newest record of all it needs
	length  int64    // of that record
	offset  int64    // with the backlog on, bytes: where it stands
}

// segment is one file.
type segment struct {
	number int64
	size   int64
	owed   int     // messages that stand in it
	live   int64   // bytes of their records
	sealed *sealed // with the backlog on, nil for the newest
}

func (s *segment) blocks() int64 { return blocks(s.size) }

func blocks(size int64) int64 { return (size + block - 1) / block * block }

// Spool is the journal of one sender.
type Spool struct {
	mu       sync.Mutex
	dir      string
	room     int64               // bytes for all segments
	owed     map[string]*Message // emptied as messages are over
	reserved map[string]*Message // hand-ins that are being decided on, as many as clients; emptied by their Take, Spill or Release
	live     int64               // bytes of their records
	order    []*segment          // oldest first, the last is written to; bounded by room
	last     int64               // highest number in use
	count    int64               // of messages taken on in this process
	ended    func(Print) error   // nil: nothing is remembered of messages that are over
	fenced   func(*Message) bool // older than a fence; nil: none is
	foreign  int64               // bytes of files that are not ours to read
	strange  []string            // their names
	file     *os.File
	earlier  bool     // a process wrote here before this one
	backlog  *backlog // nil: off
	torn     bool     // the newest segment ends in part of a record: what follows there would not be believed
}

// Open reads back what is owed and starts a new segment. It says in notes what it could not read.
func Open(dir string, room int64) (s *Spool, notes []string, err error) {
	s = &Spool{dir: dir, room: room, owed: map[string]*Message{}, reserved: map[string]*Message{}}
	names, err := filepath.Glob(filepath.Join(dir, "*"+extension))
	if err != nil {
		return nil, nil, fmt.Errorf("spool: %w", err)
	}
	slices.Sort(names)
	for _, name := range names {
		if note := s.recover(name); note != "" {
			notes = append(notes, note)
		}
	}
	s.earlier = s.last > 0
	if err := s.startSegment(); err != nil {
		return nil, notes, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shrink()
	return s, notes, nil
}

// recover reads one segment up to the first torn record. What it cannot read it leaves as it is.
func (s *Spool) recover(name string) (note string) {
	seg := &segment{}
	_, misnamed := fmt.Sscanf(filepath.Base(name), "%d"+extension, &seg.number)
	s.last = max(s.last, seg.number) // of an unreadable one too, or the next segment would bear its number
	data, err := os.ReadFile(name)
	if err != nil {
		s.strange = append(s.strange, filepath.Base(name))
		return "left alone, not readable: " + err.Error()
	}
	seg.size = int64(len(data))
	left, known := strings.CutPrefix(string(data), magic)
	if misnamed != nil || !known && seg.size >= int64(len(magic)) {
		s.foreign += seg.blocks()
		s.strange = append(s.strange, filepath.Base(name))
		return "left alone, of an unknown version: " + filepath.Base(name)
	}
	s.order = append(s.order, seg)
	if !known { // cut off while it was begun
		return ""
	}
	record, rest := next([]byte(left))
	for ; record != nil; record, rest = next(rest) {
		s.replay(record, seg)
	}
	if len(rest) > 0 {
		return fmt.Sprintf("%d bytes after the last whole record of %s", len(rest), filepath.Base(name))
	}
	return ""
}

// replay takes in one record.
func (s *Spool) replay(record []byte, seg *segment) {
	d := &decoder{left: record[1:]}
	id := string(d.text())
	if record[0] == recTaken {
		if m := readMessage(id, d); !d.bad {
			s.place(m, seg, int64(len(record)))
		}
		return
	}
	m := s.owed[id]
	if m == nil || d.bad {
		return
	}
	switch record[0] {
	case recLeg:
		if l := readLeg(d); !d.bad {
			m.addLeg(l)
		}
	case recUnrun:
		m.unrun()
	case recEnded:
		m.Ended, m.PushedBack, m.Advice = true, d.number() != 0, d.number()
	case recOver:
		s.drop(m)
	}
}

// addLeg remembers a leg. Of too many the oldest that never ran goes, else the second: the first that may have run opens its key's window,
// and the latest is the one whose outcome may follow.
func (m *Message) addLeg(l Leg) {
	if len(m.Legs) >= mostLegs {
		i := slices.IndexFunc(m.Legs, func(o Leg) bool { return o.NeverRan })
		if i < 0 {
			i = 1
		}
		m.Legs = slices.Delete(m.Legs, i, i+1)
	}
	m.Legs = append(m.Legs, l)
}

// unrun has the latest leg have never run.
func (m *Message) unrun() {
	if n := len(m.Legs); n > 0 {
		m.Legs[n-1].NeverRan = true
	}
}

// place has a message stand in a segment, and no longer in the one it stood in.
func (s *Spool) place(m *Message, seg *segment, length int64) {
	if old := s.owed[m.ID]; old != nil {
		s.lift(old)
	}
	s.owed[m.ID] = m
	if s.backlog != nil {
		s.stand(m, seg, seg.size-length, length)
		return
	}
	m.segment, m.length = seg, length
	seg.owed++
	seg.live += length
	s.live += length
}

func (s *Spool) lift(m *Message) {
	if s.backlog != nil {
		e := m.entry()
		s.backlog.die(m.segment, &e)
	}
	m.segment.owed--
	m.segment.live -= m.length
	s.live -= m.length
}

func (s *Spool) drop(m *Message) {
	s.lift(m)
	delete(s.owed, m.ID)
}

func readMessage(id string, d *decoder) *Message {
	m := &Message{ID: id, Lane: string(d.text()), Key: string(d.text()), OrderKey: string(d.text()), Dst: d.number(),
		Expires: d.number()}
	m.Ended, m.PushedBack, m.Advice = d.number() != 0, d.number() != 0, d.number()
	for n := d.number(); n > 0 && !d.bad; n-- { // all of them, or the rest would be taken for the body
		m.addLeg(readLeg(d))
	}
	m.Body = slices.Clone(d.text())
	if len(d.left) > 0 { // older versions wrote no more
		m.Channel, m.Pos = string(d.text()), d.number()
		m.Taken, m.Bare = d.number(), d.number() != 0
	}
	return m
}

func readLeg(d *decoder) Leg {
	return Leg{SentAt: d.number(), Zone: int(d.number()), NeverRan: d.number() != 0}
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (e encoder) leg(l Leg) encoder {
	return e.number(l.SentAt).number(int64(l.Zone)).number(flag(l.NeverRan))
}

func (m *Message) record() []byte {
	key, orderKey, channel, body := m.Key, m.OrderKey, m.Channel, m.Body
	if m.Bare {
		key, orderKey, channel, body = "", "", "", nil
	}
	e := begin(recTaken, m.ID).text([]byte(m.Lane)).text([]byte(key)).text([]byte(orderKey)).number(m.Dst)
	e = e.number(m.Expires).number(flag(m.Ended)).number(flag(m.PushedBack)).number(m.Advice)
	e = e.number(int64(len(m.Legs)))
	for _, l := range m.Legs {
		e = e.leg(l)
	}
	return e.text(body).text([]byte(channel)).number(m.Pos).number(m.Taken).number(flag(m.Bare)).seal()
}

// Earlier tells whether a process wrote here before this one.
func (s *Spool) Earlier() bool { return s.earlier }

// Owed lists what is owed in the order in which it was taken on. Danger: given back in another one, the messages of a key change places.
func (s *Spool) Owed() []*Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := make([]*Message, 0, len(s.owed))
	for _, m := range s.owed {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b *Message) int {
		return cmp.Or(cmp.Compare(a.Taken, b.Taken), cmp.Compare(a.Expires, b.Expires), strings.Compare(a.ID, b.ID))
	})
	return ms
}
