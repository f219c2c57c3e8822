// Package experiment plays many days and says what they show: means with intervals, paired differences, the worst day that
// can be found. Days are spread over the cores; what is said does not depend on how many there are.
package experiment

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"ravenlink/internal/lab/rules"
	"ravenlink/internal/lab/scenario"
	"ravenlink/internal/lab/world"
)

// confidence of all intervals.
const confidence = 0.95

// Metric is a figure of a run.
type Metric struct {
	Name string
	Of   func(*world.Result) float64
}

// Metrics are those that tables show.
var Metrics = []Metric{
	{"service", func(r *world.Result) float64 { return r.Service }},
	{"worst 10 s", func(r *world.Result) float64 { return r.Worst }},
	{"in time", func(r *world.Result) float64 { return over(r.InTime, r.Asked) }},
	{"legs a message", func(r *world.Result) float64 { return r.PerOrder }},
	{"refused a message", func(r *world.Result) float64 { return over(r.Outcomes["full"], r.Asked) }},
	{"waste", func(r *world.Result) float64 { return r.Waste }},
	{"p50 ms", func(r *world.Result) float64 { return r.Answer.P50 }},
	{"p99 ms", func(r *world.Result) float64 { return r.Answer.P99 }},
	{"pushed over", func(r *world.Result) float64 { return float64(r.Fell) }},
	{"rules broken", func(r *world.Result) float64 { return float64(r.Broken) }},
}

