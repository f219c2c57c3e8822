// Package backlog decides which messages a sender processes and which are spilled to disk, and which destination loads spilled
// messages next. It does no I/O, reads no clock and starts no goroutine: times are whole microseconds passed in by the caller,
// who also provides the locking.
package backlog

import (
	"cmp"
	"slices"
)

// Limits are the limits that a sender's settings impose on its queues.
type Limits struct {
	Capacity   int   // messages that the decision module may hold
	Slots      int   // calls that may be out at once
	Interval   int64 // µs; the shortest target time of a traffic class: the interval over which deliveries to a destination are counted
	MaxSpilled int   // spilled messages
}

// ExpiryLead is how long before its expiry, in µs, a spilled message is read from disk. The decision module ends messages 10 ms
// before they expire and needs a turn for it; reading and submitting a batch of MaxDueBatch takes some 20 ms; a garbage
// collection, a disk that other processes write to, and a batch of regular turns ahead each take a tenth of a second on a busy
// machine. With a shorter lead, ends are reported late; with a longer one, messages are ended or attempted early that the
// regular turn of their destination might still have reached.
const ExpiryLead = 500_000

// Decision is the outcome of a hand-in.
type Decision uint8

// The decisions on a hand-in.
const (
	Activate Decision = iota // submit it to the decision module now
	Spill                    // write it to disk
	Reject                   // have its client retry: there is no room, or it expires too soon to be spilled
)

// Shares of the capacity. choice sheds messages beyond 0.97 of its capacity (ShedExcess), so totalShare stays below that.
const (
	windowShare    = 0.8   // of the capacity: limit for all windows together
	minWindowShare = 0.9   // limit for the minimum window of each destination
	totalShare     = 0.95  // overall limit, for the first message of each destination that has none
	maxWindowShare = 0.25  // of the capacity: maximum window of one destination, so that three failing at once leave room for a fourth
	maxMinWindow   = 8     // active messages that a destination may have although it delivers nothing, if the capacity allows
	windowGrowth   = 2     // a window is this multiple of the deliveries of an interval, so that deliveries may double in each
	refillPart     = 4     // messages are loaded once one part in so many of a window is free, so that a read from disk returns several
	maxCapacity    = 65536 // upper bound of the capacity where the settings set none or a larger one, because active messages are in memory
	minLeadTimes   = 2     // multiples of ExpiryLead that a message must have left to be spilled
)

// Maximum number of messages read in one step: of the destination whose turn it is, and of those about to expire.
const (
	MaxBatch    = 64
	MaxDueBatch = 256
)

// state is the state of an accepted message.
type state uint8

// A message handed in (absent) becomes either active or, once it is on disk, spilled. A spilled message is loading while it is
// read and submitted to the module, and then active. From each state it may end, which makes it absent again. Only a message
// that could not be read goes back to spilled.
const (
	absent   state = iota
	spilling       // being written to disk; its client has no answer yet
	spilled
	loading
	active
	numStates
)

// progress describes whether a destination delivers. It changes in advance, and in countDelivery when a delivery ends a stall.
type progress uint8

const (
	unknown    progress = iota // no interval has ended since the destination has messages
	delivering                 // the destination delivers
	stalled                    // a whole interval had active messages, and none was delivered
)

// queue counts the messages of one destination. It is deleted when no message of it is left.
type queue struct {
	dst             int64
	counts          [numStates]int
	progress        progress
	intervalStart   int64 // µs; start of the current interval
	activeAtStart   bool  // whether there were active messages at its start
	delivered       int   // deliveries in the current interval
	deliveredBefore int   // deliveries in the previous interval
}

// Queues holds the queues of all destinations.
type Queues struct {
	limits  Limits
	queues  map[int64]*queue // destinations with messages
	ring    []*queue         // destinations with spilled messages, sorted by number; the cursor goes round it
	cursor  int64            // the destination that had the last turn
	started bool             // whether any destination had a turn
	totals  [numStates]int
}

// New creates the queues of a sender without messages.
func New(b Limits) *Queues {
	b.Capacity, b.Slots, b.Interval = max(1, min(b.Capacity, maxCapacity)), max(1, b.Slots), max(1, b.Interval)
	return &Queues{limits: b, queues: map[int64]*queue{}}
}

