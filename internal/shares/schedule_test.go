package shares

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/members"
	"ravenlink/internal/post"
)

// tickAll is the reference for Tick: it visits every destination, due or not.
func (t *Table) tickAll(now int64) []post.PeerMessage[Msg] {
	t.markStart(now)
	for _, dst := range slices.Clone(t.names) {
		d := t.destinations[dst]
		t.updateStage(now, d)
		t.updateOwner(now, d)
		t.sendRequest(now, d)
		t.distribute(now, d, "")
		t.evictIdle(now, d)
	}
	return t.takeOutbox()
}

// diffTables describes the first difference between two tables, apart from their visit schedules; empty if there is none.
func diffTables(a, b *Table, thorough bool) string {
	if a.startedAt != b.startedAt || a.runID != b.runID || a.missingFraction != b.missingFraction || a.counts != b.counts ||
		!slices.Equal(a.names, b.names) {
		return "table fields differ"
	}
	for _, dst := range a.names {
		p, q := a.destinations[dst], b.destinations[dst]
		if p.rank != q.rank || p.limit != q.limit || p.demand != q.demand || p.waiting != q.waiting || p.lastUsed != q.lastUsed ||
			p.ownerlessSince != q.ownerlessSince ||
			p.lease != q.lease || p.vote != q.vote || !p.owner.equal(&q.owner, thorough) {
			return fmt.Sprintf("%+v, reference %+v", *p, *q)
		}
	}
	return ""
}

// equal compares field by field, which is cheaper than reflection; thorough adds reflection, for fields that are not listed here.
func (o *ownerState) equal(x *ownerState, thorough bool) bool {
	type scalars struct {
		phase                                                      ownerPhase
		term, nextSession                                          uint64
		since, retryAt, votesRequestedAt, lastRequestAt, grantFrom int64
		pool, totalCommitted, fallbackFraction                     float64
		poolUpdatedAt, refusedAt                                   int64
		votes, holders, sorted                                     int
	}
	of := func(o *ownerState) scalars {
		return scalars{o.phase, o.term, o.nextSession, o.since, o.retryAt, o.votesRequestedAt, o.lastRequestAt, o.grantFrom,
			o.pool, o.totalCommitted, o.fallbackFraction, o.poolUpdatedAt, o.refusedAt,
			len(o.votes), len(o.holders), len(o.sorted)}
	}
	return of(o) == of(x) && maps.Equal(o.votes, x.votes) && slices.EqualFunc(o.sorted, x.sorted, func(a, b *holder) bool { return *a == *b }) &&
		(!thorough || reflect.DeepEqual(o, x))
}

// pair is a table under test and a reference table that visits all destinations.
type pair struct {
	tick, walk *Table
	runID      uint64
	rates      map[string]float64
	waiting    map[string]int
	dead       map[string]bool
}

// lockstep is a fleet of pairs. Both tables of a pair get the same events and must send the same messages.
type lockstep struct {
	t        *testing.T
	r        *rand.Rand
	now      int64
	names    []string
	pairs    []*pair
	inFlight []flight
	cut      map[[2]int]bool
	occurred map[string]int // counts events, so that no run passes because nothing happened
	visits   [2]int
}

const destinationCount = 18

func destinationName(i int) string { return strconv.Itoa(40_000 + i) }

func newLockstep(t *testing.T, seed uint64) *lockstep {
	w := &lockstep{t: t, r: rand.New(rand.NewPCG(seed, 2)), now: 1_000_000, cut: map[[2]int]bool{}, occurred: map[string]int{}}
	for i := range 5 {
		w.names = append(w.names, fmt.Sprintf("s%03d", i))
		w.pairs = append(w.pairs, &pair{})
	}
	for i := range w.pairs {
		w.restart(i)
	}
	return w
}

func (w *lockstep) restart(i int) {
	p := w.pairs[i]
	*p = pair{New(w.names[i], w.names, DefaultTiming()), New(w.names[i], w.names, DefaultTiming()), p.runID + 1,
		map[string]float64{}, map[string]int{}, map[string]bool{}}
	w.view(i)
}

func (w *lockstep) view(i int) {
	p, v := w.pairs[i], members.View{Self: w.names[i]}
	for j, n := range w.names {
		m := members.Member{Name: n, Incarnation: w.pairs[j].runID}
		if p.dead[n] && j != i {
			m.State = members.Dead
		}
		v.Members = append(v.Members, m)
	}
	p.tick.SetView(w.now, v)
	p.walk.SetView(w.now, v)
}

func (w *lockstep) post(from int, a, b []post.PeerMessage[Msg]) {
	if !slices.Equal(a, b) {
		require.Equal(w.t, b, a, "messages of %d at %d", from, w.now)
	}
	for _, m := range a {
		w.occurred["message "+strconv.Itoa(int(m.Msg.Kind))]++
		to := slices.Index(w.names, m.To)
		if !w.cut[[2]int{from, to}] && w.r.IntN(20) > 0 {
			w.inFlight = append(w.inFlight, flight{w.now + w.r.Int64N(150_000), from, to, m.Msg})
		}
	}
}

