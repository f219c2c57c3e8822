package fleet

import (
	"math"
	"slices"

	"ravenlink/internal/lab/loop"
)

// Figures holds the results of a run, measured from the end of its warm-up.
type Figures struct {
	Scenario, Policy string
	Senders          int
	Value            float64 // mean value of a message: 1 within its target time, less later, 0 after its deadline
	PeakOvershoot    float64 // excess of the calls in the worst second over the limit, as a share of it; includes a destination's burst
	OvershootP99     float64 // 99th percentile of the same over all steps
	Unused           float64 // share of the limit that stayed unused although there was demand for it
	Refused          float64 // share of the calls
	StarvationP99    float64 // time in s from when a sender has a message to send to its next call, 99th percentile
	StarvationMax    float64
	BytesPerSec      float64 // sent per second and sender, including frame overhead
}

// tally collects the measurements for the figures.
type tally struct {
	messages, calls, refused int
	value                    float64
	waits                    []int64
}

func (t *tally) counted(now int64) bool { return now >= loop.Origin+warmUp }

func (t *tally) arrived(now int64) {
	if t.counted(now) {
		t.messages++
	}
}

func (t *tally) waited(now, wait int64) {
	if t.counted(now) {
		t.waits = append(t.waits, wait)
	}
}

func (t *tally) called(now int64, ok bool) {
	if t.counted(now) {
		t.calls++
		if !ok {
			t.refused++
		}
	}
}

func (t *tally) delivered(now, age int64) {
	if !t.counted(now) {
		return
	}
	v := 1.0
	if age > target {
		v = 1 - (1-lateValue)*float64(age-target)/float64(deadline-target)
	}
	t.value += v
}

func (w *World) figures(name string) Figures {
	f := Figures{Scenario: w.Name, Policy: name, Senders: w.Senders}
	f.Value = w.tally.value / math.Max(1, float64(w.tally.messages))
	f.Refused = float64(w.tally.refused) / math.Max(1, float64(w.tally.calls))
	f.BytesPerSec = float64(w.bytesSent) / float64(w.Senders) / (float64(w.Length) / 1e6)
	var overshoot []float64
	perSecond := int(second / step)
	served, allowed := 0.0, 0.0
	for _, d := range w.dsts {
		sum := 0
		for i, c := range d.calls {
			sum += c
			if i >= perSecond {
				sum -= d.calls[i-perSecond]
			}
			if at := int64(i+1) * step; at >= warmUp {
				overshoot = append(overshoot, float64(sum)/w.limitAt(at)-1)
			}
		}
		served += float64(d.accepted)
		allowed += math.Min(float64(d.wanted), w.capacity())
	}
	slices.Sort(overshoot)
	f.PeakOvershoot, f.OvershootP99 = overshoot[len(overshoot)-1], overshoot[len(overshoot)*99/100]
	f.Unused = math.Max(0, 1-served/allowed)
	slices.Sort(w.tally.waits)
	if n := len(w.tally.waits); n > 0 {
		f.StarvationP99, f.StarvationMax = float64(w.tally.waits[n*99/100])/1e6, float64(w.tally.waits[n-1])/1e6
	}
	return f
}

// limitAt returns the limit that the calls of the second before the given time are compared with.
func (w *World) limitAt(at int64) float64 {
	if w.HalveAt > 0 && at >= w.HalveAt+second {
		return w.Limit / 2
	}
	return w.Limit
}

// capacity returns how many calls the limit of a destination allowed while figures were measured.
func (w *World) capacity() float64 {
	calls := float64(w.Length-warmUp) / 1e6 * w.Limit
	if w.HalveAt > 0 {
		calls -= float64(w.Length-w.HalveAt) / 1e6 * w.Limit / 2
	}
	return calls
}
