package choice

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestMessagesAreShedBeforeTheQueueIsFull(t *testing.T) {
	f := newFake(t, keyed, 1, 1, highWeight, Kind{Batch: 1})
	for i := range 40 {
		f.accept(fmt.Sprint(i))
	}
	assert.Equal(t, 2, count(f.advance(0), "reject"))
}

func TestMessagesThatCannotGoInTimeAreRejectedLate(t *testing.T) {
	f := newFake(t, keyed, 40, 1, 0, Kind{Batch: 1})
	f.topology.Senders = 300
	f.accept("mayHaveRun", "b")
	f.advance(0)
	f.endLeg("mayHaveRun", Errored, 0)
	f.endLeg("b", Delivered, 0)
	f.close(f.recvs[1], f.now)
	f.recvs[1].route.nextProbeAt = f.now + 40*second
	f.accept("c", "d")
	assert.Equal(t, []string{"fail mayHaveRun"}, f.advance(0)[:1], "keeping it is of no use")
	taken := f.now
	assert.Empty(t, f.advance(19*second), "a peer may report a recovery")
	f.ReceiveNote("+1")
	f.recvs[1].tokens = 1
	sent := f.advance(ms)[0]
	assert.Contains(t, sent, "send", "and it goes")
	f.close(f.recvs[1], f.now)
	f.recvs[1].route.nextProbeAt = f.now + 40*second
	f.accept("late")
	assert.Equal(t, 1, count(f.advance(taken+20*second-f.now), "reject"), "seven tenths of 28 s")
	assert.Equal(t, second, max(f.retryAfter["c"], f.retryAfter["d"]))
	f.endLeg(sent[len("send "):], Refused, 60*second)
	assert.Contains(t, f.advance(0), "reject late", "with a Retry-After that long it ends at once")
}
