// Package backlog decides which messages a sender works on and which rest on disk, and whose turn it is to come back. It does no I/O,
// knows no clock and starts no goroutine: times are whole µs that its caller passes in, and the caller brings its own lock.
package backlog

import (
	"cmp"
	"slices"
)

// Bounds are what a sender's settings give.
type Bounds struct {
	Room  int   // messages that the decision module may hold
	Slots int   // calls that may be out at once
	Span  int64 // µs; the shortest target time of a traffic class: the span over which a destination's deliveries are counted
	Most  int   // messages that may rest
}

// Lead is how long before its time is up, in µs, a message that rests is read from the disk. The decision module ends what it holds 10 ms
// before that time, and needs a turn for it; a batch of DueMost is read and taken up in some 20 ms; a garbage collection, a disk that
// is written to by others and a batch of the usual turns in front take a tenth of a second each on a busy machine. Danger: a shorter one tells
// ends late; a longer one ends, or has tried, what its destination's turn might still have reached.
const Lead = 500_000

// Word is what becomes of a hand-in.
type Word uint8

// The words.
const (
	Work   Word = iota // the module gets it now
	Rest               // it is to be written down and rests
	Refuse             // its client is to come back: no room, or it has too little time left to rest
)

// What of the room may be used. Danger: choice's makeRoom pushes back what it holds beyond 0.97 of the room, so fullShare stays below that.
const (
	windowShare = 0.8   // of the room, for all windows together;
	leastShare  = 0.9   // up to here for each destination's least,
	fullShare   = 0.95  // and up to here, which is all, for the first one of each destination that has none
	queueShare  = 0.25  // of the room, for one destination's window at most: three that go down at once leave room for a fourth
	fewest      = 8     // messages that a destination may have worked on though it delivers nothing, where the room has it
	growth      = 2     // a window holds this many times what was delivered in a span, so that deliveries may double in each
	refill      = 4     // messages come back once one part in so many of a window is free: a read of the disk brings several
	mostRoom    = 65536 // of the room counts, where the settings name none or a larger one: what is worked on is in memory
	leastLeft   = 2     // times Lead that a message needs to have left, to rest
)

// How many messages are read in one step at most: of a destination whose turn it is, and of those whose time ends.
const (
	BatchMost = 64
	DueMost   = 256
)

// place is where a message taken on stands.
type place uint8

// A message is handed in (nowhere) and is either working or, once it is on disk, resting; from there it is returning, while it is read and
// on its way to the module, and then working. From each place it may end, which is nowhere again. None goes back to resting but what
// could not be read.
const (
	nowhere   place = iota
	recording       // being written to the disk, its client has no answer yet
	resting
	returning
	working
	places
)

// pace is what is known of a destination's deliveries. It changes in turn only.
type pace uint8

const (
	fresh   pace = iota // nothing: no span has ended since it has messages
	moving              // it delivers
	stalled             // a whole span had messages working, and none was delivered
)

// queue is one destination's. It goes once no message of it is anywhere.
type queue struct {
	dst    int64
	counts [places]int
	pace   pace
	from   int64 // µs; start of the present span
	busy   bool  // messages were working at its start
	now    int   // delivered in it
	before int   // and in the one before
}

// Queues are all destinations'.
type Queues struct {
	bounds Bounds
	queues map[int64]*queue // those with messages
	ring   []*queue         // those with resting messages, in the fixed order of their numbers; the cursor goes round it
	cursor int64            // the destination whose turn came last
	began  bool             // some turn has come
	all    [places]int
}

// New makes the queues of a sender that has nothing yet.
func New(b Bounds) *Queues {
	b.Room, b.Slots, b.Span = max(1, min(b.Room, mostRoom)), max(1, b.Slots), max(1, b.Span)
	return &Queues{bounds: b, queues: map[int64]*queue{}}
}

func (q *Queues) share(of float64) int { return max(1, int(of*float64(q.bounds.Room))) }

