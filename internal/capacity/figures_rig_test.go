package capacity

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// size is one dimension of the planned deployment: a constant, or the product of other sizes divided by further ones.
type size struct {
	Name        string   `json:"name"`
	Description string   `json:"what"`
	CountNoun   string   `json:"count"` // noun for what is counted; defaults to the name
	Value       float64  `json:"value"` // defaults to 1 if Factors or Divisors are given
	Factors     []string `json:"times"`
	Divisors    []string `json:"over"`
}

// term is a series evaluated at a size, multiplied and divided by other sizes. Without AtSizes the series is evaluated at zero.
type term struct {
	Series   string   `json:"series"`
	AtSizes  []string `json:"at"`
	Part     string   `json:"part"` // "slope" omits the series' value at zero; "mean" averages its points regardless of their position
	MeanAt   []string `json:"of"`   // the size at which a mean is assumed to hold
	Factors  []string `json:"times"`
	Divisors []string `json:"over"`
}

// figure is a sum of terms and the limit it is compared with.
type figure struct {
	Name           string  `json:"name"`
	Role           string  `json:"role"`
	Event          string  `json:"event"`
	Description    string  `json:"what"`
	Unit           string  `json:"unit"`
	Scale          float64 `json:"scale"` // converts the series' unit to Unit; defaults to 1
	Terms          []term  `json:"terms"`
	Limit          float64 `json:"allowed"`  // in Unit; 0 for no limit
	LimitReason    string  `json:"why"`      // reason for the limit
	Consequence    string  `json:"breaks"`   // what suffers beyond the limit: service, rule or cost
	Axis           string  `json:"axis"`     // the size for which the supported maximum is computed
	Mechanism      string  `json:"by"`       // the package and page that implement the mechanism
	Missing        bool    `json:"missing"`  // no mechanism exists; Mechanism names what is used instead
	UnrankedReason string  `json:"unranked"` // why a missing mechanism has no share
	Planned        bool    `json:"planned"`  // not implemented; estimated separately and never ranked as a bottleneck
	LostFrom       string  `json:"lost"`     // the size of which the figure counts the lost part
	Note           string  `json:"note"`
}

// finding is a bottleneck of the first ranking and how it was resolved.
type finding struct {
	Bottleneck     string   `json:"wall"`
	SharePercent   float64  `json:"share"`   // in percent, at the time of the first ranking
	CapacityThen   string   `json:"carried"` // at that time
	SourceThen     string   `json:"source"`  // at that time
	Fix            string   `json:"mended"`
	CurrentFigures []string `json:"now"` // names of the figures that replace it
	Page           string   `json:"page"`
}

// findingsFile is the content of docs/capacity/found.json.
type findingsFile struct {
	Run  string    `json:"run"`
	Rows []finding `json:"rows"`
}

// model is the data of docs/capacity: series, sizes and figures.
type model struct {
	Sizes       []size   `json:"sizes"`
	Figures     []figure `json:"figures"`
	findings    findingsFile
	series      map[string]series
	seriesOrder []string
}

const (
	dataDir  = "../../docs/capacity"
	pageFile = "../../docs/CAPACITY.md"
)

func readModel(t testing.TB) *model {
	m := &model{series: map[string]series{}}
	ownFiles := map[string]any{"figures.json": m, "found.json": &m.findings}
	for name, target := range ownFiles {
		data, err := os.ReadFile(filepath.Join(dataDir, name))
		require.NoError(t, err)
		decoder := json.NewDecoder(strings.NewReader(string(data)))
		decoder.DisallowUnknownFields()
		require.NoError(t, decoder.Decode(target), name)
	}
	files, err := filepath.Glob(filepath.Join(dataDir, "*.json"))
	require.NoError(t, err)
	for _, file := range files {
		if ownFiles[filepath.Base(file)] != nil {
			continue
		}
		for _, s := range readSeries(t, file) {
			require.NotContains(t, m.series, s.Name, "duplicate series")
			m.series[s.Name], m.seriesOrder = s, append(m.seriesOrder, s.Name)
		}
	}
	return m
}

// sizeValues returns all sizes by name, with one of them overridden.
func (m *model) sizeValues(axis string, override float64) map[string]float64 {
	v := map[string]float64{}
	for _, s := range m.Sizes {
		x := s.Value
		if x == 0 {
			x = 1
		}
		for _, o := range s.Factors {
			x *= v[o]
		}
		for _, o := range s.Divisors {
			x /= v[o]
		}
		if s.Name == axis {
			x = override
		}
		v[s.Name] = x
	}
	return v
}

