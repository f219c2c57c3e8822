package spool

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// resting is a spool with messages of tenants 1 and 2, most of them spilled over some segments, some over, some with their notice owed.
func resting(t *testing.T, dir string, count int) (*Spool, *model) {
	t.Helper()
	s, w := small(t, dir, plenty, 4<<10), newModel()
	for i := range count {
		m := addressed(fmt.Sprint("m", i), int64(1+i%2), 60)
		if m.Dst == 1 {
			m.Key, m.OrderKey, m.Body = secret, secret, fmt.Appendf(nil, "%d %s", i, secret)
		}
		if i%5 < 3 {
			require.NoError(t, s.Spill(m))
			w.spilled[m.ID] = plain(m)
			continue
		}
		require.NoError(t, s.Take(m))
		require.NoError(t, s.Leg(m, Leg{SentAt: 5}))
		if i%5 == 3 {
			require.NoError(t, s.Over(m))
			continue
		}
		if m.Dst == 1 {
			require.NoError(t, s.End(m, false, 0))
		}
		w.working[m.ID] = m
	}
	return s, w
}

func TestPurgeWaitsForWhatIsSpilledAndLeavesNoByte(t *testing.T) {
	dir := t.TempDir()
	s, w := resting(t, dir, 300)
	match := of(1, s.Fence(nil))
	newer := addressed("newer", 1, 9)
	require.NoError(t, s.Spill(newer))
	w.spilled[newer.ID] = plain(newer)

	open, ended := s.Owing(match)
	assert.Len(t, open, 90)
	assert.Equal(t, 30, ended)
	_, err := s.Purge(match)
	require.ErrorIs(t, err, ErrOwed)
	w.check(t, s)
	for {
		ms, err := s.LoadMatching(match, 25)
		require.NoError(t, err)
		if len(ms) == 0 {
			break
		}
		w.loaded(t, ms)
		for _, m := range ms {
			require.NoError(t, s.Over(m))
			delete(w.working, m.ID)
		}
	}
	open, _ = s.Owing(match)
	assert.Empty(t, open)
	holds, err := s.Holds(match)
	require.NoError(t, err)
	assert.Positive(t, holds)
	_, err = s.Purge(match)
	require.NoError(t, err)
	assert.Zero(t, residue(t, dir, secret))
	holds, err = s.Holds(match)
	require.NoError(t, err)
	assert.Zero(t, holds)
	w.check(t, s)
	for _, m := range w.working {
		m.Bare = s.Stripped(m)
		if m.Bare {
			m.Key, m.OrderKey, m.Body = "", "", nil
		}
	}
	same(t, w.all(), owedIn(t, copied(t, dir), plenty), "after the purge")
	indexes := indexesOf(t, dir)
	for _, name := range indexes {
		require.FileExists(t, name[:len(name)-len(indexExtension)]+extension)
	}
}

// Nothing is purged while a segment with spilled messages cannot be read, for it may hold some that match.
func TestPurgeFailsWhileSpilledOnesCannotBeRead(t *testing.T) {
	dir := t.TempDir()
	s, _ := resting(t, dir, 100)
	name, aside := filepath.Join(dir, "000000000001.seg"), filepath.Join(t.TempDir(), "aside")
	require.NoError(t, os.Rename(name, aside))
	require.NoError(t, os.Mkdir(name, 0o700))
	_, err := s.Purge(of(99, never))
	require.ErrorIs(t, err, ErrStrange)
	require.NoError(t, os.Remove(name))
	require.NoError(t, os.Rename(aside, name))
	_, err = s.Purge(of(99, never))
	require.NoError(t, err)
}

// All at once under the race detector: what was spilled is drawn once, and what is counted meanwhile is never above what there was.
func TestAllCallsAtOnce(t *testing.T) {
	const each = 300
	s := small(t, t.TempDir(), 8<<20, 8<<10)
	var spill, look sync.WaitGroup
	for p := range 3 {
		spill.Add(1)
		go func() {
			defer spill.Done()
			for i := range each {
				m := addressed(fmt.Sprintf("p%d-%d", p, i), int64(i%4), 50)
				assert.NoError(t, s.Spill(m))
			}
		}()
	}
	var mu sync.Mutex
	got, done := map[string]bool{}, make(chan struct{})
	take := func(ms []*Message, err error) {
		assert.NoError(t, err)
		mu.Lock()
		defer mu.Unlock()
		for _, m := range ms {
			assert.False(t, got[m.ID], "drawn once")
			got[m.ID] = true
			assert.NoError(t, s.Over(m))
		}
	}
	for _, call := range []func(){
		func() { take(s.Load(1, 5)) },
		func() { take(s.Load(2, 50)) },
		func() { take(s.LoadDue(1e15+6, 4)) },
		func() { take(s.LoadMatching(func(m *Message) bool { return m.Dst == 3 }, 10)) },
		func() {
			open, _ := s.Owing(func(*Message) bool { return true })
			assert.LessOrEqual(t, len(open), 3*each)
			s.Has("p1-7")
			s.SpilledTo()
			s.NextDue()
		},
	} {
		look.Add(1)
		go func() {
			defer look.Done()
			for {
				call()
				select {
				case <-done:
					return
				default:
				}
			}
		}()
	}
	spill.Wait()
	close(done)
	look.Wait()
	for _, dst := range s.SpilledTo() {
		take(s.Load(dst, 3*each))
	}
	require.Len(t, got, 3*each)
	require.Zero(t, s.SpilledAll())
	require.Empty(t, s.Owed())
}
