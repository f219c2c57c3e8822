package fleettest

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/members"
)

const (
	thinRate        = senderRate / 55 // messages per second of each sender, low because many share few cores; docs/scale.md states the omissions
	forgetLines     = 7               // counts records, one per 10 s: a destination is forgotten a minute after its last message
	rateSenders     = 4
	ownerLines      = 3     // counts records: a destination keeps its owner half a minute after its last message
	maxLimitedFleet = 30    // senders whose peer messages on shares three cores can handle
	limitedFraction = 0.01  // of all messages, to destinations with a limit
	downFraction    = 0.015 // of all messages, to destinations that are down
)

// zoneSize is the number of senders of one zone of twelve.
func zoneSize(n int) int { return (n + 6) / 12 }

// driverCost is the cost of drivers without a runtime, in percent of a core per sender, at senderRate.
func driverCost(t testing.TB, n int, seed uint64) float64 {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var all []*driver
	start, cpuTime := time.Now(), processTime()
	for i := range n {
		d := newDriver(StubOptions{}, seed<<16+uint64(i))
		d.load.Store(&Load{Thin: senderRate})
		all = append(all, d)
		running.Go(func() { d.run(ctx, noRuntime{}) })
	}
	deadline := time.Now().Add(scaleTimeout)
	for _, d := range all {
		for d.Completed.Load() < 4*senderRate {
			require.True(t, time.Now().Before(deadline), "a driver makes no progress")
			time.Sleep(scalePollInterval)
		}
	}
	cpuTime = processTime() - cpuTime
	elapsed := time.Since(start).Seconds()
	cancel()
	running.Wait()
	return 100 * cpuTime.Seconds() / elapsed / float64(n)
}

// Run holds the measured rates of one fleet, by phase.
type Run map[string]Rates

// measureFleet measures a fleet of n senders under all loads and events.
func measureFleet(t testing.TB, n int, seed uint64) Run {
	t.Helper()
	run := Run{"driver": {"core": driverCost(t, n, seed)}}
	before := currentUsage()
	f := NewStubFleet(t, n, zoneSize(n), StubOptions{}, seed, nil, nil)
	defer f.Close()
	f.WaitAllAlive()
	run["rest"] = f.measureLoad(Load{}, 1)
	run["size"] = f.growthSince(before)
	run["thin"] = f.measureLoad(Load{Thin: thinRate}, 1)
	run["down"] = f.measureLoad(Load{Thin: thinRate, Down: senderRate * downFraction}, 1)
	measureZoneDeath(t, f, run)
	if n <= maxLimitedFleet {
		run["limits"] = f.measureLoad(Load{Thin: thinRate, Limited: senderRate * limitedFraction}, ownerLines) // last, because destinations keep their owners for long
	}
	run["size after"] = f.growthSince(before)
	run["warnings"] = Rates{}
	for _, h := range f.Local {
		for text, n := range h.Records.problemCounts() {
			run["warnings"][text] += float64(n)
		}
	}
	t.Log("warnings", run["warnings"])
	return run
}

// activeLimits is the expected number of limited destinations that have had a message within the half minute for which they keep their
// owner.
func activeLimits(n float64) float64 {
	const all, window = totalDestinations / limitedEvery, 30
	return all * (1 - math.Exp(-n*senderRate*limitedFraction*window/all))
}

// growthSince is the increase of this process' resource usage per sender.
func (f *StubFleet) growthSince(before resourceUsage) Rates {
	now, senders := currentUsage(), float64(len(f.Local))
	r := Rates{"heap": (now.heap - before.heap) / senders, "descriptors": (now.descriptors - before.descriptors) / senders, "goroutines": (now.goroutines - before.goroutines) / senders}
	if f.firstInProcess { // a later fleet would reuse pages of an earlier one
		r["resident"] = (now.resident - before.resident) / senders
	}
	f.t.Logf("%d senders, resources per sender: %v", len(f.Listed), r)
	return r
}

// measureZoneDeath kills the zone's process and starts it again, and measures what that costs the other senders.
func measureZoneDeath(t testing.TB, f *StubFleet, run Run) {
	t.Helper()
	f.Load(Load{Thin: thinRate})
	event := func(name, what string, cause func(), done func(*StubSender) bool) {
		from := f.takeSnapshot()
		cause()
		f.WaitUntil(what, done)
		to := f.takeSnapshot()
		run[name] = f.rates(from, to)
		t.Logf("%d senders, %s: load %s to %s: %v", len(f.Listed), name, from.systemLoad, to.systemLoad, run[name])
	}
	event("death", "all senders see the zone dead", f.zone.kill, func(h *StubSender) bool { return h.Records.sees(members.Dead, f.zoneAddrs()) })
	event("return", "all senders see the zone alive", func() { f.zone = startZone(t, f.task); f.Load(Load{Thin: thinRate}) }, func(h *StubSender) bool {
		return h.Records.sees(members.Alive, f.zoneAddrs())
	})
	f.WaitAllAlive()
	for _, p := range f.zoneAddrs() {
		require.Equal(t, "2", f.Local[0].Records.incarnation(p.Name), fmt.Sprint(p.Name, " has a later incarnation"))
	}
}

