package choice

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// coldDay is an outage and the return of one destination, met by a fleet of which each sender has its thin part of the
// traffic. The destination falls when calls and probes, refused ones too, pass what it bears and 2 roots of that and 2.
type coldDay struct {
	senders, endpoints int
	capacity           float64 // calls a second when warm
	load               float64 // hand-ins in parts of that; three quarters if 0
	from               int64   // when the outage begins; coldFrom if 0
	threeRoots         bool    // it bears 3 roots and 3 instead where it may have under 30 calls
	spread             float64 // share of the senders that start anew at draws over the outage
	spreadFor          int64   // µs after its begin in which they do; until the return if 0
	how                string
	deaf               bool    // no note is heard
	restarted          float64 // share of the senders that start anew half a second before the return
	believed           float64 // number of senders by the settings, in true ones; 0 for right
	trust              WeightTrust
	backAt             int64
	tells              float64 // share of refusals while shut that tell the wait
	tellsAll           int64   // µs; wait that every refusal while shut tells, however long it stays shut; 0 for none
	again              int64   // µs from the return to a second outage of coldOut; 0 for none
}

const (
	coldFrom = 30 * second
	coldFall = 2 * second
	coldWarm = 10 * second
	coldLow  = .22        // share of the capacity right after the return
	coldOut  = 2 * second // length of a second outage
)

// coldSender is one of the fleet, and its host.
type coldSender struct {
	*Sender
	w     *coldWorld
	ring  int64
	told  bool // of the outage, by a call or probe
	part  float64
	legs  map[string]int
	lives int
}

// coldEvent is a call or probe on its way or back, a note, or a message that a client hands in again.
type coldEvent struct {
	at         int64
	by         *coldSender
	life, leg  int
	id, note   string // no id: a probe
	receiver   uint32
	patience   int64
	over       bool
	toldOutage bool // it went wrong while the destination was out
	out        Outcome
	wait       int64
}

// weighedCall is a call or probe that counts against the budget of a return.
type weighedCall struct {
	at     int64
	byTold bool // by a sender that had been told of the outage
}

// coldWorld plays a coldDay.
type coldWorld struct {
	coldDay
	r        *rand.Rand
	now      int64
	senders  []*coldSender
	events   []*coldEvent
	expires  map[string]int64
	tries    map[string]int
	freeAt   []int64
	weighed  []weighedCall // what came while it was cold
	restarts []int64       // of the last senders
	fell     bool
	broken   bool // two thirds of what pushed it over came from senders that had been told
}

func (m *coldSender) Send(id string, r uint32, p int64) {
	m.w.plan(10*ms, &coldEvent{by: m, life: m.lives, id: id, leg: m.legs[id], receiver: r, patience: p})
	m.legs[id]++
}
func (m *coldSender) Probe(r uint32) {
	m.w.plan(10*ms, &coldEvent{by: m, life: m.lives, receiver: r, patience: 3 * second / 2})
}
func (m *coldSender) PushBack(id string, in int64) {
	if m.w.tries[id]++; m.w.tries[id] <= 2 {
		m.w.plan(max(in, 400*ms+m.w.r.Int64N(1500*ms)), &coldEvent{id: id})
	}
}
func (m *coldSender) Note(text string) {
	if !m.w.deaf {
		m.w.plan(10*ms, &coldEvent{by: m, note: text})
	}
}
func (m *coldSender) Timer(in int64, _ uint64) { m.ring = m.w.now + in }
func (m *coldSender) Cancel(string, int)       {}
func (m *coldSender) Fail(string)              {}
func (m *coldSender) CloseIdle(uint32)         {}
func (m *coldSender) Subscribe()               {}
func (m *coldSender) Log(string)               {}
func (m *coldSender) Saw(Sight)                {}

func (w *coldWorld) plan(in int64, e *coldEvent) {
	e.at = w.now + in
	i := len(w.events)
	for i > 0 && w.events[i-1].at > e.at {
		i--
	}
	w.events = slices.Insert(w.events, i, e)
}

// start begins a life of a sender that knows the list, and what its folder tells: what it held, and where it left a slow start.
func (m *coldSender) start() {
	var owes []string
	var cold []ColdDst
	if m.lives++; m.lives > 1 {
		cold = m.Cold()
		for id, x := range m.msgs {
			if x.state == held {
				owes = append(owes, id)
			}
		}
	}
	w := m.w
	m.told, m.ring, m.legs = false, never, map[string]int{}
	team := Team{Senders: int(math.Ceil(cmp.Or(w.believed, 1) * float64(len(w.senders))))}
	m.Sender = New(m, w.r.Uint64(), team, []Lane{keyed}, []Kind{{Batch: 1}}, Room{Slots: 12, Held: 60, Legs: 6, Idle: 5 * second},
		Allowed{Probes: true, Notes: true, Cancel: true, MaxAdvice: 2 * second},
		Guards{StartShare: coldLow, WarmWithin: coldWarm, Overload: 2}, w.trust)
	m.At(w.now)
	m.ColdBefore(cold)
	for i := range w.endpoints {
		weight := w.capacity
		if w.trust == RoughWeight {
			weight *= .5 + w.r.Float64()
		}
		m.Listed(Changes, []Entry{{Receiver: uint32(i + 1), Dst: 7, Weight: weight, Listed: true}})
	}
	slices.Sort(owes)
	for _, id := range owes {
		m.Take(id, 0, "", 7, w.expires[id])
	}
}

