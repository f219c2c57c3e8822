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

func runLab(args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = run(args, &o, &e)
	return status, o.String(), e.String()
}

const dayFile = "../../scenarios/calm-day.toml"

func TestExitStatusDistinguishesErrorsFromBrokenRules(t *testing.T) {
	status, out, errs := runLab("run", dayFile, "--set", "length=5s")
	assert.Equal(t, exitOK, status, errs)
	assert.Contains(t, out, "service")
	assert.Empty(t, errs, "nothing but results where no terminal is")

	status, out, errs = runLab("run", dayFile, "--policy", "broken-wait", "--set", "traffic.load=2", "--set", "length=6s")
	assert.Equal(t, exitRuleBroken, status)
	assert.Contains(t, out, "rule wait")
	assert.Contains(t, out, `"event":"leg"`, "the events of the message that broke it")
	assert.Contains(t, errs, "a rule was broken")

	for _, bad := range [][]string{{"run", "nowhere.toml"}, {"run", dayFile, "--policy", "best"}, {"run", dayFile, "--set", "team.sendres=1"},
		{"run"}, {"sweep", dayFile, "--set", "team.senders"}, {"report", t.TempDir()}, {"fly"}} {
		status, _, errs = runLab(bad...)
		assert.Equal(t, exitError, status, bad)
		assert.Contains(t, errs, "ravenlab: ")
	}
}

func TestScenarioFaultNamesItsLocation(t *testing.T) {
	f := filepath.Join(t.TempDir(), "x.toml")
	require.NoError(t, os.WriteFile(f, []byte("version = 1\nname = \"x\"\n[[lane]]\nname = \"a\"\ndeadlin = \"3s\"\n"), 0o600))
	_, _, errs := runLab("run", f)
	assert.Contains(t, errs, f+":5:1: lane.deadlin: no such setting; did you mean deadline?")
}

func TestEveryScenarioIsReadableAndDescribed(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.toml")
	require.NoError(t, err)
	assert.GreaterOrEqual(t, len(files), 15)
	for _, f := range files {
		s, err := scenario.Read(f)
		require.NoError(t, err)
		assert.NotEmpty(t, s.Description, f)
		assert.Equal(t, filepath.Base(f), s.Name+".toml")
	}
}

func TestEveryCommandEndToEnd(t *testing.T) {
	dir := t.TempDir()
	s, err := scenario.Read(dayFile)
	require.NoError(t, err)
	s.Length, s.Classes[0].Deadline = 3e6, 3e6
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
		status, out, errs := runLab(args...)
		assert.Equal(t, exitOK, status, "%v: %s", args, errs)
		assert.NotEmpty(t, out)
	}
	_, err = scenario.Read(in("found.toml"))
	assert.NoError(t, err)
	assert.FileExists(t, in("index.html"))
}
