package relay

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/backlog"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

func TestFullDiskRefusesAndLosesNothing(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 96<<10)
	s.Recover(nil)
	taken, busy := map[string]bool{}, 0
	for i := range 2000 {
		m := s.message(fmt.Sprintf("m-%04d", i), 7, "n", "")
		m.Body = []byte(strings.Repeat("x", 200))
		switch disposition, retryAfter := s.Accept(m, s.class(m)); disposition {
		case routing.Held:
			taken[m.ID] = true
			s.Deliver(m)
		default:
			require.Equal(t, routing.AtCapacity, disposition)
			require.Positive(t, retryAfter)
			busy++
		}
	}
	require.Positive(t, busy)
	require.EqualValues(t, len(taken)-windowPerDestination, s.BacklogSize())
	require.Equal(t, taken, holds(t, s.dir))
	s.Run()
	s.StartLoader()
	for range len(taken) {
		s.carrier.let <- struct{}{}
	}
	s.eventually(func() bool { return int(s.Stats.Delivered.Load()) == len(taken) }, "a full disk drains")
	require.Equal(t, routing.Held, s.handIn(s.message("after", 7, "n", "")))
}

// A process that is killed repeatedly while it resumes messages keeps all pending messages, and each message is sent in one
// process at most.
func TestRepeatedKillsWhileResumingLoseNothing(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	s.Recover(nil)
	s.handInMany(7, 60)
	pending := holds(t, s.dir)
	require.Len(t, pending, 60)
	delivered := map[string]bool{}
	for range 12 {
		s.halt()
		s = openBacklogEngine(t, s.dir, 1<<20)
		s.Recover(s.spool.Pending())
		s.Run()
		s.StartLoader()
		for range 4 {
			s.carrier.let <- struct{}{}
		}
		s.eventually(func() bool { return s.Stats.Delivered.Load() == 4 })
		s.eventually(func() bool { return len(s.carrier.ids()) >= 5 || len(delivered)+4 >= 60 })
		s.halt()
		left := holds(t, s.dir)
		done := 0
		for id := range pending {
			if !left[id] && !delivered[id] {
				delivered[id], done = true, done+1
			}
		}
		require.Equal(t, 4, done, "delivered messages are over, and no others")
		require.Len(t, left, 60-len(delivered))
	}
}

// Messages with a leg are never spilled, so the window of their key cannot end unnoticed: a start resumes them at once, however
// many messages are spilled.
func TestMessageThatMayHaveRunIsNotSpilled(t *testing.T) {
	first := openBacklogEngine(t, t.TempDir(), 1<<20)
	first.loaderByHand()
	first.handInMany(7, 10)
	ran := first.message("ran", 8, "n", "")
	require.NoError(t, first.spool.Accept(ran))
	require.NoError(t, first.spool.AddLeg(ran, spool.Leg{SentAt: first.Now() - 15e6}))
	first.handInForDestinationEight()
	first.halt()
	s := openBacklogEngine(t, first.dir, 1<<20)
	pending := s.spool.Pending()
	require.Len(t, pending, 1, "all others are spilled")
	s.Recover(pending)
	s.Run()
	u := <-s.undelivered
	require.Equal(t, "ran", u.Msg.ID)
	require.False(t, u.Rejected, "the window of its key is over")
}

// The predecessors of a key cannot be read for a while: messages behind them that have been read wait.
func TestLoadedMessagesWaitForUnreadablePredecessors(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 11)
	require.Equal(t, routing.Held, s.handIn(s.message("k-1", 7, "seq", "k")))
	require.Equal(t, routing.Held, s.handIn(s.message("k-2", 8, "seq", "k")))
	ms, err := s.spool.Load(8, 1)
	require.NoError(t, err)
	r.countLoadedEarly(ms)
	gone := os.Rename(s.dir, s.dir+"-away")
	require.NoError(t, gone)
	require.Empty(t, r.withPredecessors(ms, false))
	require.Equal(t, ms, r.deferred)
	require.Positive(t, r.readBackoff)
	require.NoError(t, os.Rename(s.dir+"-away", s.dir))
	require.Equal(t, routing.Held, s.handIn(s.message("k-3", 8, "seq", "k")))
	r.resumeDeferred()
	require.Empty(t, r.deferred)
	require.Equal(t, 12, s.router.Pending(), "10, k-1 and k-2")
	s.Run()
	s.StartLoader()
	for range 20 {
		s.carrier.let <- struct{}{}
	}
	s.eventually(func() bool { return s.Stats.Delivered.Load() == 14 })
	require.Equal(t, "k-1 k-2 k-3", strings.Join(only(s.carrier.ids(), "k-"), " "))
}

