package choice

import (
	"cmp"
	"math"
	"slices"
)

// The life of a message from its hand-in to its end: every change of its state.

const (
	defaultRetryAfter = second      // µs; Retry-After of a rejection where the destination gave none
	shortLeft         = 0.5         // of the deadline; a client with less time left is taken for an impatient one, as few retry that late
	minKeepShare      = 0.7         // of the time to the deadline; a message that surely never ran is not given up sooner (rules)
	acceptedSpan      = 60 * second // µs; older messages count half in the rate, because traffic shifts
	leaveStep         = 1.0 / 8     // weight of the newest message in the average age at which clients give up
	clientsLeaveFor   = 5 * second  // µs after the latest such message for which clients count as giving up early
)

type state uint8

// A message is queued, out (a leg has no outcome yet), streaming, or over in one of four ways.
const (
	queued state = iota
	out
	streaming
	delivered
	rejected
	failed
	withdrawn
)

type call struct {
	r         *receiver
	sentAt    int64
	open      int  // legs of the call without an outcome
	cancelled bool // a cancellation was requested
	onIdle    bool // it uses a connection that had been idle
	msgs      []*msg
}

type leg struct {
	call    *call
	settled bool
	outcome Outcome
}

type msg struct {
	id          string
	class       *Class
	dst         *dst
	orderQueue  *keyQueue
	state       state
	expires     int64
	sentAt      int64 // by its client, as far as it can be estimated
	notBefore   int64 // end of Retry-After and jitter, or of its key's quiet time
	giveUp      int64 // when it gets its final answer unless something else ends it first
	keepUntil   int64 // not given up before, unless it may have run or the Retry-After is longer
	at          int   // index in the expiry heap, -1 for none
	legs        []leg // at most Limits.MaxLegs
	recalled    bool  // gets no further leg
	endReported bool  // its end was reported to its client
}

func (m *msg) over() bool { return m.state >= delivered }

func (m *msg) openLegs() (n int) {
	for i := range m.legs {
		if !m.legs[i].settled {
			n++
		}
	}
	return n
}

// Accept takes a message over until it has a final answer. past are its legs from before a restart; the last one counts as out, and its outcome
// must follow in the same turn. Messages for unknown destinations are rejected, or they would fill the queue.
func (s *Sender) Accept(id string, class int, key string, to, expires int64, past ...PastLeg) {
	if s.dsts[to] == nil && len(past) == 0 { // a mistake or a late list: another hand-in is harmless
		s.ended[UnknownDst]++
		s.host.Reject(id, s.RetryAfter(0))
		return
	}
	m := &msg{id: id, class: &s.classes[class], dst: s.dst(to), state: queued, expires: expires, at: -1}
	m.sentAt = expires - m.class.Deadline
	if float64(expires-s.now) < shortLeft*float64(m.class.Deadline) { // rather an impatient client than an old message
		m.sentAt = s.now
	}
	m.keepUntil = s.now + int64(minKeepShare*float64(expires-s.now))
	s.msgs[id] = m
	if s.accepted++; s.now-s.acceptedFrom > acceptedSpan {
		s.accepted, s.acceptedFrom = s.accepted/2, (s.now+s.acceptedFrom)/2
	}
	if m.class.Ordered && key != "" {
		m.orderQueue = s.keyQueueOf(key)
		m.orderQueue.msgs = append(m.orderQueue.msgs, m)
		m.notBefore = m.orderQueue.quietUntil
	}
	m.dst.enqueue(m)
	s.setState(m, queued)
	s.restoreLegs(m, past)
}

// setState is the only place that changes a message's state.
func (s *Sender) setState(m *msg, to state) {
	if m.over() {
		return
	}
	if m.state == queued && to != queued {
		m.dst.queued = without(m.dst.queued, m)
	} else if m.state != queued && to == queued {
		m.dst.enqueue(m)
	}
	m.state = to
	s.wake(m.dst)
	switch to {
	case queued:
		m.giveUp = m.lastChance()
	case out:
		m.giveUp = m.expires - answerMargin
	case rejected, failed, delivered, withdrawn, streaming:
		m.giveUp = never
	}
	s.expiry.place(m)
	s.removeIfDone(m)
}

