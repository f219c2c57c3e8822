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

// After an outage all senders want their watch at once. Discovery works off one call of each in 4 s, or in 8 s, turns away what would take
// longer than once or twice its patience, and what it cannot answer within that costs it the work and fails.
func TestAfterAnOutageAllWatchesAreHadFromABusyDiscovery(t *testing.T) {
	const senders, step, patience, down = 80, 20 * ms, 2 * second, 20 * second
	for _, c := range []struct{ all, ahead, last, most int64 }{
		{4 * second, patience, 6 * second, 1}, {8 * second, patience, 11 * second, 2}, {8 * second, 2 * patience, 25 * second, 3},
	} {
		fs, fails := fleet(t, senders, 20), map[*fake]int64{}
		for _, f := range fs {
			f.allowed.Subscribe, f.askAt = true, never
			f.after(20 * second) // the watch is up
			f.Listed(LookupFailed, nil)
		}
		back, calls, watching := fs[0].now+down, int64(0), 0
		for freeAt, now := back, fs[0].now; now < back+c.last; now += step {
			for _, f := range fs {
				f.At(now)
				if fails[f] == now {
					f.Listed(LookupFailed, nil)
				}
				asked := count(f.after(0), "subscribe") > 0
				switch done := max(freeAt, now) + c.all/senders; {
				case !asked:
				case now < back:
					fails[f] = now + patience
				case done > now+c.ahead:
					fails[f] = now + step
				case done > now+patience:
					freeAt, fails[f] = done, now+patience
				default:
					freeAt, watching = done, watching+1
				}
				if asked && now >= back {
					calls++
				}
			}
		}
		assert.Equal(t, senders, watching, "%+v", c)
		assert.LessOrEqual(t, calls, c.most*senders, "%+v", c)
	}
}