// Spilled messages expire, in virtual time: the end of each is reported once, not before it is read and not late. Three thousand
// within two seconds, and a few far apart while the start still resumes messages, when only the loader's own timer wakes it.
func TestEndsOfSpilledMessagesAreReportedInTime(t *testing.T) {
	for name, c := range map[string]struct {
		n    int
		over int64 // µs
		open bool  // pending messages are resumed
	}{"many": {3000, 2_000_000, true}, "few, while it starts": {5, 50_000_000, false}} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { endsInTime(t, c.n, c.over, c.open) }) })
	}
}

func endsInTime(t *testing.T, n int, over int64, open bool) {
	const after = 4_000_000 // µs
	s := openBacklogEngine(t, t.TempDir(), 1<<22)
	begun := s.Now()
	expires := func(i int) int64 { return begun + after + over*int64(i)/int64(n) }
	for i := range n {
		m := s.message(fmt.Sprint(i), 7, "n", "")
		m.Expires = expires(i)
		require.NoError(t, s.spool.Spill(m))
	}
	s.Engine.backlog.withQueues(func(q *backlog.Queues, now int64) { q.AddSpilled(now, 7, n) })
	s.StartLoader()
	if open {
		s.Recover(s.spool.Pending())
	}
	s.Run()
	ends := map[string]int64{}
	for len(ends) < n {
		u := <-s.undelivered
		require.True(t, u.Rejected || len(u.Attempts()) > 0, "it never ran")
		require.NotContains(t, ends, u.Msg.ID, "reported once")
		ends[u.Msg.ID] = s.Now()
		s.Complete(u.Msg)
	}
	for i := range n {
		at := ends[fmt.Sprint(i)]
		require.LessOrEqual(t, at, expires(i), "late, by µs")
		require.GreaterOrEqual(t, at, expires(i)-backlog.ExpiryLead, "early, by µs")
	}
	synctest.Wait() // an end is reported before it is counted
	require.Zero(t, s.BacklogSize())
	s.halt()
}

// The loader sleeps until the next message is about to expire, and is woken by one that expires sooner.
func TestMessageExpiringSoonerWakesTheLoader(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 11)
	look := r.sleepTime(nil)
	require.InDelta(t, 60-float64(backlog.ExpiryLead)/1e6, look.Seconds(), 5)
	<-r.wakes(t)
	later := s.message("later", 7, "n", "")
	later.Expires += 60e6
	require.Equal(t, routing.Held, s.handIn(later))
	require.Empty(t, r.wake)
	sooner := s.message("sooner", 7, "n", "")
	sooner.Expires -= 30e6
	require.Equal(t, routing.Held, s.handIn(sooner))
	require.Len(t, r.wake, 1)
	require.Less(t, r.sleepTime(nil), look-20*time.Second)
}

// wakes returns the wake-up channel of the loader with a signal in it.
func (r *backlogManager) wakes(t *testing.T) chan struct{} {
	t.Helper()
	r.wakeLoader()
	return r.wake
}

func TestFailedReadsAreRetriedWithBackoff(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 11)
	r.withQueues(func(q *backlog.Queues, now int64) { q.Ended(now, 7, false) })
	for i := range 12 {
		ms, fine := r.read(func() ([]*spool.Message, error) { return nil, os.ErrPermission })
		require.Empty(t, ms)
		require.False(t, fine)
		require.Equal(t, min(minReadBackoff<<i, maxReadBackoff), r.readBackoff)
		r.closeBatch()
	}
	r.readAfter = s.Now() + 60e6
	require.False(t, r.loadNext(), "not for a while")
	require.Positive(t, r.sleepTime(nil))
	r.readAfter = 0
	require.True(t, r.loadNext())
	require.Zero(t, r.readBackoff)
	require.Zero(t, s.BacklogSize())
}
