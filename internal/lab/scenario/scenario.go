// Package scenario defines the file format of a simulated run: the senders, destinations and network, the traffic, and
// the faults with their times. Decoding is strict and reports every error with its position in the file.
package scenario

import (
	"fmt"
	"strings"

	"ravenlink/internal/lab/draw"
	"ravenlink/internal/lab/receivers"
	"ravenlink/internal/strict"
)

// Version is the version of the file format. Every file states the one that it uses.
const Version = 1

// Duration is a length of time in µs, written as in "250ms".
type Duration = strict.Duration

// Enum is one of a few texts. Each field of this type lists its allowed texts in its tag `of`.
type Enum string

// Scenario describes one simulated run.
type Scenario struct {
	Version      int          `toml:"version"`
	Name         string       `toml:"name"`
	Description  string       `toml:"shows"` // purpose of the scenario, one line
	Length       Duration     `toml:"length"`
	Fleet        Fleet        `toml:"team"`
	LoadBalancer LoadBalancer `toml:"front"`
	Network      Network      `toml:"network"`
	Discovery    Discovery    `toml:"discovery"`
	Rules        Rules        `toml:"rules"`
	Clients      Clients      `toml:"clients"`
	Traffic      Traffic      `toml:"traffic"`
	Classes      []Class      `toml:"lane"`
	Kinds        []Kind       `toml:"kind"`
	Faults       []Fault      `toml:"trouble"`
}

// Fleet describes the senders, the resources of each and the operations that it may use.
type Fleet struct {
	Senders         int      `toml:"senders"`
	Zones           int      `toml:"zones"`                 // senders and receivers are distributed over them
	MaxCalls        int      `toml:"slots"`                 // concurrent calls of a sender; 0: derived from slots_room
	CallHeadroom    float64  `toml:"slots_room"`            // multiple of the calls that its share of the traffic keeps busy on average
	MaxQueued       int      `toml:"held"`                  // messages that a sender may hold; 0: derived from hold
	QueueTime       Duration `toml:"hold"`                  // a sender may hold as many messages as its share of the traffic brings in this time
	MaxLegs         int      `toml:"legs"`                  // of a message
	LateDecay       Enum     `toml:"late" of:"halves line"` // decay of a message's value after its target time: exponential or linear
	CrossZoneCost   float64  `toml:"crossing_fee"`          // of a leg to another zone, in units of Class.Value
	MinTickInterval Duration `toml:"turn"`                  // minimum time between two ticks of a sender
	Probes          bool     `toml:"probes"`
	PeerNotes       bool     `toml:"notes"` // senders tell each other what they observe of receivers
	Cancel          bool     `toml:"cancel"`
	RetryAfter      bool     `toml:"advice"` // rejected clients get a retry-after, of max_advice at most
	MaxRetryAfter   Duration `toml:"max_advice"`
}

// LoadBalancer distributes the clients over the senders.
type LoadBalancer struct {
	Mode           Enum     `toml:"mode" of:"spread beside"` // spread: each hand-in goes to any sender; beside: each client has a sender of its own
	DetectionDelay Duration `toml:"notice"`                  // until it detects that a sender is dead
}

// Network describes the delays and losses between clients, senders and receivers.
type Network struct {
	SameZoneDelay  Duration `toml:"near"`   // one way, within a zone
	CrossZoneDelay Duration `toml:"far"`    // one way, between zones
	Jitter         float64  `toml:"jitter"` // delays vary uniformly by up to this share
	ClientDelay    Duration `toml:"client"` // one way, from a client to a sender
	ConnectTimeout Duration `toml:"connect_timeout"`
	NoteDelay      Duration `toml:"note_delay"` // one way, of notes between senders
	NoteLoss       float64  `toml:"note_loss"`
}

// Discovery describes how late the senders learn of changes to the list of receivers.
type Discovery struct {
	Delay   Duration `toml:"delay"`
	Spread  Duration `toml:"spread"`                          // upper bound of a further random delay, drawn for each sender and change
	Weights Enum     `toml:"weights" of:"none rough nominal"` // how exact the listed weights are
}

// Rules holds the tolerances of the safety rules that every run is checked against.
type Rules struct {
	AnswerGrace     Duration `toml:"answer_grace"`
	DrainGrace      Duration `toml:"drain_grace"`
	RetryAfterSlack Duration `toml:"wait_slack"`
	KeyQuietTime    Duration `toml:"key_rest"`
	OverloadFactor  float64  `toml:"overload"` // a recovering destination collapses when it gets this multiple of its current capacity
	OverloadTime    Duration `toml:"within"`   // for this long
}

// Clients describes how clients react to rejections, lost senders and delay.
type Clients struct {
	MaxRetries    int      `toml:"repeats"`   // hand-ins after a rejection
	ObeyShare     float64  `toml:"heed"`      // share that waits for the retry-after
	HalfObeyShare float64  `toml:"half_heed"` // share that waits half as long; the others ignore the retry-after
	Backoff       Duration `toml:"backoff"`   // mean wait without a retry-after, doubled each time
	ResubmitDelay Duration `toml:"again"`     // until the messages of a dead sender are handed in again
	LeaveShare    float64  `toml:"leave"`     // share that gives up before the outcome
	MeanLeaveTime Duration `toml:"leave_in"`  // mean time after which it does
	AnnounceLeave bool     `toml:"leave_say"` // the sender is told; else the receiver finds out
}

