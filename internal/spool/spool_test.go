package spool

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const plenty = 1 << 20

func open(t *testing.T, dir string, room int64) *Spool {
	t.Helper()
	s, _, err := Open(dir, room)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func message(id string, size int) *Message {
	return &Message{ID: id, Lane: "notice", Key: "k" + id, Dst: 7, Expires: 1e15, Body: bytes.Repeat([]byte{'\n'}, size)}
}

// bare is a message without what only this process knows.
func bare(ms []*Message) (all []Message) {
	for _, m := range ms {
		b := *m
		b.segment, b.length, b.ending, b.settled = nil, 0, false, false
		all = append(all, b)
	}
	return all
}

func TestRestartOwesJustWhatWasOwed(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, plenty)
	over, out, unrun, ended := message("a", 3), message("b", 0), message("c", 9), message("d", 1)
	for _, m := range []*Message{over, out, unrun, ended} {
		require.NoError(t, s.Take(m))
		require.NoError(t, s.Leg(m, Leg{SentAt: 5, Zone: -1}))
	}
	require.NoError(t, s.Over(over))
	require.NoError(t, s.NeverRan(unrun))
	require.NoError(t, s.End(ended, true, 250_000))

	got := bare(open(t, dir, plenty).Owed())
	assert.Equal(t, bare([]*Message{out, unrun, ended}), got)
	assert.False(t, got[0].Legs[0].NeverRan)
	assert.True(t, got[1].Legs[0].NeverRan)
	assert.True(t, got[2].Ended && got[2].PushedBack)
}

func TestRestartKeepsTheOrderInWhichMessagesWereTakenOn(t *testing.T) {
	dir := t.TempDir()
	for life, ids := range [][]string{{"d", "b"}, {"c", "a"}} { // each with less time than the one before
		s := open(t, dir, plenty)
		for i, id := range ids {
			m := message(id, 1)
			m.Expires -= int64(10*life + i)
			require.NoError(t, s.Take(m))
		}
	}
	var got []string
	for _, m := range open(t, dir, plenty).Owed() {
		got = append(got, m.ID)
	}
	assert.Equal(t, []string{"d", "b", "c", "a"}, got)
}

func TestCutAtEveryByteLosesNothingWhole(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, plenty)
	var ends []int64 // of the file after each message
	for i := range 4 {
		m := message(fmt.Sprint(i), i*10)
		require.NoError(t, s.Take(m))
		ends = append(ends, s.now().size)
	}
	data, err := os.ReadFile(s.path(s.now()))
	require.NoError(t, err)
	for cut := range len(data) + 1 {
		torn := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(torn, filepath.Base(s.path(s.now()))), data[:cut], 0o600))
		whole := 0
		for _, end := range ends {
			if int64(cut) >= end {
				whole++
			}
		}
		again := open(t, torn, plenty)
		require.Len(t, again.Owed(), whole, "cut at %d", cut)
		require.NoError(t, again.Take(message("new", 1)), "cut at %d", cut)
		require.Len(t, open(t, torn, plenty).Owed(), whole+1, "cut at %d", cut)
	}
}

func TestDamagedRecordIsToldAndNotBelieved(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, plenty)
	require.NoError(t, s.Take(message("a", 30)))
	name := s.path(s.now())
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	data[len(data)-5] ^= 1
	require.NoError(t, os.WriteFile(name, data, 0o600))
	again, notes, err := Open(dir, plenty)
	require.NoError(t, err)
	assert.Empty(t, again.Owed())
	assert.Len(t, notes, 1)
}

func TestUnknownVersionIsLeftAloneAndTold(t *testing.T) {
	dir := t.TempDir()
	name := filepath.Join(dir, "000000000007.seg")
	require.NoError(t, os.WriteFile(name, []byte("rvlsp9\nsomething"), 0o600))
	s, notes, err := Open(dir, plenty)
	require.NoError(t, err)
	assert.Len(t, notes, 1)
	require.NoError(t, s.Take(message("a", 1)))
	assert.FileExists(t, name)
}

