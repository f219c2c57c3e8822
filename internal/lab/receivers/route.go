package receivers

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Algorithm is the algorithm of a rate limit.
type Algorithm string

// The algorithms. The values are those of scenario files.
const (
	Unlimited     Algorithm = "none"
	TokenBucket   Algorithm = "rate"    // refilled continuously
	FixedWindow   Algorithm = "span"    // a quota of Rate*Window calls in each window; windows of all routes start together
	SlidingWindow Algorithm = "sliding" // the same quota in the window that ends now
)

// Limit is a route's rate limit, shared by all senders.
type Limit struct {
	Algorithm       Algorithm
	Rate            float64 // calls a second
	Burst           float64 // size of the token bucket, in seconds of the rate
	Window          int64   // µs; of the window algorithms
	CountsRefused   bool    // refused calls use up tokens too
	RetryAfterShare float64 // share of refusals that carry a retry-after
	RetryAfterStep  int64   // µs; retry-after is rounded up to a multiple of it, 0 for no rounding
}

// Check returns an error if the limit is invalid.
func (l Limit) Check() error {
	switch l.Algorithm {
	case Unlimited:
		return nil
	case TokenBucket, FixedWindow, SlidingWindow:
	default:
		return fmt.Errorf("no counting %q: none, rate, span, sliding", l.Algorithm)
	}
	if l.Rate <= 0 {
		return fmt.Errorf("counting %q needs a rate above 0", l.Algorithm)
	}
	if l.Algorithm != TokenBucket && l.Window <= 0 {
		return fmt.Errorf("counting %q needs a span above 0", l.Algorithm)
	}
	return nil
}

// CollapseThreshold is the load at which a route that is warming up after an outage collapses.
type CollapseThreshold struct {
	OverloadFactor float64 // as a multiple of the current capacity of its cold receivers
	OverloadTime   int64   // µs for which it bears that load
}

// collapseSlack is added to the threshold for random variation, in standard deviations of a Poisson stream of calls.
const collapseSlack = 3

// extraMessageWeight is the load of each further message of a call, in calls.
const extraMessageWeight = 0.25

// Route is the unit that has one rate limit and one collapse threshold, and that refuses all calls as one: a destination,
// or a single receiver where the destination's kind has limits per receiver.
type Route struct {
	Number     int
	Dst        int64
	InTransit  int                                    // calls on the way to it; maintained by the network
	OnCollapse func(rt *Route, informedShare float64) // called on a collapse, with the share of the load from informed senders
	limit      Limit
	collapse   CollapseThreshold
	receivers  []*Receiver

	tokens       float64
	refilledAt   int64
	windowStart  int64
	inWindow     float64
	admittedAt   []int64 // ring buffer of the latest admitted calls' times, for SlidingWindow
	admittedHead int

	refusing     int     // active RefuseAll faults
	refusesUntil int64   // latest planned end of a RefuseAll fault
	limitShare   float64 // factor of all active ReduceLimit faults
	coldLoad     float64 // recent load on cold receivers, in calls: a leaky bucket
	informedLoad float64 // the part of coldLoad from informed senders
	coldLoadAt   int64
	outages      int          // receivers in an outage
	informed     map[int]bool // senders that saw a call or probe fail in the outage; cleared when the next outage begins
	outageEnd    int64
}

// NewRoute returns a route without receivers; New adds them.
func NewRoute(number int, dst int64, limit Limit, collapse CollapseThreshold) *Route {
	rt := &Route{Number: number, Dst: dst, limit: limit, collapse: collapse, limitShare: 1, informed: map[int]bool{}}
	if limit.Algorithm == SlidingWindow {
		rt.admittedAt = make([]int64, max(1, int(limit.Rate*float64(limit.Window)/1e6)))
	}
	rt.tokens = rt.burst()
	return rt
}

// Receivers returns the receivers of the route.
func (rt *Route) Receivers() []*Receiver { return rt.receivers }

