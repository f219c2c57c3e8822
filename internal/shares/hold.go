package shares

import (
	"math"

	"ravenlink/internal/members"
)

// stage of a holder.
type stage uint8

// The stages: resting (nothing needed, nothing held), asking (needs a share, has none), leased, doubting (needs one, and no owner has
// answered for long).
const (
	resting stage = iota
	asking
	leased
	doubting
)

// holding is what this sender may call at a destination.
type holding struct {
	phase              stage
	owner              string // whom to ask; empty while not known
	try                int    // which elector to ask while the owner is not known
	term, seat, serial uint64
	rate               float64 // calls a second, while leased
	until              int64   // end of the lease
	given, done        uint64  // single calls on this seat: given by the owner; spent or given back
	level              float64 // of the bucket that the rate fills, in calls
	levelAt            int64
	askedAt            int64 // last ask; 0 for never
	unanswered         int64 // first ask since the last answer; 0 for none
	asks               int   // since then
	answered           int64 // the latest ask that a grant answered
	refused            int64 // last refusal by the destination; 0 for none
	told               report
	phaseAt            float64 // where this sender's bucket begins in doubt, so that all do not call at once
	drawn              bool    // it has begun there since the last lease
}

// report is what the owner was last told.
type report struct {
	need    float64
	waiting int
	done    uint64
	limit   known
}

func (h *holding) start(now int64, draw uint64) {
	h.levelAt, h.phaseAt = now, float64(draw>>11)/(1<<53)
}

// stageOf gives the stage in which a holder has to be.
func (t *Table) stageOf(now int64, p *place) stage {
	h := &p.hold
	needs := p.waiting > 0 || p.need >= quantum
	switch {
	case h.until > now:
		return leased
	case t.cutOff(now, p):
		return doubting
	case !needs:
		return resting
	case h.phase == doubting && h.unanswered > 0:
		return doubting
	case h.unanswered > 0 && now-h.unanswered >= t.t.doubtAfter() && h.asks >= 3:
		return doubting
	default:
		return asking
	}
}

// move changes the stage of a holder; nothing else does.
func (t *Table) move(now int64, p *place) {
	h := &p.hold
	needs := p.waiting > 0 || p.need >= quantum
	next := t.stageOf(now, p)
	if next == h.phase {
		return
	}
	if h.phase == leased {
		h.earn(h.until, h.rate)
		h.level = 0
		if needs {
			t.counts.Lapsed++
		}
	}
	h.phase, h.levelAt = next, now
	switch next {
	case doubting:
		if !h.drawn {
			h.level, h.drawn = h.phaseAt, true
		}
	case leased:
		h.level, h.drawn = 0, false
	}
}

// cutOff tells whether this sender's part of the fleet has surely no owner for a destination, and all have seen so.
func (t *Table) cutOff(now int64, p *place) bool { return p.unled > 0 && now-p.unled >= t.t.cutSeen() }

// rate at which the bucket of a destination fills.
func (t *Table) rate(now int64, p *place) float64 {
	switch p.hold.phase {
	case leased:
		return p.hold.rate
	case doubting:
		even := p.limit.perSec / float64(max(1, len(t.listed)))
		if t.cutOff(now, p) && 1-t.missing > wholeFrom {
			return even
		}
		return doubtShare * even
	default:
		return 0
	}
}

// earn fills the bucket up to now.
func (h *holding) earn(now int64, rate float64) {
	if now > h.levelAt {
		h.level = math.Min(depthOf(rate), h.level+rate*float64(now-h.levelAt)/1e6)
		h.levelAt = now
	}
}

// ask tells the owner what this sender needs, when it is due: at every renewal while there is a need, sooner when the need has changed.
func (t *Table) ask(now int64, p *place) {
	h := &p.hold
	if h.given > h.done && p.waiting == 0 {
		h.done = h.given // not needed: given back
	}
	if !t.askDue(now, p) {
		return
	}
	if h.unanswered == 0 || now-h.askedAt > 2*t.t.doubtAfter() { // a row of asks long ago says nothing of the links now
		h.unanswered, h.asks = now, 0
	}
	to := t.askWhom(now, p)
	h.asks++
	h.askedAt = now
	h.told = report{p.need, p.waiting, h.done, h.told.limit}
	m := Msg{Kind: Ask, Life: t.life, Stamp: now, Term: h.term, Seat: h.seat, Serial: h.serial, Need: milli(p.need),
		Waiting: uint64(p.waiting), Count: h.done, Doubt: h.phase == doubting, Refused: h.refused > h.answered}
	if h.told.limit != p.limit || h.asks > 1 || h.phase != leased { // told when new, and until an owner answers
		t.withLimit(now, p, &m)
	}
	h.told.limit = p.limit
	for _, name := range to {
		if name == t.self {
			t.asked(now, p, name, m)
		} else {
			t.send(name, "ask ", p, m)
		}
	}
}

