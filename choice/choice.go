package choice

// How to call it: New for each start of a sender, on the Host of host.go, where the plain types are too.
// For each turn: At(now), the turn's events in order (Listed, Take, Began, Settled, Withdrawn, Probed,
// Rang), then Decide once. Events only update state and answer messages that are over; Decide does all the
// sending. The ordinary path: Settled -> repeat (retry budget, told wait plus full jitter, deadline) ->
// Decide -> call.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

const (
	never  = int64(math.MaxInt64 / 4) // µs; a time that does not come
	second = int64(1_000_000)         // µs

	percentCanRetry  = 0.1         // repeats a success earns (design)
	minRetriesPerSec = 3           // repeats a second always allowed (design)
	ttl              = 10 * second // life of a credit (design)
	creditSpan       = second / 2  // credits expire together by this much; 5% of ttl is fine enough
	toldWaitBonus    = 2           // refusals with a told wait spend at this multiple (design)
	backoffBase      = second / 10 // µs; first jitter window (design)
	backoffCap       = 8 * second  // µs; widest jitter window (design)

	dstShare  = 0.75 // of the slots; one destination stays strictly below (design)
	sickShare = 0.5  // of the slots; a failing or slow one stays at or below (design)

	answerMargin = second / 100     // µs before the deadline by which we answer: two of a usual turn
	askSpread    = 0.5              // of the time within which each sender must ask: first lookups fall on it
	askMost      = 47 * second / 10 // µs from a failed lookup's call to the next; told counts 6 s after
	askDraw      = second * 4 / 10  // µs; less by a draw of so much. Discovery bears a call of each in 8 s
	keyMargin    = second / 20      // µs; a key counts as forgotten this early, for the way there

	strikesToClose  = 3.0             // points; three errors in a row, two silent ones or failed connects
	silentStrike    = 1.5             // points; a leg without any answer says more than an error
	waryFor         = 2.0             // target times that what cannot be repeated waits after a leg went wrong
	refusedRow      = 2               // refusals without a success that look like a shut destination
	refusedSilence  = 3 * second      // µs that such a row must last; limiters free room sooner
	badRow          = 2               // calls wrong or refused in a row, anywhere at a route: an outage?
	pauseFirst      = second / 4      // µs; pause of a route after a refusal, doubled by each further one
	pauseTurn       = 0.3             // of the interval of a cold share; the first pause at least
	pauseMost       = 2 * second      // µs; longest such pause
	longWait        = 5 * second / 2  // µs; no limiter tells waits this long, a shut destination does
	trialGap        = 7 * second / 10 // µs between trials at a closed route, at least
	fleetGap        = second / 2      // µs between all senders' trials where they may pile up
	fleetLeast      = 0.5             // calls a second of all senders that any return bears: the rule lets three a window on top of its share
	leastTrials     = 0.001           // a second; a trial in a quarter of an hour stands for none
	pilingRest      = 8               // times the usual gap, at most, for that: large destinations bear more
	slowStartMargin = 0.8             // share of the allowed load on a cold receiver; rest is for chance
	slowStartExtra  = 0.25            // of a call; weight of each further message in a call to a cold receiver
	roughLow        = 0.67            // a rough weight may be half too high
	rateSpan        = 5 * second      // µs before what was counted makes a rate

	paceShares     = 1.3         // even shares of a known limit: others may leave some of theirs
	paceLeast      = 3.0         // calls that may go at once at least, however small the even share
	pressStart     = 0.5         // calls of each sender in a target time, where its even share is less
	pressCut       = 0.8         // of the shares; left to each sender by a refusal anywhere in the team
	pressLeast     = 0.1         // shares; never less, or a limit that rose again is not found
	pressGap       = second      // µs between two cuts; the last one must have shown first
	leastShareLeft = 0.2         // of a limit; told less, a route waits for the next token
	paceBurst      = 0.3         // seconds of the rate that may go at once
	okSpan         = 2 * second  // µs; successes are counted over such spans at least,
	okLeast        = 5           // and until there are so many: fewer make no rate
	scarceSlots    = 0.85        // of the slots; with more in use, patience goes by the answer times
	patienceVar    = 9           // deviations above the mean answer time until a leg is given up
	slowVar        = 4           // deviations until a leg out counts as slow
	meanStep       = 1.0 / 32    // weight of the newest answer time in the mean over all destinations
	leastTook      = second / 20 // µs; answers quicker than that are alike
	leastRoom      = 0.1         // odds of a receiver that seems full: it may have room after all
	idleLean       = 4.0         // odds of a receiver to which an idle connection stands, likewise
	laneFailed     = 0.05        // odds of a receiver where the latest leg of that lane went wrong
	farLean        = 0.3         // odds of a receiver across zones where a crossing has a price
	waitKeeps      = 0.4         // odds that what waits still goes: below late values, so fresh goes first
	roomKept       = 0.97        // of the holding room; beyond, messages that cannot go soon are pushed back
	adviceShort    = second      // µs; advice given with a pushback where no wait was told
	shortLeft      = 0.5         // of the deadline; who comes with less has little time, few come again so late
	overtakenLeast = 0.25        // of the target time; an overtaken leg is not called off sooner
	maxPatience    = 2           // target times; longest a leg is waited for
	keepLeast      = 0.7         // of its time; what surely never ran is not given up sooner (rules)
	gatherShare    = 0.2         // of the target time; how long messages gather for a call
	lossStep       = 0.03        // weight of the newest leg in the share of lost ones
	usualLoss      = 0.05        // share of lost legs up to which a row of them counts in full
	distrustFor    = 60 * second // µs: none trusted, where loss is common; new ones cost less
	staleRow       = 2           // legs lost in a row on idle connections from which none is trusted
	staleIdle      = second / 5  // µs without a call from which a connection counts as idle
	scarceFor      = 60 * second // µs after a failed connect for which no connection is kept idle there
	backEvery      = 2 * second  // µs between two notes of one receiver's return
	backMark       = "+"         // opens a note of a return
	pressMark      = "-"         // opens a note of a refusal
	rateMark       = "/"         // stands before the teller's messages a second in it
	rateLeast      = 0.01        // messages a second; the least that a note tells, and less is a mistake
	takenSpan      = 60 * second // µs; what was taken longer ago counts half, for traffic shifts
	partLeast      = 0.5         // means of the team; a sender just started has seen little
	partMost       = 4.0         // means of the team; no single sender gets more
	leastLate      = 3           // destinations overdue at once, at least, that mean trouble on the way
	lateShare      = 0.66        // of the destinations with calls out, likewise
	leaveStep      = 1.0 / 8     // weight of the newest message found given up in the age at which clients leave
	leavesFor      = 5 * second  // µs after the latest such message for which clients count as leaving early
	leastThere     = 0.05        // odds that a client is there still after that age
	keepGone       = 60 * second // µs unlisted until a receiver is forgotten: it may come back as ill as it was
	silentCalls    = 2           // calls out without an answer that may mean a hanging receiver
	hearsayMost    = 60 * second // µs; longest wait taken from a fellow, who may be mistaken
)

