package choice

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLeaseReplacesTheEvenShare(t *testing.T) {
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
	f.SetLease(7, 2)
	f.accept("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
	assert.InDelta(t, 2*4, count(f.advance(4*second), "send"), 1)
	f.SetLease(7, 0)
	assert.Zero(t, count(f.advance(second), "send"))
	f.SetLease(7, -1)
	left := len(f.dsts[7].queued)
	assert.Equal(t, left, count(f.advance(second), "send"), "no lease again")
}

func TestNoLeaseNoProbeAndTheDeadlineHolds(t *testing.T) {
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
	f.SetLease(7, 0)
	f.close(f.recvs[1], f.now)
	f.accept("a")
	assert.Equal(t, []string{"reject a"}, f.advance(40*second))
}

func TestOnlyOwnObservationsAreShared(t *testing.T) {
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
	f.ReceiveObservation(Observation{Kind: ObservedDown, Receiver: 1})
	assert.Equal(t, closed, f.recvs[1].health)
	assert.Empty(t, f.shared, "observations of peers are not forwarded")
	assert.Positive(t, count(f.advance(60*second), "probe"), "a false observation is corrected by the usual probes")
	f.ProbeEnded(1, Delivered, RateLimit{Known: true, LimitPerSec: 50})
	f.accept("a")
	f.advance(second)
	f.endLeg("a", Refused, second)
	f.advance(3 * second)
	f.endLeg("a", ConnectFailed, 0)
	f.advance(second)
	f.ProbeEnded(1, Delivered, RateLimit{})
	f.advance(2 * second)
	f.endLeg("a", Delivered, 0)
	kinds := []ObservationKind{}
	for _, v := range f.shared {
		kinds = append(kinds, v.Kind)
		assert.EqualValues(t, 7, v.Dst)
	}
	assert.Equal(t, []ObservationKind{ObservedLimit, ObservedRetryAfter, ObservedConnShortage, ObservedDown, ObservedRecovery}, kinds)
}

func TestNewerOwnObservationsOverrideThoseOfPeers(t *testing.T) {
	f := newFake(t, keyed, 40, 1, 0, Kind{Batch: 1})
	r := f.recvs[1]
	quick(f, 1)
	f.SetTime(f.now + second)
	f.ReceiveObservation(Observation{Kind: ObservedDown, Receiver: 1, Age: 2 * second})
	assert.Equal(t, open, r.health, "it has delivered since")
	f.ReceiveObservation(Observation{Kind: ObservedDown, Receiver: 1, Age: second / 2})
	assert.Equal(t, closed, r.health)
	f.SetTime(f.now + second)
	f.ReceiveObservation(Observation{Kind: ObservedRecovery, Receiver: 1, Age: 2 * second})
	assert.Equal(t, closed, r.health, "closed since")
	f.ReceiveObservation(Observation{Kind: ObservedRecovery, Receiver: 1, Age: second / 2})
	assert.Equal(t, warming, r.health)
	f.ReceiveObservation(Observation{Kind: ObservedLimit, Receiver: 1, PerSec: 40})
	f.ReceiveObservation(Observation{Kind: ObservedLimit, Receiver: 1, PerSec: 90})
	assert.Equal(t, 40., r.route.announcedLimit, "once known it stays")
	f.ReceiveObservation(Observation{Kind: ObservedConnShortage, Receiver: 1, Age: second})
	assert.Equal(t, f.now+connScarceFor-second, r.connScarceUntil)
	f.ReceiveObservation(Observation{Kind: ObservedRetryAfter, Receiver: 1, RetryAfter: second})
	assert.False(t, f.Reachable(1))
	f.ReceiveObservation(Observation{Kind: ObservedDown, Receiver: 9})
}

func TestRecalledMessageEndsAtOnceOrWithItsLeg(t *testing.T) {
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
	f.caps.Probes = false // the destination would be suspect, and its probes are covered by another test
	f.accept("out", "kept")
	f.advance(0)
	f.endLeg("kept", Errored, 0)
	f.accept("fresh")
	f.acts = nil
	f.Recall("fresh")
	f.Recall("kept")
	f.Recall("out")
	assert.Equal(t, []string{"reject fresh", "reject kept"}, f.acts, "another hand-in is harmless in this class")
	f.endLeg("out", Errored, 0)
	assert.Equal(t, "fail out", f.acts[2])
	assert.Empty(t, f.advance(30*second))
	g := newFake(t, nonRetriable, 40, 1, highWeight, Kind{Batch: 1})
	g.accept("a")
	g.advance(0)
	g.Recall("a")
	g.endLeg("a", Refused, 0)
	assert.Contains(t, g.acts, "reject a")
}

func TestRetryFloorIsSetByTheFleet(t *testing.T) {
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
	f.SetRetryFloor(0)
	f.accept("a")
	f.advance(0)
	f.endLeg("a", Errored, 0)
	assert.Contains(t, f.acts, "fail a", "no success, no floor: no retry")
	f.SetRetryFloor(-1)
	f.accept("b")
	f.advance(second)
	f.endLeg("b", Errored, 0)
	assert.NotContains(t, f.acts, "fail b")
}
