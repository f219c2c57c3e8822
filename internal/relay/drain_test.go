package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ravenlink/internal/routing"
)

// legCountObserver records the number of legs in flight when a leg starts.
type legCountObserver struct {
	*Engine
	out chan int64
}

func (c legCountObserver) MessageAccepted(int64) {}
func (c legCountObserver) LegStarted(int64)      { c.out <- c.LegsInFlight() }
func (c legCountObserver) LegEnded(int64)        {}
func (c legCountObserver) LegRefused(int64)      {}
func (c legCountObserver) MessageEnded(int64)    {}

// The program exits once no leg is counted, so a leg must be counted before anyone can check.
func TestLegIsCountedBeforeItStarts(t *testing.T) {
	r := prepare(t)
	seen := legCountObserver{r.Engine, make(chan int64, 9)}
	r.Observer = seen
	r.open <- true
	r.results <- routing.Delivered
	m := r.message("a")
	require.NoError(t, r.Store(m))
	r.Resume(m)
	r.Run()
	require.EqualValues(t, 1, <-seen.out)
	require.Equal(t, [2]bool{true, false}, <-r.ended)
}

func TestLegInFlightAsStartCtxEndsIsRecorded(t *testing.T) {
	for _, late := range []bool{false, true} { // the leg ends before runCtx, or after it
		r := begin(t)
		m := r.message("a")
		require.NoError(t, r.Store(m))
		r.open <- true
		r.Resume(m)
		<-r.sent
		r.cancelStart()
		if late {
			r.cancelRun()
		}
		r.results <- routing.Delivered
		require.Equal(t, [2]bool{true, false}, <-r.ended)
		r.cancelRun()
		r.Wait()
		require.Empty(t, r.spool.Pending(), "a restart would treat it as one that may have run")
		require.Zero(t, r.LegsInFlight())
	}
}

func TestLegChosenBeforeStartCtxEndedDoesNotStart(t *testing.T) {
	r := prepare(t)
	m := r.message("a")
	require.NoError(t, r.Store(m))
	r.Resume(m)
	r.cancelStart()
	r.open <- true
	r.results <- routing.Delivered
	r.Run()
	r.cancelRun()
	r.Wait()
	require.Empty(t, r.sent)
	require.Len(t, r.spool.Pending(), 1)
	require.Empty(t, m.Legs)
	require.Zero(t, r.LegsInFlight())
}

// A leg may wait long for its connection or at the gate.
func TestLegWithoutItsFirstByteAsStartCtxEndsIsNotSent(t *testing.T) {
	r := prepare(t)
	r.router.Gate = func(int64) bool { r.cancelStart(); return true }
	m := r.message("a")
	require.NoError(t, r.Store(m))
	r.Resume(m)
	r.open <- true
	r.results <- routing.Delivered
	r.Run()
	require.Eventually(t, func() bool { return r.startCtx.Err() != nil && r.LegsInFlight() == 0 }, timeout, pollEvery)
	r.cancelRun()
	r.Wait()
	require.Empty(t, r.sent)
	require.Len(t, m.Legs, 1)
	require.True(t, m.Legs[0].NeverRan)
}

// The process is stopped right after the record of a leg: its authorization may be outdated.
func TestLegPausedBeforeItsFirstByteIsNotSent(t *testing.T) {
	r := prepare(t)
	r.pause = 2 * authorizationMicros * time.Microsecond
	m := r.message("a")
	require.NoError(t, r.Store(m))
	r.Resume(m)
	r.open <- true // one only
	r.results <- routing.Delivered
	r.Run()
	require.Eventually(t, func() bool { return r.Stats.Legs[routing.NotSent].Load() > 0 }, timeout, pollEvery)
	r.cancelStart()
	r.cancelRun()
	r.Wait()
	require.Empty(t, r.sent)
	require.NotEmpty(t, m.Legs)
	for _, l := range m.Legs {
		require.True(t, l.NeverRan)
	}
}

// Between the record of a leg and its first byte the list reports that the receiver drains.
func TestLegWhoseReceiverDrainsAsItIsRecordedIsNotSent(t *testing.T) {
	r := prepare(t)
	r.beforeConfirm = func() {
		r.router.UpdateReceivers([]routing.Listing{{ID: "s", Addr: "h:1", Dst: 7, Kind: "m", Zone: "z"}}, false, false)
	}
	m := r.message("a")
	require.NoError(t, r.Store(m))
	r.Resume(m)
	r.open <- true
	r.results <- routing.Delivered
	r.Run()
	require.Eventually(t, func() bool { return r.Stats.Legs[routing.NotSent].Load()+r.Stats.Legs[routing.Delivered].Load() > 0 }, timeout, pollEvery)
	r.cancelStart()
	r.cancelRun()
	r.Wait()
	require.Empty(t, r.sent)
	require.True(t, m.Legs[0].NeverRan)
}

