// Package relay is a message's life from take to end, whoever hands it in and however its legs travel: it is given to the
// decisions, written down, carried, and its one end is told.
package relay

import (
	"context"
	"time"

	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// Clock is the wall time of the start plus the monotonic time since: no step of the wall clock reaches it,
// and its times mean the same after a restart.
type Clock struct{ start time.Time }

// NewClock starts one.
func NewClock() Clock { return Clock{time.Now()} }

// Now is in µs since 1970.
func (c Clock) Now() int64 { return c.start.UnixMicro() + time.Since(c.start).Microseconds() }

// Undelivered is the end of a message that was taken on and is not delivered.
type Undelivered struct {
	Msg        *spool.Message
	PushedBack bool
	Advice     int64            // µs after which its client should come again, 0 for none
	Attempts   func() []Attempt // as they stand when it is called: one may still be out at the end, and what it comes to counts
	NoClient   bool             // it is a kept message that was sent again: nobody can hand it in again
	Bare       bool             // its body was erased on a purge's order before this process began
}

// Attempt is a leg on record, and what became of it as far as this process has seen it.
type Attempt struct {
	SentAt   int64  // µs since 1970; as on record, which tells the legs of a message apart
	NeverRan bool   // it surely had no effect
	Took     int64  // µs
	Receiver string // empty where this process has seen no outcome, and so Result
	Result   string
	Wait     int64 // µs, told by a refusal; 0 for none
}

// Ends hears of messages that end undelivered, each once in a process. It calls the engine's Over for a message once
// nobody need be told of it any more; until then the message outlasts restarts.
type Ends interface {
	Undelivered(u Undelivered)
}

// Watcher hears what becomes of messages, by destination: one was taken on, a leg of it begins, that leg is over and it waits again, a call
// was turned away, it ended.
type Watcher interface {
	Came(dst int64)
	Began(dst int64)
	Paused(dst int64)
	TurnedAway(dst int64)
	Ended(dst int64)
}

// Leg is one to be carried.
type Leg struct {
	Msg      *spool.Message
	To       routing.Receiver
	Patience time.Duration
	Until    int64       // µs; when patience ends
	Ready    func() bool // asked with the way open: whether the leg may still begin, and is on record
	Still    func() bool // asked last, right before the first byte: whether what Ready said still counts. It waits for no I/O
}

// Journey is how a leg went.
type Journey struct {
	Result routing.Result
	Wait   int64 // µs told by a refusal, 0 for none
	Load   routing.Load
	Stage  uint8         // for logs
	Status int           // for logs
	Use    ConnectionUse // for logs
}

// ConnectionUse is the connection that a leg took, and the how manyth call it was there, from 1; zero for a leg that was not sent.
type ConnectionUse struct {
	Connection uint64
	Number     int
}

// Carrier is a way in which legs travel. Carry returns when the leg has an outcome, and soon after ctx ends.
type Carrier interface {
	Carry(ctx context.Context, l Leg) Journey
}

// A front hands messages in: it calls Take, tells its client, and then either Carry or, if the client never heard, Withdraw
// before Carry. What a client hears later it hears through Ends.
