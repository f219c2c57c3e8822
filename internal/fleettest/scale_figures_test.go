package fleettest

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Figure is a line fitted to measured points: the cost of one sender as a function of the number of senders or of messages.
type Figure struct {
	Name        string       `json:"name"`
	Description string       `json:"what"`
	Unit        string       `json:"unit"`
	Per         string       `json:"per"`
	Kind        string       `json:"kind"`
	Slope       float64      `json:"slope"`
	AtZero      float64      `json:"at_zero"`
	Scatter     float64      `json:"scatter"` // the largest deviation of a point from the line, relative to the line
	Points      [][2]float64 `json:"points"`
	Range       [2]float64   `json:"range"`
	Run         string       `json:"run"`
}

// valueAt is the value of the line at x.
func (f Figure) valueAt(x float64) float64 { return f.AtZero + f.Slope*x }

// fitLine fits a line by least squares. If all points have the same x, its slope is 0.
func (f *Figure) fitLine() {
	var n, x, y, xx, xy float64
	f.Range = [2]float64{math.Inf(1), math.Inf(-1)}
	for _, p := range f.Points {
		n, x, y, xx, xy = n+1, x+p[0], y+p[1], xx+p[0]*p[0], xy+p[0]*p[1]
		f.Range = [2]float64{min(f.Range[0], p[0]), max(f.Range[1], p[0])}
	}
	if f.Slope = 0; n*xx-x*x > 1e-9 {
		f.Slope = (n*xy - x*y) / (n*xx - x*x)
	}
	f.AtZero, f.Scatter = (y-f.Slope*x)/n, 0
	for _, p := range f.Points {
		if line := math.Abs(f.valueAt(p[0])); line > 0 {
			f.Scatter = max(f.Scatter, math.Abs(p[1]-f.valueAt(p[0]))/line)
		}
	}
}

// metric defines how a figure is computed from a run.
type metric struct {
	name, description, unit string
	extract                 func(Run, float64) float64 // arguments are the run and its number of senders
}

func phaseRate(phase, name string) func(Run, float64) float64 {
	return func(r Run, _ float64) float64 {
		if v, there := r[phase][name]; there {
			return v
		}
		return math.NaN() // not measured in this run
	}
}

// increasePer is the increase of a rate over that of a baseline phase, divided by another rate of the phase.
func increasePer(phase, baseline, numerator, divisor string) func(Run, float64) float64 {
	return func(r Run, _ float64) float64 {
		if r[phase] == nil {
			return math.NaN()
		}
		return (r[phase][numerator] - r[baseline][numerator]) / r[phase][divisor]
	}
}

// increasePerActiveLimit is the increase of a rate of the whole fleet due to limits, per limited destination in use.
func increasePerActiveLimit(name string) func(Run, float64) float64 {
	return func(r Run, n float64) float64 {
		if r["limits"] == nil {
			return math.NaN()
		}
		return (r["limits"][name] - r["thin"][name]) * n / activeLimits(n)
	}
}

const (
	wireNote      = "that one sender puts on the wire, its posts and its answers to others' with HTTP heads, without TCP's and IP's; as much comes in"
	corePercent   = "% of a core"
	perSec        = "bytes/s"
	withoutDriver = " without the driver's own"
)

// roundFit rounds the line to four significant digits.
func (f *Figure) roundFit() {
	f.Slope, f.AtZero, f.Scatter = roundSignificant(f.Slope), roundSignificant(f.AtZero), roundSignificant(f.Scatter)
}

