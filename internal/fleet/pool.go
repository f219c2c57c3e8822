package fleet

import (
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Pool is a pool of workers. Work of one key runs on one worker, in submission order; each worker has a bounded queue.
type Pool struct {
	workers []*worker
	wg      sync.WaitGroup
	refused atomic.Int64
}

// worker runs the work of its queue on its own goroutine.
type worker struct {
	mu     sync.Mutex // guards closed and sends to queue; no other mutex is locked under it
	closed bool
	queue  chan func()
}

// NewPool starts the given number of workers, each with a queue of the given length.
func NewPool(workers, queueLength int) *Pool {
	p := &Pool{}
	for range max(1, workers) {
		w := &worker{queue: make(chan func(), max(1, queueLength))}
		p.workers = append(p.workers, w)
		p.wg.Go(w.run)
	}
	return p
}

func (w *worker) run() {
	for f := range w.queue {
		f()
	}
}

// Submit queues work without waiting for it. It returns false, and counts a rejection, if the worker's queue is full or
// the pool is closed.
func (p *Pool) Submit(key uint64, f func()) bool {
	if !p.worker(key).enqueue(f) {
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

func (w *worker) enqueue(f func()) bool {
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

// Rejected returns how many submissions were rejected.
func (p *Pool) Rejected() int64 { return p.refused.Load() }

// Close rejects further work and waits until all accepted work is done.
func (p *Pool) Close() {
	for _, w := range p.workers {
		w.mu.Lock()
		if !w.closed {
			w.closed = true
			close(w.queue)
		}
		w.mu.Unlock()
	}
	p.wg.Wait()
}

// Key hashes the name of a subject to a key.
func Key(subject string) uint64 { return xxhash.Sum64String(subject) }