// mayPushBack: coming again must be harmless.
func (m *msg) mayPushBack() bool {
	return m.lane.Repeat == Retriable || m.risky() == nil || m.lane.Repeat == Keyed && m.lane.AnyInDst
}

// mayGoTo guards effects: a message that may have run goes only where and while a repeat is known as one.
func (m *msg) mayGoTo(r *receiver, now int64) bool {
	l := m.risky()
	return l == nil || m.lane.Repeat == Retriable ||
		m.lane.Repeat == Keyed && now <= m.lastChance() && (m.lane.AnyInDst || r.zone == l.call.r.zone)
}

// lastChance is until when a leg may go out.
func (m *msg) lastChance() int64 {
	if l := m.risky(); l != nil && m.lane.Repeat == Keyed {
		return min(m.expires-answerMargin, l.call.sentAt+m.lane.Window-keyMargin)
	}
	return m.expires - answerMargin
}

func (b *budget) withdraw(now int64, percent, floor float64) bool {
	live := b.expire(now, percent)
	may := float64(live)*percent+floor*float64(ttl/second)-b.spent >= 1
	if may {
		b.spent++
	}
	return may
}

func (p *route) know(share float64) {
	if p.share == 0 && p.isUsed() {
		p.tokens = paceLeast
	}
	p.share = share
}

// firstTokens is what a route has at its first use.
func (p *route) firstTokens() float64 {
	if p.share > 0 {
		return paceLeast
	}
	return 0
}

// shares is how many even shares of its limit a route may be sent by each sender now.
func (p *route) shares(now int64) float64 {
	if p.pressedAt == 0 {
		return paceShares
	}
	most := paceShares * p.full
	if p.ill { // danger: the backlog of all senders meets a return while few of them have closed it
		most = 1
	}
	return min(most, p.press+p.rise*float64(now-p.pressedAt))
}

// isPressed tells whether it bears less than it would had nobody been refused.
func (p *route) isPressed(now int64) bool {
	return p.pressedAt > 0 && p.shares(now) < paceShares*p.full
}

// pressed takes in that a route refused one of the team, and tells whether that is news. Danger: what each
// of a large team may send at once is harmless alone, in sum many seconds of the limit; where refused calls
// use it up too, nobody gets through until each was refused by itself. Where an even share is a call in many
// target times, few hold a message at once: each starts with more, and refusals bring that down. A limit not
// known has no shares to cut.
func (p *route) pressed(now, target int64, chance float64) bool {
	if p.share == 0 || p.pressedAt != 0 && now-p.pressedAt < pressGap {
		return false
	}
	p.refill(now)
	shares := p.shares(now)
	if !p.isPressed(now) {
		p.tokens = min(p.tokens, chance) // else all senders' first calls coincide
		p.full = max(1, pressStart*float64(second)/(p.share*float64(target)))
		shares = paceShares * p.full
	}
	p.press, p.pressedAt = max(pressLeast, min(p.full, shares*pressCut)), now
	p.rise = (1 - pressCut) * p.full / float64(target) // given back sooner than what waits for it is late
	return true
}

// rate is how many calls a second this sender may send now. Leases sum to the limit, so one is all of it.
func (p *route) rate(now int64) float64 {
	if p.lease.told {
		return p.lease.perSec * min(1, p.shares(now))
	}
	return p.share * p.shares(now) * cmp.Or(p.part, 1)
}

func (p *route) refill(now int64) {
	least, rate := paceLeast, p.use().rate(now)
	if p.isPressed(now) || p.lease.told {
		least = 1
	}
	p.tokens = min(p.tokens+rate*float64(now-p.filledAt)/float64(second), max(least, rate*paceBurst))
	p.filledAt = now
}

// part is what this sender takes on, in means of the team, where fellows have told. Danger: where some get
// several times the mean, an even share refuses most of theirs beside room that the others leave.
func (s *Sender) part() float64 {
	if s.meanGap == 0 || s.rate() == 0 {
		return 1
	}
	return min(partMost, max(partLeast, s.rate()*s.meanGap))
}

// readyAt is when pace and told wait let a call go.
func (p *route) readyAt(now int64) int64 {
	p.refill(now)
	at := now
	if p.lease.none() {
		return never
	}
	if (p.share > 0 || p.lease.told) && p.tokens < 1 {
		at = now + int64((1-p.tokens)/p.rate(now)*float64(second)) + 1
	}
	return max(at, p.waitUntil, p.pause)
}

