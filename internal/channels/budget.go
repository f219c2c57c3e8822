package channels

import "slices"

// Budget is the room that rows may take in their store. Its methods wait for nothing.
type Budget interface {
	// Cost is how many bytes of the room a row takes, by the bytes of its key and value.
	Cost(key, value int) int64
	// Claim keeps so many bytes for rows, in the place of those claimed before. False: they are not to be had, and the claim stands as it was.
	Claim(bytes int64) bool
	// Largest is how many bytes a row's value may have.
	Largest() int
	// Room is how many bytes may be claimed at the most.
	Room() int64
}

// Bounds on encoded rows, in bytes. A row is claimed as long as it may grow while nothing further is asked for, so that no renewal, end or
// answer finds the store full; only what can be refused claims more.
const (
	sumBytes      = 9   // one of an id, the longest
	recordBytes   = 110 // a record without sums and its owner's name
	contractBytes = 110 // a contract without its names
	seatBytes     = 60  // a seat without contracts, records and its owner's name
	entryBytes    = 70  // an entry without its names
	orderBytes    = 10  // an order around its contract
	goneBytes     = 40
	bornDigits    = 16
	textBytes     = 2 // a text's length, before it
)

// Shares of the room.
const (
	heldPart = 8  // one byte in so many is kept for messages held, whatever is declared
	freePart = 2  // one byte in so many is kept from ids beyond the least
	leastIDs = 32 // remembered of each channel, where its window has as many
	idsStep  = 32 // further ids claimed at a time
)

// Limit has rows keep to a budget; without one they are not bounded. It comes before anything else.
func (t *Table) Limit(b Budget) { t.budget = b }

func (t *Table) cost(key, value int) int64 {
	if t.budget == nil {
		return 0
	}
	return t.budget.Cost(key, value)
}

// claim changes what a row of a channel is claimed with. False: there is no room for more, and nothing has changed.
func (t *Table) claim(was, is int64) bool {
	if t.budget != nil && is > was {
		room := t.budget.Room()
		if t.fixed-was+is > room-room/heldPart || !t.budget.Claim(t.claimed-was+is) {
			return false
		}
	}
	t.fixed += is - was
	t.settleClaim(is - was)
	return true
}

// claimKnown counts a row of a channel that has to be kept, whether or not there is room for it.
func (t *Table) claimKnown(was, is int64) {
	t.fixed += is - was
	t.settleClaim(is - was)
}

func (t *Table) settleClaim(by int64) {
	t.claimed += by
	if t.budget != nil {
		t.budget.Claim(t.claimed)
	}
}

func (t *Table) orderCost(k *Contract) int64 {
	return t.cost(len(orderKey)+len(k.Channel), orderBytes+k.bytes())
}

func (t *Table) goneCost() int64 { return t.cost(len(goneKey)+bornDigits, goneBytes) }

func (t *Table) entryCost(e *entry) int64 {
	return t.cost(len(entryRow(e)), entryBytes+len(e.Channel)+len(e.ID)+len(e.Key)+len(e.Mode))
}

// claimEntry and dropEntry count the row of a message held.
func (t *Table) claimEntry(e *entry) bool {
	cost := t.entryCost(e)
	if t.budget != nil && !t.budget.Claim(t.claimed+cost) {
		return false
	}
	t.claimed += cost
	return true
}

func (t *Table) dropEntry(e *entry) {
	t.held--
	t.drop(entryRow(e))
	t.settleClaim(-t.entryCost(e))
}

// hasRoom tells whether the row of a message could be claimed now.
func (t *Table) hasRoom(e *entry) bool {
	if !t.claimEntry(e) {
		return false
	}
	t.settleClaim(-t.entryCost(e))
	return true
}

// idsOf is how many ids are claimed with a channel.
func idsOf(window int) int { return min(window, leastIDs) }

// mayRemember tells whether ids beyond the least may have room.
func (t *Table) mayRemember(was, is int64) bool {
	if t.budget == nil {
		return true
	}
	room := t.budget.Room()
	return t.fixed-was+is <= room-room/freePart
}

func (t *Table) ownCost(c *channel, ids int) int64 {
	return t.cost(len(ownKey)+len(c.name), recordBytes+t.longestSender()+sumBytes*ids)
}

