package fleet

import (
	"container/heap"
	"math"
	"slices"
	"strconv"
	"sync"

	"ravenlink/internal/links"
	"ravenlink/internal/members"
	"ravenlink/internal/post"
	"ravenlink/internal/ranked"
	"ravenlink/internal/routing"
	"ravenlink/internal/shares"
)

const (
	shards     = 8         // of the table of shares, by destination
	retell     = 1_000_000 // µs after which an unchanged share is told again: the module forgets a destination that is not listed
	shareNews  = 0.05      // a lesser change of a share is not told
	needSpan   = 1_000_000 // µs over which arrivals are smoothed
	needLeast  = 0.01      // messages a second; below it a destination is forgotten here
	mostDemand = 4096      // destinations of one shard that messages are counted for
	holdLeast  = 40_000    // µs for which a destination is held back after its gate was shut: two ticks
	holdMost   = 1_000_000
	fewShare   = 6        // calls a second; a lesser share is single calls, lent to go at once, or a sender's own in doubt
	fewTold    = fewShare // what the module is told of those: the gate is their pace, and at this rate the module lets one go at a time
)

// limits has this sender's shares of destinations' limits, and tells the module of them.
type limits struct {
	r        *Runtime
	declared map[int64]float64
	shards   [shards]*shard
}

// shard is the part of the table that has some of the destinations.
type shard struct {
	l     *limits
	key   uint64
	mu    *ranked.Mutex
	table *shares.Table
	at    int64             // of the latest tick
	needs map[int64]*demand // emptied as messages end and rates fade
	awake []*demand         // those of needs that the next tick looks at; emptied as they rest or are forgotten
	fades fadeHeap          // those that rest and that nothing waits for, by when they are forgotten; one that is woken leaves it
}

// demand is what this sender wants of a destination.
type demand struct {
	dst     int64
	name    string  // of the destination, as the table has it
	waiting int     // messages held that are not under way
	told    int     // those that the table was told of last
	came    int     // since the latest tick
	perSec  float64 // smoothed, as of at
	at      int64   // µs
	fade    int64   // when a resting one is less than needLeast, µs
	slot    int     // in the heap of those that fade, or awake or still
}

// The slots of a demand that is not in the heap: the next tick looks at it, or it rests and only an event changes it.
const (
	awake = -1
	still = -2
)

// fadeHeap has the demands that rest and for which nothing waits, the first to be forgotten first. It is bounded by mostDemand.
type fadeHeap []*demand

func (h fadeHeap) Len() int           { return len(h) }
func (h fadeHeap) Less(i, j int) bool { return h[i].fade < h[j].fade }
func (h fadeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].slot, h[j].slot = i, j
}

// Push puts a demand at the end, for container/heap.
func (h *fadeHeap) Push(x any) {
	d := x.(*demand)
	d.slot = len(*h)
	*h = append(*h, d)
}

// Pop takes the last demand away, for container/heap.
func (h *fadeHeap) Pop() any {
	i := len(*h) - 1
	d := (*h)[i]
	(*h)[i] = nil
	*h = (*h)[:i]
	return d
}

// wake has the next tick look at a destination, if anything is wanted there. Whatever may change its share or its need has to wake it: one
// that rests on is told no share.
func (s *shard) wake(dst int64) {
	if d := s.needs[dst]; d != nil && d.slot != awake {
		if d.slot >= 0 {
			heap.Remove(&s.fades, d.slot)
		}
		d.slot = awake
		s.awake = append(s.awake, d)
	}
}

// rest lets those rest that the tick has just looked at and for which no limit is known: their share is infinite, and was told. While one
// rests its need fades by itself; the table keeps the one told last, which may be greater but is as much below a standing rate.
func (s *shard) rest(now int64, settled func(dst int64) bool) {
	s.awake = slices.DeleteFunc(s.awake, func(d *demand) bool {
		switch {
		case s.needs[d.dst] != d:
			return true // forgotten
		case d.came > 0 || d.waiting != d.told || !s.table.Unlimited(d.name) || !settled(d.dst):
			return false
		case d.waiting > 0:
			d.slot = still
			return true
		}
		d.fade = now + max(1, int64(needSpan*math.Log(d.perSec/needLeast)))
		heap.Push(&s.fades, d)
		return true
	})
}

func newLimits(r *Runtime) *limits {
	l := &limits{r: r, declared: map[int64]float64{}}
	for _, d := range r.table.Limits.Declared {
		l.declared[d.Dst] = d.PerSec
	}
	for i := range l.shards {
		name := "shares " + strconv.Itoa(i)
		l.shards[i] = &shard{l: l, key: Key(name), mu: ranked.New(ranked.Shares, name), needs: map[int64]*demand{},
			table: shares.New(r.table.Self, r.table.Listed(), timing(r.table))}
	}
	return l
}

