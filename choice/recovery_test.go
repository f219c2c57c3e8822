package choice

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Two consecutive failures without a recent success are an outage even if they close nothing: the next call waits for a random part of the whole
// interval of this sender's cold share, so that the sum over all senders is even, and further ones an interval each.
func TestARowOfFailuresSpacesCallsByAColdShare(t *testing.T) {
	const draws = 2000
	turn, sum := 30*float64(second)/(8*.2*2*slowStartMargin), 0.
	f := fleet(t, 30, 8)[0]
	r := f.recvs[1]
	for range draws {
		r.used().route.recovery, r.route.failures, r.route.failureRate = recovery{}, 0, 0
		f.countFailure(r, f.now, Errored)
		assert.Equal(t, f.now, f.recoveryReadyAt(r), "one failure")
		f.countFailure(r, f.now, Errored)
		wait := float64(f.recoveryReadyAt(r) - f.now)
		assert.LessOrEqual(t, wait, turn+1)
		sum += wait
		r.route.recovery.tokens = 1
		r.route.spendRecovery(1)
		assert.InDelta(t, turn, f.recoveryReadyAt(r)-f.now, 2)
		f.countFailure(r, f.now, Errored)
		assert.InDelta(t, turn, f.recoveryReadyAt(r)-f.now, 2, "a further failure draws no new wait")
	}
	assert.InEpsilon(t, turn/2, sum/draws, 0.05)
}

// settle ends every call for a while with one outcome.
func (f *fake) settle(o Outcome, d int64) (calls int) {
	for end := f.now + d; f.now < end; {
		for _, did := range f.advance(10 * ms) {
			if id, sent := strings.CutPrefix(did, "send "); sent {
				calls++
				f.endLeg(id, o, 0)
			}
		}
	}
	return calls
}

func phaseOf(f *fake) recoveryPhase { return f.recvs[1].route.recovery.phase }

// Guards against taking an untried receiver for healthy: of two endpoints a low-traffic sender closes one and has not called the other since.
func TestAnUntriedReceiverBesideAClosedOneIsNotOpen(t *testing.T) {
	f := newFake(t, keyed, 40, 2, 2, Kind{Batch: 1})
	f.advance(2 * second)
	f.close(f.recvs[1], f.now)
	assert.Equal(t, suspect, phaseOf(f))
	for i := range 12 {
		f.accept(fmt.Sprint(i))
	}
	turn := float64(second) / f.coldShare(f.recvs[2], .2)
	assert.LessOrEqual(t, f.settle(Delivered, int64(turn)), 2, "one, and what the ramp lets go")
	assert.Equal(t, recovering, phaseOf(f))
}

// A receiver that fails while another one of its route answers is the only faulty one.
func TestAReceiverThatFailsBesideAHealthyOneClosesAlone(t *testing.T) {
	f := newFake(t, keyed, 40, 2, highWeight, Kind{Batch: 1})
	f.advance(2 * second)
	for range 2 {
		f.callEnded(&call{r: f.recvs[2], sentAt: f.now, msgs: []*msg{{class: &f.classes[0]}}}, Delivered, 0)
		f.advance(100 * ms)
		f.callEnded(&call{r: f.recvs[1], sentAt: f.now, msgs: []*msg{{class: &f.classes[0]}}}, ConnectFailed, 0)
	}
	f.callEnded(&call{r: f.recvs[2], sentAt: f.now, msgs: []*msg{{class: &f.classes[0]}}}, Delivered, 0)
	assert.Equal(t, closed, f.recvs[1].health)
	assert.Equal(t, established, phaseOf(f))
}

// What makes a destination suspect at a low-traffic sender, and what does not.
func TestSignsOfAnOutage(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes []Outcome
		took     int64
		apart    int64 // time between outcomes
		want     recoveryPhase
	}{
		"one refused connect":        {[]Outcome{Delivered, ConnectFailed}, 0, 5 * second, established},
		"one late connect":           {[]Outcome{Delivered, ConnectFailed}, second, 5 * second, established},
		"two refused connects":       {[]Outcome{Delivered, ConnectFailed, ConnectFailed}, 0, 5 * second, suspect},
		"one silent call":            {[]Outcome{Delivered, TimedOut}, 4 * second, 5 * second, suspect},
		"one error":                  {[]Outcome{Delivered, Errored}, 0, 5 * second, established},
		"errors between answers":     {[]Outcome{Delivered, Errored, Delivered, Errored, Delivered, Errored}, 0, 100 * ms, established},
		"few answers between errors": {[]Outcome{Delivered, Errored, Errored, Delivered, Errored, Errored}, 0, 100 * ms, suspect},
		"refusals":                   {[]Outcome{Delivered, Refused, Refused}, 0, 100 * ms, established},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
			quick(f, 3)
			for i, o := range c.outcomes {
				f.advance(c.apart)
				took := 100 * ms
				if i == len(c.outcomes)-1 {
					took = c.took
				}
				f.callEnded(&call{r: f.recvs[1], sentAt: f.now - took, msgs: []*msg{{class: &f.classes[0]}}}, o, 0)
			}
			assert.Equal(t, c.want, phaseOf(f))
		})
	}
}

