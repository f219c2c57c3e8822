package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/recent"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// Engine carries the messages taken on to their ends: one goroutine takes in what is decided, and each leg out has one.
type Engine struct {
	log     *zap.Logger
	clock   Clock
	router  *routing.Router
	spool   *spool.Spool
	carrier Carrier
	ends    Ends

	Tally *Tally

	rest       *rest // nil where the backlog is off
	Backlogged Backlogged

	turns   Turns // nil where channels are off
	legMost time.Duration
	waiting waiting

	// Delivered, where it is set, hears of messages that are over and not undelivered. It must not block for long.
	Delivered func(m *spool.Message)

	// Proven, where it is set before Begin, hears that a leg surely never ran though its message was told as undelivered before that was
	// known. It may write to the disk.
	Proven func(id string, attempts []Attempt)

	// SentByKeeper, where it is set before Begin, tells whether a message is a kept one that was sent again. It must not block for long.
	SentByKeeper func(m *spool.Message) bool

	// Fenced, where it is set before Begin, tells whether a message is older than a purge that reaches it: it ends, wherever it is found.
	Fenced func(m *spool.Message) bool

	// Watch, where it is set before Begin, hears what becomes of messages and legs. It must not block for long.
	Watch Watcher

	counts endCounts

	recent    Recent                 // nil: nothing is remembered of messages that are over
	retriable func(lane string) bool // whether messages of a traffic class may run again; goes with recent

	picking context.Context // ends when no leg may start any more
	working context.Context // ends when those out are given up
	out     atomic.Int64    // legs out, as many as the settings' slots at most
	owed    atomic.Int64    // messages carried whose end is not carried out yet
	legs    sync.WaitGroup  // the same, for run alone
	running sync.WaitGroup

	mu   sync.Mutex
	held map[string]*carried // emptied as messages end
}

// carried is a message on its way, and what became of its legs in this process.
type carried struct {
	msg  *spool.Message
	seen []seen // as many as legs; in the order of their ends
	told bool   // as undelivered; a leg may be out

	// Of messages of channels.
	out       int  // legs
	running   bool // one had no outcome, and may still run
	delivered bool
	ran       bool // a receiver answered that it ran
	ended     bool // its channel is to hear once no leg is out
	given     bool // up, by its channel
	late      bool // its end has come, and waits for the leg that is out
	postponed bool // its turn was lost before a leg began: it goes back to its channel
	advice    int64
}

// seen is a leg's outcome as this process saw it.
type seen struct {
	sentAt   int64 // µs since 1970; as on record
	took     int64 // µs
	receiver string
	result   routing.Result
	wait     int64 // µs
}

// Tally counts what happened since the start.
type Tally struct {
	Taken, Delivered, PushedBack, Failed atomic.Int64 // messages taken on, by their end
	Legs                                 [resultKinds]atomic.Int64
}

const resultKinds = int(routing.CalledOff) + 1

// New makes an engine; Run sets it going. Ends may call back at once.
func New(log *zap.Logger, clock Clock, router *routing.Router, s *spool.Spool, carrier Carrier) *Engine {
	return &Engine{log: log, clock: clock, router: router, spool: s, carrier: carrier, Tally: &Tally{}, held: map[string]*carried{}}
}

// Tell names who hears of ends. It comes before any message.
func (e *Engine) Tell(ends Ends) { e.ends = ends }

// Begin sets the contexts of all that follows: no leg starts after picking ends, none goes on after working does.
func (e *Engine) Begin(picking, working context.Context) { e.picking, e.working = picking, working }

// Wait waits for all that Run and its legs do.
func (e *Engine) Wait() { e.running.Wait() }

// Out counts the legs out.
func (e *Engine) Out() int64 { return e.out.Load() }

// Owed counts the messages carried whose end is not carried out yet: whoever sees none finds all notices of them handed over.
func (e *Engine) Owed() int64 { return e.owed.Load() }

// Lane finds a lane by its name.
func (e *Engine) Lane(name string) (int, bool) { return e.router.Lane(name) }

// Now is the time messages live in, in µs since 1970.
func (e *Engine) Now() int64 { return e.clock.Now() }

// Take hands a message to the decisions, which may end it on the spot, and if they hold it, writes it down: from then on its
// end is owed. Nothing is sent before Carry.
func (e *Engine) Take(m *spool.Message, lane int) (way routing.Way, advice int64) {
	if e.rest != nil {
		return e.rest.take(m, lane)
	}
	return e.hold(m, lane)
}

// Answered says that the client of a message was told that it is taken on.
func (e *Engine) Answered(m *spool.Message) { e.spool.Answered(m) }

