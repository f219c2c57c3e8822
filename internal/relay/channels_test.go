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
	long    = 10 * time.Second // a limit that no good run reaches
	glimpse = time.Millisecond
	slots   = 20 // as in the settings
)

const settings = `{"balancers":1,"machine_types":["m"],"zones":["z"],"classes":[{"name":"n","aim":2000,"deadline":8000,"group":"all",` +
	`"importance":1,"late_worth":0.5,"repeat":"by_key","window":15000}],"family_info":{"max_calls":20},"limits":{"most_held":40,"send_cap":6},` +
	`"rules":{"start_capacity":0.2,"warm_within":1000,"overload_factor":2}}`

// turns is a channel: messages in it may begin while open, and it hears of ends.
type turns struct {
	open  chan bool
	ended chan [2]bool // delivered, may run
	back  chan bool    // postponed: may run
}

func (x *turns) MayBegin(*spool.Message) bool {
	select {
	case may := <-x.open:
		return may
	default:
		return false
	}
}

func (x *turns) Ended(_ *spool.Message, delivered, mayRun bool) {
	x.ended <- [2]bool{delivered, mayRun}
}

// road carries legs: it says when one is out, and how it goes is told to it.
type road struct {
	gone chan *spool.Message
	how  chan routing.Result
	halt time.Duration // for which the process stands between what is asked first and what is asked last; 0 to ask nothing last
	news func()        // what comes between the two
}

func (r *road) Carry(_ context.Context, l Leg) Journey {
	if !l.Ready() {
		return Journey{Result: routing.NotSent}
	}
	if r.news != nil {
		r.news()
	}
	if time.Sleep(r.halt); (r.halt > 0 || r.news != nil) && !l.Still() {
		return Journey{Result: routing.NotSent}
	}
	r.gone <- l.Msg
	return Journey{Result: <-r.how}
}

func (x *turns) Postponed(_ *spool.Message, mayRun bool) { x.back <- mayRun }

type ends chan Undelivered

func (e ends) Undelivered(u Undelivered) { e <- u }

type rig struct {
	*Engine
	*turns
	*road
	ends
	stopPicking, stopWorking func()
}

func begin(t *testing.T) *rig {
	r := prepare(t)
	r.Run()
	return r
}

// prepare makes an engine that does not run yet.
func prepare(t *testing.T) *rig {
	s, _, err := spool.Open(t.TempDir(), 1<<20)
	require.NoError(t, err)
	r := &rig{turns: &turns{make(chan bool, 9), make(chan [2]bool, 9), make(chan bool, 9)}, road: &road{make(chan *spool.Message, 9), make(chan routing.Result, 9), 0, nil}, ends: make(ends, 9)}
	clock := NewClock()
	router := routing.New(1, gjson.Parse(settings), clock.Now, func(string) {}, func(string) {})
	router.List([]routing.Listing{{ID: "s", Addr: "h:1", Dst: 7, Kind: "m", Zone: "z", Listed: true}}, true, true)
	r.Engine = New(zap.NewNop(), clock, router, s, r.road)
	r.Tell(r.ends)
	r.Order(r.turns, time.Second)
	picking, stopPicking := context.WithCancel(context.Background())
	working, stopWorking := context.WithCancel(context.Background())
	r.stopPicking, r.stopWorking = stopPicking, stopWorking
	ticked := make(chan struct{})
	go func() { router.Tick(working); close(ticked) }()
	r.Begin(picking, working)
	t.Cleanup(func() {
		stopPicking()
		stopWorking()
		close(r.how)
		close(r.open)
		r.Wait()
		<-ticked
		require.NoError(t, s.Close())
	})
	return r
}

func (r *rig) message(id string) *spool.Message {
	return &spool.Message{ID: id, Lane: "n", Key: id, Dst: 7, Expires: r.Now() + 8e6, Channel: "x", Pos: 1}
}

// Holds tells whether a message is with the decisions.
func (e *Engine) Holds(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held[id] != nil
}

func TestALegAsksForItsTurn(t *testing.T) {
	r := begin(t)
	m := r.message("a")
	require.NoError(t, r.Keep(m))
	require.False(t, r.Holds("a"), "it is on disk, and not with the decisions")
	r.open <- true
	r.Resume(m)
	require.Same(t, m, <-r.gone)
	require.True(t, r.Holds("a"))
	require.Empty(t, r.ended)
	r.how <- routing.Delivered
	require.Equal(t, [2]bool{true, false}, <-r.ended)
	require.Empty(t, r.ends)
}

