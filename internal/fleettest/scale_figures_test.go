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

// Figure is a line through points that were measured: what one sender costs, over the number of senders or of messages.
type Figure struct {
	Name    string       `json:"name"`
	What    string       `json:"what"`
	Unit    string       `json:"unit"`
	Per     string       `json:"per"`
	Kind    string       `json:"kind"`
	Slope   float64      `json:"slope"`
	AtZero  float64      `json:"at_zero"`
	Scatter float64      `json:"scatter"` // the largest deviation of a point from the line, as a part of the line there
	Points  [][2]float64 `json:"points"`
	Range   [2]float64   `json:"range"`
	Run     string       `json:"run"`
}

// at is the line's value.
func (f Figure) at(x float64) float64 { return f.AtZero + f.Slope*x }

// fit lays the line of least squares through the points; one of points at one place has no slope.
func (f *Figure) fit() {
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
		if line := math.Abs(f.at(p[0])); line > 0 {
			f.Scatter = max(f.Scatter, math.Abs(p[1]-f.at(p[0]))/line)
		}
	}
}

// reading is how a figure is read out of a run.
type reading struct {
	name, what, unit string
	of               func(Run, float64) float64 // and the number of senders
}

func rate(phase, name string) func(Run, float64) float64 {
	return func(r Run, _ float64) float64 {
		if v, there := r[phase][name]; there {
			return v
		}
		return math.NaN() // not taken in that run
	}
}

// each is what a phase has more than another of something, for each of what it has of another thing.
func each(phase, than, name, of string) func(Run, float64) float64 {
	return func(r Run, _ float64) float64 {
		if r[phase] == nil {
			return math.NaN()
		}
		return (r[phase][name] - r[than][name]) / r[phase][of]
	}
}

// ofOwned is what the whole fleet has more with limits than without, for each destination in use.
func ofOwned(name string) func(Run, float64) float64 {
	return func(r Run, n float64) float64 {
		if r["limits"] == nil {
			return math.NaN()
		}
		return (r["limits"][name] - r["thin"][name]) * n / inUse(n)
	}
}

const (
	wire    = "that one sender puts on the wire, its posts and its answers to others' with HTTP heads, without TCP's and IP's; as much comes in"
	perCore = "% of a core"
	perSec  = "bytes/s"
	ownOff  = " without the driver's own"
)

// short keeps four digits of the line.
func (f *Figure) short() {
	f.Slope, f.AtZero, f.Scatter = round(f.Slope), round(f.AtZero), round(f.Scatter)
}

