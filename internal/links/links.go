// Package links transports frames between the senders of one fleet: CBOR over HTTP POST, with one address for each
// directed link. It guarantees neither order nor exactly-once delivery. It does guarantee that Send never blocks, that
// a slow, stalled or unreachable peer does not affect the others, that every queue is bounded, and that no frame is
// received long after Send.
package links

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Version is the version of the frame format. Unknown fields are ignored, so newer versions are accepted too.
const Version = 1

// Limits. Together they ensure that a frame is received within maxQueueAge+maxTransit of Send or not at all.
const (
	maxQueueFrames   = 2048                    // queued for one peer: some fifty slots of each kind for each of forty tenants
	maxQueueBytes    = 512 << 10               // the same in bytes
	maxFrameBytes    = 64 << 10                // one frame's body; a full state exchange is split into parts of this size
	maxSlotBytes     = 256                     // of a slot name
	maxBatchFrames   = 256                     // in one post
	maxBatchBytes    = 96 << 10                // in one post; one frame of the maximum size fits
	maxPostBytes     = 160 << 10               // accepted in one post: a batch and its envelope
	batchDelay       = 2 * time.Millisecond    // collects the frames of one tick into one post
	postTimeout      = 1500 * time.Millisecond // one post, from dialing to the last byte of the answer
	maxQueueAge      = 2 * time.Second         // of a frame in the queue: three ticks later little of it is still true
	maxTransit       = 2 * time.Second         // in transit, by the receiver's own clock (see post.Stamp)
	minBackoff       = 50 * time.Millisecond   // after the first failure; doubled after each further one
	maxBackoff       = 2 * time.Second
	shutdownTimeout  = 600 * time.Millisecond // for the post in flight and the queued frames when the links close: a drain has 0.9 s left then
	shutdownAttempts = 3                      // the shutdown timeout is split into this many parts: one for the post in flight, the others for the queue
	driftDivisor     = 1000                   // two clocks differ in rate by less than 1/driftDivisor
	maxPostsPerSec   = 500                    // posts per second from one peer; batchDelay allows no more
	postBurst        = 1000
	connsPerPeer     = 4 // accepted connections for each peer
	extraConns       = 16
	maxLoggedFaults  = 1024 // logged faults, by peer and cause
)

// Links holds the links of one sender to its peers.
type Links struct {
	log             *zap.Logger
	hello           Hello
	boot            uint64 // random for each process: distinguishes stamps of an earlier process
	start           time.Time
	peers           map[string]*peer
	listener        net.Listener
	receive         func(from Hello, f Frame)
	server          server
	counters        counters
	shutdownTimeout time.Duration // tests raise it, as they cannot rely on so short a timeout

	mu     sync.Mutex // no other mutex is locked and nothing is called while it is held
	logged map[string]bool
}

// New binds the listen address; nothing is sent or received before Run. receive is called from the connections'
// goroutines and blocks that peer while it runs. A frame's body is shared by all queues: it must not be modified after
// Send.
func New(log *zap.Logger, hello Hello, peers []Peer, listen string, receive func(from Hello, f Frame)) (*Links, error) {
	hello.Version = Version
	l := &Links{log: log, hello: hello, boot: rand.Uint64(), start: time.Now(), peers: map[string]*peer{}, receive: receive,
		logged: map[string]bool{}, shutdownTimeout: shutdownTimeout}
	for _, p := range peers {
		if p.Name == hello.Name || p.Name == "" || l.peers[p.Name] != nil {
			return nil, fmt.Errorf("links: peer %q is this sender, listed twice, or without a name", p.Name)
		}
		l.peers[p.Name] = newPeer(l, p)
	}
	var err error
	if l.listener, err = net.Listen("tcp", listen); err != nil {
		return nil, fmt.Errorf("links: %w", err)
	}
	l.server.setup(l)
	return l, nil
}

// Addr returns the address on which this sender listens.
func (l *Links) Addr() string { return l.listener.Addr().String() }

