package spool

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const secretText = "what-acme-would-have-gone"

// filesContaining counts the files of a folder that contain a text anywhere.
func filesContaining(t *testing.T, dir, text string) (n int) {
	t.Helper()
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, f := range files {
		data, err := os.ReadFile(filepath.Join(dir, f.Name()))
		require.NoError(t, err)
		if bytes.Contains(data, []byte(text)) {
			n++
		}
	}
	return n
}

func olderThan(dst int64, cut int64) func(*Message) bool {
	return func(m *Message) bool { return m.Dst == dst && m.AcceptSeq <= cut }
}

// populateSegments fills several segments with messages of destinations 1 and 2: completed, ended or pending by turns. It returns what is
// pending for 2.
func populateSegments(t *testing.T, dir string, capacity int64, count int) (s *Spool, ended []*Message, remaining map[string]string) {
	s = openSpool(t, dir, capacity)
	remaining = map[string]string{}
	for i := range count {
		m := newMessage(fmt.Sprintf("m%d", i), 0)
		m.Dst = int64(1 + i%2)
		m.Key, m.OrderKey = "key", "order"
		m.Body = fmt.Appendf(nil, "%d %d %s", i, m.Dst, bytes.Repeat([]byte("x"), 200))
		if m.Dst == 1 {
			m.Key, m.Body = secretText, append(m.Body, secretText...)
		}
		require.NoError(t, s.Accept(m))
		switch {
		case m.Dst == 2 && i%10 == 1:
			remaining[m.ID] = string(m.Body)
			require.NoError(t, s.AddLeg(m, Leg{SentAt: 5}))
		case m.Dst == 1 && i%50 == 0:
			require.NoError(t, s.MarkUndelivered(m, false, 0))
			ended = append(ended, m)
		default:
			require.NoError(t, s.Complete(m))
		}
	}
	return s, ended, remaining
}

func pendingBodies(s *Spool, dst int64) map[string]string {
	all := map[string]string{}
	for _, m := range s.Pending() {
		if m.Dst == dst {
			all[m.ID] = string(m.Body)
		}
	}
	return all
}

func TestPurgeErasesAllMatchingData(t *testing.T) {
	dir := t.TempDir()
	s, ended, remaining := populateSegments(t, dir, 256<<10, 500)
	require.Positive(t, filesContaining(t, dir, secretText))
	match := olderThan(1, s.Fence(nil))
	newer := newMessage("newer", 10)
	newer.Dst, newer.Body = 1, []byte("newer of acme")
	require.NoError(t, s.Accept(newer))

	count, err := s.CountMatching(match)
	require.NoError(t, err)
	require.Positive(t, count, "completing messages without rewriting segments leaves data behind")
	p, err := s.Purge(match)
	require.NoError(t, err)
	assert.Positive(t, p.Segments)
	assert.Zero(t, filesContaining(t, dir, secretText))
	count, err = s.CountMatching(match)
	require.NoError(t, err)
	assert.Zero(t, count)
	assert.Equal(t, remaining, pendingBodies(s, 2))

	again := openSpool(t, dir, 256<<10)
	assert.Equal(t, remaining, pendingBodies(again, 2))
	assert.Equal(t, "newer of acme", pendingBodies(again, 1)["newer"])
	_, left := again.PendingMatching(match)
	assert.Equal(t, len(ended), left, "their notices are still pending, without body and keys")
	for _, m := range again.Pending() {
		assert.True(t, m.Dst != 1 || m.ID == "newer" || again.IsErased(m) && m.Key == "" && len(m.Body) == 0)
	}
	for _, m := range ended {
		require.NoError(t, s.Complete(m))
	}
}

func TestPurgeRefusesPendingOrUnreadable(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "000000000001.seg"), []byte("rvlsp9\n"+secretText), 0o600))
	s := openSpool(t, dir, testCapacity)
	_, err := s.Purge(olderThan(1, 1<<62))
	require.ErrorIs(t, err, ErrUnreadable)
	n, _ := s.CountMatching(olderThan(1, 1<<62))
	assert.Positive(t, n)

	s = openSpool(t, t.TempDir(), testCapacity)
	m := newMessage("a", 10)
	require.NoError(t, s.Accept(m))
	_, err = s.Purge(olderThan(7, m.AcceptSeq))
	require.ErrorIs(t, err, ErrPending)
	old := newMessage("again", 10)
	old.AcceptSeq = m.AcceptSeq
	s.Fence(olderThan(7, m.AcceptSeq))
	require.ErrorIs(t, s.Accept(old), ErrFenced, "dead letters from before the purge are not sent again")
	require.NoError(t, s.Accept(newMessage("b", 10)))
}

