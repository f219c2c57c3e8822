package daemon

import (
	"sync"

	"ravenlink/internal/relay"
)

const keepAtOnce = 200 // ends written down in one step, as many as one post of notices tells

// keeping has ends kept, and then let go, on a goroutine of its own: while the store's disk works, further ends are told.
type keeping struct {
	keep func([]relay.Undelivered)
	more chan struct{}

	mu      sync.Mutex
	waiting []relay.Undelivered // their notices are had; each is owed until it is kept, so the spool's room bounds them
}

func newKeeping(keep func([]relay.Undelivered)) *keeping {
	return &keeping{keep: keep, more: make(chan struct{}, 1)}
}

func (k *keeping) add(us []relay.Undelivered) {
	k.mu.Lock()
	k.waiting = append(k.waiting, us...)
	k.mu.Unlock()
	select {
	case k.more <- struct{}{}:
	default:
	}
}

// owed counts those that are not kept yet.
func (k *keeping) owed() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.waiting)
}

// run keeps what comes until last is closed, and then what waits.
func (k *keeping) run(last <-chan struct{}) {
	for ending := false; !ending; {
		select {
		case <-k.more:
		case <-last:
			ending = true
		}
		for k.some() {
		}
	}
}

// some keeps the oldest, and tells whether there were any. They count until that is done.
func (k *keeping) some() bool {
	k.mu.Lock()
	batch := k.waiting[:min(len(k.waiting), keepAtOnce)]
	k.mu.Unlock()
	if len(batch) == 0 {
		return false
	}
	k.keep(batch)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.waiting = k.waiting[len(batch):]; len(k.waiting) == 0 {
		k.waiting = nil
	}
	return true
}
