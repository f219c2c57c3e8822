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

func readScenario(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Read("../../../scenarios/" + name + ".toml")
	require.NoError(t, err)
	return &s
}

func TestEstimatesAndVerdicts(t *testing.T) {
	e := EstimateMean([]float64{1, 2, 3, 4, 5})
	assert.Equal(t, 3.0, e.Mean)
	assert.InDelta(t, 1.963, e.HalfWidth(), .001) // Student t(4, 0.975) = 2.776, standard deviation 1.5811
	assert.True(t, math.IsInf(EstimateMean([]float64{7}).High, 1))
	assert.False(t, EstimateMean([]float64{7}).Excludes(0))
	same := Difference{BMinusA: EstimateMean([]float64{0, 0, 0})}
	assert.Equal(t, "no difference at all", same.Verdict("a", "b"))
	assert.Equal(t, "no difference seen", Difference{BMinusA: EstimateMean([]float64{-1, 1, .5})}.Verdict("a", "b"))
	assert.Equal(t, "b has more", Difference{BMinusA: EstimateMean([]float64{2, 2.1, 2.2})}.Verdict("a", "b"))
}

func TestSweepUsesTheSameSeedsInEveryCell(t *testing.T) {
	s := readScenario(t, "calm-day")
	s.Length = 10e6
	g, err := Sweep(context.Background(), s, "module", []Axis{{"team.senders", []string{"1", "3"}}, {"traffic.load", []string{"0.3", "0.3"}}}, 3, nil)
	require.NoError(t, err)
	require.Len(t, g.Cells, 4)
	assert.Equal(t, g.Cells[0].Figures["service"], g.Cells[1].Figures["service"], "cells with equal values have equal figures")
	assert.Equal(t, []string{"3", "0.3"}, g.Cells[2].Values)
	_, err = Sweep(context.Background(), s, "module", []Axis{{"team.sender", []string{"1"}}}, 1, nil)
	assert.ErrorContains(t, err, "did you mean senders")
	_, err = Compare(context.Background(), s, "modul", "none", 1, nil)
	assert.ErrorContains(t, err, "no policy")
}

func TestSearchFindsAndShrinksAPlantedBug(t *testing.T) {
	s := readScenario(t, "rainy-morning")
	s.Length, s.Faults = 30e6, nil
	f, err := Search(context.Background(), s, "planted-wait", Goal{Rule: rules.Wait}, 400, 0, 1, nil)
	require.NoError(t, err)
	require.True(t, f.Hit)
	assert.Positive(t, f.Result.Rules[rules.Wait])
	assert.LessOrEqual(t, len(f.Scenario.Faults), 3)
	text, err := f.Scenario.Encode()
	require.NoError(t, err)
	decoded, err := scenario.Decode("found", text)
	require.NoError(t, err)
	rs, err := RunJobs(context.Background(), []Job{{&decoded, f.Result.Seed, "planted-wait"}}, nil)
	require.NoError(t, err)
	assert.Equal(t, f.Result.Rules, rs[0].Rules, "the encoded day reproduces the violations")

	second, err := Search(context.Background(), s, "planted-wait", Goal{Rule: rules.Wait}, 400, 0, 1, nil)
	require.NoError(t, err)
	assert.Equal(t, f.Scenario, second.Scenario, "a search is deterministic")
}

func TestCancelledCompareReturnsContextError(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err := Compare(ctx, readScenario(t, "calm-day"), "none", "module", 2, nil)
	assert.ErrorIs(t, err, context.Canceled)
}
