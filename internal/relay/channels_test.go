package relay

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	timeout   = 10 * time.Second // a passing run stays far below
	pollEvery = time.Millisecond
	slots     = 20 // as in the settings
)

const settings = `{"balancers":1,"machine_types":["m"],"zones":["z"],"classes":[{"name":"n","aim":2000,"deadline":8000,"group":"all",` +
	`"importance":1,"late_worth":0.5,"repeat":"by_key","window":15000}],"family_info":{"max_calls":20},"limits":{"most_held":40,"send_cap":6},` +
	`"rules":{"start_capacity":0.2,"warm_within":1000,"overload_factor":2}}`

// fakeSequencer is a channel: messages may start while it is open, and it records ends.
type fakeSequencer struct {
	open      chan bool
	ended     chan [2]bool // delivered, may run
	postponed chan bool    // postponed: may run
}

func (x *fakeSequencer) MayBegin(*spool.Message) bool {
	select {
	case may := <-x.open:
		return may
	default:
		return false
	}
}

func (x *fakeSequencer) Ended(_ *spool.Message, delivered, mayRun bool) {
	x.ended <- [2]bool{delivered, mayRun}
}

// fakeTransport reports when a leg is in flight; the test supplies the result.
type fakeTransport struct {
	sent          chan *spool.Message
	results       chan routing.Result
	pause         time.Duration // pause of the process between Authorize and Confirm; 0 to skip Confirm
	beforeConfirm func()        // runs between the two
}

func (r *fakeTransport) Send(_ context.Context, l Leg) Outcome {
	if !l.Authorize() {
		return Outcome{Result: routing.NotSent}
	}
	if r.beforeConfirm != nil {
		r.beforeConfirm()
	}
	if time.Sleep(r.pause); (r.pause > 0 || r.beforeConfirm != nil) && !l.Confirm() {
		return Outcome{Result: routing.NotSent}
	}
	r.sent <- l.Msg
	return Outcome{Result: <-r.results}
}

func (x *fakeSequencer) Postponed(_ *spool.Message, mayRun bool) { x.postponed <- mayRun }

type fakeNotifier chan Undelivered

func (e fakeNotifier) Undelivered(u Undelivered) { e <- u }

type rig struct {
	*Engine
	*fakeSequencer
	*fakeTransport
	fakeNotifier
	cancelStart, cancelRun func()
}

func begin(t *testing.T) *rig {
	r := prepare(t)
	r.Run()
	return r
}

// prepare creates an engine that does not run yet.
func prepare(t *testing.T) *rig {
	s, _, err := spool.Open(t.TempDir(), 1<<20)
	require.NoError(t, err)
	r := &rig{fakeSequencer: &fakeSequencer{make(chan bool, 9), make(chan [2]bool, 9), make(chan bool, 9)}, fakeTransport: &fakeTransport{make(chan *spool.Message, 9), make(chan routing.Result, 9), 0, nil}, fakeNotifier: make(fakeNotifier, 9)}
	clock := NewClock()
	router := routing.New(1, gjson.Parse(settings), clock.Now, func(string) {}, func(string) {})
	router.UpdateReceivers([]routing.Listing{{ID: "s", Addr: "h:1", Dst: 7, Kind: "m", Zone: "z", Listed: true}}, true, true)
	r.Engine = New(zap.NewNop(), clock, router, s, r.fakeTransport)
	r.SetNotifier(r.fakeNotifier)
	r.SetSequencer(r.fakeSequencer, time.Second)
	startCtx, cancelStart := context.WithCancel(context.Background())
	runCtx, cancelRun := context.WithCancel(context.Background())
	r.cancelStart, r.cancelRun = cancelStart, cancelRun
	ticked := make(chan struct{})
	go func() { router.RunTimer(runCtx); close(ticked) }()
	r.SetContexts(startCtx, runCtx)
	t.Cleanup(func() {
		cancelStart()
		cancelRun()
		close(r.results)
		close(r.open)
		r.Wait()
		<-ticked
		require.NoError(t, s.Close())
	})
	return r
}

