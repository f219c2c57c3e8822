package relay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/backlog"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

func TestWhatIsBeyondTheWindowRestsAndComesBackInItsOrder(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	s.Recover(nil)
	s.handInMany(7, 100)
	s.handInForDestinationEight()
	require.Equal(t, 20, s.router.Owed(), "ten of each are with the decisions")
	s.Run()
	s.Load()
	for range 200 {
		s.carrier.let <- struct{}{}
	}
	s.eventually(func() bool { return s.Tally.Delivered.Load() == 120 })
	s.eventually(func() bool { return len(s.spool.Owed()) == 0 && s.router.Owed() == 0 && s.Resting() == 0 })
	require.EqualValues(t, 100, s.Backlogged.Spilled.Load())
	require.EqualValues(t, 100, s.Backlogged.Loaded.Load())
	require.Len(t, s.carrier.ids(), 120)
	require.Empty(t, s.Engine.rest.claims)
	require.Empty(t, s.Engine.rest.coming)
	require.Empty(t, s.Engine.rest.keys)
	require.Zero(t, s.workedOn())
}

func (s *backlogEngine) handInForDestinationEight() {
	for i := range 20 {
		require.Equal(s.t, routing.Held, s.handIn(s.message(fmt.Sprintf("8-%03d", i), 8, "n", "")))
	}
}

// The messages of a key that spans destinations, of which some rest, go out one after another in the order handed in.
func TestAKeysLaterMessageDoesNotPassOneThatRests(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	s.Recover(nil)
	s.handInMany(7, 30)
	require.Equal(t, routing.Held, s.handIn(s.message("k-1", 7, "seq", "k")))
	require.Equal(t, routing.Held, s.handIn(s.message("k-2", 8, "seq", "k")), "nothing of its destination rests")
	require.Equal(t, routing.Held, s.handIn(s.message("k-3", 7, "seq", "k")))
	require.EqualValues(t, 23, s.Resting(), "but an earlier one of its key")
	require.Equal(t, routing.Held, s.handIn(s.message("l-1", 8, "seq", "l")))
	require.EqualValues(t, 24, s.Resting())
	s.Run()
	s.Load()
	for range 40 {
		s.carrier.let <- struct{}{}
	}
	s.eventually(func() bool { return s.Tally.Delivered.Load() == 34 })
	require.Equal(t, "k-1 k-2 k-3", strings.Join(only(s.carrier.ids(), "k-"), " "))
}

func only(ids []string, prefix string) (some []string) {
	for _, id := range ids {
		if strings.HasPrefix(id, prefix) {
			some = append(some, id)
		}
	}
	return some
}

// While the loader has read an earlier message of a key, and nobody else has it yet, a later one rests.
func TestAKeysLaterMessageWaitsWhileAnEarlierOneIsOnItsWay(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 10)
	require.Equal(t, routing.Held, s.handIn(s.message("k-1", 7, "seq", "k")))
	ms, _ := r.read(func() ([]*spool.Message, error) { // as the disk is read
		require.Equal(t, routing.Held, s.handIn(s.message("k-2", 8, "seq", "k")))
		return s.spool.Load(7, 9)
	})
	require.Len(t, ms, 1)
	r.called(ms)
	require.Equal(t, routing.Held, s.handIn(s.message("k-3", 8, "seq", "k")))
	require.Equal(t, routing.Twice, s.handIn(s.message("k-1", 7, "seq", "k")), "it is on its way")
	require.EqualValues(t, 3, s.Resting())
	r.takeUp(ms)
	r.done()
	require.Equal(t, routing.Held, s.handIn(s.message("o-1", 8, "n", "")), "others of that destination rest")
	require.EqualValues(t, 3, s.Resting())
	require.True(t, r.turn())
	require.Zero(t, s.Resting())
}

