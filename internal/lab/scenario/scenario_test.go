package scenario

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const minimal = "version = 1\nname = \"x\"\n[[lane]]\nname = \"orders\"\n[[kind]]\nname = \"plants\"\n"

func TestDecodeErrorsNamePositionAndNearestKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{minimal + "destinatons = 3\n", "f.toml:7:1: kind.destinatons: no such setting; did you mean destinations?"},
		{"version = 1\n[team]\nsendres = 2\n", "f.toml:3:1: team.sendres: no such setting; did you mean senders?"},
		{minimal + "[[trouble]]\nkind = \"refuse\"\nat = \"12 parsecs\"\n", "f.toml:9:6"},
		{minimal + "[[trouble]]\nkind = \"explode\"\n", "f.toml:8:1: trouble.0.kind: \"explode\" is none of refuse"},
		{minimal + "[[trouble]]\nkind = \"slow\"\nat = \"3s\"\n", "f.toml:7:3: trouble.0.size: trouble slow needs a factor"},
		{minimal + "[kind.limit]\ncounting = \"rate\"\ntells_wait = 7.0\n", "f.toml:9:1: kind.0.limit.tells_wait"},
		{minimal + "limit = { counting = \"span\", span = \"0s\" }\n", "f.toml:7:1: kind.0.limit: counting \"span\" needs a span"},
		{minimal + "batch = \"two\"\n", "f.toml:7:"},
		{"version = 2\n", "f.toml:1:1: version"},
		{"version = 1\nname = \n", "f.toml:2:"},
		{"version = 1\n", "there is no lane"},
	} {
		_, err := Decode("f.toml", []byte(c.text))
		if assert.Error(t, err, c.text) {
			assert.Contains(t, err.Error(), c.want)
		}
	}
}

func TestEntriesKeepDefaultsOfOmittedKeys(t *testing.T) {
	s, err := Decode("f", []byte(minimal+"work = { mean = \"1s\" }\nqueue = 0\n[[kind]]\nname = \"other\"\nplaces = 3\n"))
	require.NoError(t, err)
	defaults := defaultKind()
	assert.Equal(t, Duration(1e6), s.Kinds[0].Work.Mean)
	assert.Equal(t, defaults.Work.Shape, s.Kinds[0].Work.Shape)
	assert.Zero(t, s.Kinds[0].Queue)
	assert.Equal(t, defaults.Queue, s.Kinds[1].Queue)
	assert.Equal(t, 3, s.Kinds[1].Workers)
	assert.Equal(t, defaultClass().KeyWindow, s.Classes[0].KeyWindow)
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	s, err := Decode("f", []byte(minimal+"[[trouble]]\nkind = \"hang\"\nat = \"3s\"\nfor = \"1m\"\nshare = 0.5\n"))
	require.NoError(t, err)
	text, err := s.Encode()
	require.NoError(t, err)
	again, err := Decode("f", text)
	require.NoError(t, err, string(text))
	assert.Equal(t, s, again)
}

func TestSetChangesSettingsByPath(t *testing.T) {
	s, err := Decode("f", []byte(minimal+"[[trouble]]\nkind = \"slow\"\nsize = 2.0\n"))
	require.NoError(t, err)
	c := s.Clone()
	require.NoError(t, c.Set("trouble.0.size", "9"))
	require.NoError(t, c.Set("team.senders", "12"))
	require.NoError(t, c.Set("lane.0.target", "90ms"))
	assert.Equal(t, 9.0, c.Faults[0].Magnitude)
	assert.Equal(t, 2.0, s.Faults[0].Magnitude, "the original of a clone stays unchanged")
	assert.Equal(t, Duration(90e3), c.Classes[0].Target)
	for path, want := range map[string]string{"team.sender": "did you mean senders", "trouble.4.size": "there are 1",
		"team.turn": "no length of time", "kind.0.cold_share": "is not within"} {
		err := c.Clone().setErr(path, "99x99")
		if path == "kind.0.cold_share" {
			err = c.Clone().setErr(path, "99")
		}
		if assert.Error(t, err) {
			assert.True(t, strings.Contains(err.Error(), want), "%s: %v", path, err)
		}
	}
}

func (s Scenario) setErr(path, value string) error { return s.Set(path, value) }
