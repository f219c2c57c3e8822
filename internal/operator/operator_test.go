package operator

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const fleetFile = `version = 1
[fleet]
name = "east"
self = "a"
listen = "127.0.0.1:7301"
[[fleet.peer]]
name = "b"
address = "127.0.0.1:7412"
[[fleet.tenant]]
name = "acme"
dst = [7]
[fleet.limits]
[[fleet.limits.declared]]
dst = 7
per_sec = 10
`

func TestFleetTableGetsDefaultsAndIsOptional(t *testing.T) {
	f, err := Decode("op.toml", []byte(fleetFile))
	require.NoError(t, err)
	assert.Equal(t, []string{"a", "b"}, f.Fleet.MemberNames())
	assert.NotZero(t, f.Fleet.HeartbeatInterval)
	assert.NotZero(t, f.Fleet.Limits.Lease)
	assert.Nil(t, f.Fleet.Verdicts)
	assert.Nil(t, f.Fleet.Channels)
	f, err = Decode("op.toml", []byte("version = 1\n"))
	require.NoError(t, err)
	assert.Nil(t, f.Fleet)
}

func TestFleetFaultsNameTheirLocation(t *testing.T) {
	for _, c := range []struct{ from, to, says string }{
		{`self = "a"`, `self = ""`, "op.toml:4:1: fleet.self: "},
		{`self = "a"`, "slf = 1", "op.toml:4:1: fleet.slf: no such setting; did you mean self?"},
		{`listen = "127.0.0.1:7301"`, `listen = "here"`, `op.toml:5:1: fleet.listen: "here" is no HOST:PORT`},
		{`name = "b"`, `name = "a"`, `op.toml:7:1: fleet.peer.0.name: "a" is listed twice`},
		{"7412", "x", "op.toml:8:1: fleet.peer.0.address: "},
		{"dst = [7]", "lanes = []", "op.toml:9:3: fleet.tenant.0.dst: a tenant is named by"},
		{"per_sec = 10", "per_sec = -1", "op.toml:15:1: fleet.limits.declared.0.per_sec: "},
		{"[fleet.limits]", "[fleet.limits]\nlease = \"soon\"", "op.toml:13:9: "},
		{"[fleet.limits]", "[fleet.limits]\nlease = \"1ms\"", "op.toml:13:1: fleet.limits.lease: "},
		{`listen =`, "most_mb = 0.01\nlisten =", "op.toml:5:1: fleet.most_mb: that is less than"},
	} {
		text := strings.Replace(fleetFile, c.from, c.to, 1)
		require.NotEqual(t, fleetFile, text)
		_, err := Decode("op.toml", []byte(text))
		require.Error(t, err, c.to)
		assert.True(t, strings.HasPrefix(err.Error(), c.says), "%s\nsays %v", c.says, err)
	}
}
