package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// Engine takes accepted messages to their ends: one goroutine applies decisions, and each leg in flight has one.
type Engine struct {
	log      *zap.Logger
	clock    Clock
	router   *routing.Router
	spool    *spool.Spool
	carrier  Transport
	notifier Notifier

	Stats *Stats

	backlog      *backlogManager // nil if the backlog is disabled
	BacklogStats BacklogStats

	sequencer     Sequencer // nil if channels are disabled
	maxLegTimeout time.Duration

	// OnDelivered, if set, is called for messages that end other than undelivered. It must not block for long.
	OnDelivered func(id string)

	// OnNeverRan, if set before SetContexts, is called when a recorded leg is found never to have run after its message was
	// reported as undelivered. It may write to disk.
	OnNeverRan func(id string, attempts []Attempt)

	// Fenced, if set before SetContexts, reports whether a message is older than a purge that covers it: such a message ends
	// wherever it is found.
	Fenced func(m *spool.Message) bool

	// Observer, if set before SetContexts, is called for events of messages and legs. It must not block for long.
	Observer Observer

	endCounters endCounters

	startCtx     context.Context // ends when no leg may start any more
	runCtx       context.Context // ends when legs in flight are cancelled
	legsInFlight atomic.Int64    // legs in flight, at most the call slots of the settings
	pending      atomic.Int64    // messages being delivered whose end has not been processed
	legs         sync.WaitGroup  // legs in flight, for run to wait on
	running      sync.WaitGroup

	mu     sync.Mutex
	active map[string]*delivery // by id; entries are deleted as messages end
}

// delivery is a message being delivered, and the outcomes of its legs in this process.
type delivery struct {
	msg      *spool.Message
	outcomes []legOutcome // one for each leg, in the order of their ends
	notified bool         // reported as undelivered; a leg may be in flight

	// For messages of channels.
	legsOut     int  // legs in flight
	unresolved  bool // a leg had no outcome and may still run
	delivered   bool
	ended       bool // its channel is to be notified once no leg is in flight
	abandoned   bool // by its channel
	endDeferred bool // its end waits for the leg in flight
	postponed   bool // its turn was lost before a leg started: it goes back to its channel
	retryAfter  int64
}

// legOutcome is the outcome of a leg as this process saw it.
type legOutcome struct {
	sentAt     int64 // µs since 1970; as recorded
	elapsed    int64 // µs
	receiver   string
	result     routing.Result
	retryAfter int64 // µs
}

// Stats counts events since the start.
type Stats struct {
	Accepted, Delivered, Rejected, Failed atomic.Int64 // accepted messages, and messages by their end
	Legs                                  [numResults]atomic.Int64
}

const numResults = int(routing.Cancelled) + 1

// New creates an engine; Run starts it. The notifier may call back at once.
func New(log *zap.Logger, clock Clock, router *routing.Router, s *spool.Spool, carrier Transport) *Engine {
	return &Engine{log: log, clock: clock, router: router, spool: s, carrier: carrier, Stats: &Stats{}, active: map[string]*delivery{}}
}

// SetNotifier sets the notifier of undelivered messages. It must be called before any message is accepted.
func (e *Engine) SetNotifier(ends Notifier) { e.notifier = ends }

// SetContexts sets the contexts of all work: no leg starts after startCtx ends, and none continues after runCtx does.
func (e *Engine) SetContexts(startCtx, runCtx context.Context) {
	e.startCtx, e.runCtx = startCtx, runCtx
}

// Wait waits until Run and all legs have finished.
func (e *Engine) Wait() { e.running.Wait() }

// LegsInFlight counts the legs in flight.
func (e *Engine) LegsInFlight() int64 { return e.legsInFlight.Load() }

// Pending counts the messages being delivered whose end has not been processed: if there is none, all notices of them have been
// handed over.
func (e *Engine) Pending() int64 { return e.pending.Load() }

// Class returns the number of a traffic class by its name.
func (e *Engine) Class(name string) (int, bool) { return e.router.Class(name) }

// Now returns the time that messages expire by, in µs since 1970.
func (e *Engine) Now() int64 { return e.clock.Now() }

// Accept submits a message to the decision module, which may end it at once. A held message is recorded: its end is due from
// then on. Nothing is sent before Deliver.
func (e *Engine) Accept(m *spool.Message, class int) (disposition routing.Disposition, retryAfter int64) {
	if e.backlog != nil {
		return e.backlog.accept(m, class)
	}
	return e.admit(m, class)
}

