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

// manualRuntime is a runtime that does not run; the test drives its ticks and clock.
type manualRuntime struct {
	*Runtime
	module  *fakeModule
	elapsed time.Duration
}

func newManualRuntime(t *testing.T) *manualRuntime {
	t.Helper()
	o := &manualRuntime{module: &fakeModule{shares: map[int64]float64{}, observations: map[string]routing.Observation{}}, elapsed: time.Second}
	table := Table{Name: "east", Self: "n0", Listen: "127.0.0.1:0", MaxLogMB: 1, Limits: &Limits{Declared: []Declared{{limited, perSec}}},
		Peers: []links.PeerTable{{Name: "n1", Address: "127.0.0.1:2"}, {Name: "n2", Address: "127.0.0.1:3"}}}
	table.SetDefaults()
	r, err := Open(table, t.TempDir(), zap.NewNop(), o.module)
	require.NoError(t, err)
	r.clock = func() time.Duration { return o.elapsed }
	o.Runtime = r
	t.Cleanup(func() { // Run with a canceled context closes all that Open opened
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		r.Run(ctx)
	})
	return o
}

func (o *manualRuntime) tickAll() {
	o.elapsed += tickInterval
	for _, s := range o.limits.shards {
		s.tick()
	}
}

func (o *manualRuntime) demands() (active, all int) {
	for _, s := range o.limits.shards {
		active, all = active+len(s.active), all+len(s.demands)
	}
	return active, all
}

// TestTickSkipsInactiveDemands checks that a tick examines only demands with a limit, however many have none.
func TestTickSkipsInactiveDemands(t *testing.T) {
	for _, n := range []int{500, 4_000} {
		o := newManualRuntime(t)
		o.MessageAccepted(limited)
		for i := range n {
			o.MessageAccepted(int64(1_000 + i))
		}
		active, all := o.demands()
		assert.Equal(t, []int{n + 1, n + 1}, []int{active, all})
		for range 3 {
			o.tickAll()
		}
		active, all = o.demands()
		assert.Equal(t, []int{1, n + 1}, []int{active, all}, "only the one with a limit is active, messages wait for all")
		for _, s := range o.limits.shards {
			assert.Empty(t, s.idle, "none with a waiting message expires")
		}
	}
}

// TestDemandChangedDuringTickStaysActive checks demands that change between the update of the table and the end of a
// tick, of which the table does not know yet.
func TestDemandChangedDuringTickStaysActive(t *testing.T) {
	o := newManualRuntime(t)
	o.MessageAccepted(77)
	s := o.limits.shard(destinationName(77))
	for _, between := range []struct {
		event  func(int64)
		active int
	}{{o.LegStarted, 1}, {o.LegEnded, 1}, {o.MessageAccepted, 1}, {func(dst int64) { o.MessageAccepted(dst); o.LegStarted(dst) }, 1}, {func(int64) {}, 0},
		{func(dst int64) {
			o.limits.recordLimit(routing.Observation{Kind: routing.ObservedLimit, Dst: dst, PerSec: 20})
		}, 1}} {
		s.mu.Lock()
		o.elapsed += tickInterval
		s.updateDemands(o.now())
		s.table.Tick(o.now())
		s.mu.Unlock()
		between.event(77)
		s.mu.Lock()
		s.deactivate(o.now(), o.hasNoLease)
		assert.Len(t, s.active, between.active)
		s.mu.Unlock()
	}
}

// expectedDemand is a destination's demand if every tick examines it.
type expectedDemand struct {
	waiting, arrivals int
	perSec            float64
}

