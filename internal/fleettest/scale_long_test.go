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
	thinly        = perSender / 55 // messages a second of each sender where many share few cores; docs/scale.md says what it leaves out
	settle        = 7              // lines of counts, of 10 s each: a destination is forgotten a minute after its last message
	byRateSenders = 4
	owned         = 3     // lines of counts: a destination keeps its owner half a minute after its last message
	mostLimited   = 30    // senders whose letters on shares three cores can bear
	limitPct      = 0.01  // of all messages go to destinations with a limit
	downPct       = 0.015 // and to those that are down
)

// aTwelfth of a fleet is a zone of twelve.
func aTwelfth(n int) int { return (n + 6) / 12 }

// alone is what drivers cost without any runtime, in percent of a core for each sender, at 220 messages a second.
func alone(t testing.TB, n int, seed uint64) float64 {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var all []*driver
	from, worked := time.Now(), processTime()
	for i := range n {
		d := newDriver(Wants{}, seed<<16+uint64(i))
		d.load.Store(&Load{Thin: perSender})
		all = append(all, d)
		running.Go(func() { d.run(ctx, nobody{}) })
	}
	limit := time.Now().Add(patience)
	for _, d := range all {
		for d.Done.Load() < 4*perSender {
			require.True(t, time.Now().Before(limit), "a driver stands")
			time.Sleep(scaleLook)
		}
	}
	worked = processTime() - worked
	took := time.Since(from).Seconds()
	cancel()
	running.Wait()
	return 100 * worked.Seconds() / took / float64(n)
}

// Run is what one fleet was measured with, by phase and name.
type Run map[string]Rates

// measure has a fleet of n go through all loads and events.
func measure(t testing.TB, n int, seed uint64) Run {
	t.Helper()
	got := Run{"driver": {"core": alone(t, n, seed)}}
	was := sizeNow()
	f := NewHollowFleet(t, n, aTwelfth(n), Wants{}, seed, nil, nil)
	defer f.Close()
	f.UntilMet()
	got["rest"] = f.window(Load{}, 1)
	got["size"] = f.grown(was)
	got["thin"] = f.window(Load{Thin: thinly}, 1)
	got["down"] = f.window(Load{Thin: thinly, Down: perSender * downPct}, 1)
	zoneDies(t, f, got)
	if n <= mostLimited {
		got["limits"] = f.window(Load{Thin: thinly, Limited: perSender * limitPct}, owned) // last: owners stay for long
	}
	got["size after"] = f.grown(was)
	got["warnings"] = Rates{}
	for _, h := range f.Own {
		for text, n := range h.Lines.warnings() {
			got["warnings"][text] += float64(n)
		}
	}
	t.Log("warnings", got["warnings"])
	return got
}

// inUse is how many destinations with a limit have had a message within the half minute for which they keep their owner, reckoned.
func inUse(n float64) float64 {
	const all, span = wholeFleet / limitedOne, 30
	return all * (1 - math.Exp(-n*perSender*limitPct*span/all))
}

// grown is what this process holds more than it did, a sender.
func (f *HollowFleet) grown(was size) Rates {
	is, own := sizeNow(), float64(len(f.Own))
	r := Rates{"heap": (is.heap - was.heap) / own, "descriptors": (is.descriptors - was.descriptors) / own, "goroutines": (is.goroutines - was.goroutines) / own}
	if f.first { // pages that an earlier fleet has left would count less
		r["resident"] = (is.resident - was.resident) / own
	}
	f.t.Logf("%d senders hold: %v", len(f.Listed), r)
	return r
}

// zoneDies kills the zone's process and starts it again, and takes down what that costs the others.
func zoneDies(t testing.TB, f *HollowFleet, got Run) {
	t.Helper()
	f.Load(Load{Thin: thinly})
	event := func(name, what string, cause func(), done func(*Hollow) bool) {
		from := f.now()
		cause()
		f.Until(what, done)
		to := f.now()
		got[name] = f.rates(from, to)
		t.Logf("%d senders, %s: load %s to %s: %v", len(f.Listed), name, from.machine, to.machine, got[name])
	}
	event("death", "all see the zone gone", f.zone.kill, func(h *Hollow) bool { return h.Lines.sees(members.Gone, f.zoned()) })
	event("return", "all see the zone again", func() { f.zone = startZone(t, f.task); f.Load(Load{Thin: thinly}) }, func(h *Hollow) bool {
		return h.Lines.sees(members.Alive, f.zoned())
	})
	f.UntilMet()
	for _, p := range f.zoned() {
		require.Equal(t, "2", f.Own[0].Lines.incarnation(p.Name), fmt.Sprint(p.Name, " is a later incarnation"))
	}
}

