package spool

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each way to write with the backlog on fails once on a full disk: nothing changes, a kill finds the same, and the next time it counts.
func TestFullDiskChangesNothingThatIsSpilled(t *testing.T) {
	dir := t.TempDir()
	s, w := small(t, dir, plenty, 700), newModel()
	for i := range 20 {
		m := addressed(fmt.Sprint("m", i), 1, 40)
		m.Expires = 1e15 + int64(i)
		require.NoError(t, s.Spill(m))
		w.spilled[m.ID], w.given[m.ID] = plain(m), m
	}
	work := addressed("work", 2, 9)
	require.NoError(t, s.Take(work))
	require.NoError(t, s.Leg(work, Leg{SentAt: 3}))
	w.working[work.ID] = work
	fresh := addressed("fresh", 2, 9)
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
			err := s.Spill(fresh)
			if err == nil {
				w.spilled[fresh.ID] = plain(fresh)
			}
			return err
		},
		"worked at": func() error {
			err := s.Spill(work)
			if err == nil {
				w.spilled[work.ID] = plain(work)
				delete(w.working, work.ID)
			}
			return err
		},
		"load":     func() error { return load(s.Load(1, 3)) },
		"due":      func() error { return load(s.LoadDue(1e15+9, 3)) },
		"matching": func() error { return load(s.LoadMatching(func(m *Message) bool { return m.ID > "m12" }, 2)) },
		"withdraw": func() error {
			err := s.Over(w.given["m19"])
			if err == nil {
				delete(w.spilled, "m19")
				delete(w.working, "m19")
			}
			return err
		},
	} {
		full(t, s)
		require.Error(t, write(), name)
		w.check(t, s)
		same(t, w.all(), owedIn(t, copied(t, dir), plenty), "%s failed", name)
		require.NoError(t, write(), name)
		w.check(t, s)
		same(t, w.all(), owedIn(t, copied(t, dir), plenty), "%s went well", name)
	}
}

// An index that cannot be written, or not get its name, waits in memory: it is read there, at most so many do, and it is written later.
func TestIndexThatCannotBeWrittenWaits(t *testing.T) {
	failed := func(string, string) error { return syscall.ENOSPC }
	for name, fail := range map[string]func(b *backlog){
		"write": func(b *backlog) {
			b.write = func(name string, data []byte) error {
				_ = os.WriteFile(name, data[:len(data)/2], 0o600) // as far as the disk went
				return syscall.ENOSPC
			}
		},
		"rename": func(b *backlog) { b.rename = failed },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			b := newBacklog()
			b.segment = 1 << 10
			well := *b
			fail(b)
			s, _, err := openBacklog(dir, plenty, b)
			require.NoError(t, err)
			w := newModel()
			for i := 0; ; i++ {
				m := addressed(fmt.Sprint("m", i), int64(i%3), 40)
				if err = s.Spill(m); err != nil {
					require.ErrorIs(t, s.Take(addressed("taken", 1, 1)), ErrFull)
					break
				}
				w.spilled[m.ID] = plain(m)
			}
			require.ErrorIs(t, err, ErrFull)
			require.Equal(t, mostImages, s.backlog.waiting)
			require.Empty(t, indexesOf(t, dir))
			w.check(t, s)
			same(t, w.all(), owedIn(t, copied(t, dir), plenty), "killed")
			ms, err := s.Load(1, 4)
			require.NoError(t, err)
			require.Equal(t, w.first(1, 4), idsOf(ms))
			w.loaded(t, ms)
			require.NoError(t, s.Over(ms[0]))
			delete(w.working, ms[0].ID)

			b.write, b.rename = well.write, well.rename
			m := addressed("after", 1, 1)
			require.NoError(t, s.Spill(m))
			w.spilled[m.ID] = plain(m)
			require.Zero(t, s.backlog.waiting)
			require.Len(t, indexesOf(t, dir), mostImages)
			w.check(t, s)
			same(t, w.all(), owedIn(t, dir, plenty), "at last")
		})
	}
}

// A start that cannot write one index goes on without, and the next one makes them.
func TestStartWithoutRoomForIndexes(t *testing.T) {
	dir := t.TempDir()
	want := rested(t, dir, plenty, 40)
	for _, name := range indexesOf(t, dir) {
		require.NoError(t, os.Remove(name))
	}
	b := newBacklog()
	b.write = func(string, []byte) error { return syscall.ENOSPC }
	s, _, err := openBacklog(dir, plenty, b)
	require.NoError(t, err)
	got, damage := spilledOf(t, s)
	require.Empty(t, damage)
	same(t, want, got, "without indexes")
	require.NoError(t, s.Close())
	same(t, want, owedIn(t, dir, plenty), "the next start")
	require.NotEmpty(t, indexesOf(t, dir))
}

