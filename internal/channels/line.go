package channels

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// In is a message as it is handed in.
type In struct {
	Channel string
	Pos     int64
	ID, Key string // Key orders messages under per-key; empty for none
	Dst     int64
	Until   int64 // µs; its deadline
	Look    bool  // only told what would become of it: Taken means that it would be
	Settle  int64 // µs for which a leg that may still run keeps the next message back
}

// Way is what becomes of a hand-in.
type Way uint8

// The ways.
const (
	Taken   Way = iota // +OK once rows are durable; Release says when its turn has come
	Doubled            // +OK, as the first was; nothing is owed for it
	Busy               // come back after Wait
	Barred             // an error, with its cause
)

// Verdict answers a hand-in.
type Verdict struct {
	Way   Way
	Pos   int64 // last taken on, without a gap; -1 for not known here
	Wait  int64 // µs
	Cause string
}

// taken stands for a position that an owner before had taken on under an id not known here.
const taken = uint64(1)

func sumOf(id string) uint64 {
	if s := xxhash.Sum64String(id); s > taken {
		return s
	}
	return taken + 1
}

// HandIn decides on a message. It never waits: a channel that is not ours is asked for, and the client told when to come back.
func (t *Table) HandIn(now int64, in In) (Verdict, Effects) {
	if t.broken || t.leaving {
		return Verdict{Way: Busy, Pos: -1, Wait: noContract}, Effects{}
	}
	if !Name(in.Channel) || in.Pos < 1 || in.Pos > mostPos {
		return Verdict{Way: Barred, Pos: -1, Cause: "no such channel or position"}, Effects{}
	}
	c := t.chans[in.Channel]
	if c == nil {
		if !t.mayOpen(in.Channel) {
			return Verdict{Way: Busy, Pos: -1, Wait: noContract}, Effects{}
		}
		c = &channel{name: in.Channel, electors: t.electorsOf(in.Channel), stranger: t.known(in.Channel) == nil}
		t.place(c)
	}
	c.used, c.gone = now, false
	t.step(now, c)
	if c.phase == Idle && now >= c.comeBack {
		t.place(c) // step may have let it go
		t.ask(now, c)
	}
	t.pump(now)
	v := t.decide(now, c, in)
	t.step(now, c)
	return v, t.done(now)
}

// mayOpen tells whether a channel that a hand-in names finds a place. Names without a contract have a part of the room alone, or a client that
// names a new one each time would keep declared channels out.
func (t *Table) mayOpen(name string) bool {
	if len(t.chans) >= t.room.Channels {
		return false
	}
	return t.known(name) != nil || t.strangers < max(1, t.room.Channels/strangerPart)
}

// place has a channel in the table.
func (t *Table) place(c *channel) {
	if t.chans[c.name] == nil && c.stranger {
		t.strangers++
	}
	t.chans[c.name] = c
}

// forgetChannel forgets a channel.
func (t *Table) forgetChannel(name string) {
	if c := t.chans[name]; c != nil && c.stranger {
		t.strangers--
	}
	delete(t.chans, name)
}

func (t *Table) electorsOf(name string) []string {
	if k := t.known(name); k != nil && len(k.Electors) > 0 {
		return k.Electors
	}
	return Electors(t.listed, name)
}

