package links

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"ravenlink/internal/loopback"
)

const (
	long    = 20 * time.Second // a limit that no good run reaches
	glimpse = time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ear is a sender's links and what it heard, the newest of each slot.
type ear struct {
	*Links
	mu    sync.Mutex
	heard map[string]string
	from  Hello
	ages  []int64
}

func (e *ear) hear(from Hello, f Frame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.from, e.heard[f.Slot] = from, string(f.Body)
	e.ages = append(e.ages, f.Age)
}

func (e *ear) has(slot, body string) func() bool {
	return func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.heard[slot] == body
	}
}

func open(t testing.TB, log *zap.Logger, name, listen string, peers ...Peer) *ear {
	t.Helper()
	e := &ear{heard: map[string]string{}}
	var err error
	e.Links, err = New(log, Hello{Fleet: "f", Name: name, Incarnation: 7, Folder: 9}, peers, listen, e.hear)
	require.NoError(t, err)
	e.start = e.start.Add(-time.Minute) // so that there are stamps to be too old
	return e
}

func (e *ear) run(t testing.TB) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			require.NoError(t, <-done)
		})
	}
	t.Cleanup(stop)
	return stop
}

func note(slot, body string) Frame { return Frame{Kind: Verdicts, Slot: slot, Body: []byte(body)} }

