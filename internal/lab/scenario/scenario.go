// Package scenario is the form in which a day of the laboratory is written down: what there is, what is asked of it, and
// what goes wrong when. It decodes strictly and names the place of every fault.
package scenario

import (
	"fmt"
	"strings"

	"ravenlink/internal/lab/draw"
	"ravenlink/internal/lab/receivers"
	"ravenlink/internal/strict"
)

// Version of the form. A file says which one it is in.
const Version = 1

// Span is a length of time in µs, written like "250ms".
type Span = strict.Span

// Word is a text out of a few. Each field of that type names its own few in its tag `of`.
type Word string

// Scenario is one day.
type Scenario struct {
	Version   int       `toml:"version"`
	Name      string    `toml:"name"`
	Shows     string    `toml:"shows"` // what it is for, one line
	Length    Span      `toml:"length"`
	Team      Team      `toml:"team"`
	Front     Front     `toml:"front"`
	Network   Network   `toml:"network"`
	Discovery Discovery `toml:"discovery"`
	Rules     Rules     `toml:"rules"`
	Clients   Clients   `toml:"clients"`
	Traffic   Traffic   `toml:"traffic"`
	Lanes     []Lane    `toml:"lane"`
	Kinds     []Kind    `toml:"kind"`
	Troubles  []Trouble `toml:"trouble"`
}

// Team is the senders, what each has to work with and what it may do.
type Team struct {
	Senders     int     `toml:"senders"`
	Zones       int     `toml:"zones"`      // senders and receivers are spread over them
	Slots       int     `toml:"slots"`      // calls out at once; 0: worked out from slots_room
	SlotsRoom   float64 `toml:"slots_room"` // times what its part of the traffic keeps busy
	Held        int     `toml:"held"`       // messages it may hold; 0: worked out from hold
	Hold        Span    `toml:"hold"`       // so much of its part of the traffic
	Legs        int     `toml:"legs"`       // of a message, at most
	Late        Word    `toml:"late" of:"halves line"`
	CrossingFee float64 `toml:"crossing_fee"`
	Turn        Span    `toml:"turn"` // least time between two turns of a sender
	Probes      bool    `toml:"probes"`
	Notes       bool    `toml:"notes"`
	Cancel      bool    `toml:"cancel"`
	Advice      bool    `toml:"advice"`
	MaxAdvice   Span    `toml:"max_advice"`
}

// Front deals clients out to senders.
type Front struct {
	Mode   Word `toml:"mode" of:"spread beside"` // each hand-in to any sender, or each client to one of its own
	Notice Span `toml:"notice"`                  // until it sees that a sender is dead
}

// Network is the ways between all.
type Network struct {
	Near           Span    `toml:"near"` // one way within a zone
	Far            Span    `toml:"far"`  // and between zones
	Jitter         float64 `toml:"jitter"`
	Client         Span    `toml:"client"`
	ConnectTimeout Span    `toml:"connect_timeout"`
	NoteDelay      Span    `toml:"note_delay"`
	NoteLoss       float64 `toml:"note_loss"`
}

// Discovery tells senders which receivers there are, late.
type Discovery struct {
	Delay   Span `toml:"delay"`
	Spread  Span `toml:"spread"` // further delay, drawn for each sender and change
	Weights Word `toml:"weights" of:"none rough nominal"`
}

// Rules are the figures by which runs are judged.
type Rules struct {
	AnswerGrace Span    `toml:"answer_grace"`
	DrainGrace  Span    `toml:"drain_grace"`
	WaitSlack   Span    `toml:"wait_slack"`
	KeyRest     Span    `toml:"key_rest"`
	Overload    float64 `toml:"overload"`
	Within      Span    `toml:"within"`
}

// Clients hand messages in.
type Clients struct {
	Repeats  int     `toml:"repeats"`   // hand-ins after a pushback, at most
	Heed     float64 `toml:"heed"`      // share that comes back when told
	HalfHeed float64 `toml:"half_heed"` // share that waits half as long; the rest ignores it
	Backoff  Span    `toml:"backoff"`   // mean wait of those told nothing, doubled each time
	Again    Span    `toml:"again"`     // until what a dead sender had comes again
	Leave    float64 `toml:"leave"`     // share that leaves early
	LeaveIn  Span    `toml:"leave_in"`  // after so long on average
	LeaveSay bool    `toml:"leave_say"` // senders hear of it; else receivers find out
}

