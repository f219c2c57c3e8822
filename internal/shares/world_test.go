package shares

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"

	"ravenlink/internal/members"
	"ravenlink/internal/post"
)

// fault is one of the mistakes that the judge has to find.
type fault int

const (
	none          fault = iota
	noWait              // a new owner does not wait out what the last one granted
	granterClock        // a lease runs from when the grant comes, as if the granter's time of sending were the holder's
	notAskedAgain       // what was the share before a pause is spent after it
	forgetful           // an elector that has restarted promises anew at once
	noMajority          // an owner goes on granting without its electors
	notCounted          // an owner takes what it has granted for free again
)

const dst = "40001"

// sender is one table with a clock of its own, which runs fast or slow.
type sender struct {
	*Table
	name    string
	offset  int64
	drift   float64
	paused  int64 // until
	rate    float64
	waiting float64
	cached  int
	life    uint64
}

func (s *sender) clock(now int64) int64 { return s.offset + int64(float64(now)*(1+s.drift/1e6)) }

type flight struct {
	due      int64
	from, to int
	m        Msg
}

// world is a fleet on links that lose, delay, double and cut, in virtual time.
type world struct {
	r       *rand.Rand
	t       Timing
	now     int64
	names   []string
	ss      []*sender
	air     []flight
	cut     map[[2]int]bool
	loss    float64
	delay   int64
	limit   float64
	fault   fault
	hungry  bool           // all senders need the whole limit
	saving  bool           // senders spend now and then only, all that they have saved up
	apart   func(int) bool // seen by the views from apartAt on
	apartAt int64
	spends  []int64
	from    int   // first of spends that is of the last second
	doubts  []int // senders in doubt, at each step
	bad     string
	bytes   int
}

func newWorld(seed uint64, n int, limit float64, t Timing) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 1)), t: t, cut: map[[2]int]bool{}, delay: 20_000, limit: limit, now: 1_000_000}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("s%03d", i))
	}
	for i := range n {
		s := &sender{name: w.names[i], offset: w.r.Int64N(1e9), drift: (2*w.r.Float64() - 1) * float64(t.Drift), life: 1}
		w.ss = append(w.ss, s)
		w.restart(i)
	}
	return w
}

func (w *world) restart(i int) {
	s := w.ss[i]
	s.Table = New(s.name, w.names, w.t)
	if w.fault == forgetful {
		s.born = 1
	}
	s.View(s.clock(w.now), w.view(i))
	s.Limit(s.clock(w.now), dst, w.limit, Told)
}

// view sees every member as alive, as one does while links fail in ways that heartbeats do not show: the harder case for the bound.
func (w *world) view(i int) members.View {
	v := members.View{Self: w.names[i]}
	for j, n := range w.names {
		v.Members = append(v.Members, members.Member{Name: n, Incarnation: w.ss[min(j, len(w.ss)-1)].life})
		if j == i {
			v.Members[j].Incarnation = w.ss[i].life
		}
		if w.apart != nil && w.now >= w.apartAt && w.apart(i) != w.apart(j) {
			v.Members[j].State = members.Doubted
		}
	}
	return v
}

func (w *world) post(from int, ls []post.Letter[Msg]) {
	for _, l := range ls {
		to := sort.SearchStrings(w.names, l.To)
		if w.cut[[2]int{from, to}] || w.r.Float64() < w.loss {
			continue
		}
		copies := 1
		if w.r.Float64() < w.loss/2 {
			copies = 2
		}
		for range copies {
			w.air = append(w.air, flight{w.now + w.r.Int64N(w.delay+1), from, to, l.Msg})
		}
	}
}

const step = 10_000