// validate reports inconsistencies in the model.
func (m *model) validate() error {
	var errs []error
	report := func(format string, a ...any) { errs = append(errs, fmt.Errorf(format, a...)) }
	knownSizes := map[string]bool{}
	requireSizes := func(user string, names ...[]string) {
		for _, n := range slices.Concat(names...) {
			if !knownSizes[n] {
				report("%s: size %q is not defined before it", user, n)
			}
		}
	}
	for _, s := range m.Sizes {
		requireSizes("size "+s.Name, s.Factors, s.Divisors)
		if knownSizes[s.Name] {
			report("duplicate size %s", s.Name)
		}
		knownSizes[s.Name] = true
	}
	seenFigures := map[string]bool{}
	for _, f := range m.Figures {
		if seenFigures[f.Name] {
			report("duplicate figure %s", f.Name)
		}
		seenFigures[f.Name] = true
		for _, t := range f.Terms {
			if _, ok := m.series[t.Series]; !ok {
				report("figure %s: unknown series %q", f.Name, t.Series)
			}
			requireSizes("figure "+f.Name, t.AtSizes, t.MeanAt, t.Factors, t.Divisors)
			if !slices.Contains([]string{"", "slope", "mean"}, t.Part) || t.Part == "mean" && len(t.AtSizes) > 0 || (t.Part == "mean") != (len(t.MeanAt) > 0) {
				report("figure %s: part %q is invalid or does not match the sizes given for series %q", f.Name, t.Part, t.Series)
			}
			if s := m.series[t.Series]; len(errs) == 0 && s.Slope < 0 && len(t.AtSizes) > 0 && product(m.sizeValues("", 0), t.AtSizes) > s.Range[1]*1.02 {
				report("figure %s: the decreasing fit of %q is extrapolated beyond its range", f.Name, t.Series)
			}
		}
		if f.Limit > 0 && !slices.Contains([]string{"service", "rule", "cost"}, f.Consequence) {
			report("figure %s: has a limit but no consequence (service, rule or cost)", f.Name)
		}
		if f.Axis != "" {
			requireSizes("figure "+f.Name, []string{f.Axis})
		}
		if len(errs) == 0 && len(f.Terms) > 0 && m.evaluate(f, m.sizeValues("", 0)) <= 0 {
			report("figure %s: its value is not positive: a decreasing fit is extrapolated below zero", f.Name)
		}
		if len(referencedPaths(f.Mechanism)) < 2 || !strings.Contains(f.Mechanism, "docs/") {
			report("figure %s: names no package and page for the mechanism or its substitute", f.Name)
		}
		if ranked := f.Limit > 0 && len(f.Terms) > 0; f.Missing && ranked == (f.UnrankedReason != "") {
			report("figure %s: a missing mechanism needs either a share or a reason for having none", f.Name)
		} else if !f.Missing && f.UnrankedReason != "" {
			report("figure %s: has a reason for not being ranked but its mechanism is not missing", f.Name)
		}
		if f.Planned && (f.Missing || f.LostFrom != "") {
			report("figure %s: a planned mechanism cannot be missing or lose part of a size", f.Name)
		}
		if f.LostFrom != "" {
			requireSizes("figure "+f.Name, []string{f.LostFrom})
			if f.Limit > 0 || f.Missing || !slices.Contains([]string{"service", "rule", "cost"}, f.Consequence) {
				report("figure %s: a figure that counts losses has no limit of its own, is not missing and needs a consequence", f.Name)
			}
		}
	}
	for _, r := range m.findings.Rows {
		if r.SharePercent <= 0 || r.SharePercent >= 100 || r.Bottleneck == "" || r.CapacityThen == "" || r.SourceThen == "" || r.Fix == "" || r.Page == "" || len(r.CurrentFigures) == 0 {
			report("found %q: a field is empty or the share is not between 0 and 100 percent", r.Bottleneck)
		}
		for _, name := range r.CurrentFigures {
			if !seenFigures[name] {
				report("found %q: unknown figure %q", r.Bottleneck, name)
			}
		}
	}
	for _, s := range m.series {
		if !slices.Contains([]string{"measured", "simulated", "reckoned"}, s.Kind) {
			report("series %s: unknown kind %q", s.Name, s.Kind)
		}
		if s.Run == "" {
			report("series %s: its run is not recorded", s.Name)
		}
	}
	return errors.Join(errs...)
}

