package shares

import (
	"math"
	"slices"
	"strings"
)

// ownerPhase is the phase of this sender as an owner of a destination.
type ownerPhase uint8

// The phases: idle, candidacy (requests votes), awaitingExpiry (has a majority; leases of the last owner may still run), granting.
const (
	idle ownerPhase = iota
	candidacy
	awaitingExpiry
	granting
)

// vote is the vote of this voter for one owner.
type vote struct {
	candidate   string
	term        uint64
	until       int64 // by this sender's own clock
	vacantSince int64 // first request since the last vote expired; voters further back in rank become candidates later
}

// ownerState is the state of the owner of a destination.
type ownerState struct {
	phase            ownerPhase
	term             uint64
	since            int64 // start of the phase
	retryAt          int64 // no new candidacy before
	votesRequestedAt int64 // last time that votes were requested
	lastRequestAt    int64 // last lease request received
	votes            map[string]int64
	grantFrom        int64 // start of granting
	pool             float64
	poolUpdatedAt    int64
	holders          map[string]*holder
	sorted           []*holder // the same, by name
	totalCommitted   float64   // sum of the standing rates that holders may use
	nextSession      uint64
	refusedAt        int64   // last reported refusal that reduced the budget
	fallbackFraction float64 // fraction of the listed fleet in fallback, requesting but not yet answered
}

// holder is the owner's record of a lease holder.
type holder struct {
	name            string
	session, serial uint64
	runID           uint64
	sentAt          int64
	demand          float64
	waiting         int
	heardAt         int64
	fallback        bool
	rate            float64 // last granted
	rateUntil       int64
	oldRate         float64 // greatest of the earlier rates that the holder may still use
	oldRateUntil    int64
	granted, used   uint64
	earlierCalls    uint64 // single calls granted to earlier runs of the process
	earlierUntil    int64
	expiresAt       int64 // when the holder can use nothing more
	servedAt        int64
	targetRate      float64      // standing rate that it should get, as of the last distribution
	gotCalls        bool         // got single calls in this distribution
	limitSent       learnedLimit // last limit sent
}

// committedRate is the greatest rate that the holder may be using.
func (s *holder) committedRate(now int64) float64 {
	r := 0.0
	if now < s.rateUntil {
		r = s.rate
	}
	if now < s.oldRateUntil {
		r = math.Max(r, s.oldRate)
	}
	return r
}

// updateOwner is the only function that changes the phase of an owner.
func (t *Table) updateOwner(now int64, d *destination) {
	o := &d.owner
	if d.rank < 0 {
		return
	}
	hasMajority := t.majorityUntil(d) > now
	switch o.phase {
	case idle:
		if t.mayRun(now, d) {
			t.startCandidacy(now, d)
		}
	case candidacy:
		if hasMajority {
			o.phase, o.since, o.grantFrom = awaitingExpiry, now, now+t.timing.plusDrift(t.timing.Lease)
		} else if now-o.since >= t.timing.Vote {
			o.phase, o.retryAt = idle, max(now, d.vote.until)+int64(d.rank)*t.timing.stagger()
		}
	case awaitingExpiry, granting:
		switch {
		case !hasMajority || now-o.lastRequestAt > idleTimeout/2:
			*o = ownerState{term: o.term, nextSession: o.nextSession, lastRequestAt: o.lastRequestAt, retryAt: now + int64(d.rank)*t.timing.stagger()}
		case o.phase == awaitingExpiry && now >= o.grantFrom:
			o.phase, o.since, o.holders, o.sorted, o.poolUpdatedAt = granting, now, map[string]*holder{}, nil, now
			t.counts.Owned++
		}
	}
	if o.phase == candidacy && now-o.votesRequestedAt >= t.timing.Renew/2 || o.phase > candidacy && now-o.votesRequestedAt >= t.timing.Renew {
		t.requestVotes(now, d)
	}
}

