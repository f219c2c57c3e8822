package channels

import (
	"errors"
	"fmt"
)

// Timing holds the spans, in µs.
type Timing struct {
	Lease  int64 // for which an owner may go on without a majority of its electors
	Drift  int64 // millionths by which two clocks may run apart
	Answer int64 // within which a letter is usually answered; then it is repeated, or the next elector asked
	Leg    int64 // the longest that a leg is out, with the lane's settle time after it
	Live   int64 // after its last hand-in, for which a client's claim keeps others off
	Drain  int64 // for which a yielding owner goes on with messages whose turn has not come
	Idle   int64 // after which an unused channel is given back
	Forget int64 // after which electors forget ids of an unused channel, and all of a withdrawn one
}

// Usual spans: a lease outlasts two lost renewals and a pause for collection, and a takeover stays within a client's usual deadline.
var Usual = Timing{Lease: 6_000_000, Drift: 1000, Answer: 300_000, Leg: 6_000_000, Live: 2_000_000, Drain: 1_000_000, Idle: 30_000_000,
	Forget: 86_400_000_000}

// Check names what cannot be.
func (t Timing) Check() error {
	var faults []error
	if t.Lease <= 0 || t.Answer <= 0 || t.Leg <= 0 || t.Live <= 0 || t.Idle <= 0 || t.Forget <= 0 || t.Drain < 0 {
		faults = append(faults, errors.New("every span is above 0"))
	}
	if t.Drift < 0 || t.Drift > 100_000 {
		faults = append(faults, errors.New("drift: not within 0 and 100000 millionths"))
	}
	if t.Lease < 3*t.Answer {
		faults = append(faults, fmt.Errorf("lease: at least three answers (%d µs), for it is renewed at a third", 3*t.Answer))
	}
	return errors.Join(faults...)
}

// promise is how long an elector keeps its word: the lease by a clock that may run slower than its own.
func (t Timing) promise() int64 { return t.Lease + t.Lease*2*t.Drift/1_000_000 + 1 }

// quiet is how long a new owner waits for legs of one that is not known to have stopped, by a clock that may run fast.
func (t Timing) quiet() int64 { return t.Leg + t.Leg*2*t.Drift/1_000_000 + 1 }