func TestGivenUpWithALegOut(t *testing.T) {
	for how, want := range map[routing.Result][2]bool{routing.Delivered: {true, false}, routing.TimedOut: {false, true}, routing.Errored: {false, false}} {
		r := begin(t)
		m := r.message("a")
		require.NoError(t, r.Keep(m))
		r.open <- true
		r.Resume(m)
		<-r.gone
		r.Abandon("a", 5)
		require.Empty(t, r.ended, "its leg is out")
		r.how <- how
		require.Equal(t, want, <-r.ended, how)
		if how != routing.Delivered {
			require.False(t, (<-r.ends).PushedBack, "it may have run")
		}
		require.Empty(t, r.ends)
	}
}

// Guards against a message without an end where the part that orders it stands still: it neither resumes the message nor gives it up.
func TestWhatWaitsForItsTurnEndsAtItsDeadline(t *testing.T) {
	r := begin(t)
	m := r.message("a")
	m.Expires = r.Now() + 200_000
	require.NoError(t, r.Keep(m))
	u := <-r.ends
	require.Same(t, m, u.Msg)
	require.True(t, u.PushedBack)
	require.GreaterOrEqual(t, r.Now(), m.Expires)
	require.Equal(t, [2]bool{false, false}, <-r.ended, "its channel hears of it")
	r.open <- true
	r.Resume(m)
	r.GiveUp(m, 5)
	require.Empty(t, r.ends, "it has one end")
	require.False(t, r.Holds("a"))
	require.Empty(t, r.gone)
}

// Guards against a failed position that is passed: its end came when its channel could write no row any more. It stays owed to the next process.
func TestWhatWaitsAsPickingEndsIsOwedToTheNextProcess(t *testing.T) {
	r := begin(t)
	m := r.message("a")
	m.Expires = r.Now() + 1_000_000
	require.NoError(t, r.Keep(m))
	r.stopPicking()
	r.expire(m) // as its deadline does
	require.Empty(t, r.ends)
	require.Empty(t, r.ended)
	owed, _ := r.spool.Owing(func(*spool.Message) bool { return true })
	require.Equal(t, []string{"a"}, owed)
}

// The same after its turn was lost before a leg began.
func TestWhatIsPostponedEndsAtItsDeadline(t *testing.T) {
	r := begin(t)
	m := r.message("a")
	m.Expires = r.Now() + 1_000_000
	require.NoError(t, r.Keep(m))
	r.open <- false
	r.Resume(m)
	require.False(t, <-r.back)
	require.True(t, (<-r.ends).PushedBack)
	require.GreaterOrEqual(t, r.Now(), m.Expires)
	require.Equal(t, [2]bool{false, false}, <-r.ended)
}

func TestGivenUpBeforeItsTurn(t *testing.T) {
	r := begin(t)
	kept, resumed := r.message("a"), r.message("b")
	require.NoError(t, r.Keep(kept))
	r.GiveUp(kept, 5)
	u := <-r.ends
	require.True(t, u.PushedBack)
	require.Equal(t, int64(5), u.Advice)
	require.Empty(t, r.ended, "its channel knows already")
	r = prepare(t)
	require.NoError(t, r.Keep(resumed))
	r.Resume(resumed)
	r.Abandon("b", 7)
	r.Run()
	require.True(t, (<-r.ends).PushedBack)
	require.Equal(t, [2]bool{false, false}, <-r.ended)
	require.Empty(t, r.back)
}

// Guards against a message that is pushed back within milliseconds of its hand-in, for its legs were used up while its sender had lost its turn
// for a moment. With one leg left the decisions end it as that one does not go: it goes back as well.
func TestAMessageWhoseTurnIsLostGoesBackAndLosesNoLeg(t *testing.T) {
	for _, had := range []int{0, 5} {
		r := begin(t)
		m := r.message("a")
		require.NoError(t, r.Keep(m))
		for range had {
			require.NoError(t, r.spool.Leg(m, spool.Leg{SentAt: r.Now() - 1e6, NeverRan: true}))
		}
		for range 20 {
			r.Resume(m)
			require.False(t, <-r.back, "it never ran")
			require.False(t, r.Holds("a"))
			require.Len(t, r.spool.Legs(m), had)
		}
		require.Eventually(t, func() bool { return r.Owed() == 0 }, long, glimpse, "an end is carried out once its channel has heard of it")
		require.Empty(t, r.ends)
		require.Empty(t, r.ended)
		r.delivers(t, m)
	}
}

// delivers sets a message going whose turn has come, and has it delivered.
func (r *rig) delivers(t *testing.T, m *spool.Message) {
	t.Helper()
	r.open <- true
	r.Resume(m)
	require.Same(t, m, <-r.gone)
	r.how <- routing.Delivered
	require.Equal(t, [2]bool{true, false}, <-r.ended)
	require.Empty(t, r.ends)
}

