// Package fleet runs the decision modules of the fleet: shared tables under ranked locks, a pool of workers over them, a timer for each,
// and letters between them and the links. The message loop asks the tables and never waits for a link.
package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/fleetlog"
	"ravenlink/internal/links"
	"ravenlink/internal/routing"
)

const (
	workers   = 4                      // beside the message loop's own goroutines; more gain nothing on the cores that a sender has
	places    = 512                    // of work waiting for one worker; what finds none is lost, as a letter on the way may be
	tickEvery = 20 * time.Millisecond  // a twelfth of the usual beat, and half of the least time between two asks for a share
	sayEvery  = 10 * time.Second       // between lines of counts
	gateWait  = 300 * time.Millisecond // for a share to be earned: as much of the rate as the module lets go at once
	gateLook  = 5 * time.Millisecond
	badNamed  = 256 // lines in the log on letters that could not be read, by sender and kind
)

// Runtime is one sender's part in its fleet.
type Runtime struct {
	log    *zap.Logger
	table  Table
	module Module
	clock  func() time.Duration // monotonic, since the start
	id     fleetlog.Identity
	store  *fleetlog.Log
	links  *links.Links
	pool   *Pool
	counts *counts

	watch    *watch
	limits   *limits  // nil where each sender keeps to limits alone
	hearsay  *hearsay // nil where each sender goes by its own sight
	purging  *purging // nil where no orders are taken
	parts    map[links.Kind]Part
	ordering *Ordering // nil where there are no channels
	order    []Part    // the same, in the order in which they tick

	apart   bool // limits that are told are a route's, not a destination's
	told    told
	namedMu sync.Mutex // a leaf
	named   map[string]bool
}

// Open takes up the fleet's log in the state folder and binds the address where this sender is heard. Nothing is sent before Run, which has
// to follow. An error means that the sender serves without the fleet.
func Open(t Table, stateDir string, log *zap.Logger, module Module) (*Runtime, error) {
	store, notes, err := fleetlog.Open(stateDir, t.Bytes())
	for _, n := range notes {
		log.Warn("fleet log", zap.String("note", n))
	}
	if err != nil {
		return nil, err
	}
	r := &Runtime{log: log, table: t, module: module, clock: since(time.Now()), store: store, parts: map[links.Kind]Part{}, named: map[string]bool{},
		told: told{of: map[int64]said{}, is: map[int64]float64{}, held: map[int64]heldBack{}}}
	if err := r.open(); err != nil {
		_ = store.Close()
		return nil, err
	}
	return r, nil
}

func (r *Runtime) open() (err error) {
	if r.id, err = r.store.Start(); err != nil {
		return err
	}
	hello := links.Hello{Fleet: r.table.Name, Name: r.table.Self, Incarnation: r.id.Incarnation, Folder: r.id.Folder}
	r.counts = newCounts(r)
	r.watch = newWatch(r)
	r.add(r.watch)
	if r.table.Limits != nil {
		r.limits = newLimits(r)
		r.add(r.limits)
	}
	if r.table.Verdicts != nil {
		r.hearsay = newHearsay(r)
		r.add(r.hearsay)
	}
	if r.links, err = links.New(r.log, hello, r.table.links().List(), r.table.Listen, r.heard); err != nil {
		return err
	}
	r.pool = NewPool(workers, places)
	return nil
}

func (r *Runtime) add(p Part) {
	r.parts[p.Kind()] = p
	r.order = append(r.order, p)
}

// RoutesApart says that routes have limits of their own, so that one which is told is no destination's. It comes before Run.
func (r *Runtime) RoutesApart() { r.apart = true }

// Addr is where this sender is heard.
func (r *Runtime) Addr() string { return r.links.Addr() }

// now is in µs of the monotonic clock, which goes on while the process is stopped: a lease is over when it wakes. Never 0, which stands for
// never in some modules.
func (r *Runtime) now() int64 { return r.clock().Microseconds() + 1 }

func since(start time.Time) func() time.Duration {
	return func() time.Duration { return time.Since(start) }
}

// Run takes part in the fleet until ctx ends; then it leaves, and all of its goroutines have ended when it returns.
func (r *Runtime) Run(ctx context.Context) {
	linking, unlink := context.WithCancel(context.Background())
	var linked sync.WaitGroup
	linked.Go(func() {
		if err := r.links.Run(linking); err != nil {
			r.log.Error("links", zap.Error(err))
		}
	})
	r.log.Info("fleet", zap.String("name", r.table.Name), zap.String("self", r.table.Self), zap.Uint64("incarnation", r.id.Incarnation),
		zap.String("folder", fmt.Sprintf("%016x", r.id.Folder)), zap.Int("peers", len(r.table.Peers)))
	if r.purging != nil {
		linked.Go(func() { r.purging.run(linking) })
	}
	r.tick(ctx)
	r.leave()
	unlink()
	linked.Wait()
	r.pool.Close()
	r.counts.say(r.log)
	if err := r.store.Close(); err != nil {
		r.log.Error("fleet log", zap.Error(err))
	}
}

