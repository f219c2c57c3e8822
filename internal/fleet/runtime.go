// Package fleet runs the decision modules of the fleet: shared tables under ranked mutexes, a pool of workers, a timer
// for each module, and the messages between the modules and the links. The message loop queries the tables and never
// waits for a link.
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
	workers            = 4                      // besides the message loop's own goroutines; more gain nothing on the cores of a sender
	workerQueueLength  = 512                    // of work queued for one worker; work that does not fit is dropped, like a message lost in transit
	tickInterval       = 20 * time.Millisecond  // a twelfth of the default heartbeat interval, and half of the shortest time between two requests for a share
	metricsInterval    = 10 * time.Second       // between log lines of metrics
	shareWait          = 300 * time.Millisecond // to wait for a share to be earned: as much of the rate as the module releases at once
	shareWaitPoll      = 5 * time.Millisecond
	maxMalformedLogged = 256 // logged malformed messages, by sender and kind
)

// Runtime runs one sender's part in its fleet.
type Runtime struct {
	log     *zap.Logger
	table   Table
	module  Module
	clock   func() time.Duration // monotonic, since the start
	id      fleetlog.Identity
	store   *fleetlog.Log
	links   *links.Links
	pool    *Pool
	metrics *metrics

	membership *membership
	limits     *limits          // nil if each sender applies limits on its own
	verdicts   *verdictExchange // nil if each sender uses only its own observations
	purging    *purging         // nil if orders are not accepted
	components map[links.Kind]Component
	channels   *channelComponent // nil if there are no channels
	tickOrder  []Component       // the components in the order in which they tick

	separateRouteLimits bool // reported limits apply to a route, not to a destination
	leases              leaseState
	loggedMu            sync.Mutex // no other mutex is locked under it
	loggedMalformed     map[string]bool
}

// Open opens the fleet log in the state folder and binds the listen address. Nothing is sent before Run, which must
// follow. After an error the sender serves without the fleet.
func Open(t Table, stateDir string, log *zap.Logger, module Module) (*Runtime, error) {
	store, notes, err := fleetlog.Open(stateDir, t.MaxLogBytes())
	for _, n := range notes {
		log.Warn("fleet log", zap.String("note", n))
	}
	if err != nil {
		return nil, err
	}
	r := &Runtime{log: log, table: t, module: module, clock: monotonicClock(time.Now()), store: store, components: map[links.Kind]Component{}, loggedMalformed: map[string]bool{},
		leases: leaseState{reported: map[int64]reportedLease{}, shares: map[int64]float64{}, held: map[int64]hold{}}}
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
	r.metrics = newMetrics(r)
	r.membership = newMembership(r)
	r.add(r.membership)
	if r.table.Limits != nil {
		r.limits = newLimits(r)
		r.add(r.limits)
	}
	if r.table.Verdicts != nil {
		r.verdicts = newVerdictExchange(r)
		r.add(r.verdicts)
	}
	if r.links, err = links.New(r.log, hello, r.table.links().PeerList(), r.table.Listen, r.receive); err != nil {
		return err
	}
	r.pool = NewPool(workers, workerQueueLength)
	return nil
}

func (r *Runtime) add(p Component) {
	r.components[p.Kind()] = p
	r.tickOrder = append(r.tickOrder, p)
}

// SeparateRouteLimits declares, before Run, that routes have their own limits, so a reported limit is not a destination's.
func (r *Runtime) SeparateRouteLimits() { r.separateRouteLimits = true }

// Addr returns the address on which this sender listens.
func (r *Runtime) Addr() string { return r.links.Addr() }

// now returns monotonic µs, which pass while the process is stopped, so leases expire; never 0, which means "never" in some modules.
func (r *Runtime) now() int64 { return r.clock().Microseconds() + 1 }

func monotonicClock(start time.Time) func() time.Duration {
	return func() time.Duration { return time.Since(start) }
}

// Run takes part in the fleet until ctx ends, then leaves it. When it returns, all of its goroutines have ended.
func (r *Runtime) Run(ctx context.Context) {
	linksCtx, stopLinks := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() {
		if err := r.links.Run(linksCtx); err != nil {
			r.log.Error("links", zap.Error(err))
		}
	})
	r.log.Info("fleet", zap.String("name", r.table.Name), zap.String("self", r.table.Self), zap.Uint64("incarnation", r.id.Incarnation),
		zap.String("folder", fmt.Sprintf("%016x", r.id.Folder)), zap.Int("peers", len(r.table.Peers)))
	if r.purging != nil {
		background.Go(func() { r.purging.run(linksCtx) })
	}
	r.runTicker(ctx)
	r.leave()
	stopLinks()
	background.Wait()
	r.pool.Close()
	r.metrics.log(r.log)
	if err := r.store.Close(); err != nil {
		r.log.Error("fleet log", zap.Error(err))
	}
}

