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

// The loader brings back what rests: one goroutine, woken by ends, by what is written down, and by the time at which the next message that
// rests runs out of time. Only it reads from what rests.

const longestLook = int64(3600_000_000) // µs between looks for what is due, where nothing is for longer

// Load sets the loader going. Until Recover it only sees to messages whose time ends. It stops when picking ends.
func (e *Engine) Load() {
	if e.rest != nil {
		e.running.Go(e.rest.run)
	}
}

// Recover takes up what the sender owed before its start, in the order in which it was taken on. What rests comes behind, by the loader.
func (e *Engine) Recover(owed []*spool.Message) {
	e.printAll(owed)
	if e.rest != nil {
		owed = e.rest.holdBack(owed)
	}
	e.ResumeAll(owed)
	if e.rest != nil {
		e.rest.mu.Lock()
		e.rest.open = true
		e.rest.mu.Unlock()
		e.rest.rouse()
	}
}

// holdBack keeps what has no leg and whose key rests from the decisions for now: an earlier message of that key may rest. Danger: one that
// was read before the restart passes one that the process then had in memory only, and that rests now.
func (r *rest) holdBack(owed []*spool.Message) (rest []*spool.Message) {
	for _, m := range owed {
		if behind, _ := r.key(m); !behind || m.Ended || len(m.Legs) > 0 {
			rest = append(rest, m)
			continue
		}
		r.change(func(q *backlog.Queues, now int64) {
			r.back = append(r.back, m)
			r.onItsWay(m)
			q.Back(now, m.Dst)
		})
	}
	return rest
}

// EndMatching ends all that rests and matches, by the usual path, and tells whether all of it is ended; it gives up waiting after so long, while
// the loader goes on. CountEnds counts what it ends, also then.
func (e *Engine) EndMatching(match func(*spool.Message) bool, within time.Duration) (done bool) {
	if e.Resting() == 0 {
		return true
	}
	j := &job{match: match, done: make(chan struct{})}
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case e.rest.jobs <- j:
	case <-late.C:
		return false
	}
	select {
	case <-j.done:
		return true
	case <-late.C:
		return false
	}
}

func (r *rest) run() {
	picking := r.e.picking
	timer := time.NewTimer(0)
	defer timer.Stop()
	var under *job
	for picking.Err() == nil {
		select {
		case <-picking.Done():
			return
		case <-r.wake:
		case <-timer.C:
		case under = <-r.jobs:
		}
		for more := true; more && picking.Err() == nil; {
			more = r.step(&under)
		}
		r.say()
		timer.Reset(r.nextLook(under))
	}
}

// nextLook is when the loader has to look again though nothing wakes it. Whoever writes a message down that is due sooner wakes it; while
// it asks, any does. Danger: one written down between the question and its answer's being known would be told late.
func (r *rest) nextLook(under *job) time.Duration {
	r.looks.Store(math.MaxInt64)
	now := r.e.Now()
	at := min(r.e.spool.NextDue()-backlog.Lead, now+longestLook)
	if at <= now || under != nil { // it is held up by the platform, or by the disk
		at = now + glance.Microseconds()
	}
	if r.pause > now {
		at = min(at, r.pause)
	}
	r.looks.Store(at)
	return time.Duration(at-now) * time.Microsecond
}

// step does a bounded part of each kind of work: what runs out of time, a job, one destination's turn. It tells whether there is more.
func (r *rest) step(under **job) (more bool) {
	r.opened = r.opened || r.mayOpen()
	if r.opened && r.e.Now() >= r.pause {
		r.bringBack()
	}
	more = r.due()
	if *under == nil {
		select {
		case *under = <-r.jobs:
		default:
		}
	}
	if *under != nil && r.mayTell() {
		if r.work(*under) {
			more = true
		} else {
			close((*under).done)
			*under = nil
		}
	}
	return r.turn() || more
}

func (r *rest) mayOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

func (r *rest) mayTell() bool { return r.untold() < mostUntold }

