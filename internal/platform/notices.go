package platform

import (
	"bufio"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/protocol"
	"ravenlink/internal/relay"
	"ravenlink/internal/transport"
)

// A message is lost 300 ms after its time is up, and the module ends it 10 ms before. So two posts in a row may hang, and the third
// is in time; one that is answered anything else is made again as soon as the platform can be better.
const (
	noticePatience = 80 * time.Millisecond  // for the platform to answer, which it does at once; doubled by each post that hung, up to
	patienceMost   = time.Second            // this: else one that is slow would be asked for ever
	mostInPost     = 200                    // notices in one post; halved by each 400, doubled by each 204
	retryFirst     = 30 * time.Millisecond  // from a post without 204 to the next, doubled up to
	retryMost      = 100 * time.Millisecond // this; each by a draw from half to all
	platform       = "platform"
)

// Notices tells the platform which messages ended undelivered, each until it has said that it knows.
type Notices struct {
	log   *zap.Logger
	over  func([]relay.Undelivered) // they are told
	pool  *transport.Pool
	do    func(ctx context.Context, receiver, addr string, patience time.Duration, x transport.Exchange) transport.Stage // the pool's
	agent *Agent
	most  int // notices in the next post; Run's alone

	Foreign atomic.Int64 // answers that came for a post and were not its own

	mu      sync.Mutex
	waiting []relay.Undelivered // bounded by the spool's room
	more    chan struct{}
}

// NewNotices makes the teller; over hears of those that the platform knows.
func NewNotices(log *zap.Logger, agent *Agent, up time.Duration, over func([]relay.Undelivered)) *Notices {
	pool := transport.NewPool(up, time.Second, 1)
	return &Notices{log: log, over: over, pool: pool, do: pool.Do, agent: agent, most: mostInPost, more: make(chan struct{}, 1)}
}

// Undelivered is for the engine.
func (n *Notices) Undelivered(one relay.Undelivered) {
	n.mu.Lock()
	n.waiting = append(n.waiting, one)
	n.mu.Unlock()
	select {
	case n.more <- struct{}{}:
	default:
	}
}

// Owed counts those that the platform does not know yet.
func (n *Notices) Owed() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.waiting)
}

// Run posts what waits until ctx ends.
func (n *Notices) Run(ctx context.Context) {
	pause, patience := retryFirst, noticePatience
	for {
		if n.Owed() == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.more:
				continue
			}
		}
		begun, posted := time.Now(), false
		moved := n.agent.during(ctx, func(here context.Context, addr string) { posted = n.post(here, addr, patience) })
		if posted || moved && ctx.Err() == nil { // a post cut short by a move goes to the new address at once
			pause, patience = retryFirst, noticePatience
			continue
		}
		took := time.Since(begun)
		if took >= patience {
			patience = min(2*patience, patienceMost)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause/2) - took): // at once after one that hung
		}
		pause = min(2*pause, retryMost)
	}
}

// post sends the oldest notices on one post, and tells whether the next may follow at once. With 204 they are over, and so is a single
// one with 400 that no repeat would mend. Danger: of several that get 400 one cannot be read, and the others' ends would never be told.
func (n *Notices) post(ctx context.Context, addr string, patience time.Duration) bool {
	n.mu.Lock()
	batch := n.waiting[:min(len(n.waiting), n.most)]
	n.mu.Unlock()
	var lines []byte
	for _, one := range batch {
		lines = appendNotice(lines, one)
	}
	var a protocol.Answer
	stage := n.do(ctx, platform, addr, patience, transport.Exchange{
		Ready: func() bool { return true },
		Write: func(w *bufio.Writer, closing bool) error { return protocol.WriteNotices(w, addr, lines, closing) },
		Read:  into(&a, func(int64) {}, &n.Foreign),
	})
	switch {
	case stage == transport.Done && a.Status == 204:
		n.most = min(2*n.most, mostInPost)
	case stage == transport.Done && a.Status == 400 && len(batch) > 1:
		n.most = len(batch) / 2
		return true
	case stage == transport.Done && a.Status == 400:
		n.log.Error("the platform cannot read a notice", zap.ByteString("lines", lines))
	default:
		n.log.Warn("notices not taken", zap.Uint8("stage", uint8(stage)), zap.Int("status", a.Status), zap.Int("count", len(batch)))
		return false
	}
	n.settle(batch)
	return true
}

// appendNotice adds the line of one end. What was sent again of the kept messages is told as failed however it ended: returned would have
// somebody hand it in again who never had it, beside the sender.
func appendNotice(lines []byte, one relay.Undelivered) []byte {
	if one.NoClient {
		return protocol.AppendNotice(lines, one.Msg.ID, false, 0)
	}
	return protocol.AppendNotice(lines, one.Msg.ID, one.PushedBack, millisUp(one.Advice))
}

func (n *Notices) settle(batch []relay.Undelivered) {
	n.over(batch)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.waiting = n.waiting[len(batch):]; len(n.waiting) == 0 {
		n.waiting = nil
	}
}

// Close closes its connections.
func (n *Notices) Close() { n.pool.Close() }
