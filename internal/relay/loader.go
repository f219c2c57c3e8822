package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/backlog"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// The loader loads spilled messages: one goroutine, woken by ends, by new spilled messages, and when the next spilled message is
// about to expire. Nothing else reads spilled messages.

const maxSleep = int64(3600_000_000) // µs between checks for expiring messages, if none expires sooner

// StartLoader starts the loader. Until Recover it only handles messages that expire. It stops when startCtx ends.
func (e *Engine) StartLoader() {
	if e.backlog != nil {
		e.running.Go(e.backlog.run)
	}
}

// Recover resumes the messages that were pending before the start, in the order of their acceptance. Spilled messages follow,
// through the loader.
func (e *Engine) Recover(pending []*spool.Message) {
	if e.backlog != nil {
		pending = e.backlog.deferOrdered(pending)
	}
	e.ResumeAll(pending)
	if e.backlog != nil {
		e.backlog.mu.Lock()
		e.backlog.recovered = true
		e.backlog.mu.Unlock()
		e.backlog.wakeLoader()
	}
}

// deferOrdered defers messages without a leg whose order key has spilled messages, because an earlier message of that key may be
// spilled. Otherwise a message that was loaded before the restart would overtake one that the process then had in memory only
// and that is spilled now.
func (b *backlogManager) deferOrdered(pending []*spool.Message) (ready []*spool.Message) {
	for _, m := range pending {
		if behind, _ := b.keySpilled(m); !behind || m.Ended || len(m.Legs) > 0 {
			ready = append(ready, m)
			continue
		}
		b.withQueues(func(q *backlog.Queues, now int64) {
			b.deferred = append(b.deferred, m)
			b.addLoading(m)
			q.AddLoading(now, m.Dst)
		})
	}
	return ready
}

// EndBacklogged ends all matching spilled messages in the usual way, and reports whether all of them have ended. It stops
// waiting after the given time, while the loader continues. EndCounters registered by CountEnds also count what ends later.
func (e *Engine) EndBacklogged(match func(*spool.Message) bool, within time.Duration) (done bool) {
	if e.BacklogSize() == 0 {
		return true
	}
	request := &endRequest{match: match, done: make(chan struct{})}
	timeout := time.NewTimer(within)
	defer timeout.Stop()
	select {
	case e.backlog.endRequests <- request:
	case <-timeout.C:
		return false
	}
	select {
	case <-request.done:
		return true
	case <-timeout.C:
		return false
	}
}

func (b *backlogManager) run() {
	startCtx := b.engine.startCtx
	timer := time.NewTimer(0)
	defer timer.Stop()
	var request *endRequest
	for startCtx.Err() == nil {
		select {
		case <-startCtx.Done():
			return
		case <-b.wake:
		case <-timer.C:
		case request = <-b.endRequests:
		}
		for more := true; more && startCtx.Err() == nil; {
			more = b.step(&request)
		}
		b.logState()
		timer.Reset(b.sleepTime(request))
	}
}

// sleepTime returns how long the loader sleeps without a signal. Whoever spills a message that expires sooner wakes it; while
// sleepTime asks the spool, any spilled message does. Otherwise the end of a message spilled between the question and the
// publication of its answer would be reported late.
func (b *backlogManager) sleepTime(request *endRequest) time.Duration {
	b.nextWake.Store(math.MaxInt64)
	now := b.engine.Now()
	at := min(b.engine.spool.NextExpiry()-backlog.ExpiryLead, now+maxSleep)
	if at <= now || request != nil { // the loader waits for the platform or the disk
		at = now + pollInterval.Microseconds()
	}
	if b.readAfter > now {
		at = min(at, b.readAfter)
	}
	b.nextWake.Store(at)
	return time.Duration(at-now) * time.Microsecond
}

// step does a bounded part of each kind of work: expiring messages, an end request, the turn of one destination. It reports
// whether there is more.
func (b *backlogManager) step(request **endRequest) (more bool) {
	b.loadEnabled = b.loadEnabled || b.isRecovered()
	if b.loadEnabled && b.engine.Now() >= b.readAfter {
		b.resumeDeferred()
	}
	more = b.loadDue()
	if *request == nil {
		select {
		case *request = <-b.endRequests:
		default:
		}
	}
	if *request != nil && b.mayNotify() {
		if b.endSome(*request) {
			more = true
		} else {
			close((*request).done)
			*request = nil
		}
	}
	return b.loadNext() || more
}

func (b *backlogManager) isRecovered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recovered
}

func (b *backlogManager) mayNotify() bool { return b.pendingNotices() < maxPendingNotices }

// read runs a read of the loader, and lets hand-ins of order keys know of it. After a failure, which may still return messages,
// nothing is read for a while, longer each time.
func (b *backlogManager) read(f func() ([]*spool.Message, error)) (ms []*spool.Message, fine bool) {
	b.mu.Lock()
	b.batchOpen, b.reading = true, true
	b.mu.Unlock()
	ms, err := f()
	b.setReadBackoff(err)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	for _, m := range ms {
		b.addLoading(m)
	}
	return ms, err == nil
}