func (e *Engine) admit(m *spool.Message, class int) (disposition routing.Disposition, retryAfter int64) {
	disposition, retryAfter = e.router.Add(routingMessage(m, class))
	if disposition != routing.Held {
		return disposition, retryAfter
	}
	if err := e.spool.Accept(m); err != nil {
		e.router.Forget(m.ID)
		return e.storeFailed(err)
	}
	e.Stats.Accepted.Add(1)
	return disposition, 0
}

// storeFailed returns the answer to a hand-in that could not be recorded.
func (e *Engine) storeFailed(err error) (routing.Disposition, int64) {
	if errors.Is(err, spool.ErrDuplicate) { // it is spilled
		return routing.Duplicate, 0
	}
	e.log.Warn("not taken on", zap.Error(err))
	return routing.AtCapacity, e.router.RetryAfter()
}

// Withdraw takes back a message whose client was never told of its acceptance.
func (e *Engine) Withdraw(id string) {
	if e.backlog != nil {
		e.backlog.withdraw(id)
		return
	}
	e.router.Withdraw(id)
}

func routingMessage(m *spool.Message, class int) routing.Message {
	r := routing.Message{ID: m.ID, Class: class, OrderKey: m.OrderKey, Dst: m.Dst, Expires: m.Expires}
	for _, l := range m.Legs {
		r.Past = append(r.Past, routing.PastLeg(l))
	}
	return r
}

// maxResumeBatch bounds a turn that resumes messages: 1,000 take some 10 ms, during which nothing else is decided. Smaller
// batches cost more, because each turn looks at every destination that waits for a slot.
const maxResumeBatch = 1000

// Resume continues a message that was pending before a restart of the sender.
func (e *Engine) Resume(m *spool.Message) { e.resume([]*spool.Message{m}) }

// ResumeAll resumes messages in their order, many in each turn.
func (e *Engine) ResumeAll(ms []*spool.Message) {
	for batch := range slices.Chunk(ms, maxResumeBatch) {
		e.resume(batch)
	}
}

func (e *Engine) resume(ms []*spool.Message) {
	var known []routing.Message
	index := make([]int, len(ms)) // index in known; -1 for a traffic class that the settings no longer have
	for i, m := range ms {
		index[i] = -1
		if class, exists := e.router.Class(m.Class); exists {
			pending := routingMessage(m, class)
			pending.Accepted, pending.EndUnreported = !m.Ended, m.Ended
			index[i] = len(known)
			known = append(known, pending)
		}
	}
	admissions := e.router.AddAll(known)
	for i, m := range ms {
		f := routing.Admission{Disposition: routing.Failed}
		if index[i] >= 0 {
			f = admissions[index[i]]
		}
		switch {
		case m.Ended:
			u := e.newUndelivered(&delivery{msg: m}, m.Rejected, m.RetryAfter)
			u.BodyErased = e.spool.IsErased(m)
			e.notifier.Undelivered(u)
		case f.Disposition == routing.Held:
			e.Deliver(m)
		default:
			e.undelivered(&delivery{msg: m}, f.Disposition != routing.Failed, f.RetryAfter)
		}
	}
}

// Deliver takes an accepted message to its end.
func (e *Engine) Deliver(m *spool.Message) {
	if e.backlog != nil {
		e.backlog.deliver(m)
		return
	}
	e.deliver(m)
}

func (e *Engine) deliver(m *spool.Message) {
	e.mu.Lock()
	e.active[m.ID] = &delivery{msg: m, unresolved: mayHaveRun(m)}
	e.mu.Unlock()
	e.pending.Add(1)
	if e.Observer != nil {
		e.Observer.MessageAccepted(m.Dst)
	}
	e.router.Release(m.ID)
}

// Run starts applying decisions: legs until none may start any more, ends until the last leg has ended.
func (e *Engine) Run() { e.running.Go(e.run) }

func (e *Engine) run() {
	e.processDecisions()
	e.legs.Wait()
	e.processDecisions() // the ends caused by the last legs
}

// processDecisions applies decisions until runCtx has ended and none is queued.
func (e *Engine) processDecisions() {
	for {
		d, err := e.router.NextDecision(e.runCtx)
		if err != nil {
			return
		}
		e.apply(d)
	}
}

// reserveLeg counts a leg as in flight if one may still start. It counts before it checks: whoever ends startCtx and then sees
// none in flight knows that there will be none.
func (e *Engine) reserveLeg() bool {
	e.legsInFlight.Add(1)
	if e.startCtx.Err() != nil {
		e.legsInFlight.Add(-1)
		return false
	}
	return true
}

