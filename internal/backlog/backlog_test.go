package backlog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	interval = 2_000_000
	never    = int64(1) << 60
)

func testLimits() Limits {
	return Limits{Capacity: 200, Slots: 20, Interval: interval, MaxSpilled: 1 << 20}
}

// handInMany hands in messages for a destination and records the spilled ones.
func handInMany(q *Queues, now, dst int64, n int) (worked int) {
	for range n {
		switch q.Admit(now, dst, never, false) {
		case Activate:
			worked++
		case Spill:
			q.Recorded(now, dst, true)
		}
	}
	return worked
}

// loadAll gives turns until no destination may load.
func loadAll(q *Queues, now int64) (turns []int64, total int) {
	for {
		dst, n := q.Next(now)
		if n == 0 {
			return turns, total
		}
		turns, total = append(turns, dst), total+n
		for range n {
			q.Activated(now, dst)
		}
	}
}

func TestActivatesWithinTheWindowAndSpillsBeyond(t *testing.T) {
	q := New(testLimits())
	require.Equal(t, 20, handInMany(q, 0, 7, 100), "as many as there are call slots")
	require.Equal(t, 80, q.Spilled())
	require.Equal(t, 20, handInMany(q, 0, 8, 50), "another destination is not blocked")
	_, n := loadAll(q, 0)
	require.Zero(t, n, "no room in any window")
}

func TestNothingOvertakesSpilledMessages(t *testing.T) {
	q := New(testLimits())
	handInMany(q, 0, 7, 30)
	for range 20 {
		q.Ended(0, 7, true)
	}
	require.Equal(t, Spill, q.Admit(0, 7, never, false), "others of its destination are spilled")
	q.Recorded(0, 7, true)
	dst, n := q.Next(0)
	require.Equal(t, int64(7), dst)
	require.Equal(t, 11, n)
	require.Equal(t, Spill, q.Admit(0, 7, never, false), "they are loading, and the module has none of them")
	q.Recorded(0, 7, false)
	for range n {
		q.Activated(0, 7)
	}
	require.Equal(t, Activate, q.Admit(0, 7, never, false))
	require.Equal(t, Spill, q.Admit(0, 8, never, true), "an earlier one of its key is spilled elsewhere")
}

func TestUnspillableHandInIsRefused(t *testing.T) {
	b := testLimits()
	b.MaxSpilled = 3
	q := New(b)
	handInMany(q, 0, 7, 20)
	require.Equal(t, Reject, q.Admit(0, 7, minLeadTimes*ExpiryLead-1, false), "it expires before it would be read")
	require.Equal(t, Spill, q.Admit(0, 7, minLeadTimes*ExpiryLead, false))
	q.Recorded(0, 7, true)
	handInMany(q, 0, 7, 9)
	require.Equal(t, 3, q.Spilled(), "no more than MaxSpilled")
	require.Equal(t, Activate, q.Admit(0, 8, never, false))
	q.ActivationRefused(0, 8)
	require.False(t, q.Has(8))
	require.Equal(t, Reject, q.Admit(0, 9, never, true))
	require.False(t, q.Has(9), "a rejection leaves nothing behind")
}

// However many destinations are down with full windows, a further one gets its first message as long as the last share of the
// capacity lasts, and after that the next free place.
func TestNoDestinationStarvesAnother(t *testing.T) {
	for down := 1; down <= 25; down++ {
		q := New(testLimits())
		now := int64(0)
		for range 10 { // a rate that opens the widest windows, followed by none
			now += interval / 2
			for d := range down {
				w := handInMany(q, now, int64(d), 100)
				for range w {
					q.Ended(now, int64(d), true)
				}
				loadAll(q, now)
			}
		}
		for d := range down {
			handInMany(q, now, int64(d), 100)
		}
		require.LessOrEqual(t, q.Active(), q.share(totalShare))
		next := int64(1000)
		for ; q.Active() < q.share(totalShare); next++ {
			require.Equal(t, Activate, q.Admit(now, next, never, false), "%d down", down)
		}
		require.GreaterOrEqual(t, next, int64(1000+q.share(totalShare)-q.share(minWindowShare)-max(0, down-9)), "%d down", down)
		require.Equal(t, Spill, q.Admit(now, next, never, false))
		q.Recorded(now, next, true)
		q.Ended(now, 0, false)
		dst, n := q.Next(now)
		require.Equal(t, next, dst)
		require.Equal(t, 1, n)
	}
}

