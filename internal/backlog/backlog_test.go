package backlog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	span = 2_000_000
	late = int64(1) << 60
)

func bounds() Bounds { return Bounds{Room: 200, Slots: 20, Span: span, Most: 1 << 20} }

// fill hands in messages of a destination and writes those down that are to rest.
func fill(q *Queues, now, dst int64, n int) (worked int) {
	for range n {
		switch q.Admit(now, dst, late, false) {
		case Work:
			worked++
		case Rest:
			q.Recorded(now, dst, true)
		}
	}
	return worked
}

// bring has turns come until none may.
func bring(q *Queues, now int64) (turns []int64, total int) {
	for {
		dst, n := q.Next(now)
		if n == 0 {
			return turns, total
		}
		turns, total = append(turns, dst), total+n
		for range n {
			q.Returned(now, dst)
		}
	}
}

func TestWorksWhileThereIsRoomAndRestsBeyond(t *testing.T) {
	q := New(bounds())
	require.Equal(t, 20, fill(q, 0, 7, 100), "as many as may be out at once")
	require.Equal(t, 80, q.Resting())
	require.Equal(t, 20, fill(q, 0, 8, 50), "another destination is not held up")
	_, n := bring(q, 0)
	require.Zero(t, n, "no room in any window")
}

func TestNothingPassesWhatRests(t *testing.T) {
	q := New(bounds())
	fill(q, 0, 7, 30)
	for range 20 {
		q.Ended(0, 7, true)
	}
	require.Equal(t, Rest, q.Admit(0, 7, late, false), "others of its destination rest")
	q.Recorded(0, 7, true)
	dst, n := q.Next(0)
	require.Equal(t, int64(7), dst)
	require.Equal(t, 11, n)
	require.Equal(t, Rest, q.Admit(0, 7, late, false), "they are on their way back, and the module has none of them")
	q.Recorded(0, 7, false)
	for range n {
		q.Returned(0, 7)
	}
	require.Equal(t, Work, q.Admit(0, 7, late, false))
	require.Equal(t, Rest, q.Admit(0, 8, late, true), "an earlier one of its key rests elsewhere")
}

func TestAHandInIsRefusedWhereItCannotRest(t *testing.T) {
	b := bounds()
	b.Most = 3
	q := New(b)
	fill(q, 0, 7, 20)
	require.Equal(t, Refuse, q.Admit(0, 7, leastLeft*Lead-1, false), "its time ends before it would be looked at")
	require.Equal(t, Rest, q.Admit(0, 7, leastLeft*Lead, false))
	q.Recorded(0, 7, true)
	fill(q, 0, 7, 9)
	require.Equal(t, 3, q.Resting(), "no more than that many rest")
	require.Equal(t, Work, q.Admit(0, 8, late, false))
	q.Refused(0, 8)
	require.False(t, q.Knows(8))
	require.Equal(t, Refuse, q.Admit(0, 9, late, true))
	require.False(t, q.Knows(9), "a refusal leaves nothing behind")
}

// However many destinations are down with all that they may have, a further one gets its first as long as the last part of the room lasts, and
// from then on the next place that is free.
func TestNoDestinationStarvesAnother(t *testing.T) {
	for down := 1; down <= 25; down++ {
		q := New(bounds())
		now := int64(0)
		for range 10 { // a rate that opens the widest windows, and then nothing any more
			now += span / 2
			for d := range down {
				w := fill(q, now, int64(d), 100)
				for range w {
					q.Ended(now, int64(d), true)
				}
				bring(q, now)
			}
		}
		for d := range down {
			fill(q, now, int64(d), 100)
		}
		require.LessOrEqual(t, q.Working(), q.share(fullShare))
		next := int64(1000)
		for ; q.Working() < q.share(fullShare); next++ {
			require.Equal(t, Work, q.Admit(now, next, late, false), "%d down", down)
		}
		require.GreaterOrEqual(t, next, int64(1000+q.share(fullShare)-q.share(leastShare)-max(0, down-9)), "%d down", down)
		require.Equal(t, Rest, q.Admit(now, next, late, false))
		q.Recorded(now, next, true)
		q.Ended(now, 0, false)
		dst, n := q.Next(now)
		require.Equal(t, next, dst)
		require.Equal(t, 1, n)
	}
}

