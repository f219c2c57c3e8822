package choice

import (
	"cmp"
	"math"
	"slices"
)

// Selection of the next queued message and of its receiver.

const (
	dstSlotShare      = 0.75        // of the slots; one destination stays strictly below (design)
	faultySlotShare   = 0.5         // of the slots; a failing or slow destination does not exceed it (design)
	slowStartExtra    = 0.25        // of a call; weight of each further message in a batched call to a cold receiver
	scarceSlots       = 0.85        // of the slots; with more in use, timeouts follow the response times
	timeoutVar        = 9           // deviations above the mean response time after which a leg is given up
	slowVar           = 4           // deviations above the mean after which a call counts as slow
	minAnswerTime     = second / 20 // µs; faster responses count as equally fast
	minReceiverWeight = 0.1         // minimum weight of a receiver that seems full, as it may have capacity after all
	idleConnWeight    = 4.0         // weight of a receiver with an idle connection
	classFailedWeight = 0.05        // weight of a receiver where the latest leg of the class failed
	crossZoneWeight   = 0.3         // weight of a receiver in another zone where crossing has a cost
	waitSurvival      = 0.4         // probability that a waiting message still goes; below late values, so that fresh messages go first
	maxLegTimeout     = 2           // target times; longest timeout of a leg
	batchWaitShare    = 0.2         // of the target time for which messages are collected for a batched call
	staleIdle         = second / 5  // µs without a call after which a connection counts as idle
	minClientPresence = 0.05        // probability that a client still waits after that age
)

// readyAt is when a receiver may get its next call; never if it waits for an event.
func (s *Sender) readyAt(r *receiver) int64 {
	r.route.use()
	r.route.trafficShare, r.route.lease = s.trafficShare(), r.dst.leaseOf()
	at := r.route.readyAt(s.now)
	if s.hangs(r) || r.route.refusals > 0 && len(r.dst.calls) > 0 {
		return never // hanging, or refusing: then one call at a time until a success
	}
	switch r.health {
	case closed:
		if s.caps.Probes || r.calls > 0 {
			return never
		}
		return max(at, r.route.nextProbeAt)
	case warming:
		if !r.proved && r.calls > 0 {
			return never
		}
		if s.now-r.since > s.rules.WarmUpTime {
			s.setHealth(r, open)
			break
		}
		if r.route.mayBeCold() { // the token bucket of the route covers all its receivers
			break
		}
		rate := s.slowStart(r)
		r.tokens = min(1, r.tokens+rate*float64(s.now-r.filledAt)/float64(second))
		r.filledAt = s.now
		if r.tokens < 1 {
			at = max(at, s.now+int64((1-r.tokens)/rate*float64(second))+1)
		}
	}
	return max(at, s.recoveryReadyAt(r))
}

// slotCap is how many slots a destination may use.
func (s *Sender) slotCap(d *dst) int {
	faulty := func(r *receiver) bool { return r.notOpen() || r.route.mayBeCold() }
	if len(d.calls) > 0 && d.calls[0].overdue(s.now) || slices.ContainsFunc(d.recvs, faulty) {
		return max(1, int(faultySlotShare*float64(s.limits.MaxCalls)))
	}
	return max(1, int(math.Ceil(dstSlotShare*float64(s.limits.MaxCalls)))-1)
}

func (s *Sender) scarce() bool { return float64(s.calls) > scarceSlots*float64(s.limits.MaxCalls) }

// dispatch sends the most urgent eligible message until none is eligible or no slot is free.
func (s *Sender) dispatch(ready []*dst) {
	var cands []candidate
	for _, d := range ready {
		if c := s.bestCandidate(d); c.m != nil {
			cands = append(cands, c)
		}
	}
	for len(cands) > 0 {
		if s.calls >= s.limits.MaxCalls {
			for _, c := range cands {
				c.m.dst.slotlessSince = cmp.Or(c.m.dst.slotlessSince, s.now)
				s.wake(c.m.dst)
			}
			return
		}
		slices.SortStableFunc(cands, func(a, b candidate) int { return cmp.Compare(b.urgent, a.urgent) })
		d := cands[0].m.dst
		s.call(cands[0].m)
		if cands[0] = s.bestCandidate(d); cands[0].m == nil {
			cands = cands[1:]
		}
	}
}

// usable lists the receivers that may get a call now and schedules a wake-up for the others.
func (s *Sender) usable(d *dst) (rs []*receiver) {
	for _, r := range d.recvs {
		if at := s.readyAt(r); at <= s.now {
			rs = append(rs, r)
		} else {
			s.wakeBy(d, at)
		}
	}
	return rs
}

func (s *Sender) bestCandidate(d *dst) candidate {
	if len(d.queued) == 0 || len(d.calls) >= s.slotCap(d) {
		return candidate{}
	}
	if at := s.batchReadyAt(d); at > s.now {
		s.wakeBy(d, at)
		return candidate{}
	}
	return s.mostUrgent(d, s.usable(d), s.calls >= s.limits.MaxCalls)
}

// batchReadyAt is when the messages queued for a destination with batched calls should go: at once if it is idle, else a while after the last
// call or when a batch is full. Batching saves rate limit and slots.
func (s *Sender) batchReadyAt(d *dst) int64 {
	if d.kind.Batch < 2 || len(d.queued) >= d.kind.Batch {
		return s.now
	}
	return d.lastCallAt + int64(batchWaitShare*float64(d.queued[0].class.Target))
}

