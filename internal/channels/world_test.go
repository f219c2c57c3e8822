package channels

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// world is three senders with their disks, the letters between them, legs at one receiver and a client for each channel.
type world struct {
	now     int64
	nodes   []*node
	mail    []mail
	cut     [3][3]bool
	legs    []leg
	msgs    []*taking // every message ever taken on
	client  map[string]int64
	high    map[string]int64 // by channel: the highest position of which a leg began
	ran     map[string]int   // legs by channel and position
	mode    map[string]Mode
	strict  map[string]bool // channels whose gap rule is wait: no position goes before the one below was taken on
	took    map[string]bool
	owed    map[string]bool // channels where a failed message may not be passed
	healed  bool
	losable bool // one sender may lose its log, once
	story   []string
	wrong   string
	plant   func(w *world, n *node)          // a fault: runs after each step of a sender
	lose    func(n *node, r Row) (lost bool) // a fault of the disk
}

type node struct {
	name   string
	t      *Table
	life   uint64
	disk   map[string][]byte
	down   bool
	paused bool
	budget *bounded // nil: none
}

type mail struct {
	from, to string
	m        Msg
}

type leg struct {
	of    *taking
	until int64 // when it surely has ended at the receiver
	out   bool  // its sender waits for the outcome
}

type taking struct {
	node, ch, id           string
	pos                    int64
	released, given, begun bool
	ended                  int
}

const settle = 500_000 // µs; part of Leg

var names = []string{"a", "b", "c"}

var quick = Timing{Lease: 3_000_000, Drift: 1000, Answer: 200_000, Leg: 1_000_000, Live: 500_000, Drain: 300_000, Idle: 4_000_000, Forget: 60_000_000}

func contract(name string, change func(*Contract)) Contract {
	k := Contract{Channel: name, Tenant: "t", Dst: 1, Mode: Whole, Gap: Wait, Wait: 1_000_000, Window: 8, PassFailed: true, MostHold: 5_000_000,
		Version: 1, From: 1}
	if change != nil {
		change(&k)
	}
	return k
}

func newWorld(ks ...Contract) *world {
	w := &world{now: 1_000_000, client: map[string]int64{}, high: map[string]int64{}, ran: map[string]int{}, owed: map[string]bool{},
		mode: map[string]Mode{}, strict: map[string]bool{}, took: map[string]bool{}}
	for _, n := range names {
		w.nodes = append(w.nodes, &node{name: n, life: 1, t: New(n, 1, names, quick, Room{1000, 1000}), disk: map[string][]byte{}})
	}
	for _, k := range ks {
		e, err := w.nodes[0].t.Declare(w.now, k)
		if err != nil {
			panic(err)
		}
		w.do(w.nodes[0], e)
		w.mode[k.Channel], w.strict[k.Channel] = k.Mode, k.Gap == Wait
		w.client[k.Channel], w.owed[k.Channel] = k.From, !k.PassFailed
	}
	w.settle()
	return w
}

func (w *world) node(name string) *node { return w.nodes[slices.Index(names, name)] }

// do carries a call's effects out: the disk first.
func (w *world) do(n *node, e Effects) {
	for _, r := range e.Rows {
		if w.lose != nil && w.lose(n, r) {
			continue
		}
		if r.Value == nil {
			delete(n.disk, r.Key)
		} else {
			n.disk[r.Key] = r.Value
		}
	}
	for _, l := range e.Letters {
		w.mail = append(w.mail, mail{n.name, l.To, l.Msg})
	}
	for _, id := range e.Release {
		if m := w.held(n, id); m != nil {
			m.released = true
		} else {
			w.fail("%s releases %s, which it does not hold", n.name, id)
		}
	}
	for _, g := range e.GiveUp {
		w.giveUp(n, g.ID)
	}
	w.check(n)
}

func (w *world) giveUp(n *node, id string) {
	m := w.held(n, id)
	if m == nil {
		w.fail("%s gives up %s, which it does not hold", n.name, id)
		return
	}
	m.given = true
	for _, l := range w.legs {
		if l.of == m && l.out {
			return // ends with its leg
		}
	}
	w.end(n, m, false, false)
}

// end is a message's one end.
func (w *world) end(n *node, m *taking, delivered, mayRun bool) {
	m.ended++
	w.say("%s ends %s: %v %v", n.name, m.id, delivered, mayRun)
	if !delivered && w.owed[m.ch] { // its client was told, and may hand it in again
		delete(w.ran, fmt.Sprintf("%s/%d", m.ch, m.pos))
	}
	if m.released {
		w.do(n, n.t.Ended(w.now, m.ch, m.pos, delivered, mayRun))
	}
}

func (w *world) held(n *node, id string) *taking {
	for _, m := range w.msgs {
		if m.node == n.name && m.id == id && m.ended == 0 {
			return m
		}
	}
	return nil
}

func (w *world) say(format string, a ...any) {
	w.story = append(w.story, fmt.Sprintf("%8d ", w.now/1000)+fmt.Sprintf(format, a...))
}

func (w *world) fail(format string, a ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(format, a...)
	}
}

