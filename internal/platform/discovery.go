package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/protocol"
	"ravenlink/internal/routing"
	"ravenlink/internal/transport"
)

// Where lists are pushed, the agent's current list counts as delivered at once: while no watch is open, a call
// is always in progress, and the next one starts beside it. Where lists are requested on demand, discovery's
// current list counts as delivered 6 s after discovery was reachable, and 6 s after a watch fell silent: the
// silence has to be detected, one call may hang, and the next is answered (2.5 + 0.3 + 2.2 + 0.3 s); 4 s after
// a move (0.8 + 2.2 + 0.3 s).
const (
	heartbeatTimeout    = 2500 * time.Millisecond // without an object or a heartbeat, which is sent every 2 s, after which a watch is reopened
	pushedCallTimeout   = 600 * time.Millisecond  // for the first response where the agent has the list; it answers at once
	pushedCallInterval  = 200 * time.Millisecond  // between the starts of concurrent calls, jittered from half to all: at most six are in progress, and one whose list grows
	onDemandCallTimeout = 2200 * time.Millisecond // where a call is passed through to discovery, which fails it after 2 s if it is busy
	reconnectDelay      = 300 * time.Millisecond  // maximum random delay before an unrequested call: the watch fell silent, or the previous call failed
	moveDelay           = 800 * time.Millisecond  // likewise when discovery moved: all senders learn of that at once
	unrequestedCalls    = 2                       // after that the module decides when to call
	extensionThreshold  = 64 << 10                // bytes of a list's text up to which its call gets no more time than others
	extensionStep       = 16 << 10                // bytes of text between two extensions beyond that
	progressTimeout     = 600 * time.Millisecond  // for each further 5,000 members of a large list, counted from the previous ones; see watch.extendTimeout
	tooLargeRetryDelay  = 2 * time.Second         // from a list that was too large to the next call, so that discovery need not send it five times a second
)

var (
	errWatchSilent   = errors.New("no heartbeat on the watch")
	errLargeListBusy = errors.New("another call is reading a large list") // not worth a log line
)

// Discovery follows the list of receivers.
type Discovery struct {
	log            *zap.Logger
	router         *routing.Router
	agent          *Agent
	connectTimeout time.Duration
	listMemory     int64         // bytes of memory for the members of a large list
	onDemand       bool          // the module decides when to watch
	requests       chan struct{} // the module requested a watch
	revision       int64

	location    location  // used by the latest call
	nextCall    time.Time // no call starts before
	unrequested int       // calls that may still be made without a request
	calls       sync.WaitGroup

	dial          func(ctx context.Context, addr string, within time.Duration) (*transport.Conn, error)
	firstList     chan struct{} // closed at the first response
	firstListOnce sync.Once
}

// NewDiscovery creates a follower of the list. With onDemand it watches only after RequestWatch. A connection
// must be established within connectTimeout. The members of a large list take at most listMemory bytes in the
// call that reads it.
func NewDiscovery(log *zap.Logger, router *routing.Router, agent *Agent, connectTimeout time.Duration, onDemand bool, listMemory int64) *Discovery {
	return &Discovery{log: log, router: router, agent: agent, connectTimeout: connectTimeout, onDemand: onDemand, listMemory: listMemory, requests: make(chan struct{}, 1),
		dial: transport.Dial, firstList: make(chan struct{})}
}

// LoadKnown loads the list that was known before the start.
func (d *Discovery) LoadKnown(text []byte) error {
	l, err := protocol.ParseList(text)
	if err != nil {
		return fmt.Errorf("known list: %w", err)
	}
	d.revision = l.Revision
	d.router.UpdateReceivers(toListings(l), true, true)
	return nil
}

// WaitFirstList waits for the first response, at most for the given time: the agent's list counts as delivered
// from the first moment of a process. With onDemand nothing is delivered before it is requested, and it
// returns at once.
func (d *Discovery) WaitFirstList(within time.Duration) {
	if d.onDemand {
		return
	}
	select {
	case <-d.firstList:
	case <-time.After(within):
	}
}

