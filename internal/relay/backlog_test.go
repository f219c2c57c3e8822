package relay

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
	"go.uber.org/zap"

	"ravenlink/internal/backlog"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// A room of 40 with one part in four for a destination: ten messages of each are worked on, and what comes beyond rests.
const (
	windowOf  = 10
	resting40 = `{"balancers":1,"machine_types":["m"],"zones":["z"],"classes":[{"name":"n","aim":2000,"deadline":60000,"group":"all",` +
		`"importance":1,"late_worth":0.5,"repeat":"by_key","window":15000},{"name":"seq","aim":2000,"deadline":60000,"group":"all",` +
		`"importance":1,"late_worth":0.5,"repeat":"repeatable","sequential":true}],"family_info":{"max_calls":20},` +
		`"limits":{"most_held":40,"send_cap":6,"retry_after":true,"max_retry_after":2000},` +
		`"rules":{"start_capacity":0.2,"warm_within":1000,"overload_factor":2}}`
)

// track carries legs and notes their order. Each waits until it is let.
type track struct {
	mu   sync.Mutex
	sent []string
	let  chan struct{}
}

func (x *track) Carry(ctx context.Context, l Leg) Journey {
	if !l.Ready() || !l.Still() {
		return Journey{Result: routing.NotSent}
	}
	x.mu.Lock()
	x.sent = append(x.sent, l.Msg.ID)
	x.mu.Unlock()
	select {
	case <-x.let:
		return Journey{Result: routing.Delivered}
	case <-ctx.Done():
		return Journey{Result: routing.CalledOff}
	}
}

func (x *track) ids() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]string(nil), x.sent...)
}

// sitting is an engine with a backlog. Its loader runs where it is told to; else tests do its steps.
type sitting struct {
	*Engine
	road   *track
	t      *testing.T
	dir    string
	told   chan Undelivered
	notice func()
	halt   func()
}

func (s *sitting) Undelivered(u Undelivered) { s.told <- u }

func sit(t *testing.T, dir string, room int64) *sitting {
	t.Helper()
	store, _, err := spool.OpenBacklog(dir, room)
	require.NoError(t, err)
	settings := gjson.Parse(resting40)
	clock := NewClock()
	router := routing.New(1, settings, clock.Now, func(string) {}, func(string) {})
	var list []routing.Listing
	for _, dst := range []int64{7, 8} {
		list = append(list, routing.Listing{ID: fmt.Sprint("s", dst), Addr: "h:1", Dst: dst, Kind: "m", Zone: "z", Listed: true})
	}
	router.List(list, true, true)
	s := &sitting{t: t, dir: dir, road: &track{let: make(chan struct{}, 1000)}, told: make(chan Undelivered, 1000)}
	s.Engine = New(zap.NewNop(), clock, router, store, s.road)
	s.Tell(s)
	s.Rest(backlog.Bounds{Room: 40, Slots: 20, Span: 2e6, Most: 10_000}, true, func() int { return len(s.told) })
	picking, stopPicking := context.WithCancel(context.Background())
	working, stopWorking := context.WithCancel(context.Background())
	ticked := make(chan struct{})
	go func() { router.Tick(working); close(ticked) }()
	s.Begin(picking, working)
	var once sync.Once
	s.halt = func() {
		once.Do(func() {
			stopPicking()
			stopWorking()
			s.Wait()
			<-ticked
			require.NoError(t, store.Close())
		})
	}
	t.Cleanup(s.halt)
	return s
}

// rest opens the loader without letting it run.
func (s *sitting) still() *rest {
	s.Recover(s.spool.Owed())
	r := s.Engine.rest
	require.True(s.t, r.mayOpen())
	r.opened = true
	r.bringBack()
	return r
}

func (s *sitting) message(id string, dst int64, lane, key string) *spool.Message {
	return &spool.Message{ID: id, Lane: lane, Key: id, OrderKey: key, Dst: dst, Expires: s.Now() + 60e6, Body: []byte("x")}
}

func (s *sitting) lane(m *spool.Message) int {
	lane, known := s.Lane(m.Lane)
	require.True(s.t, known)
	return lane
}

// handIn is what a front does with a client that hears its answer.
func (s *sitting) handIn(m *spool.Message) routing.Way {
	way, _ := s.Take(m, s.lane(m))
	if way == routing.Held {
		s.Carry(m)
	}
	return way
}

// crowd hands in so many for a destination, and what is beyond its window rests.
func (s *sitting) crowd(dst int64, n int) {
	for i := range n {
		require.Equal(s.t, routing.Held, s.handIn(s.message(fmt.Sprintf("%d-%03d", dst, i), dst, "n", "")))
	}
	require.EqualValues(s.t, max(0, n-windowOf), s.Resting())
}

