package fleettest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	acme, bee, customer, orders = 7, 8, 9, 1000
	marker                      = "what-acme-would-have-gone"
)

const tenantsTOML = `
[[fleet.tenant]]
name = "acme"
dst = [7]
[[fleet.tenant]]
name = "bee"
dst = [8]
`

// newPurgeRig returns a rig whose senders accept orders and keep dead letters. The result of extra is appended to each operator's file.
func newPurgeRig(t *testing.T, extra func() string) *Rig {
	return New(t, Setup{Senders: 3, Destinations: []int64{acme, bee, customer}, OperatorFile: func(s *Sender) string {
		return "version = 1\n[kept]\n" + s.LinksTOML("fleet", fmt.Sprintf("orders_dst = %d", orders)) + tenantsTOML + extra()
	}})
}

func noExtraSettings() string { return "" }

// customerNotices returns the notices of one kind about an order that were delivered to the customer, without duplicates.
func customerNotices(rec Record, kind string) (bodies []map[string]any) {
	seen := map[string]bool{}
	for _, c := range rec.Calls {
		_, text, _ := strings.Cut(c.RawRequest, "\r\n\r\n")
		b := map[string]any{}
		if c.Dst != customer || c.Status != 200 || seen[c.ID] || json.Unmarshal([]byte(text), &b) != nil || b["purge"] != kind {
			continue
		}
		seen[c.ID] = true
		bodies = append(bodies, b)
	}
	return bodies
}

// mustHandIn hands a message in at one sender over a new connection. It must be accepted.
func (r *Rig) mustHandIn(sender int, m Message) {
	r.t.Helper()
	c := r.Client(sender)
	defer c.Close()
	require.Equal(r.t, "+OK", c.HandIn(m), m.ID)
}

func (r *Rig) orderPurge(sender int, id string) {
	r.t.Helper()
	r.mustHandIn(sender, Message{ID: fmt.Sprintf("order-%s-%d", id, sender), Class: "again", Dst: orders,
		Body: fmt.Sprintf(`{"order":"purge","tenant":"acme","scope":"all","id":%q,"tell":{"destination":%d,"lane":"again"}}`, id, customer)})
}

// fillFolders leaves messages of both tenants in each state folder: delivered ones, open ones and dead letters.
func (r *Rig) fillFolders() {
	r.t.Helper()
	for i := range r.senders {
		for _, dst := range []int64{acme, bee} {
			body := "of bee"
			if dst == acme {
				body = marker
			}
			id := fmt.Sprintf("done-%d-%d", i, dst)
			r.mustHandIn(i, Message{ID: id, Class: "again", Dst: dst, Body: body})
			r.Until("one is delivered", func(rec Record) bool { return rec.Ended(id) })
		}
	}
	r.Conduct(acme, Conduct{Down: true})
	for i := range r.senders {
		r.mustHandIn(i, Message{ID: fmt.Sprint("short-", i), Class: "again", Dst: acme, Body: marker, Timeout: 300 * time.Millisecond})
		r.mustHandIn(i, Message{ID: fmt.Sprint("long-", i), Class: "again", Dst: acme, Body: marker, Timeout: time.Minute})
		r.Until("one is a dead letter", func(rec Record) bool { return rec.Ended(fmt.Sprint("short-", i)) })
	}
}

// withoutOrders drops the hand-ins of orders from a record: they are not messages that get delivered.
func withoutOrders(rec Record) Record {
	rec.HandIns = slices.DeleteFunc(slices.Clone(rec.HandIns), func(h HandIn) bool { return h.Dst == orders })
	return rec
}

func (r *Rig) checkErased(s *Sender) {
	r.t.Helper()
	assert.Empty(r.t, s.Grep(marker), s.Name)
	assert.Empty(r.t, s.Grep("d2hhdC1hY21lLXdvdWxkLWhhdmUtZ29u"), "%s, in base64 as in JSON", s.Name)
}

