package policy

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"

	"ravenlink/choice"
	"ravenlink/internal/lab/draw"
)

const (
	second            = int64(1_000_000)
	answerMargin      = second / 100 // µs before its expiry by which a message is answered
	minBackoff        = second / 10  // µs; first jitter window, as in the source article
	maxBackoff        = 8 * second   // µs; largest jitter window
	recheckInterval   = second / 10  // µs between checks of a message that has no usable receiver
	creditLifetime    = 10 * second  // µs; after which a credit of the retry budget expires
	minRetryRate      = 3            // retries per second that a budget always allows
	hotRetryInterval  = second / 20  // µs between the retries of a policy that retries at once
	throttleWindow    = 30 * second  // µs; throttling halves its counts after each window
	plantedWindow     = 2 * second   // µs; both conditions of the planted fault must be seen within it:
	plantedRetryAfter = 3 * second   // µs; an error, and a retry-after so long that only a route that refuses all calls gives it
)

// retryStyle is how a baseline retries, and which faults are built into it.
type retryStyle struct {
	maxLegs     int     // per message, including legs that throttling held back
	budget      float64 // retries earned by each delivery; 0 for no budget
	throttle    float64 // K of adaptive throttling; 0 for none
	noJitter    bool    // a retry-after is used without jitter
	backoffOnly bool    // a retry-after is replaced by the backoff
	perMessage  bool    // a retry-after applies only to the message whose leg received it; Limits.MaxLegs is ignored

	ignoresExpiry     bool // does not answer messages at their expiry
	retriesUnsafe     bool // retries messages that may have run, whatever their class
	keepsUnlisted     bool // keeps sending to receivers that are no longer listed
	ignoresOrder      bool // sends messages of one key concurrently
	ignoresRetryAfter bool // a retry-after delays only the next leg of its own message
	retriesAtOnce     bool // retries every hotRetryInterval
	plantedFault      bool // ignores retry-afters after two kinds of faults were seen within plantedWindow
}

type message struct {
	id        string
	class     *choice.Class
	dst       *destination
	keyQueue  *keyQueue
	expires   int64
	attempts  int // legs, and attempts held back by throttling
	legs      []leg
	notBefore int64
	waiting   bool // because MaxCalls calls are in flight
	ended     bool
	gen       int // generation of its latest timer; earlier ones are ignored
}

type leg struct {
	to       *receiver
	sentAt   int64
	settled  bool
	neverRan bool
}

// firstUnsafeLeg returns the first leg that may have run, or nil.
func (m *message) firstUnsafeLeg() *leg {
	for i := range m.legs {
		if l := &m.legs[i]; !l.settled || !l.neverRan {
			return l
		}
	}
	return nil
}

func (m *message) openLegs() (n int) {
	for _, l := range m.legs {
		if !l.settled {
			n++
		}
	}
	return n
}

type receiver struct {
	id       uint32
	zone     int
	dst      *destination
	inFlight int
	retryAt  int64
}

// destination holds what a baseline knows of a destination.
type destination struct {
	perReceiver bool
	receivers   []*receiver
	nextIndex   int
	retryAt     int64
	credits     []int64 // of the retry budget: when each was earned; removed as they expire
	spent       float64
	requests    float64 // requests and accepts are counted for adaptive throttling
	accepts     float64
	countedAt   int64
}

// keyQueue holds the unfinished messages of one order key, oldest first.
type keyQueue struct {
	messages   []*message
	quietUntil int64
}

// timer is the time at which a message is due to be sent or answered.
type timer struct {
	at  int64
	seq uint64
	msg *message
	gen int // the message's gen when it was set; -1 for its expiry
}

type timerHeap []timer

func (h timerHeap) Len() int      { return len(h) }
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].seq, h[j].seq)) < 0
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	a := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return a
}

// baseline is a policy that keeps no state of receivers' health: it sends at once, retries by its style and selects receivers
// by its selector.
type baseline struct {
	Config
	style         retryStyle
	selector      int
	rand          *rand.Rand
	now           int64
	seq           uint64
	messages      map[string]*message // removed when they have ended and their legs are settled
	dsts          map[int64]*destination
	receivers     map[uint32]*receiver
	keyQueues     map[string]*keyQueue // one per key; never removed
	timers        timerHeap
	waiting       []*message // because MaxCalls calls are in flight, in order of arrival
	inFlight      int
	timerAt       int64
	lastErrorAt   int64 // latest error or reset from any receiver
	lastRefusedAt int64 // latest refusal with a long retry-after
}

