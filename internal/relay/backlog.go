package relay

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/backlog"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// Backlogged counts what the backlog did since the start.
type Backlogged struct {
	Spilled  atomic.Int64 // hand-ins written down to rest
	Loaded   atomic.Int64 // messages that came back in their destination's turn
	Due      atomic.Int64 // messages read because their time ended,
	Rejected atomic.Int64 // of them, ended without going to the decisions
}

// rest is the engine's part of the backlog: it asks the queues on each hand-in, and its loader brings back what rests.
type rest struct {
	e      *Engine
	keyed  bool       // some traffic class keeps an order
	untold func() int // ends that the platform does not know yet

	mu      sync.Mutex // never held over I/O
	queues  *backlog.Queues
	claims  map[string]*claim // hand-ins whose clients have no answer yet: as many as clients; emptied by Carry
	coming  map[string]bool   // ids of what is on its way back: as many as a step reads, and as a start holds back; emptied as it is taken up
	keys    map[string]int    // its order keys
	loading bool              // the loader has a batch under way,
	reading bool              // and reads it: what comes is not known yet
	lost    []string          // claims that it may come across, as many as it reads or clients have; emptied at the end of its batch
	open    bool              // what is owed from before the start is taken up: turns may come,

	resting atomic.Int64 // what rests, by the queues
	looks   atomic.Int64 // µs; when the loader looks next though nothing wakes it
	wake    chan struct{}
	jobs    chan *job
	opened  bool             // as the loader has seen. The loader's
	back    []*spool.Message // behind others of their keys that are not read yet: owed from before the start, or after a failed read; emptied by the next step
	pause   int64            // µs; nothing is read before, for the disk failed. The loader's
	again   int64            // µs; how long that pause was, 0 for none. The loader's
	said    bool             // that something rests. The loader's
}

// claim is a hand-in whose client has no answer yet.
type claim struct {
	msg      *spool.Message // as it was handed in
	rests    bool           // it was written down to rest
	gone     bool           // its client never heard,
	left     bool           // and whoever handed it in is done with it
	ended    bool           // it came back, and has its end
	returned *spool.Message // it came back, and is with the decisions
}

// job is something to be ended wherever it rests.
type job struct {
	match func(*spool.Message) bool
	done  chan struct{}
}

const (
	mostUntold = 4096                  // ends that wait for the platform, beyond which no more are read to be ended: they are in memory
	readFirst  = int64(10_000)         // µs until the disk is read again after a failure, doubled by each further one up to
	readMost   = int64(1_000_000)      // this
	glance     = 10 * time.Millisecond // between looks while the loader waits for the platform
)

// Rest has messages beyond what the decisions can work on rest on disk. It comes before any message. keyed: some traffic class keeps an order.
// untold counts ends that the platform does not know yet.
func (e *Engine) Rest(b backlog.Bounds, keyed bool, untold func() int) {
	e.rest = &rest{e: e, keyed: keyed, untold: untold, queues: backlog.New(b), claims: map[string]*claim{}, coming: map[string]bool{},
		keys: map[string]int{}, wake: make(chan struct{}, 1), jobs: make(chan *job, 1)}
	if !keyed {
		e.spool.Unkeyed()
	}
	now := e.Now()
	for _, dst := range e.spool.SpilledTo() {
		e.rest.queues.Found(now, dst, e.spool.Spilled(dst))
	}
	e.rest.counted()
}

// Resting counts what rests on disk.
func (e *Engine) Resting() int64 {
	if e.rest == nil {
		return 0
	}
	return e.rest.resting.Load()
}

// counted keeps the count for those who do not lock. It is called with the lock.
func (r *rest) counted() { r.resting.Store(int64(r.queues.Resting())) }

// change changes the queues.
func (r *rest) change(f func(q *backlog.Queues, now int64)) {
	now := r.e.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.queues, now)
	r.counted()
}

func (r *rest) rouse() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take is Take with a backlog.
func (r *rest) take(m *spool.Message, lane int) (routing.Way, int64) {
	e := r.e
	if free, same := r.claim(m); same { // the other one's client was not told yet, and it may be taken back
		return routing.NoRoom, e.router.ComeBackIn()
	} else if !free {
		return routing.Twice, 0
	}
	word := r.admit(m)
	way, advice := routing.PushedBack, int64(0)
	switch word {
	case backlog.Work:
		way, advice = e.hold(m, lane)
		if way != routing.Held {
			r.change(func(q *backlog.Queues, now int64) { q.Refused(now, m.Dst) })
		}
	case backlog.Rest:
		way, advice = r.spill(m)
	default:
		advice = e.router.ComeBackIn()
	}
	if way != routing.Held {
		r.release(m.ID)
	}
	return way, advice
}

