package world

import (
	"math/rand/v2"
	"slices"

	"ravenlink/choice"
	"ravenlink/internal/lab/policy"
	"ravenlink/internal/lab/receivers"
)

// conn is a connection from a sender to one incarnation of a receiver's process.
type conn struct {
	from        *sender
	to          *receiver
	model       *receivers.Receiver
	incarnation uint64
	idleSince   int64
	closed      bool
}

// usable reports whether neither end has closed the connection and the receiver's process is still the same.
func (c *conn) usable() bool {
	return !c.closed && c.model.Incarnation == c.incarnation && c.to.model == c.model
}

func (c *conn) close() {
	if c.closed {
		return
	}
	if c.model.Incarnation == c.incarnation {
		c.model.Conns--
	}
	c.closed = true
	c.to.idle = slices.DeleteFunc(c.to.idle, func(o *conn) bool { return o == c })
}

// call is one call of a sender: a batch of legs, or a probe.
type call struct {
	from         *sender
	incarnation  uint64
	to           *receiver
	probe        bool
	handIns      []*handIn
	legNumbers   []int
	timeout      int64
	sentAt       int64
	conn         *conn
	request      receivers.Call
	arrived      bool
	settled      bool
	transitRoute *receivers.Route // set until the call reaches the receiver
	answer       receivers.Answer
}

// Events of a call.
const (
	evConnect       uint8 = iota // the connection request reaches the receiver
	evRequest                    // the last byte of the request reaches the receiver
	evAnswer                     // the answer reaches the sender
	evConnectFailed              // the sender learns that the connection failed
	evTimeout                    // the sender's timeout expires
	evCancelled                  // the sender cancels the call
)

func newCall(from *sender, to *receiver, timeout int64) *call {
	c := &call{from: from, incarnation: from.incarnation, to: to, timeout: timeout, transitRoute: to.model.Route}
	c.to.inTransit++
	c.transitRoute.InTransit++
	return c
}

func (c *call) addLeg(h *handIn, number int, timeout int64) {
	c.handIns, c.legNumbers = append(c.handIns, h), append(c.legNumbers, number)
	c.timeout = min(c.timeout, timeout)
	h.legs = append(h.legs, c)
}

// pending reports whether the sender still waits for the outcome.
func (c *call) pending() bool { return !c.settled && c.from.up && c.from.incarnation == c.incarnation }

// send transmits the call on an idle connection that is recent enough, or opens a new one.
func (c *call) send() {
	w := c.from.w
	c.sentAt = w.Now()
	w.At(c.sentAt+max(1, int64(float64(c.timeout)/(1+c.from.clockDrift))), c, evTimeout, 0)
	if c.conn = c.from.takeIdleConn(c.to); c.conn != nil {
		w.At(w.Now()+w.oneWayDelay(c.from.zone, c.to.zone), c, evRequest, 0)
		return
	}
	w.At(w.Now()+w.oneWayDelay(c.from.zone, c.to.zone), c, evConnect, 0)
}

// takeIdleConn takes the most recently used idle connection to a receiver, or returns nil. It closes the dead and
// outdated connections that it meets.
func (s *sender) takeIdleConn(x *receiver) *conn {
	conns := s.idleConns[x.id]
	oldest := s.w.Now() - int64(idleReuseShare*float64(x.model.Config.IdleTimeout))
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		s.idleConns[x.id] = conns
		if c.usable() && (x.model.Config.IdleTimeout == 0 || c.idleSince >= oldest) {
			x.idle = slices.DeleteFunc(x.idle, func(o *conn) bool { return o == c })
			return c
		}
		c.close()
	}
	return nil
}

// Handle implements loop.Handler.
func (c *call) Handle(kind uint8, _ uint64) {
	switch kind {
	case evConnect:
		c.connect()
	case evRequest:
		c.reachReceiver()
	case evAnswer:
		c.receiveAnswer()
	case evConnectFailed:
		c.settle(choice.ConnectFailed, 0, receivers.LimitReport{})
	case evTimeout:
		if c.conn == nil {
			c.settle(choice.ConnectFailed, 0, receivers.LimitReport{})
		} else {
			c.settle(choice.TimedOut, 0, receivers.LimitReport{})
		}
	case evCancelled:
		c.settle(choice.Cancelled, 0, receivers.LimitReport{})
	}
}

