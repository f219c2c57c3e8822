// Package report renders the results of runs, sweeps and comparisons as one self-contained HTML page, and each plot also as
// a PNG image.
package report

import (
	"bytes"
	"fmt"
	"image/color"
	"io"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"ravenlink/internal/lab/experiment"
	"ravenlink/internal/lab/world"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	plotDPI    = 110
)

// line is a named curve in a plot over time, with one value per interval.
type line struct {
	name string
	ys   []float64
}

func toFloats(xs []int) []float64 {
	ys := make([]float64, len(xs))
	for i, x := range xs {
		ys[i] = float64(x)
	}
	return ys
}

// timePlot draws lines over the time of a run, in which the faults are shaded. The interval between two values is in µs.
func timePlot(title, unit string, interval int64, marks []world.Mark, lines ...line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	maxY := 0.0
	for _, l := range lines {
		for _, y := range l.ys {
			maxY = max(maxY, y)
		}
	}
	if err := shadeFaults(p, marks, maxY); err != nil {
		return nil, err
	}
	for i, l := range lines {
		xys := make(plotter.XYs, len(l.ys))
		for j, y := range l.ys {
			xys[j].X, xys[j].Y = float64(j)*float64(interval)/1e6, y
		}
		if len(xys) == 0 {
			continue
		}
		curve, err := plotter.NewLine(xys)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", title, err)
		}
		curve.Color, curve.Width = plotutil.Color(i), vg.Points(1.3)
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	p.Y.Min = 0
	return p, nil
}

// shadeFaults adds a shaded area up to maxY for each fault that has a begin mark and an end mark.
func shadeFaults(p *plot.Plot, marks []world.Mark, maxY float64) error {
	shade := color.NRGBA{R: 200, G: 60, B: 60, A: 28}
	open := map[string][]int64{}
	for _, m := range marks {
		if m.Begin {
			open[m.What] = append(open[m.What], m.At)
			continue
		}
		starts := open[m.What]
		if len(starts) == 0 {
			continue
		}
		start, end := float64(starts[0])/1e6, float64(m.At)/1e6
		open[m.What] = starts[1:]
		area, err := plotter.NewPolygon(plotter.XYs{{X: start, Y: 0}, {X: end, Y: 0}, {X: end, Y: maxY}, {X: start, Y: maxY}})
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		area.Color, area.LineStyle.Width = shade, 0
		p.Add(area)
	}
	return nil
}

// runPlots draws the plots of one run; those by destination show the first six destinations.
func runPlots(r *world.Result) (ps []*plot.Plot, err error) {
	s := r.Series
	add := func(title, unit string, lines ...line) {
		if err != nil {
			return
		}
		var p *plot.Plot
		if p, err = timePlot(title, unit, s.Interval, r.Marks, lines...); err == nil {
			ps = append(ps, p)
		}
	}
	perInterval := "messages in " + strconv.FormatInt(s.Interval/1e6, 10) + " s"
	add("Asked, delivered, ended undelivered", perInterval, line{"asked", toFloats(s.Asked)}, line{"delivered", toFloats(s.Delivered)}, line{"undelivered", toFloats(s.Undelivered)})
	add("Held and in flight", "messages", line{"held by senders", toFloats(s.Held)}, line{"calls in flight", toFloats(s.InFlight)})
	add("Answer time of what was delivered", "ms", line{"p50", s.P50}, line{"p99", s.P99})
	add("Legs, repeats and refusals", "in "+strconv.FormatInt(s.Interval/1e6, 10)+" s", line{"legs", toFloats(s.Legs)}, line{"repeats", toFloats(s.Retries)}, line{"refusals", toFloats(s.Refusals)})
	add("Belief beside truth", "receivers", line{"in an outage", toFloats(s.InOutage)}, line{"believed closed (mean)", s.BelievedClosed})
	var delivered, inFlight []line
	for _, d := range r.Dsts[:min(len(r.Dsts), 6)] {
		name := fmt.Sprintf("%d (%s)", d.Number, d.Kind)
		delivered = append(delivered, line{name, toFloats(d.Delivered)})
		inFlight = append(inFlight, line{name, toFloats(d.InFlight)})
	}
	add("Delivered, by destination", perInterval, delivered...)
	add("In flight, by destination", "calls", inFlight...)
	return ps, err
}

// gridPlot draws a figure of a sweep over its first axis, with one line for each combination of the other axes' values.
func gridPlot(g *experiment.Grid, figure string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = fmt.Sprintf("%s, %s, %d seeds", g.Scenario, g.Policy, g.Seeds), g.Axes[0].Path, figure
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	p.NominalX(g.Axes[0].Values...)
	lines := len(g.Cells) / len(g.Axes[0].Values)
	for k := range lines {
		var pts pointsWithErrors
		for i := range g.Axes[0].Values {
			e := g.Cells[i*lines+k].Figures[figure]
			pts.add(float64(i), e)
		}
		l, err := plotter.NewLine(pts.XYs)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", figure, err)
		}
		l.Color = plotutil.Color(k)
		bars, err := plotter.NewYErrorBars(&pts)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", figure, err)
		}
		bars.Color = plotutil.Color(k)
		p.Add(l, bars)
		if rest := g.Cells[k].Values[1:]; len(rest) > 0 {
			p.Legend.Add(fmt.Sprint(rest), l)
		}
	}
	return p, nil
}

// pointsWithErrors holds points and their error bars.
type pointsWithErrors struct {
	plotter.XYs
	plotter.YErrors
}

func (e *pointsWithErrors) add(x float64, m experiment.Estimate) {
	half := 0.0
	if m.N > 1 {
		half = m.HalfWidth()
	}
	e.XYs = append(e.XYs, plotter.XY{X: x, Y: m.Mean})
	e.YErrors = append(e.YErrors, struct{ Low, High float64 }{half, half})
}

func renderSVG(p *plot.Plot) ([]byte, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("svg: %w", err)
	}
	return b.Bytes(), nil
}

func renderPNG(p *plot.Plot, out io.Writer) error {
	c := vgimg.NewWith(vgimg.UseWH(plotWidth, plotHeight), vgimg.UseDPI(plotDPI))
	p.Draw(draw.New(c))
	if _, err := (vgimg.PngCanvas{Canvas: c}).WriteTo(out); err != nil {
		return fmt.Errorf("png: %w", err)
	}
	return nil
}
