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

// populateTenants returns a spool with messages of destinations 1 and 2: most spilled over several segments, some completed, some with
// their notice pending.
func populateTenants(t *testing.T, dir string, count int) (*Spool, *model) {
	t.Helper()
	s, w := openSmallSegments(t, dir, testCapacity, 4<<10), newModel()
	for i := range count {
		m := newMessageTo(fmt.Sprint("m", i), int64(1+i%2), 60)
		if m.Dst == 1 {
			m.Key, m.OrderKey, m.Body = secretText, secretText, fmt.Appendf(nil, "%d %s", i, secretText)
		}
		if i%5 < 3 {
			require.NoError(t, s.Spill(m))
			w.spilled[m.ID] = persistentFields(m)
			continue
		}
		require.NoError(t, s.Accept(m))
		require.NoError(t, s.AddLeg(m, Leg{SentAt: 5}))
		if i%5 == 3 {
			require.NoError(t, s.Complete(m))
			continue
		}
		if m.Dst == 1 {
			require.NoError(t, s.MarkUndelivered(m, false, 0))
		}
		w.active[m.ID] = m
	}
	return s, w
}

func TestPurgeErasesSpilledMessagesOnceComplete(t *testing.T) {
	dir := t.TempDir()
	s, w := populateTenants(t, dir, 300)
	match := olderThan(1, s.Fence(nil))
	newer := newMessageTo("newer", 1, 9)
	require.NoError(t, s.Spill(newer))
	w.spilled[newer.ID] = persistentFields(newer)

	open, ended := s.PendingMatching(match)
	assert.Len(t, open, 90)
	assert.Equal(t, 30, ended)
	_, err := s.Purge(match)
	require.ErrorIs(t, err, ErrPending)
	w.check(t, s)
	for {
		ms, err := s.LoadMatching(match, 25)
		require.NoError(t, err)
		if len(ms) == 0 {
			break
		}
		w.loaded(t, ms)
		for _, m := range ms {
			require.NoError(t, s.Complete(m))
			delete(w.active, m.ID)
		}
	}
	open, _ = s.PendingMatching(match)
	assert.Empty(t, open)
	count, err := s.CountMatching(match)
	require.NoError(t, err)
	assert.Positive(t, count)
	_, err = s.Purge(match)
	require.NoError(t, err)
	assert.Zero(t, filesContaining(t, dir, secretText))
	count, err = s.CountMatching(match)
	require.NoError(t, err)
	assert.Zero(t, count)
	w.check(t, s)
	for _, m := range w.active {
		m.Erased = s.IsErased(m)
		if m.Erased {
			m.Key, m.OrderKey, m.Body = "", "", nil
		}
	}
	requireSame(t, w.all(), pendingIn(t, copyFolder(t, dir), testCapacity), "after the purge")
	indexes := indexesOf(t, dir)
	for _, name := range indexes {
		require.FileExists(t, name[:len(name)-len(indexExtension)]+segmentExtension)
	}
}

// Purge fails while a segment with spilled messages cannot be read, since it may hold matching ones.
func TestPurgeFailsWhileSpilledMessagesAreUnreadable(t *testing.T) {
	dir := t.TempDir()
	s, _ := populateTenants(t, dir, 100)
	name, moved := filepath.Join(dir, "000000000001.seg"), filepath.Join(t.TempDir(), "moved")
	require.NoError(t, os.Rename(name, moved))
	require.NoError(t, os.Mkdir(name, 0o700))
	_, err := s.Purge(olderThan(99, noExpiry))
	require.ErrorIs(t, err, ErrUnreadable)
	require.NoError(t, os.Remove(name))
	require.NoError(t, os.Rename(moved, name))
	_, err = s.Purge(olderThan(99, noExpiry))
	require.NoError(t, err)
}

// Concurrent calls under the race detector: each spilled message is loaded exactly once, and counts never exceed the number of messages.
func TestConcurrentCalls(t *testing.T) {
	const each = 300
	s := openSmallSegments(t, t.TempDir(), 8<<20, 8<<10)
	var spill, look sync.WaitGroup
	for p := range 3 {
		spill.Add(1)
		go func() {
			defer spill.Done()
			for i := range each {
				m := newMessageTo(fmt.Sprintf("p%d-%d", p, i), int64(i%4), 50)
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
			assert.False(t, got[m.ID], "loaded once")
			got[m.ID] = true
			assert.NoError(t, s.Complete(m))
		}
	}
	for _, call := range []func(){
		func() { take(s.Load(1, 5)) },
		func() { take(s.Load(2, 50)) },
		func() { take(s.LoadExpiring(1e15+6, 4)) },
		func() { take(s.LoadMatching(func(m *Message) bool { return m.Dst == 3 }, 10)) },
		func() {
			open, _ := s.PendingMatching(func(*Message) bool { return true })
			assert.LessOrEqual(t, len(open), 3*each)
			s.Has("p1-7")
			s.SpilledDestinations()
			s.NextExpiry()
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
	for _, dst := range s.SpilledDestinations() {
		take(s.Load(dst, 3*each))
	}
	require.Len(t, got, 3*each)
	require.Zero(t, s.SpilledTotal())
	require.Empty(t, s.Pending())
}
