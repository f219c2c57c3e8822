package platform

import (
	"context"
	"sync"
)

// Agent holds the address of discovery and the platform. A new start file may change it.
type Agent struct {
	mu            sync.Mutex
	addr          string
	current       context.Context // ends when the address changes
	cancelCurrent context.CancelFunc
}

// NewAgent creates an Agent with an initial address.
func NewAgent(addr string) *Agent {
	a := &Agent{addr: addr}
	a.current, a.cancelCurrent = context.WithCancel(context.Background())
	return a
}

// location is an address of the agent, valid until the context valid ends.
type location struct {
	addr  string
	valid context.Context
}

func (a *Agent) location() location {
	a.mu.Lock()
	defer a.mu.Unlock()
	return location{a.addr, a.current}
}

// runAt calls do with the current address and a context that ends with ctx or when the address changes, and
// reports whether that context has ended.
func (a *Agent) runAt(ctx context.Context, do func(runCtx context.Context, addr string)) (cancelled bool) {
	return a.location().run(ctx, do)
}

func (p location) run(ctx context.Context, do func(runCtx context.Context, addr string)) (cancelled bool) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.valid, cancel)()
	do(runCtx, p.addr)
	return runCtx.Err() != nil
}

// Move changes the address. Everything in progress at the old address starts again at the new one.
func (a *Agent) Move(addr string) (moved bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.addr {
		return false
	}
	a.cancelCurrent()
	a.addr = addr
	a.current, a.cancelCurrent = context.WithCancel(context.Background())
	return true
}
