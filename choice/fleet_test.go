package choice

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLargeFleetsTrialsStayUnderTheColdLoad(t *testing.T) {
	probes := 0
	for _, f := range fleet(t, 200, 20) {
		f.close(f.recvs[1], f.now)
		probes += count(f.advance(10*second), "probe")
	}
	cold := .2 * 2 * 20 * 10 // start share x overload factor x capacity x 10 s
	assert.Less(t, float64(probes), cold)
	assert.Greater(t, float64(probes), cold/2, "and find a return soon")
}

func TestEvenShareOfALargeFleetAllowsABurst(t *testing.T) {
	f := fleet(t, 200, 5)[0]
	f.accept("a", "b")
	assert.Equal(t, 2, count(f.advance(0), "send"))
}

func TestSendersRefusedTogetherRetryApart(t *testing.T) {
	busiest := map[int64]int{}
	for _, f := range fleet(t, 200, 20) {
		f.trust, f.recvs[1].route.share = NoWeight, 0 // with a known limit, the rate keeps them apart
		f.accept("a")
		f.advance(0)
		f.endLeg("a", Refused, 0)
		for range 40 {
			if count(f.advance(second/2), "send") > 0 {
				busiest[f.now/(2*second)]++
				break
			}
		}
	}
	for _, sends := range busiest {
		assert.Less(t, sends, 120, "of 200 in 2 s; the estimated capacity is 40 calls a second")
	}
	assert.Greater(t, len(busiest), 3, "spans of 2 s")
}

func TestUnknownCapacityFollowsWhatWasDeliveredWhileItStood(t *testing.T) {
	f := fleet(t, 200, 5)[0]
	f.trust = NoWeight
	quick(f, 3)
	f.advance(20*second - f.now + f.startAt)
	assert.InDelta(t, 200*3/20., f.capacity(f.recvs[1]), .1)
	f.close(f.recvs[1], f.now)
	for i := range 40 {
		f.accept(fmt.Sprint("again", i)) // clients retry again and again
	}
	f.advance(20 * second)
	assert.InDelta(t, 200*3/20., f.capacity(f.recvs[1]), .1, "downtime does not count")
}

// A sender that started during an outage has delivered nothing yet. If it counted one delivery in its first five seconds, a large fleet of
// such senders would take the destination for several times as large as it is.
func TestCapacityOfASenderWithoutDeliveries(t *testing.T) {
	f := fleet(t, 200, 5)[0]
	f.trust = NoWeight
	f.advance(rateSpan - f.now + f.startAt)
	assert.InDelta(t, 200/20., f.capacity(f.recvs[1]), .1, "one delivery in 20 s")
	f.advance(40*second - f.now + f.startAt)
	assert.InDelta(t, 200/40., f.capacity(f.recvs[1]), .1, "none in longer")
	quick(f, 1)
	assert.InDelta(t, 200/40., f.capacity(f.recvs[1]), .1, "one in the uptime")
}

func TestCapacityCountsTheFirstDeliveryInAShortUptime(t *testing.T) {
	f := fleet(t, 200, 5)[0]
	f.trust = NoWeight
	quick(f, 1)
	assert.InDelta(t, 200/5., f.capacity(f.recvs[1]), .1)
}

func TestPeersHearOfAReturnAndRamp(t *testing.T) {
	fs := fleet(t, 200, 20)
	for _, f := range fs[:2] {
		f.close(f.recvs[1], f.now)
	}
	finder, peer := fs[0], fs[1]
	finder.ProbeEnded(1, Delivered, RateLimit{})
	finder.recvs[1].route.recovery.tokens = 1
	finder.accept("a")
	assert.Equal(t, 1, count(finder.advance(0), "send a"))
	finder.endLeg("a", Delivered, 0)
	assert.Contains(t, finder.acts, "note")
	peer.accept("b", "c", "d")
	peer.ReceiveNote("+1")
	assert.Equal(t, warming, peer.recvs[1].health)
	assert.LessOrEqual(t, count(peer.advance(2*second), "send"), 1)
}