// refused guards against calling on at a limit: refused calls may use it up too, so callers can hold a
// destination shut for everyone. A row of refusals makes the pauses longer; a success ends it.
func (p *route) refused(now int64, chance, turn float64) {
	if p.row == 0 {
		p.rowFrom = now
	}
	p.row++
	if now < p.pause { // refusals of one burst are one signal
		return
	}
	if p.share > 0 && p.row+p.bad < badRow { // pace keeps to the limit; but a full queue may mean an outage too
		turn /= 2
	}
	first := max(pauseFirst, int64(pauseTurn*turn))
	p.pause = now + int64((0.5+chance)*float64(min(max(pauseMost, int64(turn)), first<<min(p.row-1, 10))))
}

// failed counts a row of calls gone wrong at a route.
func (s *Sender) failed(r *receiver, sentAt int64, o Outcome) {
	if r.used().route.bad == 0 {
		r.route.badFrom = s.now
	}
	r.route.bad++
	r.route.failing += (1 - r.route.failing) * failStep
	s.recoveryFailed(r, sentAt, o)
}

// succeeded ends such rows, and keeps the best rate over a span, less the noise of which sender got a call:
// the best of many thin spans lies far above the mean. A sender alone gets all, so none is noise.
func (p *route) succeeded(now int64, open bool, senders int) {
	p.use()
	p.failing -= p.failing * failStep
	p.row, p.bad, p.oks, p.okAt = 0, 0, p.oks+1, now
	if !open || p.okFrom == 0 { // a slow start's own restraint is no measure
		p.okFrom, p.okNow = now, 0
	} else if now-p.okFrom > okSpan && p.okNow >= okLeast {
		sure := p.okNow - math.Sqrt(p.okNow*(1-1/float64(max(1, senders))))
		p.okPeak = max(p.okPeak, sure*float64(second)/float64(now-p.okFrom))
		p.okFrom, p.okNow = now, 0
	}
	p.okNow++
}

func (d *dst) slowAfter() float64 { return d.mean + slowVar*d.dev }

// overdue calls take longer than the answers seen at their destination make likely.
func (c *call) overdue(now int64) bool {
	return c.r.dst.sampled && float64(now-c.sentAt) > c.r.dst.slowAfter()
}

// Listed takes a list of receivers. A failed lookup leaves the old one in force.
func (s *Sender) Listed(form ListForm, entries []Entry) {
	if form == LookupFailed {
		s.lookupFailed()
		return
	}
	were := s.listBegins(form, len(entries))
	for _, e := range entries {
		s.listedOne(form, e)
	}
	s.listEnds(were)
	s.sweep()
}

func (s *Sender) listedOne(form ListForm, e Entry) {
	d := s.dst(e.Dst)
	if e.Kind >= 0 && e.Kind < len(s.kinds) {
		d.kind = s.kinds[e.Kind]
	}
	r := s.recvs[e.Receiver]
	if r == nil {
		r = s.newReceiver(e.Receiver, d)
		if d.down { // danger: a machine that replaces a dead one is cold, and the whole backlog waits for it
			s.become(r, closed)
		} else if form == Changes && s.troubled(d) { // danger: it may replace one not yet known ill, cold
			s.become(r, warming)
		}
	}
	r.zone, r.weight, r.listedAt = e.Zone, e.Weight, s.now
	s.wake(d)
	s.list(d, r, e.Listed)
	s.recallCold(r)
	if s.trust != NoWeight && r.weight > 0 && r.route.told == 0 {
		r.route.know(r.weight / float64(s.team.Senders))
	}
}

// lookupFailed draws when to ask again. Danger: what discovery can't answer in time still costs it the work;
// where all come back at one beat, none gets an answer. One that had long been answered draws over the whole
// span; then each keeps its place in it.
func (s *Sender) lookupFailed() {
	s.askAt = s.askedAt + askMost - int64(s.chance()*float64(askDraw))
	if s.now-s.askedAt >= askMost {
		s.askAt = s.now + int64(s.chance()*float64(askMost))
	}
}

// troubled sees the first signs of an outage, before any receiver need be closed.
func (s *Sender) troubled(d *dst) bool {
	return len(d.calls) > 0 && d.calls[0].overdue(s.now) || s.unwell(d) > 0 || d.route.mayBeCold()
}

func (r *receiver) unwell() bool { return r.sick() || r.strikes > 0 }

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
		c.r.route.waitUntil = max(c.r.route.waitUntil, s.now+wait)
		s.saw(c.r, Sight{Kind: SeenWait, Wait: wait})
	}
	c.open--
	c.r.usedAt = s.now
	s.countStale(c, o)
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
	s.countLost(c.r, o)
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

// countLost keeps the share of legs lost at receivers that answered again: an outage does not count in it,
// loss on the way does. The connection that lost one is not used again.
func (s *Sender) countLost(r *receiver, o Outcome) {
	switch o {
	case Delivered:
		if r.used().missed {
			s.loss += (1 - s.loss) * lossStep
		}
		r.missed = false
		s.loss -= s.loss * lossStep
	case TimedOut, Cancelled, Reset, ConnectFailed:
		r.used().missed = o != ConnectFailed
		s.host.CloseIdle(r.id)
		if s.weightOfSilence() < 1 {
			s.distrust = s.now + distrustFor
		}
	}
}

// countStale sees connections that die while idle: a row of legs lost on such. Danger: a thin sender sees a
// receiver too seldom to tell loss on the way by answers that come later.
func (s *Sender) countStale(c *call, o Outcome) {
	switch {
	case !c.onIdle:
	case o == Delivered:
		s.stale = 0
	case o == TimedOut || o == Reset || o == Cancelled:
		if s.stale++; s.stale >= staleRow {
			s.distrust = s.now + distrustFor
		}
	}
}

