package fleettest

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestScale measures fleets of the sizes that FLEETTEST_SCALE names, such as 10,30, each with FLEETTEST_SCALE_SEEDS seeds, and writes
// the fits to FLEETTEST_SCALE_INTO. FLEETTEST_SCALE_PREDICT names one size more: its figures are predicted from the fits that
// FLEETTEST_SCALE_INTO has by then, written to the log, and only then measured beside them. FLEETTEST_SCALE_RATES
// names rates of messages, such as 0,55,110,220, for a few senders; FLEETTEST_SCALE_LACKING how many of six senders have another list
// than the rest, such as 0,3. Without the variables it does nothing: CI has TestScaleInShort.
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

// predict tells what the fits say of a size, and then measures it.
func predict(t *testing.T, n int) {
	fits := map[string]Figure{}
	for _, f := range readFigures(t, os.Getenv("FLEETTEST_SCALE_INTO")) {
		fits[f.Name] = f
		t.Logf("predicted for %d senders: %s %.4g %s", n, f.Name, f.at(float64(n)), f.Unit)
	}
	require.NotEmpty(t, fits, "no fits to predict from")
	run := sized{n, 1, measure(t, n, 1)}
	for _, f := range figures([]sized{run}, "measured", "") {
		is, said := f.Points[0][1], fits[f.Name].at(float64(n))
		t.Logf("| %s | %s | %.4g | %.4g | %+.0f%% |", f.Name, f.Unit, said, is, 100*(is/said-1))
	}
}
