package shares

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenlink/internal/members"
)

// run goes through a drawn schedule of cuts, crashes and pauses.
func (w *world) run(seconds int) {
	for i, s := range w.ss {
		s.rate = []float64{0, 0.3, 3, 30, w.limit}[w.r.IntN(5)]
		if i == 0 {
			s.rate = w.limit
		}
	}
	for range seconds * 1_000_000 / step {
		if w.r.IntN(200) == 0 {
			w.trouble()
		}
		w.step()
	}
}

func (w *world) trouble() {
	n := len(w.ss)
	i, j := w.r.IntN(n), w.r.IntN(n)
	switch w.r.IntN(11) {
	case 0:
		w.cut[[2]int{i, j}] = true
	case 1:
		w.cut[[2]int{i, j}], w.cut[[2]int{j, i}] = true, true
	case 2: // two parts
		for a := range n {
			for b := range n {
				w.cut[[2]int{a, b}] = (a <= i) != (b <= i)
			}
		}
	case 3, 4, 9, 10:
		w.cut = map[[2]int]bool{}
	case 5:
		w.ss[i].life++ // with its folder
		w.restart(i)
	case 6:
		w.ss[i].life = uint64(w.r.IntN(3)) // without: its incarnation may be any
		w.restart(i)
	case 7:
		w.pause(i, w.r.Int64N(6_000_000))
	case 8:
		w.ss[i].rate, w.ss[i].waiting = w.r.Float64()*w.limit, 0
	}
}

func TestSumStaysWithinTheBoundWhateverTheLinksDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "senders"),
			rapid.SampledFrom([]float64{1, 5, 20, 200}).Draw(t, "limit"), Usual())
		w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		w.delay = rapid.SampledFrom([]int64{1_000, 50_000, 1_000_000, 4_000_000}).Draw(t, "delay")
		w.saving = rapid.Bool().Draw(t, "saving")
		w.run(20)
		require.Empty(t, w.bad)
		require.LessOrEqual(t, float64(worst(w.spends)), w.most())
	})
}

func TestJudgeFindsPlantedFaults(t *testing.T) {
	for f := noWait; f <= noMajority; f++ {
		found := 0
		for seed := range uint64(40) {
			w := newWorld(seed, 5, 20, Usual())
			w.fault, w.loss, w.delay, w.saving = f, 0.05, 400_000, true
			w.run(25)
			if w.bad != "" || float64(worst(w.spends)) > w.most() {
				found++
			}
		}
		t.Log("fault", f, "found in", found, "of 40")
		assert.Positive(t, found, "fault %d", f)
	}
}

var (
	_ = math.Inf
	_ = cbor.Marshal
	_ members.State
)
