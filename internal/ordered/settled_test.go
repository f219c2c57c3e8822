package ordered

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/relay"
	"ravenlink/internal/spool"
)

// ending is the undelivered end of position 1, in steps that a process may be killed between. Position 2 waits behind it, and may not pass it.
type ending struct {
	a *sender
	m *spool.Message
}

var endingSteps = map[string]func(e ending){
	"recorded": func(e ending) { // the spool says how it ended
		e.a.e.mu.Lock()
		defer e.a.e.mu.Unlock()
		e.m.Ended = true
	},
	"heard": func(e ending) { e.a.Ended(e.m, false, true) },
	"told": func(e ending) { // the platform has its notice
		e.a.e.mu.Lock()
		e.m.Told = true
		e.a.e.mu.Unlock()
		e.a.Settled(e.m, func() { e.a.e.Over(e.m) })
	},
}

// left is what a process leaves in its folder at one moment.
func (e ending) left() (rows map[string][]byte, owed []*spool.Message) {
	e.a.d.mu.Lock()
	defer e.a.d.mu.Unlock()
	e.a.e.mu.Lock()
	defer e.a.e.mu.Unlock()
	for _, m := range e.a.e.owed {
		c := *m
		owed = append(owed, &c)
	}
	return maps.Clone(e.a.d.rows), owed
}

// goesOn starts the sender on what is left, and has its client hand in again what was not delivered: position 1 comes first whatever the cut.
func (e ending) goesOn(t *testing.T, rows map[string][]byte, owed []*spool.Message) {
	e.a.stop()
	e.a.d.refuse(false)
	e.a.d.rows = rows
	e.a.e.mu.Lock()
	e.a.e.stuck, e.a.e.out, e.a.e.owed, e.a.e.given = false, nil, map[string]*spool.Message{}, nil
	for _, m := range owed {
		e.a.e.owed[m.ID] = m
	}
	e.a.e.mu.Unlock()
	start(t, e.a, "a", 2, e.a.byName, owed)
	for _, m := range owed {
		if m.Ended { // its notice is told again, or was had
			e.a.Settled(m, func() { e.a.e.Over(m) })
		}
	}
	free := func() bool {
		e.a.e.mu.Lock()
		defer e.a.e.mu.Unlock()
		return len(e.a.e.owed) == 0
	}
	require.Eventually(t, free, eventually, time.Millisecond, "what had ended is let go")
	if len(e.a.e.seen()) == 0 { // else position 1 was owed still, and is delivered
		e.handsInAgain(t, 1)
		e.handsInAgain(t, 2)
	}
	require.Eventually(t, func() bool { return len(e.a.e.seen()) == 2 }, eventually, time.Millisecond)
	require.Equal(t, []int64{1, 2}, e.a.e.seen())
}

// handsInAgain has a position taken on: one that counts as delivered is answered +OK, and nothing follows.
func (e ending) handsInAgain(t *testing.T, pos int64) {
	t.Helper()
	var w relay.Word
	require.Eventually(t, func() bool {
		w = e.a.HandIn(e.a.message(pos), 0)
		return w.OK
	}, eventually, time.Millisecond)
	require.NotNil(t, w.Then, "position %d counts as delivered", pos)
	w.Then()
}

// A position that failed is not passed, whenever its sender is killed or told to end, and also where its rows could not be written meanwhile.
// Before, the row of a message that was over in the spool stood for a delivery.
func TestAFailedPositionIsNotPassedAfterAnyCut(t *testing.T) {
	for _, order := range [][]string{{"recorded", "heard", "told"}, {"recorded", "told", "heard"}} {
		for cut := range len(order) + 1 {
			for how, before := range map[string]func(e ending, step int){
				"killed": func(ending, int) {},
				"refused": func(e ending, step int) {
					if step == 0 {
						e.a.d.refuse(true)
					}
				},
				"ended 0": func(e ending, step int) { e.endsAt(step, 0) },
				"ended 1": func(e ending, step int) { e.endsAt(step, 1) },
				"ended 2": func(e ending, step int) { e.endsAt(step, 2) },
			} {
				for _, moment := range []time.Duration{0, 300 * time.Microsecond, 20 * time.Millisecond} {
					t.Run(fmt.Sprint(order, cut, how, moment), func(t *testing.T) {
						t.Parallel()
						a := fleetThat(t, false)[0]
						e := ending{a, a.oneOut(t)}
						a.takeOn(t, a.message(2))
						for step, name := range order[:cut] {
							before(e, step)
							endingSteps[name](e)
						}
						time.Sleep(moment)
						rows, owed := e.left()
						e.goesOn(t, rows, owed)
					})
				}
			}
		}
	}
}

// endsAt has channels stop before a step, as a process does that is told to end: what legs are out end after that.
func (e ending) endsAt(step, at int) {
	if step == at {
		e.a.stop()
	}
}

// What a message's end waits for comes, once, also where the message is told before its leg is over, or its row cannot be written for a while.
func TestAnEndIsLetGoOnceItIsOnDisk(t *testing.T) {
	a := fleetThat(t, false)[0]
	m := a.oneOut(t)
	over := make(chan struct{}, 2)
	a.d.refuse(true)
	a.Settled(m, func() { over <- struct{}{} })
	time.Sleep(5 * time.Millisecond)
	require.Empty(t, over, "its leg is out")
	a.Ended(m, false, true)
	time.Sleep(2 * writeAgain)
	require.Empty(t, over, "its row is there")
	a.d.refuse(false)
	select {
	case <-over:
	case <-time.After(eventually):
		require.Fail(t, "it is never let go")
	}
	require.False(t, slices.ContainsFunc(slices.Collect(maps.Keys(a.d.kept())), func(k string) bool { return k[:2] == "e/" }))
	time.Sleep(5 * time.Millisecond)
	require.Empty(t, over, "once")
	known := a.message(7) // of an earlier process, and not in any row
	a.Settled(known, func() { over <- struct{}{} })
	select {
	case <-over:
	case <-time.After(eventually):
		require.Fail(t, "it is never let go")
	}
}

func (d *disk) kept() map[string][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.rows)
}
