package experiment

import (
	"context"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/lab/rules"
	"ravenlink/internal/lab/scenario"
)

func read(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Read("../../../scenarios/" + name + ".toml")
	require.NoError(t, err)
	return &s
}

func TestMeansHaveStudentsIntervals(t *testing.T) {
	e := Mean([]float64{1, 2, 3, 4, 5})
	assert.Equal(t, 3.0, e.Mean)
	assert.InDelta(t, 1.963, e.Half(), .001) // t(4, 0.975) = 2.776, s = 1.5811
	assert.True(t, math.IsInf(Mean([]float64{7}).High, 1))
	assert.False(t, Mean([]float64{7}).Excludes(0))
	same := Difference{BLessA: Mean([]float64{0, 0, 0})}
	assert.Equal(t, "no difference at all", same.Verdict("a", "b"))
	assert.Equal(t, "no difference seen", Difference{BLessA: Mean([]float64{-1, 1, .5})}.Verdict("a", "b"))
	assert.Equal(t, "b has more", Difference{BLessA: Mean([]float64{2, 2.1, 2.2})}.Verdict("a", "b"))
}

func TestASweepPlaysEveryPlaceWithTheSameSeeds(t *testing.T) {
	s := read(t, "calm-day")
	s.Length = 10e6
	g, err := Sweep(context.Background(), s, "module", []Axis{{"team.senders", []string{"1", "3"}}, {"traffic.load", []string{"0.3", "0.3"}}}, 3, nil)
	require.NoError(t, err)
	require.Len(t, g.Cells, 4)
	assert.Equal(t, g.Cells[0].Figures["service"], g.Cells[1].Figures["service"], "equal places show equal figures")
	assert.Equal(t, []string{"3", "0.3"}, g.Cells[2].Values)
	_, err = Sweep(context.Background(), s, "module", []Axis{{"team.sender", []string{"1"}}}, 1, nil)
	assert.ErrorContains(t, err, "did you mean senders")
	_, err = Compare(context.Background(), s, "modul", "none", 1, nil)
	assert.ErrorContains(t, err, "no policy")
}

func TestASearchFindsAPlantedFaultAndMakesTheDaySmall(t *testing.T) {
	s := read(t, "rainy-morning")
	s.Length, s.Troubles = 30e6, nil
	f, err := Search(context.Background(), s, "planted-wait", Goal{Rule: rules.Wait}, 400, 0, 1, nil)
	require.NoError(t, err)
	require.True(t, f.Hit)
	assert.Positive(t, f.Result.Rules[rules.Wait])
	assert.LessOrEqual(t, len(f.Day.Troubles), 3)
	text, err := f.Day.Encode()
	require.NoError(t, err)
	again, err := scenario.Decode("found", text)
	require.NoError(t, err)
	rs, err := Play(context.Background(), []Job{{&again, f.Result.Seed, "planted-wait"}}, nil)
	require.NoError(t, err)
	assert.Equal(t, f.Result.Rules, rs[0].Rules, "the file shows the same")

	two, err := Search(context.Background(), s, "planted-wait", Goal{Rule: rules.Wait}, 400, 0, 1, nil)
	require.NoError(t, err)
	assert.Equal(t, f.Day, two.Day, "the same search finds the same day")
}

func TestInterruptedWorkSaysSo(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err := Compare(ctx, read(t, "calm-day"), "none", "module", 2, nil)
	assert.ErrorIs(t, err, context.Canceled)
}