func TestFramesReachPeersAndTheNewestOfASlotIsHeard(t *testing.T) {
	t.Parallel()
	b := open(t, zap.NewNop(), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	a := open(t, zap.NewNop(), "a", "127.0.0.1:0", Peer{"b", b.Addr()})
	a.Send("b", note("d", "old"))
	a.Send("", note("d", "new"))
	a.Send("nobody", note("d", "lost"))
	a.farewell = long
	b.run(t)
	stop := a.run(t)
	require.Eventually(t, b.has("d", "new"), long, glimpse)
	a.Send("b", note("e", "last words"))
	stop()
	require.Eventually(t, b.has("e", "last words"), long, glimpse, "what waits goes out when the links close")
	require.Equal(t, Hello{"f", "a", Version, 7, 9}, b.from)
	require.Equal(t, uint64(1), a.Counts().Replaced)
	require.Equal(t, uint64(2), b.Counts().Heard)
	for _, age := range b.ages {
		require.Less(t, age, (waitMost + lateAfter).Microseconds())
	}
}

// deaf accepts and never answers; release closes it, and its port is given to nobody else.
func deaf(t *testing.T) (addr string, release func()) {
	port, err := loopback.Reserve("127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(port.Release)
	l, err := port.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), func() { require.NoError(t, l.Close()) }
}

func TestAStalledPeerCostsTheOthersNothingAndIsHeardLaterWithFreshFramesAlone(t *testing.T) {
	t.Parallel()
	stalled, release := deaf(t)
	good := open(t, zap.NewNop(), "good", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	good.run(t)
	a := open(t, zap.NewNop(), "a", "127.0.0.1:0", Peer{"good", good.Addr()}, Peer{"stalled", stalled})
	a.run(t)
	a.Send("stalled", note("first", "long ago"))
	for i := range 3 * queueFrames {
		a.Send("stalled", note(fmt.Sprint(i), "x"))
	}
	a.Send("good", note("d", "1"))
	require.Eventually(t, good.has("d", "1"), postWithin, glimpse, "while the stalled peer's post is out")
	require.Positive(t, a.Counts().Dropped)
	require.Eventually(t, func() bool { return a.Counts().Failed > 0 && a.Counts().Stale > 0 }, long, glimpse)
	release()
	late := open(t, zap.NewNop(), "stalled", stalled, Peer{"a", "127.0.0.1:1"})
	late.run(t)
	require.Eventually(t, func() bool { a.Send("stalled", note("d", "2")); return late.has("d", "2")() }, long, glimpse)
	require.False(t, late.has("first", "long ago")(), "what waited too long is not told")
}

func TestAPeerThatBeganAnewIsGreetedAgain(t *testing.T) {
	t.Parallel()
	b := open(t, zap.NewNop(), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	stop := b.run(t)
	a := open(t, zap.NewNop(), "a", "127.0.0.1:0", Peer{"b", b.Addr()})
	a.run(t)
	a.Send("b", note("d", "1"))
	require.Eventually(t, b.has("d", "1"), long, glimpse)
	stop()
	again := open(t, zap.NewNop(), "b", b.Addr(), Peer{"a", "127.0.0.1:1"})
	again.run(t)
	a.Send("b", note("d", "2"))
	require.Eventually(t, again.has("d", "2"), long, glimpse)
}

func TestARestEndsWhenThePeerShowsUp(t *testing.T) {
	t.Parallel()
	p := newPeer(open(t, zap.NewNop(), "a", "127.0.0.1:0").Links, Peer{"b", "127.0.0.1:1"})
	done := make(chan bool)
	go func() { done <- p.rest(context.Background(), time.Hour) }()
	require.Eventually(t, func() bool {
		p.showed()
		select {
		case up := <-done:
			return up
		default:
			return false
		}
	}, long, glimpse)
	require.NoError(t, p.l.listener.Close())
}

// say posts a body and tells the status.
func say(t *testing.T, e *ear, body []byte) int {
	t.Helper()
	one := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := one.Post("http://"+e.Addr(), "", bytes.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return res.StatusCode
}

func TestWhatDoesNotFitIsRefusedCountedAndNamedOnce(t *testing.T) {
	t.Parallel()
	core, seen := observer.New(zap.WarnLevel)
	b := open(t, zap.New(core), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	b.run(t)
	fit := func() post {
		return post{Fleet: "f", Name: "a", Version: 1, Boot: b.boot, Stamp: b.now(), Frames: []wireFrame{{Verdicts, "d", []byte("x"), 5}}}
	}
	for name, c := range map[string]struct {
		change func(*post)
		status int
		cause  Cause
	}{
		"other fleet":     {func(p *post) { p.Fleet = "g" }, 403, OtherFleet},
		"no version":      {func(p *post) { p.Version = 0 }, 426, OldVersion},
		"stranger":        {func(p *post) { p.Name = "x" }, 403, Unlisted},
		"its own name":    {func(p *post) { p.Name = "b" }, 403, Unlisted},
		"late":            {func(p *post) { p.Stamp -= lateAfter.Microseconds() + 1 }, 409, Late},
		"long held":       {func(p *post) { p.Stamp, p.Held = p.Stamp-5e6, 5e6 }, 200, ""},
		"other boot":      {func(p *post) { p.Boot++ }, 409, ""},
		"future":          {func(p *post) { p.Stamp += 1e9 }, 409, ""},
		"unknown kind":    {func(p *post) { p.Frames[0].Kind = 200 }, 200, UnknownKind},
		"oversized frame": {func(p *post) { p.Frames[0].Body = make([]byte, frameBytes+1) }, 200, Oversized},
		"oversized":       {func(p *post) { p.Frames[0].Body = make([]byte, postBytes) }, 413, Oversized},
		"too many":        {func(p *post) { p.Frames = make([]wireFrame, 5*batchFrames) }, 400, Torn},
		"negative":        {func(p *post) { p.Frames[0].Waited = -1 }, 400, Torn},
	} {
		p := fit()
		c.change(&p)
		body, err := cbor.Marshal(p)
		require.NoError(t, err)
		before, heard := b.Counts().Refused[c.cause], b.Counts().Heard
		require.Equal(t, c.status, say(t, b, body), name)
		if c.cause != "" {
			require.Equal(t, before+1, b.Counts().Refused[c.cause], name)
		}
		require.Equal(t, c.status == 200 && c.cause == "", b.Counts().Heard > heard, name)
	}
	whole, err := cbor.Marshal(fit())
	require.NoError(t, err)
	for n := range len(whole) {
		require.Equal(t, 400, say(t, b, whole[:n]), "torn at %d", n)
	}
	newer, err := cbor.Marshal(map[int]any{1: "f", 2: "a", 3: 9, 77: "a later field"})
	require.NoError(t, err)
	require.Equal(t, 200, say(t, b, newer))
	lines := map[string]int{}
	for _, l := range seen.All() {
		lines[fmt.Sprint(l.ContextMap()["peer"], l.ContextMap()["cause"])]++
	}
	require.Len(t, lines, 8)
	for k, n := range lines {
		require.Equal(t, 1, n, k)
	}
}

func TestAnotherSenderAtAPeersAddressIsNotToldAnything(t *testing.T) {
	t.Parallel()
	b := open(t, zap.NewNop(), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	b.run(t)
	a := open(t, zap.NewNop(), "a", "127.0.0.1:0", Peer{"c", b.Addr()})
	a.run(t)
	a.Send("c", note("d", "1"))
	require.Eventually(t, func() bool { return a.Counts().Refused[Misled] > 0 }, long, glimpse)
	require.Zero(t, b.Counts().Heard)
	a.Send("c", Frame{Kind: Purge, Body: make([]byte, frameBytes+1)})
	require.Equal(t, uint64(1), a.Counts().Refused[Oversized])
}

func TestFloodsOfConnectionsAndPostsAreBounded(t *testing.T) {
	t.Parallel()
	b := open(t, zap.NewNop(), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	b.hearing.rates["a"] = rate.NewLimiter(0, 1)
	b.run(t)
	body, err := cbor.Marshal(post{Fleet: "f", Name: "a", Version: 1})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, say(t, b, body))
	require.Equal(t, http.StatusTooManyRequests, say(t, b, body))
	before := b.Counts().Refused[Flooding]
	for range connsEach + connsSpare + 5 {
		c, err := net.Dial("tcp", b.Addr())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
	}
	require.Eventually(t, func() bool { return b.Counts().Refused[Flooding] >= before+5 }, long, glimpse)
}

func TestQueueIsBoundedAndHoldsTheNewestOfEachSlot(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(&tally{})
		newest, out := map[string]int64{}, []waiting(nil)
		for at := int64(0); at < 60; at++ {
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0:
				out = q.take(at)
				for _, f := range out {
					require.GreaterOrEqual(t, f.at, newest[f.Slot], "an older one of a slot never follows a newer one")
					newest[f.Slot] = f.at
				}
			case 1:
				q.back(out)
				out = nil
			default:
				name := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "slot"))
				q.put(Frame{Kind: Shares, Slot: name, Body: make([]byte, rapid.IntRange(0, frameBytes).Draw(t, "size"))}, at)
			}
			bytes := 0
			for e := q.order.Front(); e != nil; e = e.Next() {
				bytes += e.Value.(waiting).size()
			}
			require.Equal(t, bytes, q.bytes)
			require.LessOrEqual(t, bytes, queueBytes)
			require.Equal(t, q.order.Len(), len(q.slots))
		}
		require.Empty(t, q.take(60+waitMost.Microseconds()+60))
		require.Zero(t, q.bytes)
	})
}

func TestTheTableNamesItsFaults(t *testing.T) {
	t.Parallel()
	bad := map[string]bool{}
	Table{Self: "a", Listen: "nowhere", Peers: []PeerTable{{"a", "h:1"}, {"b", "h:1"}, {"c", "h:0"}}}.Check(func(s, _ string) { bad[s] = true })
	require.Equal(t, map[string]bool{"name": true, "listen": true, "peer.0.name": true, "peer.1.address": true, "peer.2.address": true}, bad)
	good := Table{Fleet: "f", Self: "a", Listen: "h:1", Peers: []PeerTable{{"b", "h:2"}}}
	good.Check(func(s, what string) { t.Error(s, what) })
	require.Equal(t, []Peer{{"b", "h:2"}}, good.List())
}

func FuzzDecodePost(f *testing.F) {
	whole, _ := cbor.Marshal(post{Fleet: "f", Name: "a", Version: 1, Boot: 1, Stamp: 2, Held: 3, Frames: []wireFrame{{Verdicts, "d", []byte("x"), 4}}})
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{0xa1, 0x09, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := decodePost(body)
		if err != nil {
			return
		}
		if way, ok := p.onWay(p.Boot, 1<<40); ok && way < 0 || len(p.Frames) > 4*batchFrames {
			t.Fatal(way, len(p.Frames))
		}
		if _, err := cbor.Marshal(p); err != nil {
			t.Fatal(err)
		}
	})
}
