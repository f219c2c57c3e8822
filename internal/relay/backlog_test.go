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

func TestMessagesBeyondTheWindowAreSpilledAndLoadedInOrder(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	s.Recover(nil)
	s.handInMany(7, 100)
	s.handInForDestinationEight()
	require.Equal(t, 20, s.router.Pending(), "ten of each are with the decision module")
	s.Run()
	s.StartLoader()
	for range 200 {
		s.carrier.let <- struct{}{}
	}
	s.eventually(func() bool { return s.Stats.Delivered.Load() == 120 })
	s.eventually(func() bool { return len(s.spool.Pending()) == 0 && s.router.Pending() == 0 && s.BacklogSize() == 0 })
	require.EqualValues(t, 100, s.BacklogStats.Spilled.Load())
	require.EqualValues(t, 100, s.BacklogStats.Loaded.Load())
	require.Len(t, s.carrier.ids(), 120)
	require.Empty(t, s.Engine.backlog.claims)
	require.Empty(t, s.Engine.backlog.loadingIDs)
	require.Empty(t, s.Engine.backlog.loadingKeys)
	require.Zero(t, s.workedOn())
}

func (s *backlogEngine) handInForDestinationEight() {
	for i := range 20 {
		require.Equal(s.t, routing.Held, s.handIn(s.message(fmt.Sprintf("8-%03d", i), 8, "n", "")))
	}
}

// The messages of a key that spans destinations, some of them spilled, go out one after another in the order of their hand-in.
func TestMessageDoesNotOvertakeASpilledOneOfItsKey(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	s.Recover(nil)
	s.handInMany(7, 30)
	require.Equal(t, routing.Held, s.handIn(s.message("k-1", 7, "seq", "k")))
	require.Equal(t, routing.Held, s.handIn(s.message("k-2", 8, "seq", "k")), "no message of its destination is spilled")
	require.Equal(t, routing.Held, s.handIn(s.message("k-3", 7, "seq", "k")))
	require.EqualValues(t, 23, s.BacklogSize(), "but an earlier one of its key is")
	require.Equal(t, routing.Held, s.handIn(s.message("l-1", 8, "seq", "l")))
	require.EqualValues(t, 24, s.BacklogSize())
	s.Run()
	s.StartLoader()
	for range 40 {
		s.carrier.let <- struct{}{}
	}
	s.eventually(func() bool { return s.Stats.Delivered.Load() == 34 })
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

// While the loader has read an earlier message of a key and the module does not have it yet, a later one is spilled.
func TestMessageWaitsWhileAnEarlierOneOfItsKeyIsLoading(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 10)
	require.Equal(t, routing.Held, s.handIn(s.message("k-1", 7, "seq", "k")))
	ms, _ := r.read(func() ([]*spool.Message, error) { // while the disk is read
		require.Equal(t, routing.Held, s.handIn(s.message("k-2", 8, "seq", "k")))
		return s.spool.Load(7, 9)
	})
	require.Len(t, ms, 1)
	r.countLoadedEarly(ms)
	require.Equal(t, routing.Held, s.handIn(s.message("k-3", 8, "seq", "k")))
	require.Equal(t, routing.Duplicate, s.handIn(s.message("k-1", 7, "seq", "k")), "it is loading")
	require.EqualValues(t, 3, s.BacklogSize())
	r.activate(ms)
	r.closeBatch()
	require.Equal(t, routing.Held, s.handIn(s.message("o-1", 8, "n", "")), "others of that destination are spilled")
	require.EqualValues(t, 3, s.BacklogSize())
	require.True(t, r.loadNext())
	require.Zero(t, s.BacklogSize())
}