// A message that ends while its leg waits for a connection has no leg any more, and no log line reports a disk failure.
func TestLegOfAnEndedMessageIsNotSentAndNoFault(t *testing.T) {
	for _, before := range []bool{true, false} { // before the record of the leg, or after it
		r := prepare(t)
		faults, logged := observer.New(zap.WarnLevel)
		r.log = zap.New(faults)
		m := r.message("a")
		gone := func() { r.router.Withdraw("a"); r.Complete(m) }
		r.beforeConfirm = func() {}
		if before {
			r.router.Gate = func(int64) bool { gone(); return true }
		} else {
			r.beforeConfirm = gone
		}
		require.NoError(t, r.Store(m))
		r.Resume(m)
		r.open <- true
		r.results <- routing.Delivered
		r.Run()
		require.Eventually(t, func() bool { return r.Stats.Legs[routing.NotSent].Load()+r.Stats.Legs[routing.Delivered].Load() > 0 }, timeout, pollEvery)
		r.cancelStart()
		r.cancelRun()
		r.Wait()
		require.Empty(t, r.sent)
		require.Zero(t, logged.FilterMessageSnippet("leg").Len())
	}
}

type notifierFunc func()

func (f notifierFunc) Undelivered(Undelivered) { f() }

// A sender without pending messages exits early, so the notice of a message must be handed over before it stops counting as
// pending.
func TestMessageIsPendingUntilItsNoticeIsHandedOver(t *testing.T) {
	r := prepare(t)
	var pending int64
	r.SetNotifier(notifierFunc(func() { pending = r.Pending() }))
	m := r.message("a")
	require.NoError(t, r.Store(m))
	r.Resume(m)
	r.router.Withdraw("a")
	for r.router.Pending() > 0 { // its leg and its end
		_, err := r.router.NextDecision(r.runCtx)
		require.NoError(t, err)
	}
	r.apply(routing.Decision{Disposition: routing.Failed, ID: "a"})
	require.EqualValues(t, 1, pending)
	require.Zero(t, r.Pending())
}

// A message expires while its leg is in flight: the notifier gets a copy of the attempts as they are, which a later outcome does
// not change, and a later call returns that outcome. That the leg never ran is also reported separately, once, because the end
// may have been stored by then.
func TestOutcomeAfterTheEndIsReported(t *testing.T) {
	r := begin(t)
	proven := make(chan []Attempt, 9)
	r.OnNeverRan = func(id string, attempts []Attempt) {
		require.Equal(t, "a", id)
		proven <- attempts
	}
	m := r.message("a")
	require.NoError(t, r.Store(m))
	r.open <- true
	r.Resume(m)
	<-r.sent
	r.endUndelivered(r.active["a"], false, 0)
	u := <-r.fakeNotifier
	atTheEnd := u.Attempts()
	r.Complete(m) // its end is known and recorded
	r.results <- routing.NotConnected
	later := <-proven
	require.Len(t, atTheEnd, 1)
	require.False(t, atTheEnd[0].NeverRan)
	require.Empty(t, atTheEnd[0].Result)
	require.Len(t, later, 1)
	require.True(t, later[0].NeverRan)
	require.Equal(t, routing.NotConnected.String(), later[0].Result)
	require.Equal(t, atTheEnd[0].SentAt, later[0].SentAt)
	require.Equal(t, later, u.Attempts())
	require.Empty(t, proven)
}

// A message ends while a leg waits for its connection, and the leg is then not its channel's turn: no attempt was recorded, so
// there is nothing to report about the attempts of the message.
func TestUnrecordedLegAfterTheEndIsNotReported(t *testing.T) {
	r := prepare(t)
	reported := make(chan []Attempt, 9)
	r.OnNeverRan = func(_ string, attempts []Attempt) { reported <- attempts }
	m := r.message("a")
	require.NoError(t, r.Store(m))
	r.Resume(m)
	r.endUndelivered(r.active["a"], false, 0)
	<-r.fakeNotifier
	r.Complete(m)
	r.Run() // r.open is empty
	require.Eventually(t, func() bool { return r.Stats.Legs[routing.NotSent].Load() > 0 }, timeout, pollEvery)
	r.cancelStart()
	r.cancelRun()
	r.Wait()
	require.Empty(t, r.sent)
	require.Empty(t, reported)
}

func TestAuthorizationExpires(t *testing.T) {
	require.True(t, stillAuthorized(authorizationMicros, 0, authorizationMicros+1))
	require.False(t, stillAuthorized(authorizationMicros+1, 0, authorizationMicros+2), "the authorization is too old")
	require.False(t, stillAuthorized(5, 4, 5), "it has expired")
}
