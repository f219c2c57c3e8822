// Package rules judges what senders do by the six rules. It sees what passes between a sender and the world, and nothing
// of the sender's reasons. It has no I/O and no clock.
package rules

import (
	"fmt"

	"ravenlink/choice"
)

// Rule is one of the six.
type Rule string

// The rules.
const (
	Answer Rule = "answer" // one final answer in time, nothing sent after it
	Effect Rule = "effect" // no effect twice
	Drain  Rule = "drain"  // nothing new to what drains or is gone
	Return Rule = "return" // what comes back from an outage is not pushed over
	Order  Rule = "order"  // messages of one key in turn
	Wait   Rule = "wait"   // told waits are heeded
)

// All lists them.
var All = []Rule{Answer, Effect, Drain, Return, Order, Wait}

// mostKept is how many breaches are kept in words; all are counted.
const mostKept = 20

// Breach is a rule broken.
type Breach struct {
	Rule    Rule   `json:"rule"`
	At      int64  `json:"at_us"`
	Sender  int    `json:"sender"`
	Message string `json:"message,omitempty"`
	Dst     int64  `json:"destination,omitempty"`
	What    string `json:"what"`
}

// Figures are what the rules leave open, in µs.
type Figures struct {
	AnswerGrace, DrainGrace, WaitSlack, KeyRest int64
}

// Judge keeps the breaches of a run.
type Judge struct {
	figures Figures
	Counts  map[Rule]int
	Kept    []Breach // the first few
}

// NewJudge starts a run.
func NewJudge(f Figures) *Judge { return &Judge{figures: f, Counts: map[Rule]int{}} }

func (j *Judge) broken(b Breach) {
	j.Counts[b.Rule]++
	if len(j.Kept) < mostKept {
		j.Kept = append(j.Kept, b)
	}
}

// Broken counts all breaches.
func (j *Judge) Broken() (n int) {
	for _, c := range j.Counts {
		n += c
	}
	return n
}

// Leg is one that went out.
type Leg struct {
	At      int64
	Zone    int
	Settled bool
	Outcome choice.Outcome
}

func (l Leg) mayHaveRun() bool { return !l.Settled || !l.Outcome.NeverRan() }

// Message is one that a sender has taken.
type Message struct {
	ID      string
	Dst     int64
	Lane    *choice.Lane
	Expires int64
	Legs    []Leg
	Ended   bool // it has its final answer, or its sender knows that nothing is owed
	line    *line
}

// MayHaveRun tells whether any leg may have.
func (m *Message) MayHaveRun() bool { return m.risky() != nil }

