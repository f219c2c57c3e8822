package choice

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"strconv"
)

// What the module remembers, without any decision: those are in choice.go.

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

func (l *leg) mayHaveRun() bool { return !l.settled || !l.outcome.NeverRan() }

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

// risky is the first leg that may have run, nil if none.
func (m *msg) risky() *leg {
	for i := range m.legs {
		if m.legs[i].mayHaveRun() {
			return &m.legs[i]
		}
	}
	return nil
}

func (m *msg) openLegs() (n int) {
	for i := range m.legs {
		if !m.legs[i].settled {
			n++
		}
	}
	return n
}

// keyLine holds the messages of one key in the order taken. It goes when empty and rested.
type keyLine struct {
	key  string
	msgs []*msg
	rest int64
}

// lease is what the fleet lets this sender send a destination.
type lease struct {
	told   bool
	perSec float64 // calls a second; 0 lets nothing go
}

func (l lease) none() bool { return l.told && l.perSec <= 0 }

// hold has a message wait at its destination.
func (d *dst) hold(m *msg) {
	d.use()
	d.held = append(d.held, m)
	d.firstChance = min(d.firstChance, m.lastChance()) // it stays so while m is held: legs are added and settled elsewhere
}

// endingBefore lists the messages held whose last chance comes before a time.
func (d *dst) endingBefore(at int64) (ms []*msg) {
	if at == never || d.firstChance >= at {
		return nil
	}
	d.firstChance = never
	for _, m := range d.held {
		chance := m.lastChance()
		d.firstChance = min(d.firstChance, chance)
		if chance < at {
			ms = append(ms, m)
		}
	}
	return ms
}

// without drops the first place of a message in a list.
func without(ms []*msg, m *msg) []*msg {
	if i := slices.Index(ms, m); i >= 0 {
		return slices.Delete(ms, i, i+1)
	}
	return ms
}

func (d *dst) isDown(now int64, is bool) {
	d.use()
	d.wasDown = d.downFor(now)
	d.down, d.downAt = is, now
}

// downFor is how long it was down so far.
func (d *dst) downFor(now int64) int64 {
	if d.down {
		return d.wasDown + now - d.downAt
	}
	return d.wasDown
}

// leaseOf is the lease of one of its routes: those apart get as much each.
func (d *dst) leaseOf() lease {
	l := d.lease
	if d.kind.Apart {
		l.perSec /= float64(max(1, len(d.recvs)))
	}
	return l
}

// Shared takes this sender's lease on a destination's limit, in calls a second; a negative one withdraws it.
func (s *Sender) Shared(to int64, perSec float64) {
	if d := s.dsts[to]; d != nil {
		d.use().lease = lease{told: perSec >= 0, perSec: perSec}
		s.wake(d)
	}
}

// Floor sets the repeats a second always allowed at a destination; a negative one brings back the design's.
func (s *Sender) Floor(perSec float64) {
	s.floor = perSec
	if perSec < 0 {
		s.floor = minRetriesPerSec
	}
}

// saw has the fellows told what this sender saw itself.
func (s *Sender) saw(r *receiver, v Sight) {
	v.Receiver, v.Dst = r.id, r.dst.id
	s.host.Saw(v)
}

// route is what shares one limit and one told wait: a destination, or a receiver where routes are apart.
type route struct {
	share float64 // even share of the known limit, 0 if none is known
	*pace
}

// pace is what is known of a route that was called or heard of.
type pace struct {
	waitUntil int64
	told      float64 // limit told by answers, calls a second, 0 if none
	tokens    float64
	filledAt  int64
	full      float64 // even shares that it is sent when first refused; pace gives back up to a little more
	press     float64 // even shares that it bore right after the latest refusal in the team
	pressedAt int64   // when that counted, 0 for never
	rise      float64 // shares given back each µs since
	lease     lease
	part      float64 // of its sender in the team's messages, in means; 0 for not known
	rowFrom   int64   // when that row began
	row       int     // refusals since the last success
	bad       int     // calls gone wrong since the last success
	badFrom   int64   // when the first of those went wrong
	failing   float64 // recent share of calls gone wrong
	okAt      int64   // of the latest success, 0 for none
	strikes   float64 // points of those
	trialAt   int64   // no probe of a closed receiver before
	pause     int64   // until when a row of refusals keeps all calls back
	oks       float64 // successes
	okFrom    int64
	okNow     float64 // successes in the span since okFrom
	okPeak    float64 // most successes a second over a span, less their noise
	ill       bool    // a call failed there since the last success
	piling    bool    // the latest call or probe hung or was refused, so trials may pile up there
	recovery  recovery
}