// repeat is the design's mechanism: budget, told wait plus full jitter, deadline.
func (s *Sender) repeat(m *msg, o Outcome, wait int64) {
	d := m.dst
	if m.recalled || len(m.legs) >= s.room.Legs || m.risky() != nil && m.lane.Repeat == NonRetriable {
		s.end(m, wait, MayNotRepeat)
		return
	}
	if o == Skipped {
		s.turn(m, held)
		return
	}
	bucket, percent := &d.errs, percentCanRetry
	if o == Full && wait > 0 {
		bucket, percent = &d.told, percentCanRetry*toldWaitBonus
	}
	window := min(backoffCap, backoffBase<<min(len(m.legs)-1, 10))
	m.notBefore = s.now + wait + int64(s.chance()*float64(window))
	switch {
	case !bucket.withdraw(s.now, percent, s.floor):
		s.end(m, wait, NoRetryBudget)
		return
	case m.notBefore > m.lastChance():
		s.end(m, wait, RetryTooLate)
		return
	}
	s.turn(m, held)
}

// observe learns from a call that is over.
func (s *Sender) observe(c *call, o Outcome, wait int64) {
	r, d := c.r.used(), c.r.dst
	r.route.piling = o == TimedOut || o == Full
	if o == TimedOut || o == ConnectFailed || o == Errored || o == Reset {
		s.failed(r, c.sentAt, o)
	}
	r.route.ill = o != Delivered && (r.route.ill || o != Full && o != Skipped && o != Cancelled)
	if r.route.ill && r.route.pressedAt > 0 { // nor may what was earned at a larger share go there at once
		r.route.tokens = min(r.route.tokens, 0)
	}
	switch o {
	case Delivered:
		d.errs.deposit(s.now, percentCanRetry)
		d.told.deposit(s.now, percentCanRetry*toldWaitBonus)
		d.timed(float64(s.now - c.sentAt))
		s.mean += (float64(s.now-c.sentAt) - s.mean) * meanStep
		if r.route.bad > 0 && r.health == open {
			s.host.Log(RowEnded{s.now, r.id, d.id, r.route.bad, s.now - r.route.badFrom, len(d.held)}.String())
		}
		r.route.succeeded(s.now, r.health == open, s.team.Senders)
		s.answered(r, c.sentAt)
	case Full:
		if r.route.pressed(s.now, s.target(), s.chance()) && s.allowed.Notes {
			s.host.Note(fmt.Sprintf("%s%d%s%.2f", pressMark, r.id, rateMark, s.rate()))
		}
		r.route.refused(s.now, s.chance(), s.trialTurn(r))
		s.turnedAway(r, wait)
	case TimedOut:
		s.struck(r, c.sentAt, silentStrike)
	case ConnectFailed:
		s.saw(r, Sight{Kind: SeenScarce})
		s.tell(r, "", &r.scarceTill, scarceFor)
		s.struck(r, c.sentAt, silentStrike)
	case Errored, Reset:
		s.struck(r, c.sentAt, 1)
	case Skipped: // it never went, so it used up nothing
		r.route.tokens, r.tokens = r.route.tokens+1, r.tokens+1
		r.route.spendRecovery(-1)
	}
}

func (s *Sender) reported(r *receiver, rep Report) {
	if rep.Told && rep.LimitPerSec > 0 {
		if rep.LimitPerSec != r.route.told {
			s.saw(r, Sight{Kind: SeenLimit, PerSec: rep.LimitPerSec})
		}
		r.route.told = rep.LimitPerSec
		r.route.know(rep.LimitPerSec / float64(s.team.Senders))
		if rep.ShareLeft < leastShareLeft { // others have used the room that a full bucket would promise
			r.route.tokens = min(r.route.tokens, 0)
		}
	}
}

func (s *Sender) answered(r *receiver, sentAt int64) {
	r.okAt, r.okSent, r.peak = s.now, max(r.okSent, sentAt), max(r.peak, r.calls+1)
	if sentAt < r.since {
		return
	}
	r.strikes, r.route.strikes = 0, 0
	if r.health == closed {
		s.become(r, warming)
	}
	if sentAt >= r.route.recovery.since {
		s.recoveryAnswered(r, true)
	}
	if r.health == warming && !r.proved {
		s.saw(r, Sight{Kind: SeenBack, Warm: min(1, float64(s.now-r.since)/float64(max(1, s.guards.WarmWithin)))})
		s.tell(r, backMark, &r.toldBack, backEvery)
	}
	r.dst.isDown(s.now, false)
	r.proved = true
}

func (s *Sender) become(r *receiver, h health) {
	s.host.Log(fmt.Sprintf("%d ms: receiver %d of destination %d is %s (%.1f strikes, %d refusals)",
		s.now/1000, r.id, r.dst.id, h, r.strikes, r.route.row))
	r.used()
	r.health, r.since, r.strikes, r.proved, r.missed, r.scarceTill = h, s.now, 0, false, false, 0
	r.tokens, r.filledAt = s.chance(), s.now // chance: else all senders' first calls coincide
	s.wake(r.dst)
}

// struck guards against any outage that shows as legs gone wrong: down, silent, hung, failing most calls.
// Legs sent before the last change say nothing new. Where a row without a success at several receivers of a
// route makes the points, all close: a thin sender finds each out too late. A setback while warming
// has slow start begin anew; an error alone among answers is none: where some get spoilt, it would never end.
func (s *Sender) struck(r *receiver, sentAt int64, points float64) {
	if sentAt < r.since || r.health == closed {
		return
	}
	p := r.used().route
	points *= s.weightOfSilence()
	if r.strikes == 0 {
		r.struckFrom = s.now
	}
	r.strikes, p.strikes, r.struckAt = r.strikes+points, p.strikes+points, s.now
	switch {
	case p.strikes >= strikesToClose && p.bad > badRow && p.strikes > r.strikes: // not at one receiver alone
		s.closeRoute(r, p.badFrom)
	case r.strikes >= strikesToClose || r.health == warming && !r.proved:
		s.close(r, r.struckFrom)
	case r.health == warming && r.strikes > 1:
		r.since = s.now
	}
}

