// Package routing is the decision module's facade, in blocking style: Pick waits for what becomes of the messages,
// Report tells how a leg went, Tick lets time pass. It alone knows the module's events and actions.
package routing

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"ravenlink/choice"
	"ravenlink/internal/startup"
)

const (
	mostChores = 256 // probes and notes waiting to be carried out; further ones are dropped
	mostNamed  = 100 // receivers new with one list that have a log line each; of more only the count is told
)

// Message is what the module needs to know of a message.
type Message struct {
	ID       string
	Lane     int
	OrderKey string
	Dst      int64
	Expires  int64 // µs of the router's clock
	Past     []PastLeg
	Owed     bool // taken on and on record already: it is held, whatever the room, and waits for a list that is late
	Unheard  bool // it ended before a restart and nobody knows of its end yet: it only stands in its key's line
}

// Fate is what became of a message in the turn that took it in.
type Fate struct {
	Way    Way
	Advice int64 // µs after which a client pushed back should come again, 0 for none
}

// PastLeg is a leg from before a restart.
type PastLeg = choice.PastLeg

// Way is what becomes of a message next.
type Way uint8

// The ways of a message.
const (
	Held       Way = iota // it waits
	Leg                   // a leg goes out
	PushedBack            // over: its client may come again
	Failed                // over, with no promise
	Over                  // delivered or withdrawn: nothing is owed
	NoRoom                // not taken: the holding room is full
	Twice                 // not taken: it is held already
	Doubled               // not taken anew: the same message is owed, or was delivered
)

// Pick is a decision on a message.
type Pick struct {
	Way      Way
	ID       string
	Number   int // of the leg
	Receiver Receiver
	Patience time.Duration
	Advice   int64           // µs after which a client pushed back should come again, 0 for none
	Ctx      context.Context // of the leg; ends when it is called off
}

// Receiver is where a leg or probe goes.
type Receiver struct {
	ID, Addr string
	Zone     int
	number   uint32
	dst      int64
}

// Listing is one receiver as discovery lists it.
type Listing struct {
	ID, Addr, Zone, Kind string
	Dst                  int64
	Weight               float64
	Listed               bool
}

// ChoreKind tells chores apart.
type ChoreKind uint8

// The chores that belong to no message.
const (
	Probe ChoreKind = iota
	Note
	Watch
	Saw // only for a fleet; others may leave it
)

// Chore is something to be done beside the messages.
type Chore struct {
	Kind     ChoreKind
	Receiver Receiver
	Text     string
	Sight    Sight // of Saw; its receiver's number means nothing elsewhere, Receiver.ID does
}

// Router owns the module. Turns run one at a time; each takes in all that has queued up since the last.
type Router struct {
	clock     func() int64
	closeIdle func(receiver string)
	log       func(text string)
	lanes     []string
	kinds     []string
	zones     []string
	room      int
	inCalls   bool // reports come with answers to calls
	inProbes  bool // and to probes
	inOrder   bool // some lane keeps an order

	queueMu sync.Mutex
	queue   []func() // events waiting for a turn

	mu        sync.Mutex // held for a turn, never over I/O
	sender    *choice.Sender
	tickets   map[string]*ticket // one for each message not over or with a leg out; at most room and what was recovered
	picks     []Pick             // for Pick to return; a leg and an end at most for each ticket
	picked    chan struct{}      // there are some
	receivers map[uint32]*place  // by number, as many as receivers that the module knows; emptied as it forgets them
	numbers   map[string]uint32  // those whose number is not the sum of their id
	chores    chan Chore
	watch     chan struct{} // the watch is asked for
	cold      chan struct{} // the destinations that may be cold have changed since Cold
	coldSeen  int           // changes of them so far
	timer     *time.Timer

	// Gate, where set before the first message, is asked last before a leg's first byte: may a call go to this destination now?
	// It is asked with no lock of the router held, and may take a moment.
	Gate func(dst int64) bool
}

// ticket is a message's place at the router.
type ticket struct {
	carried bool   // its decisions go to Pick
	kept    []Pick // those from before: a leg, and the end that may follow it in the same turn
	legs    int
	cancel  context.CancelFunc // of the leg out
	ended   Way
	advice  int64
}

