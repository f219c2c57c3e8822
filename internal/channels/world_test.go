package channels

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// world simulates three senders with their disks, the peer messages between them, the legs at one receiver and one client per channel.
type world struct {
	now             int64
	nodes           []*node
	inFlight        []inFlight
	cut             [3][3]bool
	legs            []leg
	msgs            []*message // every message ever accepted
	client          map[string]int64
	highest         map[string]int64 // by channel, and order key under per-key: the highest position of which a leg began
	ran             map[string]int   // legs by channel and position
	mode            map[string]Mode
	strict          map[string]bool // channels whose gap rule is wait: no position may start before the one below was accepted
	accepted        map[string]bool
	blocksOnFailure map[string]bool // channels where messages behind a failed one must not be sent
	healed          bool
	trace           []string
	failure         string
	inject          func(w *world, n *node)          // an injected fault; runs after each step of a sender
	dropWrite       func(n *node, r Row) (lost bool) // an injected disk fault: loses the write of a row
}

type node struct {
	name        string
	t           *Table
	incarnation uint64
	disk        map[string][]byte
	down        bool
	paused      bool
}

type inFlight struct {
	from, to string
	m        Msg
}

type leg struct {
	msg   *message
	until int64 // when it has certainly ended at the receiver
	out   bool  // its sender waits for the result
}

type message struct {
	node, ch, id               string
	pos                        int64
	released, aborted, started bool
	ended                      int
}

const settle = 500_000 // µs; part of Leg

var senderNames = []string{"a", "b", "c"}

var testTiming = Timing{Lease: 3_000_000, Drift: 1000, ReplyTimeout: 200_000, Leg: 1_000_000, Live: 500_000, Drain: 300_000, Idle: 4_000_000,
	Forget: 60_000_000}

func contract(name string, change func(*Contract)) Contract {
	k := Contract{Channel: name, Tenant: "t", Dst: 1, Mode: Whole, Gap: Wait, Wait: 1_000_000, Window: 8, PassFailed: true, MaxHold: 5_000_000,
		Version: 1, From: 1}
	if change != nil {
		change(&k)
	}
	return k
}

func newWorld(ks ...Contract) *world {
	w := &world{now: 1_000_000, client: map[string]int64{}, highest: map[string]int64{}, ran: map[string]int{}, blocksOnFailure: map[string]bool{},
		mode: map[string]Mode{}, strict: map[string]bool{}, accepted: map[string]bool{}}
	for _, n := range senderNames {
		w.nodes = append(w.nodes, &node{name: n, incarnation: 1, t: New(n, 1, senderNames, testTiming, Limits{1000, 1000}), disk: map[string][]byte{}})
	}
	for _, k := range ks {
		e, err := w.nodes[0].t.Declare(w.now, k)
		if err != nil {
			panic(err)
		}
		w.apply(w.nodes[0], e)
		w.mode[k.Channel], w.strict[k.Channel] = k.Mode, k.Gap == Wait
		w.client[k.Channel], w.blocksOnFailure[k.Channel] = k.From, !k.PassFailed
	}
	w.settle()
	return w
}

func (w *world) node(name string) *node { return w.nodes[slices.Index(senderNames, name)] }

// apply applies the effects of a call, the rows first.
func (w *world) apply(n *node, e Effects) {
	for _, r := range e.Rows {
		if w.dropWrite != nil && w.dropWrite(n, r) {
			continue
		}
		if r.Value == nil {
			delete(n.disk, r.Key)
		} else {
			n.disk[r.Key] = r.Value
		}
	}
	for _, pm := range e.PeerMessages {
		w.inFlight = append(w.inFlight, inFlight{n.name, pm.To, pm.Msg})
	}
	for _, id := range e.Release {
		if m := w.unfinished(n, id); m != nil {
			m.released = true
		} else {
			w.fail("%s releases %s, which it does not hold", n.name, id)
		}
	}
	for _, g := range e.Aborts {
		w.abort(n, g.ID)
	}
	w.check(n)
}

func (w *world) abort(n *node, id string) {
	m := w.unfinished(n, id)
	if m == nil {
		w.fail("%s aborts %s, which it does not hold", n.name, id)
		return
	}
	m.aborted = true
	for _, l := range w.legs {
		if l.msg == m && l.out {
			return // ends with its leg
		}
	}
	w.end(n, m, false, false)
}