// Guards against a backlog sent at once when slow start ends: senders that found a return together would overload the destination then.
func TestTheEndOfSlowStartReleasesGradually(t *testing.T) {
	f := fleet(t, 30, 8)[0]
	r := f.recvs[1]
	f.enterRecovery(r, suspect)
	f.recoveryAnswered(r, true)
	f.limits.MaxQueued, f.limits.MaxCalls = 200, 100
	f.advance(10 * second)
	for i := range 100 {
		f.accept(fmt.Sprint(i))
	}
	share := f.coldShare(r, 1)
	for s, most := range []float64{2, 4, 8, 16} {
		assert.LessOrEqual(t, float64(f.settle(Delivered, second)), 1+most*share, "second %d", s+1)
	}
	f.advance(second)
	assert.Equal(t, established, phaseOf(f))
}

// Slow start resumes where the previous process left it, also if the list comes late; long after the start it is forgotten.
func TestSlowStartOutlivesTheProcess(t *testing.T) {
	f := newFake(t, keyed, 40, 2, 2, Kind{Batch: 1})
	assert.Empty(t, f.Cold())
	f.enterRecovery(f.recvs[1], suspect)
	assert.Equal(t, []ColdDst{{7, 0}}, f.Cold())
	f.recoveryAnswered(f.recvs[1], true)
	f.advance(4 * second)
	left := f.Cold()
	assert.InDelta(t, .4, left[0].Warm, .01)
	for late, want := range map[int64]recoveryPhase{0: recovering, 9 * second: recovering, 11 * second: established} {
		next := newFake(t, keyed, 40, 0, 2, Kind{Batch: 1})
		next.RestoreCold(left)
		next.advance(late)
		if want != established {
			assert.Equal(t, left, next.Cold(), "stored for one more process")
		}
		next.UpdateList(Delta, []Entry{{Receiver: 1, Dst: 7, Weight: 2, Listed: true}, {Receiver: 2, Dst: 7, Weight: 2, Listed: true}})
		assert.Equal(t, want, phaseOf(next))
		if want != established {
			assert.InDelta(t, f.recoveryRate(f.recvs[1], f.now), next.recoveryRate(next.recvs[1], next.now), .01)
		}
	}
}

// Guards against calls cut by the end of the process: they made destinations cold that nothing could make warm again, over further restarts too.
func TestACallCutByARestartMakesNoDestinationCold(t *testing.T) {
	f := newFake(t, keyed, 40, 1, 2, Kind{Batch: 1})
	f.advance(2 * second)
	f.Accept("owed", 0, "", 7, f.now+20*second, PastLeg{SentAt: f.now - 2*second})
	f.LegEnded("owed", 0, Reset, 0, false, RateLimit{})
	assert.Empty(t, f.Cold())
	assert.Equal(t, established, phaseOf(f))
	f.settle(Delivered, 20*second)
	assert.Empty(t, f.Cold())
}

// Without a configured overload factor no recovery rule applies.
func TestNoFigureForReturnsNoSlowStart(t *testing.T) {
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
	f.rules.OverloadFactor = 0
	f.enterRecovery(f.recvs[1], suspect)
	assert.Equal(t, established, phaseOf(f))
	assert.Empty(t, f.Cold())
}

// A suspect destination without queued messages is probed, so that it does not stay suspect for lack of traffic; without probes, the next
// message is the trial.
func TestASuspectDestinationIsProbedWhereNobodyWaits(t *testing.T) {
	for _, probes := range []bool{true, false} {
		f := newFake(t, keyed, 40, 2, 2, Kind{Batch: 1})
		f.caps.Probes = probes
		f.enterRecovery(f.recvs[1], suspect)
		tried := f.advance(30 * second)
		if !probes {
			assert.Empty(t, tried)
			f.accept("a")
			assert.Equal(t, 1, count(f.advance(0), "send"))
			continue
		}
		assert.Positive(t, count(tried, "probe"))
		assert.LessOrEqual(t, float64(count(tried, "probe")), 1+30*f.coldShare(f.recvs[1], .2), "probes spend like calls")
		for _, r := range f.recvs {
			f.ProbeEnded(r.id, Delivered, RateLimit{})
		}
		assert.Equal(t, recovering, phaseOf(f))
		f.advance(15 * second)
		assert.Equal(t, established, phaseOf(f))
	}
}

