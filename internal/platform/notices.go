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

const (
	noticePatience = time.Second            // for the platform to answer, which it does at once
	mostInPost     = 200                    // notices in one post
	retryFirst     = 30 * time.Millisecond  // after a post without 204, doubled up to
	retryMost      = 500 * time.Millisecond // this; each by a draw from half to all
	platform       = "platform"
)

// Notices tells the platform which messages ended undelivered, each until it has said that it knows.
type Notices struct {
	log   *zap.Logger
	over  func([]relay.Undelivered) // they are told
	pool  *transport.Pool
	agent *Agent

	mu      sync.Mutex
	waiting []relay.Undelivered // bounded by the spool's room
	more    chan struct{}
}

// NewNotices makes the teller; over hears of those that the platform knows.
func NewNotices(log *zap.Logger, agent *Agent, up time.Duration, over func([]relay.Undelivered)) *Notices {
	return &Notices{log: log, over: over, pool: transport.NewPool(up, time.Second, 1), agent: agent, more: make(chan struct{}, 1)}
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
	pause := retryFirst
	for {
		if n.Owed() == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.more:
				continue
			}
		}
		posted := false
		moved := n.agent.during(ctx, func(here context.Context, addr string) { posted = n.post(here, addr) })
		if posted || moved && ctx.Err() == nil { // a post cut short by a move goes to the new address at once
			pause = retryFirst
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
		pause = min(2*pause, retryMost)
	}
}

// post sends the oldest notices on one post; with 204, or 400 that no repeat would mend, they are over.
func (n *Notices) post(ctx context.Context, addr string) bool {
	n.mu.Lock()
	batch := n.waiting[:min(len(n.waiting), mostInPost)]
	n.mu.Unlock()
	var lines []byte
	for _, one := range batch {
		lines = protocol.AppendNotice(lines, one.Msg.ID, one.PushedBack, millisUp(one.Advice))
	}
	var a protocol.Answer
	stage := n.pool.Do(ctx, platform, addr, noticePatience, transport.Exchange{
		Ready: func() bool { return true },
		Write: func(w *bufio.Writer) error { return protocol.WriteNotices(w, addr, lines) },
		Read:  into(&a),
	})
	switch {
	case stage == transport.Done && a.Status == 204:
	case stage == transport.Done && a.Status == 400:
		n.log.Error("the platform cannot read a notice", zap.ByteString("lines", lines))
	default:
		n.log.Warn("notices not taken", zap.Uint8("stage", uint8(stage)), zap.Int("status", a.Status), zap.Int("count", len(batch)))
		return false
	}
	n.settle(batch)
	return true
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
