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

// run goes through a drawn schedule of cuts, crashes and pauses.
func (w *world) run(seconds int) {
	for i, s := range w.ss {
		s.rate = []float64{0, 0.3, 3, 30, w.limit}[w.r.IntN(5)]
		if i == 0 || w.hungry {
			s.rate = w.limit
		}
	}
	for range seconds * 1_000_000 / step {
		if w.r.IntN(200) == 0 {
			w.trouble()
		}
		w.step()
	}
}

func (w *world) trouble() {
	n := len(w.ss)
	i, j := w.r.IntN(n), w.r.IntN(n)
	switch w.r.IntN(13) {
	case 0:
		w.cut[[2]int{i, j}] = true
	case 1:
		w.cut[[2]int{i, j}], w.cut[[2]int{j, i}] = true, true
	case 2: // two parts
		for a := range n {
			for b := range n {
				w.cut[[2]int{a, b}] = (a <= i) != (b <= i)
			}
		}
	case 3, 4, 9, 10:
		w.cut = map[[2]int]bool{}
	case 5:
		w.ss[i].life++ // with its folder
		w.restart(i)
	case 6:
		w.ss[i].life = uint64(w.r.IntN(3)) // without: its incarnation may be any
		w.restart(i)
	case 7:
		w.pause(i, w.r.Int64N(6_000_000))
	case 11, 12:
		w.unseat(w.r.Float64() * 3)
	case 8:
		w.ss[i].rate, w.ss[i].waiting = w.r.Float64()*w.limit, 0
	}
}

// unseat cuts an owner from all electors but one, and restarts that one after a while.
func (w *world) unseat(seconds float64) {
	a := w.owner()
	if a < 0 {
		return
	}
	left := -1
	for b := range w.ss {
		switch {
		case b == a:
		case left < 0 && slices.Contains(w.ss[a].places[dst].electors, w.names[b]):
			left = b
		default:
			w.cut[[2]int{a, b}], w.cut[[2]int{b, a}] = true, true
		}
	}
	w.pass(seconds)
	if left >= 0 {
		w.ss[left].life++
		w.restart(left)
	}
}

func TestSumStaysWithinTheBoundWhateverTheLinksDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "senders"),
			rapid.SampledFrom([]float64{1, 5, 20, 200}).Draw(t, "limit"), Usual())
		w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		w.delay = rapid.SampledFrom([]int64{1_000, 50_000, 1_000_000, 4_000_000}).Draw(t, "delay")
		w.saving = rapid.Bool().Draw(t, "saving")
		w.run(20)
		require.Empty(t, w.bad)
	})
}

func TestJudgeFindsPlantedFaults(t *testing.T) {
	for f := noWait; f <= notCounted; f++ {
		seed, bad := uint64(0), ""
		for ; seed < 50 && bad == ""; seed++ {
			w := newWorld(seed, 3, 100, Usual())
			w.fault, w.loss, w.delay, w.saving, w.hungry = f, 0.05, 400_000, f != notAskedAgain, true
			switch f {
			case notAskedAgain, forgetful:
				w.aimed()
			default:
				w.run(25)
			}
			bad = w.bad
		}
		t.Logf("fault %d: schedule %d: %s", f, seed, bad)
		assert.NotEmpty(t, bad, "fault %d", f)
	}
}

// aimed is a schedule for faults that drawn ones meet seldom: the only busy sender is stopped while others become busy, or an owner is unseated.
func (w *world) aimed() {
	w.ss[0].rate = w.limit
	w.pass(10)
	if w.fault == notAskedAgain {
		w.pause(0, 5_000_000)
	}
	w.ss[1].rate, w.ss[2].rate = w.limit, w.limit
	w.pass(8)
	w.unseat(3)
	w.pass(8)
}

// settled gives a fleet whose senders all need the limit, some time after its start.
func settled(n int, limit float64) *world {
	w := newWorld(7, n, limit, Usual())
	for _, s := range w.ss {
		s.rate = 2 * limit / float64(n)
	}
	w.pass(12)
	return w
}

func (w *world) pass(seconds float64) (perSec float64) {
	before := len(w.spends)
	for range int(seconds * 1e6 / step) {
		w.step()
	}
	return float64(len(w.spends)-before) / seconds
}

func (w *world) owner() int {
	return slices.IndexFunc(w.ss, func(s *sender) bool {
		return s.paused <= w.now && s.places[dst] != nil && s.places[dst].seat.phase == granting && w.reaches(s)
	})
}

func (w *world) reaches(s *sender) bool { return s.majority(s.places[dst]) > s.clock(w.now) }

