package shares

// Event is a condition of the fleet for which the deviation of the total call rate from the limit is bounded.
type Event uint8

// The events of docs/limits.md.
const (
	NoFault Event = iota
	SlowLinks
	PartitionOneWay
	PartitionBothWays
	EvenSplit
	OwnerKilled
	OwnerPaused
	MemberJoins
	MemberDies
	LimitLowered
	LimitRaised
	NoOwner // a majority of a destination's voters is down or partitioned from each other
)

func (e Event) String() string {
	return [...]string{"calm", "link slow", "cut one way", "cut both ways", "halves of equal size", "owner killed", "owner paused and back",
		"member joins", "member dies", "limit lowered", "limit raised", "no owner"}[e]
}

// Case is an event with its parameters.
type Case struct {
	Event              Event
	LostFraction       float64 // fraction of the listed fleet that is partitioned or dead
	OldLimit, NewLimit float64 // before and after a change of the limit
	RoundTrip          int64   // µs, for slow links
}

// Bound is the maximum deviation of the total over all senders during an event, as a fraction of the limit. Over any window, Burst and the
// limit itself come on top.
type Bound struct {
	Excess    float64
	ExcessFor int64 // µs; Always means for as long as the event lasts
	Unused    float64
	UnusedFor int64
}

// Always is a duration that lasts as long as the event.
const Always = int64(-1)

// Bound returns the bound of a case. docs/limits.md has the reasoning.
func (t Timing) Bound(c Case) Bound {
	// Time until another owner grants: votes for the last owner expire, each voter has its staggered turn, leases of the last owner expire,
	// and senders repeat their requests.
	takeover := t.plusDrift(t.Vote) + maxVoters*t.stagger() + t.plusDrift(t.Lease) + 4*t.Renew
	untilFallback := t.plusDrift(t.Lease) + t.fallbackAfter() + t.Renew
	switch c.Event {
	case SlowLinks:
		return t.slowLinks(c.RoundTrip)
	case PartitionOneWay: // the view may not show it, so the owner reserves nothing
		return Bound{fallbackShare * c.LostFraction, Always, c.LostFraction, untilFallback}
	case PartitionBothWays, EvenSplit: // until the view shows it and the leases granted before have expired
		return Bound{fallbackShare * c.LostFraction, t.partitionDelay(), 1, max(takeover, t.Detect+t.partitionDelay())}
	case OwnerKilled, OwnerPaused: // fallback shares bridge the gap once the leases have expired
		return Bound{0, 0, 1, takeover}
	case MemberDies: // its lease, then the reserve for a sender that may only be partitioned
		return Bound{0, 0, c.LostFraction, Always}
	case MemberJoins:
		return Bound{}
	case LimitLowered:
		if c.NewLimit <= 0 || c.NewLimit >= c.OldLimit {
			return Bound{}
		}
		return Bound{c.OldLimit/c.NewLimit - 1, t.plusDrift(t.Lease), 0, 0}
	case LimitRaised:
		if c.NewLimit <= c.OldLimit {
			return Bound{}
		}
		return Bound{0, 0, 1 - c.OldLimit/c.NewLimit, 2 * t.Renew}
	case NoOwner:
		return Bound{0, 0, 1 - fallbackShare, Always}
	}
	return Bound{}
}

// slowLinks returns the bound on slow links. Outstanding single calls are limited to what covers a short round trip, and a lease has
// expired on arrival when the round trip takes as long as the lease.
func (t Timing) slowLinks(roundTrip int64) Bound {
	if roundTrip >= t.minusDrift(t.Lease) {
		return Bound{0, 0, 1, Always}
	}
	cycle := float64(roundTrip+2*minRequestGap) / 1e6
	return Bound{0, 0, max(0, 1-outstandingTime/cycle), Always}
}

// StarvationBound returns the time in µs within which a sender that waits for one call gets it, while it hears from an owner and the given
// number of senders wait. The terms are one turn for each other sender, out of the part of the limit that serves small demands first (at
// least one call per second), the outstanding calls, and the time to revoke standing rates. limit is in calls per second.
func (t Timing) StarvationBound(limit float64, waiting int) int64 {
	calls := float64(waiting*maxCallsPerTurn) + maxOutstanding(limit)
	return int64(calls/(maxSmallShare*limit)*1e6) + drainTime*1_000_000 + 2*t.Renew
}