// weightOfSilence tells an outage from loss on the way. Danger: where calls get lost now and then, rows of
// lost ones are chance, and closing starves the well. A row weighs by how unlikely chance makes it.
func (s *Sender) weightOfSilence() float64 {
	return min(1, math.Log(s.loss)/math.Log(usualLoss))
}

// tell notes something of a receiver to the fellows, once in a span. No rule leans on a note: who hears of a
// return sends no more than its share of slow start.
func (s *Sender) tell(r *receiver, mark string, till *int64, span int64) {
	if s.now >= *till && s.allowed.Notes {
		s.host.Note(mark + strconv.FormatUint(uint64(r.id), 10))
	}
	*till = s.now + span
}

// Noted takes a fellow's note: connections are scarce there, or it is back. Dangers: idle connections, ours
// or others', may take all that a receiver has; alone in a large fleet a return is found after minutes.
func (s *Sender) Noted(text string) {
	number, back := strings.CutPrefix(text, backMark)
	number, press := strings.CutPrefix(number, pressMark)
	number, rate, _ := strings.Cut(number, rateMark)
	id, err := strconv.ParseUint(number, 10, 32)
	r := s.recvs[uint32(id)]
	switch {
	case err != nil || r == nil:
	case press:
		s.heardRate(rate)
		r.route.pressed(s.now, s.target(), s.chance())
		s.wake(r.dst)
	case !back:
		r.used().scarceTill = s.now + scarceFor
	default:
		s.Told(Sight{Kind: SeenBack, Receiver: r.id})
	}
}

// turnedAway tells a shut destination, which comes back cold, from a busy one: it tells a long wait, or
// refuses for longer than limiters do.
func (s *Sender) turnedAway(r *receiver, wait int64) {
	if wait >= longWait || r.route.row >= refusedRow && s.now-r.route.rowFrom >= refusedSilence {
		s.closeRoute(r, r.route.rowFrom)
	}
}

// closeRoute closes all receivers of a route, for what was seen from a time on.
func (s *Sender) closeRoute(r *receiver, from int64) {
	for _, o := range r.dst.recvs {
		if o.route == r.route && o.health != closed {
			s.close(o, from)
		} else if o.route == r.route {
			s.spaceTrials(o, true)
		}
	}
}

func (s *Sender) close(r *receiver, from int64) {
	s.shut(r, from)
	s.saw(r, Sight{Kind: SeenDown})
}

// Told takes a fellow's sight. No rule leans on it; a false one heals, for it is not told on.
func (s *Sender) Told(v Sight) {
	r := s.recvs[v.Receiver]
	if r == nil {
		return
	}
	seenAt := s.now - v.Age
	r.used()
	switch v.Kind {
	case SeenWait:
		r.route.waitUntil = max(r.route.waitUntil, s.now+min(v.Wait, hearsayMost))
	case SeenDown:
		if r.health != closed && r.okAt < seenAt && r.since < seenAt {
			s.shut(r, seenAt)
		}
	case SeenBack:
		if r.since > seenAt {
			return
		}
		r.toldBack, r.scarceTill = s.now+backEvery, 0 // connects that failed were its outage
		if r.health == closed {
			s.become(r, warming)
		}
		if r.route.recovery.phase == suspect { // danger: all that hear it have waited long enough to call at once
			s.recoveryAnswered(r, false)
			s.drawRecovery(r.route)
		}
	case SeenLimit:
		if r.route.share == 0 && v.PerSec > 0 {
			r.route.told = v.PerSec
			r.route.know(v.PerSec / float64(s.team.Senders))
		}
	case SeenScarce:
		r.scarceTill = max(r.scarceTill, seenAt+scarceFor)
	}
}

func (s *Sender) shut(r *receiver, from int64) {
	s.become(r, closed)
	s.recoveryClosed(r, from)
	s.spaceTrials(r, true)
	r.dst.isDown(s.now, !slices.ContainsFunc(r.dst.recvs, func(o *receiver) bool { return o.health == open }))
}

// trialTurn is how many µs lie between calls of this sender where it sends its share of a cold start.
func (s *Sender) trialTurn(r *receiver) float64 {
	return float64(second) / max(s.coldShare(r, s.guards.StartShare), leastTrials)
}

// spaceTrials keeps probes to what a cold destination may be sent: they weigh like calls, and no one knows
// when it returns. Where they hang or are refused they pile up and push it over as it returns, however
// little each sender tries: there all senders share one spacing.
func (s *Sender) spaceTrials(r *receiver, first bool) {
	gap := max(trialGap, int64(s.trialTurn(r)))
	if r.route.recovery.phase == recovering {
		gap *= siblingTrials
	}
	if r.route.piling {
		gap = max(gap, min(int64(s.team.Senders)*fleetGap, pilingRest*gap))
	}
	r.route.trialAt = s.now + int64(float64(gap)*(0.75+s.chance()/2))
	if first { // all senders' first trials together keep to the sum of their shares, told waits or not
		r.route.trialAt = max(s.now+trialGap, r.route.waitUntil) + int64(float64(gap)*s.chance())
	}
}

// Probed takes the outcome of a probe.
func (s *Sender) Probed(id uint32, o Outcome, rep Report) {
	r := s.recvs[id]
	if r == nil {
		return
	}
	r.used().probing = false
	r.route.piling = o == TimedOut || o == Full
	s.wake(r.dst)
	s.reported(r, rep)
	if r.health == closed && o == Delivered {
		s.become(r, warming)
		s.recoveryAnswered(r, false)
	}
}

