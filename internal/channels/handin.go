package channels

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HandInRequest is a message as a client hands it in.
type HandInRequest struct {
	Channel  string
	Pos      int64
	ID, Key  string // Key orders messages under per-key; empty for none
	Dst      int64
	Deadline int64 // µs
	DryRun   bool  // only asks; Accepted means that the message would be accepted
	Settle   int64 // µs for which a leg that may still run holds off the next message
}

// Outcome says whether a hand-in was accepted.
type Outcome uint8

// The outcomes.
const (
	Accepted  Outcome = iota // +OK once the rows are durable; Effects.Release lists it when it may be sent
	Duplicate                // +OK, as for the first hand-in; nothing else is done
	Busy                     // -BUSY: retry after RetryAfter
	Rejected                 // -ERR with the cause
)

// HandInResult is the reply to a hand-in.
type HandInResult struct {
	Outcome    Outcome
	Pos        int64 // highest position accepted without a gap; -1 if not known here
	RetryAfter int64 // µs
	Cause      string
}

// unknownID is the hash of a position that an earlier owner accepted under an id not known here.
const unknownID = uint64(1)

func hashID(id string) uint64 {
	if s := xxhash.Sum64String(id); s > unknownID {
		return s
	}
	return unknownID + 1
}

// HandIn decides on a message. It never blocks: for a channel not owned here it starts an election and tells the client when to retry.
func (t *Table) HandIn(now int64, in HandInRequest) (HandInResult, Effects) {
	if t.disabled || t.draining {
		return HandInResult{Outcome: Busy, Pos: -1, RetryAfter: unknownChannelRetry}, Effects{}
	}
	if !ValidName(in.Channel) || in.Pos < 1 || in.Pos > maxPos {
		return HandInResult{Outcome: Rejected, Pos: -1, Cause: "no such channel or position"}, Effects{}
	}
	c := t.channels[in.Channel]
	if c == nil {
		if len(t.channels) >= t.limits.Channels {
			return HandInResult{Outcome: Busy, Pos: -1, RetryAfter: unknownChannelRetry}, Effects{}
		}
		c = &channel{name: in.Channel, voters: t.votersOf(in.Channel)}
		t.channels[in.Channel] = c
	}
	c.lastUsed, c.clientGone = now, false
	t.step(now, c)
	if c.phase == Idle && now >= c.retryAt {
		t.channels[in.Channel] = c // step may have removed it
		t.startElection(now, c)
	}
	t.deliverToSelf(now)
	v := t.decide(now, c, in)
	t.step(now, c)
	return v, t.flush(now)
}

func (t *Table) votersOf(name string) []string {
	if k := t.newestContract(name); k != nil && len(k.Voters) > 0 {
		return k.Voters
	}
	return Voters(t.senders, name)
}

// decide answers a hand-in. A channel not owned here is answered by its phase.
func (t *Table) decide(now int64, c *channel, in HandInRequest) HandInResult {
	if c.phase != Owning || now >= c.leaseEnd(t) {
		t.requestHandover(now, c)
		return c.answerNotOwner(now, t)
	}
	t.activateNext(now, c)
	k := c.contract
	if n := c.next; n != nil && in.Pos >= n.From {
		k = n
	}
	at := c.record.Last
	reject := func(format string, a ...any) HandInResult {
		return HandInResult{Outcome: Rejected, Pos: at, Cause: fmt.Sprintf(format, a...)}
	}
	if in.Dst != k.Dst {
		return reject("channel %s goes to destination %d", c.name, k.Dst)
	}
	if in.Pos <= at {
		return c.answerPast(in)
	}
	if i, found := c.find(in.Pos); found {
		if c.entries[i].ID == in.ID {
			return HandInResult{Outcome: Duplicate, Pos: at}
		}
		return reject("position %d is taken by another message", in.Pos)
	}
	switch {
	case k.Withdrawn:
		return reject("channel %s is withdrawn", c.name)
	case c.record.Closed >= k.Version:
		return reject("channel %s is closed since a gap after position %d", c.name, at)
	case c.record.Uncertain > at: // it, or a message before it, may have run at an owner that is unreachable
		return HandInResult{Outcome: Busy, Pos: at, RetryAfter: max(t.t.ReplyTimeout, c.gapDeadline-now)}
	}
	if in.DryRun && t.hasRoom(c, k, in) {
		return HandInResult{Outcome: Accepted, Pos: at}
	}
	if hasGap := c.hasGap(); in.Pos > at+1 && !hasGap && (k.Wait == 0 || in.Pos > at+int64(k.Window)) && k.Gap != Wait {
		return t.applyGapRule(now, c, k, in)
	}
	if !t.hasRoom(c, k, in) || in.Pos > at+int64(k.Window) {
		return HandInResult{Outcome: Busy, Pos: at, RetryAfter: max(t.t.ReplyTimeout, c.gapDeadline-now)}
	}
	return t.accept(now, c, k, in)
}

