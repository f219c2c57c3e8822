package shares

import (
	"math"
	"slices"
	"sort"
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
	nextSeat uint64
	refused  int64   // last refusal heard of that cut the budget
	doubts   float64 // share of the listed fleet that asks, but was not answered yet
}

// seat is a holder as its owner knows it.
type seat struct {
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
	limit       known // last told
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
			o.phase, o.since, o.seats, o.poolAt = granting, now, map[string]*seat{}, now
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
		s = &seat{id: o.nextSeat}
		o.seats[from] = s
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
	names := t.refill(now, p)
	targets := t.targets(now, p, names)
	turn := t.turns(now, p, names, targets)
	for _, name := range names {
		s := o.seats[name]
		target := targets[name]
		called := target < 0.9*s.rate && s.committed(now) > 0
		if name != asker && !turn[name] && !called {
			continue
		}
		if called || name == asker {
			t.setRate(now, p, s, target)
		}
		s.serial++
		m := Msg{Kind: Grant, Life: s.life, Stamp: s.stamp, Term: o.term, Seat: s.id, Serial: s.serial, Rate: milli(s.rate), Count: s.given}
		if name == t.self {
			t.granted(now, p, name, m)
			continue
		}
		if s.limit != p.limit || s.serial%8 == 1 { // told when new, and now and then: letters get lost
			s.limit = p.limit
			t.withLimit(now, p, &m)
		}
		t.send(name, "grant ", p, m)
	}
}

// refill lets the pool of single calls take what no lease holds, and drops seats that can spend nothing more. It gives the names in order.
func (t *Table) refill(now int64, p *place) []string {
	o := &p.seat
	names := make([]string, 0, len(o.seats))
	out, held, doubts := 0.0, 0.0, 0
	for name, s := range o.seats {
		if s.until <= now {
			delete(o.seats, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := o.seats[name]
		held += s.committed(now)
		if now >= s.lostUntil {
			s.lost = 0
		}
		out += float64(s.given - s.done + s.lost)
		if s.doubt {
			doubts++
		}
	}
	o.doubts = float64(doubts) / float64(max(1, len(t.listed)))
	o.pool += (t.budget(now, p) - held) * float64(now-o.poolAt) / 1e6
	o.pool = math.Max(min(o.pool, savedOf(p.limit.perSec), aheadOf(p.limit.perSec)-out), -p.limit.perSec)
	o.poolAt = now
	return names
}

// targets are the standing rates: in step with need, none below the quantum, after what those with less need of it.
func (t *Table) targets(now int64, p *place, names []string) map[string]float64 {
	o := &p.seat
	sum, thin := 0.0, 0.0
	for _, name := range names {
		w := o.seats[name].wants()
		sum += w
		if w < quantum {
			thin += w
		}
	}
	targets := map[string]float64{}
	if sum == thin {
		return targets
	}
	budget := t.budget(now, p)
	scale := math.Min(headroom, math.Min(budget/sum, (budget-math.Min(thin, thinMost*budget))/(sum-thin)))
	for _, name := range names {
		s := o.seats[name]
		least := quantum
		if s.committed(now) > 0 {
			least *= keepRate
		}
		if r := s.wants() * scale; r >= least {
			targets[name] = r
		}
	}
	return targets
}

func (s *seat) wants() float64 { return s.need + float64(s.waiting)/drainTime }

// setRate gives a lease its target, as far as what others may still go by leaves room.
func (t *Table) setRate(now int64, p *place, s *seat, target float64) {
	free := t.budget(now, p)
	for _, other := range p.seat.seats {
		if other != s {
			free -= other.committed(now)
		}
	}
	r := unit(milli(math.Max(0, math.Min(target, free))))
	if c := s.committed(now); c > r {
		s.old, s.oldUntil = c, max(s.oldUntil, s.rateUntil)
	}
	s.rate = r
	s.rateUntil = s.until
}

// turns gives out single calls, to those first who had none for longest. It tells who got some.
func (t *Table) turns(now int64, p *place, names []string, targets map[string]float64) map[string]bool {
	o := &p.seat
	if o.pool < 1 {
		return nil
	}
	var queue []string
	for _, name := range names {
		if o.seats[name].wantsCalls(now, t.t) > 0 {
			queue = append(queue, name)
		}
	}
	sort.SliceStable(queue, func(i, j int) bool {
		a, b := queue[i], queue[j]
		if sa, sb := targets[a] > 0, targets[b] > 0; sa != sb {
			return sb // what leases leave over goes to those with leases last
		}
		return o.seats[a].served < o.seats[b].served
	})
	got := map[string]bool{}
	for _, name := range queue {
		s := o.seats[name]
		most := turnMost
		if targets[name] > 0 {
			most = int(max(turnMost, targets[name]/4))
		}
		k := min(max(1, s.waiting/4), most, s.wantsCalls(now, t.t), int(o.pool))
		if k < 1 {
			break
		}
		s.given += uint64(k)
		s.served = now
		o.pool -= float64(k)
		got[name] = true
	}
	return got
}

// wantsCalls counts the single calls that a sender could use beside its rate; none once its ask is too old for an answer to come in time.
func (s *seat) wantsCalls(now int64, t Timing) int {
	if now-s.heard > t.Lease/2 {
		return 0
	}
	return s.waiting - int(s.given-s.done) - int(s.rate*float64(t.Renew)/1e6)
}