// Rang takes back the one timer.
func (s *Sender) Rang(uint64) { s.timerAt = never }

// capacity is what a receiver's destination (or route) surely takes when warm, in calls a second from all.
func (s *Sender) capacity(r *receiver) float64 {
	switch {
	case r.route.told > 0:
		return r.route.told
	case s.trust == NominalWeight && r.weight > 0:
		return r.weight
	case s.trust == RoughWeight && r.weight > 0:
		return r.weight * roughLow
	}
	// What it delivered while it stood: in sum right. Danger: what arrives counts each time clients come again.
	stood := max(s.now-s.startAt-r.dst.downFor(s.now), rateSpan)
	return float64(s.team.Senders) * max(r.route.okPeak, max(1, r.route.oks)*float64(second)/float64(stood))
}

// slowStart is this sender's share of what a receiver back from an outage may be sent, in calls a second.
// Danger: a cold destination sent a multiple of what it can do falls over for good.
func (s *Sender) slowStart(r *receiver) float64 {
	start, warm := s.guards.StartShare, min(1, float64(s.now-r.since)/float64(max(1, s.guards.WarmWithin)))
	rate := s.coldShare(r, start+(1-start)*warm)
	if !r.dst.kind.Apart {
		rate /= float64(max(1, len(r.dst.recvs)))
	}
	return rate
}

// coldShare is this sender's part of what a destination (or route) may be sent at a share of its capacity. Danger: a sender that has hardly
// delivered there takes it for tiny where no limit is told, and would find its return after minutes.
func (s *Sender) coldShare(r *receiver, share float64) float64 {
	return max(s.capacity(r)*share*s.guards.Overload*slowStartMargin, fleetLeast) / float64(s.team.Senders)
}

// boundOf is the rate in calls a second at which this sender may call a receiver, 0 where nothing bounds it.
func (s *Sender) boundOf(r *receiver) float64 {
	switch {
	case r.route.mayBeCold():
		return s.recoveryRate(r, s.now)
	case r.health == warming:
		return s.slowStart(r)
	default:
		return r.route.rate(s.now)
	}
}

// readyAt is when a receiver may get its next call; never for one that waits for an event.
func (s *Sender) readyAt(r *receiver) int64 {
	r.route.use()
	r.route.part, r.route.lease = s.part(), r.dst.leaseOf()
	at := r.route.readyAt(s.now)
	if s.silent(r) || r.route.row > 0 && len(r.dst.calls) > 0 {
		return never // hanging, or refusing: there one call at a time, until a success
	}
	switch r.health {
	case closed:
		if s.allowed.Probes || r.calls > 0 {
			return never
		}
		return max(at, r.route.trialAt)
	case warming:
		if !r.proved && r.calls > 0 {
			return never
		}
		if s.now-r.since > s.guards.WarmWithin {
			s.become(r, open)
			break
		}
		if r.route.mayBeCold() { // its bucket holds for all its receivers
			break
		}
		rate := s.slowStart(r)
		r.tokens = min(1, r.tokens+rate*float64(s.now-r.filledAt)/float64(second))
		r.filledAt = s.now
		if r.tokens < 1 {
			at = max(at, s.now+int64((1-r.tokens)/rate*float64(second))+1)
		}
	}
	return max(at, s.recoveryReadyAt(r))
}

// silent guards against a hanging receiver soaking up first sends, which no budget checks: with several
// calls out, the oldest overdue and nothing delivered since it went, no more is sent until one of them has
// an outcome.
func (s *Sender) silent(r *receiver) bool {
	if r.calls < silentCalls {
		return false
	}
	oldest := r.dst.calls[slices.IndexFunc(r.dst.calls, func(c *call) bool { return c.r == r })]
	return r.okAt <= oldest.sentAt && oldest.overdue(s.now) && s.weightOfSilence() >= 1
}

// callOff guards against trouble on the way to everyone: with most destinations overdue at once, calls sit on
// dead connections. They are called off, no idle one is trusted. Done lately, what hangs is on new ones.
func (s *Sender) callOff() {
	var late []*dst
	for _, d := range s.busy {
		s.callOffOvertaken(d)
		sentAt := d.calls[0].sentAt
		if due := sentAt + int64(d.slowAfter()) + 1; due > s.now {
			s.wakeBy(d, due)
			continue
		}
		if d.sampled && !slices.ContainsFunc(d.recvs, func(r *receiver) bool { return r.okAt > sentAt }) {
			late = append(late, d)
		}
	}
	if !s.allowed.Cancel || s.now < s.distrust || len(late) < leastLate ||
		float64(len(late)) < lateShare*float64(len(s.busy)) {
		return
	}
	s.distrust = s.now + distrustFor
	for _, d := range late {
		for _, c := range d.calls {
			if c.overdue(s.now) {
				s.cancel(c)
			}
		}
	}
}

func (s *Sender) cancel(c *call) {
	for _, m := range c.msgs {
		s.host.Cancel(m.id, slices.IndexFunc(m.legs, func(l leg) bool { return l.call == c }))
	}
	c.off = true
}

// callOffOvertaken guards against answers lost on the way, seen as calls overtaken by far: until patience
// ends they hold the slots, and their messages. Only while loss is common, or slots or the cap are full.
func (s *Sender) callOffOvertaken(d *dst) {
	if !s.allowed.Cancel || !s.scarce() && len(d.calls) < s.slotCap(d) && s.weightOfSilence() >= 1 {
		return
	}
	for _, c := range d.calls {
		after := max(int64(d.mean+patienceVar*d.dev), int64(overtakenLeast*float64(c.msgs[0].lane.Target)))
		if due := c.sentAt + after; due > s.now {
			s.wakeBy(d, due)
		} else if !c.off && float64(c.r.okSent-c.sentAt) > d.slowAfter() && c.msgs[0].lane.Repeat != NonRetriable {
			s.cancel(c)
		}
	}
}

