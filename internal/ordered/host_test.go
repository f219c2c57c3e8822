package ordered

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"ravenlink/internal/channels"
	"ravenlink/internal/post"
	"ravenlink/internal/relay"
	"ravenlink/internal/spool"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// disk is a store in memory that may fail, and that a restart finds again.
type disk struct {
	mu   sync.Mutex
	rows map[string][]byte
	full bool
}

func (d *disk) Write(rows []channels.Row) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return errors.New("no room")
	}
	for _, r := range rows {
		if r.Value == nil {
			delete(d.rows, r.Key)
		} else {
			d.rows[r.Key] = r.Value
		}
	}
	return nil
}

func (d *disk) Rows() (all []channels.Row, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, v := range d.rows {
		all = append(all, channels.Row{Key: k, Value: v})
	}
	return all, nil
}

// engine delivers at once what it may; stuck ones stay out until let go.
type engine struct {
	mu        sync.Mutex
	clock     relay.Clock
	turns     relay.Turns
	stuck     bool
	out       []*spool.Message
	owed      map[string]*spool.Message
	delivered []int64
	given     []int64
	withdrawn int
	kept      func(m *spool.Message) // called as a message is kept; nil for nothing
}

func (e *engine) Now() int64 { return e.clock.Now() }

func (e *engine) Keep(m *spool.Message) error {
	e.mu.Lock()
	e.owed[m.ID] = m
	kept := e.kept
	e.mu.Unlock()
	if kept != nil {
		kept(m)
	}
	return nil
}

// Await ends a message that is still owed at its time.
func (e *engine) Await(m *spool.Message) {
	time.AfterFunc(time.Duration(m.Expires-e.Now())*time.Microsecond, func() {
		e.mu.Lock()
		owed := e.owed[m.ID] == m
		e.mu.Unlock()
		if owed {
			e.GiveUp(m, 0)
			e.turns.Ended(m, false, false)
		}
	})
}

func (e *engine) Over(m *spool.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.owed, m.ID)
}

func (e *engine) Resume(m *spool.Message) {
	if !e.turns.MayBegin(m) {
		e.turns.Postponed(m, false)
		return
	}
	e.mu.Lock()
	if e.stuck {
		e.out = append(e.out, m)
		e.mu.Unlock()
		return
	}
	e.delivered = append(e.delivered, m.Pos)
	delete(e.owed, m.ID)
	e.mu.Unlock()
	e.turns.Ended(m, true, false)
}

func (e *engine) GiveUp(m *spool.Message, _ int64) {
	e.Over(m)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.given = append(e.given, m.Pos)
}

func (e *engine) Abandon(string, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withdrawn++
}

func (e *engine) seen() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.delivered)
}

type sender struct {
	*Host
	e    *engine
	d    *disk
	stop func()

	byName *sync.Map // hosts
}

var timing = channels.Timing{Lease: 900_000, Drift: 1000, Answer: 20_000, Leg: 50_000, Live: 30_000, Drain: 30_000, Idle: 60_000_000, Forget: 60_000_000}

// fleet starts three senders whose letters always arrive; what failed lets the next pass.
func fleet(t *testing.T) (all []*sender) { return fleetThat(t, true) }

// fleetThat says whether what failed lets the next pass.
func fleetThat(t *testing.T, passFailed bool) (all []*sender) {
	byName := &sync.Map{}
	for _, name := range []string{"a", "b", "c"} {
		s := &sender{e: &engine{clock: relay.NewClock(), owed: map[string]*spool.Message{}}, d: &disk{rows: map[string][]byte{}}}
		start(t, s, name, 1, byName, nil)
		all = append(all, s)
	}
	k := channels.Contract{Channel: "x", Tenant: "t", Dst: 1, Mode: channels.Whole, Gap: channels.Wait, Wait: 1_000_000, Window: 16, PassFailed: passFailed,
		MostHold: 5_000_000, Version: 1, From: 1}
	require.NoError(t, all[0].Declare(k))
	return all
}

func start(t *testing.T, s *sender, name string, life uint64, byName *sync.Map, owed []*spool.Message) {
	send := func(l post.Letter[channels.Msg]) {
		go func() {
			if to, there := byName.Load(l.To); there {
				to.(*Host).Heard(name, l.Msg)
			}
		}()
	}
	table := channels.New(name, life, []string{"a", "b", "c"}, timing, channels.Room{Channels: 100, Held: 100})
	s.Host = New(zap.NewNop(), s.e, s.d, table, send, 0)
	s.e.turns = s.Host
	_, err := s.Restore(owed)
	require.NoError(t, err)
	byName.Store(name, s.Host)
	s.byName = byName
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	s.stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(s.stop)
}

func (s *sender) message(pos int64) *spool.Message {
	return &spool.Message{ID: fmt.Sprint("m", pos), Channel: "x", Pos: pos, Dst: 1, Expires: s.e.Now() + 10_000_000}
}

// until hands in until it is not told to come back, and waits as it is told.
func (s *sender) until(t *testing.T, pos int64) relay.Word {
	for range 1000 {
		w := s.HandIn(s.message(pos), 0)
		if w.OK || w.Cause != "" {
			if w.Then != nil {
				w.Then()
			}
			return w
		}
		time.Sleep(time.Duration(min(w.Wait, 20_000)) * time.Microsecond)
	}
	t.Fatal("busy for ever")
	return relay.Word{}
}

