package shares

// Event is something that happens to a fleet, for which the sum of what its senders may call is bounded.
type Event uint8

// The events of docs/limits.md.
const (
	Calm Event = iota
	LinkSlow
	CutOneWay
	CutBothWays
	EvenHalves
	OwnerKilled
	OwnerPaused
	MemberJoins
	MemberDies
	LimitLowered
	LimitRaised
	NoOwner // a majority of a destination's electors is down or cut apart from each other
)

func (e Event) String() string {
	return [...]string{"calm", "link slow", "cut one way", "cut both ways", "halves of equal size", "owner killed", "owner paused and back",
		"member joins", "member dies", "limit lowered", "limit raised", "no owner"}[e]
}

// Case is an event with its size.
type Case struct {
	Event     Event
	Apart     float64 // share of the listed fleet that is cut off, or dead
	Old, New  float64 // the limits, where one changes
	RoundTrip int64   // µs, where a link is slow
}

// Bound is how far the sum over all senders may be off in an event, in shares of the limit. Over any window it comes on top of the limit and
// of Burst.
type Bound struct {
	Over      float64
	OverFor   int64 // µs; Always while the event lasts
	Unused    float64
	UnusedFor int64
}

// Always stands for as long as the event lasts.
const Always = int64(-1)

// Bound gives the bound of a case. docs/limits.md has the reasons.
func (t Timing) Bound(c Case) Bound {
	// until another owner grants: the promises to the last one, a turn for each elector, what the last one granted, and asks
	take := t.long(t.Vote) + electorsMost*t.stagger() + t.long(t.Lease) + 4*t.Renew
	doubt := t.long(t.Lease) + t.doubtAfter() + t.Renew
	switch c.Event {
	case LinkSlow:
		return t.slow(c.RoundTrip)
	case CutOneWay: // the view may not see it, so the owner keeps nothing back
		return Bound{doubtShare * c.Apart, Always, c.Apart, doubt}
	case CutBothWays, EvenHalves: // until the view sees it, and the leases given before have ended
		return Bound{doubtShare * c.Apart, t.cutSeen(), 1, max(take, t.Detect+t.cutSeen())}
	case OwnerKilled, OwnerPaused: // doubt shares bridge it once the leases have ended
		return Bound{0, 0, 1, take}
	case MemberDies: // its lease, then what is kept for a sender that may only be cut off
		return Bound{0, 0, c.Apart, Always}
	case MemberJoins:
		return Bound{}
	case LimitLowered:
		if c.New <= 0 || c.New >= c.Old {
			return Bound{}
		}
		return Bound{c.Old/c.New - 1, t.long(t.Lease), 0, 0}
	case LimitRaised:
		if c.New <= c.Old {
			return Bound{}
		}
		return Bound{0, 0, 1 - c.Old/c.New, 2 * t.Renew}
	case NoOwner:
		return Bound{0, 0, 1 - doubtShare, Always}
	}
	return Bound{}
}

// slow is the bound on slow links: single calls out are limited to what covers a short round trip, and a lease is over before it comes
// when a round trip takes as long.
func (t Timing) slow(roundTrip int64) Bound {
	if roundTrip >= t.short(t.Lease) {
		return Bound{0, 0, 1, Always}
	}
	cycle := float64(roundTrip+2*askGap) / 1e6
	return Bound{0, 0, max(0, 1-ahead/cycle), Always}
}

// Starving is the time within which a sender that waits for one call gets it, while it hears an owner and so many senders wait: a turn of each
// of the others out of the part of the limit that goes to such first, at least a call a second, and what standing rates take to be called
// back. In calls a second, count and µs.
func (t Timing) Starving(limit float64, waiting int) int64 {
	calls := float64(waiting*turnMost) + aheadOf(limit)
	return int64(calls/(thinMost*limit)*1e6) + drainTime*1_000_000 + 2*t.Renew
}
