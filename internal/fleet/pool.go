package fleet

import (
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Pool is a pool of workers. Work of one key runs on one worker, in the order in which it was given; each worker has a bounded queue.
type Pool struct {
	workers []*worker
	running sync.WaitGroup
	refused atomic.Int64
}

// worker has a queue and a goroutine of its own.
type worker struct {
	mu     sync.Mutex // over closed and the sending side; it leads to no other lock
	closed bool
	queue  chan func()
}

// NewPool starts so many workers, each with a queue of so many places.
func NewPool(workers, places int) *Pool {
	p := &Pool{}
	for range max(1, workers) {
		w := &worker{queue: make(chan func(), max(1, places))}
		p.workers = append(p.workers, w)
		p.running.Go(w.run)
	}
	return p
}

func (w *worker) run() {
	for f := range w.queue {
		f()
	}
}

// Do queues work and does not wait for it; false when its worker's queue is full or the pool is closed, which is counted.
func (p *Pool) Do(key uint64, f func()) bool {
	if !p.worker(key).take(f) {
		p.refused.Add(1)
		return false
	}
	return true
}

func (p *Pool) worker(key uint64) *worker {
	var text [8]byte
	binary.LittleEndian.PutUint64(text[:], key)
	return p.workers[xxhash.Sum64(text[:])%uint64(len(p.workers))]
}

func (w *worker) take(f func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	select {
	case w.queue <- f:
		return true
	default:
		return false
	}
}

// Refused counts the work that was not taken.
func (p *Pool) Refused() int64 { return p.refused.Load() }

// Close takes no more work and waits until all that was taken is done.
func (p *Pool) Close() {
	for _, w := range p.workers {
		w.mu.Lock()
		if !w.closed {
			w.closed = true
			close(w.queue)
		}
		w.mu.Unlock()
	}
	p.running.Wait()
}

// Key is the key of a subject that is named by text.
func Key(subject string) uint64 { return xxhash.Sum64String(subject) }