func TestStalledDestinationKeepsItsMinimumWindow(t *testing.T) {
	q := New(testLimits())
	handInMany(q, 0, 7, 100)
	require.Equal(t, 20, q.window(q.queues[7]))
	q.Ended(interval-1, 7, false)
	require.Equal(t, 20, q.window(q.queues[7]), "it is not known to be stalled yet")
	q.Ended(interval, 7, false)
	q.Ended(2*interval, 7, false)
	require.Equal(t, q.minWindow(), q.window(q.queues[7]), "a whole interval without a delivery")
	for range 10 {
		q.Ended(2*interval, 7, false)
	}
	_, n := loadAll(q, 2*interval)
	require.Equal(t, q.minWindow()-7, n)
	q.Ended(2*interval+1, 7, true)
	require.Equal(t, 20, q.window(q.queues[7]), "one was delivered")
}

func TestWindowFollowsDeliveries(t *testing.T) {
	q := New(testLimits())
	now := int64(0)
	handInMany(q, now, 7, 1000)
	for range 4 {
		_, n := loadAll(q, now)
		_ = n
		for range q.Active() {
			q.Ended(now, 7, true)
		}
		now += interval
	}
	loadAll(q, now)
	require.Equal(t, 50, q.Active(), "at most a quarter of the capacity")
	now += 10 * interval
	q.Ended(now, 7, false)
	require.Equal(t, q.minWindow(), q.window(q.queues[7]), "intervals without events count too")
}

func TestDestinationsTakeTurns(t *testing.T) {
	q := New(testLimits())
	for d := range 5 {
		handInMany(q, 0, int64(d), 200)
	}
	turns := map[int64]int{}
	for i := range 50 {
		for d := range 5 {
			if w := q.queues[int64(d)].counts[active]; w > 0 {
				q.Ended(int64(i), int64(d), true)
			}
		}
		seen := map[int64]bool{}
		for {
			dst, n := q.Next(int64(i))
			if n == 0 {
				break
			}
			require.False(t, seen[dst] && len(seen) < 5, "one gets its second turn before another has had one")
			seen[dst] = true
			turns[dst]++
			for range n {
				q.Activated(int64(i), dst)
			}
		}
	}
	least, most := 1<<30, 0
	for _, n := range turns {
		least, most = min(least, n), max(most, n)
	}
	require.Len(t, turns, 5)
	require.LessOrEqual(t, most-least, 1)
}

// If the destination at the cursor is gone, the turns continue with the next one, round.
func TestTurnsContinueAfterADeletedDestination(t *testing.T) {
	q := New(testLimits())
	for _, d := range []int64{1, 2, 3} {
		q.AddSpilled(0, d, 2)
	}
	dst, n := q.Next(0)
	require.Equal(t, int64(1), dst)
	q.Missing(0, 1, n)
	dst, _ = q.Next(0)
	require.Equal(t, int64(2), dst)
	dst, _ = q.Next(0)
	require.Equal(t, int64(3), dst)
	dst, n = q.Next(0)
	require.Zero(t, dst+int64(n))
	q.LoadFailed(0, 3, 2)
	dst, _ = q.Next(0)
	require.Equal(t, int64(3), dst, "messages that could not be read have another turn")
}

// model tracks single messages, as a caller does.
type model struct {
	t             *testing.T
	rng           *rand.Rand
	q             *Queues
	now           int64
	spilled       map[int64][]int // oldest first
	loading       map[int64][]int
	active        map[int64][]int
	next          int
	lastActivated map[int64]int // latest message submitted to the module, by destination
}

func (m *model) total(of map[int64][]int) (n int) {
	for _, ids := range of {
		n += len(ids)
	}
	return n
}

// activate checks the FIFO order of each destination.
func (m *model) activate(dst int64, id int) {
	require.Greater(m.t, id, m.lastActivated[dst], "destination %d", dst)
	m.lastActivated[dst] = id
	m.active[dst] = append(m.active[dst], id)
}

func (m *model) handIn(dst int64) {
	m.next++
	behind := len(m.spilled[dst])+len(m.loading[dst]) > 0
	switch m.q.Admit(m.now, dst, never, false) {
	case Activate:
		require.False(m.t, behind)
		m.activate(dst, m.next)
	case Spill:
		ok := m.rng.IntN(10) > 0
		if m.q.Recorded(m.now, dst, ok); ok {
			m.spilled[dst] = append(m.spilled[dst], m.next)
		}
	default:
		m.t.Fatal("refused with room")
	}
}

