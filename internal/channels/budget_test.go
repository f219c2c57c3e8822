package channels

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// bounded is a budget that counts as the fleet's log does.
type bounded struct{ room, claimed int64 }

func (b *bounded) Cost(key, value int) int64 {
	n := int64(key + value + 70)
	if n > 1024 {
		n *= 2
	}
	return n
}

func (b *bounded) Claim(bytes int64) bool {
	if bytes > b.claimed && bytes > b.room {
		return false
	}
	b.claimed = bytes
	return true
}

func (b *bounded) Largest() int { return 32 << 10 }
func (b *bounded) Room() int64  { return b.room }

// used is what the rows of a disk take.
func (b *bounded) used(disk map[string][]byte) (sum int64) {
	for key, value := range disk {
		sum += b.Cost(len(key), len(value))
	}
	return sum
}

// limit has all senders keep to budgets of so many bytes, and judges after each step that rows take no more than was claimed for them.
func (w *world) limit(room int64) {
	for _, n := range w.nodes {
		n.budget = &bounded{room: room}
		n.t.Limit(n.budget)
	}
	w.plant = func(w *world, n *node) {
		if used := n.budget.used(n.disk); used > n.budget.claimed || n.budget.claimed > room {
			w.fail("%s: rows of %d bytes, %d claimed, room for %d", n.name, used, n.budget.claimed, room)
		}
	}
}

// Guards against a write that finds the fleet's log full: rows of messages held and of electors grew beyond its room.
func TestRowsKeepToTheirBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		w.limit(rapid.Int64Range(2500, 9000).Draw(rt, "room"))
		for _, ch := range []string{"x", "y"} {
			k := contract(ch, func(k *Contract) {
				k.Window = rapid.SampledFrom([]int{3, 8, 64, 300}).Draw(rt, "window")
				k.Gap, k.Mode = rapid.SampledFrom([]Gap{Wait, Skip}).Draw(rt, "gap"), rapid.SampledFrom([]Mode{Whole, PerKey, None}).Draw(rt, "mode")
			})
			e, err := w.nodes[0].t.Declare(w.now, k)
			if err != nil {
				continue // there is no room for it
			}
			w.do(w.nodes[0], e)
			w.settle()
			w.mode[ch], w.strict[ch], w.client[ch], w.owed[ch] = k.Mode, k.Gap == Wait, 1, false
		}
		if len(w.client) > 0 {
			schedule(rt, w, 60)
		}
		for i := range 300 { // all messages end, whatever found no room
			for _, n := range w.nodes {
				if n.down {
					w.restart(n)
				}
				n.paused = false
			}
			w.cut = [3][3]bool{}
			if i > 20 && !slices.ContainsFunc(w.msgs, func(m *taking) bool { return m.ended == 0 }) {
				break
			}
			w.settle()
			for _, n := range w.nodes {
				w.begin(n)
				w.over(n, true)
			}
			w.pass(200_000)
		}
		for _, m := range w.msgs {
			if m.ended != 1 {
				w.fail("%s ended %d times", m.id, m.ended)
			}
		}
		if w.wrong != "" {
			rt.Fatal(w.wrong, "\n", strings.Join(w.story, "\n"))
		}
	})
}

// A channel whose messages fill the room answers BUSY, and takes messages on again as they end.
func TestAFullBudgetIsToldAndPasses(t *testing.T) {
	w := newWorld()
	w.limit(6000)
	e, err := w.nodes[0].t.Declare(w.now, contract("x", func(k *Contract) { k.Window = MostWindow }))
	require.NoError(t, err)
	w.do(w.nodes[0], e)
	w.settle()
	w.client["x"], w.mode["x"] = 1, Whole
	a := w.nodes[0]
	w.until(a, "x", 0)
	taken := 1
	for ; taken < 100 && w.handIn(a, "x", 0).Way == Taken; taken++ {
		w.settle()
	}
	require.Less(t, taken, 100)
	require.Greater(t, taken, 5)
	v := w.handIn(a, "x", 0)
	require.Equal(t, Busy, v.Way)
	require.Positive(t, v.Wait)
	w.run(a)
	require.Equal(t, Taken, w.until(a, "x", 0).Way)
	for range 400 { // far beyond the ids that have room
		w.run(a)
		w.until(a, "x", 0)
		w.pass(1000)
	}
	w.finish()
	require.Empty(t, w.wrong)
}

