package world

import (
	"math"
	"slices"

	"ravenlink/choice"
	"ravenlink/internal/lab/draw"
	"ravenlink/internal/lab/policy"
	"ravenlink/internal/lab/receivers"
	"ravenlink/internal/lab/rules"
)

// handIn is a message that a sender has accepted, until it is done with it.
type handIn struct {
	message *message
	record  rules.Message
	legs    []*call
}

// sender models a sender: its process, and the state that outlasts the process.
type sender struct {
	w           *World
	number      int
	zone        int
	up          bool
	incarnation uint64 // number of starts
	policy      policy.Policy
	view        *rules.SenderView
	handIns     map[string]*handIn // until a message has ended and has no open leg
	idleConns   map[uint32][]*conn
	inFlight    int // calls in flight

	list          map[uint32]choice.Entry // the receiver list that it last received; outlasts the process
	staleFaults   int                     // active faults that withhold list changes from it
	missedChanges map[uint32]bool         // withheld list changes
	lastTick      int64                   // time of the latest tick
	tickScheduled bool
	timerID       uint64
	queuedCalls   []*call // calls to send at the end of the tick
	clockDrift    float64 // rate by which its clock runs fast
	clockOffset   float64 // µs by which its clock is ahead
	clockReadAt   int64

	believedUp bool // by the load balancer
}

// Events of a sender.
const (
	evTick uint8 = iota
	evTimer
	evListChange
	evSnapshot
	evNote
	evDownDetected
	evRestart
)

func newSender(w *World, number int) *sender {
	return &sender{w: w, number: number, zone: number % w.sc.Fleet.Zones, list: map[uint32]choice.Entry{}, missedChanges: map[uint32]bool{},
		believedUp: true, clockReadAt: w.Now()}
}

// startProcess starts the process with the receiver list that the previous one had.
func (s *sender) startProcess(cached []choice.Entry) {
	s.incarnation++
	s.up, s.believedUp = true, true
	s.view, s.handIns, s.idleConns, s.inFlight = rules.NewSenderView(s.number), map[string]*handIn{}, map[uint32][]*conn{}, 0
	s.queuedCalls, s.tickScheduled = nil, false
	s.timerID++
	start := s.w.start
	start.Host, start.Sender, start.Topology.Zone = s, s.number, s.zone
	start.Seed = draw.Stream(s.w.seed, "sender", s.number<<20|int(s.incarnation)).Uint64()
	s.policy = s.w.newPolicy(start)
	s.updateList(choice.Cached, cached)
	s.w.At(s.w.Now()+s.w.listDelay(), s, evSnapshot, s.incarnation)
}

// now returns the time of the sender's own clock.
func (s *sender) now() int64 {
	s.advanceClock()
	return s.w.Now() + int64(math.Round(s.clockOffset)) // the sum of many parts is slightly off whole microseconds
}

func (s *sender) advanceClock() {
	s.clockOffset += s.clockDrift * float64(s.w.Now()-s.clockReadAt)
	s.clockReadAt = s.w.Now()
}

// notify passes an event to the policy and schedules a tick.
func (s *sender) notify(event func(policy.Policy)) {
	s.policy.SetTime(s.now())
	event(s.policy)
	s.scheduleTick()
}

func (s *sender) scheduleTick() {
	if s.tickScheduled {
		return
	}
	s.tickScheduled = true
	s.w.At(max(s.w.Now(), s.lastTick+int64(s.w.sc.Fleet.MinTickInterval)), s, evTick, s.incarnation)
}

// Handle implements loop.Handler. It ignores events of earlier incarnations.
func (s *sender) Handle(kind uint8, n uint64) {
	switch kind {
	case evTick:
		if n == s.incarnation && s.up {
			s.decide()
		}
	case evTimer:
		if n == s.timerID && s.up {
			s.notify(func(p policy.Policy) { p.TimerFired(0) })
		}
	case evListChange:
		s.listChanged(uint32(n))
	case evSnapshot:
		if n == s.incarnation && s.up && s.staleFaults == 0 {
			s.updateList(choice.Snapshot, s.w.listEntries(nil))
		}
	case evNote:
		if s.up {
			s.notify(func(p policy.Policy) { p.ReceiveNote(s.w.notes.take(n)) })
		} else {
			s.w.notes.take(n)
		}
	case evDownDetected:
		if n == s.incarnation && !s.up && s.w.blindFaults == 0 {
			s.believedUp = false
		}
	case evRestart:
		if !s.up && n == s.incarnation {
			s.startProcess(s.cachedList())
			s.w.emit(event{Event: "sender up", Sender: s.name()})
		}
	}
}

func (s *sender) decide() {
	s.tickScheduled = false
	s.lastTick = s.w.Now()
	s.policy.SetTime(s.now())
	s.policy.Decide()
	calls := s.queuedCalls
	s.queuedCalls = nil
	for _, c := range calls {
		c.send()
	}
}

