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

const testCapacity = 1 << 20

func openSpool(t *testing.T, dir string, capacity int64) *Spool {
	t.Helper()
	s, _, err := Open(dir, capacity)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func newMessage(id string, size int) *Message {
	return &Message{ID: id, Class: "notice", Key: "k" + id, Dst: 7, Expires: 1e15, Body: bytes.Repeat([]byte{'\n'}, size)}
}

// withoutPosition copies messages without their in-memory position.
func withoutPosition(ms []*Message) (all []Message) {
	for _, m := range ms {
		b := *m
		b.segment, b.length = nil, 0
		all = append(all, b)
	}
	return all
}

func TestRestartRestoresPendingMessages(t *testing.T) {
	dir := t.TempDir()
	s := openSpool(t, dir, testCapacity)
	completed, started, neverRan, ended := newMessage("a", 3), newMessage("b", 0), newMessage("c", 9), newMessage("d", 1)
	for _, m := range []*Message{completed, started, neverRan, ended} {
		require.NoError(t, s.Accept(m))
		require.NoError(t, s.AddLeg(m, Leg{SentAt: 5, Zone: -1}))
	}
	require.NoError(t, s.Complete(completed))
	require.NoError(t, s.MarkNeverRan(neverRan))
	require.NoError(t, s.MarkUndelivered(ended, true, 250_000))

	got := withoutPosition(openSpool(t, dir, testCapacity).Pending())
	assert.Equal(t, withoutPosition([]*Message{started, neverRan, ended}), got)
	assert.False(t, got[0].Legs[0].NeverRan)
	assert.True(t, got[1].Legs[0].NeverRan)
	assert.True(t, got[2].Ended && got[2].Rejected)
}

func TestRestartKeepsAcceptanceOrder(t *testing.T) {
	dir := t.TempDir()
	for run, ids := range [][]string{{"d", "b"}, {"c", "a"}} { // each expires earlier than the one before
		s := openSpool(t, dir, testCapacity)
		for i, id := range ids {
			m := newMessage(id, 1)
			m.Expires -= int64(10*run + i)
			require.NoError(t, s.Accept(m))
		}
	}
	var got []string
	for _, m := range openSpool(t, dir, testCapacity).Pending() {
		got = append(got, m.ID)
	}
	assert.Equal(t, []string{"d", "b", "c", "a"}, got)
}

func TestTruncationAtEveryByteKeepsWholeRecords(t *testing.T) {
	dir := t.TempDir()
	s := openSpool(t, dir, testCapacity)
	var ends []int64 // size of the file after each message
	for i := range 4 {
		m := newMessage(fmt.Sprint(i), i*10)
		require.NoError(t, s.Accept(m))
		ends = append(ends, s.newestSegment().size)
	}
	data, err := os.ReadFile(s.segmentPath(s.newestSegment()))
	require.NoError(t, err)
	for cut := range len(data) + 1 {
		torn := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(torn, filepath.Base(s.segmentPath(s.newestSegment()))), data[:cut], 0o600))
		whole := 0
		for _, end := range ends {
			if int64(cut) >= end {
				whole++
			}
		}
		again := openSpool(t, torn, testCapacity)
		require.Len(t, again.Pending(), whole, "cut at %d", cut)
		require.NoError(t, again.Accept(newMessage("new", 1)), "cut at %d", cut)
		require.Len(t, openSpool(t, torn, testCapacity).Pending(), whole+1, "cut at %d", cut)
	}
}

func TestDamagedRecordIsReportedAndSkipped(t *testing.T) {
	dir := t.TempDir()
	s := openSpool(t, dir, testCapacity)
	require.NoError(t, s.Accept(newMessage("a", 30)))
	name := s.segmentPath(s.newestSegment())
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	data[len(data)-5] ^= 1
	require.NoError(t, os.WriteFile(name, data, 0o600))
	again, notes, err := Open(dir, testCapacity)
	require.NoError(t, err)
	assert.Empty(t, again.Pending())
	assert.Len(t, notes, 1)
}

func TestUnknownVersionIsReportedAndKept(t *testing.T) {
	dir := t.TempDir()
	name := filepath.Join(dir, "000000000007.seg")
	require.NoError(t, os.WriteFile(name, []byte("rvlsp9\nsomething"), 0o600))
	s, notes, err := Open(dir, testCapacity)
	require.NoError(t, err)
	assert.Len(t, notes, 1)
	require.NoError(t, s.Accept(newMessage("a", 1)))
	assert.FileExists(t, name)
}

