package fleettest

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/links"
	"ravenlink/internal/members"
)

const (
	patience  = 3 * time.Minute        // for a condition of a fleet at scale; no good run reaches it
	scaleLook = 100 * time.Millisecond // between looks: each reads all senders' lines
	perSender = 220.0                  // messages a second
)

// HollowFleet is a fleet of hollow senders in this process, some of them in one beside it.
type HollowFleet struct {
	t      testing.TB
	Listed []Place
	Own    []*Hollow
	task   zoneTask
	zone   *zone
	meter  *meter
	first  bool // of this process
	closed bool
}

var fleets atomic.Int64 // of this process so far

// NewHollowFleet starts n senders, the last inZone of them in a process of their own; others are listed as well. reach says where one is
// reached by another, where that is not its own address.
func NewHollowFleet(t testing.TB, n, inZone int, w Wants, seed uint64, others []Place, reach map[[2]string]string) *HollowFleet {
	t.Helper()
	dir, err := os.MkdirTemp("", "hollow")
	require.NoError(t, err)
	f := &HollowFleet{t: t, first: fleets.Add(1) == 1}
	for i, addr := range reserved(t, n) {
		f.Listed = append(f.Listed, Place{fmt.Sprintf("h%03d", i), addr})
	}
	own, limits := n-inZone, w.declared()
	f.task = zoneTask{Listed: f.Listed, First: own, Dir: dir, Wants: w, Seed: seed}
	f.meter = newMeter(f.Listed[:own])
	t.Cleanup(f.Close)
	for i, p := range f.Listed[:own] {
		table := tableOf(append(append([]Place(nil), f.Listed...), others...), p, limits)
		if i < w.Lacking {
			table.Peers = slices.DeleteFunc(table.Peers, func(p links.PeerTable) bool { return p.Name == f.Listed[n-1].Name })
		}
		for j, peer := range table.Peers {
			if addr := reach[[2]string{p.Name, peer.Name}]; addr != "" {
				table.Peers[j].Address = addr
			}
		}
		f.Own = append(f.Own, NewHollow(p, dir, table, w, seed<<16+uint64(i)))
	}
	for _, h := range f.Own {
		require.NoError(t, h.Start())
	}
	if inZone > 0 {
		f.zone = startZone(t, f.task)
	}
	return f
}

// stopAll has all senders of this process leave, side by side.
func (f *HollowFleet) stopAll() {
	var all sync.WaitGroup
	for _, h := range f.Own {
		all.Go(h.Stop)
	}
	all.Wait()
}

// Close ends all of it; a second time it does nothing.
func (f *HollowFleet) Close() {
	if f.closed {
		return
	}
	f.closed = true
	f.stopAll()
	if f.zone != nil {
		f.zone.kill()
	}
	f.meter.close()
	if f.t.Failed() {
		for _, h := range f.Own[:min(3, len(f.Own))] {
			f.t.Log(h.Name, "warned:", h.Lines.warnings())
		}
	}
	_ = os.RemoveAll(f.task.Dir)
}

// Load changes what all drivers do.
func (f *HollowFleet) Load(l Load) {
	for _, h := range f.Own {
		h.Driver.load.Store(&l)
	}
	if f.zone != nil {
		f.zone.load(f.t, l)
	}
}

// Until waits for a condition of every sender of this process.
func (f *HollowFleet) Until(what string, done func(*Hollow) bool) {
	f.t.Helper()
	left := f.Own
	ok := func() bool {
		for len(left) > 0 && done(left[0]) {
			left = left[1:]
		}
		return len(left) == 0
	}
	limit := time.Now().Add(patience)
	for !ok() {
		require.True(f.t, time.Now().Before(limit), "never: %s; %d of %d left, first %s", what, len(left), len(f.Own), left[0].Name)
		time.Sleep(scaleLook)
	}
}

