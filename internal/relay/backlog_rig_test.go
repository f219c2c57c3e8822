package relay

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
	"go.uber.org/zap"

	"ravenlink/internal/backlog"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// A room of 40 with one part in four for a destination: ten messages of each are worked on, and what comes beyond rests.
const (
	windowPerDestination = 10
	roomOfForty          = `{"balancers":1,"machine_types":["m"],"zones":["z"],"classes":[{"name":"n","aim":2000,"deadline":60000,"group":"all",` +
		`"importance":1,"late_worth":0.5,"repeat":"by_key","window":15000},{"name":"seq","aim":2000,"deadline":60000,"group":"all",` +
		`"importance":1,"late_worth":0.5,"repeat":"repeatable","sequential":true}],"family_info":{"max_calls":20},` +
		`"limits":{"most_held":40,"send_cap":6,"retry_after":true,"max_retry_after":2000},` +
		`"rules":{"start_capacity":0.2,"warm_within":1000,"overload_factor":2}}`
)

// heldCarrier carries legs and notes their order. Each waits until it is let.
type heldCarrier struct {
	mu   sync.Mutex
	sent []string
	let  chan struct{}
}

func (c *heldCarrier) Carry(ctx context.Context, l Leg) Journey {
	if !l.Ready() || !l.Still() {
		return Journey{Result: routing.NotSent}
	}
	c.mu.Lock()
	c.sent = append(c.sent, l.Msg.ID)
	c.mu.Unlock()
	select {
	case <-c.let:
		return Journey{Result: routing.Delivered}
	case <-ctx.Done():
		return Journey{Result: routing.CalledOff}
	}
}

func (c *heldCarrier) ids() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.sent...)
}

// backlogEngine is an engine with a backlog. Its loader runs where it is told to; else tests do its steps.
type backlogEngine struct {
	*Engine
	carrier     *heldCarrier
	t           *testing.T
	dir         string
	undelivered chan Undelivered
	notice      func()
	halt        func()
}

func (s *backlogEngine) Undelivered(u Undelivered) { s.undelivered <- u }

func openBacklogEngine(t *testing.T, dir string, room int64) *backlogEngine {
	t.Helper()
	store, _, err := spool.OpenBacklog(dir, room)
	require.NoError(t, err)
	settings := gjson.Parse(roomOfForty)
	clock := NewClock()
	router := routing.New(1, settings, clock.Now, func(string) {}, func(string) {})
	var list []routing.Listing
	for _, dst := range []int64{7, 8} {
		list = append(list, routing.Listing{ID: fmt.Sprint("s", dst), Addr: "h:1", Dst: dst, Kind: "m", Zone: "z", Listed: true})
	}
	router.List(list, true, true)
	s := &backlogEngine{t: t, dir: dir, carrier: &heldCarrier{let: make(chan struct{}, 1000)}, undelivered: make(chan Undelivered, 1000)}
	s.Engine = New(zap.NewNop(), clock, router, store, s.carrier)
	s.Tell(s)
	s.Rest(backlog.Bounds{Room: 40, Slots: 20, Span: 2e6, Most: 10_000}, true, func() int { return len(s.undelivered) })
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

// loaderByHand opens the loader without letting it run.
func (s *backlogEngine) loaderByHand() *rest {
	s.Recover(s.spool.Owed())
	r := s.Engine.rest
	require.True(s.t, r.mayOpen())
	r.opened = true
	r.bringBack()
	return r
}

func (s *backlogEngine) message(id string, dst int64, lane, key string) *spool.Message {
	return &spool.Message{ID: id, Lane: lane, Key: id, OrderKey: key, Dst: dst, Expires: s.Now() + 60e6, Body: []byte("x")}
}

func (s *backlogEngine) lane(m *spool.Message) int {
	lane, known := s.Lane(m.Lane)
	require.True(s.t, known)
	return lane
}

// handIn is what a front does with a client that hears its answer.
func (s *backlogEngine) handIn(m *spool.Message) routing.Way {
	way, _ := s.Take(m, s.lane(m))
	if way == routing.Held {
		s.Carry(m)
	}
	return way
}

// handInMany hands in so many for a destination, and what is beyond its window rests.
func (s *backlogEngine) handInMany(dst int64, n int) {
	for i := range n {
		require.Equal(s.t, routing.Held, s.handIn(s.message(fmt.Sprintf("%d-%03d", dst, i), dst, "n", "")))
	}
	require.EqualValues(s.t, max(0, n-windowPerDestination), s.Resting())
}

// workedOn counts what the queues have worked on, with their lock: the engine's goroutine changes them as a message ends.
func (s *backlogEngine) workedOn() (n int) {
	s.Engine.rest.change(func(q *backlog.Queues, _ int64) { n = q.Working() })
	return n
}

func (s *backlogEngine) eventually(f func() bool, what ...any) {
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
