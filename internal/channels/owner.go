package channels

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// step does what is due for a channel, and sees that it is woken for the next thing.
func (t *Table) step(now int64, c *channel) {
	if t.broken {
		t.expire(now, c)
		t.wakeToExpire(c)
		return
	}
	switch c.phase {
	case Quiet, Owning, Yielding:
		if now >= c.leaseEnd(t) {
			t.turn(c, Lapsed)
			c.comeBack, c.gapEnd = now, 0
		}
	}
	t.expire(now, c)
	switch c.phase {
	case Asking:
		if now >= c.askedAt+t.t.Answer {
			t.askNext(now, c)
		}
	case Holding:
		t.stepHolding(now, c)
	case Lapsed:
		if now >= c.comeBack && len(c.entries) == 0 && c.mine.Fence == 0 {
			t.turn(c, Idle)
		} else if now >= c.comeBack {
			t.ask(now, c)
		}
	case Quiet:
		t.renew(now, c)
		if now >= c.quietEnd {
			t.turn(c, Owning)
		}
	case Releasing:
		t.renew(now, c)
	case Fenced:
		t.stepFenced(now, c)
	}
	switch c.phase {
	case Owning:
		t.stepOwning(now, c)
	case Yielding:
		t.stepYielding(now, c)
	}
	t.touch(now, c)
}

// wakeToExpire sets the alarm of a channel whose messages can do nothing but end.
func (t *Table) wakeToExpire(c *channel) {
	for _, e := range c.entries {
		if !e.released && (c.wake == 0 || e.Until < c.wake) {
			c.wake = e.Until
			t.wakeAt(c.wake, c.name, false)
		}
	}
}

// touch lets go of a channel of which nothing is here, or sets its alarm.
func (t *Table) touch(now int64, c *channel) {
	if c.phase == Idle && now >= c.comeBack && len(c.entries) == 0 {
		t.forgetChannel(c.name)
		return
	}
	if at := c.wakeUp(now, t); at > 0 && (c.wake == 0 || at < c.wake) {
		c.wake = at
		t.wakeAt(at, c.name, false)
	}
}

// ask begins to ask electors, the first alone: so one of many candidates gets all of them.
func (t *Table) ask(now int64, c *channel) {
	n := len(c.electors)
	c.fence = max(c.fence, c.heard) + 1
	c.heard = c.fence
	c.granted, c.blank, c.best, c.at = make([]bool, n), make([]bool, n), Record{}, 0
	c.nexts, c.told = make([]*Contract, n), make([]*Contract, n)
	c.heldAt, c.heldSeq, c.tails, c.nobody = nil, nil, nil, false
	t.turn(c, Asking)
	t.askOne(now, c)
}

func (t *Table) askOne(now int64, c *channel) {
	c.askedAt = now
	t.send(c.electors[c.at], Msg{Kind: Ask, Channel: c.name, Fence: c.fence, Life: t.life, At: now})
}

// askNext goes on to the next elector, or gives up for a while that differs from sender to sender.
func (t *Table) askNext(now int64, c *channel) {
	if c.at++; c.at < len(c.electors) {
		t.askOne(now, c)
		return
	}
	wait := t.t.Answer + int64(xxhash.Sum64String(t.self+"\x00"+c.name)%uint64(t.t.Answer))
	if c.mine.Fence > 0 {
		wait += t.t.Lease / 4
	}
	if c.nobody = !slices.Contains(c.blank, false); c.nobody {
		wait = noContract
	}
	t.abandon(now, c, wait)
}

// abandon lets electors' promises go.
func (t *Table) abandon(now int64, c *channel, wait int64) {
	for i, e := range c.electors {
		if i > c.at { // never asked
			break
		}
		t.send(e, Msg{Kind: Drop, Channel: c.name, Fence: c.fence, Life: t.life})
	}
	c.comeBack, c.heldAt, c.heldSeq = now+wait, nil, nil
	t.turn(c, c.without())
}

// without is the phase of a channel that is not owned.
func (c *channel) without() Phase {
	if c.mine.Fence > 0 || len(c.entries) > 0 {
		return Lapsed
	}
	return Idle
}

