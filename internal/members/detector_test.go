package members

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/lab/mesh"
)

// countChanges counts the state changes of a member that f sees until the given time.
func countChanges(m *mesh.Mesh[Msg], f *Detector, of string, until int64) int {
	n, was := 0, f.byName[of].State
	for m.Now < until {
		m.Run(m.Now + 50_000)
		if s := f.byName[of].State; s != was {
			n, was = n+1, s
		}
	}
	return n
}

func TestSingleCutLinkCausesNoSuspicion(t *testing.T) {
	for _, n := range []int{3, 30} {
		m, fs := newMesh(n, 5)
		m.Run(10e6)
		m.Partitioned = func(from, to int) bool { return from == 0 && to == 1 }
		require.Zero(t, countChanges(m, fs[1], "s000", m.Now+30e6))
		require.Zero(t, countChanges(m, fs[0], "s001", m.Now+10e6))
	}
}

// changesWhileFlapping returns the state changes seen while all links of the first member are up for 2 s and down for 4 s, repeatedly.
func changesWhileFlapping(recoveryBeats int) int {
	m, fs := newMesh(3, 5)
	for _, f := range fs {
		f.timing.RecoveryBeats = recoveryBeats
	}
	m.Run(10e6)
	m.Partitioned = func(from, to int) bool { return (from == 0 || to == 0) && m.Now%6_000_000 >= 2_000_000 }
	return countChanges(m, fs[1], "s000", m.Now+120e6)
}

func TestFlappingMemberIsDamped(t *testing.T) {
	require.LessOrEqual(t, changesWhileFlapping(3), 12)
	require.Greater(t, changesWhileFlapping(0), 12, "injected fault: alive at the first heartbeat")
}

func TestPartitionHeals(t *testing.T) {
	m, fs := newMesh(9, 5)
	m.Run(10e6)
	m.Partitioned = func(from, to int) bool { return from < 4 != (to < 4) }
	m.Run(m.Now + 15e6)
	require.Equal(t, memberNames(9)[:4], fs[0].View().Alive())
	require.Equal(t, memberNames(9)[4:], fs[8].View().Alive())
	require.Equal(t, fs[5].byName["s000"].Folder, uint64(1000), "dead, its folder remembered")
	m.Partitioned = nil
	m.Run(m.Now + 20e6)
	for _, f := range fs {
		require.Len(t, f.View().Alive(), 9)
	}
}

func TestOwnPauseCausesNoSuspicion(t *testing.T) {
	m, fs := newMesh(3, 5)
	m.Run(10e6)
	paused := fs[0]
	m.Nodes[0] = nil
	m.Run(m.Now + 20e6)
	epoch := paused.Epoch()
	m.Nodes[0] = paused
	m.Run(m.Now + 300_000)
	require.Equal(t, epoch, paused.Epoch())
	require.Len(t, paused.View().Alive(), 3)
	m.Run(m.Now + 10e6)
	require.Len(t, fs[1].View().Alive(), 3)
}

func TestIncarnationsFoldersAndLeave(t *testing.T) {
	d := New("a", []string{"a", "b", "c"}, 3, 30, DefaultTiming(3))
	heartbeat := func(now int64, inc, folder, n uint64) {
		d.Receive(now, "b", Msg{Incarnation: inc, Folder: folder, Heartbeat: n})
	}
	member := func() Member { m, _ := d.View().Member("b"); return m }
	for i := range int64(8) {
		heartbeat(i*250_000, 5, 50, uint64(i+1))
	}
	require.Equal(t, Alive, member().State)
	epoch := d.View().Epoch
	heartbeat(2e6, 4, 50, 99)
	require.Equal(t, uint64(1), d.Counts().Stale, "an older incarnation of the same folder")
	require.Equal(t, epoch, d.View().Epoch)
	heartbeat(2e6, 1, 51, 1)
	require.Equal(t, Member{Name: "b", State: Alive, Incarnation: 1, Folder: 51, Since: 2e6}, member(), "its old folder was lost")
	heartbeat(2e6, 5, 50, 100)
	require.Equal(t, uint64(51), member().Folder, "a late message from the old folder")
	heartbeat(2e6, 6, 50, 1)
	require.Equal(t, uint64(50), member().Folder, "a later start on the old folder")
	d.Receive(2e6, "b", Msg{Incarnation: 6, Folder: 50, Heartbeat: 2, Flags: flagLeaving})
	heartbeat(2e6, 6, 50, 3)
	require.Equal(t, Left, member().State, "a late heartbeat does not undo leaving")
	heartbeat(2e6, 7, 50, 1)
	require.Equal(t, Dead, member().State)
	d.Receive(2e6, "x", Msg{Incarnation: 1, Folder: 1, Heartbeat: 1})
	heartbeat(2e6, 7+maxIncarnationJump+1, 50, 1)
	d.Receive(2e6, "b", Msg{Incarnation: 7, Folder: 50, Heartbeat: 2, Updates: make([]Update, maxUpdates+1)})
	c := d.Counts()
	require.Equal(t, [2]uint64{1, 2}, [2]uint64{c.Unlisted, c.Invalid})
}

func TestOldFolderCopyAdoptsNewerIncarnation(t *testing.T) {
	m, fs := newMesh(3, 5)
	m.Run(10e6)
	fs[0] = New("s000", memberNames(3), 9, 1000, DefaultTiming(3))
	m.Nodes[0] = fs[0]
	m.Run(m.Now + 10e6)
	fs[0] = New("s000", memberNames(3), 4, 1000, DefaultTiming(3))
	m.Nodes[0] = fs[0]
	m.Run(m.Now + 10e6)
	for _, f := range fs {
		got, _ := f.View().Member("s000")
		require.Equal(t, [2]uint64{10, uint64(Alive)}, [2]uint64{got.Incarnation, uint64(got.State)})
	}
	fs[0] = New("s000", memberNames(3), 10, 1000, DefaultTiming(3)) // a copy of the very start that is known: only its heartbeats give it away
	m.Nodes[0] = fs[0]
	m.Run(m.Now + 10e6)
	for _, f := range fs {
		got, _ := f.View().Member("s000")
		require.Equal(t, [2]uint64{11, uint64(Alive)}, [2]uint64{got.Incarnation, uint64(got.State)})
	}
}

func TestLeave(t *testing.T) {
	m, fs := newMesh(30, 5)
	m.Run(10e6)
	m.Send(0, fs[0].Leave(m.Now))
	m.Run(m.Now + 5e6)
	require.Equal(t, map[State]int{Left: 29}, countStates(fs, 0, "s000"))
}

func FuzzReceive(f *testing.F) {
	w := Update{Member: nameHash("c"), Incarnation: 1, Folder: 3, Heartbeat: 9, Age: 10, Claim: claimDead}
	for _, m := range []Msg{{}, {Incarnation: 1, Folder: 2, Heartbeat: 3, Flags: 255, Updates: []Update{w}, Queried: []uint32{w.Member}}} {
		b, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Msg
		if cbor.Unmarshal(b, &m) != nil {
			return
		}
		x := New("a", []string{"a", "b", "c"}, 1, 1, DefaultTiming(3))
		for now := int64(0); now < 20e6; now += 1e6 {
			x.Receive(now, "b", m)
			x.Tick(now)
		}
		require.Len(t, x.View().Members, 3)
		me, _ := x.View().Member("a")
		require.Equal(t, Alive, me.State)
	})
}
