package choice

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestMessagesOfAKeyAreOrderedWithAQuietTime(t *testing.T) {
	f := newFake(t, inOrder, 20, 1, highWeight, Kind{Batch: 1})
	f.Accept("a", 0, "k", 7, f.now+28*second)
	f.Accept("b", 0, "k", 7, f.now+28*second)
	assert.Equal(t, []string{"send a"}, f.advance(0))
	f.Withdraw("a")
	assert.Empty(t, f.advance(second), "a leg of a is still out")
	f.endLeg("a", TimedOut, 0)
	assert.Empty(t, f.advance(990*ms))
	assert.Contains(t, f.advance(20*ms), "send b")
	f.endLeg("b", Delivered, 0)
	f.advance(2 * second)
	assert.Empty(t, f.keyQueues)
	assert.Empty(t, f.msgs)
}

// Peers learn of a message's end after the turn that decides it; the next message of its key must not start before that.
func TestNextOfAKeyWaitsUntilTheEndBeforeItIsKnown(t *testing.T) {
	f := newFake(t, inOrder, 20, 1, highWeight, Kind{Batch: 1})
	f.ReportEndsLater()
	f.Restarted()
	f.RestoreUnreported("ended", 0, "k", 7)
	f.Accept("a", 0, "k", 7, f.now+10*second)
	f.Accept("b", 0, "k", 7, f.now+28*second)
	f.Accept("other", 0, "l", 7, f.now+28*second)
	assert.Empty(t, f.advance(990*ms), "legs of the previous process may still run for any key")
	assert.Equal(t, 1, count(f.advance(20*ms), "send other"))
	assert.Empty(t, f.advance(8*second), "the end of the one from before the restart is not known")
	assert.Equal(t, []string{"reject a"}, f.advance(second), "its deadline is over")
	f.EndReported("ended")
	assert.Empty(t, f.advance(second), "nor is that of a")
	f.EndReported("a")
	assert.Equal(t, []string{"send b"}, f.advance(0))
	f.endLeg("b", Delivered, 0)
	f.endLeg("other", Delivered, 0)
	f.advance(2 * second)
	assert.Empty(t, f.keyQueues)
	assert.Empty(t, f.msgs)
}
