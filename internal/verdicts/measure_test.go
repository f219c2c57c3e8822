package verdicts

import (
	"flag"
	"fmt"
	"slices"
	"testing"
)

var (
	measure = flag.Bool("measure", false, "print the figures of docs/verdicts.md (minutes)")
	only    = flag.Int("senders", 0, "measure this size alone")
)

func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	for _, n := range []int{3, 30, 300, 1000} {
		for _, loss := range []float64{0, 0.1, 0.3} {
			if *only == 0 || *only == n {
				figures(n, loss)
			}
		}
	}
}

// figures: two facts a second, each from another sender on another place; who knows of them after how long.
func figures(n int, loss float64) {
	m, ts := senders(n, 1)
	m.Loss = loss
	m.Run(20e6)
	bytes := make([]int, n)
	m.Took = func(from, _, size int) { bytes[from] += size }
	var lags []float64
	facts := 60
	start := m.Now
	for k := range facts {
		s := Subject{Dst: int64(k), Receiver: "10.0.0.1:80"}
		origin := k * 7 % n
		at := m.Now
		m.Post(origin, ts[origin].Own(at, Fact{Subject: s, Kind: Limit, Level: 100}))
		knows := make([]bool, n)
		left := n
		for m.Now < at+500_000 || left > 0 && m.Now < at+20e6 {
			for i, x := range ts {
				if !knows[i] && len(x.Of(m.Now, s)) > 0 {
					knows[i] = true
					left--
					lags = append(lags, float64(m.Now-at)/1e3)
				}
			}
			m.Run(m.Now + 10_000)
		}
	}
	slices.Sort(lags)
	within := func(ms float64) float64 {
		i, _ := slices.BinarySearch(lags, ms+0.5)
		return 100 * float64(i) / float64(facts*n)
	}
	sum, most := 0, 0
	for _, b := range bytes {
		sum += b
		most = max(most, b)
	}
	span := float64(m.Now-start) / 1e6
	fmt.Printf("%4d senders, %2.0f%% loss: know after 20 ms %.2f%%, 100 ms %.2f%%, 250 ms %.2f%%, 500 ms %.2f%%, 1 s %.2f%%, 2 s %.2f%%; last %.0f ms; %.0f B/s a sender, at most %.0f (%.2f facts/s)\n",
		n, loss*100, within(20), within(100), within(250), within(500), within(1000), within(2000), lags[len(lags)-1],
		float64(sum)/span/float64(n), float64(most)/span, float64(facts)/span)
}
