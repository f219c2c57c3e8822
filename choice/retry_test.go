package choice

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNonRetriableEndsAfterATimeOutButGoesOnAfterProof(t *testing.T) {
	f := newFake(t, nonRetriable, 20, 1, highWeight, Kind{Batch: 1})
	f.accept("a", "b")
	assert.Equal(t, 2, count(f.advance(0), "send"))
	f.endLeg("a", TimedOut, 0)
	f.endLeg("b", Refused, 0)
	assert.Contains(t, f.acts, "fail a")
	acts := f.advance(5 * second) // it avoids the receiver where the other one failed
	assert.Contains(t, acts, "send b")
	assert.NotContains(t, acts, "send a")
}

func TestKeyedIsNeverSentPastItsWindow(t *testing.T) {
	f := newFake(t, keyed, 20, 1, highWeight, Kind{Batch: 1})
	f.accept("a")
	f.advance(0)
	f.advance(window - 10*ms)
	f.endLeg("a", TimedOut, 0)
	f.acts = nil
	assert.Zero(t, count(f.advance(20*second), "send"))
	assert.Empty(t, f.msgs)
}

func TestLegWhoseConnectionComesUpAfterTheWindowDoesNotBegin(t *testing.T) {
	f := newFake(t, keyed, 20, 1, highWeight, Kind{Batch: 1})
	f.caps.Probes = false // the destination would be suspect, and its probes are covered by another test
	f.accept("a")
	f.advance(0)
	f.SetTime(f.now + window - second)
	f.endLeg("a", Reset, 0)
	assert.Equal(t, 1, count(f.advance(200*ms), "send"), "a second leg goes, inside the window")
	assert.True(t, f.MayStart("a", 1))
	f.SetTime(f.now + 800*ms)
	assert.False(t, f.MayStart("a", 1), "the receiver has forgotten the key: it would run twice")
	f.endLeg("a", NotSent, 0)
	assert.Equal(t, []string{"reject a"}, f.advance(second))
}

func TestBudgetEarnsATenthAndForgetsAfterTtl(t *testing.T) {
	var b budget
	for range 30 {
		assert.True(t, b.withdraw(second, percentCanRetry, minRetriesPerSec))
	}
	assert.False(t, b.withdraw(second, percentCanRetry, minRetriesPerSec))
	for range 20 {
		b.deposit(2*second, percentCanRetry)
	}
	assert.True(t, b.withdraw(3*second, percentCanRetry, minRetriesPerSec))
	assert.True(t, b.withdraw(3*second, percentCanRetry, minRetriesPerSec))
	assert.False(t, b.withdraw(3*second, percentCanRetry, minRetriesPerSec))
	b.expire(13*second, percentCanRetry)
	assert.InDelta(t, 30, b.spent, 1e-9, "20 expired credits cut spent by 2")
}

func TestEmptyBudgetFailsOrRejectsByTheLastOutcome(t *testing.T) {
	f := newFake(t, keyed, 20, 1, highWeight, Kind{Batch: 1})
	f.dsts[7].use().errorRetries.spent = 1000
	f.accept("a", "b")
	f.advance(0)
	f.endLeg("a", Errored, 0)
	f.endLeg("b", ConnectFailed, 0)
	assert.Contains(t, f.acts, "fail a")
	assert.Contains(t, f.acts, "reject b")
	assert.Equal(t, map[string]int64{"b": defaultRetryAfter}, f.retryAfter, "rejected at once, with a Retry-After")
	g := newFake(t, keyed, 20, 1, highWeight, Kind{Batch: 1})
	g.caps.MaxRetryAfter = 0 // as New has it where no Retry-After is allowed
	g.Accept("nowhere", 0, "", 99, g.now+second)
	assert.Equal(t, map[string]int64{"nowhere": 0}, g.retryAfter)
}

func TestEveryMessageIsAnsweredBeforeItsDeadline(t *testing.T) {
	f := newFake(t, keyed, 4, 1, highWeight, Kind{Batch: 1})
	f.accept("out", "held", "held too", "and this")
	did := f.advance(28*second - answerMargin)
	assert.Equal(t, 4, count(did, "fail")+count(did, "reject"))
}

// Guards against messages rejected within a millisecond though they have seconds left, because nothing could be sent for a moment: the folder
// took no record, or the process was delayed.
func TestUnsentMessagesAreDelayedBeforeARetry(t *testing.T) {
	const messages, step = 20, 10 * ms
	f := newFake(t, keyed, 40, 1, highWeight, Kind{Batch: 1})
	tries, over, lasted := map[string]int{}, 0, int64(0)
	for i := range messages {
		f.accept(fmt.Sprint(i))
	}
	for at := int64(0); over < messages && at < 60*second; at += step {
		for _, acts := range f.advance(step) {
			if id, sent := strings.CutPrefix(acts, "send "); sent {
				f.endLeg(id, NotSent, 0)
				tries[id]++
			}
		}
		ended := count(f.acts, "reject")
		over, lasted = over+ended, lasted+int64(ended)*at
	}
	assert.Equal(t, messages, over, "each has one end")
	assert.Greater(t, lasted/messages, second/2, "µs until a message ends")
	for id, n := range tries {
		assert.LessOrEqual(t, n, f.limits.MaxLegs, id)
	}
}
