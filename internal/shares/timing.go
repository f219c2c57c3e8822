package shares

import "math"

// The constants of the protocol, each with its reason.
const (
	maxVoters        = 5          // two may be down, and the owner's renewals stay cheap at 1,000 senders
	minRate          = 8.0        // calls/s: lower standing rates would let many senders each save up a call; they get single calls instead
	outstandingTime  = 0.5        // s of the limit that may be outstanding as single calls: covers a round trip, a turn and a lost message
	savedTime        = 0.2        // s of the limit that an owner saves up while there are no requests
	minOutstanding   = 2.0        // calls, at least, so that small limits are not served one round trip at a time
	keepFraction     = 0.75       // of minRate: an existing standing rate stays until the target falls below that
	burstTime        = 0.05       // s of its rate that a lease may save up, beyond one call
	maxSmallShare    = 0.25       // of the limit goes first to senders below a standing rate, so that a backlog elsewhere does not starve them
	drainTime        = 1.0        // s within which waiting messages should be sent: converts a backlog into a rate
	headroom         = 1.25       // ratio of a lease's rate to the demand, while the limit has room
	maxCallsPerTurn  = 4          // single calls granted in one turn at most, before the next sender's turn
	fallbackShare    = 0.5        // of an even share, for senders that no owner answers; reserved by new owners and when the view shows a partition
	minRequestGap    = 50_000     // µs, at least, between two requests for one destination
	refusalFactor    = 0.8        // of the budget after a refusal: calls beyond the destination's own count have to be made up for
	refusalPeriod    = 1_000_000  // µs after a refusal until the full budget is restored, and between two reductions
	fullShareFrom    = 1.0 / 3    // of the fleet: a larger part that is partitioned from the voters' majority gets full even shares, not half
	broadcastEvery   = 8          // one in this many unanswered requests goes to all voters
	idleTimeout      = 60_000_000 // µs without demand, lease or request until a destination is evicted
	maxDestinations  = 4096       // in the table
	maxNameLen       = 256        // bytes of a destination's or a member's name
	maxLimit         = 1e7        // calls/s; a greater limit counts as none
	designRetryFloor = 3.0        // retries/s per destination, as designed for one sender
	minRetryFloor    = 0.1        // retries/s: one in the 10 s for which the design's credits live
)

// Timing holds the protocol's durations, in µs.
type Timing struct {
	Lease  int64 // how long a lease runs, from the request
	Vote   int64 // how long a vote for an owner runs, from the request
	Renew  int64 // interval between requests for the same lease or vote
	Detect int64 // within which the view suspects a partitioned member
	Drift  int64 // parts per million by which any clock may run fast or slow
}

// DefaultTiming returns the timing for links within one site (round trips up to a quarter of a second).
func DefaultTiming() Timing {
	return Timing{Lease: 2_000_000, Vote: 1_500_000, Renew: 500_000, Detect: 3_000_000, Drift: 500}
}

// minusDrift shortens a duration for the party that must finish first: its clock may be slow and the other's fast, each by the drift.
func (t Timing) minusDrift(d int64) int64 { return d - d*2*t.Drift/1_000_000 }

// plusDrift lengthens a duration for the party that must wait until the other has finished.
func (t Timing) plusDrift(d int64) int64 { return d + d*2*t.Drift/1_000_000 }

// fallbackAfter is how long requests stay unanswered before a sender uses its fallback share: two requests and their answers.
func (t Timing) fallbackAfter() int64 { return 2 * t.Renew }

// stagger is the time that each voter leaves the one ahead of it to become owner: two vote requests and their answers.
func (t Timing) stagger() int64 { return t.Renew }

// maxOutstanding is the number of single calls of a limit that may be outstanding.
func maxOutstanding(limit float64) float64 { return max(minOutstanding, outstandingTime*limit) }

// maxSaved is the number of single calls of a limit that an owner may save up.
func maxSaved(limit float64) float64 { return max(minOutstanding, savedTime*limit) }

// partitionDelay is the time from a sender's view showing a partition until all views show it and earlier leases have expired.
func (t Timing) partitionDelay() int64 { return t.plusDrift(t.Detect + t.Lease) }

// bucketDepth is the number of calls that a lease with the given rate may save up.
func bucketDepth(rate float64) float64 { return 1 + rate*burstTime }

// Burst is the maximum number of calls above the limit in any window, while every sender with demand hears from an owner: outstanding
// single calls, one call of each standing lease (at most limit/(minRate*keepFraction) of them) and what leases save up.
func Burst(limit float64) float64 {
	return maxOutstanding(limit) + math.Floor(limit/(minRate*keepFraction)) + limit*burstTime
}
