package choice

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReturnFromAnOutageIsRamped(t *testing.T) {
	f := newFake(t, keyed, 40, 1, 20, Kind{Batch: 1})
	f.accept("a", "b", "c")
	f.advance(0)
	f.advance(2 * second)
	for _, m := range []string{"a", "b", "c"} {
		f.endLeg(m, TimedOut, 0)
	}
	for i := range 20 {
		f.accept(fmt.Sprint("held", i))
	}
	acts := f.advance(2 * second)
	assert.Zero(t, count(acts, "send"))
	assert.Equal(t, 1, count(acts, "probe"))
	f.ProbeEnded(1, Delivered, RateLimit{})
	assert.Equal(t, 1, count(f.advance(second), "send"), "one trial")
	m := f.acts[0][len("send "):]
	f.endLeg(m, Delivered, 0)
	share := .36 * 20 * 2 * 2 / 2 // mean share, 1 to 3 s after the return, x capacity x overload factor x 2 s, for one of two senders
	assert.LessOrEqual(t, count(f.advance(2*second), "send"), int(share))
}

func TestARowOfFailuresAcrossEndpointsClosesTheDestination(t *testing.T) {
	f := newFake(t, keyed, 40, 4, 20, Kind{Batch: 1})
	rs := f.dsts[7].recvs
	at := func(r *receiver, o Outcome) { f.callEnded(&call{r: r, sentAt: f.now}, o, 0) }
	at(rs[0], Errored)
	at(rs[1], Errored)
	at(rs[2], Delivered)
	at(rs[0], Errored)
	at(rs[1], Errored)
	assert.Equal(t, open, rs[3].health, "a success between: the destination is up")
	at(rs[2], Errored)
	assert.Equal(t, closed, rs[3].health, "nobody waits until each has failed by itself")
	f = newFake(t, keyed, 40, 2, 20, Kind{Batch: 1})
	at(f.recvs[1], ConnectFailed)
	at(f.recvs[2], ConnectFailed)
	assert.Equal(t, []health{open, open}, []health{f.recvs[1].health, f.recvs[2].health}, "two failures are not enough")
	f = newFake(t, keyed, 40, 2, 20, Kind{Batch: 1})
	for range 3 {
		at(f.recvs[1], Errored)
	}
	assert.Equal(t, []health{closed, open}, []health{f.recvs[1].health, f.recvs[2].health}, "a failed endpoint closes no other")
}

func TestOccasionalErrorsDoNotResetTheRamp(t *testing.T) {
	f := newFake(t, keyed, 40, 1, 20, Kind{Batch: 1})
	r := f.recvs[1]
	f.setHealth(r, warming)
	for i := range 10 {
		f.advance(second)
		f.recordAnswer(r, f.now)
		if i%3 == 0 {
			f.recordFailure(r, f.now, 1)
		}
	}
	assert.Equal(t, 10*second, f.now-r.since)
	f.recordFailure(r, f.now, 1)
	assert.Equal(t, f.now, r.since, "two in a row are a setback")
}

func TestHangingReceiverGetsFewFirstLegs(t *testing.T) {
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
	quick(f, 20)
	sent := 0
	for i := range 30 {
		f.accept(fmt.Sprint(i))
		sent += count(f.advance(50*ms), "send")
	}
	assert.Less(t, sent, 10)
	f.endLeg("0", Delivered, 0)
	assert.NotZero(t, count(f.advance(0), "send"), "an answer lets more go")
}

func TestReplacedMachineOfADeadDestinationIsCold(t *testing.T) {
	f := newFake(t, keyed, 40, 1, 20, Kind{Batch: 1})
	f.accept("a", "b")
	f.advance(3 * second)
	f.endLeg("a", TimedOut, 0)
	f.endLeg("b", TimedOut, 0)
	f.UpdateList(Delta, []Entry{{Receiver: 1, Dst: 7}})
	for i := range 20 {
		f.accept(fmt.Sprint("held", i))
	}
	f.advance(second)
	f.UpdateList(Delta, []Entry{{Receiver: 2, Dst: 7, Weight: 20, Listed: true}})
	did := f.advance(2 * second)
	assert.Zero(t, count(did, "send"))
	assert.Contains(t, did, "probe 2")
}

func TestManySendersTryAHangingDestinationRarely(t *testing.T) {
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
	f.topology.Senders = 12
	f.accept("a", "b")
	f.advance(3 * second)
	f.endLeg("a", TimedOut, 0)
	f.endLeg("b", TimedOut, 0)
	probes := 0
	for range 24 {
		probes += count(f.advance(second), "probe")
		f.ProbeEnded(1, TimedOut, RateLimit{})
	}
	assert.InDelta(t, 4, probes, 1, "one in half a second of all twelve, in 24 s")
}

// Guards against the usual rate to a machine that replaces an undetected unhealthy one: it is cold and begins with slow start.
func TestANewReceiverOfADegradedDestinationStartsOnTheRamp(t *testing.T) {
	f := newFake(t, keyed, 40, 2, 20, Kind{Batch: 1})
	quick(f, 5)
	assert.Equal(t, open, f.recvs[2].health, "receivers listed at the start count as warm")
	f.UpdateList(Delta, []Entry{{Receiver: 4, Dst: 7, Weight: 20, Listed: true}})
	assert.Equal(t, open, f.recvs[4].health, "a new receiver of a healthy destination counts as warm")
	f.UpdateList(Delta, []Entry{{Receiver: 4, Dst: 7, Weight: 20}})
	f.accept("lost")
	f.advance(10 * ms)
	f.endLeg("lost", TimedOut, 0)
	f.UpdateList(Delta, []Entry{{Receiver: 3, Dst: 7, Weight: 20, Listed: true}})
	assert.Equal(t, warming, f.recvs[3].health)
	f.UpdateList(Delta, []Entry{{Receiver: 1, Dst: 7, Weight: 20}, {Receiver: 2, Dst: 7, Weight: 20}})
	f.accept("a", "b", "c")
	assert.Equal(t, 1, count(f.advance(4*second), "send"), "one call until it has delivered")
}

func TestEndpointThatFailsOneClassIsLeftToTheOthers(t *testing.T) {
	f := newFake(t, nonRetriable, 40, 2, highWeight, Kind{Batch: 1})
	f.classes = append(f.classes, keyed)
	failed, others := 0, 0
	for i := range 200 {
		m, class := fmt.Sprint(i), i%2
		f.Accept(m, class, "", 7, f.now+28*second)
		f.advance(100 * ms)
		o := Delivered
		if f.to[m] == 1 && class == 0 {
			o = Errored
			failed++
		} else if f.to[m] == 1 {
			others++
		}
		f.endLeg(m, o, 0)
	}
	assert.Less(t, failed, 20, "of 100, half of them by chance alone")
	assert.Greater(t, others, 20)
}
