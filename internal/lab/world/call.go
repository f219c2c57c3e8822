package world

import (
	"math/rand/v2"
	"slices"

	"ravenlink/choice"
	"ravenlink/internal/lab/policy"
	"ravenlink/internal/lab/receivers"
)

// conn is a connection from a sender to a receiver, as one of its starts knows it.
type conn struct {
	s         *sender
	to        *receiver
	model     *receivers.Receiver
	since     uint64
	idleSince int64
	closed    bool
}

// alive tells whether the receiver's end of it is there still.
func (c *conn) alive() bool { return !c.closed && c.model.Since == c.since && c.to.model == c.model }

func (c *conn) close() {
	if c.closed {
		return
	}
	if c.model.Since == c.since {
		c.model.Conns--
	}
	c.closed = true
	c.to.idle = slices.DeleteFunc(c.to.idle, func(o *conn) bool { return o == c })
}

// call is one call from a sender: its messages' legs, or a probe.
type call struct {
	s        *sender
	life     uint64
	to       *receiver
	probe    bool
	hands    []*hand
	numbers  []int
	patience int64
	sentAt   int64
	conn     *conn
	c        receivers.Call
	arrived  bool
	settled  bool
	route    *receivers.Route // while it is on its way there
	answer   receivers.Answer
}

// The events of a call.
const (
	evKnock     uint8 = iota // a new connection's first word is at the receiver
	evArrive                 // the last byte is
	evAnswer                 // the answer is back
	evRefused                // word that no connection came up is back
	evPatience               // its sender waits no longer
	evCancelled              // its sender has called it off
)

func newCall(s *sender, to *receiver, patience int64) *call {
	c := &call{s: s, life: s.life, to: to, patience: patience, route: to.model.Route}
	c.to.coming++
	c.route.Coming++
	return c
}

func (c *call) join(h *hand, number int, patience int64) {
	c.hands, c.numbers = append(c.hands, h), append(c.numbers, number)
	c.patience = min(c.patience, patience)
	h.legs = append(h.legs, c)
}

// live tells whether anything of it still matters to its sender.
func (c *call) live() bool { return !c.settled && c.s.up && c.s.life == c.life }

// depart puts it on its way: on an idle connection that is young enough, else on a new one.
func (c *call) depart() {
	w := c.s.w
	c.sentAt = w.Now()
	w.At(c.sentAt+max(1, int64(float64(c.patience)/(1+c.s.drift))), c, evPatience, 0)
	if c.conn = c.s.idleConn(c.to); c.conn != nil {
		w.At(w.Now()+w.oneWay(c.s.zone, c.to.zone), c, evArrive, 0)
		return
	}
	w.At(w.Now()+w.oneWay(c.s.zone, c.to.zone), c, evKnock, 0)
}

// idleConn takes the idle connection used last, if it is there still; dead and old ones go.
func (s *sender) idleConn(x *receiver) *conn {
	pool := s.pools[x.id]
	oldest := s.w.Now() - int64(keptIdle*float64(x.model.Nature.ConnIdle))
	for len(pool) > 0 {
		c := pool[len(pool)-1]
		pool = pool[:len(pool)-1]
		s.pools[x.id] = pool
		if c.alive() && (x.model.Nature.ConnIdle == 0 || c.idleSince >= oldest) {
			x.idle = slices.DeleteFunc(x.idle, func(o *conn) bool { return o == c })
			return c
		}
		c.close()
	}
	return nil
}

// Handle is for the loop.
func (c *call) Handle(kind uint8, _ uint64) {
	switch kind {
	case evKnock:
		c.knock()
	case evArrive:
		c.arrive()
	case evAnswer:
		c.heard()
	case evRefused:
		c.settle(choice.ConnectFailed, 0, receivers.Load{})
	case evPatience:
		if c.conn == nil {
			c.settle(choice.ConnectFailed, 0, receivers.Load{})
		} else {
			c.settle(choice.TimedOut, 0, receivers.Load{})
		}
	case evCancelled:
		c.settle(choice.Cancelled, 0, receivers.Load{})
	}
}

// knock is a new connection's first word at the receiver.
func (c *call) knock() {
	w, m := c.s.w, c.to.model
	if !c.live() {
		c.arrivedThere()
		return
	}
	back := w.oneWay(c.s.zone, c.to.zone)
	switch {
	case m.Silent() || w.isCut(c.s.number, c.to):
		w.At(c.sentAt+int64(w.sc.Network.ConnectTimeout), c, evRefused, 0)
		return
	case m.Refuses():
		w.At(w.Now()+back, c, evRefused, 0)
		return
	case m.Nature.MostConns > 0 && m.Conns >= m.Nature.MostConns && !c.to.reap():
		c.answer = receivers.Answer{Kind: receivers.Full}
		w.At(w.Now()+back, c, evAnswer, 0)
		return
	}
	m.Conns++
	w.tally.Connections++
	c.conn = &conn{s: c.s, to: c.to, model: m, since: m.Since}
	w.At(w.Now()+back+w.oneWay(c.s.zone, c.to.zone)+m.Nature.Handshake, c, evArrive, 0)
}

// reap closes what has stood idle too long, and tells whether there is room for another connection.
func (x *receiver) reap() bool {
	m := x.model
	for m.Nature.ConnIdle > 0 && len(x.idle) > 0 && x.idle[0].idleSince+m.Nature.ConnIdle <= x.dst.tally.w.Now() {
		x.idle[0].close()
	}
	return m.Conns < m.Nature.MostConns
}

func (c *call) arrivedThere() {
	if c.route != nil {
		c.to.coming--
		c.route.Coming--
		c.route = nil
	}
}

