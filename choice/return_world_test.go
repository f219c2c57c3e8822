package choice

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// returnScenario is an outage and the return of one destination called by a fleet in which each sender has a small part of the traffic. The
// destination fails when calls and probes, refused ones included, exceed what it takes by more than 2 square roots of that and 2.
type returnScenario struct {
	senders, endpoints int
	capacity           float64 // calls a second when warm
	load               float64 // hand-ins as a share of capacity; three quarters if 0
	from               int64   // start of the outage; coldFrom if 0
	threeRoots         bool    // the margin is 3 roots and 3 instead where it may get under 30 calls
	spread             float64 // share of the senders that restart at random times during the outage
	spreadFor          int64   // µs after its start in which they do; until the return if 0
	fault              string
	noNotes            bool    // no note is received
	restarted          float64 // share of the senders that restart half a second before the return
	configured         float64 // configured number of senders, relative to the true one; 0 for right
	trust              WeightTrust
	backAt             int64
	retryAfterShare    float64 // share of refusals while shut that carry a Retry-After
	fixedRetryAfter    int64   // µs; Retry-After of every refusal while shut, however long it stays shut; 0 for none
	secondOutageIn     int64   // µs from the return to a second outage of coldOut; 0 for none
}

const (
	coldFrom = 30 * second
	coldFall = 2 * second
	coldWarm = 10 * second
	coldLow  = .22        // share of the capacity right after the return
	coldOut  = 2 * second // length of a second outage
)

// simSender is a sender of the fleet and its host.
type simSender struct {
	*Sender
	w            *returnSim
	timerFiresAt int64
	sawOutage    bool // it saw the outage by a call or probe
	part         float64
	legs         map[string]int
	incarnation  int
}

// simEvent is a call or probe on its way or back, a note, or a message that a client hands in again.
type simEvent struct {
	at         int64
	by         *simSender
	epoch, leg int
	id, note   string // a probe has no id
	receiver   uint32
	timeout    int64
	over       bool
	toldOutage bool // it failed while the destination was out
	out        Outcome
	wait       int64
}

// weighedCall is a call or probe that counts against the budget of a return.
type weighedCall struct {
	at        int64
	fromAware bool // by a sender that had seen the outage
}

// returnSim simulates a returnScenario.
type returnSim struct {
	returnScenario
	r          *rand.Rand
	now        int64
	senders    []*simSender
	events     []*simEvent
	expires    map[string]int64
	tries      map[string]int
	freeAt     []int64
	weighed    []weighedCall // calls and probes while it was cold
	restarts   []int64       // of the last senders
	overloaded bool
	byAware    bool // two thirds of what overloaded it came from senders that had seen the outage
}

func (m *simSender) Send(id string, r uint32, p int64) {
	m.w.plan(10*ms, &simEvent{by: m, epoch: m.incarnation, id: id, leg: m.legs[id], receiver: r, timeout: p})
	m.legs[id]++
}
func (m *simSender) Probe(r uint32) {
	m.w.plan(10*ms, &simEvent{by: m, epoch: m.incarnation, receiver: r, timeout: 3 * second / 2})
}
func (m *simSender) Reject(id string, in int64) {
	if m.w.tries[id]++; m.w.tries[id] <= 2 {
		m.w.plan(max(in, 400*ms+m.w.r.Int64N(1500*ms)), &simEvent{id: id})
	}
}
func (m *simSender) Broadcast(text string) {
	if !m.w.noNotes {
		m.w.plan(10*ms, &simEvent{by: m, note: text})
	}
}
func (m *simSender) SetTimer(in int64, _ uint64) { m.timerFiresAt = m.w.now + in }
func (m *simSender) Cancel(string, int)          {}
func (m *simSender) Fail(string)                 {}
func (m *simSender) CloseIdle(uint32)            {}
func (m *simSender) Subscribe()                  {}
func (m *simSender) Log(string)                  {}
func (m *simSender) Share(Observation)           {}