func (s *Sender) scarce() bool { return float64(s.calls) > scarceSlots*float64(s.room.Slots) }

// slotCap is how many slots a destination may hold.
func (s *Sender) slotCap(d *dst) int {
	ill := func(r *receiver) bool { return r.sick() || r.route.mayBeCold() }
	if len(d.calls) > 0 && d.calls[0].overdue(s.now) || slices.ContainsFunc(d.recvs, ill) {
		return max(1, int(sickShare*float64(s.room.Slots)))
	}
	return max(1, int(math.Ceil(dstShare*float64(s.room.Slots)))-1)
}

// Decide is the end of a turn: answers what is out of time, tries what is closed, sends what may go.
func (s *Sender) Decide() {
	if s.allowed.Subscribe && (s.now >= s.askAt || s.askedAt == 0 && len(s.order) == 0) { // nothing known at all
		s.askAt, s.askedAt = never, s.now
		s.host.Subscribe()
	}
	s.restOver()
	for len(s.expiry) > 0 && s.expiry[0].giveUp <= s.now {
		s.end(s.expiry[0], 0, OutOfTime)
	}
	awake := s.awake()
	s.callOff() // once they are no longer due: what it sets for later would be lost
	var ready []*dst
	for _, d := range awake {
		if len(d.held) > 0 || len(d.recvs) > 0 {
			s.tryClosed(d)
			s.giveUp(d)
			ready = append(ready, d)
		}
	}
	s.dispatch(ready)
	s.makeRoom()
	for _, r := range s.spare {
		s.host.CloseIdle(r.id)
	}
	s.spare = s.spare[:0]
	s.setTimer()
}

// giveUp ends what cannot go in time: held, it would fill the room and run out; pushed back, its client finds
// another sender, or this one later. What surely never ran and was told no wait that long is kept for most of
// its time first: a fellow's note of a return may let it go.
func (s *Sender) giveUp(d *dst) {
	at, told := never, never
	for _, r := range d.recvs {
		hope := max(r.route.waitUntil, r.route.pause)
		if r.health == closed {
			hope = max(hope, r.route.trialAt)
		} else if ready := s.recoveryReadyAt(r); ready < never {
			hope = max(hope, ready)
		}
		at, told = min(at, hope), min(told, r.route.waitUntil)
	}
	for _, m := range d.endingBefore(at) {
		if m.risky() == nil && max(s.now, told) < m.keepTill {
			s.wakeBy(d, m.keepTill)
		} else {
			s.end(m, at-s.now, NoHopeInTime)
		}
	}
}

// tryClosed probes closed receivers, rarely.
func (s *Sender) tryClosed(d *dst) {
	for _, r := range d.recvs {
		if r.health != closed || !s.allowed.Probes || r.probing || d.lease.none() {
			continue
		}
		if at := s.probeAt(r); at > s.now {
			s.wakeBy(d, at)
			continue
		}
		r.probing = true
		r.route.spendProbe()
		s.spaceTrials(r, false)
		s.host.CloseIdle(r.id)
		s.noteColdCall("", r, float64(second)/s.trialTurn(r))
		s.host.Probe(r.id)
	}
}

// dispatch sends the most urgent message that may go, again and again, until none may or no slot is left.
func (s *Sender) dispatch(ready []*dst) {
	var cands []candidate
	for _, d := range ready {
		if c := s.best(d); c.m != nil {
			cands = append(cands, c)
		}
	}
	for len(cands) > 0 {
		if s.calls >= s.room.Slots {
			for _, c := range cands {
				s.wake(c.m.dst)
			}
			return
		}
		slices.SortStableFunc(cands, func(a, b candidate) int { return cmp.Compare(b.urgent, a.urgent) })
		d := cands[0].m.dst
		s.call(cands[0].m)
		if cands[0] = s.best(d); cands[0].m == nil {
			cands = cands[1:]
		}
	}
}

// usable lists the receivers that may get a call now, and notes when the next one may.
func (s *Sender) usable(d *dst) (rs []*receiver) {
	for _, r := range d.recvs {
		if at := s.readyAt(r); at <= s.now {
			rs = append(rs, r)
		} else {
			s.wakeBy(d, at)
		}
	}
	return rs
}

func (s *Sender) best(d *dst) candidate {
	if len(d.held) == 0 || len(d.calls) >= s.slotCap(d) {
		return candidate{}
	}
	if at := s.gathered(d); at > s.now {
		s.wakeBy(d, at)
		return candidate{}
	}
	return s.mostUrgent(d, s.usable(d), s.calls >= s.room.Slots)
}

// gathered is when the messages held for a destination that shares calls should go: an idle one's at once,
// else a while after the last call or when a call is full. Shared calls spare limits and slots.
func (s *Sender) gathered(d *dst) int64 {
	if d.kind.Batch < 2 || len(d.held) >= d.kind.Batch {
		return s.now
	}
	return d.calledAt + int64(gatherShare*float64(d.held[0].lane.Target))
}

// mostUrgent is, of those that may go, the held message that loses most by waiting one more target time, for
// the time its call holds a slot. Danger: a backlog served as it runs out of time makes all that follow late.
// any is for when no slot is left: the first that may go tells that the destination waits for one.
func (s *Sender) mostUrgent(d *dst, rs []*receiver, any bool) (c candidate) {
	for i := 0; i < len(d.held) && (c.m == nil || !any); i++ {
		m := d.held[i]
		if !s.mayGo(m) || !slices.ContainsFunc(rs, func(r *receiver) bool { return s.fits(m, r) }) {
			continue
		}
		if u := s.urgency(m); c.m == nil || u > c.urgent {
			c.m, c.urgent = m, u
		}
	}
	return c
}

