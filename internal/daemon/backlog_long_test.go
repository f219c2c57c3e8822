package daemon

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// envLongBacklog enables the long form; its value is the number of spilled messages.
const (
	envLongBacklog    = "RAVENLINK_LONG_BACKLOG"
	longBacklogDiskMB = 6000
)

// TestBacklogAtLength measures a large backlog with the built program and logs the figures. docs/backlog.md describes how to run it.
func TestBacklogAtLength(t *testing.T) {
	many, err := strconv.Atoi(os.Getenv(envLongBacklog))
	if err != nil {
		t.Skip(envLongBacklog + " is not set to a number of messages")
	}
	const few = 10_000
	t.Run("start", func(t *testing.T) {
		for round := range 3 {
			a, b := measureStart(t, few, longBacklogDiskMB, 10_000), measureStart(t, many, longBacklogDiskMB, 10_000)
			each := float64(b.anon-a.anon) / float64(many-few)
			t.Logf("round %d: ready after SIGKILL: %v with %d, %v with %d, ratio %.2f", round, a.ready, few, b.ready, many,
				b.ready.Seconds()/a.ready.Seconds())
			t.Logf("RssAnon: %d and %d KiB, ratio %.2f, %.1f bytes each; VmRSS: %d and %d KiB, ratio %.2f", a.anon>>10, b.anon>>10,
				float64(b.anon)/float64(a.anon), each, a.all>>10, b.all>>10, float64(b.all)/float64(a.all))
		}
	})
	t.Run("hand-ins", func(t *testing.T) {
		for round := range 3 {
			none, cpuNone := measureHandInRate(t, 0)
			with, cpuWith := measureHandInRate(t, many)
			t.Logf("round %d: %.0f hand-ins per second with none pending, %.0f with %d, ratio %.2f; each took %.1f and %.1f µs of CPU time, ratio %.2f",
				round, none, with, many, with/none, cpuNone, cpuWith, cpuNone/cpuWith)
		}
	})
	t.Run("drain", func(t *testing.T) {
		for round := range 5 {
			whole, wholeMean := measureDrainValue(t, false)
			parted, partedMean := measureDrainValue(t, true)
			t.Logf("round %d: value %.2f and %v after the return with all in memory, %.2f and %v with a backlog, ratio %.3f", round, whole,
				wholeMean, parted, partedMean, parted/whole)
		}
	})
	t.Run("deadlines", func(t *testing.T) { checkExpiriesInTime(t, 100_000, 20*time.Second, time.Minute) })
	t.Run("kills", func(t *testing.T) { runBacklogKills(t, 51, 20_000) })
}

// measureDrainValue takes a destination down for 6 s with 180 pending messages, in a queue that has room for 200. It returns the total value of
// the messages at their delivery and the mean delay of delivery after the recovery. A message has the value 1 for 8 s, which then halves every 8 s.
func measureDrainValue(t *testing.T, withBacklog bool) (value float64, mean time.Duration) {
	const n, down, aim = 180, 6 * time.Second, 8 * time.Second
	var mu sync.Mutex
	begun, came := time.Now(), map[string]time.Time{}
	w := newBacklogEnv(t, 50, func(id string, _ int, out http.ResponseWriter) {
		if time.Since(begun) < down {
			out.WriteHeader(503)
			return
		}
		time.Sleep(5 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		if id != "probe" {
			came[id] = time.Now()
		}
	})
	if !withBacklog {
		require.NoError(t, os.WriteFile(w.operatorFile, []byte("version = 1\n"), 0o600))
	}
	w.settings = strings.Replace(settings, `"notice","aim":2000,"deadline":8000`, `"notice","aim":8000,"deadline":120000`, 1)
	cmd, _ := w.startBinary()
	defer killProcess(t, cmd)
	c := w.dial()
	sent := map[string]time.Time{}
	begun = time.Now()
	for i := range n {
		id := fmt.Sprintf("d%03d", i)
		require.Equal(t, "+OK", c.send(handIn(id, "c=notice,d=120000,dest=7", "x")))
		sent[id] = time.Now()
	}
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return len(came) == n }, 10*testTimeout, 10*testInterval)
	for id, at := range came {
		late := at.Sub(sent[id]) - aim
		value += math.Exp2(-max(0, late.Seconds()/aim.Seconds()))
		mean += at.Sub(begun.Add(down)) / n
	}
	return value, mean.Round(time.Millisecond)
}

// measureHandInRate returns the messages per second that the program accepts from eight clients that wait for each reply, with the given
// number of spilled messages, and the CPU time per message in µs. Other load on the machine lowers the rate.
func measureHandInRate(t *testing.T, spilled int) (perSec, cpu float64) {
	w := newBacklogEnv(t, longBacklogDiskMB, func(string, int, http.ResponseWriter) {})
	w.prefill(spilled, unservedDst, expiresInAnHour)
	cmd, _ := w.startBinary()
	var accepted atomic.Int64
	var all sync.WaitGroup
	const span = 10 * time.Second
	begun := time.Now()
	body := strings.Repeat("x", 100)
	for i := range 8 {
		all.Go(func() {
			c, err := net.Dial("tcp", w.listen)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			one := &testClient{Conn: c, r: bufio.NewReader(c)}
			for n := 0; time.Since(begun) < span; n++ {
				if one.send(handIn(fmt.Sprintf("h%d-%d", i, n), "c=notice,d=3600000,dest=9", body)) == "+OK" {
					accepted.Add(1)
				}
			}
		})
	}
	all.Wait()
	require.Positive(t, accepted.Load())
	perSec = float64(accepted.Load()) / time.Since(begun).Seconds()
	killProcess(t, cmd)
	spent := cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	return perSec, float64(spent.Microseconds()) / float64(accepted.Load())
}