func (w *returnSim) plan(in int64, e *simEvent) {
	e.at = w.now + in
	i := len(w.events)
	for i > 0 && w.events[i-1].at > e.at {
		i--
	}
	w.events = slices.Insert(w.events, i, e)
}

// start starts a process of a sender that knows the list and what its folder holds: its queue and the progress of slow starts.
func (m *simSender) start() {
	var owes []string
	var cold []ColdDst
	if m.incarnation++; m.incarnation > 1 {
		cold = m.Cold()
		for id, x := range m.msgs {
			if x.state == queued {
				owes = append(owes, id)
			}
		}
	}
	w := m.w
	m.sawOutage, m.timerFiresAt, m.legs = false, never, map[string]int{}
	team := Topology{Senders: int(math.Ceil(cmp.Or(w.configured, 1) * float64(len(w.senders))))}
	m.Sender = New(m, w.r.Uint64(), team, []Class{keyed}, []Kind{{Batch: 1}}, Limits{MaxCalls: 12, MaxQueued: 60, MaxLegs: 6, IdleTimeout: 5 * second},
		Capabilities{Probes: true, PeerNotes: true, Cancel: true, MaxRetryAfter: 2 * second},
		Rules{StartCapacity: coldLow, WarmUpTime: coldWarm, OverloadFactor: 2}, w.trust)
	m.SetTime(w.now)
	m.RestoreCold(cold)
	for i := range w.endpoints {
		weight := w.capacity
		if w.trust == RoughWeight {
			weight *= .5 + w.r.Float64()
		}
		m.UpdateList(Delta, []Entry{{Receiver: uint32(i + 1), Dst: 7, Weight: weight, Listed: true}})
	}
	slices.Sort(owes)
	for _, id := range owes {
		m.Accept(id, 0, "", 7, w.expires[id])
	}
}

// arrives handles a call or probe at the destination and schedules its outcome.
func (w *returnSim) arrives(e *simEvent) {
	back := func(o Outcome, wait, in int64) {
		e.over, e.out, e.wait, e.toldOutage = true, o, wait, w.now >= w.from && w.now < w.backAt && o != Delivered
		w.plan(in, e)
	}
	share := coldLow + (1-coldLow)*float64(w.now-w.backAt)/float64(coldWarm)
	if w.now < w.from || share > 1 {
		share = 1
	}
	if w.now >= w.from && w.now < w.backAt {
		switch {
		case w.fault == "refuse":
			back(ConnectFailed, 0, 10*ms)
		case w.fault == "silent":
			back(ConnectFailed, 0, second)
		case w.fault == "hang":
			back(TimedOut, 0, e.timeout)
		case w.fault == "shut" && e.id != "" && w.r.Float64() < w.retryAfterShare: // the Retry-After is exact
			back(Refused, w.backAt-w.now, 10*ms)
		case w.fault == "shut":
			back(Refused, w.fixedRetryAfter, 10*ms)
		case w.r.Float64() < .7:
			back(Errored, 0, 15*ms)
		default:
			back(Delivered, 0, 150*ms)
		}
		return
	}
	if share < 1 {
		w.countLoad(e, 2*w.capacity*share*float64(coldFall)/float64(second))
	}
	free := &w.freeAt[e.receiver-1]
	*free = max(*free, w.now)
	switch {
	case e.id == "":
		back(Delivered, 0, 20*ms)
	case *free-w.now > 3*second: // its queue is full
		back(Refused, 0, 10*ms)
	default:
		*free += int64(w.r.ExpFloat64() * float64(second) * float64(w.endpoints) / (1.2 * w.capacity * share))
		if took := *free - w.now + 150*ms; took > e.timeout {
			back(TimedOut, 0, e.timeout)
		} else {
			back(Delivered, 0, took)
		}
	}
}

