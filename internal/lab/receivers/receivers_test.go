package receivers

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/lab/draw"
	"ravenlink/internal/lab/loop"
)

const ms = int64(1000)

// harness is one route with one receiver, and the answers to the calls made to it.
type harness struct {
	*loop.Loop
	receiver   *Receiver
	answers    map[*Call]Answer
	answeredAt map[*Call]int64
	abandoned  bool // StillNeeded returns false
}

func (h *harness) Answered(c *Call, a Answer) {
	if _, twice := h.answers[c]; twice {
		panic("a call was answered twice")
	}
	h.answers[c], h.answeredAt[c] = a, h.Now()
}
func (h *harness) StillNeeded(*Call) bool { return !h.abandoned }

func newHarness(config Config, limit Limit) *harness {
	h := &harness{Loop: loop.New(), answers: map[*Call]Answer{}, answeredAt: map[*Call]int64{}}
	if config.Work.Shape == "" {
		config.Work = draw.Distribution{Shape: draw.Fixed, Mean: 100e3}
	}
	rt := NewRoute(0, 7, limit, CollapseThreshold{OverloadFactor: 2, OverloadTime: 2_000 * ms})
	h.receiver = New(1, 0, &config, rt, 1, h, draw.Stream(1, "test", 0))
	return h
}

func (h *harness) call(work int64) *Call {
	c := &Call{Messages: 1, Work: work, Caller: h}
	h.receiver.Offer(c)
	return c
}

// generator offers a Poisson stream of calls with exponential work.
type generator struct {
	*harness
	left           int
	waits, refused float64
	n, answered    float64
	gaps, works    float64 // sums of the drawn values
	draws          *samplers
}

type samplers struct{ gaps, works func() int64 }

func (s *generator) Handle(uint8, uint64) {
	c := &Call{Messages: 1, Work: s.draws.works(), Caller: s}
	s.n++
	s.works += float64(c.Work)
	s.receiver.Offer(c)
	if s.left--; s.left > 0 {
		gap := s.draws.gaps()
		s.gaps += float64(gap)
		s.At(s.Now()+gap, s, 0, 0)
	}
}

func (s *generator) Answered(c *Call, a Answer) {
	if a.Kind == Refused {
		s.refused++
	} else {
		s.answered++
		s.waits += float64(s.Now()-c.ArrivedAt) - float64(c.Work)
	}
}

// simulateQueue simulates a stream of calls and returns the mean wait in service times, the share refused, and the load that
// was actually drawn: near 0.95 the wait rises so steeply with the load that random variation of the drawn load alone would
// exceed the model's own error.
func simulateQueue(seed uint64, load float64, workers, queueSize, calls int) (wait, lost, drawnLoad float64) {
	const mean = 100e3
	h := newHarness(Config{Work: draw.Distribution{Shape: draw.Exponential, Mean: mean}, Workers: workers, QueueSize: queueSize}, Limit{Algorithm: Unlimited})
	gap := draw.Distribution{Shape: draw.Exponential, Mean: mean / (load * float64(workers))}
	work := draw.Distribution{Shape: draw.Exponential, Mean: mean}
	gs, ws := draw.Stream(seed, "gaps", 0), draw.Stream(seed, "work", 0)
	s := &generator{harness: h, left: calls,
		draws: &samplers{func() int64 { return gap.Draw(gs) }, func() int64 { return work.Draw(ws) }}}
	s.At(s.Now(), s, 0, 0)
	s.Drain(math.MaxUint64 / 2)
	return s.waits / s.answered / (s.works / s.n), s.refused / s.n, s.works / s.gaps / float64(workers)
}

// erlangB returns the share of calls lost by c workers without a queue at an offered load of a erlangs.
func erlangB(c int, a float64) float64 {
	b := 1.0
	for k := 1; k <= c; k++ {
		b = a * b / (float64(k) + a*b)
	}
	return b
}

// erlangC returns the share of calls that wait, with an unbounded queue.
func erlangC(c int, a float64) float64 {
	b := erlangB(c, a)
	return b / (1 - a/float64(c)*(1-b))
}

