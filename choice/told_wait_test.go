package choice

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A wait that is told before it is known which call its answer belongs to keeps calls back from then on, and the outcome may tell it again.
func TestAWaitToldBeforeItsOutcomeBindsAtOnce(t *testing.T) {
	f := begin(t, keyed, 20, 1, aLot, Kind{Batch: 1})
	f.take("a")
	f.Decide()
	assert.Equal(t, 1, f.legs["a"])
	f.WaitTold(1, 2*second)
	f.WaitTold(99, second) // of a receiver that is not known
	f.take("b")
	f.Decide()
	assert.False(t, f.Reachable(1))
	f.ends("a", TimedOut, 0)
	assert.Zero(t, count(f.after(19*second/10), "send"))
	assert.NotZero(t, count(f.after(second), "send"))
	assert.Equal(t, SeenWait, f.seen[0].Kind)
}