// folder is the size of a folder as the limit counts it.
func folder(t *testing.T, dir string) (sum int64) {
	t.Helper()
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, f := range files {
		info, err := f.Info()
		require.NoError(t, err)
		sum += (info.Size() + block - 1) / block * block
	}
	return sum
}

func TestFolderStaysInItsRoomAndForgetsNothingOwed(t *testing.T) {
	const room = 64 << 10
	dir := t.TempDir()
	s := open(t, dir, room)
	owed := map[string]*Message{}
	refused := 0
	for i := range 3000 { // a few stay owed for long while many come and go
		m := message(fmt.Sprint(i), rand.IntN(2000))
		if err := s.Take(m); err != nil {
			require.ErrorIs(t, err, ErrFull)
			refused++
		} else {
			owed[m.ID] = m
			require.NoError(t, s.Leg(m, Leg{SentAt: int64(i)}))
		}
		for id, o := range owed {
			if len(owed) > 5 && rand.IntN(40) > 0 || len(owed) > 35 {
				require.NoError(t, s.Over(o))
				delete(owed, id)
			}
		}
		require.LessOrEqual(t, folder(t, dir), int64(room))
	}
	assert.Less(t, refused, 300, "room is won back")
	assert.Len(t, open(t, dir, room).Owed(), len(owed))
}

func TestFullSpoolRefusesAndStillRecordsEnds(t *testing.T) {
	const room = 32 << 10
	dir := t.TempDir()
	s := open(t, dir, room)
	var ms []*Message
	for i := 0; ; i++ {
		m := message(fmt.Sprint(i), 500)
		if err := s.Take(m); err != nil {
			require.ErrorIs(t, err, ErrFull)
			break
		}
		ms = append(ms, m)
	}
	for _, m := range ms {
		require.NoError(t, s.Leg(m, Leg{}))
		require.NoError(t, s.End(m, false, 0))
		require.NoError(t, s.Over(m))
	}
	assert.LessOrEqual(t, folder(t, dir), int64(room))
	require.NoError(t, s.Take(message("after", 500)))
}

func TestFailedWriteIsNoRecord(t *testing.T) {
	s := open(t, t.TempDir(), plenty)
	require.NoError(t, s.file.Close())
	require.Error(t, s.Take(message("a", 1)))
	assert.Empty(t, s.Owed())
}

// killed is what the next process owes if this one is killed now.
func killed(t *testing.T, dir string) []Message {
	t.Helper()
	next := t.TempDir()
	require.NoError(t, os.CopyFS(next, os.DirFS(dir)))
	return bare(open(t, next, plenty).Owed())
}

// full has the next write fail as on a full disk, so that not even what was begun can be cut off again.
func full(t *testing.T, s *Spool) {
	t.Helper()
	require.NoError(t, s.file.Close())
	var err error
	s.file, err = os.OpenFile("/dev/full", os.O_WRONLY, 0)
	require.NoError(t, err)
}

// Each kind of record once more, after a write of it failed: it counts from the second time on, and not before.
func TestAfterAFailedWriteRecordsCountAgain(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, plenty)
	m := message("a", 10)
	for _, write := range []func() error{
		func() error { return s.Take(m) },
		func() error { return s.Leg(m, Leg{SentAt: 5}) },
		func() error { return s.NeverRan(m) },
		func() error { return s.End(m, true, 7) },
		func() error { return s.Over(m) },
	} {
		before := bare(s.Owed())
		full(t, s)
		require.Error(t, write())
		require.Equal(t, before, bare(s.Owed()))
		require.Equal(t, before, killed(t, dir))
		require.NoError(t, write())
		require.Equal(t, bare(s.Owed()), killed(t, dir))
	}
	require.Empty(t, s.Owed())
}

