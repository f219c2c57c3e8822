package verdicts

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawEntry(t *rapid.T, label string) entry {
	kind := rapid.SampledFrom([]Kind{Down, Recovered}).Draw(t, label+" kind")
	seen := rapid.Int64Range(0, 50).Draw(t, label+" seen")
	return entry{latestSeen: seen, earliestSeen: seen - rapid.Int64Range(0, 50).Draw(t, label+" slack"), Fact: Fact{Kind: kind, Origin: "a",
		Incarnation: rapid.Uint64Range(1, 2).Draw(t, label+" inc"), Version: rapid.Uint64Range(1, 2).Draw(t, label+" version"),
		Duration: rapid.Int64Range(0, 1).Draw(t, label+" duration"), Withdrawn: rapid.Bool().Draw(t, label+" withdrawn")}}
}

func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawEntry(t, "a"), drawEntry(t, "b"), drawEntry(t, "c")
		require.Equal(t, merge(a, b), merge(b, a))
		require.Equal(t, merge(merge(a, b), c), merge(a, merge(b, c)))
		require.Equal(t, a, merge(a, a))
	})
}

// Once there was an echo, the bound on a message's transit time holds whatever the links did.
func TestEchoesBoundTravelTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := rapid.Int64Range(0, 1e12).Draw(t, "clock offset")
		c := clock{}
		now := int64(1e12) + 10e6
		for i := range 20 {
			transit := rapid.Int64Range(0, 9e6).Draw(t, "transit")
			m := Msg{Incarnation: 1, SentAt: now - transit + offset}
			if i > 0 && rapid.Bool().Draw(t, "echo") {
				echoTransit := rapid.Int64Range(0, 9e6).Draw(t, "transit of the echoed message")
				delay := rapid.Int64Range(0, 1e6).Draw(t, "echo delay")
				m.EchoOf, m.Echo, m.EchoDelay = 5, now-transit-delay-echoTransit, delay
			}
			if got := c.update(now, 5, m); got >= 0 {
				require.GreaterOrEqual(t, got, transit)
			}
			now += rapid.Int64Range(0, 1e6).Draw(t, "later")
		}
	})
}

func TestPackPreservesAgeBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Fact{Kind: Limit, Age: rapid.Int64Range(0, 1e8).Draw(t, "age"), Slack: rapid.Int64Range(0, 1e7).Draw(t, "slack")}
		got := pack(f).fact()
		require.LessOrEqual(t, got.Age, f.Age)
		require.GreaterOrEqual(t, got.Age+got.Slack, f.Age+f.Slack)
	})
}
