// Package choice decides, for one sender, which message goes to which receiver and when.
package choice

// Host is all that a Sender can do to the world. Times are whole microseconds, ids are as the wire gave
// them.
type Host interface {
	Send(msg string, receiver uint32, patience int64)
	Cancel(msg string, leg int)
	PushBack(msg string, comeBackIn int64)
	Fail(msg string)
	Timer(in int64, token uint64)
	Probe(receiver uint32)
	CloseIdle(receiver uint32)
	Note(text string)
	Subscribe()
	Log(text string)
	Saw(Sight) // something that fellows may want to know
}

// Repeat says what a lane allows for a message that may have run.
type Repeat uint8

// The three kinds of lane.
const (
	NonRetriable Repeat = iota
	Keyed
	Retriable
)

// Lane is a kind of traffic.
type Lane struct {
	Repeat    Repeat
	AnyInDst  bool  // keyed: every receiver of the destination knows the key; else those of one zone
	Window    int64 // keyed: how long the key is remembered
	Target    int64
	Deadline  int64
	Value     float64
	LateValue float64 // share of the value left at the deadline
	InOrder   bool    // messages of one key take turns
}

// Kind is a kind of destination.
type Kind struct {
	Apart bool // its receivers are routes with limits, waits and outages of their own
	Batch int  // messages that one call takes
}

// Team is how many senders there are, and where this one stands.
type Team struct {
	Senders, Zone int
	CrossingFee   float64 // price of a leg to another zone, in values
}

// Room is what a sender has to work with.
type Room struct {
	Slots, Held, Legs int
	Idle              int64 // how long a connection stands idle until it closes
	HalvesLate        bool  // late value falls by half with each further target time, not evenly
}

// Allowed is what the deployment lets a sender do.
type Allowed struct {
	Probes, Subscribe, Notes, Cancel bool
	MaxAdvice                        int64 // longest a client may be told to wait, 0 where it is told nothing
}

// Guards are the figures of the rules.
type Guards struct {
	StartShare float64 // a destination back from an outage has this share of its capacity
	WarmWithin int64
	Overload   float64 // sent more than this multiple of what it can do
	KeyRest    int64
	AskWithin  int64 // without a watch on the list, it must be asked for at least so often
}

// WeightTrust says what the weights of a list are good for.
type WeightTrust uint8

// What a listed weight may be.
const (
	NoWeight WeightTrust = iota
	RoughWeight
	NominalWeight
)

// ListForm says how a list of receivers is to be read.
type ListForm uint8

// The forms in which a list comes.
const (
	Changes ListForm = iota
	Whole
	Remembered
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

// The outcomes.
const (
	Delivered Outcome = iota
	Errored
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Skipped
)

// NeverRan tells whether the outcome proves that the leg had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == Skipped }

// Report is what an answer told of the limit; zero where it told nothing.
type Report struct {
	Told        bool
	ShareLeft   float64
	LimitPerSec float64
}

// SightKind says what was seen.
type SightKind uint8

// What a sender sees of a receiver, or of its route.
const (
	SeenDown   SightKind = iota // closed
	SeenBack                    // delivers again, cold
	SeenWait                    // told a wait
	SeenLimit                   // told its limit
	SeenScarce                  // short of connections
)

// Sight is what one sender saw and tells its fellows. What a kind does not name is zero. It may be wrong.
type Sight struct {
	Kind     SightKind
	Receiver uint32
	Dst      int64
	Wait     int64   // µs left of a told wait
	PerSec   float64 // calls a second, the told limit
	Warm     float64 // of the warm time, from 0 to 1
	Age      int64   // µs since it was seen
}
