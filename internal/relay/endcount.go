package relay

import (
	"slices"
	"sync"
	"sync/atomic"

	"ravenlink/internal/spool"
)

// EndCounter counts matching messages that end, whatever ends them: a purge, the fence that a message meets when it is loaded
// from disk, or the outcome of a leg.
type EndCounter struct {
	match func(*spool.Message) bool
	n     atomic.Int64
}

// Take returns the count since the last Take and resets it.
func (c *EndCounter) Take() int64 { return c.n.Swap(0) }

// Any reports whether a message was counted since the last Take.
func (c *EndCounter) Any() bool { return c.n.Load() > 0 }

// endCounters are the registered counters.
type endCounters struct {
	mu       sync.RWMutex  // never held during I/O
	counters []*EndCounter // those registered by CountEnds and not yet removed by StopCounting
}

// CountEnds registers a counter. An end is counted before it is recorded, so whoever finds a message ended finds it counted.
func (e *Engine) CountEnds(match func(*spool.Message) bool) *EndCounter {
	c := &EndCounter{match: match}
	e.endCounters.mu.Lock()
	defer e.endCounters.mu.Unlock()
	e.endCounters.counters = append(e.endCounters.counters, c)
	return c
}

// StopCounting removes a counter.
func (e *Engine) StopCounting(c *EndCounter) {
	e.endCounters.mu.Lock()
	defer e.endCounters.mu.Unlock()
	e.endCounters.counters = slices.DeleteFunc(e.endCounters.counters, func(o *EndCounter) bool { return o == c })
}

func (s *endCounters) ended(m *spool.Message) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, c := range s.counters {
		if c.match(m) {
			c.n.Add(1)
		}
	}
}
