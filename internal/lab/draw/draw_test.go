package draw

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDistributionsHaveTheirMeanAndCV(t *testing.T) {
	for _, d := range []Distribution{{Fixed, 1e6, 0}, {Exponential, 1e6, 1}, {Lognormal, 1e6, 0.8}, {Pareto, 1e6, 0.5}} {
		r := Stream(1, string(d.Shape), 0)
		n, sum, sq := 400_000, 0.0, 0.0
		for range n {
			v := float64(d.Draw(r))
			sum += v
			sq += v * v
		}
		mean := sum / float64(n)
		assert.InEpsilon(t, d.Mean, mean, 0.01, d.Shape)
		if d.CV > 0 {
			assert.InEpsilon(t, d.CV, math.Sqrt(sq/float64(n)-mean*mean)/mean, 0.1, d.Shape)
		}
	}
	assert.Error(t, Distribution{Shape: "wide"}.Check())
	assert.Error(t, Distribution{Shape: Pareto}.Check())
}

func TestDiscreteFollowsItsWeightsAndStreamsAreIndependent(t *testing.T) {
	z := Zipf(4, 1)
	assert.InDelta(t, 0.48, z.Probability(0), 1e-9)
	r, got := Stream(7, "x", 0), [4]int{}
	for range 100_000 {
		got[z.Draw(r)]++
	}
	assert.InDelta(t, 0.48, float64(got[0])/100_000, 0.01)
	a, b, c := Stream(7, "x", 0), Stream(7, "x", 1), Stream(7, "y", 0)
	x, y, w := a.Uint64(), b.Uint64(), c.Uint64()
	assert.NotEqual(t, x, y)
	assert.NotEqual(t, x, w)
	assert.Equal(t, x, Stream(7, "x", 0).Uint64())
}
