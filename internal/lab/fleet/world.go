package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"

	"ravenlink/internal/lab/draw"
	"ravenlink/internal/lab/loop"
	"ravenlink/internal/members"
)

// policy decides for all senders of a run which calls they may make. Except for the all-knowing one, a policy passes
// information between senders only through World.send.
type policy interface {
	start(w *World)
	tick(now int64, i int)                                // called periodically for each sender
	receive(now int64, from, to int, body any)            // a peer message arrived
	setDemand(now int64, i, d int, perSec float64, n int) // a sender's traffic and the messages that wait at it
	allow(now int64, i, d int) bool                       // called right before a call; uses up the permission that it grants
	callDone(now int64, i, d int, ok bool, limit float64) // the outcome of a call, with the limit that the answer reports
	setView(now int64, i int, v members.View)
	restart(now int64, i int)
}

// World is the state of one run.
type World struct {
	Scenario
	events      *loop.Loop
	policy      policy
	trafficRand *rand.Rand
	linkRand    *rand.Rand
	names       []string
	senders     []*sender
	dsts        []*destination
	messages    map[uint64]peerMessage
	lastMessage uint64
	bytesSent   int
	tally       tally
}

// peerMessage is a message on its way between two senders.
type peerMessage struct {
	from, to int
	body     any
}

type sender struct {
	queues      []queue
	dead        bool
	paused      bool
	incarnation uint64
}

// queue holds the messages of a sender for one destination, oldest first. Refused messages stay in it.
type queue struct {
	messages     []queuedMessage
	waitingSince int64   // when a message first was due after the latest call; 0 if none was since then
	resumeAt     int64   // after a refusal all calls to the destination pause until then, as the design of senders specifies
	rate         float64 // mean arrivals per second, smoothed
	arrived      float64 // since the last tick
}

// queuedMessage is a message in a queue; it is not sent before notBefore.
type queuedMessage struct{ arrivedAt, notBefore int64 }

// destination is a destination with its token bucket.
type destination struct {
	limit    float64
	tokens   float64
	filledAt int64
	shares   draw.Discrete // of the senders in its traffic
	calls    []int         // in each step
	accepted int           // calls, while figures are measured
	wanted   int           // messages that arrived, likewise
}

// Run simulates a scenario under the policy with the given name.
func Run(s Scenario, policyName string) (Figures, error) {
	p, err := newPolicy(policyName)
	if err != nil {
		return Figures{}, err
	}
	return run(s, p, policyName), nil
}

func run(s Scenario, p policy, name string) Figures {
	w := &World{Scenario: s, policy: p, events: loop.New(), trafficRand: draw.Stream(s.Seed, "traffic", s.Senders), linkRand: draw.Stream(s.Seed, "links", 0), messages: map[uint64]peerMessage{}}
	for i := range s.Senders {
		w.names = append(w.names, fmt.Sprintf("s%04d", i))
		w.senders = append(w.senders, &sender{queues: make([]queue, s.Dsts), incarnation: 1})
	}
	for range s.Dsts {
		w.dsts = append(w.dsts, &destination{limit: s.Limit, tokens: s.Limit * burstSeconds, filledAt: w.events.Now()})
	}
	w.policy.start(w)
	w.updateViews()
	w.drawShares()
	for i := range w.senders {
		w.events.At(loop.Origin+int64(i)*tickInterval/int64(s.Senders), w, evTick, uint64(i))
	}
	for at := step; at <= s.Length; at += step {
		w.events.At(loop.Origin+at, w, evStep, uint64(at))
	}

	w.events.Run(loop.Origin + s.Length)
	return w.figures(name)
}

const (
	evTick uint8 = iota
	evStep
	evMessage
)

