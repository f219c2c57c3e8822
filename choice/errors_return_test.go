package choice

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a backlog that all senders which found a return together release at one moment, when their slow starts end.
func TestReturnAfterErrorsBearsTheSumOfAllSenders(t *testing.T) {
	t.Parallel()
	overloaded, byAware := 0, 0
	for seed := range uint64(60) {
		for _, capacity := range []float64{4, 8, 16, 50} {
			d := returnScenario{threeRoots: true, senders: 34, endpoints: 1, capacity: capacity, fault: "errors", trust: NoWeight, load: 1, retryAfterShare: .5, spread: .3,
				from: 3 * second, backAt: 11 * second, restarted: []float64{0, .5}[seed%2]}
			if w := d.play(seed*7 + 3); w.overloaded {
				t.Logf("seed %d, capacity %v: fell %d ms after the return, by senders that had seen the outage: %v", seed, capacity, (w.now-w.backAt)/ms, w.byAware)
				if overloaded++; w.byAware {
					byAware++
				}
			}
		}
	}
	t.Logf("of 240 returns %d overloaded, %d by senders that had seen the outage", overloaded, byAware)
	assert.Zero(t, overloaded)
}
