package startup

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
)

func TestUnsetTimeoutsTakeTheirDefaults(t *testing.T) {
	connect, idle := ConnTimeouts(gjson.Parse(`{"limits":{}}`))
	assert.Equal(t, []time.Duration{defaultConnectTimeout, defaultIdleTimeout}, []time.Duration{connect, idle})
	connect, idle = ConnTimeouts(gjson.Parse(`{"limits":{"connect_timeout":250.5,"conn_idle":9000}}`))
	assert.Equal(t, []time.Duration{250500 * time.Microsecond, 9 * time.Second}, []time.Duration{connect, idle})
}

func TestEachMissingVariableIsNamed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"seed":"8c1f30d27a5be964","settings":{"classes":[{}]},"known":{"members":[]}}`), 0o600))
	for _, missing := range []string{varFile, varState, varListen, varDiscovery} {
		_, err := Read(func(name string) string {
			if name == missing {
				return ""
			}
			return path
		})
		assert.ErrorContains(t, err, missing)
	}
	c, err := Read(func(string) string { return path })
	require.NoError(t, err)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), Seed(c))
	assert.Equal(t, defaultSockets, MaxSockets(c))
	assert.EqualValues(t, 32<<20, MaxMemoryBytes(c))
	assert.EqualValues(t, 48<<20, MaxMemoryBytes(gjson.Parse(`{"limits":{"memory_mb":48}}`)), "exactly the configured limit")
}