// byRate has a fleet of a few senders, whose cores can bear it, take thin messages at each of some rates, and gives the figures over the rate.
func byRate(t testing.TB, rates []float64, seeds int) []Figure {
	t.Helper()
	from := machineLoad()
	core := Figure{Name: "core_a_message_a_second", What: "processor time of one sender's fleet over its messages a second, all to destinations without a limit, a minute after they began," + ownOff,
		Unit: perCore}
	bytes := Figure{Name: "bytes_a_message_a_second", What: "bytes a second over the messages a second of one sender, all to destinations without a limit, " + wire, Unit: perSec}
	heap := Figure{Name: "heap_a_message_a_second", What: "Go heap and stacks of one sender's fleet over its messages a second," + ownOff, Unit: "bytes"}
	all := []*Figure{&core, &bytes, &heap}
	for seed := range uint64(seeds) {
		driver, was := alone(t, byRateSenders, seed+1), sizeNow()
		f := NewHollowFleet(t, byRateSenders, 0, Wants{}, seed+1, nil, nil)
		f.UntilMet()
		for _, perSec := range rates {
			r := f.window(Load{Thin: perSec}, settle)
			for i, y := range []float64{r["core"] - driver*r["messages"]/perSender, r["bytes"], f.grown(was)["heap"]} {
				all[i].Points = append(all[i].Points, [2]float64{perSec, round(y)})
			}
		}
		f.Close()
	}
	var done []Figure
	for _, f := range all {
		f.Per, f.Kind = "message a second of one sender", "measured"
		f.Run = fmt.Sprintf("%s, %d senders", ofRun(t, from, machineLoad()), byRateSenders)
		f.fit()
		f.short()
		done = append(done, *f)
		t.Logf("%s: %.4g %s at none and %.4g for each, scatter %.2g, %v", f.Name, f.AtZero, f.Unit, f.Slope, f.Scatter, f.Points)
	}
	return done
}

// differing has six senders of which some do not list the last one, and tells what becomes of messages to destinations with a limit.
func differing(t testing.TB, lacking int) {
	t.Helper()
	f := NewHollowFleet(t, 6, 0, Wants{Lacking: lacking}, 1, nil, nil)
	defer f.Close()
	f.Until("all but the last see one another", func(h *Hollow) bool {
		return h == f.Own[5] || h.Lines.sees(members.Alive, besides(f.Listed[:5], h.Place))
	})
	r := f.window(Load{Limited: perSender * limitPct}, 1)
	t.Logf("%d of 6 senders do not list the last: %.0f%% of messages to limited destinations let go, after %.2f s, %.1f letters on shares sent for each and %.1f heard",
		lacking, 100*r["let"]/r["limited"], r["waited"]/r["let"], r["letters_sent_shares"]/r["limited"], r["letters_heard_shares"]/r["limited"])
}

// weights gives what fleets of these sizes hold once each sender has a live connection each way with each other.
func weights(t testing.TB, sizes []float64, seeds int) []Figure {
	t.Helper()
	from, runs := machineLoad(), []sized{}
	for seed := range uint64(seeds) {
		for _, n := range sizes {
			was := sizeNow()
			f := NewHollowFleet(t, int(n), 0, Wants{}, seed+1, nil, nil)
			f.UntilMet()
			at := time.Now()
			f.Until("lines of counts", func(h *Hollow) bool { return h.Lines.linesSince(at) >= 2 })
			runs = append(runs, sized{int(n), seed + 1, Run{"size": f.grown(was)}})
			f.Close()
		}
	}
	return slices.DeleteFunc(figures(runs, "measured", ofRun(t, from, machineLoad())), func(f Figure) bool {
		return f.Name != "heap" && f.Name != "descriptors" && f.Name != "goroutines"
	})
}