// Settings may bound the legs of a message at nothing.
func TestManyLegsLeaveTheMessageAsItIs(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, plenty)
	m := message("a", 300)
	require.NoError(t, s.Take(m))
	for i := range int64(3 * mostLegs) {
		require.NoError(t, s.Leg(m, Leg{SentAt: i + 1, NeverRan: i != 7 && i%2 == 1}))
	}
	require.NoError(t, s.Leg(m, Leg{SentAt: 1e6}))
	require.NoError(t, s.NeverRan(m))
	for range 2 { // off the single records, then off a copy that holds all
		again := open(t, dir, plenty)
		require.Len(t, again.Owed(), 1)
		got := again.Owed()[0]
		require.Equal(t, m.Body, got.Body)
		require.Equal(t, m.Legs, got.Legs)
		require.Len(t, got.Legs, mostLegs)
		require.Equal(t, int64(1), got.Legs[0].SentAt, "the first that may have run")
		require.Equal(t, Leg{SentAt: 1e6, NeverRan: true}, got.Legs[mostLegs-1])
		again.forward(again.order[0])
	}
}

func TestSegmentThatCannotBeReadKeepsNoSenderFromStarting(t *testing.T) {
	dir := t.TempDir()
	name := filepath.Join(dir, "000000000001.seg")
	require.NoError(t, os.Mkdir(name, 0o700)) // a read of it fails
	s, notes, err := Open(dir, plenty)
	require.NoError(t, err)
	require.Len(t, notes, 1)
	require.NoError(t, s.Take(message("a", 1)))
	require.NoError(t, s.Close())
	require.DirExists(t, name)
}

// A kill between the first copy of what is owed and the removal of the segment that it stood in, at every byte.
func TestKilledWhileCopyingForwardOwesTheSame(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, plenty)
	for i, m := range []*Message{message("over", 9), message("a", 40), message("out", 20), message("unrun", 0), message("told", 70)} {
		require.NoError(t, s.Take(m))
		require.NoError(t, s.Leg(m, Leg{SentAt: int64(i), Zone: 1}))
		switch m.ID {
		case "over":
			require.NoError(t, s.Over(m))
		case "unrun":
			require.NoError(t, s.NeverRan(m))
		case "told":
			require.NoError(t, s.End(m, true, 5))
		}
	}
	want := bare(s.Owed())
	require.NoError(t, s.startSegment())
	oldest, newest := s.order[0], s.order[1]
	from := newest.size
	require.True(t, s.forward(oldest))
	data, err := os.ReadFile(s.path(newest))
	require.NoError(t, err)
	for cut := from; cut <= int64(len(data)); cut++ {
		killed := t.TempDir()
		old, err := os.ReadFile(s.path(oldest))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(killed, filepath.Base(s.path(oldest))), old, 0o600))
		require.NoError(t, os.WriteFile(filepath.Join(killed, filepath.Base(s.path(newest))), data[:cut], 0o600))
		again := open(t, killed, plenty)
		require.Equal(t, want, bare(again.Owed()), "cut at %d", cut)
		for _, m := range again.Owed() {
			require.NoError(t, again.Over(m))
		}
		require.Empty(t, open(t, killed, plenty).Owed(), "what is over stays over, cut at %d", cut)
	}
}

// Descriptors may be short just as a segment is full.
func TestSegmentThatCannotBeBegunKeepsNoRecordOut(t *testing.T) {
	const room = 32 << 10
	dir := t.TempDir()
	s := open(t, dir, room)
	next := filepath.Join(dir, fmt.Sprintf("%012d.seg", s.last+1))
	require.NoError(t, os.Mkdir(next, 0o700)) // it cannot be created
	for i := range 12 {
		require.NoError(t, s.Take(message(fmt.Sprint(i), 1000)))
	}
	require.Len(t, s.order, 1)
	require.NoError(t, os.Remove(next))
	require.NoError(t, s.Take(message("last", 1)))
	require.Len(t, s.order, 2)
	require.Len(t, killed(t, dir), 13)
}
