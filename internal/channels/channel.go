package channels

import (
	"slices"
	"sort"
)

// channel is what a sender keeps of one that it owns, asks for, or has messages of.
type channel struct {
	stranger bool // opened by a hand-in, and of its contract nothing is known yet
	name     string
	phase    Phase
	electors []string
	contract *Contract
	next     *Contract // declared, waits for its first position
	fresh    bool      // restored: legs of the earlier life may run

	// Asking and renewing.
	fence    uint64 // the one asked for or owned by
	heard    uint64 // the highest heard of
	at       int    // the elector asked now
	askedAt  int64
	granted  []bool // by elector
	blank    []bool
	heldAt   []int64     // by elector: when the newest Hold that it answered was sent
	heldSeq  []uint64    // and its record's seq
	told     []*Contract // by elector: in force, as far as it knows
	nexts    []*Contract // by elector: declared, not yet in force
	tails    []Record    // of fenced owners, told with the grants
	best     Record      // the newest of those that were granted with
	renewAt  int64
	quietEnd int64
	drainEnd int64
	comeBack int64 // not ours until then, as far as is known
	other    string
	wantAt   int64
	nobody   bool // no elector knows a contract

	// The client.
	used int64
	gone bool

	// Positions.
	mine    Record // durable: as this sender left or leads it
	claimed int64  // bytes of the budget for that
	ids     int    // that it has room for
	ceilOK  int64  // ceil on a majority's disks
	ceilAt  uint64 // seq of the record that told the newest ceil
	gapEnd  int64

	entries []*entry // by position
	rests   []rest

	tail   *Record // to be told to electors, for the one that followed
	tailOK []bool  // by elector
	tailAt int64

	wake int64
}

// entry is a message taken on and not over.
type entry struct {
	Channel string `cbor:"1,keyasint"`
	Pos     int64  `cbor:"2,keyasint"`
	ID      string `cbor:"3,keyasint"`
	Key     string `cbor:"4,keyasint,omitempty"`
	Until   int64  `cbor:"5,keyasint"` // µs; waits for its turn no longer
	Settle  int64  `cbor:"6,keyasint"`
	Version uint64 `cbor:"7,keyasint"`
	Mode    Mode   `cbor:"8,keyasint"`
	Pass    bool   `cbor:"9,keyasint,omitempty"` // undelivered, it lets the next pass

	released bool // it is with the decisions
	begun    bool // restored, and a leg of it may have run
	given    bool // its end was asked for
}

// rest keeps the next message of a key back after one of which a leg may still run.
type rest struct {
	key   string
	until int64
}

func (c *channel) find(pos int64) (int, bool) {
	i := sort.Search(len(c.entries), func(i int) bool { return c.entries[i].Pos >= pos })
	return i, i < len(c.entries) && c.entries[i].Pos == pos
}

func (c *channel) insert(e *entry) {
	i, _ := c.find(e.Pos)
	c.entries = slices.Insert(c.entries, i, e)
}

// leaseEnd is when the word of a majority of electors ends, by the clock that sent the questions.
func (c *channel) leaseEnd(t *Table) int64 {
	if len(c.heldAt) == 0 {
		return 0
	}
	at := slices.Clone(c.heldAt)
	slices.Sort(at)
	if nth := at[len(at)-1-len(at)/2]; nth > 0 {
		return nth + t.t.Lease
	}
	return 0
}

// acked is the seq that a majority has on disk.
func (c *channel) acked() uint64 {
	if len(c.heldSeq) == 0 {
		return 0
	}
	seq := slices.Clone(c.heldSeq)
	slices.Sort(seq)
	return seq[len(seq)-1-len(seq)/2]
}

// sumAt finds what is remembered of a position up to Last: the sum of its id, 0 for one that was skipped.
func (c *channel) sumAt(pos int64) (sum uint64, remembered bool) {
	i := int64(len(c.mine.Sums)) - 1 - (c.mine.Last - pos)
	if i < 0 || pos > c.mine.Last {
		return 0, false
	}
	return c.mine.Sums[i], true
}

// advance takes Last on to a position; those between are remembered as skipped.
func (t *Table) advance(c *channel, pos int64, sum uint64) {
	window := usualWindow
	if c.contract != nil {
		window = c.contract.Window
	}
	sums := slices.Clone(c.mine.Sums) // a letter may still hold the old ones
	if pos-c.mine.Last > int64(window) {
		sums = nil
	} else {
		sums = append(sums, make([]uint64, pos-c.mine.Last-1)...)
	}
	sums = append(sums, sum)
	c.mine.Sums = slices.Clone(newest(sums, t.ownIDs(c, min(len(sums), window))))
	c.mine.Last = pos
}

// back takes Last back, so that the positions above it may be handed in again.
func (c *channel) back(pos int64) {
	if n := c.mine.Last - pos; n > 0 {
		c.mine.Sums = slices.Clone(c.mine.Sums[:max(0, len(c.mine.Sums)-int(n))])
		c.mine.Last = pos
		c.mine.Retracted = c.fresh
	}
}

// tailOf is the highest position that this sender let go out, or that is over; what it holds above never ran.
func (c *channel) tailOf() int64 {
	last := c.mine.Last
	for i := len(c.entries) - 1; i >= 0; i-- {
		switch e := c.entries[i]; {
		case e.Pos > last: // ahead of a gap
		case e.Pos < last || e.out(): // the one at last is over
			return last
		default:
			last--
		}
	}
	return last
}

func (e *entry) out() bool { return e.released || e.begun }

func (c *channel) resting(now int64, key string, any bool) bool {
	for _, r := range c.rests {
		if now < r.until && (any || r.key == key) {
			return true
		}
	}
	return false
}

// wakeUp is when something of the channel is due, 0 for nothing.
func (c *channel) wakeUp(now int64, t *Table) int64 {
	at := int64(0)
	due := func(when int64) {
		if when > 0 && (at == 0 || when < at) {
			at = max(when, now+1)
		}
	}
	switch c.phase {
	case Asking:
		due(c.askedAt + t.t.Answer)
	case Holding, Quiet, Owning, Yielding, Releasing:
		due(c.renewAt)
		if c.phase != Releasing {
			due(c.leaseEnd(t))
		}
	case Lapsed:
		due(max(c.comeBack, now+1))
	case Idle:
		due(max(c.comeBack, now+1))
	}
	switch c.phase {
	case Quiet:
		due(c.quietEnd)
	case Owning:
		if len(c.entries) == 0 {
			due(c.used + t.t.Idle)
		}
		due(c.gapEnd)
	case Yielding:
		if now < c.drainEnd {
			due(c.drainEnd)
		}
	}
	if c.tail != nil {
		due(c.tailAt)
	}
	for _, e := range c.entries {
		if !e.released {
			due(e.Until)
		}
	}
	for _, r := range c.rests {
		due(r.until)
	}
	return at
}
