// Package experiment runs a scenario many times, with different seeds, policies and settings, and evaluates the results:
// means with confidence intervals, paired differences between policies, and a search for the worst day. A day is one
// simulated run. Days run in parallel; the results do not depend on the number of cores.
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

// confidenceLevel applies to all intervals.
const confidenceLevel = 0.95

// Metric is a named figure of a run.
type Metric struct {
	Name string
	Of   func(*world.Result) float64
}

// Metrics lists the figures that tables show, in their order.
var Metrics = []Metric{
	{"service", func(r *world.Result) float64 { return r.Service }},
	{"worst 10 s", func(r *world.Result) float64 { return r.Worst }},
	{"in time", func(r *world.Result) float64 { return ratio(r.InTime, r.Asked) }},
	{"legs a message", func(r *world.Result) float64 { return r.LegsPerMessage }},
	{"refused a message", func(r *world.Result) float64 { return ratio(r.Outcomes["full"], r.Asked) }},
	{"waste", func(r *world.Result) float64 { return r.Waste }},
	{"p50 ms", func(r *world.Result) float64 { return r.DeliveryTimes.P50 }},
	{"p99 ms", func(r *world.Result) float64 { return r.DeliveryTimes.P99 }},
	{"pushed over", func(r *world.Result) float64 { return float64(r.Collapses) }},
	{"rules broken", func(r *world.Result) float64 { return float64(r.Broken) }},
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// FindMetric returns the metric with the given name.
func FindMetric(name string) (Metric, error) {
	for _, m := range Metrics {
		if m.Name == name {
			return m, nil
		}
	}
	return Metric{}, fmt.Errorf("no figure %q", name)
}

// Estimate is a mean with its confidence interval and the number of samples.
type Estimate struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"n"`
}

// HalfWidth is half the width of the interval.
func (e Estimate) HalfWidth() float64 { return (e.High - e.Low) / 2 }

// Excludes reports whether a value lies outside the interval.
func (e Estimate) Excludes(v float64) bool { return e.N > 1 && (v < e.Low || v > e.High) }

// EstimateMean estimates the mean of samples; the interval is that of Student's t-distribution. With a single sample it is
// infinitely wide.
func EstimateMean(xs []float64) Estimate {
	m, sd := stat.MeanStdDev(xs, nil)
	if len(xs) < 2 {
		return Estimate{m, math.Inf(-1), math.Inf(1), len(xs)}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(xs) - 1)}.Quantile(1 - (1-confidenceLevel)/2)
	half := t * sd / math.Sqrt(float64(len(xs)))
	return Estimate{m, m - half, m + half, len(xs)}
}

// Job is one run to simulate.
type Job struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Policy   string
}

// RunJobs simulates the jobs in parallel and returns their results in the order of the jobs. Each time a job finishes, done
// is called with the number of finished jobs; it may be nil, and is called concurrently.
func RunJobs(ctx context.Context, jobs []Job, done func(int)) ([]*world.Result, error) {
	results := make([]*world.Result, len(jobs))
	var finished atomic.Int64
	g, groupCtx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, j := range jobs {
		if groupCtx.Err() != nil {
			break
		}
		g.Go(func() error {
			if groupCtx.Err() != nil {
				return groupCtx.Err()
			}
			r, err := world.Run(j.Scenario, j.Seed, j.Policy, nil)
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

// Axis is the path of a setting and the values that a sweep gives it.
type Axis struct {
	Path   string   `json:"path"`
	Values []string `json:"values"`
}

// Cell holds the results for one combination of values, with one value for each axis.
type Cell struct {
	Values     []string            `json:"values"`
	Figures    map[string]Estimate `json:"figures"`
	Violations map[rules.Rule]int  `json:"rules,omitempty"`
}

// Grid is the result of a sweep.
type Grid struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Axes     []Axis `json:"axes"`
	Seeds    int    `json:"seeds"`
	Cells    []Cell `json:"cells"`
}

// Sweep runs the scenario with every combination of the axes' values, each with the seeds 1 to seeds.
func Sweep(ctx context.Context, s *scenario.Scenario, policy string, axes []Axis, seeds int, done func(int)) (*Grid, error) {
	g := &Grid{Scenario: s.Name, Policy: policy, Axes: axes, Seeds: seeds}
	var jobs []Job
	for _, values := range combinations(axes) {
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
	rs, err := RunJobs(ctx, jobs, done)
	if err != nil {
		return nil, err
	}
	for i := range g.Cells {
		g.Cells[i].Figures, g.Cells[i].Violations = summarize(rs[i*seeds : (i+1)*seeds])
	}
	return g, nil
}

// combinations returns all combinations of the axes' values; the last axis varies fastest.
func combinations(axes []Axis) [][]string {
	all := [][]string{nil}
	for _, a := range axes {
		var extended [][]string
		for _, prefix := range all {
			for _, v := range a.Values {
				extended = append(extended, append(append([]string(nil), prefix...), v))
			}
		}
		all = extended
	}
	return all
}

// summarize returns the estimate of every metric, and the number of violations of each rule over all runs.
func summarize(rs []*world.Result) (map[string]Estimate, map[rules.Rule]int) {
	figures, violations := map[string]Estimate{}, map[rules.Rule]int{}
	for _, m := range Metrics {
		xs := make([]float64, len(rs))
		for i, r := range rs {
			xs[i] = m.Of(r)
		}
		figures[m.Name] = EstimateMean(xs)
	}
	for _, r := range rs {
		for rule, n := range r.Rules {
			violations[rule] += n
		}
	}
	return figures, violations
}

// Difference compares a metric of two policies, paired by seed.
type Difference struct {
	Metric  string   `json:"figure"`
	A       Estimate `json:"a"`
	B       Estimate `json:"b"`
	BMinusA Estimate `json:"b_less_a"`
}

// Verdict states in words which policy has the higher value; a and b are the policies' names.
func (d Difference) Verdict(a, b string) string {
	switch {
	case d.BMinusA.N < 2:
		return "one seed shows nothing"
	case d.BMinusA.Mean == 0 && d.BMinusA.High == 0:
		return "no difference at all"
	case !d.BMinusA.Excludes(0):
		return "no difference seen"
	case d.BMinusA.Mean > 0:
		return b + " has more"
	}
	return a + " has more"
}

// Comparison is the result of two policies with the same seeds.
type Comparison struct {
	Scenario    string             `json:"scenario"`
	A           string             `json:"a"`
	B           string             `json:"b"`
	Seeds       int                `json:"seeds"`
	Figures     []Difference       `json:"figures"`
	ViolationsA map[rules.Rule]int `json:"rules_a,omitempty"`
	ViolationsB map[rules.Rule]int `json:"rules_b,omitempty"`
}

// Compare runs the scenario under two policies, both with the seeds 1 to seeds.
func Compare(ctx context.Context, s *scenario.Scenario, a, b string, seeds int, done func(int)) (*Comparison, error) {
	var jobs []Job
	for seed := range seeds {
		jobs = append(jobs, Job{s, uint64(seed + 1), a}, Job{s, uint64(seed + 1), b})
	}
	rs, err := RunJobs(ctx, jobs, done)
	if err != nil {
		return nil, err
	}
	var as, bs []*world.Result
	for i := 0; i < len(rs); i += 2 {
		as, bs = append(as, rs[i]), append(bs, rs[i+1])
	}
	c := &Comparison{Scenario: s.Name, A: a, B: b, Seeds: seeds}
	_, c.ViolationsA = summarize(as)
	_, c.ViolationsB = summarize(bs)
	for _, m := range Metrics {
		c.Figures = append(c.Figures, pairedDifference(m, as, bs))
	}
	return c, nil
}

func pairedDifference(m Metric, as, bs []*world.Result) Difference {
	xs, ys, ds := make([]float64, len(as)), make([]float64, len(as)), make([]float64, len(as))
	for i := range as {
		xs[i], ys[i] = m.Of(as[i]), m.Of(bs[i])
		ds[i] = ys[i] - xs[i]
	}
	return Difference{m.Name, EstimateMean(xs), EstimateMean(ys), EstimateMean(ds)}
}

// Row holds the results of one scenario in a table of policies; the maps are keyed by policy.
type Row struct {
	Scenario    string
	Description string
	Service     map[string]Estimate // estimate of the service
	Violations  map[string]map[rules.Rule]int
	Versus      map[string]Estimate // service of the first policy (the module) minus that of this one, paired by seed
}

// Table runs every scenario under every policy, with the seeds 1 to seeds.
func Table(ctx context.Context, ss []*scenario.Scenario, policies []string, seeds int, done func(int)) ([]Row, error) {
	var jobs []Job
	for _, s := range ss {
		for _, p := range policies {
			for seed := range seeds {
				jobs = append(jobs, Job{s, uint64(seed + 1), p})
			}
		}
	}
	rs, err := RunJobs(ctx, jobs, done)
	if err != nil {
		return nil, err
	}
	service := Metrics[0]
	var rows []Row
	for i, s := range ss {
		row := Row{Scenario: s.Name, Description: s.Description, Service: map[string]Estimate{}, Violations: map[string]map[rules.Rule]int{},
			Versus: map[string]Estimate{}}
		resultsOf := func(j int) []*world.Result {
			at := (i*len(policies) + j) * seeds
			return rs[at : at+seeds]
		}
		for j, p := range policies {
			d := pairedDifference(service, resultsOf(j), resultsOf(0))
			row.Service[p], row.Versus[p] = d.A, d.BMinusA
			_, row.Violations[p] = summarize(resultsOf(j))
		}
		rows = append(rows, row)
	}
	return rows, nil
}