// Most destinations known never get a message. What they would need for one is made at first use; until then these stand in, which nobody
// writes to. Danger: a write to them would count at all destinations of all senders.
var (
	idlePace    = &pace{}
	idleConduct = &conduct{}
	idleTraffic = &traffic{firstChance: never}
)

func newRoute() *route { return &route{pace: idlePace} }

func (p *route) isUsed() bool { return p.pace != nil && p.pace != idlePace }

// use is asked before anything is written to a route but its share.
func (p *route) use() *route {
	if !p.isUsed() {
		p.pace = &pace{tokens: p.firstTokens()}
	}
	return p
}

// use is asked before anything is written to a destination's traffic.
func (d *dst) use() *dst {
	if d.traffic == idleTraffic {
		d.traffic = &traffic{firstChance: never}
	}
	return d
}

// used is asked before anything is written to a receiver's conduct, its route or its destination's traffic.
func (r *receiver) used() *receiver {
	if r.conduct == idleConduct {
		r.conduct = &conduct{}
	}
	r.route.use()
	r.dst.use()
	return r
}

type health uint8

const (
	open    health = iota
	closed         // only a rare probe, or a trial where probes are not allowed
	warming        // back: its cold capacity bounds what it gets
)

func (h health) String() string { return [...]string{"open", "closed", "warming"}[h] }

type receiver struct {
	id       uint32
	place    int32 // in the list of its own destination, from 1; 0 while unlisted
	dst      *dst
	route    *route
	zone     int
	weight   float64
	listedAt int64 // when the list last named it
	leaving  bool  // among those unlisted
	*conduct
}

// conduct is what is known of a receiver that was called or heard of.
type conduct struct {
	calls      int   // out now
	peak       int   // most calls out when one came back delivered
	since      int64 // of the last change of health, or of the last setback while warming
	strikes    float64
	struckFrom int64 // when the row of those strikes began
	struckAt   int64
	fails      map[*Lane]bool // the latest leg of that lane went wrong there; nil until one did
	usedAt     int64          // of the latest outcome
	toldBack   int64          // until when a note of its return need not be told again
	scarceTill int64          // until when its connections are scarce
	okAt       int64
	okSent     int64   // when the latest call that it answered went out
	tokens     float64 // of slow start
	filledAt   int64
	health     health
	missed     bool // lost a leg since it last delivered
	proved     bool // delivered something since it is warming
	probing    bool
}

// went keeps how the latest leg of a lane went.
func (r *receiver) went(l *Lane, well bool) {
	switch {
	case well:
		delete(r.fails, l)
	case r.fails == nil:
		r.fails = map[*Lane]bool{l: true}
	default:
		r.fails[l] = true
	}
}

func (r *receiver) sick() bool { return r.health != open }

// candidate is a held message that may go.
type candidate struct {
	m      *msg
	urgent float64
}

// crowd is how many messages of a destination give way.
type crowd struct {
	dst *dst
	n   int
}

// crowds shares out how many messages give way: the destinations with most held come down to one level, as if each message in excess
// had come alone.
func (s *Sender) crowds(excess int) (cs []crowd) {
	if excess <= 0 {
		return nil
	}
	ds := slices.Clone(s.order)
	slices.SortStableFunc(ds, func(a, b *dst) int { return len(b.held) - len(a.held) })
	n, sum := 0, 0
	for n < len(ds) && sum-n*len(ds[n].held) < excess {
		sum += len(ds[n].held)
		n++
	}
	ds = ds[:n]
	slices.SortFunc(ds, func(a, b *dst) int { return int(a.number - b.number) }) // of equal ones the first gives way first
	for _, d := range ds {
		over := min(excess, len(d.held)-max(0, sum-excess)/n)
		cs = append(cs, crowd{d, over})
		sum, excess, n = sum-len(d.held), excess-over, n-1
	}
	return cs
}