// endUndelivered gives the final answer: a rejection if the last outcome proves that the message never ran, where allowed.
func (s *Sender) endUndelivered(m *msg, retryAfter int64, why EndReason) {
	if m.over() {
		return
	}
	s.rejectOrFail(m, len(m.legs) == 0 || !m.legs[len(m.legs)-1].mayHaveRun(), retryAfter, why)
}

func (s *Sender) rejectOrFail(m *msg, neverRan bool, retryAfter int64, why EndReason) {
	s.ended[why]++
	if neverRan && m.mayReject() {
		s.setState(m, rejected)
		s.host.Reject(m.id, s.RetryAfter(retryAfter))
		return
	}
	s.setState(m, failed)
	s.host.Fail(m.id)
}

// RetryAfter is what a rejected client is told: the destination's Retry-After or else a short one, up to the maximum.
func (s *Sender) RetryAfter(wait int64) int64 {
	return min(cmp.Or(wait, defaultRetryAfter), s.caps.MaxRetryAfter)
}

// Withdraw ends a message that nobody waits for any more.
func (s *Sender) Withdraw(id string) {
	if m := s.msgs[id]; m != nil {
		s.learnClientPatience(m)
		s.setState(m, withdrawn)
	}
}

// Recall ends a message whose tenant was purged or whose channel moved, once no leg of it is out.
func (s *Sender) Recall(id string) {
	m := s.msgs[id]
	if m == nil || m.over() {
		return
	}
	m.recalled = true
	if m.openLegs() == 0 {
		s.rejectOrFail(m, true, 0, Recalled)
	}
}

// StreamStarted takes the event that a leg's response started to stream; the client has it from then on.
func (s *Sender) StreamStarted(id string) {
	if m := s.msgs[id]; m != nil {
		s.setState(m, streaming)
	}
}

// LegEnded takes the outcome of a leg. wait is the Retry-After of a refusal, 0 for none.
func (s *Sender) LegEnded(id string, number int, o Outcome, wait int64, final bool, rep RateLimit) {
	m := s.msgs[id]
	if m == nil || number < 0 || number >= len(m.legs) || m.legs[number].settled {
		return
	}
	l := &m.legs[number]
	l.settled, l.outcome = true, o
	c := l.call
	if o == Refused && wait > 0 { // in force from this turn on, even if other legs of the call have a shorter one
		c.r.route.waitUntil = max(c.r.route.waitUntil, s.now+wait)
		s.shareObservation(c.r, Observation{Kind: ObservedRetryAfter, RetryAfter: wait})
	}
	c.open--
	c.r.lastOutcomeAt = s.now
	s.countStale(c, o)
	row := c.r.route.failures
	if s.now < c.r.connScarceUntil {
		s.connScarce = append(s.connScarce, c.r)
	}
	if c.open == 0 {
		s.calls, c.r.calls = s.calls-1, c.r.calls-1
		c.r.dst.calls = slices.DeleteFunc(c.r.dst.calls, func(x *call) bool { return x == c })
		s.updateBusy(c.r.dst)
		s.callEnded(c, o, wait)
	}
	s.recordRateLimit(c.r, rep)
	s.wake(c.r.dst)
	s.countLost(c.r, o, row)
	if o == Delivered || o == Errored || o == TimedOut || o == Reset {
		c.r.recordClass(m.class, o == Delivered)
	}
	if m.orderQueue != nil && (o == TimedOut || o == Reset || o == Cancelled) {
		m.orderQueue.quietUntil = s.now + s.rules.KeyQuietTime
	}
	switch {
	case m.over():
		s.removeIfDone(m)
	case final && o == NotSent:
		s.Withdraw(id)
	case final:
		s.setState(m, delivered)
	case m.state == streaming:
		s.endUndelivered(m, 0, StreamBroken)
	case m.openLegs() == 0:
		s.retry(m, o, wait)
	}
}

// EndReported takes the event that a message's end was reported to its client.
func (s *Sender) EndReported(id string) {
	if m := s.msgs[id]; m != nil && m.over() {
		m.endReported = true
		s.removeIfDone(m)
	}
}

