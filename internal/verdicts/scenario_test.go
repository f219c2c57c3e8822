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

func newTable(t *testing.T, incarnation uint64) *Table {
	t.Helper()
	timing, room := Defaults()
	x := New("a", incarnation, timing, room)
	v := viewOf("a", []string{"a", "b", "c"})
	v.Members[0].Incarnation = incarnation
	x.SetView(0, v)
	// an echo: b's clock reads 5000 where a's reads 1000
	x.Receive(1000, "b", Msg{Incarnation: 1, SentAt: 5000, EchoOf: incarnation, Echo: 900})
	return x
}

// deliverFacts delivers facts from b at time now by a's clock, with no transit time.
func deliverFacts(x *Table, now int64, facts ...wireFact) []Fact {
	changes, _ := x.Receive(now, "b", Msg{Incarnation: 1, SentAt: now + 4000, Facts: facts})
	return changes
}

func wireFactFrom(origin string, k Kind, version uint64) wireFact {
	return wireFact{Dst: 7, Receiver: testSubject.Receiver, Kind: uint8(k), Origin: origin, Incarnation: 1, Version: version}
}

func TestOwnObservationTakesPrecedence(t *testing.T) {
	x := newTable(t, 1)
	x.Observe(2e6, Fact{Subject: testSubject, Kind: Recovered, Value: 0.5})
	require.Len(t, deliverFacts(x, 3e6, wireFactFrom("c", Down, 1)), 1)
	require.Equal(t, Verdict{Recovered: true, Warmth: 0.5}, x.Verdict(3e6, testSubject))
	require.True(t, x.Verdict(2e6+MaxAgeRecovered/ownPrecedence, testSubject).Down, "the own observation has aged, the other one is newer")
	x.Observe(10e6, Fact{Subject: testSubject, Kind: RetryAfter, Duration: 1e6})
	w := wireFactFrom("c", RetryAfter, 2)
	w.Duration = 3e6
	deliverFacts(x, 10e6, w)
	require.Equal(t, int64(3e6), x.Verdict(10e6, testSubject).RetryAfter, "a retry-after told to another sender counts")
	require.Zero(t, x.Verdict(13e6, testSubject).RetryAfter)
}

func TestEachKindExpiresAtItsMaxAge(t *testing.T) {
	for _, k := range []Kind{Down, Recovered, Limit, ConnsScarce} {
		x := newTable(t, 1)
		deliverFacts(x, 1e6, wireFactFrom("c", k, 1))
		require.Len(t, x.Facts(1e6+k.MaxAge()-2000, testSubject), 1, k)
		require.Empty(t, x.Facts(1e6+k.MaxAge(), testSubject), k)
	}
}

func TestInvalidFactsAreRejectedAndCounted(t *testing.T) {
	x := newTable(t, 1)
	bad := func(change func(*wireFact)) wireFact { w := wireFactFrom("c", Down, 1); change(&w); return w }
	require.Empty(t, deliverFacts(x, 2e6,
		bad(func(w *wireFact) { w.Kind = 0 }), bad(func(w *wireFact) { w.Kind = 99 }),
		bad(func(w *wireFact) { w.Age = math.MaxUint32 }), bad(func(w *wireFact) { w.Value = -1 }), bad(func(w *wireFact) { w.Duration = -1 }),
		bad(func(w *wireFact) { w.Kind, w.Value = uint8(Recovered), 1001 }),
		bad(func(w *wireFact) { w.Kind, w.Duration = uint8(RetryAfter), MaxAgeRetryAfter+1 }),
		bad(func(w *wireFact) { w.Origin = "x" }),
		bad(func(w *wireFact) { w.Incarnation = 2 }), bad(func(w *wireFact) { w.Origin, w.Version = "a", 1 })))
	x.Receive(2e6, "x", Msg{Incarnation: 1})
	x.Receive(2e6, "b", Msg{Incarnation: 1, Digest: make([]uint32, 3)})
	x.Receive(2e6, "c", Msg{Incarnation: 1, Facts: []wireFact{wireFactFrom("c", Down, 1)}})
	require.Empty(t, x.Observe(2e6, Fact{Subject: testSubject, Kind: Limit, Value: math.NaN()}))
	c := x.Counts()
	c.Bytes = 0
	require.Equal(t, Counts{Unlisted: 2, Unknown: 2, Invalid: 7, Future: 2, Undated: 1}, c)
	require.Zero(t, x.Len())
}

func TestTableSizeIsBounded(t *testing.T) {
	x := newTable(t, 1)
	x.bounds.MaxSubjects, x.bounds.MaxOrigins = 3, 1
	for i := range 10 {
		w := wireFactFrom("c", Limit, uint64(i+1))
		w.Dst = int64(i)
		deliverFacts(x, 2e6, w)
	}
	require.Equal(t, 3, x.Len())
	newer := wireFactFrom("b", Limit, 1)
	newer.Dst = 0
	require.Len(t, deliverFacts(x, 3e6, newer), 1, "the newer fact replaces the oldest")
	require.Equal(t, uint64(7), x.Counts().Full)
	x.Tick(3e6 + MaxAgeLimit + 1)
	require.Zero(t, x.Len(), "facts expire")
}