func over(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Find gives a metric by its name.
func Find(name string) (Metric, error) {
	for _, m := range Metrics {
		if m.Name == name {
			return m, nil
		}
	}
	return Metric{}, fmt.Errorf("no figure %q", name)
}

// Estimate is a mean with its interval.
type Estimate struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"n"`
}

// Half is half the width of the interval.
func (e Estimate) Half() float64 { return (e.High - e.Low) / 2 }

// Excludes tells whether a value lies outside the interval.
func (e Estimate) Excludes(v float64) bool { return e.N > 1 && (v < e.Low || v > e.High) }

// Mean estimates the mean of draws, by Student's t. One draw has no interval: it is as wide as can be.
func Mean(xs []float64) Estimate {
	m, sd := stat.MeanStdDev(xs, nil)
	if len(xs) < 2 {
		return Estimate{m, math.Inf(-1), math.Inf(1), len(xs)}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(xs) - 1)}.Quantile(1 - (1-confidence)/2)
	half := t * sd / math.Sqrt(float64(len(xs)))
	return Estimate{m, m - half, m + half, len(xs)}
}

// Job is one day to play.
type Job struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Policy   string
}

// Play plays jobs over the cores and gives their results in the order of the jobs. done is told how many are finished
// each time one is; it may be nil.
func Play(ctx context.Context, jobs []Job, done func(int)) ([]*world.Result, error) {
	results := make([]*world.Result, len(jobs))
	var finished atomic.Int64
	g, inner := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, j := range jobs {
		if inner.Err() != nil {
			break
		}
		g.Go(func() error {
			if inner.Err() != nil {
				return inner.Err()
			}
			r, err := world.Play(j.Scenario, j.Seed, j.Policy, nil)
			if err != nil {
				return err
			}
			results[i] = r
			if n := int(finished.Add(1)); done != nil {
				done(n)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return results, ctx.Err()
}

// Axis is a setting and the values it takes.
type Axis struct {
	Path   string   `json:"path"`
	Values []string `json:"values"`
}

// Cell is one place of a grid: a value of each axis.
type Cell struct {
	Values  []string            `json:"values"`
	Figures map[string]Estimate `json:"figures"`
	Rules   map[rules.Rule]int  `json:"rules,omitempty"`
}

// Grid is what a sweep found.
type Grid struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Axes     []Axis `json:"axes"`
	Seeds    int    `json:"seeds"`
	Cells    []Cell `json:"cells"`
}

// Sweep plays every place of a grid with the same seeds, 1 to seeds.
func Sweep(ctx context.Context, s *scenario.Scenario, policy string, axes []Axis, seeds int, done func(int)) (*Grid, error) {
	g := &Grid{Scenario: s.Name, Policy: policy, Axes: axes, Seeds: seeds}
	var jobs []Job
	for _, values := range places(axes) {
		c := s.Clone()
		for i, v := range values {
			if err := c.Set(axes[i].Path, v); err != nil {
				return nil, err
			}
		}
		g.Cells = append(g.Cells, Cell{Values: values})
		for seed := range seeds {
			jobs = append(jobs, Job{&c, uint64(seed + 1), policy})
		}
	}
	rs, err := Play(ctx, jobs, done)
	if err != nil {
		return nil, err
	}
	for i := range g.Cells {
		g.Cells[i].Figures, g.Cells[i].Rules = summarise(rs[i*seeds : (i+1)*seeds])
	}
	return g, nil
}

// places lists the grid's, the last axis running fastest.
func places(axes []Axis) [][]string {
	all := [][]string{nil}
	for _, a := range axes {
		var wider [][]string
		for _, p := range all {
			for _, v := range a.Values {
				wider = append(wider, append(append([]string(nil), p...), v))
			}
		}
		all = wider
	}
	return all
}

func summarise(rs []*world.Result) (map[string]Estimate, map[rules.Rule]int) {
	figures, broken := map[string]Estimate{}, map[rules.Rule]int{}
	for _, m := range Metrics {
		xs := make([]float64, len(rs))
		for i, r := range rs {
			xs[i] = m.Of(r)
		}
		figures[m.Name] = Mean(xs)
	}
	for _, r := range rs {
		for rule, n := range r.Rules {
			broken[rule] += n
		}
	}
	return figures, broken
}

// Difference is a paired one: the same seeds under both policies.
type Difference struct {
	Metric string   `json:"figure"`
	A      Estimate `json:"a"`
	B      Estimate `json:"b"`
	BLessA Estimate `json:"b_less_a"`
}

// Verdict says in plain words what a difference shows.
func (d Difference) Verdict(a, b string) string {
	switch {
	case d.BLessA.N < 2:
		return "one seed shows nothing"
	case d.BLessA.Mean == 0 && d.BLessA.High == 0:
		return "no difference at all"
	case !d.BLessA.Excludes(0):
		return "no difference seen"
	case d.BLessA.Mean > 0:
		return b + " has more"
	}
	return a + " has more"
}

// Comparison is two policies on the same days.
type Comparison struct {
	Scenario string             `json:"scenario"`
	A        string             `json:"a"`
	B        string             `json:"b"`
	Seeds    int                `json:"seeds"`
	Figures  []Difference       `json:"figures"`
	RulesA   map[rules.Rule]int `json:"rules_a,omitempty"`
	RulesB   map[rules.Rule]int `json:"rules_b,omitempty"`
}

// Compare plays two policies on seeds 1 to seeds.
func Compare(ctx context.Context, s *scenario.Scenario, a, b string, seeds int, done func(int)) (*Comparison, error) {
	var jobs []Job
	for seed := range seeds {
		jobs = append(jobs, Job{s, uint64(seed + 1), a}, Job{s, uint64(seed + 1), b})
	}
	rs, err := Play(ctx, jobs, done)
	if err != nil {
		return nil, err
	}
	var as, bs []*world.Result
	for i := 0; i < len(rs); i += 2 {
		as, bs = append(as, rs[i]), append(bs, rs[i+1])
	}
	c := &Comparison{Scenario: s.Name, A: a, B: b, Seeds: seeds}
	_, c.RulesA = summarise(as)
	_, c.RulesB = summarise(bs)
	for _, m := range Metrics {
		c.Figures = append(c.Figures, paired(m, as, bs))
	}
	return c, nil
}

func paired(m Metric, as, bs []*world.Result) Difference {
	xs, ys, ds := make([]float64, len(as)), make([]float64, len(as)), make([]float64, len(as))
	for i := range as {
		xs[i], ys[i] = m.Of(as[i]), m.Of(bs[i])
		ds[i] = ys[i] - xs[i]
	}
	return Difference{m.Name, Mean(xs), Mean(ys), Mean(ds)}
}

// Row is one scenario in a table of policies.
type Row struct {
	Scenario string
	Shows    string
	Service  map[string]Estimate // by policy
	Rules    map[string]map[rules.Rule]int
	Versus   map[string]Estimate // module less that policy, paired by seed
}

// Table plays every policy on every scenario.
func Table(ctx context.Context, ss []*scenario.Scenario, policies []string, seeds int, done func(int)) ([]Row, error) {
	var jobs []Job
	for _, s := range ss {
		for _, p := range policies {
			for seed := range seeds {
				jobs = append(jobs, Job{s, uint64(seed + 1), p})
			}
		}
	}
	rs, err := Play(ctx, jobs, done)
	if err != nil {
		return nil, err
	}
	service := Metrics[0]
	var rows []Row
	for i, s := range ss {
		row := Row{Scenario: s.Name, Shows: s.Shows, Service: map[string]Estimate{}, Rules: map[string]map[rules.Rule]int{},
			Versus: map[string]Estimate{}}
		of := func(j int) []*world.Result {
			at := (i*len(policies) + j) * seeds
			return rs[at : at+seeds]
		}
		for j, p := range policies {
			d := paired(service, of(j), of(0))
			row.Service[p], row.Versus[p] = d.A, d.BLessA
			_, row.Rules[p] = summarise(of(j))
		}
		rows = append(rows, row)
	}
	return rows, nil
}
