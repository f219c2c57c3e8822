// Package receivers models the receivers of messages: service times, queues, rate limits, slow start after an outage, and
// injected faults. It knows nothing of the network or of senders' policies. A Clock drives it, in virtual or in real time.
package receivers

import (
	"math/rand/v2"
	"slices"

	"ravenlink/internal/lab/draw"
	"ravenlink/internal/lab/loop"
)

// Clock tells the time in µs and schedules events.
type Clock interface {
	Now() int64
	At(at int64, h loop.Handler, kind uint8, seq uint64)
}

// AnswerKind is the kind of an answer to a call.
type AnswerKind uint8

// The kinds of answers.
const (
	OK        AnswerKind = iota
	Error                // the call may have run
	Refused              // by the rate limit or a full queue; the call did not run
	Reset                // the connection was reset during the call, which may have run
	NotNeeded            // the caller no longer needed the call, so it did not run
	Pending              // no answer yet
)

func (k AnswerKind) String() string {
	return [...]string{"ok", "error", "full", "broken", "over", "pending"}[k]
}

// LimitReport is the state of the route's rate limit, as sent with an answer.
type LimitReport struct {
	Known                       bool
	RemainingShare, LimitPerSec float64
}

// Answer is the result of a call.
type Answer struct {
	Kind       AnswerKind
	RetryAfter int64 // µs, with Refused; 0 if none is given
	Limit      LimitReport
}

// Caller makes calls. Answered is called exactly once for each call that isn't cancelled, and for a cancelled one only if it
// was running or stays in the queue. StillNeeded is asked when the call arrives; if it returns false, the call is answered
// NotNeeded.
type Caller interface {
	Answered(c *Call, a Answer)
	StillNeeded(c *Call) bool
}

// Call is a call from a sender to a receiver: a batch of messages, or a probe.
type Call struct {
	Sender    int
	Messages  int   // in the batch; at least one
	Work      int64 // µs that one worker needs for one message at full speed
	Probe     bool
	Caller    Caller
	ArrivedAt int64 // set by Offer
	BusyTime  int64 // µs for which it occupied a worker, pauses included; set when its work is done

	receiver     *Receiver
	state        callState
	doneAt       int64 // when the work is due to be done
	startedAt    int64
	pausedBefore int64  // the receiver's totalPaused already counted in doneAt
	timerSeq     uint64 // of the latest event scheduled for this call; earlier events are ignored
}

type callState uint8

const (
	queued callState = iota
	running
	held // no worker is busy with it; its answer comes by a timer, or when a fault ends
	ended
)

// Config holds the parameters shared by all receivers of one kind.
type Config struct {
	Work           draw.Distribution // service time of one message at full speed
	Workers        int               // calls processed concurrently
	QueueSize      int               // calls that may wait for a worker
	BatchItemCost  float64           // work of each further message of a call, as a share of the first one's
	ErrorShare     float64           // share of calls that fail without any fault
	ProbeTime      int64             // µs to answer a probe
	ErrorTime      int64             // µs to answer a call that fails or is reset
	ColdShare      float64           // share of its capacity that a receiver has right after an outage
	WarmUpTime     int64             // µs after an outage until it has its full capacity
	MaxConns       int               // open connections, including idle ones; 0 for no limit
	IdleTimeout    int64             // µs after which it closes an idle connection; 0 for never
	HandshakeTime  int64             // µs that a new connection adds to the first call on it
	DropsCancelled bool              // a call cancelled while it is queued leaves the queue
}

// Receiver processes the calls of all senders to one address.
type Receiver struct {
	ID          uint32
	Zone        int
	Route       *Route
	Config      *Config
	Conns       int    // open connections, including idle ones; maintained by the network
	Incarnation uint64 // incremented by resetAll; connections of an earlier incarnation are dead

	clock        Clock
	rng          *rand.Rand
	speed        float64
	queue        ring
	busyWorkers  int
	runningCalls []*Call // at most Config.Workers
	heldCalls    []*Call // answered when a hang ends, or reset by resetAll; emptied then
	recoveredAt  int64   // end of the latest outage; 0 if there was none
	inOutage     bool

	faults      faults
	totalPaused int64 // µs, of pauses that have ended
	pauseStart  int64 // of the current pause; 0 if there is none

	busyTime int64 // µs, whether or not the caller got the answer
}

// New returns a receiver with its full capacity. Service times are divided by speed.
func New(id uint32, zone int, config *Config, route *Route, speed float64, clock Clock, rng *rand.Rand) *Receiver {
	r := &Receiver{ID: id, Zone: zone, Config: config, Route: route, clock: clock, rng: rng, speed: speed}
	route.receivers = append(route.receivers, r)
	return r
}

