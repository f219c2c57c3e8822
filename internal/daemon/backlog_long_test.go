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

// longBacklog turns the long form on: how many messages rest in it.
const (
	longBacklog = "RAVENLINK_LONG_BACKLOG"
	longDiskMB  = 6000
)

// TestBacklogAtLength measures a large backlog on the built program. docs/backlog.md says how to run it; its figures are in its log.
func TestBacklogAtLength(t *testing.T) {
	many, err := strconv.Atoi(os.Getenv(longBacklog))
	if err != nil {
		t.Skip(longBacklog + " is not set to a number of messages")
	}
	const few = 10_000
	t.Run("start", func(t *testing.T) {
		for round := range 3 {
			a, b := startOwing(t, few, longDiskMB, 10_000), startOwing(t, many, longDiskMB, 10_000)
			each := float64(b.anon-a.anon) / float64(many-few)
			t.Logf("round %d: ready after SIGKILL: %v with %d, %v with %d, ratio %.2f", round, a.ready, few, b.ready, many,
				b.ready.Seconds()/a.ready.Seconds())
			t.Logf("RssAnon: %d and %d KiB, ratio %.2f, %.1f bytes each; VmRSS: %d and %d KiB, ratio %.2f", a.anon>>10, b.anon>>10,
				float64(b.anon)/float64(a.anon), each, a.all>>10, b.all>>10, float64(b.all)/float64(a.all))
		}
	})
	t.Run("hand-ins", func(t *testing.T) {
		for round := range 3 {
			none, cpuNone := handInRate(t, 0)
			with, cpuWith := handInRate(t, many)
			t.Logf("round %d: %.0f hand-ins a second with none owed, %.0f with %d, ratio %.2f; each took %.1f and %.1f µs of the processor, ratio %.2f",
				round, none, with, many, with/none, cpuNone, cpuWith, cpuNone/cpuWith)
		}
	})
	t.Run("drain", func(t *testing.T) {
		for round := range 5 {
			whole, wholeMean := drainValue(t, false)
			parted, partedMean := drainValue(t, true)
			t.Logf("round %d: value %.2f and %v after the return with all in memory, %.2f and %v with a backlog, ratio %.3f", round, whole,
				wholeMean, parted, partedMean, parted/whole)
		}
	})
	t.Run("deadlines", func(t *testing.T) { endsInTime(t, 100_000, 20*time.Second, time.Minute) })
	t.Run("kills", func(t *testing.T) { killsOfABacklog(t, 51, 20_000) })
}

// drainValue has a destination be down for some seconds, with 180 messages owed of which the holding room takes 200, and gives what they are
// worth as they arrive, all together, and how long after the return they do in the mean. A message is worth 1 for 8 s, then half as much each
// 8 s more.
func drainValue(t *testing.T, rests bool) (value float64, mean time.Duration) {
	const n, down, aim = 180, 6 * time.Second, 8 * time.Second
	var mu sync.Mutex
	begun, came := time.Now(), map[string]time.Time{}
	w := restingWorld(t, 50, func(id string, _ int, out http.ResponseWriter) {
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
	if !rests {
		require.NoError(t, os.WriteFile(w.operators, []byte("version = 1\n"), 0o600))
	}
	w.settings = strings.Replace(settings, `"notice","aim":2000,"deadline":8000`, `"notice","aim":8000,"deadline":120000`, 1)
	cmd, _ := w.program()
	defer kill(t, cmd)
	c := w.dial()
	sent := map[string]time.Time{}
	begun = time.Now()
	for i := range n {
		id := fmt.Sprintf("d%03d", i)
		require.Equal(t, "+OK", c.say(handIn(id, "c=notice,d=120000,dest=7", "x")))
		sent[id] = time.Now()
	}
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return len(came) == n }, 10*long, 10*glimpse)
	for id, at := range came {
		late := at.Sub(sent[id]) - aim
		value += math.Exp2(-max(0, late.Seconds()/aim.Seconds()))
		mean += at.Sub(begun.Add(down)) / n
	}
	return value, mean.Round(time.Millisecond)
}

// handInRate is how many messages a second the program takes on from eight clients that wait for each answer, with so many resting, and how
// many µs of the processor each costs it: other work on the machine takes from the first.
func handInRate(t *testing.T, resting int) (perSec, cpu float64) {
	w := restingWorld(t, longDiskMB, func(string, int, http.ResponseWriter) {})
	w.prefill(resting, nowhereDst, inAnHour)
	cmd, _ := w.program()
	var taken atomic.Int64
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
			one := &client{Conn: c, r: bufio.NewReader(c)}
			for n := 0; time.Since(begun) < span; n++ {
				if one.say(handIn(fmt.Sprintf("h%d-%d", i, n), "c=notice,d=3600000,dest=9", body)) == "+OK" {
					taken.Add(1)
				}
			}
		})
	}
	all.Wait()
	require.Positive(t, taken.Load())
	perSec = float64(taken.Load()) / time.Since(begun).Seconds()
	kill(t, cmd)
	spent := cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	return perSec, float64(spent.Microseconds()) / float64(taken.Load())
}
