package choice

import (
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestMain checks after all tests that the shared zero values for unused state were not written to.
func TestMain(m *testing.M) {
	code := m.Run()
	if !assert.ObjectsAreEqual([]any{&routeState{}, &receiverState{}, &dstState{firstChance: never}}, []any{unusedRoute, unusedReceiver, unusedDst}) {
		fmt.Printf("the shared zero values for unused state were written to: %+v, %+v, %+v\n", *unusedRoute, *unusedReceiver, *unusedDst)
		code = 1
	}
	os.Exit(code)
}

// past is the state before a list, for comparison with a full scan.
type past struct {
	recvs []*receiver
	dsts  []*dst
}

func (f *fake) snapshot() (p past) {
	for _, r := range f.recvs {
		p.recvs = append(p.recvs, r)
	}
	p.dsts = slices.Clone(f.order)
	return p
}

// walked is what a full scan would have left of the state before a list and what came with it: receivers by id, destinations in order; and the
// ids of the receivers it removed.
func (f *fake) walked(p past) (recvs map[uint32]*receiver, dsts []*dst, forgot []uint32) {
	recvs, inUse := map[uint32]*receiver{}, map[*dst]bool{}
	for _, r := range append(p.recvs, f.snapshot().recvs...) {
		if f.now-r.listedAt > keepGone && r.calls == 0 && !r.probing && !slices.Contains(r.dst.recvs, r) {
			forgot = append(forgot, r.id)
		} else {
			recvs[r.id], inUse[r.dst] = r, true
		}
	}
	for _, d := range append(p.dsts, f.order...) {
		if inUse[d] || len(d.recvs) > 0 || len(d.queued) > 0 || len(d.calls) > 0 {
			dsts = append(dsts, d)
		}
	}
	slices.SortFunc(dsts, func(a, b *dst) int { return int(a.number - b.number) })
	return recvs, slices.Compact(dsts), forgot
}

// listed identifies a receiver in the expected lists: one removed and listed again is a new one.
type listed struct {
	id  uint32
	gen int
}

// Compares what is removed, when, and the order of receivers in a list with a full scan.
func TestSweepEqualsAFullScan(t *testing.T) {
	forgotten, dropped, lingered, moved, maybeEmpty := 0, 0, 0, 0, 0
	for seed := range uint64(12) {
		f := newFake(t, keyed, 6, 2, highWeight, Kind{Batch: 1})
		f.seed, f.draws = seed, 1000
		n := func(below int) int { return int(f.chance() * float64(below)) }
		lists, gens := map[int64][]listed{7: {{1, 0}, {2, 0}}}, map[uint32]int{}
		home := map[uint32]int64{1: 7, 2: 7}
		for i := range 1200 {
			f.SetTime(f.now + int64(f.chance()*float64(8*second)))
			for range n(3) {
				f.Accept(fmt.Sprint(seed, "-", i, "-", f.draws), 0, "", int64(n(9)), f.now+28*second)
			}
			if n(20) == 0 {
				to := int64(100 + n(5))
				f.RestoreDst(to)
				f.Accept(fmt.Sprint(seed, "owed", i), 0, "", to, f.now+28*second)
			}
			for _, id := range slices.Sorted(maps.Keys(f.msgs)) {
				m := f.msgs[id]
				if l := len(m.legs); l > 0 && !m.legs[l-1].settled {
					f.LegEnded(id, l-1, []Outcome{Delivered, TimedOut, Reset, Refused}[l%4], second, l%4 == 0, RateLimit{})
					break
				}
			}
			if r := f.recvs[uint32(n(40))]; r != nil && n(4) == 0 {
				f.close(r, f.now)
			} else if r != nil {
				f.ProbeEnded(r.id, TimedOut, RateLimit{})
			}
			f.Decide()
			form, p := []ListKind{Delta, Delta, Delta, Delta, Delta, Delta, Snapshot, Cached}[n(8)], f.snapshot()
			if form != Delta {
				lists = map[int64][]listed{}
			}
			var es []Entry
			for range n(7) {
				e := Entry{Receiver: uint32(n(40)), Listed: n(2) == 0, Weight: highWeight}
				e.Dst = int64(e.Receiver % 8)
				if n(60) == 0 {
					e.Dst = int64(n(8))
				}
				if f.recvs[e.Receiver] != nil && home[e.Receiver] != e.Dst {
					moved++
				}
				home[e.Receiver] = e.Dst
				l := listed{e.Receiver, gens[e.Receiver]}
				lists[e.Dst] = slices.DeleteFunc(lists[e.Dst], func(o listed) bool { return o == l })
				if e.Listed {
					lists[e.Dst] = append(lists[e.Dst], l)
				}
				es = append(es, e)
			}
			f.UpdateList(form, es)
			recvs, dsts, forgot := f.walked(p)
			require.Equal(t, len(recvs), len(f.recvs), "seed %d, list %d", seed, i)
			for id, r := range recvs {
				require.True(t, f.recvs[id] == r, "receiver %d", id)
			}
			require.Equal(t, len(dsts), len(f.order))
			require.Len(t, f.dsts, len(dsts))
			for i, d := range dsts {
				require.True(t, f.order[i] == d && f.dsts[d.id] == d, "destination %d", d.id)
				var ids []listed
				ids = append(ids, lists[d.id]...)
				require.Equal(t, len(ids), len(d.recvs))
				for i, r := range d.recvs {
					require.Equal(t, ids[i].id, r.id)
					require.True(t, r.dst != d || int(r.listIndex) == i+1, "place")
				}
			}
			require.ElementsMatch(t, forgot, f.Forgotten())
			for _, id := range forgot {
				gens[id]++
			}
			forgotten, dropped, lingered, maybeEmpty = forgotten+len(forgot), dropped+len(p.dsts)-len(dsts), lingered+len(f.lingering), maybeEmpty+len(f.maybeEmpty)
			require.LessOrEqual(t, len(f.unlistedRecvs), len(f.recvs), "once each")
			require.Empty(t, f.gapped)
		}
	}
	for what, n := range map[string]int{"receivers": forgotten, "kept for calls in flight": lingered, "moved": moved, "maybe empty": maybeEmpty} {
		assert.Greater(t, n, 20, what)
	}
}

// A new receiver starts warming if one listed there is unhealthy at that point of the list, however many there are.
func TestANewReceiverSeesWhoIsUnhealthyAtItsPlaceInTheList(t *testing.T) {
	for _, n := range []uint32{2, 3 * fewReceivers} {
		f := newFake(t, keyed, 4, int(n), highWeight, Kind{Batch: 1})
		f.recvs[1].used().route.lastSuccessAt = f.now // by another one, so the fault is the receiver's own
		f.close(f.recvs[1], f.now)
		f.UpdateList(Delta, []Entry{
			{Receiver: 100, Dst: 7, Listed: true}, {Receiver: 100, Dst: 7}, {Receiver: 1, Dst: 7, Listed: true}, {Receiver: 101, Dst: 7, Listed: true},
			{Receiver: 101, Dst: 7}, {Receiver: 1, Dst: 7}, {Receiver: 102, Dst: 7, Listed: true}, {Receiver: 1, Dst: 7, Listed: true}, {Receiver: 103, Dst: 7, Listed: true}})
		assert.Equal(t, []health{warming, warming, open, warming}, []health{f.recvs[100].health, f.recvs[101].health, f.recvs[102].health, f.recvs[103].health}, "%d", n)
	}
}

// took is the least processor time that f takes. Wall-clock time would include what else the machine runs meanwhile.
func took(runs int, f func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	used := func() time.Duration {
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
			panic(err)
		}
		return time.Duration(t.Nano())
	}
	least := time.Hour
	for range runs {
		from := used()
		f()
		least = min(least, used()-from)
	}
	return least
}