func (r *rig) message(id string) *spool.Message {
	return &spool.Message{ID: id, Class: "n", Key: id, Dst: 7, Expires: r.Now() + 8e6, Channel: "x", Pos: 1}
}

func TestLegAsksForItsTurn(t *testing.T) {
	r := begin(t)
	m := r.message("a")
	require.NoError(t, r.Store(m))
	require.False(t, r.IsActive("a"), "it is on disk and not with the decision module")
	r.open <- true
	r.Resume(m)
	require.Same(t, m, <-r.sent)
	require.True(t, r.IsActive("a"))
	require.Empty(t, r.ended)
	r.results <- routing.Delivered
	require.Equal(t, [2]bool{true, false}, <-r.ended)
	require.Empty(t, r.fakeNotifier)
}

func TestAbandonedWithALegInFlight(t *testing.T) {
	for how, want := range map[routing.Result][2]bool{routing.Delivered: {true, false}, routing.TimedOut: {false, true}, routing.Errored: {false, false}} {
		r := begin(t)
		m := r.message("a")
		require.NoError(t, r.Store(m))
		r.open <- true
		r.Resume(m)
		<-r.sent
		r.Abandon("a", 5)
		require.Empty(t, r.ended, "its leg is in flight")
		r.results <- how
		require.Equal(t, want, <-r.ended, how)
		if how != routing.Delivered {
			require.False(t, (<-r.fakeNotifier).Rejected, "it may have run")
		}
		require.Empty(t, r.fakeNotifier)
	}
}

func TestAbandonedBeforeItsTurn(t *testing.T) {
	r := begin(t)
	kept, resumed := r.message("a"), r.message("b")
	require.NoError(t, r.Store(kept))
	r.AbandonStored(kept, 5)
	u := <-r.fakeNotifier
	require.True(t, u.Rejected)
	require.Equal(t, int64(5), u.RetryAfter)
	require.Empty(t, r.ended, "its channel knows already")
	r = prepare(t)
	require.NoError(t, r.Store(resumed))
	r.Resume(resumed)
	r.Abandon("b", 7)
	r.Run()
	require.True(t, (<-r.fakeNotifier).Rejected)
	require.Equal(t, [2]bool{false, false}, <-r.ended)
	require.Empty(t, r.postponed)
}

// Guards against a message being rejected within milliseconds of its hand-in because its legs were used up while its sender had
// lost the turn for a moment. With one leg left, the decision module ends the message when that leg does not start: it goes back
// to its channel as well.
func TestPostponedMessageLosesNoLeg(t *testing.T) {
	for _, had := range []int{0, 5} {
		r := begin(t)
		m := r.message("a")
		require.NoError(t, r.Store(m))
		for range had {
			require.NoError(t, r.spool.AddLeg(m, spool.Leg{SentAt: r.Now() - 1e6, NeverRan: true}))
		}
		for range 20 {
			r.Resume(m)
			require.False(t, <-r.postponed, "it never ran")
			require.False(t, r.IsActive("a"))
			require.Len(t, r.spool.Legs(m), had)
		}
		require.Eventually(t, func() bool { return r.Pending() == 0 }, timeout, pollEvery, "an end is processed once its channel has been notified")
		require.Empty(t, r.fakeNotifier)
		require.Empty(t, r.ended)
		r.open <- true
		r.Resume(m)
		require.Same(t, m, <-r.sent)
		r.results <- routing.Delivered
		require.Equal(t, [2]bool{true, false}, <-r.ended)
		require.Empty(t, r.fakeNotifier)
	}
}

// resumed returns an engine that does not run yet and has resumed message a.
func resumed(t *testing.T) (*rig, *delivery) {
	r := prepare(t)
	m := r.message("a")
	require.NoError(t, r.Store(m))
	r.Resume(m)
	return r, r.active["a"]
}

// A message goes back to its channel once the decision module and the leg that did not start are done with it, in either order.
func TestPostponingWaitsForTheLeg(t *testing.T) {
	r, c := resumed(t)
	c.legsOut, c.postponed = 1, true
	r.apply(routing.Decision{Disposition: routing.Rejected, ID: "a"})
	require.Empty(t, r.postponed, "its leg is in flight")
	r.finishLeg(c)
	require.False(t, <-r.postponed)
	require.Empty(t, r.fakeNotifier)
	require.Empty(t, r.ended)
}

