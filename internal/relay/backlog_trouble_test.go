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

func TestADiskThatFillsUpRefusesAndLosesNothing(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 96<<10)
	s.Recover(nil)
	taken, busy := map[string]bool{}, 0
	for i := range 2000 {
		m := s.message(fmt.Sprintf("m-%04d", i), 7, "n", "")
		m.Body = []byte(strings.Repeat("x", 200))
		switch way, advice := s.Take(m, s.lane(m)); way {
		case routing.Held:
			taken[m.ID] = true
			s.Carry(m)
		default:
			require.Equal(t, routing.NoRoom, way)
			require.Positive(t, advice)
			busy++
		}
	}
	require.Positive(t, busy)
	require.EqualValues(t, len(taken)-windowPerDestination, s.Resting())
	require.Equal(t, taken, holds(t, s.dir))
	s.Run()
	s.Load()
	for range len(taken) {
		s.carrier.let <- struct{}{}
	}
	s.eventually(func() bool { return int(s.Tally.Delivered.Load()) == len(taken) }, "a full disk drains")
	require.Equal(t, routing.Held, s.handIn(s.message("after", 7, "n", "")))
}

// A start that is killed while it takes up, again and again, owes what it owed, and each message goes out in one process at most.
func TestKilledAgainWhileItTakesUpItOwesTheSame(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	s.Recover(nil)
	s.handInMany(7, 60)
	owed := holds(t, s.dir)
	require.Len(t, owed, 60)
	delivered := map[string]bool{}
	for range 12 {
		s.halt()
		s = openBacklogEngine(t, s.dir, 1<<20)
		s.Recover(s.spool.Owed())
		s.Run()
		s.Load()
		for range 4 {
			s.carrier.let <- struct{}{}
		}
		s.eventually(func() bool { return s.Tally.Delivered.Load() == 4 })
		s.eventually(func() bool { return len(s.carrier.ids()) >= 5 || len(delivered)+4 >= 60 })
		s.halt()
		left := holds(t, s.dir)
		done := 0
		for id := range owed {
			if !left[id] && !delivered[id] {
				delivered[id], done = true, done+1
			}
		}
		require.Equal(t, 4, done, "what was delivered is over, and nothing else")
		require.Len(t, left, 60-len(delivered))
	}
}

// Nothing with a leg rests, so a key's window cannot end for it unseen: a start takes it up at once, however much rests.
func TestWhatMayHaveRunDoesNotRest(t *testing.T) {
	first := openBacklogEngine(t, t.TempDir(), 1<<20)
	first.loaderByHand()
	first.handInMany(7, 10)
	ran := first.message("ran", 8, "n", "")
	require.NoError(t, first.spool.Take(ran))
	require.NoError(t, first.spool.Leg(ran, spool.Leg{SentAt: first.Now() - 15e6}))
	first.handInForDestinationEight()
	first.halt()
	s := openBacklogEngine(t, first.dir, 1<<20)
	owed := s.spool.Owed()
	require.Len(t, owed, 1, "all others rest")
	s.Recover(owed)
	s.Run()
	u := <-s.undelivered
	require.Equal(t, "ran", u.Msg.ID)
	require.False(t, u.PushedBack, "its key's window is over")
}

// What is in front of a key cannot be read for a while: what comes behind it, read already, waits.
func TestWhatIsReadWaitsForWhatCannotBeRead(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 11)
	require.Equal(t, routing.Held, s.handIn(s.message("k-1", 7, "seq", "k")))
	require.Equal(t, routing.Held, s.handIn(s.message("k-2", 8, "seq", "k")))
	ms, err := s.spool.Load(8, 1)
	require.NoError(t, err)
	r.called(ms)
	gone := os.Rename(s.dir, s.dir+"-away")
	require.NoError(t, gone)
	require.Empty(t, r.withEarlier(ms, false))
	require.Equal(t, ms, r.back)
	require.Positive(t, r.again)
	require.NoError(t, os.Rename(s.dir+"-away", s.dir))
	require.Equal(t, routing.Held, s.handIn(s.message("k-3", 8, "seq", "k")))
	r.bringBack()
	require.Empty(t, r.back)
	require.Equal(t, 12, s.router.Owed(), "10, k-1 and k-2")
	s.Run()
	s.Load()
	for range 20 {
		s.carrier.let <- struct{}{}
	}
	s.eventually(func() bool { return s.Tally.Delivered.Load() == 14 })
	require.Equal(t, "k-1 k-2 k-3", strings.Join(only(s.carrier.ids(), "k-"), " "))
}

// Messages that rest run out of time, in virtual time: each is told once, none earlier than it is read, none late. Three thousand within two
// seconds; and a few far apart while the start still takes up, when nothing but the loader's own timer wakes it.
func TestEndsOfWhatRestsAreToldInTime(t *testing.T) {
	for name, c := range map[string]struct {
		n    int
		over int64 // µs
		open bool  // what was owed is taken up
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
	s.Engine.rest.change(func(q *backlog.Queues, now int64) { q.Found(now, 7, n) })
	s.Load()
	if open {
		s.Recover(s.spool.Owed())
	}
	s.Run()
	ends := map[string]int64{}
	for len(ends) < n {
		u := <-s.undelivered
		require.True(t, u.PushedBack || len(u.Attempts()) > 0, "it never ran")
		require.NotContains(t, ends, u.Msg.ID, "told once")
		ends[u.Msg.ID] = s.Now()
		s.Over(u.Msg)
	}
	for i := range n {
		at := ends[fmt.Sprint(i)]
		require.LessOrEqual(t, at, expires(i), "late, by µs")
		require.GreaterOrEqual(t, at, expires(i)-backlog.Lead, "early, by µs")
	}
	synctest.Wait() // an end is told before it is counted off
	require.Zero(t, s.Resting())
	s.halt()
}

// The loader sleeps until the next message is due, and is woken by one that is due sooner.
func TestAMessageDueSoonerWakesTheLoader(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 11)
	look := r.nextLook(nil)
	require.InDelta(t, 60-float64(backlog.Lead)/1e6, look.Seconds(), 5)
	<-r.wakes(t)
	later := s.message("later", 7, "n", "")
	later.Expires += 60e6
	require.Equal(t, routing.Held, s.handIn(later))
	require.Empty(t, r.wake)
	sooner := s.message("sooner", 7, "n", "")
	sooner.Expires -= 30e6
	require.Equal(t, routing.Held, s.handIn(sooner))
	require.Len(t, r.wake, 1)
	require.Less(t, r.nextLook(nil), look-20*time.Second)
}

// wakes is the loader's wake-up, with none left from before.
func (r *rest) wakes(t *testing.T) chan struct{} {
	t.Helper()
	r.rouse()
	return r.wake
}

func TestADiskThatCannotBeReadIsAskedAgain(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 11)
	r.change(func(q *backlog.Queues, now int64) { q.Ended(now, 7, false) })
	for i := range 12 {
		ms, fine := r.read(func() ([]*spool.Message, error) { return nil, os.ErrPermission })
		require.Empty(t, ms)
		require.False(t, fine)
		require.Equal(t, min(readFirst<<i, readMost), r.again)
		r.done()
	}
	r.pause = s.Now() + 60e6
	require.False(t, r.turn(), "not for a while")
	require.Positive(t, r.nextLook(nil))
	r.pause = 0
	require.True(t, r.turn())
	require.Zero(t, r.again)
	require.Zero(t, s.Resting())
}
