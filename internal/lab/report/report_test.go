package report

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/lab/experiment"
	"ravenlink/internal/lab/scenario"
	"ravenlink/internal/lab/world"
)

func TestPageContainsResultsAndErrorsNameUnreadableFiles(t *testing.T) {
	dir := t.TempDir()
	writeResult := func(name string, v any) {
		text, err := json.Marshal(v)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), text, 0o600))
	}
	s, err := scenario.Read("../../../scenarios/rainy-morning.toml")
	require.NoError(t, err)
	s.Length, s.Faults[0].At, s.Faults[1].At = 20e6, 5e6, 8e6
	r, err := world.Run(&s, 1, "module", nil)
	require.NoError(t, err)
	writeResult("run.json", r)
	g, err := experiment.Sweep(context.Background(), &s, "none", []experiment.Axis{{Path: "team.senders", Values: []string{"1", "2"}}}, 2, nil)
	require.NoError(t, err)
	writeResult("grid.json", g)
	c, err := experiment.Compare(context.Background(), &s, "none", "module", 2, nil)
	require.NoError(t, err)
	writeResult("pair.json", c)
	writeResult("other.json", map[string]int{"x": 1})

	n, err := Write(dir)
	assert.ErrorContains(t, err, "other.json: no result")
	assert.Equal(t, 10, n)
	page, err := os.ReadFile(filepath.Join(dir, "index.html"))
	require.NoError(t, err)
	for _, want := range []string{"<svg", "run", "team.senders", "no difference", "All rules kept"} {
		assert.Contains(t, string(page), want)
	}
	picture, err := os.ReadFile(filepath.Join(dir, "run-1.png"))
	require.NoError(t, err)
	assert.Equal(t, "\x89PNG", string(picture[:4]))

	_, err = Write(t.TempDir())
	assert.ErrorContains(t, err, "no result")
}
