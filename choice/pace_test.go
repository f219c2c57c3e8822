package choice

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRetryAfterAppliesToEveryMessageOfTheDestination(t *testing.T) {
	f := newFake(t, keyed, 20, 2, highWeight, Kind{Batch: 1})
	f.accept("a")
	f.advance(0)
	f.endLeg("a", Refused, 800*ms)
	f.accept("b")
	assert.Empty(t, f.advance(790*ms))
	assert.Equal(t, 1, count(f.advance(300*ms), "send"), "a refused route gets one call at a time")
	f.endLeg(f.acts[0][len("send "):], Delivered, 0)
	assert.Equal(t, 1, count(f.advance(300*ms), "send"))
}

func TestLongestWaitOfASharedCallCounts(t *testing.T) {
	f := newFake(t, keyed, 20, 1, highWeight, Kind{Batch: 2})
	f.accept("a", "b")
	f.advance(0)
	f.endLeg("a", Refused, 800*ms)
	f.endLeg("b", Refused, 0)
	assert.Empty(t, f.advance(790*ms))
}

func TestRefusalsPauseTheRouteEverLonger(t *testing.T) {
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
	f.accept("a")
	sends := 0
	for range 100 {
		sends += count(f.advance(50*ms), "send")
		f.endLeg("a", Refused, 0)
	}
	assert.Less(t, sends, 8, "in 5 s")
}

func TestASmallRemainingLimitIsRespected(t *testing.T) {
	f := newFake(t, keyed, 40, 1, 100, Kind{Batch: 1})
	f.accept("a")
	f.advance(0)
	f.LegEnded("a", 0, Delivered, 0, true, RateLimit{Known: true, RemainingShare: .05, LimitPerSec: 4})
	f.accept("b", "c")
	assert.Zero(t, count(f.advance(200*ms), "send"))
	assert.Equal(t, 2, count(f.advance(2*second), "send"))
}

func TestUnknownLimitIsTriedByOneCallAfterARefusal(t *testing.T) {
	f := newFake(t, keyed, 40, 1, 0, Kind{Batch: 1})
	f.accept("a", "b", "c", "d")
	assert.Equal(t, 4, count(f.advance(0), "send"), "no rate is assumed")
	for _, m := range []string{"a", "b", "c", "d"} {
		f.endLeg(m, Refused, 0)
	}
	did := f.advance(8 * second)
	assert.Equal(t, 1, count(did, "send"))
	f.endLeg(did[0][len("send "):], Delivered, 0)
	assert.Zero(t, count(f.advance(0), "send"), "it may have been shut, and be cold")
	sent := 0
	for range 14 {
		for _, action := range f.advance(second) {
			if id, is := strings.CutPrefix(action, "send "); is {
				sent++
				f.endLeg(id, Delivered, 0)
			}
		}
	}
	assert.Equal(t, 3, sent, "slow start lets the rest go")
}

// Refusals that last only moments, or carry a Retry-After, are a rate limiter's.
func TestMessagesRefusedByARateLimiterGoAtItsSuccess(t *testing.T) {
	for name, wait := range map[string]int64{"delivered a moment ago": 0, "sent a Retry-After": 1500 * ms} {
		t.Run(name, func(t *testing.T) {
			f := newFake(t, keyed, 40, 1, 0, Kind{Batch: 1})
			f.accept("before")
			f.advance(0)
			f.endLeg("before", Delivered, 0)
			f.accept("a", "b", "c", "d")
			assert.Equal(t, 4, count(f.advance(0), "send"))
			for _, m := range []string{"a", "b", "c", "d"} {
				f.endLeg(m, Refused, wait)
			}
			var did []string
			for range 40 {
				if did = f.advance(50 * ms); count(did, "send") > 0 {
					break
				}
			}
			assert.Equal(t, 1, count(did, "send"))
			f.endLeg(did[0][len("send "):], Delivered, 0)
			assert.Equal(t, 3, count(f.advance(second/2), "send"), "each after its jitter")
		})
	}
}

func TestBestSpanCountsLessItsNoise(t *testing.T) {
	for senders, noise := range map[int]float64{1: 0, 2: math.Sqrt(10), 1000: math.Sqrt(20)} {
		p := &route{}
		for i := range int64(200) {
			p.succeeded(second+i*second/10, true, senders)
		}
		assert.InDelta(t, 10-noise/2, p.peakRate, .3, senders)
	}
}

// Guards against a rate, or a lease, that sends a destination its whole limit right after an outage.
func TestALimitIsBoundedAfterAReturnUntilItIsWarm(t *testing.T) {
	back := &limitedReturn{at: 5 * second, warmFor: 10 * second, start: .2, factor: 2}
	for name, p := range map[string]*route{"rate": {share: 10, routeState: &routeState{returned: back}}, "lease": {routeState: &routeState{lease: lease{granted: true, perSec: 10}, returned: back}}} {
		assert.InDelta(t, 5.6, p.rate(5*second), 1e-9, "%s: rate allowed at the end of the first second", name)
		assert.InDelta(t, 5.6, p.rate(6*second), 1e-9, name)
		assert.InDelta(t, 8.8, p.rate(8*second), 1e-9, name)
		p.returned = nil
		assert.Equal(t, p.rate(0), p.rate(15*second), name)
		assert.GreaterOrEqual(t, p.rate(15*second), 10., name)
	}
	assert.Equal(t, math.Inf(1), back.shares(15*second))
}
