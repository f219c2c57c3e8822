package daemon

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ravenlink/internal/fleet"
	"ravenlink/internal/keep"
	"ravenlink/internal/kept"
	"ravenlink/internal/purge"
	"ravenlink/internal/relay"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

const (
	noticeFor   = int64(3600_000_000) // µs for which a message to a customer may be delivered
	recallFor   = time.Second         // for recalled messages to end before the recall is reported as not over
	mostCounts  = 256                 // fences whose ends are counted, as many as orders are followed; the lowest gives way
	readyWithin = 2 * time.Second     // a start waits no longer for the fleet's fences
)

// eraser does on this sender what a purge asks for.
type eraser struct {
	p    *Program
	cuts atomic.Pointer[[]fleet.Cuts]

	mu    sync.Mutex                // never held over I/O
	ended map[fence]*relay.EndCount // mostCounts; emptied by higher fences
}

// fence is up to where what a tenant handed in is fenced off.
type fence struct {
	tenant string
	cut    int64
}

// Mark is above all that was taken on so far.
func (e *eraser) Mark() int64 { return e.p.spool.Fence(e.oldMessage) }

// Refuse has what is older than a fence refused from now on.
func (e *eraser) Refuse(all []fleet.Cuts) {
	for _, c := range all {
		if c.Held > 0 {
			e.count(c.Tenant, c.Held)
		}
	}
	e.cuts.Store(&all)
	e.p.spool.Fence(e.oldMessage)
	if e.p.keeper != nil {
		e.p.keeper.Store().Fence(e.oldRecord)
	}
}

func (e *eraser) oldMessage(m *spool.Message) bool {
	return slices.ContainsFunc(*e.cuts.Load(), func(c fleet.Cuts) bool { return m.Taken <= c.Held && c.Tenant.Owns(m.Dst, m.Lane, m.OrderKey) })
}

func (e *eraser) oldRecord(r *kept.Record) bool {
	return slices.ContainsFunc(*e.cuts.Load(), func(c fleet.Cuts) bool { return r.Taken <= c.Kept && c.Tenant.Owns(r.Dst, r.Lane, r.OrderKey) })
}

// giveUp ends what is owed from before a fence, without the decisions hearing of it, and gives the rest.
func (e *eraser) giveUp(owed []*spool.Message) (rest []*spool.Message) {
	for _, m := range owed {
		if m.Ended || !e.oldMessage(m) {
			rest = append(rest, m)
		} else {
			e.p.engine.End(m, 0)
		}
	}
	return rest
}

func owned(t fleet.Tenant, cut int64) func(*spool.Message) bool {
	return func(m *spool.Message) bool { return m.Taken <= cut && t.Owns(m.Dst, m.Lane, m.OrderKey) }
}

// Recall has messages end that are not under way, those that rest on disk first, and waits a while for those that are.
func (e *eraser) Recall(t fleet.Tenant, cut int64) (ended, open int64) {
	match := owned(t, cut)
	count := e.count(t, cut)
	e.p.engine.EndMatching(match, recallFor)
	first, _ := e.p.spool.Owing(match)
	for _, id := range first {
		e.p.router.Recall(id)
	}
	look := time.NewTicker(glance)
	defer look.Stop()
	left := first
	for until := time.Now().Add(recallFor); len(left) > 0 && time.Now().Before(until); left, _ = e.p.spool.Owing(match) {
		<-look.C
	}
	return count.Take(), int64(len(left))
}

// count is what ends up to a fence from the moment in which that is in force. Danger: a recall that counts what it ends itself tells a customer
// of fewer messages than were ended: it stops waiting for a slow disk, and messages meet the fence as they are read back.
func (e *eraser) count(t fleet.Tenant, cut int64) *relay.EndCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := fence{t.Name, cut}
	if e.ended == nil {
		e.ended = map[fence]*relay.EndCount{}
	}
	if e.ended[at] == nil {
		if len(e.ended) >= mostCounts {
			e.stopCounting(slices.MinFunc(slices.Collect(maps.Keys(e.ended)), func(a, b fence) int { return cmp.Compare(a.cut, b.cut) }))
		}
		e.ended[at] = e.p.engine.CountEnds(owned(t, cut))
	}
	return e.ended[at]
}

