package purge

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// heldBy gives a case as b coordinates it.
func heldBy(b *node, s State) Case {
	return Case{Order: purgeOrder("t", "1"), Epoch: Epoch{1, "b/4d"}, Owner: b.name, Term: 1, Version: 1, State: s}
}

// A newer version may know states and phases that this one does not. What it says of them changes nothing here, and ends no process.
func TestALetterOfANewerVersionChangesNothing(t *testing.T) {
	for _, known := range []bool{false, true} { // whether the case is known here already
		for _, s := range []State{Superseded + 1, 255} {
			w := newWorld(faults{})
			a, b := w.nodes[0], w.nodes[1]
			if known {
				c := heldBy(b, Running)
				a.m.Hear(w.now, "b", Msg{Case: &c})
				require.Len(t, a.m.cases, 1)
			}
			before := a.m.Memo()
			for range 2 {
				c := heldBy(b, s)
				c.Version, c.Term = 9, 9
				assert.Equal(t, Out{}, a.m.Hear(w.now, "b", Msg{Case: &c}))
			}
			a.m.Tick(w.now + repeatEvery)
			assert.Equal(t, before, a.m.Memo())
		}
	}
	w := newWorld(faults{})
	a := w.nodes[0]
	require.NoError(t, w.order(a, purgeOrder("t", "1")))
	l := a.m.cases[Key{"t", "1"}]
	r := &Report{Key: Key{"t", "1"}, Term: l.Term, Version: l.Version, Ask: l.peer("b").ask, Folder: w.nodes[1].f.id, Incarnation: w.nodes[1].f.inc,
		Phase: Settled + 1}
	before := a.m.Memo()
	assert.Equal(t, Out{}, a.m.Hear(w.now, "b", Msg{Report: r}))
	assert.Equal(t, before, a.m.Memo())
}

// What another version wrote down is refused as a whole where it says what this one does not know.
func TestAMemoOfANewerVersionIsRefused(t *testing.T) {
	require.NoError(t, Memo{Cases: []Case{{State: Superseded}}, Jobs: []JobMemo{{Phase: Settled}}}.Check())
	require.ErrorContains(t, Memo{Cases: []Case{{State: Superseded + 1}}}.Check(), "state 4")
	require.ErrorContains(t, Memo{Jobs: []JobMemo{{Phase: Settled + 1}}}.Check(), "phase 7")
}

// FuzzHear gives whatever can be decoded to a sender that coordinates one order and follows another.
func FuzzHear(f *testing.F) {
	c := heldBy(&node{name: "b"}, Running)
	c.Words = []Word{{Name: "c", Folder: 12, Incarnation: 1, Fence: 9}}
	odd := c
	odd.State = 200
	for _, m := range []Msg{{}, {Case: &c}, {Case: &odd}, {Report: &Report{Key: Key{"u", "2"}, Term: 1, Version: 1, Phase: Verified, Seen: []Seen{{Name: "d", Folder: 1}}}},
		{Report: &Report{Key: Key{"u", "2"}, Term: 1, Phase: 200}}, {Fences: &Fences{All: []Mark{{"t", 1, Epoch{9, "b"}}, {"t", -1, Epoch{9, "b"}}}, Open: true}}} {
		b, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Msg
		if cbor.Unmarshal(b, &m) != nil {
			return
		}
		w := newWorld(faults{})
		a := w.nodes[0]
		require.NoError(t, w.order(a, purgeOrder("u", "2")))
		c := heldBy(w.nodes[1], Running)
		a.m.Hear(w.now, "b", Msg{Case: &c})
		for i := range 3 {
			if r := m.Report; r != nil { // as one that was asked
				r.Ask, r.Term = a.m.cases[Key{"u", "2"}].peer("b").ask, a.m.cases[Key{"u", "2"}].Term
				r.Folder, r.Incarnation = w.nodes[1].f.id, w.nodes[1].f.inc
			}
			a.m.Hear(w.now+int64(i), "b", m)
			a.m.Tick(w.now + int64(i)*repeatEvery)
		}
		memo := a.m.Memo()
		require.NoError(t, memo.Check())
		again := New(Me{"a", a.f.id, a.f.inc + 1, 9}, tenants, memo)
		again.Begin(w.now + 9)
		again.Tick(w.now + 9 + repeatEvery)
	})
}