// TestDemandsMatchReferenceModel compares with a reference that examines all demands at each tick.
func TestDemandsMatchReferenceModel(t *testing.T) {
	for seed := range uint64(3) {
		o, r, all, last := newManualRuntime(t), rand.New(rand.NewPCG(seed, 3)), map[int64]*expectedDemand{}, int64(0)
		forgotten, limits := 0, map[int64]bool{}
		for tick := range 1_250 {
			for range r.IntN(3) * r.IntN(2) {
				dst := 1_000 + r.Int64N(40)
				m := all[dst]
				switch {
				case m == nil || r.IntN(3) == 0:
					if m == nil {
						m = &expectedDemand{}
						all[dst] = m
					}
					m.arrivals, m.waiting = m.arrivals+1, m.waiting+1
					o.MessageAccepted(dst)
				case m.waiting > 0:
					m.waiting--
					o.LegStarted(dst)
				}
			}
			if tick%250 == 249 { // all messages end, and one destination gets a limit
				for dst, m := range all {
					for ; m.waiting > 0; m.waiting-- {
						o.MessageEnded(dst)
					}
				}
				dst := 1_000 + r.Int64N(40)
				limits[dst] = true
				o.limits.recordLimit(routing.Observation{Kind: routing.ObservedLimit, Dst: dst, PerSec: 20})
			}
			o.tickAll()
			span := o.now() - last
			last = o.now()
			for dst, m := range all {
				part := 1 - math.Exp(-float64(span)/demandTimeConstant)
				m.perSec += (float64(m.arrivals)*1e6/float64(span) - m.perSec) * part
				m.arrivals = 0
				if m.waiting == 0 && m.perSec < minDemand {
					delete(all, dst)
					forgotten++
				}
			}
			n := 0
			for _, s := range o.limits.shards {
				n += len(s.demands)
				for dst, d := range s.demands {
					m := all[dst]
					require.NotNil(t, m, "destination %d at tick %d", dst, tick)
					require.Equal(t, m.waiting, d.waiting)
					require.Equal(t, m.waiting, d.reported)
					require.InDelta(t, m.perSec, d.perSec*math.Exp(-float64(last-d.updatedAt)/demandTimeConstant), 1e-9)
					if perSec, _ := s.table.Share(last, d.name); !math.IsInf(perSec, 1) {
						require.Equal(t, indexActive, d.heapIndex, "a demand with a limit stays active")
					}
				}
			}
			require.Len(t, all, n, "at tick %d", tick)
		}
		t.Logf("seed %d: %d forgotten", seed, forgotten)
		assert.Greater(t, forgotten, 30)
	}
}

// TestNewLimitReactivatesDemand checks that a limit reactivates a demand, whoever reported it, and that the share is
// reported at the next tick.
func TestNewLimitReactivatesDemand(t *testing.T) {
	for name, report := range map[string]func(o *manualRuntime){
		"the destination": func(o *manualRuntime) {
			o.limits.recordLimit(routing.Observation{Kind: routing.ObservedLimit, Dst: 77, PerSec: 20})
		},
		"another sender": func(o *manualRuntime) {
			other := shares.New("n1", o.table.MemberNames(), timing(o.table))
			other.SetLimit(1_000_000, "77", 20, shares.Reported)
			other.SetDemand(1_000_000, "77", 20, 5)
			for now := int64(1_000_000); ; now += 600_000 {
				for _, m := range other.Tick(now) {
					if m.To != "n0" {
						continue
					}
					body, err := cbor.Marshal(m.Msg)
					require.NoError(t, err)
					require.NoError(t, o.limits.Receive("n1", links.Frame{Kind: links.Shares, Body: body}))
					var done sync.WaitGroup
					done.Add(1)
					require.True(t, o.pool.Submit(o.limits.shard("77").key, done.Done))
					done.Wait()
					return
				}
			}
		},
	} {
		o := newManualRuntime(t)
		o.MessageAccepted(77)
		o.tickAll()
		o.tickAll()
		active, _ := o.demands()
		require.Zero(t, active, name)
		report(o)
		o.tickAll()
		o.module.mu.Lock()
		perSec, reported := o.module.shares[77]
		o.module.mu.Unlock()
		assert.True(t, reported, name)
		assert.GreaterOrEqual(t, perSec, 0.0, name)
	}
}

// TestHeldBackInactiveDemandIsReleased checks that an inactive demand is released after its hold: while a sender syncs,
// its gate also holds back destinations without a limit.
func TestHeldBackInactiveDemandIsReleased(t *testing.T) {
	o := newManualRuntime(t)
	o.MessageAccepted(77)
	o.tickAll()
	o.holdBack(77, minHold)
	assert.Zero(t, o.module.lease(77))
	for range 3 {
		o.tickAll()
	}
	assert.Equal(t, -1.0, o.module.lease(77), "released after its hold")
	o.MessageEnded(77)
	for range 300 {
		o.tickAll()
	}
	active, all := o.demands()
	assert.Equal(t, []int{0, 0}, []int{active, all})
}
