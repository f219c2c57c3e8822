package choice

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// All lookups fail for a minute, at once or by timeout. Whenever discovery comes back, each sender's next lookup must be near, yet the sum of
// all must stay within what discovery can take, without a burst in any second.
func TestLookupsAfterALostWatchAreInTimeAndApart(t *testing.T) {
	const senders, step, giveUp = 100, 50 * ms, 2200 * ms
	for name, took := range map[string]int64{"refused": 0, "hung": giveUp} {
		busiest := map[int64]int{}
		for _, f := range fleet(t, senders, 20) {
			f.caps.Subscribe, f.lookupAt = true, never
			f.advance(20 * second) // the watch is open
			f.UpdateList(LookupFailed, nil)
			lost, calls := f.now, 0
			for last, fails := lost, never; f.now < lost+60*second; {
				if count(f.advance(step), "subscribe") > 0 {
					assert.LessOrEqual(t, f.now-last, maxLookupGap+step, name)
					assert.True(t, calls == 0 || f.now-last >= maxLookupGap-lookupJitter-step, "%s: after %d ms", name, (f.now-last)/ms)
					last, fails = f.now, f.now+took
					calls++
					busiest[f.now/second]++
				}
				if f.now >= fails {
					fails = never
					f.UpdateList(LookupFailed, nil)
				}
			}
			assert.InDelta(t, 13, calls, 1, "%s: calls in the minute", name)
		}
		for at, n := range busiest {
			assert.Less(t, n, senders*2/5, "%s: in second %d", name, at)
		}
	}
}

// After an outage all senders want their watch at once. Discovery needs 4 s or 8 s for one lookup of each, refuses what would take longer than
// once or twice its timeout, and spends the work on what it cannot answer in time.
func TestAfterAnOutageAllWatchesAreHadFromABusyDiscovery(t *testing.T) {
	const senders, step, timeout, down = 80, 20 * ms, 2 * second, 20 * second
	for _, c := range []struct{ all, ahead, last, most int64 }{
		{4 * second, timeout, 6 * second, 1}, {8 * second, timeout, 11 * second, 2}, {8 * second, 2 * timeout, 25 * second, 3},
	} {
		fs, fails := fleet(t, senders, 20), map[*fake]int64{}
		for _, f := range fs {
			f.caps.Subscribe, f.lookupAt = true, never
			f.advance(20 * second) // the watch is open
			f.UpdateList(LookupFailed, nil)
		}
		back, calls, watching := fs[0].now+down, int64(0), 0
		for freeAt, now := back, fs[0].now; now < back+c.last; now += step {
			for _, f := range fs {
				f.SetTime(now)
				if fails[f] == now {
					f.UpdateList(LookupFailed, nil)
				}
				asked := count(f.advance(0), "subscribe") > 0
				switch done := max(freeAt, now) + c.all/senders; {
				case !asked:
				case now < back:
					fails[f] = now + timeout
				case done > now+c.ahead:
					fails[f] = now + step
				case done > now+timeout:
					freeAt, fails[f] = done, now+timeout
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