func TestAcceptSeqGrowsAcrossRestarts(t *testing.T) {
	dir, last := t.TempDir(), int64(0)
	for i := range 5 {
		s := openSpool(t, dir, testCapacity)
		assert.GreaterOrEqual(t, s.Fence(nil), last)
		m := newMessage(fmt.Sprint(i), 10)
		require.NoError(t, s.Accept(m))
		assert.Greater(t, m.AcceptSeq, last)
		last = s.Fence(nil)
		assert.Equal(t, last, m.AcceptSeq)
		require.NoError(t, s.Complete(m))
	}
}

func TestPurgeErasesTornTail(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := populateSegments(t, dir, testCapacity, 20)
	name := s.segmentPath(s.newestSegment())
	require.NoError(t, s.Close())
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(name, append(data, "torn "+secretText+secretText...), 0o600))
	s = openSpool(t, dir, testCapacity)
	_, err = s.Purge(olderThan(1, s.Fence(nil)))
	require.NoError(t, err)
	assert.Zero(t, filesContaining(t, dir, secretText))
}

// A crash at any point of a purge leaves pending messages pending, and another purge completes the work.
func TestPurgeSurvivesKillAtEachStep(t *testing.T) {
	dir := t.TempDir()
	s, _, remaining := populateSegments(t, dir, 128<<10, 300)
	match := olderThan(1, s.Fence(nil))
	check := func() {
		t.Helper()
		torn := t.TempDir()
		require.NoError(t, os.CopyFS(torn, os.DirFS(dir)))
		again := openSpool(t, torn, 128<<10)
		require.Equal(t, remaining, pendingBodies(again, 2))
		_, err := again.Purge(match)
		require.NoError(t, err)
		require.Zero(t, filesContaining(t, torn, secretText))
		require.Equal(t, remaining, pendingBodies(again, 2))
		require.Equal(t, remaining, pendingBodies(openSpool(t, torn, 128<<10), 2))
	}
	require.NoError(t, s.markErased(match))
	last, _, err := s.newestMatchingSegment(match)
	require.NoError(t, err)
	for more := true; more; {
		check()
		if s.newestSegment().number > last && s.segments[0].number <= last { // between copy and removal
			require.True(t, s.copyForward(s.segments[0]))
			check()
		}
		more, _, err = s.removeUpTo(last)
		require.NoError(t, err)
	}
	assert.Zero(t, filesContaining(t, dir, secretText))
}

func TestPurgeWithoutSpaceFailsAndCanBeRepeated(t *testing.T) {
	dir := t.TempDir()
	s, _, remaining := populateSegments(t, dir, 128<<10, 300)
	match, capacity := olderThan(1, s.Fence(nil)), s.capacity
	s.capacity = 1024
	_, err := s.Purge(match)
	require.ErrorIs(t, err, ErrFull)
	require.Equal(t, remaining, pendingBodies(s, 2))
	s.capacity = capacity
	_, err = s.Purge(match)
	require.NoError(t, err)
	assert.Zero(t, filesContaining(t, dir, secretText))
	assert.Equal(t, remaining, pendingBodies(s, 2))
}

// BenchmarkPurge measures the duration of a purge relative to writing the same messages, and the bytes copied.
func BenchmarkPurge(b *testing.B) {
	for _, pending := range []int{0, 10, 50} { // percentage of messages that stay pending
		b.Run(fmt.Sprint(pending), func(b *testing.B) {
			var wrote, purged time.Duration
			var bytesIn, copied int64
			for range b.N {
				s, _, _ := Open(b.TempDir(), 64<<20)
				began := time.Now()
				for i := range 20000 {
					m := &Message{ID: fmt.Sprint(i), Class: "l", Dst: int64(1 + i%2), Expires: 1e15, Body: make([]byte, 900)}
					_ = s.Accept(m)
					bytesIn += 960
					if i%2 == 0 || i%100 >= 2*pending {
						_ = s.Complete(m)
					}
				}
				wrote += time.Since(began)
				began = time.Now()
				p, err := s.Purge(olderThan(1, s.Fence(nil)))
				if err != nil {
					b.Fatal(err)
				}
				purged += time.Since(began)
				copied += p.BytesCopied
				_ = s.Close()
			}
			b.ReportMetric(float64(purged)/float64(wrote), "purge/write")
			b.ReportMetric(float64(copied)/float64(bytesIn), "copied/byte")
		})
	}
}