// connect handles a connection request at the receiver.
func (c *call) connect() {
	w, m := c.from.w, c.to.model
	if !c.pending() {
		c.leaveTransit()
		return
	}
	back := w.oneWayDelay(c.from.zone, c.to.zone)
	switch {
	case m.Unreachable() || w.partitioned(c.from.number, c.to):
		w.At(c.sentAt+int64(w.sc.Network.ConnectTimeout), c, evConnectFailed, 0)
		return
	case m.RefusesConns():
		w.At(w.Now()+back, c, evConnectFailed, 0)
		return
	case m.Config.MaxConns > 0 && m.Conns >= m.Config.MaxConns && !c.to.reapIdle():
		c.answer = receivers.Answer{Kind: receivers.Refused}
		w.At(w.Now()+back, c, evAnswer, 0)
		return
	}
	m.Conns++
	w.tally.Connections++
	c.conn = &conn{from: c.from, to: c.to, model: m, incarnation: m.Incarnation}
	w.At(w.Now()+back+w.oneWayDelay(c.from.zone, c.to.zone)+m.Config.HandshakeTime, c, evRequest, 0)
}

// reapIdle closes connections that exceed the idle timeout, and reports whether another connection is allowed.
func (x *receiver) reapIdle() bool {
	m := x.model
	for m.Config.IdleTimeout > 0 && len(x.idle) > 0 && x.idle[0].idleSince+m.Config.IdleTimeout <= x.dst.tally.w.Now() {
		x.idle[0].close()
	}
	return m.Conns < m.Config.MaxConns
}

func (c *call) leaveTransit() {
	if c.transitRoute != nil {
		c.to.inTransit--
		c.transitRoute.InTransit--
		c.transitRoute = nil
	}
}

// reachReceiver handles the arrival of the complete request.
func (c *call) reachReceiver() {
	w := c.from.w
	c.leaveTransit()
	if !c.pending() {
		return
	}
	if w.partitioned(c.from.number, c.to) {
		return // the request is lost without an error
	}
	if c.conn.model != c.to.model || !c.conn.usable() { // the process has ended meanwhile: connection reset
		c.answer = receivers.Answer{Kind: receivers.Reset}
		w.At(w.Now()+w.oneWayDelay(c.from.zone, c.to.zone), c, evAnswer, 0)
		return
	}
	c.arrived = true
	c.request = receivers.Call{Sender: c.from.number, Messages: max(1, len(c.handIns)), Probe: c.probe, Caller: c}
	for _, h := range c.handIns {
		c.request.Work += h.message.work
	}
	c.request.Work /= int64(max(1, len(c.handIns)))
	c.to.model.Offer(&c.request)
}

// StillNeeded implements receivers.Caller: it reports whether a client still waits for any message of the call.
func (c *call) StillNeeded(*receivers.Call) bool {
	return c.probe || slices.ContainsFunc(c.handIns, func(h *handIn) bool { return !h.message.hasEnded() })
}

// Answered implements receivers.Caller: it sends the receiver's answer back through the network.
func (c *call) Answered(_ *receivers.Call, a receivers.Answer) {
	w := c.from.w
	if a.Kind == receivers.OK && !c.probe {
		w.tally.workDone(c)
	}
	if !c.pending() || a.Kind != receivers.Reset && (c.to.model.LosesAnswer() || c.to.model.Unreachable()) || w.partitioned(c.from.number, c.to) {
		return
	}
	c.answer = a
	w.At(w.Now()+w.oneWayDelay(c.from.zone, c.to.zone), c, evAnswer, 0)
}

func (c *call) receiveAnswer() {
	outcomes := [...]choice.Outcome{receivers.OK: choice.Delivered, receivers.Error: choice.Errored, receivers.Refused: choice.Refused,
		receivers.Reset: choice.Reset, receivers.NotNeeded: choice.NotSent}
	c.settle(outcomes[c.answer.Kind], c.answer.RetryAfter, c.answer.Limit)
}

