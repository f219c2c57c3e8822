package loop

import (
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

type recorder struct {
	l       *Loop
	times   []int64
	numbers []uint64
	respawn int
}

func (r *recorder) Handle(_ uint8, n uint64) {
	r.times, r.numbers = append(r.times, r.l.Now()), append(r.numbers, n)
	if r.respawn > 0 {
		r.respawn--
		r.l.At(r.l.Now(), r, 0, 1000+n)
	}
}

func TestEventsRunInOrderOfTimeAndScheduling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		r := &recorder{l: l, respawn: rapid.IntRange(0, 5).Draw(t, "more")}
		ats := rapid.SliceOfN(rapid.Int64Range(0, 20), 1, 200).Draw(t, "ats")
		for i, at := range ats {
			l.At(Origin+at, r, 0, uint64(i))
		}
		assert.True(t, l.Drain(1000))
		assert.True(t, slices.IsSorted(r.times))
		for i := 1; i < len(r.times); i++ {
			if r.times[i] == r.times[i-1] && r.numbers[i] < 1000 && r.numbers[i-1] < 1000 {
				assert.Less(t, r.numbers[i-1], r.numbers[i])
			}
		}
	})
}

func TestRunStopsAtItsEndAndLeavesTheRest(t *testing.T) {
	l := New()
	r := &recorder{l: l}
	l.At(Origin+5, r, 0, 1)
	l.At(Origin+6, r, 0, 2)
	l.Run(Origin + 5)
	assert.Equal(t, []uint64{1}, r.numbers)
	assert.Equal(t, 1, l.Pending())
	l.Run(Origin + 100)
	assert.Equal(t, Origin+100, l.Now())
	l.At(Origin, r, 0, 3) // in the past: runs now, and the clock does not go back
	l.Run(Origin + 100)
	assert.Equal(t, Origin+100, r.times[2])
}

// hop reschedules itself after a pseudo-random time: the hold model, the usual benchmark of event queues.
type hop struct {
	l *Loop
	x uint64
}

func (h *hop) Handle(kind uint8, n uint64) {
	h.x = h.x*6364136223846793005 + 1442695040888963407
	h.l.At(h.l.Now()+int64(h.x>>44), h, kind, n)
}

func BenchmarkHold(b *testing.B) {
	for _, pending := range []int{100, 10_000, 100_000, 300_000, 1_000_000} {
		b.Run(strconv.Itoa(pending), func(b *testing.B) {
			l := New()
			for i := range pending {
				h := &hop{l: l, x: uint64(i)}
				h.Handle(0, 0)
			}
			b.ResetTimer()
			l.Drain(uint64(b.N))
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
