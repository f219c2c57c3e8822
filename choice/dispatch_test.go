package choice

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDestinationCap(t *testing.T) {
	for slots, want := range map[int]int{1: 1, 2: 1, 3: 2, 4: 2, 20: 14} {
		f := newFake(t, keyed, slots, 1, highWeight, Kind{Batch: 1})
		for i := range 30 {
			f.accept(fmt.Sprint(i))
		}
		assert.Equal(t, want, count(f.advance(0), "send"), "%d slots", slots)
	}
}

func TestBacklogDoesNotMakeWhatFollowsLate(t *testing.T) {
	for _, halves := range []bool{true, false} {
		f := newFake(t, keyed, 2, 1, highWeight, Kind{Batch: 1})
		f.limits.ExponentialDecay = halves
		f.UpdateList(Delta, []Entry{{Receiver: 1, Dst: 7}})
		f.accept("stale", "stale too")
		f.advance(27 * second)
		f.accept("fresh")
		f.UpdateList(Delta, []Entry{{Receiver: 1, Dst: 7, Weight: highWeight, Listed: true}})
		assert.Equal(t, []string{"send fresh"}, f.advance(0))
	}
}

func TestMessagesWithShortDeadlinesAreNotStale(t *testing.T) {
	f := newFake(t, keyed, 2, 1, highWeight, Kind{Batch: 1})
	f.UpdateList(Delta, []Entry{{Receiver: 1, Dst: 7}})
	f.accept("stale")
	f.advance(5 * second)
	f.Accept("again", 0, "", 7, f.now+22*second)
	f.Accept("short", 0, "", 7, f.now+second)
	f.UpdateList(Delta, []Entry{{Receiver: 1, Dst: 7, Weight: highWeight, Listed: true}})
	assert.Equal(t, []string{"send short"}, f.advance(0))
	assert.Equal(t, f.now-6*second, f.msgs["again"].sentAt)
}

func TestYoungMessagesGoFirstWhereClientsLeaveEarly(t *testing.T) {
	f := newFake(t, keyed, 40, 1, 10, Kind{Batch: 1})
	served, gone := 0, 0
	for i := range 200 { // 20 messages a second arrive, 6.5 a second may go, each client leaves after a second
		f.accept(fmt.Sprint(i))
		for _, did := range f.advance(50 * ms) {
			var n int
			if _, err := fmt.Sscanf(did, "send %d", &n); err != nil {
				continue
			}
			if i-n > 20 {
				f.LegEnded(fmt.Sprint(n), 0, NotSent, 0, true, RateLimit{})
				gone++
				continue
			}
			f.endLeg(fmt.Sprint(n), Delivered, 0)
			served++
		}
	}
	assert.Greater(t, served, 60, "the rate goes to messages whose clients wait")
	assert.Less(t, gone, 40)
}

func TestMessagesOfOneTurnShareACall(t *testing.T) {
	f := newFake(t, keyed, 2, 1, highWeight, Kind{Batch: 5})
	f.accept("a", "b", "c")
	assert.Equal(t, 3, count(f.advance(0), "send"))
	assert.Equal(t, 1, f.calls)
}

func TestBusyDestinationGathersForACall(t *testing.T) {
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 4})
	f.accept("a")
	assert.Equal(t, []string{"send a"}, f.advance(0), "at once to an idle destination")
	f.accept("b", "c")
	assert.Empty(t, f.advance(second/10))
	f.accept("d", "e")
	assert.Equal(t, 4, count(f.advance(0), "send"), "a full call goes")
	assert.Equal(t, 2, f.calls)
}

func TestReceiversWithIdleConnectionsArePreferred(t *testing.T) {
	f := newFake(t, keyed, 40, 2, highWeight, Kind{Batch: 1})
	f.limits.IdleTimeout = 10 * second
	same := 0
	for i := range 200 {
		m, last := fmt.Sprint(i), uint32(0)
		if i > 0 {
			last = f.to[fmt.Sprint(i-1)]
		}
		for _, r := range f.recvs {
			r.lastOutcomeAt = 0
			if r.id == last {
				r.lastOutcomeAt = f.now
			}
		}
		f.accept(m)
		f.advance(100 * ms)
		f.endLeg(m, Delivered, 0)
		if f.to[m] == last {
			same++
		}
	}
	assert.Greater(t, same, 130)
}

func TestFullSlotsWaitForAnOutcomeNotForATimer(t *testing.T) {
	f := newFake(t, keyed, 2, 1, highWeight, Kind{Batch: 1})
	f.UpdateList(Delta, []Entry{{Receiver: 2, Dst: 8, Weight: highWeight, Listed: true}, {Receiver: 3, Dst: 9, Weight: highWeight, Listed: true}})
	for i, id := range []string{"a", "b", "c"} {
		f.Accept(id, 0, "", int64(7+i), f.now+28*second)
	}
	assert.Equal(t, 2, count(f.advance(second), "send"), "as many as slots")
	assert.Less(t, f.timers, 20)
	f.endLeg("a", Delivered, 0)
	assert.Equal(t, 1, count(f.advance(0), "send"), "at the outcome")
}
