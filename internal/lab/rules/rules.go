// Package rules checks the behaviour of senders against six rules. It sees only the events between a sender and the
// simulated world, not the sender's own state. It does no I/O and has no clock.
package rules

import (
	"fmt"

	"ravenlink/choice"
)

// Rule is the name of one of the six rules, as reports have it.
type Rule string

// The rules.
const (
	Answer Rule = "answer" // a message gets one final answer in time, and no leg is sent after it
	Effect Rule = "effect" // a message takes effect at most once, as far as its class demands
	Drain  Rule = "drain"  // no legs to receivers that drain or are no longer listed
	Return Rule = "return" // receivers that come back from an outage are not overloaded
	Order  Rule = "order"  // messages of one key are delivered in order
	Wait   Rule = "wait"   // a retry-after is respected
)

// All lists the rules in the order in which they are reported.
var All = []Rule{Answer, Effect, Drain, Return, Order, Wait}

// maxKept is how many violations a Checker keeps in full; it counts all.
const maxKept = 20

// Violation describes a violation of a rule.
type Violation struct {
	Rule    Rule   `json:"rule"`
	At      int64  `json:"at_us"`
	Sender  int    `json:"sender"`
	Message string `json:"message,omitempty"`
	Dst     int64  `json:"destination,omitempty"`
	What    string `json:"what"`
}

// Tolerances are the grace periods that the rules grant, in µs.
type Tolerances struct {
	AnswerGrace, DrainGrace, RetryAfterSlack, KeyQuietTime int64
}

// Checker records the violations of a run.
type Checker struct {
	tolerances Tolerances
	Counts     map[Rule]int
	Violations []Violation // the first maxKept
}

// NewChecker returns a Checker for a new run.
func NewChecker(t Tolerances) *Checker { return &Checker{tolerances: t, Counts: map[Rule]int{}} }

func (c *Checker) add(v Violation) {
	c.Counts[v.Rule]++
	if len(c.Violations) < maxKept {
		c.Violations = append(c.Violations, v)
	}
}

// Total returns the number of violations of all rules.
func (c *Checker) Total() (n int) {
	for _, count := range c.Counts {
		n += count
	}
	return n
}

// Leg is a leg that was sent.
type Leg struct {
	At      int64
	Zone    int
	Settled bool
	Outcome choice.Outcome
}

func (l Leg) mayHaveRun() bool { return !l.Settled || !l.Outcome.NeverRan() }

// Message is a message that a sender has accepted.
type Message struct {
	ID       string
	Dst      int64
	Class    *choice.Class
	Expires  int64
	Legs     []Leg
	Ended    bool // it has its final answer, or its sender knows that none is expected
	keyQueue *keyQueue
}

// MayHaveRun reports whether any leg of the message may have run.
func (m *Message) MayHaveRun() bool { return m.firstUnsafeLeg() != nil }

// firstUnsafeLeg returns the first leg that may have run, or nil.
func (m *Message) firstUnsafeLeg() *Leg {
	for i := range m.Legs {
		if m.Legs[i].mayHaveRun() {
			return &m.Legs[i]
		}
	}
	return nil
}

func (m *Message) openLegs() (n int) {
	for _, l := range m.Legs {
		if !l.Settled {
			n++
		}
	}
	return n
}

// keyQueue holds the unfinished messages of one order key, oldest first.
type keyQueue struct {
	msgs       []*Message
	quietUntil int64
	quietAfter *Message // the message whose leg started the quiet time; its own further legs need not wait
}

// retryAfter is the time at which a retry-after was received and the time until which it holds.
type retryAfter struct{ at, until int64 }

// SenderView is what one sender has learned from others since it started. The sizes of its maps are bounded by the numbers
// of routes, receivers and keys.
type SenderView struct {
	sender      int
	retryAfters map[int]retryAfter // by route
	unlisted    map[uint32]int64   // when the sender learned that the receiver is not listed
	keyQueues   map[string]*keyQueue
}

// NewSenderView returns the view of a sender that has just started.
func NewSenderView(sender int) *SenderView {
	return &SenderView{sender: sender, retryAfters: map[int]retryAfter{}, unlisted: map[uint32]int64{}, keyQueues: map[string]*keyQueue{}}
}

// Listed records that the sender learned whether a receiver is listed.
func (v *SenderView) Listed(receiver uint32, listed bool, now int64) {
	if listed {
		delete(v.unlisted, receiver)
	} else if _, already := v.unlisted[receiver]; !already {
		v.unlisted[receiver] = now
	}
}

// Accepted records that the sender accepted a message. key is empty for an unordered message.
func (v *SenderView) Accepted(m *Message, key string) {
	if key == "" {
		return
	}
	if m.keyQueue = v.keyQueues[key]; m.keyQueue == nil {
		m.keyQueue = &keyQueue{}
		v.keyQueues[key] = m.keyQueue
	}
	m.keyQueue.msgs = append(m.keyQueue.msgs, m)
}

// releaseKey removes an ended message without open legs from its key's queue, so that the next may be sent.
func (m *Message) releaseKey() {
	if m.keyQueue == nil || !m.Ended || m.openLegs() > 0 {
		return
	}
	for i, o := range m.keyQueue.msgs {
		if o == m {
			m.keyQueue.msgs = append(m.keyQueue.msgs[:i], m.keyQueue.msgs[i+1:]...)
			return
		}
	}
}

