package fleettest

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestASenderThatStartsAsItsPlayEndsIsKilledWithIt(t *testing.T) {
	t.Parallel()
	p := &returnRig{ReturnPlay: ReturnPlay{Seed: 1, Senders: 1, Capacities: []float64{1}, Out: 1, Endpoints: 1, Weights: "off"}, t: t, dir: t.TempDir(),
		done: make(chan struct{}), more: make(chan struct{}), draw: rand.New(rand.NewPCG(1, 44)), handIns: map[string]int{},
		holder: map[string]int{}, messages: map[string]*handed{}, start: time.Now()}
	p.setUp()
	s := p.senders[0]
	p.spawn(s)
	s.mu.Lock()
	first := s.ended
	s.mu.Unlock()
	p.work.Go(func() { // as a restart whose time has come
		<-first
		p.spawn(s)
	})
	p.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Nil(t, s.cmd)
	select {
	case <-s.ended:
	default:
		require.Fail(t, "its process goes on")
	}
}

// A handler of the platform goes on after its server is closed. What it then asks for is neither done nor waited for; with the race detector this
// also guards against a wait group that grows beside its wait.
func TestNoEventBeginsAsItsPlayEnds(t *testing.T) {
	t.Parallel()
	p := &returnRig{ReturnPlay: ReturnPlay{Seed: 1, Capacities: []float64{1}, Out: 1, Endpoints: 1}, t: t, dir: t.TempDir(), begun: true,
		done: make(chan struct{}), more: make(chan struct{}), draw: rand.New(rand.NewPCG(1, 44)), handIns: map[string]int{},
		holder: map[string]int{}, messages: map[string]*handed{}, start: time.Now()}
	p.setUp()
	var done atomic.Int64
	var handlers sync.WaitGroup
	asked := make(chan struct{})
	for range 4 {
		handlers.Go(func() {
			asked <- struct{}{}
			for range 200 {
				p.at(p.now()+time.Hour, func() { done.Add(1) })
			}
		})
	}
	for range 4 {
		<-asked
	}
	p.close()
	handlers.Wait()
	for range 100 {
		p.at(0, func() { done.Add(1) })
	}
	p.work.Wait()
	require.Zero(t, done.Load(), "events that were done after the play")
}
