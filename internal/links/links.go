// Package links carries frames between the senders of one fleet: posts of CBOR over net/http, one address for each directed
// link. It promises neither order nor exactly once; what it does promise is that Send never waits, that a peer which is slow,
// stalled or gone costs the others nothing, that every queue is bounded, and that no frame is heard long after it was handed in.
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

// Version of the frames' form. Fields that a version does not know are ignored, so a newer one is heard as well.
const Version = 1

// Bounds. Together they say that a frame is heard within waitMost+lateAfter of Send or not at all.
const (
	queueFrames = 2048                    // waiting for one peer: some fifty slots of each kind for each of forty tenants
	queueBytes  = 512 << 10               // the same in bytes
	frameBytes  = 64 << 10                // one frame's body: a full exchange is told in parts of this size
	slotBytes   = 256                     // a slot's name
	batchFrames = 256                     // in one post
	batchBytes  = 96 << 10                // in one post; one frame of the greatest size fits
	postBytes   = 160 << 10               // heard in one post: a batch and what carries it
	linger      = 2 * time.Millisecond    // frames of one tick go out together
	postWithin  = 1500 * time.Millisecond // one post, from the dialling to the answer's last byte
	waitMost    = 2 * time.Second         // a frame in the queue: three ticks later it says little that is still true
	lateAfter   = 2 * time.Second         // on the way, by the hearer's own clock (see stamp)
	restLeast   = 50 * time.Millisecond   // after the first failure; doubled by each further one
	restMost    = 2 * time.Second
	farewell    = 600 * time.Millisecond // for the post that is out and for what waits, when the links are closed: a drain has 0.9 s left then
	lastTries   = 3                      // parts of the farewell: one for the post that is out, the others for what waits
	drift       = 1000                   // two clocks differ by less than one part in this
	flood       = 500                    // posts a second that one peer may send: linger allows no more
	floodBurst  = 1000
	connsEach   = 4 // connections heard on, for each peer
	connsSpare  = 16
	namesMost   = 1024 // lines in the log, by peer and cause
)

// Links are one sender's links to its peers.
type Links struct {
	log      *zap.Logger
	hello    Hello
	boot     uint64 // drawn anew by each process: stamps of an earlier one are told apart
	start    time.Time
	peers    map[string]*peer
	listener net.Listener
	heard    func(from Hello, f Frame)
	hearing  hearing
	tally    tally
	farewell time.Duration // shorter than any test may be sure of

	mu    sync.Mutex // a leaf: nothing is called with it held
	named map[string]bool
}

// New binds the address to be heard at; nothing is sent or heard before Run. heard is called from connections' goroutines; while
// it runs that one peer waits. A frame's body is shared by all queues: it must not change after Send.
func New(log *zap.Logger, hello Hello, peers []Peer, listen string, heard func(from Hello, f Frame)) (*Links, error) {
	hello.Version = Version
	l := &Links{log: log, hello: hello, boot: rand.Uint64(), start: time.Now(), peers: map[string]*peer{}, heard: heard,
		named: map[string]bool{}, farewell: farewell}
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
	l.hearing.fill(l)
	return l, nil
}

// Addr is where this sender is heard.
func (l *Links) Addr() string { return l.listener.Addr().String() }

// Send hands a frame to the queue of one peer, or of every one. It never waits.
func (l *Links) Send(to string, f Frame) {
	if !f.fits() {
		l.tally.refuse(Oversized)
		l.name(to, Oversized, "own frame not sent")
		return
	}
	at := l.now()
	if to != "" {
		if p := l.peers[to]; p != nil {
			p.put(f, at)
		}
		return
	}
	for _, p := range l.peers {
		p.put(f, at)
	}
}

// Run sends and hears until the context ends; then what waits has one short try, and all goroutines have ended.
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
		return l.hearing.run(l.listener, &sending, serve)
	})
	sending.Wait()
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("links: %w", err)
	}
	return nil
}

// now is in µs of this process' monotonic clock.
func (l *Links) now() int64 { return time.Since(l.start).Microseconds() }

// name tells the log of a peer's fault once.
func (l *Links) name(peer string, c Cause, what string) {
	key := peer + "\x00" + string(c)
	l.mu.Lock()
	known := l.named[key] || len(l.named) >= namesMost
	if !known {
		l.named[key] = true
	}
	l.mu.Unlock()
	if !known {
		l.log.Warn("link refused", zap.String("peer", peer), zap.String("cause", string(c)), zap.String("what", what))
	}
}

// Cause of a refusal.
type Cause string

// The causes.
const (
	OtherFleet  Cause = "other fleet"
	OldVersion  Cause = "version"
	Unlisted    Cause = "unlisted" // nobody by that name is listed here, or the name is this sender's own
	Misled      Cause = "misled"   // another sender answers at a peer's address
	Oversized   Cause = "oversized"
	Torn        Cause = "torn"
	UnknownKind Cause = "unknown kind"
	Late        Cause = "late" // too long on the way, or doubled later
	Flooding    Cause = "flood"
	Doubled     Cause = "doubled" // an answer that had come before
)

var causes = [...]Cause{OtherFleet, OldVersion, Unlisted, Misled, Oversized, Torn, UnknownKind, Late, Flooding, Doubled}

// Counts are totals since the start.
type Counts struct {
	Sent, Heard       uint64 // frames that a peer answered for; frames given to heard
	Posts, Failed     uint64 // posts answered for; posts without a good answer
	Replaced          uint64 // frames whose place a newer one took
	Dropped, Stale    uint64 // frames that went because the queue was full, or had waited too long
	BytesOut, BytesIn uint64 // bodies of posts sent and heard; heads are some 150 bytes a post and answer
	Refused           map[Cause]uint64
}

type tally struct {
	sent, heard, posts, failed, replaced, dropped, stale, bytesOut, bytesIn atomic.Uint64
	refused                                                                 [len(causes)]atomic.Uint64
}

func (t *tally) refuse(c Cause) {
	for i, known := range causes {
		if known == c {
			t.refused[i].Add(1)
		}
	}
}

// Counts reads the totals.
func (l *Links) Counts() Counts {
	t := &l.tally
	c := Counts{Sent: t.sent.Load(), Heard: t.heard.Load(), Posts: t.posts.Load(), Failed: t.failed.Load(), Replaced: t.replaced.Load(),
		Dropped: t.dropped.Load(), Stale: t.stale.Load(), BytesOut: t.bytesOut.Load(), BytesIn: t.bytesIn.Load(), Refused: map[Cause]uint64{}}
	for i, cause := range causes {
		if n := t.refused[i].Load(); n > 0 {
			c.Refused[cause] = n
		}
	}
	return c
}