// arrives is where a call or probe meets the destination; the outcome goes back.
func (w *coldWorld) arrives(e *coldEvent) {
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
		case w.how == "refuse":
			back(ConnectFailed, 0, 10*ms)
		case w.how == "silent":
			back(ConnectFailed, 0, second)
		case w.how == "hang":
			back(TimedOut, 0, e.patience)
		case w.how == "shut" && e.id != "" && w.r.Float64() < w.tells: // a told wait is honest
			back(Full, w.backAt-w.now, 10*ms)
		case w.how == "shut":
			back(Full, w.tellsAll, 10*ms)
		case w.r.Float64() < .7:
			back(Errored, 0, 15*ms)
		default:
			back(Delivered, 0, 150*ms)
		}
		return
	}
	if share < 1 {
		w.weigh(e, 2*w.capacity*share*float64(coldFall)/float64(second))
	}
	free := &w.freeAt[e.receiver-1]
	*free = max(*free, w.now)
	switch {
	case e.id == "":
		back(Delivered, 0, 20*ms)
	case *free-w.now > 3*second: // its queue is full
		back(Full, 0, 10*ms)
	default:
		*free += int64(w.r.ExpFloat64() * float64(second) * float64(w.endpoints) / (1.2 * w.capacity * share))
		if took := *free - w.now + 150*ms; took > e.patience {
			back(TimedOut, 0, e.patience)
		} else {
			back(Delivered, 0, took)
		}
	}
}

// weigh counts a call or probe, and has the destination fall if the window that ends with it has more than it bears.
func (w *coldWorld) weigh(e *coldEvent, bears float64) {
	w.weighed = append(w.weighed, weighedCall{w.now, e.by.told})
	all, told := 0., 0.
	for _, x := range w.weighed {
		if w.now-x.at < coldFall {
			all++
			if x.byTold {
				told++
			}
		}
	}
	roots := 2.
	if w.threeRoots && bears < 30 {
		roots = 3
	}
	if all > bears+roots*math.Sqrt(bears)+roots {
		w.fell, w.broken = true, told > all*2/3
	}
}

// meets lets happen what was planned.
func (w *coldWorld) meets(e *coldEvent) {
	switch m := e.by; {
	case m == nil:
		w.hand(e.id)
	case e.note != "":
		for _, o := range w.senders {
			if o != m {
				o.At(w.now)
				o.Noted(e.note)
			}
		}
	case !e.over:
		w.arrives(e)
	case e.life == m.lives:
		m.At(w.now)
		m.told = m.told || e.toldOutage
		if e.id == "" {
			m.Probed(e.receiver, e.out, Report{})
		} else {
			m.Settled(e.id, e.leg, e.out, e.wait, e.out == Delivered, Report{})
		}
	}
}

// hand gives a message to a sender by the parts of the traffic.
func (w *coldWorld) hand(id string) {
	sum, to := 0., w.senders[0]
	for _, m := range w.senders {
		if sum += m.part; w.r.Float64()*sum < m.part {
			to = m
		}
	}
	if w.now < w.expires[id] {
		to.At(w.now)
		delete(to.legs, id)
		to.Take(id, 0, "", 7, w.expires[id])
	}
}

// play lets the day happen, until it is warm again or fell.
func (d coldDay) play(seed uint64) *coldWorld {
	d.from, d.load = cmp.Or(d.from, coldFrom), cmp.Or(d.load, .75)
	w := &coldWorld{coldDay: d, r: rand.New(rand.NewPCG(seed, 7)), now: second, freeAt: make([]int64, d.endpoints),
		expires: map[string]int64{}, tries: map[string]int{}}
	for range d.senders {
		w.senders = append(w.senders, &coldSender{w: w, part: w.r.ExpFloat64() + .1})
	}
	for _, m := range w.senders {
		m.start()
	}
	for range int(d.spread * float64(d.senders)) {
		w.restarts = append(w.restarts, d.from+w.r.Int64N(cmp.Or(d.spreadFor, d.backAt-d.from)/(5*ms))*5*ms)
	}
	secondOut := w.backAt + w.again
	for next := w.now; w.now < w.backAt+coldWarm && !w.fell; w.now += 5 * ms {
		if w.again > 0 && w.now == secondOut {
			w.from, w.backAt, w.weighed = secondOut, secondOut+coldOut, nil
		}
		for ; next <= w.now; next += int64(w.r.ExpFloat64() * float64(second) / (d.load * d.capacity)) {
			id := fmt.Sprint(len(w.expires))
			w.expires[id] = w.now + keyed.Deadline
			w.hand(id)
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
			w.meets(e)
		}
		for _, m := range w.senders {
			m.At(w.now)
			if m.ring <= w.now {
				m.ring = never
				m.Rang(0)
			}
			m.Decide()
		}
	}
	return w
}