func (m *Message) risky() *Leg {
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

type line struct {
	msgs   []*Message
	rest   int64
	restBy *Message // its own further legs need not wait for it
}

type told struct{ at, until int64 }

// Desk is what one sender has been told since it started. Its tables are as large as there are routes, receivers and keys.
type Desk struct {
	sender   int
	waits    map[int]told     // by route
	unlisted map[uint32]int64 // when it was told so
	lines    map[string]*line
}

// NewDesk is for a sender that starts.
func NewDesk(sender int) *Desk {
	return &Desk{sender: sender, waits: map[int]told{}, unlisted: map[uint32]int64{}, lines: map[string]*line{}}
}

// Listed says what a sender was told of a receiver.
func (d *Desk) Listed(receiver uint32, listed bool, now int64) {
	if listed {
		delete(d.unlisted, receiver)
	} else if _, already := d.unlisted[receiver]; !already {
		d.unlisted[receiver] = now
	}
}

// Took says that a sender took a message. key is empty for one without an order.
func (d *Desk) Took(m *Message, key string) {
	if key == "" {
		return
	}
	if m.line = d.lines[key]; m.line == nil {
		m.line = &line{}
		d.lines[key] = m.line
	}
	m.line.msgs = append(m.line.msgs, m)
}

// leave lets the next of a key go, once a message is over and nothing of it is out.
func (m *Message) leave() {
	if m.line == nil || !m.Ended || m.openLegs() > 0 {
		return
	}
	for i, o := range m.line.msgs {
		if o == m {
			m.line.msgs = append(m.line.msgs[:i], m.line.msgs[i+1:]...)
			return
		}
	}
}

// Sent judges a leg and writes it down.
func (j *Judge) Sent(d *Desk, m *Message, receiver uint32, zone, route int, now int64) {
	say := func(r Rule, format string, a ...any) {
		j.broken(Breach{Rule: r, At: now, Sender: d.sender, Message: m.ID, Dst: m.Dst, What: fmt.Sprintf(format, a...)})
	}
	if m.Ended {
		say(Answer, "a leg went out after the final answer")
	}
	j.onEffect(m, zone, now, say)
	if at, gone := d.unlisted[receiver]; gone && now > at+j.figures.DrainGrace {
		say(Drain, "receiver %d drains or is gone, told %d ms ago", receiver, (now-at)/1000)
	}
	if w := d.waits[route]; now < w.until-j.figures.WaitSlack && now > w.at {
		say(Wait, "a wait that was told runs for %d ms more", (w.until-now)/1000)
	}
	if l := m.line; l != nil {
		switch {
		case l.msgs[0] != m:
			say(Order, "message %s of the same key is not over", l.msgs[0].ID)
		case now < l.rest && l.restBy != m:
			say(Order, "the key rests for %d ms more", (l.rest-now)/1000)
		}
	}
	m.Legs = append(m.Legs, Leg{At: now, Zone: zone})
}

func (j *Judge) onEffect(m *Message, zone int, now int64, say func(Rule, string, ...any)) {
	l := m.risky()
	if l == nil || m.Lane.Repeat == choice.Retriable {
		return
	}
	switch {
	case m.Lane.Repeat == choice.NonRetriable:
		say(Effect, "an earlier leg may have run, and the lane allows no repeat")
	case now > l.At+m.Lane.Window:
		say(Effect, "the first leg that may have run went out %d ms ago; its key is forgotten", (now-l.At)/1000)
	case !m.Lane.AnyInDst && zone != l.Zone:
		say(Effect, "the key is known in zone %d only", l.Zone)
	}
}

// Probed judges a probe.
func (j *Judge) Probed(d *Desk, dst int64, route int, now int64) {
	if w := d.waits[route]; now < w.until-j.figures.WaitSlack && now > w.at {
		j.broken(Breach{Rule: Wait, At: now, Sender: d.sender, Dst: dst, What: "a probe while a wait that was told runs"})
	}
}

// Told says that a sender has been told to wait.
func (d *Desk) Told(route int, wait, now int64) {
	if w := d.waits[route]; now+wait > w.until {
		d.waits[route] = told{now, now + wait}
	}
}

// Settled says how a leg went. final says that nothing more is owed.
func (j *Judge) Settled(m *Message, number int, o choice.Outcome, final bool, now int64) {
	m.Legs[number].Settled, m.Legs[number].Outcome = true, o
	if m.line != nil && (o == choice.TimedOut || o == choice.Reset || o == choice.Cancelled) {
		m.line.rest, m.line.restBy = now+j.figures.KeyRest, m
	}
	if final {
		m.Ended = true
	}
	m.leave()
}

// Withdrawn says that a sender has learned that nobody wants a message.
func (m *Message) Withdrawn() {
	m.Ended = true
	m.leave()
}

// Ended judges a final answer.
func (j *Judge) Ended(d *Desk, m *Message, pushedBack bool, now int64) {
	say := func(r Rule, what string) {
		j.broken(Breach{Rule: r, At: now, Sender: d.sender, Message: m.ID, Dst: m.Dst, What: what})
	}
	if m.Ended {
		say(Answer, "a second final answer")
		return
	}
	m.Ended = true
	if now > m.Expires+j.figures.AnswerGrace {
		say(Answer, fmt.Sprintf("answered %d ms after its time was up", (now-m.Expires)/1000))
	}
	if pushedBack && m.MayHaveRun() {
		switch {
		case m.Lane.Repeat == choice.NonRetriable:
			say(Effect, "pushed back, though a leg may have run")
		case m.Lane.Repeat == choice.Keyed && !m.Lane.AnyInDst:
			say(Effect, "pushed back, though a leg may have run and its key is not known everywhere")
		}
	}
	m.leave()
}

// Unanswered judges a message that is with a running sender still.
func (j *Judge) Unanswered(d *Desk, m *Message, now int64) {
	if !m.Ended && now > m.Expires+j.figures.AnswerGrace {
		j.broken(Breach{Rule: Answer, At: now, Sender: d.sender, Message: m.ID, Dst: m.Dst,
			What: fmt.Sprintf("no final answer %d ms after its time was up", (now-m.Expires)/1000)})
	}
}

// mostInnocent is the share of a load that pushed a route over, from senders that knew nothing of its outage, under which
// the rule is broken.
const mostInnocent = 1.0 / 3

// Fell judges a route that was pushed over while cold. knowing is the share of the load from senders that had seen a call
// or probe fail or be refused there.
func (j *Judge) Fell(dst int64, knowing float64, now int64) {
	if 1-knowing <= mostInnocent {
		j.broken(Breach{Rule: Return, At: now, Sender: -1, Dst: dst,
			What: fmt.Sprintf("pushed over as it came back, %.0f%% of the load from senders that knew", 100*knowing)})
	}
}