// applyGapRule applies the gap rule at once: the contract has no wait, or the position is beyond the window.
func (t *Table) applyGapRule(now int64, c *channel, k *Contract, in HandInRequest) HandInResult {
	if k.Gap == Close {
		t.close(now, c)
		return HandInResult{Outcome: Rejected, Pos: c.record.Last,
			Cause: fmt.Sprintf("channel %s is closed since a gap after position %d", c.name, c.record.Last)}
	}
	if !t.hasRoom(c, k, in) {
		if in.Pos > c.confirmedCeiling && c.majoritySeq() >= c.ceilingSeq {
			t.raiseCeiling(now, c, in.Pos)
		}
		return HandInResult{Outcome: Busy, Pos: c.record.Last, RetryAfter: t.t.ReplyTimeout}
	}
	c.advance(in.Pos-1, 0)
	return t.accept(now, c, k, in)
}

// hasRoom reports whether a message can be held and its position is covered by the ceiling on a majority's disks.
func (t *Table) hasRoom(c *channel, k *Contract, in HandInRequest) bool {
	return len(c.entries)+len(c.holdOffs) < k.Window && t.held < t.limits.Held && in.Pos <= c.confirmedCeiling
}

// hasGap reports whether a held message is behind a gap.
func (c *channel) hasGap() bool {
	return len(c.entries) > 0 && c.entries[len(c.entries)-1].Pos > c.record.Last
}

// answerNotOwner answers a hand-in while this sender does not, or not yet, own the channel.
func (c *channel) answerNotOwner(now int64, t *Table) HandInResult {
	v := HandInResult{Outcome: Busy, Pos: -1, RetryAfter: t.t.ReplyTimeout}
	if c.record.Fence > 0 && c.phase != Fenced && c.phase != Lapsed {
		v.Pos = c.record.Last
	}
	switch {
	case c.undeclared:
		return HandInResult{Outcome: Rejected, Pos: -1, Cause: "no contract for channel " + c.name}
	case c.phase == Quiet:
		v.RetryAfter = max(c.quietEnd-now, t.t.ReplyTimeout)
	case c.phase == Idle, c.phase == Lapsed, c.phase == Fenced:
		v.RetryAfter = max(c.retryAt-now, minRetry)
	}
	return v
}

// answerPast answers a hand-in at a position up to Last.
func (c *channel) answerPast(in HandInRequest) HandInResult {
	at := c.record.Last
	hash, remembered := c.hashAt(in.Pos)
	switch {
	case !remembered:
		return HandInResult{Outcome: Rejected, Pos: at, Cause: fmt.Sprintf("position %d is behind what is remembered", in.Pos)}
	case hash == 0:
		return HandInResult{Outcome: Rejected, Pos: at, Cause: fmt.Sprintf("position %d was skipped", in.Pos)}
	case hash != unknownID && hash != hashID(in.ID):
		return HandInResult{Outcome: Rejected, Pos: at, Cause: fmt.Sprintf("position %d is taken by another message", in.Pos)}
	}
	return HandInResult{Outcome: Duplicate, Pos: at}
}

