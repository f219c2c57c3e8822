// Package relay takes messages from acceptance to their end, whoever hands them in and whatever transport their legs use: it
// submits them to the decision module, records them, sends their legs, and reports their end once.
package relay

import (
	"context"
	"time"

	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// Clock is the wall time at its creation plus the monotonic time since. It ignores steps of the wall clock, and its times stay
// comparable across restarts.
type Clock struct{ start time.Time }

// NewClock starts a clock at the current time.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time in µs since 1970.
func (c Clock) Now() int64 { return c.start.UnixMicro() + time.Since(c.start).Microseconds() }

// Undelivered is the end of an accepted message that was not delivered.
type Undelivered struct {
	Msg        *spool.Message
	Rejected   bool
	RetryAfter int64            // µs after which its client should retry; 0 for none
	Attempts   func() []Attempt // returns their current state: one may still be in flight at the end, and its result counts
	BodyErased bool             // its body was erased by a purge before this process started
}

// Attempt is a recorded leg and its result, as far as this process knows it.
type Attempt struct {
	SentAt     int64  // µs since 1970; as recorded; identifies the leg among those of the message
	NeverRan   bool   // it certainly had no effect
	Elapsed    int64  // µs
	Receiver   string // empty if this process has seen no result; Result is then empty too
	Result     string
	RetryAfter int64 // µs, from a refusal; 0 for none
}

// Notifier is notified of messages that end undelivered, once for each in a process. It calls Engine.Complete for a message once
// nobody needs to be notified of it any more; until then the message survives restarts.
type Notifier interface {
	Undelivered(u Undelivered)
}

// Observer is called for events of messages, by destination: a message was accepted, a leg of it started, that leg ended and the
// message waits again, a leg was refused, the message ended.
type Observer interface {
	MessageAccepted(dst int64)
	LegStarted(dst int64)
	LegEnded(dst int64)
	LegRefused(dst int64)
	MessageEnded(dst int64)
}

// Leg is one attempt to deliver a message to a receiver.
type Leg struct {
	Msg       *spool.Message
	Receiver  routing.Receiver
	Timeout   time.Duration
	Deadline  int64       // µs; when the timeout expires
	Authorize func() bool // called with the connection established; returns whether the leg may start and has been recorded
	Confirm   func() bool // called right before the first byte; returns whether the authorization still holds. It waits for no I/O
}

// Outcome is the outcome of a leg.
type Outcome struct {
	Result     routing.Result
	RetryAfter int64 // µs, from a refusal; 0 for none
	Load       routing.Load
	Stage      uint8 // for logs
	Status     int   // for logs
}

// Transport sends legs to receivers. Send returns when the leg has an outcome, and soon after ctx ends.
type Transport interface {
	Send(ctx context.Context, l Leg) Outcome
}

// A frontend hands messages in: it calls Accept, answers its client, and then calls Deliver; if the client never received the
// answer, it calls Withdraw before Deliver. Later news reaches the client through the Notifier.