// Run keeps a watch open until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	defer d.calls.Wait()
	d.location = d.agent.location()
	for d.awaitNextCall(ctx) {
		var err error
		started := time.Now()
		d.location = d.agent.location()
		moved := d.location.run(ctx, func(callCtx context.Context, addr string) { err = d.follow(callCtx, addr) })
		if ctx.Err() != nil {
			return
		}
		if !moved {
			d.log.Warn("watch on the list broke", zap.Error(err), zap.Int64("revision", d.revision))
		}
		if d.onDemand {
			d.scheduleReconnect(moved, err, started)
		}
	}
}

// awaitNextCall waits until a call may start: after a pause where lists are pushed, otherwise once the module
// requests it or an unrequested call is due.
func (d *Discovery) awaitNextCall(ctx context.Context) bool {
	for {
		var requests <-chan struct{}
		var timer <-chan time.Time
		if d.onDemand && d.unrequested == 0 {
			requests = d.requests
		} else {
			timer = time.After(max(time.Until(d.nextCall), time.Nanosecond)) // never in the past: in a synctest bubble that trips the race detector
		}
		select {
		case <-ctx.Done():
			return false
		case <-requests:
			return true
		case <-timer:
			if d.onDemand {
				d.unrequested--
				d.router.ListRequested()
			}
			return true
		case <-d.location.valid.Done(): // discovery moved while no call was in progress
			d.location = d.agent.location()
			if d.onDemand {
				d.scheduleUnrequested(moveDelay)
			}
		}
	}
}

// scheduleReconnect sets the time of the next call where lists are requested on demand. The module's interval
// is too long for a watch that fell silent, whose loss counts from then, and for a move. A call that failed at
// once must not be repeated sooner than one that hung, to spare discovery.
func (d *Discovery) scheduleReconnect(moved bool, err error, started time.Time) {
	switch {
	case moved: // the list is still valid: the new address continues from the same revision
		d.location = d.agent.location()
		d.scheduleUnrequested(moveDelay)
	case errors.Is(err, errWatchSilent):
		d.scheduleUnrequested(reconnectDelay)
	case d.unrequested > 0:
		d.nextCall = started.Add(onDemandCallTimeout + rand.N(reconnectDelay))
	default:
		select {
		case <-d.requests: // requested while a watch was open; the module decides anew
		default:
		}
		d.router.WatchFailed()
	}
}

// scheduleUnrequested allows unrequested calls, the first after a random delay of at most within.
func (d *Discovery) scheduleUnrequested(within time.Duration) {
	d.nextCall, d.unrequested = time.Now().Add(rand.N(within)), unrequestedCalls
}

// RequestWatch records that the module wants a watch.
func (d *Discovery) RequestWatch() {
	select {
	case d.requests <- struct{}{}:
	default:
	}
}

// watch is an open watch that has delivered its first object.
type watch struct {
	conn           *transport.Conn
	objects        *protocol.Watch
	first          protocol.List
	cancel         context.CancelFunc
	holdsLarge     bool      // it holds the slot of the call that reads a large list
	holdsExtension bool      // it holds the slot of the call whose timeout is extended while its list grows
	lastStep       time.Time // time of the latest extension step; only set for calls of a race

	nextStep int64     // bytes of the list's text at the next extension step
	deadline time.Time // for the whole object or heartbeat being read
}

// setTimeout sets the time limit for the next read.
func (w *watch) setTimeout(d time.Duration) { w.setDeadline(time.Now().Add(d)) }

func (w *watch) setDeadline(until time.Time) {
	w.deadline = until
	_ = w.conn.SetDeadline(until)
}

// extendTimeout is the one exception to the time limit for a whole object: whenever a large list has grown by
// another 5,000 members, 0.6 s are allowed for the next ones, so a list that arrives steadily is read to its
// end, and one that hangs or trickles is detected in that time. It does not apply up to 1 MiB of text and 3
// MiB of memory; where lists are pushed, the one call of callRace.onProgress is extended below that too.
func (w *watch) extendTimeout() {
	if time.Until(w.deadline) < progressTimeout {
		w.setTimeout(progressTimeout)
	}
}

