package daemon

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

func TestLogLevelsPerPartAndInvalidFileIgnored(t *testing.T) {
	t.Parallel()
	core, seen := observer.New(zapcore.DebugLevel)
	ls := newLevels(zapcore.InfoLevel)
	log := zap.New(partCore{core, ls, "program"}).With(zap.String("sender", "n0"))
	module, clients := withPart(log, "module"), withPart(log, "clients")
	said := func() (all []string) {
		for _, l := range []*zap.Logger{log, module, clients} {
			l.Debug("debug")
			l.Info("info")
			l.Warn("warn")
		}
		for _, e := range seen.TakeAll() {
			assert.Equal(t, "n0", e.ContextMap()["sender"])
			all = append(all, e.Message)
		}
		return all
	}
	assert.Equal(t, []string{"info", "warn", "info", "warn", "info", "warn"}, said())

	file := filepath.Join(t.TempDir(), "op.toml")
	put := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	put("version = 1\n[log]\nlevel = \"warn\"\n[log.parts]\nmodule = \"debug\"\n")
	_, err := ls.load(file)
	require.NoError(t, err)
	want := []string{"warn", "debug", "info", "warn", "warn"}
	assert.Equal(t, want, said())
	put("version = 1\n[log]\nlevel = \"loud\"\n")
	_, err = ls.load(file)
	assert.Error(t, err)
	assert.Equal(t, want, said())
}