// folderSize returns the size of a folder as the capacity limit counts it.
func folderSize(t *testing.T, dir string) (sum int64) {
	t.Helper()
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, f := range files {
		info, err := f.Info()
		require.NoError(t, err)
		sum += (info.Size() + blockSize - 1) / blockSize * blockSize
	}
	return sum
}

func TestFolderStaysWithinCapacityAndKeepsPendingMessages(t *testing.T) {
	const capacity = 64 << 10
	dir := t.TempDir()
	s := openSpool(t, dir, capacity)
	pending := map[string]*Message{}
	refused := 0
	for i := range 3000 { // a few messages stay pending for long while many come and go
		m := newMessage(fmt.Sprint(i), rand.IntN(2000))
		if err := s.Accept(m); err != nil {
			require.ErrorIs(t, err, ErrFull)
			refused++
		} else {
			pending[m.ID] = m
			require.NoError(t, s.AddLeg(m, Leg{SentAt: int64(i)}))
		}
		for id, o := range pending {
			if len(pending) > 5 && rand.IntN(40) > 0 || len(pending) > 35 {
				require.NoError(t, s.Complete(o))
				delete(pending, id)
			}
		}
		require.LessOrEqual(t, folderSize(t, dir), int64(capacity))
	}
	assert.Less(t, refused, 300, "space is reclaimed")
	assert.Len(t, openSpool(t, dir, capacity).Pending(), len(pending))
}

func TestFullSpoolRefusesMessagesButRecordsCompletion(t *testing.T) {
	const capacity = 32 << 10
	dir := t.TempDir()
	s := openSpool(t, dir, capacity)
	var ms []*Message
	for i := 0; ; i++ {
		m := newMessage(fmt.Sprint(i), 500)
		if err := s.Accept(m); err != nil {
			require.ErrorIs(t, err, ErrFull)
			break
		}
		ms = append(ms, m)
	}
	for _, m := range ms {
		require.NoError(t, s.AddLeg(m, Leg{}))
		require.NoError(t, s.MarkUndelivered(m, false, 0))
		require.NoError(t, s.Complete(m))
	}
	assert.LessOrEqual(t, folderSize(t, dir), int64(capacity))
	require.NoError(t, s.Accept(newMessage("after", 500)))
}

func TestFailedWriteLeavesNoRecord(t *testing.T) {
	s := openSpool(t, t.TempDir(), testCapacity)
	require.NoError(t, s.file.Close())
	require.Error(t, s.Accept(newMessage("a", 1)))
	assert.Empty(t, s.Pending())
}

// pendingAfterKill returns what the next process restores if this one is killed now.
func pendingAfterKill(t *testing.T, dir string) []Message {
	t.Helper()
	next := t.TempDir()
	require.NoError(t, os.CopyFS(next, os.DirFS(dir)))
	return withoutPosition(openSpool(t, next, testCapacity).Pending())
}

// failNextWrite makes the next write fail as on a full disk, where not even a partial record can be truncated.
func failNextWrite(t *testing.T, s *Spool) {
	t.Helper()
	require.NoError(t, s.file.Close())
	var err error
	s.file, err = os.OpenFile("/dev/full", os.O_WRONLY, 0)
	require.NoError(t, err)
}

// After a failed write of any kind of record nothing changes, and the second attempt succeeds.
func TestRecordsSucceedAfterFailedWrite(t *testing.T) {
	dir := t.TempDir()
	s := openSpool(t, dir, testCapacity)
	m := newMessage("a", 10)
	for _, write := range []func() error{
		func() error { return s.Accept(m) },
		func() error { return s.AddLeg(m, Leg{SentAt: 5}) },
		func() error { return s.MarkNeverRan(m) },
		func() error { return s.MarkUndelivered(m, true, 7) },
		func() error { return s.Complete(m) },
	} {
		before := withoutPosition(s.Pending())
		failNextWrite(t, s)
		require.Error(t, write())
		require.Equal(t, before, withoutPosition(s.Pending()))
		require.Equal(t, before, pendingAfterKill(t, dir))
		require.NoError(t, write())
		require.Equal(t, withoutPosition(s.Pending()), pendingAfterKill(t, dir))
	}
	require.Empty(t, s.Pending())
}