// Traffic describes the messages that clients hand in.
type Traffic struct {
	Rate              float64  `toml:"rate"` // messages per second at full load
	Load              float64  `toml:"load"` // share of the rate that is handed in
	Curve             Enum     `toml:"curve" of:"flat wave day"`
	Swing             float64  `toml:"swing"`       // amplitude of the curve, as a share of the mean
	Period            Duration `toml:"period"`      // of a wave
	Zipf              float64  `toml:"zipf"`        // exponent of the distribution over destinations
	QuietShare        float64  `toml:"quiet"`       // share of the destinations that get hardly any messages
	QuietInterval     Duration `toml:"quiet_every"` // mean time between two messages of a quiet destination
	ClusterShare      float64  `toml:"clumps"`      // share of the messages that arrive in clusters for one destination
	ClusterTime       Duration `toml:"clump_of"`    // a cluster is as many messages as the destination gets in this time
	ClosedClients     int      `toml:"closed"`      // number of closed-loop clients, which replace the rate: each waits for an outcome before its next message
	MessagesPerClient int      `toml:"each"`        // messages of each closed-loop client
	ThinkTime         Duration `toml:"think"`       // pause of a closed-loop client between an outcome and its next message
}

// Class is a traffic class; most fields are those of choice.Class.
type Class struct {
	Name        string   `toml:"name"`
	Share       float64  `toml:"share"` // weight among the classes
	RetryMode   Enum     `toml:"repeat" of:"retriable keyed non-retriable"`
	DstWideKeys bool     `toml:"any_in_dst"`
	KeyWindow   Duration `toml:"window"`
	Target      Duration `toml:"target"`
	Deadline    Duration `toml:"deadline"`
	Value       float64  `toml:"value"`
	LateValue   float64  `toml:"late_value"`
	Ordered     bool     `toml:"in_order"`
	Keys        int      `toml:"keys"` // number of different keys, for ordered classes
}

// Work is a distribution of service times.
type Work struct {
	Shape Enum     `toml:"shape" of:"fixed exponential lognormal pareto"`
	Mean  Duration `toml:"mean"`
	CV    float64  `toml:"spread"`
}

// Distribution returns the distribution as package draw has it.
func (w Work) Distribution() draw.Distribution {
	return draw.Distribution{Shape: draw.Shape(w.Shape), Mean: float64(w.Mean), CV: w.CV}
}

// Limit is the rate limit of a destination, or of each receiver where limits are per receiver.
type Limit struct {
	Algorithm       Enum     `toml:"counting" of:"none rate span sliding"`
	Rate            float64  `toml:"rate"`     // calls per second; 0: derived from headroom
	Headroom        float64  `toml:"headroom"` // multiple of its traffic at full load
	MinRate         float64  `toml:"least"`    // lower bound of a derived rate, in calls per second
	Burst           Duration `toml:"depth"`    // capacity of the token bucket, in time at the rate
	Window          Duration `toml:"span"`
	CountsRefused   bool     `toml:"refused_count"` // refused calls use up the limit too
	RetryAfterShare float64  `toml:"tells_wait"`    // share of refusals that carry a retry-after
	RetryAfterStep  Duration `toml:"wait_step"`     // retry-afters are rounded up to a multiple of this
}

// Model returns the limit of a route at the given rate in calls per second.
func (l Limit) Model(rate float64) receivers.Limit {
	return receivers.Limit{Algorithm: receivers.Algorithm(l.Algorithm), Rate: rate, Burst: float64(l.Burst) / 1e6,
		Window: int64(l.Window), CountsRefused: l.CountsRefused, RetryAfterShare: l.RetryAfterShare, RetryAfterStep: int64(l.RetryAfterStep)}
}

// Kind is a kind of destination.
type Kind struct {
	Name           string   `toml:"name"`
	Destinations   int      `toml:"destinations"`
	Endpoints      []int    `toml:"endpoints"` // minimum and maximum number of receivers of a destination
	PerReceiver    bool     `toml:"apart"`     // limits and outages are per receiver, not per destination
	Work           Work     `toml:"work"`
	SpeedSpread    float64  `toml:"pace"`    // coefficient of variation of a destination's factor on the work
	Workers        int      `toml:"places"`  // calls that a receiver works on at once; 0: derived from spare
	WorkerHeadroom float64  `toml:"spare"`   // multiple of the workers that its traffic keeps busy at full load
	Queue          int      `toml:"queue"`   // calls that may wait at a receiver, per worker
	Batch          int      `toml:"batch"`   // maximum number of messages in a call
	BatchItemCost  float64  `toml:"further"` // share of a message's work that each further message of a call costs
	ErrorShare     float64  `toml:"errors"`  // share of calls that fail without any fault
	ErrorTime      Duration `toml:"error_took"`
	ProbeTime      Duration `toml:"probe_took"`
	ColdShare      float64  `toml:"cold_share"`                    // share of the capacity that a receiver has right after an outage
	WarmUpTime     Duration `toml:"warm_in"`                       // until it has all of it again
	MaxConns       int      `toml:"conns"`                         // connections to a receiver, idle ones included; 0 for no limit
	IdleTimeout    Duration `toml:"conn_idle"`                     // after which a receiver closes an idle connection
	HandshakeTime  Duration `toml:"handshake"`                     // that a new connection adds to its first call
	DropsCancelled bool     `toml:"cancels"`                       // a call cancelled while it waits leaves the queue
	LoadReports    Enum     `toml:"reports" of:"off calls probes"` // which answers report the state of the limit
	Limit          Limit    `toml:"limit"`
}

