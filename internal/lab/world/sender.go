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

// hand is one hand-in of a message at a sender: taken on by it until it is over.
type hand struct {
	order *order
	msg   rules.Message
	legs  []*call
}

// sender is one sender's process and its place in the world.
type sender struct {
	w      *World
	number int
	zone   int
	up     bool
	life   uint64 // counts its starts
	policy policy.Policy
	desk   *rules.Desk
	hands  map[string]*hand // emptied as messages are over and nothing of them is out
	pools  map[uint32][]*conn
	out    int // calls

	list     map[uint32]choice.Entry // what it was told, the last thing that outlasts it
	stale    int                     // troubles that keep news from it
	missed   map[uint32]bool         // changes kept from it
	turnAt   int64                   // when the latest turn was
	turnSoon bool
	timer    uint64
	thisTurn []*call // that it sends in this turn
	drift    float64 // rate at which its clock runs fast
	offset   float64 // µs by which it is ahead
	driftAt  int64

	believed bool // up, by the front
}

// The events of a sender.
const (
	evTurn uint8 = iota
	evRing
	evListed
	evWhole
	evNoted
	evNotice
	evUp
)

func newSender(w *World, number int) *sender {
	return &sender{w: w, number: number, zone: number % w.sc.Team.Zones, list: map[uint32]choice.Entry{}, missed: map[uint32]bool{},
		believed: true, driftAt: w.Now()}
}

// begin starts its process with the list it had last.
func (s *sender) begin(remembered []choice.Entry) {
	s.life++
	s.up, s.believed = true, true
	s.desk, s.hands, s.pools, s.out = rules.NewDesk(s.number), map[string]*hand{}, map[uint32][]*conn{}, 0
	s.thisTurn, s.turnSoon = nil, false
	s.timer++
	start := s.w.start
	start.Host, start.Sender, start.Team.Zone = s, s.number, s.zone
	start.Seed = draw.Stream(s.w.seed, "sender", s.number<<20|int(s.life)).Uint64()
	s.policy = s.w.maker(start)
	s.learn(choice.Remembered, remembered)
	s.w.At(s.w.Now()+s.w.listDelay(), s, evWhole, s.life)
}

// now is the time by its own clock.
func (s *sender) now() int64 {
	s.wind()
	return s.w.Now() + int64(math.Round(s.offset)) // a sum of many parts is a hair off whole microseconds
}

func (s *sender) wind() {
	s.offset += s.drift * float64(s.w.Now()-s.driftAt)
	s.driftAt = s.w.Now()
}

// tell has the policy take in an event, and sees that a turn follows.
func (s *sender) tell(event func(policy.Policy)) {
	s.policy.At(s.now())
	event(s.policy)
	s.turn()
}

func (s *sender) turn() {
	if s.turnSoon {
		return
	}
	s.turnSoon = true
	s.w.At(max(s.w.Now(), s.turnAt+int64(s.w.sc.Team.Turn)), s, evTurn, s.life)
}

// Handle is for the loop. Events of an earlier life mean nothing.
func (s *sender) Handle(kind uint8, n uint64) {
	switch kind {
	case evTurn:
		if n == s.life && s.up {
			s.decide()
		}
	case evRing:
		if n == s.timer && s.up {
			s.tell(func(p policy.Policy) { p.Rang(0) })
		}
	case evListed:
		s.hearOf(uint32(n))
	case evWhole:
		if n == s.life && s.up && s.stale == 0 {
			s.learn(choice.Whole, s.w.entries(nil))
		}
	case evNoted:
		if s.up {
			s.tell(func(p policy.Policy) { p.Noted(s.w.notes.take(n)) })
		} else {
			s.w.notes.take(n)
		}
	case evNotice:
		if n == s.life && !s.up && s.w.blind == 0 {
			s.believed = false
		}
	case evUp:
		if !s.up && n == s.life {
			s.begin(s.remembered())
			s.w.say(event{Event: "sender up", Sender: s.name()})
		}
	}
}

func (s *sender) decide() {
	s.turnSoon = false
	s.turnAt = s.w.Now()
	s.policy.At(s.now())
	s.policy.Decide()
	calls := s.thisTurn
	s.thisTurn = nil
	for _, c := range calls {
		c.depart()
	}
}

