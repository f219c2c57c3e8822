package fleet

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"go.uber.org/goleak"

	"ravenlink/internal/ranked"
)

func TestMain(m *testing.M) {
	if len(os.Args) < 2 || !slices.ContainsFunc(os.Args, func(a string) bool { return strings.HasPrefix(a, "-test.bench=") }) {
		ranked.Watch() // which would be most of what a benchmark measures
	}
	if code := m.Run(); code != 0 {
		os.Exit(code)
	}
	goleak.VerifyTestMain(ran(0))
}

type ran int

func (r ran) Run() int { return int(r) }

func TestWorkOfOneKeyRunsInOrderAndNeverTwiceAtOnce(t *testing.T) {
	const keys, each = 16, 300
	p := NewPool(4, keys*each)
	var inside [keys]atomic.Int32
	var done [keys][]int // written by one worker alone, which the race detector sees to
	var givers sync.WaitGroup
	for k := range keys {
		givers.Go(func() {
			for i := range each {
				assert.True(t, p.Do(uint64(k), func() {
					assert.Equal(t, int32(1), inside[k].Add(1))
					done[k] = append(done[k], i)
					inside[k].Add(-1)
				}))
			}
		})
	}
	givers.Wait()
	p.Close()
	for k := range keys {
		assert.Len(t, done[k], each)
		assert.IsIncreasing(t, done[k])
	}
}

func TestAFullQueueRefusesAndCloseWaits(t *testing.T) {
	p := NewPool(2, 3)
	gate, begun, ran := make(chan struct{}), make(chan struct{}), atomic.Int32{}
	assert.True(t, p.Do(5, func() { close(begun); <-gate; ran.Add(1) }))
	<-begun
	for range 3 {
		assert.True(t, p.Do(5, func() { ran.Add(1) }))
	}
	assert.False(t, p.Do(5, func() { ran.Add(100) }))
	other := uint64(6)
	for p.worker(other) == p.worker(5) {
		other++
	}
	assert.True(t, p.Do(other, func() { close(gate) }), "a stuck key holds back none on another worker")
	p.Close()
	assert.Equal(t, int32(4), ran.Load())
	assert.False(t, p.Do(5, func() { ran.Add(100) }))
	assert.Equal(t, int64(2), p.Refused())
	p.Close()
}

// BenchmarkPool has work of about 2 µs done under a lock a key: 256 independent keys, or all of one.
func BenchmarkPool(b *testing.B) {
	for _, keys := range []int{256, 4, 1} {
		for _, workers := range []int{1, 2, 4, 8} {
			b.Run(fmt.Sprintf("keys=%d/workers=%d", keys, workers), func(b *testing.B) {
				p := NewPool(workers, 1024)
				locks := make([]*ranked.Mutex, keys)
				sums := make([]uint64, keys)
				for i := range locks {
					locks[i] = ranked.New(ranked.Shares, "bench")
				}
				text := make([]byte, 16<<10)
				for i := range b.N {
					k := i % keys
					for !p.Do(uint64(k), func() {
						locks[k].Lock()
						sums[k] += xxhash.Sum64(text)
						locks[k].Unlock()
					}) {
					}
				}
				p.Close()
			})
		}
	}
}
