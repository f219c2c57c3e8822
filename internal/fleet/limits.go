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
	shardCount         = 8         // of the table of shares, by destination
	resendInterval     = 1_000_000 // µs after which an unchanged share is reported again: the module forgets a destination that is not listed
	minShareChange     = 0.05      // a smaller relative change of a share is not reported
	demandTimeConstant = 1_000_000 // µs, time constant of the smoothed arrival rate
	minDemand          = 0.01      // messages per second; below it a destination is forgotten here
	maxDemandsPerShard = 4096      // destinations per shard whose messages are counted
	minHold            = 40_000    // µs for which a destination is held back after its gate denied a call: two ticks
	maxHold            = 1_000_000
	smallShare         = 6          // calls per second; a smaller share consists of single calls, lent to go at once, or of a sender's own in doubt
	smallShareReported = smallShare // reported to the module instead of a small share: the gate paces those, and at this rate the module releases one at a time
)

// limits manages this sender's shares of destinations' limits and reports them to the module.
type limits struct {
	r        *Runtime
	declared map[int64]float64
	shards   [shardCount]*shard
}

// shard is the part of the table for a subset of the destinations.
type shard struct {
	l        *limits
	key      uint64
	mu       *ranked.Mutex
	table    *shares.Table
	tickedAt int64             // time of the latest tick
	demands  map[int64]*demand // entries are deleted when messages end and rates decay
	active   []*demand         // the demands that the next tick examines; removed when deactivated or forgotten
	idle     expiryHeap        // inactive demands without waiting messages, by expiry; one that is activated leaves the heap
}

// demand is this sender's demand for a destination.
type demand struct {
	dst       int64
	name      string  // of the destination, as in the table
	waiting   int     // held messages without a leg in flight
	reported  int     // value of waiting last passed to the table
	arrivals  int     // since the latest tick
	perSec    float64 // smoothed rate, as of updatedAt
	updatedAt int64   // µs
	expiresAt int64   // when the rate of an inactive demand falls below minDemand, µs
	heapIndex int     // index in the expiry heap, or indexActive or indexWaiting
}

// Heap indexes of demands outside the heap: either the next tick examines it, or it is inactive and only an event
// changes it.
const (
	indexActive  = -1
	indexWaiting = -2
)

// expiryHeap holds at most maxDemandsPerShard inactive demands without waiting messages, the earliest expiry first.
type expiryHeap []*demand

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a demand, for container/heap.
func (h *expiryHeap) Push(x any) {
	d := x.(*demand)
	d.heapIndex = len(*h)
	*h = append(*h, d)
}

// Pop removes the last demand, for container/heap.
func (h *expiryHeap) Pop() any {
	i := len(*h) - 1
	d := (*h)[i]
	(*h)[i] = nil
	*h = (*h)[:i]
	return d
}

// activate makes the next tick examine a destination, if there is demand for it. Whatever may change its share or
// demand must call it: an inactive demand gets no new share reported.
func (s *shard) activate(dst int64) {
	if d := s.demands[dst]; d != nil && d.heapIndex != indexActive {
		if d.heapIndex >= 0 {
			heap.Remove(&s.idle, d.heapIndex)
		}
		d.heapIndex = indexActive
		s.active = append(s.active, d)
	}
}

