package shares

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"

	"ravenlink/internal/members"
	"ravenlink/internal/post"
)

// fault is an injected fault that check has to find.
type fault int

const (
	noFault               fault = iota
	noExpiryWait                // a new owner does not wait for the leases of the last one to expire
	leaseFromReceipt            // a lease runs from receipt of the grant, as if the granter's send time were by the holder's clock
	cachedShare                 // the share from before a pause is used after it
	voterForgets                // a restarted voter votes again at once
	grantsWithoutMajority       // an owner goes on granting without its voters
	grantsNotCounted            // an owner considers what it has granted as free again
)

const dst = "40001"

// sender is a table with its own clock, which runs fast or slow.
type sender struct {
	*Table
	name        string
	offset      int64
	drift       float64
	pausedUntil int64 // end of the pause
	rate        float64
	waiting     float64
	cached      int
	runID       uint64
}

func (s *sender) clock(now int64) int64 { return s.offset + int64(float64(now)*(1+s.drift/1e6)) }

type flight struct {
	due      int64
	from, to int
	m        Msg
}

// world is a fleet in virtual time on links that lose, delay, duplicate and cut.
type world struct {
	r           *rand.Rand
	t           Timing
	now         int64
	names       []string
	senders     []*sender
	inFlight    []flight
	cut         map[[2]int]bool
	loss        float64
	delay       int64
	limit       float64
	fault       fault
	saturated   bool           // all senders need the whole limit
	bursty      bool           // senders call only now and then, with all that they have saved up
	separated   func(int) bool // shown by the views from separatedAt on
	separatedAt int64
	callTimes   []int64
	windowStart int   // index of the first call of the last second
	fallbacks   []int // senders in fallback, at each step
	violation   string
	bytes       int
}

func newWorld(seed uint64, n int, limit float64, t Timing) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 1)), t: t, cut: map[[2]int]bool{}, delay: 20_000, limit: limit, now: 1_000_000}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("s%03d", i))
	}
	for i := range n {
		s := &sender{name: w.names[i], offset: w.r.Int64N(1e9), drift: (2*w.r.Float64() - 1) * float64(t.Drift), runID: 1}
		w.senders = append(w.senders, s)
		w.restart(i)
	}
	return w
}

func (w *world) restart(i int) {
	s := w.senders[i]
	s.Table = New(s.name, w.names, w.t)
	if w.fault == voterForgets {
		s.startedAt = 1
	}
	s.SetView(s.clock(w.now), w.view(i))
	s.SetLimit(s.clock(w.now), dst, w.limit, Reported)
}

// view shows every member as alive, as when links fail in ways that heartbeats do not reveal: the harder case for the bound.
func (w *world) view(i int) members.View {
	v := members.View{Self: w.names[i]}
	for j, n := range w.names {
		v.Members = append(v.Members, members.Member{Name: n, Incarnation: w.senders[min(j, len(w.senders)-1)].runID})
		if j == i {
			v.Members[j].Incarnation = w.senders[i].runID
		}
		if w.separated != nil && w.now >= w.separatedAt && w.separated(i) != w.separated(j) {
			v.Members[j].State = members.Suspect
		}
	}
	return v
}

func (w *world) post(from int, messages []post.PeerMessage[Msg]) {
	for _, m := range messages {
		to := sort.SearchStrings(w.names, m.To)
		if w.cut[[2]int{from, to}] || w.r.Float64() < w.loss {
			continue
		}
		copies := 1
		if w.r.Float64() < w.loss/2 {
			copies = 2
		}
		for range copies {
			w.inFlight = append(w.inFlight, flight{w.now + w.r.Int64N(w.delay+1), from, to, m.Msg})
		}
	}
}

const step = 10_000

// step advances time by 10 ms: messages arrive, senders tick ten times a second and call whenever they may.
func (w *world) step() {
	w.now += step
	sort.SliceStable(w.inFlight, func(i, j int) bool { return w.inFlight[i].due < w.inFlight[j].due })
	if w.separated != nil && w.now-w.separatedAt >= 0 && w.now-w.separatedAt < step {
		for i, s := range w.senders {
			s.SetView(s.clock(w.now), w.view(i))
		}
	}
	var later, due []flight
	for _, f := range w.inFlight {
		if f.due > w.now || w.senders[f.to].pausedUntil > w.now {
			later = append(later, f)
		} else {
			due = append(due, f)
		}
	}
	w.inFlight = later
	for _, f := range due {
		s := w.senders[f.to]
		now := s.clock(w.now)
		if w.fault == leaseFromReceipt && f.m.Kind == Grant {
			f.m.SentAt = now - 1
		}
		w.post(f.to, s.Receive(now, w.names[f.from], f.m))
	}
	for i, s := range w.senders {
		if s.pausedUntil > w.now {
			continue
		}
		w.inject(s)
		now := s.clock(w.now)
		s.waiting = min(s.waiting+s.rate*step/1e6, 200)
		if (w.now/step+int64(i*7))%10 == 0 {
			s.SetDemand(now, dst, s.rate, int(s.waiting))
			w.post(i, s.Tick(now))
		}
		w.makeCalls(s, now)
	}
	w.check()
}