// Handle processes one event.
func (w *World) Handle(kind uint8, n uint64) {
	now := w.events.Now()
	switch kind {
	case evTick:
		w.events.At(now+tickInterval, w, evTick, n)
		if s := w.senders[n]; s.dead || s.paused {
			return
		}
		w.reportDemand(now, int(n))
		w.policy.tick(now, int(n))
	case evMessage:
		m := w.messages[n]
		delete(w.messages, n)
		if s := w.senders[m.to]; !s.dead && !s.paused {
			w.policy.receive(now, m.from, m.to, m.body)
		}
	case evStep:
		w.applyFaults(int64(n))
		w.addArrivals(now)
		w.makeCalls(now)
	}
}

func inSpan(at int64, span [2]int64) bool { return at >= span[0] && at < span[1] }

// applyFaults begins and ends the faults of the scenario and updates the senders' views of each other after their delays.
func (w *World) applyFaults(at int64) {
	if w.ChurnInterval > 0 && at%w.ChurnInterval == 0 {
		w.drawShares()
	}
	if at == w.HalveAt && at > 0 {
		for _, d := range w.dsts {
			d.limit /= 2
		}
	}
	for i, s := range w.senders {
		if i%10 != 0 {
			continue
		}
		switch at {
		case w.Killed[0]:
			s.dead = w.Killed[1] > 0
			s.queues = make([]queue, w.Dsts)
		case w.Killed[1]:
			s.dead = false
			s.incarnation++
			w.policy.restart(w.events.Now(), i)
			w.updateView(i)
		}
		if at == w.Paused[0] || at == w.Paused[1] {
			s.paused = inSpan(at, w.Paused)
		}
	}
	for _, span := range [][2]int64{w.Partitioned, w.Killed, w.Paused} {
		if span[1] > 0 && (at == span[0]+detectionDelay || at == span[1]+recoveryDelay) {
			w.updateViews()
		}
	}
}

func (w *World) partitioned(i, j int) bool {
	return inSpan(w.events.Now()-loop.Origin, w.Partitioned) && i%2 != j%2
}

func (w *World) updateViews() {
	for i := range w.senders {
		w.updateView(i)
	}
}

func (w *World) updateView(i int) {
	v := members.View{Self: w.names[i], Members: make([]members.Member, len(w.senders))}
	for j, other := range w.senders {
		v.Members[j] = members.Member{Name: w.names[j], Incarnation: other.incarnation}
		if i != j && (other.dead || other.paused || w.partitioned(i, j)) {
			v.Members[j].State = members.Dead
		}
	}
	w.policy.setView(w.events.Now(), i, v)
}

// drawShares draws for each destination how its traffic is distributed over the senders.
func (w *World) drawShares() {
	for _, d := range w.dsts {
		ws := make([]float64, len(w.senders))
		for rank, i := range w.trafficRand.Perm(len(w.senders)) {
			ws[i] = math.Pow(float64(rank+1), -w.Skew)
		}
		d.shares = draw.Weighted(ws)
	}
}

// addArrivals adds the messages that arrive in one step. Those for a killed or paused sender go to the next running one, as
// clients fail over.
func (w *World) addArrivals(now int64) {
	for k, d := range w.dsts {
		mean := w.Limit * w.Load * float64(step) / 1e6
		if !w.measuring(now) {
			mean *= warmUpLoad / w.Load
		}
		for n := poisson(w.trafficRand, mean); n > 0; n-- {
			i := d.shares.Draw(w.trafficRand)
			for w.senders[i].dead || w.senders[i].paused {
				i = (i + 1) % len(w.senders)
			}
			w.senders[i].queues[k].messages = append(w.senders[i].queues[k].messages, queuedMessage{now, now})
			w.senders[i].queues[k].arrived++
			w.tally.arrived(now)
			if w.measuring(now) {
				d.wanted++
			}
		}
	}
}

// poisson draws from a Poisson distribution.
func poisson(r *rand.Rand, mean float64) int {
	n, p, limit := 0, r.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= r.Float64()
	}
	return n
}

func (w *World) measuring(now int64) bool { return now >= loop.Origin+warmUp }