// A destination returns while a start still takes up: what the earlier process had read goes behind what rests of its key, and what is handed in
// meanwhile behind both.
func TestAStartKeepsTheOrderOfAKey(t *testing.T) {
	first := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := first.loaderByHand()
	first.handInMany(7, 9)
	require.Equal(t, routing.Held, first.handIn(first.message("k-1", 7, "seq", "k")), "worked on, without a leg: after a restart it rests")
	require.Equal(t, routing.Held, first.handIn(first.message("k-2", 7, "seq", "k")))
	r.change(func(q *backlog.Queues, now int64) { q.Ended(now, 7, true) }) // of another
	require.True(t, r.turn(), "it was read: after a restart it is owed at once")
	first.halt()
	s := openBacklogEngine(t, first.dir, 1<<20)
	owed := s.spool.Owed()
	require.Len(t, owed, 1)
	require.Equal(t, "k-2", owed[0].ID)
	s.Recover(owed)
	require.Zero(t, s.router.Owed(), "it waits for the one before it")
	require.Equal(t, routing.Held, s.handIn(s.message("k-3", 8, "seq", "k")))
	s.Run()
	s.Load()
	for range 40 {
		s.carrier.let <- struct{}{}
	}
	s.eventually(func() bool { return s.Tally.Delivered.Load() == 12 })
	require.Equal(t, "k-1 k-2 k-3", strings.Join(only(s.carrier.ids(), "k-"), " "))
}

// A message's time ends on its way back from the disk, in its turn, as one that is due, and as one that is due before anything is taken up.
func TestAMessageWhoseTimeEndsOnItsWayBackHasOneEnd(t *testing.T) {
	for name, play := range map[string]func(s *backlogEngine, r *rest){
		"turn":  func(_ *backlogEngine, r *rest) { require.True(t, r.turn()) },
		"due":   func(_ *backlogEngine, r *rest) { r.due() },
		"early": func(_ *backlogEngine, r *rest) { r.opened = false; r.due() },
	} {
		t.Run(name, func(t *testing.T) {
			s := openBacklogEngine(t, t.TempDir(), 1<<20)
			r := s.loaderByHand()
			m := s.message("a", 7, "seq", "k")
			m.Expires = s.Now() - 1
			require.NoError(t, s.spool.Spill(m))
			r.change(func(q *backlog.Queues, now int64) { q.Found(now, 7, 1) })
			play(s, r)
			s.Run()
			u := <-s.undelivered
			require.True(t, u.PushedBack, "it never ran")
			require.Equal(t, "a", u.Msg.ID)
			s.Over(u.Msg)
			require.Empty(t, holds(t, s.dir))
			s.eventually(func() bool { return s.router.Owed() == 0 && s.workedOn() == 0 })
			require.Zero(t, s.Resting())
			require.Empty(t, s.undelivered)
			require.Empty(t, s.carrier.ids())
		})
	}
}

// What is due goes to the decisions as long as they have room; the rest has its end at once, and nothing that they hold is pushed out for it.
func TestWhatIsDueTakesNoRoomOfOthers(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 10)
	for i := range 300 {
		m := s.message(fmt.Sprintf("due-%d", i), 8, "n", "")
		m.Expires = s.Now() + backlog.Lead/2
		require.NoError(t, s.spool.Spill(m))
	}
	r.change(func(q *backlog.Queues, now int64) { q.Found(now, 8, 300) })
	require.True(t, r.due(), "a bounded batch")
	require.False(t, r.due())
	require.EqualValues(t, 300, s.Backlogged.Due.Load())
	require.EqualValues(t, 300-28, s.Backlogged.Rejected.Load(), "38 of the room of 40 are in use")
	require.Zero(t, s.Resting())
	s.Run()
	for range 1000 {
		s.carrier.let <- struct{}{}
		if len(s.carrier.let) == cap(s.carrier.let) {
			break
		}
	}
	s.eventually(func() bool { return s.Tally.Delivered.Load()+s.Tally.PushedBack.Load() == 310 })
	require.GreaterOrEqual(t, s.Tally.Delivered.Load(), int64(10), "none of those worked on was pushed out")
	for len(s.undelivered) > 0 {
		require.Contains(t, (<-s.undelivered).Msg.ID, "due-")
	}
}

