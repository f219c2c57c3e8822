// Package routing wraps the decision module (package choice) for blocking callers: NextDecision waits for decisions on messages,
// Report reports the result of a leg, RunTimer lets time pass. Only this package knows the events and actions of the module.
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
	maxTasks           = 256 // probes and notes waiting to be run; further ones are dropped
	maxLoggedReceivers = 100 // new receivers of one list that are logged one by one; beyond this only their number is logged
)

// Message is what the module needs to know of a message.
type Message struct {
	ID            string
	Class         int
	OrderKey      string
	Dst           int64
	Expires       int64 // µs, by the router's clock
	Past          []PastLeg
	Accepted      bool // accepted and recorded before: it is held even beyond the capacity, and waits for a list that is late
	EndUnreported bool // it ended before a restart and its end has not been reported: it only keeps its place in the order of its key
}

// Admission is the result of adding a message, in the turn that added it.
type Admission struct {
	Disposition Disposition
	RetryAfter  int64 // µs after which the client of a rejected message should retry; 0 for none
}

// PastLeg is a leg from before a restart.
type PastLeg = choice.PastLeg

// Disposition is what happens to a message next.
type Disposition uint8

// The dispositions of a message.
const (
	Held       Disposition = iota // it waits
	Leg                           // a leg is sent
	Rejected                      // over: its client may retry
	Failed                        // over, without a guarantee that it did not run
	Completed                     // delivered or withdrawn: nothing is due
	AtCapacity                    // not added: the router is at its capacity
	Duplicate                     // not added: a message with this id is held
)

// Decision is a decision of the module on a message.
type Decision struct {
	Disposition Disposition
	ID          string
	LegNumber   int // of the leg, counted from 0
	Receiver    Receiver
	Timeout     time.Duration
	RetryAfter  int64           // µs after which the client of a rejected message should retry; 0 for none
	Ctx         context.Context // context of the leg; ends when the leg is cancelled
}

// Receiver is the target of a leg or a probe.
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

// TaskKind is the kind of a task.
type TaskKind uint8

// The kinds of tasks, which belong to no message.
const (
	Probe TaskKind = iota
	Note
	Watch
	ShareObservation // for fleets only; others may ignore it
)

// Task is work in the background that belongs to no message.
type Task struct {
	Kind        TaskKind
	Receiver    Receiver
	Text        string
	Observation Observation // for ShareObservation; the number of its receiver is local, Receiver.ID is not
}

// Router owns the module. Turns run one at a time; each processes all events queued since the last.
type Router struct {
	clock        func() int64
	closeIdle    func(receiver string)
	log          func(text string)
	classes      []string
	kinds        []string
	zones        []string
	capacity     int
	loadInCalls  bool // answers to calls report load
	loadInProbes bool // answers to probes report load
	ordered      bool // whether a traffic class is ordered

	queueMu sync.Mutex
	queue   []func() // events waiting for a turn

	mu        sync.Mutex // held during a turn, never during I/O
	sender    *choice.Sender
	messages  map[string]*messageState // one for each message that is not over or has a leg in flight; at most capacity and the recovered ones
	decisions []Decision               // for NextDecision to return; at most a leg and an end for each message
	decided   chan struct{}            // signals that there are decisions
	receivers map[uint32]*receiverInfo // by number; exactly the receivers that the module knows; deleted as it forgets them
	numbers   map[string]uint32        // receivers whose number is not the checksum of their id
	tasks     chan Task
	watch     chan struct{} // signals that the module requested the watch
	cold      chan struct{} // signals that the destinations that may be cold have changed since Cold
	coldSeen  int           // number of these changes so far
	timer     *time.Timer

	// Gate, if set before the first message, is the last check before the first byte of a leg: may a call to this destination
	// start now? It is called without a lock of the router and may take a moment.
	Gate func(dst int64) bool
}

// messageState is the state of a message at the router.
type messageState struct {
	released   bool       // its decisions go to NextDecision
	buffered   []Decision // earlier decisions: a leg, and the end that may follow it in the same turn
	legs       int
	cancel     context.CancelFunc // of the leg in flight
	ended      Disposition
	retryAfter int64
}