// TakeFromClient is Take for a hand-in: one that is owed already, or ended lately, is not taken on anew. Answered or Withdraw follows where it is
// held.
func (e *Engine) TakeFromClient(m *spool.Message, lane int) (way routing.Way, advice int64) {
	if e.recent != nil {
		m.Print = fingerprint(m)
	}
	return e.Take(m, lane)
}

func (e *Engine) hold(m *spool.Message, lane int) (way routing.Way, advice int64) {
	if err := e.spool.Reserve(m); err != nil {
		return e.refused(err)
	}
	way, advice = e.router.Take(message(m, lane))
	if way != routing.Held {
		e.spool.Release(m)
		return way, advice
	}
	if err := e.spool.Take(m); err != nil {
		e.router.Forget(m.ID)
		return e.refused(err)
	}
	e.Tally.Taken.Add(1)
	return way, 0
}

// refused is what a hand-in comes to that was not recorded.
func (e *Engine) refused(err error) (routing.Way, int64) {
	switch {
	case errors.Is(err, spool.ErrTwice):
		return routing.Twice, 0
	case errors.Is(err, spool.ErrSame), errors.Is(err, errDeliveredBefore):
		return routing.Doubled, 0
	case errors.Is(err, errFailedBefore):
		return routing.Failed, 0
	case errors.Is(err, spool.ErrEnding):
		return routing.NoRoom, e.router.ComeBackIn()
	}
	e.log.Warn("not taken on", zap.Error(err))
	return routing.NoRoom, e.router.ComeBackIn()
}

// Withdraw takes back a message whose client never heard that it was taken on.
func (e *Engine) Withdraw(id string) {
	if e.rest != nil {
		e.rest.withdraw(id)
		return
	}
	e.router.Withdraw(id)
}

func message(m *spool.Message, lane int) routing.Message {
	r := routing.Message{ID: m.ID, Lane: lane, OrderKey: m.OrderKey, Dst: m.Dst, Expires: m.Expires}
	for _, l := range m.Legs {
		r.Past = append(r.Past, routing.PastLeg(l))
	}
	return r
}

// resumeMost bounds a turn that takes up what was owed: 1,000 messages are some 10 ms, for which nothing else is decided. Fewer cost
// more: each turn looks at every destination that waits for a slot.
const resumeMost = 1000

// Resume takes up a message that was owed before a restart, or one of a channel whose turn has come, unless its deadline has ended it.
func (e *Engine) Resume(m *spool.Message) {
	if m.Channel == "" || e.waiting.take(m) {
		e.resume([]*spool.Message{m})
	}
}

// ResumeAll is Resume for many, in their order and many in a turn.
func (e *Engine) ResumeAll(ms []*spool.Message) {
	for some := range slices.Chunk(ms, resumeMost) {
		e.resume(some)
	}
}

func (e *Engine) resume(ms []*spool.Message) {
	var known []routing.Message
	places := make([]int, len(ms)) // of each among those; -1 for a lane that the settings no longer have
	for i, m := range ms {
		places[i] = -1
		if lane, is := e.router.Lane(m.Lane); is {
			owed := message(m, lane)
			owed.Owed, owed.Unheard = !m.Ended, m.Ended
			places[i] = len(known)
			known = append(known, owed)
		}
	}
	fates := e.router.TakeAll(known)
	for i, m := range ms {
		f := routing.Fate{Way: routing.Failed}
		if places[i] >= 0 {
			f = fates[places[i]]
		}
		switch {
		case m.Ended:
			u := e.undeliveredNow(&carried{msg: m}, m.PushedBack, m.Advice)
			u.Bare = e.spool.Stripped(m)
			e.ends.Undelivered(u)
		case f.Way == routing.Held:
			e.Carry(m)
		default:
			e.undelivered(&carried{msg: m}, f.Way != routing.Failed, f.Advice)
		}
	}
}

// Carry takes a message to its end.
func (e *Engine) Carry(m *spool.Message) {
	if e.rest != nil {
		e.rest.carry(m)
		return
	}
	e.carry(m)
}

func (e *Engine) carry(m *spool.Message) {
	e.mu.Lock()
	e.held[m.ID] = &carried{msg: m, running: mayHaveRun(m)}
	e.mu.Unlock()
	e.owed.Add(1)
	if e.Watch != nil {
		e.Watch.Came(m.Dst)
	}
	e.router.Carry(m.ID)
}

// Run carries out what is decided: legs until none may start any more, ends until the last leg is over.
func (e *Engine) Run() { e.running.Go(e.run) }

func (e *Engine) run() {
	e.picks()
	e.legs.Wait()
	e.picks() // the ends that the last legs brought
}

// picks carries out what is decided until working has ended and nothing is queued.
func (e *Engine) picks() {
	for {
		p, err := e.router.Pick(e.working)
		if err != nil {
			return
		}
		e.carryOut(p)
	}
}