// reportDemand reports a sender's traffic and waiting messages to the policy.
func (w *World) reportDemand(now int64, i int) {
	for k := range w.senders[i].queues {
		q := &w.senders[i].queues[k]
		q.rate += (q.arrived*1e6/float64(tickInterval) - q.rate) / 20
		q.arrived = 0
		waiting := 0
		for _, h := range q.messages {
			if h.notBefore <= now {
				waiting++
			}
		}
		w.policy.setDemand(now, i, k, q.rate, waiting)
	}
}

// makeCalls lets every sender call as long as its policy allows. The sender that goes first changes with each step.
func (w *World) makeCalls(now int64) {
	first := int(now/step) % len(w.senders)
	_, allKnowing := w.policy.(*oracle)
	for k, d := range w.dsts {
		calls := 0
		for pass := range 2 { // the all-knowing policy first serves the messages of all senders that can still meet their target time
			if pass == 0 && !allKnowing {
				continue
			}
			for offset := range w.senders {
				i := (first + offset) % len(w.senders)
				if s := w.senders[i]; !s.dead && !s.paused && len(s.queues[k].messages) > 0 {
					calls += w.callFromQueue(now, i, k, d, pass == 0)
				}
			}
		}
		d.calls = append(d.calls, calls)
	}
}

// callFromQueue makes the calls of one sender to one destination; with fresh set, only for messages within their target time.
func (w *World) callFromQueue(now int64, i, k int, d *destination, fresh bool) (calls int) {
	q := &w.senders[i].queues[k]
	q.messages = slices.DeleteFunc(q.messages, func(h queuedMessage) bool { return now-h.arrivedAt >= deadline })
	for now >= q.resumeAt {
		at := q.nextMessage(now)
		if at < 0 {
			return calls
		}
		h := q.messages[at]
		if fresh && now-h.arrivedAt >= target {
			return calls
		}
		if q.waitingSince == 0 {
			q.waitingSince = now
		}
		if !w.policy.allow(now, i, k) {
			return calls
		}
		w.tally.waited(now, now-q.waitingSince)
		q.waitingSince = 0
		calls++
		ok := d.accept(now)
		w.tally.called(now, ok)
		w.policy.callDone(now, i, k, ok, d.limit)
		if ok {
			w.tally.delivered(now, now-h.arrivedAt)
			if w.measuring(now) {
				d.accepted++
			}
			q.messages = slices.Delete(q.messages, at, at+1)
			continue
		}
		q.resumeAt = now + second/4 + w.trafficRand.Int64N(second/4)
		q.messages[at].notBefore = now + second/4 + w.trafficRand.Int64N(3*second/4) // retry-after and jitter
	}
	return calls
}

// nextMessage returns the index of the message to send first: the oldest that can still meet its target time, else the
// oldest; -1 if none is due.
func (q *queue) nextMessage(now int64) int {
	late := -1
	for i, h := range q.messages {
		switch {
		case h.notBefore > now:
		case now-h.arrivedAt < target:
			return i
		case late < 0:
			late = i
		}
	}
	return late
}

// accept applies the destination's own limit to a call. Refused calls use up the limit too.
func (d *destination) accept(now int64) bool {
	d.tokens = min(d.limit*burstSeconds, d.tokens+d.limit*float64(now-d.filledAt)/1e6)
	d.filledAt = now
	if d.tokens >= 1 {
		d.tokens--
		return true
	}
	d.tokens = max(d.tokens-1, -d.limit*maxDebt)
	return false
}

// send sends a peer message, which a partition or a random loss may drop.
func (w *World) send(from, to int, body any, size int) {
	w.bytesSent += size + frameOverhead
	if w.partitioned(from, to) || w.linkRand.Float64() < w.Loss {
		return
	}
	w.lastMessage++
	w.messages[w.lastMessage] = peerMessage{from, to, body}
	w.events.At(w.events.Now()+draw.Uniform(w.linkRand, w.Delay, 0.5), w, evMessage, w.lastMessage)
}

func (w *World) senderIndex(name string) int { return sort.SearchStrings(w.names, name) }

func dstName(d int) string { return strconv.Itoa(40001 + d) }