// New creates a router with a module of its own. closeIdle must not block.
func New(seed uint64, settings gjson.Result, clock func() int64, closeIdle func(string), log func(string)) *Router {
	r := &Router{clock: clock, closeIdle: closeIdle, log: log,
		classes: startup.ClassNames(settings), kinds: startup.KindNames(settings), zones: startup.ZoneNames(settings),
		capacity: startup.MaxQueued(settings), messages: map[string]*messageState{}, numbers: map[string]uint32{},
		receivers: map[uint32]*receiverInfo{}, decided: make(chan struct{}, 1), tasks: make(chan Task, maxTasks),
		watch: make(chan struct{}, 1), cold: make(chan struct{}, 1), timer: time.NewTimer(0)}
	r.loadInCalls, r.loadInProbes = startup.LoadReports(settings)
	r.sender = startup.NewSender(host{r}, seed, settings, 1)
	r.sender.ReportEndsLater()
	r.ordered = startup.HasOrderedClass(settings)
	return r
}

// Class returns the number of a traffic class by its name.
func (r *Router) Class(name string) (int, bool) {
	i := slices.Index(r.classes, name)
	return i, i >= 0
}

// runTurn queues an event and makes sure that a turn processes it, its own or that of another goroutine.
func (r *Router) runTurn(event func()) {
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
	r.sender.SetTime(r.clock())
	for _, e := range events {
		e()
	}
	r.sender.Decide()
	r.signalColdChange()
}

// Add submits a message to the module and returns whether it is held or ended at once. No decision on a held message is returned
// by NextDecision before Release.
func (r *Router) Add(m Message) (Disposition, int64) {
	f := r.AddAll([]Message{m})[0]
	return f.Disposition, f.RetryAfter
}