func newBaseline(c Config, style retryStyle, selector int) *baseline {
	return &baseline{Config: c, style: style, selector: selector, rand: draw.Stream(c.Seed, "plain", c.Sender), messages: map[string]*message{},
		dsts: map[int64]*destination{}, receivers: map[uint32]*receiver{}, keyQueues: map[string]*keyQueue{}}
}

func (p *baseline) SetTime(now int64)                                   { p.now = now }
func (p *baseline) ReceiveNote(string)                                  {}
func (p *baseline) ProbeEnded(uint32, choice.Outcome, choice.RateLimit) {}
func (p *baseline) TimerFired(uint64)                                   { p.timerAt = 0 }

func (p *baseline) UpdateList(kind choice.ListKind, entries []choice.Entry) {
	if kind == choice.LookupFailed {
		return
	}
	if kind != choice.Delta {
		for _, d := range p.dsts {
			d.receivers = nil
		}
	}
	for _, e := range entries {
		d := p.dsts[e.Dst]
		if d == nil {
			d = &destination{countedAt: p.now}
			p.dsts[e.Dst] = d
		}
		d.perReceiver = e.Kind >= 0 && p.Kinds[e.Kind].PerReceiver
		r := p.receivers[e.Receiver]
		if r == nil {
			r = &receiver{id: e.Receiver, dst: d, zone: e.Zone}
			p.receivers[e.Receiver] = r
		}
		at := slices.Index(d.receivers, r)
		switch {
		case e.Listed && at < 0:
			d.receivers = append(d.receivers, r)
		case !e.Listed && at >= 0 && !p.style.keepsUnlisted:
			d.receivers = slices.Delete(d.receivers, at, at+1)
		}
	}
}

func (p *baseline) Accept(id string, class int, key string, dst, expires int64, _ ...choice.PastLeg) {
	d := p.dsts[dst]
	if d == nil {
		p.Host.Reject(id, p.cappedRetryAfter(0))
		return
	}
	m := &message{id: id, class: &p.Classes[class], dst: d, expires: expires, notBefore: p.now}
	p.messages[id] = m
	if m.class.Ordered && key != "" && !p.style.ignoresOrder {
		if m.keyQueue = p.keyQueues[key]; m.keyQueue == nil {
			m.keyQueue = &keyQueue{}
			p.keyQueues[key] = m.keyQueue
		}
		m.keyQueue.messages = append(m.keyQueue.messages, m)
	}
	p.schedule(m, expires-answerMargin, -1)
	p.schedule(m, p.now, m.gen)
}

func (p *baseline) schedule(m *message, at int64, gen int) {
	p.seq++
	heap.Push(&p.timers, timer{at, p.seq, m, gen})
}

// reschedule sets a new timer for a message and invalidates its earlier ones, except that for its expiry.
func (p *baseline) reschedule(m *message, at int64) {
	m.gen++
	p.schedule(m, at, m.gen)
}

func (p *baseline) Withdraw(id string) {
	if m := p.messages[id]; m != nil {
		m.ended = true
		p.remove(m)
	}
}

// remove forgets a message that has ended and has no open legs, and schedules the next one of its key.
func (p *baseline) remove(m *message) {
	if !m.ended || m.openLegs() > 0 || p.messages[m.id] != m {
		return
	}
	delete(p.messages, m.id)
	if q := m.keyQueue; q != nil {
		q.messages = slices.DeleteFunc(q.messages, func(o *message) bool { return o == m })
		if len(q.messages) > 0 {
			p.reschedule(q.messages[0], max(p.now, q.quietUntil))
		}
	}
}

// cappedRetryAfter returns the retry-after of a rejection: the one received, or a second, capped at the allowed maximum.
func (p *baseline) cappedRetryAfter(received int64) int64 {
	return min(cmp.Or(received, second), p.Capabilities.MaxRetryAfter)
}

// mayReject reports whether the client may safely hand in the message again.
func (p *baseline) mayReject(m *message) bool {
	return m.class.RetryMode == choice.Retriable || m.firstUnsafeLeg() == nil || m.class.RetryMode == choice.Keyed && m.class.DstWideKeys
}

