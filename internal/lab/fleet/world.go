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

// policy decides for all senders of a run which calls may go. It tells others through the world's links only, but for the all-knowing one.
type policy interface {
	begin(w *World)
	turn(now int64, i int)                            // a sender's timers
	heard(now int64, from, to int, m any)             // a letter came
	need(now int64, i, d int, perSec float64, n int)  // what a sender wants
	may(now int64, i, d int) bool                     // right before a call; takes it
	told(now int64, i, d int, ok bool, limit float64) // the outcome of a call, with the limit that it tells
	viewed(now int64, i int, v members.View)
	restarted(now int64, i int)
}

// World is one run.
type World struct {
	Scenario
	l       *loop.Loop
	p       policy
	r       *rand.Rand
	links   *rand.Rand
	names   []string
	ss      []*sender
	ds      []*destination
	letters map[uint64]letter
	next    uint64
	bytes   int
	f       tally
}

type letter struct {
	from, to int
	m        any
}

type sender struct {
	queues []queue
	dead   bool
	still  bool
	life   uint64
}

// queue of a destination at a sender: arrival times, oldest first; those refused come back with a time before which they wait.
type queue struct {
	held    []held
	since   int64 // nothing was called though something waited
	free    int64 // after a refusal the route pauses until then, as the design has it
	rate    float64
	arrived float64
}

type held struct{ came, from int64 }

type destination struct {
	limit  float64
	level  float64
	at     int64
	parts  draw.Shares
	calls  []int // in each step
	taken  int
	wanted int
}

// Run makes a run with a policy by its name.
func Run(s Scenario, policyName string) (Figures, error) {
	p, err := newPolicy(policyName)
	if err != nil {
		return Figures{}, err
	}
	return run(s, p, policyName), nil
}

func run(s Scenario, p policy, name string) Figures {
	w := &World{Scenario: s, p: p, l: loop.New(), r: draw.Stream(s.Seed, "traffic", s.Senders), links: draw.Stream(s.Seed, "links", 0), letters: map[uint64]letter{}}
	for i := range s.Senders {
		w.names = append(w.names, fmt.Sprintf("s%04d", i))
		w.ss = append(w.ss, &sender{queues: make([]queue, s.Dsts), life: 1})
	}
	for range s.Dsts {
		w.ds = append(w.ds, &destination{limit: s.Limit, level: s.Limit * burst, at: w.l.Now()})
	}
	w.p.begin(w)
	w.views()
	w.parts()
	for i := range w.ss {
		w.l.At(loop.Origin+int64(i)*turn/int64(s.Senders), w, evTurn, uint64(i))
	}
	for at := step; at <= s.Length; at += step {
		w.l.At(loop.Origin+at, w, evStep, uint64(at))
	}

	w.l.Run(loop.Origin + s.Length)
	return w.figures(name)
}

const (
	evTurn uint8 = iota
	evStep
	evLetter
)

// Handle runs one event.
func (w *World) Handle(kind uint8, n uint64) {
	now := w.l.Now()
	switch kind {
	case evTurn:
		w.l.At(now+turn, w, evTurn, n)
		if s := w.ss[n]; s.dead || s.still {
			return
		}
		w.tell(now, int(n))
		w.p.turn(now, int(n))
	case evLetter:
		l := w.letters[n]
		delete(w.letters, n)
		if s := w.ss[l.to]; !s.dead && !s.still {
			w.p.heard(now, l.from, l.to, l.m)
		}
	case evStep:
		w.events(int64(n))
		w.arrive(now)
		w.call(now)
	}
}

func within(at int64, span [2]int64) bool { return at >= span[0] && at < span[1] }

// events begins and ends the troubles of the scenario, and what the views see of them.
func (w *World) events(at int64) {
	if w.Churn > 0 && at%w.Churn == 0 {
		w.parts()
	}
	if at == w.Halved && at > 0 {
		for _, d := range w.ds {
			d.limit /= 2
		}
	}
	for i, s := range w.ss {
		if i%10 != 0 {
			continue
		}
		switch at {
		case w.Dead[0]:
			s.dead = w.Dead[1] > 0
			s.queues = make([]queue, w.Dsts)
		case w.Dead[1]:
			s.dead = false
			s.life++
			w.p.restarted(w.l.Now(), i)
			w.view(i)
		}
		if at == w.Paused[0] || at == w.Paused[1] {
			s.still = within(at, w.Paused)
		}
	}
	for _, span := range [][2]int64{w.Cut, w.Dead, w.Paused} {
		if span[1] > 0 && (at == span[0]+detect || at == span[1]+back) {
			w.views()
		}
	}
}

func (w *World) apart(i, j int) bool {
	return within(w.l.Now()-loop.Origin, w.Cut) && i%2 != j%2
}

func (w *World) views() {
	for i := range w.ss {
		w.view(i)
	}
}

func (w *World) view(i int) {
	v := members.View{Self: w.names[i], Members: make([]members.Member, len(w.ss))}
	for j, o := range w.ss {
		v.Members[j] = members.Member{Name: w.names[j], Incarnation: o.life}
		if i != j && (o.dead || o.still || w.apart(i, j)) {
			v.Members[j].State = members.Gone
		}
	}
	w.p.viewed(w.l.Now(), i, v)
}

