package fleettest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A destination that got no call after its return was not pushed over by any, and one that got more than are let through was.
func TestReturnJudgeGoesByCalls(t *testing.T) {
	const back, until = 2 * time.Second, 20 * time.Second
	early := []arrival{{At: time.Second, By: 1}}
	require.LessOrEqual(t, worst(3, 8, back, until, early).ratio(), 1.0)
	crowd := early
	for i := range 200 {
		crowd = append(crowd, arrival{At: back + time.Duration(i)*time.Millisecond, By: i})
	}
	require.Greater(t, worst(3, 8, back, until, crowd).ratio(), 1.0)
}
