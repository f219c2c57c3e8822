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

// clocked is a router on a clock that stands still until moved.
type clocked struct {
	*Router
	t      *testing.T
	now    int64
	closed []string
	others []Pick
}

func begin(t *testing.T) *clocked { return beginWith(t, settings) }

func beginWith(t *testing.T, settings string) *clocked {
	c := &clocked{t: t, now: 1e12}
	c.Router = New(1, gjson.Parse(settings), func() int64 { return c.now },
		func(id string) { c.closed = append(c.closed, id) }, func(string) {})
	c.List([]Listing{{ID: "s-1", Addr: "h:1", Dst: 7, Kind: "m", Zone: "z", Listed: true}}, true, true)
	return c
}

func (c *clocked) take(id string, past ...PastLeg) (Way, int64) {
	return c.Take(Message{ID: id, Dst: 7, Expires: c.now + 8e6, Past: past})
}

// pick gives the next decision on a message; those on others are kept.
func (c *clocked) pick(id string) Pick {
	c.t.Helper()
	c.Carry(id)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		for i, p := range c.others {
			if p.ID == id {
				c.others = slices.Delete(c.others, i, i+1)
				return p
			}
		}
		p, err := c.Pick(ctx)
		require.NoError(c.t, err)
		c.others = append(c.others, p)
	}
}

func TestLegPickedDoesNotGoOnceAWaitIsTold(t *testing.T) {
	c := begin(t)
	c.take("a")
	c.take("b")
	a, b := c.pick("a"), c.pick("b")
	require.Equal(t, Leg, b.Way)
	assert.Equal(t, "h:1", b.Receiver.Addr)
	assert.True(t, c.Stands(b))
	c.Report(a, TurnedAway, 500_000, Load{})
	assert.False(t, c.Stands(b), "its connection came up too late")
	assert.False(t, c.Reachable(b.Receiver))
	c.now += 500_000
	assert.True(t, c.Stands(b))
	c.List([]Listing{{ID: "s-1", Dst: 7, Listed: false}}, false, false)
	assert.False(t, c.Stands(b), "drained meanwhile")
}

// A window of a key counts from the first byte of the first leg that may have run, over a restart too: its repeat stands up to 50 ms
// before the end, for the way there, and not a microsecond longer.
func TestRepeatStandsUpToTheEndOfItsWindow(t *testing.T) {
	for _, window := range []int64{1e6, 15e6} {
		c := beginWith(t, strings.Replace(settings, `"window":15000`, fmt.Sprintf(`"window":%d`, window/1000), 1))
		first := c.now
		c.now += 700_000 // down
		way, _ := c.Take(Message{ID: "a", Dst: 7, Expires: first + 60e6, Owed: true,
			Past: []PastLeg{{SentAt: first - 9e6, NeverRan: true}, {SentAt: first}, {SentAt: first + 1, NeverRan: true}}})
		require.Equal(t, Held, way)
		p := c.pick("a")
		require.Equal(t, Leg, p.Way)
		c.now = first + window - 50_000
		assert.True(t, c.Stands(p))
		assert.True(t, c.StandsStill(p))
		c.now++
		assert.False(t, c.StandsStill(p))
		c.Report(p, NotSent, 0, Load{})
		assert.Equal(t, PushedBack, c.pick("a").Way, "its client may come again, which its key allows")
	}
}

func TestHoldingRoomAndDoublesAreTurnedAway(t *testing.T) {
	c := begin(t)
	for i := range 4 {
		way, _ := c.take(fmt.Sprint(i))
		assert.Equal(t, Held, way)
	}
	way, _ := c.take("0")
	assert.Equal(t, Twice, way)
	way, _ = c.take("4")
	assert.Equal(t, NoRoom, way)
	c.Report(c.pick("0"), Delivered, 0, Load{})
	assert.Equal(t, Over, c.pick("0").Way)
	way, _ = c.take("4")
	assert.Equal(t, Held, way, "the place is free again")
	c.Forget("4")
	assert.Equal(t, 3, c.Owed())
}

func TestMessageAlreadyOutOfTimeEndsOnTheSpot(t *testing.T) {
	c := begin(t)
	way, _ := c.Take(Message{ID: "a", Dst: 7, Expires: c.now + 1})
	assert.Equal(t, PushedBack, way)
	assert.Zero(t, c.Owed())
}

func TestWithdrawnWhileItsLegIsPicked(t *testing.T) {
	c := begin(t)
	c.take("a")
	c.Withdraw("a")
	p := c.pick("a")
	require.Equal(t, Leg, p.Way)
	assert.False(t, c.Stands(p))
	c.Report(p, NotSent, 0, Load{})
	assert.Equal(t, Over, c.pick("a").Way)
	assert.Zero(t, c.Owed())
}

