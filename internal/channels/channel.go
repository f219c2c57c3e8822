package channels

import (
	"slices"
	"sort"
)

// channel is the state of a channel that this sender owns, requests, or holds messages of.
type channel struct {
	name     string
	phase    Phase
	voters   []string
	contract *Contract
	next     *Contract // declared; comes into force at its From
	restored bool      // restored at the start; legs of the earlier incarnation may still run

	// Election and renewal.
	fence      uint64 // the fence requested, or owned under
	maxFence   uint64 // the highest fence seen
	asking     int    // index of the voter asked last
	askedAt    int64
	granted    []bool // by voter
	noRecord   []bool
	ackedAt    []int64     // by voter: when the newest Replicate that it acknowledged was sent
	ackedSeq   []uint64    // by voter: the seq of that record
	inForce    []*Contract // by voter: the contract in force, as far as it knows
	upcoming   []*Contract // by voter: declared, not yet in force
	tails      []Record    // final records of fenced owners, reported with the grants
	best       Record      // the newest record reported with the grants
	renewAt    int64
	quietEnd   int64
	drainEnd   int64
	retryAt    int64 // no new election before
	knownOwner string
	handoverAt int64 // no new handover request before
	undeclared bool  // no voter knows a contract

	// The client.
	lastUsed   int64
	clientGone bool

	// Positions.
	record           Record // durable; as last written by this sender as owner
	confirmedCeiling int64  // the ceiling on a majority's disks
	ceilingSeq       uint64 // seq of the record that first contained the newest ceiling
	gapDeadline      int64

	entries  []*entry // by position
	holdOffs []holdOff

	tail         *Record // final record to be sent to the voters, for the next owner
	tailAcked    []bool  // by voter
	tailResendAt int64

	alarmAt int64
}

// entry is an accepted message that has not ended.
type entry struct {
	Channel  string `cbor:"1,keyasint"`
	Pos      int64  `cbor:"2,keyasint"`
	ID       string `cbor:"3,keyasint"`
	Key      string `cbor:"4,keyasint,omitempty"`
	Deadline int64  `cbor:"5,keyasint"` // µs; aborted if it was not released by then
	Settle   int64  `cbor:"6,keyasint"`
	Version  uint64 `cbor:"7,keyasint"`
	Mode     Mode   `cbor:"8,keyasint"`
	Pass     bool   `cbor:"9,keyasint,omitempty"` // if it ends undelivered, later messages may still be sent

	released   bool // handed to the engine
	mayHaveRun bool // not released, but an earlier leg of it may have run
	aborted    bool // its end was requested
}

// holdOff keeps the next message of a key back after one of which a leg may still run.
type holdOff struct {
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

// leaseEnd returns when the lease from a majority of the voters ends, by the clock of this sender.
func (c *channel) leaseEnd(t *Table) int64 {
	if len(c.ackedAt) == 0 {
		return 0
	}
	at := slices.Clone(c.ackedAt)
	slices.Sort(at)
	if nth := at[len(at)-1-len(at)/2]; nth > 0 {
		return nth + t.t.Lease
	}
	return 0
}

// majoritySeq returns the seq that a majority of the voters has on disk.
func (c *channel) majoritySeq() uint64 {
	if len(c.ackedSeq) == 0 {
		return 0
	}
	seq := slices.Clone(c.ackedSeq)
	slices.Sort(seq)
	return seq[len(seq)-1-len(seq)/2]
}

// hashAt returns the id hash of a position up to Last, 0 if the position was skipped.
func (c *channel) hashAt(pos int64) (hash uint64, remembered bool) {
	i := int64(len(c.record.IDHashes)) - 1 - (c.record.Last - pos)
	if i < 0 || pos > c.record.Last {
		return 0, false
	}
	return c.record.IDHashes[i], true
}

// advance raises Last to pos. The positions in between count as skipped.
func (c *channel) advance(pos int64, hash uint64) {
	window := defaultWindow
	if c.contract != nil {
		window = c.contract.Window
	}
	hashes := slices.Clone(c.record.IDHashes) // a queued peer message may still share the old slice
	if pos-c.record.Last > int64(window) {
		hashes = nil
	} else {
		hashes = append(hashes, make([]uint64, pos-c.record.Last-1)...)
	}
	hashes = append(hashes, hash)
	c.record.IDHashes = slices.Clone(hashes[max(0, len(hashes)-window):])
	c.record.Last = pos
}

// rollBack lowers Last to pos, so that the positions above it may be handed in again.
func (c *channel) rollBack(pos int64) {
	if n := c.record.Last - pos; n > 0 {
		c.record.IDHashes = slices.Clone(c.record.IDHashes[:max(0, len(c.record.IDHashes)-int(n))])
		c.record.Last = pos
	}
}

// lastStarted returns the highest position that was started or has ended; messages held above it never ran.
func (c *channel) lastStarted() int64 {
	last := c.record.Last
	for i := len(c.entries) - 1; i >= 0; i-- {
		switch e := c.entries[i]; {
		case e.Pos > last: // behind a gap
		case e.Pos < last || e.started(): // the message at last has ended
			return last
		default:
			last--
		}
	}
	return last
}

func (e *entry) started() bool { return e.released || e.mayHaveRun }

func (c *channel) heldOff(now int64, key string, any bool) bool {
	for _, r := range c.holdOffs {
		if now < r.until && (any || r.key == key) {
			return true
		}
	}
	return false
}

// nextDue returns when the channel next needs attention, 0 for never.
func (c *channel) nextDue(now int64, t *Table) int64 {
	at := int64(0)
	due := func(when int64) {
		if when > 0 && (at == 0 || when < at) {
			at = max(when, now+1)
		}
	}
	switch c.phase {
	case Asking:
		due(c.askedAt + t.t.ReplyTimeout)
	case Holding, Quiet, Owning, Yielding, Releasing:
		due(c.renewAt)
		if c.phase != Releasing {
			due(c.leaseEnd(t))
		}
	case Lapsed:
		due(max(c.retryAt, now+1))
	case Idle:
		due(max(c.retryAt, now+1))
	}
	switch c.phase {
	case Quiet:
		due(c.quietEnd)
	case Owning:
		if len(c.entries) == 0 {
			due(c.lastUsed + t.t.Idle)
		}
		due(c.gapDeadline)
	case Yielding:
		if now < c.drainEnd {
			due(c.drainEnd)
		}
	}
	if c.tail != nil {
		due(c.tailResendAt)
	}
	for _, e := range c.entries {
		if !e.released {
			due(e.Deadline)
		}
	}
	for _, r := range c.holdOffs {
		due(r.until)
	}
	return at
}