func (r *Runtime) tick(ctx context.Context) {
	each, say := time.NewTicker(tickEvery), time.NewTicker(sayEvery)
	defer each.Stop()
	defer say.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-say.C:
			r.counts.say(r.log)
			if err := r.store.Uncompacted(); err != nil {
				r.log.Warn("fleet log: not compacted", zap.Error(err))
			}
		case <-each.C:
			for _, p := range r.order {
				p.Tick()
			}
			r.release()
		}
	}
}

// release lets go of destinations that were held back, where no shares say what comes next.
func (r *Runtime) release() {
	if r.limits != nil {
		return
	}
	now := r.now()
	var free []int64
	r.told.mu.Lock()
	for dst, h := range r.told.held {
		if now >= h.until {
			free = append(free, dst)
			delete(r.told.held, dst)
			delete(r.told.of, dst)
		}
	}
	r.told.mu.Unlock()
	slices.Sort(free)
	for _, dst := range free {
		r.module.Shared(dst, -1)
	}
}

// Came, Began, Paused and Ended are the relay's Watcher: they take in what becomes of messages: one for a destination was taken on, a leg of it begins, that leg is over
// and it waits again, it ended.
func (r *Runtime) Came(dst int64)   { r.demand(dst, 1, true) }
func (r *Runtime) Began(dst int64)  { r.demand(dst, -1, false) }
func (r *Runtime) Paused(dst int64) { r.demand(dst, 1, false) }
func (r *Runtime) Ended(dst int64)  { r.demand(dst, -1, false) }

func (r *Runtime) demand(dst int64, by int, new bool) {
	if r.limits != nil {
		r.limits.count(dst, by, new)
	}
}

// TurnedAway takes in that a destination refused a call.
func (r *Runtime) TurnedAway(dst int64) {
	if r.limits != nil {
		r.limits.refused(dst)
	}
}

// leave: the watch goes last, so that others do not take back too soon what the parts still give back.
func (r *Runtime) leave() {
	for i := len(r.order) - 1; i >= 0; i-- {
		r.order[i].Leave(r.now())
	}
}

// heard takes a frame from a link and returns soon: that peer waits meanwhile.
func (r *Runtime) heard(from links.Hello, f links.Frame) {
	p := r.parts[f.Kind]
	if p == nil {
		return // a part that is off here
	}
	r.counts.heard.WithLabelValues(f.Kind.String()).Inc()
	if err := p.Hear(from.Name, f); err != nil {
		r.counts.bad.WithLabelValues(f.Kind.String()).Inc()
		r.nameBad(from.Name, f.Kind, err)
	}
}

// nameBad names a sender's bad letters once.
func (r *Runtime) nameBad(from string, k links.Kind, err error) {
	key := from + "\x00" + k.String()
	r.namedMu.Lock()
	known := r.named[key] || len(r.named) >= badNamed
	if !known {
		r.named[key] = true
	}
	r.namedMu.Unlock()
	if !known {
		r.log.Warn("bad letter", zap.String("from", from), zap.Stringer("kind", k), zap.Error(err))
	}
}

// Saw passes on what this sender's module saw of a receiver. It does not wait.
func (r *Runtime) Saw(receiver string, v routing.Sight) {
	if r.hearsay != nil {
		r.hearsay.saw(receiver, v)
	}
	if r.limits != nil && !r.apart {
		r.limits.saw(v)
	}
}

// May is asked right before a call's first byte, with no lock held: may it go to this destination now? It takes the call off this sender's
// share. A call that comes a little before its share is earned waits for it here: sent back, it would have used up one of its message's legs.
// It waits for no link, and the module is told to hold the destination back meanwhile, so that no more come.
func (r *Runtime) May(dst int64) bool {
	if r.lets(dst) {
		return true
	}
	r.hold(dst, gateWait.Microseconds())
	for end := r.now() + gateWait.Microseconds(); r.now() < end; {
		time.Sleep(gateLook)
		if r.lets(dst) {
			r.unhold(dst)
			return true
		}
	}
	r.counts.held.Inc()
	r.hold(dst, holdLeast)
	return false
}

func (r *Runtime) lets(dst int64) bool {
	return (r.hearsay == nil || r.hearsay.lets()) && (r.limits == nil || r.limits.spend(dst))
}
