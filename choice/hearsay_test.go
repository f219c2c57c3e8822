package choice

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLeaseReplacesTheEvenShare(t *testing.T) {
	f := begin(t, keyed, 40, 1, aLot, Kind{Batch: 1})
	f.Shared(7, 2)
	f.take("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
	assert.InDelta(t, 2*4, count(f.after(4*second), "send"), 1)
	f.Shared(7, 0)
	assert.Zero(t, count(f.after(second), "send"))
	f.Shared(7, -1)
	left := len(f.dsts[7].held)
	assert.Equal(t, left, count(f.after(second), "send"), "back to the old way")
}

func TestNoLeaseNoProbeAndTheDeadlineHolds(t *testing.T) {
	f := begin(t, keyed, 40, 1, aLot, Kind{Batch: 1})
	f.Shared(7, 0)
	f.close(f.recvs[1], f.now)
	f.take("a")
	assert.Equal(t, []string{"push back a"}, f.after(40*second))
}

func TestSightsAreToldOnlyOfWhatWasSeenHere(t *testing.T) {
	f := begin(t, keyed, 40, 1, aLot, Kind{Batch: 1})
	f.Told(Sight{Kind: SeenDown, Receiver: 1})
	assert.Equal(t, closed, f.recvs[1].health)
	assert.Empty(t, f.seen, "hearsay is not told on")
	assert.Positive(t, count(f.after(60*second), "probe"), "a false word heals by the usual trials")
	f.Probed(1, Delivered, Report{Told: true, LimitPerSec: 50})
	f.take("a")
	f.after(second)
	f.ends("a", Full, second)
	f.after(3 * second)
	f.ends("a", ConnectFailed, 0)
	f.after(second)
	f.Probed(1, Delivered, Report{})
	f.after(2 * second)
	f.ends("a", Delivered, 0)
	kinds := []SightKind{}
	for _, v := range f.seen {
		kinds = append(kinds, v.Kind)
		assert.EqualValues(t, 7, v.Dst)
	}
	assert.Equal(t, []SightKind{SeenLimit, SeenWait, SeenScarce, SeenDown, SeenBack}, kinds)
}

func TestHearsayGivesWayToNewerSight(t *testing.T) {
	f := begin(t, keyed, 40, 1, 0, Kind{Batch: 1})
	r := f.recvs[1]
	quick(f, 1)
	f.At(f.now + second)
	f.Told(Sight{Kind: SeenDown, Receiver: 1, Age: 2 * second})
	assert.Equal(t, open, r.health, "it has delivered since")
	f.Told(Sight{Kind: SeenDown, Receiver: 1, Age: second / 2})
	assert.Equal(t, closed, r.health)
	f.At(f.now + second)
	f.Told(Sight{Kind: SeenBack, Receiver: 1, Age: 2 * second})
	assert.Equal(t, closed, r.health, "closed since")
	f.Told(Sight{Kind: SeenBack, Receiver: 1, Age: second / 2})
	assert.Equal(t, warming, r.health)
	f.Told(Sight{Kind: SeenLimit, Receiver: 1, PerSec: 40})
	f.Told(Sight{Kind: SeenLimit, Receiver: 1, PerSec: 90})
	assert.Equal(t, 40., r.route.told, "once known it stays")
	f.Told(Sight{Kind: SeenScarce, Receiver: 1, Age: second})
	assert.Equal(t, f.now+scarceFor-second, r.scarceTill)
	f.Told(Sight{Kind: SeenWait, Receiver: 1, Wait: second})
	assert.False(t, f.Reachable(1))
	f.Told(Sight{Kind: SeenDown, Receiver: 9})
}

func TestRecalledMessageEndsAtOnceOrWithItsLeg(t *testing.T) {
	f := begin(t, keyed, 40, 1, aLot, Kind{Batch: 1})
	f.allowed.Probes = false // the destination is suspect then: its probes are another test's
	f.take("out", "kept")
	f.after(0)
	f.ends("kept", Errored, 0)
	f.take("fresh")
	f.did = nil
	f.Recall("fresh")
	f.Recall("kept")
	f.Recall("out")
	assert.Equal(t, []string{"push back fresh", "push back kept"}, f.did, "coming again is harmless in this lane")
	f.ends("out", Errored, 0)
	assert.Equal(t, "fail out", f.did[2])
	assert.Empty(t, f.after(30*second))
	g := begin(t, oneWay, 40, 1, aLot, Kind{Batch: 1})
	g.take("a")
	g.after(0)
	g.Recall("a")
	g.ends("a", Full, 0)
	assert.Contains(t, g.did, "push back a")
}

func TestFloorIsTheFleetsToShare(t *testing.T) {
	f := begin(t, keyed, 40, 1, aLot, Kind{Batch: 1})
	f.Floor(0)
	f.take("a")
	f.after(0)
	f.ends("a", Errored, 0)
	assert.Contains(t, f.did, "fail a", "no success, no floor: no repeat")
	f.Floor(-1)
	f.take("b")
	f.after(second)
	f.ends("b", Errored, 0)
	assert.NotContains(t, f.did, "fail b")
}