// besides are the listed senders but one, and further ones.
func besides(all []Place, one Place, more ...Place) (others []Place) {
	for _, p := range append(append([]Place(nil), all...), more...) {
		if p != one {
			others = append(others, p)
		}
	}
	return others
}

// UntilMet waits until each sees each other alive.
func (f *HollowFleet) UntilMet(more ...Place) {
	f.t.Helper()
	f.Until("all see all", func(h *Hollow) bool { return h.Lines.sees(members.Alive, besides(f.Listed, h.Place, more...)) })
}

// zoned are the zone's senders.
func (f *HollowFleet) zoned() []Place { return f.Listed[f.task.First:] }

// sum adds a count of all drivers.
func (f *HollowFleet) sum(of func(*driver) int64) (n float64) {
	for _, h := range f.Own {
		n += float64(of(h.Driver))
	}
	return n
}

// linesSince is how many lines of counts a sender has written since.
func (l *lines) linesSince(at time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.counts {
		if c.at.After(at) {
			n++
		}
	}
	return n
}

// warnings counts by text what its log warned of.
func (l *lines) warnings() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]int{}
	for text, n := range l.bad {
		all[text] = n
	}
	return all
}

// tally is what drivers have made so far.
type tally struct{ done, limited, let, waited, seen, kept float64 }

func (f *HollowFleet) tally() tally {
	return tally{f.sum(func(d *driver) int64 { return d.Done.Load() }), f.sum(func(d *driver) int64 { return d.ToLimited.Load() }),
		f.sum(func(d *driver) int64 { return d.Let.Load() }), f.sum(func(d *driver) int64 { return d.Waited.Load() }),
		f.sum(func(d *driver) int64 { return d.Seen.Load() }), f.sum(func(d *driver) int64 { return d.Kept.Load() })}
}

// moment is what had been spent by then.
type moment struct {
	at      time.Time
	passed  traffic
	worked  time.Duration
	made    tally
	machine string
}

func (f *HollowFleet) now() moment {
	m := moment{at: time.Now(), passed: f.meter.look(), made: f.tally(), machine: machineLoad()}
	m.worked = processTime() - f.meter.spent()
	return m
}

// Rates are figures of one sender and second, by name.
type Rates map[string]float64

// rates between two moments.
func (f *HollowFleet) rates(a, b moment) Rates {
	own := float64(len(f.Own))
	each := b.at.Sub(a.at).Seconds() * own
	in, out := float64(b.passed.in-a.passed.in), float64(b.passed.out-a.passed.out)
	r := Rates{"seconds": b.at.Sub(a.at).Seconds(), "bytes": (in + out) / each, "posts": in / each, "answers": out / each,
		"segments": float64(b.passed.segments-a.passed.segments) / each, "core": 100 * (b.worked - a.worked).Seconds() / each,
		"messages": (b.made.done - a.made.done) / each, "limited": (b.made.limited - a.made.limited) / each,
		"let": (b.made.let - a.made.let) / each, "waited": (b.made.waited - a.made.waited) / each / 1e9,
		"sights": (b.made.seen - a.made.seen) / each, "kept": (b.made.kept - a.made.kept) / each}
	for _, h := range f.Own {
		for name, v := range h.Lines.between(a.at, b.at) {
			r[name] += v / own
		}
	}
	return r
}

// window measures a load: it begins when each sender has written so many lines of counts under it, and ends when each has written two more.
func (f *HollowFleet) window(l Load, settle int) Rates {
	f.t.Helper()
	f.Load(l)
	at := time.Now()
	f.Until("lines of counts", func(h *Hollow) bool { return h.Lines.linesSince(at) >= settle })
	from := f.now()
	f.Until("two lines of counts", func(h *Hollow) bool { return h.Lines.linesSince(from.at) >= 2 })
	to := f.now()
	f.t.Logf("%d senders, %+v: load %s to %s: %v", len(f.Listed), l, from.machine, to.machine, f.rates(from, to))
	return f.rates(from, to)
}