// A message delivered by one leg does not go back because of another leg that lost its turn.
func TestDeliveredMessageIsNotPostponed(t *testing.T) {
	r, c := resumed(t)
	c.postponed, c.delivered = true, true
	r.apply(routing.Decision{Disposition: routing.Completed, ID: "a"})
	require.Equal(t, [2]bool{true, false}, <-r.ended)
	require.Empty(t, r.postponed)
}

// A leg is chosen after the check that saw none in flight, and the message is abandoned before it is over: its only end waits
// for that leg.
func TestAbandonedWhileALegIsChosen(t *testing.T) {
	for how, want := range map[routing.Result][2]bool{routing.Delivered: {true, false}, routing.TimedOut: {false, true}} {
		r := prepare(t)
		m := r.message("a")
		require.NoError(t, r.Store(m))
		r.Resume(m)
		r.open <- true
		p, err := r.router.NextDecision(r.startCtx)
		require.NoError(t, err)
		r.apply(p)
		<-r.sent
		c := r.active["a"]
		r.mu.Lock()
		c.abandoned = true // as by an Abandon that checked before
		r.mu.Unlock()
		r.router.Withdraw("a")
		p, err = r.router.NextDecision(r.startCtx)
		require.NoError(t, err)
		r.apply(p)
		require.Empty(t, r.fakeNotifier, "its leg is in flight")
		require.Empty(t, r.ended)
		r.results <- how
		require.Equal(t, want, <-r.ended)
		if how != routing.Delivered {
			require.False(t, (<-r.fakeNotifier).Rejected, "it may have run")
		}
		require.Empty(t, r.fakeNotifier)
		r.Run()
	}
}

// The decision module may continue with an abandoned message until it is told: no leg starts, and the abandoning determines how
// the message ends.
func TestDecisionsOnAnAbandonedMessage(t *testing.T) {
	r := prepare(t)
	m := r.message("a")
	require.NoError(t, r.Store(m))
	r.Resume(m)
	require.NoError(t, r.spool.AddLeg(m, spool.Leg{SentAt: r.Now()}))
	r.active["a"].abandoned = true
	r.open <- true
	r.apply(routing.Decision{Disposition: routing.Leg, ID: "a"})
	require.Zero(t, r.LegsInFlight())
	require.Zero(t, r.active["a"].legsOut)
	r.apply(routing.Decision{Disposition: routing.Rejected, ID: "a"})
	require.False(t, (<-r.fakeNotifier).Rejected, "it may have run")
	require.Equal(t, [2]bool{false, false}, <-r.ended)
}

func TestAbandonedMessageDoesNotBegin(t *testing.T) {
	r := prepare(t)
	r.open <- true
	require.False(t, r.mayBegin(&delivery{msg: r.message("a"), abandoned: true}))
	require.True(t, r.mayBegin(&delivery{msg: r.message("a")}))
}

// Guards against losing call slots: each message abandoned between the choice of its leg and the start of that leg kept a slot
// for good.
func TestAbandoningAChosenLegFreesItsSlot(t *testing.T) {
	r := prepare(t)
	for i := range 2 * slots {
		m := r.message(strconv.Itoa(i))
		require.NoError(t, r.Store(m))
		r.Resume(m)
		p, err := r.router.NextDecision(r.startCtx)
		require.NoError(t, err)
		require.Equal(t, routing.Leg, p.Disposition, "message %d has no slot", i)
		r.mu.Lock()
		r.active[m.ID].abandoned = true // as by an Abandon that comes while the leg is chosen
		r.mu.Unlock()
		r.apply(p)
		r.router.Withdraw(m.ID)
		p, err = r.router.NextDecision(r.startCtx)
		require.NoError(t, err)
		r.apply(p)
		require.True(t, (<-r.fakeNotifier).Rejected)
		require.Equal(t, [2]bool{false, false}, <-r.ended)
	}
}
