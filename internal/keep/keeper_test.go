package keep

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"ravenlink/internal/kept"
	"ravenlink/internal/relay"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// fake is an engine that takes everything, or nothing.
type fake struct {
	now     int64
	full    bool
	refused func(*spool.Message) // its id is taken on already; nil: it is not
	taken   []string
	carried []string
}

func (f *fake) Lane(string) (int, bool) { return 0, true }
func (f *fake) Now() int64              { return f.now }
func (f *fake) Carry(m *spool.Message)  { f.carried = append(f.carried, m.ID) }
func (f *fake) Take(m *spool.Message, _ int) (routing.Way, int64) {
	if f.full {
		return routing.NoRoom, 0
	}
	if f.refused != nil {
		f.refused(m)
		return routing.Twice, 0
	}
	f.taken = append(f.taken, m.ID)
	return routing.Held, 0
}

var ill = map[int64]bool{}

func keeper(t *testing.T, s *Store, f *fake, rule kept.Rule, owed ...*spool.Message) *Keeper {
	t.Helper()
	rule.Fill()
	k, err := NewKeeper(zap.NewNop(), s, Table{Rules: []kept.Rule{rule}}, f, func(string) kept.Lane { return kept.Lane{Known: true, Retriable: true} },
		func(dst int64) bool { return !ill[dst] }, func() int { return 0 }, 10,
		func(id string, taken int64) bool {
			return slices.ContainsFunc(owed, func(m *spool.Message) bool { return m.ID == id && (taken == 0 || m.Taken == taken) })
		})
	require.NoError(t, err)
	return k
}

func ended(ids ...string) (us []relay.Undelivered) {
	for _, id := range ids {
		us = append(us, relay.Undelivered{Msg: &spool.Message{ID: id, Lane: "order", Dst: 7},
			Attempts: func() []relay.Attempt { return nil }})
	}
	return us
}

func TestALongListGoesOutAtItsRateAndToTheWellOnly(t *testing.T) {
	f := &fake{now: 1000 * second}
	s := open(t, t.TempDir(), 0, 0)
	k := keeper(t, s, f, kept.Rule{Act: kept.Send, Rate: 0.5})
	for i := range 20 {
		var ids []string
		for j := range 100 {
			ids = append(ids, fmt.Sprintf("m%04d", i*100+j))
		}
		k.Keep(ended(ids...))
	}
	ill[7] = true
	defer delete(ill, 7)
	require.NoError(t, k.Look(context.Background()))
	assert.Empty(t, f.taken)
	delete(ill, 7)
	for range 10 {
		f.now += second
		require.NoError(t, k.Look(context.Background()))
	}
	assert.Len(t, f.taken, 5, "half a second, for ten seconds")
	assert.Equal(t, f.taken, f.carried)
}

func TestWithoutRoomNothingWentOutAndItWaitsOn(t *testing.T) {
	f := &fake{now: 1000 * second, full: true}
	s := open(t, t.TempDir(), 0, 0)
	k := keeper(t, s, f, kept.Rule{Act: kept.Send, Rate: 100})
	k.Keep(ended("a"))
	require.NoError(t, k.Look(context.Background()))
	r, err := s.Get("a")
	require.NoError(t, err)
	assert.Equal(t, kept.Waiting, r.State)
	f.full = false
	f.now += 2 * second
	require.NoError(t, k.Look(context.Background()))
	assert.Equal(t, []string{"a-r1"}, f.carried)
	k.Delivered(&spool.Message{ID: "a-r1"})
	require.NoError(t, k.Look(context.Background()))
	r, err = s.Get("a")
	require.NoError(t, err)
	assert.Equal(t, kept.Done, r.State)
}

// Another client may bear the id under which a record is to be sent again. What becomes of its message is nothing of the record's.
func TestAForeignMessageUnderTheNextIDSettlesNoRecord(t *testing.T) {
	f := &fake{now: 1000 * second}
	s := open(t, t.TempDir(), 0, 0)
	k := keeper(t, s, f, kept.Rule{Act: kept.Send, Rate: 100})
	us := ended("a")
	us[0].Msg.Taken = 5
	k.Keep(us)
	foreign := &spool.Message{ID: "a-r1", Lane: "order", Dst: 7, Taken: 9}
	f.refused = func(*spool.Message) { // it ends while the own one is refused
		k.Delivered(foreign)
		k.Keep([]relay.Undelivered{{Msg: &spool.Message{ID: "a-r1", Lane: "order", Dst: 7, Taken: 10}, Attempts: func() []relay.Attempt { return nil }}})
	}
	require.NoError(t, k.Look(context.Background()))
	require.NoError(t, k.Look(context.Background()))
	r, err := s.Get("a")
	require.NoError(t, err)
	assert.Equal(t, kept.Waiting, r.State)
	f.refused = nil
	for range 2 { // the foreign one is kept as well, and goes again too
		f.now += 2 * second
		require.NoError(t, k.Look(context.Background()))
	}
	assert.Contains(t, f.carried, "a-r1")
	k.Delivered(foreign)
	require.NoError(t, k.Look(context.Background()))
	r, err = s.Get("a")
	require.NoError(t, err)
	assert.Equal(t, kept.Sent, r.State)
	k.Delivered(&spool.Message{ID: "a-r1", Taken: 5})
	require.NoError(t, k.Look(context.Background()))
	r, err = s.Get("a")
	require.NoError(t, err)
	assert.Equal(t, kept.Done, r.State)
}