func (e *Engine) apply(d routing.Decision) {
	if d.Disposition == routing.Leg && !e.reserveLeg() {
		return
	}
	c, abandoned, postponed := e.lookUp(d)
	if d.Disposition == routing.Leg && (abandoned || postponed) { // its end follows
		e.legsInFlight.Add(-1)
		e.router.ReportUnstarted(d)
		return
	}
	e.observe(c.msg.Dst, d.Disposition)
	if d.Disposition == routing.Leg {
		e.legs.Go(func() {
			defer e.legsInFlight.Add(-1)
			e.runLeg(c, d)
		})
		return
	}
	defer e.pending.Add(-1)
	if e.backlog != nil {
		defer e.backlog.ended(c)
	}
	switch {
	case postponed:
		e.postpone(c)
	case d.Disposition == routing.Completed || abandoned:
		e.finish(c)
	default:
		e.undelivered(c, d.Disposition == routing.Rejected, d.RetryAfter)
	}
}

// observe reports to the observer that a leg starts or a message ends.
func (e *Engine) observe(dst int64, disposition routing.Disposition) {
	switch {
	case e.Observer == nil:
	case disposition == routing.Leg:
		e.Observer.LegStarted(dst)
	default:
		e.Observer.MessageEnded(dst)
	}
}

// lookUp returns the message of a decision, and whether its channel abandoned it or takes it back. If the decision ends the
// message, lookUp removes it.
func (e *Engine) lookUp(d routing.Decision) (c *delivery, abandoned, postponed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c = e.active[d.ID]
	switch {
	case d.Disposition != routing.Leg:
		delete(e.active, d.ID)
	case !c.abandoned && !c.isPostponed():
		c.legsOut++
	}
	return c, c.abandoned, c.isPostponed()
}

// Complete records that nothing is due for a message any more.
func (e *Engine) Complete(m *spool.Message) {
	if err := e.spool.Complete(m); err != nil && (e.backlog == nil || !errors.Is(err, spool.ErrNotPending)) { // withdrawn while it was loaded
		e.log.Error("end not recorded", zap.String("id", m.ID), zap.Error(err))
	}
	e.router.EndReported(m.ID)
}

func (e *Engine) undelivered(c *delivery, rejected bool, retryAfter int64) {
	e.endUndelivered(c, rejected, retryAfter)
	e.notifySequencer(c, false)
}

// endUndelivered records an end and notifies the notifier.
func (e *Engine) endUndelivered(c *delivery, rejected bool, retryAfter int64) {
	if rejected {
		e.Stats.Rejected.Add(1)
	} else {
		e.Stats.Failed.Add(1)
	}
	m := c.msg
	e.endCounters.ended(m)
	if err := e.spool.MarkUndelivered(m, rejected, retryAfter); err != nil {
		e.log.Error("end not recorded", zap.String("id", m.ID), zap.Error(err))
	}
	e.mu.Lock()
	c.notified = true
	e.mu.Unlock()
	e.notifier.Undelivered(e.newUndelivered(c, rejected, retryAfter))
}

func (e *Engine) newUndelivered(c *delivery, rejected bool, retryAfter int64) Undelivered {
	return Undelivered{Msg: c.msg, Rejected: rejected, RetryAfter: retryAfter, Attempts: func() []Attempt { return e.attempts(c) }}
}

// attempts joins the recorded legs with the outcomes seen.
func (e *Engine) attempts(c *delivery) (all []Attempt) {
	legs := e.spool.Legs(c.msg)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range legs {
		a := Attempt{SentAt: l.SentAt, NeverRan: l.NeverRan}
		i := slices.IndexFunc(c.outcomes, func(o legOutcome) bool { return o.sentAt == l.SentAt })
		if i >= 0 {
			o := c.outcomes[i]
			a.NeverRan = a.NeverRan || provesNeverRan(o.result) // also if the outcome came too late for the record, or the disk was full
			a.Elapsed, a.Receiver, a.Result, a.RetryAfter = o.elapsed, o.receiver, o.result.String(), o.retryAfter
		}
		all = append(all, a)
	}
	return all
}

// addOutcome adds the outcome of a leg, and returns whether its message was reported as undelivered before. A leg may be in
// flight at the deadline of its message, and on a machine that starves the process its refusal is recorded even later. A
// snapshot made at the end would then hold a message that never ran as one that may have run.
func (e *Engine) addOutcome(c *delivery, o legOutcome) (late bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.sentAt > 0 {
		c.outcomes = append(c.outcomes, o)
	}
	return c.notified
}