// measureByRate measures a fleet of a few senders, which the cores can serve at full rate, at several message rates without limits, and returns
// the figures as functions of the rate.
func measureByRate(t testing.TB, rates []float64, seeds int) []Figure {
	t.Helper()
	from := loadAverage()
	core := Figure{Name: "core_a_message_a_second", Description: "processor time of one sender's fleet over its messages a second, all to destinations without a limit, a minute after they began," + withoutDriver,
		Unit: corePercent}
	bytes := Figure{Name: "bytes_a_message_a_second", Description: "bytes a second over the messages a second of one sender, all to destinations without a limit, " + wireNote, Unit: perSec}
	heap := Figure{Name: "heap_a_message_a_second", Description: "Go heap and stacks of one sender's fleet over its messages a second," + withoutDriver, Unit: "bytes"}
	all := []*Figure{&core, &bytes, &heap}
	for seed := range uint64(seeds) {
		driver, was := driverCost(t, rateSenders, seed+1), currentUsage()
		f := NewStubFleet(t, rateSenders, 0, StubOptions{}, seed+1, nil, nil)
		f.WaitAllAlive()
		for _, perSec := range rates {
			r := f.measureLoad(Load{Thin: perSec}, forgetLines)
			for i, y := range []float64{r["core"] - driver*r["messages"]/senderRate, r["bytes"], f.growthSince(was)["heap"]} {
				all[i].Points = append(all[i].Points, [2]float64{perSec, roundSignificant(y)})
			}
		}
		f.Close()
	}
	var done []Figure
	for _, f := range all {
		f.Per, f.Kind = "message a second of one sender", "measured"
		f.Run = fmt.Sprintf("%s, %d senders", describeRun(t, from, loadAverage()), rateSenders)
		f.fitLine()
		f.roundFit()
		done = append(done, *f)
		t.Logf("%s: %.4g %s at zero and %.4g per unit, scatter %.2g, %v", f.Name, f.AtZero, f.Unit, f.Slope, f.Scatter, f.Points)
	}
	return done
}

// measureIncompleteLists runs six senders, some of which do not list the last one, and logs how messages to destinations with a limit fare.
func measureIncompleteLists(t testing.TB, incomplete int) {
	t.Helper()
	f := NewStubFleet(t, 6, 0, StubOptions{Lacking: incomplete}, 1, nil, nil)
	defer f.Close()
	f.WaitUntil("all senders but the last see each other alive", func(h *StubSender) bool {
		return h == f.Local[5] || h.Records.sees(members.Alive, others(f.Listed[:5], h.PeerAddr))
	})
	r := f.measureLoad(Load{Limited: senderRate * limitedFraction}, 1)
	t.Logf("%d of 6 senders do not list the last: %.0f%% of messages to limited destinations allowed, after %.2f s, %.1f peer messages on shares sent for each and %.1f received",
		incomplete, 100*r["let"]/r["limited"], r["waited"]/r["let"], r["letters_sent_shares"]/r["limited"], r["letters_heard_shares"]/r["limited"])
}

// measureResources measures heap, file descriptors and goroutines of fleets of several sizes once all senders are connected both ways.
func measureResources(t testing.TB, sizes []float64, seeds int) []Figure {
	t.Helper()
	from, runs := loadAverage(), []sizedRun{}
	for seed := range uint64(seeds) {
		for _, n := range sizes {
			before := currentUsage()
			f := NewStubFleet(t, int(n), 0, StubOptions{}, seed+1, nil, nil)
			f.WaitAllAlive()
			at := time.Now()
			f.WaitUntil("counts records logged", func(h *StubSender) bool { return h.Records.countsSince(at) >= 2 })
			runs = append(runs, sizedRun{int(n), seed + 1, Run{"size": f.growthSince(before)}})
			f.Close()
		}
	}
	return slices.DeleteFunc(fitFigures(runs, "measured", describeRun(t, from, loadAverage())), func(f Figure) bool {
		return f.Name != "heap" && f.Name != "descriptors" && f.Name != "goroutines"
	})
}