// readings are the figures over the number of senders.
func readings() (all []reading) {
	phases := [][2]string{{"rest", "at rest"}, {"thin", "at 4 messages a second a sender to destinations without a limit"},
		{"limits", "with 2.2 messages a second a sender to destinations with a declared limit beside those"},
		{"down", "with 3.3 messages a second a sender to destinations that are down beside those"},
		{"death", "at 4 messages a second, from the kill of a twelfth of the senders until all others see them gone"},
		{"return", "at 4 messages a second, from their start until all others see them again"}}
	for _, p := range phases {
		name := strings.ReplaceAll(p[0], " ", "_")
		all = append(all, reading{"bytes_" + name, "bytes a second " + wire + ", " + p[1], perSec, rate(p[0], "bytes")},
			reading{"core_" + name, "processor time, user and system, of one sender's fleet, links' two ends, log and all," + ownOff + ", " + p[1], perCore,
				func(r Run, n float64) float64 {
					return rate(p[0], "core")(r, n) - r["driver"]["core"]*r[p[0]]["messages"]/perSender
				}})
	}
	for _, k := range []string{"members", "shares", "verdicts"} {
		for _, p := range phases[:4] {
			if k == "shares" && p[0] != "limits" {
				continue
			}
			all = append(all, reading{"letters_" + k + "_" + p[0], "letters on " + k + " sent by one sender, " + p[1], "letters/s", rate(p[0], "letters_sent_"+k)})
		}
	}
	return append(all, []reading{
		{"segments_rest", "TCP segments at one sender's listening side, both ways, at rest", "segments/s", rate("rest", "segments")},
		{"bytes_a_limited_message", "bytes more than without them for each message to a destination with a limit, " + wire, "bytes/message", each("limits", "thin", "bytes", "limited")},
		{"bytes_a_limited_destination", "bytes a second more than without them for each destination with a limit that has had a message within half a minute (their number is reckoned from the draws), over the whole fleet, posts and answers with HTTP heads", perSec, ofOwned("bytes")},
		{"letters_a_limited_destination", "letters on shares sent for each such destination, over the whole fleet", "letters/s", ofOwned("letters_sent_shares")},
		{"letters_a_limited_message", "letters on shares sent for each message to a destination with a limit", "letters/message", each("limits", "thin", "letters_sent_shares", "limited")},
		{"limited_messages_let", "messages to destinations with a limit that the gate let go within 8 s, of those that came", "parts of one", func(r Run, _ float64) float64 { return r["limits"]["let"] / r["limits"]["limited"] }},
		{"limited_message_wait", "mean wait at the gate of those let go", "s", func(r Run, _ float64) float64 { return r["limits"]["waited"] / r["limits"]["let"] }},
		{"bytes_a_sight", "bytes more than without them for each sight of a destination that is down, " + wire, "bytes/sight", each("down", "thin", "bytes", "sights")},
		{"sights", "sights of destinations that are down told by one sender", "sights/s", rate("down", "sights")},
		{"verdicts_told", "verdicts of others that one sender's decisions were told", "verdicts/s", rate("down", "verdicts_told")},
		{"heap", "live objects and stacks of one sender's fleet, at rest," + ownOff, "bytes", rate("size", "heap")},
		{"heap_loaded", "live objects and stacks of one sender's fleet after all loads," + ownOff, "bytes", rate("size after", "heap")},
		{"resident", "resident memory of one sender's fleet, at rest", "bytes", rate("size", "resident")},
		{"descriptors", "file descriptors of one sender's fleet, at rest", "descriptors", rate("size", "descriptors")},
		{"goroutines", "goroutines of one sender's fleet, at rest, the driver's one among them", "goroutines", rate("size", "goroutines")},
		{"seconds_death", "from the kill of a twelfth until all others see them gone", "s", rate("death", "seconds")},
		{"seconds_return", "from their start until all others see them again", "s", rate("return", "seconds")},
	}...)
}

// figures fits all readings of runs.
func figures(runs []sized, kind, test string) (all []Figure) {
	for _, r := range readings() {
		f := Figure{Name: r.name, What: r.what, Unit: r.unit, Per: "sender in the fleet", Kind: kind, Run: test}
		for _, one := range runs {
			if y := r.of(one.Run, float64(one.Senders)); !math.IsNaN(y) && !math.IsInf(y, 0) {
				f.Points = append(f.Points, [2]float64{float64(one.Senders), round(y)})
			}
		}
		if len(f.Points) > 0 {
			f.fit()
			f.short()
			all = append(all, f)
		}
	}
	return all
}

// sized is a run with the number of its senders.
type sized struct {
	Senders int
	Seed    uint64
	Run     Run
}

// round keeps four digits.
func round(v float64) float64 {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	short, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 4, 64), 64)
	return short
}

// ofRun says which run a figure is of.
func ofRun(t testing.TB, loads ...string) string {
	return fmt.Sprintf("%s, %s, %d cores, %d of them used by the fleet's process, load %s", t.Name(), time.Now().UTC().Format("2006-01-02"), runtime.NumCPU(),
		runtime.GOMAXPROCS(0), strings.Join(loads, " to "))
}

// keepFigures writes figures where the environment says, in the place of those of the same names.
func keepFigures(t testing.TB, all []Figure) {
	t.Helper()
	path := os.Getenv("FLEETTEST_SCALE_INTO")
	if path == "" {
		return
	}
	kept := readFigures(t, path)
	for _, f := range all {
		if i := slices.IndexFunc(kept, func(k Figure) bool { return k.Name == f.Name }); i >= 0 {
			kept[i] = f
		} else {
			kept = append(kept, f)
		}
	}
	text, err := json.MarshalIndent(kept, "", " ")
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