// A destination recovers while a start still resumes messages: what the earlier process had loaded goes behind the spilled
// messages of its key, and new hand-ins behind both.
func TestRestartKeepsTheOrderOfAKey(t *testing.T) {
	first := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := first.loaderByHand()
	first.handInMany(7, 9)
	require.Equal(t, routing.Held, first.handIn(first.message("k-1", 7, "seq", "k")), "active without a leg: after a restart it is spilled")
	require.Equal(t, routing.Held, first.handIn(first.message("k-2", 7, "seq", "k")))
	r.withQueues(func(q *backlog.Queues, now int64) { q.Ended(now, 7, true) }) // of another message
	require.True(t, r.loadNext(), "it was loaded: after a restart it is pending at once")
	first.halt()
	s := openBacklogEngine(t, first.dir, 1<<20)
	pending := s.spool.Pending()
	require.Len(t, pending, 1)
	require.Equal(t, "k-2", pending[0].ID)
	s.Recover(pending)
	require.Zero(t, s.router.Pending(), "it waits for its predecessor")
	require.Equal(t, routing.Held, s.handIn(s.message("k-3", 8, "seq", "k")))
	s.Run()
	s.StartLoader()
	for range 40 {
		s.carrier.let <- struct{}{}
	}
	s.eventually(func() bool { return s.Stats.Delivered.Load() == 12 })
	require.Equal(t, "k-1 k-2 k-3", strings.Join(only(s.carrier.ids(), "k-"), " "))
}

// A message expires while it is loaded: in its turn, as a message about to expire, and as one about to expire before anything is
// resumed.
func TestMessageThatExpiresWhileLoadingEndsOnce(t *testing.T) {
	for name, play := range map[string]func(s *backlogEngine, r *backlogManager){
		"turn":  func(_ *backlogEngine, r *backlogManager) { require.True(t, r.loadNext()) },
		"due":   func(_ *backlogEngine, r *backlogManager) { r.loadDue() },
		"early": func(_ *backlogEngine, r *backlogManager) { r.loadEnabled = false; r.loadDue() },
	} {
		t.Run(name, func(t *testing.T) {
			s := openBacklogEngine(t, t.TempDir(), 1<<20)
			r := s.loaderByHand()
			m := s.message("a", 7, "seq", "k")
			m.Expires = s.Now() - 1
			require.NoError(t, s.spool.Spill(m))
			r.withQueues(func(q *backlog.Queues, now int64) { q.AddSpilled(now, 7, 1) })
			play(s, r)
			s.Run()
			u := <-s.undelivered
			require.True(t, u.Rejected, "it never ran")
			require.Equal(t, "a", u.Msg.ID)
			s.Complete(u.Msg)
			require.Empty(t, holds(t, s.dir))
			s.eventually(func() bool { return s.router.Pending() == 0 && s.workedOn() == 0 })
			require.Zero(t, s.BacklogSize())
			require.Empty(t, s.undelivered)
			require.Empty(t, s.carrier.ids())
		})
	}
}

// Expiring messages go to the decision module as long as it has room; the others end at once, and no message that the module
// holds is shed for them.
func TestExpiringMessagesTakeNoCapacityOfOthers(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 10)
	for i := range 300 {
		m := s.message(fmt.Sprintf("due-%d", i), 8, "n", "")
		m.Expires = s.Now() + backlog.ExpiryLead/2
		require.NoError(t, s.spool.Spill(m))
	}
	r.withQueues(func(q *backlog.Queues, now int64) { q.AddSpilled(now, 8, 300) })
	require.True(t, r.loadDue(), "a bounded batch")
	require.False(t, r.loadDue())
	require.EqualValues(t, 300, s.BacklogStats.Due.Load())
	require.EqualValues(t, 300-28, s.BacklogStats.Rejected.Load(), "38 of the room of 40 are in use")
	require.Zero(t, s.BacklogSize())
	s.Run()
	for range 1000 {
		s.carrier.let <- struct{}{}
		if len(s.carrier.let) == cap(s.carrier.let) {
			break
		}
	}
	s.eventually(func() bool { return s.Stats.Delivered.Load()+s.Stats.Rejected.Load() == 310 })
	require.GreaterOrEqual(t, s.Stats.Delivered.Load(), int64(10), "no active message was shed")
	for len(s.undelivered) > 0 {
		require.Contains(t, (<-s.undelivered).Msg.ID, "due-")
	}
}

