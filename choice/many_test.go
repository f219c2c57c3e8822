package choice

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What spares the walk over all held must never be later than the earliest of them: a message would be held past its last chance.
func TestNoLastChanceIsOverlooked(t *testing.T) {
	f := begin(t, keyed, 4, 2, aLot, Kind{Batch: 1})
	f.Listed(Changes, []Entry{{Receiver: 9, Dst: 8, Weight: aLot, Listed: true}})
	outcomes := []Outcome{Delivered, Full, TimedOut, ConnectFailed, Reset, Skipped, Errored}
	looked := 0
	for i := range 3000 {
		f.At(f.now + int64(f.chance()*float64(second)/4))
		id := fmt.Sprint(i)
		f.Take(id, 0, "", 7+int64(i%2), f.now+second+int64(f.chance()*float64(27*second)))
		for _, m := range slices.Sorted(maps.Keys(f.msgs)) {
			n := f.legs[m]
			if n > 0 && !f.msgs[m].legs[n-1].settled && f.chance() < .3 {
				o := outcomes[int(f.chance()*float64(len(outcomes)))]
				f.Settled(m, n-1, o, int64(f.chance()*float64(4*second)), o == Delivered, Report{})
				break
			}
		}
		f.Decide()
		for _, d := range f.order {
			for _, m := range d.held {
				looked++
				if m.lastChance() < d.firstChance {
					require.Fail(t, "overlooked", m.id)
				}
			}
		}
	}
	ended := count(f.did, "push back") + count(f.did, "fail")
	assert.Greater(t, looked, 1000)
	assert.Greater(t, ended, 100)
}

// Taken up in one turn, the same destinations give way as if each message had come alone.
func TestWhatGivesWayOfManyIsWhatGivesWayOneByOne(t *testing.T) {
	f := begin(t, keyed, 1, 1, aLot, Kind{Batch: 1})
	for round := range 300 {
		var alone []int
		f.order = nil
		held := 0
		for i := range 1 + int(f.chance()*9) {
			n := int(f.chance() * 12)
			alone, held = append(alone, n), held+n
			f.order = append(f.order, &dst{number: int32(i), traffic: &traffic{held: make([]*msg, n)}})
		}
		excess := int(f.chance() * float64(held+1))
		for range excess {
			alone[slices.Index(alone, slices.Max(alone))]--
		}
		for _, c := range f.crowds(excess) {
			require.GreaterOrEqual(t, c.n, 0)
			c.dst.held = c.dst.held[c.n:]
		}
		var many []int
		for _, d := range f.order {
			many = append(many, len(d.held))
		}
		require.Equal(t, alone, many, "round %d", round)
	}
}

// With no slot left a destination waits for one whichever message would go; as one is free, the most urgent goes.
func TestAFreeSlotIsTheMostUrgents(t *testing.T) {
	f := begin(t, keyed, 2, 1, aLot, Kind{Batch: 1})
	f.Listed(Changes, []Entry{{Receiver: 2, Dst: 8, Weight: aLot, Listed: true}})
	f.take("a")
	f.Take("b", 0, "", 8, f.now+28*second)
	f.after(0)
	f.Take("stale", 0, "", 7, f.now+15*second)
	f.take("fresh")
	assert.Zero(t, count(f.after(100*ms), "send"))
	f.ends("a", Delivered, 0)
	f.after(0)
	assert.Equal(t, 1, count(f.did, "send fresh"))
	assert.Zero(t, count(f.did, "send stale"))
}
