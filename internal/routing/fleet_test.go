package routing

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestGateIsCheckedLastBeforeTheFirstByte(t *testing.T) {
	c := begin(t)
	c.take("a")
	a := c.pick("a")
	asked, let := []int64{}, false
	c.Gate = func(dst int64) bool { asked = append(asked, dst); return let }
	assert.False(t, c.Authorized(a))
	let = true
	assert.True(t, c.Authorized(a))
	c.UpdateReceivers([]Listing{{ID: "s-1", Dst: 7, Listed: false}}, false, false)
	assert.False(t, c.Authorized(a))
	assert.Equal(t, []int64{7, 7}, asked, "not if the decision no longer holds anyway")
}

func TestFleetInputsReachTheModule(t *testing.T) {
	c := begin(t)
	c.SetLease(7, 0)
	c.take("a")
	assert.Zero(t, c.Stats().Calls)
	c.Recall("a")
	assert.Equal(t, Rejected, c.pick("a").Disposition)
	c.SetLease(7, -1)
	c.ReceiveObservation("s-1", Observation{Kind: ObservedDown})
	c.ReceiveObservation("nobody", Observation{Kind: ObservedDown})
	assert.Equal(t, 1, c.Stats().Closed)
	c.ReceiveObservation("s-1", Observation{Kind: ObservedRecovery})
	assert.Zero(t, c.Stats().Closed)
	c.now += 2e6 // warm
	c.SetRetryFloor(0)
	c.take("b")
	c.Report(c.pick("b"), Errored, 0, Load{})
	assert.Equal(t, Failed, c.pick("b").Disposition)
}

func TestObservationsAreTasksAndLeaveRoomForOthers(t *testing.T) {
	c := begin(t)
	c.take("a")
	c.Report(c.pick("a"), Refused, 500_000, Load{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		got, err := c.NextTask(ctx)
		require.NoError(t, err)
		if got.Kind == ShareObservation {
			assert.Equal(t, ObservedRetryAfter, got.Observation.Kind)
			assert.Equal(t, "s-1", got.Receiver.ID)
			break
		}
	}
	number, known := c.numberOf("s-1")
	require.True(t, known)
	for range 2 * maxTasks {
		host{c.Router}.Share(Observation{Receiver: number})
	}
	assert.Len(t, c.tasks, maxTasks/2)
}