// The cost of a destination's receivers is linear in their number, in a snapshot or in deltas, new or known; quadratic cost would be 64 times as
// much.
func TestReceiversOfOneDestinationCostByTheirNumber(t *testing.T) {
	run := func(n int, form ListKind, known bool) time.Duration {
		var es []Entry
		for i := range n {
			es = append(es, Entry{Receiver: uint32(i + 10), Dst: 8, Listed: true})
		}
		f := newFake(t, keyed, 4, 1, highWeight, Kind{Batch: 1})
		return took(9, func() {
			if !known {
				f = newFake(t, keyed, 4, 1, highWeight, Kind{Batch: 1})
			}
			f.UpdateList(form, es)
		})
	}
	for _, form := range []ListKind{Delta, Snapshot} {
		for _, known := range []bool{false, true} {
			few, many := run(2000, form, known), run(16_000, form, known)
			t.Logf("%.1f", float64(many)/float64(few))
			assert.Less(t, float64(many)/float64(few), 24., "form %d, known %v: %v and %v", form, known, few, many)
		}
	}
}

// ring is the reference implementation of the budget: all spans that can live, each in its slot.
type ring struct {
	spans [int(ttl/creditSpan) + 1]credits
	spent float64
}

func (b *ring) expire(now int64, percent float64) (live int) {
	edge := now/creditSpan - int64(ttl/creditSpan)
	for i := range b.spans {
		if s := &b.spans[i]; s.n > 0 && s.span <= edge {
			b.spent = max(0, b.spent-float64(s.n)*percent)
			s.n = 0
		}
		live += b.spans[i].n
	}
	return live
}