// dst is a destination. There is one for each in the lists.
type dst struct {
	id     int64
	kind   Kind
	route  route
	recvs  []*receiver // listed ones
	wakeAt int64       // when it is to be looked at again; now or past: it is among the due ones
	at     int32       // place in the heap of wake-ups, -1 for none
	number int32       // in the order in which destinations came to be known
	known  int32       // receivers remembered, listed or not
	due    bool        // it is to be looked at in this turn
	bare   bool        // among those that may have nothing left
	gaps   bool        // while a list is taken in: recvs has places left by receivers that have a later one, or none
	*traffic
}

// traffic is what is known of a destination that had a message.
type traffic struct {
	held     []*msg
	calls    []*call // out, oldest first
	errs     budget
	told     budget
	lease    lease
	mean     float64 // µs, answer time
	dev      float64
	sampled  bool
	down     bool  // no receiver was open at the latest closing, and none has delivered since
	downAt   int64 // since when
	wasDown  int64 // µs, before that
	calledAt int64 // when the latest call went out

	// No message held has its last chance before this; too early where those that had it are gone. It spares the walk over all held.
	firstChance int64
}

// Sender decides for one sender.
type Sender struct {
	host    Host
	seed    uint64
	draws   uint64
	now     int64
	startAt int64
	team    Team
	lanes   []Lane
	kinds   []Kind
	room    Room
	allowed Allowed
	guards  Guards
	trust   WeightTrust

	msgs      map[string]*msg      // emptied as messages are over and their legs settled
	dsts      map[int64]*dst       // as many as destinations; emptied by sweep
	order     []*dst               // the same in a fixed order
	known     int32                // destinations ever known
	due       []*dst               // to be looked at in this turn; emptied by it
	wakes     wakeHeap             // to be looked at later
	busy      []*dst               // with calls out, in the fixed order
	recvs     map[uint32]*receiver // emptied by sweep of those unlisted for keepGone
	gone      goneHeap             // unlisted receivers, once each; emptied as they are listed again or unlisted for keepGone
	lingering []*receiver          // unlisted for that long, with calls or a probe out; emptied by sweep
	bare      []*dst               // without receivers; sweep leaves those with messages
	forgot    []uint32             // receivers that the latest sweep forgot
	gapped    []*dst               // with gaps; emptied as a list ends
	unwells   map[*dst]int         // receivers listed and not well, of large destinations; emptied as a list ends
	lines     map[string]*keyLine  // emptied as lines run empty and keys have rested
	resting   []*keyLine           // empty lines until their rest is over
	expiry    expiryHeap           // messages not over
	calls     int
	distrust  int64       // until when no idle connection is trusted
	mean      float64     // µs, answer time over all destinations
	loss      float64     // recent share of legs lost at receivers that answered again
	taken     int         // messages taken since takenFrom
	takenFrom int64       // µs; moves up as what was taken longer ago counts half
	meanGap   float64     // seconds between messages of a mean sender, as fellows tell; 0 if none has
	spare     []*receiver // used in this turn, to be left without idle connections; emptied every turn
	timerAt   int64
	leaveAge  float64 // µs, age at which messages were found given up by their clients
	leftTill  int64   // until when that counts
	askAt     int64   // when to subscribe, never while subscribed
	askedAt   int64   // when it last did
	stale     int     // legs lost in a row on connections that had stood idle
	floor     float64 // repeats a second always allowed at a destination
	coldCalls int     // calls and probes to destinations that may be cold
	ended     EndCounts

	cold        map[*route]*dst   // that may be cold; emptied as they are established or forgotten
	coldChanges int               // of that table so far
	coldBefore  map[int64]float64 // destinations that an earlier process left so, and how warm; it counts for a while after the start

	tellsLater bool
	restTill   int64 // until when keys new to this process rest
}

// ill counts the receivers listed that are not open.
func (d *dst) ill() (n int) {
	for _, r := range d.recvs {
		if r.sick() {
			n++
		}
	}
	return n
}

