package shares

import (
	"math"
	"slices"
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenlink/internal/members"
)

// run runs a random schedule of partitions, crashes and pauses.
func (w *world) run(seconds int) {
	for i, s := range w.senders {
		s.rate = []float64{0, 0.3, 3, 30, w.limit}[w.r.IntN(5)]
		if i == 0 || w.saturated {
			s.rate = w.limit
		}
	}
	for range seconds * 1_000_000 / step {
		if w.r.IntN(200) == 0 {
			w.injectRandom()
		}
		w.step()
	}
}

func (w *world) injectRandom() {
	n := len(w.senders)
	i, j := w.r.IntN(n), w.r.IntN(n)
	switch w.r.IntN(13) {
	case 0:
		w.cut[[2]int{i, j}] = true
	case 1:
		w.cut[[2]int{i, j}], w.cut[[2]int{j, i}] = true, true
	case 2: // partition
		for a := range n {
			for b := range n {
				w.cut[[2]int{a, b}] = (a <= i) != (b <= i)
			}
		}
	case 3, 4, 9, 10:
		w.cut = map[[2]int]bool{}
	case 5:
		w.senders[i].runID++ // keeps its folder
		w.restart(i)
	case 6:
		w.senders[i].runID = uint64(w.r.IntN(3)) // loses its folder: its incarnation may be any
		w.restart(i)
	case 7:
		w.pause(i, w.r.Int64N(6_000_000))
	case 11, 12:
		w.isolateOwner(w.r.Float64() * 3)
	case 8:
		w.senders[i].rate, w.senders[i].waiting = w.r.Float64()*w.limit, 0
	}
}

// isolateOwner cuts an owner off from all members but one voter, and restarts that one after a while.
func (w *world) isolateOwner(seconds float64) {
	a := w.owner()
	if a < 0 {
		return
	}
	left := -1
	for b := range w.senders {
		switch {
		case b == a:
		case left < 0 && slices.Contains(w.senders[a].destinations[dst].voters, w.names[b]):
			left = b
		default:
			w.cut[[2]int{a, b}], w.cut[[2]int{b, a}] = true, true
		}
	}
	w.advance(seconds)
	if left >= 0 {
		w.senders[left].runID++
		w.restart(left)
	}
}

func TestTotalStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "senders"),
			rapid.SampledFrom([]float64{1, 5, 20, 200}).Draw(t, "limit"), DefaultTiming())
		w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		w.delay = rapid.SampledFrom([]int64{1_000, 50_000, 1_000_000, 4_000_000}).Draw(t, "delay")
		w.bursty = rapid.Bool().Draw(t, "bursty")
		w.run(20)
		require.Empty(t, w.violation)
	})
}

func TestCheckDetectsInjectedFaults(t *testing.T) {
	for f := noExpiryWait; f <= grantsNotCounted; f++ {
		seed, violation := uint64(0), ""
		for ; seed < 50 && violation == ""; seed++ {
			w := newWorld(seed, 3, 100, DefaultTiming())
			w.fault, w.loss, w.delay, w.bursty, w.saturated = f, 0.05, 400_000, f != cachedShare, true
			switch f {
			case cachedShare, voterForgets:
				w.runTargeted()
			default:
				w.run(25)
			}
			violation = w.violation
		}
		t.Logf("fault %d: schedule %d: %s", f, seed, violation)
		assert.NotEmpty(t, violation, "fault %d", f)
	}
}

// runTargeted runs a schedule for faults that random ones rarely trigger: the only busy sender is paused while others become busy, or an
// owner is isolated.
func (w *world) runTargeted() {
	w.senders[0].rate = w.limit
	w.advance(10)
	if w.fault == cachedShare {
		w.pause(0, 5_000_000)
	}
	w.senders[1].rate, w.senders[2].rate = w.limit, w.limit
	w.advance(8)
	w.isolateOwner(3)
	w.advance(8)
}

// newSettledWorld returns a fleet whose senders all need the limit, some time after its start.
func newSettledWorld(n int, limit float64) *world {
	w := newWorld(7, n, limit, DefaultTiming())
	for _, s := range w.senders {
		s.rate = 2 * limit / float64(n)
	}
	w.advance(12)
	return w
}

func (w *world) advance(seconds float64) (perSec float64) {
	before := len(w.callTimes)
	for range int(seconds * 1e6 / step) {
		w.step()
	}
	return float64(len(w.callTimes)-before) / seconds
}

func (w *world) owner() int {
	return slices.IndexFunc(w.senders, func(s *sender) bool {
		return s.pausedUntil <= w.now && s.destinations[dst] != nil && s.destinations[dst].owner.phase == granting && w.hasMajority(s)
	})
}

func (w *world) hasMajority(s *sender) bool {
	return s.majorityUntil(s.destinations[dst]) > s.clock(w.now)
}

