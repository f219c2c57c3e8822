package verdicts

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/members"
	"ravenlink/internal/post"
)

func alone(t *testing.T, incarnation uint64) *Table {
	t.Helper()
	timing, room := Usual()
	x := New("a", incarnation, timing, room)
	v := viewOf("a", []string{"a", "b", "c"})
	v.Members[0].Incarnation = incarnation
	x.View(0, v)
	// an echo: b's clock reads 5000 where a's reads 1000
	x.Heard(1000, "b", Msg{Incarnation: 1, Stamp: 5000, EchoOf: incarnation, Echo: 900})
	return x
}

// from b at a's moment now, with no time on the way.
func tell(x *Table, now int64, facts ...wire) []Fact {
	news, _ := x.Heard(now, "b", Msg{Incarnation: 1, Stamp: now + 4000, Facts: facts})
	return news
}

func seenBy(origin string, k Kind, version uint64) wire {
	return wire{Dst: 7, Receiver: place.Receiver, Kind: uint8(k), Origin: origin, Incarnation: 1, Version: version}
}

func TestOwnSightBeatsHearsay(t *testing.T) {
	x := alone(t, 1)
	x.Own(2e6, Fact{Subject: place, Kind: Back, Level: 0.5})
	require.Len(t, tell(x, 3e6, seenBy("c", Down, 1)), 1)
	require.Equal(t, Verdict{Back: true, Warm: 0.5}, x.Verdict(3e6, place))
	require.True(t, x.Verdict(2e6+GreatestBack/ownHolds, place).Down, "own sight has grown old, hearsay is younger")
	x.Own(10e6, Fact{Subject: place, Kind: Wait, For: 1e6})
	w := seenBy("c", Wait, 2)
	w.For = 3e6
	tell(x, 10e6, w)
	require.Equal(t, int64(3e6), x.Verdict(10e6, place).Wait, "a wait told to another is heeded")
	require.Zero(t, x.Verdict(13e6, place).Wait)
}

func TestEachKindEndsAtItsGreatestAge(t *testing.T) {
	for _, k := range []Kind{Down, Back, Limit, Scarce} {
		x := alone(t, 1)
		tell(x, 1e6, seenBy("c", k, 1))
		require.Len(t, x.Of(1e6+k.Greatest()-2000, place), 1, k)
		require.Empty(t, x.Of(1e6+k.Greatest(), place), k)
	}
}

func TestBadFactsAreRefusedAndCounted(t *testing.T) {
	x := alone(t, 1)
	bad := func(change func(*wire)) wire { w := seenBy("c", Down, 1); change(&w); return w }
	require.Empty(t, tell(x, 2e6,
		bad(func(w *wire) { w.Kind = 0 }), bad(func(w *wire) { w.Kind = 99 }),
		bad(func(w *wire) { w.Age = math.MaxUint32 }), bad(func(w *wire) { w.Level = -1 }), bad(func(w *wire) { w.For = -1 }),
		bad(func(w *wire) { w.Kind, w.Level = uint8(Back), 1001 }), bad(func(w *wire) { w.Kind, w.For = uint8(Wait), GreatestWait+1 }),
		bad(func(w *wire) { w.Origin = "x" }),
		bad(func(w *wire) { w.Incarnation = 2 }), bad(func(w *wire) { w.Origin, w.Version = "a", 1 })))
	x.Heard(2e6, "x", Msg{Incarnation: 1})
	x.Heard(2e6, "b", Msg{Incarnation: 1, Digest: make([]uint32, 3)})
	x.Heard(2e6, "c", Msg{Incarnation: 1, Facts: []wire{seenBy("c", Down, 1)}})
	require.Empty(t, x.Own(2e6, Fact{Subject: place, Kind: Limit, Level: math.NaN()}))
	c := x.Counts()
	c.Bytes = 0
	require.Equal(t, Counts{Unlisted: 2, Unknown: 2, Absurd: 7, Future: 2, Undated: 1}, c)
	require.Zero(t, x.Len())
}

func TestRoomIsBounded(t *testing.T) {
	x := alone(t, 1)
	x.room.Subjects, x.room.Origins = 3, 1
	for i := range 10 {
		w := seenBy("c", Limit, uint64(i+1))
		w.Dst = int64(i)
		tell(x, 2e6, w)
	}
	require.Equal(t, 3, x.Len())
	young := seenBy("b", Limit, 1)
	young.Dst = 0
	require.Len(t, tell(x, 3e6, young), 1, "the younger takes the place of the oldest")
	require.Equal(t, uint64(7), x.Counts().Full)
	x.Tick(3e6 + GreatestLimit + 1)
	require.Zero(t, x.Len(), "age empties it")
}

