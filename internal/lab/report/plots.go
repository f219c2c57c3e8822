// Package report draws what runs, sweeps and comparisons have found: one page that needs nothing beside itself, and the same
// plots as pictures.
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
	wide = 24 * vg.Centimeter
	high = 8 * vg.Centimeter
	dpi  = 110
)

// line of a plot over time.
type line struct {
	name string
	ys   []float64
}

func whole(xs []int) []float64 {
	ys := make([]float64, len(xs))
	for i, x := range xs {
		ys[i] = float64(x)
	}
	return ys
}

// overTime draws lines over a run's seconds, with its troubles as shaded spans.
func overTime(title, unit string, width int64, marks []world.Mark, lines ...line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	most := 0.0
	for _, l := range lines {
		for _, y := range l.ys {
			most = max(most, y)
		}
	}
	if err := shade(p, marks, most); err != nil {
		return nil, err
	}
	for i, l := range lines {
		xys := make(plotter.XYs, len(l.ys))
		for j, y := range l.ys {
			xys[j].X, xys[j].Y = float64(j)*float64(width)/1e6, y
		}
		if len(xys) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(xys)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", title, err)
		}
		drawn.Color, drawn.Width = plotutil.Color(i), vg.Points(1.3)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	p.Y.Min = 0
	return p, nil
}

func shade(p *plot.Plot, marks []world.Mark, most float64) error {
	grey := color.NRGBA{R: 200, G: 60, B: 60, A: 28}
	open := map[string][]int64{}
	for _, m := range marks {
		if m.Begin {
			open[m.What] = append(open[m.What], m.At)
			continue
		}
		from := open[m.What]
		if len(from) == 0 {
			continue
		}
		a, z := float64(from[0])/1e6, float64(m.At)/1e6
		open[m.What] = from[1:]
		span, err := plotter.NewPolygon(plotter.XYs{{X: a, Y: 0}, {X: z, Y: 0}, {X: z, Y: most}, {X: a, Y: most}})
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		span.Color, span.LineStyle.Width = grey, 0
		p.Add(span)
	}
	return nil
}

// runPlots are those of one run.
func runPlots(r *world.Result) (ps []*plot.Plot, err error) {
	s := r.Series
	add := func(title, unit string, lines ...line) {
		if err != nil {
			return
		}
		var p *plot.Plot
		if p, err = overTime(title, unit, s.Width, r.Marks, lines...); err == nil {
			ps = append(ps, p)
		}
	}
	each := "messages in " + strconv.FormatInt(s.Width/1e6, 10) + " s"
	add("Asked, delivered, ended undelivered", each, line{"asked", whole(s.Asked)}, line{"delivered", whole(s.Delivered)}, line{"undelivered", whole(s.Undone)})
	add("Held and in flight", "messages", line{"held by senders", whole(s.Held)}, line{"calls in flight", whole(s.Out)})
	add("Answer time of what was delivered", "ms", line{"p50", s.P50}, line{"p99", s.P99})
	add("Legs, repeats and refusals", "in "+strconv.FormatInt(s.Width/1e6, 10)+" s", line{"legs", whole(s.Legs)}, line{"repeats", whole(s.Repeats)}, line{"refusals", whole(s.Refusals)})
	add("Belief beside truth", "receivers", line{"in an outage", whole(s.Ill)}, line{"believed closed (mean)", s.Believed})
	var delivered, flight []line
	for _, d := range r.Dsts[:min(len(r.Dsts), 6)] {
		name := fmt.Sprintf("%d (%s)", d.Number, d.Kind)
		delivered = append(delivered, line{name, whole(d.Delivered)})
		flight = append(flight, line{name, whole(d.Out)})
	}
	add("Delivered, by destination", each, delivered...)
	add("In flight, by destination", "calls", flight...)
	return ps, err
}

// gridPlot draws a figure of a sweep over its first axis, a line for each value of the others.
func gridPlot(g *experiment.Grid, figure string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = fmt.Sprintf("%s, %s, %d seeds", g.Scenario, g.Policy, g.Seeds), g.Axes[0].Path, figure
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	p.NominalX(g.Axes[0].Values...)
	per := len(g.Cells) / len(g.Axes[0].Values)
	for k := range per {
		var pts errPoints
		for i := range g.Axes[0].Values {
			e := g.Cells[i*per+k].Figures[figure]
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

type errPoints struct {
	plotter.XYs
	plotter.YErrors
}

func (e *errPoints) add(x float64, m experiment.Estimate) {
	half := 0.0
	if m.N > 1 {
		half = m.Half()
	}
	e.XYs = append(e.XYs, plotter.XY{X: x, Y: m.Mean})
	e.YErrors = append(e.YErrors, struct{ Low, High float64 }{half, half})
}

func svg(p *plot.Plot) ([]byte, error) {
	c := vgsvg.New(wide, high)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("svg: %w", err)
	}
	return b.Bytes(), nil
}

func png(p *plot.Plot, out io.Writer) error {
	c := vgimg.NewWith(vgimg.UseWH(wide, high), vgimg.UseDPI(dpi))
	p.Draw(draw.New(c))
	if _, err := (vgimg.PngCanvas{Canvas: c}).WriteTo(out); err != nil {
		return fmt.Errorf("png: %w", err)
	}
	return nil
}
