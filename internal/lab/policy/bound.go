package policy

import (
	"slices"

	"ravenlink/choice"
)

const (
	boundInterval      = second / 100 // µs between checks of the true state while messages are queued
	boundTimeoutFactor = 6            // timeout of a leg, as a multiple of the receiver's service time
	boundMaxScan       = 200          // queued messages of a destination considered for each leg; later ones wait
)

// bound knows the true state of every receiver and sends only calls that start without waiting. No real sender could do so.
// Nor is it a proven upper bound: it decides greedily, one sender after another.
type bound struct {
	Config
	now       int64
	byID      map[string]*boundMessage // removed when they have ended and their legs are settled
	dsts      map[int64]*boundDst
	dstOrder  []*boundDst
	receivers map[uint32]*receiver
	keyQueues map[string]*boundKeyQueue // one per key; never removed
	inFlight  int
	timerSet  bool
}

type boundMessage struct {
	message
	dst      *boundDst
	keyQueue *boundKeyQueue
}

type boundDst struct {
	perReceiver bool
	receivers   []*receiver
	queued      []*boundMessage
	retryAt     int64
}

type boundKeyQueue struct {
	messages   []*boundMessage
	quietUntil int64
}

func newBound(c Config) Policy {
	return &bound{Config: c, byID: map[string]*boundMessage{}, dsts: map[int64]*boundDst{}, receivers: map[uint32]*receiver{},
		keyQueues: map[string]*boundKeyQueue{}}
}

func (b *bound) SetTime(now int64)                                   { b.now = now }
func (b *bound) ReceiveNote(string)                                  {}
func (b *bound) ProbeEnded(uint32, choice.Outcome, choice.RateLimit) {}
func (b *bound) TimerFired(uint64)                                   { b.timerSet = false }

func (b *bound) UpdateList(kind choice.ListKind, entries []choice.Entry) {
	if kind == choice.LookupFailed {
		return
	}
	if kind != choice.Delta {
		for _, d := range b.dstOrder {
			d.receivers = nil
		}
	}
	for _, e := range entries {
		d := b.dsts[e.Dst]
		if d == nil {
			d = &boundDst{}
			b.dsts[e.Dst] = d
			b.dstOrder = append(b.dstOrder, d)
		}
		d.perReceiver = e.Kind >= 0 && b.Kinds[e.Kind].PerReceiver
		r := b.receivers[e.Receiver]
		if r == nil {
			r = &receiver{id: e.Receiver, zone: e.Zone}
			b.receivers[e.Receiver] = r
		}
		d.receivers = slices.DeleteFunc(d.receivers, func(o *receiver) bool { return o == r })
		if e.Listed {
			d.receivers = append(d.receivers, r)
		}
	}
}

func (b *bound) Accept(id string, class int, key string, dstID, expires int64, _ ...choice.PastLeg) {
	d := b.dsts[dstID]
	if d == nil {
		b.Host.Reject(id, 0)
		return
	}
	m := &boundMessage{message: message{id: id, class: &b.Classes[class], expires: expires}, dst: d}
	b.byID[id] = m
	d.queued = append(d.queued, m)
	if m.class.Ordered && key != "" {
		if m.keyQueue = b.keyQueues[key]; m.keyQueue == nil {
			m.keyQueue = &boundKeyQueue{}
			b.keyQueues[key] = m.keyQueue
		}
		m.keyQueue.messages = append(m.keyQueue.messages, m)
	}
}

func (b *bound) Withdraw(id string) {
	if m := b.byID[id]; m != nil {
		b.remove(m)
	}
}

// remove ends a message, and forgets it when it has no open legs.
func (b *bound) remove(m *boundMessage) {
	m.ended = true
	m.dst.queued = slices.DeleteFunc(m.dst.queued, func(o *boundMessage) bool { return o == m })
	if m.openLegs() > 0 {
		return
	}
	delete(b.byID, m.id)
	if m.keyQueue != nil {
		m.keyQueue.messages = slices.DeleteFunc(m.keyQueue.messages, func(o *boundMessage) bool { return o == m })
	}
}

