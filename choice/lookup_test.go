package choice

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// For a minute every lookup fails, at once or given up. From whatever moment discovery can be had, each sender's next call must be near,
// yet the sum of all stays what discovery bears, in no second a beat.
func TestLookupsAfterALostWatchAreInTimeAndApart(t *testing.T) {
	const senders, step, giveUp = 100, 50 * ms, 2200 * ms
	for name, took := range map[string]int64{"refused": 0, "hung": giveUp} {
		busiest := map[int64]int{}
		for _, f := range fleet(t, senders, 20) {
			f.allowed.Subscribe, f.askAt = true, never
			f.after(20 * second) // the watch is up
			f.Listed(LookupFailed, nil)
			lost, calls := f.now, 0
			for last, fails := lost, never; f.now < lost+60*second; {
				if count(f.after(step), "subscribe") > 0 {
					assert.LessOrEqual(t, f.now-last, askMost+step, name)
					assert.True(t, calls == 0 || f.now-last >= askMost-askDraw-step, "%s: after %d ms", name, (f.now-last)/ms)
					last, fails = f.now, f.now+took
					calls++
					busiest[f.now/second]++
				}
				if f.now >= fails {
					fails = never
					f.Listed(LookupFailed, nil)
				}
			}
			assert.InDelta(t, 13, calls, 1, "%s: calls in the minute", name)
		}
		for at, n := range busiest {
			assert.Less(t, n, senders*2/5, "%s: in second %d", name, at)
		}
	}
}