// timing takes lease, beat and drift from the table; the rest goes along.
func timing(t Table) shares.Timing {
	u := shares.Usual()
	lease := int64(t.Limits.Lease)
	m := paced(members.Usual(len(t.Peers)+1), int64(t.Beat))
	return shares.Timing{Lease: lease, Vote: lease * u.Vote / u.Lease, Renew: lease * u.Renew / u.Lease,
		Detect: m.Doubt + 2*m.Beat, Drift: int64(t.DriftPPM)}
}

func name(dst int64) string { return strconv.FormatInt(dst, 10) }

func (l *limits) shard(dst string) *shard { return l.shards[Key(dst)%shards] }

func (l *limits) Kind() links.Kind { return links.Shares }

func (l *limits) Hear(from string, f links.Frame) error {
	m, err := decode[shares.Msg](f.Body)
	if err != nil {
		return err
	}
	s := l.shard(m.Dst)
	l.r.pool.Do(s.key, func() {
		s.turn(func(now int64) []post.Letter[shares.Msg] {
			if dst, err := strconv.ParseInt(m.Dst, 10, 64); err == nil && m.Limit > 0 {
				s.wake(dst)
			}
			return s.table.Heard(now, from, m)
		})
	})
	return nil
}

func (l *limits) Tick() {
	for _, s := range l.shards {
		l.r.pool.Do(s.key, s.tick)
	}
}

func (s *shard) turn(event func(now int64) []post.Letter[shares.Msg]) {
	s.mu.Lock()
	letters := event(s.l.r.now())
	s.mu.Unlock()
	send(s.l.r, links.Shares, letters)
}

// tick lets time pass and tells the module what its shares are now. It looks only at destinations that an event or time may have changed.
func (s *shard) tick() {
	type share struct {
		dst    int64
		perSec float64
	}
	var tell []share
	var gone []int64
	s.turn(func(now int64) []post.Letter[shares.Msg] {
		gone = s.need(now)
		letters := s.table.Tick(now)
		for _, d := range s.awake {
			if s.needs[d.dst] == d {
				perSec, _ := s.table.Share(now, d.name)
				tell = append(tell, share{d.dst, perSec})
			}
		}
		return letters
	})
	for _, dst := range gone {
		s.l.r.unshare(dst)
	}
	for _, x := range tell {
		s.l.r.share(x.dst, x.perSec)
	}
	s.mu.Lock()
	s.rest(s.at, s.l.r.settled)
	s.mu.Unlock()
}

// need tells the table what is wanted, and forgets what is no more.
func (s *shard) need(now int64) (gone []int64) {
	was := s.at
	span := now - was
	s.at = now
	for len(s.fades) > 0 && s.fades[0].fade <= now {
		s.wake(s.fades[0].dst)
	}
	for _, d := range s.awake {
		if d.at < was { // it rested
			d.perSec *= math.Exp(-float64(was-d.at) / needSpan)
		}
		if span > 0 {
			part := 1 - math.Exp(-float64(span)/needSpan)
			d.perSec += (float64(d.came)*1e6/float64(span) - d.perSec) * part
			d.came = 0
		}
		d.at = now
		s.declare(now, d.dst)
		s.table.Need(now, d.name, d.perSec, d.waiting)
		d.told = d.waiting
		if d.waiting == 0 && d.perSec < needLeast {
			s.table.Need(now, d.name, 0, 0)
			delete(s.needs, d.dst)
			gone = append(gone, d.dst)
		}
	}
	return gone
}

// declare says what the operator knows, which the table forgets when nobody calls for long.
func (s *shard) declare(now int64, dst int64) {
	if perSec, known := s.l.declared[dst]; known {
		s.table.Limit(now, name(dst), perSec, shares.Declared)
	}
}

// spend takes a call off the share. It waits for no link: the lock is held for turns of the table alone.
func (l *limits) spend(dst int64) bool {
	s := l.shard(name(dst))
	s.mu.Lock()
	now := l.r.now()
	s.declare(now, dst)
	may := s.table.Spend(now, name(dst))
	s.mu.Unlock()
	if may {
		l.r.counts.spent.Inc()
	}
	return may
}

// count takes in that a message waits (1) or no longer does (-1); new says that it has just come.
func (l *limits) count(dst int64, by int, new bool) {
	s := l.shard(name(dst))
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.needs[dst]
	if d == nil {
		if by < 0 || len(s.needs) >= mostDemand {
			return
		}
		d = &demand{dst: dst, name: name(dst), at: s.at, slot: awake}
		s.needs[dst] = d
		s.awake = append(s.awake, d)
	}
	s.wake(dst)
	if d.waiting = max(0, d.waiting+by); new {
		d.came++
	}
}