// New starts a router over a module of its own. closeIdle must not block.
func New(seed uint64, settings gjson.Result, clock func() int64, closeIdle func(string), log func(string)) *Router {
	r := &Router{clock: clock, closeIdle: closeIdle, log: log,
		lanes: startup.LaneNames(settings), kinds: startup.KindNames(settings), zones: startup.ZoneNames(settings),
		room: startup.MostHeld(settings), tickets: map[string]*ticket{}, numbers: map[string]uint32{},
		receivers: map[uint32]*place{}, picked: make(chan struct{}, 1), chores: make(chan Chore, mostChores),
		watch: make(chan struct{}, 1), cold: make(chan struct{}, 1), timer: time.NewTimer(0)}
	r.inCalls, r.inProbes = startup.Reports(settings)
	r.sender = startup.Sender(host{r}, seed, settings, 1)
	r.sender.TellsLater()
	r.inOrder = startup.KeepsOrder(settings)
	return r
}

// Lane finds a lane by its name.
func (r *Router) Lane(name string) (int, bool) {
	i := slices.Index(r.lanes, name)
	return i, i >= 0
}

// turn queues an event and sees that a turn takes it in, its own or that of another goroutine.
func (r *Router) turn(event func()) {
	r.queueMu.Lock()
	r.queue = append(r.queue, event)
	r.queueMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queueMu.Lock()
	events := r.queue
	r.queue = nil
	r.queueMu.Unlock()
	if len(events) == 0 {
		return
	}
	r.sender.At(r.clock())
	for _, e := range events {
		e()
	}
	r.sender.Decide()
	r.coldChanged()
}

// Take hands a message to the module and tells whether it is held, or ended on the spot. Nothing of a held one
// comes out of Pick before Carry.
func (r *Router) Take(m Message) (Way, int64) {
	f := r.TakeAll([]Message{m})[0]
	return f.Way, f.Advice
}