// cachedList returns the listed receivers that the sender last knew, in a fixed order.
func (s *sender) cachedList() (es []choice.Entry) {
	for _, x := range s.w.allRecvs {
		if e, known := s.list[x.id]; known && e.Listed {
			es = append(es, e)
		}
	}
	return es
}

func (s *sender) updateList(kind choice.ListKind, es []choice.Entry) {
	now := s.w.Now()
	if kind != choice.Delta {
		present := make(map[uint32]bool, len(es))
		for _, e := range es {
			present[e.Receiver] = true
		}
		for _, x := range s.w.allRecvs {
			if e, known := s.list[x.id]; known && e.Listed && !present[x.id] {
				e.Listed = false
				s.list[x.id] = e
				s.view.Listed(x.id, false, now)
			}
		}
	}
	for _, e := range es {
		s.list[e.Receiver] = e
		s.view.Listed(e.Receiver, e.Listed, now)
	}
	s.notify(func(p policy.Policy) { p.UpdateList(kind, es) })
}

// listChanged passes a list change to the policy, with the entry as it is now rather than when it changed.
func (s *sender) listChanged(id uint32) {
	if s.staleFaults > 0 {
		s.missedChanges[id] = true
		return
	}
	if s.up {
		s.updateList(choice.Delta, s.w.listEntries(s.w.recvByID[id]))
	}
}

// deliverMissedChanges passes on the changes that were withheld.
func (s *sender) deliverMissedChanges() {
	if s.staleFaults > 0 {
		return
	}
	for _, x := range s.w.allRecvs {
		if s.missedChanges[x.id] {
			s.listChanged(x.id)
		}
	}
	clear(s.missedChanges)
}

// accept hands a message in at the sender. The message may have ended before accept returns.
func (s *sender) accept(m *message) {
	w := s.w
	if !s.up {
		w.clients.senderDown(m)
		return
	}
	if len(s.handIns) >= w.start.Limits.MaxQueued {
		w.tally.RejectedFull++
		w.emit(event{Event: "no room", Message: m.id, Sender: s.name(), Dst: m.dst.number})
		w.clients.rejected(m, min(fullRetryAfter, w.start.Capabilities.MaxRetryAfter))
		return
	}
	h := &handIn{message: m, record: rules.Message{ID: m.id, Dst: m.dst.number, Class: &w.classes[m.class], Expires: m.deadline}}
	m.acceptedBy = s
	m.incarnation = s.incarnation
	s.handIns[m.id] = h
	w.tally.Accepted++
	key := ""
	if h.record.Class.Ordered {
		key = m.key
	}
	s.view.Accepted(&h.record, key)
	w.emit(event{Event: "taken", Message: m.id, Sender: s.name(), Dst: m.dst.number})
	s.notify(func(p policy.Policy) {
		p.Accept(m.id, m.class, key, m.dst.number, m.deadline+s.now()-w.Now())
	})
}

// withdraw tells the sender that the client has left.
func (s *sender) withdraw(id string) {
	if h := s.handIns[id]; h != nil {
		h.record.Withdrawn()
		s.notify(func(p policy.Policy) { p.Withdraw(id) })
		s.dropIfDone(h)
	}
}

func (s *sender) dropIfDone(h *handIn) {
	if !h.record.Ended {
		return
	}
	for _, l := range h.record.Legs {
		if !l.Settled {
			return
		}
	}
	delete(s.handIns, h.record.ID)
}

func (s *sender) name() int { return s.number + 1 }

// Send queues a leg for the end of the tick. Legs to a receiver that accepts batches share a call.
func (s *sender) Send(id string, to uint32, timeout int64) {
	w, h, x := s.w, s.handIns[id], s.w.recvByID[to]
	if h == nil || x == nil {
		return
	}
	w.checker.Sent(s.view, &h.record, to, x.zone, x.model.Route.Number, w.Now())
	w.tally.legSent(h, x)
	w.emit(event{Event: "leg", Message: id, Sender: s.name(), Dst: x.dst.number, Receiver: to, Number: len(h.record.Legs)})
	number := len(h.record.Legs) - 1
	for _, c := range s.queuedCalls {
		if c.to == x && !c.probe && len(c.handIns) < w.kinds[x.dst.kind].Batch {
			c.addLeg(h, number, timeout)
			return
		}
	}
	c := newCall(s, x, timeout)
	c.addLeg(h, number, timeout)
	s.queuedCalls = append(s.queuedCalls, c)
	s.inFlight++
}

// Cancel cancels a leg.
func (s *sender) Cancel(id string, leg int) {
	h := s.handIns[id]
	if h == nil || leg < 0 || leg >= len(h.legs) {
		return
	}
	if c := h.legs[leg]; !c.settled {
		s.w.At(s.w.Now(), c, evCancelled, 0)
	}
}

