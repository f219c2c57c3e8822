// Package ranked has locks with a rank: a goroutine may take one only above all those that it holds, so that no two goroutines
// can wait for one another. Tests have the order watched; in service a lock costs one more read of a flag.
package ranked

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
)

// Rank says how far down a lock stands; a higher one is taken later.
type Rank uint8

// The ranks of the fleet's shared tables, in the order in which they are taken. Shards of one table share a rank: no two of them are
// held at once.
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

// Mutex is a lock with a rank. It must be made by New.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
	name string
}

// New makes a lock; the name is told where the order is broken.
func New(rank Rank, name string) *Mutex { return &Mutex{rank: rank, name: name} }

// Lock takes it. Where the order is watched it panics if the goroutine holds a lock whose rank is not below.
func (m *Mutex) Lock() {
	if watched.Load() {
		m.enter()
	}
	m.mu.Lock()
}

// Unlock lets go of it, on the goroutine that took it.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	if watched.Load() {
		m.leave()
	}
}

var (
	watched atomic.Bool
	heldMu  sync.Mutex
	held    = map[uint64][]*Mutex{} // by goroutine; emptied as locks are let go
)

// Watch has the order checked from now on; it is for tests, before any lock is taken.
func Watch() { watched.Store(true) }

// Held counts the locks that this goroutine holds, as far as they are watched. It is for tests of what runs without any.
func Held() int {
	heldMu.Lock()
	defer heldMu.Unlock()
	return len(held[goroutine()])
}

func (m *Mutex) enter() {
	g := goroutine()
	heldMu.Lock()
	defer heldMu.Unlock()
	for _, h := range held[g] {
		if h.rank >= m.rank {
			panic(fmt.Sprintf("lock %s (%v) taken while %s (%v) is held", m.name, m.rank, h.name, h.rank))
		}
	}
	held[g] = append(held[g], m)
}

func (m *Mutex) leave() {
	g := goroutine()
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

// goroutine reads the number of the calling goroutine off its stack's first line, the only place that tells it.
func goroutine() uint64 {
	var line [32]byte // "goroutine 18446744073709551615"
	text := bytes.TrimPrefix(line[:runtime.Stack(line[:], false)], []byte("goroutine "))
	number, _, _ := bytes.Cut(text, []byte(" "))
	g, _ := strconv.ParseUint(string(number), 10, 64)
	return g
}

// Free panics, where the order is watched, if the calling goroutine holds any lock: no lock is held over what is done next.
func Free(what string) {
	if !watched.Load() {
		return
	}
	heldMu.Lock()
	defer heldMu.Unlock()
	if held := held[goroutine()]; len(held) > 0 {
		panic(fmt.Sprintf("%s while lock %s (%v) is held", what, held[0].name, held[0].rank))
	}
}