// end ends a message; it must be called once for each.
func (w *world) end(n *node, m *message, delivered, mayRun bool) {
	m.ended++
	w.logf("%s ends %s: %v %v", n.name, m.id, delivered, mayRun)
	if !delivered && w.blocksOnFailure[m.ch] { // its client was told that it failed, and may hand it in again
		delete(w.ran, fmt.Sprintf("%s/%d", m.ch, m.pos))
	}
	if m.released {
		w.apply(n, n.t.Ended(w.now, m.ch, m.pos, delivered, mayRun))
	}
}

func (w *world) unfinished(n *node, id string) *message {
	for _, m := range w.msgs {
		if m.node == n.name && m.id == id && m.ended == 0 {
			return m
		}
	}
	return nil
}

func (w *world) logf(format string, a ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8d ", w.now/1000)+fmt.Sprintf(format, a...))
}

func (w *world) fail(format string, a ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, a...)
	}
}

// check asserts the invariants after every step: at most one owner, and no invalid phase transition.
func (w *world) check(n *node) {
	if w.inject != nil {
		w.inject(w, n)
	}
	if n.t.invalidTransitions > 0 {
		w.fail("%s made an invalid phase transition", n.name)
	}
	for ch := range w.client {
		var owners []string
		for _, n := range w.nodes {
			if c := n.t.channels[ch]; !n.down && c != nil && c.mayStartLegs(w.now, n.t) {
				owners = append(owners, n.name)
			}
		}
		if len(owners) > 1 {
			w.fail("channel %s has owners %v", ch, owners)
		}
	}
}

// handIn hands in the client's next position, plus ahead, at a sender.
func (w *world) handIn(n *node, ch string, ahead int64) HandInResult {
	pos := w.client[ch] + ahead
	id := fmt.Sprintf("%s%d", ch, pos)
	v, e := n.t.HandIn(w.now, HandInRequest{Channel: ch, Pos: pos, ID: id, Key: keyOf(pos), Dst: 1, Deadline: w.now + 5_000_000, Settle: settle})
	if v.Outcome == Accepted {
		w.accepted[fmt.Sprintf("%s/%d", ch, pos)] = true
		w.msgs = append(w.msgs, &message{node: n.name, ch: ch, id: id, pos: pos})
	}
	w.logf("%s hands in %s: %+v", n.name, id, v)
	w.apply(n, e)
	if v.Pos >= 0 {
		w.client[ch] = v.Pos + 1
	}
	return v
}

func keyOf(pos int64) string { return []string{"odd", "even", ""}[pos%2] }

// startLegs starts a leg of every released message of a sender, and asserts that messages run in order and only once.
func (w *world) startLegs(n *node) {
	for _, m := range w.msgs {
		if m.node != n.name || !m.released || m.aborted || m.ended > 0 || m.started {
			continue
		}
		if !n.t.MayBegin(w.now, m.ch, m.pos) {
			m.released = false
			w.logf("%s may not start %s", n.name, m.id)
			w.apply(n, n.t.Postponed(w.now, m.ch, m.pos, false))
			continue
		}
		m.started = true
		w.logf("%s begins %s", n.name, m.id)
		key := fmt.Sprintf("%s/%d", m.ch, m.pos)
		if w.ran[key]++; w.ran[key] > 1 {
			w.fail("%s ran twice", key)
		}
		if w.strict[m.ch] && m.pos > 1 && !w.accepted[fmt.Sprintf("%s/%d", m.ch, m.pos-1)] {
			w.fail("%s began at %s over a gap", key, n.name)
		}
		line := m.ch // key of the messages that wait for each other
		if w.mode[m.ch] == PerKey {
			line += keyOf(m.pos)
		}
		if w.mode[m.ch] != None && m.pos < w.highest[line] {
			w.fail("%s began at %s after position %d", key, n.name, w.highest[line])
		}
		w.highest[line] = max(w.highest[line], m.pos)
		for _, l := range w.legs {
			if l.msg.ch == m.ch && l.msg.pos != m.pos && (w.mode[m.ch] == Whole || w.mode[m.ch] == PerKey && keyOf(l.msg.pos) == keyOf(m.pos)) && l.until > w.now {
				w.fail("%s began at %s while %d of %s could run", key, n.name, l.msg.pos, l.msg.node)
			}
		}
		w.legs = append(w.legs, leg{msg: m, until: w.now + testTiming.Leg, out: true})
	}
}