// A purge's fence comes between the reading of a message and the decisions' having it, before the first look at it or after.
func TestAFenceThatComesBetweenReadAndTakeIsHeeded(t *testing.T) {
	for looks := range 2 {
		s := openBacklogEngine(t, t.TempDir(), 1<<20)
		r := s.loaderByHand()
		require.NoError(t, s.spool.Spill(s.message("a", 9, "n", ""))) // its destination has no receiver, so no leg of it goes out
		r.change(func(q *backlog.Queues, now int64) { q.Found(now, 9, 1) })
		seen := 0
		s.Fenced = func(*spool.Message) bool { seen++; return seen > looks }
		require.True(t, r.turn())
		s.Run()
		u := <-s.undelivered
		require.Equal(t, "a", u.Msg.ID)
		require.True(t, u.PushedBack)
		s.eventually(func() bool { return s.router.Owed() == 0 && s.workedOn() == 0 })
		require.Empty(t, s.undelivered)
		s.halt()
	}
}

func TestWhatRestsAndMatchesIsEnded(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 4<<20)
	s.Recover(nil)
	s.handInMany(7, 700)
	s.Load()
	match := func(m *spool.Message) bool { return m.ID >= "7-020" }
	count := s.CountEnds(match)
	require.True(t, s.EndMatching(match, long))
	require.EqualValues(t, 680, count.Take())
	require.EqualValues(t, 10, s.Resting())
	require.Len(t, s.undelivered, 680)
	open, ended := s.spool.Owing(match)
	require.Empty(t, open)
	require.Equal(t, 680, ended)
	require.True(t, s.EndMatching(match, long))
	require.Zero(t, count.Take())
}

// The platform takes no notices: what waits for it is in memory, so no more is read to be ended.
func TestNoMoreIsEndedThanThePlatformTakes(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	untold := mostUntold
	r.untold = func() int { return untold }
	m := s.message("a", 7, "n", "")
	m.Expires = s.Now() - 1
	require.NoError(t, s.spool.Spill(m))
	r.change(func(q *backlog.Queues, now int64) { q.Found(now, 7, 1) })
	require.False(t, r.due())
	require.EqualValues(t, 1, s.Resting())
	require.Positive(t, r.nextLook(nil))
	untold--
	r.due()
	require.Zero(t, s.Resting())
}

func TestAnIDThatRestsIsTakenOnOnce(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 12)
	require.Equal(t, routing.Twice, s.handIn(s.message("7-011", 7, "n", "")), "it rests")
	require.Equal(t, routing.Twice, s.handIn(s.message("7-011", 8, "n", "")), "also where it would be worked on")
	require.Equal(t, routing.Twice, s.handIn(s.message("7-001", 7, "n", "")), "it is worked on, also where it would rest")
	require.EqualValues(t, 2, s.Resting())
	first := s.message("new", 7, "n", "")
	way, _ := s.Take(first, s.lane(first))
	require.Equal(t, routing.Held, way)
	second := s.message("new", 8, "n", "")
	way, _ = s.Take(second, s.lane(second))
	require.Equal(t, routing.Twice, way, "the first has no answer yet")
	s.Carry(first)
	require.Len(t, r.claims, 0)
	require.Equal(t, 10, s.workedOn())
	require.Len(t, holds(t, s.dir), 13)
}

// What would rest is refused where nothing can come of it, and leaves nothing behind.
func TestWhatCannotRestIsRefused(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 10)
	require.Equal(t, routing.Held, s.handIn(s.message("k-1", 7, "seq", "k")))
	nowhere := s.message("k-2", 70_000, "seq", "k")
	way, advice := s.Take(nowhere, s.lane(nowhere))
	require.Equal(t, routing.PushedBack, way, "never listed")
	require.Positive(t, advice)
	brief := s.message("brief", 7, "n", "")
	brief.Expires = s.Now() + backlog.Lead
	way, advice = s.Take(brief, s.lane(brief))
	require.Equal(t, routing.PushedBack, way)
	require.Positive(t, advice)
	require.EqualValues(t, 1, s.Resting())
	require.Empty(t, r.claims)
	require.Len(t, holds(t, s.dir), 11)
	require.False(t, r.queues.Knows(70_000))
}