func TestAnIntentionFromBeforeARestartCountsAsSent(t *testing.T) {
	for _, owed := range []bool{false, true} {
		f := &fake{now: 1000 * second}
		s := open(t, t.TempDir(), 0, 0)
		_, err := s.Keep([]*kept.Record{record("a", second)}, second)
		require.NoError(t, err)
		require.NoError(t, s.Change("a", func(r *kept.Record) error { r.SentAs = "a-r1"; return r.Turn(kept.Intended, second, "") }))
		var with []*spool.Message
		if owed {
			with = append(with, &spool.Message{ID: "a-r1"})
		}
		k := keeper(t, s, f, kept.Rule{Act: kept.Send, Rate: 100}, with...)
		require.NoError(t, k.Look(context.Background()))
		assert.Empty(t, f.taken)
		k.Keep(ended("a-r1")) // it ends undelivered
		r, err := s.Get("a")
		require.NoError(t, err)
		next, err := s.Get("a-r1")
		require.NoError(t, err)
		if owed {
			assert.Equal(t, kept.Followed, r.State)
			assert.Equal(t, 1, next.Generation)
			assert.Equal(t, "a", next.Before)
		} else {
			assert.Equal(t, kept.Sent, r.State)
		}
	}
}

// A leg's refusal may become known at any moment after its message's end: before the record is made, while it is written, before it is looked
// at, between the look and the hold, and after it. It never ran, so it goes out again, once.
func TestAProofAtAnyMomentAfterTheEndCounts(t *testing.T) {
	for name, moment := range map[string]int{"before": 0, "while it is written": 1, "kept": 2, "while it is held": 3, "held": 4} {
		t.Run(name, func(t *testing.T) {
			f := &fake{now: 1000 * second}
			s := open(t, t.TempDir(), 0, 0)
			k := keeper(t, s, f, kept.Rule{Act: kept.Send, Rate: 100})
			asked, proven := 0, moment == 0
			attempts := func() []relay.Attempt {
				asked++
				return []relay.Attempt{{SentAt: 900 * second, NeverRan: proven || moment == 1 && asked > 1}}
			}
			prove := func() {
				proven = true
				k.Proven("a", attempts())
			}
			looks := 0
			k.lanes = func(string) kept.Lane { // asked with each decision, and no repeat is allowed
				if looks++; moment == 3 && looks == 1 {
					prove()
				}
				return kept.Lane{Known: true}
			}
			us := ended("a")
			us[0].Attempts = attempts
			k.Keep(us)
			if moment == 2 {
				prove()
			}
			require.NoError(t, k.Look(context.Background()))
			if moment == 4 {
				require.Empty(t, f.carried)
				prove()
			}
			for range 3 {
				f.now += second
				require.NoError(t, k.Look(context.Background()))
			}
			assert.Equal(t, []string{"a-r1"}, f.carried)
			r, err := s.Get("a")
			require.NoError(t, err)
			assert.False(t, r.MayHaveRun())
		})
	}
}

// A crash may come between the proof's being on the spool's record and in the store: the end is told again and brings it. What a person held
// since stays held.
func TestAProofThatACrashCutOffIsTakenInWithTheEndToldAgain(t *testing.T) {
	f := &fake{now: 1000 * second}
	s := open(t, t.TempDir(), 0, 0)
	us := ended("a")
	us[0].Attempts = func() []relay.Attempt { return []relay.Attempt{{SentAt: 900 * second}} }
	keeper(t, s, f, kept.Rule{Act: kept.Send, Rate: 100}).Keep(us)
	require.NoError(t, s.Change("a", func(r *kept.Record) error { return r.Turn(kept.Held, f.now, "by a person") }))
	k := keeper(t, s, f, kept.Rule{Act: kept.Send, Rate: 100})
	us[0].Attempts = func() []relay.Attempt { return []relay.Attempt{{SentAt: 900 * second, NeverRan: true}} }
	k.Keep(us)
	require.NoError(t, k.Look(context.Background()))
	r, err := s.Get("a")
	require.NoError(t, err)
	assert.False(t, r.MayHaveRun())
	assert.Equal(t, kept.Held, r.State)
	assert.Empty(t, f.carried)
}

// An outcome is shown at the leg that it is of. Seen in a record of TestWhatFailedIsKeptSentAgainOnceAndItsStoryTold: the message had ended with
// its second leg out, and that leg was shown as "turned away" after 0.30 s, which was the first one's outcome; the first had none.
func TestAnOutcomeIsShownAtItsOwnLeg(t *testing.T) {
	f := &fake{now: 1000 * second}
	s := open(t, t.TempDir(), 0, 0)
	k := keeper(t, s, f, kept.Rule{Act: kept.Hold})
	us := ended("a")
	us[0].Attempts = func() []relay.Attempt {
		return []relay.Attempt{{SentAt: 900 * second, NeverRan: true, Took: 3, Receiver: "s-1", Result: "turned away"}, {SentAt: 901 * second}}
	}
	k.Keep(us)
	r, err := s.Get("a")
	require.NoError(t, err)
	assert.Equal(t, []kept.Leg{{At: 900 * second, NeverRan: true, Took: 3, Receiver: "s-1", Result: "turned away"}, {At: 901 * second}}, r.Legs)
}