// follow follows the list at one address until its watch fails.
func (d *Discovery) follow(ctx context.Context, addr string) error {
	w, err := d.openWatch(ctx, addr)
	if err != nil {
		return err
	}
	defer w.cancel()
	w.objects.SetMemoryLimit(d.listMemory, func() error { w.extendTimeout(); return nil })
	w.objects.OnProgress(func(int64) {})
	d.unrequested = 0
	d.applyList(w.first)
	w.first = protocol.List{} // a large list is not retained for the lifetime of the watch
	d.firstListOnce.Do(func() { close(d.firstList) })
	for {
		w.setTimeout(heartbeatTimeout) // for a whole object or heartbeat: partial data does not prove that the watch is alive
		l, heartbeat, err := w.objects.Next()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return errWatchSilent
		case err != nil:
			return err
		case !heartbeat:
			d.applyList(l)
		}
	}
}

// openWatch opens a watch, by a single call where lists are requested on demand.
func (d *Discovery) openWatch(ctx context.Context, addr string) (w *watch, err error) {
	if !d.onDemand {
		return d.raceCalls(ctx, addr)
	}
	callCtx, cancel := context.WithCancel(ctx)
	if w, err = d.call(callCtx, addr, d.revision, onDemandCallTimeout, &callRace{largeSlot: make(chan struct{}, 1)}); err != nil {
		cancel()
		return nil, err
	}
	w.cancel = cancel
	return w, nil
}

// callRace is the state shared by the concurrent calls of a race.
type callRace struct {
	winner           chan *watch
	largeSlot        chan struct{} // held by the call that reads a large list; released when it fails
	extensionSlot    chan struct{} // held by the one call whose timeout is extended while its list grows; nil where lists are requested on demand
	started          time.Time
	lastGrowth       atomic.Int64 // when that call's list last grew, in ns since the start of the race; 0 if there is none
	warned, tooLarge sync.Once    // log each only once
}

// onProgress records that the list of a call has grown, and lets the one call whose list is beyond 64 KiB
// continue as long as it grows by two steps of 16 KiB within 0.6 s. Time is counted from the previous step, so
// a list that begins to trickle just before a step is also detected in 0.6 s. A sender with a fiftieth of a
// core cannot read 1 MiB in 0.6 s, and concurrent calls that are each cut off after that time would all fail.
// Therefore no further calls start from the first 4 KiB on: if five had started by the time one reaches 64
// KiB, each of its further steps would take longer than the pause to the next call, and more would keep
// starting.
func (race *callRace) onProgress(w *watch, text int64) {
	now, previous := time.Now(), w.lastStep
	step := text >= w.nextStep
	if step {
		w.lastStep = now
		w.nextStep = text - text%extensionStep + extensionStep
	}
	if !w.holdsExtension {
		select {
		case race.extensionSlot <- struct{}{}:
			w.holdsExtension = true
		default:
			return // another call holds the slot; this one keeps its time limit
		}
	}
	race.lastGrowth.Store(int64(now.Sub(race.started)))
	if until := previous.Add(progressTimeout); step && !previous.IsZero() && until.After(w.deadline) {
		w.setDeadline(until)
	}
}

// releaseSlots releases the slots that a call holds.
func (race *callRace) releaseSlots(w *watch) {
	if w == nil {
		return
	}
	if w.holdsLarge {
		<-race.largeSlot
	}
	if w.holdsExtension {
		race.lastGrowth.Store(0)
		<-race.extensionSlot
	}
}

// lastActivity returns when the newest call started or the list of the extended call last grew. Only growth
// counts, not the existence of that call: a call that hangs must not be waited for.
func (race *callRace) lastActivity(started time.Time) time.Time {
	if growth := race.started.Add(time.Duration(race.lastGrowth.Load())); growth.After(started) {
		return growth
	}
	return started
}