// mayStart counts a leg as out, if one may still start. It counts before it looks: whoever ends picking and then sees none out knows
// that there will be none.
func (e *Engine) mayStart() bool {
	e.out.Add(1)
	if e.picking.Err() != nil {
		e.out.Add(-1)
		return false
	}
	return true
}

func (e *Engine) carryOut(p routing.Pick) {
	if p.Way == routing.Leg && !e.mayStart() {
		return
	}
	c, given, postponed := e.carried(p)
	if p.Way == routing.Leg && (given || postponed) { // its end follows
		e.out.Add(-1)
		e.router.TookBack(p)
		return
	}
	e.watched(c.msg.Dst, p.Way)
	if p.Way == routing.Leg {
		e.legs.Go(func() {
			defer e.out.Add(-1)
			e.leg(c, p)
		})
		return
	}
	defer e.owed.Add(-1)
	if e.rest != nil {
		defer e.rest.ended(c)
	}
	switch {
	case postponed:
		e.postpone(c)
	case p.Way == routing.Over || given:
		e.over(c)
	default:
		e.undelivered(c, p.Way == routing.PushedBack, p.Advice)
	}
}

// watched tells who watches that a leg begins, or that a message ends.
func (e *Engine) watched(dst int64, way routing.Way) {
	switch {
	case e.Watch == nil:
	case way == routing.Leg:
		e.Watch.Began(dst)
	default:
		e.Watch.Ended(dst)
	}
}

// carried finds the message of a decision, and tells whether its channel gave it up or takes it back; with its end it is let go.
func (e *Engine) carried(p routing.Pick) (c *carried, given, postponed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c = e.held[p.ID]
	switch {
	case p.Way != routing.Leg:
		delete(e.held, p.ID)
	case !c.given && !c.goesBack():
		c.out++
	}
	return c, c.given, c.goesBack()
}

// Over puts on record that nothing is owed for a message any more.
func (e *Engine) Over(m *spool.Message) {
	if m.Channel != "" {
		e.waiting.take(m)
	}
	if err := e.spool.Over(m); err != nil && (e.rest == nil || !errors.Is(err, spool.ErrOver)) { // withdrawn on its way back
		e.log.Error("end not recorded", zap.String("id", m.ID), zap.Error(err))
	}
	e.router.EndKnown(m.ID)
}

func (e *Engine) undelivered(c *carried, pushedBack bool, advice int64) {
	e.tell(c, pushedBack, advice)
	e.endTurn(c, false)
}

// tell puts an end on record and has it told.
func (e *Engine) tell(c *carried, pushedBack bool, advice int64) {
	if pushedBack {
		e.Tally.PushedBack.Add(1)
	} else {
		e.Tally.Failed.Add(1)
	}
	m := c.msg
	e.remember(m, recent.End{PushedBack: pushedBack})
	e.counts.ended(m)
	if err := e.spool.End(m, pushedBack, advice); err != nil {
		e.log.Error("end not recorded", zap.String("id", m.ID), zap.Error(err))
	}
	e.mu.Lock()
	c.told = true
	e.mu.Unlock()
	e.ends.Undelivered(e.undeliveredNow(c, pushedBack, advice))
}

func (e *Engine) undeliveredNow(c *carried, pushedBack bool, advice int64) Undelivered {
	return Undelivered{Msg: c.msg, PushedBack: pushedBack, Advice: advice, Attempts: func() []Attempt { return e.attempts(c) },
		NoClient: e.SentByKeeper != nil && e.SentByKeeper(c.msg)}
}

// attempts joins the legs on record with the outcomes seen.
func (e *Engine) attempts(c *carried) (all []Attempt) {
	legs := e.spool.Legs(c.msg)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range legs {
		a := Attempt{SentAt: l.SentAt, NeverRan: l.NeverRan}
		i := slices.IndexFunc(c.seen, func(o seen) bool { return o.sentAt == l.SentAt })
		if i >= 0 {
			o := c.seen[i]
			a.NeverRan = a.NeverRan || provesNeverRan(o.result) // also where it came too late for the record, or the folder took no more
			a.Took, a.Receiver, a.Result, a.Wait = o.took, o.receiver, o.result.String(), o.wait
		}
		all = append(all, a)
	}
	return all
}

// saw notes a leg's outcome, and tells whether its message had been told as undelivered before. Danger: a leg may be out at its message's
// deadline, and a machine without time for the process has its refusal recorded later still. A snapshot made at the end would have a
// message that never ran held as one that may have run.
func (e *Engine) saw(c *carried, o seen) (late bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.sentAt > 0 {
		c.seen = append(c.seen, o)
	}
	return c.told
}

