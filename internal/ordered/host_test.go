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

// disk is an in-memory store that can fail and that survives a restart.
type disk struct {
	mu      sync.Mutex
	rows    map[string][]byte
	failing bool
}

func (d *disk) Write(rows []channels.Row) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing {
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

// engine delivers a message at once if it may start; while blocked is set, messages stay out.
type engine struct {
	mu         sync.Mutex
	clock      relay.Clock
	sequencer  relay.Sequencer
	blocked    bool
	out        []*spool.Message
	unfinished map[string]*spool.Message
	delivered  []int64
	aborted    []int64
	abandoned  int
}

func (e *engine) Now() int64           { return e.clock.Now() }
func (e *engine) IsActive(string) bool { return false }

func (e *engine) Store(m *spool.Message) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unfinished[m.ID] = m
	return nil
}

func (e *engine) Complete(m *spool.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.unfinished, m.ID)
}

func (e *engine) Resume(m *spool.Message) {
	if !e.sequencer.MayBegin(m) {
		e.sequencer.Postponed(m, false)
		return
	}
	e.mu.Lock()
	if e.blocked {
		e.out = append(e.out, m)
		e.mu.Unlock()
		return
	}
	e.delivered = append(e.delivered, m.Pos)
	delete(e.unfinished, m.ID)
	e.mu.Unlock()
	e.sequencer.Ended(m, true, false)
}

func (e *engine) AbandonStored(m *spool.Message, _ int64) {
	e.Complete(m)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.aborted = append(e.aborted, m.Pos)
}

func (e *engine) Abandon(string, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandoned++
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

	byName *sync.Map // of hosts
}

var testTiming = channels.Timing{Lease: 900_000, Drift: 1000, ReplyTimeout: 20_000, Leg: 50_000, Live: 30_000, Drain: 30_000, Idle: 60_000_000,
	Forget: 60_000_000}

// fleet starts three senders. Peer messages always arrive.
func fleet(t *testing.T) (all []*sender) {
	byName := &sync.Map{}
	for _, name := range []string{"a", "b", "c"} {
		s := &sender{e: &engine{clock: relay.NewClock(), unfinished: map[string]*spool.Message{}}, d: &disk{rows: map[string][]byte{}}}
		start(t, s, name, 1, byName, nil)
		all = append(all, s)
	}
	k := channels.Contract{Channel: "x", Tenant: "t", Dst: 1, Mode: channels.Whole, Gap: channels.Wait, Wait: 1_000_000, Window: 16, PassFailed: true,
		MaxHold: 5_000_000, Version: 1, From: 1}
	require.NoError(t, all[0].Declare(k))
	return all
}

func start(t *testing.T, s *sender, name string, incarnation uint64, byName *sync.Map, unfinished []*spool.Message) {
	send := func(m post.PeerMessage[channels.Msg]) {
		go func() {
			if to, found := byName.Load(m.To); found {
				to.(*Host).Receive(name, m.Msg)
			}
		}()
	}
	table := channels.New(name, incarnation, []string{"a", "b", "c"}, testTiming, channels.Limits{Channels: 100, Held: 100})
	s.Host = New(zap.NewNop(), s.e, s.d, table, send, 0)
	s.e.sequencer = s.Host
	_, err := s.Restore(unfinished)
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

// handInUntilDecided hands in until the answer is final, waiting as told in between.
func (s *sender) handInUntilDecided(t *testing.T, pos int64) relay.HandInResult {
	for range 1000 {
		w := s.HandIn(s.message(pos), 0)
		if w.OK || w.Cause != "" {
			if w.OnAnswered != nil {
				w.OnAnswered()
			}
			return w
		}
		time.Sleep(time.Duration(min(w.RetryAfter, 20_000)) * time.Microsecond)
	}
	t.Fatal("still busy after 1000 hand-ins")
	return relay.HandInResult{}
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
			a.ConnectionClosed("x")
		}
		require.True(t, s.handInUntilDecided(t, pos).OK)
	}
	require.Eventually(t, func() bool { return len(a.e.seen()) == 10 && len(b.e.seen()) == 10 }, 5*time.Second, time.Millisecond)
	require.Equal(t, []int64{11, 12, 13, 14, 15, 16, 17, 18, 19, 20}, b.e.seen())
	w := b.handInUntilDecided(t, 15)
	require.True(t, w.OK, "a duplicate position")
	require.Nil(t, w.OnAnswered)
	require.Len(t, b.e.seen(), 10)
}