// Reject rejects a message, which the client may safely hand in again.
func (s *sender) Reject(id string, retryAfter int64) { s.endMessage(id, true, retryAfter) }

// Fail ends a message without saying whether it has run.
func (s *sender) Fail(id string) { s.endMessage(id, false, 0) }

func (s *sender) endMessage(id string, rejected bool, retryAfter int64) {
	h := s.handIns[id]
	if h == nil {
		return
	}
	w, first := s.w, !h.record.Ended
	w.checker.Ended(s.view, &h.record, rejected, w.Now())
	if first {
		outcome := "failed"
		if rejected {
			outcome = "pushed back"
		}
		w.emit(event{Event: outcome, Message: id, Sender: s.name(), Dst: h.record.Dst, RetryAfter: retryAfter})
		if rejected {
			w.clients.rejected(h.message, retryAfter)
		} else {
			w.clients.failed(h.message)
		}
	}
	s.dropIfDone(h)
}

// SetTimer sets the sender's only timer, replacing the previous setting.
func (s *sender) SetTimer(in int64, _ uint64) {
	s.timerID++
	s.w.At(s.w.Now()+max(1, int64(float64(in)/(1+s.clockDrift))), s, evTimer, s.timerID)
}

// Probe queues a health check of a receiver for the end of the tick.
func (s *sender) Probe(to uint32) {
	x := s.w.recvByID[to]
	if x == nil {
		return
	}
	s.w.checker.Probed(s.view, x.dst.number, x.model.Route.Number, s.w.Now())
	s.w.tally.Probes++
	s.w.emit(event{Event: "probe", Sender: s.name(), Dst: x.dst.number, Receiver: to})
	c := newCall(s, x, int64(s.w.sc.Network.ConnectTimeout))
	c.probe = true
	s.queuedCalls = append(s.queuedCalls, c)
}

// CloseIdle closes the idle connections to a receiver.
func (s *sender) CloseIdle(to uint32) {
	for _, c := range s.idleConns[to] {
		c.close()
	}
	delete(s.idleConns, to)
}

// Share does nothing: in this simulation, peers only exchange notes.
func (s *sender) Share(choice.Observation) {}

// Broadcast sends a note to every peer; some notes are lost.
func (s *sender) Broadcast(text string) {
	w := s.w
	for _, o := range w.senders {
		if o == s {
			continue
		}
		w.tally.Notes++
		if w.netRand.Float64() < 1-(1-w.sc.Network.NoteLoss)*(1-w.noteLoss) {
			continue
		}
		at := w.Now() + draw.Uniform(w.netRand, int64(w.sc.Network.NoteDelay), .5)
		w.At(at, o, evNote, w.notes.put(text))
	}
}

// Subscribe does nothing: this simulation delivers the receiver list unasked.
func (s *sender) Subscribe() {}

// Log writes the text to the trace.
func (s *sender) Log(text string) { s.w.emit(event{Event: "says", Sender: s.name(), Text: text}) }

// crash ends the process: connections close, and clients hand its messages in again where that is safe.
func (s *sender) crash() {
	if !s.up {
		return
	}
	w := s.w
	s.up = false
	s.timerID++
	w.emit(event{Event: "sender down", Sender: s.name()})
	ids := make([]string, 0, len(s.handIns))
	for id := range s.handIns {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		h := s.handIns[id]
		for _, c := range h.legs {
			c.abandon()
		}
		if !h.record.Ended {
			w.clients.orphaned(h)
		}
	}
	tos := make([]uint32, 0, len(s.idleConns))
	for to := range s.idleConns {
		tos = append(tos, to)
	}
	slices.Sort(tos)
	for _, to := range tos {
		s.CloseIdle(to)
	}
	s.handIns, s.queuedCalls, s.inFlight = map[string]*handIn{}, nil, 0
}

// checkUnanswered checks, at the end of the run, the messages that have not been answered.
func (s *sender) checkUnanswered() {
	if !s.up {
		return
	}
	ids := make([]string, 0, len(s.handIns))
	for id := range s.handIns {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.w.checker.Unanswered(s.view, &s.handIns[id].record, s.w.Now())
	}
}

// closedReceivers returns the number of receivers that the decision module considers closed, or -1 for other policies and
// while the sender is down.
func (s *sender) closedReceivers() int {
	if m, ok := s.policy.(*choice.Sender); ok && s.up {
		return m.Stats().Closed
	}
	return -1
}

func limitReport(r receivers.LimitReport, reported bool) choice.RateLimit {
	if !reported {
		return choice.RateLimit{}
	}
	return choice.RateLimit{Known: r.Known, RemainingShare: r.RemainingShare, LimitPerSec: r.LimitPerSec}
}