// countLoad counts a call or probe, and has the destination fail if the window that ends with it exceeds the budget.
func (w *returnSim) countLoad(e *simEvent, expected float64) {
	w.weighed = append(w.weighed, weighedCall{w.now, e.by.sawOutage})
	all, sawOutage := 0., 0.
	for _, x := range w.weighed {
		if w.now-x.at < coldFall {
			all++
			if x.fromAware {
				sawOutage++
			}
		}
	}
	roots := 2.
	if w.threeRoots && expected < 30 {
		roots = 3
	}
	if all > expected+roots*math.Sqrt(expected)+roots {
		w.overloaded, w.byAware = true, sawOutage > all*2/3
	}
}

// process handles a scheduled event.
func (w *returnSim) process(e *simEvent) {
	switch m := e.by; {
	case m == nil:
		w.handIn(e.id)
	case e.note != "":
		for _, o := range w.senders {
			if o != m {
				o.SetTime(w.now)
				o.ReceiveNote(e.note)
			}
		}
	case !e.over:
		w.arrives(e)
	case e.epoch == m.incarnation:
		m.SetTime(w.now)
		m.sawOutage = m.sawOutage || e.toldOutage
		if e.id == "" {
			m.ProbeEnded(e.receiver, e.out, RateLimit{})
		} else {
			m.LegEnded(e.id, e.leg, e.out, e.wait, e.out == Delivered, RateLimit{})
		}
	}
}

// handIn gives a message to a random sender by its part of the traffic.
func (w *returnSim) handIn(id string) {
	sum, to := 0., w.senders[0]
	for _, m := range w.senders {
		if sum += m.part; w.r.Float64()*sum < m.part {
			to = m
		}
	}
	if w.now < w.expires[id] {
		to.SetTime(w.now)
		delete(to.legs, id)
		to.Accept(id, 0, "", 7, w.expires[id])
	}
}

// play runs the simulation until the destination is warm again or failed.
func (d returnScenario) play(seed uint64) *returnSim {
	d.from, d.load = cmp.Or(d.from, coldFrom), cmp.Or(d.load, .75)
	w := &returnSim{returnScenario: d, r: rand.New(rand.NewPCG(seed, 7)), now: second, freeAt: make([]int64, d.endpoints),
		expires: map[string]int64{}, tries: map[string]int{}}
	for range d.senders {
		w.senders = append(w.senders, &simSender{w: w, part: w.r.ExpFloat64() + .1})
	}
	for _, m := range w.senders {
		m.start()
	}
	for range int(d.spread * float64(d.senders)) {
		w.restarts = append(w.restarts, d.from+w.r.Int64N(cmp.Or(d.spreadFor, d.backAt-d.from)/(5*ms))*5*ms)
	}
	secondOut := w.backAt + w.secondOutageIn
	for next := w.now; w.now < w.backAt+coldWarm && !w.overloaded; w.now += 5 * ms {
		if w.secondOutageIn > 0 && w.now == secondOut {
			w.from, w.backAt, w.weighed = secondOut, secondOut+coldOut, nil
		}
		for ; next <= w.now; next += int64(w.r.ExpFloat64() * float64(second) / (d.load * d.capacity)) {
			id := fmt.Sprint(len(w.expires))
			w.expires[id] = w.now + keyed.Deadline
			w.handIn(id)
		}
		for i, at := range w.restarts {
			if at == w.now {
				w.senders[len(w.senders)-1-i].start()
			}
		}
		if w.now == w.backAt-second/2 {
			for _, m := range w.senders[:int(d.restarted*float64(d.senders))] {
				m.start()
			}
		}
		for len(w.events) > 0 && w.events[0].at <= w.now {
			e := w.events[0]
			w.events = w.events[1:]
			w.process(e)
		}
		for _, m := range w.senders {
			m.SetTime(w.now)
			if m.timerFiresAt <= w.now {
				m.timerFiresAt = never
				m.TimerFired(0)
			}
			m.Decide()
		}
	}
	return w
}