// No row is longer than was claimed for it, at the longest names, ids, positions and numbers.
func TestLargestRows(t *testing.T) {
	long := func(c string) string { return strings.Repeat(c, longestName) }
	k := &Contract{Channel: long("c"), Tenant: long("t"), Dst: -1 << 62, Mode: PerKey, Gap: Close, Wait: longestWait, Window: MostWindow, PassFailed: true,
		MostHold: longestHold, Version: 1 << 63, From: mostPos, Withdrawn: true, Electors: []string{long("x"), long("y"), long("z")}, Born: 1 << 63}
	sums := slices.Repeat([]uint64{1 << 63}, MostWindow)
	rec := Record{Owner: long("x"), Fence: 1 << 63, Seq: 1 << 63, Last: 4 * mostPos, Ceil: 4 * mostPos, Clean: true, Closed: 1 << 63, Doubt: 4 * mostPos,
		Before: 1 << 63, Since: 1 << 63, Sums: sums}
	b := &bounded{room: 1 << 30}
	table := New(long("x"), 1, k.Electors, Usual, Room{1000, 1000})
	table.Limit(b)
	fits := func(what string, v any, claimed int64) {
		value, err := cbor.Marshal(v)
		require.NoError(t, err)
		require.LessOrEqual(t, len(value), b.Largest(), what)
		require.LessOrEqual(t, b.Cost(len(seatKey)+longestName, len(value)), claimed, what)
	}
	s := table.newSeat(k.Channel, &seat{Contract: k, Next: k, Fence: 1 << 63, Owner: long("x"), Life: 1 << 63, Blank: true})
	require.NotNil(t, s)
	s.Rec = rec
	s.Rec.Sums = newest(sums, table.seatIDs(k.Channel, s, MostWindow))
	require.Len(t, s.Rec.Sums, MostWindow)
	fits("a seat", s, s.claimed)
	for i := range 2 * mostTails {
		tail := rec
		tail.Fence -= uint64(i)
		require.True(t, table.claimTail(k.Channel, s, tail))
		fits("a seat with words of fenced owners", s, s.claimed)
	}
	c := &channel{name: k.Channel, contract: k}
	require.True(t, table.claimOwn(c, k))
	require.Equal(t, MostWindow, table.ownIDs(c, MostWindow))
	fits("an owner's row", rec, c.claimed)
	fits("an order", &order{Contract: *k}, table.orderCost(k))
	e := &entry{Channel: k.Channel, Pos: mostPos, ID: long("i"), Key: strings.Repeat("k", 500), Until: 1 << 62, Settle: 1 << 62, Version: 1 << 63, Mode: PerKey, Pass: true}
	value, err := cbor.Marshal(e)
	require.NoError(t, err)
	require.LessOrEqual(t, b.Cost(len(entryRow(e)), len(value)), table.entryCost(e))
	value, err = cbor.Marshal(gone{1 << 63, 1 << 62})
	require.NoError(t, err)
	require.LessOrEqual(t, b.Cost(len(goneRow(1<<63)), len(value)), table.goneCost())
}

// What was claimed is given back, so that a table in use for long has the room that it began with.
func TestClaimsAreGivenBack(t *testing.T) {
	w := newWorld(contract("x", nil))
	w.limit(1 << 20)
	for _, n := range w.nodes {
		n.down = true
		w.restart(n) // counts what is on disk
	}
	before := map[string]int64{}
	for _, n := range w.nodes {
		before[n.name] = n.budget.claimed
		require.Positive(t, n.budget.claimed)
	}
	for range 3 {
		for range 20 {
			w.until(w.nodes[1], "x", 0)
			w.run(w.nodes[1])
		}
		for range 20 {
			w.pass(quick.Idle)
			w.settle()
		}
	}
	for _, n := range w.nodes {
		require.Zero(t, n.t.held)
		require.Empty(t, slices.Collect(maps.Keys(n.t.chans)), n.name)
		require.Equal(t, before[n.name], n.budget.claimed, fmt.Sprint(n.name, slices.Sorted(maps.Keys(n.disk))))
	}
	require.Empty(t, w.wrong)
}
