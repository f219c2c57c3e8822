// Package explore model-checks decision modules: it tries all orders of events up to a depth, or long random ones.
package explore

import "math/rand/v2"

// State is a state of the system under test.
type State[S any] interface {
	Events() []string     // events that can happen next, in a deterministic order
	Apply(event string)   // changes the state by an event
	Clone() S             // returns a copy that shares nothing mutable
	Fingerprint() uint64  // states with equal fingerprints continue alike
	Violation() string    // describes a violated invariant, or is empty
	HealAndCheck() string // repairs all links, lets the system settle and checks again; the state is unusable afterwards
}

// Explorer searches all orders of events and remembers the states that it has visited.
type Explorer[S State[S]] struct {
	HealEvery int            // HealAndCheck is called for one in HealEvery new states
	Path      []string       // events that led to the violation
	explored  map[uint64]int // by fingerprint: the depth to which the state was explored
}

// States returns the number of distinct states visited.
func (x *Explorer[S]) States() int { return len(x.explored) }

// Search tries all orders of events up to a depth. It returns the first violation found, or nothing; Path then holds the
// events that led to it.
func (x *Explorer[S]) Search(state S, depth int) string {
	if x.explored == nil {
		x.explored = map[uint64]int{}
	}
	for _, e := range state.Events() {
		next := state.Clone()
		next.Apply(e)
		fingerprint := next.Fingerprint()
		explored, known := x.explored[fingerprint]
		if known && explored >= depth {
			continue
		}
		x.explored[fingerprint] = depth
		x.Path = append(x.Path, e)
		violation := next.Violation()
		if violation == "" && !known && fingerprint%uint64(x.HealEvery) == 0 {
			violation = next.Clone().HealAndCheck()
		}
		if violation == "" && depth > 1 {
			violation = x.Search(next, depth-1)
		}
		if violation != "" {
			return violation
		}
		x.Path = x.Path[:len(x.Path)-1]
	}
	return ""
}

// RandomWalk applies events drawn at random, up to the number of steps, and then calls HealAndCheck. It returns the first
// violation found, or nothing.
func RandomWalk[S State[S]](state S, seed uint64, steps int) string {
	rng := rand.New(rand.NewPCG(seed, 9))
	for range steps {
		events := state.Events()
		if len(events) == 0 {
			break
		}
		state.Apply(events[rng.IntN(len(events))])
		if violation := state.Violation(); violation != "" {
			return violation
		}
	}
	return state.HealAndCheck()
}