// noteColdCall counts and logs a call or probe to a destination that may be cold: some receiver is not open, or the latest call went wrong.
func (s *Sender) noteColdCall(message string, r *receiver, perSec float64) {
	if r.route.bad == 0 && r.dst.ill() == 0 && !r.route.mayBeCold() {
		return
	}
	s.coldCalls++
	s.host.Log(ColdCall{Now: s.now, Message: message, Receiver: r.id, Dst: r.dst.id, Health: r.health.String(), Phase: r.route.recovery.phase.String(), Listed: len(r.dst.recvs),
		Ill: r.dst.ill(), Strikes: r.strikes, Failures: r.route.bad, SuccessAt: r.route.okAt, Tokens: r.route.recovery.tokens, PerSecond: perSec,
		Capacity: s.capacity(r), Held: len(r.dst.held), UpFor: s.now - s.startAt}.String())
}

// hasIdle tells whether a connection to a receiver stands idle that may be trusted.
func (s *Sender) hasIdle(r *receiver) bool {
	trusted := s.room.Idle
	if s.now < s.distrust {
		trusted = min(trusted, staleIdle)
	}
	return r.calls == 0 && r.usedAt > 0 && s.now-r.usedAt <= trusted
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

// target is the shortest of the lanes' target times.
func (s *Sender) target() int64 {
	return slices.MinFunc(s.lanes, func(a, b Lane) int { return cmp.Compare(a.Target, b.Target) }).Target
}

// age is the time since a message's client sent it.
func (s *Sender) age(m *msg) int64 { return s.now - m.sentAt }

// chance draws evenly from 0 up to 1, the same row for the same seed.
func (s *Sender) chance() float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], s.seed)
	binary.LittleEndian.PutUint64(b[8:], s.draws)
	s.draws++
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

func (s *Sender) dst(id int64) *dst {
	d := s.dsts[id]
	if d == nil {
		d = &dst{id: id, route: route{pace: idlePace}, kind: Kind{Batch: 1}, at: -1, number: s.known, traffic: idleTraffic}
		s.known++
		s.dsts[id] = d
		s.order = append(s.order, d)
		s.mayBeBare(d)
		s.wake(d)
	}
	return d
}

// wake has the coming turn look at a destination; wakeBy has it looked at by then.
func (s *Sender) wake(d *dst) { s.wakeBy(d, s.now) }

func (s *Sender) wakeBy(d *dst, at int64) {
	switch {
	case d.due:
	case at <= s.now:
		s.wakes.drop(d)
		d.due = true
		s.due = append(s.due, d)
	case at < never && (d.at < 0 || at < d.wakeAt):
		d.wakeAt = at
		s.wakes.place(d)
	}
}

// awake takes out all that is to be looked at in this turn, in the fixed order. So a turn costs what it has to do, and not
// a walk over all destinations.
func (s *Sender) awake() (ds []*dst) {
	for len(s.wakes) > 0 && s.wakes[0].wakeAt <= s.now {
		s.wake(s.wakes[0])
	}
	ds, s.due = s.due, nil
	slices.SortFunc(ds, func(a, b *dst) int { return int(a.number - b.number) })
	for _, d := range ds {
		d.due = false
	}
	return ds
}

// keepBusy keeps the list of destinations with calls out.
func (s *Sender) keepBusy(d *dst) {
	i, is := slices.BinarySearchFunc(s.busy, d, func(a, b *dst) int { return int(a.number - b.number) })
	switch {
	case len(d.calls) > 0 && !is:
		s.busy = slices.Insert(s.busy, i, d)
	case len(d.calls) == 0 && is:
		s.busy = slices.Delete(s.busy, i, i+1)
	}
}

// lineOf is the line of a key.
func (s *Sender) lineOf(key string) *keyLine {
	l := s.lines[key]
	if l == nil {
		l = &keyLine{key: key, rest: s.restTill}
		s.lines[key] = l
	}
	return l
}

// TellsLater says that an end is not known to others as it is decided, but from EndKnown on; until then its line waits. Danger: the next
// of a key overtakes the news that the one before it is over, and runs before it as far as anybody can tell.
func (s *Sender) TellsLater() { s.tellsLater = true }

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