// move is the one place where messages change theirs.
func (q *Queues) move(d *queue, n int, from, to place) {
	if from != nowhere {
		n = min(n, d.counts[from]) // never below none: a caller that counts amiss must not lend room that is not there
		d.counts[from] -= n
		q.all[from] -= n
	}
	if to != nowhere {
		d.counts[to] += n
		q.all[to] += n
	}
	q.keepRing(d)
	if d.counts == [places]int{} {
		delete(q.queues, d.dst)
	}
}

func (q *Queues) keepRing(d *queue) {
	i, is := slices.BinarySearchFunc(q.ring, d.dst, func(o *queue, dst int64) int { return cmp.Compare(o.dst, dst) })
	switch {
	case d.counts[resting] > 0 && !is:
		q.ring = slices.Insert(q.ring, i, d)
	case d.counts[resting] == 0 && is:
		q.ring = slices.Delete(q.ring, i, i+1)
	}
}

func (q *Queues) queue(now, dst int64) *queue {
	d := q.queues[dst]
	if d == nil {
		d = &queue{dst: dst, from: now}
		q.queues[dst] = d
	}
	q.turn(d, now)
	return d
}

// turn ends spans that are over and says what is known of the pace since. It is the one place where the pace changes.
func (q *Queues) turn(d *queue, now int64) {
	over := (now - d.from) / q.bounds.Span
	if over <= 0 {
		return
	}
	switch {
	case d.now > 0 && over == 1:
		d.pace = moving
	case d.counts[working] == 0:
		d.pace = fresh
	case d.busy || over > 1:
		d.pace = stalled
	}
	d.before, d.now = d.now, 0
	if over > 1 {
		d.before = 0
	}
	d.from += over * q.bounds.Span
	d.busy = d.counts[working] > 0
}

// delivers counts a delivery, which ends a stall at once.
func (q *Queues) delivers(d *queue) {
	d.now++
	if d.pace == stalled {
		d.pace = moving
	}
}

// least is what a destination may have worked on that delivers nothing, or whose window others' have left no room for: what is kept from the
// windows, shared out.
func (q *Queues) least() int {
	return max(1, min(fewest, (q.share(leastShare)-q.share(windowShare))/max(1, len(q.queues))))
}

// window is how many messages of a destination may be worked on: as many as may be out at once while nothing speaks against it, more for
// one that delivers more in a span, and few for one that delivers nothing.
func (q *Queues) window(d *queue) int {
	least, most := q.least(), q.share(queueShare)
	if d.pace == stalled {
		return least
	}
	return max(least, min(most, max(q.bounds.Slots, growth*max(d.now, d.before))))
}

// free is how many more messages of a destination may be worked on.
func (q *Queues) free(d *queue) int {
	own := d.counts[working] + d.counts[returning]
	all := q.all[working] + q.all[returning]
	byWindow := min(q.window(d)-own, q.share(windowShare)-all)
	byLeast := min(q.least()-own, q.share(leastShare)-all)
	first := min(1-own, q.share(fullShare)-all)
	return max(0, byWindow, byLeast, first)
}

// Admit decides on a message that is handed in. keyRests: an earlier one of its order key rests, at any destination, or is on its way
// back. Danger: a message that passes one of its key, or of its destination, that came before it.
func (q *Queues) Admit(now, dst, expires int64, keyRests bool) Word {
	d := q.queue(now, dst)
	behind := d.counts[recording]+d.counts[resting]+d.counts[returning] > 0
	word := Rest
	switch {
	case !keyRests && !behind && q.free(d) > 0:
		word = Work
		q.move(d, 1, nowhere, working)
	case expires-now < leastLeft*Lead, q.Resting() >= q.bounds.Most:
		word = Refuse
		q.move(d, 0, nowhere, nowhere) // its queue goes if it is new
	default:
		q.move(d, 1, nowhere, recording)
	}
	return word
}

