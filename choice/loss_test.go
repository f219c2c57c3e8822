package choice

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestIdleConnectionsAreNotTrustedWhileLossIsCommon(t *testing.T) {
	f := newFake(t, keyed, 40, 6, highWeight, Kind{Batch: 1})
	f.accept("lost")
	f.advance(0)
	f.loss = .2
	f.advance(4 * second)
	f.endLeg("lost", TimedOut, 0)
	f.advance(second)
	f.accept("next")
	f.advance(0)
	assert.Equal(t, []string{fmt.Sprint("close ", f.to["next"]), "send next"}, f.acts)
}

func TestLossEverywhereIsNoOutage(t *testing.T) {
	f := newFake(t, keyed, 40, 6, highWeight, Kind{Batch: 1})
	r := f.dsts[7].recvs[0]
	for range 20 { // alternately lost and answered
		f.countLost(r, TimedOut, 1)
		f.countLost(r, Delivered, 1)
	}
	for range 3 {
		f.recordFailure(r, f.now, noAnswerScore)
	}
	assert.Equal(t, open, r.health)
	for range 200 { // an outage elsewhere: no answer after the lost ones
		f.countLost(f.dsts[7].recvs[1], TimedOut, 1)
		f.countLost(r, Delivered, 1)
	}
	f.recordFailure(r, f.now, 2*noAnswerScore)
	assert.Equal(t, closed, r.health)
}

func TestLostAnswersDoNotHoldTheSlots(t *testing.T) {
	f := newFake(t, keyed, 8, 1, highWeight, Kind{Batch: 1})
	f.caps.Cancel = true
	quick(f, 20)
	served, called := 0, 0
	for i := range 200 { // 20 messages a second, a fifth of the answers are lost
		f.accept(fmt.Sprint(i))
		for _, did := range f.advance(50 * ms) {
			var n, leg int
			if _, err := fmt.Sscanf(did, "send %d", &n); err == nil && (n%5 > 0 || f.legs[fmt.Sprint(n)] > 1) {
				f.endLeg(fmt.Sprint(n), Delivered, 0)
				served++
			} else if _, err := fmt.Sscanf(did, "cancel %d %d", &n, &leg); err == nil {
				f.LegEnded(fmt.Sprint(n), leg, Cancelled, 0, false, RateLimit{})
				called++
			}
		}
	}
	assert.Greater(t, called, 30)
	assert.Greater(t, served, 180, "of 200 in 10 s; the timeout is 4 s")
	g := newFake(t, nonRetriable, 8, 1, highWeight, Kind{Batch: 1})
	g.caps.Cancel = true
	quick(g, 20)
	g.accept("a", "b", "c", "d", "e")
	g.advance(20 * ms)
	g.endLeg("b", Delivered, 0)
	g.loss = 0.5
	assert.Zero(t, count(g.advance(second), "cancel"), "non-retriable calls are not cancelled")
}

func TestCallsAreCancelledOnANetworkFaultTowardsEveryone(t *testing.T) {
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
	f.caps.Cancel = true
	for dst := int64(8); dst < 11; dst++ {
		f.UpdateList(Delta, []Entry{{Receiver: uint32(dst), Dst: dst, Weight: highWeight, Listed: true}})
		f.Accept(fmt.Sprint("to ", dst), 0, "", dst, f.now+28*second)
	}
	for _, d := range f.order {
		d.use()
		d.mean, d.dev, d.sampled = float64(100*ms), float64(20*ms), true
	}
	f.advance(0)
	assert.Equal(t, []string{"cancel to 8 0", "cancel to 9 0", "cancel to 10 0"}, f.advance(300*ms))
	f.endLeg("to 8", Cancelled, 0)
	assert.Equal(t, "close 8", f.acts[3])
	f.endLeg("to 9", Delivered, 0)
	f.endLeg("to 10", Delivered, 0)
	f.accept("another")
	assert.NotContains(t, f.advance(5*second), "cancel another 0", "one alone may just be slow")
}

func TestTwoLegsInARowLostOnIdleConnectionsEndTheTrustInThem(t *testing.T) {
	f := newFake(t, nonRetriable, 40, 1, highWeight, Kind{Batch: 1})
	f.limits.IdleTimeout = 10 * second
	idle := func(m string, o Outcome) {
		f.accept(m)
		f.advance(0)
		f.endLeg(m, o, 0)
		f.advance(5 * second)
	}
	for _, o := range []Outcome{Delivered, TimedOut, Delivered, TimedOut} {
		idle(fmt.Sprint("m", f.now), o)
	}
	assert.Zero(t, f.distrustIdleUntil, "successes in between")
	idle("again", Reset)
	assert.Greater(t, f.distrustIdleUntil, f.now)
}

func TestNonRetriableMessagesAvoidAReceiverThatFailed(t *testing.T) {
	f := newFake(t, nonRetriable, 40, 1, highWeight, Kind{Batch: 1})
	f.classes = append(f.classes, keyed)
	f.accept("a")
	f.advance(0)
	f.endLeg("a", Errored, 0)
	f.accept("b")
	f.Accept("tries", 1, "", 7, f.now+28*second)
	assert.Equal(t, []string{"send tries"}, f.advance(second))
	f.endLeg("tries", Delivered, 0)
	assert.Equal(t, []string{"send b"}, f.advance(0))
	f.endLeg("b", Errored, 0)
	f.accept("c")
	assert.Zero(t, count(f.advance(3900*ms), "send"))
	assert.Equal(t, 1, count(f.advance(200*ms), "send"), "not for long: it would be late")
}
