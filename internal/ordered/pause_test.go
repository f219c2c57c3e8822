package ordered

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/channels"
	"ravenlink/internal/spool"
)

const eventually = 10 * time.Second // a limit that no good run reaches

func (d *disk) refuse(is bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = is
}

func (e *engine) ended(pos int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.given {
		if p == pos {
			return true
		}
	}
	return false
}

// brief is a message that soon runs out of time.
func (s *sender) brief(pos int64, within time.Duration) *spool.Message {
	m := s.message(pos)
	m.Expires = s.e.Now() + within.Microseconds()
	return m
}

func (s *sender) takeOn(t *testing.T, m *spool.Message) {
	t.Helper()
	require.Eventually(t, func() bool {
		w := s.HandIn(m, 0)
		if w.OK {
			w.Then()
		}
		return w.OK
	}, eventually, time.Millisecond)
}

// Guards against messages without an end, and channels that stand still until a restart: a store that refused one write ended the part of
// this sender in all channels for good.
func TestARefusedWriteEndsNoChannel(t *testing.T) {
	a := fleet(t)[0]
	a.oneOut(t)                                   // 1 is with the engine
	a.takeOn(t, a.brief(2, 400*time.Millisecond)) // waits for it
	a.takeOn(t, a.brief(3, 10*time.Second))       // and this
	a.d.refuse(true)
	refused := a.HandIn(a.message(4), 0)
	require.False(t, refused.OK)
	require.Empty(t, refused.Cause) // its client comes back
	require.Positive(t, refused.Wait)
	require.ErrorIs(t, a.Declare(channels.Contract{Channel: "y", Tenant: "t", Dst: 1, Mode: channels.Whole, Gap: channels.Wait, Wait: 1, Window: 1,
		MostHold: 1, Version: 1, From: 1}), ErrPaused)
	require.Eventually(t, func() bool { return a.e.ended(2) }, eventually, time.Millisecond, "its time is up while nothing can be written")
	require.False(t, a.e.ended(3))
	a.e.mu.Lock()
	require.NotContains(t, a.e.owed, "m4", "what was not taken on is not owed")
	first := a.e.out[0]
	a.e.stuck, a.e.delivered = false, append(a.e.delivered, 1)
	a.e.mu.Unlock()
	a.Ended(first, true, false)
	require.Equal(t, []int64{1}, a.e.seen(), "no leg begins that is not on record")
	a.d.refuse(false)
	a.takeOn(t, a.message(4))
	require.Eventually(t, func() bool { return len(a.e.seen()) == 3 }, eventually, time.Millisecond)
	require.Equal(t, []int64{1, 3, 4}, a.e.seen())
}

// What a batch took on, released or gave up in which the write was refused: it is not taken on, waits for its turn again, or ends.
func TestEffectsOfARefusedWrite(t *testing.T) {
	a := fleet(t)[0]
	m := a.oneOut(t)
	a.takeOn(t, a.brief(2, 5*time.Second))
	a.d.refuse(true)
	a.e.mu.Lock()
	a.e.stuck, a.e.delivered = false, append(a.e.delivered, 1)
	a.e.mu.Unlock()
	a.Ended(m, true, false) // its row goes and 2 is released, in one refused step
	require.Eventually(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.paused
	}, eventually, time.Millisecond)
	require.Equal(t, []int64{1}, a.e.seen())
	require.Eventually(t, func() bool { return a.e.ended(2) }, eventually, time.Millisecond, "released and not begun it ends at its time too")
	a.d.refuse(false)
	a.takeOn(t, a.message(3))
	require.Eventually(t, func() bool { return len(a.e.seen()) == 2 }, eventually, time.Millisecond)
	require.Empty(t, a.held)
}

// Guards against a channel that stands still: the deadline of a message ended it while it was taken on, and the channel waited for its end.
func TestAMessageThatEndsAsItIsTakenOnStopsNoChannel(t *testing.T) {
	a := fleet(t)[0]
	require.True(t, a.until(t, 1).OK)
	a.e.mu.Lock()
	a.e.kept = func(m *spool.Message) {
		a.e.GiveUp(m, 0)
		a.Ended(m, false, false)
	}
	a.e.mu.Unlock()
	w := a.HandIn(a.message(2), 0)
	require.False(t, w.OK)
	require.Empty(t, w.Cause, "its client comes back")
	a.e.mu.Lock()
	a.e.kept = nil
	a.e.mu.Unlock()
	for pos := int64(2); pos <= 3; pos++ {
		require.True(t, a.until(t, pos).OK)
	}
	require.Eventually(t, func() bool { return len(a.e.seen()) == 3 }, eventually, time.Millisecond)
	require.Equal(t, []int64{1, 2, 3}, a.e.seen())
}