func (r *Runtime) runTicker(ctx context.Context) {
	ticks, metricsTicks := time.NewTicker(tickInterval), time.NewTicker(metricsInterval)
	defer ticks.Stop()
	defer metricsTicks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-metricsTicks.C:
			r.metrics.log(r.log)
		case <-ticks.C:
			for _, p := range r.tickOrder {
				p.Tick()
			}
			r.releaseHeld()
		}
	}
}

// releaseHeld releases destinations that were held back, where there are no shares that would do so.
func (r *Runtime) releaseHeld() {
	if r.limits != nil {
		return
	}
	now := r.now()
	var expired []int64
	r.leases.mu.Lock()
	for dst, h := range r.leases.held {
		if now >= h.until {
			expired = append(expired, dst)
			delete(r.leases.held, dst)
			delete(r.leases.reported, dst)
		}
	}
	r.leases.mu.Unlock()
	slices.Sort(expired)
	for _, dst := range expired {
		r.module.SetLease(dst, -1)
	}
}

// MessageAccepted, LegStarted, LegEnded and MessageEnded implement relay.Observer: they count the demand of each destination.
func (r *Runtime) MessageAccepted(dst int64) { r.countDemand(dst, 1, true) }
func (r *Runtime) LegStarted(dst int64)      { r.countDemand(dst, -1, false) }
func (r *Runtime) LegEnded(dst int64)        { r.countDemand(dst, 1, false) }
func (r *Runtime) MessageEnded(dst int64)    { r.countDemand(dst, -1, false) }

func (r *Runtime) countDemand(dst int64, delta int, arrived bool) {
	if r.limits != nil {
		r.limits.countMessages(dst, delta, arrived)
	}
}

// LegRefused records that a destination rejected a call.
func (r *Runtime) LegRefused(dst int64) {
	if r.limits != nil {
		r.limits.recordRefusal(dst)
	}
}

// leave stops the components in reverse order. Membership leaves last, so that others do not reclaim early what the
// components still return.
func (r *Runtime) leave() {
	for i := len(r.tickOrder) - 1; i >= 0; i-- {
		r.tickOrder[i].Leave(r.now())
	}
}

// receive handles a frame from a link. It returns soon, as the link blocks that peer meanwhile.
func (r *Runtime) receive(from links.Hello, f links.Frame) {
	p := r.components[f.Kind]
	if p == nil {
		return // the component is disabled here
	}
	r.metrics.received.WithLabelValues(f.Kind.String()).Inc()
	if err := p.Receive(from.Name, f); err != nil {
		r.metrics.malformed.WithLabelValues(f.Kind.String()).Inc()
		r.logMalformed(from.Name, f.Kind, err)
	}
}

// logMalformed logs malformed messages once per sender and kind.
func (r *Runtime) logMalformed(from string, k links.Kind, err error) {
	key := from + "\x00" + k.String()
	r.loggedMu.Lock()
	skip := r.loggedMalformed[key] || len(r.loggedMalformed) >= maxMalformedLogged
	if !skip {
		r.loggedMalformed[key] = true
	}
	r.loggedMu.Unlock()
	if !skip {
		r.log.Warn("bad letter", zap.String("from", from), zap.Stringer("kind", k), zap.Error(err))
	}
}

// ReportObservation passes on this sender's observation of a receiver. It does not wait.
func (r *Runtime) ReportObservation(receiver string, v routing.Observation) {
	if r.verdicts != nil {
		r.verdicts.report(receiver, v)
	}
	if r.limits != nil && !r.separateRouteLimits {
		r.limits.recordLimit(v)
	}
}

// AllowCall decides right before a call's first byte, with no mutex held, whether it may go to this destination now,
// and takes it off this sender's share. A call that comes a little before its share is earned waits for it here:
// rejected, it would have used up one of its message's legs. It waits for no link, and the module holds the destination
// back meanwhile, so that no more calls come.
func (r *Runtime) AllowCall(dst int64) bool {
	if r.tryAllow(dst) {
		return true
	}
	r.holdBack(dst, shareWait.Microseconds())
	for deadline := r.now() + shareWait.Microseconds(); r.now() < deadline; {
		time.Sleep(shareWaitPoll)
		if r.tryAllow(dst) {
			r.endHold(dst)
			return true
		}
	}
	r.metrics.denied.Inc()
	r.holdBack(dst, minHold)
	return false
}

func (r *Runtime) tryAllow(dst int64) bool {
	return (r.verdicts == nil || r.verdicts.allows()) && (r.limits == nil || r.limits.allow(dst))
}
