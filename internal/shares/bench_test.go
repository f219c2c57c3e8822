package shares

import (
	"fmt"
	"strconv"
	"testing"
)

const beat = 20_000 // µs between two ticks of the runtime

// idlers gives a table of 30 senders that knows so many destinations without a limit, spread over tables as the runtime's shards are.
func idlers(n, busy int) []*Table {
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprintf("s%03d", i))
	}
	ts := make([]*Table, 1+n/placesMost)
	for i := range ts {
		ts[i] = New(names[0], names, Usual())
	}
	for i := range n {
		t, name := ts[i%len(ts)], strconv.Itoa(i)
		if i < busy {
			t.Limit(1_000_000, name, 50, Declared)
		}
		t.Need(1_000_000, name, 0.5, 1)
		if i >= busy {
			t.Need(1_000_000, name, 0, 0)
		}
	}
	return ts
}

// BenchmarkTick gives the time of a tick of all tables of one sender; those that are busy have a limit and a message that waits, and no
// owner answers them.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 1_000, 13_000} {
		for _, busy := range []int{0, 100} {
			b.Run(fmt.Sprintf("%d-%d", n, busy), func(b *testing.B) {
				ts := idlers(n, busy)
				now := int64(1_000_000)
				b.ResetTimer()
				for range b.N {
					now += beat
					if now > 50_000_000 { // none is forgotten
						b.StopTimer()
						ts, now = idlers(n, busy), 1_000_000+beat
						b.StartTimer()
					}
					for _, t := range ts {
						t.Tick(now)
					}
				}
			})
		}
	}
}