func TestTwoRefusalsSecondsApartCloseAShutDestination(t *testing.T) {
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
	f.accept("a")
	for range 100 {
		f.advance(50 * ms)
		f.endLeg("a", Refused, 0)
	}
	assert.Equal(t, closed, f.recvs[1].health)
}

func TestHangingLargeDestinationIsStillTriedByALargeFleet(t *testing.T) {
	f := fleet(t, 200, 200)[0]
	f.recvs[1].route.use().callsPileUp = true
	f.close(f.recvs[1], f.now)
	assert.GreaterOrEqual(t, count(f.advance(40*second), "probe"), 1)
}

func TestProbesAreSpreadAfterARetryAfterForAll(t *testing.T) {
	probes := 0
	for _, f := range fleet(t, 200, 20) {
		f.accept("a")
		f.advance(0)
		f.endLeg("a", Refused, 8*second)
		assert.Zero(t, count(f.advance(8*second-ms), "probe"))
		probes += count(f.advance(2*second), "probe")
	}
	assert.Less(t, float64(probes), .2*2*20*2)
}

func TestARefusalSlowsTheWholeFleetToItsLimit(t *testing.T) {
	const limit, seconds = 50, 4
	fs, sent := fleet(t, 200, limit), 0
	fs[0].accept("first")
	fs[0].advance(0)
	fs[0].endLeg("first", Refused, 0)
	assert.Equal(t, 1, count(fs[0].acts, "note"), "noted once")
	for _, f := range fs[1:] {
		f.ReceiveNote("-1")
		f.accept("a", "b", "c", "d", "e") // as many at once from each as a single sender may well send
		for range seconds * 10 {
			sent += count(f.advance(second/10), "send")
			for m := range f.legs {
				f.endLeg(m, Delivered, 0)
			}
		}
	}
	assert.Less(t, sent, limit*seconds*3/2)
	assert.Greater(t, sent, limit*seconds/2, "and no further")
}

func TestAPeersRefusalExpires(t *testing.T) {
	f := fleet(t, 200, 50)[0]
	f.ReceiveNote("-1")
	assert.Less(t, f.recvs[1].route.shares(f.now), 1.1)
	f.advance(20 * second)
	f.accept("a", "b", "c")
	assert.Equal(t, 2, count(f.advance(0), "send"), "the cap again, no rate limit")
}

func TestSmallShareOfAThrottledRouteStartsHigherUntilItFails(t *testing.T) {
	fs, sent := fleet(t, 200, 5)[:20], 0 // an even share is a call in 40 s
	for _, f := range fs {
		f.ReceiveNote("-1")
		f.accept("a", "b", "c")
		sent += min(1, count(f.advance(5*second), "send"))
	}
	assert.Greater(t, sent, 15, "no starvation")
	fs[0].endLeg("a", Errored, 0)
	assert.Zero(t, count(fs[0].advance(15*second), "send"), "its return would meet the backlog of all")
	fs[0].recvs[1].route.throttledShares = minThrottledShares
	assert.InDelta(t, 1, fs[0].recvs[1].route.shares(fs[0].now), .01, "but not permanently less")
}

func TestBusySendersShareOfAThrottledRouteIsLarger(t *testing.T) {
	f := fleet(t, 200, 200)[0]
	f.accepted, f.acceptedFrom = 60, f.now-20*second // three a second
	p := f.recvs[1].route
	for i, note := range []string{"-1/1.00", "-1/0.01", "-1/99", "-1/", "-1/x", "-1/-3", "-1/0", "-/1", "-1/1e999", "-1/NaN", "-1/1e-300"} {
		for range 400 {
			f.ReceiveNote(note)
		}
		f.readyAt(f.recvs[1])
		assert.InDelta(t, []float64{3, maxTrafficShare, minTrafficShare}[min(i, 2)], p.trafficShare, .1, note)
		assert.InDelta(t, p.trafficShare*p.share*p.shares(f.now), p.rate(f.now), .1)
	}
	f.SetTime(f.now + acceptedSpan)
	f.accept("later")
	assert.Equal(t, 30, f.accepted, "half of it no longer counts")
	f.acceptedFrom = f.now
	assert.EqualValues(t, 1, f.trafficShare(), "just started, it cannot tell")
}

