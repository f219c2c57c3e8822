package platform

import (
	"context"
	"sync"
)

// Agent is where discovery and the platform are. A new start file may move it.
type Agent struct {
	mu   sync.Mutex
	addr string
	here context.Context // ends when it moves
	left context.CancelFunc
}

// NewAgent is at an address.
func NewAgent(addr string) *Agent {
	a := &Agent{addr: addr}
	a.here, a.left = context.WithCancel(context.Background())
	return a
}

// place is an address where the agent is, until stays ends.
type place struct {
	addr  string
	stays context.Context
}

func (a *Agent) place() place {
	a.mu.Lock()
	defer a.mu.Unlock()
	return place{a.addr, a.here}
}

// during does something at the address, within a context that ends with ctx or when the address is no longer the
// one, and tells whether that was cut short.
func (a *Agent) during(ctx context.Context, do func(here context.Context, addr string)) (cut bool) {
	return a.place().during(ctx, do)
}

func (p place) during(ctx context.Context, do func(here context.Context, addr string)) (cut bool) {
	here, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.stays, cancel)()
	do(here, p.addr)
	return here.Err() != nil
}

// Move has all that goes on at the old address begin anew at the new one.
func (a *Agent) Move(addr string) (moved bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.addr {
		return false
	}
	a.left()
	a.addr = addr
	a.here, a.left = context.WithCancel(context.Background())
	return true
}