// workedOn counts what the queues have worked on, with their lock: the engine's goroutine changes them as a message ends.
func (s *sitting) workedOn() (n int) {
	s.Engine.rest.change(func(q *backlog.Queues, _ int64) { n = q.Working() })
	return n
}

func (s *sitting) soon(f func() bool, what ...any) {
	s.t.Helper()
	require.Eventually(s.t, f, long, glimpse, what...)
}

// holds are all ids that a folder owes, with what rests.
func holds(t *testing.T, dir string) (ids map[string]bool) {
	t.Helper()
	next := t.TempDir()
	require.NoError(t, os.CopyFS(next, os.DirFS(dir)))
	store, _, err := spool.OpenBacklog(next, 1<<20)
	require.NoError(t, err)
	ids = map[string]bool{}
	for _, m := range store.Owed() {
		ids[m.ID] = true
	}
	for store.SpilledAll() > 0 {
		ms, err := store.LoadMatching(func(*spool.Message) bool { return true }, 100)
		require.NoError(t, err)
		for _, m := range ms {
			require.False(t, ids[m.ID], "owed once: %s", m.ID)
			ids[m.ID] = true
		}
	}
	require.NoError(t, store.Close())
	return ids
}

func TestWhatIsBeyondTheWindowRestsAndComesBackInItsOrder(t *testing.T) {
	s := sit(t, t.TempDir(), 1<<20)
	s.Recover(nil)
	s.crowd(7, 100)
	s.crowd8()
	require.Equal(t, 20, s.router.Owed(), "ten of each are with the decisions")
	s.Run()
	s.Load()
	for range 200 {
		s.road.let <- struct{}{}
	}
	s.soon(func() bool { return s.Tally.Delivered.Load() == 120 })
	s.soon(func() bool { return len(s.spool.Owed()) == 0 && s.router.Owed() == 0 && s.Resting() == 0 })
	require.EqualValues(t, 100, s.Backlogged.Spilled.Load())
	require.EqualValues(t, 100, s.Backlogged.Loaded.Load())
	require.Len(t, s.road.ids(), 120)
	require.Empty(t, s.Engine.rest.claims)
	require.Empty(t, s.Engine.rest.coming)
	require.Empty(t, s.Engine.rest.keys)
	require.Zero(t, s.workedOn())
}

func (s *sitting) crowd8() {
	for i := range 20 {
		require.Equal(s.t, routing.Held, s.handIn(s.message(fmt.Sprintf("8-%03d", i), 8, "n", "")))
	}
}

// The messages of a key that spans destinations, of which some rest, go out one after another in the order handed in.
func TestAKeysLaterMessageDoesNotPassOneThatRests(t *testing.T) {
	s := sit(t, t.TempDir(), 1<<20)
	s.Recover(nil)
	s.crowd(7, 30)
	require.Equal(t, routing.Held, s.handIn(s.message("k-1", 7, "seq", "k")))
	require.Equal(t, routing.Held, s.handIn(s.message("k-2", 8, "seq", "k")), "nothing of its destination rests")
	require.Equal(t, routing.Held, s.handIn(s.message("k-3", 7, "seq", "k")))
	require.EqualValues(t, 23, s.Resting(), "but an earlier one of its key")
	require.Equal(t, routing.Held, s.handIn(s.message("l-1", 8, "seq", "l")))
	require.EqualValues(t, 24, s.Resting())
	s.Run()
	s.Load()
	for range 40 {
		s.road.let <- struct{}{}
	}
	s.soon(func() bool { return s.Tally.Delivered.Load() == 34 })
	require.Equal(t, "k-1 k-2 k-3", strings.Join(only(s.road.ids(), "k-"), " "))
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
	s := sit(t, t.TempDir(), 1<<20)
	r := s.still()
	s.crowd(7, 10)
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
	first := sit(t, t.TempDir(), 1<<20)
	r := first.still()
	first.crowd(7, 9)
	require.Equal(t, routing.Held, first.handIn(first.message("k-1", 7, "seq", "k")), "worked on, without a leg: after a restart it rests")
	require.Equal(t, routing.Held, first.handIn(first.message("k-2", 7, "seq", "k")))
	r.change(func(q *backlog.Queues, now int64) { q.Ended(now, 7, true) }) // of another
	require.True(t, r.turn(), "it was read: after a restart it is owed at once")
	first.halt()
	s := sit(t, first.dir, 1<<20)
	owed := s.spool.Owed()
	require.Len(t, owed, 1)
	require.Equal(t, "k-2", owed[0].ID)
	s.Recover(owed)
	require.Zero(t, s.router.Owed(), "it waits for the one before it")
	require.Equal(t, routing.Held, s.handIn(s.message("k-3", 8, "seq", "k")))
	s.Run()
	s.Load()
	for range 40 {
		s.road.let <- struct{}{}
	}
	s.soon(func() bool { return s.Tally.Delivered.Load() == 12 })
	require.Equal(t, "k-1 k-2 k-3", strings.Join(only(s.road.ids(), "k-"), " "))
}