// mayRun reports whether a voter may become a candidate: a sender requests a lease, no other candidate has its vote, and voters ahead in
// rank have had their time.
func (t *Table) mayRun(now int64, d *destination) bool {
	o, v := &d.owner, &d.vote
	if o.lastRequestAt == 0 || now-o.lastRequestAt > 2*t.timing.Lease || now < o.retryAt ||
		now < t.startedAt+t.timing.plusDrift(t.timing.Vote)+int64(d.rank)*t.timing.stagger() {
		return false
	}
	if v.until > now {
		return v.candidate == t.self
	}
	return now-max(v.until, v.vacantSince) >= int64(d.rank)*t.timing.stagger()
}

func (t *Table) startCandidacy(now int64, d *destination) {
	o := &d.owner
	o.phase, o.since, o.votes, o.votesRequestedAt = candidacy, now, map[string]int64{}, now-t.timing.Renew
	o.term = max(o.term, d.vote.term) + 1
}

// requestVotes asks the voters for their votes, or to renew them.
func (t *Table) requestVotes(now int64, d *destination) {
	o := &d.owner
	o.votesRequestedAt = now
	m := Msg{Kind: VoteRequest, RunID: t.runID, SentAt: now, Term: o.term}
	for _, voter := range d.voters {
		if voter != t.self {
			t.send(voter, "stand ", d, m)
		}
	}
	// A candidate votes for itself only once, so that two concurrent candidates do not block each other forever.
	if v := &d.vote; (v.until <= now || v.candidate == t.self) && (o.phase != candidacy || len(o.votes) == 0) {
		*v = vote{t.self, max(v.term, o.term), now + t.timing.plusDrift(t.timing.Vote), v.vacantSince}
		o.votes[t.self] = now + t.timing.minusDrift(t.timing.Vote)
	}
	if len(d.voters) == 1 {
		t.updateOwner(now, d)
	}
}

// majorityUntil returns the time until which a majority of the voters has voted for this sender.
func (t *Table) majorityUntil(d *destination) int64 {
	if d.owner.phase == idle || len(d.owner.votes) <= len(d.voters)/2 {
		return 0
	}
	var ends []int64
	for _, until := range d.owner.votes {
		ends = append(ends, until)
	}
	slices.Sort(ends)
	return ends[len(ends)-len(d.voters)/2-1]
}

// handleVoteRequest answers a candidate. A voter that has just started may have forgotten a vote, so it grants none until any such vote
// would have expired.
func (t *Table) handleVoteRequest(now int64, d *destination, from string, m Msg) {
	v := &d.vote
	if d.rank < 0 || !slices.Contains(d.voters, from) || now < t.startedAt+t.timing.plusDrift(t.timing.Vote) {
		return
	}
	if v.until > now && (v.candidate != from || m.Term < v.term) || m.Term < v.term {
		if v.until <= now { // report the later term, so that the next candidacy exceeds it
			t.send(from, "promise ", d, Msg{Kind: VoteGrant, RunID: m.RunID, Term: v.term})
		}
		return
	}
	*v = vote{from, m.Term, now + t.timing.plusDrift(t.timing.Vote), v.vacantSince}
	t.send(from, "promise ", d, Msg{Kind: VoteGrant, RunID: m.RunID, SentAt: m.SentAt, Term: m.Term})
}

func (t *Table) handleVoteGrant(now int64, d *destination, from string, m Msg) {
	o := &d.owner
	if m.RunID != t.runID || !slices.Contains(d.voters, from) || o.phase == idle {
		return
	}
	if m.Term > o.term && o.phase == candidacy {
		d.vote.term = max(d.vote.term, m.Term)
		o.term = m.Term + 1
		return
	}
	if m.Term != o.term || m.SentAt > now || m.SentAt < t.startedAt {
		return
	}
	o.votes[from] = max(o.votes[from], m.SentAt+t.timing.minusDrift(t.timing.Vote))
	t.updateOwner(now, d)
}

