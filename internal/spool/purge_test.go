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

const secret = "what-acme-would-have-gone"

// residue counts the files of a folder in which a text stands anywhere, byte by byte.
func residue(t *testing.T, dir, text string) (n int) {
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

func of(dst int64, cut int64) func(*Message) bool {
	return func(m *Message) bool { return m.Dst == dst && m.Taken <= cut }
}

// filled is a spool with messages of tenants 1 and 2 over some segments: over, ended, owed by turns; and what 2 owes.
func filled(t *testing.T, dir string, room int64, count int) (s *Spool, ended []*Message, stays map[string]string) {
	s = open(t, dir, room)
	stays = map[string]string{}
	for i := range count {
		m := message(fmt.Sprintf("m%d", i), 0)
		m.Dst = int64(1 + i%2)
		m.Key, m.OrderKey = "key", "order"
		m.Body = fmt.Appendf(nil, "%d %d %s", i, m.Dst, bytes.Repeat([]byte("x"), 200))
		if m.Dst == 1 {
			m.Key, m.Body = secret, append(m.Body, secret...)
		}
		require.NoError(t, s.Take(m))
		switch {
		case m.Dst == 2 && i%10 == 1:
			stays[m.ID] = string(m.Body)
			require.NoError(t, s.Leg(m, Leg{SentAt: 5}))
		case m.Dst == 1 && i%50 == 0:
			require.NoError(t, s.End(m, false, 0))
			ended = append(ended, m)
		default:
			require.NoError(t, s.Over(m))
		}
	}
	return s, ended, stays
}

func owes(s *Spool, dst int64) map[string]string {
	all := map[string]string{}
	for _, m := range s.Owed() {
		if m.Dst == dst {
			all[m.ID] = string(m.Body)
		}
	}
	return all
}

func TestPurgeLeavesNoByteAndNothingElseIsLost(t *testing.T) {
	dir := t.TempDir()
	s, ended, stays := filled(t, dir, 256<<10, 500)
	require.Positive(t, residue(t, dir, secret))
	match := of(1, s.Fence(nil))
	newer := message("newer", 10)
	newer.Dst, newer.Body = 1, []byte("newer of acme")
	require.NoError(t, s.Take(newer))

	holds, err := s.Holds(match)
	require.NoError(t, err)
	require.Positive(t, holds, "the planted fault, to end messages without rewriting, is seen")
	p, err := s.Purge(match)
	require.NoError(t, err)
	assert.Positive(t, p.Segments)
	assert.Zero(t, residue(t, dir, secret))
	holds, err = s.Holds(match)
	require.NoError(t, err)
	assert.Zero(t, holds)
	assert.Equal(t, stays, owes(s, 2))

	again := open(t, dir, 256<<10)
	assert.Equal(t, stays, owes(again, 2))
	assert.Equal(t, "newer of acme", owes(again, 1)["newer"])
	_, left := again.Owing(match)
	assert.Equal(t, len(ended), left, "their notices are still owed, without body and keys")
	for _, m := range again.Owed() {
		assert.True(t, m.Dst != 1 || m.ID == "newer" || again.Stripped(m) && m.Key == "" && len(m.Body) == 0)
	}
	for _, m := range ended {
		require.NoError(t, s.Over(m))
	}
}

func TestPurgeRefusesWhatIsUnderWayOrUnreadable(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "000000000001.seg"), []byte("rvlsp9\n"+secret), 0o600))
	s := open(t, dir, plenty)
	_, err := s.Purge(of(1, 1<<62))
	require.ErrorIs(t, err, ErrStrange)
	n, _ := s.Holds(of(1, 1<<62))
	assert.Positive(t, n)

	s = open(t, t.TempDir(), plenty)
	m := message("a", 10)
	require.NoError(t, s.Take(m))
	_, err = s.Purge(of(7, m.Taken))
	require.ErrorIs(t, err, ErrOwed)
	old := message("again", 10)
	old.Taken = m.Taken
	s.Fence(of(7, m.Taken))
	require.ErrorIs(t, s.Take(old), ErrFenced, "what was kept from before is not sent again")
	require.NoError(t, s.Take(message("b", 10)))
}

