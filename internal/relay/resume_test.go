package relay

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
	"go.uber.org/zap"

	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
)

// What a sender owes is taken up many in a turn of the module. One turn each made a start with 20,000 owed take half a minute: a turn looks at
// every destination that waits for a slot. Each turn asks the clock once, so that is what counts them.
func TestWhatIsOwedIsTakenUpInFewTurns(t *testing.T) {
	s, _, err := spool.Open(t.TempDir(), 1<<20)
	require.NoError(t, err)
	defer func() { require.NoError(t, s.Close()) }()
	clock := NewClock()
	var turns atomic.Int64
	now := clock.Now()
	router := routing.New(1, gjson.Parse(strings.Replace(settings, `"most_held":40`, `"most_held":40000`, 1)), func() int64 { turns.Add(1); return now }, func(string) {}, func(string) {})
	e := New(zap.NewNop(), clock, router, s, nil)
	told := make(ends, 9)
	e.Tell(told)
	var owed []*spool.Message
	for i := range 4 * 1000 {
		owed = append(owed, &spool.Message{ID: fmt.Sprint(i), Lane: "n", Dst: int64(i % 100), Expires: now + 8e6})
	}
	owed[7].Lane = "gone"
	owed[8].Ended, owed[8].PushedBack = true, true
	owed[9].Expires = now - 1
	e.ResumeAll(owed)
	require.LessOrEqual(t, turns.Load(), int64(4+1), "one for each thousand, and one to answer what has no room")
	for i, back := range []bool{false, true, true} {
		u := <-told
		require.Equal(t, owed[7+i].ID, u.Msg.ID)
		require.Equal(t, back, u.PushedBack)
	}
	require.Empty(t, told)
	require.EqualValues(t, len(owed)-3, e.Owed())
}
