package choice

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDrainStopsAtOnceAndQueuedMessagesWaitForTheList(t *testing.T) {
	f := newFake(t, keyed, 20, 1, highWeight, Kind{Batch: 1})
	f.UpdateList(Delta, []Entry{{Receiver: 1, Dst: 7}})
	f.accept("a")
	assert.Empty(t, f.advance(second))
	f.UpdateList(LookupFailed, nil)
	f.UpdateList(Snapshot, []Entry{{Receiver: 2, Dst: 7, Weight: highWeight, Listed: true}})
	assert.Equal(t, []string{"send a"}, f.advance(0))
	assert.EqualValues(t, 2, f.to["a"])
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []string {
		f := newFake(t, keyed, 20, 3, 9, Kind{Batch: 1})
		for i := range 12 {
			f.accept(fmt.Sprint(i))
		}
		did := f.advance(3 * second)
		return append(did, fmt.Sprint(f.to))
	}
	assert.Equal(t, run(), run())
}

func TestUnknownDestinationsAreRejectedAndNotStored(t *testing.T) {
	f := newFake(t, keyed, 20, 1, highWeight, Kind{Batch: 1})
	for i := range int64(100) {
		f.Accept(fmt.Sprint(i), 0, "", 1000+i, f.now+28*second)
	}
	assert.Equal(t, 100, count(f.acts, "reject"))
	assert.Empty(t, f.msgs)
	assert.Len(t, f.dsts, 1)
	f.Accept("owed before a restart", 0, "", 8, f.now+28*second, PastLeg{SentAt: f.now})
	f.LegEnded("owed before a restart", 0, Reset, 0, false, RateLimit{})
	assert.Len(t, f.msgs, 1, "it may have run: it waits for the list")
}

func TestReceiversLongGoneAreForgotten(t *testing.T) {
	f := newFake(t, keyed, 20, 1, highWeight, Kind{Batch: 1})
	f.accept("a")
	f.advance(0)
	f.endLeg("a", Errored, 0)
	f.close(f.recvs[1], f.now)
	f.UpdateList(Delta, []Entry{{Receiver: 1, Dst: 7}})
	f.advance(keepGone / 2)
	f.UpdateList(Delta, []Entry{{Receiver: 1, Dst: 7, Listed: true}})
	assert.Equal(t, closed, f.recvs[1].health, "back soon, it is as unhealthy as before")
	for i := range uint32(1000) {
		f.UpdateList(Delta, []Entry{{Receiver: 2 + i, Dst: int64(8 + i), Listed: true}})
		f.UpdateList(Delta, []Entry{{Receiver: 2 + i, Dst: int64(8 + i)}})
		f.advance(second)
	}
	assert.Less(t, len(f.recvs), 64)
	assert.Less(t, len(f.dsts), 64)
	assert.Len(t, f.order, len(f.dsts))
	assert.True(t, f.KnowsReceiver(1), "it is listed still")
}