// Capacity returns the messages per second that a warm receiver can process, one message per call and without a rate limit.
func (r *Receiver) Capacity() float64 {
	return float64(r.Config.Workers) * r.speed / r.Config.Work.Mean * 1e6
}

// capacityShare returns the share of its capacity that the receiver has now: it rises linearly during the warm-up time.
func (r *Receiver) capacityShare(now int64) float64 {
	if r.recoveredAt == 0 || r.Config.WarmUpTime <= 0 || now-r.recoveredAt >= r.Config.WarmUpTime {
		return 1
	}
	return r.Config.ColdShare + (1-r.Config.ColdShare)*float64(now-r.recoveredAt)/float64(r.Config.WarmUpTime)
}

// Cold reports whether the receiver is warming up after an outage.
func (r *Receiver) Cold() bool { return r.capacityShare(r.clock.Now()) < 1 }

// InOutage reports whether the receiver is down, unreachable, hung, refusing all calls or failing most of them.
func (r *Receiver) InOutage() bool { return r.inOutage }

// Busy returns the number of calls that are being processed.
func (r *Receiver) Busy() int { return r.busyWorkers }

// Queued returns the number of calls that wait for a worker.
func (r *Receiver) Queued() int { return r.queue.len() }

// BusyTime returns the time that workers spent on finished calls, in µs.
func (r *Receiver) BusyTime() int64 { return r.busyTime }

// ServiceTime returns the current service time of a message of mean work, in µs.
func (r *Receiver) ServiceTime() float64 {
	return r.Config.Work.Mean * r.faults.slowFactor() / (r.speed * r.capacityShare(r.clock.Now()))
}

// FaultErrorShare returns the share of calls that currently fail because of faults.
func (r *Receiver) FaultErrorShare() float64 { return r.faults.errors }

// Paused reports whether processing is paused.
func (r *Receiver) Paused() bool { return r.faults.paused > 0 }

// FreeWorkers returns how many more calls could start without waiting.
func (r *Receiver) FreeWorkers() int { return max(0, r.Config.Workers-r.busyWorkers-r.queue.len()) }

// RefusesConns reports whether new connections are refused.
func (r *Receiver) RefusesConns() bool { return r.faults.down > 0 }

// Unreachable reports whether new connections get no reply.
func (r *Receiver) Unreachable() bool { return r.faults.unreachable > 0 }

// LosesAnswer draws whether an answer is lost on its way back.
func (r *Receiver) LosesAnswer() bool {
	return r.faults.lost > 0 && r.rng.Float64() < r.faults.lost
}

// Offer delivers a call to the receiver. The caller may get its answer before Offer returns.
func (r *Receiver) Offer(c *Call) {
	now := r.clock.Now()
	c.receiver, c.state, c.ArrivedAt = r, ended, now
	f := &r.faults
	if f.down > 0 { // the process went down while the call was in transit
		c.Caller.Answered(c, Answer{Kind: Reset})
		return
	}
	r.Route.addColdLoad(now, r, c)
	if f.down > 0 { // this call made the route collapse
		c.Caller.Answered(c, Answer{Kind: Reset})
		return
	}
	if c.Probe && f.fakesProbes() {
		r.answerAfter(c, OK, r.Config.ProbeTime)
		return
	}
	if f.unreachable > 0 || f.hung > 0 {
		r.hold(c)
		return
	}
	if !c.Caller.StillNeeded(c) {
		c.Caller.Answered(c, Answer{Kind: NotNeeded})
		return
	}
	if retryAfter, admitted := r.Route.admit(now, r.rng); !admitted {
		if c.Probe { // as on the platform, the answer to a probe has no retry-after
			retryAfter = 0
		}
		c.Caller.Answered(c, Answer{Kind: Refused, RetryAfter: retryAfter, Limit: r.Route.limitReport(now)})
		return
	}
	if errorShare := r.Config.ErrorShare + f.errors; errorShare > 0 && r.rng.Float64() < errorShare {
		r.answerAfter(c, Error, r.Config.ErrorTime)
		return
	}
	if f.resets > 0 && r.rng.Float64() < f.resets {
		r.answerAfter(c, Reset, r.Config.ErrorTime)
		return
	}
	if c.Probe {
		r.answerAfter(c, OK, r.Config.ProbeTime)
		return
	}
	r.startOrQueue(c, now)
}