func (t *Table) hearOwner(now int64, c *channel, from string, m Msg) {
	i := slices.Index(c.electors, from)
	switch m.Kind {
	case Grant:
		if c.phase == Asking && m.Fence == c.fence && m.Life == t.life && i >= 0 && m.Rec != nil && m.Contract != nil {
			t.hearGrant(now, c, i, m)
		}
	case Held:
		if m.Fence == c.fence && m.Life == t.life && i >= 0 && i < len(c.heldAt) {
			t.hearHeld(now, c, i, m)
		}
	case Deny:
		if from == c.other && m.Rec == nil && !m.Blank { // the owner's word
			c.comeBack = min(c.comeBack, now+max(m.Left, aMoment))
		} else if c.phase == Asking && i >= 0 && m.Life == t.life && m.At >= c.askedAt {
			t.hearDeny(now, c, i, m)
		} else if c.phase == Releasing && i >= 0 && m.Life == t.life && m.Fence > c.fence && m.Rec != nil {
			t.overtaken(now, c, m)
		}
	case Want:
		t.hearWant(now, c, from)
	case TailHeard:
		if c.tail != nil && i >= 0 && m.Fence == c.tail.Fence {
			c.tailOK[i] = true
			if count(c.tailOK) > len(c.electors)/2 {
				c.tail = nil
			}
		}
	}
}

func (t *Table) hearGrant(now int64, c *channel, i int, m Msg) {
	if e := m.Contract.Electors; !slices.Equal(e, c.electors) && len(e) > 0 { // the list has changed since it was declared
		t.abandon(now, c, 0)
		c.electors = e
		t.ask(now, c)
		return
	}
	c.granted[i], c.nexts[i], c.told[i] = true, m.Next, m.Contract
	if m.Rec.newer(c.best) {
		c.best, c.contract = *m.Rec, m.Contract // an owner wrote both down
	}
	for _, r := range m.Tails {
		if !slices.ContainsFunc(c.tails, func(o Record) bool { return o.Fence == r.Fence }) {
			c.tails = append(c.tails, r)
		}
	}
	if count(c.granted) > len(c.electors)/2 && c.agreed() {
		t.hold(now, c)
	} else if i == c.at {
		t.askNext(now, c)
	}
}

func count(some []bool) (n int) {
	for _, s := range some {
		if s {
			n++
		}
	}
	return n
}

// agreed finds the contract in force: the one that the newest record was written with, or before there was an owner the
// one that a majority took on.
func (c *channel) agreed() bool {
	if c.best.Fence > 0 {
		return true
	}
	c.contract = majority(c.told, len(c.electors))
	return c.contract != nil
}

// majority finds the contract that more than half of so many hold.
func majority(told []*Contract, of int) *Contract {
	for i, k := range told {
		votes := 0
		for _, o := range told[i:] {
			if k != nil && o != nil && o.Version == k.Version && o.same(*k) {
				votes++
			}
		}
		if votes > of/2 {
			return k
		}
	}
	return nil
}

func (t *Table) hearDeny(now int64, c *channel, i int, m Msg) {
	c.heard = max(c.heard, m.Fence)
	switch {
	case m.Blank:
		if c.blank[i] = true; i == c.at {
			t.askNext(now, c)
		}
	case m.Rec == nil:
	case c.mine.Fence > 0 && m.Rec.Fence > c.mine.Fence && m.Rec.Owner != t.self:
		t.abandon(now, c, max(m.Left, aMoment))
		t.fenced(now, c, *m.Rec)
	case m.Owner != "" && m.Owner != t.self:
		c.other = m.Owner
		t.abandon(now, c, max(m.Left, aMoment))
		t.want(now, c)
	default: // the fence was too low
		t.abandon(now, c, 0)
		t.ask(now, c)
	}
}

// overtaken ends a release that came too late for an elector: another sender has a higher fence there.
func (t *Table) overtaken(now int64, c *channel, m Msg) {
	c.heard = max(c.heard, m.Fence)
	if m.Rec.Fence > c.mine.Fence {
		t.fenced(now, c, *m.Rec)
		return
	}
	c.comeBack = now + max(m.Left, aMoment)
	t.turn(c, Lapsed)
}

// want tells the owner that a client is here.
func (t *Table) want(now int64, c *channel) {
	if c.other != "" && now >= c.wantAt && c.used > 0 && now-c.used < t.t.Live {
		c.wantAt = now + t.t.Answer
		t.send(c.other, Msg{Kind: Want, Channel: c.name, At: now, Life: t.life})
	}
}

