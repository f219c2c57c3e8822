package gossip

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	mode      = flag.String("figures", "", "print figures for the docs: spread, burst or crash (minutes)")
	fleetSize = flag.Int("size", 0, "only for a fleet of this many senders; 0 for all up to 300")
	plotFile  = flag.String("plot", "", "draw the spread into this file")
)

func TestPropagationGoalWith30Senders(t *testing.T) {
	s := Spread(30, 0.1, 1, 20, 500_000)
	require.GreaterOrEqual(t, s.Within(1000), 0.99)
	require.Less(t, s.MaxRate, 2000.0)
}

func TestFigures(t *testing.T) {
	var curves []Curve
	for _, n := range []int{3, 30, 300, 1000} {
		for _, loss := range []float64{0, 0.1, 0.3} {
			if *mode == "" || *fleetSize > 0 && *fleetSize != n || *fleetSize == 0 && n > 300 {
				continue
			}
			name := fmt.Sprintf("%d senders, %.0f%% loss", n, loss*100)
			if c := printFigures(name, n, loss); n <= 300 {
				curves = append(curves, c)
			}
		}
	}
	if *plotFile != "" {
		require.NoError(t, Plot(*plotFile, curves))
	}
}

func printFigures(name string, n int, loss float64) Curve {
	var s Propagation
	switch *mode {
	case "spread":
		s = Spread(n, loss, 1, 60, 500_000)
	case "busy":
		s = Spread(n, loss, 1, 120, 250_000)
	case "burst":
		s = Burst(n, loss, 1, 10)
	case "crash":
		var detectionTimes []float64
		var slowest, falseSuspects, falseDeaths, rate float64
		runs := max(2, 30/n)
		for seed := range runs {
			w := Crash(n, loss, uint64(seed+1), 60)
			detectionTimes = append(detectionTimes, w.DetectionTimes...)
			slowest = max(slowest, w.DetectionTimes[len(w.DetectionTimes)-1])
			falseSuspects, falseDeaths, rate = falseSuspects+w.FalseSuspects/float64(runs), falseDeaths+w.FalseDeaths/float64(runs), rate+w.Rate/float64(runs)
		}
		slices.Sort(detectionTimes)
		fmt.Printf("%s: crash held gone by the first after %.2f s, half %.2f, 99%% %.2f, all %.2f; false doubts %.1f, gone %.2f a fleet and hour; %.0f B/s\n",
			name, detectionTimes[0], detectionTimes[len(detectionTimes)/2], detectionTimes[len(detectionTimes)*99/100], slowest, falseSuspects, falseDeaths, rate)
		return Curve{}
	}
	fmt.Printf("%s: after 20 ms %.2f%%, 100 ms %.2f%%, 250 ms %.2f%%, 500 ms %.2f%%, 1 s %.2f%%, 2 s %.2f%%; 99%% after %.0f ms; %.0f B/s a sender, at most %.0f\n",
		name, 100*s.Within(20), 100*s.Within(100), 100*s.Within(250), 100*s.Within(500), 100*s.Within(1000), 100*s.Within(2000), s.After(0.99), s.Rate, s.MaxRate)
	return Curve{name, s}
}