func TestMarksGrowOverRestarts(t *testing.T) {
	dir, last := t.TempDir(), int64(0)
	for i := range 5 {
		s := open(t, dir, plenty)
		assert.GreaterOrEqual(t, s.Fence(nil), last)
		m := message(fmt.Sprint(i), 10)
		require.NoError(t, s.Take(m))
		assert.Greater(t, m.Taken, last)
		last = s.Fence(nil)
		assert.Equal(t, last, m.Taken)
		require.NoError(t, s.Over(m))
	}
}

func TestTornTailIsNoRefuge(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := filled(t, dir, plenty, 20)
	name := s.path(s.now())
	require.NoError(t, s.Close())
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(name, append(data, "torn "+secret+secret...), 0o600))
	s = open(t, dir, plenty)
	_, err = s.Purge(of(1, s.Fence(nil)))
	require.NoError(t, err)
	assert.Zero(t, residue(t, dir, secret))
}

// A crash at any point of a purge: what is owed stays owed, and a further purge ends the work.
func TestPurgeCutAtEveryStep(t *testing.T) {
	dir := t.TempDir()
	s, _, stays := filled(t, dir, 128<<10, 300)
	match := of(1, s.Fence(nil))
	check := func() {
		t.Helper()
		torn := t.TempDir()
		require.NoError(t, os.CopyFS(torn, os.DirFS(dir)))
		again := open(t, torn, 128<<10)
		require.Equal(t, stays, owes(again, 2))
		_, err := again.Purge(match)
		require.NoError(t, err)
		require.Zero(t, residue(t, torn, secret))
		require.Equal(t, stays, owes(again, 2))
		require.Equal(t, stays, owes(open(t, torn, 128<<10), 2))
	}
	require.NoError(t, s.strip(match))
	last, _, err := s.newestWith(match)
	require.NoError(t, err)
	for more := true; more; {
		check()
		if s.now().number > last && s.order[0].number <= last { // between copy and removal
			require.True(t, s.forward(s.order[0]))
			check()
		}
		more, _, err = s.removeUpTo(last)
		require.NoError(t, err)
	}
	assert.Zero(t, residue(t, dir, secret))
}

func TestPurgeWithoutRoomNamesItAndIsRepeated(t *testing.T) {
	dir := t.TempDir()
	s, _, stays := filled(t, dir, 128<<10, 300)
	match, room := of(1, s.Fence(nil)), s.room
	s.room = 1024
	_, err := s.Purge(match)
	require.ErrorIs(t, err, ErrFull)
	require.Equal(t, stays, owes(s, 2))
	s.room = room
	_, err = s.Purge(match)
	require.NoError(t, err)
	assert.Zero(t, residue(t, dir, secret))
	assert.Equal(t, stays, owes(s, 2))
}

// BenchmarkPurge tells what a purge costs beside writing the same messages, and what it copies.
func BenchmarkPurge(b *testing.B) {
	for _, owed := range []int{0, 10, 50} { // hundredths of the messages that stay owed
		b.Run(fmt.Sprint(owed), func(b *testing.B) {
			var wrote, purged time.Duration
			var bytesIn, copied int64
			for range b.N {
				s, _, _ := Open(b.TempDir(), 64<<20)
				began := time.Now()
				for i := range 20000 {
					m := &Message{ID: fmt.Sprint(i), Lane: "l", Dst: int64(1 + i%2), Expires: 1e15, Body: make([]byte, 900)}
					_ = s.Take(m)
					bytesIn += 960
					if i%2 == 0 || i%100 >= 2*owed {
						_ = s.Over(m)
					}
				}
				wrote += time.Since(began)
				began = time.Now()
				p, err := s.Purge(of(1, s.Fence(nil)))
				if err != nil {
					b.Fatal(err)
				}
				purged += time.Since(began)
				copied += p.Copied
				_ = s.Close()
			}
			b.ReportMetric(float64(purged)/float64(wrote), "purge/write")
			b.ReportMetric(float64(copied)/float64(bytesIn), "copied/byte")
		})
	}
}
