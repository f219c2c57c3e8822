package kept

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenlink/internal/strict"
)

const second = int64(1_000_000)

var (
	keyedClass     = Class{Known: true, Keyed: true, Window: 60 * second}
	onceClass      = Class{Known: true}
	retriableClass = Class{Known: true, Retriable: true}
	resendRule     = Rule{Action: Resend, Rate: 1, MaxResends: 3, Deadline: 28e6}
)

func record(legs ...Leg) *Record {
	return New("a", "order", 7, "k", "", nil, 100*second, false, 0, legs, nil)
}

func TestDecideHoldsMessagesThatMustNotRepeat(t *testing.T) {
	ran, never := Leg{At: 90 * second}, Leg{At: 90 * second, NeverRan: true}
	for _, c := range []struct {
		legs  []Leg
		class Class
		now   int64
		act   Action
	}{
		{[]Leg{never}, onceClass, 101, Resend},
		{nil, onceClass, 101, Resend},
		{[]Leg{never, ran}, onceClass, 101, Hold},
		{[]Leg{ran}, retriableClass, 9999, Resend},
		{[]Leg{ran}, keyedClass, 148, Resend},
		{[]Leg{ran}, keyedClass, 150, Hold},
		{[]Leg{never}, keyedClass, 9999, Resend},
		{nil, Class{}, 101, Hold},
	} {
		v := Decide(record(c.legs...), []Rule{resendRule}, c.class, c.now*second)
		assert.Equal(t, c.act, v.Action, "%+v", c)
	}
	approved := record(ran)
	approved.ResendApproved = true
	assert.Equal(t, Resend, Decide(approved, []Rule{resendRule}, onceClass, 9999*second).Action, "approved by an operator")
	next := New("a-r1", "order", 7, "", "", nil, 9999*second, false, 0, nil, approved)
	assert.Equal(t, Hold, Decide(next, []Rule{resendRule}, onceClass, 9999*second).Action, "an approval covers one resend")
	unkeyed := record(ran)
	unkeyed.Key = ""
	assert.Equal(t, Hold, Decide(unkeyed, []Rule{resendRule}, keyedClass, 101*second).Action)
}

func TestKeyWindowStartsAtFirstGeneration(t *testing.T) {
	first := record(Leg{At: 90 * second})
	resent := New("a-r1", "order", 7, "k", "", nil, 120*second, false, 0, []Leg{{At: 110 * second, NeverRan: true}}, first)
	assert.True(t, resent.MayHaveRun())
	assert.EqualValues(t, 90*second, resent.FirstRunAt)
	assert.Equal(t, "a-r2", resent.NextID())
	assert.Equal(t, Hold, Decide(resent, []Rule{resendRule}, keyedClass, 149_500*second/1000).Action, "the key window starts at the first leg of the first generation")
}

func TestResendsAreLimited(t *testing.T) {
	k := record()
	for g := range 10 {
		v := Decide(k, []Rule{resendRule}, retriableClass, 1000*second)
		if g >= resendRule.MaxResends {
			assert.Equal(t, Hold, v.Action)
			continue
		}
		require.Equal(t, Resend, v.Action)
		k = New(k.NextID(), "order", 7, "", "", nil, 100*second, true, 0, nil, k)
	}
}

func TestFirstMatchingRuleApplies(t *testing.T) {
	rules := []Rule{{Action: Drop, Outcome: "pushed_back", Delay: 5e6}, {Action: Hold, Destinations: []int64{8}}, {Action: Resend, Delay: 10e6, Hours: "06:00-18:00", Rate: 1, MaxResends: 1}}
	k := record()
	v := Decide(k, rules, retriableClass, 101*second) // 00:01:41 of the first day
	assert.Equal(t, Resend, v.Action)
	assert.Equal(t, int64(6*3600)*second, v.NotBefore)
	k.Rejected = true
	v = Decide(k, rules, retriableClass, 101*second)
	assert.Equal(t, Decision{Action: Drop, NotBefore: 105 * second, Reason: "rule 1"}, v)
	assert.Equal(t, "no rule fits", Decide(k, nil, retriableClass, 101*second).Reason)
}

