// Package channels keeps ordering contracts: a tenant's named stream to one destination, whose messages go out in the order of
// their positions whichever sender takes them on. At most one sender owns a channel at a time, by a lease and a fence that a majority of
// the channel's electors promised. docs/contracts.md says why, and what each cut does.
package channels

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ravenlink/internal/post"
)

// Keys of rows.
const (
	seatKey  = "s/"
	ownKey   = "o/"
	entryKey = "e/"
	orderKey = "d/"
	goneKey  = "f/"
)

const (
	mostElectors = 3                // one may be lost; five would cost two more letters each way for channels that few use
	reserve      = 64               // positions that electors know of before they are taken on: one letter for half of them
	mostTails    = 20               // times that a fenced owner tells how far it got
	aMoment      = int64(100_000)   // µs; the least that a client is told to stay away
	strangerPart = 4                // one channel in so many may be one of whose contract nothing is known here
	noContract   = int64(1_000_000) // µs for which a name that no elector knows is remembered
)

// Room bounds the table.
type Room struct {
	Channels int // known at once, as elector and as sender each
	Held     int // messages held over all channels
}

// Table is one sender's part in all channels. It is no use to several goroutines at once.
type Table struct {
	self      string
	life      uint64
	listed    []string
	t         Timing
	room      Room
	seats     map[string]*seat      // emptied by forgetSeat
	chans     map[string]*channel   // emptied when idle without messages
	strangers int                   // of chans, those opened by a hand-in of whose contract nothing is known yet
	orders    map[string]*order     // emptied by a majority's answers
	owed      map[string][]Restored // by channel, by position: as this sender started; emptied as channels are held
	gone      map[uint64]int64      // by a contract's Born: purged, and refused until then; emptied as that passes
	due       alarms
	held      int
	budget    Budget // nil: rows are not bounded
	claimed   int64  // bytes of it
	fixed     int64  // of these, for rows that are not of messages held
	local     []Msg  // letters to oneself
	out       Effects
	broken    bool
	leaving   bool
	bad       int    // letters that make no sense
	odd       int    // steps between phases that are not in the plan; always 0
	refused   string // the last declaration that electors refused, and why
}

// order is a declaration on its way to its electors.
type order struct {
	Contract Contract `cbor:"1,keyasint"`
	yes, no  map[string]bool
	again    int64
	claimed  int64
}

// gone is a purged channel, by nothing that its tenant named.
type gone struct {
	Born  uint64 `cbor:"1,keyasint"`
	Until int64  `cbor:"2,keyasint"`
}

// New makes a table. Life is the sender's incarnation, which grows with each start on the same folder. Listed are all senders of the
// operator's file, self among them.
func New(self string, life uint64, listed []string, timing Timing, room Room) *Table {
	return &Table{self: self, life: life, listed: slices.Sorted(slices.Values(listed)), t: timing, room: room,
		seats: map[string]*seat{}, chans: map[string]*channel{}, orders: map[string]*order{}, gone: map[uint64]int64{}}
}

// Begin names the sender's incarnation where New did not know it. It comes before Restore.
func (t *Table) Begin(life uint64) { t.life = life }

// Electors are the senders whose majority decides who owns a channel, first the one that is asked first: the three of
// the highest rendezvous hash, or one alone where fewer than three are listed.
func Electors(listed []string, channel string) []string {
	n := mostElectors
	if len(listed) < n {
		n = 1
	}
	ranked := slices.Clone(listed)
	hash := func(name string) uint64 { return xxhash.Sum64String(name + "\x00" + channel) }
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Or(cmp.Compare(hash(b), hash(a)), cmp.Compare(a, b)) })
	return ranked[:n]
}

