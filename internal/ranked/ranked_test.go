package ranked

import (
	"os"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestMain(m *testing.M) {
	EnableChecks()
	os.Exit(m.Run())
}

func TestLockOrderViolationPanics(t *testing.T) {
	low, high, twin := New(Members, "members"), New(Log, "log"), New(Log, "twin")
	low.Lock()
	high.Lock()
	assert.Equal(t, 2, HeldCount())
	assert.PanicsWithValue(t, "lock twin (log) taken while log (log) is held", twin.Lock, "two mutexes of one rank are never held at once")
	high.Unlock()
	low.Unlock()
	high.Lock()
	assert.PanicsWithValue(t, "lock members (members) taken while log (log) is held", low.Lock)
	high.Unlock()
	assert.Zero(t, HeldCount())
}

func TestLocksOfOtherGoroutinesAreIgnored(t *testing.T) {
	low, high := New(Members, "members"), New(Log, "log")
	high.Lock()
	var wg sync.WaitGroup
	wg.Go(func() {
		low.Lock()
		low.Unlock()
		assert.PanicsWithValue(t, "lock log (log) let go by a goroutine that does not hold it", func() { high.release() })
	})
	wg.Wait()
	high.Unlock()
}

func TestMutexExcludes(t *testing.T) {
	m, n := New(Shares, "shares"), 0
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 200 {
				m.Lock()
				n++
				m.Unlock()
			}
		})
	}
	wg.Wait()
	assert.Equal(t, 1600, n)
}
