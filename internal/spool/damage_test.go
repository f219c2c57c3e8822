package spool

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// populateSealed fills a folder with n messages to two destinations in several sealed segments, some with legs, some completed.
func populateSealed(t *testing.T, dir string, capacity int64, n int) map[string]Message {
	t.Helper()
	s, all := openSmallSegments(t, dir, capacity, 900), map[string]Message{}
	for i := range n {
		m := newMessageTo(fmt.Sprint("m", i), int64(1+i%2), 30)
		m.OrderKey = fmt.Sprint("k", i%3)
		if i%5 > 0 {
			require.NoError(t, s.Spill(m))
			all[m.ID] = persistentFields(m)
			continue
		}
		require.NoError(t, s.Accept(m))
		require.NoError(t, s.AddLeg(m, Leg{SentAt: int64(i + 1)}))
		switch i % 3 {
		case 0:
			require.NoError(t, s.Complete(m))
			continue
		case 1:
			require.NoError(t, s.MarkUndelivered(m, true, 9))
		}
		all[m.ID] = persistentFields(m)
	}
	require.NoError(t, s.Close())
	return all
}

// copyWithFile links the folder, with the content of one file replaced. Links suffice, as a spool never writes to an existing file.
func copyWithFile(t *testing.T, dir, name string, data []byte) string {
	t.Helper()
	next, err := os.MkdirTemp(filepath.Dir(dir), "damaged")
	require.NoError(t, err)
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, f := range files {
		if f.Name() != name {
			require.NoError(t, os.Link(filepath.Join(dir, f.Name()), filepath.Join(next, f.Name())))
		}
	}
	require.NoError(t, os.WriteFile(filepath.Join(next, name), data, 0o600))
	return next
}

func indexesOf(t *testing.T, dir string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*"+indexExtension))
	require.NoError(t, err)
	return names
}

// updateChecksum sets the checksum of an index summary to match its content.
func updateChecksum(t *testing.T, data []byte, p layout) {
	t.Helper()
	end := p.statesEnd()
	binary.LittleEndian.PutUint32(data[end:], crc32.ChecksumIEEE(data[:end]))
}

func summaryOf(t *testing.T, data []byte) summary {
	t.Helper()
	got, ok := readSummary(bytes.NewReader(data), int64(len(data)), int64(binary.LittleEndian.Uint64(data[8:])), nil)
	require.True(t, ok)
	return got
}

// Guards against trusting a damaged index: one with any byte flipped, truncated anywhere, of another version or segment, or missing, is
// rebuilt from its segment.
func TestDamagedIndexIsRebuilt(t *testing.T) {
	t.Parallel()
	const capacity = testCapacity
	dir := filepath.Join(t.TempDir(), "whole")
	require.NoError(t, os.Mkdir(dir, 0o700))
	want := populateSealed(t, dir, capacity, 36)
	names := indexesOf(t, dir)
	require.Greater(t, len(names), 2)
	for _, at := range []int{0, len(names) / 2, len(names) - 1} {
		whole, err := os.ReadFile(names[at])
		require.NoError(t, err)
		damage := func(data []byte, what string, i int) {
			next := copyWithFile(t, dir, filepath.Base(names[at]), data)
			requireSame(t, want, pendingIn(t, next, capacity), "%s at byte %d of index %d", what, i, at)
			if i%6 == 0 {
				requireSame(t, want, pendingIn(t, next, capacity), "once more, %s at byte %d of index %d", what, i, at)
			}
			require.NoError(t, os.RemoveAll(next))
		}
		for i := range whole {
			if at != len(names)/2 && i%9 > 0 { // every byte of one index, a sample of the others
				continue
			}
			flipped := slices.Clone(whole)
			flipped[i] ^= 1 << (i % 8)
			damage(flipped, "flipped", i)
			if i%7 == 0 {
				damage(whole[:i], "cut", i)
			}
		}
		other := slices.Clone(whole)
		other[6] = '9'
		updateChecksum(t, other, summaryOf(t, whole).layout)
		damage(other, "unknown version", 6)
		other, err = os.ReadFile(names[(at+1)%len(names)])
		require.NoError(t, err)
		damage(other, "of another segment", 0)
	}
	for _, name := range names {
		require.NoError(t, os.Remove(name))
	}
	requireSame(t, want, pendingIn(t, dir, capacity), "another start")
}

