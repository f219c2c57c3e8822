// Package explore tries orders of events on a world of decision modules: every one up to a depth, or long ones drawn from a seed.
package explore

import "math/rand/v2"

// World is what is explored.
type World[W any] interface {
	Events() []string // that can happen now, in a stated order
	Do(event string)
	Copied() W     // two futures of it do not touch
	Print() uint64 // two worlds that print alike go on alike
	Wrong() string // what must never be, or nothing
	End() string   // the same after all links are whole again and have had their time; the world is spent
}

// Explorer remembers the states that it has seen.
type Explorer[W World[W]] struct {
	Ends int // one state in so many is brought to its end
	Way  []string
	deep map[uint64]int // by print: how deep it was looked into
}

// States is how many different ones were seen.
func (x *Explorer[W]) States() int { return len(x.deep) }

// All orders of events up to a depth. It stops at the first fault and names it; Way is how it came about.
func (x *Explorer[W]) All(w W, depth int) string {
	if x.deep == nil {
		x.deep = map[uint64]int{}
	}
	for _, e := range w.Events() {
		next := w.Copied()
		next.Do(e)
		p := next.Print()
		deep, known := x.deep[p]
		if known && deep >= depth {
			continue
		}
		x.deep[p] = depth
		x.Way = append(x.Way, e)
		bad := next.Wrong()
		if bad == "" && !known && p%uint64(x.Ends) == 0 {
			bad = next.Copied().End()
		}
		if bad == "" && depth > 1 {
			bad = x.All(next, depth-1)
		}
		if bad != "" {
			return bad
		}
		x.Way = x.Way[:len(x.Way)-1]
	}
	return ""
}

// Walk is one long way, drawn, and its end.
func Walk[W World[W]](w W, seed uint64, steps int) string {
	rng := rand.New(rand.NewPCG(seed, 9))
	for range steps {
		es := w.Events()
		if len(es) == 0 {
			break
		}
		w.Do(es[rng.IntN(len(es))])
		if bad := w.Wrong(); bad != "" {
			return bad
		}
	}
	return w.End()
}