func TestHoursSpanMidnight(t *testing.T) {
	at := func(h, m int) int64 { return time.Date(2026, 6, 1, h, m, 0, 0, time.UTC).UnixMicro() }
	assert.Equal(t, at(23, 30), nextOpening("22:00-04:00", at(23, 30)))
	assert.Equal(t, at(3, 59), nextOpening("22:00-04:00", at(3, 59)))
	assert.Equal(t, at(22, 0), nextOpening("22:00-04:00", at(4, 0)))
	assert.Equal(t, at(6, 0)+86400*second, nextOpening("06:00-18:00", at(18, 0)))
	for _, bad := range []string{"6-18", "25:00-26:00", "06:00-18:0", "06:61-07:00"} {
		_, _, err := parseHours(bad)
		assert.Error(t, err, bad)
	}
}

func TestRateLimiterAfterClockSetBack(t *testing.T) {
	var p RateLimiter
	assert.True(t, p.Allow(7, 2, 3600*second))
	assert.False(t, p.Allow(7, 2, 3600*second+second/4))
	assert.True(t, p.Allow(8, 2, 3600*second))
	assert.False(t, p.Allow(7, 2, 0), "set back by an hour: the next slot is half a second away")
	p.Prune(3601 * second)
	assert.Empty(t, p.nextAllowed)
}

// Whatever transitions are tried, in whatever order, a record is resent at most once.
func TestRecordIsResentAtMostOnce(t *testing.T) {
	all := []State{Waiting, Held, Resending, Resent, Delivered, FailedAgain, Dropped}
	rapid.Check(t, func(t *rapid.T) {
		k, sent := record(), 0
		for range 40 {
			to := rapid.SampledFrom(all).Draw(t, "to")
			was := k.State
			if k.Transition(to, 1, "drawn") != nil {
				assert.Equal(t, was, k.State)
				continue
			}
			if to == Resent {
				sent++
			}
		}
		assert.LessOrEqual(t, sent, 1)
		assert.LessOrEqual(t, len(k.History), maxHistory+1)
	})
}

func TestRuleDefaultsAndValidation(t *testing.T) {
	var faults []string
	Rule{Action: "resend", Outcome: "lost", Hours: "noon", Rate: -1}.Validate(func(setting, _ string) { faults = append(faults, setting) })
	assert.Equal(t, []string{"act", "end", "hours", "rate"}, faults)
	r := Rule{Action: Resend}
	r.SetDefaults()
	assert.Equal(t, Rule{Action: Resend, Rate: defaultRate, MaxResends: defaultMaxResends, Deadline: strict.Duration(28e6)}, r)
}

// Legs proven never to have run no longer start the key's window, but a run in an earlier generation still does.
func TestMarkNeverRanKeepsEarlierGenerations(t *testing.T) {
	legs := func() []Leg { return []Leg{{At: 20}, {At: 30}} }
	r := New("a", "n", 7, "k", "", nil, 100, false, 0, legs(), nil)
	assert.True(t, r.MarkNeverRan([]Leg{{At: 20, NeverRan: true, Result: "turned away"}}))
	assert.EqualValues(t, 30, r.FirstRunAt)
	assert.Equal(t, "turned away", r.Legs[0].Result)
	assert.False(t, r.MarkNeverRan([]Leg{{At: 20, NeverRan: true}, {At: 30}}), "already marked")
	assert.True(t, r.MarkNeverRan([]Leg{{At: 30, NeverRan: true}}))
	assert.False(t, r.MayHaveRun())
	before := &Record{ID: "a", FirstRunAt: 10}
	next := New("a-r1", "n", 7, "k", "", nil, 100, false, 0, legs(), before)
	assert.True(t, next.MarkNeverRan([]Leg{{At: 20, NeverRan: true}, {At: 30, NeverRan: true}}))
	assert.EqualValues(t, 10, next.FirstRunAt)
}
