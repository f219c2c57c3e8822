package channels

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// step does what is due for a channel and sets the alarm for what is due next.
func (t *Table) step(now int64, c *channel) {
	switch c.phase {
	case Quiet, Owning, Yielding:
		if now >= c.leaseEnd(t) {
			t.setPhase(c, Lapsed)
			c.retryAt, c.gapDeadline = now, 0
		}
	}
	t.expire(now, c)
	switch c.phase {
	case Asking:
		if now >= c.askedAt+t.t.ReplyTimeout {
			t.requestNextVote(now, c)
		}
	case Holding:
		t.stepHolding(now, c)
	case Lapsed:
		if now >= c.retryAt && len(c.entries) == 0 && c.record.Fence == 0 {
			t.setPhase(c, Idle)
		} else if now >= c.retryAt {
			t.startElection(now, c)
		}
	case Quiet:
		t.renew(now, c)
		if now >= c.quietEnd {
			t.setPhase(c, Owning)
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
	t.removeOrSetAlarm(now, c)
}

// removeOrSetAlarm removes a channel that holds no state, or else sets its alarm.
func (t *Table) removeOrSetAlarm(now int64, c *channel) {
	if c.phase == Idle && now >= c.retryAt && len(c.entries) == 0 {
		delete(t.channels, c.name)
		return
	}
	if at := c.nextDue(now, t); at > 0 && (c.alarmAt == 0 || at < c.alarmAt) {
		c.alarmAt = at
		t.wakeAt(at, c.name, false)
	}
}

// startElection asks the voters for their votes, one after another. All candidates start with the same voter, so that one of them gets
// all votes.
func (t *Table) startElection(now int64, c *channel) {
	n := len(c.voters)
	c.fence = max(c.fence, c.maxFence) + 1
	c.maxFence = c.fence
	c.granted, c.noRecord, c.best, c.asking = make([]bool, n), make([]bool, n), Record{}, 0
	c.upcoming, c.inForce = make([]*Contract, n), make([]*Contract, n)
	c.ackedAt, c.ackedSeq, c.tails, c.undeclared = nil, nil, nil, false
	t.setPhase(c, Asking)
	t.requestVote(now, c)
}

func (t *Table) requestVote(now int64, c *channel) {
	c.askedAt = now
	t.send(c.voters[c.asking], Msg{Kind: RequestVote, Channel: c.name, Fence: c.fence, Incarnation: t.incarnation, SentAt: now})
}

// requestNextVote asks the next voter. After the last one it backs off, for a time that differs between senders.
func (t *Table) requestNextVote(now int64, c *channel) {
	if c.asking++; c.asking < len(c.voters) {
		t.requestVote(now, c)
		return
	}
	wait := t.t.ReplyTimeout + int64(xxhash.Sum64String(t.self+"\x00"+c.name)%uint64(t.t.ReplyTimeout))
	if c.record.Fence > 0 {
		wait += t.t.Lease / 4
	}
	if c.undeclared = !slices.Contains(c.noRecord, false); c.undeclared {
		wait = unknownChannelRetry
	}
	t.abandon(now, c, wait)
}

// abandon gives the promises of the voters back and retries after wait.
func (t *Table) abandon(now int64, c *channel, wait int64) {
	for i, v := range c.voters {
		if i > c.asking { // not asked yet
			break
		}
		t.send(v, Msg{Kind: Abandon, Channel: c.name, Fence: c.fence, Incarnation: t.incarnation})
	}
	c.retryAt, c.ackedAt, c.ackedSeq = now+wait, nil, nil
	t.setPhase(c, c.unownedPhase())
}

// unownedPhase returns the phase of a channel that is not owned by this sender.
func (c *channel) unownedPhase() Phase {
	if c.record.Fence > 0 || len(c.entries) > 0 {
		return Lapsed
	}
	return Idle
}

// handleAsSender handles the peer messages to a candidate for a channel, or to its owner.
func (t *Table) handleAsSender(now int64, c *channel, from string, m Msg) {
	i := slices.Index(c.voters, from)
	switch m.Kind {
	case Grant:
		if c.phase == Asking && m.Fence == c.fence && m.Incarnation == t.incarnation && i >= 0 && m.Rec != nil && m.Contract != nil {
			t.handleGrant(now, c, i, m)
		}
	case ReplicateAck:
		if m.Fence == c.fence && m.Incarnation == t.incarnation && i >= 0 && i < len(c.ackedAt) {
			t.handleReplicateAck(now, c, i, m)
		}
	case Deny:
		if from == c.knownOwner && m.Rec == nil && !m.NoRecord { // from the owner
			c.retryAt = min(c.retryAt, now+max(m.Remaining, minRetry))
		} else if c.phase == Asking && i >= 0 && m.Incarnation == t.incarnation && m.SentAt >= c.askedAt {
			t.handleDeny(now, c, i, m)
		} else if c.phase == Releasing && i >= 0 && m.Incarnation == t.incarnation && m.Fence > c.fence && m.Rec != nil {
			t.releaseDenied(now, c, m)
		}
	case RequestHandover:
		t.handleRequestHandover(now, c, from)
	case TailAck:
		if c.tail != nil && i >= 0 && m.Fence == c.tail.Fence {
			c.tailAcked[i] = true
			if count(c.tailAcked) > len(c.voters)/2 {
				c.tail = nil
			}
		}
	}
}

func (t *Table) handleGrant(now int64, c *channel, i int, m Msg) {
	if declared := m.Contract.Voters; !slices.Equal(declared, c.voters) && len(declared) > 0 { // the list of senders has changed since it was declared
		t.abandon(now, c, 0)
		c.voters = declared
		t.startElection(now, c)
		return
	}
	c.granted[i], c.upcoming[i], c.inForce[i] = true, m.Next, m.Contract
	if m.Rec.newer(c.best) {
		c.best, c.contract = *m.Rec, m.Contract // an owner wrote record and contract together
	}
	for _, r := range m.Tails {
		if !slices.ContainsFunc(c.tails, func(o Record) bool { return o.Fence == r.Fence }) {
			c.tails = append(c.tails, r)
		}
	}
	if count(c.granted) > len(c.voters)/2 && c.findContract() {
		t.acquire(now, c)
	} else if i == c.asking {
		t.requestNextVote(now, c)
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

// findContract determines the contract in force: the one written with the newest record or, before the first owner, the one that a
// majority of voters accepted.
func (c *channel) findContract() bool {
	if c.best.Fence > 0 {
		return true
	}
	c.contract = majority(c.inForce, len(c.voters))
	return c.contract != nil
}

// majority returns the contract reported by more than half of the given number of voters, or nil.
func majority(reported []*Contract, voters int) *Contract {
	for i, k := range reported {
		votes := 0
		for _, o := range reported[i:] {
			if k != nil && o != nil && o.Version == k.Version && o.same(*k) {
				votes++
			}
		}
		if votes > voters/2 {
			return k
		}
	}
	return nil
}

func (t *Table) handleDeny(now int64, c *channel, i int, m Msg) {
	c.maxFence = max(c.maxFence, m.Fence)
	switch {
	case m.NoRecord:
		if c.noRecord[i] = true; i == c.asking {
			t.requestNextVote(now, c)
		}
	case m.Rec == nil:
	case c.record.Fence > 0 && m.Rec.Fence > c.record.Fence && m.Rec.Owner != t.self:
		t.abandon(now, c, max(m.Remaining, minRetry))
		t.becomeFenced(now, c, *m.Rec)
	case m.Owner != "" && m.Owner != t.self:
		c.knownOwner = m.Owner
		t.abandon(now, c, max(m.Remaining, minRetry))
		t.requestHandover(now, c)
	default: // the fence was too low
		t.abandon(now, c, 0)
		t.startElection(now, c)
	}
}

// releaseDenied ends a release that reached a voter too late: another sender has a higher fence there.
func (t *Table) releaseDenied(now int64, c *channel, m Msg) {
	c.maxFence = max(c.maxFence, m.Fence)
	if m.Rec.Fence > c.record.Fence {
		t.becomeFenced(now, c, *m.Rec)
		return
	}
	c.retryAt = now + max(m.Remaining, minRetry)
	t.setPhase(c, Lapsed)
}

// requestHandover tells the owner that a client of the channel is connected here.
func (t *Table) requestHandover(now int64, c *channel) {
	if c.knownOwner != "" && now >= c.handoverAt && c.lastUsed > 0 && now-c.lastUsed < t.t.Live {
		c.handoverAt = now + t.t.ReplyTimeout
		t.send(c.knownOwner, Msg{Kind: RequestHandover, Channel: c.name, SentAt: now, Incarnation: t.incarnation})
	}
}

// acquire takes over the newest record that came with the grants, or continues with its own if nobody else owned the channel since.
func (t *Table) acquire(now int64, c *channel) {
	continued := c.record.Fence > 0 && c.best.Fence <= c.record.Fence
	if !continued && (c.record.Fence > 0 || len(c.entries) > 0) {
		rec := c.best
		t.abandon(now, c, minRetry)
		t.becomeFenced(now, c, rec)
		return
	}
	switch { // otherwise the quiet period of an earlier, unfinished acquisition stays
	case continued && c.restored || !continued && c.best.Fence > 0 && !c.best.Clean:
		c.quietEnd = now + t.t.quietTime()
	case !continued:
		c.quietEnd = 0
	}
	if !continued {
		c.record = c.best
		if c.best.Fence == 0 {
			c.record.Last = c.contract.From - 1
		}
		if !c.best.Clean {
			c.record.Uncertain, c.record.UncertainFence = max(c.best.Ceiling, c.best.Uncertain), c.best.Fence
		}
		c.record.OwnedSince = c.fence
	}
	c.record.Owner, c.record.Fence, c.record.Seq, c.record.Clean, c.restored = t.self, c.fence, 0, false, false
	c.confirmedCeiling, c.ceilingSeq, c.knownOwner = 0, 0, ""
	c.ackedAt, c.ackedSeq = make([]int64, len(c.voters)), make([]uint64, len(c.voters))
	c.askedAt, c.asking = now, len(c.voters)
	t.resolveUncertain(c, c.tails)
	t.setPhase(c, Holding)
	t.raiseCeiling(now, c, 0)
}

// raiseCeiling replicates a higher ceiling: no position is accepted above the ceiling that a majority has on disk.
func (t *Table) raiseCeiling(now int64, c *channel, pos int64) {
	c.record.Ceiling = max(c.record.Ceiling, max(c.record.Uncertain, c.record.Last, pos)+int64(c.contract.Window)+ceilingReserve)
	c.ceilingSeq = c.record.Seq + 1
	t.replicate(now, c)
	t.putRow(recordKey+c.name, c.record)
}

// replicate sends the record to all voters, which renews the lease.
func (t *Table) replicate(now int64, c *channel) {
	c.record.Seq++
	rec := c.record
	for _, v := range c.voters {
		t.send(v, Msg{Kind: Replicate, Channel: c.name, Fence: c.fence, Incarnation: t.incarnation, SentAt: now, Rec: &rec, Contract: c.contract})
	}
	c.renewAt = now + t.t.Lease/3
	if c.majoritySeq() < c.ceilingSeq {
		c.renewAt = now + t.t.ReplyTimeout
	}
}

func (t *Table) renew(now int64, c *channel) {
	if now >= c.renewAt {
		t.replicate(now, c)
	}
}

func (t *Table) stepHolding(now int64, c *channel) {
	switch {
	case now < c.leaseEnd(t):
		if c.quietEnd > now {
			t.setPhase(c, Quiet)
		} else {
			t.setPhase(c, Owning)
		}
	case now >= c.askedAt+t.t.Lease/2:
		t.abandon(now, c, t.t.ReplyTimeout)
	default:
		t.renew(now, c)
	}
}

func (t *Table) handleReplicateAck(now int64, c *channel, i int, m Msg) {
	c.ackedAt[i], c.ackedSeq[i] = max(c.ackedAt[i], m.SentAt), max(c.ackedSeq[i], m.Seq)
	c.upcoming[i] = m.Next
	t.resolveUncertain(c, m.Tails)
	if c.majoritySeq() >= c.ceilingSeq {
		c.confirmedCeiling = c.record.Ceiling
	}
	if c.phase == Releasing && c.majoritySeq() >= c.ceilingSeq {
		t.deleteRow(recordKey + c.name)
		c.record, c.retryAt = Record{}, now
		t.setPhase(c, Idle)
	}
}

// stepOwning releases messages and renews the lease, or yields a channel that is unused.
func (t *Table) stepOwning(now int64, c *channel) {
	t.activateNext(now, c)
	t.checkGap(now, c)
	t.releaseReady(now, c)
	if len(c.entries) == 0 && now >= c.lastUsed+t.t.Idle {
		t.yield(now, c)
		t.stepYielding(now, c)
		return
	}
	if c.majoritySeq() >= c.ceilingSeq && c.record.Ceiling-max(c.record.Uncertain, c.record.Last) < int64(c.contract.Window)+ceilingReserve/2 {
		t.raiseCeiling(now, c, 0)
	}
	t.renew(now, c)
}

func (t *Table) yield(now int64, c *channel) {
	t.setPhase(c, Yielding)
	c.drainEnd, c.gapDeadline = now+t.t.Drain, 0
	t.abortBehindGap(now, c)
}

// stepYielding waits for held messages to end. Once no leg can run any more, it marks the record clean and releases the channel.
func (t *Table) stepYielding(now int64, c *channel) {
	if now < c.drainEnd {
		t.releaseReady(now, c)
	} else {
		t.abortUnreleased(now, c)
	}
	if len(c.entries) > 0 || c.heldOff(now, "", true) {
		t.renew(now, c)
		return
	}
	c.record.Clean = true
	t.setPhase(c, Releasing)
	c.ceilingSeq = c.record.Seq + 1
	t.replicate(now, c)
	t.putRow(recordKey+c.name, c.record)
}

func (t *Table) handleRequestHandover(now int64, c *channel, from string) {
	remaining := int64(0)
	active := !c.clientGone && c.lastUsed > 0 && now-c.lastUsed < t.t.Live
	switch c.phase {
	case Owning:
		if active {
			remaining = c.lastUsed + t.t.Live - now
		} else {
			t.yield(now, c)
			remaining = t.t.ReplyTimeout
		}
	case Quiet:
		remaining = max(c.quietEnd-now, t.t.ReplyTimeout)
	case Yielding, Releasing:
		remaining = t.t.ReplyTimeout
	default:
		return
	}
	t.send(from, Msg{Kind: Deny, Channel: c.name, Fence: c.fence, Owner: t.self, Remaining: remaining})
}

// becomeFenced ends everything held here of a channel that another sender has owned since. That owner is then told this sender's final
// record.
func (t *Table) becomeFenced(now int64, c *channel, by Record) {
	t.setPhase(c, Fenced)
	c.knownOwner = by.Owner
	c.rollBack(c.lastStarted())
	if c.record.Fence > 0 {
		t.putRow(recordKey+c.name, c.record)
	}
	t.abortAll(now, c)
	t.stepFenced(now, c)
}

// stepFenced sends the final record once no message is held here any more. Until then a message may still end undelivered whose
// successors must not run, which takes Last back.
func (t *Table) stepFenced(now int64, c *channel) {
	if len(c.entries) > 0 {
		return
	}
	if c.record.Fence > 0 && c.tailAcked == nil {
		rec := c.record
		c.tail, c.tailAcked, c.tailResendAt = &rec, make([]bool, len(c.voters)), now
	}
	if c.tail != nil && now >= c.tailResendAt {
		c.tailResendAt = now + t.t.ReplyTimeout
		for i, v := range c.voters {
			if !c.tailAcked[i] {
				t.send(v, Msg{Kind: Tail, Channel: c.name, Fence: c.tail.Fence, Rec: c.tail})
			}
		}
	}
	if c.tail == nil {
		t.deleteRow(recordKey + c.name)
		c.record, c.holdOffs, c.tailAcked = Record{}, nil, nil
		t.setPhase(c, Idle)
	}
}

// resolveUncertain applies the final records of earlier owners. What those owners were uncertain about themselves stays uncertain.
func (t *Table) resolveUncertain(c *channel, tails []Record) {
	for again := true; again; {
		again = false
		for _, r := range tails {
			if c.record.Uncertain <= c.record.Last || c.record.UncertainFence < r.OwnedSince || c.record.UncertainFence > r.Fence {
				continue
			}
			t.applyTail(c, r)
			again = true
		}
	}
}

func (t *Table) applyTail(c *channel, r Record) {
	old, tail := channel{record: r}, min(r.Last, c.record.Uncertain)
	c.rollBack(tail)                                                // that owner took back positions that were on the voters' disks already
	for p := max(c.record.Last+1, tail-MaxWindow); p <= tail; p++ { // older hashes are not kept
		hash, known := old.hashAt(p)
		if !known {
			hash = unknownID
		}
		c.advance(p, hash)
	}
	c.record.UncertainFence, c.record.Uncertain = r.UncertainFence, min(c.record.Uncertain, max(c.record.Last, r.Uncertain))
	t.putRow(recordKey+c.name, c.record)
}
