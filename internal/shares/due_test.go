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

// walkAll is the measure of Tick: it looks at every place, due or not.
func (t *Table) walkAll(now int64) []post.Letter[Msg] {
	t.begin(now)
	for _, dst := range slices.Clone(t.order) {
		p := t.places[dst]
		t.move(now, p)
		t.reign(now, p)
		t.ask(now, p)
		t.serve(now, p, "")
		t.forget(now, p)
	}
	return t.letters()
}

// differ names the first place in which two tables differ, but for when they look at what; empty where they are the same.
func differ(a, b *Table, thorough bool) string {
	if a.born != b.born || a.life != b.life || a.missing != b.missing || a.counts != b.counts || !slices.Equal(a.order, b.order) {
		return "the table itself"
	}
	for _, dst := range a.order {
		p, q := a.places[dst], b.places[dst]
		if p.rank != q.rank || p.limit != q.limit || p.need != q.need || p.waiting != q.waiting || p.used != q.used || p.unled != q.unled ||
			p.hold != q.hold || p.vote != q.vote || !p.seat.same(&q.seat, thorough) {
			return fmt.Sprintf("%+v, by a walk %+v", *p, *q)
		}
	}
	return ""
}

// same compares field by field, which costs less than by reflection; thorough does so too, for fields that are not named here.
func (o *owning) same(x *owning, thorough bool) bool {
	type plain struct {
		phase                              reignPhase
		term, nextSeat                     uint64
		since, rest, stoodAt, wanted, from int64
		pool, held, doubts                 float64
		poolAt, refused                    int64
		votes, seats, row                  int
	}
	of := func(o *owning) plain {
		return plain{o.phase, o.term, o.nextSeat, o.since, o.rest, o.stoodAt, o.wanted, o.from, o.pool, o.held, o.doubts, o.poolAt, o.refused,
			len(o.votes), len(o.seats), len(o.row)}
	}
	return of(o) == of(x) && maps.Equal(o.votes, x.votes) && slices.EqualFunc(o.row, x.row, func(a, b *seat) bool { return *a == *b }) &&
		(!thorough || reflect.DeepEqual(o, x))
}

// pair is a table that ticks and its twin that walks all places.
type pair struct {
	tick, walk *Table
	life       uint64
	rates      map[string]float64
	waits      map[string]int
	down       map[string]bool
}

// twins is a fleet of pairs: both of a pair have the same events, and must tell the same.
type twins struct {
	t     *testing.T
	r     *rand.Rand
	now   int64
	names []string
	ps    []*pair
	air   []flight
	cut   map[[2]int]bool
	seen  map[string]int // what came to pass, so that no run is equal because nothing happened
	looks [2]int
}

const subjects = 18

func subject(i int) string { return strconv.Itoa(40_000 + i) }

func newTwins(t *testing.T, seed uint64) *twins {
	w := &twins{t: t, r: rand.New(rand.NewPCG(seed, 2)), now: 1_000_000, cut: map[[2]int]bool{}, seen: map[string]int{}}
	for i := range 5 {
		w.names = append(w.names, fmt.Sprintf("s%03d", i))
		w.ps = append(w.ps, &pair{})
	}
	for i := range w.ps {
		w.restart(i)
	}
	return w
}

func (w *twins) restart(i int) {
	p := w.ps[i]
	*p = pair{New(w.names[i], w.names, Usual()), New(w.names[i], w.names, Usual()), p.life + 1, map[string]float64{}, map[string]int{}, map[string]bool{}}
	w.view(i)
}

func (w *twins) view(i int) {
	p, v := w.ps[i], members.View{Self: w.names[i]}
	for j, n := range w.names {
		m := members.Member{Name: n, Incarnation: w.ps[j].life}
		if p.down[n] && j != i {
			m.State = members.Gone
		}
		v.Members = append(v.Members, m)
	}
	p.tick.View(w.now, v)
	p.walk.View(w.now, v)
}

func (w *twins) post(from int, a, b []post.Letter[Msg]) {
	if !slices.Equal(a, b) {
		require.Equal(w.t, b, a, "letters of %d at %d", from, w.now)
	}
	for _, l := range a {
		w.seen["letter "+strconv.Itoa(int(l.Msg.Kind))]++
		to := slices.Index(w.names, l.To)
		if !w.cut[[2]int{from, to}] && w.r.IntN(20) > 0 {
			w.air = append(w.air, flight{w.now + w.r.Int64N(150_000), from, to, l.Msg})
		}
	}
}