// refused takes in that a destination turned a call away.
func (l *limits) refused(dst int64) {
	s := l.shard(name(dst))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Refused(l.r.now(), name(dst))
}

// wake has the next tick look at a destination; no lock may be held.
func (l *limits) wake(dst int64) {
	s := l.shard(name(dst))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(dst)
}

// saw takes in a limit that a destination told.
func (l *limits) saw(v routing.Sight) {
	if v.Kind != routing.SeenLimit {
		return
	}
	s := l.shard(name(v.Dst))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Limit(l.r.now(), name(v.Dst), v.PerSec, shares.Told)
	s.wake(v.Dst)
}

func (l *limits) Seen(now int64, v members.View) {
	floor := 0.0
	for _, s := range l.shards {
		s.mu.Lock()
		s.table.View(now, v)
		floor = s.table.Floor(0)
		s.mu.Unlock()
	}
	l.r.module.Floor(floor)
}

// Leave gives back what was lent.
func (l *limits) Leave(int64) {
	for _, s := range l.shards {
		s.turn(func(now int64) []post.Letter[shares.Msg] {
			for dst := range s.needs {
				s.table.Need(now, name(dst), 0, 0)
			}
			return s.table.Tick(now)
		})
	}
}

// told is what the module was last told of its shares.
type told struct {
	mu   sync.Mutex // a leaf: the module is told after it is let go
	of   map[int64]said
	is   map[int64]float64  // the shares themselves
	held map[int64]heldBack // destinations whose gate was shut; emptied at the next tick that finds it past
}

// heldBack says until when a destination waits, unless its share becomes greater than it was.
type heldBack struct {
	until int64
	share float64
}

type said struct {
	perSec float64
	at     int64
}

// settled tells that the module was never told a share of this destination, or was told that it has none: it is not to be told again.
func (r *Runtime) settled(dst int64) bool {
	r.told.mu.Lock()
	defer r.told.mu.Unlock()
	_, held := r.told.held[dst]
	_, known := r.told.of[dst]
	return !held && !known
}

// share tells the module a share if it is news; an infinite one is none.
func (r *Runtime) share(dst int64, perSec float64) {
	if math.IsInf(perSec, 1) {
		perSec = -1
	}
	now := r.now()
	r.told.mu.Lock()
	if h, held := r.told.held[dst]; held && now < h.until && perSec <= h.share {
		r.told.mu.Unlock()
		return
	}
	delete(r.told.held, dst)
	r.told.is[dst] = perSec
	if perSec > 0 && perSec < fewShare {
		perSec = fewTold
	}
	was, known := r.told.of[dst]
	news := !known && perSec >= 0 || known && (was.perSec == 0) != (perSec == 0) || known && math.Abs(was.perSec-perSec) > shareNews*was.perSec ||
		known && now-was.at > retell
	if news {
		r.told.of[dst] = said{perSec, now}
	}
	r.told.mu.Unlock()
	if news {
		r.module.Shared(dst, perSec)
	}
}

// hold has the module wait with a destination whose gate was shut, at least so long: a call that is not let go costs it nothing, so it would
// come again at once.
func (r *Runtime) hold(dst, least int64) {
	now := r.now()
	r.told.mu.Lock()
	h, held := r.told.held[dst]
	first := !held || now >= h.until
	room := held || len(r.told.held) < mostDemand
	if room {
		is := r.told.is[dst]
		wait := least
		if is > 0 && is < fewShare {
			wait = min(max(int64(1e6/is), least), holdMost)
		}
		r.told.held[dst] = heldBack{max(h.until, now+wait), is}
		r.told.of[dst] = said{0, now}
	}
	r.told.mu.Unlock()
	if r.limits != nil {
		r.limits.wake(dst) // after it is held: else its tick might let it rest in between, and it would be held back for good
	}
	if first && room {
		r.module.Shared(dst, 0)
	}
}

// unhold lets the next tick tell the module its share again.
func (r *Runtime) unhold(dst int64) {
	r.told.mu.Lock()
	defer r.told.mu.Unlock()
	if h, held := r.told.held[dst]; held {
		r.told.held[dst] = heldBack{0, h.share}
	}
}

// unshare forgets a destination for which nothing waits.
func (r *Runtime) unshare(dst int64) {
	r.told.mu.Lock()
	_, known := r.told.of[dst]
	delete(r.told.of, dst)
	delete(r.told.is, dst)
	delete(r.told.held, dst)
	r.told.mu.Unlock()
	if known {
		r.module.Shared(dst, -1)
	}
}
