package capacity

import (
	"math"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// RAVENLINK_CAPACITY_PAGE=write makes TestPageIsMadeOfTheData rewrite the tables of docs/CAPACITY.md:
//
//	RAVENLINK_CAPACITY_PAGE=write go test -count=1 -run TestPageIsMadeOfTheData ./internal/capacity
const pageEnv = "RAVENLINK_CAPACITY_PAGE"

func TestPageIsMadeOfTheData(t *testing.T) {
	m := readModel(t)
	require.NoError(t, m.validate())
	page, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	filled, err := fillTables(string(page), m.tables())
	require.NoError(t, err)
	if os.Getenv(pageEnv) == "write" {
		require.NoError(t, os.WriteFile(pageFile, []byte(filled), 0o644))
		return
	}
	require.Equal(t, filled, string(page), "the page's tables do not match docs/capacity; %s=write regenerates them", pageEnv)
}

// TestFitsMatchTheirPoints guards against slopes, ranges and scatters edited by hand. Files other than sender.json may weight their points
// differently, so only their range is compared exactly and their scatter has to cover the actual deviation of the line.
func TestFitsMatchTheirPoints(t *testing.T) {
	senderSeries := map[string]bool{}
	for _, s := range readSeries(t, senderFile) {
		senderSeries[s.Name] = true
	}
	for name, s := range readModel(t).series {
		if s.Kind == "reckoned" {
			require.Empty(t, s.Points, name)
			continue
		}
		require.NotEmpty(t, s.Points, name)
		refit := s
		refit.fitLine()
		require.InEpsilon(t, 1+refit.Range[0], 1+s.Range[0], 0.001, name)
		require.InEpsilon(t, 1+refit.Range[1], 1+s.Range[1], 0.001, name)
		require.LessOrEqual(t, s.maxDeviation(), 0.01+1.05*s.Scatter, name)
		if senderSeries[name] {
			require.InDelta(t, s.maxDeviation(), s.Scatter, 0.01+0.05*s.Scatter, name)
			require.InDelta(t, refit.Slope, s.Slope, 0.02*math.Abs(refit.Slope)+1e-12, name)
		}
	}
}

func smallModel() *model {
	return &model{Sizes: []size{{Name: "senders", Value: 500}, {Name: "destinations", Value: 99000}, {Name: "each", Factors: []string{"destinations"}, Divisors: []string{"senders"}}},
		series: map[string]series{
			"known": {Name: "known", Kind: "measured", Unit: "B", Slope: 2000, AtZero: 4e6, Range: [2]float64{1000, 7600}, Run: "a test"},
			"facts": {Name: "facts", Kind: "reckoned", Unit: "B", Slope: 60, Run: "by hand"},
			"count": {Name: "count", Kind: "reckoned", Slope: 1, Run: "arithmetic"},
			"hand":  {Name: "hand", Kind: "reckoned", Unit: "s", Slope: 5, Run: "by hand"}},
		seriesOrder: []string{"known", "facts", "count", "hand"},
		Figures: []figure{
			{Name: "memory", Role: "sender", Event: "calm", Description: "memory", Unit: "MB", Scale: 1e-6, Limit: 128, Consequence: "service", Axis: "destinations", Mechanism: "`choice`: docs/design.md",
				Terms: []term{{Series: "known", AtSizes: []string{"destinations"}}}},
			{Name: "facts", Role: "sender", Event: "calm", Description: "facts", Unit: "B", Limit: 1e9, Consequence: "cost", Mechanism: "`internal/verdicts`: docs/verdicts.md", Terms: []term{{Series: "facts", AtSizes: []string{"each"}}}},
			{Name: "stop", Role: "sender", Event: "a zone", Description: "stop", LostFrom: "destinations", Consequence: "service", Mechanism: "`internal/channels`: docs/contracts.md", Terms: []term{{Series: "count", AtSizes: []string{"senders"}}}},
			{Name: "log", Role: "control", Event: "a change", Description: "one log", Missing: true, Consequence: "rule", Unit: "s", Limit: 5, Axis: "senders", Mechanism: "none; `internal/operator`: docs/operator-file.md", Terms: []term{{Series: "hand", AtSizes: []string{"senders"}}}},
			{Name: "place", Role: "control", Event: "calm", Description: "an empty place", Missing: true, UnrankedReason: "no wall", Consequence: "rule", Mechanism: "none; `internal/fleet`: docs/fleet.md"},
			{Name: "plan", Role: "control", Event: "calm", Description: "a plan", Planned: true, Unit: "s", Limit: 5, Axis: "senders", Consequence: "cost", Mechanism: "not built; `internal/fleet`: docs/fleet.md", Terms: []term{{Series: "hand", AtSizes: []string{"senders"}}}}},
		findings: findingsFile{Run: "a test", Rows: []finding{{Bottleneck: "memory then", SharePercent: 60, CapacityThen: "up to 59,100", SourceThen: "measured", Fix: "much", CurrentFigures: []string{"memory"}, Page: "docs/sender.md"}}}}
}

func TestFiguresAreSumsOfSlopesTimesSizes(t *testing.T) {
	m := smallModel()
	require.NoError(t, m.validate())
	v := m.sizeValues("", 0)
	require.InDelta(t, 198, v["each"], 1e-9)
	require.InDelta(t, 202, m.evaluate(m.Figures[0], v), 1e-9)
	require.Equal(t, "measured, **beyond range** ×13", m.sourceText(m.Figures[0], v))
	require.Equal(t, "carries **up to 62,000** destinations", m.capacityText(m.Figures[0], v))
	require.InDelta(t, 198*60, m.evaluate(m.Figures[1], v), 1e-9)
	require.Equal(t, "reckoned", m.sourceText(m.Figures[1], v))
	require.Equal(t, "carries", m.capacityText(m.Figures[1], v))
	known := m.series["known"]
	known.Points = [][2]float64{{1000, 6e6}, {7600, 20e6}}
	mean := m.Figures[0]
	mean.Terms = []term{{Series: "known", Part: "mean"}}
	m.series["known"] = known
	require.InDelta(t, 13, m.evaluate(mean, v), 1e-9)
	require.Equal(t, "measured, at 1,000 to 7,600 ", m.sourceText(mean, v))
	mean.Terms[0].MeanAt = []string{"destinations"}
	require.Equal(t, "measured, at 1,000 to 7,600 , **beyond range** ×13", m.sourceText(mean, v))
	tables := m.tables()
	require.Regexp(t, `(?s)\| 1 \| one log[^\n]*\| 0\.2% \|[^\n]*\*\*missing\*\*; by hand 1 of the senders.*\| 2 \| memory[^\n]*63%.*\| 3 \| stop[^\n]*\| 99% \| service \| carries \*\*up to 98,500\*\* destinations`, tables["walls"])
	for _, name := range []string{"facts", "an empty place", "a plan"} {
		require.NotContains(t, tables["walls"], name)
	}
	require.Equal(t, "Not ranked, for no share of the size belongs to them: **an empty place** (control, calm; **missing**): no wall.\n", tables["unranked"])
	require.Contains(t, tables["role control"], "**missing**, not built; would carry up to 1 senders")
	require.Contains(t, tables["role sender"], "| calm | memory | 202 MB | 128 | 63% |")
	require.Contains(t, tables["found"], "| memory then | 60% | up to 59,100 (measured) | much | memory: 63%, carries **up to 62,000** destinations (measured, **beyond range** ×13) | docs/sender.md |")
}

// TestBottlenecksAreRankedByConsequenceAndShare: loss of service and broken rules rank before mere cost, each group by smallest share,
// independent of the order of the figures.
func TestBottlenecksAreRankedByConsequenceAndShare(t *testing.T) {
	m := smallModel()
	m.Figures = nil
	for _, f := range []struct {
		name, breaks string
		allowed      float64
	}{{"a", "cost", 1}, {"b", "rule", 40}, {"c", "service", 30}, {"d", "cost", 2}, {"e", "rule", 20}, {"f", "service", 50}, {"g", "rule", 600}} {
		m.Figures = append(m.Figures, figure{Name: f.name, Role: "sender", Description: f.name, Limit: f.allowed, Consequence: f.breaks, Mechanism: "`choice`: docs/design.md",
			Terms: []term{{Series: "count", AtSizes: []string{"senders"}}}})
	}
	for range len(m.Figures) {
		m.Figures = append(m.Figures[1:], m.Figures[0])
		require.Regexp(t, `(?s)\| 1 \| e, .*\| 2 \| c, .*\| 3 \| b, .*\| 4 \| f, .*\| 5 \| a, .*\| 6 \| d, [^\n]*\n$`, m.tables()["walls"])
	}
}

// TestCapacitiesAreNeverRoundedUp: format may round up, formatDown must not.
func TestCapacitiesAreNeverRoundedUp(t *testing.T) {
	for v, text := range map[float64]string{4096: "4,090", 62000 - 1e-6: "62,000", 6.29: "6.2", 99: "99", 0.417: "0.41", 1118500: "1,110,000", 100: "100", 1 - 1e-9: "1", 0: "0"} {
		require.Equal(t, text, formatDown(v))
	}
	require.Equal(t, "**does not carry at any size**", smallModel().capacityText(figure{Limit: 1e6, Axis: "destinations", Terms: []term{{Series: "known", AtSizes: []string{"destinations"}}}}, smallModel().sizeValues("", 0)))
}

// TestReferencedPathsExist checks that every package and page named in the data exists.
func TestReferencedPathsExist(t *testing.T) {
	m := readModel(t)
	names := map[string]bool{}
	for _, f := range m.Figures {
		for _, path := range referencedPaths(f.Mechanism) {
			names[path] = true
		}
	}
	for _, r := range m.findings.Rows {
		for _, path := range referencedPaths(r.Page) {
			names[path] = true
		}
	}
	require.Greater(t, len(names), 20)
	for path := range names {
		_, err := os.Stat("../../" + path)
		require.NoError(t, err, path)
	}
}

// TestModelFaultsAreReported introduces one fault at a time into a valid model.
func TestModelFaultsAreReported(t *testing.T) {
	for name, corrupt := range map[string]func(*model){
		"unknown series":                  func(m *model) { m.Figures[0].Terms[0].Series = "unknown" },
		"unknown size":                    func(m *model) { m.Figures[0].Terms[0].AtSizes = []string{"people"} },
		"size used before its definition": func(m *model) { m.Sizes[0], m.Sizes[2] = m.Sizes[2], m.Sizes[0] },
		"duplicate figure":                func(m *model) { m.Figures[1].Name = "memory" },
		"unknown part":                    func(m *model) { m.Figures[0].Terms[0].Part = "median" },
		"mean evaluated at a size":        func(m *model) { m.Figures[0].Terms[0].Part = "mean" },
		"mean without a size":             func(m *model) { m.Figures[0].Terms[0] = term{Series: "known", Part: "mean"} },
		"size of a mean without a mean":   func(m *model) { m.Figures[0].Terms[0].MeanAt = []string{"senders"} },
		"extrapolated decrease": func(m *model) {
			m.series["known"] = series{Kind: "measured", Run: "a test", AtZero: 1e9, Slope: -1, Range: [2]float64{1000, 7600}}
		},
		"decrease below zero": func(m *model) {
			m.series["facts"] = series{Kind: "measured", Run: "a test", AtZero: 60, Slope: -1, Range: [2]float64{0, 1000}}
		},
		"no mechanism":                       func(m *model) { m.Figures[0].Mechanism = "" },
		"no page":                            func(m *model) { m.Figures[0].Mechanism = "`choice`" },
		"missing without a share":            func(m *model) { m.Figures[3].Terms = nil },
		"missing without a reason":           func(m *model) { m.Figures[4].UnrankedReason = "" },
		"missing with both share and reason": func(m *model) { m.Figures[3].UnrankedReason = "no wall" },
		"reason without a missing mechanism": func(m *model) { m.Figures[0].UnrankedReason = "no wall" },
		"planned and missing":                func(m *model) { m.Figures[5].Missing = true },
		"loss from an unknown size":          func(m *model) { m.Figures[2].LostFrom = "people" },
		"loss with a limit":                  func(m *model) { m.Figures[2].Limit = 1 },
		"loss without a consequence":         func(m *model) { m.Figures[2].Consequence = "" },
		"finding with an unknown figure":     func(m *model) { m.findings.Rows[0].CurrentFigures = []string{"unknown"} },
		"finding without a share":            func(m *model) { m.findings.Rows[0].SharePercent = 0 },
		"finding without a page":             func(m *model) { m.findings.Rows[0].Page = "" },
		"limit without a consequence":        func(m *model) { m.Figures[0].Consequence = "" },
		"unknown kind":                       func(m *model) { m.series["facts"] = series{Kind: "guessed", Run: "by hand"} },
		"series without a run":               func(m *model) { m.series["facts"] = series{Kind: "reckoned"} },
	} {
		m := smallModel()
		corrupt(m)
		require.Error(t, m.validate(), name)
	}
}

func TestTablesAreFilledBetweenMarkers(t *testing.T) {
	page := "a\n<!-- table x -->\nold\n<!-- end -->\nb\n"
	is, err := fillTables(page, map[string]string{"x": "new\n"})
	require.NoError(t, err)
	require.Equal(t, "a\n<!-- table x -->\nnew\n<!-- end -->\nb\n", is)
	again, err := fillTables(is, map[string]string{"x": "new\n"})
	require.NoError(t, err)
	require.Equal(t, is, again)
	for _, tables := range []map[string]string{{}, {"x": "", "y": ""}} {
		_, err := fillTables(page, tables)
		require.Error(t, err)
	}
	_, err = fillTables("<!-- table x -->\n", map[string]string{"x": ""})
	require.Error(t, err)
}

func TestFitFindsTheLine(t *testing.T) {
	s := series{Points: [][2]float64{{1000, 3e6}, {2000, 5e6}, {4000, 9e6}}}
	s.fitLine()
	require.InDelta(t, 2000, s.Slope, 1e-6)
	require.InDelta(t, 1e6, s.AtZero, 1e-3)
	require.InDelta(t, 0, s.Scatter, 1e-9)
	s.Points = append(s.Points, [2]float64{8000, 34e6})
	s.fitLine()
	require.Greater(t, s.Scatter, 0.1)
	require.InDelta(t, s.maxDeviation(), s.Scatter, 1e-12)
}