// event is one that befalls a pair: needs that come, change and go, limits learned in all ways, calls, refusals, views, cuts, restarts.
func (w *twins) event(i int) {
	p, dst := w.ps[i], subject(w.r.IntN(subjects))
	switch k := w.r.IntN(400); {
	case k < 60:
		p.rates[dst], p.waits[dst] = []float64{0, 0.3, 7.9, 12, 60}[w.r.IntN(5)], w.r.IntN(4)*w.r.IntN(2)
		p.tick.Need(w.now, dst, p.rates[dst], p.waits[dst])
		p.walk.Need(w.now, dst, p.rates[dst], p.waits[dst])
	case k < 120: // all is done
		for s := range subjects {
			if s%4 != 3 || w.r.IntN(9) == 0 {
				p.tick.Need(w.now, subject(s), 0, 0)
				p.walk.Need(w.now, subject(s), 0, 0)
			}
		}
	case k < 128:
		perSec, how := float64(1+w.r.IntN(80)), Listed+How(w.r.IntN(3))
		if (len(dst)+int(dst[4]))%3 > 0 || w.r.IntN(9) == 0 { // most keep without one for long
			p.tick.Limit(w.now, dst, perSec, how)
			p.walk.Limit(w.now, dst, perSec, how)
		}
	case k < 320:
		may := p.tick.Spend(w.now, dst)
		require.Equal(w.t, p.walk.Spend(w.now, dst), may)
		w.seen["spend "+strconv.FormatBool(may)]++
	case k < 370:
		a, b := p.tick.Share(w.now, dst)
		c, d := p.walk.Share(w.now, dst)
		require.Equal(w.t, []any{c, d}, []any{a, b})
	case k < 380:
		p.tick.Refused(w.now, dst)
		p.walk.Refused(w.now, dst)
	case k < 384:
		n := w.names[w.r.IntN(len(w.names))]
		p.down[n] = !p.down[n]
		w.view(i)
	case k < 386:
		for n := range w.names {
			p.down[w.names[n]] = n < 4 && w.r.IntN(2) == 0
			w.cut[[2]int{i, n}] = p.down[w.names[n]]
		}
		w.view(i)
	case k < 389:
		w.cut, p.down = map[[2]int]bool{}, map[string]bool{}
		w.view(i)
	case k == 389 && w.r.IntN(3) == 0:
		w.seen["restart"]++
		w.restart(i)
	}
}

// step goes on by 50 ms. Spells of rest, in which nobody wants anything, let destinations be forgotten.
func (w *twins) step() {
	w.now += 50_000
	air := w.air
	w.air = nil
	for _, f := range air {
		if f.due > w.now {
			w.air = append(w.air, f)
			continue
		}
		p := w.ps[f.to]
		w.post(f.to, p.tick.Heard(w.now, w.names[f.from], f.m), p.walk.Heard(w.now, w.names[f.from], f.m))
	}
	for i, p := range w.ps {
		if w.now%150_000_000 < 70_000_000 {
			w.event(i)
		}
		n, was, looks := len(p.tick.places), p.tick.counts, p.tick.looks
		a, b := p.tick.Tick(w.now), p.walk.walkAll(w.now)
		w.looks[0], w.looks[1] = w.looks[0]+int(p.tick.looks-looks), w.looks[1]+n
		w.post(i, a, b)
		if d := differ(p.tick, p.walk, w.now%3_200_000 < 50_000); d != "" {
			require.Empty(w.t, d, "state of %d at %d", i, w.now)
		}
		w.seen["forgotten"] += n - len(p.tick.places)
		w.seen["owned"] += int(p.tick.counts.Owned - was.Owned)
		w.seen["lapsed"] += int(p.tick.counts.Lapsed - was.Lapsed)
		for _, q := range p.tick.places {
			if q.hold.phase == doubting {
				w.seen["doubt"]++
				if q.limit.perSec == 0 || q.waiting == 0 && q.need == 0 {
					w.seen["doubt without a need or limit"]++
				}
			}
		}
		require.Equal(w.t, len(p.tick.places), len(p.tick.awake)+len(p.tick.resting))
	}
}

func TestATickDoesWhatAWalkOverAllPlacesDoes(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(3) {
		w := newTwins(t, seed)
		for w.now < 150_000_000 {
			w.step()
		}
		t.Logf("seed %d: %v, looks %v", seed, w.seen, w.looks)
		for what, n := range w.seen {
			seen[what] += n
		}
		assert.Less(t, w.looks[0], w.looks[1]*2/3)
	}
	for _, what := range []string{"letter 1", "letter 2", "letter 3", "letter 4", "letter 5", "spend true", "spend false", "restart",
		"forgotten", "owned", "lapsed", "doubt", "doubt without a need or limit"} {
		assert.Positive(t, seen[what], what)
	}
}

// looksOf counts the places that 50 ticks look at.
func looksOf(idle, busy int) (n uint64) {
	for _, t := range idlers(idle+busy, busy) {
		t.Tick(1_000_000 + beat)
		was := t.looks
		for k := range int64(50) {
			t.Tick(1_000_000 + (2+k)*beat)
		}
		n += t.looks - was
	}
	return n
}

func TestIdlePlacesCostATickNothing(t *testing.T) {
	assert.Zero(t, looksOf(1_000, 0))
	few, many := looksOf(1_600, 100), looksOf(12_900, 100)
	t.Logf("places looked at in 50 ticks, 100 busy: %d beside 1,600 idle, %d beside 12,900", few, many)
	assert.EqualValues(t, 50*100, few)
	assert.Equal(t, few, many)
}