// decide answers a hand-in of a channel that is owned, and the others by their phase.
func (t *Table) decide(now int64, c *channel, in In) Verdict {
	if c.phase != Owning || now >= c.leaseEnd(t) {
		t.want(now, c)
		return c.elsewhere(now, t)
	}
	t.change(now, c)
	k := c.contract
	if n := c.next; n != nil && in.Pos >= n.From {
		k = n
	}
	at := c.mine.Last
	bar := func(format string, a ...any) Verdict {
		return Verdict{Way: Barred, Pos: at, Cause: fmt.Sprintf(format, a...)}
	}
	if in.Dst != k.Dst {
		return bar("channel %s goes to destination %d", c.name, k.Dst)
	}
	if in.Pos <= at {
		return c.again(in)
	}
	if i, there := c.find(in.Pos); there {
		if c.entries[i].ID == in.ID {
			return Verdict{Way: Doubled, Pos: at}
		}
		return bar("position %d is taken by another message", in.Pos)
	}
	switch {
	case k.Withdrawn:
		return bar("channel %s is withdrawn", c.name)
	case c.mine.Closed >= k.Version:
		return bar("channel %s is closed since a gap after position %d", c.name, at)
	case c.mine.Doubt > at: // it may have run at an owner that vanished, or something before it may
		return Verdict{Way: Busy, Pos: at, Wait: max(t.t.Answer, c.gapEnd-now)}
	}
	e := newEntry(now, c, k, in)
	if in.Look && t.fits(c, k, e) {
		return Verdict{Way: Taken, Pos: at}
	}
	if ahead := c.ahead(); in.Pos > at+1 && !ahead && (k.Wait == 0 || in.Pos > at+int64(k.Window)) && k.Gap != Wait {
		return t.jump(now, c, k, e)
	}
	if !t.fits(c, k, e) || in.Pos > at+int64(k.Window) {
		return Verdict{Way: Busy, Pos: at, Wait: max(t.t.Answer, c.gapEnd-now)}
	}
	return t.take(c, e)
}

// jump heeds the gap rule at once: nothing is waited for, or the position lies beyond the window.
func (t *Table) jump(now int64, c *channel, k *Contract, e *entry) Verdict {
	if k.Gap == Close {
		t.close(now, c)
		return Verdict{Way: Barred, Pos: c.mine.Last, Cause: fmt.Sprintf("channel %s is closed since a gap after position %d", c.name, c.mine.Last)}
	}
	if !t.fits(c, k, e) {
		if e.Pos > c.ceilOK && c.acked() >= c.ceilAt {
			t.raise(now, c, e.Pos)
		}
		return Verdict{Way: Busy, Pos: c.mine.Last, Wait: t.t.Answer}
	}
	t.advance(c, e.Pos-1, 0)
	return t.take(c, e)
}

// fits tells whether there is room for a message, and its position on a majority's disks.
func (t *Table) fits(c *channel, k *Contract, e *entry) bool {
	return len(c.entries)+len(c.rests) < k.Window && t.held < t.room.Held && e.Pos <= c.ceilOK && t.hasRoom(e)
}

// ahead tells whether a message stands behind a gap.
func (c *channel) ahead() bool {
	return len(c.entries) > 0 && c.entries[len(c.entries)-1].Pos > c.mine.Last
}

// elsewhere answers where the channel is not, or not yet, ours.
func (c *channel) elsewhere(now int64, t *Table) Verdict {
	v := Verdict{Way: Busy, Pos: -1, Wait: t.t.Answer}
	if c.mine.Fence > 0 && c.phase != Fenced && c.phase != Lapsed {
		v.Pos = c.mine.Last
	}
	switch {
	case c.nobody:
		return Verdict{Way: Barred, Pos: -1, Cause: "no contract for channel " + c.name}
	case c.phase == Quiet:
		v.Wait = max(c.quietEnd-now, t.t.Answer)
	case c.phase == Idle, c.phase == Lapsed, c.phase == Fenced:
		v.Wait = max(c.comeBack-now, aMoment)
	}
	return v
}

// again answers a position that is behind.
func (c *channel) again(in In) Verdict {
	at := c.mine.Last
	sum, remembered := c.sumAt(in.Pos)
	switch {
	case !remembered:
		return Verdict{Way: Barred, Pos: at, Cause: fmt.Sprintf("position %d is behind what is remembered", in.Pos)}
	case sum == 0:
		return Verdict{Way: Barred, Pos: at, Cause: fmt.Sprintf("position %d was skipped", in.Pos)}
	case sum != taken && sum != sumOf(in.ID):
		return Verdict{Way: Barred, Pos: at, Cause: fmt.Sprintf("position %d is taken by another message", in.Pos)}
	}
	return Verdict{Way: Doubled, Pos: at}
}