// Traffic is what is asked for.
type Traffic struct {
	Rate       float64 `toml:"rate"` // messages a second at full load
	Load       float64 `toml:"load"` // share of that which comes
	Curve      Word    `toml:"curve" of:"flat wave day"`
	Swing      float64 `toml:"swing"`       // of the curve, as a share of the mean
	Period     Span    `toml:"period"`      // of a wave
	Zipf       float64 `toml:"zipf"`        // skew of destinations
	Quiet      float64 `toml:"quiet"`       // share of the destinations that hardly get any
	QuietEvery Span    `toml:"quiet_every"` // one message each such span
	Clumps     float64 `toml:"clumps"`      // share of messages that come in clumps for one destination
	ClumpOf    Span    `toml:"clump_of"`    // so much of its traffic
	Closed     int     `toml:"closed"`      // so many clients instead, each handing in its next message after an end
	Each       int     `toml:"each"`        // messages of each such client
	Think      Span    `toml:"think"`       // pause of each between an end and the next
}

// Lane is a kind of traffic.
type Lane struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`
	Repeat    Word    `toml:"repeat" of:"retriable keyed non-retriable"`
	AnyInDst  bool    `toml:"any_in_dst"`
	Window    Span    `toml:"window"`
	Target    Span    `toml:"target"`
	Deadline  Span    `toml:"deadline"`
	Value     float64 `toml:"value"`
	LateValue float64 `toml:"late_value"`
	InOrder   bool    `toml:"in_order"`
	Keys      int     `toml:"keys"` // different keys, for lanes in order
}

// Work is a distribution of service times.
type Work struct {
	Shape  Word    `toml:"shape" of:"fixed exponential lognormal pareto"`
	Mean   Span    `toml:"mean"`
	Spread float64 `toml:"spread"`
}

// Times gives the distribution.
func (w Work) Times() draw.Times {
	return draw.Times{Shape: draw.Shape(w.Shape), Mean: float64(w.Mean), Spread: w.Spread}
}

// Limit is what a destination, or each receiver where they are apart, takes.
type Limit struct {
	Counting     Word    `toml:"counting" of:"none rate span sliding"`
	Rate         float64 `toml:"rate"`     // calls a second; 0: worked out from headroom
	Headroom     float64 `toml:"headroom"` // times its traffic at full load
	Least        float64 `toml:"least"`    // calls a second
	Depth        Span    `toml:"depth"`
	Span         Span    `toml:"span"`
	RefusedCount bool    `toml:"refused_count"`
	TellsWait    float64 `toml:"tells_wait"`
	WaitStep     Span    `toml:"wait_step"`
}

// Model gives the limit of a route at a rate.
func (l Limit) Model(rate float64) receivers.Limit {
	return receivers.Limit{Counting: receivers.Counting(l.Counting), Rate: rate, Depth: float64(l.Depth) / 1e6,
		Span: int64(l.Span), RefusedCount: l.RefusedCount, TellsWait: l.TellsWait, WaitStep: int64(l.WaitStep)}
}

// Kind is a kind of destination.
type Kind struct {
	Name         string  `toml:"name"`
	Destinations int     `toml:"destinations"`
	Endpoints    []int   `toml:"endpoints"` // fewest and most receivers of one
	Apart        bool    `toml:"apart"`
	Work         Work    `toml:"work"`
	Pace         float64 `toml:"pace"`   // spread of destinations' own speed
	Places       int     `toml:"places"` // of a receiver; 0: worked out from spare
	Spare        float64 `toml:"spare"`  // times its traffic at full load
	Queue        int     `toml:"queue"`  // calls that wait at a receiver, for each place
	Batch        int     `toml:"batch"`
	Further      float64 `toml:"further"`
	Errors       float64 `toml:"errors"`
	ErrorTook    Span    `toml:"error_took"`
	ProbeTook    Span    `toml:"probe_took"`
	ColdShare    float64 `toml:"cold_share"`
	WarmIn       Span    `toml:"warm_in"`
	Conns        int     `toml:"conns"`
	ConnIdle     Span    `toml:"conn_idle"`
	Handshake    Span    `toml:"handshake"`
	Cancels      bool    `toml:"cancels"`
	Reports      Word    `toml:"reports" of:"off calls probes"`
	Limit        Limit   `toml:"limit"`
}

// Trouble is something that goes wrong, or is done, at a time.
type Trouble struct {
	Kind        Word    `toml:"kind" of:"refuse silent hang pause slow errors shut reset lost limit drain replace cut kill roll blind clock stale lie burst notes"`
	At          Span    `toml:"at"`
	For         Span    `toml:"for"`
	Size        float64 `toml:"size,omitempty"`
	Destination []int   `toml:"destination,omitempty"` // by rank, 1 has most traffic
	Receiver    int     `toml:"receiver,omitempty"`    // only so many of each destination; 0 for all
	OfKind      string  `toml:"of_kind,omitempty"`
	Share       float64 `toml:"share,omitempty"`   // of the destinations, drawn
	Senders     float64 `toml:"senders,omitempty"` // share of the senders
	Down        Span    `toml:"down,omitempty"`    // of a sender killed or restarted
	ProbesFine  bool    `toml:"probes_fine,omitempty"`
}

func (t Trouble) String() string {
	where := "all"
	switch {
	case len(t.Destination) > 0:
		where = strings.Trim(fmt.Sprint("destinations ", t.Destination), "[]")
	case t.OfKind != "":
		where = "kind " + t.OfKind
	case t.Share > 0:
		where = fmt.Sprintf("%.0f%% of the destinations", 100*t.Share)
	case t.Senders > 0:
		where = fmt.Sprintf("%.0f%% of the senders", 100*t.Senders)
	}
	return fmt.Sprintf("%s of %s, %v at %v, size %v", t.Kind, where, t.For, t.At, t.Size)
}

// Usual is what holds where a file is silent.
func Usual() Scenario {
	return Scenario{
		Length: 60e6,
		Team: Team{Senders: 3, Zones: 1, SlotsRoom: 2.1, Hold: 8e6, Legs: 6, Late: "line", Probes: true, Notes: true, Cancel: true,
			Advice: true, MaxAdvice: 2e6},
		Front:     Front{Mode: "spread", Notice: 2e6},
		Network:   Network{Near: 8e3, Far: 30e3, Jitter: .2, Client: 500, ConnectTimeout: 1e6, NoteDelay: 10e3},
		Discovery: Discovery{Delay: 1e6, Spread: 1e6, Weights: "nominal"},
		Rules:     Rules{AnswerGrace: 20e3, DrainGrace: 1e6, WaitSlack: 1e3, KeyRest: 2e6, Overload: 2, Within: 2e6},
		Clients:   Clients{Repeats: 2, Heed: .7, HalfHeed: .1, Backoff: 800e3, Again: 1e6, LeaveIn: 5e6},
		Traffic:   Traffic{Rate: 60, Load: .8, Curve: "flat", Period: 30e6, QuietEvery: 60e6, ClumpOf: 2e6},
	}
}

// usualLane and usualKind stand for what an entry leaves out; decode lays the entry over them.
func usualLane() Lane {
	return Lane{Share: 1, Repeat: "keyed", AnyInDst: true, Window: 15e6, Target: 2.5e6, Deadline: 28e6, Value: 1, LateValue: .5, Keys: 50}
}

func usualKind() Kind {
	return Kind{Destinations: 10, Endpoints: []int{1, 2}, Work: Work{Shape: "lognormal", Mean: 280e3, Spread: .9}, Pace: .4, Spare: 1.4,
		Queue: 4, Batch: 1, Further: .25, ErrorTook: 5e3, ProbeTook: 10e3, ColdShare: .25, WarmIn: 12e6, ConnIdle: 5e6,
		Handshake: 2e3, Reports: "off", Limit: Limit{Counting: "none", Headroom: 1.6, Least: 3, Depth: 500e3, Span: 1e6, TellsWait: .7}}
}
