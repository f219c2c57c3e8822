package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/lab/scenario"
)

func lab(args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = run(args, &o, &e)
	return status, o.String(), e.String()
}

const day = "../../scenarios/calm-day.toml"

func TestExitStatusesTellFaultsFromBrokenRules(t *testing.T) {
	status, out, errs := lab("run", day, "--set", "length=5s")
	assert.Equal(t, exitOK, status, errs)
	assert.Contains(t, out, "service")
	assert.Empty(t, errs, "nothing but results where no terminal is")

	status, out, errs = lab("run", day, "--policy", "broken-wait", "--set", "traffic.load=2", "--set", "length=6s")
	assert.Equal(t, exitBroken, status)
	assert.Contains(t, out, "rule wait")
	assert.Contains(t, out, `"event":"leg"`, "the events of the message that broke it")
	assert.Contains(t, errs, "a rule was broken")

	for _, bad := range [][]string{{"run", "nowhere.toml"}, {"run", day, "--policy", "best"}, {"run", day, "--set", "team.sendres=1"},
		{"run"}, {"sweep", day, "--set", "team.senders"}, {"report", t.TempDir()}, {"fly"}} {
		status, _, errs = lab(bad...)
		assert.Equal(t, exitBad, status, bad)
		assert.Contains(t, errs, "ravenlab: ")
	}
}

func TestAFaultInAScenarioNamesItsPlace(t *testing.T) {
	f := filepath.Join(t.TempDir(), "x.toml")
	require.NoError(t, os.WriteFile(f, []byte("version = 1\nname = \"x\"\n[[lane]]\nname = \"a\"\ndeadlin = \"3s\"\n"), 0o600))
	_, _, errs := lab("run", f)
	assert.Contains(t, errs, f+":5:1: lane.deadlin: no such setting; did you mean deadline?")
}

func TestEveryScenarioReadsAndSaysWhatItShows(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.toml")
	require.NoError(t, err)
	assert.GreaterOrEqual(t, len(files), 15)
	for _, f := range files {
		s, err := scenario.Read(f)
		require.NoError(t, err)
		assert.NotEmpty(t, s.Shows, f)
		assert.Equal(t, filepath.Base(f), s.Name+".toml")
	}
}

func TestEachCommandWorksFromEndToEnd(t *testing.T) {
	dir := t.TempDir()
	s, err := scenario.Read(day)
	require.NoError(t, err)
	s.Length, s.Lanes[0].Deadline = 3e6, 3e6
	text, err := s.Encode()
	require.NoError(t, err)
	day := filepath.Join(t.TempDir(), "short.toml")
	require.NoError(t, os.WriteFile(day, text, 0o600))
	in := func(name string) string { return filepath.Join(dir, name) }
	for _, args := range [][]string{
		{"run", day, "--set", "length=4s", "--json", in("run.json"), "--trace", in("trace.jsonl")},
		{"sweep", day, "--set", "traffic.load=0.5,0.9", "--seeds", "2", "--json", in("grid.json")},
		{"compare", day, "--seeds", "2", "--json", in("pair.json")},
		{"table", day, "--seeds", "1", "--policies", "none"},
		{"search", day, "--loss", "--days", "8", "--out", in("found.toml")},
		{"policies"},
		{"report", dir},
	} {
		status, out, errs := lab(args...)
		assert.Equal(t, exitOK, status, "%v: %s", args, errs)
		assert.NotEmpty(t, out)
	}
	_, err = scenario.Read(in("found.toml"))
	assert.NoError(t, err)
	assert.FileExists(t, in("index.html"))
}
