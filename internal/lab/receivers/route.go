package receivers

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Counting says how a limit counts.
type Counting string

// The ways to count.
const (
	Unlimited Counting = "none"
	PlainRate Counting = "rate"    // a bucket that fills evenly
	PerSpan   Counting = "span"    // so many in each span, all spans beginning together
	Sliding   Counting = "sliding" // so many in the span before now
)

// Limit is what a route takes from all senders together.
type Limit struct {
	Counting     Counting
	Rate         float64 // calls a second
	Depth        float64 // seconds of the rate that may come at once; plain rates only
	Span         int64   // µs
	RefusedCount bool    // refused calls use the limit up too
	TellsWait    float64 // share of refusals that tell how long to wait
	WaitStep     int64   // µs; told waits are rounded up to whole ones of these, 0 for no rounding
}

// Check tells what is wrong with a limit.
func (l Limit) Check() error {
	switch l.Counting {
	case Unlimited:
		return nil
	case PlainRate, PerSpan, Sliding:
	default:
		return fmt.Errorf("no counting %q: none, rate, span, sliding", l.Counting)
	}
	if l.Rate <= 0 {
		return fmt.Errorf("counting %q needs a rate above 0", l.Counting)
	}
	if l.Counting != PlainRate && l.Span <= 0 {
		return fmt.Errorf("counting %q needs a span above 0", l.Counting)
	}
	return nil
}

// Guard is when a route that is back from an outage falls over.
type Guard struct {
	Overload float64 // times what it can do then
	Within   int64   // µs for which it is sent so much
}

// slack that the guard leaves for chance, in standard deviations of an even stream of calls.
const slack = 3

// extra is what each further message of a call weighs for the guard, in calls.
const extra = 0.25

// Route is what shares one limit, one shutting and one guard: a destination, or a receiver where they are apart.
type Route struct {
	Number    int
	Dst       int64
	Coming    int                              // calls on their way to it; kept by the network
	Fell      func(rt *Route, knowing float64) // a cold route fell over; the share of the load from senders that knew
	limit     Limit
	guard     Guard
	receivers []*Receiver

	tokens    float64
	filledAt  int64
	spanAt    int64
	inSpan    float64
	times     []int64 // a circle of the latest calls taken, for sliding counts
	timesHead int

	shut      int     // times that it is shut
	opensAt   int64   // when the latest shutting ends
	cut       float64 // what is left of the limit
	level     float64 // calls on cold receivers that weigh still
	knowing   float64 // those of them from senders that knew
	levelAt   int64
	ills      int
	saw       map[int]bool // senders that saw the outage; emptied as the next begins
	outageEnd int64
}

// NewRoute starts a route.
func NewRoute(number int, dst int64, limit Limit, guard Guard) *Route {
	rt := &Route{Number: number, Dst: dst, limit: limit, guard: guard, cut: 1, saw: map[int]bool{}}
	if limit.Counting == Sliding {
		rt.times = make([]int64, max(1, int(limit.Rate*float64(limit.Span)/1e6)))
	}
	rt.tokens = rt.depth()
	return rt
}

// Receivers are those of the route.
func (rt *Route) Receivers() []*Receiver { return rt.receivers }

// Ill tells whether any receiver of it is in an outage.
func (rt *Route) Ill() bool { return rt.ills > 0 }

// IllSince tells whether there has been an outage at any time since then.
func (rt *Route) IllSince(at int64) bool {
	return rt.ills > 0 || rt.outageEnd >= at && rt.outageEnd > 0
}

// Noticed says that a sender has learned of a call or probe that failed or was refused in the outage.
func (rt *Route) Noticed(sender int) { rt.saw[sender] = true }

// Rate is its limit now, in calls a second; infinite where it has none.
func (rt *Route) Rate() float64 {
	if rt.limit.Counting == Unlimited {
		return math.Inf(1)
	}
	return rt.limit.Rate * rt.cut
}

// Capacity is the messages a second it takes from all senders when warm.
func (rt *Route) Capacity() float64 {
	sum := 0.0
	for _, r := range rt.receivers {
		sum += r.Capacity()
	}
	if rt.limit.Counting != Unlimited {
		sum = min(sum, rt.limit.Rate)
	}
	return sum
}

// Spare is how many calls would pass the limit now, without counting any; for those that see the true state.
func (rt *Route) Spare(now int64) float64 {
	if rt.shut > 0 {
		return 0
	}
	switch rt.limit.Counting {
	case PlainRate:
		rt.fill(now)
		return math.Floor(rt.tokens)
	case PerSpan:
		rt.span(now)
		return rt.perSpan() - rt.inSpan
	case Sliding:
		free := 0
		for i := range rt.times {
			if at := rt.times[(rt.timesHead+i)%len(rt.times)]; at != 0 && at > now-rt.limit.Span {
				break
			}
			free++
		}
		return float64(free)
	}
	return math.Inf(1)
}