// No leg may start before the client has its answer, and +OK must not be sent before the message is on disk.
func TestAnswerAfterDiskWrite(t *testing.T) {
	a := fleet(t)[0]
	require.True(t, a.handInUntilDecided(t, 1).OK)
	require.Eventually(t, func() bool { return len(a.e.seen()) == 1 }, 5*time.Second, time.Millisecond)
	w := a.HandIn(a.message(2), 0)
	require.True(t, w.OK)
	require.Eventually(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.pending["m2"].ready
	}, 5*time.Second, time.Millisecond)
	require.Len(t, a.e.seen(), 1)
	w.OnAnswered()
	require.Equal(t, []int64{1, 2}, a.e.seen())
	a.d.mu.Lock()
	a.d.failing = true
	a.d.mu.Unlock()
	require.False(t, a.HandIn(a.message(3), 0).OK)
	require.False(t, a.HandIn(a.message(3), 0).OK)
	require.Empty(t, a.e.unfinished)
}

// postpone removes a message from the engine before a leg began and reports it as postponed.
func (s *sender) postpone(t *testing.T, m *spool.Message) {
	s.e.mu.Lock()
	require.Contains(t, s.e.out, m)
	s.e.out = slices.DeleteFunc(s.e.out, func(o *spool.Message) bool { return o == m })
	s.e.mu.Unlock()
	s.Postponed(m, false)
}

// handInOne hands in one message and waits until the engine has it.
func (s *sender) handInOne(t *testing.T) *spool.Message {
	s.e.blocked = true
	require.True(t, s.handInUntilDecided(t, 1).OK)
	require.Eventually(t, func() bool {
		s.e.mu.Lock()
		defer s.e.mu.Unlock()
		return len(s.e.out) == 1
	}, 5*time.Second, time.Millisecond)
	return s.e.out[0]
}

// A message that was postponed before a leg began is sent again, and the next one waits for it.
func TestPostponedMessageIsSentAgain(t *testing.T) {
	a := fleet(t)[0]
	m := a.handInOne(t)
	require.True(t, a.handInUntilDecided(t, 2).OK)
	a.e.mu.Lock()
	a.e.blocked = false
	a.e.mu.Unlock()
	a.postpone(t, m)
	require.Eventually(t, func() bool { return slices.Equal(a.e.seen(), []int64{1, 2}) }, 5*time.Second, time.Millisecond)
	require.Empty(t, a.e.aborted)
}

// A message is postponed after it was abandoned, or after channels were disabled, while it was with the engine: it must still end once.
// If the sender has stopped, the message is left to the next process.
func TestPostponedMessageThatWasAborted(t *testing.T) {
	for name, meanwhile := range map[string]func(a *sender){
		"abandoned": func(a *sender) { a.abort(channels.Abort{ID: "m1", Pos: 1, RetryAfter: 7}) },
		"disabled":  func(a *sender) { a.MarkStale() },
	} {
		a := fleet(t)[0]
		m := a.handInOne(t)
		meanwhile(a)
		a.postpone(t, m)
		require.Equal(t, []int64{1}, a.e.aborted, name)
		require.Empty(t, a.e.unfinished, name)
		require.Empty(t, a.pending, name)
	}
	a := fleet(t)[0]
	m := a.handInOne(t)
	a.stop()
	a.postpone(t, m)
	require.Empty(t, a.e.aborted)
	require.Len(t, a.e.unfinished, 1, "left to the next process")
}

// A restart keeps accepted messages until the channel is owned again, and drops messages whose hand-in was never answered.
func TestRestart(t *testing.T) {
	all := fleet(t)
	a := all[0]
	a.e.blocked = true
	for pos := int64(1); pos <= 3; pos++ {
		require.True(t, a.handInUntilDecided(t, pos).OK)
	}
	a.stop()
	unanswered := a.message(4)
	require.NoError(t, a.e.Store(unanswered))
	var unfinished []*spool.Message
	for _, m := range a.e.unfinished {
		unfinished = append(unfinished, m)
	}
	a.e.blocked = false
	start(t, a, "a", 2, a.byName, unfinished)
	require.Eventually(t, func() bool { return slices.Equal(a.e.seen(), []int64{1, 2, 3}) }, 10*time.Second, time.Millisecond)
	a.e.mu.Lock()
	defer a.e.mu.Unlock()
	require.Empty(t, a.e.unfinished)
}
