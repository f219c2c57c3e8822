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
	stride   = 50 * time.Millisecond // between two turns of a driver
	behind   = time.Second           // of messages that a driver makes up for; beyond that they were never handed in
	gates    = 64                    // calls of one sender that wait at the gate
	gateMost = 8 * time.Second       // for which a message to a limited destination comes again, as a message's deadline may be
)

// sink is what a sender's relay tells and asks its fleet.
type sink interface {
	Came(dst int64)
	Began(dst int64)
	Paused(dst int64)
	Ended(dst int64)
	May(dst int64) bool
	Saw(receiver string, v routing.Sight)
}

// nobody is a sink that does nothing: what a driver costs by itself is measured with it.
type nobody struct{}

func (nobody) Came(int64)                {}
func (nobody) Began(int64)               {}
func (nobody) Paused(int64)              {}
func (nobody) Ended(int64)               {}
func (nobody) May(int64) bool            { return true }
func (nobody) Saw(string, routing.Sight) {}

// tells is where the driver's messages go.
func (d *driver) tells(r sink) sink {
	if d.w.Silent {
		return nobody{}
	}
	return r
}

// Load is what each driver makes, in messages a second.
type Load struct {
	Thin    float64 // to destinations without a limit that are up
	Limited float64 // to those with one
	Down    float64 // to those that are down
}

// driver makes what a sender's clients and receivers would cause.
type driver struct {
	w    Wants
	rng  *rand.Rand // of its goroutine alone
	load atomic.Pointer[Load]
	left atomic.Int64 // messages still to be made, where they are counted; below 0 for no end

	Done, ToLimited, Let, Seen, Kept atomic.Int64 // messages over; of them to limited destinations, and let go; sights told; messages kept back for a sight
	Waited                           atomic.Int64 // ns at the gate, of those let go

	gate chan struct{}
	mu   sync.Mutex
	shut map[int64]time.Time // destinations known as down, until then; as many as are down
	held map[int64]bool      // destinations of which there is no share now; as many as have a limit
}

func newDriver(w Wants, seed uint64) *driver {
	d := &driver{w: w, rng: rand.New(rand.NewPCG(seed, 220)), gate: make(chan struct{}, gates), shut: map[int64]time.Time{}, held: map[int64]bool{}}
	d.left.Store(-1)
	d.load.Store(&Load{})
	return d
}

// run makes messages until ctx ends.
func (d *driver) run(ctx context.Context, s sink) {
	each := time.NewTicker(stride)
	defer each.Stop()
	var waiting sync.WaitGroup
	defer waiting.Wait()
	var owed [3]float64
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case now := <-each.C:
			load := *d.load.Load()
			for i, perSec := range [3]float64{load.Thin, load.Limited, load.Down} {
				owed[i] = min(owed[i]+perSec*now.Sub(last).Seconds(), max(1, perSec*behind.Seconds()))
				for ; owed[i] >= 1 && d.more(); owed[i]-- {
					d.one(ctx, &waiting, s, d.draw(kind(i)))
				}
			}
			last = now
		}
	}
}

// more counts a message off, where they are counted.
func (d *driver) more() bool {
	n := d.left.Load()
	if n > 0 {
		d.left.Store(n - 1)
	}
	return n != 0
}

// kind of a message, by its destination.
type kind int

const (
	thin kind = iota
	toLimited
	toDown
)

func (w Wants) kind(dst int64) kind {
	switch {
	case w.EachLimited || limited(dst):
		return toLimited
	case down(dst):
		return toDown
	}
	return thin
}

func (d *driver) draw(k kind) int64 {
	for {
		if dst := d.rng.Int64N(d.w.destinations()); d.w.EachLimited || d.w.kind(dst) == k {
			return dst
		}
	}
}

// one is a message's life, as relay.Engine tells it: it came, its leg begins, the gate is asked, the leg is over, it ended.
func (d *driver) one(ctx context.Context, waiting *sync.WaitGroup, s sink, dst int64) {
	s.Came(dst)
	switch k := d.w.kind(dst); {
	case k == toLimited:
		d.ToLimited.Add(1)
		select {
		case d.gate <- struct{}{}:
			waiting.Go(func() { defer func() { <-d.gate }(); d.limited(ctx, s, dst) })
			return
		default: // as many wait as may: it is pushed back
		}
	case k == toDown && d.knows(dst):
		d.Kept.Add(1)
	default:
		s.Began(dst)
		s.May(dst)
		s.Paused(dst)
		if k == toDown {
			d.saw(s, dst)
		}
	}
	s.Ended(dst)
	d.Done.Add(1)
}

// saw tells that a destination is down.
func (d *driver) saw(s sink, dst int64) {
	d.Seen.Add(1)
	d.know(dst, time.Duration(verdicts.GreatestDown)*time.Microsecond)
	s.Saw("r"+strconv.FormatInt(dst, 10), routing.Sight{Kind: routing.SeenDown, Dst: dst})
}

// limited is a message to a destination with a limit. A call that the gate sends back waits, as the decisions have it, until there is a share.
func (d *driver) limited(ctx context.Context, s sink, dst int64) {
	from, let := time.Now(), false
	for !let && ctx.Err() == nil && time.Since(from) < gateMost {
		if d.waits(dst) {
			time.Sleep(stride)
			continue
		}
		s.Began(dst)
		let = s.May(dst)
		s.Paused(dst)
	}
	if let {
		d.Let.Add(1)
		d.Waited.Add(int64(time.Since(from)))
	}
	s.Ended(dst)
	d.Done.Add(1)
}

func (d *driver) waits(dst int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held[dst]
}

func (d *driver) know(dst int64, span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut[dst] = time.Now().Add(span)
}

func (d *driver) knows(dst int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.shut[dst])
}
