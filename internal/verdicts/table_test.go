package verdicts

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/lab/mesh"
	"ravenlink/internal/members"
	"ravenlink/internal/post"
)

// node adapts a Table to mesh.Node.
type node struct{ *Table }

func (n node) Receive(now int64, from string, m Msg) []post.PeerMessage[Msg] {
	_, messages := n.Table.Receive(now, from, m)
	return messages
}

func viewOf(self string, names []string) members.View {
	v := members.View{Self: self, Epoch: 1}
	for i, name := range names {
		v.Members = append(v.Members, members.Member{Name: name, Incarnation: 1, Folder: uint64(i + 1)})
	}
	return v
}

func newMesh(n int, seed uint64) (*mesh.Mesh[Msg], []*Table) {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("sender-%04d", i)
	}
	m := mesh.New[Msg](names, seed)
	ts := make([]*Table, n)
	for i, name := range names {
		timing, room := Defaults()
		ts[i] = New(name, 1, timing, room)
		ts[i].SetView(0, viewOf(name, names))
		m.Nodes[i] = node{ts[i]}
	}
	return m, ts
}

var testSubject = Subject{Dst: 7, Receiver: "10.0.0.1:80"}

func TestRetryAfterSpreadsToAllSenders(t *testing.T) {
	m, ts := newMesh(30, 3)
	m.LossRate = 0.1
	m.Run(5e6)
	m.Send(4, ts[4].Observe(m.Now, Fact{Subject: testSubject, Kind: RetryAfter, Duration: 20e6}))
	m.Run(m.Now + 1e6)
	for _, x := range ts {
		require.InDelta(t, 19e6, x.Verdict(m.Now, testSubject).RetryAfter, 50_000)
	}
	m.Send(4, ts[4].Withdraw(m.Now, testSubject, RetryAfter))
	m.Run(m.Now + 1e6)
	for _, x := range ts {
		require.Zero(t, x.Verdict(m.Now, testSubject).RetryAfter)
	}
	m.Run(m.Now + MaxAgeRetryAfter + 1e6)
	for _, x := range ts {
		require.Zero(t, x.Len())
	}
}
