package fleet

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"ravenlink/internal/links"
	"ravenlink/internal/routing"
	"ravenlink/internal/shares"
)

// stillLife is a runtime that does not run, whose ticks and clock are the test's.
type stillLife struct {
	*Runtime
	desk *desk
	at   time.Duration
}

func stillFleet(t *testing.T) *stillLife {
	t.Helper()
	o := &stillLife{desk: &desk{shares: map[int64]float64{}, told: map[string]routing.Sight{}}, at: time.Second}
	table := Table{Name: "east", Self: "n0", Listen: "127.0.0.1:0", MostMB: 1, Limits: &Limits{Declared: []Declared{{limited, perSec}}},
		Peers: []links.PeerTable{{Name: "n1", Address: "127.0.0.1:2"}, {Name: "n2", Address: "127.0.0.1:3"}}}
	table.Fill()
	r, err := Open(table, t.TempDir(), zap.NewNop(), o.desk)
	require.NoError(t, err)
	r.clock = func() time.Duration { return o.at }
	o.Runtime = r
	t.Cleanup(func() { // a run that is over at once closes all that Open opened
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		r.Run(ctx)
	})
	return o
}

func (o *stillLife) tickAll() {
	o.at += tickEvery
	for _, s := range o.limits.shards {
		s.tick()
	}
}

func (o *stillLife) demands() (awake, all int) {
	for _, s := range o.limits.shards {
		awake, all = awake+len(s.awake), all+len(s.needs)
	}
	return awake, all
}

// TestDemandsThatRestAreLookedAtByNoTick: what a tick looks at is those with a limit, however many have none.
func TestDemandsThatRestAreLookedAtByNoTick(t *testing.T) {
	for _, n := range []int{500, 4_000} {
		o := stillFleet(t)
		o.Came(limited)
		for i := range n {
			o.Came(int64(1_000 + i))
		}
		awake, all := o.demands()
		assert.Equal(t, []int{n + 1, n + 1}, []int{awake, all})
		for range 3 {
			o.tickAll()
		}
		awake, all = o.demands()
		assert.Equal(t, []int{1, n + 1}, []int{awake, all}, "the one with a limit is looked at, messages wait for all")
		for _, s := range o.limits.shards {
			assert.Empty(t, s.fades, "none is forgotten for which a message waits")
		}
	}
}

// TestADemandThatChangesWithinATickDoesNotRest: the table has not been told of it yet.
func TestADemandThatChangesWithinATickDoesNotRest(t *testing.T) {
	o := stillFleet(t)
	o.Came(77)
	s := o.limits.shard(name(77))
	for _, between := range []struct {
		event func(int64)
		awake int
	}{{o.Began, 1}, {o.Paused, 1}, {o.Came, 1}, {func(dst int64) { o.Came(dst); o.Began(dst) }, 1}, {func(int64) {}, 0},
		{func(dst int64) { o.limits.saw(routing.Sight{Kind: routing.SeenLimit, Dst: dst, PerSec: 20}) }, 1}} {
		s.mu.Lock()
		o.at += tickEvery
		s.need(o.now())
		s.table.Tick(o.now())
		s.mu.Unlock()
		between.event(77)
		s.mu.Lock()
		s.rest(o.now(), o.settled)
		assert.Len(t, s.awake, between.awake)
		s.mu.Unlock()
	}
}

// measure is what a destination's demand is when every tick looks at it.
type measure struct {
	waiting, came int
	perSec        float64
}

