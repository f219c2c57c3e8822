package shares

import (
	"fmt"
	"strconv"
	"testing"
)

const tickInterval = 20_000 // µs between ticks of the runtime

// newIdleTables returns the tables of one of 30 senders, with n destinations spread over them like the runtime's shards; the first busy
// ones have a limit and a waiting message.
func newIdleTables(n, busy int) []*Table {
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprintf("s%03d", i))
	}
	tables := make([]*Table, 1+n/maxDestinations)
	for i := range tables {
		tables[i] = New(names[0], names, DefaultTiming())
	}
	for i := range n {
		t, name := tables[i%len(tables)], strconv.Itoa(i)
		if i < busy {
			t.SetLimit(1_000_000, name, 50, Declared)
		}
		t.SetDemand(1_000_000, name, 0.5, 1)
		if i >= busy {
			t.SetDemand(1_000_000, name, 0, 0)
		}
	}
	return tables
}

// BenchmarkTick measures a tick of all tables of one sender. Busy destinations have a limit and a waiting message, and no owner answers.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 1_000, 13_000} {
		for _, busy := range []int{0, 100} {
			b.Run(fmt.Sprintf("%d-%d", n, busy), func(b *testing.B) {
				ts := newIdleTables(n, busy)
				now := int64(1_000_000)
				b.ResetTimer()
				for range b.N {
					now += tickInterval
					if now > 50_000_000 { // before any is evicted
						b.StopTimer()
						ts, now = newIdleTables(n, busy), 1_000_000+tickInterval
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