func newEntry(now int64, c *channel, k *Contract, in In) *entry {
	return &entry{Channel: c.name, Pos: in.Pos, ID: in.ID, Key: in.Key, Until: min(in.Until, now+k.MostHold), Settle: in.Settle,
		Version: k.Version, Mode: k.Mode, Pass: k.PassFailed}
}

func (t *Table) take(c *channel, e *entry) Verdict {
	if !t.claimEntry(e) { // another module of the sender has taken the room just now
		return Verdict{Way: Busy, Pos: c.mine.Last, Wait: t.t.Answer}
	}
	c.insert(e)
	t.held++
	t.row(entryRow(e), e)
	t.absorb(c)
	t.row(ownKey+c.name, c.mine)
	return Verdict{Way: Taken, Pos: c.mine.Last}
}

// Untake takes a message back that was taken on and could not be written down: its client is told to come back.
func (t *Table) Untake(channel string, pos int64) []Row {
	c := t.chans[channel]
	if c == nil {
		return nil
	}
	i, there := c.find(pos)
	if !there {
		return nil
	}
	t.dropEntry(c.entries[i])
	c.entries = slices.Delete(c.entries, i, i+1)
	if pos <= c.mine.Last {
		c.back(pos - 1)
		t.row(ownKey+c.name, c.mine)
	}
	rows := t.out.Rows
	t.out.Rows = nil
	return rows
}

func entryRow(e *entry) string { return fmt.Sprintf("%s%s/%x", entryKey, e.Channel, e.Pos) }

// absorb takes Last on over messages that stood ahead of it.
func (t *Table) absorb(c *channel) {
	i, _ := c.find(c.mine.Last + 1)
	for ; i < len(c.entries) && c.entries[i].Pos == c.mine.Last+1; i++ {
		t.advance(c, c.entries[i].Pos, sumOf(c.entries[i].ID))
	}
}

// change puts the next contract in force once all positions before its first are taken on; a closed channel goes on from there.
func (t *Table) change(now int64, c *channel) {
	if n := majority(c.nexts, len(c.electors)); n != nil && n.Version > c.contract.Version {
		c.next = n
	}
	if c.next == nil {
		return
	}
	stuck := c.mine.Closed >= c.contract.Version || c.mine.Doubt > c.mine.Last
	if stuck && c.next.From > c.mine.Last+1 {
		if c.next.From > c.ceilOK {
			if c.acked() >= c.ceilAt {
				t.raise(now, c, c.next.From)
			}
			return
		}
		t.advance(c, max(c.next.From-1, c.mine.Doubt), 0)
	}
	if c.mine.Last+1 >= c.next.From && t.claimOwn(c, c.next) {
		c.contract, c.next, c.renewAt = c.next, nil, now
		t.row(ownKey+c.name, c.mine)
	}
}

// gap watches the positions that are missing.
func (t *Table) gap(now int64, c *channel) {
	doubt := c.mine.Doubt > c.mine.Last && c.mine.Closed < c.contract.Version
	if !c.ahead() && !doubt {
		c.gapEnd = 0
		return
	}
	if c.gapEnd == 0 {
		c.gapEnd = now + c.contract.Wait
	}
	if now >= c.gapEnd {
		switch c.contract.Gap {
		case Skip:
			if doubt {
				t.advance(c, c.mine.Doubt, 0)
			} else {
				i, _ := c.find(c.mine.Last + 1)
				t.advance(c, c.entries[i].Pos-1, 0)
			}
			t.absorb(c)
			t.row(ownKey+c.name, c.mine)
			c.gapEnd = 0
			t.gap(now, c) // there may be a further one
		case Wait:
			t.giveAhead(now, c)
			if c.gapEnd = 0; doubt { // it is the owner's to say; look again
				c.gapEnd = now + c.contract.Wait
			}
		case Close:
			t.close(now, c)
		}
	}
}