// Declare takes a contract on: a new one, a change or a withdrawal. A nil error means that the effects carry it; electors may still refuse
// it, which View tells.
func (t *Table) Declare(now int64, k Contract) (Effects, error) {
	if err := k.Check(); err != nil {
		return Effects{}, err
	}
	known := t.known(k.Channel)
	if err := k.follows(known); err != nil {
		return Effects{}, err
	}
	if known != nil && known.Version == k.Version {
		return Effects{}, nil
	}
	if len(t.orders) >= t.room.Channels {
		return Effects{}, fmt.Errorf("%d declarations wait for their electors already", len(t.orders))
	}
	k.Electors, k.Born = Electors(t.listed, k.Channel), xxhash.Sum64String(fmt.Sprint(t.self, t.life, now, k.Channel))|1
	if known != nil && known.Electors != nil {
		k.Electors, k.Born = known.Electors, known.Born
	}
	o := &order{Contract: k, yes: map[string]bool{}, no: map[string]bool{}, claimed: t.orderCost(&k)}
	was := int64(0)
	if before := t.orders[k.Channel]; before != nil {
		was = before.claimed
	}
	if !t.claim(was, o.claimed) {
		return Effects{}, fmt.Errorf("no room for a further declaration")
	}
	t.orders[k.Channel] = o
	t.row(orderKey+k.Channel, o)
	t.tellOrder(now, o)
	return t.done(now), nil
}

// known is the newest contract that this sender has heard of.
func (t *Table) known(channel string) *Contract {
	var k *Contract
	newer := func(o *Contract) {
		if o != nil && (k == nil || o.Version > k.Version) {
			k = o
		}
	}
	if o := t.orders[channel]; o != nil {
		newer(&o.Contract)
	}
	if s := t.seats[channel]; s != nil {
		newer(s.Contract)
		newer(s.Next)
	}
	if c := t.chans[channel]; c != nil {
		newer(c.contract)
		newer(c.next)
	}
	return k
}

// Passes tells whether a message of a channel that ended undelivered lets the next pass; no where no contract of it is known.
func (t *Table) Passes(channel string) bool {
	k := t.known(channel)
	return k != nil && k.PassFailed
}

func (t *Table) tellOrder(now int64, o *order) {
	o.again = now + t.t.Lease
	for _, e := range o.Contract.Electors {
		if !o.yes[e] && !o.no[e] {
			k := o.Contract
			t.send(e, Msg{Kind: Declare, Channel: k.Channel, Contract: &k})
		}
	}
	t.wakeAt(o.again, o.Contract.Channel, false)
}

// hearOrder takes an elector's answer to a declaration in. It is told until all have answered, or most refused.
func (t *Table) hearOrder(from string, m Msg) {
	o := t.orders[m.Channel]
	if o == nil || o.Contract.Version != m.Fence || !slices.Contains(o.Contract.Electors, from) {
		return
	}
	if m.Kind == Declared {
		o.yes[from] = true
	} else {
		o.no[from] = true
		t.refused = fmt.Sprintf("%s version %d: %s", m.Channel, m.Fence, m.Cause)
	}
	if n := len(o.Contract.Electors); len(o.yes)+len(o.no) == n || len(o.no) > n/2 {
		t.dropOrder(m.Channel, o)
	}
}

func (t *Table) dropOrder(channel string, o *order) {
	delete(t.orders, channel)
	t.drop(orderKey + channel)
	t.claim(o.claimed, 0)
}

// Heard takes a letter in.
func (t *Table) Heard(now int64, from string, m Msg) Effects {
	if t.broken || !Name(m.Channel) || !slices.Contains(t.listed, from) {
		t.bad++
		return Effects{}
	}
	if !m.sound() {
		t.bad++
		return Effects{}
	}
	if m.Contract != nil && t.purged(now, m.Contract.Born) {
		if m.Kind == Hold {
			t.send(from, Msg{Kind: Deny, Channel: m.Channel, At: m.At, Life: m.Life, Fence: m.Fence, Blank: true})
		}
		return t.done(now)
	}
	t.hear(now, from, m)
	return t.done(now)
}

// purged tells whether a letter is of a channel that this sender has purged, and so is older than the purge.
func (t *Table) purged(now int64, born uint64) bool {
	until, there := t.gone[born]
	if there && now >= until {
		delete(t.gone, born)
		t.drop(goneRow(born))
		t.claim(t.goneCost(), 0)
		return false
	}
	return there
}

func goneRow(born uint64) string { return fmt.Sprintf("%s%x", goneKey, born) }

