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
	testTimeout  = 20 * time.Second // longer than any successful run takes
	pollInterval = time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a sender's links and the newest frame that it received of each slot.
type recorder struct {
	*Links
	mu     sync.Mutex
	frames map[string]string
	sender Hello
	ages   []int64
}

func (e *recorder) receive(from Hello, f Frame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sender, e.frames[f.Slot] = from, string(f.Body)
	e.ages = append(e.ages, f.Age)
}

func (e *recorder) has(slot, body string) func() bool {
	return func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.frames[slot] == body
	}
}

func open(t testing.TB, log *zap.Logger, name, listen string, peers ...Peer) *recorder {
	t.Helper()
	e := &recorder{frames: map[string]string{}}
	var err error
	e.Links, err = New(log, Hello{Fleet: "f", Name: name, Incarnation: 7, Folder: 9}, peers, listen, e.receive)
	require.NoError(t, err)
	e.start = e.start.Add(-time.Minute) // so that a stamp can be too old
	return e
}

func (e *recorder) run(t testing.TB) (stop func()) {
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

func verdictFrame(slot, body string) Frame {
	return Frame{Kind: Verdicts, Slot: slot, Body: []byte(body)}
}

func TestSendDeliversNewestFrameOfSlot(t *testing.T) {
	t.Parallel()
	b := open(t, zap.NewNop(), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	a := open(t, zap.NewNop(), "a", "127.0.0.1:0", Peer{"b", b.Addr()})
	a.Send("b", verdictFrame("d", "old"))
	a.Send("", verdictFrame("d", "new"))
	a.Send("nobody", verdictFrame("d", "lost"))
	a.shutdownTimeout = testTimeout
	b.run(t)
	stop := a.run(t)
	require.Eventually(t, b.has("d", "new"), testTimeout, pollInterval)
	a.Send("b", verdictFrame("e", "last words"))
	stop()
	require.Eventually(t, b.has("e", "last words"), testTimeout, pollInterval, "queued frames are sent when the links close")
	require.Equal(t, Hello{"f", "a", Version, 7, 9}, b.sender)
	require.Equal(t, uint64(1), a.Counts().Replaced)
	require.Equal(t, uint64(2), b.Counts().Received)
	for _, age := range b.ages {
		require.Less(t, age, (maxQueueAge + maxTransit).Microseconds())
	}
}

// listenSilently accepts connections and never answers; release closes the listener, and its port stays reserved.
func listenSilently(t *testing.T) (addr string, release func()) {
	port, err := loopback.Reserve("127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(port.Release)
	l, err := port.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), func() { require.NoError(t, l.Close()) }
}

func TestStalledPeerDoesNotDelayOthersAndGetsOnlyFreshFrames(t *testing.T) {
	t.Parallel()
	stalled, release := listenSilently(t)
	good := open(t, zap.NewNop(), "good", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	good.run(t)
	a := open(t, zap.NewNop(), "a", "127.0.0.1:0", Peer{"good", good.Addr()}, Peer{"stalled", stalled})
	a.run(t)
	a.Send("stalled", verdictFrame("first", "long ago"))
	for i := range 3 * maxQueueFrames {
		a.Send("stalled", verdictFrame(fmt.Sprint(i), "x"))
	}
	a.Send("good", verdictFrame("d", "1"))
	require.Eventually(t, good.has("d", "1"), postTimeout, pollInterval, "while the post to the stalled peer is in flight")
	require.Positive(t, a.Counts().Dropped)
	require.Eventually(t, func() bool { return a.Counts().Failed > 0 && a.Counts().Stale > 0 }, testTimeout, pollInterval)
	release()
	late := open(t, zap.NewNop(), "stalled", stalled, Peer{"a", "127.0.0.1:1"})
	late.run(t)
	require.Eventually(t, func() bool { a.Send("stalled", verdictFrame("d", "2")); return late.has("d", "2")() }, testTimeout, pollInterval)
	require.False(t, late.has("first", "long ago")(), "expired frames are not sent")
}

func TestRestartedPeerIsGreetedAgain(t *testing.T) {
	t.Parallel()
	b := open(t, zap.NewNop(), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	stop := b.run(t)
	a := open(t, zap.NewNop(), "a", "127.0.0.1:0", Peer{"b", b.Addr()})
	a.run(t)
	a.Send("b", verdictFrame("d", "1"))
	require.Eventually(t, b.has("d", "1"), testTimeout, pollInterval)
	stop()
	again := open(t, zap.NewNop(), "b", b.Addr(), Peer{"a", "127.0.0.1:1"})
	again.run(t)
	a.Send("b", verdictFrame("d", "2"))
	require.Eventually(t, again.has("d", "2"), testTimeout, pollInterval)
}

func TestBackoffEndsWhenPeerIsSeen(t *testing.T) {
	t.Parallel()
	p := newPeer(open(t, zap.NewNop(), "a", "127.0.0.1:0").Links, Peer{"b", "127.0.0.1:1"})
	done := make(chan bool)
	go func() { done <- p.backOff(context.Background(), time.Hour) }()
	require.Eventually(t, func() bool {
		p.markSeen()
		select {
		case up := <-done:
			return up
		default:
			return false
		}
	}, testTimeout, pollInterval)
	require.NoError(t, p.l.listener.Close())
}

// postBody posts a body and returns the status.
func postBody(t *testing.T, e *recorder, body []byte) int {
	t.Helper()
	one := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := one.Post("http://"+e.Addr(), "", bytes.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return res.StatusCode
}

func TestInvalidPostsAreRejectedCountedAndLoggedOnce(t *testing.T) {
	t.Parallel()
	core, logs := observer.New(zap.WarnLevel)
	b := open(t, zap.New(core), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	b.run(t)
	valid := func() post {
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
		"late":            {func(p *post) { p.Stamp -= maxTransit.Microseconds() + 1 }, 409, Late},
		"long held":       {func(p *post) { p.Stamp, p.Held = p.Stamp-5e6, 5e6 }, 200, ""},
		"other boot":      {func(p *post) { p.Boot++ }, 409, ""},
		"future":          {func(p *post) { p.Stamp += 1e9 }, 409, ""},
		"unknown kind":    {func(p *post) { p.Frames[0].Kind = 200 }, 200, UnknownKind},
		"oversized frame": {func(p *post) { p.Frames[0].Body = make([]byte, maxFrameBytes+1) }, 200, Oversized},
		"oversized":       {func(p *post) { p.Frames[0].Body = make([]byte, maxPostBytes) }, 413, Oversized},
		"too many":        {func(p *post) { p.Frames = make([]wireFrame, 5*maxBatchFrames) }, 400, Malformed},
		"negative":        {func(p *post) { p.Frames[0].Waited = -1 }, 400, Malformed},
	} {
		p := valid()
		c.change(&p)
		body, err := cbor.Marshal(p)
		require.NoError(t, err)
		before, received := b.Counts().Refused[c.cause], b.Counts().Received
		require.Equal(t, c.status, postBody(t, b, body), name)
		if c.cause != "" {
			require.Equal(t, before+1, b.Counts().Refused[c.cause], name)
		}
		require.Equal(t, c.status == 200 && c.cause == "", b.Counts().Received > received, name)
	}
	whole, err := cbor.Marshal(valid())
	require.NoError(t, err)
	for n := range len(whole) {
		require.Equal(t, 400, postBody(t, b, whole[:n]), "torn at %d", n)
	}
	newer, err := cbor.Marshal(map[int]any{1: "f", 2: "a", 3: 9, 77: "a later field"})
	require.NoError(t, err)
	require.Equal(t, 200, postBody(t, b, newer))
	lines := map[string]int{}
	for _, l := range logs.All() {
		lines[fmt.Sprint(l.ContextMap()["peer"], l.ContextMap()["cause"])]++
	}
	require.Len(t, lines, 8)
	for k, n := range lines {
		require.Equal(t, 1, n, k)
	}
}

func TestWrongPeerReceivesNoFrames(t *testing.T) {
	t.Parallel()
	b := open(t, zap.NewNop(), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	b.run(t)
	a := open(t, zap.NewNop(), "a", "127.0.0.1:0", Peer{"c", b.Addr()})
	a.run(t)
	a.Send("c", verdictFrame("d", "1"))
	require.Eventually(t, func() bool { return a.Counts().Refused[WrongPeer] > 0 }, testTimeout, pollInterval)
	require.Zero(t, b.Counts().Received)
	a.Send("c", Frame{Kind: Purge, Body: make([]byte, maxFrameBytes+1)})
	require.Equal(t, uint64(1), a.Counts().Refused[Oversized])
}

func TestConnectionsAndPostRatesAreLimited(t *testing.T) {
	t.Parallel()
	b := open(t, zap.NewNop(), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	b.server.rates["a"] = rate.NewLimiter(0, 1)
	b.run(t)
	body, err := cbor.Marshal(post{Fleet: "f", Name: "a", Version: 1})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, postBody(t, b, body))
	require.Equal(t, http.StatusTooManyRequests, postBody(t, b, body))
	before := b.Counts().Refused[RateExceeded]
	for range connsPerPeer + extraConns + 5 {
		c, err := net.Dial("tcp", b.Addr())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
	}
	require.Eventually(t, func() bool { return b.Counts().Refused[RateExceeded] >= before+5 }, testTimeout, pollInterval)
}

func TestQueueIsBoundedAndKeepsNewestOfEachSlot(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(&counters{})
		newest, out := map[string]int64{}, []queuedFrame(nil)
		for at := int64(0); at < 60; at++ {
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0:
				out = q.takeBatch(at)
				for _, f := range out {
					require.GreaterOrEqual(t, f.queuedAt, newest[f.Slot], "an older frame of a slot never follows a newer one")
					newest[f.Slot] = f.queuedAt
				}
			case 1:
				q.requeue(out)
				out = nil
			default:
				name := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "slot"))
				q.enqueue(Frame{Kind: Shares, Slot: name, Body: make([]byte, rapid.IntRange(0, maxFrameBytes).Draw(t, "size"))}, at)
			}
			bytes := 0
			for e := q.order.Front(); e != nil; e = e.Next() {
				bytes += e.Value.(queuedFrame).size()
			}
			require.Equal(t, bytes, q.bytes)
			require.LessOrEqual(t, bytes, maxQueueBytes)
			require.Equal(t, q.order.Len(), len(q.slots))
		}
		require.Empty(t, q.takeBatch(60+maxQueueAge.Microseconds()+60))
		require.Zero(t, q.bytes)
	})
}

func TestTableValidateReportsFaults(t *testing.T) {
	t.Parallel()
	bad := map[string]bool{}
	Table{Self: "a", Listen: "nowhere", Peers: []PeerTable{{"a", "h:1"}, {"b", "h:1"}, {"c", "h:0"}}}.Validate(func(s, _ string) { bad[s] = true })
	require.Equal(t, map[string]bool{"name": true, "listen": true, "peer.0.name": true, "peer.1.address": true, "peer.2.address": true}, bad)
	good := Table{Fleet: "f", Self: "a", Listen: "h:1", Peers: []PeerTable{{"b", "h:2"}}}
	good.Validate(func(s, what string) { t.Error(s, what) })
	require.Equal(t, []Peer{{"b", "h:2"}}, good.PeerList())
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
		if way, ok := p.transitTime(p.Boot, 1<<40); ok && way < 0 || len(p.Frames) > 4*maxBatchFrames {
			t.Fatal(way, len(p.Frames))
		}
		if _, err := cbor.Marshal(p); err != nil {
			t.Fatal(err)
		}
	})
}