// Settings may leave the number of legs unbounded; the recorded legs are bounded.
func TestRecordedLegsAreBounded(t *testing.T) {
	dir := t.TempDir()
	s := openSpool(t, dir, testCapacity)
	m := newMessage("a", 300)
	require.NoError(t, s.Accept(m))
	for i := range int64(3 * maxLegs) {
		require.NoError(t, s.AddLeg(m, Leg{SentAt: i + 1, NeverRan: i != 7 && i%2 == 1}))
	}
	require.NoError(t, s.AddLeg(m, Leg{SentAt: 1e6}))
	require.NoError(t, s.MarkNeverRan(m))
	for range 2 { // from the single records, then from a copy that holds all
		again := openSpool(t, dir, testCapacity)
		require.Len(t, again.Pending(), 1)
		got := again.Pending()[0]
		require.Equal(t, m.Body, got.Body)
		require.Equal(t, m.Legs, got.Legs)
		require.Len(t, got.Legs, maxLegs)
		require.Equal(t, int64(1), got.Legs[0].SentAt, "the first that may have run")
		require.Equal(t, Leg{SentAt: 1e6, NeverRan: true}, got.Legs[maxLegs-1])
		again.copyForward(again.segments[0])
	}
}

func TestUnreadableSegmentDoesNotPreventStart(t *testing.T) {
	dir := t.TempDir()
	name := filepath.Join(dir, "000000000001.seg")
	require.NoError(t, os.Mkdir(name, 0o700)) // reading it fails
	s, notes, err := Open(dir, testCapacity)
	require.NoError(t, err)
	require.Len(t, notes, 1)
	require.NoError(t, s.Accept(newMessage("a", 1)))
	require.NoError(t, s.Close())
	require.DirExists(t, name)
}

// Simulates a kill at every byte written between the first copy of a pending message and the removal of its old segment.
func TestKillDuringCopyForwardKeepsPendingMessages(t *testing.T) {
	dir := t.TempDir()
	s := openSpool(t, dir, testCapacity)
	for i, m := range []*Message{newMessage("completed", 9), newMessage("a", 40), newMessage("started", 20), newMessage("neverran", 0),
		newMessage("undelivered", 70)} {
		require.NoError(t, s.Accept(m))
		require.NoError(t, s.AddLeg(m, Leg{SentAt: int64(i), Zone: 1}))
		switch m.ID {
		case "completed":
			require.NoError(t, s.Complete(m))
		case "neverran":
			require.NoError(t, s.MarkNeverRan(m))
		case "undelivered":
			require.NoError(t, s.MarkUndelivered(m, true, 5))
		}
	}
	want := withoutPosition(s.Pending())
	require.NoError(t, s.startSegment())
	oldest, newest := s.segments[0], s.segments[1]
	from := newest.size
	require.True(t, s.copyForward(oldest))
	data, err := os.ReadFile(s.segmentPath(newest))
	require.NoError(t, err)
	for cut := from; cut <= int64(len(data)); cut++ {
		killed := t.TempDir()
		old, err := os.ReadFile(s.segmentPath(oldest))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(killed, filepath.Base(s.segmentPath(oldest))), old, 0o600))
		require.NoError(t, os.WriteFile(filepath.Join(killed, filepath.Base(s.segmentPath(newest))), data[:cut], 0o600))
		again := openSpool(t, killed, testCapacity)
		require.Equal(t, want, withoutPosition(again.Pending()), "cut at %d", cut)
		for _, m := range again.Pending() {
			require.NoError(t, again.Complete(m))
		}
		require.Empty(t, openSpool(t, killed, testCapacity).Pending(), "completed messages stay complete, cut at %d", cut)
	}
}

// File descriptors may be exhausted just when a segment is full.
func TestRecordsContinueWhenSegmentCannotBeCreated(t *testing.T) {
	const capacity = 32 << 10
	dir := t.TempDir()
	s := openSpool(t, dir, capacity)
	next := filepath.Join(dir, fmt.Sprintf("%012d.seg", s.lastNumber+1))
	require.NoError(t, os.Mkdir(next, 0o700)) // creating it fails
	for i := range 12 {
		require.NoError(t, s.Accept(newMessage(fmt.Sprint(i), 1000)))
	}
	require.Len(t, s.segments, 1)
	require.NoError(t, os.Remove(next))
	require.NoError(t, s.Accept(newMessage("last", 1)))
	require.Len(t, s.segments, 2)
	require.Len(t, pendingAfterKill(t, dir), 13)
}