func TestALostFolderBeginsAnew(t *testing.T) {
	x := alone(t, 1)
	tell(x, 2e6, seenBy("b", Limit, 9))
	v := viewOf("a", []string{"a", "b", "c"})
	v.Members[1].Folder = 99
	v.Members[1].Incarnation = 1
	x.View(3e6, v)
	x.Heard(3e6, "b", Msg{Incarnation: 1, Stamp: 10, EchoOf: 1, Echo: 2.9e6})
	require.Len(t, x.Of(3e6, place), 1, "still true")
	v.Members = v.Members[:1]
	x.View(4e6, v)
	require.Empty(t, x.Of(4e6, place), "no longer listed")
}

func TestAJoinerLearnsAndACutIsMadeUp(t *testing.T) {
	m, ts := senders(9, 3)
	m.Run(3e6)
	m.Cut = func(from, to int) bool { return from < 4 != (to < 4) }
	for i := range 60 { // more than fits into one letter, on both sides
		s := Subject{Dst: int64(i)}
		m.Post(i%9, ts[i%9].Own(m.Now, Fact{Subject: s, Kind: Limit, Level: float64(i)}))
		m.Run(m.Now + 200_000)
	}
	m.Nodes[8] = nil
	timing, room := Usual()
	ts[8] = New(m.Names[8], 2, timing, room)
	require.True(t, ts[8].Learning(0))
	m.Cut = nil
	m.Run(m.Now + 20e6)
	for _, x := range ts[:8] {
		require.Equal(t, 60, x.Len())
		v := viewOf(x.self, m.Names)
		v.Members[8].Incarnation = 2
		x.View(m.Now, v)
	}
	ts[8].View(m.Now, viewOf(m.Names[8], m.Names))
	m.Nodes[8] = node{ts[8]}
	require.True(t, ts[8].Learning(m.Now))
	for joined := m.Now; ts[8].Learning(m.Now); {
		m.Run(m.Now + 10_000)
		require.Less(t, m.Now, joined+2e6)
	}
	require.Greater(t, ts[8].Len(), 50)
}

func TestOneAloneDoesNotLearnForEver(t *testing.T) {
	timing, room := Usual()
	x := New("a", 1, timing, room)
	x.View(0, members.View{Self: "a", Members: []members.Member{{Name: "a"}}})
	require.False(t, x.Learning(0))
	x = New("a", 1, timing, room)
	x.View(0, viewOf("a", []string{"a", "b"}))
	require.True(t, x.Learning(timing.LearnFor-1))
	require.False(t, x.Learning(timing.LearnFor))
}

func TestManyThatSeeTheSameDoNotAllTell(t *testing.T) {
	m, ts := senders(100, 3)
	m.Run(10e6)
	for i, x := range ts {
		m.Post(i, x.Own(m.Now, Fact{Subject: place, Kind: Down}))
		m.Run(m.Now + 2000)
	}
	quiet := 0
	for _, x := range ts {
		require.True(t, x.Verdict(m.Now, place).Down)
		quiet += int(bit(x.find(key{place, Down.slot(), x.self}).quiet))
	}
	require.Greater(t, quiet, 80)
}

func TestWarmStart(t *testing.T) {
	x := alone(t, 1)
	x.Own(2e6, Fact{Subject: place, Kind: Limit, Level: 40})
	x.Own(2e6, Fact{Subject: place, Kind: Wait, For: 9e6})
	tell(x, 2e6, seenBy("c", Down, 1))
	b, err := x.Snapshot(3e6)
	require.NoError(t, err)

	y := alone(t, 2)
	n, err := y.Restore(500e6, b, 5e6)
	require.NoError(t, err)
	require.Equal(t, 3, n)
	v := y.Verdict(500e6, place)
	require.Equal(t, 40.0, v.Limit)
	require.InDelta(t, 3e6, v.Wait, 1000)
	n, err = alone(t, 2).Restore(500e6, b, 9e6)
	require.NoError(t, err)
	require.Equal(t, 1, n, "the limit; the wait is over, the other too old")
	n, err = alone(t, 2).Restore(500e6, b, GreatestLimit)
	require.NoError(t, err)
	require.Zero(t, n)

	refused := func(b []byte, down int64, why error) {
		z := alone(t, 2)
		_, err := z.Restore(500e6, b, down)
		require.ErrorIs(t, err, why)
		require.Zero(t, z.Len())
	}
	refused(b, -1, ErrClock)
	for i := range b {
		refused(b[:i], 0, ErrTorn)
	}
	torn := append([]byte(nil), b...)
	torn[len(torn)-20] ^= 1
	refused(torn, 0, ErrTorn)
	future, err := cbor.Marshal(snapshot{Form: 2})
	require.NoError(t, err)
	refused(future, 0, ErrForm)
}