func TestAStalledDestinationKeepsItsLeast(t *testing.T) {
	q := New(bounds())
	fill(q, 0, 7, 100)
	require.Equal(t, 20, q.window(q.queues[7]))
	q.Ended(span-1, 7, false)
	require.Equal(t, 20, q.window(q.queues[7]), "it is not known yet")
	q.Ended(span, 7, false)
	q.Ended(2*span, 7, false)
	require.Equal(t, q.least(), q.window(q.queues[7]), "a whole span, and none was delivered")
	for range 10 {
		q.Ended(2*span, 7, false)
	}
	_, n := bring(q, 2*span)
	require.Equal(t, q.least()-7, n)
	q.Ended(2*span+1, 7, true)
	require.Equal(t, 20, q.window(q.queues[7]), "one was delivered")
}

func TestAWindowFollowsWhatIsDelivered(t *testing.T) {
	q := New(bounds())
	now := int64(0)
	fill(q, now, 7, 1000)
	for range 4 {
		_, n := bring(q, now)
		_ = n
		for range q.Working() {
			q.Ended(now, 7, true)
		}
		now += span
	}
	bring(q, now)
	require.Equal(t, 50, q.Working(), "a quarter of the room at most")
	now += 10 * span
	q.Ended(now, 7, false)
	require.Equal(t, q.least(), q.window(q.queues[7]), "spans without anything count too")
}