// arrive is its last byte at the receiver.
func (c *call) arrive() {
	w := c.s.w
	c.arrivedThere()
	if !c.live() {
		return
	}
	if w.isCut(c.s.number, c.to) {
		return // it never gets there, and nobody says so
	}
	if c.conn.model != c.to.model || !c.conn.alive() { // the process went meanwhile: a reset
		c.answer = receivers.Answer{Kind: receivers.Broken}
		w.At(w.Now()+w.oneWay(c.s.zone, c.to.zone), c, evAnswer, 0)
		return
	}
	c.arrived = true
	c.c = receivers.Call{Sender: c.s.number, Messages: max(1, len(c.hands)), Probe: c.probe, Sink: c}
	for _, h := range c.hands {
		c.c.Work += h.order.work
	}
	c.c.Work /= int64(max(1, len(c.hands)))
	c.to.model.Offer(&c.c)
}

// Live tells the receiver whether anybody wants a message of it still.
func (c *call) Live(*receivers.Call) bool {
	return c.probe || slices.ContainsFunc(c.hands, func(h *hand) bool { return !h.order.over() })
}

// Answered takes the receiver's answer, which sets out on its way back.
func (c *call) Answered(_ *receivers.Call, a receivers.Answer) {
	w := c.s.w
	if a.Kind == receivers.OK && !c.probe {
		w.tally.ran(c)
	}
	if !c.live() || a.Kind != receivers.Broken && (c.to.model.LosesAnswer() || c.to.model.Silent()) || w.isCut(c.s.number, c.to) {
		return
	}
	c.answer = a
	w.At(w.Now()+w.oneWay(c.s.zone, c.to.zone), c, evAnswer, 0)
}

func (c *call) heard() {
	outcomes := [...]choice.Outcome{receivers.OK: choice.Delivered, receivers.Error: choice.Errored, receivers.Full: choice.Full,
		receivers.Broken: choice.Reset, receivers.Over: choice.Skipped}
	c.settle(outcomes[c.answer.Kind], c.answer.Wait, c.answer.Load)
}

// abandon lets go of a call whose sender is gone.
func (c *call) abandon() {
	if c.settled {
		return
	}
	c.settled = true
	c.to.dst.tally.out -= len(c.hands)
	c.arrivedThere()
	c.hangUp()
}

// hangUp closes its connection; what the receiver has begun runs on.
func (c *call) hangUp() {
	if c.conn != nil {
		c.conn.close()
	}
	if c.arrived {
		c.to.model.Leave(&c.c)
	}
}

// settle tells the sender how its call went, once.
func (c *call) settle(o choice.Outcome, wait int64, load receivers.Load) {
	if !c.live() {
		return
	}
	c.settled = true
	c.arrivedThere()
	w, s, now := c.s.w, c.s, c.s.w.Now()
	switch o {
	case choice.Delivered, choice.Errored, choice.Full, choice.Skipped:
		c.keep(now)
	default:
		c.hangUp()
	}
	rt := c.to.model.Route
	if o != choice.Delivered && o != choice.Skipped && o != choice.Cancelled && rt.IllSince(c.sentAt) {
		rt.Noticed(s.number)
	}
	if o == choice.Full && wait > 0 {
		s.desk.Told(rt.Number, wait, now)
	}
	reports := w.sc.Kinds[c.to.dst.kind].Reports
	if c.probe {
		s.tell(func(p policy.Policy) { p.Probed(c.to.id, o, report(load, reports != "off")) })
		return
	}
	s.out--
	w.tally.settled(c, o, now)
	for i, h := range c.hands {
		c.settleOne(h, c.numbers[i], o, wait, report(load, reports == "calls"))
	}
}

func (c *call) settleOne(h *hand, number int, o choice.Outcome, wait int64, rep choice.Report) {
	w, s, now := c.s.w, c.s, c.s.w.Now()
	final := o == choice.Delivered || o == choice.Skipped
	w.say(event{Event: "settled", Message: h.msg.ID, Sender: s.name(), Dst: c.to.dst.number, Receiver: c.to.id,
		Number: number + 1, Outcome: outcomeNames[o], Wait: wait, Took: now - c.sentAt})
	ended := h.msg.Ended
	w.judge.Settled(&h.msg, number, o, final, now)
	if o == choice.Delivered && !ended {
		w.clients.delivered(h.order, now)
	}
	s.tell(func(p policy.Policy) { p.Settled(h.msg.ID, number, o, wait, final, rep) })
	s.forget(h)
}

// keep puts its connection among the idle ones.
func (c *call) keep(now int64) {
	if c.conn == nil || !c.conn.alive() {
		return
	}
	c.conn.idleSince = now
	c.s.pools[c.to.id] = append(c.s.pools[c.to.id], c.conn)
	if c.to.model.Nature.MostConns > 0 {
		c.to.idle = append(c.to.idle, c.conn)
	}
}

var outcomeNames = [...]string{"delivered", "errored", "full", "timed out", "not connected", "reset", "called off", "skipped"}

// cut is a part of the network that does not carry anything between some senders and some receivers.
type cut struct {
	senders map[int]bool
	to      map[*destination]bool
}

func (w *World) isCut(sender int, x *receiver) bool {
	for _, c := range w.cuts {
		if c.senders[sender] && c.to[x.dst] {
			return true
		}
	}
	return false
}

func newCut(r *rand.Rand, senders int, share float64, dsts []*destination) *cut {
	c := &cut{senders: map[int]bool{}, to: map[*destination]bool{}}
	for _, i := range drawn(r, senders, share) {
		c.senders[i] = true
	}
	for _, d := range dsts {
		c.to[d] = true
	}
	return c
}
