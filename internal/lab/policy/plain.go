package policy

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"

	"ravenlink/choice"
	"ravenlink/internal/lab/draw"
)

const (
	second     = int64(1_000_000)
	margin     = second / 100 // µs before its time is up by which a message is answered
	backoffLow = second / 10  // µs; first window of the jitter, as in the article
	backoffTop = 8 * second   // µs; its widest
	lookAgain  = second / 10  // µs until a message finds out whether there is a receiver by now
	creditLife = 10 * second  // µs; of a budget's credits
	floorRate  = 3            // repeats a second that a budget always allows
	rushGap    = second / 20  // µs between the repeats of a policy that rushes
	tallySpan  = 30 * second  // µs; over which throttling counts, halved as each such span ends
	plantSpan  = 2 * second   // µs; in which two sorts of trouble must be seen to set off the planted fault:
	plantWait  = 3 * second   // µs; errors, and a wait as long as only what is shut tells
)

// style is how a plain policy repeats, and what is wrong with it.
type style struct {
	legs     int     // of a message, those kept back by throttling counted
	budget   float64 // repeats that a success earns, 0 for no budget
	throttle float64 // K of adaptive throttling, 0 for none
	exact    bool    // told waits without jitter
	ignore   bool    // told waits do not count at all
	alone    bool    // a told wait binds the one message only

	forgets  bool // does not answer what is out of time
	careless bool // repeats whatever may have run
	clings   bool // keeps what drains
	jumbles  bool // no order
	deaf     bool // a told wait binds nobody
	rushes   bool // repeats at once, again and again
	planted  bool // deaf where two sorts of trouble were seen lately
}

type item struct {
	id        string
	lane      *choice.Lane
	to        *place
	line      *line
	expires   int64
	tries     int // legs and those kept back
	legs      []past
	notBefore int64
	blocked   bool // waits for a slot
	over      bool
	gen       int
}

type past struct {
	r       *target
	at      int64
	settled bool
	never   bool
}

func (m *item) risky() *past {
	for i := range m.legs {
		if l := &m.legs[i]; !l.settled || !l.never {
			return l
		}
	}
	return nil
}

func (m *item) out() (n int) {
	for _, l := range m.legs {
		if !l.settled {
			n++
		}
	}
	return n
}

type target struct {
	id        uint32
	zone      int
	to        *place
	out       int
	waitUntil int64
}

// place is a destination.
type place struct {
	apart     bool
	targets   []*target
	next      int
	waitUntil int64
	credits   []int64 // when each was earned; emptied as they expire
	spent     float64
	asked     float64 // for throttling
	accepted  float64
	countedAt int64
}

type line struct {
	items []*item
	rest  int64
}

// alarm is when something of a message is due.
type alarm struct {
	at  int64
	seq uint64
	m   *item
	gen int // of the message as it was asked for; -1 for its last moment
}

type alarms []alarm

func (h alarms) Len() int      { return len(h) }
func (h alarms) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h alarms) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].seq, h[j].seq)) < 0
}

// Push is for container/heap.
func (h *alarms) Push(x any) { *h = append(*h, x.(alarm)) }

// Pop is for container/heap.
func (h *alarms) Pop() any {
	a := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return a
}

// plain is a policy without memory of health: it sends at once, repeats by its style, picks by its pick.
type plain struct {
	Start
	how     style
	by      int
	rand    *rand.Rand
	now     int64
	seq     uint64
	items   map[string]*item // emptied as messages end and their legs settle
	places  map[int64]*place
	targets map[uint32]*target
	lines   map[string]*line // emptied as lines run empty and have rested
	due     alarms
	blocked []*item // in the order they came; emptied as slots come free
	out     int
	ringAt  int64
	errAt   int64 // latest error or reset seen anywhere
	fullAt  int64 // latest refusal that told a long wait
}

func newPlain(s Start, how style, by int) *plain {
	return &plain{Start: s, how: how, by: by, rand: draw.Stream(s.Seed, "plain", s.Sender), items: map[string]*item{},
		places: map[int64]*place{}, targets: map[uint32]*target{}, lines: map[string]*line{}}
}

func (p *plain) At(now int64)                                 { p.now = now }
func (p *plain) Noted(string)                                 {}
func (p *plain) Probed(uint32, choice.Outcome, choice.Report) {}
func (p *plain) Rang(uint64)                                  { p.ringAt = 0 }

func (p *plain) Listed(form choice.ListForm, entries []choice.Entry) {
	if form == choice.LookupFailed {
		return
	}
	if form != choice.Changes {
		for _, d := range p.places {
			d.targets = nil
		}
	}
	for _, e := range entries {
		d := p.places[e.Dst]
		if d == nil {
			d = &place{countedAt: p.now}
			p.places[e.Dst] = d
		}
		d.apart = e.Kind >= 0 && p.Kinds[e.Kind].Apart
		t := p.targets[e.Receiver]
		if t == nil {
			t = &target{id: e.Receiver, to: d, zone: e.Zone}
			p.targets[e.Receiver] = t
		}
		at := slices.Index(d.targets, t)
		switch {
		case e.Listed && at < 0:
			d.targets = append(d.targets, t)
		case !e.Listed && at >= 0 && !p.how.clings:
			d.targets = slices.Delete(d.targets, at, at+1)
		}
	}
}