// read has the loader read, and has hand-ins of keys know it. After a failure, beside which there may be messages, nothing is read for a
// while, longer each time.
func (r *rest) read(f func() ([]*spool.Message, error)) (ms []*spool.Message, fine bool) {
	r.mu.Lock()
	r.loading, r.reading = true, true
	r.mu.Unlock()
	ms, err := f()
	r.failed(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading = false
	for _, m := range ms {
		r.onItsWay(m)
	}
	return ms, err == nil
}

// failed says until when nothing is read.
func (r *rest) failed(err error) {
	if err == nil {
		r.again, r.pause = 0, 0
		return
	}
	r.e.log.Error("what rests cannot be read", zap.Error(err))
	r.again = min(max(readFirst, 2*r.again), readMost)
	r.pause = r.e.Now() + r.again
}

// onItsWay and arrived are called with the lock.
func (r *rest) onItsWay(m *spool.Message) {
	r.coming[m.ID] = true
	if r.keyed && m.OrderKey != "" {
		r.keys[m.OrderKey]++
	}
}

func (r *rest) arrived(m *spool.Message) {
	delete(r.coming, m.ID)
	if !r.keyed || m.OrderKey == "" {
		return
	}
	if r.keys[m.OrderKey]--; r.keys[m.OrderKey] <= 0 {
		delete(r.keys, m.OrderKey)
	}
}

// done ends a batch.
func (r *rest) done() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loading = false
	r.lost = slices.DeleteFunc(r.lost, func(id string) bool {
		if !r.coming[id] {
			delete(r.claims, id)
		}
		return !r.coming[id]
	})
	r.counted()
}

// due reads what is about to run out of time. What the module has room for goes to it, and it ends it in its way; the rest ends here, as
// the module would end it, for it surely never ran. Danger: the module pushes back other messages than these when it holds too many.
func (r *rest) due() (more bool) {
	e := r.e
	before := e.Now() + backlog.Lead
	if e.spool.NextDue() >= before || !r.mayTell() || e.Now() < r.pause {
		return false
	}
	ms, _ := r.read(func() ([]*spool.Message, error) { return e.spool.LoadDue(before, backlog.DueMost) })
	defer r.done()
	r.called(ms)
	slices.SortStableFunc(ms, taken)
	e.Backlogged.Due.Add(int64(len(ms)))
	room, may := r.room(), ms[:0:0]
	for _, m := range ms {
		if behind, _ := r.key(m); len(may) < room && !behind { // else it would pass what rests of its key
			may = append(may, m)
			continue
		}
		e.Backlogged.Rejected.Add(1)
		r.end(m)
	}
	r.takeUp(may)
	return len(ms) == backlog.DueMost
}

// room is how many may go to the module before their destinations' turns.
func (r *rest) room() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.opened {
		return 0
	}
	return r.queues.Room()
}

func (r *rest) called(ms []*spool.Message) {
	r.change(func(q *backlog.Queues, now int64) {
		for _, m := range ms {
			q.Called(now, m.Dst)
		}
	})
}

// turn brings back messages of the destination whose turn it is.
func (r *rest) turn() (more bool) {
	var dst int64
	var n int
	r.change(func(q *backlog.Queues, now int64) {
		if r.opened && now >= r.pause {
			dst, n = q.Next(now)
		}
	})
	if n == 0 {
		return false
	}
	ms, fine := r.read(func() ([]*spool.Message, error) { return r.e.spool.Load(dst, n) })
	defer r.done()
	r.e.Backlogged.Loaded.Add(int64(len(ms)))
	r.change(func(q *backlog.Queues, now int64) {
		if fine {
			q.Missed(now, dst, n-len(ms))
		} else { // what is gone for good is found to be missing at the next turn
			q.Unread(now, dst, n-len(ms))
		}
	})
	r.takeUp(r.withEarlier(ms, false))
	return true
}

// withEarlier adds what came before these and rests, of the same keys, in the order in which all were taken on. What is the oldest of its
// destination has nothing in front of it there, but at others.
func (r *rest) withEarlier(ms []*spool.Message, here bool) []*spool.Message {
	latest := map[string]int64{}
	for _, m := range ms {
		if rests, elsewhere := r.key(m); elsewhere || rests && here {
			latest[m.OrderKey] = max(latest[m.OrderKey], m.Taken)
		}
	}
	if len(latest) == 0 {
		return ms
	}
	match := func(m *spool.Message) bool { return m.OrderKey != "" && m.Taken < latest[m.OrderKey] }
	for {
		more, fine := r.read(func() ([]*spool.Message, error) { return r.e.spool.LoadMatching(match, backlog.DueMost) })
		r.called(more)
		ms = append(ms, more...)
		if !fine { // some in front of them may not have been read
			r.back = append(r.back, ms...)
			return nil
		}
		if len(more) < backlog.DueMost {
			break
		}
	}
	slices.SortStableFunc(ms, taken)
	return ms
}