// abandon drops a call whose sender has ended.
func (c *call) abandon() {
	if c.settled {
		return
	}
	c.settled = true
	c.to.dst.tally.inFlight -= len(c.handIns)
	c.leaveTransit()
	c.closeConn()
}

// closeConn closes the connection. Work that the receiver has begun continues; a queued call may be dropped.
func (c *call) closeConn() {
	if c.conn != nil {
		c.conn.close()
	}
	if c.arrived {
		c.to.model.Cancel(&c.request)
	}
}

// settle reports the outcome of the call to the sender, once.
func (c *call) settle(o choice.Outcome, retryAfter int64, report receivers.LimitReport) {
	if !c.pending() {
		return
	}
	c.settled = true
	c.leaveTransit()
	w, from, now := c.from.w, c.from, c.from.w.Now()
	switch o {
	case choice.Delivered, choice.Errored, choice.Refused, choice.NotSent:
		c.releaseConn(now)
	default:
		c.closeConn()
	}
	route := c.to.model.Route
	if o != choice.Delivered && o != choice.NotSent && o != choice.Cancelled && route.OutageSince(c.sentAt) {
		route.SawOutage(from.number)
	}
	if o == choice.Refused && retryAfter > 0 {
		from.view.RetryAfterReceived(route.Number, retryAfter, now)
	}
	reports := w.sc.Kinds[c.to.dst.kind].LoadReports
	if c.probe {
		from.notify(func(p policy.Policy) { p.ProbeEnded(c.to.id, o, limitReport(report, reports != "off")) })
		return
	}
	from.inFlight--
	w.tally.settled(c, o, now)
	for i, h := range c.handIns {
		c.settleLeg(h, c.legNumbers[i], o, retryAfter, limitReport(report, reports == "calls"))
	}
}

func (c *call) settleLeg(h *handIn, number int, o choice.Outcome, retryAfter int64, limit choice.RateLimit) {
	w, from, now := c.from.w, c.from, c.from.w.Now()
	final := o == choice.Delivered || o == choice.NotSent
	w.emit(event{Event: "settled", Message: h.record.ID, Sender: from.name(), Dst: c.to.dst.number, Receiver: c.to.id,
		Number: number + 1, Outcome: outcomeNames[o], RetryAfter: retryAfter, Took: now - c.sentAt})
	alreadyEnded := h.record.Ended
	w.checker.Settled(&h.record, number, o, final, now)
	if o == choice.Delivered && !alreadyEnded {
		w.clients.delivered(h.message, now)
	}
	from.notify(func(p policy.Policy) { p.LegEnded(h.record.ID, number, o, retryAfter, final, limit) })
	from.dropIfDone(h)
}

// releaseConn returns the connection to the idle pool.
func (c *call) releaseConn(now int64) {
	if c.conn == nil || !c.conn.usable() {
		return
	}
	c.conn.idleSince = now
	c.from.idleConns[c.to.id] = append(c.from.idleConns[c.to.id], c.conn)
	if c.to.model.Config.MaxConns > 0 {
		c.to.idle = append(c.to.idle, c.conn)
	}
}

var outcomeNames = [...]string{"delivered", "errored", "full", "timed out", "not connected", "reset", "called off", "skipped"}

// partition is a network failure that drops everything between some senders and some destinations.
type partition struct {
	senders      map[int]bool
	destinations map[*destination]bool
}

func (w *World) partitioned(sender int, x *receiver) bool {
	for _, p := range w.partitions {
		if p.senders[sender] && p.destinations[x.dst] {
			return true
		}
	}
	return false
}

func newPartition(r *rand.Rand, senders int, share float64, dsts []*destination) *partition {
	p := &partition{senders: map[int]bool{}, destinations: map[*destination]bool{}}
	for _, i := range sampleIndices(r, senders, share) {
		p.senders[i] = true
	}
	for _, d := range dsts {
		p.destinations[d] = true
	}
	return p
}