func (t *Table) close(now int64, c *channel) {
	c.mine.Closed = c.contract.Version
	t.giveAhead(now, c)
	t.row(ownKey+c.name, c.mine)
}

// line lets messages go whose turn has come.
func (t *Table) line(now int64, c *channel) {
	var keys map[string]bool
	for i, e := range c.entries {
		if e.Pos > c.mine.Last {
			return
		}
		first := i == 0
		if e.Version != c.entries[0].Version || e.Mode == Whole && (!first || c.resting(now, "", true)) {
			return // all that follows waits too, for it would overtake this one
		}
		free := e.Mode != PerKey || e.Key == "" || !keys[e.Key] && !c.resting(now, e.Key, false)
		if e.Mode == PerKey && e.Key != "" {
			if keys == nil {
				keys = map[string]bool{}
			}
			keys[e.Key] = true
		}
		if free && !e.released {
			e.released = true
			t.out.Release = append(t.out.Release, e.ID)
		}
	}
}

// Ended says how a message that was released is over. MayRun: a leg of it may still run.
func (t *Table) Ended(now int64, channel string, pos int64, delivered, mayRun bool) Effects {
	if c := t.chans[channel]; c != nil {
		if i, there := c.find(pos); there {
			t.finish(now, c, i, delivered, mayRun)
		}
		t.step(now, c)
	}
	return t.done(now)
}

// Postponed says that a message which was released did not begin, for the channel had ceased to be this sender's (MayBegin): it is held again
// and waits for its turn, or for its end. MayRun: a leg of it may still run.
func (t *Table) Postponed(now int64, channel string, pos int64, mayRun bool) Effects {
	if c := t.chans[channel]; c != nil {
		if i, there := c.find(pos); there {
			t.postpone(now, c, i, mayRun)
		}
		t.step(now, c)
	}
	return t.done(now)
}

func (t *Table) postpone(now int64, c *channel, i int, mayRun bool) {
	e := c.entries[i]
	e.begun = e.begun || mayRun
	if e.given { // and it is over with that
		t.finish(now, c, i, false, e.begun)
		return
	}
	e.released = false
}

// finish takes a message out. Where it may not be passed, those behind it are given up and its position is owed again.
func (t *Table) finish(now int64, c *channel, i int, delivered, mayRun bool) {
	e := c.entries[i]
	c.entries = slices.Delete(c.entries, i, i+1)
	t.dropEntry(e)
	c.rest(now, e, mayRun)
	if delivered || e.Pass || e.Pos > c.mine.Last {
		return
	}
	for len(c.entries) > i && c.entries[len(c.entries)-1].Pos > e.Pos {
		t.giveUp(now, c, len(c.entries)-1)
	}
	c.back(e.Pos - 1)
	t.row(ownKey+c.name, c.mine)
}

func (c *channel) rest(now int64, e *entry, mayRun bool) {
	if mayRun && e.Settle > 0 {
		c.rests = append(c.rests, rest{e.Key, now + e.Settle})
	}
}

// giveUp ends a message here: at once if it is not with the decisions, else they are asked to and Ended follows.
func (t *Table) giveUp(now int64, c *channel, i int) {
	e := c.entries[i]
	if e.given {
		return
	}
	e.given = true
	t.out.GiveUp = append(t.out.GiveUp, GivenUp{e.ID, e.Pos, 2 * t.t.Answer})
	if !e.released {
		c.rest(now, e, e.begun)
		c.entries = slices.Delete(c.entries, i, i+1)
		t.dropEntry(e)
	}
}

