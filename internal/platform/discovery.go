package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/protocol"
	"ravenlink/internal/routing"
	"ravenlink/internal/transport"
)

const (
	silence    = 5 * time.Second        // without a line, after which a watch is opened anew; a beat comes every 2 s
	watchAgain = 500 * time.Millisecond // after a watch broke, by a draw from a tenth to all
)

// Discovery follows the list of receivers.
type Discovery struct {
	log       *zap.Logger
	router    *routing.Router
	agent     *Agent
	within    time.Duration
	onlyAsked bool          // the module says when to watch
	ask       chan struct{} // it said so
	revision  int64
}

// NewDiscovery makes a follower. With onlyAsked it watches only when Asked; a connection comes up within a time or not at all.
func NewDiscovery(log *zap.Logger, router *routing.Router, agent *Agent, within time.Duration, onlyAsked bool) *Discovery {
	return &Discovery{log: log, router: router, agent: agent, within: within, onlyAsked: onlyAsked, ask: make(chan struct{}, 1)}
}

// Known takes the list from before the start.
func (d *Discovery) Known(text []byte) error {
	l, err := protocol.ParseList(text)
	if err != nil {
		return fmt.Errorf("known list: %w", err)
	}
	d.revision = l.Revision
	d.router.List(listings(l), true, true)
	return nil
}

// Run keeps a watch open until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if d.onlyAsked {
			select {
			case <-ctx.Done():
				return
			case <-d.ask:
			}
		}
		var err error
		moved := d.agent.during(ctx, func(here context.Context, addr string) { err = d.watch(here, addr) })
		if ctx.Err() != nil {
			return
		}
		if moved { // the list is not lost: the new address goes on from the same revision, and nobody need ask
			d.Asked()
			continue
		}
		d.log.Warn("watch on the list broke", zap.Error(err), zap.Int64("revision", d.revision))
		if d.onlyAsked {
			d.router.ListLost()
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchAgain/10 + rand.N(watchAgain*9/10)):
		}
	}
}

// Asked says that the module wants a watch.
func (d *Discovery) Asked() {
	select {
	case d.ask <- struct{}{}:
	default:
	}
}

// watch follows the list at one address until that watch breaks.
func (d *Discovery) watch(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := transport.Dial(ctx, addr, d.within)
	if err != nil {
		return err
	}
	_ = c.SetDeadline(time.Now().Add(silence))
	if err := protocol.WriteWatch(c.W, addr, d.revision); err != nil {
		return err
	}
	if err := c.Flush(); err != nil {
		return err
	}
	w, err := protocol.NewWatch(c.R)
	if err != nil {
		return err
	}
	for {
		_ = c.SetDeadline(time.Now().Add(silence))
		l, beat, err := w.Next()
		if err != nil {
			return err
		}
		if beat {
			continue
		}
		d.log.Info("list", zap.Int64("revision", l.Revision), zap.Bool("whole", l.Whole), zap.Int("members", len(l.Members)))
		d.revision = l.Revision
		d.router.List(listings(l), l.Whole, false)
	}
}

func listings(l protocol.List) (ls []routing.Listing) {
	for _, m := range l.Members {
		ls = append(ls, routing.Listing{ID: m.ID, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Dst: m.Dst, Weight: m.Weight,
			Listed: m.Serving})
	}
	return ls
}