// TakeAll is Take for several, in their order and in one turn, and tells the fate of each. Danger: a turn for each costs a look at all
// destinations that wait for a slot, so the start of a sender that owes much takes minutes. A turn keeps all others out: whoever
// brings many cuts them up.
func (r *Router) TakeAll(ms []Message) []Fate {
	ts, fates := make([]*ticket, len(ms)), make([]Fate, len(ms))
	r.turn(func() {
		for i, m := range ms {
			ts[i], fates[i].Way = r.take(m)
		}
		if len(ms) > 1 {
			r.sender.MakeRoom()
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, t := range ts {
		switch {
		case fates[i].Way == NoRoom:
			fates[i].Advice = r.sender.ComeBackIn(0)
		case t == nil:
		case t.ended != Held && t.legs == 0:
			if !ms[i].Owed { // the answer to its client tells it; of one from before a restart the platform hears
				r.sender.EndKnown(ms[i].ID)
			}
			delete(r.tickets, ms[i].ID)
			fates[i] = Fate{t.ended, t.advice}
		}
	}
	return fates
}

// take brings one message into the turn that runs; it has no ticket where it is not taken.
func (r *Router) take(m Message) (*ticket, Way) {
	switch {
	case m.Unheard:
		r.sender.Unheard(m.ID, m.Lane, m.OrderKey, m.Dst)
		return nil, Held
	case r.tickets[m.ID] != nil:
		return nil, Twice
	case len(r.tickets) >= r.room && !m.Owed:
		return nil, NoRoom
	}
	t := &ticket{legs: len(m.Past)}
	if m.Owed { // danger: an old or empty list would have all that a restart found untried given up with no call
		r.sender.Owes(m.Dst)
	}
	r.tickets[m.ID] = t
	r.sender.Take(m.ID, m.Lane, m.OrderKey, m.Dst, m.Expires, m.Past...)
	r.resume(m)
	return t, Held
}

// EndKnown says that whoever handed a message in knows its end.
func (r *Router) EndKnown(id string) {
	if r.inOrder {
		r.turn(func() { r.sender.EndKnown(id) })
	}
}

// Restarted says that an earlier process of this sender may have left attempts behind.
func (r *Router) Restarted() { r.turn(r.sender.Restarted) }

// resume brings in how the last leg of a recovered message went: it was cut short, or never ran.
func (r *Router) resume(m Message) {
	if len(m.Past) == 0 {
		return
	}
	last := len(m.Past) - 1
	o := choice.Reset
	if m.Past[last].NeverRan {
		o = choice.Skipped
	}
	r.sender.Settled(m.ID, last, o, 0, false, choice.Report{})
}

// Withdraw says that nobody wants a message any more.
func (r *Router) Withdraw(id string) {
	r.turn(func() {
		r.sender.Withdrawn(id)
		r.end(id, Over, 0)
	})
}

// Forget takes back a message just taken, of which no leg has gone out.
func (r *Router) Forget(id string) {
	r.turn(func() {
		r.sender.Withdrawn(id)
		if t := r.tickets[id]; t != nil && t.legs > 0 {
			r.sender.Settled(id, t.legs-1, choice.Skipped, 0, true, choice.Report{})
		}
		r.sender.EndKnown(id) // danger: it may have ended meanwhile, nobody would tell that, and its key would wait for ever
		delete(r.tickets, id)
	})
}

// Carry has the decisions on a message come out of Pick from now on.
func (r *Router) Carry(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tickets[id]
	if t == nil {
		return
	}
	t.carried = true
	for _, p := range t.kept {
		r.hand(t, p)
	}
	t.kept = nil
}

// Pick waits for the next decision on any message carried. After an end the message is no longer known.
func (r *Router) Pick(ctx context.Context) (Pick, error) {
	for {
		if p, any := r.next(); any {
			return p, nil
		}
		select {
		case <-ctx.Done():
			return Pick{}, ctx.Err()
		case <-r.picked:
		}
	}
}

func (r *Router) next() (p Pick, any bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.picks) == 0 {
		r.picks = nil
		return p, false
	}
	p, r.picks = r.picks[0], r.picks[1:]
	if p.Way != Leg {
		delete(r.tickets, p.ID)
	}
	return p, true
}

// Stands is asked right before a leg's first byte: no wait has been told meanwhile, no drain, no end.
func (r *Router) Stands(p Pick) bool {
	if !r.StandsStill(p) {
		return false
	}
	return r.Gate == nil || r.Gate(p.Receiver.dst) && r.StandsStill(p) // the gate may have taken a moment
}

// StandsStill is Stands without the gate. It waits for the turn that runs at most.
func (r *Router) StandsStill(p Pick) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sender.At(r.clock())
	return p.Ctx.Err() == nil && r.sender.Stands(p.ID, p.Receiver.number)
}

// Reachable is asked right before a probe's first byte: no wait has been told meanwhile, and no drain.
func (r *Router) Reachable(to Receiver) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sender.At(r.clock())
	return r.sender.Reachable(to.number)
}

// Tick lets the module's time pass until ctx ends.
func (r *Router) Tick(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.timer.C:
			r.turn(func() { r.sender.Rang(0) })
		}
	}
}

// Chore waits for the next chore.
func (r *Router) Chore(ctx context.Context) (Chore, error) {
	select {
	case <-ctx.Done():
		return Chore{}, ctx.Err()
	case <-r.watch:
		return Chore{Kind: Watch}, nil
	case c := <-r.chores:
		return c, nil
	}
}

// Noted takes a fellow's note.
func (r *Router) Noted(text string) { r.turn(func() { r.sender.Noted(text) }) }

// Believes tells what the module holds true.
func (r *Router) Believes() choice.Belief {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sender.Believes()
}

// Healthy tells whether the module thinks a destination well.
func (r *Router) Healthy(dst int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sender.Healthy(dst)
}

// Room is how many messages may be held.
func (r *Router) Room() int { return r.room }

// ComeBackIn is what a client is told for which there was no room.
func (r *Router) ComeBackIn() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sender.ComeBackIn(0)
}

// Owed counts the messages not over.
func (r *Router) Owed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tickets)
}
