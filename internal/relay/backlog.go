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

// BacklogStats counts events of the backlog since the start.
type BacklogStats struct {
	Spilled  atomic.Int64 // hand-ins spilled to disk
	Loaded   atomic.Int64 // messages loaded in the turn of their destination
	Due      atomic.Int64 // messages read because they were about to expire
	Rejected atomic.Int64 // of these, ended without being submitted to the decision module
}

// backlogManager connects the engine to the backlog: it asks the queues on each hand-in, and its loader loads spilled messages.
type backlogManager struct {
	engine         *Engine
	ordered        bool       // whether a traffic class is ordered
	pendingNotices func() int // counts ends that the platform has not been notified of

	mu              sync.Mutex // never held during I/O
	queues          *backlog.Queues
	claims          map[string]*claim // by id; hand-ins whose clients have no answer yet, at most one for each client; deleted by Deliver
	loadingIDs      map[string]bool   // ids of loading messages, as many as a step reads and a start defers; deleted as they are submitted
	loadingKeys     map[string]int    // their order keys
	batchOpen       bool              // the loader has a batch open,
	reading         bool              // and is reading it: its messages are not known yet
	withdrawnClaims []string          // claims that the open batch may contain; as many as it reads or clients have; emptied when it is closed
	recovered       bool              // pending messages from before the start have been resumed: turns may begin

	size        atomic.Int64 // spilled messages, by the queues
	nextWake    atomic.Int64 // µs; when the loader wakes next without a signal
	wake        chan struct{}
	endRequests chan *endRequest
	loadEnabled bool             // recovered, as the loader has seen it; used by the loader only
	deferred    []*spool.Message // wait for unread predecessors of their keys, after the start or a failed read; emptied by the next step
	readAfter   int64            // µs; nothing is read before, after a disk failure; used by the loader only
	readBackoff int64            // µs; the last delay, 0 for none; used by the loader only
	logged      bool             // that messages are spilled; used by the loader only
}

// claim is a hand-in whose client has no answer yet.
type claim struct {
	spilled   bool           // it was spilled
	withdrawn bool           // its client was never answered,
	abandoned bool           // and Deliver has been called for it
	ended     bool           // it was loaded and has ended
	loaded    *spool.Message // it was loaded and is with the decision module
}

// endRequest asks to end all matching spilled messages.
type endRequest struct {
	match func(*spool.Message) bool
	done  chan struct{}
}

const (
	maxPendingNotices = 4096                  // ends waiting for the platform, which are in memory; beyond this, no more messages are read to be ended
	minReadBackoff    = int64(10_000)         // µs until the disk is read again after a failure, doubled with each further one up to maxReadBackoff
	maxReadBackoff    = int64(1_000_000)      // µs
	pollInterval      = 10 * time.Millisecond // between checks while the loader waits for the platform
)

// EnableBacklog spills messages to disk that exceed what the decision module can process. It must be called before any message
// is accepted. ordered reports whether a traffic class is ordered; pendingNotices counts ends that the platform has not been
// notified of.
func (e *Engine) EnableBacklog(b backlog.Limits, ordered bool, pendingNotices func() int) {
	e.backlog = &backlogManager{engine: e, ordered: ordered, pendingNotices: pendingNotices, queues: backlog.New(b), claims: map[string]*claim{}, loadingIDs: map[string]bool{},
		loadingKeys: map[string]int{}, wake: make(chan struct{}, 1), endRequests: make(chan *endRequest, 1)}
	if !ordered {
		e.spool.DisableKeyCounts()
	}
	now := e.Now()
	for _, dst := range e.spool.SpilledDestinations() {
		e.backlog.queues.AddSpilled(now, dst, e.spool.SpilledCount(dst))
	}
	e.backlog.updateSize()
}

// BacklogSize counts the spilled messages.
func (e *Engine) BacklogSize() int64 {
	if e.backlog == nil {
		return 0
	}
	return e.backlog.size.Load()
}

// updateSize publishes the count for readers without the lock. The lock is held.
func (b *backlogManager) updateSize() { b.size.Store(int64(b.queues.Spilled())) }

// withQueues runs f on the queues under the lock.
func (b *backlogManager) withQueues(f func(q *backlog.Queues, now int64)) {
	now := b.engine.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.queues, now)
	b.updateSize()
}

func (b *backlogManager) wakeLoader() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// accept is Accept with a backlog.
func (b *backlogManager) accept(m *spool.Message, class int) (routing.Disposition, int64) {
	e := b.engine
	if !b.claim(m.ID) {
		return routing.Duplicate, 0
	}
	decision := b.admit(m)
	disposition, retryAfter := routing.Rejected, int64(0)
	switch decision {
	case backlog.Activate:
		disposition, retryAfter = e.admit(m, class)
		if disposition != routing.Held {
			b.withQueues(func(q *backlog.Queues, now int64) { q.ActivationRefused(now, m.Dst) })
		}
	case backlog.Spill:
		disposition, retryAfter = b.spill(m)
	default:
		retryAfter = e.router.RetryAfter()
	}
	if disposition != routing.Held {
		b.release(m.ID)
	}
	return disposition, retryAfter
}