func (t *Table) accept(now int64, c *channel, k *Contract, in HandInRequest) HandInResult {
	e := &entry{Channel: c.name, Pos: in.Pos, ID: in.ID, Key: in.Key, Deadline: min(in.Deadline, now+k.MaxHold), Settle: in.Settle,
		Version: k.Version, Mode: k.Mode, Pass: k.PassFailed}
	c.insert(e)
	t.held++
	t.putRow(entryRow(e), e)
	t.extendLast(c)
	t.putRow(recordKey+c.name, c.record)
	return HandInResult{Outcome: Accepted, Pos: c.record.Last}
}

func entryRow(e *entry) string { return fmt.Sprintf("%s%s/%x", entryKey, e.Channel, e.Pos) }

// extendLast advances Last over held messages that follow it without a gap.
func (t *Table) extendLast(c *channel) {
	i, _ := c.find(c.record.Last + 1)
	for ; i < len(c.entries) && c.entries[i].Pos == c.record.Last+1; i++ {
		c.advance(c.entries[i].Pos, hashID(c.entries[i].ID))
	}
}

// activateNext puts the next contract in force once all positions before its From are accepted. A closed channel, or one whose positions
// are uncertain, skips to From.
func (t *Table) activateNext(now int64, c *channel) {
	if n := majority(c.upcoming, len(c.voters)); n != nil && n.Version > c.contract.Version {
		c.next = n
	}
	if c.next == nil {
		return
	}
	blocked := c.record.Closed >= c.contract.Version || c.record.Uncertain > c.record.Last
	if blocked && c.next.From > c.record.Last+1 {
		if c.next.From > c.confirmedCeiling {
			if c.majoritySeq() >= c.ceilingSeq {
				t.raiseCeiling(now, c, c.next.From)
			}
			return
		}
		c.advance(max(c.next.From-1, c.record.Uncertain), 0)
	}
	if c.record.Last+1 >= c.next.From {
		c.contract, c.next, c.renewAt = c.next, nil, now
		t.putRow(recordKey+c.name, c.record)
	}
}

// checkGap applies the gap rule when the wait for missing or uncertain positions is over.
func (t *Table) checkGap(now int64, c *channel) {
	uncertain := c.record.Uncertain > c.record.Last && c.record.Closed < c.contract.Version
	if !c.hasGap() && !uncertain {
		c.gapDeadline = 0
		return
	}
	if c.gapDeadline == 0 {
		c.gapDeadline = now + c.contract.Wait
	}
	if now >= c.gapDeadline {
		switch c.contract.Gap {
		case Skip:
			if uncertain {
				c.advance(c.record.Uncertain, 0)
			} else {
				i, _ := c.find(c.record.Last + 1)
				c.advance(c.entries[i].Pos-1, 0)
			}
			t.extendLast(c)
			t.putRow(recordKey+c.name, c.record)
			c.gapDeadline = 0
			t.checkGap(now, c) // there may be another gap
		case Wait:
			t.abortBehindGap(now, c)
			if c.gapDeadline = 0; uncertain { // only the earlier owner can resolve it; check again
				c.gapDeadline = now + c.contract.Wait
			}
		case Close:
			t.close(now, c)
		}
	}
}

func (t *Table) close(now int64, c *channel) {
	c.record.Closed = c.contract.Version
	t.abortBehindGap(now, c)
	t.putRow(recordKey+c.name, c.record)
}

