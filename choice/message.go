package choice

import (
	"cmp"
	"math"
	"slices"
)

// A message's life from its hand-in to its end: every change of its state.

const (
	adviceShort = second      // µs; advice given with a pushback where no wait was told
	shortLeft   = 0.5         // of the deadline; who comes with less has little time, few come again so late
	keepLeast   = 0.7         // of its time; what surely never ran is not given up sooner (rules)
	takenSpan   = 60 * second // µs; what was taken longer ago counts half, for traffic shifts
	leaveStep   = 1.0 / 8     // weight of the newest message found given up in the age at which clients leave
	leavesFor   = 5 * second  // µs after the latest such message for which clients count as leaving early
)

type state uint8

// A message is held, out (a leg has no outcome yet), streaming, or over in one of four ways.
const (
	held state = iota
	out
	streaming
	delivered
	pushedBack
	failed
	withdrawn
)

type call struct {
	r      *receiver
	sentAt int64
	open   int  // legs in it without an outcome
	off    bool // called off
	onIdle bool // it went on a connection that had stood idle
	msgs   []*msg
}

type leg struct {
	call    *call
	settled bool
	outcome Outcome
}

type msg struct {
	id        string
	lane      *Lane
	dst       *dst
	line      *keyLine
	state     state
	expires   int64
	sentAt    int64 // by its client, as far as can be told
	notBefore int64 // told wait and jitter, or the rest of its key
	giveUp    int64 // when it gets its final answer if nothing else happens
	keepTill  int64 // until when it is kept, unless it may have run or a wait told is longer
	at        int   // place in the expiry heap, -1 for none
	legs      []leg // at most Room.Legs
	recalled  bool  // no further leg
	told      bool  // whoever handed it in knows its end
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

// Take accepts a message: this sender's until it has a final answer. past are its legs from before a restart;
// the last counts as out, its outcome must come in the same turn. Danger: names of nowhere fill the room.
func (s *Sender) Take(id string, lane int, key string, to, expires int64, past ...PastLeg) {
	if s.dsts[to] == nil && len(past) == 0 { // a mistake, or the list is late: harmless to come again
		s.ended[UnknownDst]++
		s.host.PushBack(id, s.ComeBackIn(0))
		return
	}
	m := &msg{id: id, lane: &s.lanes[lane], dst: s.dst(to), state: held, expires: expires, at: -1}
	m.sentAt = expires - m.lane.Deadline
	if float64(expires-s.now) < shortLeft*float64(m.lane.Deadline) { // its client has little time, rather
		m.sentAt = s.now
	}
	m.keepTill = s.now + int64(keepLeast*float64(expires-s.now))
	s.msgs[id] = m
	if s.taken++; s.now-s.takenFrom > takenSpan {
		s.taken, s.takenFrom = s.taken/2, (s.now+s.takenFrom)/2
	}
	if m.lane.InOrder && key != "" {
		m.line = s.lineOf(key)
		m.line.msgs = append(m.line.msgs, m)
		m.notBefore = m.line.rest
	}
	m.dst.hold(m)
	s.turn(m, held)
	s.resume(m, past)
}

// turn is the one place where a message changes its state.
func (s *Sender) turn(m *msg, to state) {
	if m.over() {
		return
	}
	if m.state == held && to != held {
		m.dst.held = without(m.dst.held, m)
	} else if m.state != held && to == held {
		m.dst.hold(m)
	}
	m.state = to
	s.wake(m.dst)
	switch to {
	case held:
		m.giveUp = m.lastChance()
	case out:
		m.giveUp = m.expires - answerMargin
	case pushedBack, failed, delivered, withdrawn, streaming:
		m.giveUp = never
	}
	s.expiry.place(m)
	s.forget(m)
}

// end gives the final answer: pushed back only if the last outcome proves it never ran, where allowed.
func (s *Sender) end(m *msg, advice int64, why EndReason) {
	if m.over() {
		return
	}
	s.finish(m, len(m.legs) == 0 || !m.legs[len(m.legs)-1].mayHaveRun(), advice, why)
}

func (s *Sender) finish(m *msg, back bool, advice int64, why EndReason) {
	s.ended[why]++
	if back && m.mayPushBack() {
		s.turn(m, pushedBack)
		s.host.PushBack(m.id, s.ComeBackIn(advice))
		return
	}
	s.turn(m, failed)
	s.host.Fail(m.id)
}

// ComeBackIn is what a client pushed back is told: the wait told, else a short one, as far as allowed.
func (s *Sender) ComeBackIn(wait int64) int64 {
	return min(cmp.Or(wait, adviceShort), s.allowed.MaxAdvice)
}

// Withdrawn says that nobody wants the message any more.
func (s *Sender) Withdrawn(id string) {
	if m := s.msgs[id]; m != nil {
		s.left(m)
		s.turn(m, withdrawn)
	}
}

// Recall takes a message from this sender: its tenant was purged, or its channel moved.
func (s *Sender) Recall(id string) {
	m := s.msgs[id]
	if m == nil || m.over() {
		return
	}
	m.recalled = true
	if m.openLegs() == 0 {
		s.finish(m, true, 0, RecalledAway)
	}
}

// Began says that the answer of a streamed leg has started; it now belongs to the client.
func (s *Sender) Began(id string) {
	if m := s.msgs[id]; m != nil {
		s.turn(m, streaming)
	}
}

// Settled takes the outcome of a leg. wait is what a refusal told, 0 for nothing.
func (s *Sender) Settled(id string, number int, o Outcome, wait int64, final bool, rep Report) {
	m := s.msgs[id]
	if m == nil || number < 0 || number >= len(m.legs) || m.legs[number].settled {
		return
	}
	l := &m.legs[number]
	l.settled, l.outcome = true, o
	c := l.call
	if o == Full && wait > 0 { // binds from this very turn, though others of the call may tell less
		s.heed(c.r, wait)
	}
	c.open--
	c.r.usedAt = s.now
	s.countStale(c, o)
	row := c.r.route.bad
	if s.now < c.r.scarceTill {
		s.spare = append(s.spare, c.r)
	}
	if c.open == 0 {
		s.calls, c.r.calls = s.calls-1, c.r.calls-1
		c.r.dst.calls = slices.DeleteFunc(c.r.dst.calls, func(x *call) bool { return x == c })
		s.keepBusy(c.r.dst)
		s.observe(c, o, wait)
	}
	s.reported(c.r, rep)
	s.wake(c.r.dst)
	s.countLost(c.r, o, row)
	if o == Delivered || o == Errored || o == TimedOut || o == Reset {
		c.r.went(m.lane, o == Delivered)
	}
	if m.line != nil && (o == TimedOut || o == Reset || o == Cancelled) {
		m.line.rest = s.now + s.guards.KeyRest
	}
	switch {
	case m.over():
		s.forget(m)
	case final && o == Skipped:
		s.Withdrawn(id)
	case final:
		s.turn(m, delivered)
	case m.state == streaming:
		s.end(m, 0, StreamBroken)
	case m.openLegs() == 0:
		s.repeat(m, o, wait)
	}
}

// WaitTold takes a wait that a receiver told, before the outcome of the call for which it did is known. The call's outcome may follow and
// tell it again. Danger: a wait binds from when it is told, and calls would go out meanwhile.
func (s *Sender) WaitTold(receiver uint32, wait int64) {
	if r := s.recvs[receiver]; r != nil {
		s.heed(r.used(), wait)
	}
}

func (s *Sender) heed(r *receiver, wait int64) {
	r.route.waitUntil = max(r.route.waitUntil, s.now+wait)
	s.saw(r, Sight{Kind: SeenWait, Wait: wait})
}

// EndKnown says that whoever handed a message in knows its end.
func (s *Sender) EndKnown(id string) {
	if m := s.msgs[id]; m != nil && m.over() {
		m.told = true
		s.forget(m)
	}
}

// Unheard brings in a message of a lane in order that ended before a restart, while its end is not told yet.
func (s *Sender) Unheard(id string, lane int, key string, to int64) {
	if s.lanes[lane].InOrder && key != "" {
		m := &msg{id: id, lane: &s.lanes[lane], dst: s.dst(to), state: failed, at: -1, line: s.lineOf(key)}
		m.line.msgs = append(m.line.msgs, m)
		s.msgs[id] = m
	}
}

// TellsLater says that an end is not known to others as it is decided, but from EndKnown on; until then its line waits. Danger: the next
// of a key overtakes the news that the one before it is over, and runs before it as far as anybody can tell.
func (s *Sender) TellsLater() { s.tellsLater = true }

// forget drops a message that is over once nothing of it is out and its end is known, and lets the next of its key go.
func (s *Sender) forget(m *msg) {
	ended := m.state == pushedBack || m.state == failed
	if !m.over() || m.openLegs() > 0 || ended && m.line != nil && s.tellsLater && !m.told {
		return
	}
	delete(s.msgs, m.id)
	l := m.line
	if l == nil {
		return
	}
	l.msgs = without(l.msgs, m)
	if len(l.msgs) == 0 {
		s.resting = append(s.resting, l)
		return
	}
	l.msgs[0].notBefore = max(l.msgs[0].notBefore, l.rest)
	s.wake(l.msgs[0].dst)
}

// PastLeg is a leg that a message had before its sender restarted.
type PastLeg struct {
	SentAt   int64
	Zone     int
	NeverRan bool
}

// resume gives a message just taken the legs from before a restart. The last one counts as out, so that its
// outcome takes the usual way.
func (s *Sender) resume(m *msg, legs []PastLeg) {
	if len(legs) == 0 {
		return
	}
	for _, l := range legs { // receivers may be gone: each leg stands at one of its own
		r := (&receiver{dst: m.dst, route: newRoute(), zone: l.Zone, conduct: idleConduct, past: true}).used()
		r.calls = 1
		past := leg{call: &call{r: r, sentAt: l.SentAt, open: 1, msgs: []*msg{m}}, settled: true, outcome: Reset}
		if l.NeverRan {
			past.outcome = Skipped
		}
		m.legs = append(m.legs, past)
	}
	m.legs[len(legs)-1].settled = false
	if legs[len(legs)-1].NeverRan {
		m.dst.route.refusedBefore(s.now)
	}
	s.calls++
	s.turn(m, out)
}

// Owes has a destination known, listed or not: a message for it was taken on before a restart, so it is no name of nowhere.
func (s *Sender) Owes(to int64) { s.dst(to) }

// left learns how soon clients leave. Danger: where they do, and only a call tells, serving the oldest first
// spends the pace on messages that nobody waits for; while it lasts, the young go first.
func (s *Sender) left(m *msg) {
	if s.now >= s.leftTill {
		s.leaveAge = float64(s.age(m))
	}
	s.leaveAge, s.leftTill = s.leaveAge+(float64(s.age(m))-s.leaveAge)*leaveStep, s.now+leavesFor
}

// value left for an answer at a time, by the lane's way of falling.
func (m *msg) value(at int64, halves bool) float64 {
	late := float64(at - m.sentAt - m.lane.Target)
	switch {
	case at > m.expires:
		return 0
	case late <= 0:
		return m.lane.Value
	case halves:
		return m.lane.Value * max(m.lane.LateValue, math.Exp2(-late/float64(m.lane.Target)))
	default:
		return m.lane.Value * (1 - (1-m.lane.LateValue)*late/float64(m.lane.Deadline-m.lane.Target))
	}
}

// age is the time since a message's client sent it.
func (s *Sender) age(m *msg) int64 { return s.now - m.sentAt }

// without drops the first place of a message in a list.
func without(ms []*msg, m *msg) []*msg {
	if i := slices.Index(ms, m); i >= 0 {
		return slices.Delete(ms, i, i+1)
	}
	return ms
}