// torn is a store that cannot be read for a while.
type torn struct {
	*disk
	bad bool
}

func (d *torn) Rows() ([]channels.Row, error) {
	d.mu.Lock()
	bad := d.bad
	d.mu.Unlock()
	if bad {
		return nil, errors.New("cannot be read")
	}
	return d.disk.Rows()
}

// startUnread has a sender begin anew whose rows cannot be read, with messages 1 to 3 owed, the first of which is soon out of time.
func startUnread(t *testing.T, a *sender) *torn {
	t.Helper()
	a.e.stuck = true
	for pos := int64(1); pos <= 3; pos++ {
		require.True(t, a.until(t, pos).OK)
	}
	a.stop()
	a.e.stuck, a.e.out = false, nil
	a.e.owed["m1"].Expires = a.e.Now() + 300_000
	owed := []*spool.Message{a.e.owed["m1"], a.e.owed["m2"], a.e.owed["m3"]}
	store := &torn{disk: a.d, bad: true}
	table := channels.New("a", 0, []string{"a", "b", "c"}, timing, channels.Room{Channels: 100, Held: 100})
	a.Host = New(a.log, a.e, store, table, a.send, 0)
	a.Begin(2)
	a.e.turns = a.Host
	others, err := a.Restore(owed)
	require.Error(t, err)
	require.Empty(t, others)
	a.byName.Store("a", a.Host)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { a.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return store
}

func (d *torn) mend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bad = false
}

// What is owed at a start that cannot read its rows ends at its time, and no other time; what is left then goes on in order once they can be read.
func TestAStoreThatCannotBeReadEndsNoChannel(t *testing.T) {
	a := fleet(t)[0]
	store := startUnread(t, a)
	require.Eventually(t, func() bool { return a.e.ended(1) }, eventually, time.Millisecond, "its time is up while nothing can be read")
	require.False(t, a.e.ended(2) || a.e.ended(3))
	require.Empty(t, a.e.seen(), "no leg begins without a lease")
	refused := a.HandIn(a.message(4), 0)
	require.False(t, refused.OK)
	require.Empty(t, refused.Cause, "its client comes back")
	store.mend()
	require.Eventually(t, func() bool { return len(a.e.seen()) == 2 }, eventually, time.Millisecond)
	a.takeOn(t, a.message(4))
	require.Eventually(t, func() bool { return len(a.e.seen()) == 3 }, eventually, time.Millisecond)
	require.Equal(t, []int64{2, 3, 4}, a.e.seen())
}

// The row of a message that ended while rows could not be read stands for no delivery: where nothing may pass what failed, its position is owed
// again, and what waited behind it is pushed back.
func TestWhatEndedBeforeItsRowWasReadIsNotPassed(t *testing.T) {
	a := fleetThat(t, false)[0]
	store := startUnread(t, a)
	require.Eventually(t, func() bool { return a.e.ended(1) }, eventually, time.Millisecond)
	store.mend()
	require.Eventually(t, func() bool { return a.e.ended(2) && a.e.ended(3) }, eventually, time.Millisecond)
	for pos := int64(1); pos <= 3; pos++ {
		a.takeOn(t, a.message(pos))
	}
	require.Eventually(t, func() bool { return len(a.e.seen()) == 3 }, eventually, time.Millisecond)
	require.Equal(t, []int64{1, 2, 3}, a.e.seen())
}

// A sender whose folder is an older copy ends what it holds, and its channels serve without a restart.
func TestAnOlderFolderEndsNoChannel(t *testing.T) {
	all := fleet(t)
	a := all[0]
	m := a.oneOut(t)
	a.takeOn(t, a.message(2))
	a.Older(9)
	a.Older(9)
	require.Equal(t, []int64{2}, a.e.given, "once, and 1 once it is back")
	a.loses(t, m)
	require.Equal(t, []int64{2, 1}, a.e.given)
	a.e.mu.Lock()
	a.e.stuck = false
	a.e.mu.Unlock()
	next := channels.Contract{Channel: "x", Tenant: "t", Dst: 1, Mode: channels.Whole, Gap: channels.Wait, Wait: 1_000_000, Window: 16, PassFailed: true,
		MostHold: 5_000_000, Version: 2, From: 200} // what it had taken on nobody knows: under this rule its operator says where to go on
	require.NoError(t, all[1].Declare(next))
	a.takeOn(t, a.message(next.From))
	require.Eventually(t, func() bool { return len(a.e.seen()) == 1 }, eventually, time.Millisecond)
}