// hold takes positions over from the newest record granted with, or goes on with its own if nobody owned the channel since.
func (t *Table) hold(now int64, c *channel) {
	if c.older() {
		t.forgetOwn(now, c)
	}
	kept := c.mine.Fence > 0 && c.best.Fence <= c.mine.Fence
	if !kept && (c.mine.Fence > 0 || len(c.entries) > 0) {
		rec := c.best
		t.abandon(now, c, aMoment)
		t.fenced(now, c, rec)
		return
	}
	if !t.claimOwn(c, c.contract) {
		t.abandon(now, c, noContract)
		return
	}
	switch { // else the wait stands that a hold which came to nothing began
	case kept && c.fresh || !kept && c.best.Fence > 0 && !c.best.Clean:
		c.quietEnd = now + t.t.quiet()
	case !kept:
		c.quietEnd = 0
	}
	if !kept {
		c.mine = c.best
		c.mine.Sums = newest(c.mine.Sums, t.ownIDs(c, len(c.mine.Sums)))
		if c.best.Fence == 0 {
			c.mine.Last = c.contract.From - 1
		}
		if !c.best.Clean {
			c.mine.Doubt, c.mine.Before = max(c.best.Ceil, c.best.Doubt), c.best.Fence
		}
		c.mine.Since = c.fence
		t.settleProven(c)
	}
	delete(t.owed, c.name)
	c.mine.Owner, c.mine.Fence, c.mine.Seq, c.mine.Clean, c.mine.Retracted, c.fresh = t.self, c.fence, 0, false, false, false
	c.ceilOK, c.ceilAt, c.other = 0, 0, ""
	c.heldAt, c.heldSeq = make([]int64, len(c.electors)), make([]uint64, len(c.electors))
	c.askedAt, c.at = now, len(c.electors)
	t.settle(c, c.tails)
	t.turn(c, Holding)
	t.raise(now, c, 0)
}

// older tells whether the record restored is from an older copy of the log: electors have a later one under the same fence that says something
// else. A row is on disk before its record is told, so the latest row says what the latest record does.
func (c *channel) older() bool {
	a, b := c.mine, c.best
	return c.fresh && !a.Retracted && a.Fence > 0 && b.Fence == a.Fence && b.Seq > a.Seq &&
		(b.Last != a.Last || b.Ceil != a.Ceil || b.Clean != a.Clean || b.Closed != a.Closed || b.Doubt != a.Doubt)
}

// forgetOwn lets go of what was restored, as a sender does that has lost its record: what is held is given up, and up to the ceiling nobody
// knows what was taken on.
func (t *Table) forgetOwn(now int64, c *channel) {
	t.giveAll(now, c)
	t.dropOwn(c)
	c.mine, c.rests = Record{}, nil
}

// raise has electors write a higher ceiling down: no position is taken on above one that a majority has on disk.
func (t *Table) raise(now int64, c *channel, pos int64) {
	c.mine.Ceil = max(c.mine.Ceil, max(c.mine.Doubt, c.mine.Last, pos)+int64(c.contract.Window)+reserve)
	c.ceilAt = c.mine.Seq + 1
	t.tell(now, c)
	t.row(ownKey+c.name, c.mine)
}

// tell sends the record to all electors.
func (t *Table) tell(now int64, c *channel) {
	c.mine.Seq++
	rec := c.mine
	for _, e := range c.electors {
		t.send(e, Msg{Kind: Hold, Channel: c.name, Fence: c.fence, Life: t.life, At: now, Rec: &rec, Contract: c.contract})
	}
	c.renewAt = now + t.t.Lease/3
	if c.acked() < c.ceilAt {
		c.renewAt = now + t.t.Answer
	}
}

func (t *Table) renew(now int64, c *channel) {
	if now >= c.renewAt {
		t.tell(now, c)
	}
}

func (t *Table) stepHolding(now int64, c *channel) {
	switch {
	case now < c.leaseEnd(t):
		if c.quietEnd > now {
			t.turn(c, Quiet)
		} else {
			t.turn(c, Owning)
		}
	case now >= c.askedAt+t.t.Lease/2:
		t.abandon(now, c, t.t.Answer)
	default:
		t.renew(now, c)
	}
}

func (t *Table) hearHeld(now int64, c *channel, i int, m Msg) {
	c.heldAt[i], c.heldSeq[i] = max(c.heldAt[i], m.At), max(c.heldSeq[i], m.Seq)
	c.nexts[i] = m.Next
	t.settle(c, m.Tails)
	if c.acked() >= c.ceilAt {
		c.ceilOK = c.mine.Ceil
	}
	if c.phase == Releasing && c.acked() >= c.ceilAt {
		t.dropOwn(c)
		c.mine, c.comeBack = Record{}, now
		t.turn(c, Idle)
	}
}

