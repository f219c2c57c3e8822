package routing

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const settings = `{"balancers":1,"machine_types":["m"],"zones":["z"],"classes":[{"name":"n","aim":2000,"deadline":8000,"group":"all",` +
	`"importance":1,"late_worth":0.5,"repeat":"by_key","window":15000},{"name":"once","aim":2000,"deadline":8000,"repeat":"once"}],` +
	`"family_info":{"max_calls":20},"limits":{"most_held":4,"send_cap":6},` +
	`"rules":{"start_capacity":0.2,"warm_within":1000,"overload_factor":2}}`

// clocked is a router on a clock that only the test advances.
type clocked struct {
	*Router
	t      *testing.T
	now    int64
	closed []string
	others []Decision
}

func begin(t *testing.T) *clocked { return beginWith(t, settings) }

func beginWith(t *testing.T, settings string) *clocked {
	c := &clocked{t: t, now: 1e12}
	c.Router = New(1, gjson.Parse(settings), func() int64 { return c.now },
		func(id string) { c.closed = append(c.closed, id) }, func(string) {})
	c.UpdateReceivers([]Listing{{ID: "s-1", Addr: "h:1", Dst: 7, Kind: "m", Zone: "z", Listed: true}}, true, true)
	return c
}

func (c *clocked) take(id string, past ...PastLeg) (Disposition, int64) {
	return c.Add(Message{ID: id, Dst: 7, Expires: c.now + 8e6, Past: past})
}

// pick returns the next decision on a message; decisions on others are set aside.
func (c *clocked) pick(id string) Decision {
	c.t.Helper()
	c.Release(id)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		for i, p := range c.others {
			if p.ID == id {
				c.others = slices.Delete(c.others, i, i+1)
				return p
			}
		}
		p, err := c.NextDecision(ctx)
		require.NoError(c.t, err)
		c.others = append(c.others, p)
	}
}

func TestLegIsNotAuthorizedAfterARetryAfter(t *testing.T) {
	c := begin(t)
	c.take("a")
	c.take("b")
	a, b := c.pick("a"), c.pick("b")
	require.Equal(t, Leg, b.Disposition)
	assert.Equal(t, "h:1", b.Receiver.Addr)
	assert.True(t, c.Authorized(b))
	c.Report(a, Refused, 500_000, Load{})
	assert.False(t, c.Authorized(b), "its connection was established too late")
	assert.False(t, c.Reachable(b.Receiver))
	c.now += 500_000
	assert.True(t, c.Authorized(b))
	c.UpdateReceivers([]Listing{{ID: "s-1", Dst: 7, Listed: false}}, false, false)
	assert.False(t, c.Authorized(b), "drained in between")
}

// The window of a key counts from the first byte of the first leg that may have run, also over a restart: a retry is valid up to
// 50 ms before the end, for the way to the receiver, and not a microsecond longer.
func TestRetryIsValidUpToTheEndOfItsWindow(t *testing.T) {
	for _, window := range []int64{1e6, 15e6} {
		c := beginWith(t, strings.Replace(settings, `"window":15000`, fmt.Sprintf(`"window":%d`, window/1000), 1))
		first := c.now
		c.now += 700_000 // the sender is down
		disposition, _ := c.Add(Message{ID: "a", Dst: 7, Expires: first + 60e6, Accepted: true,
			Past: []PastLeg{{SentAt: first - 9e6, NeverRan: true}, {SentAt: first}, {SentAt: first + 1, NeverRan: true}}})
		require.Equal(t, Held, disposition)
		p := c.pick("a")
		require.Equal(t, Leg, p.Disposition)
		c.now = first + window - 50_000
		assert.True(t, c.Authorized(p))
		assert.True(t, c.Valid(p))
		c.now++
		assert.False(t, c.Valid(p))
		c.Report(p, NotSent, 0, Load{})
		assert.Equal(t, Rejected, c.pick("a").Disposition, "its client may retry, which its key allows")
	}
}

func TestCapacityAndDuplicatesAreRefused(t *testing.T) {
	c := begin(t)
	for i := range 4 {
		disposition, _ := c.take(fmt.Sprint(i))
		assert.Equal(t, Held, disposition)
	}
	disposition, _ := c.take("0")
	assert.Equal(t, Duplicate, disposition)
	disposition, _ = c.take("4")
	assert.Equal(t, AtCapacity, disposition)
	c.Report(c.pick("0"), Delivered, 0, Load{})
	assert.Equal(t, Completed, c.pick("0").Disposition)
	disposition, _ = c.take("4")
	assert.Equal(t, Held, disposition, "there is capacity again")
	c.Forget("4")
	assert.Equal(t, 3, c.Pending())
}

func TestExpiredMessageEndsAtOnce(t *testing.T) {
	c := begin(t)
	disposition, _ := c.Add(Message{ID: "a", Dst: 7, Expires: c.now + 1})
	assert.Equal(t, Rejected, disposition)
	assert.Zero(t, c.Pending())
}

