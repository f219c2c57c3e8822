// Package choice decides, for one sender, which message goes to which receiver and when.
package choice

// Host executes the actions of a Sender. Times are whole microseconds, ids are as received on the wire.
type Host interface {
	Send(msg string, receiver uint32, timeout int64)
	Cancel(msg string, leg int)
	Reject(msg string, retryAfter int64)
	Fail(msg string)
	SetTimer(in int64, token uint64)
	Probe(receiver uint32)
	CloseIdle(receiver uint32)
	Broadcast(text string)
	Subscribe()
	Log(text string)
	Share(Observation) // an observation that may be useful to peers
}

// RetryMode says whether a message that may have run may be retried.
type RetryMode uint8

// Retry modes of a class.
const (
	NonRetriable RetryMode = iota
	Keyed
	Retriable
)

// Class is a traffic class.
type Class struct {
	RetryMode   RetryMode
	DstWideKeys bool  // Keyed: all receivers of the destination share the keys; else only those of one zone
	KeyWindow   int64 // Keyed: how long a key is remembered
	Target      int64
	Deadline    int64
	Value       float64
	LateValue   float64 // share of the value left at the deadline
	Ordered     bool    // messages of one key are sent one after the other
}

// Kind is a kind of destination.
type Kind struct {
	PerReceiver bool // limits, Retry-After and outages are tracked per receiver
	Batch       int  // messages that one call takes
}

// Topology is the number of senders and the position of this one.
type Topology struct {
	Senders, Zone int
	CrossZoneCost float64 // cost of a leg to another zone, in units of Class.Value
}

// Limits bounds the resources of a sender.
type Limits struct {
	MaxCalls, MaxQueued, MaxLegs int
	IdleTimeout                  int64 // after which an idle connection closes
	ExponentialDecay             bool  // late value halves with each further target time; else it falls linearly
}

// Capabilities says which operations the deployment offers to a sender.
type Capabilities struct {
	Probes, Subscribe, PeerNotes, Cancel bool
	MaxRetryAfter                        int64 // longest Retry-After given to a client, 0 where none may be given
}

// Rules holds the figures of the safety rules.
type Rules struct {
	StartCapacity     float64 // share of its capacity that a destination has right after an outage
	WarmUpTime        int64
	OverloadFactor    float64 // multiple of its current capacity beyond which a destination is overloaded
	KeyQuietTime      int64
	MaxLookupInterval int64 // longest time between two lookups of the list without a watch
}

// WeightTrust says how far the weights of a list can be trusted.
type WeightTrust uint8

// Meanings of a listed weight.
const (
	NoWeight WeightTrust = iota
	RoughWeight
	NominalWeight
)

// ListKind says how a list of receivers is to be applied.
type ListKind uint8

// Kinds of list.
const (
	Delta ListKind = iota
	Snapshot
	Cached
	LookupFailed
)

// Entry is a line of the list of receivers.
type Entry struct {
	Receiver uint32
	Dst      int64
	Kind     int
	Zone     int
	Weight   float64
	Listed   bool // false: draining or gone
}

// Outcome is how a leg or a probe ended.
type Outcome uint8

// Outcomes of a leg or a probe.
const (
	Delivered Outcome = iota
	Errored
	Refused
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// NeverRan tells whether the outcome proves that the leg had no effect.
func (o Outcome) NeverRan() bool { return o == Refused || o == ConnectFailed || o == NotSent }

// RateLimit is what a response announced of the rate limit; zero where it announced nothing.
type RateLimit struct {
	Known          bool
	RemainingShare float64
	LimitPerSec    float64
}

// ObservationKind says what was observed.
type ObservationKind uint8

// What a sender observes of a receiver or its route.
const (
	ObservedDown         ObservationKind = iota // closed
	ObservedRecovery                            // delivers again, cold
	ObservedRetryAfter                          // sent a Retry-After
	ObservedLimit                               // announced its limit
	ObservedConnShortage                        // short of connections
)

// Observation is what one sender observed and shares with its peers. It may be wrong. Fields that its kind does not use are zero.
type Observation struct {
	Kind       ObservationKind
	Receiver   uint32
	Dst        int64
	RetryAfter int64   // µs left of the Retry-After
	PerSec     float64 // announced limit, calls a second
	Warm       float64 // progress of the warm-up from 0 to 1
	Age        int64   // µs since the observation
}