// ColdRoom is how many calls may come now before the guard is met; infinite where nothing is cold.
func (rt *Route) ColdRoom(now int64) float64 {
	can := rt.coldCapacity(now)
	if can == 0 {
		return math.Inf(1)
	}
	rt.leak(now, can)
	return rt.guard.Overload*can*float64(rt.guard.Within)/1e6 - rt.level
}

func (rt *Route) depth() float64 { return max(1, rt.Rate()*rt.limit.Depth) }

func (rt *Route) fill(now int64) {
	if rt.filledAt == 0 {
		rt.filledAt = now
	}
	rt.tokens = min(rt.depth(), rt.tokens+rt.Rate()*float64(now-rt.filledAt)/1e6)
	rt.filledAt = now
}

func (rt *Route) perSpan() float64 { return max(1, math.Floor(rt.Rate()*float64(rt.limit.Span)/1e6)) }

func (rt *Route) span(now int64) {
	if at := now - now%rt.limit.Span; at != rt.spanAt {
		rt.spanAt, rt.inSpan = at, 0
	}
}

// admit passes a call through the limit. A refused one may be told a wait, at whose end there is room again.
func (rt *Route) admit(now int64, chance *rand.Rand) (wait int64, taken bool) {
	if rt.shut > 0 {
		wait = rt.opensAt - now
	} else if wait = rt.count(now); wait == 0 {
		return 0, true
	}
	if rt.limit.TellsWait < 1 && chance.Float64() >= rt.limit.TellsWait {
		return 0, false
	}
	if step := rt.limit.WaitStep; step > 0 {
		wait = (wait + step - 1) / step * step
	}
	return max(1, wait), false
}

// count takes a call into the limit, or gives the time until there is room.
func (rt *Route) count(now int64) (wait int64) {
	switch rt.limit.Counting {
	case PlainRate:
		rt.fill(now)
		if rt.tokens >= 1 {
			rt.tokens--
			return 0
		}
		if rt.limit.RefusedCount {
			rt.tokens = max(rt.tokens-1, -rt.depth())
		}
		return max(1, int64((1-rt.tokens)/rt.Rate()*1e6))
	case PerSpan:
		rt.span(now)
		if rt.inSpan < rt.perSpan() {
			rt.inSpan++
			return 0
		}
		return rt.spanAt + rt.limit.Span - now
	case Sliding:
		free := rt.times[rt.timesHead] + rt.limit.Span
		if rt.times[rt.timesHead] == 0 || free <= now {
			rt.times[rt.timesHead] = now
			rt.timesHead = (rt.timesHead + 1) % len(rt.times)
			return 0
		}
		return free - now
	}
	return 0
}

// load reports the limit as it stands.
func (rt *Route) load(now int64) Load {
	switch rt.limit.Counting {
	case PlainRate:
		rt.fill(now)
		return Load{Told: true, ShareLeft: max(0, rt.tokens/rt.depth()), Limit: rt.Rate()}
	case PerSpan:
		rt.span(now)
		return Load{Told: true, ShareLeft: 1 - rt.inSpan/rt.perSpan(), Limit: rt.Rate()}
	}
	return Load{}
}

// coldCapacity is what the receivers that are back and not yet warm can do now, in calls a second.
func (rt *Route) coldCapacity(now int64) float64 {
	sum, share := 0.0, 0.0
	for _, r := range rt.receivers {
		if s := r.share(now); s < 1 && !r.ill {
			sum += r.Capacity() * s
			share += s
		}
	}
	if sum > 0 && rt.limit.Counting != Unlimited {
		sum = min(sum, rt.limit.Rate*share/float64(len(rt.receivers)))
	}
	return sum
}

func (rt *Route) leak(now int64, can float64) {
	gone := rt.guard.Overload * can * float64(now-rt.levelAt) / 1e6
	rt.levelAt = now
	if rt.level <= gone {
		rt.level, rt.knowing = 0, 0
		return
	}
	rt.knowing *= 1 - gone/rt.level
	rt.level -= gone
}

// weigh counts a call on a cold receiver, and lets what is pushed past the guard fall over.
func (rt *Route) weigh(now int64, r *Receiver, c *Call) {
	if rt.guard.Overload <= 0 || r.ill || r.share(now) >= 1 {
		return
	}
	can := rt.coldCapacity(now)
	rt.leak(now, can)
	w := 1 + extra*float64(max(0, c.Messages-1))
	rt.level += w
	if rt.saw[c.Sender] {
		rt.knowing += w
	}
	bears := rt.guard.Overload * can * float64(rt.guard.Within) / 1e6
	if rt.level <= bears+slack*math.Sqrt(bears)+1 {
		return
	}
	share := rt.knowing / rt.level
	rt.level, rt.knowing = 0, 0
	for _, o := range rt.receivers {
		if !o.ill && o.share(now) < 1 {
			o.Strike(&Effect{Kind: Fallen})
		}
	}
	if rt.Fell != nil {
		rt.Fell(rt, share)
	}
}
