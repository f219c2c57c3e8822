package fleetlog

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
)

const most = 400 << 10

func open(t *testing.T, dir string) *Log {
	t.Helper()
	l, notes, err := Open(dir, most)
	require.NoError(t, err)
	require.Empty(t, notes)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// raw changes the file behind the log's back.
func raw(t *testing.T, dir string, f func(*bbolt.Tx) error) {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, fileName), 0o600, &bbolt.Options{Timeout: lockFor})
	require.NoError(t, err)
	require.NoError(t, db.Update(f))
	require.NoError(t, db.Close())
}

// folder is all bytes of all files.
func folder(t *testing.T, dir string) (all []byte) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	for _, name := range names {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		all = append(all, text...)
	}
	return all
}

func TestWhatIsWrittenOutlastsTheProcess(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	first, err := l.Start()
	require.NoError(t, err)
	assert.NotZero(t, first.Folder)
	assert.Equal(t, uint64(1), first.Incarnation)
	require.NoError(t, l.Put(Record{Purge, "b", 3, []byte("two")}, Record{Purge, "a", 1, nil}, Record{Channels, "a", 1, []byte("x")}))
	require.NoError(t, l.SetEpoch("view", 7))
	require.NoError(t, l.SetEpoch("view", 5))
	require.NoError(t, l.Close())
	l = open(t, dir)
	id, err := l.Start()
	require.NoError(t, err)
	assert.Equal(t, Identity{first.Folder, 2}, id)
	n, err := l.Epoch("view")
	require.NoError(t, err)
	assert.Equal(t, uint64(7), n, "an epoch never falls")
	var got []string
	require.NoError(t, l.Each(Purge, func(r Record) error {
		got = append(got, fmt.Sprintf("%s v%d %s", r.Key, r.Version, r.Value))
		return nil
	}))
	assert.Equal(t, []string{"a v1 ", "b v3 two"}, got)
	strange := errors.New("a version that its module does not know")
	assert.Equal(t, strange, l.Each(Purge, func(Record) error { return strange }))
	other := open(t, t.TempDir())
	id, err = other.Start()
	require.NoError(t, err)
	assert.NotEqual(t, first.Folder, id.Folder, "each folder draws its own")
}

func TestATornRecordIsCutWithANote(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	require.NoError(t, l.Put(Record{Purge, "good", 1, []byte("a")}, Record{Purge, "bent", 1, []byte("fence 5")}, Record{Purge, "short", 1, nil}))
	require.NoError(t, l.Close())
	raw(t, dir, func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte(Purge))
		v := append([]byte(nil), b.Get([]byte("bent"))...)
		v[len(v)-1]++
		return errors.Join(b.Put([]byte("bent"), v), b.Put([]byte("short"), []byte{1}), b.Put([]byte("moved"), b.Get([]byte("good"))))
	})
	l, notes, err := Open(dir, most)
	require.NoError(t, err)
	assert.Len(t, notes, 3)
	assert.Contains(t, strings.Join(notes, ";"), `record "bent" of purge is not whole`)
	_, found, err := l.Get(Purge, "good")
	require.NoError(t, err)
	assert.True(t, found)
	_, found, err = l.Get(Purge, "bent")
	require.NoError(t, err)
	assert.False(t, found)
	require.NoError(t, l.Close())
	open(t, dir)
}

func TestAFileOfAnotherFormOrTornIsRefusedUnchanged(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	l := open(t, dir)
	for i := range 30 {
		require.NoError(t, l.Put(Record{Purge, fmt.Sprint(i), 1, make([]byte, 1000)}))
	}
	require.NoError(t, l.Close())
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, n := range []int{1, 5000, 20_000, len(whole) / 2} { // a file that ends early faults where it is mapped
		require.NoError(t, os.WriteFile(path, whole[:n], 0o600))
		_, _, err := Open(dir, most)
		require.Error(t, err, n)
	}
	require.NoError(t, os.WriteFile(path, whole, 0o600))
	raw(t, dir, func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(formKey, []byte("2")) })
	before, err := os.ReadFile(path)
	require.NoError(t, err)
	_, _, err = Open(dir, most)
	require.ErrorIs(t, err, ErrForm)
	after, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, before, after)
}