// InOutage reports whether any receiver of the route is in an outage.
func (rt *Route) InOutage() bool { return rt.outages > 0 }

// OutageSince reports whether there was an outage at any time from start until now.
func (rt *Route) OutageSince(start int64) bool {
	return rt.outages > 0 || rt.outageEnd >= start && rt.outageEnd > 0
}

// SawOutage records that a call or probe of a sender failed or was refused in the outage: from now on the sender is informed.
func (rt *Route) SawOutage(sender int) { rt.informed[sender] = true }

// Rate returns the current rate limit in calls per second, or infinity if there is none.
func (rt *Route) Rate() float64 {
	if rt.limit.Algorithm == Unlimited {
		return math.Inf(1)
	}
	return rt.limit.Rate * rt.limitShare
}

// Capacity returns the messages per second that the warm route accepts from all senders together.
func (rt *Route) Capacity() float64 {
	sum := 0.0
	for _, r := range rt.receivers {
		sum += r.Capacity()
	}
	if rt.limit.Algorithm != Unlimited {
		sum = min(sum, rt.limit.Rate)
	}
	return sum
}

// LimitHeadroom returns how many calls the rate limit would admit now. Real senders cannot see it; policy.Oracle does.
func (rt *Route) LimitHeadroom(now int64) float64 {
	if rt.refusing > 0 {
		return 0
	}
	switch rt.limit.Algorithm {
	case TokenBucket:
		rt.refill(now)
		return math.Floor(rt.tokens)
	case FixedWindow:
		rt.advanceWindow(now)
		return rt.quota() - rt.inWindow
	case SlidingWindow:
		free := 0
		for i := range rt.admittedAt {
			if at := rt.admittedAt[(rt.admittedHead+i)%len(rt.admittedAt)]; at != 0 && at > now-rt.limit.Window {
				break
			}
			free++
		}
		return float64(free)
	}
	return math.Inf(1)
}

// ColdHeadroom returns how many more calls the cold receivers bear now, or infinity if none is cold.
func (rt *Route) ColdHeadroom(now int64) float64 {
	capacity := rt.coldCapacity(now)
	if capacity == 0 {
		return math.Inf(1)
	}
	rt.drainColdLoad(now, capacity)
	return rt.collapse.OverloadFactor*capacity*float64(rt.collapse.OverloadTime)/1e6 - rt.coldLoad
}

func (rt *Route) burst() float64 { return max(1, rt.Rate()*rt.limit.Burst) }

func (rt *Route) refill(now int64) {
	if rt.refilledAt == 0 {
		rt.refilledAt = now
	}
	rt.tokens = min(rt.burst(), rt.tokens+rt.Rate()*float64(now-rt.refilledAt)/1e6)
	rt.refilledAt = now
}

func (rt *Route) quota() float64 { return max(1, math.Floor(rt.Rate()*float64(rt.limit.Window)/1e6)) }

func (rt *Route) advanceWindow(now int64) {
	if at := now - now%rt.limit.Window; at != rt.windowStart {
		rt.windowStart, rt.inWindow = at, 0
	}
}

// admit applies the rate limit to a call. A refused call may get a retry-after, the time until there is room again.
func (rt *Route) admit(now int64, rng *rand.Rand) (retryAfter int64, admitted bool) {
	if rt.refusing > 0 {
		retryAfter = rt.refusesUntil - now
	} else if retryAfter = rt.take(now); retryAfter == 0 {
		return 0, true
	}
	if rt.limit.RetryAfterShare < 1 && rng.Float64() >= rt.limit.RetryAfterShare {
		return 0, false
	}
	if step := rt.limit.RetryAfterStep; step > 0 {
		retryAfter = (retryAfter + step - 1) / step * step
	}
	return max(1, retryAfter), false
}