func TestDestinationsTakeTurns(t *testing.T) {
	q := New(bounds())
	for d := range 5 {
		fill(q, 0, int64(d), 200)
	}
	turns := map[int64]int{}
	for i := range 50 {
		for d := range 5 {
			if w := q.queues[int64(d)].counts[working]; w > 0 {
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
				q.Returned(int64(i), dst)
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

// A cursor whose destination is gone goes on behind it, round.
func TestTurnsGoOnBehindADestinationThatIsGone(t *testing.T) {
	q := New(bounds())
	for _, d := range []int64{1, 2, 3} {
		q.Found(0, d, 2)
	}
	dst, n := q.Next(0)
	require.Equal(t, int64(1), dst)
	q.Missed(0, 1, n)
	dst, _ = q.Next(0)
	require.Equal(t, int64(2), dst)
	dst, _ = q.Next(0)
	require.Equal(t, int64(3), dst)
	dst, n = q.Next(0)
	require.Zero(t, dst+int64(n))
	q.Unread(0, 3, 2)
	dst, _ = q.Next(0)
	require.Equal(t, int64(3), dst, "what could not be read has its turn again")
}

// model is messages one by one, as a caller has them.
type model struct {
	t    *testing.T
	rng  *rand.Rand
	q    *Queues
	now  int64
	rest map[int64][]int // resting, oldest first
	back map[int64][]int
	work map[int64][]int
	next int
	last map[int64]int // latest that went to the module, by destination
}

func (m *model) total(of map[int64][]int) (n int) {
	for _, ids := range of {
		n += len(ids)
	}
	return n
}

// toModule checks first in, first out by destination.
func (m *model) toModule(dst int64, id int) {
	require.Greater(m.t, id, m.last[dst], "destination %d", dst)
	m.last[dst] = id
	m.work[dst] = append(m.work[dst], id)
}

func (m *model) handIn(dst int64) {
	m.next++
	behind := len(m.rest[dst])+len(m.back[dst]) > 0
	switch m.q.Admit(m.now, dst, late, false) {
	case Work:
		require.False(m.t, behind)
		m.toModule(dst, m.next)
	case Rest:
		ok := m.rng.IntN(10) > 0
		if m.q.Recorded(m.now, dst, ok); ok {
			m.rest[dst] = append(m.rest[dst], m.next)
		}
	default:
		m.t.Fatal("refused with room")
	}
}

func (m *model) turn() {
	dst, n := m.q.Next(m.now)
	if n == 0 {
		require.False(m.t, m.total(m.rest) > 0 && m.total(m.work)+m.total(m.back) == 0, "something rests, nothing is worked on, and nothing comes back")
		return
	}
	require.LessOrEqual(m.t, n, min(BatchMost, len(m.rest[dst])))
	if m.rng.IntN(10) == 0 {
		m.q.Unread(m.now, dst, n)
		return
	}
	m.back[dst], m.rest[dst] = slices.Clone(m.rest[dst][:n]), m.rest[dst][n:]
	for _, id := range m.back[dst] {
		if m.rng.IntN(10) == 0 {
			m.q.Gone(m.now, dst)
		} else {
			m.q.Returned(m.now, dst)
			m.toModule(dst, id)
		}
	}
	m.back[dst] = nil
}

// due takes one out of its turn, which ends.
func (m *model) due(dst int64) {
	if n := len(m.rest[dst]); n > 0 {
		i := m.rng.IntN(n)
		m.rest[dst] = slices.Delete(m.rest[dst], i, i+1)
		m.q.Called(m.now, dst)
		m.q.Gone(m.now, dst)
	}
}

func (m *model) end(dst int64, delivered bool) {
	if n := len(m.work[dst]); n > 0 {
		m.work[dst] = m.work[dst][1:]
		m.q.Ended(m.now, dst, delivered)
	}
}

func (m *model) check() {
	rings, fine := 0, m.q.all[recording]+m.q.all[returning] == 0 && m.q.Working() <= m.q.share(fullShare)
	fine = fine && m.total(m.rest) == m.q.all[resting] && m.total(m.work) == m.q.all[working]
	for dst, d := range m.q.queues {
		fine = fine && len(m.rest[dst]) == d.counts[resting] && len(m.work[dst]) == d.counts[working]
		fine = fine && d.counts[resting]+d.counts[working] > 0 // a queue of nothing goes
		if d.counts[resting] > 0 {
			rings++
		}
	}
	if !fine || len(m.q.ring) != rings {
		require.Fail(m.t, "counts differ", "%+v\nresting %v, working %v", m.q.all, m.rest, m.work)
	}
}

// TestAgainstAModel plays drawn days and compares each step with messages counted one by one. It ends with all of them gone.
func TestAgainstAModel(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			b := Bounds{Room: 1 + rng.IntN(300), Slots: 1 + rng.IntN(40), Span: span, Most: 1 << 20}
			m := &model{t: t, rng: rng, q: New(b), rest: map[int64][]int{}, back: map[int64][]int{}, work: map[int64][]int{}, last: map[int64]int{}}
			dsts := 1 + rng.IntN(12)
			down := rng.IntN(dsts + 1)
			for i := range 3000 {
				dst := int64(rng.IntN(dsts))
				up := int(dst) >= down || i > 2000
				switch k := rng.IntN(20); {
				case k < 8 && i < 2500:
					m.handIn(dst)
				case k < 13:
					m.turn()
				case k == 13:
					m.due(dst)
				case k == 14:
					m.now += rng.Int64N(span)
				case up || k == 15:
					m.end(dst, up)
				}
				m.check()
			}
			for m.total(m.rest)+m.total(m.work) > 0 {
				for d := range dsts {
					m.end(int64(d), true)
				}
				m.turn()
				m.check()
			}
			require.Empty(t, m.q.queues)
			require.Empty(t, m.q.ring)
		})
	}
}

func TestATableIsHeldAgainstDiskAndMemory(t *testing.T) {
	faults := func(t Table) (fs []string) {
		say := func(setting, what string) { fs = append(fs, setting+": "+what) }
		t.Check(say)
		t.Fit(90e6, 64<<20, say)
		return fs
	}
	table := Table{}
	table.Fill(90e6, 64<<20)
	require.Equal(t, Table{MostMB: 90, MostMessages: 1 << 20}, table)
	require.Empty(t, faults(table))
	require.Empty(t, faults(Table{}), "left out")
	require.Equal(t, []string{"most_mb: 91 MB do not fit: the spool may take 90.00 MB of limits.disk_mb"}, faults(Table{MostMB: 91}))
	require.Equal(t, []string{"most_mb: that is less than 0.5 MB"}, faults(Table{MostMB: 0.1}))
	require.Equal(t, []string{"most_messages: 1048577 do not fit: a quarter of limits.memory_mb holds the index of 1048576"}, faults(Table{MostMessages: 1<<20 + 1}))
	require.Equal(t, []string{"most_messages: -1 is not within 1 and 100000000"}, faults(Table{MostMessages: -1}))
}