// event applies a random event to a pair: a change of demand, a learned limit, a call, a refusal, a view, a partition or a restart.
func (w *lockstep) event(i int) {
	p, dst := w.pairs[i], destinationName(w.r.IntN(destinationCount))
	switch k := w.r.IntN(400); {
	case k < 60:
		p.rates[dst], p.waiting[dst] = []float64{0, 0.3, 7.9, 12, 60}[w.r.IntN(5)], w.r.IntN(4)*w.r.IntN(2)
		p.tick.SetDemand(w.now, dst, p.rates[dst], p.waiting[dst])
		p.walk.SetDemand(w.now, dst, p.rates[dst], p.waiting[dst])
	case k < 120: // demand ends
		for s := range destinationCount {
			if s%4 != 3 || w.r.IntN(9) == 0 {
				p.tick.SetDemand(w.now, destinationName(s), 0, 0)
				p.walk.SetDemand(w.now, destinationName(s), 0, 0)
			}
		}
	case k < 128:
		perSec, how := float64(1+w.r.IntN(80)), Listed+LimitSource(w.r.IntN(3))
		if (len(dst)+int(dst[4]))%3 > 0 || w.r.IntN(9) == 0 { // most stay without a limit for long
			p.tick.SetLimit(w.now, dst, perSec, how)
			p.walk.SetLimit(w.now, dst, perSec, how)
		}
	case k < 320:
		may := p.tick.Allow(w.now, dst)
		require.Equal(w.t, p.walk.Allow(w.now, dst), may)
		w.occurred["allow "+strconv.FormatBool(may)]++
	case k < 370:
		a, b := p.tick.Share(w.now, dst)
		c, d := p.walk.Share(w.now, dst)
		require.Equal(w.t, []any{c, d}, []any{a, b})
	case k < 380:
		p.tick.RecordRefusal(w.now, dst)
		p.walk.RecordRefusal(w.now, dst)
	case k < 384:
		n := w.names[w.r.IntN(len(w.names))]
		p.dead[n] = !p.dead[n]
		w.view(i)
	case k < 386:
		for n := range w.names {
			p.dead[w.names[n]] = n < 4 && w.r.IntN(2) == 0
			w.cut[[2]int{i, n}] = p.dead[w.names[n]]
		}
		w.view(i)
	case k < 389:
		w.cut, p.dead = map[[2]int]bool{}, map[string]bool{}
		w.view(i)
	case k == 389 && w.r.IntN(3) == 0:
		w.occurred["restart"]++
		w.restart(i)
	}
}

// step advances time by 50 ms. Periods without demand let destinations be evicted.
func (w *lockstep) step() {
	w.now += 50_000
	air := w.inFlight
	w.inFlight = nil
	for _, f := range air {
		if f.due > w.now {
			w.inFlight = append(w.inFlight, f)
			continue
		}
		p := w.pairs[f.to]
		w.post(f.to, p.tick.Receive(w.now, w.names[f.from], f.m), p.walk.Receive(w.now, w.names[f.from], f.m))
	}
	for i, p := range w.pairs {
		if w.now%150_000_000 < 70_000_000 {
			w.event(i)
		}
		n, was, looks := len(p.tick.destinations), p.tick.counts, p.tick.visits
		a, b := p.tick.Tick(w.now), p.walk.tickAll(w.now)
		w.visits[0], w.visits[1] = w.visits[0]+int(p.tick.visits-looks), w.visits[1]+n
		w.post(i, a, b)
		if d := diffTables(p.tick, p.walk, w.now%3_200_000 < 50_000); d != "" {
			require.Empty(w.t, d, "state of %d at %d", i, w.now)
		}
		w.occurred["evicted"] += n - len(p.tick.destinations)
		w.occurred["owned"] += int(p.tick.counts.Owned - was.Owned)
		w.occurred["lapsed"] += int(p.tick.counts.Lapsed - was.Lapsed)
		for _, q := range p.tick.destinations {
			if q.lease.stage == fallback {
				w.occurred["fallback"]++
				if q.limit.perSec == 0 || q.waiting == 0 && q.demand == 0 {
					w.occurred["fallback without demand or limit"]++
				}
			}
		}
		require.Equal(w.t, len(p.tick.destinations), len(p.tick.active)+len(p.tick.scheduled))
	}
}

func TestTickMatchesFullScan(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(3) {
		w := newLockstep(t, seed)
		for w.now < 150_000_000 {
			w.step()
		}
		t.Logf("seed %d: %v, visits %v", seed, w.occurred, w.visits)
		for what, n := range w.occurred {
			seen[what] += n
		}
		assert.Less(t, w.visits[0], w.visits[1]*2/3)
	}
	for _, what := range []string{"message 1", "message 2", "message 3", "message 4", "message 5", "allow true", "allow false", "restart",
		"evicted", "owned", "lapsed", "fallback", "fallback without demand or limit"} {
		assert.Positive(t, seen[what], what)
	}
}

// visitsIn returns the number of destinations that 50 ticks visit.
func visitsIn(idle, busy int) (n uint64) {
	for _, t := range newIdleTables(idle+busy, busy) {
		t.Tick(1_000_000 + tickInterval)
		was := t.visits
		for k := range int64(50) {
			t.Tick(1_000_000 + (2+k)*tickInterval)
		}
		n += t.visits - was
	}
	return n
}

func TestTickSkipsIdleDestinations(t *testing.T) {
	assert.Zero(t, visitsIn(1_000, 0))
	few, many := visitsIn(1_600, 100), visitsIn(12_900, 100)
	t.Logf("destinations visited in 50 ticks, 100 busy: %d with 1,600 idle, %d with 12,900 idle", few, many)
	assert.EqualValues(t, 50*100, few)
	assert.Equal(t, few, many)
}
