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

// queuedNotices returns the queued notices of an order.
func queuedNotices(n *node, id string) (bodies []body) {
	for _, o := range n.m.Snapshot().Outbox {
		if o.Key.ID == id {
			b := body{}
			if json.Unmarshal(o.Notice.Body, &b) == nil {
				bodies = append(bodies, b)
			}
		}
	}
	return bodies
}

func TestOrderIDIsUnique(t *testing.T) {
	w := newWorld(faults{})
	a := w.nodes[0]
	o := purgeOrder("t", "1")
	require.NoError(t, w.order(a, o))
	require.NoError(t, w.order(a, o), "the same order handed in again")
	assert.Len(t, a.m.executions, 1)
	o.NotifyTarget.Dst++
	require.ErrorIs(t, w.order(a, o), ErrIDConflict)
	require.ErrorIs(t, w.order(a, purgeOrder("nobody", "1")), ErrUnknownTenant)
	require.ErrorIs(t, w.order(a, Order{Action: ActionCancel, Tenant: "t", ID: "2"}), ErrNotRunning)
	for i := range maxRunning - 1 {
		require.NoError(t, w.order(a, purgeOrder("t", fmt.Sprint("n", i))))
	}
	require.ErrorIs(t, w.order(a, purgeOrder("t", "one-more")), ErrTooManyOrders)
}

func TestCancelAndSupersede(t *testing.T) {
	w := newWorld(faults{})
	w.runLine(t, "order a t")
	w.runLine(t, "deliver abcase/t/1")
	w.runLine(t, "cancel b t") // at a sender that is not the coordinator
	assert.Equal(t, Cancelled, w.nodes[1].m.executions[Key{"t", "1"}].State)
	assert.Equal(t, "cancelled", queuedNotices(w.nodes[1], "1")[0].State)
	o := purgeOrder("u", "2")
	w.runLine(t, "order a u")
	o.Replaces = "1"
	require.NoError(t, w.order(w.nodes[0], o))
	w.settle()
	assert.Empty(t, w.violations)
	for _, n := range w.nodes {
		assert.Equal(t, Cancelled, n.m.executions[Key{"t", "1"}].State)
		assert.Equal(t, Superseded, n.m.executions[Key{"u", "1"}].State)
		assert.Equal(t, Complete, n.m.executions[Key{"u", "2"}].State)
	}
	require.ErrorIs(t, w.order(w.nodes[0], Order{Action: ActionCancel, Tenant: "u", ID: "2"}), ErrNotRunning, "completion is final")
}

func TestConflictingOrdersWithOneID(t *testing.T) {
	w := newWorld(faults{})
	w.runLine(t, "order a t")
	o := purgeOrder("t", "1")
	o.NotifyTarget.Dst = 10
	require.NoError(t, w.order(w.nodes[1], o))
	w.runLine(t, "deliver abcase/t/1")
	assert.Equal(t, "refused", queuedNotices(w.nodes[1], "1")[1].State)
	w.settle()
	assert.Empty(t, w.violations)
	assert.EqualValues(t, 9, w.nodes[1].m.executions[o.Key()].Order.NotifyTarget.Dst)
}

func TestWaitingNoticeNamesMissingSenders(t *testing.T) {
	w := newWorld(faults{})
	w.runLine(t, "crash c")
	w.runLine(t, "refresh a")
	w.runLine(t, "order a t")
	w.now += waitNoticeInterval
	w.runLine(t, "tick a")
	bs := queuedNotices(w.nodes[0], "1")
	waits := bs[len(bs)-1]
	require.Equal(t, noticeWaiting, waits.Purge)
	var c Missing
	for _, m := range waits.Missing {
		if m.Name == "c" {
			c = m
		}
	}
	assert.Equal(t, Missing{"c", 12, members.Dead.String(), waitNoticeInterval + resendInterval}, c)
}

func TestCertificateContentAndDigest(t *testing.T) {
	c := &Execution{Order: purgeOrder("t", "1"), Confirmations: []Confirmation{
		{Name: "a", Folder: 1 << 60, Counts: Counts{DeadLetters: 2}}, {Name: "b", DestroyedBy: "operator", Counts: Counts{DeadLetters: 3}}}}
	cert := newCertificate(c)
	text, err := json.Marshal(cert.Confirmations)
	require.NoError(t, err)
	sum := sha256.Sum256(text)
	assert.Equal(t, hex.EncodeToString(sum[:]), cert.Digest)
	assert.EqualValues(t, 5, cert.Total.DeadLetters)
	assert.Contains(t, string(text), `"folder":"1000000000000000"`)
	for i := range 500 {
		c.Confirmations = append(c.Confirmations, Confirmation{Name: fmt.Sprint("sender", i)})
	}
	cert = newCertificate(c)
	assert.Empty(t, cert.Confirmations, "the list is too long for a notice")
	assert.Equal(t, 502, cert.Senders)
}

func TestReadyWaitsForPeersOrTimeout(t *testing.T) {
	m := New(Identity{Name: "a", Folder: 1, Incarnation: 2, BootID: 3}, tenants, Snapshot{})
	m.Start(1)
	view := members.View{Self: "a", Members: []members.Member{{Name: "a", Folder: 1, Incarnation: 2}, {Name: "b", Folder: 2, Incarnation: 1}}}
	m.UpdateMembers(2, view)
	assert.False(t, m.Ready(3))
	out := m.Receive(4, "b", Msg{Fences: &Fences{Entries: []FenceEntry{{"t", kindIndex(Pending), Epoch{4, "b"}}}}})
	require.Len(t, out.Actions, 1)
	assert.False(t, m.Ready(5), "a known fence is not in force yet")
	m.HandleResult(6, ActionResult{Kind: Fence, Key: out.Actions[0].Key, Round: out.Actions[0].Round, Cutoff: 9})
	assert.True(t, m.Ready(7))
	assert.EqualValues(t, 9, m.Cutoff("t", Pending))
	assert.True(t, m.IsFenced("t", Pending, Epoch{3, "b"}))
	assert.False(t, m.IsFenced("t", Pending, m.FenceEpoch("t", Pending)))
	alone := New(Identity{Name: "a", Folder: 1}, tenants, Snapshot{})
	alone.Start(1)
	alone.UpdateMembers(2, members.View{Self: "a", Members: append(view.Members, members.Member{Name: "c", State: members.Dead})})
	assert.False(t, alone.Ready(startTimeout))
	assert.True(t, alone.Ready(startTimeout+1), "serves after the timeout even if fully partitioned")
}