// deactivate removes demands from the active list that the tick has just examined and that have no known limit: their
// share is infinite, and the module has no lease for them. The rate of an inactive demand decays without ticks. The table keeps the rate it
// was last given, which may be higher than the decayed one, but is as far below a steady rate.
func (s *shard) deactivate(now int64, noLease func(dst int64) bool) {
	s.active = slices.DeleteFunc(s.active, func(d *demand) bool {
		switch {
		case s.demands[d.dst] != d:
			return true // forgotten
		case d.arrivals > 0 || d.waiting != d.reported || !s.table.Unlimited(d.name) || !noLease(d.dst):
			return false
		case d.waiting > 0:
			d.heapIndex = indexWaiting
			return true
		}
		d.expiresAt = now + max(1, int64(demandTimeConstant*math.Log(d.perSec/minDemand)))
		heap.Push(&s.idle, d)
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
		l.shards[i] = &shard{l: l, key: Key(name), mu: ranked.New(ranked.Shares, name), demands: map[int64]*demand{},
			table: shares.New(r.table.Self, r.table.MemberNames(), timing(r.table))}
	}
	return l
}

// timing takes lease, heartbeat and drift from the table and scales the other times with them.
func timing(t Table) shares.Timing {
	u := shares.DefaultTiming()
	lease := int64(t.Limits.Lease)
	m := withHeartbeat(members.DefaultTiming(len(t.Peers)+1), int64(t.HeartbeatInterval))
	return shares.Timing{Lease: lease, Vote: lease * u.Vote / u.Lease, Renew: lease * u.Renew / u.Lease,
		Detect: m.SuspectAfter + 2*m.HeartbeatInterval, Drift: int64(t.DriftPPM)}
}

func destinationName(dst int64) string { return strconv.FormatInt(dst, 10) }

func (l *limits) shard(dst string) *shard { return l.shards[Key(dst)%shardCount] }

func (l *limits) Kind() links.Kind { return links.Shares }

func (l *limits) Receive(from string, f links.Frame) error {
	m, err := decode[shares.Msg](f.Body)
	if err != nil {
		return err
	}
	s := l.shard(m.Dst)
	l.r.pool.Submit(s.key, func() {
		s.update(func(now int64) []post.PeerMessage[shares.Msg] {
			if dst, err := strconv.ParseInt(m.Dst, 10, 64); err == nil && m.Limit > 0 {
				s.activate(dst)
			}
			return s.table.Receive(now, from, m)
		})
	})
	return nil
}

func (l *limits) Tick() {
	for _, s := range l.shards {
		l.r.pool.Submit(s.key, s.tick)
	}
}

func (s *shard) update(event func(now int64) []post.PeerMessage[shares.Msg]) {
	s.mu.Lock()
	messages := event(s.l.r.now())
	s.mu.Unlock()
	send(s.l.r, links.Shares, messages)
}

// tick advances time and reports the current shares to the module. It examines only destinations that an event or the
// time may have changed.
func (s *shard) tick() {
	type share struct {
		dst    int64
		perSec float64
	}
	var updates []share
	var forgotten []int64
	s.update(func(now int64) []post.PeerMessage[shares.Msg] {
		forgotten = s.updateDemands(now)
		messages := s.table.Tick(now)
		for _, d := range s.active {
			if s.demands[d.dst] == d {
				perSec, _ := s.table.Share(now, d.name)
				updates = append(updates, share{d.dst, perSec})
			}
		}
		return messages
	})
	for _, dst := range forgotten {
		s.l.r.clearShare(dst)
	}
	for _, x := range updates {
		s.l.r.reportShare(x.dst, x.perSec)
	}
	s.mu.Lock()
	s.deactivate(s.tickedAt, s.l.r.hasNoLease)
	s.mu.Unlock()
}

// updateDemands passes the demands to the table, and forgets those that have decayed.
func (s *shard) updateDemands(now int64) (forgotten []int64) {
	previous := s.tickedAt
	span := now - previous
	s.tickedAt = now
	for len(s.idle) > 0 && s.idle[0].expiresAt <= now {
		s.activate(s.idle[0].dst)
	}
	for _, d := range s.active {
		if d.updatedAt < previous { // it was inactive
			d.perSec *= math.Exp(-float64(previous-d.updatedAt) / demandTimeConstant)
		}
		if span > 0 {
			weight := 1 - math.Exp(-float64(span)/demandTimeConstant)
			d.perSec += (float64(d.arrivals)*1e6/float64(span) - d.perSec) * weight
			d.arrivals = 0
		}
		d.updatedAt = now
		s.declare(now, d.dst)
		s.table.SetDemand(now, d.name, d.perSec, d.waiting)
		d.reported = d.waiting
		if d.waiting == 0 && d.perSec < minDemand {
			s.table.SetDemand(now, d.name, 0, 0)
			delete(s.demands, d.dst)
			forgotten = append(forgotten, d.dst)
		}
	}
	return forgotten
}

// declare sets the limit that the operator configured; the table forgets it when there are no calls for long.
func (s *shard) declare(now int64, dst int64) {
	if perSec, known := s.l.declared[dst]; known {
		s.table.SetLimit(now, destinationName(dst), perSec, shares.Declared)
	}
}

// allow takes a call off the share. It never waits for a link: the mutex is held only for operations on the table.
func (l *limits) allow(dst int64) bool {
	s := l.shard(destinationName(dst))
	s.mu.Lock()
	now := l.r.now()
	s.declare(now, dst)
	allowed := s.table.Allow(now, destinationName(dst))
	s.mu.Unlock()
	if allowed {
		l.r.metrics.allowed.Inc()
	}
	return allowed
}

// countMessages changes the number of waiting messages by delta (1 or -1); arrived says that a message is new.
func (l *limits) countMessages(dst int64, delta int, arrived bool) {
	s := l.shard(destinationName(dst))
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.demands[dst]
	if d == nil {
		if delta < 0 || len(s.demands) >= maxDemandsPerShard {
			return
		}
		d = &demand{dst: dst, name: destinationName(dst), updatedAt: s.tickedAt, heapIndex: indexActive}
		s.demands[dst] = d
		s.active = append(s.active, d)
	}
	s.activate(dst)
	if d.waiting = max(0, d.waiting+delta); arrived {
		d.arrivals++
	}
}

// recordRefusal records that a destination rejected a call.
func (l *limits) recordRefusal(dst int64) {
	s := l.shard(destinationName(dst))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordRefusal(l.r.now(), destinationName(dst))
}

// activate makes the next tick examine a destination. The caller must hold no mutex.
func (l *limits) activate(dst int64) {
	s := l.shard(destinationName(dst))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activate(dst)
}

// recordLimit records a limit that a destination reported.
func (l *limits) recordLimit(v routing.Observation) {
	if v.Kind != routing.ObservedLimit {
		return
	}
	s := l.shard(destinationName(v.Dst))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetLimit(l.r.now(), destinationName(v.Dst), v.PerSec, shares.Reported)
	s.activate(v.Dst)
}

func (l *limits) UpdateMembers(now int64, v members.View) {
	floor := 0.0
	for _, s := range l.shards {
		s.mu.Lock()
		s.table.SetView(now, v)
		floor = s.table.RetryFloor(0)
		s.mu.Unlock()
	}
	l.r.module.SetRetryFloor(floor)
}

// Leave returns what was lent.
func (l *limits) Leave(int64) {
	for _, s := range l.shards {
		s.update(func(now int64) []post.PeerMessage[shares.Msg] {
			for dst := range s.demands {
				s.table.SetDemand(now, destinationName(dst), 0, 0)
			}
			return s.table.Tick(now)
		})
	}
}

// leaseState holds the leases last reported to the module.
type leaseState struct {
	mu       sync.Mutex // no other mutex is locked under it: the module is called after it is unlocked
	reported map[int64]reportedLease
	shares   map[int64]float64 // the actual shares
	held     map[int64]hold    // destinations held back by the gate; deleted at the first tick after their time
}

// hold says until when a destination is held back, unless its share grows meanwhile.
type hold struct {
	until int64
	share float64
}

type reportedLease struct {
	perSec float64
	at     int64
}

// hasNoLease reports whether the module has no lease for this destination, because none was reported or it was cleared.
// There is nothing to update then.
func (r *Runtime) hasNoLease(dst int64) bool {
	r.leases.mu.Lock()
	defer r.leases.mu.Unlock()
	_, held := r.leases.held[dst]
	_, known := r.leases.reported[dst]
	return !held && !known
}

// reportShare reports a changed share to the module; an infinite one means no limit.
func (r *Runtime) reportShare(dst int64, perSec float64) {
	if math.IsInf(perSec, 1) {
		perSec = -1
	}
	now := r.now()
	r.leases.mu.Lock()
	if h, held := r.leases.held[dst]; held && now < h.until && perSec <= h.share {
		r.leases.mu.Unlock()
		return
	}
	delete(r.leases.held, dst)
	r.leases.shares[dst] = perSec
	if perSec > 0 && perSec < smallShare {
		perSec = smallShareReported
	}
	last, known := r.leases.reported[dst]
	changed := !known && perSec >= 0 || known && (last.perSec == 0) != (perSec == 0) || known && math.Abs(last.perSec-perSec) > minShareChange*last.perSec ||
		known && now-last.at > resendInterval
	if changed {
		r.leases.reported[dst] = reportedLease{perSec, now}
	}
	r.leases.mu.Unlock()
	if changed {
		r.module.SetLease(dst, perSec)
	}
}

// holdBack makes the module wait with a destination whose gate denied a call, for at least minWait: a denied call costs
// the module nothing, so it would retry at once.
func (r *Runtime) holdBack(dst, minWait int64) {
	now := r.now()
	r.leases.mu.Lock()
	h, held := r.leases.held[dst]
	first := !held || now >= h.until
	fits := held || len(r.leases.held) < maxDemandsPerShard
	if fits {
		share := r.leases.shares[dst]
		wait := minWait
		if share > 0 && share < smallShare {
			wait = min(max(int64(1e6/share), minWait), maxHold)
		}
		r.leases.held[dst] = hold{max(h.until, now+wait), share}
		r.leases.reported[dst] = reportedLease{0, now}
	}
	r.leases.mu.Unlock()
	if r.limits != nil {
		r.limits.activate(dst) // only after it is held: otherwise its tick might deactivate it in between, and it would be held back forever
	}
	if first && fits {
		r.module.SetLease(dst, 0)
	}
}

// endHold makes the next tick report the share to the module again.
func (r *Runtime) endHold(dst int64) {
	r.leases.mu.Lock()
	defer r.leases.mu.Unlock()
	if h, held := r.leases.held[dst]; held {
		r.leases.held[dst] = hold{0, h.share}
	}
}

// clearShare forgets a destination without demand.
func (r *Runtime) clearShare(dst int64) {
	r.leases.mu.Lock()
	_, known := r.leases.reported[dst]
	delete(r.leases.reported, dst)
	delete(r.leases.shares, dst)
	delete(r.leases.held, dst)
	r.leases.mu.Unlock()
	if known {
		r.module.SetLease(dst, -1)
	}
}