// take counts a call against the limit and returns 0, or returns the time until there is room.
func (rt *Route) take(now int64) (retryAfter int64) {
	switch rt.limit.Algorithm {
	case TokenBucket:
		rt.refill(now)
		if rt.tokens >= 1 {
			rt.tokens--
			return 0
		}
		if rt.limit.CountsRefused {
			rt.tokens = max(rt.tokens-1, -rt.burst())
		}
		return max(1, int64((1-rt.tokens)/rt.Rate()*1e6))
	case FixedWindow:
		rt.advanceWindow(now)
		if rt.inWindow < rt.quota() {
			rt.inWindow++
			return 0
		}
		return rt.windowStart + rt.limit.Window - now
	case SlidingWindow:
		freeAt := rt.admittedAt[rt.admittedHead] + rt.limit.Window
		if rt.admittedAt[rt.admittedHead] == 0 || freeAt <= now {
			rt.admittedAt[rt.admittedHead] = now
			rt.admittedHead = (rt.admittedHead + 1) % len(rt.admittedAt)
			return 0
		}
		return freeAt - now
	}
	return 0
}

// limitReport returns the current state of the limit; it is unknown for a sliding window and where there is no limit.
func (rt *Route) limitReport(now int64) LimitReport {
	switch rt.limit.Algorithm {
	case TokenBucket:
		rt.refill(now)
		return LimitReport{Known: true, RemainingShare: max(0, rt.tokens/rt.burst()), LimitPerSec: rt.Rate()}
	case FixedWindow:
		rt.advanceWindow(now)
		return LimitReport{Known: true, RemainingShare: 1 - rt.inWindow/rt.quota(), LimitPerSec: rt.Rate()}
	}
	return LimitReport{}
}

// coldCapacity returns the current capacity of the receivers that are warming up, in calls per second.
func (rt *Route) coldCapacity(now int64) float64 {
	sum, share := 0.0, 0.0
	for _, r := range rt.receivers {
		if s := r.capacityShare(now); s < 1 && !r.inOutage {
			sum += r.Capacity() * s
			share += s
		}
	}
	if sum > 0 && rt.limit.Algorithm != Unlimited {
		sum = min(sum, rt.limit.Rate*share/float64(len(rt.receivers)))
	}
	return sum
}

func (rt *Route) drainColdLoad(now int64, capacity float64) {
	drained := rt.collapse.OverloadFactor * capacity * float64(now-rt.coldLoadAt) / 1e6
	rt.coldLoadAt = now
	if rt.coldLoad <= drained {
		rt.coldLoad, rt.informedLoad = 0, 0
		return
	}
	rt.informedLoad *= 1 - drained/rt.coldLoad
	rt.coldLoad -= drained
}

// addColdLoad adds a call to the load on cold receivers and makes them collapse if that exceeds the threshold.
func (rt *Route) addColdLoad(now int64, r *Receiver, c *Call) {
	if rt.collapse.OverloadFactor <= 0 || r.inOutage || r.capacityShare(now) >= 1 {
		return
	}
	capacity := rt.coldCapacity(now)
	rt.drainColdLoad(now, capacity)
	w := 1 + extraMessageWeight*float64(max(0, c.Messages-1))
	rt.coldLoad += w
	if rt.informed[c.Sender] {
		rt.informedLoad += w
	}
	threshold := rt.collapse.OverloadFactor * capacity * float64(rt.collapse.OverloadTime) / 1e6
	if rt.coldLoad <= threshold+collapseSlack*math.Sqrt(threshold)+1 {
		return
	}
	informedShare := rt.informedLoad / rt.coldLoad
	rt.coldLoad, rt.informedLoad = 0, 0
	for _, o := range rt.receivers {
		if !o.inOutage && o.capacityShare(now) < 1 {
			o.AddFault(&Fault{Kind: Collapsed})
		}
	}
	if rt.OnCollapse != nil {
		rt.OnCollapse(rt, informedShare)
	}
}