func (p *baseline) end(m *message, retryAfter int64) {
	if m.ended {
		return
	}
	m.ended = true
	if n := len(m.legs); (n == 0 || m.legs[n-1].settled && m.legs[n-1].neverRan) && p.mayReject(m) {
		p.Host.Reject(m.id, p.cappedRetryAfter(retryAfter))
	} else {
		p.Host.Fail(m.id)
	}
	p.remove(m)
}

func (p *baseline) LegEnded(id string, number int, o choice.Outcome, retryAfter int64, final bool, _ choice.RateLimit) {
	m := p.messages[id]
	if m == nil || number >= len(m.legs) || m.legs[number].settled {
		return
	}
	l := &m.legs[number]
	l.settled, l.neverRan = true, o.NeverRan()
	l.to.inFlight--
	p.inFlight--
	p.record(m, l.to, o, retryAfter)
	if m.keyQueue != nil && (o == choice.TimedOut || o == choice.Reset || o == choice.Cancelled) {
		m.keyQueue.quietUntil = p.now + p.Rules.KeyQuietTime
	}
	switch {
	case final:
		m.ended = true
		p.remove(m)
	case m.ended:
		p.remove(m)
	default:
		p.retry(m, o, retryAfter)
	}
	p.resumeWaiting()
}

// record updates retry-after, retry budget and throttling from the outcome of a leg.
func (p *baseline) record(m *message, to *receiver, o choice.Outcome, retryAfter int64) {
	d := m.dst
	switch o {
	case choice.Delivered:
		d.accepts++
		if p.style.budget > 0 {
			d.credits = append(d.credits, p.now)
		}
	case choice.Refused:
		if retryAfter >= plantedRetryAfter {
			p.lastRefusedAt = p.now
		}
		if retryAfter > 0 && !p.style.perMessage {
			if d.perReceiver {
				to.retryAt = max(to.retryAt, p.now+retryAfter)
			} else {
				d.retryAt = max(d.retryAt, p.now+retryAfter)
			}
		}
	case choice.Errored, choice.Reset:
		p.lastErrorAt = p.now
	}
}

// takeCredit takes one retry from the retry budget of the source article, if there is one left.
func (p *baseline) takeCredit(d *destination) bool {
	if p.style.budget == 0 {
		return true
	}
	expired := 0
	for expired < len(d.credits) && d.credits[expired] <= p.now-creditLifetime {
		expired++
	}
	d.credits = d.credits[expired:]
	d.spent = max(0, d.spent-float64(expired)*p.style.budget)
	if float64(len(d.credits))*p.style.budget+minRetryRate*float64(creditLifetime/second)-d.spent < 1 {
		return false
	}
	d.spent++
	return true
}

// throttled draws whether adaptive throttling holds back a leg, from the destination's recent requests and accepts.
func (p *baseline) throttled(d *destination) bool {
	if p.style.throttle == 0 {
		return false
	}
	if p.now-d.countedAt > throttleWindow {
		d.countedAt, d.requests, d.accepts = p.now, d.requests/2, d.accepts/2
	}
	probability := (d.requests - p.style.throttle*d.accepts) / (d.requests + 1)
	d.requests++
	return p.rand.Float64() < probability
}

// retry schedules the next leg of a message, or ends the message if no further leg is allowed.
func (p *baseline) retry(m *message, o choice.Outcome, retryAfter int64) {
	unsafe := m.firstUnsafeLeg() != nil && m.class.RetryMode == choice.NonRetriable && !p.style.retriesUnsafe
	if m.attempts >= min(p.style.maxLegs, p.Limits.MaxLegs) && !p.style.perMessage || m.attempts >= p.style.maxLegs || unsafe || !p.takeCredit(m.dst) {
		p.end(m, retryAfter)
		return
	}
	window := min(maxBackoff, minBackoff<<min(m.attempts-1, 10))
	delay := int64(p.rand.Float64() * float64(window))
	switch {
	case p.style.noJitter && retryAfter > 0:
		delay = 0
	case p.style.backoffOnly:
		retryAfter = 0
	case p.style.retriesAtOnce:
		retryAfter, delay = 0, hotRetryInterval
	}
	m.notBefore = p.now + retryAfter + delay
	if m.notBefore > p.latestSend(m) {
		p.end(m, retryAfter)
		return
	}
	p.reschedule(m, m.notBefore)
}