// runLeg sends one leg and reports its result.
func (e *Engine) runLeg(c *delivery, d routing.Decision) {
	m := c.msg
	ctx, cancel := context.WithCancel(d.Ctx)
	defer cancel()
	defer context.AfterFunc(e.runCtx, cancel)()
	began := e.clock.Now()
	sentAt, authorizedAt := int64(0), int64(0) // sentAt is 0 until the leg is recorded
	timeout := e.legTimeout(m, d)
	until := began + timeout.Microseconds()
	j := e.carrier.Send(ctx, Leg{Msg: m, Receiver: d.Receiver, Timeout: timeout, Deadline: until,
		Authorize: func() bool {
			if e.startCtx.Err() != nil || !e.router.Authorized(d) || e.startCtx.Err() != nil { // Authorized may have taken a moment
				return false
			}
			authorizedAt = e.clock.Now()
			if e.mayBegin(c) {
				sentAt = e.recordLeg(m, d, false)
			}
			return sentAt > 0
		},
		Confirm: func() bool {
			return e.router.Valid(d) && stillAuthorized(e.clock.Now(), authorizedAt, min(until, m.Expires))
		}})
	if e.runCtx.Err() != nil && j.Result == routing.Cancelled {
		return // the process ends: the leg may have run, as its record says
	}
	if e.Observer != nil {
		e.Observer.LegEnded(m.Dst)
		if j.Result == routing.Refused {
			e.Observer.LegRefused(m.Dst)
		}
	}
	turnLost := sentAt == 0 && j.Result == routing.NotSent && e.legPostponed(c)
	if turnLost { // no attempt was made
		e.Stats.Legs[j.Result].Add(1)
	} else {
		sentAt = e.recordResult(m, d, j.Result, sentAt)
	}
	took := e.clock.Now() - began
	late := e.addOutcome(c, legOutcome{sentAt: sentAt, elapsed: took, receiver: d.Receiver.ID, result: j.Result, retryAfter: j.RetryAfter})
	e.log.Debug("leg", zap.String("id", m.ID), zap.Int64("dst", m.Dst), zap.String("receiver", d.Receiver.ID), zap.Int("number", d.LegNumber),
		zap.Uint8("stage", j.Stage), zap.Int("status", j.Status), zap.Int64("took_us", took),
		zap.Duration("patience", timeout), zap.Int64("wait_us", j.RetryAfter))
	e.addResult(c, j.Result)
	if turnLost { // before it counts as ended: from then on the same message may be resumed
		e.router.ReportUnstarted(d)
	} else {
		e.router.Report(d, j.Result, j.RetryAfter, j.Load)
	}
	e.finishLeg(c)
	recorded := sentAt > 0 // otherwise it is no attempt of the message, and none of them changed
	if late && recorded && provesNeverRan(j.Result) && e.OnNeverRan != nil {
		e.OnNeverRan(m.ID, e.attempts(c))
	}
}

// authorizationMicros is how long an authorization by the gate is valid, in µs. Only a record is written in between: if that
// takes longer, the process was stopped or starved, and the permission of the gate may have expired. The decision module is
// asked again in any case. The margin at the end of a key's window is half of this span, and on a slow machine a retry-after or
// a drain may arrive in between.
const authorizationMicros = 100_000

// stillAuthorized reports whether an authorized leg may send its first byte now; all times in µs since 1970.
func stillAuthorized(now, authorizedAt, until int64) bool {
	return now < until && now-authorizedAt <= authorizationMicros
}

// provesNeverRan reports whether a leg certainly had no effect. A leg that found its message over proves nothing: an earlier leg
// may have run.
func provesNeverRan(res routing.Result) bool { return res.NeverRan() && res != routing.Gone }

// recordResult counts a leg and records that it never ran, if that is certain. It returns when the leg was recorded, 0 for
// never.
func (e *Engine) recordResult(m *spool.Message, d routing.Decision, res routing.Result, sentAt int64) int64 {
	e.Stats.Legs[res].Add(1)
	if res == routing.Delivered {
		e.Stats.Delivered.Add(1)
	}
	if !provesNeverRan(res) {
		return sentAt
	}
	if sentAt == 0 {
		return e.recordLeg(m, d, true)
	}
	if err := e.spool.MarkNeverRan(m); err != nil && !errors.Is(err, spool.ErrNotPending) {
		e.log.Warn("leg not recorded as never run", zap.String("id", m.ID), zap.Error(err))
	}
	return sentAt
}

// recordLeg records a leg. It returns the recorded time, in µs since 1970; 0 if it could not be written.
func (e *Engine) recordLeg(m *spool.Message, d routing.Decision, neverRan bool) (sentAt int64) {
	sentAt = e.clock.Now()
	err := e.spool.AddLeg(m, spool.Leg{SentAt: sentAt, Zone: d.Receiver.Zone, NeverRan: neverRan})
	if err == nil {
		return sentAt
	}
	if !errors.Is(err, spool.ErrNotPending) { // withdrawn or expired while the leg waited for its connection
		e.log.Error("leg not recorded", zap.String("id", m.ID), zap.Error(err))
	}
	return 0
}
