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

// Mean is the mean of several runs' figures, and how far their values lie apart.
type Mean struct {
	Figures
	Spread float64 // greatest value less the least
}

// Measure makes all scenarios with all policies at some numbers of senders, so many seeds each, and gives the means.
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
	least, most := fs[0].Value, fs[0].Value
	for _, f := range fs[1:] {
		least, most = min(least, f.Value), max(most, f.Value)
		m.Value += f.Value
		m.OverP99 += f.OverP99
		m.Unused += f.Unused
		m.Refused += f.Refused
		m.StarveP99 += f.StarveP99
		m.Bytes += f.Bytes
		m.Over = max(m.Over, f.Over)
		m.StarveMost = max(m.StarveMost, f.StarveMost)
	}
	for _, x := range []*float64{&m.Value, &m.OverP99, &m.Unused, &m.Refused, &m.StarveP99, &m.Bytes} {
		*x /= float64(len(fs))
	}
	m.Spread = most - least
	return m
}

// Markdown is a table of measured figures.
func Markdown(ms []Mean) string {
	var b bytes.Buffer
	b.WriteString("| senders | scenario | design | value | worst second over | 99th | unused | refused | starving, 99th (s) | bytes/s a sender |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, m := range ms {
		fmt.Fprintf(&b, "| %d | %s | %s | %.3f ± %.3f | %.0f%% | %.0f%% | %.1f%% | %.1f%% | %.2f | %.0f |\n", m.Senders, m.Scenario, m.Policy,
			m.Value, m.Spread/2, 100*max(0, m.Over), 100*max(0, m.OverP99), 100*m.Unused, 100*m.Refused, m.StarveP99, m.Bytes)
	}
	return b.String()
}

// Plot draws value and unused limit of each policy over the number of senders, for one scenario, as SVG.
func Plot(ms []Mean, scenario string) ([]byte, error) {
	sizes := map[int]int{}
	for _, m := range ms {
		sizes[m.Senders] = 0
	}
	var order []int
	for n := range sizes {
		order = append(order, n)
	}
	sort.Ints(order)
	names := make([]string, len(order))
	for i, n := range order {
		sizes[n], names[i] = i, fmt.Sprint(n)
	}
	c := vgsvg.New(24*vg.Centimeter, 9*vg.Centimeter)
	whole := draw.New(c)
	for i, what := range []string{"value", "unused part of the limit"} {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = scenario+" (virtual)", "senders", what
		p.NominalX(names...)
		p.Add(plotter.NewGrid())
		for k, name := range Policies {
			var xys plotter.XYs
			for _, m := range ms {
				if m.Scenario == scenario && m.Policy == name {
					xys = append(xys, plotter.XY{X: float64(sizes[m.Senders]), Y: []float64{m.Value, m.Unused}[i]})
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
		half := (whole.Max.X - whole.Min.X) / 2
		p.Draw(draw.Crop(whole, vg.Length(i)*half, vg.Length(i-1)*half, 0, 0))
	}
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("svg: %w", err)
	}
	return b.Bytes(), nil
}
