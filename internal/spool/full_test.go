package spool

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Every write operation of the backlog fails once on a full disk: nothing changes, also not for a restart after a kill, and the retry
// succeeds.
func TestFullDiskLeavesStateUnchanged(t *testing.T) {
	dir := t.TempDir()
	s, w := openSmallSegments(t, dir, testCapacity, 700), newModel()
	for i := range 20 {
		m := newMessageTo(fmt.Sprint("m", i), 1, 40)
		m.Expires = 1e15 + int64(i)
		require.NoError(t, s.Spill(m))
		w.spilled[m.ID], w.released[m.ID] = persistentFields(m), m
	}
	active := newMessageTo("active", 2, 9)
	require.NoError(t, s.Accept(active))
	require.NoError(t, s.AddLeg(active, Leg{SentAt: 3}))
	w.active[active.ID] = active
	unsent := newMessageTo("unsent", 2, 9)
	load := func(ms []*Message, err error) error {
		if err == nil {
			require.NotEmpty(t, ms)
			w.loaded(t, ms)
		}
		require.Equal(t, err != nil, len(ms) == 0)
		return err
	}
	for name, write := range map[string]func() error{
		"new": func() error {
			err := s.Spill(unsent)
			if err == nil {
				w.spilled[unsent.ID] = persistentFields(unsent)
			}
			return err
		},
		"active": func() error {
			err := s.Spill(active)
			if err == nil {
				w.spilled[active.ID] = persistentFields(active)
				delete(w.active, active.ID)
			}
			return err
		},
		"load":     func() error { return load(s.Load(1, 3)) },
		"expiring": func() error { return load(s.LoadExpiring(1e15+9, 3)) },
		"matching": func() error { return load(s.LoadMatching(func(m *Message) bool { return m.ID > "m12" }, 2)) },
		"complete": func() error {
			err := s.Complete(w.released["m19"])
			if err == nil {
				delete(w.spilled, "m19")
				delete(w.active, "m19")
			}
			return err
		},
	} {
		failNextWrite(t, s)
		require.Error(t, write(), name)
		w.check(t, s)
		requireSame(t, w.all(), pendingIn(t, copyFolder(t, dir), testCapacity), "%s failed", name)
		require.NoError(t, write(), name)
		w.check(t, s)
		requireSame(t, w.all(), pendingIn(t, copyFolder(t, dir), testCapacity), "%s succeeded", name)
	}
}

// An index that cannot be written or renamed stays in memory: it is read there, the number of such indexes is bounded, and they are
// written later.
func TestUnwritableIndexIsHeldInMemory(t *testing.T) {
	failed := func(string, string) error { return syscall.ENOSPC }
	for name, fail := range map[string]func(b *backlog){
		"write": func(b *backlog) {
			b.writeFile = func(name string, data []byte) error {
				_ = os.WriteFile(name, data[:len(data)/2], 0o600) // a partial write
				return syscall.ENOSPC
			}
		},
		"rename": func(b *backlog) { b.rename = failed },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			b := newBacklog()
			b.maxSegment = 1 << 10
			original := *b
			fail(b)
			s, _, err := openBacklog(dir, testCapacity, b)
			require.NoError(t, err)
			w := newModel()
			for i := 0; ; i++ {
				m := newMessageTo(fmt.Sprint("m", i), int64(i%3), 40)
				if err = s.Spill(m); err != nil {
					require.ErrorIs(t, s.Accept(newMessageTo("refused", 1, 1)), ErrFull)
					break
				}
				w.spilled[m.ID] = persistentFields(m)
			}
			require.ErrorIs(t, err, ErrFull)
			require.Equal(t, maxUnwrittenIndexes, s.backlog.unwritten)
			require.Empty(t, indexesOf(t, dir))
			w.check(t, s)
			requireSame(t, w.all(), pendingIn(t, copyFolder(t, dir), testCapacity), "killed")
			ms, err := s.Load(1, 4)
			require.NoError(t, err)
			require.Equal(t, w.oldest(1, 4), idsOf(ms))
			w.loaded(t, ms)
			require.NoError(t, s.Complete(ms[0]))
			delete(w.active, ms[0].ID)

			b.writeFile, b.rename = original.writeFile, original.rename
			m := newMessageTo("after", 1, 1)
			require.NoError(t, s.Spill(m))
			w.spilled[m.ID] = persistentFields(m)
			require.Zero(t, s.backlog.unwritten)
			require.Len(t, indexesOf(t, dir), maxUnwrittenIndexes)
			w.check(t, s)
			requireSame(t, w.all(), pendingIn(t, dir, testCapacity), "finally")
		})
	}
}

// A start that cannot write any index works without them, and the next start creates them.
func TestStartWithoutSpaceForIndexes(t *testing.T) {
	dir := t.TempDir()
	want := populateSealed(t, dir, testCapacity, 40)
	for _, name := range indexesOf(t, dir) {
		require.NoError(t, os.Remove(name))
	}
	b := newBacklog()
	b.writeFile = func(string, []byte) error { return syscall.ENOSPC }
	s, _, err := openBacklog(dir, testCapacity, b)
	require.NoError(t, err)
	got, damage := loadEverything(t, s)
	require.Empty(t, damage)
	requireSame(t, want, got, "without indexes")
	require.NoError(t, s.Close())
	requireSame(t, want, pendingIn(t, dir, testCapacity), "the next start")
	require.NotEmpty(t, indexesOf(t, dir))
}