// A message's time ends on its way back from the disk, in its turn, as one that is due, and as one that is due before anything is taken up.
func TestAMessageWhoseTimeEndsOnItsWayBackHasOneEnd(t *testing.T) {
	for name, play := range map[string]func(s *sitting, r *rest){
		"turn":  func(_ *sitting, r *rest) { require.True(t, r.turn()) },
		"due":   func(_ *sitting, r *rest) { r.due() },
		"early": func(_ *sitting, r *rest) { r.opened = false; r.due() },
	} {
		t.Run(name, func(t *testing.T) {
			s := sit(t, t.TempDir(), 1<<20)
			r := s.still()
			m := s.message("a", 7, "seq", "k")
			m.Expires = s.Now() - 1
			require.NoError(t, s.spool.Spill(m))
			r.change(func(q *backlog.Queues, now int64) { q.Found(now, 7, 1) })
			play(s, r)
			s.Run()
			u := <-s.told
			require.True(t, u.PushedBack, "it never ran")
			require.Equal(t, "a", u.Msg.ID)
			s.Over(u.Msg)
			require.Empty(t, holds(t, s.dir))
			s.soon(func() bool { return s.router.Owed() == 0 && s.workedOn() == 0 })
			require.Zero(t, s.Resting())
			require.Empty(t, s.told)
			require.Empty(t, s.road.ids())
		})
	}
}

// What is due goes to the decisions as long as they have room; the rest has its end at once, and nothing that they hold is pushed out for it.
func TestWhatIsDueTakesNoRoomOfOthers(t *testing.T) {
	s := sit(t, t.TempDir(), 1<<20)
	r := s.still()
	s.crowd(7, 10)
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
		s.road.let <- struct{}{}
		if len(s.road.let) == cap(s.road.let) {
			break
		}
	}
	s.soon(func() bool { return s.Tally.Delivered.Load()+s.Tally.PushedBack.Load() == 310 })
	require.GreaterOrEqual(t, s.Tally.Delivered.Load(), int64(10), "none of those worked on was pushed out")
	for len(s.told) > 0 {
		require.Contains(t, (<-s.told).Msg.ID, "due-")
	}
}

// A purge's fence comes between the reading of a message and the decisions' having it, before the first look at it or after.
func TestAFenceThatComesBetweenReadAndTakeIsHeeded(t *testing.T) {
	for looks := range 2 {
		s := sit(t, t.TempDir(), 1<<20)
		r := s.still()
		require.NoError(t, s.spool.Spill(s.message("a", 9, "n", ""))) // its destination has no receiver, so no leg of it goes out
		r.change(func(q *backlog.Queues, now int64) { q.Found(now, 9, 1) })
		seen := 0
		s.Fenced = func(*spool.Message) bool { seen++; return seen > looks }
		require.True(t, r.turn())
		s.Run()
		u := <-s.told
		require.Equal(t, "a", u.Msg.ID)
		require.True(t, u.PushedBack)
		s.soon(func() bool { return s.router.Owed() == 0 && s.workedOn() == 0 })
		require.Empty(t, s.told)
		s.halt()
	}
}

func TestWhatRestsAndMatchesIsEnded(t *testing.T) {
	s := sit(t, t.TempDir(), 4<<20)
	s.Recover(nil)
	s.crowd(7, 700)
	s.Load()
	match := func(m *spool.Message) bool { return m.ID >= "7-020" }
	count := s.CountEnds(match)
	require.True(t, s.EndMatching(match, long))
	require.EqualValues(t, 680, count.Take())
	require.EqualValues(t, 10, s.Resting())
	require.Len(t, s.told, 680)
	open, ended := s.spool.Owing(match)
	require.Empty(t, open)
	require.Equal(t, 680, ended)
	require.True(t, s.EndMatching(match, long))
	require.Zero(t, count.Take())
}

