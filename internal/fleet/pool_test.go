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
		ranked.EnableChecks() // with checks enabled, a benchmark would measure little else
	}
	if code := m.Run(); code != 0 {
		os.Exit(code)
	}
	goleak.VerifyTestMain(exitCode(0))
}

type exitCode int

func (r exitCode) Run() int { return int(r) }

func TestPoolSerializesWorkOfOneKey(t *testing.T) {
	const keys, each = 16, 300
	p := NewPool(4, keys*each)
	var inside [keys]atomic.Int32
	var done [keys][]int // each written by one worker only, which the race detector checks
	var submitters sync.WaitGroup
	for k := range keys {
		submitters.Go(func() {
			for i := range each {
				assert.True(t, p.Submit(uint64(k), func() {
					assert.Equal(t, int32(1), inside[k].Add(1))
					done[k] = append(done[k], i)
					inside[k].Add(-1)
				}))
			}
		})
	}
	submitters.Wait()
	p.Close()
	for k := range keys {
		assert.Len(t, done[k], each)
		assert.IsIncreasing(t, done[k])
	}
}

func TestPoolRejectsWhenFullAndCloseWaits(t *testing.T) {
	p := NewPool(2, 3)
	gate, started, ran := make(chan struct{}), make(chan struct{}), atomic.Int32{}
	assert.True(t, p.Submit(5, func() { close(started); <-gate; ran.Add(1) }))
	<-started
	for range 3 {
		assert.True(t, p.Submit(5, func() { ran.Add(1) }))
	}
	assert.False(t, p.Submit(5, func() { ran.Add(100) }))
	other := uint64(6)
	for p.worker(other) == p.worker(5) {
		other++
	}
	assert.True(t, p.Submit(other, func() { close(gate) }), "a blocked key does not block other workers")
	p.Close()
	assert.Equal(t, int32(4), ran.Load())
	assert.False(t, p.Submit(5, func() { ran.Add(100) }))
	assert.Equal(t, int64(2), p.Rejected())
	p.Close()
}

// BenchmarkPool runs work of about 2 µs under one mutex per key, with 256, 4 or 1 keys.
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
					for !p.Submit(uint64(k), func() {
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
