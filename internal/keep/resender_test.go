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

// fakeEngine is an engine that accepts every message, or none if full.
type fakeEngine struct {
	now       int64
	full      bool
	accepted  []string
	delivered []string
}

func (f *fakeEngine) Class(string) (int, bool) { return 0, true }
func (f *fakeEngine) Now() int64               { return f.now }
func (f *fakeEngine) Deliver(m *spool.Message) { f.delivered = append(f.delivered, m.ID) }
func (f *fakeEngine) Accept(m *spool.Message, _ int) (routing.Disposition, int64) {
	if f.full {
		return routing.AtCapacity, 0
	}
	f.accepted = append(f.accepted, m.ID)
	return routing.Held, 0
}

var unhealthy = map[int64]bool{}

func newResender(t *testing.T, s *Store, f *fakeEngine, rule kept.Rule, owed ...*spool.Message) *Resender {
	t.Helper()
	rule.SetDefaults()
	k, err := NewResender(zap.NewNop(), s, Table{Rules: []kept.Rule{rule}}, f, func(string) kept.Class { return kept.Class{Known: true, Retriable: true} },
		func(dst int64) bool { return !unhealthy[dst] }, func() int { return 0 }, 10,
		func(id string) bool {
			return slices.ContainsFunc(owed, func(m *spool.Message) bool { return m.ID == id })
		})
	require.NoError(t, err)
	return k
}

func undelivered(ids ...string) (us []relay.Undelivered) {
	for _, id := range ids {
		us = append(us, relay.Undelivered{Msg: &spool.Message{ID: id, Class: "order", Dst: 7},
			Attempts: func() []relay.Attempt { return nil }})
	}
	return us
}

func TestResendsFollowRateAndHealth(t *testing.T) {
	f := &fakeEngine{now: 1000 * second}
	s := openStore(t, t.TempDir(), 0, 0)
	k := newResender(t, s, f, kept.Rule{Action: kept.Resend, Rate: 0.5})
	for i := range 20 {
		var ids []string
		for j := range 100 {
			ids = append(ids, fmt.Sprintf("m%04d", i*100+j))
		}
		k.Add(undelivered(ids...))
	}
	unhealthy[7] = true
	defer delete(unhealthy, 7)
	require.NoError(t, k.ProcessDue(context.Background()))
	assert.Empty(t, f.accepted)
	delete(unhealthy, 7)
	for range 10 {
		f.now += second
		require.NoError(t, k.ProcessDue(context.Background()))
	}
	assert.Len(t, f.accepted, 5, "0.5 a second for ten seconds")
	assert.Equal(t, f.accepted, f.delivered)
}

func TestRefusedResendStaysWaiting(t *testing.T) {
	f := &fakeEngine{now: 1000 * second, full: true}
	s := openStore(t, t.TempDir(), 0, 0)
	k := newResender(t, s, f, kept.Rule{Action: kept.Resend, Rate: 100})
	k.Add(undelivered("a"))
	require.NoError(t, k.ProcessDue(context.Background()))
	r, err := s.Get("a")
	require.NoError(t, err)
	assert.Equal(t, kept.Waiting, r.State)
	f.full = false
	f.now += 2 * second
	require.NoError(t, k.ProcessDue(context.Background()))
	assert.Equal(t, []string{"a-r1"}, f.delivered)
	k.OnDelivered("a-r1")
	require.NoError(t, k.ProcessDue(context.Background()))
	r, err = s.Get("a")
	require.NoError(t, err)
	assert.Equal(t, kept.Delivered, r.State)
}

func TestInterruptedResendCountsAsSent(t *testing.T) {
	for _, owed := range []bool{false, true} {
		f := &fakeEngine{now: 1000 * second}
		s := openStore(t, t.TempDir(), 0, 0)
		_, err := s.Add([]*kept.Record{record("a", second)}, second)
		require.NoError(t, err)
		require.NoError(t, s.Update("a", func(r *kept.Record) error { r.ResentAs = "a-r1"; return r.Transition(kept.Resending, second, "") }))
		var with []*spool.Message
		if owed {
			with = append(with, &spool.Message{ID: "a-r1"})
		}
		k := newResender(t, s, f, kept.Rule{Action: kept.Resend, Rate: 100}, with...)
		require.NoError(t, k.ProcessDue(context.Background()))
		assert.Empty(t, f.accepted)
		k.Add(undelivered("a-r1")) // the resent message ends undelivered
		r, err := s.Get("a")
		require.NoError(t, err)
		next, err := s.Get("a-r1")
		require.NoError(t, err)
		if owed {
			assert.Equal(t, kept.FailedAgain, r.State)
			assert.Equal(t, 1, next.Generation)
			assert.Equal(t, "a", next.ResentFrom)
		} else {
			assert.Equal(t, kept.Resent, r.State)
		}
	}
}