// A budget that stores live spans only equals the ring to the last bit, and is never larger.
func TestABudgetOfLiveSpansEqualsTheRing(t *testing.T) {
	f := newFake(t, keyed, 4, 1, highWeight, Kind{Batch: 1})
	b, r, now, most := budget{}, ring{}, 1_790_000_000*second, 0
	for range 50_000 {
		now += int64(f.chance() * f.chance() * f.chance() * float64(4*second))
		if f.chance() < .6 {
			b.deposit(now, percentCanRetry)
			r.expire(now, percentCanRetry)
			s := &r.spans[(now/creditSpan)%int64(len(r.spans))]
			s.span, s.n = now/creditSpan, s.n+1
		} else if b.withdraw(now, percentCanRetry, f.chance()*minRetriesPerSec) {
			r.expire(now, percentCanRetry)
			r.spent++
		}
		require.Equal(t, r.expire(now, percentCanRetry), b.expire(now, percentCanRetry))
		require.True(t, r.spent == b.spent, "%v and %v", r.spent, b.spent)
		most = max(most, len(b.spans))
	}
	assert.Greater(t, most, 5)
	assert.LessOrEqual(t, most, len(r.spans))
}

// Receivers and destinations never called have no allocated state; one message allocates that of its destination and receiver alone.
func TestStateIsMadeAtFirstUse(t *testing.T) {
	f := newFake(t, keyed, 4, 1, highWeight, Kind{Batch: 1})
	f.UpdateList(Delta, []Entry{{Receiver: 2, Dst: 8, Weight: highWeight, Listed: true}})
	f.advance(second)
	for _, r := range f.recvs {
		assert.True(t, r.receiverState == unusedReceiver && r.dst.dstState == unusedDst && !r.route.isUsed(), "only listed")
	}
	f.accept("a")
	f.advance(0)
	assert.False(t, f.recvs[1].receiverState == unusedReceiver || f.dsts[7].dstState == unusedDst || !f.recvs[1].route.isUsed())
	assert.True(t, f.recvs[2].receiverState == unusedReceiver && f.dsts[8].dstState == unusedDst && !f.recvs[2].route.isUsed())
	assert.InDelta(t, minBurst, f.recvs[2].route.use().tokens, 0, "its first tokens are those of a known limit")
}