// expire gives up messages that waited too long for their turn, and forgets rests that are over.
func (t *Table) expire(now int64, c *channel) {
	c.rests = slices.DeleteFunc(c.rests, func(r rest) bool { return now >= r.until })
	for i := 0; i < len(c.entries); i++ {
		e := c.entries[i]
		if e.released || now < e.Until {
			continue
		}
		e.given = true
		t.out.GiveUp = append(t.out.GiveUp, GivenUp{e.ID, e.Pos, 2 * t.t.Answer})
		t.finish(now, c, i, false, e.begun)
		i = -1
	}
}

// giveAhead gives up what stands behind a gap.
func (t *Table) giveAhead(now int64, c *channel) {
	for i := len(c.entries) - 1; i >= 0 && c.entries[i].Pos > c.mine.Last; i-- {
		t.giveUp(now, c, i)
	}
}

// giveTail gives up what is not under way. Positions at the end are owed again; one that others have overtaken is over.
func (t *Table) giveTail(now int64, c *channel) {
	tail := c.tailOf()
	for i := len(c.entries) - 1; i >= 0; i-- {
		if !c.entries[i].released {
			t.giveUp(now, c, i)
		}
	}
	if tail < c.mine.Last {
		c.back(tail)
		t.row(ownKey+c.name, c.mine)
	}
}

func (t *Table) giveAll(now int64, c *channel) {
	for i := len(c.entries) - 1; i >= 0; i-- {
		t.giveUp(now, c, i)
	}
}

// MayBegin is asked right before a leg's first byte.
func (t *Table) MayBegin(now int64, channel string, pos int64) bool {
	c := t.chans[channel]
	if t.broken || c == nil || !c.lets(now, t) {
		return false
	}
	i, there := c.find(pos)
	return there && c.entries[i].released && !c.entries[i].given
}

// Leave gives every channel back, for the sender is about to end; hand-ins are refused from now on.
func (t *Table) Leave(now int64) Effects {
	t.leaving = true
	for _, name := range slices.Sorted(maps.Keys(t.chans)) {
		if c := t.chans[name]; c.phase == Owning {
			t.yield(now, c)
			t.step(now, c)
		}
	}
	return t.done(now)
}

// Forget lets go of all that is known of channels to some destinations: contracts, positions, ids and messages that are not under way, which
// end. The keys of all rows that went come back. Letters of those channels are refused for a day: others may not have purged them yet.
func (t *Table) Forget(now int64, dsts []int64) (Effects, []string) {
	mine := func(k *Contract) bool { return k != nil && slices.Contains(dsts, k.Dst) }
	from, borns := len(t.out.Rows), map[uint64]bool{}
	for _, name := range slices.Sorted(maps.Keys(t.chans)) {
		c := t.chans[name]
		if s := t.seats[name]; !mine(c.contract) && (s == nil || !mine(s.Contract)) {
			continue
		}
		for i := len(c.entries) - 1; i >= 0; i-- {
			e := c.entries[i]
			t.giveUp(now, c, i)
			if e.released {
				t.dropEntry(e)
			}
		}
		if c.contract != nil {
			borns[c.contract.Born] = true
		}
		t.dropOwn(c)
		t.forgetChannel(name)
	}
	for _, name := range slices.Sorted(maps.Keys(t.seats)) {
		if mine(t.seats[name].Contract) {
			borns[t.seats[name].Contract.Born] = true
			t.dropSeat(name, t.seats[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.orders)) {
		if mine(&t.orders[name].Contract) {
			t.dropOrder(name, t.orders[name])
		}
	}
	var keys []string
	for _, r := range t.out.Rows[from:] {
		keys = append(keys, r.Key)
	}
	for _, born := range slices.Sorted(maps.Keys(borns)) {
		if len(t.gone) < t.room.Channels {
			t.gone[born] = now + t.t.Forget
			t.claimKnown(0, t.goneCost())
			t.row(goneRow(born), gone{born, t.gone[born]})
		}
	}
	return t.done(now), keys
}

// Gone says that the channel's client has left its connection: another sender's wish for the channel is heeded at once.
func (t *Table) Gone(channel string) {
	if c := t.chans[channel]; c != nil {
		c.gone = true
	}
}