// AddAll is Add for several messages, in their order and in one turn; it returns the admission of each. A turn for each message
// would look at all destinations that wait for a slot, so that the start of a sender with many pending messages would take
// minutes. A turn keeps all other events waiting, so callers with many messages split them.
func (r *Router) AddAll(ms []Message) []Admission {
	ts, admissions := make([]*messageState, len(ms)), make([]Admission, len(ms))
	r.runTurn(func() {
		for i, m := range ms {
			ts[i], admissions[i].Disposition = r.add(m)
		}
		if len(ms) > 1 {
			r.sender.ShedExcess()
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, t := range ts {
		switch {
		case admissions[i].Disposition == AtCapacity:
			admissions[i].RetryAfter = r.sender.RetryAfter(0)
		case t == nil:
		case t.ended != Held && t.legs == 0:
			if !ms[i].Accepted { // the answer to its client reports it; the end of a recovered one is reported to the platform
				r.sender.EndReported(ms[i].ID)
			}
			delete(r.messages, ms[i].ID)
			admissions[i] = Admission{t.ended, t.retryAfter}
		}
	}
	return admissions
}

// add adds one message in the current turn; it returns no state for a message that is not added.
func (r *Router) add(m Message) (*messageState, Disposition) {
	switch {
	case m.EndUnreported:
		r.sender.RestoreUnreported(m.ID, m.Class, m.OrderKey, m.Dst)
		return nil, Held
	case r.messages[m.ID] != nil:
		return nil, Duplicate
	case len(r.messages) >= r.capacity && !m.Accepted:
		return nil, AtCapacity
	}
	t := &messageState{legs: len(m.Past)}
	if m.Accepted { // otherwise an old or empty list would make the module give up all messages that a restart found untried, without a call
		r.sender.RestoreDst(m.Dst)
	}
	r.messages[m.ID] = t
	r.sender.Accept(m.ID, m.Class, m.OrderKey, m.Dst, m.Expires, m.Past...)
	r.restoreLastLeg(m)
	return t, Held
}

// EndReported reports that whoever handed a message in has been told of its end.
func (r *Router) EndReported(id string) {
	if r.ordered {
		r.runTurn(func() { r.sender.EndReported(id) })
	}
}

// Restarted reports that an earlier process of this sender may have left attempts behind.
func (r *Router) Restarted() { r.runTurn(r.sender.Restarted) }

// restoreLastLeg reports the result of the last leg of a recovered message: it was interrupted, or never ran.
func (r *Router) restoreLastLeg(m Message) {
	if len(m.Past) == 0 {
		return
	}
	last := len(m.Past) - 1
	o := choice.Reset
	if m.Past[last].NeverRan {
		o = choice.NotSent
	}
	r.sender.LegEnded(m.ID, last, o, 0, false, choice.RateLimit{})
}

// Withdraw reports that a message is not wanted any more.
func (r *Router) Withdraw(id string) {
	r.runTurn(func() {
		r.sender.Withdraw(id)
		r.end(id, Completed, 0)
	})
}

// Forget takes back a message just added, of which no leg has been sent.
func (r *Router) Forget(id string) {
	r.runTurn(func() {
		r.sender.Withdraw(id)
		if t := r.messages[id]; t != nil && t.legs > 0 {
			r.sender.LegEnded(id, t.legs-1, choice.NotSent, 0, true, choice.RateLimit{})
		}
		r.sender.EndReported(id) // it may have ended meanwhile; its end would never be reported and its key would wait for ever
		delete(r.messages, id)
	})
}

// Release makes NextDecision return the decisions on a message from now on.
func (r *Router) Release(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.messages[id]
	if t == nil {
		return
	}
	t.released = true
	for _, p := range t.buffered {
		r.emit(t, p)
	}
	t.buffered = nil
}

// NextDecision waits for the next decision on any released message. After an end the message is no longer known.
func (r *Router) NextDecision(ctx context.Context) (Decision, error) {
	for {
		if p, any := r.next(); any {
			return p, nil
		}
		select {
		case <-ctx.Done():
			return Decision{}, ctx.Err()
		case <-r.decided:
		}
	}
}

func (r *Router) next() (p Decision, any bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.decisions) == 0 {
		r.decisions = nil
		return p, false
	}
	p, r.decisions = r.decisions[0], r.decisions[1:]
	if p.Disposition != Leg {
		delete(r.messages, p.ID)
	}
	return p, true
}

// Authorized is called right before the first byte of a leg. It reports whether the decision still holds: since it was made,
// there was no retry-after, no drain and no end, and the gate lets the call pass.
func (r *Router) Authorized(p Decision) bool {
	if !r.Valid(p) {
		return false
	}
	return r.Gate == nil || r.Gate(p.Receiver.dst) && r.Valid(p) // the gate may have taken a moment
}

// Valid is Authorized without the gate. It waits at most for the current turn.
func (r *Router) Valid(p Decision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sender.SetTime(r.clock())
	return p.Ctx.Err() == nil && r.sender.MayStart(p.ID, p.Receiver.number)
}

// Reachable is called right before the first byte of a probe. It reports whether there has been no retry-after and no drain
// since.
func (r *Router) Reachable(to Receiver) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sender.SetTime(r.clock())
	return r.sender.Reachable(to.number)
}

// RunTimer fires the timer of the module until ctx ends.
func (r *Router) RunTimer(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.timer.C:
			r.runTurn(func() { r.sender.TimerFired(0) })
		}
	}
}

// NextTask waits for the next task.
func (r *Router) NextTask(ctx context.Context) (Task, error) {
	select {
	case <-ctx.Done():
		return Task{}, ctx.Err()
	case <-r.watch:
		return Task{Kind: Watch}, nil
	case c := <-r.tasks:
		return c, nil
	}
}

// HandleNote processes a note from a peer.
func (r *Router) HandleNote(text string) { r.runTurn(func() { r.sender.ReceiveNote(text) }) }

// Stats returns the current state of the module in numbers.
func (r *Router) Stats() choice.Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sender.Stats()
}

// Healthy reports whether the module considers a destination healthy.
func (r *Router) Healthy(dst int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sender.Healthy(dst)
}

// Capacity is the number of messages that may be held.
func (r *Router) Capacity() int { return r.capacity }

// RetryAfter is the time after which a client should retry that was turned away at capacity.
func (r *Router) RetryAfter() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sender.RetryAfter(0)
}

// Pending counts the messages that are not over.
func (r *Router) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.messages)
}
