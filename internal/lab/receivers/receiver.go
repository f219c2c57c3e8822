// Package receivers models those that messages are handed to: their work, queues, limits, coldness and failures. It
// knows no network and no sender's reasons; a Clock drives it, in virtual or in real time.
package receivers

import (
	"math/rand/v2"
	"slices"

	"ravenlink/internal/lab/draw"
	"ravenlink/internal/lab/loop"
)

// Clock is the time that receivers live in, in µs.
type Clock interface {
	Now() int64
	At(at int64, h loop.Handler, kind uint8, number uint64)
}

// Kind of answer a receiver gives.
type Kind uint8

// The answers.
const (
	OK      Kind = iota
	Error        // it may have run
	Full         // turned away, surely not run
	Broken       // the connection ended under the call: it may have run
	Over         // nobody waits for its message any more; not run
	Pending      // no answer yet
)

func (k Kind) String() string {
	return [...]string{"ok", "error", "full", "broken", "over", "pending"}[k]
}

// Load is a report of the limit.
type Load struct {
	Told             bool
	ShareLeft, Limit float64
}

// Answer is what becomes of a call.
type Answer struct {
	Kind Kind
	Wait int64 // µs told with Full, 0 for none
	Load Load
}

// Sink hears what becomes of its call, once. Live is asked when the call comes: whether anybody still wants it.
type Sink interface {
	Answered(c *Call, a Answer)
	Live(c *Call) bool
}

// Call is one call at a receiver.
type Call struct {
	Sender   int
	Messages int   // in it; at least one
	Work     int64 // µs of one place at full speed
	Probe    bool
	Sink     Sink
	Came     int64 // when it came, set by Offer
	Used     int64 // µs of a place that it took, set as its work is done

	at       *Receiver
	state    callState
	due      int64 // when its work is done
	began    int64
	pausedAt int64  // the receiver's total pause when it began
	turn     uint64 // of the latest event asked for
}

type callState uint8

const (
	queued callState = iota
	working
	held // its work is done or never begins; no answer until something changes
	gone
)

// Nature is what the receivers of one kind have in common.
type Nature struct {
	Work       draw.Times // of a message, at full speed
	Places     int        // calls worked on at once
	Queue      int        // calls that may wait
	Further    float64    // share of its work that each further message of a call costs
	ErrorShare float64    // of calls that fail in the ordinary course
	ProbeTook  int64      // µs
	ErrorTook  int64      // µs until a fast error
	ColdShare  float64    // of the capacity that one back from an outage has
	WarmIn     int64      // µs until it has all of it
	MostConns  int        // connections it holds, idle ones counted; 0 for no bound
	ConnIdle   int64      // µs after which it closes an idle one; 0 for never
	Handshake  int64      // µs that a new connection costs the first call on it
	Cancels    bool       // a call called off while it waits is taken out of the queue
}

// Receiver is one receiver.
type Receiver struct {
	ID     uint32
	Zone   int
	Route  *Route
	Nature *Nature
	Conns  int    // open ones, idle ones counted; kept by the network
	Since  uint64 // counts its starts: connections from before the latest are dead

	clock   Clock
	chance  *rand.Rand
	speed   float64
	queue   ring
	busy    int
	work    []*Call // worked on now; as many as places
	stuck   []*Call // without an answer until something changes; emptied then
	upSince int64   // when the latest outage ended, 0 for none yet
	ill     bool

	effects   effects
	pausedSum int64 // µs of pauses over
	pausedNow int64 // begin of the present pause, 0 for none

	done int64 // µs of work done, for good or not
}

// New starts a receiver that is warm. speed multiplies the work it does in a second.
func New(id uint32, zone int, nature *Nature, route *Route, speed float64, clock Clock, chance *rand.Rand) *Receiver {
	r := &Receiver{ID: id, Zone: zone, Nature: nature, Route: route, clock: clock, chance: chance, speed: speed}
	route.receivers = append(route.receivers, r)
	return r
}