// referencedPaths extracts the package and page paths from a mechanism.
func referencedPaths(mechanism string) []string {
	return regexp.MustCompile(`(?:internal|cmd|docs|choice)(?:/[a-zA-Z-]+(?:\.md)?)*`).FindAllString(mechanism, -1)
}

func product(v map[string]float64, names []string) float64 {
	x := 1.0
	for _, n := range names {
		x *= v[n]
	}
	return x
}

// evaluate computes a figure for the given sizes.
func (m *model) evaluate(f figure, v map[string]float64) (sum float64) {
	for _, t := range f.Terms {
		s, y := m.series[t.Series], 0.0
		switch t.Part {
		case "":
			y = s.AtZero
		case "mean":
			for _, p := range s.Points {
				y += p[1] / float64(len(s.Points))
			}
		}
		if len(t.AtSizes) > 0 {
			y += s.Slope * product(v, t.AtSizes)
		}
		sum += y * product(v, t.Factors) / product(v, t.Divisors)
	}
	if f.Scale != 0 {
		sum *= f.Scale
	}
	return sum
}

// sourceText describes how a figure was obtained: the least reliable kind of its series, and how far they are extrapolated.
func (m *model) sourceText(f figure, v map[string]float64) string {
	kind, beyond, at := "", 1.0, ""
	rank := []string{"measured", "simulated", "reckoned"}
	for _, t := range f.Terms {
		s := m.series[t.Series]
		if kind == "" || slices.Index(rank, s.Kind) > slices.Index(rank, kind) {
			kind = s.Kind
		}
		if t.Part == "mean" {
			at = ", at " + format(s.Range[0])
			if s.Range[1] > s.Range[0] {
				at += " to " + format(s.Range[1])
			}
			at += " " + plural(s.Per)
		}
		if sizes := slices.Concat(t.AtSizes, t.MeanAt); len(sizes) > 0 && s.Kind != "reckoned" {
			x := product(v, sizes)
			if s.Range[1] > 0 && x > s.Range[1]*1.02 {
				beyond = max(beyond, x/s.Range[1])
			} else if x < s.Range[0]*0.98 {
				beyond = max(beyond, s.Range[0]/x)
			}
		}
	}
	kind += at
	if beyond > 1 {
		return fmt.Sprintf("%s, **beyond range** ×%s", kind, format(beyond))
	}
	return kind
}

// plural returns the plural of a noun that may be followed by a qualifier, such as "sender in the fleet".
func plural(per string) string {
	thing, rest, more := strings.Cut(per, " ")
	if thing == "" {
		return ""
	}
	if thing += "s"; more {
		thing += " " + rest
	}
	return thing
}

// isRanked reports whether a figure has a share.
func (f figure) isRanked() bool { return len(f.Terms) > 0 && (f.Limit > 0 || f.LostFrom != "") }

// share is the ratio of a figure's limit to its value; below 1 the figure is a bottleneck. For a figure that counts losses it is
// the part that is not lost.
func (m *model) share(f figure, v map[string]float64) float64 {
	if f.LostFrom != "" {
		return 1 - m.evaluate(f, v)/v[f.LostFrom]
	}
	return f.Limit / m.evaluate(f, v)
}

// uncertainty is the largest relative error of a figure's series at its sizes.
func (m *model) uncertainty(f figure, v map[string]float64) (largest float64) {
	for _, t := range f.Terms {
		if s := m.series[t.Series]; len(t.AtSizes) > 0 {
			largest = max(largest, s.uncertainty(product(v, t.AtSizes)))
		} else {
			largest = max(largest, s.Scatter)
		}
	}
	return largest
}