// A client is gone before its answer: its message rests, is being read, or is with the decisions.
func TestAMessageThatRestsIsWithdrawnBeforeItsClientHears(t *testing.T) {
	for _, when := range []string{"rests", "read", "decided on", "taken up"} {
		t.Run(when, func(t *testing.T) {
			s := openBacklogEngine(t, t.TempDir(), 1<<20)
			r := s.loaderByHand()
			s.handInMany(7, 10)
			m := s.message("a", 7, "n", "")
			way, _ := s.Take(m, s.lane(m))
			require.Equal(t, routing.Held, way)
			r.change(func(q *backlog.Queues, now int64) {
				for range windowPerDestination {
					q.Ended(now, 7, false)
				}
			})
			leave := func() { s.Withdraw("a"); s.Carry(m) }
			switch when {
			case "rests":
				leave()
				require.True(t, r.turn())
			case "read":
				ms, _ := r.read(func() ([]*spool.Message, error) { return s.spool.Load(7, 1) })
				require.Len(t, ms, 1)
				r.called(ms)
				leave()
				r.takeUp(ms)
				r.done()
			case "decided on":
				ms, _ := r.read(func() ([]*spool.Message, error) { return s.spool.Load(7, 1) })
				r.called(ms)
				owed := message(ms[0], s.lane(ms[0]))
				owed.Owed = true
				fates := s.router.TakeAll([]routing.Message{owed})
				leave()
				r.fate(ms[0], fates[0])
				r.done()
			default:
				require.True(t, r.turn())
				leave()
			}
			s.Run()
			s.eventually(func() bool { return s.router.Owed() == 10 && s.spool.SpilledAll() == 0 && len(s.spool.Owed()) == 10 })
			require.NotContains(t, holds(t, s.dir), "a")
			require.NotContains(t, s.carrier.ids(), "a")
			require.Empty(t, s.undelivered)
			require.Empty(t, r.claims)
			require.Empty(t, r.lost)
			require.Zero(t, s.Resting())
		})
	}
}

// The same, while it is held back behind what cannot be read.
func TestAMessageIsWithdrawnWhileItIsHeldBack(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 10)
	m := s.message("a", 7, "n", "")
	way, _ := s.Take(m, s.lane(m))
	require.Equal(t, routing.Held, way)
	ms, _ := r.read(func() ([]*spool.Message, error) { return s.spool.Load(7, 1) })
	r.called(ms)
	r.back = ms
	r.done()
	s.Withdraw("a")
	s.Carry(m)
	r.bringBack()
	require.Empty(t, r.claims)
	require.Empty(t, r.lost)
	require.Zero(t, s.Resting())
	require.Equal(t, 10, s.router.Owed())
	require.NotContains(t, holds(t, s.dir), "a")
}

// What came back before its client had its answer is carried with that answer, and not before.
func TestWhatComesBackBeforeItsAnswerWaitsForIt(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 10)
	m := s.message("a", 8, "n", "")
	r.change(func(q *backlog.Queues, now int64) { q.Found(now, 8, 1) }) // something of its destination rests
	way, _ := s.Take(m, s.lane(m))
	require.Equal(t, routing.Held, way)
	require.True(t, r.turn())
	require.Equal(t, 11, s.router.Owed())
	require.False(t, s.Holds("a"))
	s.Run()
	s.Carry(m)
	s.eventually(func() bool { return len(only(s.carrier.ids(), "a")) == 1 })
	require.Empty(t, r.claims)
	require.Zero(t, s.Resting(), "that nothing else of its destination rests is known by now")
}