func TestRecoveredMessagesKeepTheirLegs(t *testing.T) {
	c := begin(t)
	c.take("keyed", PastLeg{SentAt: c.now - 1e6})
	c.now += 200_000 // past the first jitter window
	c.Noted("")
	p := c.pick("keyed")
	assert.Equal(t, Leg, p.Way)
	assert.Equal(t, 1, p.Number)

	c.take("forgotten", PastLeg{SentAt: c.now - 15e6})
	assert.Equal(t, Failed, c.pick("forgotten").Way, "its key is no longer known over there")

	c.Take(Message{ID: "once", Lane: 1, Dst: 7, Expires: c.now + 8e6, Past: []PastLeg{{SentAt: c.now - 1e6}}})
	assert.Equal(t, Failed, c.pick("once").Way)

	c.Take(Message{ID: "unrun", Lane: 1, Dst: 7, Expires: c.now + 8e6, Past: []PastLeg{{SentAt: c.now - 1e6, NeverRan: true}}})
	assert.Equal(t, Leg, c.pick("unrun").Way)

	full := make([]PastLeg, 6)
	c.Report(p, Delivered, 0, Load{})
	c.take("spent", full...)
	assert.Equal(t, Failed, c.pick("spent").Way, "it has had all its legs")
}

// What a restart finds untried is still tried: neither a list that is late nor a full room has it given up.
func TestOwedMessagesWaitForALateListAndAreHeldBeyondTheRoom(t *testing.T) {
	c := begin(t)
	for i := range 6 { // of a room of four; the module keeps that by giving way itself, the rest is held
		way, _ := c.Take(Message{ID: fmt.Sprint(i), Dst: 7, Expires: c.now + 8e6, Owed: true})
		assert.Equal(t, Held, way)
	}
	way, _ := c.Take(Message{ID: "new", Dst: 7, Expires: c.now + 8e6})
	assert.Equal(t, NoRoom, way)

	c = begin(t)
	way, _ = c.Take(Message{ID: "untried", Dst: 9, Expires: c.now + 8e6, Owed: true})
	require.Equal(t, Held, way)
	way, _ = c.Take(Message{ID: "fresh", Dst: 10, Expires: c.now + 8e6})
	assert.Equal(t, PushedBack, way, "a name of nowhere")
	c.now += 4e6
	c.List([]Listing{{ID: "s-9", Addr: "h:9", Dst: 9, Kind: "m", Zone: "z", Listed: true}}, false, false)
	p := c.pick("untried")
	assert.Equal(t, Leg, p.Way, "at once, as the list names its destination")
	assert.Zero(t, p.Number)
}

// Ended before it could be written down, a message is nobody's to tell of, and its key goes on.
func TestKeyOfAForgottenMessageGoesOn(t *testing.T) {
	c := beginWith(t, strings.Replace(settings, `"repeat":"once"`, `"repeat":"once","sequential":true`, 1))
	c.List([]Listing{{ID: "s-1", Dst: 7}}, false, false)
	in := func(id string) Message { return Message{ID: id, Lane: 1, OrderKey: "k", Dst: 7, Expires: c.now + 8e6} }
	way, _ := c.Take(in("a"))
	require.Equal(t, Held, way)
	c.now += 9e6
	c.Noted("") // a turn, in which its time is up
	c.Forget("a")
	way, _ = c.Take(in("b"))
	require.Equal(t, Held, way)
	c.List([]Listing{{ID: "s-1", Addr: "h:1", Dst: 7, Kind: "m", Zone: "z", Listed: true}}, false, false)
	assert.Equal(t, Leg, c.pick("b").Way)
}

func TestReceiversHaveOneNumberAtEverySender(t *testing.T) {
	a, b := begin(t), begin(t)
	b.List([]Listing{{ID: "s-0", Dst: 8}, {ID: "s-1", Dst: 7, Addr: "h:2", Listed: true}}, true, false)
	a.take("x")
	b.take("x")
	assert.Equal(t, a.pick("x").Receiver.number, b.pick("x").Receiver.number, "notes name receivers by it")
}

func TestNamesOfReceiversLongGoneAreDropped(t *testing.T) {
	c := begin(t)
	for i := range 500 {
		l := Listing{ID: fmt.Sprint("s-", i+2), Addr: "h:2", Dst: 7, Listed: true}
		c.List([]Listing{l}, false, false)
		l.Listed = false
		c.List([]Listing{l}, false, false)
		c.now += 1e6
	}
	assert.Less(t, len(c.receivers), 64)
	assert.Empty(t, c.numbers, "no two ids have one sum here")
	for n := range c.receivers {
		assert.True(t, c.sender.Knows(n), "exactly those that the module knows")
	}
	assert.Equal(t, c.sender.Believes().Known, len(c.receivers))
}