func (r *Receiver) startOrQueue(c *Call, now int64) {
	switch {
	case r.busyWorkers < r.Config.Workers && r.faults.paused == 0:
		r.start(c, now)
	case r.queue.len() < r.Config.QueueSize:
		c.state = queued
		r.queue.push(c)
	default:
		c.Caller.Answered(c, Answer{Kind: Refused, Limit: r.Route.limitReport(now)})
	}
}

func (r *Receiver) start(c *Call, now int64) {
	r.busyWorkers++
	r.runningCalls = append(r.runningCalls, c)
	work := float64(c.Work) * (1 + r.Config.BatchItemCost*float64(c.Messages-1))
	took := int64(work * r.faults.slowFactor() / (r.speed * r.capacityShare(now)))
	c.state, c.startedAt, c.pausedBefore = running, now, r.totalPaused
	r.scheduleDone(c, now+max(1, took))
}

func (r *Receiver) scheduleDone(c *Call, at int64) {
	c.timerSeq++
	c.doneAt = at
	r.clock.At(at, c, evDone, c.timerSeq)
}

const (
	evDone   uint8 = iota
	evAnswer       // plus the AnswerKind to give
)

// answerAfter schedules an answer that occupies no worker.
func (r *Receiver) answerAfter(c *Call, kind AnswerKind, delay int64) {
	c.state = held
	c.timerSeq++
	r.clock.At(r.clock.Now()+delay, c, evAnswer+uint8(kind), c.timerSeq)
}

// Handle implements loop.Handler.
func (c *Call) Handle(kind uint8, timerSeq uint64) {
	if timerSeq != c.timerSeq || c.state == ended {
		return
	}
	if kind == evDone {
		c.receiver.finish(c)
		return
	}
	c.state = ended
	c.Caller.Answered(c, Answer{Kind: AnswerKind(kind - evAnswer), Limit: c.receiver.Route.limitReport(c.receiver.clock.Now())})
}

// finish ends the processing of a call. Pauses during the call delay its end by exactly their length.
func (r *Receiver) finish(c *Call) {
	if r.faults.paused > 0 {
		return // endPause reschedules it
	}
	now := r.clock.Now()
	if pauses := r.totalPaused - c.pausedBefore; pauses > 0 {
		c.pausedBefore = r.totalPaused
		r.scheduleDone(c, now+pauses)
		return
	}
	r.busyWorkers--
	r.runningCalls = slices.DeleteFunc(r.runningCalls, func(o *Call) bool { return o == c })
	c.BusyTime = now - c.startedAt
	r.busyTime += c.BusyTime
	r.startQueued(now)
	if r.faults.hung > 0 || r.faults.unreachable > 0 { // the call ran, but its answer cannot be sent
		r.hold(c)
		return
	}
	c.state = ended
	c.Caller.Answered(c, Answer{Kind: OK, Limit: r.Route.limitReport(now)})
}

func (r *Receiver) startQueued(now int64) {
	for r.busyWorkers < r.Config.Workers && r.queue.len() > 0 && r.faults.paused == 0 {
		if c := r.queue.pop(); c.state == queued {
			r.start(c, now)
		}
	}
}

// hold leaves a call unanswered until the fault ends or the sender cancels the call.
func (r *Receiver) hold(c *Call) {
	c.state = held
	c.timerSeq++
	r.heldCalls = append(r.heldCalls, c)
}

// Cancel tells the receiver that the sender no longer waits for a call. A running call runs on; a queued one is dropped if
// the configuration says so.
func (r *Receiver) Cancel(c *Call) {
	switch {
	case c.receiver == nil:
	case c.state == held:
		c.state = ended
		c.timerSeq++
		for i, o := range r.heldCalls {
			if o == c {
				last := len(r.heldCalls) - 1
				r.heldCalls[i], r.heldCalls[last] = r.heldCalls[last], nil
				r.heldCalls = r.heldCalls[:last]
				return
			}
		}
	case c.state == queued && r.Config.DropsCancelled:
		c.state = ended
		r.queue.drop(c)
	}
}

// resetAll resets every call and connection: the process is gone, or its machine is back after being unreachable.
func (r *Receiver) resetAll() {
	r.Incarnation++
	r.Conns = 0
	var calls []*Call
	calls = append(calls, r.heldCalls...)
	r.heldCalls = nil
	for r.queue.len() > 0 {
		calls = append(calls, r.queue.pop())
	}
	calls = append(calls, r.runningCalls...)
	r.runningCalls, r.busyWorkers = nil, 0
	for _, c := range calls {
		if c.state == ended {
			continue
		}
		c.state = ended
		c.timerSeq++
		c.Caller.Answered(c, Answer{Kind: Reset})
	}
}
