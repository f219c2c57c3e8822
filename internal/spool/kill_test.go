package spool

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

// pendingIn returns all pending messages of a folder after a kill. It uses several load methods, so that none may return a message twice.
func pendingIn(t *testing.T, dir string, capacity int64) map[string]Message {
	t.Helper()
	s := openWithBacklog(t, dir, capacity)
	got := map[string]Message{}
	add := func(ms []*Message, err error) {
		require.NoError(t, err)
		for _, m := range ms {
			require.NotContains(t, got, m.ID, "pending once")
			got[m.ID] = persistentFields(m)
		}
	}
	add(s.Pending(), nil)
	count := s.SpilledTotal()
	add(s.LoadExpiring(int64(1e15)+100, 1000))
	for _, dst := range s.SpilledDestinations() {
		add(s.Load(dst, 1000))
	}
	require.Zero(t, s.SpilledTotal())
	require.GreaterOrEqual(t, len(got), count)
	require.Len(t, s.Pending(), len(got))
	require.NoError(t, s.Close())
	return got
}

// crashRecorder copies the folder at each step at which a process may be killed.
type crashRecorder struct {
	t         *testing.T
	dir       string
	snapshots []string
}

func (c *crashRecorder) snapshot() { c.snapshots = append(c.snapshots, copyFolder(c.t, c.dir)) }

// verify requires each copy to hold the messages pending before or after the operation, and never those before once a copy held others.
func (c *crashRecorder) verify(capacity int64, before, after map[string]Message, what string) {
	c.t.Helper()
	past := false
	for i, snapshot := range c.snapshots {
		got := pendingIn(c.t, snapshot, capacity)
		if !past && !reflect.DeepEqual(before, got) {
			past = true
		}
		if past {
			requireSame(c.t, after, got, "killed at step %d of %s", i, what)
		}
		require.NoError(c.t, os.RemoveAll(snapshot))
	}
	c.snapshots = nil
}

// Simulates a kill at each record, rename and removal of random operations, including restarts. The newest segment is also truncated at
// each byte.
func TestKillAtEachStepKeepsRecordedState(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			const capacity = 24 << 10
			r := rand.New(rand.NewPCG(seed, 7))
			recorder := &crashRecorder{t: t, dir: t.TempDir()}
			expected, steps, moved := newModel(), 0, 0
			b := newBacklog()
			b.maxSegment = 1 << 10
			s, _, err := openBacklog(recorder.dir, capacity, b)
			require.NoError(t, err)
			for i := range 220 {
				before := expected.all()
				b.crashPoint = recorder.snapshot
				if i%50 == 49 {
					moved += b.copied
					next := newBacklog()
					next.crashPoint, next.maxSegment = recorder.snapshot, b.maxSegment
					s, _, err = openBacklog(recorder.dir, capacity, next) // without a Close before: simulates a kill
					require.NoError(t, err)
					b.crashPoint, b = func() {}, next
					expected.restart(t, s)
				} else {
					oldest, at, size := s.segments[0], s.newestSegment(), s.newestSegment().size
					expected.randomOperation(t, s, r, i)
					if oldest == s.segments[0] && at == s.newestSegment() && i%16 == 0 { // removed files were copied before
						recorder.snapshotTruncations(s, size)
					}
				}
				b.crashPoint = func() {}
				steps += len(recorder.snapshots)
				recorder.verify(capacity, before, expected.all(), fmt.Sprint("operation ", i))
			}
			moved += b.copied
			t.Logf("%d steps; %d spilled messages copied forward; oldest segment %d of %d", steps, moved, s.segments[0].number, s.lastNumber)
			require.Greater(t, steps, 200)
			require.Positive(t, moved, "spilled messages are copied forward")
			require.Greater(t, s.segments[0].number, int64(1), "segments are removed")
		})
	}
}

// snapshotTruncations adds copies with the newest segment truncated at each byte from a size on.
func (c *crashRecorder) snapshotTruncations(s *Spool, from int64) {
	data, err := os.ReadFile(s.segmentPath(s.newestSegment()))
	require.NoError(c.t, err)
	snapshots := c.snapshots
	c.snapshots = nil
	for cut := from; cut < int64(len(data)); cut++ {
		snapshot := copyFolder(c.t, c.dir)
		require.NoError(c.t, os.WriteFile(filepath.Join(snapshot, filepath.Base(s.segmentPath(s.newestSegment()))), data[:cut], 0o600))
		c.snapshots = append(c.snapshots, snapshot)
	}
	c.snapshots = append(c.snapshots, snapshots...)
}

// Simulates a kill at each step of a start that rebuilds all indexes, and a start after it.
func TestKillWhileRebuildingIndexes(t *testing.T) {
	const capacity = 64 << 10
	dir := t.TempDir()
	w := populateRandom(t, dir, capacity, 3)
	indexes, err := filepath.Glob(filepath.Join(dir, "*"+indexExtension))
	require.NoError(t, err)
	require.Greater(t, len(indexes), 3)
	for _, name := range indexes {
		require.NoError(t, os.Remove(name))
	}
	recorder := &crashRecorder{t: t, dir: dir}
	b := newBacklog()
	b.crashPoint = recorder.snapshot
	s, notes, err := openBacklog(dir, capacity, b)
	require.NoError(t, err)
	require.Empty(t, notes)
	require.NoError(t, s.Close())
	require.GreaterOrEqual(t, len(recorder.snapshots), 3*len(indexes), "three steps per index")
	recorder.verify(capacity, w.all(), w.all(), "a start")
	requireSame(t, w.all(), pendingIn(t, dir, capacity), "finally")
}

// populateRandom fills a folder by 300 random operations, without closing it.
func populateRandom(t *testing.T, dir string, capacity int64, seed uint64) *model {
	t.Helper()
	r, w := rand.New(rand.NewPCG(seed, 11)), newModel()
	s := openSmallSegments(t, dir, capacity, 2<<10)
	for i := range 300 {
		w.randomOperation(t, s, r, i)
	}
	return w
}
