package spool

import (
	"bytes"
	"errors"
)

// What a message is not taken on for because of its id.
var (
	ErrTwice  = errors.New("spool: a message that is owed has this id")
	ErrEnding = errors.New("spool: a message with this id has ended, and its notice is owed")
	ErrSame   = errors.New("spool: the same message is owed, and its client was told so")
)

// Print is a fingerprint of a message as its client handed it in; zero for none.
type Print [16]byte

// Same tells whether two hand-ins are one message, as far as is known.
func (m *Message) Same(o *Message) bool { return m.Print != Print{} && m.Print == o.Print }

// Ended has a function asked about each message that is to be taken on and has a Print: its error, if any, is what it is not taken on for. It is
// asked with the spool's lock held and must wait for nothing. It comes before any message.
func (s *Spool) Ended(how func(Print) error) { s.ended = how }

// Answered says that the client of a message was told that it is taken on.
func (s *Spool) Answered(m *Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.unanswered = false
}

// Reserve keeps an id for a new message until Take, Spill or Release. ErrTwice and ErrEnding: as Take. Any other error says that it is not
// known whether a spilled message has the id.
func (s *Spool) Reserve(m *Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.identify(m); err != nil {
		return err
	}
	s.reserved[m.ID] = m
	return nil
}

// Release lets go of an id that Reserve keeps.
func (s *Spool) Release(m *Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(m)
}

func (s *Spool) release(m *Message) {
	if s.reserved[m.ID] == m {
		delete(s.reserved, m.ID)
	}
}

// identify tells whether a new message may have its id. It is the one place that decides: a second record under the id of a message that is
// owed would take that one's place, in memory and at the next start.
func (s *Spool) identify(m *Message) error {
	if holder := s.reserved[m.ID]; holder == m {
		return nil
	} else if holder != nil {
		return beside(holder, m, true)
	}
	if old := s.owed[m.ID]; old != nil && !old.settled {
		if old.Ended || old.ending {
			return ErrEnding
		}
		return beside(old, m, old.unanswered)
	}
	_, _, spilled, err := s.find(m.ID)
	if spilled {
		return ErrTwice
	}
	if err == nil && s.ended != nil && m.Print != (Print{}) {
		err = s.ended(m.Print)
	}
	return err
}

// beside is what a message is not taken on for beside one that has its id. Danger: while the other one's client has no answer, it may be taken
// back; whoever was told meanwhile that it is owed would lose it.
func beside(other, m *Message, unanswered bool) error {
	switch {
	case !other.Same(m):
		return ErrTwice
	case unanswered:
		return ErrEnding
	}
	return ErrSame
}

// Owes tells whether the message of this id that is owed, spilled or not, is the one that was taken on with this count (Message.Taken; 0 of
// an older version: any). Where a file cannot be read at the moment, it says yes.
func (s *Spool) Owes(id string, taken int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.owed[id]; m != nil {
		return taken == 0 || m.Taken == taken
	}
	_, e, found, err := s.find(id)
	return found && (taken == 0 || e.taken == taken) || err != nil
}

// OwesSame tells whether what is owed under a message's id, in memory, has its destination and body. Of a spilled one the destination alone
// is compared.
func (s *Spool) OwesSame(m *Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.owed[m.ID]; old != nil {
		return old.Dst == m.Dst && bytes.Equal(old.Body, m.Body)
	}
	_, e, found, _ := s.find(m.ID)
	return found && e.dst == m.Dst
}