// Restarted says that a process before this one served here: its attempts may still run, so every key rests.
func (s *Sender) Restarted() { s.restTill = s.now + s.guards.KeyRest }

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

func (s *Sender) restOver() {
	s.resting = slices.DeleteFunc(s.resting, func(l *keyLine) bool {
		if len(l.msgs) == 0 && l.rest <= s.now && s.lines[l.key] == l {
			delete(s.lines, l.key)
		}
		return len(l.msgs) > 0 || l.rest <= s.now
	})
}

func (s *Sender) setTimer() {
	at := never
	if len(s.expiry) > 0 {
		at = s.expiry[0].giveUp
	}
	if s.allowed.Subscribe {
		at = min(at, s.askAt)
	}
	if len(s.wakes) > 0 {
		at = min(at, s.wakes[0].wakeAt)
	}
	// What this turn sent woke its destination: its next time to go is not known yet. With all slots in use they
	// wait for an outcome, and a timer would ring again and again.
	if len(s.due) > 0 && s.calls < s.room.Slots {
		at = s.now + 1
	}
	if at < s.timerAt && at < never {
		s.timerAt = at
		s.host.Timer(max(1, at-s.now), 0)
	}
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
		r := (&receiver{dst: m.dst, route: newRoute(), zone: l.Zone, conduct: idleConduct}).used()
		r.calls = 1
		past := leg{call: &call{r: r, sentAt: l.SentAt, open: 1, msgs: []*msg{m}}, settled: true, outcome: Reset}
		if l.NeverRan {
			past.outcome = Skipped
		}
		m.legs = append(m.legs, past)
	}
	m.legs[len(legs)-1].settled = false
	s.calls++
	s.turn(m, out)
}

// Owes has a destination known, listed or not: a message for it was taken on before a restart, so it is no name of nowhere.
func (s *Sender) Owes(to int64) { s.dst(to) }

// Belief is what the module holds true of the world, for people to compare with what is so.
type Belief struct {
	Calls, Known, Closed int
	Warming              int // receivers in slow start
	ColdCalls            int // calls and probes since the start to destinations that may be cold
	Ended                EndCounts
}

// Believes counts calls out, receivers known and those of them closed.
func (s *Sender) Believes() Belief {
	b := Belief{Calls: s.calls, Known: len(s.recvs), ColdCalls: s.coldCalls, Ended: s.ended}
	for _, r := range s.recvs {
		switch r.health {
		case closed:
			b.Closed++
		case warming:
			b.Warming++
		}
	}
	return b
}

// Knows tells whether a receiver is still remembered.
func (s *Sender) Knows(receiver uint32) bool { return s.recvs[receiver] != nil }

// Forgotten lists the receivers that the latest list had forgotten.
func (s *Sender) Forgotten() []uint32 { return s.forgot }

// Stands tells whether a leg decided a moment ago may still begin: its message is not over, its last chance has not
// passed while a connection came up, and its receiver may be sent to. Danger: a keyed message whose window ended
// meanwhile runs a second time.
func (s *Sender) Stands(id string, receiver uint32) bool {
	m := s.msgs[id]
	return m != nil && !m.over() && s.now <= m.lastChance() && s.Reachable(receiver)
}

// Lists tells whether a receiver of a destination is known, listed or not.
func (s *Sender) Lists(id int64) bool {
	d := s.dsts[id]
	return d != nil && d.known > 0
}

// Reachable tells whether a receiver is listed and no wait has been told there that still runs.
func (s *Sender) Reachable(receiver uint32) bool {
	r := s.recvs[receiver]
	return r != nil && r.place > 0 && s.now >= r.route.waitUntil
}

// Healthy tells whether a destination is listed and none of its receivers is thought ill.
func (s *Sender) Healthy(id int64) bool {
	d := s.dsts[id]
	return d != nil && len(d.recvs) > 0 && !slices.ContainsFunc(d.recvs, func(r *receiver) bool { return r.sick() || r.route.mayBeCold() })
}