func (q *Queues) share(part float64) int { return max(1, int(part*float64(q.limits.Capacity))) }

// transition moves n messages from one state to another. All state changes go through it.
func (q *Queues) transition(d *queue, n int, from, to state) {
	if from != absent {
		n = min(n, d.counts[from]) // never negative: a caller that miscounts must not create capacity that does not exist
		d.counts[from] -= n
		q.totals[from] -= n
	}
	if to != absent {
		d.counts[to] += n
		q.totals[to] += n
	}
	q.updateRing(d)
	if d.counts == [numStates]int{} {
		delete(q.queues, d.dst)
	}
}

func (q *Queues) updateRing(d *queue) {
	i, is := slices.BinarySearchFunc(q.ring, d.dst, func(o *queue, dst int64) int { return cmp.Compare(o.dst, dst) })
	switch {
	case d.counts[spilled] > 0 && !is:
		q.ring = slices.Insert(q.ring, i, d)
	case d.counts[spilled] == 0 && is:
		q.ring = slices.Delete(q.ring, i, i+1)
	}
}

func (q *Queues) queue(now, dst int64) *queue {
	d := q.queues[dst]
	if d == nil {
		d = &queue{dst: dst, intervalStart: now}
		q.queues[dst] = d
	}
	q.advance(d, now)
	return d
}

// advance closes intervals that have ended and updates the progress. Nothing else makes a destination unknown or stalled.
func (q *Queues) advance(d *queue, now int64) {
	over := (now - d.intervalStart) / q.limits.Interval
	if over <= 0 {
		return
	}
	switch {
	case d.delivered > 0 && over == 1:
		d.progress = delivering
	case d.counts[active] == 0:
		d.progress = unknown
	case d.activeAtStart || over > 1:
		d.progress = stalled
	}
	d.deliveredBefore, d.delivered = d.delivered, 0
	if over > 1 {
		d.deliveredBefore = 0
	}
	d.intervalStart += over * q.limits.Interval
	d.activeAtStart = d.counts[active] > 0
}

// countDelivery counts a delivery, which ends a stall at once.
func (q *Queues) countDelivery(d *queue) {
	d.delivered++
	if d.progress == stalled {
		d.progress = delivering
	}
}

// minWindow is the window of a destination that delivers nothing, or for which the windows of others leave no room: the part of
// the capacity reserved from the windows, divided among the destinations.
func (q *Queues) minWindow() int {
	return max(1, min(maxMinWindow, (q.share(minWindowShare)-q.share(windowShare))/max(1, len(q.queues))))
}

// window is the number of messages of a destination that may be active: as many as there are call slots by default, more for a
// destination that delivers more in an interval, and few for a stalled one.
func (q *Queues) window(d *queue) int {
	least, most := q.minWindow(), q.share(maxWindowShare)
	if d.progress == stalled {
		return least
	}
	return max(least, min(most, max(q.limits.Slots, windowGrowth*max(d.delivered, d.deliveredBefore))))
}

// available is the number of further messages of a destination that may become active.
func (q *Queues) available(d *queue) int {
	own := d.counts[active] + d.counts[loading]
	all := q.totals[active] + q.totals[loading]
	byWindow := min(q.window(d)-own, q.share(windowShare)-all)
	byLeast := min(q.minWindow()-own, q.share(minWindowShare)-all)
	first := min(1-own, q.share(totalShare)-all)
	return max(0, byWindow, byLeast, first)
}

// Admit decides on a hand-in. keySpilled reports that an earlier message of its order key is spilled, at any destination, or
// loading. A message must not overtake an earlier one of its key or destination.
func (q *Queues) Admit(now, dst, expires int64, keySpilled bool) Decision {
	d := q.queue(now, dst)
	behind := d.counts[spilling]+d.counts[spilled]+d.counts[loading] > 0
	decision := Spill
	switch {
	case !keySpilled && !behind && q.available(d) > 0:
		decision = Activate
		q.transition(d, 1, absent, active)
	case expires-now < minLeadTimes*ExpiryLead, q.Spilled() >= q.limits.MaxSpilled:
		decision = Reject
		q.transition(d, 0, absent, absent) // deletes the queue if it is new
	default:
		q.transition(d, 1, absent, spilling)
	}
	return decision
}