// Fills the capacity with spilled messages until one is refused. All of them can still get legs and complete, and the space is reclaimed.
func TestFullSpoolCanCompleteAllMessages(t *testing.T) {
	const capacity = 64 << 10
	dir := t.TempDir()
	s := openWithBacklog(t, dir, capacity)
	count := 0
	for ; ; count++ {
		if err := s.Spill(newMessageTo(fmt.Sprint("m", count), 1, 30)); err != nil {
			require.ErrorIs(t, err, ErrFull)
			break
		}
	}
	require.Greater(t, count, 100)
	require.ErrorIs(t, s.Accept(newMessage("refused", 30)), ErrFull)
	require.LessOrEqual(t, folderSize(t, dir), int64(capacity))
	require.Equal(t, count, s.SpilledTotal())
	for ended := 0; ended < count; {
		ms, err := s.Load(1, 7)
		require.NoError(t, err)
		require.NotEmpty(t, ms)
		for _, m := range ms {
			require.NoError(t, s.AddLeg(m, Leg{SentAt: 1}))
			require.NoError(t, s.Complete(m))
		}
		ended += len(ms)
		require.LessOrEqual(t, folderSize(t, dir), int64(capacity))
	}
	require.NoError(t, s.Spill(newMessageTo("again", 1, 30)))
	require.Len(t, pendingIn(t, dir, capacity), 1)
}

func TestTooManyOrderKeysAreRefused(t *testing.T) {
	b := newBacklog()
	b.maxKeys = 2
	s, _, err := openBacklog(t.TempDir(), testCapacity, b)
	require.NoError(t, err)
	key := func(id, key string) *Message {
		m := newMessageTo(id, 1, 3)
		m.OrderKey = key
		return m
	}
	require.NoError(t, s.Spill(key("a", "x")))
	require.NoError(t, s.Spill(key("b", "y")))
	refused := key("c", "z")
	require.ErrorIs(t, s.Spill(refused), ErrTooManyKeys)
	require.False(t, s.Has("c"))
	require.NoError(t, s.Spill(key("d", "x")), "a known key")
	require.NoError(t, s.Spill(key("e", "")), "no key")
	ms, err := s.Load(1, 2)
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, idsOf(ms))
	require.NoError(t, s.Spill(refused), "there is space for a key again")
	require.ErrorIs(t, s.Spill(key("d", "x")), ErrDuplicate)
	require.ErrorIs(t, s.Accept(key("d", "x")), ErrDuplicate)
	spilled, elsewhere := s.HasSpilledKey("x", 1)
	require.True(t, spilled && !elsewhere)
	_, elsewhere = s.HasSpilledKey("x", 2)
	require.True(t, elsewhere)
	s.DisableKeyCounts()
	spilled, _ = s.HasSpilledKey("x", 2)
	require.False(t, spilled)
	require.NoError(t, s.Spill(key("f", "w")), "keys are not limited any more")
	_, err = s.Load(1, 9)
	require.NoError(t, err)
}

func TestDisabledBacklogSpillsNothing(t *testing.T) {
	dir := t.TempDir()
	s := openSpool(t, dir, testCapacity)
	m := newMessage("a", 1)
	require.ErrorIs(t, s.Spill(m), ErrBacklogDisabled)
	_, err := s.Load(7, 1)
	require.ErrorIs(t, err, ErrBacklogDisabled)
	_, err = s.LoadExpiring(noExpiry, 1)
	require.ErrorIs(t, err, ErrBacklogDisabled)
	_, err = s.LoadMatching(func(*Message) bool { return true }, 1)
	require.ErrorIs(t, err, ErrBacklogDisabled)
	require.NoError(t, s.Accept(m))
	require.True(t, s.Has("a"))
	require.False(t, s.Has("b"))
	spilled, _ := s.HasSpilledKey("k", 1)
	require.False(t, spilled)
	require.Equal(t, noExpiry, s.NextExpiry())
	require.Zero(t, s.SpilledCount(7)+s.SpilledTotal()+len(s.SpilledDestinations()))
	require.NoError(t, s.MarkUndelivered(m, false, 0))
	require.False(t, s.Has("a"), "only its notice is pending")
	require.Empty(t, indexesOf(t, dir))
}

// The number of accepted records and of dead entries of older segments bounds a segment, too.
func TestSegmentSlotsAreBounded(t *testing.T) {
	dir, b := t.TempDir(), newBacklog()
	b.maxSlots = 10
	s, _, err := openBacklog(dir, testCapacity, b)
	require.NoError(t, err)
	for i := range 35 {
		require.NoError(t, s.Spill(newMessageTo(fmt.Sprint("m", i), 1, 3)))
	}
	require.Len(t, s.segments, 4)
	ms, err := s.Load(1, 35)
	require.NoError(t, err)
	for _, m := range ms[1:] { // the first message keeps all segments in use
		require.NoError(t, s.Complete(m))
	}
	require.GreaterOrEqual(t, len(s.segments), 6)
	require.Len(t, pendingIn(t, dir, testCapacity), 1)
}