func FuzzDecode(f *testing.F) {
	for _, m := range []Msg{{}, {Incarnation: 1, Stamp: 5, Facts: []wire{seenBy("c", Wait, 1)}}, {Incarnation: 1, Digest: make([]uint32, buckets)},
		{Incarnation: 1, Want: 3, Flags: 255, Echo: 1, EchoOf: 1}} {
		b, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		timing, room := Usual()
		x := New("a", 1, timing, room)
		x.View(0, viewOf("a", []string{"a", "b", "c"}))
		for now := int64(1e6); now < 3e6; now += 1e6 {
			x.Heard(now, "b", m)
			x.Tick(now)
		}
		for _, s := range x.Subjects() {
			for _, fact := range x.Of(3e6, s) {
				require.Less(t, fact.Age+fact.Slack, fact.Kind.Greatest(), fmt.Sprint(fact))
			}
		}
	})
}

func TestBytesAreCountedAsTheyAre(t *testing.T) {
	m, ts := senders(30, 3)
	var carried uint64
	m.Took = func(_, _, size int) { carried += uint64(size) }
	for i := range 100 {
		m.Post(i%30, ts[i%30].Own(m.Now, Fact{Subject: Subject{Dst: int64(i), Receiver: place.Receiver}, Kind: Wait, For: 9e6}))
		m.Run(m.Now + 100_000)
	}
	var counted uint64
	for _, x := range ts {
		counted += x.Counts().Bytes
	}
	require.InEpsilon(t, carried, counted, 0.05)
}

func TestABetterDateMakesAFactCount(t *testing.T) {
	x := alone(t, 1)
	vague := seenBy("c", Down, 1)
	vague.Slack = uint32(GreatestDown / 1000)
	news := tell(x, 2e6, vague)
	require.Len(t, news, 1)
	require.Empty(t, x.Of(2e6, place), "it may be too old")
	require.Len(t, tell(x, 2e6, seenBy("c", Down, 1)), 1)
	require.Len(t, x.Of(2e6, place), 1)
	require.Empty(t, tell(x, 2e6, vague, seenBy("c", Down, 1)), "no news")
}

func TestAnswersKeepToTheRate(t *testing.T) {
	x := alone(t, 1)
	for i := range 40 {
		w := seenBy("c", Limit, uint64(i+1))
		w.Dst = int64(i)
		tell(x, 2e6, w)
	}
	before := x.Counts().Bytes
	for i := range int64(10_000) { // one that asks for all, a thousand times a second
		x.Heard(2e6+i*1000, "b", Msg{Incarnation: 1, Stamp: 6000 + i, Want: math.MaxUint32})
	}
	require.LessOrEqual(t, x.Counts().Bytes-before, uint64((burst+1+10)*x.room.Rate+answers*x.room.Letter))
}

func to(letters []post.Letter[Msg], digest bool) (names []string) {
	for _, l := range letters {
		if digest == (len(l.Msg.Digest) > 0) {
			names = append(names, l.To)
		}
	}
	slices.Sort(names)
	return names
}

func TestOneInDoubtIsToldAtOnceAndOneWhoWasGoneAtItsReturn(t *testing.T) {
	x := alone(t, 1)
	x.Tick(4e6) // no joiner any more
	v := viewOf("a", []string{"a", "b", "c"})
	v.Members[1].State, v.Members[2].State = members.Doubted, members.Gone
	x.View(4e6, v)
	require.Equal(t, []string{"b"}, to(x.Own(4e6, Fact{Subject: place, Kind: Wait, For: 9e6}), false), "slow is not gone")
	x.Tick(4.1e6)
	v.Members[2].State = members.Doubted
	x.View(4.15e6, v)
	require.Equal(t, []string{"c"}, to(x.Tick(4.2e6), true), "before the second's comparison")
	require.Empty(t, to(x.Tick(4.3e6), true), "once")
}

func TestALinksOwnBoundDatesTheFirstFacts(t *testing.T) {
	x := alone(t, 1)
	w := seenBy("c", Wait, 1)
	w.For = 9e6
	news, _ := x.HeardWithin(2e6, 300_000, "c", Msg{Incarnation: 1, Stamp: 77, Facts: []wire{w}})
	require.Len(t, news, 1)
	require.Equal(t, int64(300_000), news[0].Slack, "the whole of the way counts")
	require.Zero(t, x.Counts().Undated)
	news, _ = x.HeardWithin(2e6, 0, "b", Msg{Incarnation: 1, Stamp: 5900, Facts: []wire{seenBy("b", Down, 1)}})
	require.Greater(t, news[0].Slack, int64(1.9e6), "stamps also count what passed before the letter came to the link")
}
