package fleet

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"ravenlink/internal/lab/draw"
	"ravenlink/internal/members"
)

// Policies are the ways to keep a limit that are set beside each other.
var Policies = []string{"off", "equal", "escrow", "leases", "all-knowing"}

func newPolicy(name string) (policy, error) {
	switch name {
	case "off":
		return &alone{}, nil
	case "equal":
		return &equal{}, nil
	case "escrow":
		return &escrow{}, nil
	case "leases":
		return &leases{}, nil
	case "all-knowing":
		return &knowing{}, nil
	}
	return nil, fmt.Errorf("no policy %q: %v", name, Policies)
}

// quiet is a policy that does nothing where one has nothing to do.
type quiet struct{}

func (quiet) turn(int64, int)                     {}
func (quiet) heard(int64, int, int, any)          {}
func (quiet) need(int64, int, int, float64, int)  {}
func (quiet) told(int64, int, int, bool, float64) {}
func (quiet) viewed(int64, int, members.View)     {}
func (quiet) restarted(int64, int)                {}

// bucket of calls.
type bucket struct {
	level float64
	at    int64
}

func (b *bucket) fill(now int64, rate, depth float64) {
	b.level = math.Min(depth, b.level+rate*float64(now-b.at)/1e6)
	b.at = now
}

func (b *bucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// knowing is one bucket for all, at the destination's own door: no other can use more of the limit.
type knowing struct {
	quiet
	w *World
}

func (k *knowing) begin(w *World) { k.w = w }

func (k *knowing) may(now int64, _, d int) bool {
	t := k.w.ds[d]
	t.level = math.Min(t.limit*burst, t.level+t.limit*float64(now-t.at)/1e6)
	t.at = now
	return t.level >= 1
}

// alone is a rough model of what each sender does by itself: 1.3 even shares times its own part of the traffic, less after each refusal that it
// sees or hears of, three calls at once while none was refused. Parts are known to it without error.
type alone struct {
	quiet
	w    *World
	pace [][]pace
	note [][]int64 // last note of a refusal
}

type pace struct {
	bucket
	limit, part, press float64
	pressedAt          int64
}

const (
	noteSize  = 256
	paceMost  = 1.3
	pressCut  = 0.8
	pressMin  = 0.1
	threeOnce = 3
)

func (a *alone) begin(w *World) {
	a.w = w
	a.pace, a.note = make([][]pace, w.Senders), make([][]int64, w.Senders)
	for i := range a.pace {
		a.note[i] = make([]int64, w.Dsts)
		a.restarted(w.l.Now(), i)
	}
}

func (a *alone) restarted(now int64, i int) {
	a.pace[i] = make([]pace, a.w.Dsts)
	for d := range a.pace[i] {
		a.pace[i][d] = pace{bucket: bucket{threeOnce, now}, limit: a.w.Limit, part: 1, press: paceMost}
	}
}

func (a *alone) need(_ int64, i, d int, perSec float64, _ int) {
	mean := a.w.Limit * a.w.Load / float64(a.w.Senders)
	a.pace[i][d].part = math.Min(4, math.Max(0.5, perSec/mean))
}

func (p *pace) rate(now int64, n int) float64 {
	s := p.press
	if p.pressedAt > 0 { // what a cut took comes back within a target time, up to 1.3 shares
		s = math.Min(paceMost, s+paceMost*(1-pressCut)*float64(now-p.pressedAt)/float64(target))
	}
	return s * p.part * p.limit / float64(n)
}

func (a *alone) may(now int64, i, d int) bool {
	p := &a.pace[i][d]
	depth := 1.0
	if p.pressedAt == 0 {
		depth = threeOnce
	}
	p.fill(now, p.rate(now, a.w.Senders), depth)
	return p.take()
}

func (p *pace) refused(now int64, r *rand.Rand) {
	switch {
	case p.pressedAt == 0:
		p.press, p.level = 1, r.Float64()
	case now-p.pressedAt < second:
		return
	default:
		p.press = math.Max(pressMin, math.Min(paceMost, p.press+paceMost*(1-pressCut)*float64(now-p.pressedAt)/float64(target))*pressCut)
	}
	p.pressedAt = now
}

func (a *alone) told(now int64, i, d int, ok bool, limit float64) {
	p := &a.pace[i][d]
	p.limit = limit
	if ok {
		return
	}
	news := p.pressedAt == 0 || now-p.pressedAt >= second
	p.refused(now, a.w.links)
	if !news || now-a.note[i][d] < second {
		return
	}
	a.note[i][d] = now
	for j := range a.w.ss {
		if j != i {
			a.w.send(i, j, d, noteSize)
		}
	}
}

func (a *alone) heard(now int64, _, to int, m any) {
	a.note[to][m.(int)] = now
	a.pace[to][m.(int)].refused(now, a.w.links)
}

// equal gives each sender an even share of the limit among those its view has alive, and among all listed while it doubts anyone.
type equal struct {
	quiet
	w     *World
	b     [][]bucket
	limit [][]float64
	n     []int
}

func (e *equal) begin(w *World) {
	e.w, e.n = w, make([]int, w.Senders)
	e.b, e.limit = make([][]bucket, w.Senders), make([][]float64, w.Senders)
	for i := range e.b {
		e.restarted(w.l.Now(), i)
	}
}

func (e *equal) restarted(now int64, i int) {
	e.n[i] = e.w.Senders
	e.b[i], e.limit[i] = make([]bucket, e.w.Dsts), make([]float64, e.w.Dsts)
	for d := range e.b[i] {
		e.b[i][d], e.limit[i][d] = bucket{e.w.links.Float64(), now}, e.w.Limit
	}
}

// viewed: this laboratory's views tell gone from doubted by nothing but the word, and silence is no proof of an end: an even share of all listed.
func (e *equal) viewed(_ int64, i int, v members.View) { e.n[i] = len(v.Members) }

func (e *equal) told(_ int64, i, d int, _ bool, limit float64) { e.limit[i][d] = limit }

func (e *equal) may(now int64, i, d int) bool {
	b := &e.b[i][d]
	rate := e.limit[i][d] / float64(max(1, e.n[i]))
	b.fill(now, rate, 1+rate/20)
	return b.take()
}

// escrow begins with even shares; who needs more asks two fellows drawn at random each half second, and each hands over half of what it does
// not need. A hand-over is told until it is confirmed; what a killed sender had is lost until it comes back with an even share.
type escrow struct {
	quiet
	w *World
	s [][]purse
	r *rand.Rand
}

type purse struct {
	bucket
	rate, want float64
	limit      float64
	askedAt    int64
	next       uint64
	open       map[uint64]handOver // given, not yet confirmed
	seen       map[[2]uint64]bool  // taken in, by giver and number
}

type handOver struct {
	d, to  int
	number uint64
	rate   float64
	life   uint64
	kind   uint8 // 0 ask, 1 give, 2 confirm
}

const escrowSize = 30

func (e *escrow) begin(w *World) {
	e.w, e.r, e.s = w, draw.Stream(w.Seed, "escrow", 0), make([][]purse, w.Senders)
	for i := range e.s {
		e.restarted(w.l.Now(), i)
	}
}

func (e *escrow) restarted(now int64, i int) {
	e.s[i] = make([]purse, e.w.Dsts)
	for d := range e.s[i] {
		e.s[i][d] = purse{bucket: bucket{e.r.Float64(), now}, rate: 1 / float64(e.w.Senders), limit: e.w.Limit,
			open: map[uint64]handOver{}, seen: map[[2]uint64]bool{}, next: e.w.ss[i].life << 32}
	}
}

func (e *escrow) need(_ int64, i, d int, perSec float64, waiting int) {
	p := &e.s[i][d]
	p.want = (perSec + float64(waiting)) / p.limit
}

func (e *escrow) told(_ int64, i, d int, _ bool, limit float64) { e.s[i][d].limit = limit }

func (e *escrow) turn(now int64, i int) {
	for d := range e.s[i] {
		p := &e.s[i][d]
		if now-p.askedAt < second/2 {
			continue
		}
		p.askedAt = now
		for _, number := range slices.Sorted(maps.Keys(p.open)) {
			e.w.send(i, p.open[number].to, p.open[number], escrowSize)
		}
		if p.want <= p.rate {
			continue
		}
		for range 2 {
			if j := e.r.IntN(e.w.Senders); j != i {
				e.w.send(i, j, handOver{d: d, rate: p.want - p.rate}, escrowSize)
			}
		}
	}
}

func (e *escrow) heard(now int64, from, to int, m any) {
	h := m.(handOver)
	p := &e.s[to][h.d]
	switch h.kind {
	case 0:
		give := math.Min(h.rate, (p.rate-p.want)/2)
		if give <= 0.01/float64(e.w.Senders) {
			return
		}
		p.rate -= give
		p.next++
		o := handOver{h.d, from, p.next, give, 0, 1}
		p.open[p.next] = o
		e.w.send(to, from, o, escrowSize)
	case 1:
		if k := [2]uint64{uint64(from), h.number}; !p.seen[k] {
			p.seen[k] = true
			p.rate += h.rate
		}
		e.w.send(to, from, handOver{d: h.d, number: h.number, kind: 2}, escrowSize)
	case 2:
		delete(p.open, h.number)
	}
}

func (e *escrow) may(now int64, i, d int) bool {
	p := &e.s[i][d]
	rate := p.rate * p.limit
	p.fill(now, rate, 1+rate/20)
	return p.take()
}
