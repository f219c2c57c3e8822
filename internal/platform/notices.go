package platform

import (
	"bufio"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/protocol"
	"ravenlink/internal/relay"
	"ravenlink/internal/transport"
)

// A message counts as lost 300 ms after its deadline, and the module ends it 10 ms before the deadline. So two
// consecutive posts may hang and the third is still in time; one that gets any other response than success is
// repeated as soon as the platform may have recovered.
const (
	minPostTimeout = 80 * time.Millisecond  // for the platform to respond, which it normally does at once; doubled by each post that hung, up to
	maxPostTimeout = time.Second            // this: with a fixed timeout a slow platform would be asked forever
	maxBatch       = 200                    // notices in one post; halved by each 400, doubled by each 204
	minRetryPause  = 30 * time.Millisecond  // from a post without 204 to the next, doubled up to
	maxRetryPause  = 100 * time.Millisecond // this; each jittered from half to all
	poolKey        = "platform"
)

// Notices tells the platform which messages ended undelivered. Each notice is repeated until the platform
// acknowledges it.
type Notices struct {
	log            *zap.Logger
	onAcknowledged func([]relay.Undelivered) // called with acknowledged notices
	pool           *transport.Pool
	exchange       func(ctx context.Context, receiver, addr string, timeout time.Duration, x transport.Exchange) transport.Stage // the pool's Do
	agent          *Agent
	batchLimit     int // notices in the next post; used by Run only

	mu    sync.Mutex
	queue []relay.Undelivered // bounded by the spool's capacity
	wake  chan struct{}
}

// NewNotices creates a notifier; onAcknowledged is called with the notices that the platform has acknowledged.
func NewNotices(log *zap.Logger, agent *Agent, connectTimeout time.Duration, onAcknowledged func([]relay.Undelivered)) *Notices {
	pool := transport.NewPool(connectTimeout, time.Second, 1)
	return &Notices{log: log, onAcknowledged: onAcknowledged, pool: pool, exchange: pool.Do, agent: agent, batchLimit: maxBatch, wake: make(chan struct{}, 1)}
}

// Undelivered queues a notice. The engine calls it.
func (n *Notices) Undelivered(notice relay.Undelivered) {
	n.mu.Lock()
	n.queue = append(n.queue, notice)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of notices that the platform has not acknowledged yet.
func (n *Notices) Pending() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.queue)
}

// Run posts queued notices until ctx ends.
func (n *Notices) Run(ctx context.Context) {
	pause, timeout := minRetryPause, minPostTimeout
	for {
		if n.Pending() == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.wake:
				continue
			}
		}
		started, posted := time.Now(), false
		moved := n.agent.runAt(ctx, func(callCtx context.Context, addr string) { posted = n.post(callCtx, addr, timeout) })
		if posted || moved && ctx.Err() == nil { // a post interrupted by a move is repeated at the new address at once
			pause, timeout = minRetryPause, minPostTimeout
			continue
		}
		took := time.Since(started)
		if took >= timeout {
			timeout = min(2*timeout, maxPostTimeout)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause/2) - took): // no pause after one that hung
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// post sends the oldest notices in one post and reports whether the next may follow at once. A 204
// acknowledges them all; a 400 for a single notice also ends it, since no repeat would succeed. If several get
// a 400, one of them cannot be parsed, so the batch is halved: otherwise the others would never be delivered.
func (n *Notices) post(ctx context.Context, addr string, timeout time.Duration) bool {
	n.mu.Lock()
	batch := n.queue[:min(len(n.queue), n.batchLimit)]
	n.mu.Unlock()
	var lines []byte
	for _, notice := range batch {
		lines = protocol.AppendNotice(lines, notice.Msg.ID, notice.Rejected, ceilMillis(notice.RetryAfter))
	}
	var a protocol.Response
	stage := n.exchange(ctx, poolKey, addr, timeout, transport.Exchange{
		Authorize: func() bool { return true },
		Write:     func(w *bufio.Writer) error { return protocol.WriteNotices(w, addr, lines) },
		Read:      readInto(&a),
	})
	switch {
	case stage == transport.Done && a.Status == 204:
		n.batchLimit = min(2*n.batchLimit, maxBatch)
	case stage == transport.Done && a.Status == 400 && len(batch) > 1:
		n.batchLimit = len(batch) / 2
		return true
	case stage == transport.Done && a.Status == 400:
		n.log.Error("the platform cannot read a notice", zap.ByteString("lines", lines))
	default:
		n.log.Warn("notices not taken", zap.Uint8("stage", uint8(stage)), zap.Int("status", a.Status), zap.Int("count", len(batch)))
		return false
	}
	n.acknowledge(batch)
	return true
}

func (n *Notices) acknowledge(batch []relay.Undelivered) {
	n.onAcknowledged(batch)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.queue = n.queue[len(batch):]; len(n.queue) == 0 {
		n.queue = nil
	}
}

// Close closes its connections.
func (n *Notices) Close() { n.pool.Close() }