func TestEveryEventStaysWithinItsBound(t *testing.T) {
	const limit = 60.0
	for _, c := range []struct {
		Case
		do func(w *world, owner int)
	}{
		{Case{Event: Calm}, func(*world, int) {}},
		{Case{Event: LinkSlow, RoundTrip: 800_000}, func(w *world, _ int) { w.delay = 400_000 }},
		{Case{Event: CutOneWay, Apart: 0.2}, func(w *world, o int) { w.part(func(i int) bool { return i == (o+1)%5 }, false) }},
		{Case{Event: CutBothWays, Apart: 0.2}, func(w *world, o int) { w.part(func(i int) bool { return i == (o+1)%5 }, true) }},
		{Case{Event: EvenHalves, Apart: 0.4}, func(w *world, o int) { w.part(func(i int) bool { return i == (o+1)%5 || i == (o+2)%5 }, true) }},
		{Case{Event: OwnerKilled}, func(w *world, o int) { w.ss[o].paused = 1 << 60 }},
		{Case{Event: OwnerPaused}, func(w *world, o int) { w.pause(o, 5_000_000) }},
		{Case{Event: MemberJoins}, func(w *world, o int) { w.restart((o + 1) % 5) }},
		{Case{Event: MemberDies, Apart: 0.2}, func(w *world, o int) { w.ss[(o+1)%5].paused = 1 << 60 }},
		{Case{Event: LimitLowered, Old: limit, New: limit / 2}, func(w *world, _ int) { w.relimit(limit / 2) }},
		{Case{Event: LimitRaised, Old: limit, New: limit * 2}, func(w *world, _ int) { w.relimit(limit * 2) }},
	} {
		w := settled(5, limit)
		began, from := len(w.doubts), len(w.spends)
		c.do(w, w.owner())
		b := w.t.Bound(c.Case)
		now := max(limit, w.limit)
		w.pass(10)
		assert.LessOrEqual(t, float64(worst(w.spends[from:])), now*(1+b.Over)+Burst(now)+float64(slices.Max(w.doubts[began:])), c.Event)
		if b.OverFor != Always {
			w.pass(float64(b.OverFor) / 1e6)
			assert.LessOrEqual(t, w.pass(5), w.limit*1.05+float64(slices.Max(w.doubts[began:])), c.Event)
		}
		if b.UnusedFor != Always {
			w.pass(float64(b.UnusedFor) / 1e6)
			assert.GreaterOrEqual(t, w.pass(5), 0.9*w.limit, c.Event)
		}
	}
}

// part cuts off those that are in; both ways, or only what they send. The views see the former in time.
func (w *world) part(in func(int) bool, both bool) {
	if both {
		w.apart, w.apartAt = in, w.now+w.t.Detect
	}
	for a := range w.ss {
		for b := range w.ss {
			w.cut[[2]int{a, b}] = in(a) && !in(b) || both && in(b) && !in(a)
		}
	}
}

func (w *world) relimit(limit float64) {
	w.limit = limit
	for _, s := range w.ss {
		s.Limit(s.clock(w.now), dst, limit, Told)
	}
}

func TestStarvingSenderGetsOneWithinTheStatedTime(t *testing.T) {
	for _, n := range []int{3, 30} {
		w := settled(n, 20)
		s := w.ss[n-1]
		s.rate, s.waiting = 0, 0
		w.pass(5)
		s.waiting = 1
		began := w.now
		for s.waiting >= 1 {
			w.step()
		}
		assert.LessOrEqual(t, w.now-began, w.t.Starving(20, n), n)
	}
}

func TestMessagesAreSmallAndBadOnesChangeNothing(t *testing.T) {
	m := Msg{Kind: Grant, Dst: "a-destination-of-thirty-two-byte", Life: 1 << 31, Stamp: 1 << 50, Term: 1000, Seat: 1000, Serial: 1 << 20,
		Rate: 1 << 22, Count: 1 << 30, Limit: 1 << 22, How: Told, Age: 1 << 30, List: 1 << 31}
	b, err := cbor.Marshal(m)
	assert.NoError(t, err)
	assert.Less(t, len(b), 150)
	tb := New("a", []string{"a", "b", "c"}, Usual())
	for _, x := range []Msg{{}, {Kind: Ask}, {Kind: 9, Dst: dst}, {Kind: Ask, Dst: dst, Age: -1}, {Kind: Ask, Dst: dst, Limit: math.MaxUint64}} {
		assert.Empty(t, tb.Heard(5, "b", x))
	}
	assert.Empty(t, tb.Heard(5, "z", Msg{Kind: Ask, Dst: dst, List: tb.list}))
	assert.Empty(t, tb.Heard(5, "b", Msg{Kind: Ask, Dst: dst, List: tb.list + 1}))
	assert.Equal(t, Counts{Unsound: 5, Strange: 2}, tb.Counts())
	assert.Empty(t, tb.places)
	for i := range placesMost + 9 {
		tb.Limit(6, strconv.Itoa(i), 5, Listed)
	}
	assert.Len(t, tb.places, placesMost)
	assert.EqualValues(t, 9, tb.Counts().Full)
	tb.Tick(6 + forgetAfter)
	assert.Empty(t, tb.places)
	assert.True(t, tb.Spend(7+forgetAfter, dst), "no limit known")
}

func TestFloorIsSharedByThoseAlive(t *testing.T) {
	tb := New("a", nil, Usual())
	assert.InDelta(t, floorDesign, tb.Floor(1), 1e-9)
	v := members.View{Members: make([]members.Member, 6)}
	v.Members[0].State, v.Members[1].State, v.Members[2].State = members.Doubted, members.Gone, members.Left
	tb.View(1, v)
	assert.InDelta(t, floorDesign/4, tb.Floor(1), 1e-9)
	v.Members = make([]members.Member, 300)
	tb.View(2, v)
	assert.InDelta(t, floorLeast, tb.Floor(2), 1e-9)
}