// handleRequest records a sender's demand and answers it.
func (t *Table) handleRequest(now int64, d *destination, from string, m Msg) {
	o := &d.owner
	if d.rank < 0 {
		return
	}
	if o.lastRequestAt < d.vote.until && now >= d.vote.until || now-o.lastRequestAt > 2*t.timing.Lease {
		d.vote.vacantSince = now
	}
	o.lastRequestAt = now
	if o.phase != granting {
		if d.vote.until > now && d.vote.candidate != t.self && from != t.self {
			t.send(from, "grant ", d, Msg{Kind: Redirect, RunID: m.RunID, Owner: d.vote.candidate})
		}
		return
	}
	s := o.holders[from]
	if s != nil && (m.RunID == s.runID && m.SentAt < s.sentAt) {
		return // reordered: a later request has already been handled
	}
	if s == nil {
		o.nextSession++
		s = &holder{name: from, session: o.nextSession}
		o.holders[from] = s
		i, _ := slices.BinarySearchFunc(o.sorted, from, func(s *holder, name string) int { return strings.Compare(s.name, name) })
		o.sorted = slices.Insert(o.sorted, i, s)
	} else if m.RunID != s.runID {
		// Another run of the process: calls granted to the earlier one count as outstanding until its lease has certainly expired.
		o.nextSession++
		s.earlierCalls, s.earlierUntil = s.earlierCalls+s.granted-s.used, s.expiresAt
		s.session, s.granted, s.used = o.nextSession, 0, 0
	}
	// A lease runs from the request, which was sent before it was received: later grants do not extend it.
	s.expiresAt = now + t.timing.plusDrift(t.timing.Lease)
	s.fallback = m.Fallback
	if m.Refused && (o.refusedAt == 0 || now-o.refusedAt >= refusalPeriod) {
		o.refusedAt = now
	}
	s.runID, s.sentAt, s.demand, s.waiting, s.heardAt = m.RunID, m.SentAt, fromMilli(m.Demand), int(min(m.Waiting, 1<<20)), now
	if m.Term == o.term && m.Session == s.session {
		s.used = min(max(s.used, m.Calls), s.granted)
		if m.Serial == s.serial {
			s.oldRate, s.oldRateUntil = 0, 0
		}
	}
	t.distribute(now, d, from)
}

// budget is the rate that the owner may grant: the limit less the fallback shares of senders that the view reports missing or that are in
// fallback. A new owner reserves them for all senders until all with demand have had time to send a request.
func (t *Table) budget(now int64, d *destination) float64 {
	limit, missing := d.limit.perSec, t.missingFraction
	if d.owner.refusedAt > 0 && now-d.owner.refusedAt < refusalPeriod {
		limit *= refusalFactor
	}
	if now-d.owner.since < t.timing.plusDrift(2*t.timing.Renew) {
		missing = 1
	} else if missing > fullShareFrom {
		return limit * (1 - missing)
	}
	return limit * (1 - fallbackShare*math.Min(1, missing+d.owner.fallbackFraction))
}

// distribute reallocates the limit and sends grants to the requester and to senders whose share changed considerably.
func (t *Table) distribute(now int64, d *destination, requester string) {
	o := &d.owner
	if o.phase != granting || d.limit.perSec == 0 {
		return
	}
	t.refillPool(now, d)
	t.setTargets(now, d)
	t.grantCalls(now, d)
	for _, s := range o.sorted {
		recalled := s.targetRate < 0.9*s.rate && s.committedRate(now) > 0
		if s.name != requester && !s.gotCalls && !recalled {
			continue
		}
		if recalled || s.name == requester {
			t.setRate(now, d, s)
		}
		s.serial++
		m := Msg{Kind: Grant, RunID: s.runID, SentAt: s.sentAt, Term: o.term, Session: s.session, Serial: s.serial, Rate: toMilli(s.rate), Calls: s.granted}
		if s.name == t.self {
			t.handleGrant(now, d, s.name, m)
			continue
		}
		if s.limitSent != d.limit || s.serial%8 == 1 { // sent when new, and periodically in case a peer message was lost
			s.limitSent = d.limit
			t.withLimit(now, d, &m)
		}
		t.send(s.name, "grant ", d, m)
	}
}