func TestTheFolderStaysWithinItsBound(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	draw := rand.New(rand.NewPCG(1, 2))
	full, held := 0, map[string]int{}
	for range 1500 {
		key := fmt.Sprint(draw.IntN(400))
		if draw.IntN(4) == 0 {
			require.NoError(t, l.Delete(Channels, key))
			delete(held, key)
			continue
		}
		size := draw.IntN([]int{60, 1200, 3000, 9000}[draw.IntN(4)])
		switch err := l.Put(Record{Channels, key, 1, make([]byte, size)}); {
		case errors.Is(err, ErrFull):
			full++
		default:
			require.NoError(t, err)
			held[key] = size
		}
		require.LessOrEqual(t, l.Size(), int64(most*6/10), "so that a compacted one finds room beside it")
	}
	assert.NotZero(t, full)
	seen := 0
	require.NoError(t, l.Each(Channels, func(r Record) error {
		seen++
		assert.Len(t, r.Value, held[r.Key])
		return nil
	}))
	assert.Len(t, held, seen, "a refused record changes nothing")
	live := l.live
	require.NoError(t, l.Close())
	assert.Equal(t, live, open(t, dir).live)
	assert.ErrorIs(t, l.Put(Record{Purge, "", 1, nil}), ErrSize)
	assert.ErrorIs(t, l.Put(Record{Purge, "a", 1, make([]byte, mostValue+1)}), ErrSize)
}

func TestNothingOfAWipedRecordIsLeft(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	secret := bytes.Repeat([]byte("the tenant's own words "), 20)
	require.NoError(t, l.Put(Record{Channels, "kept", 1, []byte("of another tenant")}))
	for i := range 30 {
		require.NoError(t, l.Put(Record{Channels, "wiped", 1, append([]byte(fmt.Sprint(i)), secret...)}, Record{Channels, fmt.Sprint("k", i), 1, nil}))
	}
	require.NoError(t, l.Delete(Channels, "wiped"))
	assert.Contains(t, string(folder(t, dir)), "the tenant's own words", "Delete alone leaves its bytes in free pages")
	held, err := os.Open(filepath.Join(dir, fileName)) // the old file, which has no name afterwards
	require.NoError(t, err)
	defer held.Close()
	require.NoError(t, l.Wipe(Channels, "k3"))
	assert.NotContains(t, string(folder(t, dir)), "the tenant's own words")
	assert.Contains(t, string(folder(t, dir)), "of another tenant")
	old := make([]byte, 1<<20)
	n, err := held.Read(old)
	require.NoError(t, err)
	assert.Equal(t, make([]byte, n), old[:n], "its blocks were overwritten before they were given back")
	_, found, err := l.Get(Channels, "k4")
	require.NoError(t, err)
	assert.True(t, found)
}

// A process that dies at any step of replacing the file leaves a folder that opens, with what was in force.
func TestADeathWhileTheFileIsReplacedLosesNothing(t *testing.T) {
	for step, die := range []func(dir string) error{
		func(dir string) error {
			return os.WriteFile(filepath.Join(dir, newName), []byte("half written"), 0o600)
		},
		func(dir string) error { return os.Link(filepath.Join(dir, fileName), filepath.Join(dir, oldName)) },
		func(dir string) error { return os.WriteFile(filepath.Join(dir, oldName), []byte("replaced"), 0o600) },
	} {
		dir := t.TempDir()
		l := open(t, dir)
		require.NoError(t, l.Put(Record{Purge, "fence", 1, []byte("5")}))
		require.NoError(t, l.Close())
		require.NoError(t, die(dir))
		r, found, err := open(t, dir).Get(Purge, "fence")
		require.NoError(t, err)
		assert.True(t, found, step)
		assert.Equal(t, "5", string(r.Value))
		names, err := os.ReadDir(dir)
		require.NoError(t, err)
		assert.Len(t, names, 1, step)
	}
}

// Channels have what they claimed, and the others a part of the room whatever channels claim; what does not grow is always written.
func TestTheRoomIsDivided(t *testing.T) {
	l := open(t, t.TempDir())
	room := Room(most)
	require.False(t, l.Claim(room), "a part is kept for the others")
	require.True(t, l.Claim(l.ChannelRoom()))
	value := make([]byte, 700)
	fill := func(b Bucket) (n int) {
		for ; n < 1000; n++ {
			if err := l.Put(Record{b, fmt.Sprint(n), 1, value}); err != nil {
				require.ErrorIs(t, err, ErrFull)
				break
			}
		}
		return n
	}
	others := int64(fill(Purge)) * Cost(3, len(value))
	require.Positive(t, others)
	require.LessOrEqual(t, others, room/otherPart+Cost(3, len(value)))
	for n := int64(0); n+Cost(5, len(value)) <= l.ChannelRoom(); n += Cost(5, len(value)) {
		require.NoError(t, l.Put(Record{Channels, fmt.Sprintf("c%04d", n/100), 1, value}), "what was claimed is there")
	}
	require.True(t, l.Claim(0))
	for n := 0; l.Put(Record{Purge, fmt.Sprint("rest", n), 1, value}) == nil; n++ {
		require.Less(t, n, 10, "it is taken, though not claimed")
	}
	require.NoError(t, l.Delete(Channels, "c0000"))
	require.NoError(t, l.Put(Record{Purge, "more", 1, value}))
	for n := range 50 {
		require.NoError(t, l.Put(Record{Channels, "c0007", 1, append(value[:600], byte(n))}), "a full log takes what does not grow")
	}
}

