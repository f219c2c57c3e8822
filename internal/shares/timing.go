package shares

import "math"

// Constants of the module, each with its reason.
const (
	electorsMost = 5          // who may vote on the owner of a destination: two may be down, and the owner's renewals stay cheap at 1,000 senders
	quantum      = 8.0        // calls a second: a standing rate below it would let many senders save up one call each; they get single calls instead
	ahead        = 0.5        // s of the limit that may be out as single calls not yet told spent: a round trip, a turn, a letter lost
	saved        = 0.2        // s of the limit that an owner saves up while nobody asks
	aheadLeast   = 2.0        // calls of that at least, so that small limits are not served one round trip at a time
	keepRate     = 0.75       // of the quantum: a standing rate stays until its need is below that
	depthTime    = 0.05       // s of its rate that a lease may save up, beyond one call
	thinMost     = 0.25       // of the limit goes first to senders that need less than a standing rate: a backlog elsewhere starves none of them
	drainTime    = 1.0        // s within which what waits should go: turns a backlog into a rate
	headroom     = 1.25       // a lease's rate over its need, while the limit has room
	turnMost     = 4          // single calls given in one turn at most, then the next sender's turn comes
	doubtShare   = 0.5        // of an even share: for senders that no owner answers; new owners and views of a cut keep it back
	askGap       = 50_000     // µs between two asks for one destination at least
	refusedCut   = 0.8        // of the budget while a refusal is news: what is out of step with a destination's own count has to be paid back
	refusedFor   = 1_000_000  // µs from a refusal until the budget is whole again, and between two cuts
	wholeFrom    = 1.0 / 3    // of the fleet: a larger part that is cut from the electors' majority gets whole even shares, not half
	askAll       = 8          // unanswered asks of which one goes to all electors
	forgetAfter  = 60_000_000 // µs without need, lease or ask until a destination is forgotten
	placesMost   = 4096       // destinations in the table
	nameMost     = 256        // bytes of a destination's or a member's name
	limitMost    = 1e7        // calls a second; a greater limit is no limit
	floorDesign  = 3.0        // repeats a second a destination, as the design has it for one sender
	floorLeast   = 0.1        // repeats a second: one in the 10 s for which the design's credits live
)

// Timing holds the times of the module, in µs.
type Timing struct {
	Lease  int64 // how long a lease runs from when it was asked for
	Vote   int64 // how long an elector's promise to an owner runs from when it was asked for
	Renew  int64 // between two askings for the same lease or promise
	Detect int64 // within which the view doubts a member that is cut off
	Drift  int64 // parts of a million by which any clock may run fast or slow
}

// Usual gives the times for links within one place (round trips up to a quarter of a second).
func Usual() Timing {
	return Timing{Lease: 2_000_000, Vote: 1_500_000, Renew: 500_000, Detect: 3_000_000, Drift: 500}
}

// short is a time as the one counts it that has to be done first: two clocks, each off by the drift, one fast and one slow.
func (t Timing) short(d int64) int64 { return d - d*2*t.Drift/1_000_000 }

// long is a time as the one counts it that has to outwait the other.
func (t Timing) long(d int64) int64 { return d + d*2*t.Drift/1_000_000 }

// doubtAfter is how long asks stay unanswered until a sender goes on with its doubt share: two asks and their answers.
func (t Timing) doubtAfter() int64 { return 2 * t.Renew }

// stagger is the time that each elector leaves the one before it to stand for owner: two askings of the electors and their answers.
func (t Timing) stagger() int64 { return t.Renew }

// ahead of a limit: single calls that may be out.
func aheadOf(limit float64) float64 { return max(aheadLeast, ahead*limit) }

// savedOf a limit: single calls that an owner keeps ready.
func savedOf(limit float64) float64 { return max(aheadLeast, saved*limit) }

// cutSeen is how long after a sender's view of a cut the views of all others have it, and leases given before have ended.
func (t Timing) cutSeen() int64 { return t.long(t.Detect + t.Lease) }

// depthOf is what a lease of a rate may save up, in calls.
func depthOf(rate float64) float64 { return 1 + rate*depthTime }

// Burst is what may come on top of the limit in any window, in calls, while every sender that needs a share hears an owner: single calls
// out, one call of each standing lease (of which there are at most limit/(quantum x keepRate)) and what leases save up.
func Burst(limit float64) float64 {
	return aheadOf(limit) + math.Floor(limit/(quantum*keepRate)) + limit*depthTime
}