// The fence of a purge comes between the reading of a message and its submission to the module, before the first check or after
// it.
func TestFenceBetweenReadAndSubmitIsApplied(t *testing.T) {
	for looks := range 2 {
		s := openBacklogEngine(t, t.TempDir(), 1<<20)
		r := s.loaderByHand()
		require.NoError(t, s.spool.Spill(s.message("a", 9, "n", ""))) // its destination has no receiver, so no leg of it is sent
		r.withQueues(func(q *backlog.Queues, now int64) { q.AddSpilled(now, 9, 1) })
		seen := 0
		s.Fenced = func(*spool.Message) bool { seen++; return seen > looks }
		require.True(t, r.loadNext())
		s.Run()
		u := <-s.undelivered
		require.Equal(t, "a", u.Msg.ID)
		require.True(t, u.Rejected)
		s.eventually(func() bool { return s.router.Pending() == 0 && s.workedOn() == 0 })
		require.Empty(t, s.undelivered)
		s.halt()
	}
}

func TestEndBacklogged(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 4<<20)
	s.Recover(nil)
	s.handInMany(7, 700)
	s.StartLoader()
	match := func(m *spool.Message) bool { return m.ID >= "7-020" }
	count := s.CountEnds(match)
	require.True(t, s.EndBacklogged(match, timeout))
	require.EqualValues(t, 680, count.Take())
	require.EqualValues(t, 10, s.BacklogSize())
	require.Len(t, s.undelivered, 680)
	open, ended := s.spool.PendingMatching(match)
	require.Empty(t, open)
	require.Equal(t, 680, ended)
	require.True(t, s.EndBacklogged(match, timeout))
	require.Zero(t, count.Take())
}

// The platform takes no notices. What waits for it is in memory, so no more messages are read to be ended.
func TestNoMoreIsEndedThanThePlatformAccepts(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	untold := maxPendingNotices
	r.pendingNotices = func() int { return untold }
	m := s.message("a", 7, "n", "")
	m.Expires = s.Now() - 1
	require.NoError(t, s.spool.Spill(m))
	r.withQueues(func(q *backlog.Queues, now int64) { q.AddSpilled(now, 7, 1) })
	require.False(t, r.loadDue())
	require.EqualValues(t, 1, s.BacklogSize())
	require.Positive(t, r.sleepTime(nil))
	untold--
	r.loadDue()
	require.Zero(t, s.BacklogSize())
}

func TestSpilledIDIsAcceptedOnce(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 12)
	require.Equal(t, routing.Duplicate, s.handIn(s.message("7-011", 7, "n", "")), "it is spilled")
	require.Equal(t, routing.Duplicate, s.handIn(s.message("7-011", 8, "n", "")), "also where it would become active")
	require.Equal(t, routing.Duplicate, s.handIn(s.message("7-001", 7, "n", "")), "it is active, also where it would be spilled")
	require.EqualValues(t, 2, s.BacklogSize())
	first := s.message("new", 7, "n", "")
	disposition, _ := s.Accept(first, s.class(first))
	require.Equal(t, routing.Held, disposition)
	second := s.message("new", 8, "n", "")
	disposition, _ = s.Accept(second, s.class(second))
	require.Equal(t, routing.Duplicate, disposition, "the first has no answer yet")
	s.Deliver(first)
	require.Len(t, r.claims, 0)
	require.Equal(t, 10, s.workedOn())
	require.Len(t, holds(t, s.dir), 13)
}

// A hand-in that could not be processed from disk is rejected and leaves nothing behind.
func TestUnspillableHandInIsRejected(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 10)
	require.Equal(t, routing.Held, s.handIn(s.message("k-1", 7, "seq", "k")))
	nowhere := s.message("k-2", 70_000, "seq", "k")
	disposition, retryAfter := s.Accept(nowhere, s.class(nowhere))
	require.Equal(t, routing.Rejected, disposition, "never listed")
	require.Positive(t, retryAfter)
	brief := s.message("brief", 7, "n", "")
	brief.Expires = s.Now() + backlog.ExpiryLead
	disposition, retryAfter = s.Accept(brief, s.class(brief))
	require.Equal(t, routing.Rejected, disposition)
	require.Positive(t, retryAfter)
	require.EqualValues(t, 1, s.BacklogSize())
	require.Empty(t, r.claims)
	require.Len(t, holds(t, s.dir), 11)
	require.False(t, r.queues.Has(70_000))
}