func TestInOrderAtTwoSenders(t *testing.T) {
	all := fleet(t)
	a, b := all[0], all[1]
	for pos := int64(1); pos <= 20; pos++ {
		s := a
		if pos > 10 {
			s = b
		}
		if pos == 11 {
			a.Gone("x")
		}
		require.True(t, s.until(t, pos).OK)
	}
	require.Eventually(t, func() bool { return len(a.e.seen()) == 10 && len(b.e.seen()) == 10 }, 5*time.Second, time.Millisecond)
	require.Equal(t, []int64{11, 12, 13, 14, 15, 16, 17, 18, 19, 20}, b.e.seen())
	w := b.until(t, 15)
	require.True(t, w.OK, "a doubled position")
	require.Nil(t, w.Then)
	require.Len(t, b.e.seen(), 10)
}

// No leg starts before the client has its answer, and nothing is answered +OK that is not on disk.
func TestAnswersAndDisk(t *testing.T) {
	a := fleet(t)[0]
	require.True(t, a.until(t, 1).OK)
	require.Eventually(t, func() bool { return len(a.e.seen()) == 1 }, 5*time.Second, time.Millisecond)
	w := a.HandIn(a.message(2), 0)
	require.True(t, w.OK)
	require.Eventually(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.held["m2"].due
	}, 5*time.Second, time.Millisecond)
	require.Len(t, a.e.seen(), 1)
	w.Then()
	require.Equal(t, []int64{1, 2}, a.e.seen())
	a.d.mu.Lock()
	a.d.full = true
	a.d.mu.Unlock()
	require.False(t, a.HandIn(a.message(3), 0).OK)
	require.False(t, a.HandIn(a.message(3), 0).OK)
	require.Empty(t, a.e.owed)
}

// loses has a sender's engine find the turn of a message lost that it has out, before a leg began.
func (s *sender) loses(t *testing.T, m *spool.Message) {
	s.e.mu.Lock()
	require.Contains(t, s.e.out, m)
	s.e.out = slices.DeleteFunc(s.e.out, func(o *spool.Message) bool { return o == m })
	s.e.mu.Unlock()
	s.Postponed(m, false)
}

// oneOut has one message with a sender's engine.
func (s *sender) oneOut(t *testing.T) *spool.Message {
	s.e.stuck = true
	require.True(t, s.until(t, 1).OK)
	require.Eventually(t, func() bool {
		s.e.mu.Lock()
		defer s.e.mu.Unlock()
		return len(s.e.out) == 1
	}, 5*time.Second, time.Millisecond)
	return s.e.out[0]
}

// A message whose turn was lost before a leg began is set going again, and the next waits for it.
func TestALostTurnComesAgain(t *testing.T) {
	a := fleet(t)[0]
	m := a.oneOut(t)
	require.True(t, a.until(t, 2).OK)
	a.e.mu.Lock()
	a.e.stuck = false
	a.e.mu.Unlock()
	a.loses(t, m)
	require.Eventually(t, func() bool { return slices.Equal(a.e.seen(), []int64{1, 2}) }, 5*time.Second, time.Millisecond)
	require.Empty(t, a.e.given)
}

// Its one end is not lost where it was abandoned, or channels stopped, while it was with the engine; at a sender that ends it stays owed.
func TestALostTurnOfWhatIsGivenUp(t *testing.T) {
	for name, meanwhile := range map[string]func(a *sender){
		"abandoned": func(a *sender) { a.giveUp(channels.GivenUp{ID: "m1", Pos: 1, Advice: 7}) },
		"older":     func(a *sender) { a.Older(9) },
	} {
		a := fleet(t)[0]
		m := a.oneOut(t)
		meanwhile(a)
		a.loses(t, m)
		require.Equal(t, []int64{1}, a.e.given, name)
		require.Empty(t, a.e.owed, name)
		require.Empty(t, a.held, name)
	}
	a := fleet(t)[0]
	m := a.oneOut(t)
	a.stop()
	a.loses(t, m)
	require.Empty(t, a.e.given)
	require.Len(t, a.e.owed, 1, "the next process finds it")
}

// Guards against messages that are lost in silence at a restart: their rows were gone, by the end that a killed process had not told yet, or
// with the fleet's log.
func TestWhatHasNoRowIsGivenUp(t *testing.T) {
	a := fleet(t)[0]
	a.e.stuck = true
	for pos := int64(1); pos <= 3; pos++ {
		require.True(t, a.until(t, pos).OK)
	}
	a.stop()
	var owed []*spool.Message
	for _, m := range a.e.owed {
		owed = append(owed, m)
	}
	a.d.rows = map[string][]byte{}
	start(t, a, "a", 2, a.byName, owed)
	require.ElementsMatch(t, []int64{1, 2, 3}, a.e.given)
	require.Empty(t, a.e.owed)
}

// A restart keeps what was taken on and waits for the channel; what was never answered is not owed.
func TestRestart(t *testing.T) {
	all := fleet(t)
	a := all[0]
	a.e.stuck = true
	for pos := int64(1); pos <= 3; pos++ {
		require.True(t, a.until(t, pos).OK)
	}
	a.stop()
	never := a.message(4)
	require.NoError(t, a.e.Keep(never))
	var owed []*spool.Message
	for _, m := range a.e.owed {
		owed = append(owed, m)
	}
	a.e.stuck = false
	start(t, a, "a", 2, a.byName, owed)
	require.Eventually(t, func() bool { return slices.Equal(a.e.seen(), []int64{1, 2, 3}) }, 10*time.Second, time.Millisecond)
	a.e.mu.Lock()
	defer a.e.mu.Unlock()
	require.Empty(t, a.e.owed)
}
