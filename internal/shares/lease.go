package shares

import (
	"math"

	"ravenlink/internal/members"
)

// leaseStage is the stage of a destination's lease at this sender.
type leaseStage uint8

// The stages: inactive (no demand, no lease), requesting (demand, no lease), leased, and fallback (no owner has answered a demand for some
// time, or this side of a partition has none).
const (
	inactive leaseStage = iota
	requesting
	leased
	fallback
)

// lease is this sender's entitlement to call a destination.
type lease struct {
	stage                 leaseStage
	owner                 string // where to send requests; empty while unknown
	nextVoter             int    // voter to ask next while the owner is unknown
	term, session, serial uint64
	rate                  float64 // calls per second, while leased
	expiresAt             int64   // end of the lease
	granted, used         uint64  // single calls of this session: granted by the owner; made or returned
	tokens                float64 // of the token bucket that the rate fills, in calls
	tokensAt              int64
	requestedAt           int64 // last request; 0 for never
	unansweredSince       int64 // first request since the last answer; 0 for none
	unansweredRequests    int   // requests since then
	answeredAt            int64 // time of the latest request that a grant answered
	refusedAt             int64 // last refusal by the destination; 0 for none
	reported              report
	initialTokens         float64 // initial level of the bucket in fallback; differs per sender so that they do not all call at once
	startedFallback       bool    // initialTokens has been used since the last lease
}

// report is the state last sent to the owner.
type report struct {
	demand  float64
	waiting int
	used    uint64
	limit   learnedLimit
}

func (l *lease) start(now int64, draw uint64) {
	l.tokensAt, l.initialTokens = now, float64(draw>>11)/(1<<53)
}

// stageOf returns the stage that the lease should be in.
func (t *Table) stageOf(now int64, d *destination) leaseStage {
	l := &d.lease
	needs := d.waiting > 0 || d.demand >= minRate
	switch {
	case l.expiresAt > now:
		return leased
	case t.partitioned(now, d):
		return fallback
	case !needs:
		return inactive
	case l.stage == fallback && l.unansweredSince > 0:
		return fallback
	case l.unansweredSince > 0 && now-l.unansweredSince >= t.timing.fallbackAfter() && l.unansweredRequests >= 3:
		return fallback
	default:
		return requesting
	}
}

// updateStage is the only function that changes the stage of a lease.
func (t *Table) updateStage(now int64, d *destination) {
	l := &d.lease
	needs := d.waiting > 0 || d.demand >= minRate
	next := t.stageOf(now, d)
	if next == l.stage {
		return
	}
	if l.stage == leased {
		l.refill(l.expiresAt, l.rate)
		l.tokens = 0
		if needs {
			t.counts.Lapsed++
		}
	}
	l.stage, l.tokensAt = next, now
	switch next {
	case fallback:
		if !l.startedFallback {
			l.tokens, l.startedFallback = l.initialTokens, true
		}
	case leased:
		l.tokens, l.startedFallback = 0, false
	}
}

// partitioned reports whether this sender's side of a partition certainly has no owner for a destination and all views show it.
func (t *Table) partitioned(now int64, d *destination) bool {
	return d.ownerlessSince > 0 && now-d.ownerlessSince >= t.timing.partitionDelay()
}

// rate returns the rate at which the token bucket of a destination fills.
func (t *Table) rate(now int64, d *destination) float64 {
	switch d.lease.stage {
	case leased:
		return d.lease.rate
	case fallback:
		evenShare := d.limit.perSec / float64(max(1, len(t.listed)))
		if t.partitioned(now, d) && 1-t.missingFraction > fullShareFrom {
			return evenShare
		}
		return fallbackShare * evenShare
	default:
		return 0
	}
}

// refill fills the bucket up to now.
func (l *lease) refill(now int64, rate float64) {
	if now > l.tokensAt {
		l.tokens = math.Min(bucketDepth(rate), l.tokens+rate*float64(now-l.tokensAt)/1e6)
		l.tokensAt = now
	}
}

// sendRequest reports this sender's demand to the owner when due: at every renewal while there is demand, sooner when the demand has
// changed.
func (t *Table) sendRequest(now int64, d *destination) {
	l := &d.lease
	if l.granted > l.used && d.waiting == 0 {
		l.used = l.granted // not needed: return the calls
	}
	if !t.requestDue(now, d) {
		return
	}
	if l.unansweredSince == 0 || now-l.requestedAt > 2*t.timing.fallbackAfter() { // old unanswered requests say nothing about the links now
		l.unansweredSince, l.unansweredRequests = now, 0
	}
	to := t.requestTargets(now, d)
	l.unansweredRequests++
	l.requestedAt = now
	l.reported = report{d.demand, d.waiting, l.used, l.reported.limit}
	m := Msg{Kind: Request, RunID: t.runID, SentAt: now, Term: l.term, Session: l.session, Serial: l.serial, Demand: toMilli(d.demand),
		Waiting: uint64(d.waiting), Calls: l.used, Fallback: l.stage == fallback, Refused: l.refusedAt > l.answeredAt}
	if l.reported.limit != d.limit || l.unansweredRequests > 1 || l.stage != leased { // include a new limit, and repeat it until an owner answers
		t.withLimit(now, d, &m)
	}
	l.reported.limit = d.limit
	for _, name := range to {
		if name == t.self {
			t.handleRequest(now, d, name, m)
		} else {
			t.send(name, "ask ", d, m)
		}
	}
}

