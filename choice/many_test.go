package choice

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a lower bound that is later than the earliest last chance in a queue: a message would be kept past its last chance.
func TestNoLastChanceIsOverlooked(t *testing.T) {
	f := newFake(t, keyed, 4, 2, highWeight, Kind{Batch: 1})
	f.UpdateList(Delta, []Entry{{Receiver: 9, Dst: 8, Weight: highWeight, Listed: true}})
	outcomes := []Outcome{Delivered, Refused, TimedOut, ConnectFailed, Reset, NotSent, Errored}
	looked := 0
	for i := range 3000 {
		f.SetTime(f.now + int64(f.chance()*float64(second)/4))
		id := fmt.Sprint(i)
		f.Accept(id, 0, "", 7+int64(i%2), f.now+second+int64(f.chance()*float64(27*second)))
		for _, m := range slices.Sorted(maps.Keys(f.msgs)) {
			n := f.legs[m]
			if n > 0 && !f.msgs[m].legs[n-1].settled && f.chance() < .3 {
				o := outcomes[int(f.chance()*float64(len(outcomes)))]
				f.LegEnded(m, n-1, o, int64(f.chance()*float64(4*second)), o == Delivered, RateLimit{})
				break
			}
		}
		f.Decide()
		for _, d := range f.order {
			for _, m := range d.queued {
				looked++
				if m.lastChance() < d.firstChance {
					require.Fail(t, "overlooked", m.id)
				}
			}
		}
	}
	ended := count(f.acts, "reject") + count(f.acts, "fail")
	assert.Greater(t, looked, 1000)
	assert.Greater(t, ended, 100)
}

// Accepted in one turn, the same destinations shed messages as if each message had arrived alone.
func TestSheddingInOneTurnEqualsSheddingOneByOne(t *testing.T) {
	f := newFake(t, keyed, 1, 1, highWeight, Kind{Batch: 1})
	for round := range 300 {
		var alone []int
		f.order = nil
		queued := 0
		for i := range 1 + int(f.chance()*9) {
			n := int(f.chance() * 12)
			alone, queued = append(alone, n), queued+n
			f.order = append(f.order, &dst{number: int32(i), dstState: &dstState{queued: make([]*msg, n)}})
		}
		excess := int(f.chance() * float64(queued+1))
		for range excess {
			alone[slices.Index(alone, slices.Max(alone))]--
		}
		for _, c := range f.shedCounts(excess) {
			require.GreaterOrEqual(t, c.n, 0)
			c.dst.queued = c.dst.queued[c.n:]
		}
		var many []int
		for _, d := range f.order {
			many = append(many, len(d.queued))
		}
		require.Equal(t, alone, many, "round %d", round)
	}
}

// With no free slot a destination waits for one whichever message would go; once one is free, the most urgent message goes.
func TestAFreeSlotGoesToTheMostUrgentMessage(t *testing.T) {
	f := newFake(t, keyed, 2, 1, highWeight, Kind{Batch: 1})
	f.UpdateList(Delta, []Entry{{Receiver: 2, Dst: 8, Weight: highWeight, Listed: true}})
	f.accept("a")
	f.Accept("b", 0, "", 8, f.now+28*second)
	f.advance(0)
	f.Accept("stale", 0, "", 7, f.now+15*second)
	f.accept("fresh")
	assert.Zero(t, count(f.advance(100*ms), "send"))
	f.endLeg("a", Delivered, 0)
	f.advance(0)
	assert.Equal(t, 1, count(f.acts, "send fresh"))
	assert.Zero(t, count(f.acts, "send stale"))
}
