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

// Pending messages are resumed many in a turn of the module. With a turn for each, a start with 20,000 pending messages took
// half a minute, because a turn looks at every destination that waits for a slot. Each turn reads the clock once, which is how
// they are counted.
func TestPendingMessagesAreResumedInFewTurns(t *testing.T) {
	s, _, err := spool.Open(t.TempDir(), 1<<20)
	require.NoError(t, err)
	defer func() { require.NoError(t, s.Close()) }()
	clock := NewClock()
	var turns atomic.Int64
	now := clock.Now()
	router := routing.New(1, gjson.Parse(strings.Replace(settings, `"most_held":40`, `"most_held":40000`, 1)), func() int64 { turns.Add(1); return now }, func(string) {}, func(string) {})
	e := New(zap.NewNop(), clock, router, s, nil)
	notifier := make(fakeNotifier, 9)
	e.SetNotifier(notifier)
	var pending []*spool.Message
	for i := range 4 * 1000 {
		pending = append(pending, &spool.Message{ID: fmt.Sprint(i), Class: "n", Dst: int64(i % 100), Expires: now + 8e6})
	}
	pending[7].Class = "gone"
	pending[8].Ended, pending[8].Rejected = true, true
	pending[9].Expires = now - 1
	e.ResumeAll(pending)
	require.LessOrEqual(t, turns.Load(), int64(4+1), "one for each thousand, and one to answer what has no room")
	for i, back := range []bool{false, true, true} {
		u := <-notifier
		require.Equal(t, pending[7+i].ID, u.Msg.ID)
		require.Equal(t, back, u.Rejected)
	}
	require.Empty(t, notifier)
	require.EqualValues(t, len(pending)-3, e.Pending())
}
