package shares

import (
	"math"
	"slices"
	"strings"
)

// reignPhase is where this sender stands as owner of a destination.
type reignPhase uint8

// The phases: idle, standing (asks the electors), waiting (has a majority; what the last owner granted may still run), granting.
const (
	idle reignPhase = iota
	standing
	waiting
	granting
)

// promise is an elector's word to one owner.
type promise struct {
	to    string
	term  uint64
	until int64 // own clock
	freed int64 // of the first ask since the last promise ended; an elector further back stands later
}

// owning is the owner's side of a destination.
type owning struct {
	phase    reignPhase
	term     uint64
	since    int64 // of the phase
	rest     int64 // no new standing before
	stoodAt  int64 // last asking of the electors
	wanted   int64 // last ask heard
	votes    map[string]int64
	from     int64 // when granting begins
	pool     float64
	poolAt   int64
	seats    map[string]*seat
	row      []*seat // the same, by name
	held     float64 // standing rates that holders may go by
	nextSeat uint64
	refused  int64   // last refusal heard of that cut the budget
	doubts   float64 // share of the listed fleet that asks, but was not answered yet
}

// seat is a holder as its owner knows it.
type seat struct {
	name        string
	id, serial  uint64
	life        uint64
	stamp       int64
	need        float64
	waiting     int
	heard       int64
	doubt       bool
	rate        float64 // last granted
	rateUntil   int64
	old         float64 // greatest of earlier rates that the holder may still go by
	oldUntil    int64
	given, done uint64
	lost        uint64 // single calls of an earlier life
	lostUntil   int64
	until       int64 // when nothing of it can be spent any more
	served      int64
	target      float64 // standing rate that it should have, as of the last serving
	turn        bool    // it got single calls in this serving
	limit       known   // last told
}

// committed is the greatest rate that the holder may go by.
func (s *seat) committed(now int64) float64 {
	r := 0.0
	if now < s.rateUntil {
		r = s.rate
	}
	if now < s.oldUntil {
		r = math.Max(r, s.old)
	}
	return r
}

// reign changes the phase of an owner; nothing else does.
func (t *Table) reign(now int64, p *place) {
	o := &p.seat
	if p.rank < 0 {
		return
	}
	has := t.majority(p) > now
	switch o.phase {
	case idle:
		if t.mayStand(now, p) {
			t.stand(now, p)
		}
	case standing:
		if has {
			o.phase, o.since, o.from = waiting, now, now+t.t.long(t.t.Lease)
		} else if now-o.since >= t.t.Vote {
			o.phase, o.rest = idle, max(now, p.vote.until)+int64(p.rank)*t.t.stagger()
		}
	case waiting, granting:
		switch {
		case !has || now-o.wanted > forgetAfter/2:
			*o = owning{term: o.term, nextSeat: o.nextSeat, wanted: o.wanted, rest: now + int64(p.rank)*t.t.stagger()}
		case o.phase == waiting && now >= o.from:
			o.phase, o.since, o.seats, o.row, o.poolAt = granting, now, map[string]*seat{}, nil, now
			t.counts.Owned++
		}
	}
	if o.phase == standing && now-o.stoodAt >= t.t.Renew/2 || o.phase > standing && now-o.stoodAt >= t.t.Renew {
		t.canvass(now, p)
	}
}

// mayStand tells whether an elector may stand: someone asks, nobody else has its promise, and those before it had their time.
func (t *Table) mayStand(now int64, p *place) bool {
	o, v := &p.seat, &p.vote
	if o.wanted == 0 || now-o.wanted > 2*t.t.Lease || now < o.rest || now < t.born+t.t.long(t.t.Vote)+int64(p.rank)*t.t.stagger() {
		return false
	}
	if v.until > now {
		return v.to == t.self
	}
	return now-max(v.until, v.freed) >= int64(p.rank)*t.t.stagger()
}

func (t *Table) stand(now int64, p *place) {
	o := &p.seat
	o.phase, o.since, o.votes, o.stoodAt = standing, now, map[string]int64{}, now-t.t.Renew
	o.term = max(o.term, p.vote.term) + 1
}

// canvass asks the electors for their promise, or for going on with it.
func (t *Table) canvass(now int64, p *place) {
	o := &p.seat
	o.stoodAt = now
	m := Msg{Kind: Stand, Life: t.life, Stamp: now, Term: o.term}
	for _, e := range p.electors {
		if e != t.self {
			t.send(e, "stand ", p, m)
		}
	}
	// One who stands promises itself once only, so that two who stand at once do not keep each other out for ever.
	if v := &p.vote; (v.until <= now || v.to == t.self) && (o.phase != standing || len(o.votes) == 0) {
		*v = promise{t.self, max(v.term, o.term), now + t.t.long(t.t.Vote), v.freed}
		o.votes[t.self] = now + t.t.short(t.t.Vote)
	}
	if len(p.electors) == 1 {
		t.reign(now, p)
	}
}