func (t *Table) hear(now int64, from string, m Msg) {
	switch m.Kind {
	case Ask:
		t.hearAsk(now, from, m)
	case Hold:
		t.hearHold(now, from, m)
	case Drop:
		t.hearDrop(now, from, m)
	case Declare:
		t.hearDeclare(now, from, m)
	case Tail:
		t.hearTail(now, from, m)
	case Declared, Refused:
		t.hearOrder(from, m)
	case Grant, Deny, Held, Want, TailHeard:
		if c := t.chans[m.Channel]; c != nil {
			t.step(now, c)
			t.hearOwner(now, c, from, m)
			t.step(now, c)
		}
	default:
		t.bad++
	}
}

// Tick lets time pass. It costs by what is due, not by what is known.
func (t *Table) Tick(now int64) Effects {
	for len(t.due) > 0 && t.due[0].at <= now {
		a := heap.Pop(&t.due).(alarm)
		if t.broken && (a.seat || t.orders[a.name] != nil) { // what is not written down waits
			t.wakeAt(now+t.t.Lease, a.name, a.seat)
		}
		if a.seat {
			if !t.broken {
				t.forgetSeat(now, a.name)
			}
			continue
		}
		if o := t.orders[a.name]; o != nil && now >= o.again && !t.broken {
			t.tellOrder(now, o)
		}
		if c := t.chans[a.name]; c != nil && c.wake == a.at {
			c.wake = 0
			t.step(now, c)
		}
	}
	return t.done(now)
}

// Next is when Tick has something to do, 0 for never.
func (t *Table) Next() int64 {
	if len(t.due) == 0 {
		return 0
	}
	return t.due[0].at
}

// Break stops this sender's part, for rows cannot be written: it answers BUSY, begins nothing and votes for nobody until Mend. What it holds
// ends at its time all the same.
func (t *Table) Break() { t.broken = true }

// Mend has this sender take part again, once all rows are written. Leases that ran out meanwhile are asked for again.
func (t *Table) Mend(now int64) Effects {
	t.broken = false
	for _, name := range slices.Sorted(maps.Keys(t.chans)) {
		t.step(now, t.chans[name])
	}
	return t.done(now)
}

