// Package ranked provides mutexes with a rank. A goroutine may lock one only if its rank is above those of all ranked
// mutexes that it holds, which rules out deadlocks between them. Tests enable the check of this order; otherwise a lock
// costs one additional atomic read.
package ranked

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
)

// Rank is the position of a mutex in the lock order; higher ranks are locked later.
type Rank uint8

// The ranks of the fleet's shared tables, in lock order. Shards of one table share a rank: no two of them are held at
// once.
const (
	Members Rank = iota + 1
	Shares
	Verdicts
	Purge
	Channels
	Log
	Links
)

func (r Rank) String() string {
	names := [...]string{"no rank", "members", "shares", "verdicts", "purge", "channels", "log", "links"}
	if int(r) < len(names) {
		return names[r]
	}
	return "rank " + strconv.Itoa(int(r))
}

// Mutex is a mutex with a rank. It must be created by New.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
	name string
}

// New creates a mutex; the name appears in the panic on a violation of the lock order.
func New(rank Rank, name string) *Mutex { return &Mutex{rank: rank, name: name} }

// Lock locks m. With checks enabled it panics if the goroutine holds a mutex whose rank is not lower.
func (m *Mutex) Lock() {
	if enabled.Load() {
		m.acquire()
	}
	m.mu.Lock()
}

// Unlock unlocks m. It must run on the goroutine that locked it.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	if enabled.Load() {
		m.release()
	}
}

var (
	enabled atomic.Bool
	heldMu  sync.Mutex
	held    = map[uint64][]*Mutex{} // by goroutine ID; an entry is deleted when its last mutex is unlocked
)

// EnableChecks turns on the check of the lock order. It is for tests and must run before any mutex is locked.
func EnableChecks() { enabled.Store(true) }

// HeldCount returns how many mutexes this goroutine holds, as far as checks are enabled. It is for tests of code that
// must run without any.
func HeldCount() int {
	heldMu.Lock()
	defer heldMu.Unlock()
	return len(held[goroutineID()])
}

func (m *Mutex) acquire() {
	g := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	for _, h := range held[g] {
		if h.rank >= m.rank {
			panic(fmt.Sprintf("lock %s (%v) taken while %s (%v) is held", m.name, m.rank, h.name, h.rank))
		}
	}
	held[g] = append(held[g], m)
}

func (m *Mutex) release() {
	g := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	for i, h := range held[g] {
		if h == m {
			if held[g] = append(held[g][:i], held[g][i+1:]...); len(held[g]) == 0 {
				delete(held, g)
			}
			return
		}
	}
	panic(fmt.Sprintf("lock %s (%v) let go by a goroutine that does not hold it", m.name, m.rank))
}

// goroutineID parses the ID of the calling goroutine from the first line of its stack trace, the only place that shows
// it.
func goroutineID() uint64 {
	var line [32]byte // "goroutine 18446744073709551615"
	text := bytes.TrimPrefix(line[:runtime.Stack(line[:], false)], []byte("goroutine "))
	number, _, _ := bytes.Cut(text, []byte(" "))
	g, _ := strconv.ParseUint(string(number), 10, 64)
	return g
}

// AssertNoneHeld panics, with checks enabled, if the calling goroutine holds a ranked mutex. The text names the
// operation that must run without one.
func AssertNoneHeld(what string) {
	if !enabled.Load() {
		return
	}
	heldMu.Lock()
	defer heldMu.Unlock()
	if held := held[goroutineID()]; len(held) > 0 {
		panic(fmt.Sprintf("%s while lock %s (%v) is held", what, held[0].name, held[0].rank))
	}
}