// The refusal of a leg may become known at any time after the end of its message: before the record is made, while it is written, before it
// is processed, between the decision and the hold, and after the hold. The message never ran, so it is resent, once.
func TestLateProofIsAppliedAtAnyMoment(t *testing.T) {
	for name, moment := range map[string]int{"before": 0, "while it is written": 1, "stored": 2, "while it is held": 3, "held": 4} {
		t.Run(name, func(t *testing.T) {
			f := &fakeEngine{now: 1000 * second}
			s := openStore(t, t.TempDir(), 0, 0)
			k := newResender(t, s, f, kept.Rule{Action: kept.Resend, Rate: 100})
			calls, proven := 0, moment == 0
			attempts := func() []relay.Attempt {
				calls++
				return []relay.Attempt{{SentAt: 900 * second, NeverRan: proven || moment == 1 && calls > 1}}
			}
			prove := func() {
				proven = true
				k.OnNeverRan("a", attempts())
			}
			decisions := 0
			k.classes = func(string) kept.Class { // called for each decision; repeats are not allowed
				if decisions++; moment == 3 && decisions == 1 {
					prove()
				}
				return kept.Class{Known: true}
			}
			us := undelivered("a")
			us[0].Attempts = attempts
			k.Add(us)
			if moment == 2 {
				prove()
			}
			require.NoError(t, k.ProcessDue(context.Background()))
			if moment == 4 {
				require.Empty(t, f.delivered)
				prove()
			}
			for range 3 {
				f.now += second
				require.NoError(t, k.ProcessDue(context.Background()))
			}
			assert.Equal(t, []string{"a-r1"}, f.delivered)
			r, err := s.Get("a")
			require.NoError(t, err)
			assert.False(t, r.MayHaveRun())
		})
	}
}

// A crash may come after the proof is on the spool's record and before it is in the store. The end is then reported again and brings the
// proof. A record that an operator held meanwhile stays held.
func TestProofLostInCrashIsAppliedWithRepeatedEnd(t *testing.T) {
	f := &fakeEngine{now: 1000 * second}
	s := openStore(t, t.TempDir(), 0, 0)
	us := undelivered("a")
	us[0].Attempts = func() []relay.Attempt { return []relay.Attempt{{SentAt: 900 * second}} }
	newResender(t, s, f, kept.Rule{Action: kept.Resend, Rate: 100}).Add(us)
	require.NoError(t, s.Update("a", func(r *kept.Record) error { return r.Transition(kept.Held, f.now, "by a person") }))
	k := newResender(t, s, f, kept.Rule{Action: kept.Resend, Rate: 100})
	us[0].Attempts = func() []relay.Attempt { return []relay.Attempt{{SentAt: 900 * second, NeverRan: true}} }
	k.Add(us)
	require.NoError(t, k.ProcessDue(context.Background()))
	r, err := s.Get("a")
	require.NoError(t, err)
	assert.False(t, r.MayHaveRun())
	assert.Equal(t, kept.Held, r.State)
	assert.Empty(t, f.delivered)
}

// Guards against an outcome recorded on the wrong leg: in a record of TestFailedMessageIsStoredAndResentOnce, whose message ended
// with its second leg out, that leg was shown as "turned away" after 0.30 s. That was the outcome of the first leg, which showed none.
func TestOutcomeIsRecordedOnItsOwnLeg(t *testing.T) {
	f := &fakeEngine{now: 1000 * second}
	s := openStore(t, t.TempDir(), 0, 0)
	k := newResender(t, s, f, kept.Rule{Action: kept.Hold})
	us := undelivered("a")
	us[0].Attempts = func() []relay.Attempt {
		return []relay.Attempt{{SentAt: 900 * second, NeverRan: true, Elapsed: 3, Receiver: "s-1", Result: "turned away"}, {SentAt: 901 * second}}
	}
	k.Add(us)
	r, err := s.Get("a")
	require.NoError(t, err)
	assert.Equal(t, []kept.Leg{{At: 900 * second, NeverRan: true, Elapsed: 3, Receiver: "s-1", Result: "turned away"}, {At: 901 * second}}, r.Legs)
}