// releaseReady releases the messages that may be sent now.
func (t *Table) releaseReady(now int64, c *channel) {
	var keys map[string]bool
	for i, e := range c.entries {
		if e.Pos > c.record.Last {
			return
		}
		first := i == 0
		if e.Version != c.entries[0].Version || e.Mode == Whole && (!first || c.heldOff(now, "", true)) {
			return // all later ones wait too, or they would overtake this one
		}
		ready := e.Mode != PerKey || e.Key == "" || !keys[e.Key] && !c.heldOff(now, e.Key, false)
		if e.Mode == PerKey && e.Key != "" {
			if keys == nil {
				keys = map[string]bool{}
			}
			keys[e.Key] = true
		}
		if ready && !e.released {
			e.released = true
			t.effects.Release = append(t.effects.Release, e.ID)
		}
	}
}

// Ended reports the end of a released message. MayRun means that a leg of it may still run.
func (t *Table) Ended(now int64, channel string, pos int64, delivered, mayRun bool) Effects {
	if c := t.channels[channel]; c != nil {
		if i, found := c.find(pos); found {
			t.finish(now, c, i, delivered, mayRun)
		}
		t.step(now, c)
	}
	return t.flush(now)
}

// Postponed reports that a released message did not start because MayBegin denied it: it is held again until it is released anew or
// aborted. MayRun means that a leg of it may still run.
func (t *Table) Postponed(now int64, channel string, pos int64, mayRun bool) Effects {
	if c := t.channels[channel]; c != nil {
		if i, found := c.find(pos); found {
			t.postpone(now, c, i, mayRun)
		}
		t.step(now, c)
	}
	return t.flush(now)
}

func (t *Table) postpone(now int64, c *channel, i int, mayRun bool) {
	e := c.entries[i]
	e.mayHaveRun = e.mayHaveRun || mayRun
	if e.aborted { // its end was already requested
		t.finish(now, c, i, false, e.mayHaveRun)
		return
	}
	e.released = false
}

// finish removes a message. If it failed and its contract lets no other pass, the messages behind it are aborted and its position may be
// handed in again.
func (t *Table) finish(now int64, c *channel, i int, delivered, mayRun bool) {
	e := c.entries[i]
	c.entries = slices.Delete(c.entries, i, i+1)
	t.held--
	t.deleteRow(entryRow(e))
	c.holdOff(now, e, mayRun)
	if delivered || e.Pass || e.Pos > c.record.Last {
		return
	}
	for len(c.entries) > i && c.entries[len(c.entries)-1].Pos > e.Pos {
		t.abort(now, c, len(c.entries)-1)
	}
	c.rollBack(e.Pos - 1)
	t.putRow(recordKey+c.name, c.record)
}

func (c *channel) holdOff(now int64, e *entry, mayRun bool) {
	if mayRun && e.Settle > 0 {
		c.holdOffs = append(c.holdOffs, holdOff{e.Key, now + e.Settle})
	}
}

// abort ends a message: at once if it was not released; otherwise the engine is asked to end it, and Ended follows.
func (t *Table) abort(now int64, c *channel, i int) {
	e := c.entries[i]
	if e.aborted {
		return
	}
	e.aborted = true
	t.effects.Aborts = append(t.effects.Aborts, Abort{e.ID, e.Pos, 2 * t.t.ReplyTimeout})
	if !e.released {
		c.holdOff(now, e, e.mayHaveRun)
		c.entries = slices.Delete(c.entries, i, i+1)
		t.held--
		t.deleteRow(entryRow(e))
	}
}

// expire aborts messages that were held past their deadline, and drops hold-offs that are over.
func (t *Table) expire(now int64, c *channel) {
	c.holdOffs = slices.DeleteFunc(c.holdOffs, func(r holdOff) bool { return now >= r.until })
	for i := 0; i < len(c.entries); i++ {
		e := c.entries[i]
		if e.released || now < e.Deadline {
			continue
		}
		e.aborted = true
		t.effects.Aborts = append(t.effects.Aborts, Abort{e.ID, e.Pos, 2 * t.t.ReplyTimeout})
		t.finish(now, c, i, false, e.mayHaveRun)
		i = -1
	}
}