// claim reserves an id for a hand-in until its client is answered. It fails if another hand-in has the id or a message with it
// is loading. Duplicates of spilled and active messages are found by the spool and the decision module.
func (b *backlogManager) claim(id string) bool {
	b.mu.Lock()
	reading, free := b.reading, b.claims[id] == nil && !b.loadingIDs[id]
	if free {
		b.claims[id] = &claim{}
	}
	b.mu.Unlock()
	if free && reading && b.engine.spool.Has(id) {
		b.release(id)
		free = false
	}
	return free
}

func (b *backlogManager) release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.claims, id)
}

// admit asks the queues. An unknown destination goes to the decision module, which rejects it, or is rejected here.
func (b *backlogManager) admit(m *spool.Message) (decision backlog.Decision) {
	keySpilled, _ := b.keySpilled(m) // checked first: the loader may read it in between
	known := false
	b.withQueues(func(q *backlog.Queues, now int64) {
		known = q.Has(m.Dst)
		keySpilled = keySpilled || b.ordered && m.OrderKey != "" && (b.reading || b.loadingKeys[m.OrderKey] > 0)
		if decision = q.Admit(now, m.Dst, m.Expires, keySpilled); decision == backlog.Spill {
			b.claims[m.ID].spilled = true
		}
	})
	if decision == backlog.Spill && !known && !b.engine.router.HasReceiver(m.Dst) {
		b.withQueues(func(q *backlog.Queues, now int64) { q.Recorded(now, m.Dst, false) })
		decision = backlog.Reject
	}
	return decision
}

// keySpilled reports whether a message of the same order key is spilled, and whether one may be spilled at another destination.
func (b *backlogManager) keySpilled(m *spool.Message) (spilled, elsewhere bool) {
	if !b.ordered || m.OrderKey == "" || b.size.Load() == 0 {
		return false, false
	}
	return b.engine.spool.HasSpilledKey(m.OrderKey, m.Dst)
}

// spill writes a message to disk. Without an error its end is due.
func (b *backlogManager) spill(m *spool.Message) (routing.Disposition, int64) {
	e := b.engine
	err := error(spool.ErrDuplicate)
	if !e.IsActive(m.ID) {
		err = e.spool.Spill(m)
	}
	mayLoad := false
	b.withQueues(func(q *backlog.Queues, now int64) { mayLoad = q.Recorded(now, m.Dst, err == nil) })
	if err != nil {
		return e.storeFailed(err)
	}
	e.Stats.Accepted.Add(1)
	e.BacklogStats.Spilled.Add(1)
	if mayLoad || m.Expires-backlog.ExpiryLead < b.nextWake.Load() {
		b.wakeLoader()
	}
	return routing.Held, 0
}

// deliver is Deliver with a backlog: a spilled hand-in is delivered after it was loaded, and one that was loaded before its
// client was answered is delivered from now on.
func (b *backlogManager) deliver(m *spool.Message) {
	b.mu.Lock()
	c := b.claims[m.ID]
	if c == nil { // pending from before the start
		b.queues.AddActive(b.engine.Now(), m.Dst)
		b.updateSize()
		b.mu.Unlock()
		b.engine.deliver(m)
		return
	}
	lost := c.spilled && c.withdrawn && c.loaded == nil && !c.ended
	if c.abandoned = lost; !lost {
		delete(b.claims, m.ID)
	}
	b.mu.Unlock()
	switch {
	case !c.spilled:
		b.engine.deliver(m)
	case lost:
		b.dropWithdrawn(m)
	case c.loaded != nil:
		if c.withdrawn {
			b.engine.router.Withdraw(m.ID)
		}
		b.engine.deliver(c.loaded)
	}
}

// dropWithdrawn records that nothing is due for a spilled message whose client was never answered. Its claim stays while the
// loader has a batch open, which may contain it, and while the message is deferred.
func (b *backlogManager) dropWithdrawn(m *spool.Message) {
	b.complete(m)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.batchOpen || b.loadingIDs[m.ID] {
		b.withdrawnClaims = append(b.withdrawnClaims, m.ID)
	} else {
		delete(b.claims, m.ID)
	}
}

func (b *backlogManager) complete(m *spool.Message) {
	if err := b.engine.spool.Complete(m); err != nil && !errors.Is(err, spool.ErrNotPending) {
		b.engine.log.Error("end not recorded", zap.String("id", m.ID), zap.Error(err))
	}
}

// withdraw is Withdraw with a backlog; Deliver follows.
func (b *backlogManager) withdraw(id string) {
	b.mu.Lock()
	c := b.claims[id]
	spilled := c != nil && c.spilled
	if spilled {
		c.withdrawn = true
	}
	b.mu.Unlock()
	if !spilled {
		b.engine.router.Withdraw(id)
	}
}

// ended counts the end of an active message, and has the loader check which messages may be loaded.
func (b *backlogManager) ended(c *delivery) {
	b.engine.mu.Lock()
	delivered := c.delivered
	b.engine.mu.Unlock()
	b.withQueues(func(q *backlog.Queues, now int64) { q.Ended(now, c.msg.Dst, delivered) })
	if b.size.Load() > 0 {
		b.wakeLoader()
	}
}
