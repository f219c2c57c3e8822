// Package recent remembers how messages ended lately, by a fingerprint of each, also over a restart: a client that left before it heard may hand
// the same message in again, and it must not run twice. What is remembered and for how many messages is decided here, with no I/O.
package recent

// Outcome is how a message ended.
type Outcome uint8

// The outcomes that are remembered.
const (
	Delivered Outcome = iota + 1
	Failed
)

// End is what is known of a message's end.
type End struct {
	Delivered  bool // a receiver answered that it ran
	PushedBack bool // its client may hand it in again
	Retriable  bool // its traffic class may run again
}

// Remembered tells which outcome of an end is remembered, if any. What was pushed back never ran, and its client may hand it in again; what
// failed may have run, so it is taken on anew only where it may run again.
func (e End) Remembered() (Outcome, bool) {
	switch {
	case e.Delivered:
		return Delivered, true
	case e.PushedBack || e.Retriable:
		return 0, false
	}
	return Failed, true
}

const (
	memoryPart = 64  // of the memory, one part in so many is for what is remembered
	entryCost  = 64  // bytes of memory for one message
	diskPart   = 100 // of the folder, one part in so many
	leastKept  = 256
)

// Room is how many messages are remembered within limits of memory and disk, in bytes.
func Room(memory, disk int64) int {
	return int(max(leastKept, min(memory/memoryPart/entryCost, disk/diskPart/int64(recordSize))))
}
