package platform

import (
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// busyDiscovery answers one call after the other and rejects those it could not answer in 2 s. Its watches
// send heartbeats until silence is closed.
type busyDiscovery struct {
	mu       sync.Mutex
	callCost time.Duration // per call
	freeAt   time.Time
	calls    int
	silence  chan struct{}
}

// serve answers or rejects a call and calls answered once it has sent the list.
func (b *busyDiscovery) serve(c net.Conn, answered func()) {
	b.mu.Lock()
	b.calls++
	now, silence := time.Now(), b.silence
	done := now.Add(max(0, b.freeAt.Sub(now)) + b.callCost)
	ok := done.Sub(now) <= 2*time.Second
	if ok {
		b.freeAt = done
	}
	b.mu.Unlock()
	if !ok {
		time.Sleep(20 * time.Millisecond)
		callFailures["503"](c)
		return
	}
	time.Sleep(time.Until(done))
	if _, err := io.WriteString(c, head+chunk(list)); err != nil {
		return
	}
	answered()
	for {
		select {
		case <-silence:
			return
		case <-time.After(2 * time.Second):
			if _, err := io.WriteString(c, chunk("\n")); err != nil {
				return
			}
		}
	}
}

// silenceWatches makes all open watches fall silent. It returns the number of calls so far and resets the
// count.
func (b *busyDiscovery) silenceWatches() (calls int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.silence)
	calls, b.silence, b.calls = b.calls, make(chan struct{}), 0
	return calls
}

// All senders of a fleet lose their watches at once, where lists are requested on demand. All must reopen one
// in time, from a discovery that is only just fast enough, with few superfluous calls.
func TestAllWatchesOfAFleetReconnectInTime(t *testing.T) {
	const senders = 80
	for name, c := range map[string]struct {
		all, limit time.Duration // time to answer one call of each sender, and time by which all must be answered
		lose       func(b *busyDiscovery, ps []*discoveryTest) (calls int)
	}{
		"silent": {4 * time.Second, onDemandLimit - margin, func(b *busyDiscovery, _ []*discoveryTest) int { return b.silenceWatches() }},
		"moved": {2500 * time.Millisecond, moveLimit - margin, func(b *busyDiscovery, ps []*discoveryTest) int {
			for _, p := range ps {
				p.agent.Move("there")
			}
			return b.silenceWatches()
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := &busyDiscovery{callCost: c.all / senders, silence: make(chan struct{})}
			var ps []*discoveryTest
			for i := range senders {
				ps = append(ps, startDiscovery(t, time.Duration(i+1), onDemand, func(p *discoveryTest, _ string) behaviour {
					return func(c net.Conn) { b.serve(c, func() { p.deliveredAt.Store(time.Now().UnixNano()) }) }
				}))
			}
			time.Sleep(20 * time.Second)
			lost := time.Now()
			assert.Equal(t, senders, c.lose(b, ps), "%s: one call of each from the start", name)
			time.Sleep(c.limit)
			late, worst := 0, time.Duration(0)
			for _, p := range ps {
				if took := time.Unix(0, p.deliveredAt.Load()).Sub(lost); took < 0 {
					late++
				} else {
					worst = max(worst, took)
				}
			}
			calls := b.silenceWatches()
			t.Log(name, worst, calls)
			assert.Zero(t, late, name)
			assert.Less(t, calls, senders*5/4, "%s: calls", name)
		})
	}
}
