package fleet

import (
	"bytes"
	"fmt"
	"sort"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Mean holds the mean figures of several runs; PeakOvershoot and StarvationMax are maxima instead.
type Mean struct {
	Figures
	Spread float64 // difference between the highest and the lowest Value of the runs
}

// Measure runs all scenarios under all policies with the given numbers of senders and of seeds, and returns the means.
func Measure(sizes []int, seeds, workers int) ([]Mean, error) {
	var all []*[]Figures
	var g errgroup.Group
	g.SetLimit(workers)
	for _, n := range sizes {
		for at := range Scenarios(n, 0) {
			for _, name := range Policies {
				fs := make([]Figures, seeds)
				all = append(all, &fs)
				for k := range seeds {
					g.Go(func() (err error) {
						fs[k], err = Run(Scenarios(n, uint64(k+1))[at], name)
						return err
					})
				}
			}
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	var ms []Mean
	for _, fs := range all {
		ms = append(ms, mean(*fs))
	}
	return ms, nil
}

func mean(fs []Figures) Mean {
	m := Mean{Figures: fs[0]}
	lowest, highest := fs[0].Value, fs[0].Value
	for _, f := range fs[1:] {
		lowest, highest = min(lowest, f.Value), max(highest, f.Value)
		m.Value += f.Value
		m.OvershootP99 += f.OvershootP99
		m.Unused += f.Unused
		m.Refused += f.Refused
		m.StarvationP99 += f.StarvationP99
		m.BytesPerSec += f.BytesPerSec
		m.PeakOvershoot = max(m.PeakOvershoot, f.PeakOvershoot)
		m.StarvationMax = max(m.StarvationMax, f.StarvationMax)
	}
	for _, x := range []*float64{&m.Value, &m.OvershootP99, &m.Unused, &m.Refused, &m.StarvationP99, &m.BytesPerSec} {
		*x /= float64(len(fs))
	}
	m.Spread = highest - lowest
	return m
}

// Markdown formats the means as a Markdown table.
func Markdown(ms []Mean) string {
	var b bytes.Buffer
	b.WriteString("| senders | scenario | design | value | worst second over | 99th | unused | refused | starving, 99th (s) | bytes/s a sender |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, m := range ms {
		fmt.Fprintf(&b, "| %d | %s | %s | %.3f ± %.3f | %.0f%% | %.0f%% | %.1f%% | %.1f%% | %.2f | %.0f |\n", m.Senders, m.Scenario, m.Policy,
			m.Value, m.Spread/2, 100*max(0, m.PeakOvershoot), 100*max(0, m.OvershootP99), 100*m.Unused, 100*m.Refused, m.StarvationP99, m.BytesPerSec)
	}
	return b.String()
}

// Plot draws the value and the unused limit of each policy over the number of senders for one scenario, as SVG.
func Plot(ms []Mean, scenario string) ([]byte, error) {
	positions := map[int]int{} // on the axis, by number of senders
	for _, m := range ms {
		positions[m.Senders] = 0
	}
	var sizes []int
	for n := range positions {
		sizes = append(sizes, n)
	}
	sort.Ints(sizes)
	names := make([]string, len(sizes))
	for i, n := range sizes {
		positions[n], names[i] = i, fmt.Sprint(n)
	}
	c := vgsvg.New(24*vg.Centimeter, 9*vg.Centimeter)
	canvas := draw.New(c)
	for i, label := range []string{"value", "unused part of the limit"} {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = scenario+" (virtual)", "senders", label
		p.NominalX(names...)
		p.Add(plotter.NewGrid())
		for k, name := range Policies {
			var xys plotter.XYs
			for _, m := range ms {
				if m.Scenario == scenario && m.Policy == name {
					xys = append(xys, plotter.XY{X: float64(positions[m.Senders]), Y: []float64{m.Value, m.Unused}[i]})
				}
			}
			l, pts, err := plotter.NewLinePoints(xys)
			if err != nil {
				return nil, fmt.Errorf("plot %s: %w", scenario, err)
			}
			l.Color, pts.Color, pts.Shape = plotutil.Color(k), plotutil.Color(k), plotutil.Shape(k)
			p.Add(l, pts)
			p.Legend.Add(name, l, pts)
		}
		p.Y.Min, p.Y.Max = 0, 1
		p.Legend.Top = i == 1
		half := (canvas.Max.X - canvas.Min.X) / 2
		p.Draw(draw.Crop(canvas, vg.Length(i)*half, vg.Length(i-1)*half, 0, 0))
	}
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("svg: %w", err)
	}
	return b.Bytes(), nil
}