func TestWithdrawnWhileItsLegIsChosen(t *testing.T) {
	c := begin(t)
	c.take("a")
	c.Withdraw("a")
	p := c.pick("a")
	require.Equal(t, Leg, p.Disposition)
	assert.False(t, c.Authorized(p))
	c.Report(p, NotSent, 0, Load{})
	assert.Equal(t, Completed, c.pick("a").Disposition)
	assert.Zero(t, c.Pending())
}

func TestRecoveredMessagesKeepTheirLegs(t *testing.T) {
	c := begin(t)
	c.take("keyed", PastLeg{SentAt: c.now - 1e6})
	c.now += 200_000 // past the first jitter window
	c.HandleNote("")
	p := c.pick("keyed")
	assert.Equal(t, Leg, p.Disposition)
	assert.Equal(t, 1, p.LegNumber)

	c.take("forgotten", PastLeg{SentAt: c.now - 15e6})
	assert.Equal(t, Failed, c.pick("forgotten").Disposition, "its key is no longer known there")

	c.Add(Message{ID: "once", Class: 1, Dst: 7, Expires: c.now + 8e6, Past: []PastLeg{{SentAt: c.now - 1e6}}})
	assert.Equal(t, Failed, c.pick("once").Disposition)

	c.Add(Message{ID: "unrun", Class: 1, Dst: 7, Expires: c.now + 8e6, Past: []PastLeg{{SentAt: c.now - 1e6, NeverRan: true}}})
	assert.Equal(t, Leg, c.pick("unrun").Disposition)

	full := make([]PastLeg, 6)
	c.Report(p, Delivered, 0, Load{})
	c.take("spent", full...)
	assert.Equal(t, Failed, c.pick("spent").Disposition, "it has used all its legs")
}

// Messages that a restart finds untried are still tried: neither a late list nor a full router may give them up.
func TestAcceptedMessagesWaitForALateListAndAreHeldBeyondCapacity(t *testing.T) {
	c := begin(t)
	for i := range 6 { // with a capacity of four; the module sheds messages to keep it, the others are held
		disposition, _ := c.Add(Message{ID: fmt.Sprint(i), Dst: 7, Expires: c.now + 8e6, Accepted: true})
		assert.Equal(t, Held, disposition)
	}
	disposition, _ := c.Add(Message{ID: "new", Dst: 7, Expires: c.now + 8e6})
	assert.Equal(t, AtCapacity, disposition)

	c = begin(t)
	disposition, _ = c.Add(Message{ID: "untried", Dst: 9, Expires: c.now + 8e6, Accepted: true})
	require.Equal(t, Held, disposition)
	disposition, _ = c.Add(Message{ID: "fresh", Dst: 10, Expires: c.now + 8e6})
	assert.Equal(t, Rejected, disposition, "an unknown destination")
	c.now += 4e6
	c.UpdateReceivers([]Listing{{ID: "s-9", Addr: "h:9", Dst: 9, Kind: "m", Zone: "z", Listed: true}}, false, false)
	p := c.pick("untried")
	assert.Equal(t, Leg, p.Disposition, "at once, when the list names its destination")
	assert.Zero(t, p.LegNumber)
}

// A message that ended before it could be recorded is reported to nobody, and its key continues.
func TestKeyOfAForgottenMessageContinues(t *testing.T) {
	c := beginWith(t, strings.Replace(settings, `"repeat":"once"`, `"repeat":"once","sequential":true`, 1))
	c.UpdateReceivers([]Listing{{ID: "s-1", Dst: 7}}, false, false)
	in := func(id string) Message { return Message{ID: id, Class: 1, OrderKey: "k", Dst: 7, Expires: c.now + 8e6} }
	disposition, _ := c.Add(in("a"))
	require.Equal(t, Held, disposition)
	c.now += 9e6
	c.HandleNote("") // a turn, in which it expires
	c.Forget("a")
	disposition, _ = c.Add(in("b"))
	require.Equal(t, Held, disposition)
	c.UpdateReceivers([]Listing{{ID: "s-1", Addr: "h:1", Dst: 7, Kind: "m", Zone: "z", Listed: true}}, false, false)
	assert.Equal(t, Leg, c.pick("b").Disposition)
}

func TestReceiversHaveOneNumberAtEverySender(t *testing.T) {
	a, b := begin(t), begin(t)
	b.UpdateReceivers([]Listing{{ID: "s-0", Dst: 8}, {ID: "s-1", Dst: 7, Addr: "h:2", Listed: true}}, true, false)
	a.take("x")
	b.take("x")
	assert.Equal(t, a.pick("x").Receiver.number, b.pick("x").Receiver.number, "notes identify receivers by it")
}

func TestForgottenReceiversAreDeleted(t *testing.T) {
	c := begin(t)
	for i := range 500 {
		l := Listing{ID: fmt.Sprint("s-", i+2), Addr: "h:2", Dst: 7, Listed: true}
		c.UpdateReceivers([]Listing{l}, false, false)
		l.Listed = false
		c.UpdateReceivers([]Listing{l}, false, false)
		c.now += 1e6
	}
	assert.Less(t, len(c.receivers), 64)
	assert.Empty(t, c.numbers, "no two ids share a checksum here")
	for n := range c.receivers {
		assert.True(t, c.sender.KnowsReceiver(n), "exactly those that the module knows")
	}
	assert.Equal(t, c.sender.Stats().Known, len(c.receivers))
}