// taken compares by the order in which messages were taken on. Danger: given to the decisions in another one, those of a key change places.
func taken(a, b *spool.Message) int { return cmp.Compare(a.Taken, b.Taken) }

// bringBack takes up what was held back, behind what rests of its keys.
func (r *rest) bringBack() {
	if len(r.back) == 0 {
		return
	}
	r.mu.Lock()
	ms := r.back
	r.back, r.loading = nil, true
	r.mu.Unlock()
	defer r.done()
	r.takeUp(r.withEarlier(ms, true))
}

// work ends a part of what rests and matches; it tells whether there is more.
func (r *rest) work(j *job) (more bool) {
	if r.e.Now() < r.pause {
		return false
	}
	ms, _ := r.read(func() ([]*spool.Message, error) { return r.e.spool.LoadMatching(j.match, backlog.DueMost) })
	defer r.done()
	r.called(ms)
	for _, m := range ms {
		r.end(m)
	}
	return len(ms) == backlog.DueMost
}

// takeUp gives what was read to the decisions, as owed and in one turn. Danger: a purge's fence may come between its being read and the
// decisions' having it, when neither finds it; so it is looked at before and after.
func (r *rest) takeUp(ms []*spool.Message) {
	e := r.e
	var owed []routing.Message
	var known []*spool.Message
	for _, m := range ms {
		lane, is := e.router.Lane(m.Lane)
		switch {
		case r.isGone(m):
			r.over(m)
			r.gone(m)
		case r.fenced(m):
			r.end(m)
		case !is:
			r.gone(m)
			e.undelivered(&carried{msg: m}, false, 0)
		default:
			o := message(m, lane)
			o.Owed = true
			owed, known = append(owed, o), append(known, m)
		}
	}
	if len(owed) == 0 {
		return
	}
	for i, f := range e.router.TakeAll(owed) {
		r.fate(known[i], f)
	}
}

// fate carries a message that the decisions hold, or ends one that they did not take.
func (r *rest) fate(m *spool.Message, f routing.Fate) {
	e := r.e
	if f.Way != routing.Held {
		r.gone(m)
		e.undelivered(&carried{msg: m}, f.Way != routing.Failed, f.Advice)
		return
	}
	switch carry, left := r.returned(m); {
	case left:
		e.router.Withdraw(m.ID)
		e.carry(m)
	case carry:
		e.carry(m)
	}
	if r.fenced(m) {
		e.router.Recall(m.ID)
	}
}

func (r *rest) fenced(m *spool.Message) bool { return r.e.Fenced != nil && r.e.Fenced(m) }

// isGone tells whether its client never heard that it was taken on.
func (r *rest) isGone(m *spool.Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.claims[m.ID]
	return c != nil && c.gone
}

// returned says that the decisions have a message, and tells whether it is to be carried: not where its client has no answer yet, and Carry
// follows. left: its client never heard, and nobody else will withdraw it. Danger: its slot would be taken for ever.
func (r *rest) returned(m *spool.Message) (carry, left bool) {
	r.change(func(q *backlog.Queues, now int64) {
		r.arrived(m)
		q.Returned(now, m.Dst)
		if c := r.claims[m.ID]; c != nil {
			c.returned, left = m, c.left
		} else {
			carry = true
		}
	})
	return carry, left
}

// gone says that a message on its way back has its end.
func (r *rest) gone(m *spool.Message) {
	r.change(func(q *backlog.Queues, now int64) {
		r.arrived(m)
		q.Gone(now, m.Dst)
		if c := r.claims[m.ID]; c != nil {
			c.ended = true
		}
	})
}

// end ends one that was read, without the decisions: pushed back, for it never ran. Its key waits until its end is known, as ever.
func (r *rest) end(m *spool.Message) {
	e := r.e
	if lane, known := e.router.Lane(m.Lane); known && r.keyed && m.OrderKey != "" {
		ended := message(m, lane)
		ended.Unheard = true
		e.router.TakeAll([]routing.Message{ended})
	}
	e.End(m, e.router.ComeBackIn())
	r.gone(m)
}

// say logs that something rests, and that nothing does any more.
func (r *rest) say() {
	n := r.resting.Load()
	switch {
	case n > 0 && !r.said:
		r.e.log.Info("messages rest on disk", zap.Int64("resting", n))
	case n == 0 && r.said:
		r.e.log.Info("no message rests on disk any more")
	}
	r.said = n > 0
}