// TestDemandsAreForgottenAndKnownAsByAWalkOverAll has the same messages counted by a walk over all of them at each tick.
func TestDemandsAreForgottenAndKnownAsByAWalkOverAll(t *testing.T) {
	for seed := range uint64(3) {
		o, r, all, last := stillFleet(t), rand.New(rand.NewPCG(seed, 3)), map[int64]*measure{}, int64(0)
		forgotten, limits := 0, map[int64]bool{}
		for tick := range 1_250 {
			for range r.IntN(3) * r.IntN(2) {
				dst := 1_000 + r.Int64N(40)
				m := all[dst]
				switch {
				case m == nil || r.IntN(3) == 0:
					if m == nil {
						m = &measure{}
						all[dst] = m
					}
					m.came, m.waiting = m.came+1, m.waiting+1
					o.Came(dst)
				case m.waiting > 0:
					m.waiting--
					o.Began(dst)
				}
			}
			if tick%250 == 249 { // all ends, and one learns a limit
				for dst, m := range all {
					for ; m.waiting > 0; m.waiting-- {
						o.Ended(dst)
					}
				}
				dst := 1_000 + r.Int64N(40)
				limits[dst] = true
				o.limits.saw(routing.Sight{Kind: routing.SeenLimit, Dst: dst, PerSec: 20})
			}
			o.tickAll()
			span := o.now() - last
			last = o.now()
			for dst, m := range all {
				part := 1 - math.Exp(-float64(span)/needSpan)
				m.perSec += (float64(m.came)*1e6/float64(span) - m.perSec) * part
				m.came = 0
				if m.waiting == 0 && m.perSec < needLeast {
					delete(all, dst)
					forgotten++
				}
			}
			n := 0
			for _, s := range o.limits.shards {
				n += len(s.needs)
				for dst, d := range s.needs {
					m := all[dst]
					require.NotNil(t, m, "%d at tick %d", dst, tick)
					require.Equal(t, m.waiting, d.waiting)
					require.Equal(t, m.waiting, d.told)
					require.InDelta(t, m.perSec, d.perSec*math.Exp(-float64(last-d.at)/needSpan), 1e-9)
					if perSec, _ := s.table.Share(last, d.name); !math.IsInf(perSec, 1) {
						require.Equal(t, awake, d.slot, "a limit is known")
					}
				}
			}
			require.Len(t, all, n, "at tick %d", tick)
		}
		t.Logf("seed %d: %d forgotten", seed, forgotten)
		assert.Greater(t, forgotten, 30)
	}
}

// TestADemandThatRestsIsToldItsShareAtTheNextTick: a limit ends the rest, whoever told it.
func TestADemandThatRestsIsToldItsShareAtTheNextTick(t *testing.T) {
	for name, learn := range map[string]func(o *stillLife){
		"the destination": func(o *stillLife) { o.limits.saw(routing.Sight{Kind: routing.SeenLimit, Dst: 77, PerSec: 20}) },
		"another sender": func(o *stillLife) {
			other := shares.New("n1", o.table.Listed(), timing(o.table))
			other.Limit(1_000_000, "77", 20, shares.Told)
			other.Need(1_000_000, "77", 20, 5)
			for now := int64(1_000_000); ; now += 600_000 {
				for _, l := range other.Tick(now) {
					if l.To != "n0" {
						continue
					}
					body, err := cbor.Marshal(l.Msg)
					require.NoError(t, err)
					require.NoError(t, o.limits.Hear("n1", links.Frame{Kind: links.Shares, Body: body}))
					var done sync.WaitGroup
					done.Add(1)
					require.True(t, o.pool.Do(o.limits.shard("77").key, done.Done))
					done.Wait()
					return
				}
			}
		},
	} {
		o := stillFleet(t)
		o.Came(77)
		o.tickAll()
		o.tickAll()
		awake, _ := o.demands()
		require.Zero(t, awake, name)
		learn(o)
		o.tickAll()
		o.desk.mu.Lock()
		perSec, told := o.desk.shares[77]
		o.desk.mu.Unlock()
		assert.True(t, told, name)
		assert.GreaterOrEqual(t, perSec, 0.0, name)
	}
}

// TestADemandThatRestsIsLetGoAfterItsGateWasShut: the gate of a sender that still learns shuts for destinations without a limit too.
func TestADemandThatRestsIsLetGoAfterItsGateWasShut(t *testing.T) {
	o := stillFleet(t)
	o.Came(77)
	o.tickAll()
	o.hold(77, holdLeast)
	assert.Zero(t, o.desk.lent(77))
	for range 3 {
		o.tickAll()
	}
	assert.Equal(t, -1.0, o.desk.lent(77), "held back no longer than it had to be")
	o.Ended(77)
	for range 300 {
		o.tickAll()
	}
	awake, all := o.demands()
	assert.Equal(t, []int{0, 0}, []int{awake, all})
}