// mostUrgent is the eligible message that loses most value by waiting one more target time, per time that its call occupies a slot. Serving by
// deadline instead would make everything behind a backlog late. any stops at the first eligible one, to tell that the destination waits for a
// slot.
func (s *Sender) mostUrgent(d *dst, rs []*receiver, any bool) (c candidate) {
	for i := 0; i < len(d.queued) && (c.m == nil || !any); i++ {
		m := d.queued[i]
		if !s.mayGo(m) || !slices.ContainsFunc(rs, func(r *receiver) bool { return s.eligible(m, r) }) {
			continue
		}
		if u := s.urgency(m); c.m == nil || u > c.urgent {
			c.m, c.urgent = m, u
		}
	}
	return c
}

func (s *Sender) mayGo(m *msg) bool {
	if m.notBefore > s.now {
		s.wakeBy(m.dst, m.notBefore)
		return false
	}
	return m.orderQueue == nil || m.orderQueue.msgs[0] == m
}

func (s *Sender) urgency(m *msg) float64 {
	mean, _ := s.answerTime(m.dst)
	took := max(int64(mean), minAnswerTime)
	at, halves := s.now+took, s.limits.ExponentialDecay
	loss := m.value(at, halves) - waitSurvival*m.value(at+m.class.Target, halves)
	if s.now < s.clientsLeaveUntil {
		loss *= max(minClientPresence, 1-float64(s.age(m))/max(1, s.clientPatience))
	}
	return loss / float64(took)
}

// call sends a message together with as many more for the same receiver as a batch takes.
func (s *Sender) call(m *msg) {
	d := m.dst
	r := s.pickReceiver(m, s.usable(d)).used()
	s.slotFreed(r)
	s.refresh(r)
	c := &call{r: r, sentAt: s.now, onIdle: s.hasIdle(r) && s.now-r.lastOutcomeAt > staleIdle}
	s.calls, r.calls = s.calls+1, r.calls+1
	d.calls, d.lastCallAt = append(d.calls, c), s.now
	s.updateBusy(d)
	r.route.tokens--
	r.tokens--
	r.route.spendRecovery(1)
	if r.health == closed {
		s.scheduleProbe(r, false)
	}
	s.noteColdCall(m.id, r, s.rateBound(r))
	s.send(m, c)
	for n := 1; n < d.kind.Batch; n++ {
		next := s.mostUrgent(d, []*receiver{r}, false)
		if next.m == nil {
			return
		}
		r.tokens -= slowStartExtra
		r.route.spendRecovery(slowStartExtra)
		s.send(next.m, c)
	}
}

func (s *Sender) send(m *msg, c *call) {
	c.open++
	c.msgs = append(c.msgs, m)
	m.legs = append(m.legs, leg{call: c})
	s.setState(m, out)
	s.host.Send(m.id, c.r.id, s.legTimeout(m, c.r))
}

// pickReceiver picks a receiver at random, weighted by its estimated free capacity and preferring one with an idle connection, as most calls of
// a low-traffic sender in a large fleet would otherwise open one. Classes are weighted separately: an endpoint may fail for one class while the
// others clear its score.
func (s *Sender) pickReceiver(m *msg, rs []*receiver) *receiver {
	var best *receiver
	sum := 0.0
	for _, r := range rs {
		if !s.eligible(m, r) {
			continue
		}
		odds := max(minReceiverWeight, float64(r.peakCalls+1-r.calls))
		if s.hasIdle(r) {
			odds *= idleConnWeight
		}
		if r.fails[m.class] {
			odds *= classFailedWeight
		}
		if r.zone != s.topology.Zone && s.topology.CrossZoneCost > 0 {
			odds *= crossZoneWeight
		}
		sum += odds
		if s.chance()*sum < odds { // selects each with probability odds/sum in the end
			best = r
		}
	}
	return best
}

// legTimeout is how long a leg is waited for. Abandoned legs keep running at the receiver, so it is long while slots are plenty. Calls lost in the
// network would fill the slots; then it follows the response times.
func (s *Sender) legTimeout(m *msg, r *receiver) int64 {
	p, lossy := maxLegTimeout*m.class.Target, s.weightOfSilence() < 1
	if mean, dev := s.answerTime(r.dst); lossy || r.dst.sampled && s.scarce() {
		least := m.class.Target
		if lossy {
			least /= 2
		}
		p = min(p, max(int64(mean+timeoutVar*dev), least))
	}
	return max(1, min(p, m.expires-answerMargin-s.now))
}

// candidate is an eligible queued message.
type candidate struct {
	m      *msg
	urgent float64
}

// overdue tells whether a call takes longer than its destination's response times make likely.
func (c *call) overdue(now int64) bool {
	return c.r.dst.sampled && float64(now-c.sentAt) > c.r.dst.slowAfter()
}

func (d *dst) slowAfter() float64 { return d.mean + slowVar*d.dev }

func (d *dst) recordAnswerTime(t float64) {
	if d.use(); !d.sampled {
		d.mean, d.dev, d.sampled = t, t/2, true
		return
	}
	d.dev += (math.Abs(t-d.mean) - d.dev) / 4
	d.mean += (t - d.mean) / 8
}

// answerTime is the mean response time; that of all destinations where this one has given none.
func (s *Sender) answerTime(d *dst) (mean, dev float64) {
	if !d.sampled {
		return s.mean, s.mean / 2
	}
	return d.mean, d.dev
}

// target is the shortest target time of all classes.
func (s *Sender) target() int64 {
	return slices.MinFunc(s.classes, func(a, b Class) int { return cmp.Compare(a.Target, b.Target) }).Target
}