// latestSend returns the latest time at which a leg may be sent, given the expiry and the key window.
func (p *baseline) latestSend(m *message) int64 {
	if l := m.firstUnsafeLeg(); l != nil && m.class.RetryMode == choice.Keyed && !p.style.retriesUnsafe {
		return min(m.expires-answerMargin, l.sentAt+m.class.KeyWindow-answerMargin)
	}
	return m.expires - answerMargin
}

// Decide handles all timers that are due, in order of time.
func (p *baseline) Decide() {
	for len(p.timers) > 0 && p.timers[0].at <= p.now {
		t := heap.Pop(&p.timers).(timer)
		switch {
		case t.msg.ended || p.messages[t.msg.id] != t.msg:
		case t.gen < 0:
			if !p.style.ignoresExpiry {
				p.end(t.msg, 0)
			}
		case t.gen == t.msg.gen && t.msg.openLegs() == 0 && !t.msg.waiting:
			p.send(t.msg)
		}
	}
	if len(p.timers) > 0 && (p.timerAt == 0 || p.timers[0].at < p.timerAt) {
		p.timerAt = p.timers[0].at
		p.Host.SetTimer(max(1, p.timerAt-p.now), 0)
	}
}

// resumeWaiting reschedules the first waiting message, if fewer than MaxCalls calls are in flight.
func (p *baseline) resumeWaiting() {
	for len(p.waiting) > 0 && p.inFlight < p.Limits.MaxCalls {
		m := p.waiting[0]
		p.waiting = p.waiting[1:]
		m.waiting = false
		if !m.ended {
			p.reschedule(m, p.now)
			return
		}
	}
}

func (p *baseline) ignoresRetryAfterNow() bool {
	return p.style.ignoresRetryAfter || p.style.plantedFault && p.lastErrorAt > 0 && p.lastRefusedAt > 0 && p.now-p.lastErrorAt < plantedWindow && p.now-p.lastRefusedAt < plantedWindow
}

func (p *baseline) send(m *message) {
	if p.now > p.latestSend(m) {
		p.end(m, 0)
		return
	}
	if q := m.keyQueue; q != nil && (q.messages[0] != m || p.now < q.quietUntil) {
		if q.messages[0] == m {
			p.reschedule(m, q.quietUntil)
		}
		return
	}
	if p.inFlight >= p.Limits.MaxCalls {
		m.waiting = true
		p.waiting = append(p.waiting, m)
		return
	}
	candidates, readyAt := p.usable(m)
	if len(candidates) == 0 {
		p.reschedule(m, max(readyAt, p.now+1))
		return
	}
	m.attempts++
	if p.throttled(m.dst) {
		p.retry(m, choice.Refused, 0)
		return
	}
	r := p.pick(m.dst, candidates)
	r.inFlight++
	p.inFlight++
	m.legs = append(m.legs, leg{to: r, sentAt: p.now})
	m.gen++
	p.Host.Send(m.id, r.id, max(1, min(2*m.class.Target, m.expires-answerMargin-p.now)))
}

// usable returns the receivers to which a message may be sent now, and the time to check again if there is none.
func (p *baseline) usable(m *message) (candidates []*receiver, readyAt int64) {
	d, ignoreRetryAfter := m.dst, p.style.perMessage || p.ignoresRetryAfterNow()
	if d.retryAt > p.now && !ignoreRetryAfter {
		return nil, d.retryAt
	}
	readyAt = p.now + recheckInterval
	first := m.firstUnsafeLeg()
	for _, r := range d.receivers {
		switch {
		case r.retryAt > p.now && !ignoreRetryAfter:
			readyAt = min(readyAt, r.retryAt)
		case first != nil && !p.style.retriesUnsafe && m.class.RetryMode == choice.Keyed && !m.class.DstWideKeys && r.zone != first.to.zone:
		default:
			candidates = append(candidates, r)
		}
	}
	return candidates, readyAt
}

func (p *baseline) pick(d *destination, candidates []*receiver) *receiver {
	switch selectors[p.selector] {
	case "robin":
		d.nextIndex++
		return candidates[d.nextIndex%len(candidates)]
	case "least":
		return slices.MinFunc(candidates, func(a, b *receiver) int { return a.inFlight - b.inFlight })
	case "two":
		a, b := candidates[p.rand.IntN(len(candidates))], candidates[p.rand.IntN(len(candidates))]
		if b.inFlight < a.inFlight {
			return b
		}
		return a
	}
	return candidates[p.rand.IntN(len(candidates))]
}