func TestNewFolderResetsIncarnation(t *testing.T) {
	x := newTable(t, 1)
	deliverFacts(x, 2e6, wireFactFrom("b", Limit, 9))
	v := viewOf("a", []string{"a", "b", "c"})
	v.Members[1].Folder = 99
	v.Members[1].Incarnation = 1
	x.SetView(3e6, v)
	x.Receive(3e6, "b", Msg{Incarnation: 1, SentAt: 10, EchoOf: 1, Echo: 2.9e6})
	require.Len(t, x.Facts(3e6, testSubject), 1, "the fact still holds")
	v.Members = v.Members[:1]
	x.SetView(4e6, v)
	require.Empty(t, x.Facts(4e6, testSubject), "no longer listed")
}

func TestSyncAfterJoinAndPartition(t *testing.T) {
	m, ts := newMesh(9, 3)
	m.Run(3e6)
	m.Partitioned = func(from, to int) bool { return from < 4 != (to < 4) }
	for i := range 60 { // on both sides, more than fits into one message
		s := Subject{Dst: int64(i)}
		m.Send(i%9, ts[i%9].Observe(m.Now, Fact{Subject: s, Kind: Limit, Value: float64(i)}))
		m.Run(m.Now + 200_000)
	}
	m.Nodes[8] = nil
	timing, room := Defaults()
	ts[8] = New(m.Names[8], 2, timing, room)
	require.True(t, ts[8].Syncing(0))
	m.Partitioned = nil
	m.Run(m.Now + 20e6)
	for _, x := range ts[:8] {
		require.Equal(t, 60, x.Len())
		v := viewOf(x.self, m.Names)
		v.Members[8].Incarnation = 2
		x.SetView(m.Now, v)
	}
	ts[8].SetView(m.Now, viewOf(m.Names[8], m.Names))
	m.Nodes[8] = node{ts[8]}
	require.True(t, ts[8].Syncing(m.Now))
	for joined := m.Now; ts[8].Syncing(m.Now); {
		m.Run(m.Now + 10_000)
		require.Less(t, m.Now, joined+2e6)
	}
	require.Greater(t, ts[8].Len(), 50)
}

func TestSyncEndsWithoutPeers(t *testing.T) {
	timing, room := Defaults()
	x := New("a", 1, timing, room)
	x.SetView(0, members.View{Self: "a", Members: []members.Member{{Name: "a"}}})
	require.False(t, x.Syncing(0))
	x = New("a", 1, timing, room)
	x.SetView(0, viewOf("a", []string{"a", "b"}))
	require.True(t, x.Syncing(timing.SyncTimeout-1))
	require.False(t, x.Syncing(timing.SyncTimeout))
}

func TestRedundantObservationsAreSuppressed(t *testing.T) {
	m, ts := newMesh(100, 3)
	m.Run(10e6)
	for i, x := range ts {
		m.Send(i, x.Observe(m.Now, Fact{Subject: testSubject, Kind: Down}))
		m.Run(m.Now + 2000)
	}
	quiet := 0
	for _, x := range ts {
		require.True(t, x.Verdict(m.Now, testSubject).Down)
		quiet += int(boolToInt(x.find(key{testSubject, Down.slot(), x.self}).suppressed))
	}
	require.Greater(t, quiet, 80)
}

func TestSnapshotRestore(t *testing.T) {
	x := newTable(t, 1)
	x.Observe(2e6, Fact{Subject: testSubject, Kind: Limit, Value: 40})
	x.Observe(2e6, Fact{Subject: testSubject, Kind: RetryAfter, Duration: 9e6})
	deliverFacts(x, 2e6, wireFactFrom("c", Down, 1))
	b, err := x.Snapshot(3e6)
	require.NoError(t, err)

	y := newTable(t, 2)
	n, err := y.Restore(500e6, b, 5e6)
	require.NoError(t, err)
	require.Equal(t, 3, n)
	v := y.Verdict(500e6, testSubject)
	require.Equal(t, 40.0, v.Limit)
	require.InDelta(t, 3e6, v.RetryAfter, 1000)
	n, err = newTable(t, 2).Restore(500e6, b, 9e6)
	require.NoError(t, err)
	require.Equal(t, 1, n, "the limit remains; the retry-after is over, the other fact too old")
	n, err = newTable(t, 2).Restore(500e6, b, MaxAgeLimit)
	require.NoError(t, err)
	require.Zero(t, n)

	refused := func(b []byte, down int64, why error) {
		z := newTable(t, 2)
		_, err := z.Restore(500e6, b, down)
		require.ErrorIs(t, err, why)
		require.Zero(t, z.Len())
	}
	refused(b, -1, ErrClockWentBack)
	for i := range b {
		refused(b[:i], 0, ErrCorrupt)
	}
	torn := append([]byte(nil), b...)
	torn[len(torn)-20] ^= 1
	refused(torn, 0, ErrCorrupt)
	future, err := cbor.Marshal(snapshot{Format: 2})
	require.NoError(t, err)
	refused(future, 0, ErrFormat)
}