// remembered is the list it had last, in a fixed order.
func (s *sender) remembered() (es []choice.Entry) {
	for _, x := range s.w.order {
		if e, known := s.list[x.id]; known && e.Listed {
			es = append(es, e)
		}
	}
	return es
}

func (s *sender) learn(form choice.ListForm, es []choice.Entry) {
	now := s.w.Now()
	if form != choice.Changes {
		named := make(map[uint32]bool, len(es))
		for _, e := range es {
			named[e.Receiver] = true
		}
		for _, x := range s.w.order {
			if e, known := s.list[x.id]; known && e.Listed && !named[x.id] {
				e.Listed = false
				s.list[x.id] = e
				s.desk.Listed(x.id, false, now)
			}
		}
	}
	for _, e := range es {
		s.list[e.Receiver] = e
		s.desk.Listed(e.Receiver, e.Listed, now)
	}
	s.tell(func(p policy.Policy) { p.Listed(form, es) })
}

// hearOf is told of a change. What it hears is how things stand by then.
func (s *sender) hearOf(id uint32) {
	if s.stale > 0 {
		s.missed[id] = true
		return
	}
	if s.up {
		s.learn(choice.Changes, s.w.entries(s.w.recvs[id]))
	}
}

// catchUp tells all that was kept from it.
func (s *sender) catchUp() {
	if s.stale > 0 {
		return
	}
	for _, x := range s.w.order {
		if s.missed[x.id] {
			s.hearOf(x.id)
		}
	}
	clear(s.missed)
}

// take brings a hand-in to the sender. It may be over before take returns.
func (s *sender) take(o *order) {
	w := s.w
	if !s.up {
		w.clients.lostAt(o)
		return
	}
	if len(s.hands) >= w.start.Room.Held {
		w.tally.TurnedAway++
		w.say(event{Event: "no room", Message: o.id, Sender: s.name(), Dst: o.dst.number})
		w.clients.pushedBack(o, min(shortAdvice, w.start.Allowed.MaxAdvice))
		return
	}
	h := &hand{order: o, msg: rules.Message{ID: o.id, Dst: o.dst.number, Lane: &w.lanes[o.lane], Expires: o.deadline}}
	o.at = s
	o.life = s.life
	s.hands[o.id] = h
	w.tally.Taken++
	key := ""
	if h.msg.Lane.InOrder {
		key = o.key
	}
	s.desk.Took(&h.msg, key)
	w.say(event{Event: "taken", Message: o.id, Sender: s.name(), Dst: o.dst.number})
	s.tell(func(p policy.Policy) {
		p.Take(o.id, o.lane, key, o.dst.number, o.deadline+s.now()-w.Now())
	})
}

// withdrawn tells it that a client has left.
func (s *sender) withdrawn(id string) {
	if h := s.hands[id]; h != nil {
		h.msg.Withdrawn()
		s.tell(func(p policy.Policy) { p.Withdrawn(id) })
		s.forget(h)
	}
}

func (s *sender) forget(h *hand) {
	if !h.msg.Ended {
		return
	}
	for _, l := range h.msg.Legs {
		if !l.Settled {
			return
		}
	}
	delete(s.hands, h.msg.ID)
}

func (s *sender) name() int { return s.number + 1 }

// Send puts a leg on its way as the turn ends, in one call with others of the turn where its receiver takes several.
func (s *sender) Send(id string, to uint32, patience int64) {
	w, h, x := s.w, s.hands[id], s.w.recvs[to]
	if h == nil || x == nil {
		return
	}
	w.judge.Sent(s.desk, &h.msg, to, x.zone, x.model.Route.Number, w.Now())
	w.tally.legs(h, x)
	w.say(event{Event: "leg", Message: id, Sender: s.name(), Dst: x.dst.number, Receiver: to, Number: len(h.msg.Legs)})
	number := len(h.msg.Legs) - 1
	for _, c := range s.thisTurn {
		if c.to == x && !c.probe && len(c.hands) < w.kinds[x.dst.kind].Batch {
			c.join(h, number, patience)
			return
		}
	}
	c := newCall(s, x, patience)
	c.join(h, number, patience)
	s.thisTurn = append(s.thisTurn, c)
	s.out++
}

// Cancel calls a leg off.
func (s *sender) Cancel(id string, leg int) {
	h := s.hands[id]
	if h == nil || leg < 0 || leg >= len(h.legs) {
		return
	}
	if c := h.legs[leg]; !c.settled {
		s.w.At(s.w.Now(), c, evCancelled, 0)
	}
}

