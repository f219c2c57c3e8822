package keep

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/kept"
)

const secret = "what-acme-would-have-gone"

// residue counts the files that contain the secret, in plain text or base64-encoded by JSON at any of the three offsets.
func residue(t *testing.T, dir string) (n int) {
	t.Helper()
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, f := range files {
		data, err := os.ReadFile(filepath.Join(dir, f.Name()))
		require.NoError(t, err)
		found := bytes.Contains(data, []byte(secret))
		for pad := range 3 {
			text := base64.StdEncoding.EncodeToString(append(make([]byte, pad), secret...))
			found = found || bytes.Contains(data, []byte(text[4:len(text)-4]))
		}
		if found {
			n++
		}
	}
	return n
}

func filledStore(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir, 0, 0)
	require.NoError(t, err)
	var rs []*kept.Record
	for i := range 1300 {
		body := fmt.Sprintf("%d of bee", i)
		if i%2 == 0 {
			body = fmt.Sprintf("%d%s", i, secret)
		}
		r := kept.New(fmt.Sprintf("m%d", i), "l", int64(1+i%2), "k", "", []byte(body), int64(i), false, 0, nil, nil)
		r.AcceptSeq = int64(i)
		rs = append(rs, r)
	}
	_, err = s.Add(rs, 0)
	require.NoError(t, err)
	for i := range 100 { // deleted long before, but still in free pages
		require.NoError(t, s.Drop(fmt.Sprintf("m%d", i)))
	}
	return s
}

func TestPurgeLeavesNoResidue(t *testing.T) {
	dir := t.TempDir()
	s := filledStore(t, dir)
	match := func(r *kept.Record) bool { return r.Dst == 1 && r.AcceptSeq <= 1500 }
	all := func(r *kept.Record) bool { return r.Dst == 1 }

	rs, _, err := s.Page(nil, all)
	require.NoError(t, err)
	require.NoError(t, s.deleteAll(rs))
	require.Positive(t, residue(t, dir), "a plain delete leaves residue, and the check finds it")

	dropped, size, err := s.Purge(all)
	require.NoError(t, err)
	assert.Positive(t, dropped)
	assert.Positive(t, size)
	assert.Zero(t, residue(t, dir))
	n, err := s.CountMatching(all)
	require.NoError(t, err)
	assert.Zero(t, n)

	s.Fence(match)
	old := kept.New("late", "l", 1, "", "", []byte("1"+secret), 1, false, 0, nil, nil)
	newer := kept.New("newer", "l", 1, "", "", []byte("newer"), 1, false, 0, nil, nil)
	newer.AcceptSeq = 1501
	_, err = s.Add([]*kept.Record{old, newer}, 0)
	require.NoError(t, err)
	_, _, err = s.Purge(match)
	require.NoError(t, err)
	_, err = s.Get("late")
	require.ErrorIs(t, err, ErrNotFound)
	st, err := s.Stats()
	require.NoError(t, err)
	assert.Equal(t, 600+1, st.Records, "the other tenant's, and the newer one")
	require.NoError(t, s.Close())
	again, err := Open(dir, 0, 0)
	require.NoError(t, err)
	_, err = again.Get("m101")
	require.NoError(t, err)
	require.NoError(t, again.Close())
}

// After a purge that a crash or a full disk interrupted, the other records are intact and another purge completes the work.
func TestInterruptedPurgeOfStore(t *testing.T) {
	dir := t.TempDir()
	s := filledStore(t, dir)
	all := func(r *kept.Record) bool { return r.Dst == 1 }
	blocked := filepath.Join(dir, fileName+newFileSuffix)
	require.NoError(t, os.Mkdir(blocked, 0o700))
	_, _, err := s.Purge(all)
	require.Error(t, err)
	_, err = s.Get("m101")
	require.NoError(t, err)
	require.NoError(t, os.Remove(blocked))
	require.NoError(t, s.Close())
	require.NoError(t, os.WriteFile(blocked, []byte("half a file "+secret), 0o600))
	s, err = Open(dir, 0, 0)
	require.NoError(t, err)
	_, _, err = s.Purge(all)
	require.NoError(t, err)
	assert.Zero(t, residue(t, dir))
	require.NoError(t, s.Close())
}
