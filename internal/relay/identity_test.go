package relay

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// plain is a message without a channel, as another client hands it in.
func (r *rig) plain(id string) *spool.Message {
	return &spool.Message{ID: id, Lane: "n", Key: id, Dst: 7, Expires: r.Now() + 8e6, Body: []byte("foreign")}
}

// Guards against a plain hand-in under the id of a message that waits for its turn in a channel: the receiver ran its body in that one's place.
func TestAPlainHandInDoesNotTakeTheIDOfAMessageThatWaits(t *testing.T) {
	r := begin(t)
	m := r.message("a")
	m.Body = []byte("own")
	require.NoError(t, r.Keep(m))
	lane, _ := r.Lane("n")
	way, _ := r.Take(r.plain("a"), lane)
	require.Equal(t, routing.Twice, way)
	r.delivers(t, m)
}

func TestAMessageOfAChannelDoesNotTakeTheIDOfAPlainOne(t *testing.T) {
	r := begin(t)
	lane, _ := r.Lane("n")
	m := r.plain("a")
	way, _ := r.Take(m, lane)
	require.Equal(t, routing.Held, way)
	require.ErrorIs(t, r.Keep(r.message("a")), spool.ErrTwice)
	r.Engine.Carry(m)
	require.Same(t, m, <-r.gone)
	require.ErrorIs(t, r.Keep(r.message("a")), spool.ErrTwice, "its leg is out")
	r.how <- routing.Delivered
	require.Eventually(t, func() bool { return r.Owed() == 0 }, long, glimpse)
	require.NoError(t, r.Keep(r.message("a")))
}

// Both hand-ins at once: one is taken on, what is owed is that one, and the other leaves nothing behind.
func TestHandInsThatCrossUnderOneIDTakeOnOne(t *testing.T) {
	const rounds = 300
	r := begin(t)
	lane, _ := r.Lane("n")
	for i := range rounds {
		id := fmt.Sprint("m", i)
		own, foreign := r.message(id), r.plain(id)
		var way routing.Way
		var kept error
		var both sync.WaitGroup
		both.Go(func() { way, _ = r.Take(foreign, lane) })
		both.Go(func() { kept = r.Keep(own) })
		both.Wait()
		owed := r.spool.Owed()
		require.Len(t, owed, 1, id)
		if kept == nil {
			require.Equal(t, routing.Twice, way)
			require.Same(t, own, owed[0])
			r.Over(own)
			continue
		}
		require.True(t, errors.Is(kept, spool.ErrTwice), kept)
		require.Equal(t, routing.Held, way)
		require.Same(t, foreign, owed[0])
		r.Withdraw(id)
		r.Engine.Carry(foreign)
		require.Eventually(t, func() bool { return r.Owed() == 0 && len(r.spool.Owed()) == 0 }, long, glimpse)
	}
	require.Zero(t, r.router.Owed())
}
