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

func openWithBacklog(t *testing.T, dir string, capacity int64) *Spool {
	t.Helper()
	s, _, err := OpenBacklog(dir, capacity)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// openSmallSegments opens a backlog whose segments are limited to the given number of bytes.
func openSmallSegments(t *testing.T, dir string, capacity, segment int64) *Spool {
	t.Helper()
	b := newBacklog()
	b.maxSegment = segment
	s, _, err := openBacklog(dir, capacity, b)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func newMessageTo(id string, dst int64, size int) *Message {
	m := newMessage(id, size)
	m.Dst, m.Expires = dst, 1e15+int64(len(id))
	return m
}

// persistentFields copies a message without the fields that are not stored.
func persistentFields(m *Message) Message {
	p := *m
	p.segment, p.length, p.slot, p.offset, p.loaded = nil, 0, 0, 0, false
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

// model is the expected content of a spool, as plain maps.
type model struct {
	active   map[string]*Message
	spilled  map[string]Message
	released map[string]*Message // passed to Spill so far
}

func newModel() *model {
	return &model{map[string]*Message{}, map[string]Message{}, map[string]*Message{}}
}

// requireSame compares pending messages, and prints a short summary of the differences.
func requireSame(t *testing.T, want, got map[string]Message, what string, args ...any) {
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
			lines = append(lines, fmt.Sprintf("%+v\ngot %+v", m, g))
		}
	}
	for id := range got {
		if _, in := want[id]; !in {
			lines = append(lines, "unexpected "+id)
		}
	}
	slices.Sort(lines)
	require.Fail(t, fmt.Sprintf(what, args...), strings.Join(lines[:min(len(lines), 6)], "\n"))
}

// all returns every pending message by ID.
func (w *model) all() map[string]Message {
	all := maps.Clone(w.spilled)
	for id, m := range w.active {
		all[id] = persistentFields(m)
	}
	return all
}

// restart moves messages to spilled unless a leg, an end, a channel or a load keeps them active.
func (w *model) restart(t *testing.T, s *Spool) {
	t.Helper()
	pending := map[string]*Message{}
	for _, m := range s.Pending() {
		pending[m.ID] = m
	}
	for id, m := range w.active {
		if len(m.Legs) == 0 && !m.Ended && m.Channel == "" && !m.loaded {
			require.Nil(t, pending[id], "spilled: %s", id)
			w.spilled[id] = persistentFields(m)
			delete(w.active, id)
			continue
		}
		require.NotNil(t, pending[id], "active: %s", id)
		require.Equal(t, persistentFields(m), persistentFields(pending[id]))
		w.active[id] = pending[id]
	}
	require.Len(t, pending, len(w.active))
}

// check compares the results of all queries.
func (w *model) check(t *testing.T, s *Spool) {
	t.Helper()
	require.Equal(t, len(w.spilled), s.SpilledTotal())
	byDst, due := map[int64]int{}, noExpiry
	for id, m := range w.spilled {
		byDst[m.Dst]++
		due = min(due, m.Expires)
		require.True(t, s.Has(id), id)
		spilled, _ := s.HasSpilledKey(m.OrderKey, 0)
		require.Equal(t, m.OrderKey != "", spilled, id)
		if m.OrderKey != "" {
			_, elsewhere := s.HasSpilledKey(m.OrderKey, m.Dst+1)
			require.True(t, elsewhere)
		}
	}
	require.LessOrEqual(t, s.NextExpiry(), due)
	require.Equal(t, slices.Sorted(maps.Keys(byDst)), s.SpilledDestinations())
	for dst, n := range byDst {
		require.Equal(t, n, s.SpilledCount(dst))
	}
	spilled, elsewhere := s.HasSpilledKey("never used", 1)
	require.False(t, spilled || elsewhere)
	require.False(t, s.Has("never used"))
	pending, live := 0, int64(0)
	for _, seg := range s.segments {
		pending, live = pending+seg.pending, live+seg.liveBytes
	}
	require.Equal(t, len(w.spilled)+len(w.active), pending)
	require.Equal(t, s.liveBytes, live)
}

// loaded moves loaded messages from spilled to active.
func (w *model) loaded(t *testing.T, ms []*Message) {
	t.Helper()
	for _, m := range ms {
		want, in := w.spilled[m.ID]
		require.True(t, in, "spilled before: %s", m.ID)
		require.Equal(t, want, persistentFields(m))
		delete(w.spilled, m.ID)
		w.active[m.ID] = m
	}
}

// oldest lists the IDs that a load of a destination should return.
func (w *model) oldest(dst int64, n int) (ids []string) {
	var ms []Message
	for _, m := range w.spilled {
		if m.Dst == dst {
			ms = append(ms, m)
		}
	}
	slices.SortFunc(ms, func(a, b Message) int { return cmp.Compare(a.AcceptSeq, b.AcceptSeq) })
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

// drainFolder loads all pending messages of a folder, and compares them with the expected ones.
func drainFolder(t *testing.T, dir string, capacity int64, want map[string]Message) {
	t.Helper()
	s := openWithBacklog(t, dir, capacity)
	got := map[string]Message{}
	for _, m := range s.Pending() {
		got[m.ID] = persistentFields(m)
	}
	for _, dst := range s.SpilledDestinations() {
		for {
			ms, err := s.Load(dst, 50)
			require.NoError(t, err)
			if len(ms) == 0 {
				break
			}
			last := int64(0)
			for _, m := range ms {
				require.NotContains(t, got, m.ID, "pending once")
				require.Greater(t, m.AcceptSeq, last, "in order of acceptance")
				got[m.ID], last = persistentFields(m), m.AcceptSeq
			}
		}
	}
	requireSame(t, want, got, "drained")
	require.Zero(t, s.SpilledTotal())
	require.NoError(t, s.Close())
}

func copyFolder(t *testing.T, dir string) string {
	t.Helper()
	next := t.TempDir()
	require.NoError(t, os.CopyFS(next, os.DirFS(dir)))
	return next
}

// randomOperation applies one random operation to the spool and to the model.
func (w *model) randomOperation(t *testing.T, s *Spool, r *rand.Rand, i int) {
	t.Helper()
	ids := slices.Sorted(maps.Keys(w.active))
	var m *Message
	if len(ids) > 0 {
		m = w.active[ids[r.IntN(len(ids))]]
	}
	switch what := r.IntN(20); {
	case what < 8 || m == nil && what < 16:
		m = newMessageTo(fmt.Sprint("m", i), int64(r.IntN(5)), r.IntN(200))
		m.Expires = int64(1e15) + r.Int64N(1000)
		m.OrderKey = []string{"", "x", "y", fmt.Sprint("k", i)}[r.IntN(4)]
		if what == 0 {
			m.Channel, m.Pos = "c", int64(i)
		}
		if what < 4 {
			if w.isFull(t, s.Accept(m)) {
				return
			}
			w.active[m.ID] = m
			return
		}
		if w.isFull(t, s.Spill(m)) {
			return
		}
		w.spilled[m.ID] = persistentFields(m)
	case what < 10:
		if m.Channel != "" || m.Ended {
			require.ErrorIs(t, s.Spill(m), ErrNotSpillable)
			return
		}
		if !w.isFull(t, s.Spill(m)) {
			delete(w.active, m.ID)
			w.spilled[m.ID] = persistentFields(m)
			require.ErrorIs(t, s.AddLeg(m, Leg{}), ErrNotPending, "it was released")
			w.released[m.ID] = m
		}
	case what < 12:
		dst, n := int64(r.IntN(5)), 1+r.IntN(6)
		ms, err := s.Load(dst, n)
		require.NoError(t, err)
		require.Equal(t, w.oldest(dst, n), idsOf(ms))
		w.loaded(t, ms)
	case what == 12:
		before := int64(1e15) + r.Int64N(300)
		ms, err := s.LoadExpiring(before, 4)
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
		require.NoError(t, s.MarkNeverRan(m))
	case what == 13 && m != nil:
		require.NoError(t, s.AddLeg(m, Leg{SentAt: int64(i), Zone: r.IntN(3)}))
	case what == 14 && m != nil:
		require.NoError(t, s.MarkUndelivered(m, r.IntN(2) == 0, int64(i)))
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
	case what == 16 && len(w.released) > 0: // complete a released message: spilled, active again or already complete
		m := w.released[slices.Min(slices.Collect(maps.Keys(w.released)))]
		delete(w.released, m.ID)
		_, spilled := w.spilled[m.ID]
		if w.active[m.ID] == nil && !spilled {
			require.ErrorIs(t, s.Complete(m), ErrNotPending)
			return
		}
		require.NoError(t, s.Complete(m))
		delete(w.spilled, m.ID)
		delete(w.active, m.ID)
	case m != nil:
		require.NoError(t, s.Complete(m))
		delete(w.active, m.ID)
	}
}

func (w *model) isFull(t *testing.T, err error) bool {
	t.Helper()
	if err != nil {
		require.ErrorIs(t, err, ErrFull)
	}
	return err != nil
}

// randomRun compares thousands of random operations, with restarts and switches of the backlog, against the model.
func randomRun(t *testing.T, seed uint64, operations int) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	capacity, segment := int64(64<<10)<<(seed%3), int64(1<<10)<<(seed%5)
	dir, w, disk := t.TempDir(), newModel(), rand.New(rand.NewPCG(seed, 2))
	start := func() *Spool {
		b := newBacklog()
		b.maxSegment = segment
		if write, rename := b.writeFile, b.rename; seed%2 == 1 { // on a disk on which writes of an index fail at times
			b.writeFile = func(name string, data []byte) error {
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
		s, _, err := openBacklog(dir, capacity, b)
		require.NoError(t, err)
		t.Cleanup(func() { _ = s.Close() })
		return s
	}
	s := start()
	for i := range operations {
		w.randomOperation(t, s, r, i)
		if i%97 == 0 {
			w.check(t, s)
			require.LessOrEqual(t, folderSize(t, dir), capacity)
		}
		if r.IntN(250) > 0 {
			continue
		}
		if r.IntN(3) == 0 { // Open restores everything, and so does OpenBacklog after it
			off := openSpool(t, copyFolder(t, dir), capacity)
			got := map[string]Message{}
			for _, m := range off.Pending() {
				got[m.ID] = persistentFields(m)
			}
			requireSame(t, w.all(), got, "without the backlog")
			drainFolder(t, off.dir, capacity, w.all())
		}
		if r.IntN(2) == 0 {
			require.NoError(t, s.Close())
		}
		s = start()
		w.restart(t, s)
		w.check(t, s)
	}
	drainFolder(t, dir, capacity, w.all())
}

func TestBacklogMatchesModel(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			randomRun(t, seed, 4000)
		})
	}
}