// Send queues a frame for one peer, or for all if to is empty. It never blocks.
func (l *Links) Send(to string, f Frame) {
	if !f.withinLimits() {
		l.counters.reject(Oversized)
		l.logFault(to, Oversized, "frame too large, not sent")
		return
	}
	at := l.now()
	if to != "" {
		if p := l.peers[to]; p != nil {
			p.enqueue(f, at)
		}
		return
	}
	for _, p := range l.peers {
		p.enqueue(f, at)
	}
}

// Run sends and receives until the context ends, then makes one short attempt to send what is queued. When it returns,
// all goroutines have ended.
func (l *Links) Run(ctx context.Context) error {
	var g errgroup.Group
	serve, stop := context.WithCancel(ctx)
	defer stop()
	var sending sync.WaitGroup
	for _, p := range l.peers {
		sending.Go(func() { p.run(serve) })
	}
	g.Go(func() error {
		defer stop()
		return l.server.run(l.listener, &sending, serve)
	})
	sending.Wait()
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("links: %w", err)
	}
	return nil
}

// now returns µs of the process's monotonic clock.
func (l *Links) now() int64 { return time.Since(l.start).Microseconds() }

// logFault logs a fault of a peer once per cause.
func (l *Links) logFault(peer string, c Cause, what string) {
	key := peer + "\x00" + string(c)
	l.mu.Lock()
	skip := l.logged[key] || len(l.logged) >= maxLoggedFaults
	if !skip {
		l.logged[key] = true
	}
	l.mu.Unlock()
	if !skip {
		l.log.Warn("link refused", zap.String("peer", peer), zap.String("cause", string(c)), zap.String("what", what))
	}
}

// Cause is the reason for a rejection.
type Cause string

// The causes of rejections. Their texts appear in logs and responses.
const (
	OtherFleet   Cause = "other fleet"
	OldVersion   Cause = "version"
	Unlisted     Cause = "unlisted" // no such peer is configured, or the name is this sender's own
	WrongPeer    Cause = "misled"   // another sender answers at the peer's address
	Oversized    Cause = "oversized"
	Malformed    Cause = "torn"
	UnknownKind  Cause = "unknown kind"
	Late         Cause = "late" // in transit for too long, or delivered again later
	RateExceeded Cause = "flood"
)

var causes = [...]Cause{OtherFleet, OldVersion, Unlisted, WrongPeer, Oversized, Malformed, UnknownKind, Late, RateExceeded}

// Counts holds totals since the start.
type Counts struct {
	Sent, Received    uint64 // frames acknowledged by a peer; frames passed to receive
	Posts, Failed     uint64 // posts acknowledged; posts without a valid answer
	Replaced          uint64 // frames replaced by a newer one of the same slot
	Dropped, Stale    uint64 // frames dropped because the queue was full, or because they were queued for too long
	BytesOut, BytesIn uint64 // request bodies sent and received; HTTP headers add some 150 bytes per post and answer
	Refused           map[Cause]uint64
}

type counters struct {
	sent, received, posts, failed, replaced, dropped, stale, bytesOut, bytesIn atomic.Uint64
	rejected                                                                   [len(causes)]atomic.Uint64
}

func (t *counters) reject(c Cause) {
	for i, known := range causes {
		if known == c {
			t.rejected[i].Add(1)
		}
	}
}

// Counts returns the totals.
func (l *Links) Counts() Counts {
	t := &l.counters
	c := Counts{Sent: t.sent.Load(), Received: t.received.Load(), Posts: t.posts.Load(), Failed: t.failed.Load(), Replaced: t.replaced.Load(),
		Dropped: t.dropped.Load(), Stale: t.stale.Load(), BytesOut: t.bytesOut.Load(), BytesIn: t.bytesIn.Load(), Refused: map[Cause]uint64{}}
	for i, cause := range causes {
		if n := t.rejected[i].Load(); n > 0 {
			c.Refused[cause] = n
		}
	}
	return c
}