// Fault is a failure or a planned operation that happens at a given time.
type Fault struct {
	Kind             Enum     `toml:"kind" of:"refuse silent hang pause slow errors shut reset lost limit drain replace cut kill roll blind clock stale lie burst notes"`
	At               Duration `toml:"at"`
	For              Duration `toml:"for"`                   // 0: until the end of the run
	Magnitude        float64  `toml:"size,omitempty"`        // a factor or a share, as magnitudeMeaning has it
	Destinations     []int    `toml:"destination,omitempty"` // ranks by traffic; 1 has the most
	MaxReceivers     int      `toml:"receiver,omitempty"`    // of each destination; 0 for all
	OfKind           string   `toml:"of_kind,omitempty"`
	DestinationShare float64  `toml:"share,omitempty"`       // share of the destinations, chosen at random
	SenderShare      float64  `toml:"senders,omitempty"`     // share of the senders, chosen at random
	Downtime         Duration `toml:"down,omitempty"`        // of a sender that is killed or restarted
	ProbesSucceed    bool     `toml:"probes_fine,omitempty"` // health probes succeed during the fault
}

func (f Fault) String() string {
	where := "all"
	switch {
	case len(f.Destinations) > 0:
		where = strings.Trim(fmt.Sprint("destinations ", f.Destinations), "[]")
	case f.OfKind != "":
		where = "kind " + f.OfKind
	case f.DestinationShare > 0:
		where = fmt.Sprintf("%.0f%% of the destinations", 100*f.DestinationShare)
	case f.SenderShare > 0:
		where = fmt.Sprintf("%.0f%% of the senders", 100*f.SenderShare)
	}
	return fmt.Sprintf("%s of %s, %v at %v, size %v", f.Kind, where, f.For, f.At, f.Magnitude)
}

// Default returns the settings that apply where a file omits them.
func Default() Scenario {
	return Scenario{
		Length: 60e6,
		Fleet: Fleet{Senders: 3, Zones: 1, CallHeadroom: 2.1, QueueTime: 8e6, MaxLegs: 6, LateDecay: "line", Probes: true, PeerNotes: true, Cancel: true,
			RetryAfter: true, MaxRetryAfter: 2e6},
		LoadBalancer: LoadBalancer{Mode: "spread", DetectionDelay: 2e6},
		Network:      Network{SameZoneDelay: 8e3, CrossZoneDelay: 30e3, Jitter: .2, ClientDelay: 500, ConnectTimeout: 1e6, NoteDelay: 10e3},
		Discovery:    Discovery{Delay: 1e6, Spread: 1e6, Weights: "nominal"},
		Rules:        Rules{AnswerGrace: 20e3, DrainGrace: 1e6, RetryAfterSlack: 1e3, KeyQuietTime: 2e6, OverloadFactor: 2, OverloadTime: 2e6},
		Clients:      Clients{MaxRetries: 2, ObeyShare: .7, HalfObeyShare: .1, Backoff: 800e3, ResubmitDelay: 1e6, MeanLeaveTime: 5e6},
		Traffic:      Traffic{Rate: 60, Load: .8, Curve: "flat", Period: 30e6, QuietInterval: 60e6, ClusterTime: 2e6},
	}
}

// defaultClass and defaultKind return the values of the keys that an entry omits; decodeOver decodes the entry over them.
func defaultClass() Class {
	return Class{Share: 1, RetryMode: "keyed", DstWideKeys: true, KeyWindow: 15e6, Target: 2.5e6, Deadline: 28e6, Value: 1, LateValue: .5, Keys: 50}
}

func defaultKind() Kind {
	return Kind{Destinations: 10, Endpoints: []int{1, 2}, Work: Work{Shape: "lognormal", Mean: 280e3, CV: .9}, SpeedSpread: .4, WorkerHeadroom: 1.4,
		Queue: 4, Batch: 1, BatchItemCost: .25, ErrorTime: 5e3, ProbeTime: 10e3, ColdShare: .25, WarmUpTime: 12e6, IdleTimeout: 5e6,
		HandshakeTime: 2e3, LoadReports: "off", Limit: Limit{Algorithm: "none", Headroom: 1.6, MinRate: 3, Burst: 500e3, Window: 1e6, RetryAfterShare: .7}}
}
