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
	scaleTimeout      = 3 * time.Minute        // for a condition of a large fleet; no correct run reaches it
	scalePollInterval = 100 * time.Millisecond // each poll reads the log records of all senders
	senderRate        = 220.0                  // messages per second of one sender at full rate
)

// StubFleet is a fleet of stub senders in this process, with some of them optionally in a second process.
type StubFleet struct {
	t              testing.TB
	Listed         []PeerAddr
	Local          []*StubSender
	task           zoneTask
	zone           *zone
	meter          *meter
	firstInProcess bool // whether it is the first fleet of this process
	closed         bool
}

var fleetCount atomic.Int64 // started by this process so far

// NewStubFleet starts n senders, the last inZone of them in a process of their own. The peers in others are listed as well. linkAddrs gives
// the address at which a sender (first name) reaches a peer (second name) if it is not the peer's own address.
func NewStubFleet(t testing.TB, n, inZone int, opts StubOptions, seed uint64, others []PeerAddr, linkAddrs map[[2]string]string) *StubFleet {
	t.Helper()
	dir, err := os.MkdirTemp("", "stubfleet")
	require.NoError(t, err)
	f := &StubFleet{t: t, firstInProcess: fleetCount.Add(1) == 1}
	for i, addr := range reserveAddrs(t, n) {
		f.Listed = append(f.Listed, PeerAddr{fmt.Sprintf("h%03d", i), addr})
	}
	local, limits := n-inZone, opts.declaredLimits()
	f.task = zoneTask{Listed: f.Listed, First: local, Dir: dir, StubOptions: opts, Seed: seed}
	f.meter = newMeter(f.Listed[:local])
	t.Cleanup(f.Close)
	for i, p := range f.Listed[:local] {
		table := fleetTable(append(append([]PeerAddr(nil), f.Listed...), others...), p, limits)
		if i < opts.Lacking {
			table.Peers = slices.DeleteFunc(table.Peers, func(p links.PeerTable) bool { return p.Name == f.Listed[n-1].Name })
		}
		for j, peer := range table.Peers {
			if addr := linkAddrs[[2]string{p.Name, peer.Name}]; addr != "" {
				table.Peers[j].Address = addr
			}
		}
		f.Local = append(f.Local, NewStubSender(p, dir, table, opts, seed<<16+uint64(i)))
	}
	for _, h := range f.Local {
		require.NoError(t, h.Start())
	}
	if inZone > 0 {
		f.zone = startZone(t, f.task)
	}
	return f
}

// stopLocal stops all senders of this process concurrently.
func (f *StubFleet) stopLocal() {
	var all sync.WaitGroup
	for _, h := range f.Local {
		all.Go(h.Stop)
	}
	all.Wait()
}

// Close stops the fleet. Further calls do nothing.
func (f *StubFleet) Close() {
	if f.closed {
		return
	}
	f.closed = true
	f.stopLocal()
	if f.zone != nil {
		f.zone.kill()
	}
	f.meter.close()
	if f.t.Failed() {
		for _, h := range f.Local[:min(3, len(f.Local))] {
			f.t.Log(h.Name, "log problems:", h.Records.problemCounts())
		}
	}
	_ = os.RemoveAll(f.task.Dir)
}

// Load sets the load of all drivers.
func (f *StubFleet) Load(l Load) {
	for _, h := range f.Local {
		h.Driver.load.Store(&l)
	}
	if f.zone != nil {
		f.zone.load(f.t, l)
	}
}

// WaitUntil waits until a condition holds for every sender of this process.
func (f *StubFleet) WaitUntil(what string, done func(*StubSender) bool) {
	f.t.Helper()
	remaining := f.Local
	allDone := func() bool {
		for len(remaining) > 0 && done(remaining[0]) {
			remaining = remaining[1:]
		}
		return len(remaining) == 0
	}
	deadline := time.Now().Add(scaleTimeout)
	for !allDone() {
		require.True(f.t, time.Now().Before(deadline), "timeout: %s; %d of %d senders left, first %s", what, len(remaining), len(f.Local), remaining[0].Name)
		time.Sleep(scalePollInterval)
	}
}

// others returns the listed senders without one of them, plus further ones.
func others(all []PeerAddr, excluded PeerAddr, extra ...PeerAddr) (rest []PeerAddr) {
	for _, p := range append(append([]PeerAddr(nil), all...), extra...) {
		if p != excluded {
			rest = append(rest, p)
		}
	}
	return rest
}

