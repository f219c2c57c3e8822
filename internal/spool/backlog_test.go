package spool

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

func openRoom(t *testing.T, dir string, room int64) *Spool {
	t.Helper()
	s, _, err := OpenBacklog(dir, room)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// small has segments of so many bytes.
func small(t *testing.T, dir string, room, segment int64) *Spool {
	t.Helper()
	b := newBacklog()
	b.segment = segment
	s, _, err := openBacklog(dir, room, b)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func addressed(id string, dst int64, size int) *Message {
	m := message(id, size)
	m.Dst, m.Expires = dst, 1e15+int64(len(id))
	return m
}

// plain is a message without what only its process knows.
func plain(m *Message) Message {
	p := *m
	p.segment, p.length, p.slot, p.offset, p.drawn = nil, 0, 0, 0, false
	if len(p.Body) == 0 {
		p.Body = nil
	}
	if len(p.Legs) == 0 {
		p.Legs = nil
	} else {
		p.Legs = slices.Clone(p.Legs)
	}
	return p
}

// model is what a spool should owe, as a plain map.
type model struct {
	working map[string]*Message
	spilled map[string]Message
	given   map[string]*Message // to Spill, by now
}

func newModel() *model {
	return &model{map[string]*Message{}, map[string]Message{}, map[string]*Message{}}
}

// same compares what is owed, and tells what differs in few words.
func same(t *testing.T, want, got map[string]Message, what string, args ...any) {
	t.Helper()
	if reflect.DeepEqual(want, got) {
		return
	}
	var lines []string
	for id, m := range want {
		if g, in := got[id]; !in {
			lines = append(lines, "missing "+id)
		} else if !reflect.DeepEqual(m, g) {
			m.Body, g.Body = nil, nil
			lines = append(lines, fmt.Sprintf("%+v\nis %+v", m, g))
		}
	}
	for id := range got {
		if _, in := want[id]; !in {
			lines = append(lines, "too much "+id)
		}
	}
	slices.Sort(lines)
	require.Fail(t, fmt.Sprintf(what, args...), strings.Join(lines[:min(len(lines), 6)], "\n"))
}

// all lists everything owed by id.
func (w *model) all() map[string]Message {
	all := maps.Clone(w.spilled)
	for id, m := range w.working {
		all[id] = plain(m)
	}
	return all
}

// restart moves those to the spilled that an attempt, an end, a channel or a load do not keep at work.
func (w *model) restart(t *testing.T, s *Spool) {
	t.Helper()
	owed := map[string]*Message{}
	for _, m := range s.Owed() {
		owed[m.ID] = m
	}
	for id, m := range w.working {
		if len(m.Legs) == 0 && !m.Ended && m.Channel == "" && !m.drawn {
			require.Nil(t, owed[id], "rests: %s", id)
			w.spilled[id] = plain(m)
			delete(w.working, id)
			continue
		}
		require.NotNil(t, owed[id], "works: %s", id)
		require.Equal(t, plain(m), plain(owed[id]))
		w.working[id] = owed[id]
	}
	require.Len(t, owed, len(w.working))
}

// check compares all that can be asked.
func (w *model) check(t *testing.T, s *Spool) {
	t.Helper()
	require.Equal(t, len(w.spilled), s.SpilledAll())
	byDst, due := map[int64]int{}, never
	for id, m := range w.spilled {
		byDst[m.Dst]++
		due = min(due, m.Expires)
		require.True(t, s.Has(id), id)
		rests, _ := s.SpilledKey(m.OrderKey, 0)
		require.Equal(t, m.OrderKey != "", rests, id)
		if m.OrderKey != "" {
			_, elsewhere := s.SpilledKey(m.OrderKey, m.Dst+1)
			require.True(t, elsewhere)
		}
	}
	require.LessOrEqual(t, s.NextDue(), due)
	require.Equal(t, slices.Sorted(maps.Keys(byDst)), s.SpilledTo())
	for dst, n := range byDst {
		require.Equal(t, n, s.Spilled(dst))
	}
	rests, elsewhere := s.SpilledKey("never used", 1)
	require.False(t, rests || elsewhere)
	require.False(t, s.Has("never used"))
	owed, live := 0, int64(0)
	for _, seg := range s.order {
		owed, live = owed+seg.owed, live+seg.live
	}
	require.Equal(t, len(w.spilled)+len(w.working), owed)
	require.Equal(t, s.live, live)
}

// loaded takes what was loaded over into the working ones.
func (w *model) loaded(t *testing.T, ms []*Message) {
	t.Helper()
	for _, m := range ms {
		want, in := w.spilled[m.ID]
		require.True(t, in, "spilled before: %s", m.ID)
		require.Equal(t, want, plain(m))
		delete(w.spilled, m.ID)
		w.working[m.ID] = m
	}
}

// first lists what should come of a destination.
func (w *model) first(dst int64, n int) (ids []string) {
	var ms []Message
	for _, m := range w.spilled {
		if m.Dst == dst {
			ms = append(ms, m)
		}
	}
	slices.SortFunc(ms, func(a, b Message) int { return cmp.Compare(a.Taken, b.Taken) })
	for _, m := range ms[:min(n, len(ms))] {
		ids = append(ids, m.ID)
	}
	return ids
}

func idsOf(ms []*Message) (ids []string) {
	for _, m := range ms {
		ids = append(ids, m.ID)
	}
	return ids
}

// drain takes all that a folder owes out of it, and compares it with what should be there.
func drain(t *testing.T, dir string, room int64, want map[string]Message) {
	t.Helper()
	s := openRoom(t, dir, room)
	got := map[string]Message{}
	for _, m := range s.Owed() {
		got[m.ID] = plain(m)
	}
	for _, dst := range s.SpilledTo() {
		for {
			ms, err := s.Load(dst, 50)
			require.NoError(t, err)
			if len(ms) == 0 {
				break
			}
			last := int64(0)
			for _, m := range ms {
				require.NotContains(t, got, m.ID, "owed once")
				require.Greater(t, m.Taken, last, "in the order taken on")
				got[m.ID], last = plain(m), m.Taken
			}
		}
	}
	same(t, want, got, "drained")
	require.Zero(t, s.SpilledAll())
	require.NoError(t, s.Close())
}

func copied(t *testing.T, dir string) string {
	t.Helper()
	next := t.TempDir()
	require.NoError(t, os.CopyFS(next, os.DirFS(dir)))
	return next
}

// play does one random thing, and the same to the model.
func (w *model) play(t *testing.T, s *Spool, r *rand.Rand, i int) {
	t.Helper()
	ids := slices.Sorted(maps.Keys(w.working))
	var m *Message
	if len(ids) > 0 {
		m = w.working[ids[r.IntN(len(ids))]]
	}
	switch what := r.IntN(20); {
	case what < 8 || m == nil && what < 16:
		m = addressed(fmt.Sprint("m", i), int64(r.IntN(5)), r.IntN(200))
		m.Expires = int64(1e15) + r.Int64N(1000)
		m.OrderKey = []string{"", "x", "y", fmt.Sprint("k", i)}[r.IntN(4)]
		if what == 0 {
			m.Channel, m.Pos = "c", int64(i)
		}
		if what < 4 {
			if w.refused(t, s.Take(m)) {
				return
			}
			w.working[m.ID] = m
			return
		}
		if w.refused(t, s.Spill(m)) {
			return
		}
		w.spilled[m.ID] = plain(m)
	case what < 10:
		if m.Channel != "" || m.Ended {
			require.ErrorIs(t, s.Spill(m), ErrChannel)
			return
		}
		if !w.refused(t, s.Spill(m)) {
			delete(w.working, m.ID)
			w.spilled[m.ID] = plain(m)
			require.ErrorIs(t, s.Leg(m, Leg{}), ErrOver, "it is let go of")
			w.given[m.ID] = m
		}
	case what < 12:
		dst, n := int64(r.IntN(5)), 1+r.IntN(6)
		ms, err := s.Load(dst, n)
		require.NoError(t, err)
		require.Equal(t, w.first(dst, n), idsOf(ms))
		w.loaded(t, ms)
	case what == 12:
		before := int64(1e15) + r.Int64N(300)
		ms, err := s.LoadDue(before, 4)
		require.NoError(t, err)
		due := 0
		for _, m := range w.spilled {
			if m.Expires < before {
				due++
			}
		}
		require.Len(t, ms, min(due, 4))
		for _, m := range ms {
			require.Less(t, m.Expires, before)
		}
		w.loaded(t, ms)
	case what == 13 && m != nil && len(m.Legs) > 0 && r.IntN(2) == 0:
		require.NoError(t, s.NeverRan(m))
	case what == 13 && m != nil:
		require.NoError(t, s.Leg(m, Leg{SentAt: int64(i), Zone: r.IntN(3)}))
	case what == 14 && m != nil:
		require.NoError(t, s.End(m, r.IntN(2) == 0, int64(i)))
	case what == 15:
		match := func(m *Message) bool { return m.Dst == 1 && m.Expires%3 == 0 }
		ms, err := s.LoadMatching(match, 3)
		require.NoError(t, err)
		matching := 0
		for _, m := range w.spilled {
			if match(&m) {
				matching++
			}
		}
		require.Len(t, ms, min(matching, 3))
		w.loaded(t, ms)
	case what == 16 && len(w.given) > 0: // withdrawn, while it rests, works again or is over
		m := w.given[slices.Min(slices.Collect(maps.Keys(w.given)))]
		delete(w.given, m.ID)
		_, rests := w.spilled[m.ID]
		if w.working[m.ID] == nil && !rests {
			require.ErrorIs(t, s.Over(m), ErrOver)
			return
		}
		require.NoError(t, s.Over(m))
		delete(w.spilled, m.ID)
		delete(w.working, m.ID)
	case m != nil:
		require.NoError(t, s.Over(m))
		delete(w.working, m.ID)
	}
}

func (w *model) refused(t *testing.T, err error) bool {
	t.Helper()
	if err != nil {
		require.ErrorIs(t, err, ErrFull)
	}
	return err != nil
}

// lives plays thousands of random things, restarts and switching off and on among them, against a plain map.
func lives(t *testing.T, seed uint64, deeds int) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	room, segment := int64(64<<10)<<(seed%3), int64(1<<10)<<(seed%5)
	dir, w, disk := t.TempDir(), newModel(), rand.New(rand.NewPCG(seed, 2))
	start := func() *Spool {
		b := newBacklog()
		b.segment = segment
		if write, rename := b.write, b.rename; seed%2 == 1 { // on a disk that takes an index only now and then
			b.write = func(name string, data []byte) error {
				if disk.IntN(4) == 0 {
					_ = write(name, data[:disk.IntN(len(data))])
					return syscall.ENOSPC
				}
				return write(name, data)
			}
			b.rename = func(from, to string) error {
				if disk.IntN(4) == 0 {
					return syscall.ENOSPC
				}
				return rename(from, to)
			}
		}
		s, _, err := openBacklog(dir, room, b)
		require.NoError(t, err)
		t.Cleanup(func() { _ = s.Close() })
		return s
	}
	s := start()
	for i := range deeds {
		w.play(t, s, r, i)
		if i%97 == 0 {
			w.check(t, s)
			require.LessOrEqual(t, folder(t, dir), room)
		}
		if r.IntN(250) > 0 {
			continue
		}
		if r.IntN(3) == 0 { // the old way owes all, and the new way after it
			off := open(t, copied(t, dir), room)
			got := map[string]Message{}
			for _, m := range off.Owed() {
				got[m.ID] = plain(m)
			}
			same(t, w.all(), got, "the old way")
			drain(t, off.dir, room, w.all())
		}
		if r.IntN(2) == 0 {
			require.NoError(t, s.Close())
		}
		s = start()
		w.restart(t, s)
		w.check(t, s)
	}
	drain(t, dir, room, w.all())
}

func TestBacklogOwesWhatAPlainMapOwes(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			lives(t, seed, 4000)
		})
	}
}
