package fleettest

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// What is owed is what was taken on and has not ended, whatever else there is on record.
func TestOwedIsWhatWasTakenOnAndHasNotEnded(t *testing.T) {
	t.Parallel()
	draw := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var rec Record
		id := func() string { return fmt.Sprint("m", draw.IntN(12)) }
		for range draw.IntN(9) {
			rec.HandIns = append(rec.HandIns, HandIn{Message: Message{ID: id()}, Answer: []string{"+OK", "+OK pos=3", "-BUSY 1", "+OKAY", ""}[draw.IntN(5)]})
		}
		for range draw.IntN(9) {
			rec.Calls = append(rec.Calls, Call{ID: id(), Status: []int{0, 200, 429, 500}[draw.IntN(4)]})
		}
		for range draw.IntN(4) {
			rec.Notices = append(rec.Notices, Notice{ID: id(), State: "failed"})
		}
		var want []string
		for _, h := range rec.HandIns {
			if h.Taken() && !rec.Ended(h.ID) {
				want = append(want, h.ID)
			}
		}
		require.Equal(t, want, rec.Owed(), rec)
	}
}