func TestPurgeReachesEverySender(t *testing.T) {
	t.Parallel()
	r := newPurgeRig(t, noExtraSettings)
	r.Start()
	r.fillFolders()
	for _, s := range r.Senders() {
		require.NotEmpty(t, s.Grep(marker))
	}
	r.orderPurge(1, "one")
	r.orderPurge(2, "one") // the same order, handed in again at another sender
	r.Until("complete", func(rec Record) bool { return len(customerNotices(rec, "complete")) > 0 })
	for _, s := range r.Senders() {
		r.checkErased(s)
	}
	b := customerNotices(r.Record(), "complete")[0]
	cert := b["certificate"].(map[string]any)
	assert.EqualValues(t, 3, cert["senders"])
	assert.Len(t, customerNotices(r.Record(), "accepted"), 1)
	r.Conduct(acme, Conduct{})
	newer := 0
	r.Until("newer messages of acme are accepted", func(Record) bool {
		newer++
		c := r.Client(0)
		defer c.Close()
		return c.HandIn(Message{ID: fmt.Sprint("newer-", newer), Class: "again", Dst: acme, Body: "newer of acme"}) == "+OK"
	})
	r.Until("all messages have ended", func(rec Record) bool { return len(withoutOrders(rec).Unended()) == 0 })
	assert.Len(t, customerNotices(r.Record(), "complete"), 1)
	for _, check := range []Check{ExactlyOneEnd(Classes), ForbiddenRepeats(Classes), CallsDuringRetryAfter(clockSlack), CallsWhileDraining(time.Second)} {
		assert.Empty(t, check(withoutOrders(r.Record())))
	}
}

func TestPurgeWaitsForOneCutOffAndOneDown(t *testing.T) {
	t.Parallel()
	r := newPurgeRig(t, noExtraSettings)
	r.Start()
	r.fillFolders()
	c := r.Sender("c")
	c.SaveFolder("old")
	c.Kill()
	r.Cut([]string{"a"}, []string{"b"})
	r.orderPurge(0, "one")
	r.Until("a has erased the messages", func(Record) bool { return len(r.Sender("a").Grep(marker)) == 0 })
	require.NotEmpty(t, r.Sender("b").Grep(marker))
	r.Heal()
	r.Until("b has erased the messages", func(Record) bool { return len(r.Sender("b").Grep(marker)) == 0 })
	require.Empty(t, customerNotices(r.Record(), "complete"), "the order is complete although c still has its folder")
	c.Start()
	r.Until("complete", func(rec Record) bool { return len(customerNotices(rec, "complete")) > 0 })
	r.checkErased(c)

	c.Kill()
	c.RestoreFolder("old") // a copy from before the purge, after its end
	require.NotEmpty(t, c.Grep(marker))
	before := len(r.Record().Calls)
	c.Start()
	r.Until("c has erased the copy's messages", func(Record) bool { return len(c.Grep(marker)) == 0 })
	assert.False(t, slices.ContainsFunc(r.Record().Calls[before:], func(x Call) bool {
		return x.Sender == "c" && x.Dst == acme && bytes.Contains([]byte(x.RawRequest), []byte(marker))
	}), "c delivered a purged message from the old copy")
	assert.Len(t, customerNotices(r.Record(), "complete"), 1)
}

func TestCoordinatorKilledAndAnotherGoesOn(t *testing.T) {
	t.Parallel()
	r := newPurgeRig(t, noExtraSettings)
	r.Start()
	r.fillFolders()
	r.Cut([]string{"c"}, []string{"a", "b"})
	r.orderPurge(0, "one")
	r.Until("b has erased the messages", func(Record) bool { return len(r.Sender("b").Grep(marker)) == 0 })
	r.Sender("a").Kill()
	r.Heal()
	r.Sender("a").Start()
	r.Until("complete", func(rec Record) bool { return len(customerNotices(rec, "complete")) > 0 })
	for _, s := range r.Senders() {
		r.checkErased(s)
	}
	assert.Len(t, customerNotices(r.Record(), "complete"), 1)
}

func TestLostFolderNeedsTheOperatorsDeclaration(t *testing.T) {
	t.Parallel()
	declaration := ""
	r := newPurgeRig(t, func() string { return declaration })
	r.Start()
	r.fillFolders()
	c := r.Sender("c")
	_, folder, _ := strings.Cut(c.Log(), `"self":"c","incarnation":1,"folder":"`)
	c.Kill()
	c.WipeFolder()
	c.Start()
	r.orderPurge(0, "one")
	r.Until("a and b have erased the messages", func(Record) bool { return len(r.Sender("a").Grep(marker))+len(r.Sender("b").Grep(marker)) == 0 })
	a := r.Sender("a")
	a.Kill()
	a.Start()
	require.Empty(t, customerNotices(r.Record(), "complete"), "the order is complete although the lost folder may still exist")
	a.Kill()
	declaration = fmt.Sprintf("[[fleet.destroyed]]\nsender = \"c\"\nfolder = %q\n", folder[:16])
	a.Start()
	r.Until("complete", func(rec Record) bool { return len(customerNotices(rec, "complete")) > 0 })
	assert.Contains(t, fmt.Sprint(customerNotices(r.Record(), "complete")), "declared_destroyed_by:operator's file")
}