// recordOffsets lists where each record of a segment begins, and where the last one ends.
func recordOffsets(t *testing.T, data []byte) (at []int) {
	t.Helper()
	rest := data[len(segmentMagic):]
	for len(rest) > 0 {
		at = append(at, len(data)-len(rest))
		var record []byte
		record, rest = nextRecord(rest)
		require.NotNil(t, record)
	}
	return append(at, len(data))
}

// loadEverything loads all spilled messages, and returns them with the reported damage.
func loadEverything(t *testing.T, s *Spool) (got map[string]Message, damage []*DamagedError) {
	t.Helper()
	got = map[string]Message{}
	for _, m := range s.Pending() {
		got[m.ID] = persistentFields(m)
	}
	for _, dst := range s.SpilledDestinations() {
		ms, err := s.Load(dst, 1000)
		for _, m := range ms {
			got[m.ID] = persistentFields(m)
		}
		damage = append(damage, damageErrors(t, err)...)
	}
	require.Zero(t, s.SpilledTotal())
	return got, damage
}

func damageErrors(t *testing.T, err error) (all []*DamagedError) {
	t.Helper()
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		for _, one := range joined.Unwrap() {
			all = append(all, damageErrors(t, one)...)
		}
		return all
	}
	var one *DamagedError
	require.ErrorAs(t, err, &one)
	return append(all, one)
}

// A byte flipped anywhere in a sealed segment loses only the message of that record, and the damage is reported once.
func TestBitFlipLosesOnlyItsMessage(t *testing.T) {
	t.Parallel()
	const capacity = testCapacity
	dir := filepath.Join(t.TempDir(), "whole")
	require.NoError(t, os.Mkdir(dir, 0o700))
	want := populateSealed(t, dir, capacity, 36)
	name := filepath.Join(dir, "000000000002.seg")
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	at := recordOffsets(t, whole)
	for i := len(segmentMagic); i < len(whole); i++ {
		flipped := slices.Clone(whole)
		flipped[i] ^= 1 << (i % 8)
		next := copyWithFile(t, dir, filepath.Base(name), flipped)
		s, notes, err := OpenBacklog(next, capacity)
		require.NoError(t, err)
		got, damage := loadEverything(t, s)
		k, _ := slices.BinarySearch(at, i+1)
		record := whole[at[k-1]+headerSize : at[k]]
		d := &decoder{rest: record[1:]}
		id := string(d.bytes())
		left := maps.Clone(want)
		_, pending := want[id]
		if pending && record[0] == recAccepted {
			delete(left, id)
			require.Equal(t, 1, len(damage)+len(notes), "byte %d", i)
			for _, e := range damage {
				require.Equal(t, DamagedError{Segment: 2, Offset: int64(at[k-1]), Err: e.Err}, *e)
			}
		}
		requireSame(t, left, got, "byte %d", i)
		_, again := loadEverything(t, s)
		require.Empty(t, again, "reported once")
		require.NoError(t, s.Close())
		require.NoError(t, os.RemoveAll(next))
	}
}

