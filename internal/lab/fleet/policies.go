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

// Policies lists the names of the compared ways to keep a destination's limit.
var Policies = []string{"off", "equal", "escrow", "leases", "all-knowing"}

func newPolicy(name string) (policy, error) {
	switch name {
	case "off":
		return &independent{}, nil
	case "equal":
		return &equalShares{}, nil
	case "escrow":
		return &escrow{}, nil
	case "leases":
		return &leases{}, nil
	case "all-knowing":
		return &oracle{}, nil
	}
	return nil, fmt.Errorf("no policy %q: %v", name, Policies)
}

// noop is embedded by policies that have nothing to do at some events.
type noop struct{}

func (noop) tick(int64, int)                         {}
func (noop) receive(int64, int, int, any)            {}
func (noop) setDemand(int64, int, int, float64, int) {}
func (noop) callDone(int64, int, int, bool, float64) {}
func (noop) setView(int64, int, members.View)        {}
func (noop) restart(int64, int)                      {}

// bucket is a token bucket; each call takes a token.
type bucket struct {
	tokens   float64
	filledAt int64
}

func (b *bucket) fill(now int64, rate, depth float64) {
	b.tokens = math.Min(depth, b.tokens+rate*float64(now-b.filledAt)/1e6)
	b.filledAt = now
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// oracle lets a call go exactly if the destination's own token bucket will accept it. It is the upper bound: no policy can
// use more of the limit.
type oracle struct {
	noop
	w *World
}

func (o *oracle) start(w *World) { o.w = w }

func (o *oracle) allow(now int64, _, d int) bool {
	dst := o.w.dsts[d]
	dst.tokens = math.Min(dst.limit*burstSeconds, dst.tokens+dst.limit*float64(now-dst.filledAt)/1e6)
	dst.filledAt = now
	return dst.tokens >= 1
}

// independent is a rough model of senders without leases: each calls at 1.3 even shares of the limit times its own part of
// the traffic, which it knows exactly, and reduces that after each refusal that it sees or is told of in a note. Before the
// first refusal it may make three calls at once.
type independent struct {
	noop
	w        *World
	pacing   [][]pacer
	lastNote [][]int64 // time of the last note about a refusal, by sender and destination
}

// pacer limits the calls of one sender to one destination.
type pacer struct {
	bucket
	limit, part, factor float64 // part: the sender's traffic, over the mean of all senders
	cutAt               int64   // time of the last reduction of the factor
}

const (
	noteSize     = 256
	maxFactor    = 1.3
	cutFactor    = 0.8
	minFactor    = 0.1
	initialBurst = 3
)

func (a *independent) start(w *World) {
	a.w = w
	a.pacing, a.lastNote = make([][]pacer, w.Senders), make([][]int64, w.Senders)
	for i := range a.pacing {
		a.lastNote[i] = make([]int64, w.Dsts)
		a.restart(w.events.Now(), i)
	}
}

func (a *independent) restart(now int64, i int) {
	a.pacing[i] = make([]pacer, a.w.Dsts)
	for d := range a.pacing[i] {
		a.pacing[i][d] = pacer{bucket: bucket{initialBurst, now}, limit: a.w.Limit, part: 1, factor: maxFactor}
	}
}

func (a *independent) setDemand(_ int64, i, d int, perSec float64, _ int) {
	mean := a.w.Limit * a.w.Load / float64(a.w.Senders)
	a.pacing[i][d].part = math.Min(4, math.Max(0.5, perSec/mean))
}

func (p *pacer) rate(now int64, n int) float64 {
	share := p.factor
	if p.cutAt > 0 { // the factor recovers from a reduction within a target time, up to 1.3 shares
		share = math.Min(maxFactor, share+maxFactor*(1-cutFactor)*float64(now-p.cutAt)/float64(target))
	}
	return share * p.part * p.limit / float64(n)
}

func (a *independent) allow(now int64, i, d int) bool {
	p := &a.pacing[i][d]
	depth := 1.0
	if p.cutAt == 0 {
		depth = initialBurst
	}
	p.fill(now, p.rate(now, a.w.Senders), depth)
	return p.take()
}

func (p *pacer) recordRefusal(now int64, r *rand.Rand) {
	switch {
	case p.cutAt == 0:
		p.factor, p.tokens = 1, r.Float64()
	case now-p.cutAt < second:
		return
	default:
		p.factor = math.Max(minFactor, math.Min(maxFactor, p.factor+maxFactor*(1-cutFactor)*float64(now-p.cutAt)/float64(target))*cutFactor)
	}
	p.cutAt = now
}

func (a *independent) callDone(now int64, i, d int, ok bool, limit float64) {
	p := &a.pacing[i][d]
	p.limit = limit
	if ok {
		return
	}
	newRefusal := p.cutAt == 0 || now-p.cutAt >= second
	p.recordRefusal(now, a.w.linkRand)
	if !newRefusal || now-a.lastNote[i][d] < second {
		return
	}
	a.lastNote[i][d] = now
	for j := range a.w.senders {
		if j != i {
			a.w.send(i, j, d, noteSize)
		}
	}
}

func (a *independent) receive(now int64, _, to int, body any) {
	a.lastNote[to][body.(int)] = now
	a.pacing[to][body.(int)].recordRefusal(now, a.w.linkRand)
}

// equalShares gives each sender an even share of the limit, divided by the number of members in its view.
type equalShares struct {
	noop
	w            *World
	buckets      [][]bucket
	limits       [][]float64
	memberCounts []int
}

func (e *equalShares) start(w *World) {
	e.w, e.memberCounts = w, make([]int, w.Senders)
	e.buckets, e.limits = make([][]bucket, w.Senders), make([][]float64, w.Senders)
	for i := range e.buckets {
		e.restart(w.events.Now(), i)
	}
}

func (e *equalShares) restart(now int64, i int) {
	e.memberCounts[i] = e.w.Senders
	e.buckets[i], e.limits[i] = make([]bucket, e.w.Dsts), make([]float64, e.w.Dsts)
	for d := range e.buckets[i] {
		e.buckets[i][d], e.limits[i][d] = bucket{e.w.linkRand.Float64(), now}, e.w.Limit
	}
}

// setView counts dead members too: here a view marks senders as dead that are only paused or unreachable, and silence does
// not prove that a sender makes no calls.
func (e *equalShares) setView(_ int64, i int, v members.View) { e.memberCounts[i] = len(v.Members) }

func (e *equalShares) callDone(_ int64, i, d int, _ bool, limit float64) { e.limits[i][d] = limit }

func (e *equalShares) allow(now int64, i, d int) bool {
	b := &e.buckets[i][d]
	rate := e.limits[i][d] / float64(max(1, e.memberCounts[i]))
	b.fill(now, rate, 1+rate/20)
	return b.take()
}

// escrow starts with even shares. Each half second, a sender that needs more asks two random peers, and each transfers half
// of what it does not need. A transfer is repeated until it is confirmed. The share of a killed sender is lost until it
// restarts with an even share.
type escrow struct {
	noop
	w        *World
	accounts [][]account
	random   *rand.Rand
}

// account is the part of a destination's limit that a sender holds, as a share of the limit.
type account struct {
	bucket
	rate, wanted float64
	limit        float64
	askedAt      int64
	lastNumber   uint64
	unconfirmed  map[uint64]transfer // transfers sent and not yet confirmed, by number
	received     map[[2]uint64]bool  // transfers received, by peer and number
}

// transfer is a message between two senders that asks for, transfers or confirms a part of a limit.
type transfer struct {
	dst, to     int
	number      uint64
	rate        float64
	incarnation uint64
	kind        uint8 // 0: request, 1: transfer, 2: confirmation
}

const transferSize = 30

func (e *escrow) start(w *World) {
	e.w, e.random, e.accounts = w, draw.Stream(w.Seed, "escrow", 0), make([][]account, w.Senders)
	for i := range e.accounts {
		e.restart(w.events.Now(), i)
	}
}

func (e *escrow) restart(now int64, i int) {
	e.accounts[i] = make([]account, e.w.Dsts)
	for d := range e.accounts[i] {
		e.accounts[i][d] = account{bucket: bucket{e.random.Float64(), now}, rate: 1 / float64(e.w.Senders), limit: e.w.Limit,
			unconfirmed: map[uint64]transfer{}, received: map[[2]uint64]bool{}, lastNumber: e.w.senders[i].incarnation << 32}
	}
}

func (e *escrow) setDemand(_ int64, i, d int, perSec float64, waiting int) {
	acc := &e.accounts[i][d]
	acc.wanted = (perSec + float64(waiting)) / acc.limit
}

func (e *escrow) callDone(_ int64, i, d int, _ bool, limit float64) { e.accounts[i][d].limit = limit }

func (e *escrow) tick(now int64, i int) {
	for d := range e.accounts[i] {
		acc := &e.accounts[i][d]
		if now-acc.askedAt < second/2 {
			continue
		}
		acc.askedAt = now
		for _, number := range slices.Sorted(maps.Keys(acc.unconfirmed)) {
			e.w.send(i, acc.unconfirmed[number].to, acc.unconfirmed[number], transferSize)
		}
		if acc.wanted <= acc.rate {
			continue
		}
		for range 2 {
			if j := e.random.IntN(e.w.Senders); j != i {
				e.w.send(i, j, transfer{dst: d, rate: acc.wanted - acc.rate}, transferSize)
			}
		}
	}
}

func (e *escrow) receive(now int64, from, to int, body any) {
	t := body.(transfer)
	acc := &e.accounts[to][t.dst]
	switch t.kind {
	case 0:
		amount := math.Min(t.rate, (acc.rate-acc.wanted)/2)
		if amount <= 0.01/float64(e.w.Senders) {
			return
		}
		acc.rate -= amount
		acc.lastNumber++
		grant := transfer{t.dst, from, acc.lastNumber, amount, 0, 1}
		acc.unconfirmed[acc.lastNumber] = grant
		e.w.send(to, from, grant, transferSize)
	case 1:
		if k := [2]uint64{uint64(from), t.number}; !acc.received[k] {
			acc.received[k] = true
			acc.rate += t.rate
		}
		e.w.send(to, from, transfer{dst: t.dst, number: t.number, kind: 2}, transferSize)
	case 2:
		delete(acc.unconfirmed, t.number)
	}
}

func (e *escrow) allow(now int64, i, d int) bool {
	acc := &e.accounts[i][d]
	rate := acc.rate * acc.limit
	acc.fill(now, rate, 1+rate/20)
	return acc.take()
}
