package choice

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a backlog that all senders which found a return together let go at one moment, as their slow starts end.
func TestReturnAfterErrorsBearsTheSumOfAllSenders(t *testing.T) {
	t.Parallel()
	fell, broken := 0, 0
	for seed := range uint64(60) {
		for _, capacity := range []float64{4, 8, 16, 50} {
			d := coldDay{threeRoots: true, senders: 34, endpoints: 1, capacity: capacity, how: "errors", trust: NoWeight, load: 1, tells: .5, spread: .3,
				from: 3 * second, backAt: 11 * second, restarted: []float64{0, .5}[seed%2]}
			if w := d.play(seed*7 + 3); w.fell {
				t.Logf("seed %d, capacity %v: fell %d ms after the return, by senders that had been told: %v", seed, capacity, (w.now-w.backAt)/ms, w.broken)
				if fell++; w.broken {
					broken++
				}
			}
		}
	}
	t.Logf("of 240 returns %d pushed over, %d by senders that had been told", fell, broken)
	assert.Zero(t, fell)
}