// Capacity is the messages a second it can do when warm, one in a call, leaving limits aside.
func (r *Receiver) Capacity() float64 {
	return float64(r.Nature.Places) * r.speed / r.Nature.Work.Mean * 1e6
}

// share of its capacity that it has now.
func (r *Receiver) share(now int64) float64 {
	if r.upSince == 0 || r.Nature.WarmIn <= 0 || now-r.upSince >= r.Nature.WarmIn {
		return 1
	}
	return r.Nature.ColdShare + (1-r.Nature.ColdShare)*float64(now-r.upSince)/float64(r.Nature.WarmIn)
}

// Cold tells whether it is back from an outage and not yet warm.
func (r *Receiver) Cold() bool { return r.share(r.clock.Now()) < 1 }

// Ill tells whether it is in an outage: down, silent, hung, shut or failing most calls.
func (r *Receiver) Ill() bool { return r.ill }

// Busy and Waiting count calls; Done is the work done, in µs of a place.
func (r *Receiver) Busy() int    { return r.busy }
func (r *Receiver) Waiting() int { return r.queue.len() }
func (r *Receiver) Done() int64  { return r.done }

// Took is how long a message of mean work takes just now, in µs.
func (r *Receiver) Took() float64 {
	return r.Nature.Work.Mean * r.effects.slow() / (r.speed * r.share(r.clock.Now()))
}

// Fails is the share of calls that fail fast just now.
func (r *Receiver) Fails() float64 { return r.effects.errors }

// Paused tells whether its work rests.
func (r *Receiver) Paused() bool { return r.effects.paused > 0 }

// Room tells how many further calls would be worked on at once.
func (r *Receiver) Room() int { return max(0, r.Nature.Places-r.busy-r.queue.len()) }

// Refuses and Silent tell the network what a new connection meets.
func (r *Receiver) Refuses() bool { return r.effects.refusing > 0 }
func (r *Receiver) Silent() bool  { return r.effects.silent > 0 }

// LosesAnswer draws whether an answer gets lost on its way back.
func (r *Receiver) LosesAnswer() bool {
	return r.effects.lost > 0 && r.chance.Float64() < r.effects.lost
}

// Offer brings a call whose last byte has come. Its sink hears of the answer, perhaps before Offer returns.
func (r *Receiver) Offer(c *Call) {
	now := r.clock.Now()
	c.at, c.state, c.Came = r, gone, now
	e := &r.effects
	if e.refusing > 0 { // the process went while the call was on its way
		c.Sink.Answered(c, Answer{Kind: Broken})
		return
	}
	r.Route.weigh(now, r, c)
	if e.refusing > 0 { // that very call pushed it over
		c.Sink.Answered(c, Answer{Kind: Broken})
		return
	}
	if c.Probe && e.liesToProbes() {
		r.answerIn(c, OK, r.Nature.ProbeTook)
		return
	}
	if e.silent > 0 || e.hung > 0 {
		r.hold(c)
		return
	}
	if !c.Sink.Live(c) {
		c.Sink.Answered(c, Answer{Kind: Over})
		return
	}
	if wait, taken := r.Route.admit(now, r.chance); !taken {
		if c.Probe { // as on the platform: a probe is answered yes or no, and told no wait
			wait = 0
		}
		c.Sink.Answered(c, Answer{Kind: Full, Wait: wait, Load: r.Route.load(now)})
		return
	}
	if errs := r.Nature.ErrorShare + e.errors; errs > 0 && r.chance.Float64() < errs {
		r.answerIn(c, Error, r.Nature.ErrorTook)
		return
	}
	if e.resets > 0 && r.chance.Float64() < e.resets {
		r.answerIn(c, Broken, r.Nature.ErrorTook)
		return
	}
	if c.Probe {
		r.answerIn(c, OK, r.Nature.ProbeTook)
		return
	}
	r.enter(c, now)
}