// leg carries out one leg and reports how it went.
func (e *Engine) leg(c *carried, p routing.Pick) {
	m := c.msg
	ctx, cancel := context.WithCancel(p.Ctx)
	defer cancel()
	defer context.AfterFunc(e.working, cancel)()
	began := e.clock.Now()
	sentAt, stood := int64(0), int64(0) // sentAt: 0 as long as the leg is not on record
	patience := e.patience(m, p)
	until := began + patience.Microseconds()
	j := e.carrier.Carry(ctx, Leg{Msg: m, To: p.Receiver, Patience: patience, Until: until,
		Ready: func() bool {
			if e.picking.Err() != nil || !e.router.Stands(p) || e.picking.Err() != nil { // Stands may have taken a moment
				return false
			}
			stood = e.clock.Now()
			if e.begins(c) {
				sentAt = e.record(m, p, false)
			}
			return sentAt > 0
		},
		Still: func() bool {
			return e.router.StandsStill(p) && stillStands(e.clock.Now(), stood, min(until, m.Expires))
		}})
	if e.working.Err() != nil && j.Result == routing.CalledOff {
		return // the process ends: the leg may have run, and the record says so
	}
	if e.Watch != nil {
		e.Watch.Paused(m.Dst)
		if j.Result == routing.TurnedAway {
			e.Watch.TurnedAway(m.Dst)
		}
	}
	turnLost := sentAt == 0 && j.Result == routing.NotSent && e.isPostponed(c)
	if turnLost { // no attempt was made
		e.Tally.Legs[j.Result].Add(1)
	} else {
		sentAt = e.settle(m, p, j.Result, sentAt)
	}
	took := e.clock.Now() - began
	late := e.saw(c, seen{sentAt: sentAt, took: took, receiver: p.Receiver.ID, result: j.Result, wait: j.Wait})
	e.log.Debug("leg", zap.String("id", m.ID), zap.Int64("dst", m.Dst), zap.String("receiver", p.Receiver.ID), zap.Int("number", p.Number),
		zap.Uint8("stage", j.Stage), zap.Int("status", j.Status), zap.Int64("took_us", took),
		zap.Duration("patience", patience), zap.Int64("wait_us", j.Wait), zap.Uint64("connection", j.Use.Connection), zap.Int("call_on_it", j.Use.Number))
	e.outcome(c, j.Result)
	if turnLost { // before it counts as over: from then on the same message may be resumed
		e.router.TookBack(p)
	} else {
		e.router.Report(p, j.Result, j.Wait, j.Load)
	}
	e.legOver(c)
	if late && provesNeverRan(j.Result) && e.Proven != nil {
		e.Proven(m.ID, e.attempts(c))
	}
}

// standsFor is how long it counts that the gate let a leg go, in µs. Only a record is written meanwhile: longer, and the process was stopped,
// or its machine has no time for it, and what the gate gave may be over. What the module said is asked again. Danger: the margin at the end
// of a key's window is half of this span, and on a slow machine a wait or a drain is told meanwhile.
const standsFor = 100_000

// stillStands tells whether a leg that stood may have its first byte now; all in µs since 1970.
func stillStands(now, stood, until int64) bool { return now < until && now-stood <= standsFor }

// provesNeverRan tells whether a leg surely had no effect. One that found its message over says nothing: an earlier leg may have run.
func provesNeverRan(res routing.Result) bool { return res.NeverRan() && res != routing.GoneThere }

// settle counts a leg and puts on record that it never ran, where that is sure. It gives when the leg was put on record, 0 for never.
func (e *Engine) settle(m *spool.Message, p routing.Pick, res routing.Result, sentAt int64) int64 {
	e.Tally.Legs[res].Add(1)
	if res == routing.Delivered {
		e.Tally.Delivered.Add(1)
	}
	if !provesNeverRan(res) {
		return sentAt
	}
	if sentAt == 0 {
		return e.record(m, p, true)
	}
	if err := e.spool.NeverRan(m); err != nil && !errors.Is(err, spool.ErrOver) {
		e.log.Warn("leg not recorded as never run", zap.String("id", m.ID), zap.Error(err))
	}
	return sentAt
}

// record puts a leg on record. It gives the time that stands there, in µs since 1970; 0 where it could not be written.
func (e *Engine) record(m *spool.Message, p routing.Pick, neverRan bool) (sentAt int64) {
	sentAt = e.clock.Now()
	err := e.spool.Leg(m, spool.Leg{SentAt: sentAt, Zone: p.Receiver.Zone, NeverRan: neverRan})
	if err == nil {
		return sentAt
	}
	if !errors.Is(err, spool.ErrOver) { // withdrawn, or out of time, while the leg waited for its connection
		e.log.Error("leg not recorded", zap.String("id", m.ID), zap.Error(err))
	}
	return 0
}