func TestQueueWaitsMatchErlangC(t *testing.T) {
	for _, c := range []struct {
		load    float64
		workers int
		calls   int
	}{{.5, 1, 300_000}, {.8, 1, 600_000}, {.95, 1, 1_500_000}, {.5, 4, 600_000}, {.8, 4, 600_000}, {.95, 4, 1_500_000}} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			got, lost, load := simulateQueue(1, c.load, c.workers, 1<<30, c.calls)
			want := erlangC(c.workers, load*float64(c.workers)) / (float64(c.workers) * (1 - load)) // in service times
			assert.InEpsilon(t, c.load, load, 0.005)
			assert.InEpsilon(t, want, got, 0.03, "load %v, %d workers", c.load, c.workers)
			assert.Zero(t, lost)
		})
	}
}

func TestBoundedQueueLossMatchesErlangB(t *testing.T) {
	for _, load := range []float64{.5, .8, .95} {
		_, lost, _ := simulateQueue(3, load, 5, 0, 600_000)
		assert.InEpsilon(t, erlangB(5, load*5), lost, 0.03, "load %v", load)
	}
	a := .9 // M/M/1/K: one running call and K-1 queued ones
	_, lost, _ := simulateQueue(4, a, 1, 4, 600_000)
	assert.InEpsilon(t, (1-a)*math.Pow(a, 5)/(1-math.Pow(a, 6)), lost, 0.03)
}

func TestFixedWindowAdmitsAfterRetryAfter(t *testing.T) {
	h := newHarness(Config{Workers: 99, QueueSize: 9}, Limit{Algorithm: FixedWindow, Rate: 3, Window: 1_000 * ms, RetryAfterShare: 1})
	h.Run(loop.Origin + 200*ms)
	for range 3 {
		h.call(ms)
	}
	refused := h.call(ms)
	require.Equal(t, Refused, h.answers[refused].Kind)
	h.Run(h.Now() + h.answers[refused].RetryAfter)
	again := h.call(ms)
	h.Run(h.Now() + ms)
	assert.Equal(t, OK, h.answers[again].Kind)
}

func TestRefusedCallsMayUseUpTheLimit(t *testing.T) {
	for _, countsRefused := range []bool{false, true} {
		h := newHarness(Config{Workers: 999, QueueSize: 9}, Limit{Algorithm: TokenBucket, Rate: 10, Burst: .1, CountsRefused: countsRefused})
		ok := 0
		for range 1000 { // 20 calls/s at a limit of 10/s, for 50 s
			c := h.call(ms)
			h.Run(h.Now() + 50*ms)
			if h.answers[c].Kind == OK {
				ok++
			}
		}
		if countsRefused {
			assert.Less(t, ok, 30, "refused calls keep the bucket empty")
		} else {
			assert.InDelta(t, 500, ok, 5)
		}
	}
}

func TestFaultShorterThanOneServiceTime(t *testing.T) {
	h := newHarness(Config{Workers: 1, QueueSize: 9}, Limit{Algorithm: Unlimited})
	paused, hung, silent := &Fault{Kind: Pause}, &Fault{Kind: Hang}, &Fault{Kind: Unreachable}
	c := h.call(100 * ms)
	h.Run(h.Now() + 10*ms)
	h.receiver.AddFault(paused)
	h.Run(h.Now() + 20*ms)
	h.receiver.RemoveFault(paused)
	h.Drain(99)
	assert.Equal(t, 120*ms, h.answeredAt[c]-loop.Origin, "a pause delays the answer by exactly its length")

	start := h.Now()
	c = h.call(100 * ms)
	h.receiver.AddFault(hung)
	h.Run(start + 50*ms)
	h.receiver.RemoveFault(hung)
	h.Drain(99)
	assert.Equal(t, OK, h.answers[c].Kind, "a hang that ends before the answer is due has no effect")

	c = h.call(100 * ms)
	h.receiver.AddFault(silent)
	h.Run(h.Now() + 50*ms)
	h.receiver.RemoveFault(silent)
	h.Drain(99)
	assert.Equal(t, Reset, h.answers[c].Kind, "a machine that is reachable again resets old connections")
}

