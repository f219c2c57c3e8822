package fleettest

import (
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestScale measures fleets of the sizes that FLEETTEST_SCALE names, such as 10,30, each with FLEETTEST_SCALE_SEEDS seeds, and writes
// the fits to FLEETTEST_SCALE_INTO. FLEETTEST_SCALE_PREDICT names one size more: its figures are predicted from the fits that
// FLEETTEST_SCALE_INTO has by then, written to the log, and only then measured beside them. FLEETTEST_SCALE_RATES names rates of
// messages, such as 55,220, for a few senders; FLEETTEST_SCALE_WEIGHTS sizes of which memory alone is measured; FLEETTEST_SCALE_LACKING
// how many of six senders have another list than the rest, such as 0,3. Without the variables it does nothing: CI has TestScaleInShort.
func TestScale(t *testing.T) {
	var runs []sized
	from := machineLoad()
	seeds, err := strconv.Atoi(os.Getenv("FLEETTEST_SCALE_SEEDS"))
	if err != nil {
		seeds = 2
	}
	for seed := range seeds {
		for _, n := range numbers(t, os.Getenv("FLEETTEST_SCALE")) {
			runs = append(runs, sized{int(n), uint64(seed + 1), measure(t, int(n), uint64(seed+1))})
			keepFigures(t, figures(runs, "measured", ofRun(t, from, machineLoad())))
		}
	}
	if rates := numbers(t, os.Getenv("FLEETTEST_SCALE_RATES")); len(rates) > 0 {
		keepFigures(t, byRate(t, rates, seeds))
	}
	if sizes := numbers(t, os.Getenv("FLEETTEST_SCALE_WEIGHTS")); len(sizes) > 0 {
		keepFigures(t, weights(t, sizes, seeds))
	}
	for _, lacking := range numbers(t, os.Getenv("FLEETTEST_SCALE_LACKING")) {
		differing(t, int(lacking))
	}
	if n, err := strconv.Atoi(os.Getenv("FLEETTEST_SCALE_PREDICT")); err == nil {
		predict(t, n)
	}
}

// numbers reads a list such as 10,30.
func numbers(t *testing.T, list string) (all []float64) {
	for _, text := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
		n, err := strconv.ParseFloat(text, 64)
		require.NoError(t, err)
		all = append(all, n)
	}
	return all
}

// predict tells what the fits say of a size, and then measures it. What was measured goes into the fits.
func predict(t *testing.T, n int) {
	fits, from := readFigures(t, os.Getenv("FLEETTEST_SCALE_INTO")), machineLoad()
	said := foretell(fits, float64(n))
	require.NotEmpty(t, said, "no fits to predict from")
	for _, name := range slices.Sorted(maps.Keys(said)) {
		t.Logf("predicted for %d senders: %s %.4g", n, name, said[name])
	}
	run := sized{n, 1, measure(t, n, 1)}
	for _, f := range figures([]sized{run}, "measured", "") {
		is := f.Points[0][1]
		t.Logf("| %s | %s | %.4g | %.4g | %+.0f%% |", f.Name, f.Unit, said[f.Name], is, 100*(is/said[f.Name]-1))
		if i := slices.IndexFunc(fits, func(k Figure) bool { return k.Name == f.Name }); i >= 0 {
			fits[i].Points = append(fits[i].Points, f.Points[0])
			fits[i].Run += "; " + ofRun(t, from, machineLoad())
			fits[i].fit()
			fits[i].short()
		}
	}
	keepFigures(t, fits)
}

// foretell reads the lines at a size. What limits cost goes with the destinations that have an owner, whose number has a bound: it is
// reckoned from the letters on one, and, as letters to more peers find fewer to go with, from the bytes of a letter at rest, which goes alone.
func foretell(fits []Figure, n float64) map[string]float64 {
	said := map[string]float64{}
	for _, f := range fits {
		if f.Per == "sender in the fleet" {
			said[f.Name] = f.at(n)
		}
		if f.Per == "sender in the fleet" && f.Unit == perCore {
			said[f.Name] = shared(f, n)
		}
	}
	if len(said) == 0 {
		return said
	}
	const messages = perSender * limitPct
	letters, lone := inUse(n)/n*said["letters_a_limited_destination"], said["bytes_rest"]/(said["letters_members_rest"]+said["letters_verdicts_rest"])
	said["letters_shares_limits"], said["letters_a_limited_message"] = letters, letters/messages
	said["bytes_limits"], said["bytes_a_limited_message"] = said["bytes_thin"]+letters*lone, letters*lone/messages
	said["bytes_a_limited_destination"] = lone * said["letters_a_limited_destination"]
	return said
}

// shared reads a figure of a process that many senders share at a size: a part of it is the process', which each has less of the more they are.
func shared(f Figure, n float64) float64 {
	over := Figure{}
	for _, p := range f.Points {
		over.Points = append(over.Points, [2]float64{1 / p[0], p[1]})
	}
	over.fit()
	return over.at(1 / n)
}