// makeCalls makes as many calls as the table allows. Bursty senders save up first, which is the worst that a holder can do.
func (w *world) makeCalls(s *sender, now int64) {
	if s.cached > 0 && w.fault == cachedShare {
		for ; s.cached > 0; s.cached-- {
			w.callTimes = append(w.callTimes, w.now)
		}
	}
	if w.bursty && w.r.IntN(20) > 0 {
		return
	}
	for s.waiting >= 1 && s.Allow(now, dst) {
		s.waiting--
		w.callTimes = append(w.callTimes, w.now)
	}
}

// pause stops a sender, as SIGSTOP does.
func (w *world) pause(i int, d int64) {
	s := w.senders[i]
	s.pausedUntil = w.now + d
	if perSec, until := s.Share(s.clock(w.now), dst); w.fault == cachedShare {
		s.cached = int(perSec * float64(until-s.clock(w.now)) / 1e6)
	}
}

func (w *world) inject(s *sender) {
	if p := s.destinations[dst]; p != nil {
		w.fault.inject(p, s.clock(w.now))
	}
}

func (f fault) inject(d *destination, now int64) {
	switch o := &d.owner; {
	case f == noExpiryWait && o.phase == awaitingExpiry:
		o.grantFrom = 0
	case f == grantsWithoutMajority && o.phase == granting:
		for _, e := range d.voters {
			o.votes[e] = now + 1e9
		}
	case f == grantsNotCounted && o.phase == granting:
		for _, s := range o.holders {
			s.rateUntil, s.oldRateUntil = 0, 0
		}
	}
}

// check verifies the total that all senders may call: standing rates within the limit, single calls within the outstanding maximum, and
// calls in the last second within the bound. Two owners at a time would exceed them.
func (w *world) check() {
	rates, calls, fallbacks := w.sum()
	w.fallbacks = append(w.fallbacks, fallbacks)
	for len(w.callTimes) > w.windowStart && w.callTimes[w.windowStart] <= w.now-1_000_000 {
		w.windowStart++
	}
	if n := len(w.callTimes) - w.windowStart; float64(n) > w.maxCalls() && w.violation == "" {
		w.violation = fmt.Sprintf("at %d: %d calls in a second, %.1f allowed", w.now, n, w.maxCalls())
	}
	if over := rates - w.limit; over > 1e-6 && w.violation == "" {
		w.violation = fmt.Sprintf("at %d: standing rates exceed the limit by %.3f of %.1f", w.now, over, w.limit)
	}
	if over := calls - maxOutstanding(w.limit); over > 1e-6 && w.violation == "" {
		w.violation = fmt.Sprintf("at %d: outstanding single calls exceed the maximum by %.3f", w.now, over)
	}
}

func (w *world) sum() (rates, calls float64, fallbacks int) {
	for _, s := range w.senders {
		p := s.destinations[dst]
		if p == nil {
			continue
		}
		switch h := &p.lease; {
		case h.expiresAt > s.clock(w.now):
			rates += h.rate
			calls += float64(h.granted - h.used)
		case h.stage == fallback:
			fallbacks++
		}
	}
	return rates, calls, fallbacks
}

// maxInOneSecond returns the greatest number of calls in any window of 1 s.
func maxInOneSecond(spends []int64) int {
	most, from := 0, 0
	for i, at := range spends {
		for spends[from] <= at-1_000_000 {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// maxCalls is the bound for the last second: each sender in fallback has its own small rate and one saved call.
func (w *world) maxCalls() float64 {
	n := len(w.fallbacks)
	d := float64(slices.Max(w.fallbacks[max(0, n-1_100_000/step):]))
	return w.limit*(1+fallbackShare*d/float64(len(w.senders))) + Burst(w.limit) + d*(1+burstTime)
}
