package purge

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/members"
)

// said lists the kinds of what customers are told by what waits to be handed in.
func said(n *node, id string) (bodies []body) {
	for _, o := range n.m.Memo().Outbox {
		if o.Key.ID == id {
			b := body{}
			if json.Unmarshal(o.Notice.Body, &b) == nil {
				bodies = append(bodies, b)
			}
		}
	}
	return bodies
}

func TestAnIdIsOneOrder(t *testing.T) {
	w := newWorld(faults{})
	a := w.nodes[0]
	o := purgeOrder("t", "1")
	require.NoError(t, w.order(a, o))
	require.NoError(t, w.order(a, o), "the same again")
	assert.Len(t, a.m.cases, 1)
	o.Tell.Dst++
	require.ErrorIs(t, w.order(a, o), ErrOther)
	require.ErrorIs(t, w.order(a, purgeOrder("nobody", "1")), ErrTenant)
	require.ErrorIs(t, w.order(a, Order{Act: ActCancel, Tenant: "t", ID: "2"}), ErrUnder)
	for i := range mostOpen - 1 {
		require.NoError(t, w.order(a, purgeOrder("t", fmt.Sprint("n", i))))
	}
	require.ErrorIs(t, w.order(a, purgeOrder("t", "one-more")), ErrMany)
}

func TestCancelledAndSupersededOrdersEndByRule(t *testing.T) {
	w := newWorld(faults{})
	w.line(t, "order a t")
	w.line(t, "hear abcase/t/1")
	w.line(t, "cancel b t") // at another sender than its coordinator
	assert.Equal(t, Cancelled, w.nodes[1].m.cases[Key{"t", "1"}].State)
	assert.Equal(t, "cancelled", said(w.nodes[1], "1")[0].State)
	o := purgeOrder("u", "2")
	w.line(t, "order a u")
	o.Replaces = "1"
	require.NoError(t, w.order(w.nodes[0], o))
	w.settle()
	assert.Empty(t, w.broken)
	for _, n := range w.nodes {
		assert.Equal(t, Cancelled, n.m.cases[Key{"t", "1"}].State)
		assert.Equal(t, Superseded, n.m.cases[Key{"u", "1"}].State)
		assert.Equal(t, Complete, n.m.cases[Key{"u", "2"}].State)
	}
	require.ErrorIs(t, w.order(w.nodes[0], Order{Act: ActCancel, Tenant: "u", ID: "2"}), ErrUnder, "what is complete stays so")
}

func TestOtherContentAtAnotherSenderIsToldApart(t *testing.T) {
	w := newWorld(faults{})
	w.line(t, "order a t")
	o := purgeOrder("t", "1")
	o.Tell.Dst = 10
	require.NoError(t, w.order(w.nodes[1], o))
	w.line(t, "hear abcase/t/1")
	assert.Equal(t, "refused", said(w.nodes[1], "1")[1].State)
	w.settle()
	assert.Empty(t, w.broken)
	assert.EqualValues(t, 9, w.nodes[1].m.cases[o.Key()].Order.Tell.Dst)
}

func TestMissingOnesAreNamedWithSinceWhen(t *testing.T) {
	w := newWorld(faults{})
	w.line(t, "crash c")
	w.line(t, "look a")
	w.line(t, "order a t")
	w.now += waitEvery
	w.line(t, "tick a")
	bs := said(w.nodes[0], "1")
	waits := bs[len(bs)-1]
	require.Equal(t, waiting, waits.Purge)
	var c Missing
	for _, m := range waits.Missing {
		if m.Name == "c" {
			c = m
		}
	}
	assert.Equal(t, Missing{"c", 12, members.Gone.String(), waitEvery + repeatEvery}, c)
}

func TestCertificateNamesAllAndItsDigestHolds(t *testing.T) {
	c := &Case{Order: purgeOrder("t", "1"), Words: []Word{{Name: "a", Folder: 1 << 60, Counts: Counts{Kept: 2}}, {Name: "b", Destroyed: "operator", Counts: Counts{Kept: 3}}}}
	cert := certify(c)
	text, err := json.Marshal(cert.Words)
	require.NoError(t, err)
	sum := sha256.Sum256(text)
	assert.Equal(t, hex.EncodeToString(sum[:]), cert.Digest)
	assert.EqualValues(t, 5, cert.Total.Kept)
	assert.Contains(t, string(text), `"folder":"1000000000000000"`)
	for i := range 500 {
		c.Words = append(c.Words, Word{Name: fmt.Sprint("sender", i)})
	}
	cert = certify(c)
	assert.Empty(t, cert.Words, "too long for a message")
	assert.Equal(t, 502, cert.Senders)
}

func TestReadyHearsEveryoneOrWaitsNoLonger(t *testing.T) {
	m := New(Me{Name: "a", Folder: 1, Incarnation: 2, Boot: 3}, tenants, Memo{})
	m.Begin(1)
	view := members.View{Self: "a", Members: []members.Member{{Name: "a", Folder: 1, Incarnation: 2}, {Name: "b", Folder: 2, Incarnation: 1}}}
	m.Seen(2, view)
	assert.False(t, m.Ready(3))
	out := m.Hear(4, "b", Msg{Fences: &Fences{All: []Mark{{"t", index(Held), Epoch{4, "b"}}}}})
	require.Len(t, out.Acts, 1)
	assert.False(t, m.Ready(5), "a fence is known and not in force")
	m.Did(6, Done{Kind: Fence, Key: out.Acts[0].Key, Round: out.Acts[0].Round, Cut: 9})
	assert.True(t, m.Ready(7))
	assert.EqualValues(t, 9, m.Cut("t", Held))
	assert.True(t, m.Old("t", Held, Epoch{3, "b"}))
	assert.False(t, m.Old("t", Held, m.Stamp("t", Held)))
	alone := New(Me{Name: "a", Folder: 1}, tenants, Memo{})
	alone.Begin(1)
	alone.Seen(2, members.View{Self: "a", Members: append(view.Members, members.Member{Name: "c", State: members.Gone})})
	assert.False(t, alone.Ready(startFor))
	assert.True(t, alone.Ready(startFor+1), "with all links cut it serves all the same")
}