func TestARefusalWhereNoLimitIsKnownCutsNothing(t *testing.T) {
	assert.False(t, (&route{}).throttle(second, second, 0), "a limit learnt later starts at its full rate")
}

func TestAFleetStartedTogetherGetsItsWatchesFromABusyDiscovery(t *testing.T) {
	const senders, work, timeout, step = 80, 100 * ms, 2 * second, 20 * ms
	fs, watching, calls, freeAt, failed := fleet(t, senders, 20), 0, 0, int64(0), map[*fake]int64{}
	for now := second; now < 20*second; now += step {
		for _, f := range fs {
			if now == second { // starts with its own random state
				f.now, f.caps.Subscribe, f.rules.MaxLookupInterval = 0, true, 10*second
			}
			f.SetTime(now)
			if failed[f] == now {
				f.UpdateList(LookupFailed, nil)
			}
			asked := count(f.advance(0), "subscribe")
			calls += asked
			switch done := max(freeAt, now) + work; {
			case asked == 0:
			case done > now+2*timeout: // refused
				failed[f] = now + step
			case done > now+timeout: // too late, but its work is done
				freeAt, failed[f] = done, now+timeout
			default:
				freeAt, watching = done, watching+1
			}
		}
	}
	assert.Equal(t, senders, watching)
	assert.Less(t, calls, 2*senders)
	busiest := map[int64]int{}
	for _, f := range fs {
		f.now, f.rules.MaxLookupInterval = 0, 0
		f.SetTime(second)
		busiest[f.lookupAt/second]++
	}
	for _, n := range busiest {
		assert.Less(t, n, senders/2, "no synchronized lookups without a configured interval")
	}
}

func TestAnOutageIsNoScarcityOfConnections(t *testing.T) {
	for name, back := range map[string]func(f *fake){
		"found by itself": func(f *fake) { f.close(f.recvs[1], f.now); f.ProbeEnded(1, Delivered, RateLimit{}) },
		"heard of":        func(f *fake) { f.ReceiveNote("+1") },
	} {
		f := fleet(t, 80, 200)[0]
		f.accept("a")
		f.advance(0)
		f.endLeg("a", ConnectFailed, 0)
		back(f)
		f.advance(20 * second)
		f.endLeg("a", Delivered, 0)
		assert.Zero(t, count(f.advance(0), "close"), name)
	}
}

// repeats counts the legs that a fleet, each sender with one message some time in 16 s, sends a dead destination in the last 3 s.
func repeats(t *testing.T, weight float64, o Outcome) (n int) {
	for i, f := range fleet(t, 200, 20) {
		f.recvs[1].route.share = weight / 200
		if weight == 0 {
			f.trust = NoWeight
		}
		for id := uint32(2); id < 5; id++ { // failure scores are per receiver
			f.UpdateList(Delta, []Entry{{Receiver: id, Dst: 7, Weight: weight, Listed: true}})
		}
		at := f.now + 16*second
		f.advance(int64(i) * 16 * second / 200)
		f.accept("a")
		for f.now < at {
			late := count(f.advance(100*ms), "send a")
			if late > 0 {
				f.endLeg("a", o, 0)
			}
			if at-f.now <= 3*second {
				n += late
			}
		}
	}
	return n
}

func TestRetriesDoNotOverloadAReturn(t *testing.T) {
	assert.Less(t, repeats(t, 0, ConnectFailed), 150, "no limit known; 38 are first calls")
}

func TestRetriesAtAKnownLimitDoNotEither(t *testing.T) {
	assert.Less(t, repeats(t, 20, Refused), 95, "38 are first calls")
}
