// Package draw provides the laboratory's random numbers. Each component draws from its own named stream, so that a
// component that draws more or fewer numbers does not change those of the others.
package draw

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Stream returns the random stream of one component, which the seed of the run and the component's name and number select.
func Stream(seed uint64, name string, number int) *rand.Rand {
	return rand.New(rand.NewPCG(seed^xxhash.Sum64String(name), uint64(number)+0x9e3779b97f4a7c15))
}

// Shape is the family of a distribution.
type Shape string

// The supported families.
const (
	Fixed       Shape = "fixed"
	Exponential Shape = "exponential"
	Lognormal   Shape = "lognormal"
	Pareto      Shape = "pareto" // a heavy tail
)

// Distribution is a distribution of durations with a mean in µs. CV is the coefficient of variation (standard deviation
// divided by mean); only Lognormal and Pareto use it.
type Distribution struct {
	Shape Shape
	Mean  float64
	CV    float64
}

// Check returns an error if the shape is unknown or lacks the spread that it needs.
func (d Distribution) Check() error {
	switch d.Shape {
	case Fixed, Exponential:
	case Lognormal, Pareto:
		if d.CV <= 0 {
			return fmt.Errorf("shape %q needs a spread above 0", d.Shape)
		}
	default:
		return fmt.Errorf("no shape %q: fixed, exponential, lognormal, pareto", d.Shape)
	}
	return nil
}

// Draw returns a random duration in whole µs, at least 1.
func (d Distribution) Draw(r *rand.Rand) int64 {
	v := d.Mean
	switch d.Shape {
	case Exponential:
		v *= r.ExpFloat64()
	case Lognormal:
		s2 := math.Log(1 + d.CV*d.CV)
		v *= math.Exp(math.Sqrt(s2)*r.NormFloat64() - s2/2)
	case Pareto: // CV² = 1/(a(a-2)), so a = 1 + sqrt(1 + 1/CV²), which is always above 2
		a := 1 + math.Sqrt(1+1/(d.CV*d.CV))
		v *= (a - 1) / a * math.Pow(1-r.Float64(), -1/a)
	}
	return max(1, int64(math.Round(v)))
}

// Uniform draws uniformly from mean*(1-share) to mean*(1+share), and never returns less than 0.
func Uniform(r *rand.Rand, mean int64, share float64) int64 {
	return max(0, int64(float64(mean)*(1+share*(2*r.Float64()-1))))
}

// Discrete is a probability distribution over the integers from 0 to n-1.
type Discrete struct{ cumulative []float64 }

// Zipf returns a distribution whose probabilities are proportional to 1/(rank^s); with s = 0 it is uniform.
func Zipf(n int, s float64) Discrete {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -s)
	}
	return Weighted(weights)
}

// Weighted returns a distribution whose probabilities are proportional to the weights.
func Weighted(weights []float64) Discrete {
	cumulative, sum := make([]float64, len(weights)), 0.0
	for i, w := range weights {
		sum += w
		cumulative[i] = sum
	}
	return Discrete{cumulative}
}

// Draw returns a random number of the distribution.
func (d Discrete) Draw(r *rand.Rand) int {
	x := r.Float64() * d.cumulative[len(d.cumulative)-1]
	return min(sort.Search(len(d.cumulative), func(i int) bool { return d.cumulative[i] > x }), len(d.cumulative)-1)
}

// Probability returns the probability of number i.
func (d Discrete) Probability(i int) float64 {
	below := 0.0
	if i > 0 {
		below = d.cumulative[i-1]
	}
	return (d.cumulative[i] - below) / d.cumulative[len(d.cumulative)-1]
}
