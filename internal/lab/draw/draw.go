// Package draw is the laboratory's chance. Each part has a stream of its own, named by what it is for, so that one part
// that draws more or less does not shift what the others draw.
package draw

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Stream gives the stream of one part of a run: seed of the run, name and number of the part.
func Stream(seed uint64, name string, number int) *rand.Rand {
	return rand.New(rand.NewPCG(seed^xxhash.Sum64String(name), uint64(number)+0x9e3779b97f4a7c15))
}

// Shape names a distribution of times.
type Shape string

// The shapes.
const (
	Fixed       Shape = "fixed"
	Exponential Shape = "exponential"
	Lognormal   Shape = "lognormal"
	Pareto      Shape = "pareto" // a heavy tail
)

// Times is a distribution of times with a mean in µs. Spread is the standard deviation over the mean, which lognormal and
// pareto heed.
type Times struct {
	Shape  Shape
	Mean   float64
	Spread float64
}

// Check tells what is wrong with a distribution.
func (t Times) Check() error {
	switch t.Shape {
	case Fixed, Exponential:
	case Lognormal, Pareto:
		if t.Spread <= 0 {
			return fmt.Errorf("shape %q needs a spread above 0", t.Shape)
		}
	default:
		return fmt.Errorf("no shape %q: fixed, exponential, lognormal, pareto", t.Shape)
	}
	return nil
}

// Draw gives one time in whole µs, at least one.
func (t Times) Draw(r *rand.Rand) int64 {
	v := t.Mean
	switch t.Shape {
	case Exponential:
		v *= r.ExpFloat64()
	case Lognormal:
		s2 := math.Log(1 + t.Spread*t.Spread)
		v *= math.Exp(math.Sqrt(s2)*r.NormFloat64() - s2/2)
	case Pareto: // CV² = 1/(a(a-2)), so a = 1 + sqrt(1 + 1/CV²), always above 2
		a := 1 + math.Sqrt(1+1/(t.Spread*t.Spread))
		v *= (a - 1) / a * math.Pow(1-r.Float64(), -1/a)
	}
	return max(1, int64(math.Round(v)))
}

// Around draws evenly within a share of a mean: from mean*(1-share) to mean*(1+share).
func Around(r *rand.Rand, mean int64, share float64) int64 {
	return max(0, int64(float64(mean)*(1+share*(2*r.Float64()-1))))
}

// Shares are odds over numbers from 0, for drawing one by its share.
type Shares struct{ sums []float64 }

// Zipf gives shares that fall as 1/(rank^s); s of 0 makes them even.
func Zipf(n int, s float64) Shares {
	w := make([]float64, n)
	for i := range w {
		w[i] = math.Pow(float64(i+1), -s)
	}
	return Weighted(w)
}

// Weighted gives shares in step with weights.
func Weighted(ws []float64) Shares {
	sums, sum := make([]float64, len(ws)), 0.0
	for i, w := range ws {
		sum += w
		sums[i] = sum
	}
	return Shares{sums}
}

// Draw gives a number by its share.
func (s Shares) Draw(r *rand.Rand) int {
	x := r.Float64() * s.sums[len(s.sums)-1]
	return min(sort.Search(len(s.sums), func(i int) bool { return s.sums[i] > x }), len(s.sums)-1)
}

// Share is one number's.
func (s Shares) Share(i int) float64 {
	before := 0.0
	if i > 0 {
		before = s.sums[i-1]
	}
	return (s.sums[i] - before) / s.sums[len(s.sums)-1]
}