// Reset forgets all that is known of channels, as a sender does that begins without its folder: what it holds is given up, and it has no vote
// for a channel until an owner's record comes. Life counts from then on.
func (t *Table) Reset(now int64, life uint64) Effects {
	t.life = life
	for _, name := range slices.Sorted(maps.Keys(t.chans)) {
		c := t.chans[name]
		for i := len(c.entries) - 1; i >= 0; i-- {
			e := c.entries[i]
			t.giveUp(now, c, i)
			if e.released {
				t.dropEntry(e)
			}
		}
		t.dropOwn(c)
	}
	for _, name := range slices.Sorted(maps.Keys(t.seats)) {
		t.dropSeat(name, t.seats[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.orders)) {
		t.dropOrder(name, t.orders[name])
	}
	t.strangers = 0
	t.chans, t.due, t.owed = map[string]*channel{}, nil, nil // what is owed may be as old
	return t.done(now)
}

// done takes in letters to oneself and hands out what the call asks for.
func (t *Table) done(now int64) Effects {
	t.pump(now)
	e := t.out
	t.out = Effects{}
	return e
}

func (t *Table) pump(now int64) {
	for len(t.local) > 0 {
		m := t.local[0]
		t.local = t.local[1:]
		t.hear(now, t.self, m)
	}
	t.local = nil
}

func (t *Table) send(to string, m Msg) {
	if to == t.self {
		t.local = append(t.local, m)
		return
	}
	t.out.Letters = append(t.out.Letters, post.Letter[Msg]{To: to, Slot: fmt.Sprintf("%s/%d", m.Channel, m.Kind), Msg: m})
}

func (t *Table) row(key string, v any) {
	b, err := cbor.Marshal(v)
	if err != nil { // no type of ours fails to encode
		t.bad++
		return
	}
	t.out.Rows = append(t.out.Rows, Row{key, b})
}

func (t *Table) drop(key string) { t.out.Rows = append(t.out.Rows, Row{Key: key}) }

// alarm says when a channel, or an elector's seat of one, has something due.
type alarm struct {
	at   int64
	name string
	seat bool
}

type alarms []alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push is for the heap.
func (a *alarms) Push(x any) { *a = append(*a, x.(alarm)) }

// Pop is for the heap.
func (a *alarms) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (t *Table) wakeAt(at int64, name string, seat bool) { heap.Push(&t.due, alarm{at, name, seat}) }

// Restored is a message that was held before a restart.
type Restored struct {
	ID, Channel string
	Pos         int64
}

// Restore brings back what rows of an earlier life say. Began tells whether a message, by its id, had a leg that may have run. Of the
// messages that it returns the table takes care: they wait until this sender owns their channel again, or are given up.
func (t *Table) Restore(now int64, rows []Row, began func(id string) bool) (held []Restored, err error) {
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	for _, r := range rows {
		if err := t.restore(now, r, began, &held); err != nil {
			t.clear()
			return nil, fmt.Errorf("channel row %q: %w", r.Key, err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.chans)) {
		t.touch(now, t.chans[name])
	}
	return held, nil
}

// clear forgets what was restored so far.
func (t *Table) clear() {
	t.strangers = 0
	t.seats, t.chans, t.orders, t.gone = map[string]*seat{}, map[string]*channel{}, map[string]*order{}, map[uint64]int64{}
	t.due, t.held, t.fixed = nil, 0, 0
	t.settleClaim(-t.claimed)
}

func (t *Table) restore(now int64, r Row, began func(string) bool, held *[]Restored) error {
	if len(r.Key) < 3 {
		return fmt.Errorf("no key of ours")
	}
	name := r.Key[2:]
	switch r.Key[:2] {
	case seatKey:
		s := &seat{}
		if err := cbor.Unmarshal(r.Value, s); err != nil {
			return err
		}
		if s.Contract == nil {
			return fmt.Errorf("no contract")
		}
		if s.Owner != "" {
			s.until = now + t.t.promise()
		}
		s.touched, s.waiting = now, true
		t.seats[name] = s
		s.ids = max(len(s.Rec.Sums), idsOf(s.Contract.Window))
		s.claimed = t.cost(len(r.Key), t.seatValue(s))
		t.claimKnown(0, s.claimed)
		t.wakeAt(now+t.t.Forget, name, true)
	case orderKey:
		o := &order{yes: map[string]bool{}, no: map[string]bool{}}
		if err := cbor.Unmarshal(r.Value, o); err != nil {
			return err
		}
		t.orders[name] = o
		o.claimed = t.orderCost(&o.Contract)
		t.claimKnown(0, o.claimed)
		t.wakeAt(now, name, false)
	case goneKey:
		g := gone{}
		if err := cbor.Unmarshal(r.Value, &g); err != nil {
			return err
		}
		t.gone[g.Born] = g.Until
		t.claimKnown(0, t.goneCost())
	case ownKey:
		c := t.open(name)
		if err := cbor.Unmarshal(r.Value, &c.mine); err != nil {
			return err
		}
		c.fence, c.heard = c.mine.Fence, c.mine.Fence
		c.ids = len(c.mine.Sums)
		c.claimed = t.ownCost(c, c.ids)
		t.claimKnown(0, c.claimed)
	case entryKey:
		e := &entry{}
		if err := cbor.Unmarshal(r.Value, e); err != nil {
			return err
		}
		e.begun = began(e.ID)
		c := t.open(e.Channel)
		c.insert(e)
		t.held++
		t.settleClaim(t.entryCost(e))
		*held = append(*held, Restored{e.ID, e.Channel, e.Pos})
	default:
		return fmt.Errorf("no key of ours")
	}
	return nil
}

// open finds a channel that is restored: nothing is known of whether it is still owned.
func (t *Table) open(name string) *channel {
	c := t.chans[name]
	if c == nil {
		c = &channel{name: name, phase: Lapsed, fresh: true, electors: Electors(t.listed, name)}
		t.chans[name] = c
	}
	return c
}