// A step that forgets and writes down counts as a whole.
func TestAStepInAFullLog(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	value := make([]byte, 700)
	n := 0
	for ; l.Put(Record{Channels, fmt.Sprint("k", n), 1, value}) == nil; n++ {
	}
	require.ErrorIs(t, l.Change([]Record{{Channels, "new", 1, value}, {Channels, "newer", 1, value}}, []Key{{Channels, "k1"}}), ErrFull)
	_, found, err := l.Get(Channels, "k1")
	require.NoError(t, err)
	require.True(t, found, "a refused step changes nothing")
	require.NoError(t, l.Change([]Record{{Channels, "new", 1, value}}, []Key{{Channels, "k1"}, {Channels, "k2"}}))
	live := l.live
	require.NoError(t, l.Close())
	require.Equal(t, live, open(t, dir).live)
}

// Guards against channels that stop though their rows are on disk: compacting the file failed, behind the step that had written them.
func TestAFailedCompactionFailsNoWrite(t *testing.T) {
	for _, blocked := range []string{newName, oldName} { // before the file is closed, and after
		dir := t.TempDir()
		l, _, err := Open(dir, LeastBytes)
		require.NoError(t, err)
		require.NoError(t, os.MkdirAll(filepath.Join(dir, blocked, "in the way"), 0o700))
		l.most = l.Size() // due with each step
		require.NoError(t, l.Put(Record{Channels, "before", 1, []byte("it")}))
		require.Error(t, l.Uncompacted(), blocked)
		require.NoError(t, l.Put(Record{Channels, "after", 1, []byte("it")}))
		require.NoError(t, os.RemoveAll(filepath.Join(dir, blocked)))
		require.NoError(t, l.Put(Record{Channels, "last", 1, []byte("it")}))
		require.NoError(t, l.Uncompacted())
		require.NoError(t, l.Close())
		r, found, err := open(t, dir).Get(Channels, "after")
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, "it", string(r.Value))
	}
}

func BenchmarkPut(b *testing.B) {
	l, _, err := Open(b.TempDir(), 16<<20)
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	for i := range b.N {
		if err := l.Put(Record{Channels, fmt.Sprint(i % 1000), 1, make([]byte, 100)}); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a crash, and against rows that no next start finds: the file was removed, or an older copy put in its place, under a running
// sender, which wrote on to the file that had no name any more; compacting it then began an empty one.
func TestALogThatIsRemovedOrReplacedIsWrittenAnew(t *testing.T) {
	for name, meddle := range map[string]func(path, older string) error{
		"removed":  func(path, _ string) error { return os.Remove(path) },
		"replaced": func(path, older string) error { return os.Rename(older, path) },
	} {
		for next, write := range map[string]func(l *Log) error{
			"a write": func(l *Log) error { return l.Put(Record{Channels, "after", 1, []byte("it")}) },
			"a wipe": func(l *Log) error {
				return errors.Join(l.Wipe(Channels, "gone"), l.Put(Record{Channels, "after", 1, []byte("it")}))
			},
		} {
			t.Run(name+", then "+next, func(t *testing.T) {
				dir := t.TempDir()
				l := open(t, dir)
				path, older := filepath.Join(dir, fileName), filepath.Join(t.TempDir(), "older")
				text, err := os.ReadFile(path)
				require.NoError(t, err)
				require.NoError(t, os.WriteFile(older, text, 0o600))
				require.NoError(t, l.Put(Record{Channels, "before", 1, []byte("it")}, Record{Channels, "gone", 1, []byte("it")}))
				require.NoError(t, meddle(path, older))
				require.NoError(t, write(l))
				require.NoError(t, l.Uncompacted())
				require.NoError(t, l.Close())
				l = open(t, dir)
				for _, key := range []string{"before", "after"} {
					_, found, err := l.Get(Channels, key)
					require.NoError(t, err)
					require.True(t, found, key)
				}
			})
		}
	}
}