// Has reports whether a destination has messages in any state.
func (q *Queues) Has(dst int64) bool { return q.queues[dst] != nil }

// Recorded reports whether a message was written to disk, and returns whether its destination may load messages at once.
func (q *Queues) Recorded(now, dst int64, ok bool) (may bool) {
	to := absent
	if ok {
		to = spilled
	}
	d := q.queue(now, dst)
	q.transition(d, 1, spilling, to)
	return ok && q.batchSize(d) > 0
}

// ActivationRefused reports that an activated message was not accepted by the module.
func (q *Queues) ActivationRefused(now, dst int64) {
	q.transition(q.queue(now, dst), 1, active, absent)
}

// AddSpilled adds the spilled messages found when the sender started.
func (q *Queues) AddSpilled(now, dst int64, n int) {
	q.transition(q.queue(now, dst), n, absent, spilled)
}

// AddActive adds a message from before the start that is active.
func (q *Queues) AddActive(now, dst int64) { q.transition(q.queue(now, dst), 1, absent, active) }

// Ended reports that an active message ended.
func (q *Queues) Ended(now, dst int64, delivered bool) {
	d := q.queue(now, dst)
	if delivered {
		q.countDelivery(d)
	}
	q.transition(d, 1, active, absent)
}

// Next returns the destination whose oldest messages are loaded next, and how many; 0 for none. They count as loading.
// Destinations take turns in the order of their numbers, so each one with room has a turn before any has a second. A call looks
// at each destination once at most.
func (q *Queues) Next(now int64) (dst int64, n int) {
	start := 0
	if q.started {
		start, _ = slices.BinarySearchFunc(q.ring, q.cursor, func(o *queue, at int64) int {
			if o.dst <= at {
				return -1
			}
			return 1
		})
	}
	for i := range q.ring {
		d := q.ring[(start+i)%len(q.ring)]
		q.advance(d, now)
		if n := q.batchSize(d); n > 0 {
			q.cursor, q.started = d.dst, true
			q.transition(d, n, spilled, loading)
			return d.dst, n
		}
	}
	return 0, 0
}

// batchSize is the number of messages that a destination loads in its turn. A window that is nearly full is not refilled one by
// one.
func (q *Queues) batchSize(d *queue) int {
	free, own := q.available(d), d.counts[active]+d.counts[loading]
	n := min(free, d.counts[spilled], MaxBatch)
	if own >= q.minWindow() && q.window(d)-own < min(d.counts[spilled], max(1, q.window(d)/refillPart)) {
		return 0
	}
	return n
}

// LoadedEarly reports that a message was read outside the turn of its destination: it expires, it is to be ended, or a later one
// of its key is loaded.
func (q *Queues) LoadedEarly(now, dst int64) { q.transition(q.queue(now, dst), 1, spilled, loading) }

// AddLoading adds a message from before the start that is submitted to the module after spilled ones.
func (q *Queues) AddLoading(now, dst int64) { q.transition(q.queue(now, dst), 1, absent, loading) }

// Missing reports that some messages to be loaded were not on disk: they were withdrawn or ended otherwise.
func (q *Queues) Missing(now, dst int64, n int) { q.transition(q.queue(now, dst), n, loading, absent) }

// LoadFailed reports that messages could not be read from disk; they stay spilled.
func (q *Queues) LoadFailed(now, dst int64, n int) {
	q.transition(q.queue(now, dst), n, loading, spilled)
}

// Activated reports that a loading message was accepted by the module.
func (q *Queues) Activated(now, dst int64) { q.transition(q.queue(now, dst), 1, loading, active) }

// EndedLoading reports that a loading message ended instead of becoming active.
func (q *Queues) EndedLoading(now, dst int64) { q.transition(q.queue(now, dst), 1, loading, absent) }

// FreeCapacity is the number of messages that may be submitted to the module outside the turns.
func (q *Queues) FreeCapacity() int { return max(0, q.share(totalShare)-q.totals[active]) }

// Spilled counts spilled messages, including those being written or loaded.
func (q *Queues) Spilled() int { return q.totals[spilling] + q.totals[spilled] + q.totals[loading] }

// Active counts active messages.
func (q *Queues) Active() int { return q.totals[active] }