func (r *Receiver) enter(c *Call, now int64) {
	switch {
	case r.busy < r.Nature.Places && r.effects.paused == 0:
		r.begin(c, now)
	case r.queue.len() < r.Nature.Queue:
		c.state = queued
		r.queue.push(c)
	default:
		c.Sink.Answered(c, Answer{Kind: Full, Load: r.Route.load(now)})
	}
}

func (r *Receiver) begin(c *Call, now int64) {
	r.busy++
	r.work = append(r.work, c)
	work := float64(c.Work) * (1 + r.Nature.Further*float64(c.Messages-1))
	took := int64(work * r.effects.slow() / (r.speed * r.share(now)))
	c.state, c.began, c.pausedAt = working, now, r.pausedSum
	r.dueAt(c, now+max(1, took))
}

func (r *Receiver) dueAt(c *Call, at int64) {
	c.turn++
	c.due = at
	r.clock.At(at, c, evDone, c.turn)
}

const (
	evDone uint8 = iota
	evSay        // kinds from here on carry the answer to give
)

// answerIn gives an answer after a while that takes no place.
func (r *Receiver) answerIn(c *Call, k Kind, after int64) {
	c.state = held
	c.turn++
	r.clock.At(r.clock.Now()+after, c, evSay+uint8(k), c.turn)
}

// Handle is for the clock.
func (c *Call) Handle(kind uint8, turn uint64) {
	if turn != c.turn || c.state == gone {
		return
	}
	if kind == evDone {
		c.at.finish(c)
		return
	}
	c.state = gone
	c.Sink.Answered(c, Answer{Kind: Kind(kind - evSay), Load: c.at.Route.load(c.at.clock.Now())})
}

// finish ends a call's work. Pauses that fell into it make it longer by just their length.
func (r *Receiver) finish(c *Call) {
	if r.effects.paused > 0 {
		return // resume asks for a new time
	}
	now := r.clock.Now()
	if rest := r.pausedSum - c.pausedAt; rest > 0 {
		c.pausedAt = r.pausedSum
		r.dueAt(c, now+rest)
		return
	}
	r.busy--
	r.work = slices.DeleteFunc(r.work, func(o *Call) bool { return o == c })
	c.Used = now - c.began
	r.done += c.Used
	r.next(now)
	if r.effects.hung > 0 || r.effects.silent > 0 { // the work is done, the answer does not come out
		r.hold(c)
		return
	}
	c.state = gone
	c.Sink.Answered(c, Answer{Kind: OK, Load: r.Route.load(now)})
}

func (r *Receiver) next(now int64) {
	for r.busy < r.Nature.Places && r.queue.len() > 0 && r.effects.paused == 0 {
		if c := r.queue.pop(); c.state == queued {
			r.begin(c, now)
		}
	}
}

// hold keeps a call without an answer until the trouble is over, or until its sender leaves it.
func (r *Receiver) hold(c *Call) {
	c.state = held
	c.turn++
	r.stuck = append(r.stuck, c)
}

// Leave says that the sender waits for a call no longer. What has begun runs on; what waits may be taken out.
func (r *Receiver) Leave(c *Call) {
	switch {
	case c.at == nil:
	case c.state == held:
		c.state = gone
		c.turn++
		for i, o := range r.stuck {
			if o == c {
				last := len(r.stuck) - 1
				r.stuck[i], r.stuck[last] = r.stuck[last], nil
				r.stuck = r.stuck[:last]
				return
			}
		}
	case c.state == queued && r.Nature.Cancels:
		c.state = gone
		r.queue.drop(c)
	}
}

// breakAll ends every call here: its process is gone.
func (r *Receiver) breakAll() {
	r.Since++
	r.Conns = 0
	var out []*Call
	out = append(out, r.stuck...)
	r.stuck = nil
	for r.queue.len() > 0 {
		out = append(out, r.queue.pop())
	}
	out = append(out, r.work...)
	r.work, r.busy = nil, 0
	for _, c := range out {
		if c.state == gone {
			continue
		}
		c.state = gone
		c.turn++
		c.Sink.Answered(c, Answer{Kind: Broken})
	}
}
