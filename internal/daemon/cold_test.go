package daemon

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/routing"
)

func (w *testEnv) coldPath() string { return filepath.Join(w.env("RELAY_STATE"), coldFileName) }

func (w *testEnv) coldText() string {
	text, _ := os.ReadFile(w.coldPath())
	return string(text)
}

// After a kill while a destination is down, the next process treats it as cold and sends its pending messages one at a time.
func TestColdDestinationSurvivesARestart(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, func(_ string, _ int, out http.ResponseWriter) { out.WriteHeader(500) })
	cmd := startProcess(w)
	c := w.dial()
	for _, id := range []string{"a", "b", "c"} {
		require.Equal(t, "+OK", c.send(handIn(id, "c=notice,d=60000,k="+id+",dest=7", "")))
	}
	require.Eventually(t, func() bool { return strings.Contains(w.coldText(), `"dst":7`) }, testTimeout, testInterval)
	killProcess(t, cmd)
	require.Contains(t, w.coldText(), `"dst":7`)
	stop := w.start()
	assert.Equal(t, []routing.ColdDst{{Dst: 7}}, w.sender.router.Cold())
	assert.False(t, w.sender.router.Healthy(7))
	stop()
}

// Guards against rebuilding the list of many destinations too often, which blocks the decisions each time: 99,000 take 55 ms.
func TestColdPauseScalesWithListTime(t *testing.T) {
	for took, rest := range map[time.Duration]time.Duration{0: coldMinPause, time.Millisecond: coldMinPause, 55 * time.Millisecond: 1100 * time.Millisecond,
		time.Minute: coldMaxPause} {
		assert.Equal(t, rest, coldPause(took), "after %v", took)
	}
}

// Whatever is in place of the file, the sender starts and serves; once it is removed, the file is written.
func TestSenderServesWithABrokenColdFile(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(path string) error{
		"torn": func(path string) error { return os.WriteFile(path, []byte(`{"version":1,"destin`), 0o600) },
		"other version": func(path string) error {
			return os.WriteFile(path, []byte(`{"version":9,"destinations":[{"dst":7}]}`), 0o600)
		},
		"a folder": func(path string) error { return os.MkdirAll(filepath.Join(path, "full"), 0o700) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var down atomic.Bool
			w := newTestEnv(t, func(_ string, _ int, out http.ResponseWriter) {
				if down.Load() {
					out.WriteHeader(500)
				}
			})
			require.NoError(t, spoil(w.coldPath()))
			stop := w.start()
			assert.Empty(t, w.sender.router.Cold())
			c := w.dial()
			assert.Equal(t, "+OK", c.send(handIn("a", "c=notice,d=60000,k=a,dest=7", "")))
			w.eventually(func() bool { return w.calls["a"] == 1 })
			down.Store(true)
			for i := range 6 {
				assert.Equal(t, "+OK", c.send(handIn(fmt.Sprint("b", i), fmt.Sprintf("c=notice,d=60000,k=b%d,dest=7", i), "")))
			}
			require.Eventually(t, func() bool { return len(w.sender.router.Cold()) == 1 }, testTimeout, testInterval)
			require.NoError(t, os.RemoveAll(w.coldPath()))
			require.Eventually(t, func() bool { return strings.Contains(w.coldText(), `"dst":7`) }, testTimeout, testInterval)
			stop()
		})
	}
}

// The file stays within its share of the disk limit.
func TestColdFileSizeIsBounded(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, ok)
	w.start()() // stopped, so that it does not write the file itself: a running sender removes it a second after its start
	var cold []routing.ColdDst
	for i := range 100_000 {
		cold = append(cold, routing.ColdDst{Dst: int64(-1<<62) - int64(i), Warm: 1. / 3})
	}
	require.NoError(t, w.sender.writeCold(cold))
	assert.LessOrEqual(t, float64(len(w.coldText())), coldDiskShare*float64(w.sender.maxDiskBytes)+coldEntryBytes)
	assert.Contains(t, w.coldText(), `"warm":0.333}`)
}