// The platform takes no notices: what waits for it is in memory, so no more is read to be ended.
func TestNoMoreIsEndedThanThePlatformTakes(t *testing.T) {
	s := sit(t, t.TempDir(), 1<<20)
	r := s.still()
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
	s := sit(t, t.TempDir(), 1<<20)
	r := s.still()
	s.crowd(7, 12)
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
	s := sit(t, t.TempDir(), 1<<20)
	r := s.still()
	s.crowd(7, 10)
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
			s := sit(t, t.TempDir(), 1<<20)
			r := s.still()
			s.crowd(7, 10)
			m := s.message("a", 7, "n", "")
			way, _ := s.Take(m, s.lane(m))
			require.Equal(t, routing.Held, way)
			r.change(func(q *backlog.Queues, now int64) {
				for range windowOf {
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
			s.soon(func() bool { return s.router.Owed() == 10 && s.spool.SpilledAll() == 0 && len(s.spool.Owed()) == 10 })
			require.NotContains(t, holds(t, s.dir), "a")
			require.NotContains(t, s.road.ids(), "a")
			require.Empty(t, s.told)
			require.Empty(t, r.claims)
			require.Empty(t, r.lost)
			require.Zero(t, s.Resting())
		})
	}
}

// The same, while it is held back behind what cannot be read.
func TestAMessageIsWithdrawnWhileItIsHeldBack(t *testing.T) {
	s := sit(t, t.TempDir(), 1<<20)
	r := s.still()
	s.crowd(7, 10)
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
	s := sit(t, t.TempDir(), 1<<20)
	r := s.still()
	s.crowd(7, 10)
	m := s.message("a", 8, "n", "")
	r.change(func(q *backlog.Queues, now int64) { q.Found(now, 8, 1) }) // something of its destination rests
	way, _ := s.Take(m, s.lane(m))
	require.Equal(t, routing.Held, way)
	require.True(t, r.turn())
	require.Equal(t, 11, s.router.Owed())
	require.False(t, s.Holds("a"))
	s.Run()
	s.Carry(m)
	s.soon(func() bool { return len(only(s.road.ids(), "a")) == 1 })
	require.Empty(t, r.claims)
	require.Zero(t, s.Resting(), "that nothing else of its destination rests is known by now")
}

func TestADiskThatFillsUpRefusesAndLosesNothing(t *testing.T) {
	s := sit(t, t.TempDir(), 96<<10)
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
	require.EqualValues(t, len(taken)-windowOf, s.Resting())
	require.Equal(t, taken, holds(t, s.dir))
	s.Run()
	s.Load()
	for range len(taken) {
		s.road.let <- struct{}{}
	}
	s.soon(func() bool { return int(s.Tally.Delivered.Load()) == len(taken) }, "a full disk drains")
	require.Equal(t, routing.Held, s.handIn(s.message("after", 7, "n", "")))
}

// A start that is killed while it takes up, again and again, owes what it owed, and each message goes out in one process at most.
func TestKilledAgainWhileItTakesUpItOwesTheSame(t *testing.T) {
	s := sit(t, t.TempDir(), 1<<20)
	s.Recover(nil)
	s.crowd(7, 60)
	owed := holds(t, s.dir)
	require.Len(t, owed, 60)
	delivered := map[string]bool{}
	for range 12 {
		s.halt()
		s = sit(t, s.dir, 1<<20)
		s.Recover(s.spool.Owed())
		s.Run()
		s.Load()
		for range 4 {
			s.road.let <- struct{}{}
		}
		s.soon(func() bool { return s.Tally.Delivered.Load() == 4 })
		s.soon(func() bool { return len(s.road.ids()) >= 5 || len(delivered)+4 >= 60 })
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
	first := sit(t, t.TempDir(), 1<<20)
	first.still()
	first.crowd(7, 10)
	ran := first.message("ran", 8, "n", "")
	require.NoError(t, first.spool.Take(ran))
	require.NoError(t, first.spool.Leg(ran, spool.Leg{SentAt: first.Now() - 15e6}))
	first.crowd8()
	first.halt()
	s := sit(t, first.dir, 1<<20)
	owed := s.spool.Owed()
	require.Len(t, owed, 1, "all others rest")
	s.Recover(owed)
	s.Run()
	u := <-s.told
	require.Equal(t, "ran", u.Msg.ID)
	require.False(t, u.PushedBack, "its key's window is over")
}

// What is in front of a key cannot be read for a while: what comes behind it, read already, waits.
func TestWhatIsReadWaitsForWhatCannotBeRead(t *testing.T) {
	s := sit(t, t.TempDir(), 1<<20)
	r := s.still()
	s.crowd(7, 11)
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
		s.road.let <- struct{}{}
	}
	s.soon(func() bool { return s.Tally.Delivered.Load() == 14 })
	require.Equal(t, "k-1 k-2 k-3", strings.Join(only(s.road.ids(), "k-"), " "))
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
	s := sit(t, t.TempDir(), 1<<22)
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
		u := <-s.told
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
	s := sit(t, t.TempDir(), 1<<20)
	r := s.still()
	s.crowd(7, 11)
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
	s := sit(t, t.TempDir(), 1<<20)
	r := s.still()
	s.crowd(7, 11)
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
