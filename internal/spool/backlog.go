package spool

import (
	"errors"
	"fmt"
)

// What a spill is refused for, beside ErrFull.
var (
	ErrKeys    = errors.New("spool: too many order keys are spilled")
	ErrChannel = errors.New("spool: a message of a channel, or one that ended, is not spilled")
	ErrOff     = errors.New("spool: the backlog is off")
)

// DamagedError says that the record of a spilled message cannot be read: it is owed no more, as bytes behind a torn record are.
type DamagedError struct {
	Segment int64 // its number
	Offset  int64 // bytes
	Err     error // of the read; nil: its checksum or its fields are wrong
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("spool: record at byte %d of segment %d cannot be read: %v", e.Offset, e.Segment, e.Err)
}

func (e *DamagedError) Unwrap() error { return e.Err }

// OpenBacklog is Open with the backlog on: messages may be spilled, and at a start those come back by Load and its kin alone that have no
// attempt, are no channel's, did not end and were not loaded before. Owed gives the others. Segments are smaller than Open's, and each but
// the newest has an index file beside it, which is made again from the segment when it is missing or broken.
func OpenBacklog(dir string, room int64) (s *Spool, notes []string, err error) { return Open(dir, room) }

// Spill records a message as owed, new or working, and lets go of it: m is not the spool's any more, and comes back by Load as a copy with
// all its attempts. Without an error it is owed. With one, a new message is not, and a working one stays so. ErrFull: no room. ErrKeys: its
// order key would be one too many. ErrChannel: it is of a channel, or ended. ErrFenced: as Take. ErrOver: it was working, and is over.
func (s *Spool) Spill(m *Message) error { return ErrOff }

// Load takes up to n spilled messages of a destination back as working, in the order in which they were taken on. Beside an error it may
// give messages: a damaged record keeps none of the others back, and is told once (DamagedError). Fences hold none of them back, as they
// could not end then: who loads looks at what is older than a purge, as at a start.
func (s *Spool) Load(dst int64, n int) ([]*Message, error) { return nil, ErrOff }

// LoadDue is Load for up to n messages of any destination whose Expires is before a time (µs since 1970). The order is by Expires within a
// segment alone, and none is missed: fewer than n without an error are all.
func (s *Spool) LoadDue(before int64, n int) ([]*Message, error) { return nil, ErrOff }

// LoadMatching is Load for up to n messages that match, so that they end by the usual path. It reads all that is spilled, in the
// worst case, without keeping other calls out meanwhile.
func (s *Spool) LoadMatching(match func(*Message) bool, n int) ([]*Message, error) { return nil, ErrOff }

// NextDue is a lower bound of the earliest Expires of what is spilled, in µs since 1970; the highest int64 when nothing is.
func (s *Spool) NextDue() int64 { return 1<<63 - 1 }

// Spilled counts what is spilled for a destination.
func (s *Spool) Spilled(dst int64) int { return 0 }

// SpilledAll counts all that is spilled.
func (s *Spool) SpilledAll() int { return 0 }

// SpilledTo lists destinations with spilled messages, in rising order.
func (s *Spool) SpilledTo() []int64 { return nil }

// Has tells whether a message of this id is owed, spilled or not. Where a file cannot be read at the moment, it says yes: a refused
// hand-in does less harm than a message that is owed twice.
func (s *Spool) Has(id string) bool { return false }

// SpilledKey tells whether a message with this order key is spilled; no for the empty key. It goes by a hash of 64 bits.
func (s *Spool) SpilledKey(orderKey string) bool { return false }