func (p *plain) Take(id string, lane int, key string, to, expires int64, _ ...choice.PastLeg) {
	d := p.places[to]
	if d == nil {
		p.Host.PushBack(id, p.advice(0))
		return
	}
	m := &item{id: id, lane: &p.Lanes[lane], to: d, expires: expires, notBefore: p.now}
	p.items[id] = m
	if m.lane.InOrder && key != "" && !p.how.jumbles {
		if m.line = p.lines[key]; m.line == nil {
			m.line = &line{}
			p.lines[key] = m.line
		}
		m.line.items = append(m.line.items, m)
	}
	p.alarm(m, expires-margin, -1)
	p.alarm(m, p.now, m.gen)
}

func (p *plain) alarm(m *item, at int64, gen int) {
	p.seq++
	heap.Push(&p.due, alarm{at, p.seq, m, gen})
}

// later asks for another look at a message; looks asked for before count no more.
func (p *plain) later(m *item, at int64) {
	m.gen++
	p.alarm(m, at, m.gen)
}

func (p *plain) Withdrawn(id string) {
	if m := p.items[id]; m != nil {
		m.over = true
		p.forget(m)
	}
}

func (p *plain) forget(m *item) {
	if !m.over || m.out() > 0 || p.items[m.id] != m {
		return
	}
	delete(p.items, m.id)
	if l := m.line; l != nil {
		l.items = slices.DeleteFunc(l.items, func(o *item) bool { return o == m })
		if len(l.items) > 0 {
			p.later(l.items[0], max(p.now, l.rest))
		}
	}
}

func (p *plain) advice(wait int64) int64 {
	return min(cmp.Or(wait, second), p.Allowed.MaxAdvice)
}

func (p *plain) mayPushBack(m *item) bool {
	return m.lane.Repeat == choice.Retriable || m.risky() == nil || m.lane.Repeat == choice.Keyed && m.lane.AnyInDst
}

func (p *plain) end(m *item, wait int64) {
	if m.over {
		return
	}
	m.over = true
	if n := len(m.legs); (n == 0 || m.legs[n-1].settled && m.legs[n-1].never) && p.mayPushBack(m) {
		p.Host.PushBack(m.id, p.advice(wait))
	} else {
		p.Host.Fail(m.id)
	}
	p.forget(m)
}

func (p *plain) Settled(id string, number int, o choice.Outcome, wait int64, final bool, _ choice.Report) {
	m := p.items[id]
	if m == nil || number >= len(m.legs) || m.legs[number].settled {
		return
	}
	l := &m.legs[number]
	l.settled, l.never = true, o.NeverRan()
	l.r.out--
	p.out--
	p.learn(m, l.r, o, wait)
	if m.line != nil && (o == choice.TimedOut || o == choice.Reset || o == choice.Cancelled) {
		m.line.rest = p.now + p.Guards.KeyRest
	}
	switch {
	case final:
		m.over = true
		p.forget(m)
	case m.over:
		p.forget(m)
	default:
		p.repeat(m, o, wait)
	}
	p.unblock()
}

func (p *plain) learn(m *item, r *target, o choice.Outcome, wait int64) {
	d := m.to
	switch o {
	case choice.Delivered:
		d.accepted++
		if p.how.budget > 0 {
			d.credits = append(d.credits, p.now)
		}
	case choice.Full:
		if wait >= plantWait {
			p.fullAt = p.now
		}
		if wait > 0 && !p.how.alone {
			if d.apart {
				r.waitUntil = max(r.waitUntil, p.now+wait)
			} else {
				d.waitUntil = max(d.waitUntil, p.now+wait)
			}
		}
	case choice.Errored, choice.Reset:
		p.errAt = p.now
	}
}

// withdraw takes a repeat from the article's budget.
func (p *plain) withdraw(d *place) bool {
	if p.how.budget == 0 {
		return true
	}
	old := 0
	for old < len(d.credits) && d.credits[old] <= p.now-creditLife {
		old++
	}
	d.credits = d.credits[old:]
	d.spent = max(0, d.spent-float64(old)*p.how.budget)
	if float64(len(d.credits))*p.how.budget+floorRate*float64(creditLife/second)-d.spent < 1 {
		return false
	}
	d.spent++
	return true
}