func (t *Table) askDue(now int64, p *place) bool {
	h := &p.hold
	if p.limit.perSec == 0 || now-h.askedAt < askGap && h.askedAt > 0 {
		return false
	}
	needs := p.waiting > 0 || p.need >= quantum
	if h.phase == leased {
		if !needs && (h.rate > 0 || h.done != h.told.done) {
			return true // give back
		}
		if !needs && h.answered < h.askedAt && now-h.askedAt >= t.t.Renew/2 {
			return true // what was given back may not have come
		}
		short := p.waiting > int(h.given-h.done) && h.rate < quantum
		if short && p.waiting > h.told.waiting || h.done != h.told.done && now-h.askedAt >= 2*askGap {
			return true
		}
		if needs && (p.need > 1.5*h.told.need+1 || h.told.waiting == 0 && h.rate == 0) {
			return true
		}
	}
	return needs && (h.askedAt == 0 || h.phase == asking && h.unanswered == 0 || now-h.askedAt >= t.t.Renew)
}

// askWhom names the owner where it is known. While none answers it goes from elector to elector, past those that the view misses, and now
// and then to all of them, so that they know at one time that an owner is wanted.
func (t *Table) askWhom(now int64, p *place) []string {
	h := &p.hold
	switch {
	case p.seat.phase == granting:
		h.owner = t.self
	case h.owner == t.self || h.asks >= 2:
		h.owner = ""
	}
	if h.owner == "" && h.asks < 2 && p.vote.until > now && p.vote.to != t.self {
		h.owner = p.vote.to
	}
	if h.owner != "" {
		return []string{h.owner}
	}
	if h.asks%askAll == 2 {
		return p.electors
	}
	for range p.electors {
		e := p.electors[h.try%len(p.electors)]
		h.try++
		if m, ok := t.view.Member(e); !ok || m.State == members.Alive || m.State == members.Doubted {
			return []string{e}
		}
	}
	return nil
}

func (t *Table) withLimit(now int64, p *place, m *Msg) {
	if p.limit.perSec > 0 {
		m.Limit, m.How, m.Age = milli(p.limit.perSec), p.limit.how, max(0, now-p.limit.at)
	}
}

// granted takes in a lease. It runs from this sender's own ask, by this sender's own clock; an answer to an earlier life, to an ask not
// yet made or to one already too old counts for nothing, and an older grant never takes the place of a newer one.
func (t *Table) granted(now int64, p *place, from string, m Msg) {
	h := &p.hold
	until := m.Stamp + t.t.short(t.t.Lease)
	if m.Life != t.life || m.Stamp > now || m.Stamp < t.born || until <= now {
		return
	}
	if m.Term < h.term && h.until > now || m.Term == h.term && m.Seat < h.seat ||
		m.Term == h.term && m.Seat == h.seat && m.Serial <= h.serial {
		return
	}
	h.earn(now, t.rate(now, p))
	if m.Term != h.term || m.Seat != h.seat {
		h.given, h.done, h.told.done, h.until = 0, 0, 0, 0
	}
	h.owner, h.term, h.seat, h.serial = from, m.Term, m.Seat, m.Serial
	h.rate, h.given, h.until = unit(m.Rate), max(h.given, m.Count), max(h.until, until)
	h.unanswered, h.asks, h.answered = 0, 0, max(h.answered, m.Stamp)
	t.move(now, p)
	h.level = math.Min(h.level, depthOf(h.rate))
}

func (t *Table) redirected(now int64, p *place, from string, m Msg) {
	h := &p.hold
	if m.Life != t.life || m.Owner == "" || m.Owner == t.self || h.phase == leased || m.Owner == from {
		return
	}
	if h.owner != m.Owner {
		h.owner, h.asks, h.askedAt = m.Owner, 0, min(h.askedAt, now-t.t.Renew)
	}
}