func (t *Table) requestDue(now int64, d *destination) bool {
	l := &d.lease
	if d.limit.perSec == 0 || now-l.requestedAt < minRequestGap && l.requestedAt > 0 {
		return false
	}
	needs := d.waiting > 0 || d.demand >= minRate
	if l.stage == leased {
		if !needs && (l.rate > 0 || l.used != l.reported.used) {
			return true // return the lease
		}
		if !needs && l.answeredAt < l.requestedAt && now-l.requestedAt >= t.timing.Renew/2 {
			return true // the return may have been lost
		}
		short := d.waiting > int(l.granted-l.used) && l.rate < minRate
		if short && d.waiting > l.reported.waiting || l.used != l.reported.used && now-l.requestedAt >= 2*minRequestGap {
			return true
		}
		if needs && (d.demand > 1.5*l.reported.demand+1 || l.reported.waiting == 0 && l.rate == 0) {
			return true
		}
	}
	return needs && (l.requestedAt == 0 || l.stage == requesting && l.unansweredSince == 0 || now-l.requestedAt >= t.timing.Renew)
}

// requestTargets returns the owner if known. While none answers, it tries one voter after another, skipping those that the view reports
// missing, and periodically all of them, so that they learn at the same time that an owner is needed.
func (t *Table) requestTargets(now int64, d *destination) []string {
	l := &d.lease
	switch {
	case d.owner.phase == granting:
		l.owner = t.self
	case l.owner == t.self || l.unansweredRequests >= 2:
		l.owner = ""
	}
	if l.owner == "" && l.unansweredRequests < 2 && d.vote.until > now && d.vote.candidate != t.self {
		l.owner = d.vote.candidate
	}
	if l.owner != "" {
		return []string{l.owner}
	}
	if l.unansweredRequests%broadcastEvery == 2 {
		return d.voters
	}
	for range d.voters {
		voter := d.voters[l.nextVoter%len(d.voters)]
		l.nextVoter++
		if m, ok := t.view.Member(voter); !ok || m.State == members.Alive || m.State == members.Suspect {
			return []string{voter}
		}
	}
	return nil
}

func (t *Table) withLimit(now int64, d *destination, m *Msg) {
	if d.limit.perSec > 0 {
		m.Limit, m.LimitSource, m.LimitAge = toMilli(d.limit.perSec), d.limit.source, max(0, now-d.limit.learnedAt)
	}
}

// handleGrant applies a lease grant. The lease runs from this sender's own request by its own clock. It ignores answers to another run of
// the process, to a request not yet made, or to one that is too old, and an older grant never replaces a newer one.
func (t *Table) handleGrant(now int64, d *destination, from string, m Msg) {
	l := &d.lease
	until := m.SentAt + t.timing.minusDrift(t.timing.Lease)
	if m.RunID != t.runID || m.SentAt > now || m.SentAt < t.startedAt || until <= now {
		return
	}
	if m.Term < l.term && l.expiresAt > now || m.Term == l.term && m.Session < l.session ||
		m.Term == l.term && m.Session == l.session && m.Serial <= l.serial {
		return
	}
	l.refill(now, t.rate(now, d))
	if m.Term != l.term || m.Session != l.session {
		l.granted, l.used, l.reported.used, l.expiresAt = 0, 0, 0, 0
	}
	l.owner, l.term, l.session, l.serial = from, m.Term, m.Session, m.Serial
	l.rate, l.granted, l.expiresAt = fromMilli(m.Rate), max(l.granted, m.Calls), max(l.expiresAt, until)
	l.unansweredSince, l.unansweredRequests, l.answeredAt = 0, 0, max(l.answeredAt, m.SentAt)
	t.updateStage(now, d)
	l.tokens = math.Min(l.tokens, bucketDepth(l.rate))
}

func (t *Table) handleRedirect(now int64, d *destination, from string, m Msg) {
	l := &d.lease
	if m.RunID != t.runID || m.Owner == "" || m.Owner == t.self || l.stage == leased || m.Owner == from {
		return
	}
	if l.owner != m.Owner {
		l.owner, l.unansweredRequests, l.requestedAt = m.Owner, 0, min(l.requestedAt, now-t.timing.Renew)
	}
}