// refillPool adds the rate that no lease holds to the pool of single calls and drops holders whose leases have expired.
func (t *Table) refillPool(now int64, d *destination) {
	o := &d.owner
	out, fallbacks := 0.0, 0
	o.totalCommitted = 0
	o.sorted = slices.DeleteFunc(o.sorted, func(s *holder) bool {
		if s.expiresAt <= now {
			delete(o.holders, s.name)
			return true
		}
		o.totalCommitted += s.committedRate(now)
		if now >= s.earlierUntil {
			s.earlierCalls = 0
		}
		out += float64(s.granted - s.used + s.earlierCalls)
		if s.fallback {
			fallbacks++
		}
		return false
	})
	o.fallbackFraction = float64(fallbacks) / float64(max(1, len(t.listed)))
	o.pool += (t.budget(now, d) - o.totalCommitted) * float64(now-o.poolUpdatedAt) / 1e6
	o.pool = math.Max(min(o.pool, maxSaved(d.limit.perSec), maxOutstanding(d.limit.perSec)-out), -d.limit.perSec)
	o.poolUpdatedAt = now
}

// setTargets computes the standing rates in proportion to demand, none below minRate, after the reserve for senders with smaller demands.
func (t *Table) setTargets(now int64, d *destination) {
	o := &d.owner
	sum, small := 0.0, 0.0
	for _, s := range o.sorted {
		s.targetRate = 0
		w := s.wantedRate()
		sum += w
		if w < minRate {
			small += w
		}
	}
	if sum == small {
		return
	}
	budget := t.budget(now, d)
	scale := math.Min(headroom, math.Min(budget/sum, (budget-math.Min(small, maxSmallShare*budget))/(sum-small)))
	for _, s := range o.sorted {
		minTarget := minRate
		if s.committedRate(now) > 0 {
			minTarget *= keepFraction
		}
		if r := s.wantedRate() * scale; r >= minTarget {
			s.targetRate = r
		}
	}
}

func (s *holder) wantedRate() float64 { return s.demand + float64(s.waiting)/drainTime }

// setRate sets a lease to its target rate, as far as the rates that other holders may still use leave room.
func (t *Table) setRate(now int64, d *destination, s *holder) {
	o := &d.owner
	c := s.committedRate(now)
	free := t.budget(now, d) - (o.totalCommitted - c)
	r := fromMilli(toMilli(math.Max(0, math.Min(s.targetRate, free))))
	if c > r {
		s.oldRate, s.oldRateUntil = c, max(s.oldRateUntil, s.rateUntil)
	}
	s.rate, s.rateUntil = r, s.expiresAt
	o.totalCommitted += s.committedRate(now) - c
}

// grantCalls grants single calls, first to senders that have waited longest; the rest goes to those with standing rates.
func (t *Table) grantCalls(now int64, d *destination) {
	o := &d.owner
	for _, s := range o.sorted {
		s.gotCalls = false
	}
	for o.pool >= 1 {
		var s *holder
		for _, x := range o.sorted {
			if !x.gotCalls && x.callsWanted(now, t.timing) > 0 && (s == nil || x.before(s)) {
				s = x
			}
		}
		if s == nil {
			return
		}
		maxCalls := max(maxCallsPerTurn, int(s.targetRate/4))
		k := min(max(1, s.waiting/4), maxCalls, s.callsWanted(now, t.timing), int(o.pool))
		s.granted += uint64(k)
		s.servedAt, s.gotCalls = now, true
		o.pool -= float64(k)
	}
}

// before reports whether s gets single calls before x.
func (s *holder) before(x *holder) bool {
	if a, b := s.targetRate > 0, x.targetRate > 0; a != b {
		return b
	}
	return s.servedAt < x.servedAt
}

// callsWanted returns the number of single calls that a sender could use beside its rate. It is zero once the request is too old for a
// grant to arrive in time.
func (s *holder) callsWanted(now int64, t Timing) int {
	if now-s.heardAt > t.Lease/2 {
		return 0
	}
	return s.waiting - int(s.granted-s.used) - int(s.rate*float64(t.Renew)/1e6)
}