// check is the judge that runs after every step: one owner at most, and no step outside the plan.
func (w *world) check(n *node) {
	if w.plant != nil {
		w.plant(w, n)
	}
	if n.t.odd > 0 {
		w.fail("%s left the plan of phases", n.name)
	}
	for ch := range w.client {
		var owners []string
		for _, n := range w.nodes {
			if c := n.t.chans[ch]; !n.down && c != nil && c.lets(w.now, n.t) {
				owners = append(owners, n.name)
			}
		}
		if len(owners) > 1 {
			w.fail("channel %s has owners %v", ch, owners)
		}
	}
}

// handIn has a channel's client hand its next position, or one ahead, in at a sender.
func (w *world) handIn(n *node, ch string, ahead int64) Verdict {
	pos := w.client[ch] + ahead
	id := fmt.Sprintf("%s%d", ch, pos)
	v, e := n.t.HandIn(w.now, In{Channel: ch, Pos: pos, ID: id, Key: keyOf(pos), Dst: 1, Until: w.now + 5_000_000, Settle: settle})
	if v.Way == Taken {
		w.took[fmt.Sprintf("%s/%d", ch, pos)] = true
		w.msgs = append(w.msgs, &taking{node: n.name, ch: ch, id: id, pos: pos})
	}
	w.say("%s hands in %s: %+v", n.name, id, v)
	w.do(n, e)
	if v.Pos >= 0 {
		w.client[ch] = v.Pos + 1
	}
	return v
}

func keyOf(pos int64) string { return []string{"odd", "even", ""}[pos%2] }

// begin has a sender's decisions start a leg of every message that may have one, and judges order and doubled effects.
func (w *world) begin(n *node) {
	for _, m := range w.msgs {
		if m.node != n.name || !m.released || m.given || m.ended > 0 || m.begun {
			continue
		}
		if !n.t.MayBegin(w.now, m.ch, m.pos) {
			m.released = false
			w.say("%s has lost the turn of %s", n.name, m.id)
			w.do(n, n.t.Postponed(w.now, m.ch, m.pos, false))
			continue
		}
		m.begun = true
		w.say("%s begins %s", n.name, m.id)
		key := fmt.Sprintf("%s/%d", m.ch, m.pos)
		if w.ran[key]++; w.ran[key] > 1 {
			w.fail("%s ran twice", key)
		}
		if w.strict[m.ch] && m.pos > 1 && !w.took[fmt.Sprintf("%s/%d", m.ch, m.pos-1)] {
			w.fail("%s began at %s over a gap", key, n.name)
		}
		line := m.ch // of messages that wait for each other
		if w.mode[m.ch] == PerKey {
			line += keyOf(m.pos)
		}
		if w.mode[m.ch] != None && m.pos < w.high[line] {
			w.fail("%s began at %s after position %d", key, n.name, w.high[line])
		}
		w.high[line] = max(w.high[line], m.pos)
		for _, l := range w.legs {
			if l.of.ch == m.ch && l.of.pos != m.pos && (w.mode[m.ch] == Whole || w.mode[m.ch] == PerKey && keyOf(l.of.pos) == keyOf(m.pos)) && l.until > w.now {
				w.fail("%s began at %s while %d of %s could run", key, n.name, l.of.pos, l.of.node)
			}
		}
		w.legs = append(w.legs, leg{of: m, until: w.now + quick.Leg, out: true})
	}
}

// over ends a sender's legs: delivered, or failed with half a second to run.
func (w *world) over(n *node, delivered bool) {
	for i := range w.legs {
		if l := w.legs[i]; l.of.node == n.name && l.out {
			w.overOne(n, i, delivered)
		}
	}
}

func (w *world) overOne(n *node, i int, delivered bool) {
	l := &w.legs[i]
	l.out = false
	if delivered {
		l.until = min(l.until, w.now)
	} else {
		l.until = min(l.until, w.now+settle)
	}
	w.end(n, l.of, delivered, !delivered)
}

// patience ends legs that are out too long.
func (w *world) patience(n *node) {
	for i := range w.legs {
		if l := w.legs[i]; l.of.node == n.name && l.out && l.until-settle <= w.now {
			w.overOne(n, i, false)
		}
	}
}

// deliver hands one letter over, or loses it at a cut.
func (w *world) deliver(i int, keep bool) {
	l := w.mail[i]
	if !keep {
		w.mail = slices.Delete(slices.Clone(w.mail), i, i+1)
	}
	to := w.node(l.to)
	if w.cut[slices.Index(names, l.from)][slices.Index(names, l.to)] || to.down || to.paused {
		return
	}
	w.say("%s hears %s: %s %d", l.to, l.from, []string{"", "ask", "grant", "deny", "hold", "held", "drop", "want", "tail", "declare", "declared", "refused",
		"tail heard"}[l.m.Kind], l.m.Fence)
	w.do(to, to.t.Heard(w.now, l.from, l.m))
}

// pass lets time pass, at most to the next thing that is due.
func (w *world) pass(most int64) {
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
		w.patience(n)
		w.do(n, n.t.Tick(w.now))
	}
}