// throttled draws whether a leg is kept back, by what the destination accepted lately.
func (p *plain) throttled(d *place) bool {
	if p.how.throttle == 0 {
		return false
	}
	if p.now-d.countedAt > tallySpan {
		d.countedAt, d.asked, d.accepted = p.now, d.asked/2, d.accepted/2
	}
	odds := (d.asked - p.how.throttle*d.accepted) / (d.asked + 1)
	d.asked++
	return p.rand.Float64() < odds
}

func (p *plain) repeat(m *item, o choice.Outcome, wait int64) {
	unsafe := m.risky() != nil && m.lane.Repeat == choice.NonRetriable && !p.how.careless
	if m.tries >= min(p.how.legs, p.Room.Legs) && !p.how.alone || m.tries >= p.how.legs || unsafe || !p.withdraw(m.to) {
		p.end(m, wait)
		return
	}
	window := min(backoffTop, backoffLow<<min(m.tries-1, 10))
	jitter := int64(p.rand.Float64() * float64(window))
	switch {
	case p.how.exact && wait > 0:
		jitter = 0
	case p.how.ignore:
		wait = 0
	case p.how.rushes:
		wait, jitter = 0, rushGap
	}
	m.notBefore = p.now + wait + jitter
	if m.notBefore > p.lastChance(m) {
		p.end(m, wait)
		return
	}
	p.later(m, m.notBefore)
}

func (p *plain) lastChance(m *item) int64 {
	if l := m.risky(); l != nil && m.lane.Repeat == choice.Keyed && !p.how.careless {
		return min(m.expires-margin, l.at+m.lane.Window-margin)
	}
	return m.expires - margin
}

// Decide takes what is due, in order of time.
func (p *plain) Decide() {
	for len(p.due) > 0 && p.due[0].at <= p.now {
		a := heap.Pop(&p.due).(alarm)
		switch {
		case a.m.over || p.items[a.m.id] != a.m:
		case a.gen < 0:
			if !p.how.forgets {
				p.end(a.m, 0)
			}
		case a.gen == a.m.gen && a.m.out() == 0 && !a.m.blocked:
			p.send(a.m)
		}
	}
	if len(p.due) > 0 && (p.ringAt == 0 || p.due[0].at < p.ringAt) {
		p.ringAt = p.due[0].at
		p.Host.Timer(max(1, p.ringAt-p.now), 0)
	}
}

func (p *plain) unblock() {
	for len(p.blocked) > 0 && p.out < p.Room.Slots {
		m := p.blocked[0]
		p.blocked = p.blocked[1:]
		m.blocked = false
		if !m.over {
			p.later(m, p.now)
			return
		}
	}
}

func (p *plain) deafNow() bool {
	return p.how.deaf || p.how.planted && p.errAt > 0 && p.fullAt > 0 && p.now-p.errAt < plantSpan && p.now-p.fullAt < plantSpan
}

func (p *plain) send(m *item) {
	if p.now > p.lastChance(m) {
		p.end(m, 0)
		return
	}
	if l := m.line; l != nil && (l.items[0] != m || p.now < l.rest) {
		if l.items[0] == m {
			p.later(m, l.rest)
		}
		return
	}
	if p.out >= p.Room.Slots {
		m.blocked = true
		p.blocked = append(p.blocked, m)
		return
	}
	ts, ready := p.usable(m)
	if len(ts) == 0 {
		p.later(m, max(ready, p.now+1))
		return
	}
	m.tries++
	if p.throttled(m.to) {
		p.repeat(m, choice.Full, 0)
		return
	}
	t := p.pick(m.to, ts)
	t.out++
	p.out++
	m.legs = append(m.legs, past{r: t, at: p.now})
	m.gen++
	p.Host.Send(m.id, t.id, max(1, min(2*m.lane.Target, m.expires-margin-p.now)))
}

// usable lists where a message may go now, else gives the time to look again.
func (p *plain) usable(m *item) (ts []*target, ready int64) {
	d, deaf := m.to, p.how.alone || p.deafNow()
	if d.waitUntil > p.now && !deaf {
		return nil, d.waitUntil
	}
	ready = p.now + lookAgain
	risk := m.risky()
	for _, t := range d.targets {
		switch {
		case t.waitUntil > p.now && !deaf:
			ready = min(ready, t.waitUntil)
		case risk != nil && !p.how.careless && m.lane.Repeat == choice.Keyed && !m.lane.AnyInDst && t.zone != risk.r.zone:
		default:
			ts = append(ts, t)
		}
	}
	return ts, ready
}

func (p *plain) pick(d *place, ts []*target) *target {
	switch picks[p.by] {
	case "robin":
		d.next++
		return ts[d.next%len(ts)]
	case "least":
		return slices.MinFunc(ts, func(a, b *target) int { return a.out - b.out })
	case "two":
		a, b := ts[p.rand.IntN(len(ts))], ts[p.rand.IntN(len(ts))]
		if b.out < a.out {
			return b
		}
		return a
	}
	return ts[p.rand.IntN(len(ts))]
}
