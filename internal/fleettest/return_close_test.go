package fleettest

import (
	"math/rand/v2"
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