// The room fills with spilled messages until one is refused; all of them can still be worked at and be over, and the room comes back.
func TestFullRoomStillLetsAllEnd(t *testing.T) {
	const room = 64 << 10
	dir := t.TempDir()
	s := openRoom(t, dir, room)
	count := 0
	for ; ; count++ {
		if err := s.Spill(addressed(fmt.Sprint("m", count), 1, 30)); err != nil {
			require.ErrorIs(t, err, ErrFull)
			break
		}
	}
	require.Greater(t, count, 100)
	require.ErrorIs(t, s.Take(message("taken", 30)), ErrFull)
	require.LessOrEqual(t, folder(t, dir), int64(room))
	require.Equal(t, count, s.SpilledAll())
	for ended := 0; ended < count; {
		ms, err := s.Load(1, 7)
		require.NoError(t, err)
		require.NotEmpty(t, ms)
		for _, m := range ms {
			require.NoError(t, s.Leg(m, Leg{SentAt: 1}))
			require.NoError(t, s.Over(m))
		}
		ended += len(ms)
		require.LessOrEqual(t, folder(t, dir), int64(room))
	}
	require.NoError(t, s.Spill(addressed("again", 1, 30)))
	require.Len(t, owedIn(t, dir, room), 1)
}

func TestTooManyOrderKeysAreRefused(t *testing.T) {
	b := newBacklog()
	b.most = 2
	s, _, err := openBacklog(t.TempDir(), plenty, b)
	require.NoError(t, err)
	key := func(id, key string) *Message {
		m := addressed(id, 1, 3)
		m.OrderKey = key
		return m
	}
	require.NoError(t, s.Spill(key("a", "x")))
	require.NoError(t, s.Spill(key("b", "y")))
	refused := key("c", "z")
	require.ErrorIs(t, s.Spill(refused), ErrKeys)
	require.False(t, s.Has("c"))
	require.NoError(t, s.Spill(key("d", "x")), "a known one")
	require.NoError(t, s.Spill(key("e", "")), "none")
	ms, err := s.Load(1, 2)
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, idsOf(ms))
	require.NoError(t, s.Spill(refused), "there is room for a key again")
	require.ErrorIs(t, s.Spill(key("d", "x")), ErrTwice)
	require.ErrorIs(t, s.Take(key("d", "x")), ErrTwice)
	rests, elsewhere := s.SpilledKey("x", 1)
	require.True(t, rests && !elsewhere)
	_, elsewhere = s.SpilledKey("x", 2)
	require.True(t, elsewhere)
	s.Unkeyed()
	rests, _ = s.SpilledKey("x", 2)
	require.False(t, rests)
	require.NoError(t, s.Spill(key("f", "w")), "none is one too many")
	_, err = s.Load(1, 9)
	require.NoError(t, err)
}

func TestWithTheBacklogOffNothingIsSpilled(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, plenty)
	m := message("a", 1)
	require.ErrorIs(t, s.Spill(m), ErrOff)
	_, err := s.Load(7, 1)
	require.ErrorIs(t, err, ErrOff)
	_, err = s.LoadDue(never, 1)
	require.ErrorIs(t, err, ErrOff)
	_, err = s.LoadMatching(func(*Message) bool { return true }, 1)
	require.ErrorIs(t, err, ErrOff)
	require.NoError(t, s.Take(m))
	require.True(t, s.Has("a"))
	require.False(t, s.Has("b"))
	rests, _ := s.SpilledKey("k", 1)
	require.False(t, rests)
	require.Equal(t, never, s.NextDue())
	require.Zero(t, s.Spilled(7)+s.SpilledAll()+len(s.SpilledTo()))
	require.NoError(t, s.End(m, false, 0))
	require.False(t, s.Has("a"), "its notice alone is owed")
	require.Empty(t, indexesOf(t, dir))
}

// A segment ends by what it holds, too: by taken records, and by what is told of older ones.
func TestSegmentEndsByWhatItHolds(t *testing.T) {
	dir, b := t.TempDir(), newBacklog()
	b.slots = 10
	s, _, err := openBacklog(dir, plenty, b)
	require.NoError(t, err)
	for i := range 35 {
		require.NoError(t, s.Spill(addressed(fmt.Sprint("m", i), 1, 3)))
	}
	require.Len(t, s.order, 4)
	ms, err := s.Load(1, 35)
	require.NoError(t, err)
	for _, m := range ms[1:] { // the first keeps all segments
		require.NoError(t, s.Over(m))
	}
	require.GreaterOrEqual(t, len(s.order), 6)
	require.Len(t, owedIn(t, dir, plenty), 1)
}
