package fleet

import (
	"math"
	"slices"

	"ravenlink/internal/lab/loop"
)

// Figures are what a run gave, from the end of its warming up on.
type Figures struct {
	Scenario, Policy string
	Senders          int
	Value            float64 // mean of a message: 1 within its target time, less later, 0 past its deadline
	Over             float64 // calls in the worst second over the limit, less one; a destination's burst included
	OverP99          float64 // the same in the 99th of 100 seconds
	Unused           float64 // of the limit, where as much was wanted
	Refused          float64 // of the calls
	StarveP99        float64 // s from a message that could go to this sender's next call, 99 of 100
	StarveMost       float64
	Bytes            float64 // a second and sender, frames included
}

// tally gathers what the figures are made of.
type tally struct {
	count, calls, refused int
	value                 float64
	waits                 []int64
}

func (f *tally) on(now int64) bool { return now >= loop.Origin+warm }

func (f *tally) offered(now int64) {
	if f.on(now) {
		f.count++
	}
}

func (f *tally) waited(now, wait int64) {
	if f.on(now) {
		f.waits = append(f.waits, wait)
	}
}

func (f *tally) called(now int64, ok bool) {
	if f.on(now) {
		f.calls++
		if !ok {
			f.refused++
		}
	}
}

func (f *tally) delivered(now, age int64) {
	if !f.on(now) {
		return
	}
	v := 1.0
	if age > target {
		v = 1 - (1-lateLeft)*float64(age-target)/float64(deadline-target)
	}
	f.value += v
}

func (w *World) figures(name string) Figures {
	f := Figures{Scenario: w.Name, Policy: name, Senders: w.Senders}
	f.Value = w.f.value / math.Max(1, float64(w.f.count))
	f.Refused = float64(w.f.refused) / math.Max(1, float64(w.f.calls))
	f.Bytes = float64(w.bytes) / float64(w.Senders) / (float64(w.Length) / 1e6)
	var seconds []float64
	per := int(second / step)
	taken, room := 0.0, 0.0
	for _, d := range w.ds {
		sum := 0
		for i, c := range d.calls {
			sum += c
			if i >= per {
				sum -= d.calls[i-per]
			}
			if at := int64(i+1) * step; at >= warm {
				seconds = append(seconds, float64(sum)/w.limitAt(at)-1)
			}
		}
		taken += float64(d.taken)
		room += math.Min(float64(d.wanted), w.room())
	}
	slices.Sort(seconds)
	f.Over, f.OverP99 = seconds[len(seconds)-1], seconds[len(seconds)*99/100]
	f.Unused = math.Max(0, 1-taken/room)
	slices.Sort(w.f.waits)
	if n := len(w.f.waits); n > 0 {
		f.StarveP99, f.StarveMost = float64(w.f.waits[n*99/100])/1e6, float64(w.f.waits[n-1])/1e6
	}
	return f
}

// limitAt is the limit that the calls of the second before are held against.
func (w *World) limitAt(at int64) float64 {
	if w.Halved > 0 && at >= w.Halved+second {
		return w.Limit / 2
	}
	return w.Limit
}

// room is how many calls a destination had room for while figures counted.
func (w *World) room() float64 {
	whole := float64(w.Length-warm) / 1e6 * w.Limit
	if w.Halved > 0 {
		whole -= float64(w.Length-w.Halved) / 1e6 * w.Limit / 2
	}
	return whole
}