// abortBehindGap aborts the messages behind a gap.
func (t *Table) abortBehindGap(now int64, c *channel) {
	for i := len(c.entries) - 1; i >= 0 && c.entries[i].Pos > c.record.Last; i-- {
		t.abort(now, c, i)
	}
}

// abortUnreleased aborts the messages that were not released. Positions above the last started one may be handed in again; a position that
// later ones have overtaken may not.
func (t *Table) abortUnreleased(now int64, c *channel) {
	tail := c.lastStarted()
	for i := len(c.entries) - 1; i >= 0; i-- {
		if !c.entries[i].released {
			t.abort(now, c, i)
		}
	}
	if tail < c.record.Last {
		c.rollBack(tail)
		t.putRow(recordKey+c.name, c.record)
	}
}

func (t *Table) abortAll(now int64, c *channel) {
	for i := len(c.entries) - 1; i >= 0; i-- {
		t.abort(now, c, i)
	}
}

// MayBegin reports whether a leg may start. It is called right before the leg's first byte.
func (t *Table) MayBegin(now int64, channel string, pos int64) bool {
	c := t.channels[channel]
	if t.disabled || c == nil || !c.mayStartLegs(now, t) {
		return false
	}
	i, found := c.find(pos)
	return found && c.entries[i].released && !c.entries[i].aborted
}

// ReleaseAll yields every owned channel because the process is about to exit. Hand-ins are refused from now on.
func (t *Table) ReleaseAll(now int64) Effects {
	t.draining = true
	for _, name := range slices.Sorted(maps.Keys(t.channels)) {
		if c := t.channels[name]; c.phase == Owning {
			t.yield(now, c)
			t.step(now, c)
		}
	}
	return t.flush(now)
}

// Forget deletes all state of the channels to some destinations: contracts, positions, ids and messages, which are aborted. It returns the
// keys of all deleted rows. Peer messages about those channels are refused for Timing.Forget (a day), because other senders may not have
// purged them yet.
func (t *Table) Forget(now int64, dsts []int64) (Effects, []string) {
	matches := func(k *Contract) bool { return k != nil && slices.Contains(dsts, k.Dst) }
	from, instances := len(t.effects.Rows), map[uint64]bool{}
	for _, name := range slices.Sorted(maps.Keys(t.channels)) {
		c := t.channels[name]
		if s := t.voterStates[name]; !matches(c.contract) && (s == nil || !matches(s.Contract)) {
			continue
		}
		for i := len(c.entries) - 1; i >= 0; i-- {
			e := c.entries[i]
			t.abort(now, c, i)
			if e.released {
				t.held--
				t.deleteRow(entryRow(e))
			}
		}
		if c.contract != nil {
			instances[c.contract.Instance] = true
		}
		t.deleteRow(recordKey + name)
		delete(t.channels, name)
	}
	for _, name := range slices.Sorted(maps.Keys(t.voterStates)) {
		if matches(t.voterStates[name].Contract) {
			instances[t.voterStates[name].Contract.Instance] = true
			delete(t.voterStates, name)
			t.deleteRow(voterKey + name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.declarations)) {
		if matches(&t.declarations[name].Contract) {
			delete(t.declarations, name)
			t.deleteRow(declarationKey + name)
		}
	}
	var keys []string
	for _, r := range t.effects.Rows[from:] {
		keys = append(keys, r.Key)
	}
	for _, instance := range slices.Sorted(maps.Keys(instances)) {
		if len(t.purged) < t.limits.Channels {
			t.purged[instance] = now + t.t.Forget
			t.putRow(purgedRow(instance), purged{instance, t.purged[instance]})
		}
	}
	return t.flush(now), keys
}

// ConnectionClosed reports that the channel's client has disconnected, so that a handover request from another sender is granted at once.
func (t *Table) ConnectionClosed(channel string) {
	if c := t.channels[channel]; c != nil {
		c.clientGone = true
	}
}
