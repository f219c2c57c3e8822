package channels

import (
	"errors"
	"fmt"
)

// Timing holds the time limits, in µs.
type Timing struct {
	Lease        int64 // for which an owner may continue without a majority of the voters
	Drift        int64 // parts per million by which the rates of two clocks may differ
	ReplyTimeout int64 // usual time to a reply; after it a request is repeated, or the next voter asked
	Leg          int64 // maximum duration of a leg, including the settle time of its class
	Live         int64 // after its last hand-in, for which a client keeps other senders from taking over
	Drain        int64 // for which a yielding owner still releases held messages
	Idle         int64 // after which an unused channel is released
	Forget       int64 // after which voters delete the id hashes and final records of an unused channel, and all state of a withdrawn one
}

// DefaultTiming has a lease that survives two lost renewals plus a garbage-collection pause; takeovers fit into a client's usual deadline.
var DefaultTiming = Timing{Lease: 6_000_000, Drift: 1000, ReplyTimeout: 300_000, Leg: 6_000_000, Live: 2_000_000, Drain: 1_000_000, Idle: 30_000_000,
	Forget: 86_400_000_000}

// Validate reports invalid time limits.
func (t Timing) Validate() error {
	var faults []error
	if t.Lease <= 0 || t.ReplyTimeout <= 0 || t.Leg <= 0 || t.Live <= 0 || t.Idle <= 0 || t.Forget <= 0 || t.Drain < 0 {
		faults = append(faults, errors.New("lease, reply timeout, leg, live, idle and forget must be above 0, and drain not negative"))
	}
	if t.Drift < 0 || t.Drift > 100_000 {
		faults = append(faults, errors.New("drift: must be within 0 and 100000 ppm"))
	}
	if t.Lease < 3*t.ReplyTimeout {
		faults = append(faults, fmt.Errorf("lease: must be at least three reply timeouts (%d µs), as it is renewed after a third of its length",
			3*t.ReplyTimeout))
	}
	return errors.Join(faults...)
}

// promiseTime is how long a voter keeps a promise: the lease on an owner's possibly slower clock.
func (t Timing) promiseTime() int64 { return t.Lease + t.Lease*2*t.Drift/1_000_000 + 1 }

// quietTime is how long a new owner, whose clock may run fast, waits for the legs of one that did not stop cleanly.
func (t Timing) quietTime() int64 { return t.Leg + t.Leg*2*t.Drift/1_000_000 + 1 }