// A client disconnects before its answer while its message is spilled, is being read, or is with the decision module.
func TestSpilledMessageIsWithdrawnBeforeItsAnswer(t *testing.T) {
	for _, when := range []string{"spilled", "read", "decided on", "activated"} {
		t.Run(when, func(t *testing.T) {
			s := openBacklogEngine(t, t.TempDir(), 1<<20)
			r := s.loaderByHand()
			s.handInMany(7, 10)
			m := s.message("a", 7, "n", "")
			disposition, _ := s.Accept(m, s.class(m))
			require.Equal(t, routing.Held, disposition)
			r.withQueues(func(q *backlog.Queues, now int64) {
				for range windowPerDestination {
					q.Ended(now, 7, false)
				}
			})
			leave := func() { s.Withdraw("a"); s.Deliver(m) }
			switch when {
			case "spilled":
				leave()
				require.True(t, r.loadNext())
			case "read":
				ms, _ := r.read(func() ([]*spool.Message, error) { return s.spool.Load(7, 1) })
				require.Len(t, ms, 1)
				r.countLoadedEarly(ms)
				leave()
				r.activate(ms)
				r.closeBatch()
			case "decided on":
				ms, _ := r.read(func() ([]*spool.Message, error) { return s.spool.Load(7, 1) })
				r.countLoadedEarly(ms)
				pending := routingMessage(ms[0], s.class(ms[0]))
				pending.Accepted = true
				fates := s.router.AddAll([]routing.Message{pending})
				leave()
				r.applyAdmission(ms[0], fates[0])
				r.closeBatch()
			default:
				require.True(t, r.loadNext())
				leave()
			}
			s.Run()
			s.eventually(func() bool {
				return s.router.Pending() == 10 && s.spool.SpilledTotal() == 0 && len(s.spool.Pending()) == 10
			})
			require.NotContains(t, holds(t, s.dir), "a")
			require.NotContains(t, s.carrier.ids(), "a")
			require.Empty(t, s.undelivered)
			require.Empty(t, r.claims)
			require.Empty(t, r.withdrawnClaims)
			require.Zero(t, s.BacklogSize())
		})
	}
}

// The same while the message is deferred behind messages that cannot be read.
func TestDeferredMessageIsWithdrawn(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 10)
	m := s.message("a", 7, "n", "")
	disposition, _ := s.Accept(m, s.class(m))
	require.Equal(t, routing.Held, disposition)
	ms, _ := r.read(func() ([]*spool.Message, error) { return s.spool.Load(7, 1) })
	r.countLoadedEarly(ms)
	r.deferred = ms
	r.closeBatch()
	s.Withdraw("a")
	s.Deliver(m)
	r.resumeDeferred()
	require.Empty(t, r.claims)
	require.Empty(t, r.withdrawnClaims)
	require.Zero(t, s.BacklogSize())
	require.Equal(t, 10, s.router.Pending())
	require.NotContains(t, holds(t, s.dir), "a")
}

// A message loaded before its client was answered is delivered with that answer, and not before.
func TestMessageLoadedBeforeItsAnswerWaitsForIt(t *testing.T) {
	s := openBacklogEngine(t, t.TempDir(), 1<<20)
	r := s.loaderByHand()
	s.handInMany(7, 10)
	m := s.message("a", 8, "n", "")
	r.withQueues(func(q *backlog.Queues, now int64) { q.AddSpilled(now, 8, 1) }) // a message of its destination is spilled
	disposition, _ := s.Accept(m, s.class(m))
	require.Equal(t, routing.Held, disposition)
	require.True(t, r.loadNext())
	require.Equal(t, 11, s.router.Pending())
	require.False(t, s.IsActive("a"))
	s.Run()
	s.Deliver(m)
	s.eventually(func() bool { return len(only(s.carrier.ids(), "a")) == 1 })
	require.Empty(t, r.claims)
	require.Zero(t, s.BacklogSize(), "by now it is known that no other message of its destination is spilled")
}