func FuzzDecode(f *testing.F) {
	for _, m := range []Msg{{}, {Incarnation: 1, SentAt: 5, Facts: []wireFact{wireFactFrom("c", RetryAfter, 1)}},
		{Incarnation: 1, Digest: make([]uint32, buckets)},
		{Incarnation: 1, WantBuckets: 3, Flags: 255, Echo: 1, EchoOf: 1}} {
		b, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		timing, room := Defaults()
		x := New("a", 1, timing, room)
		x.SetView(0, viewOf("a", []string{"a", "b", "c"}))
		for now := int64(1e6); now < 3e6; now += 1e6 {
			x.Receive(now, "b", m)
			x.Tick(now)
		}
		for _, s := range x.Subjects() {
			for _, fact := range x.Facts(3e6, s) {
				require.Less(t, fact.Age+fact.Slack, fact.Kind.MaxAge(), fmt.Sprint(fact))
			}
		}
	})
}

func TestByteCountMatchesEncodedSize(t *testing.T) {
	m, ts := newMesh(30, 3)
	var carried uint64
	m.OnSend = func(_, _, size int) { carried += uint64(size) }
	for i := range 100 {
		m.Send(i%30, ts[i%30].Observe(m.Now, Fact{Subject: Subject{Dst: int64(i), Receiver: testSubject.Receiver}, Kind: RetryAfter, Duration: 9e6}))
		m.Run(m.Now + 100_000)
	}
	var counted uint64
	for _, x := range ts {
		counted += x.Counts().Bytes
	}
	require.InEpsilon(t, carried, counted, 0.05)
}

func TestTighterAgeBoundActivatesFact(t *testing.T) {
	x := newTable(t, 1)
	imprecise := wireFactFrom("c", Down, 1)
	imprecise.Slack = uint32(MaxAgeDown / 1000)
	changes := deliverFacts(x, 2e6, imprecise)
	require.Len(t, changes, 1)
	require.Empty(t, x.Facts(2e6, testSubject), "it may be too old")
	require.Len(t, deliverFacts(x, 2e6, wireFactFrom("c", Down, 1)), 1)
	require.Len(t, x.Facts(2e6, testSubject), 1)
	require.Empty(t, deliverFacts(x, 2e6, imprecise, wireFactFrom("c", Down, 1)), "nothing new")
}

func TestRepliesRespectTheRateLimit(t *testing.T) {
	x := newTable(t, 1)
	for i := range 40 {
		w := wireFactFrom("c", Limit, uint64(i+1))
		w.Dst = int64(i)
		deliverFacts(x, 2e6, w)
	}
	before := x.Counts().Bytes
	for i := range int64(10_000) { // a peer that requests everything, a thousand times a second
		x.Receive(2e6+i*1000, "b", Msg{Incarnation: 1, SentAt: 6000 + i, WantBuckets: math.MaxUint32})
	}
	require.LessOrEqual(t, x.Counts().Bytes-before, uint64((burstSeconds+1+10)*x.bounds.BytesPerSec+maxReplies*x.bounds.MaxBytes))
}

func recipients(messages []post.PeerMessage[Msg], digest bool) (names []string) {
	for _, m := range messages {
		if digest == (len(m.Msg.Digest) > 0) {
			names = append(names, m.To)
		}
	}
	slices.Sort(names)
	return names
}

func TestSuspectReceivesAtOnceAndReturnedMemberIsSynced(t *testing.T) {
	x := newTable(t, 1)
	x.Tick(4e6) // no longer joining
	v := viewOf("a", []string{"a", "b", "c"})
	v.Members[1].State, v.Members[2].State = members.Suspect, members.Dead
	x.SetView(4e6, v)
	require.Equal(t, []string{"b"}, recipients(x.Observe(4e6, Fact{Subject: testSubject, Kind: RetryAfter, Duration: 9e6}), false), "suspect is not dead")
	x.Tick(4.1e6)
	v.Members[2].State = members.Suspect
	x.SetView(4.15e6, v)
	require.Equal(t, []string{"c"}, recipients(x.Tick(4.2e6), true), "before the next regular exchange")
	require.Empty(t, recipients(x.Tick(4.3e6), true), "only once")
}

func TestLinkAgeBoundDatesFirstFacts(t *testing.T) {
	x := newTable(t, 1)
	w := wireFactFrom("c", RetryAfter, 1)
	w.Duration = 9e6
	changes, _ := x.ReceiveWithin(2e6, 300_000, "c", Msg{Incarnation: 1, SentAt: 77, Facts: []wireFact{w}})
	require.Len(t, changes, 1)
	require.Equal(t, int64(300_000), changes[0].Slack, "the whole transit time counts")
	require.Zero(t, x.Counts().Undated)
	changes, _ = x.ReceiveWithin(2e6, 0, "b", Msg{Incarnation: 1, SentAt: 5900, Facts: []wireFact{wireFactFrom("b", Down, 1)}})
	require.Greater(t, changes[0].Slack, int64(1.9e6), "timestamps also count the time before the message reached the link")
}
