package members

import (
	"flag"
	"fmt"
	"slices"
	"testing"
)

var measure = flag.Bool("measure", false, "print the figures of docs/members.md (minutes)")
var only = flag.Int("members", 0, "measure this size alone")

func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	for _, n := range []int{3, 30, 300} {
		if *only > 0 && n != *only {
			continue
		}
		for _, loss := range []float64{0, 0.1, 0.3} {
			figures(t, n, loss)
		}
	}
}

// figures: a calm time, then one crash in each of a few runs.
func figures(t *testing.T, n int, loss float64) {
	var found, all []float64
	var bytes, doubted, gone, calm float64
	runs := max(2, 60/n)
	for seed := range runs {
		m, fs := fleetOf(n, uint64(seed+1))
		m.Loss = loss
		m.Run(60e6)
		m.Took = func(_, _, size int) { bytes += float64(size) }
		was := make([]map[string]State, n)
		for i := range was {
			was[i] = map[string]State{}
		}
		for end := m.Now + 120e6; m.Now < end; {
			m.Run(m.Now + 100_000)
			for i, f := range fs {
				for _, p := range f.peers {
					if s := p.State; s != was[i][p.Name] {
						if s == Doubted {
							doubted++
						} else if s == Gone {
							gone++
						}
						was[i][p.Name] = s
					}
				}
			}
		}
		calm += 120 * float64(n)
		m.Took = nil
		victim := n / 2
		m.Nodes[victim] = nil
		at, seen := m.Now, map[int]bool{}
		for m.Now < at+90e6 && len(seen) < n-1 {
			m.Run(m.Now + 50_000)
			for i, f := range fs {
				if i != victim && !seen[i] && f.byName[m.Names[victim]].State == Gone {
					seen[i] = true
					found = append(found, float64(m.Now-at)/1e6)
				}
			}
		}
		all = append(all, float64(m.Now-at)/1e6)
	}
	slices.Sort(found)
	fmt.Printf("%4d members, %2.0f%% loss: first %.2f s, half %.2f s, all %.2f s; false doubts %.3f, false gone %.4f a member and hour of its view; %.0f B/s\n",
		n, loss*100, found[0], found[len(found)/2], slices.Max(all), doubted/calm*3600, gone/calm*3600, bytes/calm)
}