func (b *bound) LegEnded(id string, number int, o choice.Outcome, retryAfter int64, final bool, _ choice.RateLimit) {
	m := b.byID[id]
	if m == nil || number >= len(m.legs) || m.legs[number].settled {
		return
	}
	m.legs[number].settled, m.legs[number].neverRan = true, o.NeverRan()
	b.inFlight--
	if r := m.legs[number].to; retryAfter > 0 && m.dst.perReceiver {
		r.retryAt = max(r.retryAt, b.now+retryAfter)
	} else if retryAfter > 0 {
		m.dst.retryAt = max(m.dst.retryAt, b.now+retryAfter)
	}
	if m.keyQueue != nil && (o == choice.TimedOut || o == choice.Reset || o == choice.Cancelled) {
		m.keyQueue.quietUntil = b.now + b.Rules.KeyQuietTime
	}
	switch {
	case final || m.ended:
		b.remove(m)
	case len(m.legs) >= b.Limits.MaxLegs || m.firstUnsafeLeg() != nil && m.class.RetryMode == choice.NonRetriable:
		b.end(m)
	default:
		m.dst.queued = append(m.dst.queued, m)
	}
}

func (b *bound) end(m *boundMessage) {
	n := len(m.legs)
	safe := m.class.RetryMode == choice.Retriable || m.firstUnsafeLeg() == nil || m.class.RetryMode == choice.Keyed && m.class.DstWideKeys
	if (n == 0 || m.legs[n-1].neverRan) && safe {
		b.Host.Reject(m.id, min(second, b.Capabilities.MaxRetryAfter))
	} else {
		b.Host.Fail(m.id)
	}
	b.remove(m)
}

// Decide sends as long as the true state has room. Messages within their target go first, oldest first; then late ones,
// youngest first.
func (b *bound) Decide() {
	anyQueued := false
	for _, d := range b.dstOrder {
		if len(d.queued) == 0 {
			continue
		}
		for _, m := range slices.Clone(d.queued) {
			if b.now >= b.latestSend(m) {
				b.end(m)
			}
		}
		for b.inFlight < b.Limits.MaxCalls {
			m, r := b.next(d)
			if m == nil {
				break
			}
			b.send(d, m, r)
		}
		anyQueued = anyQueued || len(d.queued) > 0
	}
	if anyQueued && !b.timerSet {
		b.timerSet = true
		b.Host.SetTimer(boundInterval, 0)
	}
}

// latestSend returns the latest time at which a leg may be sent, given the expiry and the key window.
func (b *bound) latestSend(m *boundMessage) int64 {
	if l := m.firstUnsafeLeg(); l != nil && m.class.RetryMode == choice.Keyed {
		return min(m.expires-answerMargin, l.sentAt+m.class.KeyWindow-answerMargin)
	}
	return m.expires - answerMargin
}

// next returns the message of a destination to send next and its receiver, or nil if nothing can be sent now.
func (b *bound) next(d *boundDst) (best *boundMessage, to *receiver) {
	if d.retryAt > b.now {
		return nil, nil
	}
	rank := func(m *boundMessage) (late bool, age int64) {
		age = b.now - (m.expires - m.class.Deadline)
		return age > m.class.Target, age
	}
	for _, m := range d.queued[:min(len(d.queued), boundMaxScan)] {
		if m.keyQueue != nil && (m.keyQueue.messages[0] != m || m.keyQueue.quietUntil > b.now) {
			continue
		}
		late, age := rank(m)
		if best != nil {
			bestLate, bestAge := rank(best)
			if late && !bestLate || late == bestLate && (age < bestAge) != late {
				continue
			}
		}
		if r := b.fastest(d, m); r != nil {
			best, to = m, r
		} else if best == nil && m.firstUnsafeLeg() == nil {
			return nil, nil // no receiver has room, for any message
		}
	}
	return best, to
}

// fastest returns the receiver with the lowest service time among those where the message would start without waiting.
func (b *bound) fastest(d *boundDst, m *boundMessage) (best *receiver) {
	least, first := 0.0, m.firstUnsafeLeg()
	for _, r := range d.receivers {
		if first != nil && m.class.RetryMode == choice.Keyed && !m.class.DstWideKeys && r.zone != first.to.zone {
			continue
		}
		if r.retryAt > b.now || b.Oracle.FreeSlots(b.Sender, r.id) <= 0 {
			continue
		}
		if took := b.Oracle.ServiceTime(r.id); best == nil || took < least {
			best, least = r, took
		}
	}
	return best
}

func (b *bound) send(d *boundDst, m *boundMessage, r *receiver) {
	d.queued = slices.DeleteFunc(d.queued, func(o *boundMessage) bool { return o == m })
	b.inFlight++
	m.legs = append(m.legs, leg{to: r, sentAt: b.now})
	timeout := max(m.class.Target, int64(boundTimeoutFactor*b.Oracle.ServiceTime(r.id))) // a lost answer is only seen by the timeout
	b.Host.Send(m.id, r.id, max(1, min(timeout, m.expires-answerMargin-b.now)))
}