func (w *world) crash(n *node) {
	n.down = true
	w.say("%s crashes", n.name)
	for i := range w.legs {
		if w.legs[i].of.node == n.name {
			w.legs[i].out = false
		}
	}
}

// restart brings a sender back with its folder: messages held, and no word of promises or leases.
func (w *world) restart(n *node) { w.restartWith(n, nil) }

// restartWith says what the sender owes besides.
func (w *world) restartWith(n *node, owed []Restored) {
	n.life++
	n.down = false
	w.say("%s restarts", n.name)
	n.t = New(n.name, n.life, names, quick, Room{1000, 1000})
	if n.budget != nil {
		n.t.Limit(n.budget)
	}
	var rows []Row
	for _, k := range slices.Sorted(maps.Keys(n.disk)) {
		rows = append(rows, Row{k, n.disk[k]})
	}
	n.t.Owed(owed)
	ids, err := n.t.Restore(w.now, rows, func(id string) bool { m := w.held(n, id); return m != nil && m.begun })
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
		if m.begun { // the decisions end it: it may have run, and its lane forbids a repeat
			m.released = true
			w.end(n, m, false, true)
		}
		m.begun = false
	}
	w.check(n)
}

// settle delivers all letters, and what they lead to, in order.
func (w *world) settle() {
	for n := 0; len(w.mail) > 0 && n < 5000; n++ {
		w.deliver(0, false)
	}
}

// finish heals everything and sees that every message ends once and the channel goes on.
func (w *world) finish() {
	w.cut = [3][3]bool{}
	for _, n := range w.nodes {
		n.paused = false
		if n.down {
			w.restart(n)
		}
	}
	for i := range 400 {
		if i > 20 && !slices.ContainsFunc(w.msgs, func(m *taking) bool { return m.ended == 0 }) {
			break
		}
		w.settle()
		for _, n := range w.nodes {
			w.begin(n)
			w.over(n, true)
		}
		w.pass(200_000)
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
			on = v.Way != Busy
			w.settle()
			w.pass(200_000)
		}
		if !on {
			w.fail("channel %s does not go on", ch)
		}
	}
}

// clone copies all that steps change in place.
func (w *world) clone() *world {
	o := *w
	o.client, o.high, o.ran, o.took = maps.Clone(w.client), maps.Clone(w.high), maps.Clone(w.ran), maps.Clone(w.took)
	o.story = slices.Clone(w.story)
	o.mail, o.legs, o.msgs, o.nodes = slices.Clone(w.mail), slices.Clone(w.legs), nil, nil
	was := map[*taking]*taking{}
	for _, m := range w.msgs {
		c := *m
		was[m] = &c
		o.msgs = append(o.msgs, &c)
	}
	for i := range o.legs {
		o.legs[i].of = was[o.legs[i].of]
	}
	for _, n := range w.nodes {
		c, t := *n, *n.t
		c.disk, c.t = maps.Clone(n.disk), &t
		t.seats, t.chans, t.orders, t.due = map[string]*seat{}, map[string]*channel{}, maps.Clone(n.t.orders), slices.Clone(n.t.due)
		for k, s := range n.t.seats {
			s := *s
			t.seats[k] = &s
		}
		for k, ch := range n.t.chans {
			ch := *ch
			ch.granted, ch.blank, ch.heldAt, ch.heldSeq = slices.Clone(ch.granted), slices.Clone(ch.blank), slices.Clone(ch.heldAt), slices.Clone(ch.heldSeq)
			ch.told, ch.nexts, ch.rests = slices.Clone(ch.told), slices.Clone(ch.nexts), slices.Clone(ch.rests)
			ch.entries = slices.Clone(ch.entries)
			for i, e := range ch.entries {
				e := *e
				ch.entries[i] = &e
			}
			t.chans[k] = &ch
		}
		o.nodes = append(o.nodes, &c)
	}
	return &o
}

// key tells states apart, whatever way led there.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.now, w.healed, w.cut, w.client, w.high, w.ran)
	var letters []string
	for _, l := range w.mail {
		m := l.m
		m.Contract, m.Next, m.Rec = nil, nil, nil
		s := fmt.Sprint(l.from, l.to, m)
		if l.m.Rec != nil {
			s += fmt.Sprint(*l.m.Rec)
		}
		letters = append(letters, s)
	}
	slices.Sort(letters)
	fmt.Fprint(&b, letters)
	for _, m := range w.msgs {
		fmt.Fprint(&b, *m)
	}
	for _, l := range w.legs {
		fmt.Fprint(&b, l.of.node, l.of.id, l.until, l.out)
	}
	for _, n := range w.nodes {
		fmt.Fprint(&b, n.down, n.paused, n.life)
		for _, ch := range slices.Sorted(maps.Keys(w.client)) {
			if s := n.t.seats[ch]; s != nil {
				fmt.Fprint(&b, "s", s.Fence, s.Owner, s.Rec, s.until, s.Blank, s.Life)
			}
			if c := n.t.chans[ch]; c != nil {
				d := *c
				d.contract, d.next, d.told, d.nexts, d.entries = nil, nil, nil, nil, nil
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