// capacityText states whether the limit is met, or up to which size on the figure's axis it is.
func (m *model) capacityText(f figure, v map[string]float64) string {
	axis, maxSize := f.Axis, m.maxSize(f, v)
	switch {
	case f.Planned && f.Axis != "":
		return "**missing**, not built; would carry up to " + formatDown(maxSize) + " " + m.countNoun(axis)
	case f.Planned:
		return "**missing**, not built"
	case f.Missing && f.Axis != "":
		return "**missing**; by hand " + formatDown(maxSize) + " of the " + m.countNoun(axis)
	case f.Missing:
		return "**missing**"
	case f.LostFrom != "":
		return "carries **up to " + formatDown(v[f.LostFrom]*m.share(f, v)) + "** " + m.countNoun(f.LostFrom)
	case f.Limit == 0 && strings.HasPrefix(f.Mechanism, "outside"):
		return "outside; no bound told"
	case f.Limit == 0:
		return "carries; no bound told"
	case m.share(f, v) >= 1+m.uncertainty(f, v):
		return "carries"
	case m.share(f, v) >= 1:
		return "carries, by less than the scatter"
	case f.Axis == "":
		return "carries **up to " + formatDown(100*m.share(f, v)) + "%** of the figure"
	case maxSize < 1e-9:
		return "**does not carry at any size**"
	}
	return "carries **up to " + formatDown(maxSize) + "** " + m.countNoun(axis)
}