// majority tells until when a majority of the electors has promised.
func (t *Table) majority(p *place) int64 {
	if p.seat.phase == idle || len(p.seat.votes) <= len(p.electors)/2 {
		return 0
	}
	var ends []int64
	for _, until := range p.seat.votes {
		ends = append(ends, until)
	}
	slices.Sort(ends)
	return ends[len(ends)-len(p.electors)/2-1]
}

// promise answers one who stands. An elector that has just started may have forgotten a promise, so it gives none until any would have ended.
func (t *Table) promise(now int64, p *place, from string, m Msg) {
	v := &p.vote
	if p.rank < 0 || !slices.Contains(p.electors, from) || now < t.born+t.t.long(t.t.Vote) {
		return
	}
	if v.until > now && (v.to != from || m.Term < v.term) || m.Term < v.term {
		if v.until <= now { // tell a later term, so that the next standing is above it
			t.send(from, "promise ", p, Msg{Kind: Promise, Life: m.Life, Term: v.term})
		}
		return
	}
	*v = promise{from, m.Term, now + t.t.long(t.t.Vote), v.freed}
	t.send(from, "promise ", p, Msg{Kind: Promise, Life: m.Life, Stamp: m.Stamp, Term: m.Term})
}

func (t *Table) promised(now int64, p *place, from string, m Msg) {
	o := &p.seat
	if m.Life != t.life || !slices.Contains(p.electors, from) || o.phase == idle {
		return
	}
	if m.Term > o.term && o.phase == standing {
		p.vote.term = max(p.vote.term, m.Term)
		o.term = m.Term + 1
		return
	}
	if m.Term != o.term || m.Stamp > now || m.Stamp < t.born {
		return
	}
	o.votes[from] = max(o.votes[from], m.Stamp+t.t.short(t.t.Vote))
	t.reign(now, p)
}

// asked takes in what a sender needs, and answers it.
func (t *Table) asked(now int64, p *place, from string, m Msg) {
	o := &p.seat
	if p.rank < 0 {
		return
	}
	if o.wanted < p.vote.until && now >= p.vote.until || now-o.wanted > 2*t.t.Lease {
		p.vote.freed = now
	}
	o.wanted = now
	if o.phase != granting {
		if p.vote.until > now && p.vote.to != t.self && from != t.self {
			t.send(from, "grant ", p, Msg{Kind: Redirect, Life: m.Life, Owner: p.vote.to})
		}
		return
	}
	s := o.seats[from]
	if s != nil && (m.Life == s.life && m.Stamp < s.stamp) {
		return // overtaken by a later ask
	}
	if s == nil {
		o.nextSeat++
		s = &seat{name: from, id: o.nextSeat}
		o.seats[from] = s
		i, _ := slices.BinarySearchFunc(o.row, from, func(s *seat, name string) int { return strings.Compare(s.name, name) })
		o.row = slices.Insert(o.row, i, s)
	} else if m.Life != s.life { // another life of it: what the earlier one was given counts as out until it has surely ended
		o.nextSeat++
		s.lost, s.lostUntil = s.lost+s.given-s.done, s.until
		s.id, s.given, s.done = o.nextSeat, 0, 0
	}
	s.until = now + t.t.long(t.t.Lease) // a lease runs from the ask, which was sent before it was heard: later grants do not make it longer
	s.doubt = m.Doubt
	if m.Refused && (o.refused == 0 || now-o.refused >= refusedFor) {
		o.refused = now
	}
	s.life, s.stamp, s.need, s.waiting, s.heard = m.Life, m.Stamp, unit(m.Need), int(min(m.Waiting, 1<<20)), now
	if m.Term == o.term && m.Seat == s.id {
		s.done = min(max(s.done, m.Count), s.given)
		if m.Serial == s.serial {
			s.old, s.oldUntil = 0, 0
		}
	}
	t.serve(now, p, from)
}

// budget is what the owner may give out: the limit, less what senders in doubt may take by themselves: those that the view misses, and any
// until a new owner has been asked by all that need it.
func (t *Table) budget(now int64, p *place) float64 {
	limit, missing := p.limit.perSec, t.missing
	if p.seat.refused > 0 && now-p.seat.refused < refusedFor {
		limit *= refusedCut
	}
	if now-p.seat.since < t.t.long(2*t.t.Renew) {
		missing = 1
	} else if missing > wholeFrom {
		return limit * (1 - missing)
	}
	return limit * (1 - doubtShare*math.Min(1, missing+p.seat.doubts))
}