// Sent checks and records a leg.
func (c *Checker) Sent(v *SenderView, m *Message, receiver uint32, zone, route int, now int64) {
	report := func(r Rule, format string, a ...any) {
		c.add(Violation{Rule: r, At: now, Sender: v.sender, Message: m.ID, Dst: m.Dst, What: fmt.Sprintf(format, a...)})
	}
	if m.Ended {
		report(Answer, "a leg went out after the final answer")
	}
	c.checkEffect(m, zone, now, report)
	if at, isUnlisted := v.unlisted[receiver]; isUnlisted && now > at+c.tolerances.DrainGrace {
		report(Drain, "receiver %d drains or is gone, told %d ms ago", receiver, (now-at)/1000)
	}
	if latest := v.retryAfters[route]; now < latest.until-c.tolerances.RetryAfterSlack && now > latest.at {
		report(Wait, "a wait that was told runs for %d ms more", (latest.until-now)/1000)
	}
	if q := m.keyQueue; q != nil {
		switch {
		case q.msgs[0] != m:
			report(Order, "message %s of the same key is not over", q.msgs[0].ID)
		case now < q.quietUntil && q.quietAfter != m:
			report(Order, "the key rests for %d ms more", (q.quietUntil-now)/1000)
		}
	}
	m.Legs = append(m.Legs, Leg{At: now, Zone: zone})
}

// checkEffect checks that a further leg cannot take effect a second time.
func (c *Checker) checkEffect(m *Message, zone int, now int64, report func(Rule, string, ...any)) {
	first := m.firstUnsafeLeg()
	if first == nil || m.Class.RetryMode == choice.Retriable {
		return
	}
	switch {
	case m.Class.RetryMode == choice.NonRetriable:
		report(Effect, "an earlier leg may have run, and the lane allows no repeat")
	case now > first.At+m.Class.KeyWindow:
		report(Effect, "the first leg that may have run went out %d ms ago; its key is forgotten", (now-first.At)/1000)
	case !m.Class.DstWideKeys && zone != first.Zone:
		report(Effect, "the key is known in zone %d only", first.Zone)
	}
}

// Probed checks a probe.
func (c *Checker) Probed(v *SenderView, dst int64, route int, now int64) {
	if latest := v.retryAfters[route]; now < latest.until-c.tolerances.RetryAfterSlack && now > latest.at {
		c.add(Violation{Rule: Wait, At: now, Sender: v.sender, Dst: dst, What: "a probe while a wait that was told runs"})
	}
}

// RetryAfterReceived records that the sender received a retry-after for a route; the latest end counts.
func (v *SenderView) RetryAfterReceived(route int, duration, now int64) {
	if latest := v.retryAfters[route]; now+duration > latest.until {
		v.retryAfters[route] = retryAfter{now, now + duration}
	}
}

// Settled records the outcome of a leg. final means that the message needs no further answer.
func (c *Checker) Settled(m *Message, leg int, o choice.Outcome, final bool, now int64) {
	m.Legs[leg].Settled, m.Legs[leg].Outcome = true, o
	if m.keyQueue != nil && (o == choice.TimedOut || o == choice.Reset || o == choice.Cancelled) {
		m.keyQueue.quietUntil, m.keyQueue.quietAfter = now+c.tolerances.KeyQuietTime, m
	}
	if final {
		m.Ended = true
	}
	m.releaseKey()
}

// Withdrawn records that the sender learned that the message is no longer wanted.
func (m *Message) Withdrawn() {
	m.Ended = true
	m.releaseKey()
}

// Ended checks a final answer.
func (c *Checker) Ended(v *SenderView, m *Message, rejected bool, now int64) {
	report := func(r Rule, what string) {
		c.add(Violation{Rule: r, At: now, Sender: v.sender, Message: m.ID, Dst: m.Dst, What: what})
	}
	if m.Ended {
		report(Answer, "a second final answer")
		return
	}
	m.Ended = true
	if now > m.Expires+c.tolerances.AnswerGrace {
		report(Answer, fmt.Sprintf("answered %d ms after its time was up", (now-m.Expires)/1000))
	}
	if rejected && m.MayHaveRun() {
		switch {
		case m.Class.RetryMode == choice.NonRetriable:
			report(Effect, "pushed back, though a leg may have run")
		case m.Class.RetryMode == choice.Keyed && !m.Class.DstWideKeys:
			report(Effect, "pushed back, though a leg may have run and its key is not known everywhere")
		}
	}
	m.releaseKey()
}

// Unanswered checks a message that a running sender still has at the end of the run.
func (c *Checker) Unanswered(v *SenderView, m *Message, now int64) {
	if !m.Ended && now > m.Expires+c.tolerances.AnswerGrace {
		c.add(Violation{Rule: Answer, At: now, Sender: v.sender, Message: m.ID, Dst: m.Dst,
			What: fmt.Sprintf("no final answer %d ms after its time was up", (now-m.Expires)/1000)})
	}
}

// minUninformed is the share of the load from uninformed senders above which a collapse violates no rule. A sender is
// informed if it had seen a call or probe fail or be refused in the outage.
const minUninformed = 1.0 / 3

// Collapsed checks the collapse of a cold route. informedShare is the share of the load from informed senders.
func (c *Checker) Collapsed(dst int64, informedShare float64, now int64) {
	if 1-informedShare <= minUninformed {
		c.add(Violation{Rule: Return, At: now, Sender: -1, Dst: dst,
			What: fmt.Sprintf("pushed over as it came back, %.0f%% of the load from senders that knew", 100*informedShare)})
	}
}
