package report

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"

	"ravenlink/internal/lab/experiment"
	"ravenlink/internal/lab/world"
)

// section is the part of the page for one result file: a run, a sweep or a comparison.
type section struct {
	Name   string
	Result *world.Result
	Grid   *experiment.Grid
	Paired *experiment.Comparison
	Plots  []template.HTML
}

// MetricNames returns the column heads of a sweep's table.
func (s section) MetricNames() (names []string) {
	for _, m := range experiment.Metrics {
		names = append(names, m.Name)
	}
	return names
}

// Figure formats the named figure of a cell.
func (s section) Figure(c experiment.Cell, name string) string {
	return FormatEstimate(c.Figures[name])
}

// Verdict states in words what a difference shows.
func (s section) Verdict(d experiment.Difference) string { return d.Verdict(s.Paired.A, s.Paired.B) }

// Format formats an estimate for the page.
func (s section) Format(e experiment.Estimate) string { return FormatEstimate(e) }

// FormatEstimate formats a mean with half the width of its confidence interval.
func FormatEstimate(e experiment.Estimate) string {
	if e.N < 2 {
		return fmt.Sprintf("%.4g", e.Mean)
	}
	return fmt.Sprintf("%.4g ± %.2g", e.Mean, e.HalfWidth())
}

// Write renders all results (*.json) of a directory to index.html and the plots to PNG files in it, and returns the number
// of PNG files. Files that are not results are listed in the error; the page then contains the others.
func Write(dir string) (pictures int, err error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return 0, fmt.Errorf("report: %w", err)
	}
	if len(files) == 0 {
		return 0, fmt.Errorf("report: no result (*.json) in %s; ravenlab run --json FILE writes one", dir)
	}
	slices.Sort(files)
	var sections []section
	var readErrs []error
	for _, f := range files {
		s, plots, err := readResult(f)
		if err != nil {
			readErrs = append(readErrs, err)
			continue
		}
		for i, p := range plots {
			text, err := renderSVG(p)
			if err != nil {
				return pictures, err
			}
			s.Plots = append(s.Plots, inlineSVG(text))
			if err := writePNG(dir, fmt.Sprintf("%s-%d.png", s.Name, i+1), p); err != nil {
				return pictures, err
			}
			pictures++
		}
		sections = append(sections, s)
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, sections); err != nil {
		return pictures, fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "index.html"), b.Bytes(), 0o644); err != nil {
		return pictures, fmt.Errorf("report: %w", err)
	}
	return pictures, errors.Join(readErrs...)
}

func writePNG(dir, name string, p *plot.Plot) (err error) {
	f, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return renderPNG(p, f)
}

// inlineSVG strips what precedes the svg element.
func inlineSVG(text []byte) template.HTML {
	if at := bytes.Index(text, []byte("<svg")); at > 0 {
		text = text[at:]
	}
	return template.HTML(text) //nolint:gosec // rendered by this package
}

// readResult reads one file, recognizes its kind of result by the JSON keys in it, and draws its plots.
func readResult(file string) (section, []*plot.Plot, error) {
	s := section{Name: strings.TrimSuffix(filepath.Base(file), ".json")}
	text, err := os.ReadFile(file)
	if err != nil {
		return s, nil, fmt.Errorf("report: %w", err)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(text, &keys); err != nil {
		return s, nil, fmt.Errorf("%s: %w", file, err)
	}
	has := func(name string) bool { _, ok := keys[name]; return ok }
	var plots []*plot.Plot
	switch {
	case has("series"):
		if err = json.Unmarshal(text, &s.Result); err == nil {
			plots, err = runPlots(s.Result)
		}
	case has("cells"):
		if err = json.Unmarshal(text, &s.Grid); err == nil {
			plots, err = gridPlots(s.Grid)
		}
	case has("a") && has("b"):
		err = json.Unmarshal(text, &s.Paired)
	default:
		err = errors.New("no result of a run, a sweep or a comparison")
	}
	if err != nil {
		return s, nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, plots, nil
}

func gridPlots(g *experiment.Grid) (ps []*plot.Plot, err error) {
	if len(g.Axes) == 0 || len(g.Cells) == 0 {
		return nil, nil
	}
	for _, name := range []string{"service", "legs a message", "p99 ms"} {
		p, err := gridPlot(g, name)
		if err != nil {
			return nil, err
		}
		ps = append(ps, p)
	}
	return ps, nil
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>ravenlab</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
h2{border-top:1px solid #ccc;padding-top:1em}table{border-collapse:collapse;font-size:13px}
td,th{border:1px solid #ddd;padding:.25em .6em;text-align:right}th:first-child,td:first-child{text-align:left}
svg{max-width:100%;height:auto;display:block;margin:.8em 0}.broken{color:#a00;font-weight:bold}
</style>
<h1>Laboratory report</h1>
<p>All figures are from simulated receivers, clients and networks. Shaded: troubles.</p>
{{range .}}{{$s := .}}<h2>{{.Name}}</h2>
{{with .Result}}<p>{{.Scenario}}, policy {{.Policy}}, seed {{.Seed}}: service {{printf "%.4f" .Service}}, worst 10 s {{printf "%.3f" .Worst}},
{{.Asked}} asked, {{.Delivered}} delivered, {{.Legs}} legs.
{{if .Broken}}<span class="broken">Rules broken: {{range $r, $n := .Rules}}{{$r}} {{$n}} {{end}}</span>{{else}}All rules kept.{{end}}</p>
{{if .Marks}}<details><summary>Troubles</summary><ul>{{range .Marks}}{{if .Begin}}<li>{{.What}}</li>{{end}}{{end}}</ul></details>{{end}}{{end}}
{{with .Grid}}<table><tr>{{range .Axes}}<th>{{.Path}}</th>{{end}}{{range $s.MetricNames}}<th>{{.}}</th>{{end}}</tr>
{{range $c := .Cells}}<tr>{{range .Values}}<td>{{.}}</td>{{end}}{{range $s.MetricNames}}<td>{{$s.Figure $c .}}</td>{{end}}</tr>{{end}}</table>{{end}}
{{with .Paired}}<p>{{.Scenario}}: {{.A}} and {{.B}} on the same {{.Seeds}} days.</p>
<table><tr><th>figure</th><th>{{.A}}</th><th>{{.B}}</th><th>difference</th><th></th></tr>
{{range .Figures}}<tr><td>{{.Metric}}</td><td>{{$s.Format .A}}</td><td>{{$s.Format .B}}</td><td>{{$s.Format .BMinusA}}</td><td>{{$s.Verdict .}}</td></tr>{{end}}</table>{{end}}
{{range .Plots}}{{.}}{{end}}{{end}}
</html>
`))