// counted lets go of a tenant's counts below a cut up to which all is over, but for those with something to tell still.
func (e *eraser) counted(t fleet.Tenant, cut int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for at, c := range e.ended {
		if at.tenant == t.Name && at.cut < cut && !c.Any() {
			e.stopCounting(at)
		}
	}
}

// stopCounting is called with the lock.
func (e *eraser) stopCounting(at fence) {
	e.p.engine.StopCounting(e.ended[at])
	delete(e.ended, at)
}

// spent is what a purge of some kinds finds in the spool: with messages that stay under way left alone, where those are not meant.
func (e *eraser) spent(t fleet.Tenant, k purge.Kinds, cut int64) func(*spool.Message) bool {
	match := owned(t, cut)
	if k&purge.Held != 0 {
		return match
	}
	open, _ := e.p.spool.Owing(match)
	return func(m *spool.Message) bool {
		_, stays := slices.BinarySearch(open, m.ID)
		return !stays && match(m)
	}
}

func records(t fleet.Tenant, cut int64) func(*kept.Record) bool {
	return func(r *kept.Record) bool { return r.Taken <= cut && t.Owns(r.Dst, r.Lane, r.OrderKey) }
}

// Erase has all up to the cut durably gone.
func (e *eraser) Erase(t fleet.Tenant, k purge.Kinds, cut int64) (c purge.Counts, err error) {
	if k&(purge.Held|purge.Kept) == 0 {
		return c, nil
	}
	e.counted(t, cut)
	p, err := e.p.spool.Purge(e.spent(t, k, cut))
	c.Segments, c.Bytes = int64(p.Segments), p.Copied
	if err != nil || k&purge.Kept == 0 {
		return c, err
	}
	err = e.withStore(func(s *keep.Store) error {
		dropped, rewritten, err := s.Purge(records(t, cut))
		c.Kept, c.Bytes = int64(dropped), c.Bytes+rewritten
		return err
	})
	return c, err
}

// Holds reads the files back.
func (e *eraser) Holds(t fleet.Tenant, k purge.Kinds, cut int64) (n int64, err error) {
	if k&(purge.Held|purge.Kept) == 0 {
		return 0, nil
	}
	some, err := e.p.spool.Holds(e.spent(t, k, cut))
	if err != nil || k&purge.Kept == 0 {
		return int64(some), err
	}
	err = e.withStore(func(s *keep.Store) error {
		more, err := s.Holds(records(t, cut))
		some += more
		return err
	})
	return int64(some), err
}

// withStore works on the store of kept messages, also one from a time when some were kept. It is opened for the work alone then.
func (e *eraser) withStore(f func(*keep.Store) error) error {
	if e.p.keeper != nil {
		return f(e.p.keeper.Store())
	}
	if !keep.Exists(e.p.state) {
		return nil
	}
	s, err := keep.Open(e.p.state, 0, 0)
	if err != nil {
		return err
	}
	return errors.Join(f(s), s.Close())
}

// Post hands a message to a customer in, as a client does. One that is with the sender already is no second one.
func (e *eraser) Post(n purge.Notice) error {
	lane, known := e.p.engine.Lane(n.Lane)
	if !known {
		return fmt.Errorf("no lane %q", n.Lane)
	}
	m := &spool.Message{ID: n.ID, Lane: n.Lane, Key: n.ID, Dst: n.Dst, Body: n.Body, Expires: e.p.engine.Now() + noticeFor}
	switch way, _ := e.p.engine.Take(m, lane); way {
	case routing.Held:
		e.p.engine.Carry(m)
	case routing.Twice:
		if !e.p.spool.OwesSame(m) {
			return errors.New("its id is taken on for another message")
		}
	default:
		return errors.New("not taken on just now")
	}
	return nil
}

// await waits until the fleet's fences are known, or for so long.
func (e *eraser) await() { e.p.until(time.Now().Add(readyWithin), e.p.fleet.ready) }

// recallFenced ends what was taken up before its fence was known, where the fleet was joined late.
func (e *eraser) recallFenced() {
	for _, c := range *e.cuts.Load() {
		if c.Held > 0 {
			e.Recall(c.Tenant, c.Held)
		}
	}
}
