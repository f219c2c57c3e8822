package verdicts

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/lab/mesh"
	"ravenlink/internal/members"
	"ravenlink/internal/post"
)

// node is a table as the runtime would hold it.
type node struct{ *Table }

func (n node) Heard(now int64, from string, m Msg) []post.Letter[Msg] {
	_, letters := n.Table.Heard(now, from, m)
	return letters
}

func viewOf(self string, names []string) members.View {
	v := members.View{Self: self, Epoch: 1}
	for i, name := range names {
		v.Members = append(v.Members, members.Member{Name: name, Incarnation: 1, Folder: uint64(i + 1)})
	}
	return v
}

func senders(n int, seed uint64) (*mesh.Mesh[Msg], []*Table) {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("sender-%04d", i)
	}
	m := mesh.New[Msg](names, seed)
	ts := make([]*Table, n)
	for i, name := range names {
		timing, room := Usual()
		ts[i] = New(name, 1, timing, room)
		ts[i].View(0, viewOf(name, names))
		m.Nodes[i] = node{ts[i]}
	}
	return m, ts
}

var place = Subject{Dst: 7, Receiver: "10.0.0.1:80"}

func TestAWaitToldToOneIsHeededByAll(t *testing.T) {
	m, ts := senders(30, 3)
	m.Loss = 0.1
	m.Run(5e6)
	m.Post(4, ts[4].Own(m.Now, Fact{Subject: place, Kind: Wait, For: 20e6}))
	m.Run(m.Now + 1e6)
	for _, x := range ts {
		require.InDelta(t, 19e6, x.Verdict(m.Now, place).Wait, 50_000)
	}
	m.Post(4, ts[4].Withdraw(m.Now, place, Wait))
	m.Run(m.Now + 1e6)
	for _, x := range ts {
		require.Zero(t, x.Verdict(m.Now, place).Wait)
	}
	m.Run(m.Now + GreatestWait + 1e6)
	for _, x := range ts {
		require.Zero(t, x.Len())
	}
}