// serve divides the limit anew and tells the one who asked, and those whose share changed much.
func (t *Table) serve(now int64, p *place, asker string) {
	o := &p.seat
	if o.phase != granting || p.limit.perSec == 0 {
		return
	}
	t.refill(now, p)
	t.targets(now, p)
	t.turns(now, p)
	for _, s := range o.row {
		called := s.target < 0.9*s.rate && s.committed(now) > 0
		if s.name != asker && !s.turn && !called {
			continue
		}
		if called || s.name == asker {
			t.setRate(now, p, s)
		}
		s.serial++
		m := Msg{Kind: Grant, Life: s.life, Stamp: s.stamp, Term: o.term, Seat: s.id, Serial: s.serial, Rate: milli(s.rate), Count: s.given}
		if s.name == t.self {
			t.granted(now, p, s.name, m)
			continue
		}
		if s.limit != p.limit || s.serial%8 == 1 { // told when new, and now and then: letters get lost
			s.limit = p.limit
			t.withLimit(now, p, &m)
		}
		t.send(s.name, "grant ", p, m)
	}
}

// refill lets the pool of single calls take what no lease holds, and drops seats that can spend nothing more.
func (t *Table) refill(now int64, p *place) {
	o := &p.seat
	out, doubts := 0.0, 0
	o.held = 0
	o.row = slices.DeleteFunc(o.row, func(s *seat) bool {
		if s.until <= now {
			delete(o.seats, s.name)
			return true
		}
		o.held += s.committed(now)
		if now >= s.lostUntil {
			s.lost = 0
		}
		out += float64(s.given - s.done + s.lost)
		if s.doubt {
			doubts++
		}
		return false
	})
	o.doubts = float64(doubts) / float64(max(1, len(t.listed)))
	o.pool += (t.budget(now, p) - o.held) * float64(now-o.poolAt) / 1e6
	o.pool = math.Max(min(o.pool, savedOf(p.limit.perSec), aheadOf(p.limit.perSec)-out), -p.limit.perSec)
	o.poolAt = now
}

// targets are the standing rates: in step with need, none below the quantum, after what those with less need of it.
func (t *Table) targets(now int64, p *place) {
	o := &p.seat
	sum, thin := 0.0, 0.0
	for _, s := range o.row {
		s.target = 0
		w := s.wants()
		sum += w
		if w < quantum {
			thin += w
		}
	}
	if sum == thin {
		return
	}
	budget := t.budget(now, p)
	scale := math.Min(headroom, math.Min(budget/sum, (budget-math.Min(thin, thinMost*budget))/(sum-thin)))
	for _, s := range o.row {
		least := quantum
		if s.committed(now) > 0 {
			least *= keepRate
		}
		if r := s.wants() * scale; r >= least {
			s.target = r
		}
	}
}

func (s *seat) wants() float64 { return s.need + float64(s.waiting)/drainTime }

// setRate gives a lease its target, as far as what others may still go by leaves room.
func (t *Table) setRate(now int64, p *place, s *seat) {
	o := &p.seat
	c := s.committed(now)
	free := t.budget(now, p) - (o.held - c)
	r := unit(milli(math.Max(0, math.Min(s.target, free))))
	if c > r {
		s.old, s.oldUntil = c, max(s.oldUntil, s.rateUntil)
	}
	s.rate, s.rateUntil = r, s.until
	o.held += s.committed(now) - c
}

// turns gives out single calls, to those first who had none for longest; what is left over then goes to those with standing rates.
func (t *Table) turns(now int64, p *place) {
	o := &p.seat
	for _, s := range o.row {
		s.turn = false
	}
	for o.pool >= 1 {
		var s *seat
		for _, x := range o.row {
			if !x.turn && x.wantsCalls(now, t.t) > 0 && (s == nil || x.before(s)) {
				s = x
			}
		}
		if s == nil {
			return
		}
		most := max(turnMost, int(s.target/4))
		k := min(max(1, s.waiting/4), most, s.wantsCalls(now, t.t), int(o.pool))
		s.given += uint64(k)
		s.served, s.turn = now, true
		o.pool -= float64(k)
	}
}

// before tells which of two seats gets single calls first.
func (s *seat) before(x *seat) bool {
	if a, b := s.target > 0, x.target > 0; a != b {
		return b
	}
	return s.served < x.served
}

// wantsCalls counts the single calls that a sender could use beside its rate; none once its ask is too old for an answer to come in time.
func (s *seat) wantsCalls(now int64, t Timing) int {
	if now-s.heard > t.Lease/2 {
		return 0
	}
	return s.waiting - int(s.given-s.done) - int(s.rate*float64(t.Renew)/1e6)
}