// A truncated segment loses what was behind the cut. Without its index it also loses what its tail recorded about older messages.
func TestTruncatedSegmentLosesOnlyItsTail(t *testing.T) {
	t.Parallel()
	const capacity = testCapacity
	dir := filepath.Join(t.TempDir(), "whole")
	require.NoError(t, os.Mkdir(dir, 0o700))
	want := populateSealed(t, dir, capacity, 36)
	name := filepath.Join(dir, "000000000003.seg")
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	at := recordOffsets(t, whole)
	for i := len(segmentMagic); i < len(whole); i++ {
		left := maps.Clone(want)
		for k := range len(at) - 1 {
			record := whole[at[k]+headerSize : at[k+1]]
			if d := (&decoder{rest: record[1:]}); at[k+1] > i && record[0] == recAccepted {
				delete(left, string(d.bytes()))
			}
		}
		next := copyWithFile(t, dir, filepath.Base(name), whole[:i])
		got, _ := loadEverything(t, openWithBacklog(t, next, capacity))
		requireSame(t, left, got, "cut at %d", i)
		require.NoError(t, os.RemoveAll(next))

		next = copyWithFile(t, dir, filepath.Base(name), whole[:i])
		old := idsOf(openSpool(t, next, capacity).Pending())
		slices.Sort(old)
		require.NoError(t, os.RemoveAll(next))

		next = copyWithFile(t, dir, filepath.Base(name), whole[:i])
		require.NoError(t, os.Remove(filepath.Join(next, "000000000003.idx")))
		got, _ = loadEverything(t, openWithBacklog(t, next, capacity))
		require.Equal(t, old, slices.Sorted(maps.Keys(got)), "as without the backlog, cut at %d", i)
		require.NoError(t, os.RemoveAll(next))
	}
}

func TestUnknownSegmentDoesNotAffectOthers(t *testing.T) {
	const capacity = testCapacity
	dir := filepath.Join(t.TempDir(), "whole")
	require.NoError(t, os.Mkdir(dir, 0o700))
	want := populateSealed(t, dir, capacity, 36)
	name := filepath.Join(dir, "000000000002.seg")
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	data[5] = '9'
	require.NoError(t, os.WriteFile(name, data, 0o600))
	s, notes, err := OpenBacklog(dir, capacity)
	require.NoError(t, err)
	require.Len(t, notes, 1)
	got, _ := loadEverything(t, s)
	require.Less(t, len(got), len(want))
	for id, m := range got {
		require.Equal(t, want[id], m)
	}
	require.FileExists(t, name)
}

// A read error keeps the messages for the next start, and the others of their destination are loaded.
func TestReadErrorKeepsMessagesForNextStart(t *testing.T) {
	const capacity = testCapacity
	dir := filepath.Join(t.TempDir(), "whole")
	require.NoError(t, os.Mkdir(dir, 0o700))
	want := populateSealed(t, dir, capacity, 36)
	s := openWithBacklog(t, dir, capacity)
	name, moved := filepath.Join(dir, "000000000002.seg"), filepath.Join(t.TempDir(), "moved")
	require.NoError(t, os.Rename(name, moved))
	require.NoError(t, os.Mkdir(name, 0o700)) // opening it succeeds, reading it fails
	got, damage := loadEverything(t, s)
	require.NotEmpty(t, damage)
	for _, e := range damage {
		assert.Equal(t, int64(2), e.Segment)
		require.NotErrorIs(t, e, errBadRecord)
	}
	require.Equal(t, len(want), len(got)+len(damage))
	require.False(t, s.copyForward(s.segmentByNumber(2)), "messages kept for the next start keep their segment")
	require.NoError(t, s.Close())
	require.NoError(t, os.Remove(name))
	require.NoError(t, os.Rename(moved, name))
	requireSame(t, want, pendingIn(t, dir, capacity), "another start")
}

// corruptOffsets changes the record offsets in the index of a segment.
func corruptOffsets(t *testing.T, name string) {
	t.Helper()
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	p := summaryOf(t, data).layout
	for pos := range p.entries {
		data[p.entryAt(pos)+40] ^= 1 // its offset
	}
	require.NoError(t, os.WriteFile(name, data, 0o600))
}