// setReadBackoff sets the time until which nothing is read after an error.
func (b *backlogManager) setReadBackoff(err error) {
	if err == nil {
		b.readBackoff, b.readAfter = 0, 0
		return
	}
	b.engine.log.Error("what rests cannot be read", zap.Error(err))
	b.readBackoff = min(max(minReadBackoff, 2*b.readBackoff), maxReadBackoff)
	b.readAfter = b.engine.Now() + b.readBackoff
}

// addLoading and removeLoading are called with the lock held.
func (b *backlogManager) addLoading(m *spool.Message) {
	b.loadingIDs[m.ID] = true
	if b.ordered && m.OrderKey != "" {
		b.loadingKeys[m.OrderKey]++
	}
}

func (b *backlogManager) removeLoading(m *spool.Message) {
	delete(b.loadingIDs, m.ID)
	if !b.ordered || m.OrderKey == "" {
		return
	}
	if b.loadingKeys[m.OrderKey]--; b.loadingKeys[m.OrderKey] <= 0 {
		delete(b.loadingKeys, m.OrderKey)
	}
}

// closeBatch ends a batch.
func (b *backlogManager) closeBatch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.batchOpen = false
	b.withdrawnClaims = slices.DeleteFunc(b.withdrawnClaims, func(id string) bool {
		if !b.loadingIDs[id] {
			delete(b.claims, id)
		}
		return !b.loadingIDs[id]
	})
	b.updateSize()
}

// loadDue reads messages that are about to expire. Those that the decision module has room for are submitted to it; the others
// end here as the module would end them, because they certainly never ran. The module would reject other messages in their place
// when it holds too many.
func (b *backlogManager) loadDue() (more bool) {
	e := b.engine
	before := e.Now() + backlog.ExpiryLead
	if e.spool.NextExpiry() >= before || !b.mayNotify() || e.Now() < b.readAfter {
		return false
	}
	ms, _ := b.read(func() ([]*spool.Message, error) { return e.spool.LoadExpiring(before, backlog.MaxDueBatch) })
	defer b.closeBatch()
	b.countLoadedEarly(ms)
	slices.SortStableFunc(ms, byAcceptance)
	e.BacklogStats.Due.Add(int64(len(ms)))
	capacity, submit := b.freeCapacity(), ms[:0:0]
	for _, m := range ms {
		if behind, _ := b.keySpilled(m); len(submit) < capacity && !behind { // otherwise it would overtake spilled messages of its key
			submit = append(submit, m)
			continue
		}
		e.BacklogStats.Rejected.Add(1)
		b.reject(m)
	}
	b.activate(submit)
	return len(ms) == backlog.MaxDueBatch
}

// freeCapacity is the number of messages that may be submitted to the module ahead of the turns of their destinations.
func (b *backlogManager) freeCapacity() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.loadEnabled {
		return 0
	}
	return b.queues.FreeCapacity()
}

func (b *backlogManager) countLoadedEarly(ms []*spool.Message) {
	b.withQueues(func(q *backlog.Queues, now int64) {
		for _, m := range ms {
			q.LoadedEarly(now, m.Dst)
		}
	})
}

// loadNext loads messages of the destination whose turn it is.
func (b *backlogManager) loadNext() (more bool) {
	var dst int64
	var n int
	b.withQueues(func(q *backlog.Queues, now int64) {
		if b.loadEnabled && now >= b.readAfter {
			dst, n = q.Next(now)
		}
	})
	if n == 0 {
		return false
	}
	ms, fine := b.read(func() ([]*spool.Message, error) { return b.engine.spool.Load(dst, n) })
	defer b.closeBatch()
	b.engine.BacklogStats.Loaded.Add(int64(len(ms)))
	b.withQueues(func(q *backlog.Queues, now int64) {
		if fine {
			q.Missing(now, dst, n-len(ms))
		} else { // messages that are gone for good are found missing at the next turn
			q.LoadFailed(now, dst, n-len(ms))
		}
	})
	b.activate(b.withPredecessors(ms, false))
	return true
}

// withPredecessors adds the earlier spilled messages of the same order keys, in the order of acceptance. The oldest messages of
// a destination have no predecessors there, but may have some at others.
func (b *backlogManager) withPredecessors(ms []*spool.Message, here bool) []*spool.Message {
	latest := map[string]int64{}
	for _, m := range ms {
		if spilled, elsewhere := b.keySpilled(m); elsewhere || spilled && here {
			latest[m.OrderKey] = max(latest[m.OrderKey], m.AcceptSeq)
		}
	}
	if len(latest) == 0 {
		return ms
	}
	match := func(m *spool.Message) bool { return m.OrderKey != "" && m.AcceptSeq < latest[m.OrderKey] }
	for {
		more, fine := b.read(func() ([]*spool.Message, error) { return b.engine.spool.LoadMatching(match, backlog.MaxDueBatch) })
		b.countLoadedEarly(more)
		ms = append(ms, more...)
		if !fine { // some predecessors may not have been read
			b.deferred = append(b.deferred, ms...)
			return nil
		}
		if len(more) < backlog.MaxDueBatch {
			break
		}
	}
	slices.SortStableFunc(ms, byAcceptance)
	return ms
}