func (s *Sender) fits(m *msg, r *receiver) bool { return m.mayGoTo(r, s.now) && !s.wary(m, r) }

// wary keeps what cannot be repeated from where the latest leg went wrong: others find out.
func (s *Sender) wary(m *msg, r *receiver) bool {
	until := r.struckAt + int64(waryFor*float64(m.lane.Target))
	if m.lane.Repeat != NonRetriable || r.strikes == 0 || until <= s.now {
		return false
	}
	s.wakeBy(m.dst, until)
	return true
}

func (s *Sender) mayGo(m *msg) bool {
	if m.notBefore > s.now {
		s.wakeBy(m.dst, m.notBefore)
		return false
	}
	return m.line == nil || m.line.msgs[0] == m
}

func (s *Sender) urgency(m *msg) float64 {
	mean, _ := s.answerTime(m.dst)
	took := max(int64(mean), leastTook)
	at, halves := s.now+took, s.room.HalvesLate
	loss := m.value(at, halves) - waitKeeps*m.value(at+m.lane.Target, halves)
	if s.now < s.leftTill {
		loss *= max(leastThere, 1-float64(s.age(m))/max(1, s.leaveAge))
	}
	return loss / float64(took)
}

// call sends a message, and with it as many more for the same receiver as a call takes.
func (s *Sender) call(m *msg) {
	d := m.dst
	r := s.draw(m, s.usable(d)).used()
	s.refresh(r)
	c := &call{r: r, sentAt: s.now, onIdle: s.hasIdle(r) && s.now-r.usedAt > staleIdle}
	s.calls, r.calls = s.calls+1, r.calls+1
	d.calls, d.calledAt = append(d.calls, c), s.now
	s.keepBusy(d)
	r.route.tokens--
	r.tokens--
	r.route.spendRecovery(1)
	if r.health == closed {
		s.spaceTrials(r, false)
	}
	s.noteColdCall(m.id, r, s.boundOf(r))
	s.send(m, c)
	for n := 1; n < d.kind.Batch; n++ {
		next := s.mostUrgent(d, []*receiver{r}, false)
		if next.m == nil {
			return
		}
		r.tokens -= slowStartExtra
		r.route.spendRecovery(slowStartExtra)
		s.send(next.m, c)
	}
}

// refresh guards against connections that died while idle: only a new one helps. Done while loss is common.
func (s *Sender) refresh(r *receiver) {
	if r.calls == 0 && !s.hasIdle(r) && s.now < s.distrust {
		s.host.CloseIdle(r.id)
	}
}

func (s *Sender) send(m *msg, c *call) {
	c.open++
	c.msgs = append(c.msgs, m)
	m.legs = append(m.legs, leg{call: c})
	s.turn(m, out)
	s.host.Send(m.id, c.r.id, s.patience(m, c.r))
}

// draw picks one receiver at random, odds in step with the room each is thought to have, rather one with an
// idle connection: in a large fleet most calls of a thin sender would open one. Danger: an endpoint may fail
// one lane alone, and its other lanes' answers clear its strikes.
func (s *Sender) draw(m *msg, rs []*receiver) *receiver {
	var best *receiver
	sum := 0.0
	for _, r := range rs {
		if !s.fits(m, r) {
			continue
		}
		odds := max(leastRoom, float64(r.peak+1-r.calls))
		if s.hasIdle(r) {
			odds *= idleLean
		}
		if r.fails[m.lane] {
			odds *= laneFailed
		}
		if r.zone != s.team.Zone && s.team.CrossingFee > 0 {
			odds *= farLean
		}
		sum += odds
		if s.chance()*sum < odds { // keeps each with odds/sum in the end
			best = r
		}
	}
	return best
}

// patience is how long a leg is waited for: legs given up run on, so give up late while slots are plenty.
// Danger: calls lost on the way fill the slots; then only as long as answer times suggest.
func (s *Sender) patience(m *msg, r *receiver) int64 {
	p, lossy := maxPatience*m.lane.Target, s.weightOfSilence() < 1
	if mean, dev := s.answerTime(r.dst); lossy || r.dst.sampled && s.scarce() {
		least := m.lane.Target
		if lossy {
			least /= 2
		}
		p = min(p, max(int64(mean+patienceVar*dev), least))
	}
	return max(1, min(p, m.expires-answerMargin-s.now))
}

// makeRoom pushes back before the holding room is full, when nobody's messages get in. The destination with
// most held gives way.
func (s *Sender) makeRoom() {
	if excess := s.excess(); excess > 0 {
		s.giveWay(slices.MaxFunc(s.order, func(a, b *dst) int { return len(a.held) - len(b.held) }), excess)
	}
}

func (s *Sender) excess() int { return len(s.expiry) - int(roomKept*float64(s.room.Held)) }

// MakeRoom is for who takes up many in one turn. Danger: one destination would give way for all of them.
func (s *Sender) MakeRoom() {
	for _, c := range s.crowds(s.excess()) {
		s.giveWay(c.dst, c.n)
	}
}

// giveWay pushes back the least urgent messages of a destination.
func (s *Sender) giveWay(d *dst, n int) {
	var out []candidate
	for _, m := range slices.Backward(d.held) {
		if m.mayPushBack() {
			out = append(out, candidate{m: m, urgent: s.urgency(m)})
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Compare(a.urgent, b.urgent) })
	for _, c := range out[:min(n, len(out))] {
		s.end(c.m, 0, NoRoomHeld)
	}
}
