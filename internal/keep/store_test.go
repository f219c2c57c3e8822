package keep

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"ravenlink/internal/kept"
)

const second = int64(1_000_000)

func openStore(t *testing.T, dir string, maxBytes, maxAge int64) *Store {
	t.Helper()
	s, err := Open(dir, maxBytes, maxAge)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func record(id string, at int64) *kept.Record {
	return kept.New(id, "order", 7, "k"+id, "", []byte("body\x00\xff"), at, false, 0, []kept.Leg{{At: at - second, Result: "timed out"}}, nil)
}

func allIDs(t *testing.T, s *Store) (ids []string) {
	t.Helper()
	for from := []byte(nil); ; {
		rs, next, err := s.Page(from, nil)
		require.NoError(t, err)
		for _, r := range rs {
			ids = append(ids, r.ID)
		}
		if from = next; from == nil {
			return ids
		}
	}
}

func TestRecordsSurviveRestartWithoutDuplicates(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir, 0, 0)
	want := record("a", 5*second)
	_, err := s.Add([]*kept.Record{want, record("b", 4*second)}, 5*second)
	require.NoError(t, err)
	require.NoError(t, s.Update("a", func(r *kept.Record) error { return r.Transition(kept.Resending, 6*second, "rule 1") }))
	require.NoError(t, s.Close())
	s = openStore(t, dir, 0, 0)
	_, err = s.Add([]*kept.Record{want}, 7*second) // the end is reported again after a crash
	require.NoError(t, err)
	got, err := s.Get("a")
	require.NoError(t, err)
	assert.Equal(t, kept.Resending, got.State, "the repeated end does not reset the state")
	assert.Equal(t, want.Body, got.Body)
	assert.Equal(t, []string{"b", "a"}, allIDs(t, s))
	_, err = s.Get("c")
	assert.ErrorIs(t, err, ErrNotFound)
}

func TestFailedUpdateLeavesRecordUnchanged(t *testing.T) {
	s := openStore(t, t.TempDir(), 0, 0)
	_, err := s.Add([]*kept.Record{record("a", second)}, second)
	require.NoError(t, err)
	assert.Error(t, s.Update("a", func(r *kept.Record) error { return r.Transition(kept.Delivered, second, "no way there") }))
	assert.Error(t, s.Update("a", func(r *kept.Record) error { r.Class = "x"; return errors.New("no") }))
	got, err := s.Get("a")
	require.NoError(t, err)
	assert.Equal(t, record("a", second), got)
}

func TestOldestEvictableRecordIsEvictedFirst(t *testing.T) {
	s := openStore(t, t.TempDir(), 4000, 0)
	size := int64(0)
	for i := range 6 {
		_, err := s.Add([]*kept.Record{record(fmt.Sprint(i), int64(i+1)*second)}, 10*second)
		require.NoError(t, err)
		if i == 0 {
			st, err := s.Stats()
			require.NoError(t, err)
			size = st.Bytes
		}
	}
	require.NoError(t, s.Update("0", func(r *kept.Record) error { return r.Transition(kept.Resending, 11*second, "") }))
	require.NoError(t, s.Update("3", func(r *kept.Record) error { return r.Transition(kept.Held, 11*second, "") }))
	gone := 0
	for i := 6; gone < 2 && i < 40; i++ {
		n, err := s.Add([]*kept.Record{record(fmt.Sprint(i), int64(i+1)*second)}, 50*second)
		require.NoError(t, err)
		if gone += n; n > 0 && gone == 1 {
			assert.NotContains(t, allIDs(t, s), "3", "the held record first: it is the oldest evictable one")
			assert.Contains(t, allIDs(t, s), "1")
		}
	}
	assert.Contains(t, allIDs(t, s), "0", "a record being resent is never evicted")
	assert.NotContains(t, allIDs(t, s), "1", "then the oldest waiting record")
	st, err := s.Stats()
	require.NoError(t, err)
	assert.LessOrEqual(t, st.Bytes, int64(4000))
	assert.EqualValues(t, 2, st.Evicted)
	assert.Equal(t, len(allIDs(t, s)), st.Records)
	big := record("big", 60*second)
	big.Body = make([]byte, 5000)
	_, err = s.Add([]*kept.Record{big}, 60*second)
	assert.ErrorIs(t, err, ErrFull)
	assert.Positive(t, size)
}

func TestRecordsOverMaxAgeAreEvicted(t *testing.T) {
	s := openStore(t, t.TempDir(), 0, 100*second)
	for i := range 5 {
		r := record(fmt.Sprint(i), int64(i+1)*second)
		require.NoError(t, r.Transition(kept.Held, r.StoredAt, ""))
		_, err := s.Add([]*kept.Record{r}, r.StoredAt)
		require.NoError(t, err)
	}
	n, err := s.Add([]*kept.Record{record("new", 104*second)}, 104*second)
	require.NoError(t, err)
	assert.Equal(t, 3, n)
	assert.Equal(t, []string{"3", "4", "new"}, allIDs(t, s))
}

func TestOpenReportsUnusableFiles(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir, 0, 0)
	_, err := Open(dir, 0, 0)
	assert.ErrorIs(t, err, ErrInUse)
	require.NoError(t, s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(formatKey, []byte("9")) }))
	require.NoError(t, s.Close())
	_, err = Open(dir, 0, 0)
	assert.ErrorContains(t, err, "form 9")
	require.NoError(t, os.WriteFile(filepath.Join(dir, fileName), []byte("this is no store, though as long as some are"), 0o600))
	_, err = Open(dir, 0, 0)
	assert.ErrorContains(t, err, "kept.db")
	assert.True(t, Exists(dir))
}

func TestPageSplitsLongLists(t *testing.T) {
	s := openStore(t, t.TempDir(), 0, 0)
	var rs []*kept.Record
	for i := range 2*pageSize + 5 {
		rs = append(rs, record(fmt.Sprintf("%05d", i), int64(i+2)*second))
	}
	_, err := s.Add(rs, second)
	require.NoError(t, err)
	assert.Len(t, allIDs(t, s), len(rs))
	some, _, err := s.Page(nil, func(r *kept.Record) bool { return r.ID < "00003" })
	require.NoError(t, err)
	assert.Len(t, some, 3)
}