// parts draws anew which sender gets how much of the traffic.
func (w *World) parts() {
	for _, d := range w.ds {
		ws := make([]float64, len(w.ss))
		for rank, i := range w.r.Perm(len(w.ss)) {
			ws[i] = math.Pow(float64(rank+1), -w.Uneven)
		}
		d.parts = draw.Weighted(ws)
	}
}

// arrive brings the messages of one step; those for a dead or stopped sender go to the next one that lives, as clients go elsewhere.
func (w *World) arrive(now int64) {
	for k, d := range w.ds {
		mean := w.Limit * w.Load * float64(step) / 1e6
		if !w.counts(now) {
			mean *= warmLoad / w.Load
		}
		for n := poisson(w.r, mean); n > 0; n-- {
			i := d.parts.Draw(w.r)
			for w.ss[i].dead || w.ss[i].still {
				i = (i + 1) % len(w.ss)
			}
			w.ss[i].queues[k].held = append(w.ss[i].queues[k].held, held{now, now})
			w.ss[i].queues[k].arrived++
			w.f.offered(now)
			if w.counts(now) {
				d.wanted++
			}
		}
	}
}

func poisson(r *rand.Rand, mean float64) int {
	n, p, least := 0, r.Float64(), math.Exp(-mean)
	for p > least {
		n++
		p *= r.Float64()
	}
	return n
}

func (w *World) counts(now int64) bool { return now >= loop.Origin+warm }

// tell gives the policy what a sender wants.
func (w *World) tell(now int64, i int) {
	for k := range w.ss[i].queues {
		q := &w.ss[i].queues[k]
		q.rate += (q.arrived*1e6/float64(turn) - q.rate) / 20
		q.arrived = 0
		n := 0
		for _, h := range q.held {
			if h.from <= now {
				n++
			}
		}
		w.p.need(now, i, k, q.rate, n)
	}
}

// call lets every sender call as long as it may; who comes first changes with each step.
func (w *World) call(now int64) {
	first := int(now/step) % len(w.ss)
	_, knowing := w.p.(*knowing)
	for k, d := range w.ds {
		calls := 0
		for pass := range 2 { // who knows all lets those go first that have their target time before them, wherever they are
			if pass == 0 && !knowing {
				continue
			}
			for o := range w.ss {
				i := (first + o) % len(w.ss)
				if s := w.ss[i]; !s.dead && !s.still && len(s.queues[k].held) > 0 {
					calls += w.drain(now, i, k, d, pass == 0)
				}
			}
		}
		d.calls = append(d.calls, calls)
	}
}

func (w *World) drain(now int64, i, k int, d *destination, fresh bool) (calls int) {
	q := &w.ss[i].queues[k]
	q.held = slices.DeleteFunc(q.held, func(h held) bool { return now-h.came >= deadline })
	for now >= q.free {
		at := q.pick(now)
		if at < 0 {
			return calls
		}
		h := q.held[at]
		if fresh && now-h.came >= target {
			return calls
		}
		if q.since == 0 {
			q.since = now
		}
		if !w.p.may(now, i, k) {
			return calls
		}
		w.f.waited(now, now-q.since)
		q.since = 0
		calls++
		ok := d.take(now)
		w.f.called(now, ok)
		w.p.told(now, i, k, ok, d.limit)
		if ok {
			w.f.delivered(now, now-h.came)
			if w.counts(now) {
				d.taken++
			}
			q.held = slices.Delete(q.held, at, at+1)
			continue
		}
		q.free = now + second/4 + w.r.Int64N(second/4)
		q.held[at].from = now + second/4 + w.r.Int64N(3*second/4) // told wait and jitter
	}
	return calls
}

// pick gives the message to go first: the oldest of those that have their target time before them, else the oldest; -1 where none may go.
func (q *queue) pick(now int64) int {
	late := -1
	for i, h := range q.held {
		switch {
		case h.from > now:
		case now-h.came < target:
			return i
		case late < 0:
			late = i
		}
	}
	return late
}

// take is the destination's own limit. Refused calls use it up too.
func (d *destination) take(now int64) bool {
	d.level = min(d.limit*burst, d.level+d.limit*float64(now-d.at)/1e6)
	d.at = now
	if d.level >= 1 {
		d.level--
		return true
	}
	d.level = max(d.level-1, -d.limit*debtMost)
	return false
}

// send puts a letter on a link.
func (w *World) send(from, to int, m any, size int) {
	w.bytes += size + frame
	if w.apart(from, to) || w.links.Float64() < w.Loss {
		return
	}
	w.next++
	w.letters[w.next] = letter{from, to, m}
	w.l.At(w.l.Now()+draw.Around(w.links, w.Delay, 0.5), w, evLetter, w.next)
}

func (w *World) index(name string) int { return sort.SearchStrings(w.names, name) }

func dstName(d int) string { return strconv.Itoa(40001 + d) }

var last *World
