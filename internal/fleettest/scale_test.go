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

// TestScale runs the measurements selected by environment variables and does nothing without them; CI has TestScaleInShort.
//
//   - FLEETTEST_SCALE: fleet sizes to measure, such as 10,30, each with FLEETTEST_SCALE_SEEDS seeds
//   - FLEETTEST_SCALE_RATES: message rates to measure on a few senders, such as 55,220
//   - FLEETTEST_SCALE_WEIGHTS: fleet sizes of which only heap, file descriptors and goroutines are measured
//   - FLEETTEST_SCALE_LACKING: how many of six senders list one peer less than the others, such as 0,3
//   - FLEETTEST_SCALE_PREDICT: a fleet size whose figures are predicted from the fits, logged, and only then measured for comparison
//   - FLEETTEST_SCALE_INTO: the file that the fits are written to and predictions are made from
func TestScale(t *testing.T) {
	var runs []sizedRun
	from := loadAverage()
	seeds, err := strconv.Atoi(os.Getenv("FLEETTEST_SCALE_SEEDS"))
	if err != nil {
		seeds = 2
	}
	for seed := range seeds {
		for _, n := range parseNumbers(t, os.Getenv("FLEETTEST_SCALE")) {
			runs = append(runs, sizedRun{int(n), uint64(seed + 1), measureFleet(t, int(n), uint64(seed+1))})
			saveFigures(t, fitFigures(runs, "measured", describeRun(t, from, loadAverage())))
		}
	}
	if rates := parseNumbers(t, os.Getenv("FLEETTEST_SCALE_RATES")); len(rates) > 0 {
		saveFigures(t, measureByRate(t, rates, seeds))
	}
	if sizes := parseNumbers(t, os.Getenv("FLEETTEST_SCALE_WEIGHTS")); len(sizes) > 0 {
		saveFigures(t, measureResources(t, sizes, seeds))
	}
	for _, incomplete := range parseNumbers(t, os.Getenv("FLEETTEST_SCALE_LACKING")) {
		measureIncompleteLists(t, int(incomplete))
	}
	if n, err := strconv.Atoi(os.Getenv("FLEETTEST_SCALE_PREDICT")); err == nil {
		predict(t, n)
	}
}

// parseNumbers parses a comma-separated list such as 10,30.
func parseNumbers(t *testing.T, list string) (all []float64) {
	for _, text := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
		n, err := strconv.ParseFloat(text, 64)
		require.NoError(t, err)
		all = append(all, n)
	}
	return all
}

// predict logs the figures that the fits predict for a fleet size, measures them, and adds the measurement to the fits.
func predict(t *testing.T, n int) {
	fits, from := readFigures(t, os.Getenv("FLEETTEST_SCALE_INTO")), loadAverage()
	predicted := predictFigures(fits, float64(n))
	require.NotEmpty(t, predicted, "no fits to predict from")
	for _, name := range slices.Sorted(maps.Keys(predicted)) {
		t.Logf("prediction for %d senders: %s %.4g", n, name, predicted[name])
	}
	run := sizedRun{n, 1, measureFleet(t, n, 1)}
	for _, f := range fitFigures([]sizedRun{run}, "measured", "") {
		measured := f.Points[0][1]
		t.Logf("| %s | %s | %.4g | %.4g | %+.0f%% |", f.Name, f.Unit, predicted[f.Name], measured, 100*(measured/predicted[f.Name]-1))
		if i := slices.IndexFunc(fits, func(k Figure) bool { return k.Name == f.Name }); i >= 0 {
			fits[i].Points = append(fits[i].Points, f.Points[0])
			fits[i].Run += "; " + describeRun(t, from, loadAverage())
			fits[i].fitLine()
			fits[i].roundFit()
		}
	}
	saveFigures(t, fits)
}

// predictFigures evaluates the fits at a fleet size. The cost of limits is proportional to the number of destinations that have an owner,
// which is bounded. It is computed from the peer messages per such destination and from the bytes of a peer message at rest, which is sent on
// its own: the more peers there are, the fewer messages share a request.
func predictFigures(fits []Figure, n float64) map[string]float64 {
	predicted := map[string]float64{}
	for _, f := range fits {
		if f.Per == "sender in the fleet" {
			predicted[f.Name] = f.valueAt(n)
		}
		if f.Per == "sender in the fleet" && f.Unit == corePercent {
			predicted[f.Name] = predictShared(f, n)
		}
	}
	if len(predicted) == 0 {
		return predicted
	}
	const messages = senderRate * limitedFraction
	peerMessages, bytesAlone := activeLimits(n)/n*predicted["letters_a_limited_destination"], predicted["bytes_rest"]/(predicted["letters_members_rest"]+predicted["letters_verdicts_rest"])
	predicted["letters_shares_limits"], predicted["letters_a_limited_message"] = peerMessages, peerMessages/messages
	predicted["bytes_limits"], predicted["bytes_a_limited_message"] = predicted["bytes_thin"]+peerMessages*bytesAlone, peerMessages*bytesAlone/messages
	predicted["bytes_a_limited_destination"] = bytesAlone * predicted["letters_a_limited_destination"]
	return predicted
}

// predictShared predicts a figure of a process shared by n senders. Part of the cost belongs to the process and is divided among the senders,
// so the figure is fitted as a function of 1/n.
func predictShared(f Figure, n float64) float64 {
	byInverse := Figure{}
	for _, p := range f.Points {
		byInverse.Points = append(byInverse.Points, [2]float64{1 / p[0], p[1]})
	}
	byInverse.fitLine()
	return byInverse.valueAt(1 / n)
}
