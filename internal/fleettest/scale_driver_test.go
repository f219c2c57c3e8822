package fleettest

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ravenlink/internal/routing"
	"ravenlink/internal/verdicts"
)

const (
	tickInterval = 50 * time.Millisecond // at which a driver hands in the messages that are due
	maxBacklog   = time.Second           // messages that are due for longer are dropped, as if never handed in
	maxWaiting   = 64                    // messages of one sender that wait for calls to be allowed
	maxLimitWait = 8 * time.Second       // how long a message to a limited destination is retried; as long as a message's deadline may be
)

// fleetRuntime is the part of fleet.Runtime that a sender's relay calls.
type fleetRuntime interface {
	MessageAccepted(dst int64)
	LegStarted(dst int64)
	LegEnded(dst int64)
	MessageEnded(dst int64)
	AllowCall(dst int64) bool
	ReportObservation(receiver string, v routing.Observation)
}

// noRuntime does nothing. The cost of a driver by itself is measured with it.
type noRuntime struct{}

func (noRuntime) MessageAccepted(int64)                         {}
func (noRuntime) LegStarted(int64)                              {}
func (noRuntime) LegEnded(int64)                                {}
func (noRuntime) MessageEnded(int64)                            {}
func (noRuntime) AllowCall(int64) bool                          { return true }
func (noRuntime) ReportObservation(string, routing.Observation) {}

// target is the runtime that the driver calls.
func (d *driver) target(runtime fleetRuntime) fleetRuntime {
	if d.opts.Silent {
		return noRuntime{}
	}
	return runtime
}

// Load is the message rate of each driver, in messages per second.
type Load struct {
	Thin    float64 // to destinations that are up and have no limit
	Limited float64 // to destinations with a limit
	Down    float64 // to destinations that are down
}

// driver emulates the clients and receivers of a sender by calling its fleet runtime.
type driver struct {
	opts      StubOptions
	rng       *rand.Rand // used by the driver's goroutine only
	load      atomic.Pointer[Load]
	remaining atomic.Int64 // messages left to hand in; below 0 for no bound

	// Messages that ended; messages to limited destinations, and those of them that were allowed a call; reports that a destination is down;
	// messages withheld because the destination is believed down.
	Completed, LimitedHandIns, Allowed, DownReports, Withheld atomic.Int64
	LimitWait                                                 atomic.Int64 // total time that allowed messages waited, in ns

	limitSlots   chan struct{}
	mu           sync.Mutex
	downUntil    map[int64]time.Time // when the belief that a destination is down expires; bounded by the number that are down
	withoutLease map[int64]bool      // destinations of whose limit this sender has no share now; bounded by the number with a limit
}

func newDriver(opts StubOptions, seed uint64) *driver {
	d := &driver{opts: opts, rng: rand.New(rand.NewPCG(seed, 220)), limitSlots: make(chan struct{}, maxWaiting), downUntil: map[int64]time.Time{}, withoutLease: map[int64]bool{}}
	d.remaining.Store(-1)
	d.load.Store(&Load{})
	return d
}

// run hands in messages until ctx ends.
func (d *driver) run(ctx context.Context, s fleetRuntime) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	var due [3]float64
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			load := *d.load.Load()
			for i, perSec := range [3]float64{load.Thin, load.Limited, load.Down} {
				due[i] = min(due[i]+perSec*now.Sub(last).Seconds(), max(1, perSec*maxBacklog.Seconds()))
				for ; due[i] >= 1 && d.takeMessage(); due[i]-- {
					d.sendMessage(ctx, &running, s, d.pickDestination(messageKind(i)))
				}
			}
			last = now
		}
	}
}

// takeMessage reports whether another message may be handed in, and counts it if they are bounded.
func (d *driver) takeMessage() bool {
	n := d.remaining.Load()
	if n > 0 {
		d.remaining.Store(n - 1)
	}
	return n != 0
}

// messageKind classifies a message by its destination.
type messageKind int

const (
	unlimitedMessage messageKind = iota
	limitedMessage
	downMessage
)

func (opts StubOptions) messageKind(dst int64) messageKind {
	switch {
	case opts.EachLimited || isLimited(dst):
		return limitedMessage
	case isDown(dst):
		return downMessage
	}
	return unlimitedMessage
}

func (d *driver) pickDestination(k messageKind) int64 {
	for {
		if dst := d.rng.Int64N(d.opts.destinationCount()); d.opts.EachLimited || d.opts.messageKind(dst) == k {
			return dst
		}
	}
}

// sendMessage reports one message as relay.Engine does: accepted, leg started, call allowed or not, leg ended, message ended.
func (d *driver) sendMessage(ctx context.Context, running *sync.WaitGroup, s fleetRuntime, dst int64) {
	s.MessageAccepted(dst)
	switch k := d.opts.messageKind(dst); {
	case k == limitedMessage:
		d.LimitedHandIns.Add(1)
		select {
		case d.limitSlots <- struct{}{}:
			running.Go(func() { defer func() { <-d.limitSlots }(); d.sendLimited(ctx, s, dst) })
			return
		default: // too many messages wait: it is rejected
		}
	case k == downMessage && d.believesDown(dst):
		d.Withheld.Add(1)
	default:
		s.LegStarted(dst)
		s.AllowCall(dst)
		s.LegEnded(dst)
		if k == downMessage {
			d.reportDown(s, dst)
		}
	}
	s.MessageEnded(dst)
	d.Completed.Add(1)
}

// reportDown reports that a destination is down.
func (d *driver) reportDown(s fleetRuntime, dst int64) {
	d.DownReports.Add(1)
	d.markDown(dst, time.Duration(verdicts.MaxAgeDown)*time.Microsecond)
	s.ReportObservation("r"+strconv.FormatInt(dst, 10), routing.Observation{Kind: routing.ObservedDown, Dst: dst})
}

// sendLimited sends a message to a destination with a limit. As in the routing module, a call that is not allowed waits until the sender has
// a share of the limit.
func (d *driver) sendLimited(ctx context.Context, s fleetRuntime, dst int64) {
	start, allowed := time.Now(), false
	for !allowed && ctx.Err() == nil && time.Since(start) < maxLimitWait {
		if d.lacksLease(dst) {
			time.Sleep(tickInterval)
			continue
		}
		s.LegStarted(dst)
		allowed = s.AllowCall(dst)
		s.LegEnded(dst)
	}
	if allowed {
		d.Allowed.Add(1)
		d.LimitWait.Add(int64(time.Since(start)))
	}
	s.MessageEnded(dst)
	d.Completed.Add(1)
}

func (d *driver) lacksLease(dst int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.withoutLease[dst]
}

func (d *driver) markDown(dst int64, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.downUntil[dst] = time.Now().Add(duration)
}

func (d *driver) believesDown(dst int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.downUntil[dst])
}