// Asked for each hand-in that is to rest, so it must know what the list knows without a walk: listed, unlisted for a moment, forgotten, never heard of.
func TestWhetherADestinationIsListed(t *testing.T) {
	c := begin(t)
	l := Listing{ID: "s-2", Addr: "h:2", Dst: 8, Listed: true}
	assert.False(t, c.Lists(8), "never heard of")
	c.List([]Listing{l}, false, false)
	assert.True(t, c.Lists(8))
	l.Listed = false
	c.List([]Listing{l}, false, false)
	assert.True(t, c.Lists(8), "its receiver may come back")
	c.now += 100e6
	c.List(nil, false, false)
	assert.False(t, c.Lists(8), "forgotten")
	assert.True(t, c.Lists(7))
	for n, p := range c.receivers { // the walk as the measure
		assert.True(t, c.Lists(p.dst), n)
	}
}

func TestNothingComesOutOfPickBeforeAMessageIsCarried(t *testing.T) {
	c := begin(t)
	c.take("a")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.Pick(ctx)
	assert.Error(t, err, "its client has no answer yet")
	assert.Equal(t, Leg, c.pick("a").Way)
}

func TestLostLegClosesIdleConnections(t *testing.T) {
	c := begin(t)
	c.take("a")
	c.Report(c.pick("a"), Reset, 0, Load{})
	assert.Equal(t, []string{"s-1"}, c.closed)
}

// Where lists are asked for the module asks once. Notes and probes that nobody has carried out yet must not take that word away.
func TestTheWatchIsAskedForHoweverManyChoresWait(t *testing.T) {
	r := New(1, gjson.Parse(`{"discovery":"subscribe"}`), func() int64 { return 1e12 }, func(string) {}, func(string) {})
	for range mostChores {
		host{r}.Note("n")
	}
	r.turn(func() {}) // no receiver is known: the list is asked for at once
	soon, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range mostChores + 1 {
		if c, err := r.Chore(soon); err == nil && c.Kind == Watch {
			return
		}
	}
	assert.Fail(t, "never asked for")
}

// Taken in one turn, messages have the fates that they have one by one; those of a key stay in line.
func TestManyInOneTurnFareAsOneByOne(t *testing.T) {
	roomy := strings.Replace(strings.Replace(settings, `"most_held":4`, `"most_held":40`, 1), `"repeat":"once"`, `"repeat":"once","sequential":true`, 1)
	fares := func(all bool) (fates []Fate, ways []Way) {
		c := beginWith(t, roomy)
		in := func(id string, past ...PastLeg) Message {
			return Message{ID: id, Dst: 7, Expires: c.now + 8e6, Past: past, Owed: true}
		}
		late, inLine, next := in("late"), in("line"), in("next")
		late.Expires = c.now - 1
		inLine.Lane, inLine.OrderKey = 1, "k"
		next.Lane, next.OrderKey = 1, "k"
		ended := Message{ID: "ended", Lane: 1, OrderKey: "e", Dst: 7, Unheard: true}
		behind := in("behind")
		behind.Lane, behind.OrderKey = 1, "e"
		ms := []Message{in("untried"), late, in("untried"), in("forgotten", PastLeg{SentAt: c.now - 15e6}), in("unrun", PastLeg{NeverRan: true}),
			in("spent", make([]PastLeg, 6)...), inLine, next, ended, behind}
		if all {
			fates = c.TakeAll(ms)
		} else {
			for _, m := range ms {
				fates = append(fates, c.TakeAll([]Message{m})...)
			}
		}
		for _, id := range []string{"untried", "forgotten", "unrun", "spent", "line"} {
			ways = append(ways, c.pick(id).Way)
		}
		for _, id := range []string{"next", "behind"} {
			c.Carry(id)
		}
		c.Noted("")
		for p, any := c.next(); any; p, any = c.next() {
			assert.NotContains(t, []string{"next", "behind"}, p.ID, "their lines have not come to them")
		}
		c.EndKnown("ended")
		assert.Equal(t, Leg, c.pick("behind").Way)
		return fates, ways
	}
	one, oneWays := fares(false)
	many, manyWays := fares(true)
	assert.Equal(t, one, many)
	assert.Equal(t, oneWays, manyWays)
	assert.Equal(t, []Way{Leg, Failed, Leg, Failed, Leg}, manyWays)
	assert.Equal(t, []Way{Held, PushedBack, Twice}, []Way{many[0].Way, many[1].Way, many[2].Way})
}