func TestEveryEventStaysWithinItsBound(t *testing.T) {
	const limit = 60.0
	for _, c := range []struct {
		Case
		do func(w *world, owner int)
	}{
		{Case{Event: NoFault}, func(*world, int) {}},
		{Case{Event: SlowLinks, RoundTrip: 800_000}, func(w *world, _ int) { w.delay = 400_000 }},
		{Case{Event: PartitionOneWay, LostFraction: 0.2}, func(w *world, o int) { w.partition(func(i int) bool { return i == (o+1)%5 }, false) }},
		{Case{Event: PartitionBothWays, LostFraction: 0.2}, func(w *world, o int) { w.partition(func(i int) bool { return i == (o+1)%5 }, true) }},
		{Case{Event: EvenSplit, LostFraction: 0.4}, func(w *world, o int) { w.partition(func(i int) bool { return i == (o+1)%5 || i == (o+2)%5 }, true) }},
		{Case{Event: OwnerKilled}, func(w *world, o int) { w.senders[o].pausedUntil = 1 << 60 }},
		{Case{Event: OwnerPaused}, func(w *world, o int) { w.pause(o, 5_000_000) }},
		{Case{Event: MemberJoins}, func(w *world, o int) { w.restart((o + 1) % 5) }},
		{Case{Event: MemberDies, LostFraction: 0.2}, func(w *world, o int) { w.senders[(o+1)%5].pausedUntil = 1 << 60 }},
		{Case{Event: LimitLowered, OldLimit: limit, NewLimit: limit / 2}, func(w *world, _ int) { w.changeLimit(limit / 2) }},
		{Case{Event: LimitRaised, OldLimit: limit, NewLimit: limit * 2}, func(w *world, _ int) { w.changeLimit(limit * 2) }},
	} {
		w := newSettledWorld(5, limit)
		began, from := len(w.fallbacks), len(w.callTimes)
		c.do(w, w.owner())
		b := w.t.Bound(c.Case)
		now := max(limit, w.limit)
		w.advance(10)
		assert.LessOrEqual(t, float64(maxInOneSecond(w.callTimes[from:])), now*(1+b.Excess)+Burst(now)+float64(slices.Max(w.fallbacks[began:])), c.Event)
		if b.ExcessFor != Always {
			w.advance(float64(b.ExcessFor) / 1e6)
			assert.LessOrEqual(t, w.advance(5), w.limit*1.05+float64(slices.Max(w.fallbacks[began:])), c.Event)
		}
		if b.UnusedFor != Always {
			w.advance(float64(b.UnusedFor) / 1e6)
			assert.GreaterOrEqual(t, w.advance(5), 0.9*w.limit, c.Event)
		}
	}
}

// partition cuts off the selected members, in both directions or only what they send. Views show the former after the detection time.
func (w *world) partition(in func(int) bool, both bool) {
	if both {
		w.separated, w.separatedAt = in, w.now+w.t.Detect
	}
	for a := range w.senders {
		for b := range w.senders {
			w.cut[[2]int{a, b}] = in(a) && !in(b) || both && in(b) && !in(a)
		}
	}
}

func (w *world) changeLimit(limit float64) {
	w.limit = limit
	for _, s := range w.senders {
		s.SetLimit(s.clock(w.now), dst, limit, Reported)
	}
}

func TestStarvationBound(t *testing.T) {
	for _, n := range []int{3, 30} {
		w := newSettledWorld(n, 20)
		s := w.senders[n-1]
		s.rate, s.waiting = 0, 0
		w.advance(5)
		s.waiting = 1
		began := w.now
		for s.waiting >= 1 {
			w.step()
		}
		assert.LessOrEqual(t, w.now-began, w.t.StarvationBound(20, n), n)
	}
}

func TestMessageSizeAndInvalidMessages(t *testing.T) {
	m := Msg{Kind: Grant, Dst: "a-destination-of-thirty-two-byte", RunID: 1 << 31, SentAt: 1 << 50, Term: 1000, Session: 1000, Serial: 1 << 20,
		Rate: 1 << 22, Calls: 1 << 30, Limit: 1 << 22, LimitSource: Reported, LimitAge: 1 << 30, ListDigest: 1 << 31}
	b, err := cbor.Marshal(m)
	assert.NoError(t, err)
	assert.Less(t, len(b), 150)
	table := New("a", []string{"a", "b", "c"}, DefaultTiming())
	for _, x := range []Msg{{}, {Kind: Request}, {Kind: 9, Dst: dst}, {Kind: Request, Dst: dst, LimitAge: -1},
		{Kind: Request, Dst: dst, Limit: math.MaxUint64}} {
		assert.Empty(t, table.Receive(5, "b", x))
	}
	assert.Empty(t, table.Receive(5, "z", Msg{Kind: Request, Dst: dst, ListDigest: table.listDigest}))
	assert.Empty(t, table.Receive(5, "b", Msg{Kind: Request, Dst: dst, ListDigest: table.listDigest + 1}))
	assert.Equal(t, Counts{Invalid: 5, Foreign: 2}, table.Counts())
	assert.Empty(t, table.destinations)
	for i := range maxDestinations + 9 {
		table.SetLimit(6, strconv.Itoa(i), 5, Listed)
	}
	assert.Len(t, table.destinations, maxDestinations)
	assert.EqualValues(t, 9, table.Counts().Full)
	table.Tick(6 + idleTimeout)
	assert.Empty(t, table.destinations)
	assert.True(t, table.Allow(7+idleTimeout, dst), "no limit known")
}

func TestRetryFloorIsSharedByLiveMembers(t *testing.T) {
	table := New("a", nil, DefaultTiming())
	assert.InDelta(t, designRetryFloor, table.RetryFloor(1), 1e-9)
	v := members.View{Members: make([]members.Member, 6)}
	v.Members[0].State, v.Members[1].State, v.Members[2].State = members.Suspect, members.Dead, members.Left
	table.SetView(1, v)
	assert.InDelta(t, designRetryFloor/4, table.RetryFloor(1), 1e-9)
	v.Members = make([]members.Member, 300)
	table.SetView(2, v)
	assert.InDelta(t, minRetryFloor, table.RetryFloor(2), 1e-9)
}