// WaitAllAlive waits until every sender sees all others alive.
func (f *StubFleet) WaitAllAlive(extra ...PeerAddr) {
	f.t.Helper()
	f.WaitUntil("all senders see all others alive", func(h *StubSender) bool { return h.Records.sees(members.Alive, others(f.Listed, h.PeerAddr, extra...)) })
}

// zoneAddrs returns the senders of the zone.
func (f *StubFleet) zoneAddrs() []PeerAddr { return f.Listed[f.task.First:] }

// sumDrivers sums a count over all drivers.
func (f *StubFleet) sumDrivers(of func(*driver) int64) (n float64) {
	for _, h := range f.Local {
		n += float64(of(h.Driver))
	}
	return n
}

// countsSince is the number of counts records that the sender has logged since a time.
func (l *logRecorder) countsSince(at time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.counts {
		if c.at.After(at) {
			n++
		}
	}
	return n
}

// problemCounts returns the warnings and errors logged, by text.
func (l *logRecorder) problemCounts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]int{}
	for text, n := range l.problems {
		all[text] = n
	}
	return all
}

// totals sums the counts of all drivers.
type totals struct{ completed, limited, allowed, limitWait, downReports, withheld float64 }

func (f *StubFleet) totals() totals {
	return totals{f.sumDrivers(func(d *driver) int64 { return d.Completed.Load() }), f.sumDrivers(func(d *driver) int64 { return d.LimitedHandIns.Load() }),
		f.sumDrivers(func(d *driver) int64 { return d.Allowed.Load() }), f.sumDrivers(func(d *driver) int64 { return d.LimitWait.Load() }),
		f.sumDrivers(func(d *driver) int64 { return d.DownReports.Load() }), f.sumDrivers(func(d *driver) int64 { return d.Withheld.Load() })}
}

// snapshot is the state of all counters at a time.
type snapshot struct {
	at          time.Time
	transferred traffic
	cpuTime     time.Duration
	drivers     totals
	systemLoad  string
}

func (f *StubFleet) takeSnapshot() snapshot {
	m := snapshot{at: time.Now(), transferred: f.meter.sample(), drivers: f.totals(), systemLoad: loadAverage()}
	m.cpuTime = processTime() - f.meter.overhead()
	return m
}

// Rates are values per sender and second, by name.
type Rates map[string]float64

// rates computes the rates between two snapshots.
func (f *StubFleet) rates(a, b snapshot) Rates {
	senders := float64(len(f.Local))
	senderSeconds := b.at.Sub(a.at).Seconds() * senders
	in, out := float64(b.transferred.in-a.transferred.in), float64(b.transferred.out-a.transferred.out)
	r := Rates{"seconds": b.at.Sub(a.at).Seconds(), "bytes": (in + out) / senderSeconds, "posts": in / senderSeconds, "answers": out / senderSeconds,
		"segments": float64(b.transferred.segments-a.transferred.segments) / senderSeconds, "core": 100 * (b.cpuTime - a.cpuTime).Seconds() / senderSeconds,
		"messages": (b.drivers.completed - a.drivers.completed) / senderSeconds, "limited": (b.drivers.limited - a.drivers.limited) / senderSeconds,
		"let": (b.drivers.allowed - a.drivers.allowed) / senderSeconds, "waited": (b.drivers.limitWait - a.drivers.limitWait) / senderSeconds / 1e9,
		"sights": (b.drivers.downReports - a.drivers.downReports) / senderSeconds, "kept": (b.drivers.withheld - a.drivers.withheld) / senderSeconds}
	for _, h := range f.Local {
		for name, v := range h.Records.ratesBetween(a.at, b.at) {
			r[name] += v / senders
		}
	}
	return r
}

// measureLoad measures the rates under a load. The measurement starts once every sender has logged settleLines counts records under the load
// and ends when each has logged two more.
func (f *StubFleet) measureLoad(l Load, settleLines int) Rates {
	f.t.Helper()
	f.Load(l)
	at := time.Now()
	f.WaitUntil("counts records logged", func(h *StubSender) bool { return h.Records.countsSince(at) >= settleLines })
	from := f.takeSnapshot()
	f.WaitUntil("two more counts records logged", func(h *StubSender) bool { return h.Records.countsSince(from.at) >= 2 })
	to := f.takeSnapshot()
	f.t.Logf("%d senders, %+v: load %s to %s: %v", len(f.Listed), l, from.systemLoad, to.systemLoad, f.rates(from, to))
	return f.rates(from, to)
}