// maxSize is the largest size on a figure's axis at which the limit is met, at most the size itself.
func (m *model) maxSize(f figure, v map[string]float64) float64 {
	low, high := 0.0, v[f.Axis]
	for range 60 {
		mid := (low + high) / 2
		if m.evaluate(f, m.sizeValues(f.Axis, mid)) <= f.Limit {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// countNoun is the noun for what a size counts.
func (m *model) countNoun(name string) string {
	for _, s := range m.Sizes {
		if s.Name == name && s.CountNoun != "" {
			return s.CountNoun
		}
	}
	return withSpaces(name)
}

// formatDown formats like format but never rounds up.
func formatDown(v float64) string {
	if s := roundSignificant(v, 4); s >= v && s-v < 1e-6*v {
		v = s
	}
	n := 2
	if v >= 100 {
		n = 3
	}
	step := math.Pow(10, math.Floor(math.Log10(v))+1-float64(n))
	if v > 0 {
		v = roundSignificant(math.Floor(v/step+1e-9)*step, n)
	}
	return format(v)
}

func withSpaces(name string) string { return strings.ReplaceAll(name, "_", " ") }

// format rounds to two significant digits below 100 and three above, and groups thousands.
func format(v float64) string {
	n := 2
	if math.Abs(v) >= 100 {
		n = 3
	}
	v = roundSignificant(v, n)
	if math.Abs(v) < 1e-4 && v != 0 {
		return strconv.FormatFloat(v, 'e', 1, 64)
	}
	return groupThousands(v)
}

// groupThousands formats a number unrounded, with thousands separators.
func groupThousands(v float64) string {
	whole, rest, _ := strings.Cut(strconv.FormatFloat(v, 'f', -1, 64), ".")
	for i := len(whole) - 3; i > 0 && whole[i-1] != '-'; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if rest != "" {
		return whole + "." + rest
	}
	return whole
}

type table struct{ header, rows []string }

func (t *table) add(cells ...string) { t.rows = append(t.rows, "| "+strings.Join(cells, " | ")+" |") }

func (t *table) markdown() string {
	rule := strings.Repeat("| --- ", len(t.header)) + "|"
	return strings.Join(slices.Concat([]string{"| " + strings.Join(t.header, " | ") + " |", rule}, t.rows), "\n") + "\n"
}

func limitText(f figure) string {
	if f.Limit == 0 {
		return ""
	}
	text := groupThousands(f.Limit)
	if f.LimitReason != "" {
		text += " (" + f.LimitReason + ")"
	}
	return text
}

func shareText(share float64) string {
	if share >= 10 {
		return format(share) + " times"
	}
	return format(100*share) + "%"
}

// tables generates the tables of the page by name.
func (m *model) tables() map[string]string {
	v := m.sizeValues("", 0)
	all := map[string]string{}
	sizeTable := &table{header: []string{"size", "value", ""}}
	for _, s := range m.Sizes {
		if s.Description == "" { // intermediate result, not shown
			continue
		}
		value := format(v[s.Name])
		if len(s.Factors)+len(s.Divisors) == 0 {
			value = groupThousands(s.Value)
		}
		sizeTable.add(withSpaces(s.Name), value, s.Description)
	}
	all["sizes"] = sizeTable.markdown()
	roleTables := map[string]*table{}
	var bottlenecks []figure
	var unranked []string
	for _, f := range m.Figures {
		if roleTables[f.Role] == nil {
			roleTables[f.Role] = &table{header: []string{"when", "what", "at the size", "allowed", "share", "carries", "source", "carried by", "because"}}
		}
		value, share := "", ""
		if f.isRanked() {
			share = shareText(m.share(f, v))
		}
		if len(f.Terms) > 0 {
			value = format(m.evaluate(f, v)) + " " + f.Unit
		}
		roleTables[f.Role].add(f.Event, f.Description, value, limitText(f), share, m.capacityText(f, v), m.sourceText(f, v), f.Mechanism, f.Note)
		if f.isRanked() && !f.Planned && (f.Missing || m.share(f, v) < 1) {
			bottlenecks = append(bottlenecks, f)
		}
		if f.UnrankedReason != "" {
			unranked = append(unranked, "**"+f.Description+"** ("+f.Role+", "+f.Event+"; "+m.capacityText(f, v)+"): "+f.UnrankedReason)
		}
	}
	for role, t := range roleTables {
		all["role "+role] = t.markdown()
	}
	slices.SortStableFunc(bottlenecks, func(a, b figure) int {
		severity := func(f figure) int {
			if f.Consequence == "cost" {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(severity(a), severity(b)), cmp.Compare(m.share(a, v), m.share(b, v)))
	})
	bottleneckTable := &table{header: []string{"", "wall", "role", "stands at, share of the size", "beyond it", "carries", "source", "mechanism"}}
	for i, f := range bottlenecks {
		bottleneckTable.add(strconv.Itoa(i+1), f.Description+", "+f.Event, f.Role, shareText(m.share(f, v)), f.Consequence, m.capacityText(f, v), m.sourceText(f, v), f.Mechanism)
	}
	all["walls"] = bottleneckTable.markdown()
	all["unranked"] = "Not ranked, for no share of the size belongs to them: " + strings.Join(unranked, "; ") + ".\n"
	findingsTable := &table{header: []string{"wall", "share as found", "carried then", "what was mended", "share now", "page"}}
	for _, r := range m.findings.Rows {
		var current []string
		for _, f := range m.Figures {
			if slices.Contains(r.CurrentFigures, f.Name) {
				current = append(current, f.Description+": "+shareText(m.share(f, v))+", "+m.capacityText(f, v)+" ("+m.sourceText(f, v)+")")
			}
		}
		findingsTable.add(r.Bottleneck, format(r.SharePercent)+"%", r.CapacityThen+" ("+r.SourceThen+")", r.Fix, strings.Join(current, "; "), r.Page)
	}
	all["found"] = findingsTable.markdown()
	slopeTable := &table{header: []string{"series", "what", "slope", "at zero", "range", "scatter", "kind and run"}}
	for _, name := range m.seriesOrder {
		s := m.series[name]
		span, scatter := format(s.Range[0])+" to "+format(s.Range[1]), format(100*s.Scatter)+"%"
		if s.Kind == "reckoned" {
			span, scatter = "", ""
		}
		slopeTable.add("`"+name+"`", s.Description, fmt.Sprintf("%s %s a %s", format(s.Slope), s.Unit, s.Per), format(s.AtZero)+" "+s.Unit, span, scatter, s.Kind+": "+s.Run)
	}
	all["slopes"] = slopeTable.markdown()
	return all
}

// fillTables inserts the tables between their markers and reports markers without a table and tables without a marker.
func fillTables(page string, tables map[string]string) (string, error) {
	var out strings.Builder
	var errs []error
	filled := map[string]bool{}
	for rest := page; ; {
		before, after, found := strings.Cut(rest, "<!-- table ")
		out.WriteString(before)
		if !found {
			break
		}
		name, body, ok := strings.Cut(after, " -->\n")
		_, tail, closed := strings.Cut(body, "<!-- end -->")
		if !ok || !closed {
			errs = append(errs, fmt.Errorf("marker %.40q has no end", after))
			break
		}
		text, known := tables[name]
		if !known {
			errs = append(errs, fmt.Errorf("marker for unknown table %q", name))
		}
		filled[name] = true
		out.WriteString("<!-- table " + name + " -->\n" + text + "<!-- end -->")
		rest = tail
	}
	for name := range tables {
		if !filled[name] {
			errs = append(errs, fmt.Errorf("table %q has no marker on the page", name))
		}
	}
	return out.String(), errors.Join(errs...)
}
