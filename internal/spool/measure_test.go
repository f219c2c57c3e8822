package spool

import (
	"fmt"
	"os"
	"regexp"
	"runtime"
	"runtime/debug"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const largeCapacity = 4 << 30 // bytes of capacity

// spillMany spills messages of 20 bytes to 1,000 destinations by turns, as many clients would. It returns the longest duration of a
// spill.
func spillMany(tb testing.TB, s *Spool, from, to int) (worst time.Duration) {
	tb.Helper()
	for i := from; i < to; i++ {
		m := &Message{ID: fmt.Sprintf("%016x", i), Class: "notice", Dst: int64(i % 1000), Expires: 1e15 + int64(i), Body: make([]byte, 20)}
		began := time.Now()
		if err := s.Spill(m); err != nil {
			tb.Fatal(err)
		}
		worst = max(worst, time.Since(began))
	}
	return worst
}

func heapSize() int64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// rssAnon returns the anonymous resident memory of the process in bytes.
func rssAnon(tb testing.TB) int64 {
	tb.Helper()
	data, err := os.ReadFile("/proc/self/status")
	require.NoError(tb, err)
	found := regexp.MustCompile(`RssAnon:\s+(\d+) kB`).FindSubmatch(data)
	require.NotNil(tb, found)
	kb, err := strconv.ParseInt(string(found[1]), 10, 64)
	require.NoError(tb, err)
	return kb << 10
}

// Ten times as many spilled messages cost few bytes more each. The newest segment's entries are bounded by its size, and sealed segments
// cost a bit for the slot, 20 for the filter, and 24 bytes for each destination in each.
func TestMemoryPerSpilledMessageIsBounded(t *testing.T) {
	const few, many, bound, aim = 20_000, 200_000, 16, 6
	s := openSmallSegments(t, t.TempDir(), largeCapacity, 2<<20)
	spillMany(t, s, 0, few)
	require.NoError(t, s.startSegment()) // excludes the entries of the newest segment
	before := heapSize()
	spillMany(t, s, few, many)
	require.NoError(t, s.startSegment())
	each := float64(heapSize()-before) / (many - few)
	t.Logf("%.2f bytes of heap a spilled message, in segments of 2 MiB with 1,000 destinations", each)
	require.Less(t, each, float64(bound))
	require.Less(t, each, float64(aim), "24 bytes for each of 1,000 destinations in 21,000 messages are 1.2 of it")
	runtime.KeepAlive(s)
}

// BenchmarkBacklog measures the cost of spilled messages (with -benchtime 3x it opens the folder three times, and reports the last
// duration). RAVENLINK_BACKLOG sets another number of messages.
func BenchmarkBacklog(b *testing.B) {
	counts := []int{10_000, 100_000, 1_000_000}
	if own, err := strconv.Atoi(os.Getenv("RAVENLINK_BACKLOG")); err == nil {
		counts = []int{own}
	}
	for _, count := range counts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			dir := b.TempDir()
			s, _, err := OpenBacklog(dir, largeCapacity)
			require.NoError(b, err)
			began := time.Now()
			b.ReportMetric(float64(spillMany(b, s, 0, count).Microseconds())/1000, "worst-spill-ms")
			spill := time.Since(began)
			require.NoError(b, s.Close())
			b.ReportMetric(float64(count)/spill.Seconds(), "spills/s")
			s = nil
			heapBefore, rssBefore := heapSize(), rssAnon(b)
			for range b.N {
				began = time.Now()
				s, _, err = OpenBacklog(dir, largeCapacity)
				require.NoError(b, err)
				b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "open-ms")
			}
			b.StopTimer()
			require.Equal(b, count, s.SpilledTotal())
			first := rssAnon(b) - rssBefore
			b.ReportMetric(float64(heapSize()-heapBefore)/(1<<20), "heap-MiB")
			b.ReportMetric(float64(rssAnon(b)-rssBefore)/(1<<20), "rss-MiB")
			b.ReportMetric(float64(first)/(1<<20), "rss-at-open-MiB")
			bytes := int64(0)
			for _, seg := range s.segments {
				bytes += seg.size
			}
			b.ReportMetric(float64(bytes)/float64(count), "segment-B/msg")
			b.ReportMetric(float64(s.usedBytes()-bytes)/float64(count), "index-B/msg")
			benchmarkLoads(b, s, 64)
			require.NoError(b, s.Close())
		})
	}
}

// benchmarkLoads loads a batch for each destination by turns, up to 100,000 messages, and looks up IDs.
func benchmarkLoads(b *testing.B, s *Spool, some int) {
	for i := range 20_000 { // verifies each index once
		s.Has(strconv.Itoa(i))
	}
	began, hits := time.Now(), 0
	for range 2000 {
		if s.Has("not there " + strconv.Itoa(hits)) {
			b.Fatal("found")
		}
		hits++
	}
	b.ReportMetric(float64(time.Since(began).Nanoseconds())/2000, "has-ns")
	began = time.Now()
	loaded := 0
	for loaded < 100_000 && s.SpilledTotal() > 0 {
		for _, dst := range s.SpilledDestinations() {
			ms, err := s.Load(dst, some)
			require.NoError(b, err)
			loaded += len(ms)
		}
	}
	b.ReportMetric(float64(loaded)/time.Since(began).Seconds(), "loads/s")
}

// BenchmarkOpenNewest opens a folder whose newest segment is nearly full and has no index, as after a kill.
func BenchmarkOpenNewest(b *testing.B) {
	dir := b.TempDir()
	s, _, err := OpenBacklog(dir, largeCapacity)
	require.NoError(b, err)
	spillMany(b, s, 0, 26_000)
	require.Len(b, s.segments, 1)
	for range b.N {
		b.StopTimer()
		next := b.TempDir()
		require.NoError(b, os.CopyFS(next, os.DirFS(dir)))
		b.StartTimer()
		again, _, err := OpenBacklog(next, largeCapacity)
		require.NoError(b, err)
		require.Equal(b, 26_000, again.SpilledTotal())
		_ = again.Close()
	}
}