// claimOwn claims the row of a channel that is to be owned under a contract.
func (t *Table) claimOwn(c *channel, k *Contract) bool {
	ids := max(c.ids, idsOf(k.Window))
	cost := t.ownCost(c, ids)
	if !t.claim(c.claimed, cost) {
		return false
	}
	c.claimed, c.ids = cost, ids
	return true
}

// ownIDs is how many of so many ids the row of a channel has room for.
func (t *Table) ownIDs(c *channel, wanted int) int {
	if wanted > c.ids {
		ids := (wanted + idsStep - 1) / idsStep * idsStep
		cost := t.ownCost(c, ids)
		if t.mayRemember(c.claimed, cost) && t.claim(c.claimed, cost) {
			c.claimed, c.ids = cost, ids
		}
	}
	return min(wanted, c.ids)
}

func (t *Table) dropOwn(c *channel) {
	t.drop(ownKey + c.name)
	t.claim(c.claimed, 0)
	c.claimed, c.ids = 0, 0
}

// seatValue is how long the value of a seat's row may grow under the contracts that it holds.
func (t *Table) seatValue(s *seat) int {
	n := seatBytes + 2*t.longestSender() + recordBytes + sumBytes*s.ids
	for _, k := range []*Contract{s.Contract, s.Next} {
		if k != nil {
			n += k.bytes()
		}
	}
	for _, r := range s.Tails {
		n += r.bytes()
	}
	return n
}

// claimSeat claims the row of a seat. False: there is no room, or the row would be longer than one may be.
func (t *Table) claimSeat(name string, s *seat) bool {
	value := t.seatValue(s)
	if t.budget != nil && value > t.budget.Largest() {
		return false
	}
	cost := t.cost(len(seatKey)+len(name), value)
	if !t.claim(s.claimed, cost) {
		return false
	}
	s.claimed = cost
	return true
}

func (t *Table) dropSeat(name string, s *seat) {
	delete(t.seats, name)
	t.drop(seatKey + name)
	t.claim(s.claimed, 0)
}

// claimTail claims the word of a fenced owner, with all of its ids or with the least.
func (t *Table) claimTail(name string, s *seat, tail Record) bool {
	tails := s.Tails
	for _, ids := range []int{len(tail.Sums), min(len(tail.Sums), leastIDs)} {
		tail.Sums = newest(tail.Sums, ids)
		s.Tails = append(slices.Clone(tails), tail)
		s.Tails = s.Tails[max(0, len(s.Tails)-mostTails):]
		t.dropLongTails(s)
		if t.claimSeat(name, s) {
			return true
		}
	}
	return false
}

// dropLongTails forgets the oldest words of fenced owners that no row has room for.
func (t *Table) dropLongTails(s *seat) {
	for t.budget != nil && len(s.Tails) > 1 && t.seatValue(s) > t.budget.Largest() {
		s.Tails = s.Tails[1:]
	}
}

// seatIDs is how many of so many ids the row of a seat has room for.
func (t *Table) seatIDs(name string, s *seat, wanted int) int {
	if wanted > s.ids {
		longer := *s
		longer.ids = (wanted + idsStep - 1) / idsStep * idsStep
		cost := t.cost(len(seatKey)+len(name), t.seatValue(&longer))
		if t.mayRemember(s.claimed, cost) && t.claimSeat(name, &longer) {
			s.ids, s.claimed = longer.ids, longer.claimed
		}
	}
	return min(wanted, s.ids)
}

// newest gives the last of so many ids.
func newest(sums []uint64, n int) []uint64 { return sums[max(0, len(sums)-n):] }

func (t *Table) longestSender() (n int) {
	for _, name := range t.listed {
		n = max(n, textBytes+len(name))
	}
	return n
}

func (r Record) bytes() int {
	return recordBytes + textBytes + len(r.Owner) + sumBytes*len(r.Sums)
}

func (k *Contract) bytes() int {
	n := contractBytes + len(k.Channel) + len(k.Tenant) + len(k.Mode) + len(k.Gap)
	for _, e := range k.Electors {
		n += textBytes + len(e)
	}
	return n
}