// step goes on by 10 ms: letters arrive, senders take turns ten times a second and spend whenever they may.
func (w *world) step() {
	w.now += step
	sort.SliceStable(w.air, func(i, j int) bool { return w.air[i].due < w.air[j].due })
	if w.apart != nil && w.now-w.apartAt >= 0 && w.now-w.apartAt < step {
		for i, s := range w.ss {
			s.View(s.clock(w.now), w.view(i))
		}
	}
	var later, due []flight
	for _, f := range w.air {
		if f.due > w.now || w.ss[f.to].paused > w.now {
			later = append(later, f)
		} else {
			due = append(due, f)
		}
	}
	w.air = later
	for _, f := range due {
		s := w.ss[f.to]
		now := s.clock(w.now)
		if w.fault == granterClock && f.m.Kind == Grant {
			f.m.Stamp = now - 1
		}
		w.post(f.to, s.Heard(now, w.names[f.from], f.m))
	}
	for i, s := range w.ss {
		if s.paused > w.now {
			continue
		}
		w.plant(s)
		now := s.clock(w.now)
		s.waiting = min(s.waiting+s.rate*step/1e6, 200)
		if (w.now/step+int64(i*7))%10 == 0 {
			s.Need(now, dst, s.rate, int(s.waiting))
			w.post(i, s.Tick(now))
		}
		w.spend(s, now)
	}
	w.judge()
}

// spend calls as often as the table allows; some save up for a while, which is the worst that a holder can do.
func (w *world) spend(s *sender, now int64) {
	if s.cached > 0 && w.fault == notAskedAgain {
		for ; s.cached > 0; s.cached-- {
			w.spends = append(w.spends, w.now)
		}
	}
	if w.saving && w.r.IntN(20) > 0 {
		return
	}
	for s.waiting >= 1 && s.Spend(now, dst) {
		s.waiting--
		w.spends = append(w.spends, w.now)
	}
}

// pause stops a sender, as SIGSTOP does.
func (w *world) pause(i int, d int64) {
	s := w.ss[i]
	s.paused = w.now + d
	if perSec, until := s.Share(s.clock(w.now), dst); w.fault == notAskedAgain {
		s.cached = int(perSec * float64(until-s.clock(w.now)) / 1e6)
	}
}

func (w *world) plant(s *sender) {
	if p := s.places[dst]; p != nil {
		w.fault.plant(p, s.clock(w.now))
	}
}

func (f fault) plant(p *place, now int64) {
	switch o := &p.seat; {
	case f == noWait && o.phase == waiting:
		o.from = 0
	case f == noMajority && o.phase == granting:
		for _, e := range p.electors {
			o.votes[e] = now + 1e9
		}
	case f == notCounted && o.phase == granting:
		for _, s := range o.seats {
			s.rateUntil, s.oldUntil = 0, 0
		}
	}
}

// judge looks at what all senders together may call: standing rates within the limit, single calls within what may be out, and at most one
// owner at a time.
func (w *world) judge() {
	rates, calls, doubts := w.sum()
	w.doubts = append(w.doubts, doubts)
	for len(w.spends) > w.from && w.spends[w.from] <= w.now-1_000_000 {
		w.from++
	}
	if n := len(w.spends) - w.from; float64(n) > w.most() && w.bad == "" {
		w.bad = fmt.Sprintf("at %d: %d calls in a second, %.1f allowed", w.now, n, w.most())
	}
	if over := rates - w.limit; over > 1e-6 && w.bad == "" {
		w.bad = fmt.Sprintf("at %d standing rates are %.3f over %.1f", w.now, over, w.limit)
	}
	if over := calls - aheadOf(w.limit); over > 1e-6 && w.bad == "" {
		w.bad = fmt.Sprintf("at %d single calls out are %.3f over", w.now, over)
	}
}

func (w *world) sum() (rates, calls float64, doubts int) {
	for _, s := range w.ss {
		p := s.places[dst]
		if p == nil {
			continue
		}
		switch h := &p.hold; {
		case h.until > s.clock(w.now):
			rates += h.rate
			calls += float64(h.given - h.done)
		case h.phase == doubting:
			doubts++
		}
	}
	return rates, calls, doubts
}

// worst is the greatest count of spends in any window of 1 s.
func worst(spends []int64) int {
	most, from := 0, 0
	for i, at := range spends {
		for spends[from] <= at-1_000_000 {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// most is what the bound allows in the last second: each sender in doubt has its own small rate, and one call saved up.
func (w *world) most() float64 {
	n := len(w.doubts)
	d := float64(slices.Max(w.doubts[max(0, n-1_100_000/step):]))
	return w.limit*(1+doubtShare*d/float64(len(w.ss))) + Burst(w.limit) + d*(1+depthTime)
}