// Knows tells whether a message of a destination is anywhere here.
func (q *Queues) Knows(dst int64) bool { return q.queues[dst] != nil }

// Recorded says what became of writing one down that is to rest, and tells whether its destination may have its turn at once.
func (q *Queues) Recorded(now, dst int64, ok bool) (may bool) {
	to := nowhere
	if ok {
		to = resting
	}
	d := q.queue(now, dst)
	q.move(d, 1, recording, to)
	return ok && q.batch(d) > 0
}

// Refused takes back one that was to be worked on and was not taken.
func (q *Queues) Refused(now, dst int64) { q.move(q.queue(now, dst), 1, working, nowhere) }

// Found says how many rested as the sender started.
func (q *Queues) Found(now, dst int64, n int) { q.move(q.queue(now, dst), n, nowhere, resting) }

// Owed says that a message from before the start is worked on.
func (q *Queues) Owed(now, dst int64) { q.move(q.queue(now, dst), 1, nowhere, working) }

// Ended says that one that was worked on has its end.
func (q *Queues) Ended(now, dst int64, delivered bool) {
	d := q.queue(now, dst)
	if delivered {
		q.delivers(d)
	}
	q.move(d, 1, working, nowhere)
}

// Next says whose oldest messages come back now, and how many; 0 for nobody's. They count as returning. Destinations take turns in the order
// of their numbers, so each that has room gets one before any gets a second. A step looks at each destination once at most.
func (q *Queues) Next(now int64) (dst int64, n int) {
	start := 0
	if q.began {
		start, _ = slices.BinarySearchFunc(q.ring, q.cursor, func(o *queue, at int64) int {
			if o.dst <= at {
				return -1
			}
			return 1
		})
	}
	for i := range q.ring {
		d := q.ring[(start+i)%len(q.ring)]
		q.turn(d, now)
		if n := q.batch(d); n > 0 {
			q.cursor, q.began = d.dst, true
			q.move(d, n, resting, returning)
			return d.dst, n
		}
	}
	return 0, 0
}

// batch is how many of a destination come back in its turn. A full window is not filled up one by one.
func (q *Queues) batch(d *queue) int {
	free, own := q.free(d), d.counts[working]+d.counts[returning]
	n := min(free, d.counts[resting], BatchMost)
	if own >= q.least() && q.window(d)-own < min(d.counts[resting], max(1, q.window(d)/refill)) {
		return 0
	}
	return n
}

// Called says that one was read for another reason than its turn: its time ends, it is to be ended, or a later one of its key comes back.
func (q *Queues) Called(now, dst int64) { q.move(q.queue(now, dst), 1, resting, returning) }

// Back says that one from before the start goes to the module behind others that rest.
func (q *Queues) Back(now, dst int64) { q.move(q.queue(now, dst), 1, nowhere, returning) }

// Missed says that of what was to come back some was not there: it was withdrawn, or ended otherwise.
func (q *Queues) Missed(now, dst int64, n int) { q.move(q.queue(now, dst), n, returning, nowhere) }

// Unread says that the disk did not give what was to come back: it rests on.
func (q *Queues) Unread(now, dst int64, n int) { q.move(q.queue(now, dst), n, returning, resting) }

// Returned says that one came back and the module has it; Gone, that it has its end without.
func (q *Queues) Returned(now, dst int64) { q.move(q.queue(now, dst), 1, returning, working) }

// Gone is Returned for one that ended instead.
func (q *Queues) Gone(now, dst int64) { q.move(q.queue(now, dst), 1, returning, nowhere) }

// Room is how many more may go to the module beside their turns.
func (q *Queues) Room() int { return max(0, q.share(fullShare)-q.all[working]) }

// Resting counts what rests, with what is being written down and what is on its way back.
func (q *Queues) Resting() int { return q.all[recording] + q.all[resting] + q.all[returning] }

// Working counts what is worked on.
func (q *Queues) Working() int { return q.all[working] }
