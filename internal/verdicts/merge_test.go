package verdicts

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawEntry(t *rapid.T, label string) entry {
	kind := rapid.SampledFrom([]Kind{Down, Back}).Draw(t, label+" kind")
	seen := rapid.Int64Range(0, 50).Draw(t, label+" seen")
	return entry{seen: seen, surely: seen - rapid.Int64Range(0, 50).Draw(t, label+" slack"), Fact: Fact{Kind: kind, Origin: "a",
		Incarnation: rapid.Uint64Range(1, 2).Draw(t, label+" inc"), Version: rapid.Uint64Range(1, 2).Draw(t, label+" version"),
		For: rapid.Int64Range(0, 1).Draw(t, label+" for"), Withdrawn: rapid.Bool().Draw(t, label+" withdrawn")}}
}

func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawEntry(t, "a"), drawEntry(t, "b"), drawEntry(t, "c")
		require.Equal(t, merge(a, b), merge(b, a))
		require.Equal(t, merge(merge(a, b), c), merge(a, merge(b, c)))
		require.Equal(t, a, merge(a, a))
	})
}

// A letter's age is between its bounds whatever the links did, once there was an echo.
func TestTravelIsBoundedByEchoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		theirs := rapid.Int64Range(0, 1e12).Draw(t, "their clock is ahead by")
		c := clock{}
		now := int64(1e12) + 10e6
		for i := range 20 {
			travel := rapid.Int64Range(0, 9e6).Draw(t, "travel")
			m := Msg{Incarnation: 1, Stamp: now - travel + theirs}
			if i > 0 && rapid.Bool().Draw(t, "echo") {
				back := rapid.Int64Range(0, 9e6).Draw(t, "travel of what is echoed")
				held := rapid.Int64Range(0, 1e6).Draw(t, "held")
				m.EchoOf, m.Echo, m.Held = 5, now-travel-held-back, held
			}
			if got := c.hear(now, 5, m); got >= 0 {
				require.GreaterOrEqual(t, got, travel)
			}
			now += rapid.Int64Range(0, 1e6).Draw(t, "later")
		}
	})
}

func TestPackingKeepsTheMomentBetweenItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Fact{Kind: Limit, Age: rapid.Int64Range(0, 1e8).Draw(t, "age"), Slack: rapid.Int64Range(0, 1e7).Draw(t, "slack")}
		got := pack(f).fact()
		require.LessOrEqual(t, got.Age, f.Age)
		require.GreaterOrEqual(t, got.Age+got.Slack, f.Age+f.Slack)
	})
}