// claim takes an id for a hand-in until its client is answered; not free where another one has it, which may be the same message, or where it is
// on its way back. What rests or is worked on is found by the spool and the decisions.
func (r *rest) claim(m *spool.Message) (free, same bool) {
	id := m.ID
	r.mu.Lock()
	reading, other := r.reading, r.claims[id]
	if free = other == nil && !r.coming[id]; free {
		r.claims[id] = &claim{msg: m}
	}
	same = other != nil && other.msg.Same(m)
	r.mu.Unlock()
	if free && reading && r.e.spool.Has(id) {
		r.release(id)
		free = false
	}
	return free, same
}

func (r *rest) release(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.claims, id)
}

// admit asks the queues. A destination that nothing is known of goes to the decisions, which refuse it, or is refused here.
func (r *rest) admit(m *spool.Message) (word backlog.Word) {
	keyRests, _ := r.key(m) // asked first: the loader may read it in between
	known := false
	r.change(func(q *backlog.Queues, now int64) {
		known = q.Knows(m.Dst)
		keyRests = keyRests || r.keyed && m.OrderKey != "" && (r.reading || r.keys[m.OrderKey] > 0)
		if word = q.Admit(now, m.Dst, m.Expires, keyRests); word == backlog.Rest {
			r.claims[m.ID].rests = true
		}
	})
	if word == backlog.Rest && !known && !r.e.router.Lists(m.Dst) {
		r.change(func(q *backlog.Queues, now int64) { q.Recorded(now, m.Dst, false) })
		word = backlog.Refuse
	}
	return word
}

// key tells whether some message of the same order key rests, and whether one may rest at another destination.
func (r *rest) key(m *spool.Message) (rests, elsewhere bool) {
	if !r.keyed || m.OrderKey == "" || r.resting.Load() == 0 {
		return false, false
	}
	return r.e.spool.SpilledKey(m.OrderKey, m.Dst)
}

// spill writes a message down that rests. Without an error its end is owed.
func (r *rest) spill(m *spool.Message) (routing.Way, int64) {
	e := r.e
	err := e.spool.Spill(m)
	may := false
	r.change(func(q *backlog.Queues, now int64) { may = q.Recorded(now, m.Dst, err == nil) })
	if err != nil {
		return e.refused(err)
	}
	e.Tally.Taken.Add(1)
	e.Backlogged.Spilled.Add(1)
	if may || m.Expires-backlog.Lead < r.looks.Load() {
		r.rouse()
	}
	return routing.Held, 0
}

// carry is Carry: of a hand-in that rests nothing is carried before it comes back, and what came back before its client was answered is from now
// on.
func (r *rest) carry(m *spool.Message) {
	r.mu.Lock()
	c := r.claims[m.ID]
	if c == nil { // owed from before the start
		r.queues.Owed(r.e.Now(), m.Dst)
		r.counted()
		r.mu.Unlock()
		r.e.carry(m)
		return
	}
	lost := c.rests && c.gone && c.returned == nil && !c.ended
	if c.left = lost; !lost {
		delete(r.claims, m.ID)
	}
	r.mu.Unlock()
	switch {
	case !c.rests:
		r.e.carry(m)
	case lost:
		r.lose(m)
	case c.returned != nil:
		if c.gone {
			r.e.router.Withdraw(m.ID)
		}
		r.e.carry(c.returned)
	}
}

// lose puts on record that nothing is owed for a message that rests and whose client never heard. Its claim stays as long as the loader has
// a batch under way, for it may be in it, and as long as it is held back.
func (r *rest) lose(m *spool.Message) {
	r.over(m)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loading || r.coming[m.ID] {
		r.lost = append(r.lost, m.ID)
	} else {
		delete(r.claims, m.ID)
	}
}

func (r *rest) over(m *spool.Message) {
	if err := r.e.spool.Over(m); err != nil && !errors.Is(err, spool.ErrOver) {
		r.e.log.Error("end not recorded", zap.String("id", m.ID), zap.Error(err))
	}
}

// withdraw is Withdraw, which Carry follows.
func (r *rest) withdraw(id string) {
	r.mu.Lock()
	c := r.claims[id]
	rests := c != nil && c.rests
	if rests {
		c.gone = true
	}
	r.mu.Unlock()
	if !rests {
		r.e.router.Withdraw(id)
	}
}

// ended counts the end of a message that was worked on, and has the loader look who may come back.
func (r *rest) ended(c *carried) {
	r.e.mu.Lock()
	delivered := c.delivered
	r.e.mu.Unlock()
	r.change(func(q *backlog.Queues, now int64) { q.Ended(now, c.msg.Dst, delivered) })
	if r.resting.Load() > 0 {
		r.rouse()
	}
}