// endLegs ends the legs of a sender: delivered, or failed while they may run for another half second at the receiver.
func (w *world) endLegs(n *node, delivered bool) {
	for i := range w.legs {
		if l := w.legs[i]; l.msg.node == n.name && l.out {
			w.endLeg(n, i, delivered)
		}
	}
}

func (w *world) endLeg(n *node, i int, delivered bool) {
	l := &w.legs[i]
	l.out = false
	if delivered {
		l.until = min(l.until, w.now)
	} else {
		l.until = min(l.until, w.now+settle)
	}
	w.end(n, l.msg, delivered, !delivered)
}

// timeOutLegs fails the legs that took too long.
func (w *world) timeOutLegs(n *node) {
	for i := range w.legs {
		if l := w.legs[i]; l.msg.node == n.name && l.out && l.until-settle <= w.now {
			w.endLeg(n, i, false)
		}
	}
}

// deliver delivers one peer message, or drops it at a partition.
func (w *world) deliver(i int, keep bool) {
	pm := w.inFlight[i]
	if !keep {
		w.inFlight = slices.Delete(slices.Clone(w.inFlight), i, i+1)
	}
	to := w.node(pm.to)
	if w.cut[slices.Index(senderNames, pm.from)][slices.Index(senderNames, pm.to)] || to.down || to.paused {
		return
	}
	w.logf("%s receives from %s: %s %d", pm.to, pm.from, []string{"", "request vote", "grant", "deny", "replicate", "replicate ack", "abandon",
		"request handover", "tail", "declare", "declare ack", "declare reject", "tail ack"}[pm.m.Kind], pm.m.Fence)
	w.apply(to, to.t.Receive(w.now, pm.from, pm.m))
}

// advance moves the clock forward, at most to the next time that is due at a sender.
func (w *world) advance(most int64) {
	at := w.now + most
	for _, n := range w.nodes {
		if next := n.t.Next(); next > w.now && next < at && !n.down && !n.paused {
			at = next
		}
	}
	w.now = at
	for _, n := range w.nodes {
		w.tick(n)
	}
	w.legs = slices.DeleteFunc(slices.Clone(w.legs), func(l leg) bool { return !l.out && l.until <= w.now })
}

func (w *world) tick(n *node) {
	if !n.down && !n.paused {
		w.timeOutLegs(n)
		w.apply(n, n.t.Tick(w.now))
	}
}

func (w *world) crash(n *node) {
	n.down = true
	w.logf("%s crashes", n.name)
	for i := range w.legs {
		if w.legs[i].msg.node == n.name {
			w.legs[i].out = false
		}
	}
}

// restart restarts a sender on its disk: held messages are restored, the ends of promises and leases are lost.
func (w *world) restart(n *node) {
	n.incarnation++
	n.down = false
	w.logf("%s restarts", n.name)
	n.t = New(n.name, n.incarnation, senderNames, testTiming, Limits{1000, 1000})
	var rows []Row
	for _, k := range slices.Sorted(maps.Keys(n.disk)) {
		rows = append(rows, Row{k, n.disk[k]})
	}
	ids, err := n.t.Restore(w.now, rows, func(id string) bool { m := w.unfinished(n, id); return m != nil && m.started })
	if err != nil {
		w.fail("restore: %v", err)
	}
	for _, m := range w.msgs {
		if m.node != n.name || m.ended > 0 {
			continue
		}
		m.released = false
		if !slices.Contains(ids, Restored{m.id, m.ch, m.pos}) {
			w.fail("%s lost %s", n.name, m.id)
		}
		if m.started { // the engine ends it: it may have run, and its class forbids a repeat
			m.released = true
			w.end(n, m, false, true)
		}
		m.started = false
	}
	w.check(n)
}

// settle delivers all peer messages in order, and those that they cause.
func (w *world) settle() {
	for n := 0; len(w.inFlight) > 0 && n < 5000; n++ {
		w.deliver(0, false)
	}
}