func TestOverlappingFaults(t *testing.T) {
	h := newHarness(Config{Workers: 2, QueueSize: 9, ColdShare: .2, WarmUpTime: 10_000 * ms}, Limit{Algorithm: Unlimited})
	a, z, errs := &Fault{Kind: Hang}, &Fault{Kind: Hang}, &Fault{Kind: Errors, Magnitude: 1}
	c := h.call(10 * ms)
	h.receiver.AddFault(a)
	h.Run(h.Now() + 5*ms)
	h.receiver.AddFault(z)
	h.receiver.AddFault(errs)
	h.Run(h.Now() + 50*ms)
	h.receiver.RemoveFault(a)
	assert.NotContains(t, h.answers, c, "the second hang is still active")
	assert.True(t, h.receiver.InOutage())
	h.receiver.RemoveFault(z)
	assert.Equal(t, OK, h.answers[c].Kind)
	assert.True(t, h.receiver.InOutage(), "all calls still fail")
	h.receiver.RemoveFault(errs)
	assert.False(t, h.receiver.InOutage())
	assert.True(t, h.receiver.Cold())
	h.receiver.RemoveFault(errs) // removing it twice changes nothing
	assert.False(t, h.receiver.InOutage())
}

func TestDownResetsRunningAndQueuedCalls(t *testing.T) {
	h := newHarness(Config{Workers: 1, QueueSize: 9}, Limit{Algorithm: Unlimited})
	working, waiting := h.call(10*ms), h.call(10*ms)
	down := &Fault{Kind: Down}
	h.receiver.AddFault(down)
	assert.Equal(t, Reset, h.answers[working].Kind)
	assert.Equal(t, Reset, h.answers[waiting].Kind)
	incarnation := h.receiver.Incarnation
	h.receiver.RemoveFault(down)
	h.Drain(99)
	next := h.call(10 * ms)
	h.Drain(99)
	assert.Equal(t, OK, h.answers[next].Kind)
	assert.Positive(t, incarnation)
	assert.Zero(t, h.receiver.Busy())
}

func TestColdRouteCollapsesUnderOverload(t *testing.T) {
	for _, c := range []struct {
		every     int64
		informed  bool
		collapses bool
	}{{250 * ms, true, false}, {25 * ms, true, true}, {25 * ms, false, true}} {
		h := newHarness(Config{Workers: 1, QueueSize: 99, ColdShare: .2, WarmUpTime: 10_000 * ms}, Limit{Algorithm: Unlimited})
		informedShare := -1.0
		h.receiver.Route.OnCollapse = func(_ *Route, informed float64) { informedShare = informed }
		down := &Fault{Kind: Down}
		h.receiver.AddFault(down)
		if c.informed {
			h.receiver.Route.SawOutage(0)
		}
		h.receiver.RemoveFault(down)
		for end := h.Now() + 9_000*ms; h.Now() < end; { // capacity: 10 calls/s when warm, 2 at the start
			h.call(ms)
			h.Run(h.Now() + c.every)
		}
		assert.Equal(t, c.collapses, h.receiver.RefusesConns())
		switch {
		case c.collapses && c.informed:
			assert.InDelta(t, 1, informedShare, 1e-9)
		case c.collapses:
			assert.Zero(t, informedShare)
		}
	}
}

func TestCallNoLongerNeededDoesNotRun(t *testing.T) {
	h := newHarness(Config{Workers: 1, QueueSize: 1}, Limit{Algorithm: Unlimited})
	h.abandoned = true
	c := h.call(ms)
	assert.Equal(t, NotNeeded, h.answers[c].Kind)
}

func TestCancelledCallLeavesTheQueue(t *testing.T) {
	h := newHarness(Config{Workers: 1, QueueSize: 2, DropsCancelled: true}, Limit{Algorithm: Unlimited})
	first, left, last := h.call(10*ms), h.call(10*ms), h.call(10*ms)
	h.receiver.Cancel(left)
	h.receiver.Cancel(first) // already running: it runs on
	h.Drain(99)
	assert.Equal(t, 20*ms, h.answeredAt[last]-loop.Origin)
	assert.NotContains(t, h.answers, left)
	assert.Contains(t, h.answers, first)
}