// RestoreUnreported adds an ordered message that ended before a restart and whose end is not reported yet.
func (s *Sender) RestoreUnreported(id string, class int, key string, to int64) {
	if s.classes[class].Ordered && key != "" {
		m := &msg{id: id, class: &s.classes[class], dst: s.dst(to), state: failed, at: -1, orderQueue: s.keyQueueOf(key)}
		m.orderQueue.msgs = append(m.orderQueue.msgs, m)
		s.msgs[id] = m
	}
}

// ReportEndsLater has ends count as reported only from EndReported on; until then the key's queue waits. Otherwise the next message of the key
// would overtake the report that its predecessor is over, and appear to run before it.
func (s *Sender) ReportEndsLater() { s.endsReportedLater = true }

// removeIfDone drops a message that is over, has no leg out and is reported, and releases the next one of its key.
func (s *Sender) removeIfDone(m *msg) {
	ended := m.state == rejected || m.state == failed
	if !m.over() || m.openLegs() > 0 || ended && m.orderQueue != nil && s.endsReportedLater && !m.endReported {
		return
	}
	delete(s.msgs, m.id)
	l := m.orderQueue
	if l == nil {
		return
	}
	l.msgs = without(l.msgs, m)
	if len(l.msgs) == 0 {
		s.quietQueues = append(s.quietQueues, l)
		return
	}
	l.msgs[0].notBefore = max(l.msgs[0].notBefore, l.quietUntil)
	s.wake(l.msgs[0].dst)
}

// PastLeg is a leg from before a restart of the sender.
type PastLeg struct {
	SentAt   int64
	Zone     int
	NeverRan bool
}

// restoreLegs gives an accepted message its legs from before a restart. The last one counts as out, so that its outcome is handled like any
// other.
func (s *Sender) restoreLegs(m *msg, legs []PastLeg) {
	if len(legs) == 0 {
		return
	}
	for _, l := range legs { // the receivers may be gone, so each leg gets a placeholder
		r := (&receiver{dst: m.dst, route: newRoute(), zone: l.Zone, receiverState: unusedReceiver, placeholder: true}).used()
		r.calls = 1
		past := leg{call: &call{r: r, sentAt: l.SentAt, open: 1, msgs: []*msg{m}}, settled: true, outcome: Reset}
		if l.NeverRan {
			past.outcome = NotSent
		}
		m.legs = append(m.legs, past)
	}
	m.legs[len(legs)-1].settled = false
	if legs[len(legs)-1].NeverRan {
		m.dst.route.restoreRefusal(s.now)
	}
	s.calls++
	s.setState(m, out)
}

// RestoreDst makes a destination known, listed or not, because a message for it was accepted before a restart.
func (s *Sender) RestoreDst(to int64) { s.dst(to) }

// learnClientPatience learns how soon clients give up. Where they do and only a call detects it, serving the oldest first would spend the rate
// on messages that nobody waits for; during that time young messages go first.
func (s *Sender) learnClientPatience(m *msg) {
	if s.now >= s.clientsLeaveUntil {
		s.clientPatience = float64(s.age(m))
	}
	s.clientPatience, s.clientsLeaveUntil = s.clientPatience+(float64(s.age(m))-s.clientPatience)*leaveStep, s.now+clientsLeaveFor
}

// value is the remaining value of an answer at a time, by the class's decay.
func (m *msg) value(at int64, exponential bool) float64 {
	late := float64(at - m.sentAt - m.class.Target)
	switch {
	case at > m.expires:
		return 0
	case late <= 0:
		return m.class.Value
	case exponential:
		return m.class.Value * max(m.class.LateValue, math.Exp2(-late/float64(m.class.Target)))
	default:
		return m.class.Value * (1 - (1-m.class.LateValue)*late/float64(m.class.Deadline-m.class.Target))
	}
}

// age is the time since a message's client sent it.
func (s *Sender) age(m *msg) int64 { return s.now - m.sentAt }

// without removes the first occurrence of a message from a list.
func without(ms []*msg, m *msg) []*msg {
	if i := slices.Index(ms, m); i >= 0 {
		return slices.Delete(ms, i, i+1)
	}
	return ms
}