// raceCalls starts calls beside one another until one is answered. The agent is silent while discovery is
// down, and what it gets on recovery counts as delivered at once, so a call must be in progress at every
// moment, and a call that was lost must not be waited for. While one call reads a large list no other starts:
// six large lists at once exceed the memory. None starts either within 0.1 to 0.2 s after a list has grown by
// 4 KiB, so that calls do not starve the one that makes progress.
func (d *Discovery) raceCalls(ctx context.Context, addr string) (*watch, error) {
	raceCtx, endRace := context.WithCancel(ctx)
	defer endRace()
	race := &callRace{started: time.Now(), winner: make(chan *watch), largeSlot: make(chan struct{}, 1), extensionSlot: make(chan struct{}, 1)}
	for {
		if len(race.largeSlot) == 0 {
			from := d.revision
			d.calls.Go(func() { d.runCall(ctx, raceCtx, addr, from, race) })
		}
		started, pause := time.Now(), pushedCallInterval/2+rand.N(pushedCallInterval/2)
		for d.nextCall = started.Add(pause); time.Until(d.nextCall) > 0; d.nextCall = race.lastActivity(started).Add(pause) {
			select {
			case w := <-race.winner:
				return w, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(time.Until(d.nextCall)):
			}
		}
	}
}

// runCall makes a call that ends with the race unless it wins.
func (d *Discovery) runCall(ctx, raceCtx context.Context, addr string, from int64, race *callRace) {
	callCtx, cancel := context.WithCancel(ctx)
	stopAfter := context.AfterFunc(raceCtx, cancel)
	w, err := d.call(callCtx, addr, from, pushedCallTimeout, race)
	if won := stopAfter(); won && err == nil {
		w.cancel = cancel
		select {
		case race.winner <- w:
			return
		case <-raceCtx.Done():
		}
	}
	cancel()
	switch {
	case err == nil || raceCtx.Err() != nil || errors.Is(err, errLargeListBusy):
	case errors.Is(err, protocol.ErrTooLarge):
		race.tooLarge.Do(func() { d.log.Error("what is known stays in force", zap.Error(err)) })
	default:
		race.warned.Do(func() { d.log.Warn("call for the list failed, others follow", zap.Error(err)) })
	}
	if errors.Is(err, protocol.ErrTooLarge) {
		select {
		case <-time.After(tooLargeRetryDelay):
		case <-raceCtx.Done():
		}
	}
	race.releaseSlots(w)
}

// call makes one call for the changes after a revision. It takes at most the given time, including connecting
// and the first object. Exceptions are in extendTimeout, for a large list, which only the call that holds
// largeSlot reads, and in callRace.onProgress, for a list that grows; the call holds these slots even after it
// failed. Its connection closes with ctx.
func (d *Discovery) call(ctx context.Context, addr string, from int64, within time.Duration, race *callRace) (w *watch, err error) {
	until := time.Now().Add(within)
	c, err := d.dial(ctx, addr, min(d.connectTimeout, within))
	if err != nil {
		return nil, err
	}
	w = &watch{conn: c, deadline: until, nextStep: extensionThreshold}
	_ = c.SetDeadline(until)
	if err := protocol.WriteWatch(c.W, addr, from); err != nil {
		return nil, err
	}
	if err := c.Flush(); err != nil {
		return nil, err
	}
	if w.objects, err = protocol.NewWatch(c.R); err != nil {
		return nil, err
	}
	w.objects.OnProgress(func(text int64) { race.onProgress(w, text) })
	w.objects.SetMemoryLimit(d.listMemory, func() error {
		if !w.holdsLarge {
			select {
			case race.largeSlot <- struct{}{}:
				w.holdsLarge = true
			default:
				return errLargeListBusy
			}
		}
		w.extendTimeout()
		return nil
	})
	for heartbeat := true; heartbeat; { // heartbeats alone carry no list
		if w.first, heartbeat, err = w.objects.Next(); err != nil {
			_ = c.Close()
			return w, err
		}
	}
	return w, nil
}

// applyList applies a list that a watch has delivered.
func (d *Discovery) applyList(l protocol.List) {
	d.log.Info("list", zap.Int64("revision", l.Revision), zap.Bool("whole", l.Complete), zap.Int("members", len(l.Members)))
	d.revision = l.Revision
	d.router.UpdateReceivers(toListings(l), l.Complete, false)
}

func toListings(l protocol.List) []routing.Listing {
	ls := make([]routing.Listing, 0, len(l.Members))
	for _, m := range l.Members {
		ls = append(ls, routing.Listing{ID: m.ID, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Dst: m.Dst, Weight: m.Weight,
			Listed: m.Serving})
	}
	return ls
}
