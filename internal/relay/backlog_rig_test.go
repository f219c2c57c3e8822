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

// With a capacity of 40 and a quarter of it for a destination, ten messages of each destination are active and further ones are
// spilled.
const (
	windowPerDestination = 10
	roomOfForty          = `{"balancers":1,"machine_types":["m"],"zones":["z"],"classes":[{"name":"n","aim":2000,"deadline":60000,"group":"all",` +
		`"importance":1,"late_worth":0.5,"repeat":"by_key","window":15000},{"name":"seq","aim":2000,"deadline":60000,"group":"all",` +
		`"importance":1,"late_worth":0.5,"repeat":"repeatable","sequential":true}],"family_info":{"max_calls":20},` +
		`"limits":{"most_held":40,"send_cap":6,"retry_after":true,"max_retry_after":2000},` +
		`"rules":{"start_capacity":0.2,"warm_within":1000,"overload_factor":2}}`
)

// blockingTransport records the order of legs. Each leg waits until it is released.
type blockingTransport struct {
	mu   sync.Mutex
	sent []string
	let  chan struct{}
}

func (c *blockingTransport) Send(ctx context.Context, l Leg) Outcome {
	if !l.Authorize() || !l.Confirm() {
		return Outcome{Result: routing.NotSent}
	}
	c.mu.Lock()
	c.sent = append(c.sent, l.Msg.ID)
	c.mu.Unlock()
	select {
	case <-c.let:
		return Outcome{Result: routing.Delivered}
	case <-ctx.Done():
		return Outcome{Result: routing.Cancelled}
	}
}

func (c *blockingTransport) ids() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.sent...)
}

// backlogEngine is an engine with a backlog. Tests start its loader or run single steps of it.
type backlogEngine struct {
	*Engine
	carrier     *blockingTransport
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
	router.UpdateReceivers(list, true, true)
	s := &backlogEngine{t: t, dir: dir, carrier: &blockingTransport{let: make(chan struct{}, 1000)}, undelivered: make(chan Undelivered, 1000)}
	s.Engine = New(zap.NewNop(), clock, router, store, s.carrier)
	s.SetNotifier(s)
	s.EnableBacklog(backlog.Limits{Capacity: 40, Slots: 20, Interval: 2e6, MaxSpilled: 10_000}, true, func() int { return len(s.undelivered) })
	startCtx, cancelStart := context.WithCancel(context.Background())
	runCtx, cancelRun := context.WithCancel(context.Background())
	ticked := make(chan struct{})
	go func() { router.RunTimer(runCtx); close(ticked) }()
	s.SetContexts(startCtx, runCtx)
	var once sync.Once
	s.halt = func() {
		once.Do(func() {
			cancelStart()
			cancelRun()
			s.Wait()
			<-ticked
			require.NoError(t, store.Close())
		})
	}
	t.Cleanup(s.halt)
	return s
}

// loaderByHand enables the loader without starting it.
func (s *backlogEngine) loaderByHand() *backlogManager {
	s.Recover(s.spool.Pending())
	r := s.Engine.backlog
	require.True(s.t, r.isRecovered())
	r.loadEnabled = true
	r.resumeDeferred()
	return r
}

func (s *backlogEngine) message(id string, dst int64, class, key string) *spool.Message {
	return &spool.Message{ID: id, Class: class, Key: id, OrderKey: key, Dst: dst, Expires: s.Now() + 60e6, Body: []byte("x")}
}

func (s *backlogEngine) class(m *spool.Message) int {
	class, known := s.Class(m.Class)
	require.True(s.t, known)
	return class
}

// handIn does what a frontend does for a client that receives its answer.
func (s *backlogEngine) handIn(m *spool.Message) routing.Disposition {
	disposition, _ := s.Accept(m, s.class(m))
	if disposition == routing.Held {
		s.Deliver(m)
	}
	return disposition
}

// handInMany hands in n messages for a destination; those beyond its window are spilled.
func (s *backlogEngine) handInMany(dst int64, n int) {
	for i := range n {
		require.Equal(s.t, routing.Held, s.handIn(s.message(fmt.Sprintf("%d-%03d", dst, i), dst, "n", "")))
	}
	require.EqualValues(s.t, max(0, n-windowPerDestination), s.BacklogSize())
}

// workedOn counts the active messages of the queues under their lock, because the engine's goroutine changes them as messages
// end.
func (s *backlogEngine) workedOn() (n int) {
	s.Engine.backlog.withQueues(func(q *backlog.Queues, _ int64) { n = q.Active() })
	return n
}

func (s *backlogEngine) eventually(f func() bool, what ...any) {
	s.t.Helper()
	require.Eventually(s.t, f, timeout, pollEvery, what...)
}

// holds returns all pending ids of a folder, spilled ones included.
func holds(t *testing.T, dir string) (ids map[string]bool) {
	t.Helper()
	next := t.TempDir()
	require.NoError(t, os.CopyFS(next, os.DirFS(dir)))
	store, _, err := spool.OpenBacklog(next, 1<<20)
	require.NoError(t, err)
	ids = map[string]bool{}
	for _, m := range store.Pending() {
		ids[m.ID] = true
	}
	for store.SpilledTotal() > 0 {
		ms, err := store.LoadMatching(func(*spool.Message) bool { return true }, 100)
		require.NoError(t, err)
		for _, m := range ms {
			require.False(t, ids[m.ID], "pending once: %s", m.ID)
			ids[m.ID] = true
		}
	}
	require.NoError(t, store.Close())
	return ids
}
