package daemon

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/shares"
)

// free gives addresses on loopback that nobody listens at.
func free(t *testing.T, n int) (at []string) {
	t.Helper()
	for range n {
		at = append(at, reserved(t))
	}
	return at
}

// joins writes an operator's file with this sender as self of the fleet that listens at these addresses, n0 first.
func (w *world) joins(self int, at []string, more string) {
	w.t.Helper()
	text := fmt.Sprintf("version = 1\n[fleet]\nname = \"east\"\nself = \"n%d\"\nlisten = %q\n%s", self, at[self], more)
	for i, a := range at {
		if i != self {
			text += fmt.Sprintf("[[fleet.peer]]\nname = \"n%d\"\naddress = %q\n", i, a)
		}
	}
	w.operators = filepath.Join(w.dir, "op.toml")
	require.NoError(w.t, os.WriteFile(w.operators, []byte(text), 0o600))
}

// inFleet counts the goroutines of this process that run in the fleet's packages.
func inFleet() int {
	text := make([]byte, 4<<20)
	text = text[:runtime.Stack(text, true)]
	n := 0
	for _, g := range strings.Split(string(text), "\n\n") {
		if strings.Contains(g, "ravenlink/internal/fleet.") || strings.Contains(g, "ravenlink/internal/links.") {
			n++
		}
	}
	return n
}

func TestWithoutAFleetNothingOfItRuns(t *testing.T) {
	w := newWorld(t, ok)
	stop := w.start()
	assert.Equal(t, "+OK", w.dial().say(handIn("a", keyed, "")))
	w.soon(func() bool { return w.calls["a"] == 1 })
	assert.Nil(t, w.sender.fleet)
	assert.Nil(t, w.sender.router.Gate)
	assert.Nil(t, w.sender.engine.Watch)
	assert.Zero(t, inFleet())
	assert.NoFileExists(t, filepath.Join(w.dir, "state", "fleet.db"))
	stop()
	w.joins(0, free(t, 2), "")
	w.start()
	require.NotNil(t, w.sender.fleet.joined.Load())
	require.Eventually(t, func() bool { return inFleet() > 0 }, long, glimpse, "it would have been seen")
}

func TestTwoSendersShareOneDestinationsLimit(t *testing.T) {
	const perSec, messages = 40.0, 30
	at := free(t, 2)
	var calls atomic.Int64
	answer := func(id string, _ int, out http.ResponseWriter) {
		if id != "probe" {
			calls.Add(1)
		}
	}
	var all []*world
	for i := range 2 {
		w := newWorld(t, answer)
		w.joins(i, at, fmt.Sprintf("[fleet.verdicts]\n[fleet.limits]\nlease = \"500ms\"\n[[fleet.limits.declared]]\ndst = 7\nper_sec = %g\n", perSec))
		w.start()
		all = append(all, w)
	}
	begun := time.Now()
	for _, w := range all {
		c := w.dial()
		for i := range messages {
			require.Equal(t, "+OK", c.say(handIn(fmt.Sprint("m", i), "c=notice,d=8000,k=k"+fmt.Sprint(i)+",dest=7", "")))
		}
	}
	for _, w := range all {
		w.soon(func() bool { return len(w.calls) == messages || len(w.notices) > 0 })
		assert.Empty(t, w.notices, "all in time")
	}
	took := time.Since(begun).Seconds()
	assert.LessOrEqual(t, float64(calls.Load()), perSec*took+shares.Burst(perSec), "unlimited they would all have gone at once")
}

func TestAFleetThatCannotBeHadKeepsNobodyFromServing(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	for _, c := range []struct{ listen, more string }{{taken.Addr().String(), ""}, {free(t, 1)[0], "most_mb = 2.5\n"}} {
		w := newWorld(t, ok)
		w.joins(0, []string{c.listen}, c.more)
		w.start()
		assert.Nil(t, w.sender.fleet.joined.Load())
		assert.Equal(t, "+OK", w.dial().say(handIn("a", keyed, "")))
		w.soon(func() bool { return w.calls["a"] == 1 })
	}
}
