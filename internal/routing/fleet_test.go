package routing

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestGateIsAskedLastBeforeTheFirstByte(t *testing.T) {
	c := begin(t)
	c.take("a")
	a := c.pick("a")
	asked, let := []int64{}, false
	c.Gate = func(dst int64) bool { asked = append(asked, dst); return let }
	assert.False(t, c.Stands(a))
	let = true
	assert.True(t, c.Stands(a))
	c.List([]Listing{{ID: "s-1", Dst: 7, Listed: false}}, false, false)
	assert.False(t, c.Stands(a))
	assert.Equal(t, []int64{7, 7}, asked, "not when it falls anyway")
}

func TestWhatTheFleetTellsReachesTheModule(t *testing.T) {
	c := begin(t)
	c.Shared(7, 0)
	c.take("a")
	assert.Zero(t, c.Believes().Calls)
	c.Recall("a")
	assert.Equal(t, PushedBack, c.pick("a").Way)
	c.Shared(7, -1)
	c.Told("s-1", Sight{Kind: SeenDown})
	c.Told("nobody", Sight{Kind: SeenDown})
	assert.Equal(t, 1, c.Believes().Closed)
	c.Told("s-1", Sight{Kind: SeenBack})
	assert.Zero(t, c.Believes().Closed)
	c.now += 2e6 // warm
	c.Floor(0)
	c.take("b")
	c.Report(c.pick("b"), Errored, 0, Load{})
	assert.Equal(t, Failed, c.pick("b").Way)
}

func TestSightsComeAsChoresAndLeaveRoomForOthers(t *testing.T) {
	c := begin(t)
	c.take("a")
	c.Report(c.pick("a"), TurnedAway, 500_000, Load{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		got, err := c.Chore(ctx)
		require.NoError(t, err)
		if got.Kind == Saw {
			assert.Equal(t, SeenWait, got.Sight.Kind)
			assert.Equal(t, "s-1", got.Receiver.ID)
			break
		}
	}
	number, known := c.numberOf("s-1")
	require.True(t, known)
	for range 2 * mostChores {
		host{c.Router}.Saw(Sight{Receiver: number})
	}
	assert.Len(t, c.chores, mostChores/2)
}
