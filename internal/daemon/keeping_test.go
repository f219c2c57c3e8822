package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/relay"
	"ravenlink/internal/spool"
)

// Ends are told on while the store is at work on earlier ones, each is kept once and in order, and what waits as the last is told is kept too.
func TestAStoreAtWorkHoldsNoEndBack(t *testing.T) {
	var got []string
	let, begun := make(chan struct{}), make(chan struct{}, 100)
	k := newKeeping(func(us []relay.Undelivered) {
		begun <- struct{}{}
		<-let
		require.LessOrEqual(t, len(us), keepAtOnce)
		for _, u := range us {
			got = append(got, u.Msg.ID)
		}
	})
	last, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		k.run(last)
	}()
	var want []string
	add := func(n int) {
		var us []relay.Undelivered
		for range n {
			want = append(want, fmt.Sprint("m", len(want)))
			us = append(us, relay.Undelivered{Msg: &spool.Message{ID: want[len(want)-1]}})
		}
		k.add(us)
	}
	add(1)
	<-begun
	for range 5 {
		add(100) // returns, though nothing is kept yet
	}
	require.Equal(t, 501, k.owed(), "the one at work counts")
	close(last)
	close(let)
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		require.Fail(t, "it goes on")
	}
	require.Equal(t, want, got)
	require.Zero(t, k.owed())
}