// budget is the design's retry bucket. Only spans with live credits are kept, most destinations see few messages.
type budget struct {
	spans []credits // in the order of their places in a ring of all spans that can live, so as many at most
	spent float64
}

type credits struct {
	span int64
	n    int
}

// place is where a span stands in the ring.
func (c credits) place() int64 { return c.span % int64(ttl/creditSpan+1) }

func (b *budget) expire(now int64, percent float64) (live int) {
	edge := now/creditSpan - int64(ttl/creditSpan)
	b.spans = slices.DeleteFunc(b.spans, func(c credits) bool {
		if c.span <= edge {
			b.spent = max(0, b.spent-float64(c.n)*percent)
			return true
		}
		live += c.n
		return false
	})
	return live
}

func (b *budget) deposit(now int64, percent float64) {
	b.expire(now, percent)
	c := credits{span: now / creditSpan}
	i, is := slices.BinarySearchFunc(b.spans, c, func(a, b credits) int { return cmp.Compare(a.place(), b.place()) })
	if !is {
		b.spans = slices.Insert(b.spans, i, c)
	}
	b.spans[i].n++
}

// rate is how many messages a second this sender takes on, 0 while it has not run long enough to tell.
func (s *Sender) rate() float64 {
	if s.now-s.takenFrom < rateSpan {
		return 0
	}
	return float64(s.taken) * float64(second) / float64(s.now-s.takenFrom)
}

// heardRate takes a fellow's rate. Busy ones are refused and heard more often in step with their rates, so
// the mean of the gaps between messages, not of the rates, is the team's.
func (s *Sender) heardRate(text string) {
	if rate, err := strconv.ParseFloat(text, 64); err == nil && rate >= rateLeast {
		s.meanGap = cmp.Or(s.meanGap, 1/rate)
		s.meanGap += (1/rate - s.meanGap) * meanStep
	}
}

// New starts a sender that knows nothing yet.
func New(h Host, seed uint64, team Team, lanes []Lane, kinds []Kind, room Room, allowed Allowed,
	guards Guards, trust WeightTrust) *Sender {
	return &Sender{host: h, seed: seed, team: team, lanes: lanes, kinds: kinds, room: room, allowed: allowed,
		guards: guards, trust: trust, timerAt: never, floor: minRetriesPerSec, msgs: map[string]*msg{}, dsts: map[int64]*dst{},
		recvs: map[uint32]*receiver{}, lines: map[string]*keyLine{}, cold: map[*route]*dst{}}
}

// At sets the clock for the events that follow.
func (s *Sender) At(now int64) {
	if s.now == 0 {
		s.startAt, s.takenFrom, s.askAt = now, now, now+int64(s.chance()*s.firstLookups())
	}
	s.now = now
}

// firstLookups is the span in µs over which the first lookups of all senders fall.
func (s *Sender) firstLookups() float64 {
	if s.guards.AskWithin <= 0 { // untold: no beat of zero
		return float64(askMost)
	}
	return min(float64(askMost), askSpread*float64(s.guards.AskWithin))
}

// Asked says that discovery was just called unasked, for a watch that fell silent or because discovery moved.
func (s *Sender) Asked() { s.askedAt = s.now }

func (d *dst) timed(t float64) {
	if d.use(); !d.sampled {
		d.mean, d.dev, d.sampled = t, t/2, true
		return
	}
	d.dev += (math.Abs(t-d.mean) - d.dev) / 4
	d.mean += (t - d.mean) / 8
}

// answerTime is how long answers take; where a destination has given none, as long as elsewhere.
func (s *Sender) answerTime(d *dst) (mean, dev float64) {
	if !d.sampled {
		return s.mean, s.mean / 2
	}
	return d.mean, d.dev
}

// left learns how soon clients leave. Danger: where they do, and only a call tells, serving the oldest first
// spends the pace on messages that nobody waits for; while it lasts, the young go first.
func (s *Sender) left(m *msg) {
	if s.now >= s.leftTill {
		s.leaveAge = float64(s.age(m))
	}
	s.leaveAge, s.leftTill = s.leaveAge+(float64(s.age(m))-s.leaveAge)*leaveStep, s.now+leavesFor
}