// byAcceptance compares by the order of acceptance. Submitted in another order, messages of a key would change places.
func byAcceptance(a, b *spool.Message) int { return cmp.Compare(a.AcceptSeq, b.AcceptSeq) }

// resumeDeferred submits the deferred messages, after the spilled ones of their keys.
func (b *backlogManager) resumeDeferred() {
	if len(b.deferred) == 0 {
		return
	}
	b.mu.Lock()
	ms := b.deferred
	b.deferred, b.batchOpen = nil, true
	b.mu.Unlock()
	defer b.closeBatch()
	b.activate(b.withPredecessors(ms, true))
}

// endSome ends some of the spilled messages that match, and reports whether there are more.
func (b *backlogManager) endSome(request *endRequest) (more bool) {
	if b.engine.Now() < b.readAfter {
		return false
	}
	ms, _ := b.read(func() ([]*spool.Message, error) {
		return b.engine.spool.LoadMatching(request.match, backlog.MaxDueBatch)
	})
	defer b.closeBatch()
	b.countLoadedEarly(ms)
	for _, m := range ms {
		b.reject(m)
	}
	return len(ms) == backlog.MaxDueBatch
}

// activate submits loaded messages to the decision module, as accepted and in one turn. The fence of a purge may come after a
// message was read and before the module has it, when neither would find it, so the fence is checked before and after.
func (b *backlogManager) activate(ms []*spool.Message) {
	e := b.engine
	var pending []routing.Message
	var known []*spool.Message
	for _, m := range ms {
		class, exists := e.router.Class(m.Class)
		switch {
		case b.isWithdrawn(m):
			b.complete(m)
			b.setEnded(m)
		case b.fenced(m):
			b.reject(m)
		case !exists:
			b.setEnded(m)
			e.undelivered(&delivery{msg: m}, false, 0)
		default:
			o := routingMessage(m, class)
			o.Accepted = true
			pending, known = append(pending, o), append(known, m)
		}
	}
	if len(pending) == 0 {
		return
	}
	for i, f := range e.router.AddAll(pending) {
		b.applyAdmission(known[i], f)
	}
}

// applyAdmission delivers a message that the decision module holds, or ends one that it did not accept.
func (b *backlogManager) applyAdmission(m *spool.Message, f routing.Admission) {
	e := b.engine
	if f.Disposition != routing.Held {
		b.setEnded(m)
		e.undelivered(&delivery{msg: m}, f.Disposition != routing.Failed, f.RetryAfter)
		return
	}
	switch deliver, abandoned := b.setActive(m); {
	case abandoned:
		e.router.Withdraw(m.ID)
		e.deliver(m)
	case deliver:
		e.deliver(m)
	}
	if b.fenced(m) {
		e.router.Recall(m.ID)
	}
}

func (b *backlogManager) fenced(m *spool.Message) bool {
	return b.engine.Fenced != nil && b.engine.Fenced(m)
}

// isWithdrawn reports whether the client of a message was never told of its acceptance.
func (b *backlogManager) isWithdrawn(m *spool.Message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.claims[m.ID]
	return c != nil && c.withdrawn
}

// setActive reports that the decision module has a message, and returns whether it is to be delivered: not if its client has no
// answer yet, because Deliver follows. abandoned: its client was never answered and nobody else will withdraw the message, which
// would keep its slot for ever.
func (b *backlogManager) setActive(m *spool.Message) (deliver, abandoned bool) {
	b.withQueues(func(q *backlog.Queues, now int64) {
		b.removeLoading(m)
		q.Activated(now, m.Dst)
		if c := b.claims[m.ID]; c != nil {
			c.loaded, abandoned = m, c.abandoned
		} else {
			deliver = true
		}
	})
	return deliver, abandoned
}

// setEnded reports that a loading message has ended.
func (b *backlogManager) setEnded(m *spool.Message) {
	b.withQueues(func(q *backlog.Queues, now int64) {
		b.removeLoading(m)
		q.EndedLoading(now, m.Dst)
		if c := b.claims[m.ID]; c != nil {
			c.ended = true
		}
	})
}

// reject ends a loaded message without the decision module: rejected, because it never ran. Its key waits until its end is
// reported, as usual.
func (b *backlogManager) reject(m *spool.Message) {
	e := b.engine
	if class, known := e.router.Class(m.Class); known && b.ordered && m.OrderKey != "" {
		ended := routingMessage(m, class)
		ended.EndUnreported = true
		e.router.AddAll([]routing.Message{ended})
	}
	e.AbandonStored(m, e.router.RetryAfter())
	b.setEnded(m)
}

// logState logs when messages are spilled, and when none are any more.
func (b *backlogManager) logState() {
	n := b.size.Load()
	switch {
	case n > 0 && !b.logged:
		b.engine.log.Info("messages rest on disk", zap.Int64("resting", n))
	case n == 0 && b.logged:
		b.engine.log.Info("no message rests on disk any more")
	}
	b.logged = n > 0
}