// metrics lists the figures that are functions of the number of senders.
func metrics() (all []metric) {
	phases := [][2]string{{"rest", "at rest"}, {"thin", "at 4 messages a second a sender to destinations without a limit"},
		{"limits", "with 2.2 messages a second a sender to destinations with a declared limit beside those"},
		{"down", "with 3.3 messages a second a sender to destinations that are down beside those"},
		{"death", "at 4 messages a second, from the kill of a twelfth of the senders until all others see them gone"},
		{"return", "at 4 messages a second, from their start until all others see them again"}}
	for _, p := range phases {
		name := strings.ReplaceAll(p[0], " ", "_")
		all = append(all, metric{"bytes_" + name, "bytes a second " + wireNote + ", " + p[1], perSec, phaseRate(p[0], "bytes")},
			metric{"core_" + name, "processor time, user and system, of one sender's fleet, links' two ends, log and all," + withoutDriver + ", " + p[1], corePercent,
				func(r Run, n float64) float64 {
					return phaseRate(p[0], "core")(r, n) - r["driver"]["core"]*r[p[0]]["messages"]/senderRate
				}})
	}
	for _, k := range []string{"members", "shares", "verdicts"} {
		for _, p := range phases[:4] {
			if k == "shares" && p[0] != "limits" {
				continue
			}
			all = append(all, metric{"letters_" + k + "_" + p[0], "letters on " + k + " sent by one sender, " + p[1], "letters/s", phaseRate(p[0], "letters_sent_"+k)})
		}
	}
	return append(all, []metric{
		{"segments_rest", "TCP segments at one sender's listening side, both ways, at rest", "segments/s", phaseRate("rest", "segments")},
		{"bytes_a_limited_message", "bytes more than without them for each message to a destination with a limit, " + wireNote, "bytes/message", increasePer("limits", "thin", "bytes", "limited")},
		{"bytes_a_limited_destination", "bytes a second more than without them for each destination with a limit that has had a message within half a minute (their number is reckoned from the draws), over the whole fleet, posts and answers with HTTP heads", perSec, increasePerActiveLimit("bytes")},
		{"letters_a_limited_destination", "letters on shares sent for each such destination, over the whole fleet", "letters/s", increasePerActiveLimit("letters_sent_shares")},
		{"letters_a_limited_message", "letters on shares sent for each message to a destination with a limit", "letters/message", increasePer("limits", "thin", "letters_sent_shares", "limited")},
		{"limited_messages_let", "messages to destinations with a limit that the gate let go within 8 s, of those that came", "parts of one", func(r Run, _ float64) float64 { return r["limits"]["let"] / r["limits"]["limited"] }},
		{"limited_message_wait", "mean wait at the gate of those let go", "s", func(r Run, _ float64) float64 { return r["limits"]["waited"] / r["limits"]["let"] }},
		{"bytes_a_sight", "bytes more than without them for each sight of a destination that is down, " + wireNote, "bytes/sight", increasePer("down", "thin", "bytes", "sights")},
		{"sights", "sights of destinations that are down told by one sender", "sights/s", phaseRate("down", "sights")},
		{"verdicts_told", "verdicts of others that one sender's decisions were told", "verdicts/s", phaseRate("down", "verdicts_told")},
		{"heap", "live objects and stacks of one sender's fleet, at rest," + withoutDriver, "bytes", phaseRate("size", "heap")},
		{"heap_loaded", "live objects and stacks of one sender's fleet after all loads," + withoutDriver, "bytes", phaseRate("size after", "heap")},
		{"resident", "resident memory of one sender's fleet, at rest", "bytes", phaseRate("size", "resident")},
		{"descriptors", "file descriptors of one sender's fleet, at rest", "descriptors", phaseRate("size", "descriptors")},
		{"goroutines", "goroutines of one sender's fleet, at rest, the driver's one among them", "goroutines", phaseRate("size", "goroutines")},
		{"seconds_death", "from the kill of a twelfth until all others see them gone", "s", phaseRate("death", "seconds")},
		{"seconds_return", "from their start until all others see them again", "s", phaseRate("return", "seconds")},
	}...)
}

// fitFigures fits all metrics to the runs.
func fitFigures(runs []sizedRun, kind, test string) (all []Figure) {
	for _, r := range metrics() {
		f := Figure{Name: r.name, Description: r.description, Unit: r.unit, Per: "sender in the fleet", Kind: kind, Run: test}
		for _, run := range runs {
			if y := r.extract(run.Run, float64(run.Senders)); !math.IsNaN(y) && !math.IsInf(y, 0) {
				f.Points = append(f.Points, [2]float64{float64(run.Senders), roundSignificant(y)})
			}
		}
		if len(f.Points) > 0 {
			f.fitLine()
			f.roundFit()
			all = append(all, f)
		}
	}
	return all
}

// sizedRun is a run with its number of senders.
type sizedRun struct {
	Senders int
	Seed    uint64
	Run     Run
}

// roundSignificant rounds to four significant digits.
func roundSignificant(v float64) float64 {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 4, 64), 64)
	return rounded
}

// describeRun states the test, date, machine and load of a run.
func describeRun(t testing.TB, loadAverages ...string) string {
	return fmt.Sprintf("%s, %s, %d cores, %d of them used by the fleet's process, load %s", t.Name(), time.Now().UTC().Format("2006-01-02"), runtime.NumCPU(),
		runtime.GOMAXPROCS(0), strings.Join(loadAverages, " to "))
}

// saveFigures merges figures into the file FLEETTEST_SCALE_INTO. They replace those of the same name.
func saveFigures(t testing.TB, all []Figure) {
	t.Helper()
	path := os.Getenv("FLEETTEST_SCALE_INTO")
	if path == "" {
		return
	}
	saved := readFigures(t, path)
	for _, f := range all {
		if i := slices.IndexFunc(saved, func(k Figure) bool { return k.Name == f.Name }); i >= 0 {
			saved[i] = f
		} else {
			saved = append(saved, f)
		}
	}
	text, err := json.MarshalIndent(saved, "", " ")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, append(text, '\n'), 0o644))
}

func readFigures(t testing.TB, path string) (all []Figure) {
	t.Helper()
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil
	}
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &all))
	return all
}
