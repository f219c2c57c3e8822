package gossip

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Curve is the propagation in one fleet, with its name in the legend.
type Curve struct {
	Name string
	Propagation
}

const minShare = 1e-4 // lower end of the logarithmic axis

// Plot draws the first second of the curves into a file, whose extension determines the format.
func Plot(file string, curves []Curve) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Who does not know of a new fact yet (virtual time)", "ms since it was seen", "share of senders"
	p.Legend.Top = true
	p.Y.Min, p.Y.Max, p.Y.Scale, p.Y.Tick.Marker = minShare, 1, plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Add(plotter.NewGrid())
	for i, c := range curves {
		var xys plotter.XYs
		for ms := 0.0; ms <= 1000; ms += 2 {
			xys = append(xys, plotter.XY{X: ms, Y: max(minShare, 1-c.Within(ms))})
		}
		l, err := plotter.NewLine(xys)
		if err != nil {
			return fmt.Errorf("plot %s: %w", c.Name, err)
		}
		l.Color, l.Width = plotutil.Color(i), vg.Points(1.3)
		l.Dashes = plotutil.Dashes(i / 3)
		p.Add(l)
		p.Legend.Add(c.Name, l)
	}
	if err := p.Save(24*vg.Centimeter, 9*vg.Centimeter, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
