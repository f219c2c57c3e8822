package fleet

import (
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	sizes = flag.String("fleet.sizes", "", "measure with these numbers of senders, separated by commas")
	seeds = flag.Int("fleet.seeds", 3, "runs per scenario and policy")
	into  = flag.String("fleet.into", "", "directory for the table and the plots")
)

func TestMeasure(t *testing.T) {
	if *sizes == "" {
		t.Skip("long; see docs/limits.md")
	}
	var ns []int
	for _, x := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(x)
		require.NoError(t, err)
		ns = append(ns, n)
	}
	ms, err := Measure(ns, *seeds, 5)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(*into, "limits.md"), []byte(Markdown(ms)), 0o644))
	for _, s := range []string{"busy", "halves"} {
		svg, err := Plot(ms, s)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(*into, "limits-"+s+".svg"), svg, 0o644))
	}
}

func testScenario(n int, name string) Scenario {
	for _, s := range Scenarios(n, 5) {
		if s.Name == name {
			s.Length = 20 * second
			return s
		}
	}
	panic(name)
}

func TestLeasesUseTheLimitAndKeepToIt(t *testing.T) {
	f, err := Run(testScenario(12, "busy"), "leases")
	require.NoError(t, err)
	off, err := Run(testScenario(12, "busy"), "off")
	require.NoError(t, err)
	best, err := Run(testScenario(12, "busy"), "all-knowing")
	require.NoError(t, err)
	assert.Less(t, f.Unused, 0.05)
	assert.Less(t, f.OvershootP99, 0.15)
	assert.Greater(t, f.Value, off.Value)
	assert.GreaterOrEqual(t, best.Value, f.Value)
	again, err := Run(testScenario(12, "busy"), "leases")
	require.NoError(t, err)
	assert.Equal(t, f, again, "the same seed gives the same run")
}

// greedy calls whenever a message waits, which the figures have to show.
type greedy struct{ noop }

func (greedy) start(*World)               {}
func (greedy) allow(int64, int, int) bool { return true }

func TestFiguresShowAFleetThatKeepsNoLimit(t *testing.T) {
	f := run(testScenario(12, "busy"), greedy{}, "greedy")
	assert.Greater(t, f.OvershootP99, 0.15)
	assert.Greater(t, f.Refused, 0.3)
}