// PushBack ends a message unharmed.
func (s *sender) PushBack(id string, comeBackIn int64) { s.ended(id, true, comeBackIn) }

// Fail ends one with no promise.
func (s *sender) Fail(id string) { s.ended(id, false, 0) }

func (s *sender) ended(id string, pushedBack bool, advice int64) {
	h := s.hands[id]
	if h == nil {
		return
	}
	w, first := s.w, !h.msg.Ended
	w.judge.Ended(s.desk, &h.msg, pushedBack, w.Now())
	if first {
		what := "failed"
		if pushedBack {
			what = "pushed back"
		}
		w.say(event{Event: what, Message: id, Sender: s.name(), Dst: h.msg.Dst, Wait: advice})
		if pushedBack {
			w.clients.pushedBack(h.order, advice)
		} else {
			w.clients.failed(h.order)
		}
	}
	s.forget(h)
}

// Timer asks for one ring; a later one takes its place.
func (s *sender) Timer(in int64, _ uint64) {
	s.timer++
	s.w.At(s.w.Now()+max(1, int64(float64(in)/(1+s.drift))), s, evRing, s.timer)
}

// Probe checks a receiver.
func (s *sender) Probe(to uint32) {
	x := s.w.recvs[to]
	if x == nil {
		return
	}
	s.w.judge.Probed(s.desk, x.dst.number, x.model.Route.Number, s.w.Now())
	s.w.tally.Probes++
	s.w.say(event{Event: "probe", Sender: s.name(), Dst: x.dst.number, Receiver: to})
	c := newCall(s, x, int64(s.w.sc.Network.ConnectTimeout))
	c.probe = true
	s.thisTurn = append(s.thisTurn, c)
}

// CloseIdle closes its idle connections to a receiver.
func (s *sender) CloseIdle(to uint32) {
	for _, c := range s.pools[to] {
		c.close()
	}
	delete(s.pools, to)
}

// Saw tells nobody: here fellows hear notes alone.
func (s *sender) Saw(choice.Sight) {}

// Note tells every fellow something; some do not hear it.
func (s *sender) Note(text string) {
	w := s.w
	for _, o := range w.senders {
		if o == s {
			continue
		}
		w.tally.Notes++
		if w.netRand.Float64() < 1-(1-w.sc.Network.NoteLoss)*(1-w.noteCut) {
			continue
		}
		at := w.Now() + draw.Around(w.netRand, int64(w.sc.Network.NoteDelay), .5)
		w.At(at, o, evNoted, w.notes.keep(text))
	}
}

// Subscribe is for lists that come only when asked for; here they come unasked.
func (s *sender) Subscribe() {}

// Log is for people; the trace has it.
func (s *sender) Log(text string) { s.w.say(event{Event: "says", Sender: s.name(), Text: text}) }

// die ends its process: connections go, what it held comes again to others where that is harmless.
func (s *sender) die() {
	if !s.up {
		return
	}
	w := s.w
	s.up = false
	s.timer++
	w.say(event{Event: "sender down", Sender: s.name()})
	ids := make([]string, 0, len(s.hands))
	for id := range s.hands {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		h := s.hands[id]
		for _, c := range h.legs {
			c.abandon()
		}
		if !h.msg.Ended {
			w.clients.orphaned(h)
		}
	}
	tos := make([]uint32, 0, len(s.pools))
	for to := range s.pools {
		tos = append(tos, to)
	}
	slices.Sort(tos)
	for _, to := range tos {
		s.CloseIdle(to)
	}
	s.hands, s.thisTurn, s.out = map[string]*hand{}, nil, 0
}

// close judges, as the run ends, what it has not answered.
func (s *sender) close() {
	if !s.up {
		return
	}
	ids := make([]string, 0, len(s.hands))
	for id := range s.hands {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.w.judge.Unanswered(s.desk, &s.hands[id].msg, s.w.Now())
	}
}

// believes is how many receivers the module holds closed; -1 where the policy has no such belief.
func (s *sender) believes() int {
	if m, ok := s.policy.(*choice.Sender); ok && s.up {
		return m.Believes().Closed
	}
	return -1
}

func report(l receivers.Load, told bool) choice.Report {
	if !told {
		return choice.Report{}
	}
	return choice.Report{Told: l.Told, ShareLeft: l.ShareLeft, LimitPerSec: l.Limit}
}