// Every operation that reads an index body rebuilds it first if it was damaged before its first use.
func TestDamagedIndexBodyIsRebuiltOnFirstUse(t *testing.T) {
	dir := t.TempDir()
	want := populateSealed(t, dir, testCapacity, 36)
	name := filepath.Join(dir, "000000000002.idx")
	all := func(*Message) bool { return true }
	for what, call := range map[string]func(s *Spool) error{
		"load":     func(s *Spool) error { _, err := s.Load(1, 1000); return err },
		"expiring": func(s *Spool) error { _, err := s.LoadExpiring(noExpiry, 1000); return err },
		"matching": func(s *Spool) error { _, err := s.LoadMatching(all, 1000); return err },
		"pending":  func(s *Spool) error { s.PendingMatching(all); return nil },
		"copy":     func(s *Spool) error { require.True(t, s.copyForward(s.segmentByNumber(2))); return nil },
		"has": func(s *Spool) error {
			for id, m := range want {
				require.Equal(t, !m.Ended, s.Has(id), id)
			}
			return nil
		},
	} {
		next := copyFolder(t, dir)
		damagedName := filepath.Join(next, filepath.Base(name))
		corruptOffsets(t, damagedName)
		s := openWithBacklog(t, next, testCapacity)
		require.NoError(t, call(s), what)
		data, err := os.ReadFile(damagedName)
		require.NoError(t, err)
		require.True(t, bodyIntact(data[summaryOf(t, data).bodyAt():]), what)
		require.NoError(t, s.Close())
		requireSame(t, want, pendingIn(t, next, testCapacity), "after %s", what)
	}
}

// If the segment is truncated as well, what was behind the cut is lost, and reported.
func TestDamagedIndexBodyOfTruncatedSegment(t *testing.T) {
	dir := t.TempDir()
	want := populateSealed(t, dir, testCapacity, 36)
	corruptOffsets(t, filepath.Join(dir, "000000000002.idx"))
	name := filepath.Join(dir, "000000000002.seg")
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	at := recordOffsets(t, whole)
	cut := at[len(at)/2]
	require.NoError(t, os.WriteFile(name, whole[:cut], 0o600))
	left := maps.Clone(want)
	for k := len(at) / 2; k < len(at)-1; k++ {
		record := whole[at[k]+headerSize : at[k+1]]
		if d := (&decoder{rest: record[1:]}); record[0] == recAccepted {
			delete(left, string(d.bytes()))
		}
	}
	s := openWithBacklog(t, dir, testCapacity)
	count := 0
	got, damage := loadEverything(t, s)
	requireSame(t, left, got, "cut at %d", cut)
	for _, e := range damage {
		require.ErrorIs(t, e, errBadRecord)
		count++
	}
	require.Positive(t, count)
	pending, live := 0, int64(0)
	for _, seg := range s.segments {
		pending, live = pending+seg.pending, live+seg.liveBytes
	}
	require.Equal(t, len(got), pending)
	require.Equal(t, s.liveBytes, live)
}

// An index damaged after it was verified loses nothing: messages at wrong positions are kept for the next start, which rebuilds the
// index.
func TestIndexDamagedAfterVerificationLosesNothing(t *testing.T) {
	dir := t.TempDir()
	want := populateSealed(t, dir, testCapacity, 36)
	s := openWithBacklog(t, dir, testCapacity)
	_, err := s.verifyIndex(s.segmentByNumber(2))
	require.NoError(t, err)
	corruptOffsets(t, filepath.Join(dir, "000000000002.idx"))
	got, damage := loadEverything(t, s)
	require.NotEmpty(t, damage)
	require.Equal(t, len(want), len(got)+len(damage))
	require.NoError(t, s.Close())
	requireSame(t, want, pendingIn(t, dir, testCapacity), "another start")
}

// A start that looks up a message by ID in an index with a damaged body rebuilds that index first.
func TestStartRebuildsDamagedIndexBody(t *testing.T) {
	dir := t.TempDir()
	s, w := openSmallSegments(t, dir, testCapacity, 900), newModel()
	var early *Message
	for i := range 30 {
		m := newMessageTo(fmt.Sprint("m", i), 1, 30)
		if i == 3 {
			require.NoError(t, s.Accept(m)) // the only message with a state in the next index
			early, w.active[m.ID] = m, m
			continue
		}
		require.NoError(t, s.Spill(m))
		w.spilled[m.ID] = persistentFields(m)
	}
	require.NotEqual(t, s.newestSegment(), early.segment)
	require.NoError(t, s.AddLeg(early, Leg{SentAt: 8}))
	corruptOffsets(t, s.indexPath(early.segment))
	again := openWithBacklog(t, copyFolder(t, dir), testCapacity)
	w.restart(t, again)
	w.check(t, again)
	requireSame(t, w.all(), pendingIn(t, dir, testCapacity), "loaded")
}