func (m *model) loadNext() {
	dst, n := m.q.Next(m.now)
	if n == 0 {
		require.False(m.t, m.total(m.spilled) > 0 && m.total(m.active)+m.total(m.loading) == 0, "messages are spilled, but none is active or loading")
		return
	}
	require.LessOrEqual(m.t, n, min(MaxBatch, len(m.spilled[dst])))
	if m.rng.IntN(10) == 0 {
		m.q.LoadFailed(m.now, dst, n)
		return
	}
	m.loading[dst], m.spilled[dst] = slices.Clone(m.spilled[dst][:n]), m.spilled[dst][n:]
	for _, id := range m.loading[dst] {
		if m.rng.IntN(10) == 0 {
			m.q.EndedLoading(m.now, dst)
		} else {
			m.q.Activated(m.now, dst)
			m.activate(dst, id)
		}
	}
	m.loading[dst] = nil
}

// endEarly ends a message that is loaded outside its turn.
func (m *model) endEarly(dst int64) {
	if n := len(m.spilled[dst]); n > 0 {
		i := m.rng.IntN(n)
		m.spilled[dst] = slices.Delete(m.spilled[dst], i, i+1)
		m.q.LoadedEarly(m.now, dst)
		m.q.EndedLoading(m.now, dst)
	}
}

func (m *model) end(dst int64, delivered bool) {
	if n := len(m.active[dst]); n > 0 {
		m.active[dst] = m.active[dst][1:]
		m.q.Ended(m.now, dst, delivered)
	}
}

func (m *model) check() {
	rings, fine := 0, m.q.totals[spilling]+m.q.totals[loading] == 0 && m.q.Active() <= m.q.share(totalShare)
	fine = fine && m.total(m.spilled) == m.q.totals[spilled] && m.total(m.active) == m.q.totals[active]
	for dst, d := range m.q.queues {
		fine = fine && len(m.spilled[dst]) == d.counts[spilled] && len(m.active[dst]) == d.counts[active]
		fine = fine && d.counts[spilled]+d.counts[active] > 0 // empty queues are deleted
		if d.counts[spilled] > 0 {
			rings++
		}
	}
	if !fine || len(m.q.ring) != rings {
		require.Fail(m.t, "counts differ", "%+v\nresting %v, working %v", m.q.totals, m.spilled, m.active)
	}
}

// TestAgainstAModel runs random operations and compares each step with messages counted one by one, until all of them are gone.
func TestAgainstAModel(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			b := Limits{Capacity: 1 + rng.IntN(300), Slots: 1 + rng.IntN(40), Interval: interval, MaxSpilled: 1 << 20}
			m := &model{t: t, rng: rng, q: New(b), spilled: map[int64][]int{}, loading: map[int64][]int{}, active: map[int64][]int{}, lastActivated: map[int64]int{}}
			dsts := 1 + rng.IntN(12)
			down := rng.IntN(dsts + 1)
			for i := range 3000 {
				dst := int64(rng.IntN(dsts))
				up := int(dst) >= down || i > 2000
				switch k := rng.IntN(20); {
				case k < 8 && i < 2500:
					m.handIn(dst)
				case k < 13:
					m.loadNext()
				case k == 13:
					m.endEarly(dst)
				case k == 14:
					m.now += rng.Int64N(interval)
				case up || k == 15:
					m.end(dst, up)
				}
				m.check()
			}
			for m.total(m.spilled)+m.total(m.active) > 0 {
				for d := range dsts {
					m.end(int64(d), true)
				}
				m.loadNext()
				m.check()
			}
			require.Empty(t, m.q.queues)
			require.Empty(t, m.q.ring)
		})
	}
}

func TestTableIsCheckedAgainstDiskAndMemory(t *testing.T) {
	faults := func(t Table) (fs []string) {
		say := func(setting, what string) { fs = append(fs, setting+": "+what) }
		t.Validate(say)
		t.CheckFits(90e6, 64<<20, say)
		return fs
	}
	table := Table{}
	table.SetDefaults(90e6, 64<<20)
	require.Equal(t, Table{MostMB: 90, MostMessages: 1 << 20}, table)
	require.Empty(t, faults(table))
	require.Empty(t, faults(Table{}), "defaults")
	require.Equal(t, []string{"most_mb: 91 MB do not fit: the spool may take 90.00 MB of limits.disk_mb"}, faults(Table{MostMB: 91}))
	require.Equal(t, []string{"most_mb: that is less than 0.5 MB"}, faults(Table{MostMB: 0.1}))
	require.Equal(t, []string{"most_messages: 1048577 do not fit: a quarter of limits.memory_mb holds the index of 1048576"}, faults(Table{MostMessages: 1<<20 + 1}))
	require.Equal(t, []string{"most_messages: -1 is not within 1 and 100000000"}, faults(Table{MostMessages: -1}))
}