// finish ends all faults and asserts that every message ends once and every channel accepts messages again.
func (w *world) finish() {
	w.cut = [3][3]bool{}
	for _, n := range w.nodes {
		n.paused = false
		if n.down {
			w.restart(n)
		}
	}
	for i := range 400 {
		if i > 20 && !slices.ContainsFunc(w.msgs, func(m *message) bool { return m.ended == 0 }) {
			break
		}
		w.settle()
		for _, n := range w.nodes {
			w.startLegs(n)
			w.endLegs(n, true)
		}
		w.advance(200_000)
	}
	for _, m := range w.msgs {
		if m.ended != 1 {
			w.fail("%s/%d at %s ended %d times: %+v; %v", m.ch, m.pos, m.node, m.ended, *m, w.node(m.node).t.View())
		}
	}
	for ch := range w.client {
		on := false
		for i := 0; i < 100 && !on; i++ {
			v := w.handIn(w.nodes[0], ch, 0)
			on = v.Outcome != Busy
			w.settle()
			w.advance(200_000)
		}
		if !on {
			w.fail("channel %s accepts no more messages", ch)
		}
	}
}

// clone copies everything that steps modify in place.
func (w *world) clone() *world {
	o := *w
	o.client, o.highest, o.ran, o.accepted = maps.Clone(w.client), maps.Clone(w.highest), maps.Clone(w.ran), maps.Clone(w.accepted)
	o.trace = slices.Clone(w.trace)
	o.inFlight, o.legs, o.msgs, o.nodes = slices.Clone(w.inFlight), slices.Clone(w.legs), nil, nil
	was := map[*message]*message{}
	for _, m := range w.msgs {
		c := *m
		was[m] = &c
		o.msgs = append(o.msgs, &c)
	}
	for i := range o.legs {
		o.legs[i].msg = was[o.legs[i].msg]
	}
	for _, n := range w.nodes {
		c, t := *n, *n.t
		c.disk, c.t = maps.Clone(n.disk), &t
		t.voterStates, t.channels, t.declarations, t.due = map[string]*voterState{}, map[string]*channel{},
			maps.Clone(n.t.declarations), slices.Clone(n.t.due)
		for k, s := range n.t.voterStates {
			s := *s
			t.voterStates[k] = &s
		}
		for k, ch := range n.t.channels {
			ch := *ch
			ch.granted, ch.noRecord, ch.ackedAt, ch.ackedSeq = slices.Clone(ch.granted), slices.Clone(ch.noRecord),
				slices.Clone(ch.ackedAt), slices.Clone(ch.ackedSeq)
			ch.inForce, ch.upcoming, ch.holdOffs = slices.Clone(ch.inForce), slices.Clone(ch.upcoming), slices.Clone(ch.holdOffs)
			ch.entries = slices.Clone(ch.entries)
			for i, e := range ch.entries {
				e := *e
				ch.entries[i] = &e
			}
			t.channels[k] = &ch
		}
		o.nodes = append(o.nodes, &c)
	}
	return &o
}

// key identifies a state, independent of the steps that led to it.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.now, w.healed, w.cut, w.client, w.highest, w.ran)
	var packets []string
	for _, pm := range w.inFlight {
		m := pm.m
		m.Contract, m.Next, m.Rec = nil, nil, nil
		s := fmt.Sprint(pm.from, pm.to, m)
		if pm.m.Rec != nil {
			s += fmt.Sprint(*pm.m.Rec)
		}
		packets = append(packets, s)
	}
	slices.Sort(packets)
	fmt.Fprint(&b, packets)
	for _, m := range w.msgs {
		fmt.Fprint(&b, *m)
	}
	for _, l := range w.legs {
		fmt.Fprint(&b, l.msg.node, l.msg.id, l.until, l.out)
	}
	for _, n := range w.nodes {
		fmt.Fprint(&b, n.down, n.paused, n.incarnation)
		for _, ch := range slices.Sorted(maps.Keys(w.client)) {
			if s := n.t.voterStates[ch]; s != nil {
				fmt.Fprint(&b, "s", s.Fence, s.Owner, s.Rec, s.until, s.NoRecord, s.Incarnation)
			}
			if c := n.t.channels[ch]; c != nil {
				d := *c
				d.contract, d.next, d.inForce, d.upcoming, d.entries = nil, nil, nil, nil, nil
				d.tail = nil
				fmt.Fprint(&b, "c", d, c.tail != nil)
				for _, e := range c.entries {
					fmt.Fprint(&b, *e)
				}
			}
		}
	}
	return b.String()
}