// resumed has an engine that does not run yet carry message a.
func resumed(t *testing.T) (*rig, *carried) {
	r := prepare(t)
	m := r.message("a")
	require.NoError(t, r.Keep(m))
	r.Resume(m)
	return r, r.held["a"]
}

// A message goes back once its decisions and the leg that did not begin are over with it, in whichever order they are.
func TestGoingBackWaitsForTheLeg(t *testing.T) {
	r, c := resumed(t)
	c.out, c.postponed = 1, true
	r.carryOut(routing.Pick{Way: routing.PushedBack, ID: "a"})
	require.Empty(t, r.back, "its leg is out")
	r.legOver(c)
	require.False(t, <-r.back)
	require.Empty(t, r.ends)
	require.Empty(t, r.ended)
}

// What was delivered by one leg does not go back for another that lost its turn.
func TestWhatWasDeliveredDoesNotGoBack(t *testing.T) {
	r, c := resumed(t)
	c.postponed, c.delivered = true, true
	r.carryOut(routing.Pick{Way: routing.Over, ID: "a"})
	require.Equal(t, [2]bool{true, false}, <-r.ended)
	require.Empty(t, r.back)
}

// A leg is picked after the look that saw none out, and the message is given up before it is over: its one end waits for that leg.
func TestGivenUpAsALegIsPicked(t *testing.T) {
	for how, want := range map[routing.Result][2]bool{routing.Delivered: {true, false}, routing.TimedOut: {false, true}} {
		r := prepare(t)
		m := r.message("a")
		require.NoError(t, r.Keep(m))
		r.Resume(m)
		r.open <- true
		p, err := r.router.Pick(r.picking)
		require.NoError(t, err)
		r.carryOut(p)
		<-r.gone
		c := r.held["a"]
		r.mu.Lock()
		c.given = true // as by an Abandon that looked before
		r.mu.Unlock()
		r.router.Withdraw("a")
		p, err = r.router.Pick(r.picking)
		require.NoError(t, err)
		r.carryOut(p)
		require.Empty(t, r.ends, "its leg is out")
		require.Empty(t, r.ended)
		r.how <- how
		require.Equal(t, want, <-r.ended)
		if how != routing.Delivered {
			require.False(t, (<-r.ends).PushedBack, "it may have run")
		}
		require.Empty(t, r.ends)
		r.Run()
	}
}

// The decisions may go on with a message that was given up, until they hear of it: no leg begins, and how it ends goes by the giving up.
func TestDecisionsOnWhatWasGivenUp(t *testing.T) {
	r := prepare(t)
	m := r.message("a")
	require.NoError(t, r.Keep(m))
	r.Resume(m)
	require.NoError(t, r.spool.Leg(m, spool.Leg{SentAt: r.Now()}))
	r.held["a"].given = true
	r.open <- true
	r.carryOut(routing.Pick{Way: routing.Leg, ID: "a"})
	require.Zero(t, r.Out())
	require.Zero(t, r.held["a"].out)
	r.carryOut(routing.Pick{Way: routing.PushedBack, ID: "a"})
	require.False(t, (<-r.ends).PushedBack, "it may have run")
	require.Equal(t, [2]bool{false, false}, <-r.ended)
}

func TestWhatWasGivenUpDoesNotBegin(t *testing.T) {
	r := prepare(t)
	r.open <- true
	require.False(t, r.begins(&carried{msg: r.message("a"), given: true}))
	require.True(t, r.begins(&carried{msg: r.message("a")}))
}

// Guards against a sender without slots: each message that was given up between the picking of its leg and the leg kept one for good.
func TestWhatIsGivenUpAsItsLegIsPickedKeepsNoSlot(t *testing.T) {
	r := prepare(t)
	for i := range 2 * slots {
		m := r.message(strconv.Itoa(i))
		require.NoError(t, r.Keep(m))
		r.Resume(m)
		p, err := r.router.Pick(r.picking)
		require.NoError(t, err)
		require.Equal(t, routing.Leg, p.Way, "message %d has no slot", i)
		r.mu.Lock()
		r.held[m.ID].given = true // as by an Abandon that comes as the leg is picked
		r.mu.Unlock()
		r.carryOut(p)
		r.router.Withdraw(m.ID)
		p, err = r.router.Pick(r.picking)
		require.NoError(t, err)
		r.carryOut(p)
		require.True(t, (<-r.ends).PushedBack)
		require.Equal(t, [2]bool{false, false}, <-r.ended)
	}
}