// stepOwning keeps the lease, or gives back a channel that nobody uses.
func (t *Table) stepOwning(now int64, c *channel) {
	t.change(now, c)
	t.gap(now, c)
	t.line(now, c)
	if len(c.entries) == 0 && now >= c.used+t.t.Idle {
		t.yield(now, c)
		t.stepYielding(now, c)
		return
	}
	if c.acked() >= c.ceilAt && c.mine.Ceil-max(c.mine.Doubt, c.mine.Last) < int64(c.contract.Window)+reserve/2 {
		t.raise(now, c, 0)
	}
	t.renew(now, c)
}

func (t *Table) yield(now int64, c *channel) {
	t.turn(c, Yielding)
	c.drainEnd, c.gapEnd = now+t.t.Drain, 0
	t.giveAhead(now, c)
}

// stepYielding lets what is here end; once nothing can run any more the record is clean and the channel free.
func (t *Table) stepYielding(now int64, c *channel) {
	if now < c.drainEnd {
		t.line(now, c)
	} else {
		t.giveTail(now, c)
	}
	if len(c.entries) > 0 || c.resting(now, "", true) {
		t.renew(now, c)
		return
	}
	c.mine.Clean = true
	t.turn(c, Releasing)
	c.ceilAt = c.mine.Seq + 1
	t.tell(now, c)
	t.row(ownKey+c.name, c.mine)
}

func (t *Table) hearWant(now int64, c *channel, from string) {
	left := int64(0)
	live := !c.gone && c.used > 0 && now-c.used < t.t.Live
	switch c.phase {
	case Owning:
		if live {
			left = c.used + t.t.Live - now
		} else {
			t.yield(now, c)
			left = t.t.Answer
		}
	case Quiet:
		left = max(c.quietEnd-now, t.t.Answer)
	case Yielding, Releasing:
		left = t.t.Answer
	default:
		return
	}
	t.send(from, Msg{Kind: Deny, Channel: c.name, Fence: c.fence, Owner: t.self, Left: left})
}

// fenced ends all that is here of a channel that somebody else owned since, and has that one told how far this sender had got.
func (t *Table) fenced(now int64, c *channel, by Record) {
	t.turn(c, Fenced)
	c.other = by.Owner
	c.back(c.tailOf())
	if c.mine.Fence > 0 {
		t.row(ownKey+c.name, c.mine)
	}
	t.giveAll(now, c)
	t.stepFenced(now, c)
}

// stepFenced tells how far this sender had got once nothing is here any more: until then a message may end that must not be passed.
func (t *Table) stepFenced(now int64, c *channel) {
	if len(c.entries) > 0 {
		return
	}
	if c.mine.Fence > 0 && c.tailOK == nil {
		rec := c.mine
		c.tail, c.tailOK, c.tailAt = &rec, make([]bool, len(c.electors)), now
	}
	if c.tail != nil && now >= c.tailAt {
		c.tailAt = now + t.t.Answer
		for i, e := range c.electors {
			if !c.tailOK[i] {
				t.send(e, Msg{Kind: Tail, Channel: c.name, Fence: c.tail.Fence, Rec: c.tail})
			}
		}
	}
	if c.tail == nil {
		t.dropOwn(c)
		c.mine, c.rests, c.tailOK = Record{}, nil, nil
		t.turn(c, Idle)
	}
}

// settle ends the doubt about an owner that told how far it had got. What that one was in doubt of itself stays so.
func (t *Table) settle(c *channel, tails []Record) {
	for again := true; again; {
		again = false
		for _, r := range tails {
			if c.mine.Doubt <= c.mine.Last || c.mine.Before < r.Since || c.mine.Before > r.Fence {
				continue
			}
			t.takeOver(c, r)
			again = true
		}
	}
}

func (t *Table) takeOver(c *channel, r Record) {
	old, tail := channel{mine: r}, min(r.Last, c.mine.Doubt)
	c.back(tail)                                                   // it took some back that were on electors' disks already
	for p := max(c.mine.Last+1, tail-MostWindow); p <= tail; p++ { // older ones are not remembered
		sum, known := old.sumAt(p)
		if !known {
			sum = taken
		}
		t.advance(c, p, sum)
	}
	c.mine.Before, c.mine.Doubt = r.Before, min(c.mine.Doubt, max(c.mine.Last, r.Doubt))
	t.row(ownKey+c.name, c.mine)
}
