package members

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/lab/mesh"
)

// changes of state that node i sees of another until the given moment.
func changes(m *mesh.Mesh[Msg], f *Fleet, of string, until int64) int {
	n, was := 0, f.byName[of].State
	for m.Now < until {
		m.Run(m.Now + 50_000)
		if s := f.byName[of].State; s != was {
			n, was = n+1, s
		}
	}
	return n
}

func TestACutLinkAloneDoubtsNobody(t *testing.T) {
	for _, n := range []int{3, 30} {
		m, fs := fleetOf(n, 5)
		m.Run(10e6)
		m.Cut = func(from, to int) bool { return from == 0 && to == 1 }
		require.Zero(t, changes(m, fs[1], "s000", m.Now+30e6))
		require.Zero(t, changes(m, fs[0], "s001", m.Now+10e6))
	}
}

// flapping: all links of the first member are up for 2 s and down for 4 s, over and over.
func flapping(returns int) int {
	m, fs := fleetOf(3, 5)
	for _, f := range fs {
		f.t.Returns = returns
	}
	m.Run(10e6)
	m.Cut = func(from, to int) bool { return (from == 0 || to == 0) && m.Now%6_000_000 >= 2_000_000 }
	return changes(m, fs[1], "s000", m.Now+120e6)
}

func TestAFlappingMemberDoesNotFlapTheView(t *testing.T) {
	require.LessOrEqual(t, flapping(3), 12)
	require.Greater(t, flapping(0), 12, "planted: back at its first beat")
}

func TestHalvesLoseAndFindEachOther(t *testing.T) {
	m, fs := fleetOf(9, 5)
	m.Run(10e6)
	m.Cut = func(from, to int) bool { return from < 4 != (to < 4) }
	m.Run(m.Now + 15e6)
	require.Equal(t, names(9)[:4], fs[0].View().Alive())
	require.Equal(t, names(9)[4:], fs[8].View().Alive())
	require.Equal(t, fs[5].byName["s000"].Folder, uint64(1000), "gone, its folder remembered")
	m.Cut = nil
	m.Run(m.Now + 20e6)
	for _, f := range fs {
		require.Len(t, f.View().Alive(), 9)
	}
}

func TestAPauseOfItsOwnDoubtsNobody(t *testing.T) {
	m, fs := fleetOf(3, 5)
	m.Run(10e6)
	asleep := fs[0]
	m.Nodes[0] = nil
	m.Run(m.Now + 20e6)
	epoch := asleep.Epoch()
	m.Nodes[0] = asleep
	m.Run(m.Now + 300_000)
	require.Equal(t, epoch, asleep.Epoch())
	require.Len(t, asleep.View().Alive(), 3)
	m.Run(m.Now + 10e6)
	require.Len(t, fs[1].View().Alive(), 3)
}

func TestStartsFoldersAndLeaving(t *testing.T) {
	f := New("a", []string{"a", "b", "c"}, 3, 30, Usual(3))
	beat := func(now int64, inc, folder, n uint64) {
		f.Heard(now, "b", Msg{Incarnation: inc, Folder: folder, Beat: n})
	}
	member := func() Member { m, _ := f.View().Member("b"); return m }
	for i := range int64(8) {
		beat(i*250_000, 5, 50, uint64(i+1))
	}
	require.Equal(t, Alive, member().State)
	epoch := f.View().Epoch
	beat(2e6, 4, 50, 99)
	require.Equal(t, uint64(1), f.Counts().Stale, "an older incarnation of the same folder")
	require.Equal(t, epoch, f.View().Epoch)
	beat(2e6, 1, 51, 1)
	require.Equal(t, Member{Name: "b", State: Alive, Incarnation: 1, Folder: 51, Since: 2e6}, member(), "its old folder was lost")
	beat(2e6, 5, 50, 100)
	require.Equal(t, uint64(51), member().Folder, "a late letter from the old folder")
	beat(2e6, 6, 50, 1)
	require.Equal(t, uint64(50), member().Folder, "a later start on the old folder")
	f.Heard(2e6, "b", Msg{Incarnation: 6, Folder: 50, Beat: 2, Flags: flagLeaves})
	beat(2e6, 6, 50, 3)
	require.Equal(t, Left, member().State, "a late beat does not undo leaving")
	beat(2e6, 7, 50, 1)
	require.Equal(t, Gone, member().State)
	f.Heard(2e6, "x", Msg{Incarnation: 1, Folder: 1, Beat: 1})
	beat(2e6, 7+leap+1, 50, 1)
	f.Heard(2e6, "b", Msg{Incarnation: 7, Folder: 50, Beat: 2, Words: make([]Word, mostWords+1)})
	c := f.Counts()
	require.Equal(t, [2]uint64{1, 2}, [2]uint64{c.Unlisted, c.Absurd})
}

func TestAnOldCopyOfAFolderGoesPastItsLastStart(t *testing.T) {
	m, fs := fleetOf(3, 5)
	m.Run(10e6)
	fs[0] = New("s000", names(3), 9, 1000, Usual(3))
	m.Nodes[0] = fs[0]
	m.Run(m.Now + 10e6)
	fs[0] = New("s000", names(3), 4, 1000, Usual(3))
	m.Nodes[0] = fs[0]
	m.Run(m.Now + 10e6)
	for _, f := range fs {
		got, _ := f.View().Member("s000")
		require.Equal(t, [2]uint64{10, uint64(Alive)}, [2]uint64{got.Incarnation, uint64(got.State)})
	}
	fs[0] = New("s000", names(3), 10, 1000, Usual(3)) // a copy of the very start that is known: only its beats tell
	m.Nodes[0] = fs[0]
	m.Run(m.Now + 10e6)
	for _, f := range fs {
		got, _ := f.View().Member("s000")
		require.Equal(t, [2]uint64{11, uint64(Alive)}, [2]uint64{got.Incarnation, uint64(got.State)})
	}
}

func TestLeaving(t *testing.T) {
	m, fs := fleetOf(30, 5)
	m.Run(10e6)
	m.Post(0, fs[0].Leaving(m.Now))
	m.Run(m.Now + 5e6)
	require.Equal(t, map[State]int{Left: 29}, states(fs, 0, "s000"))
}

func FuzzHeard(f *testing.F) {
	w := Word{Member: ident("c"), Incarnation: 1, Folder: 3, Beat: 9, Age: 10, Said: saidGone}
	for _, m := range []Msg{{}, {Incarnation: 1, Folder: 2, Beat: 3, Flags: 255, Words: []Word{w}, Asked: []uint32{w.Member}}} {
		b, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Msg
		if cbor.Unmarshal(b, &m) != nil {
			return
		}
		x := New("a", []string{"a", "b", "c"}, 1, 1, Usual(3))
		for now := int64(0); now < 20e6; now += 1e6 {
			x.Heard(now, "b", m)
			x.Tick(now)
		}
		require.Len(t, x.View().Members, 3)
		me, _ := x.View().Member("a")
		require.Equal(t, Alive, me.State)
	})
}
