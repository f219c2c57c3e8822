package fleet

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var only = flag.String("fleet.sizes", "", "measure at these numbers of senders")

func TestMeasure(t *testing.T) {
	var n int
	if *only == "" {
		t.Skip("long; sizes by -fleet.sizes")
	}
	_, err := fmt.Sscan(*only, &n)
	require.NoError(t, err)
	for _, s := range Scenarios(n, 1) {
		for _, p := range Policies {
			f, err := Run(s, p)
			require.NoError(t, err)
			fmt.Printf("%5d %-13s %-12s value %.3f over %5.2f p99 %5.2f unused %.3f refused %.3f starve %.2f %.2f bytes %.0f\n",
				n, f.Scenario, f.Policy, f.Value, f.Over, f.OverP99, f.Unused, f.Refused, f.StarveP99, f.StarveMost, f.Bytes)
		}
	}
	assert.True(t, true)
}