// A sender that closed nothing tells its peers of a return too; a peer that hears of it starts slow start at a random token level.
func TestAReturnIsSharedByASenderThatClosedNothing(t *testing.T) {
	fs := fleet(t, 30, 8)
	for _, f := range fs {
		f.enterRecovery(f.recvs[1], suspect)
	}
	finder := fs[0]
	finder.recvs[1].route.recovery.tokens = 1
	finder.accept("a")
	finder.advance(0)
	finder.endLeg("a", Delivered, 0)
	assert.Contains(t, finder.acts, "note")
	first := 0
	for _, f := range fs[1:] {
		f.recvs[1].route.recovery.tokens = 1 // it has waited long
		f.accept("b")
		f.ReceiveNote("+1")
		assert.Equal(t, recovering, phaseOf(f))
		first += count(f.advance(100*ms), "send")
	}
	assert.LessOrEqual(t, first, 2, "not all at once")
}

// Destinations that hung and return together are not network loss: those whose calls fail last are suspect like the first.
func TestReturnsOfSeveralDestinationsAreNoLoss(t *testing.T) {
	const dsts = 8
	f := newFake(t, keyed, 100, 0, highWeight, Kind{Batch: 1})
	var es []Entry
	for i := range dsts {
		es = append(es, Entry{Receiver: uint32(i + 1), Dst: int64(i + 1), Weight: highWeight, Listed: true})
	}
	f.UpdateList(Cached, es)
	for i := range dsts {
		for k := range 2 {
			f.Accept(fmt.Sprint(i, "-", k), 0, "", int64(i+1), f.now+28*second)
		}
	}
	f.advance(4 * second)
	for i := range dsts { // each resets two hung calls, and answers the next before another one resets its own
		f.endLeg(fmt.Sprint(i, "-0"), Reset, 0)
		f.endLeg(fmt.Sprint(i, "-1"), Reset, 0)
		r := f.recvs[uint32(i+1)]
		assert.Equal(t, suspect, r.route.recovery.phase, "destination %d", i+1)
		c := &call{r: r, sentAt: f.now, msgs: []*msg{{class: &f.classes[0]}}}
		row := r.route.failures
		f.callEnded(c, Delivered, 0)
		f.countLost(r, Delivered, row)
	}
	assert.Zero(t, f.loss)
}

// Destinations hang (eight, where it was seen) and their calls occupy all slots. When the calls of one end, its slots must not go to messages for
// another whose own call is still silent.
func TestSlotsFreedByOneReturnLetNothingGoToASilentDestination(t *testing.T) {
	f := newFake(t, keyed, 2, 0, highWeight, Kind{Batch: 1})
	f.UpdateList(Cached, []Entry{{Receiver: 1, Dst: 1, Weight: highWeight, Listed: true}, {Receiver: 2, Dst: 2, Weight: highWeight, Listed: true}})
	f.Accept("one", 0, "", 1, f.now+28*second)
	f.Accept("two", 0, "", 2, f.now+28*second)
	assert.Equal(t, 2, count(f.advance(0), "send"))
	for i := range 4 {
		f.Accept(fmt.Sprint("waits", i), 0, "", 2, f.now+28*second)
	}
	assert.Zero(t, count(f.advance(2*second), "send"))
	f.endLeg("one", Reset, 0)
	assert.Zero(t, count(f.advance(0), "send"), "a slot is free, but the call there is silent")
	f.endLeg("two", Reset, 0)
	assert.LessOrEqual(t, count(f.advance(ms), "send"), 1, "it is suspect now")
	f = newFake(t, keyed, 9, 1, highWeight, Kind{Batch: 1})
	quick(f, 3)
	f.accept("slow")
	f.advance(100 * ms)
	f.accept("quick")
	assert.Equal(t, 1, count(f.advance(0), "send"))
	f.endLeg("quick", Delivered, 0)
	f.advance(2 * second)
	f.accept("next")
	assert.Equal(t, 1, count(f.advance(0), "send"), "a slow call beside answered ones blocks nothing")
}

// Guards against messages that waited for a slot, while hung calls to another destination held all of them, and go at once to a destination not
// heard of since.
func TestABacklogBehindHungSlotsGoesGradually(t *testing.T) {
	for name, limit := range map[string]float64{"no limit known": 0, "limit known": highWeight} {
		t.Run(name, func(t *testing.T) {
			f := newFake(t, keyed, 1, 0, 0, Kind{Batch: 1})
			f.UpdateList(Cached, []Entry{{Receiver: 1, Dst: 1, Weight: limit, Listed: true}, {Receiver: 2, Dst: 2, Weight: limit, Listed: true}})
			f.Accept("one", 0, "", 1, f.now+28*second)
			f.advance(0)
			f.endLeg("one", Delivered, 0)
			f.Accept("hung", 0, "", 2, f.now+28*second)
			f.advance(ms)
			for i := range 6 {
				f.Accept(fmt.Sprint("waits", i), 0, "", 1, f.now+28*second)
			}
			assert.Zero(t, count(f.advance(2*second), "send"))
			f.limits.MaxCalls = 20
			f.endLeg("hung", Reset, 0)
			went := count(f.advance(ms), "send waits")
			if limit > 0 {
				assert.Equal(t, 6, went, "the rate admits all of them")
				return
			}
			assert.Equal(t, 1, went)
			assert.Equal(t, releasing, phaseOf(f))
		})
	}
}