// HasReceiver is called for each hand-in to be spilled, so it must agree with the list without iterating: listed, unlisted for a
// moment, forgotten, never listed.
func TestHasReceiver(t *testing.T) {
	c := begin(t)
	l := Listing{ID: "s-2", Addr: "h:2", Dst: 8, Listed: true}
	assert.False(t, c.HasReceiver(8), "never listed")
	c.UpdateReceivers([]Listing{l}, false, false)
	assert.True(t, c.HasReceiver(8))
	l.Listed = false
	c.UpdateReceivers([]Listing{l}, false, false)
	assert.True(t, c.HasReceiver(8), "its receiver may come back")
	c.now += 100e6
	c.UpdateReceivers(nil, false, false)
	assert.False(t, c.HasReceiver(8), "forgotten")
	assert.True(t, c.HasReceiver(7))
	for n, p := range c.receivers { // the iteration is the reference
		assert.True(t, c.HasReceiver(p.dst), n)
	}
}

func TestNoDecisionBeforeAMessageIsReleased(t *testing.T) {
	c := begin(t)
	c.take("a")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.NextDecision(ctx)
	assert.Error(t, err, "its client has no answer yet")
	assert.Equal(t, Leg, c.pick("a").Disposition)
}

func TestLostLegClosesIdleConnections(t *testing.T) {
	c := begin(t)
	c.take("a")
	c.Report(c.pick("a"), Reset, 0, Load{})
	assert.Equal(t, []string{"s-1"}, c.closed)
}

// With requested lists the module requests the watch once. Notes and probes that nobody has run yet must not displace that
// request.
func TestWatchIsRequestedHoweverManyTasksWait(t *testing.T) {
	r := New(1, gjson.Parse(`{"discovery":"subscribe"}`), func() int64 { return 1e12 }, func(string) {}, func(string) {})
	for range maxTasks {
		host{r}.Broadcast("n")
	}
	r.runTurn(func() {}) // no receiver is known: the list is requested at once
	soon, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range maxTasks + 1 {
		if c, err := r.NextTask(soon); err == nil && c.Kind == Watch {
			return
		}
	}
	assert.Fail(t, "never requested")
}

// Added in one turn, messages have the same admissions as one by one; those of a key keep their order.
func TestAddAllGivesTheSameAdmissionsAsAdd(t *testing.T) {
	roomy := strings.Replace(strings.Replace(settings, `"most_held":4`, `"most_held":40`, 1), `"repeat":"once"`, `"repeat":"once","sequential":true`, 1)
	fares := func(all bool) (admissions []Admission, dispositions []Disposition) {
		c := beginWith(t, roomy)
		in := func(id string, past ...PastLeg) Message {
			return Message{ID: id, Dst: 7, Expires: c.now + 8e6, Past: past, Accepted: true}
		}
		late, inLine, next := in("late"), in("line"), in("next")
		late.Expires = c.now - 1
		inLine.Class, inLine.OrderKey = 1, "k"
		next.Class, next.OrderKey = 1, "k"
		ended := Message{ID: "ended", Class: 1, OrderKey: "e", Dst: 7, EndUnreported: true}
		behind := in("behind")
		behind.Class, behind.OrderKey = 1, "e"
		ms := []Message{in("untried"), late, in("untried"), in("forgotten", PastLeg{SentAt: c.now - 15e6}), in("unrun", PastLeg{NeverRan: true}),
			in("spent", make([]PastLeg, 6)...), inLine, next, ended, behind}
		if all {
			admissions = c.AddAll(ms)
		} else {
			for _, m := range ms {
				admissions = append(admissions, c.AddAll([]Message{m})...)
			}
		}
		for _, id := range []string{"untried", "forgotten", "unrun", "spent", "line"} {
			dispositions = append(dispositions, c.pick(id).Disposition)
		}
		for _, id := range []string{"next", "behind"} {
			c.Release(id)
		}
		c.HandleNote("")
		for p, any := c.next(); any; p, any = c.next() {
			assert.NotContains(t, []string{"next", "behind"}, p.ID, "their keys are not free yet")
		}
		c.EndReported("ended")
		assert.Equal(t, Leg, c.pick("behind").Disposition)
		return admissions, dispositions
	}
	one, oneDispositions := fares(false)
	many, manyDispositions := fares(true)
	assert.Equal(t, one, many)
	assert.Equal(t, oneDispositions, manyDispositions)
	assert.Equal(t, []Disposition{Leg, Failed, Leg, Failed, Leg}, manyDispositions)
	assert.Equal(t, []Disposition{Held, Rejected, Duplicate}, []Disposition{many[0].Disposition, many[1].Disposition, many[2].Disposition})
}
