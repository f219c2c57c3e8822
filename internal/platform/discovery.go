package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/protocol"
	"ravenlink/internal/routing"
	"ravenlink/internal/transport"
)

// What a silent watch misses counts as told 6 s after it fell silent: within that it has to be seen, opened anew and answered,
// also when the first call to do so hangs: 3 s, twice 0.5 s and 1 s.
const (
	silence     = 3 * time.Second        // without an object or a beat, which comes every 2 s, after which a watch is opened anew
	pushedFirst = time.Second            // for the first answer where the agent holds the list; it answers at once
	askedFirst  = 5 * time.Second        // where a call goes through to discovery, which may be busy
	watchAgain  = 500 * time.Millisecond // after a watch broke, by a draw from a tenth to all
	askedAgain  = 2 * time.Second        // likewise, where all senders' calls for silent watches sum up at discovery
)

var errSilent = errors.New("the watch fell silent")

// Discovery follows the list of receivers.
type Discovery struct {
	log       *zap.Logger
	router    *routing.Router
	agent     *Agent
	within    time.Duration
	onlyAsked bool          // the module says when to watch
	ask       chan struct{} // it said so
	revision  int64

	dial      func(ctx context.Context, addr string, within time.Duration) (*transport.Conn, error)
	heard     chan struct{} // closed at the first answer
	heardOnce sync.Once
}

// NewDiscovery makes a follower. With onlyAsked it watches only when Asked; a connection comes up within a time or not at all.
func NewDiscovery(log *zap.Logger, router *routing.Router, agent *Agent, within time.Duration, onlyAsked bool) *Discovery {
	return &Discovery{log: log, router: router, agent: agent, within: within, onlyAsked: onlyAsked, ask: make(chan struct{}, 1),
		dial: transport.Dial, heard: make(chan struct{})}
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

// Heard waits for the first answer, or so long: what the agent holds counts as told from the first moment of a process. Where
// it has to be asked for nothing is told before.
func (d *Discovery) Heard(within time.Duration) {
	if d.onlyAsked {
		return
	}
	select {
	case <-d.heard:
	case <-time.After(within):
	}
}

// Run keeps a watch open until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	again := false // a watch that was up fell silent
	for ctx.Err() == nil {
		if d.onlyAsked && !again {
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
		again = errors.Is(err, errSilent)
		if moved { // the list is not lost: the new address goes on from the same revision, and nobody need ask
			d.Asked()
			continue
		}
		d.log.Warn("watch on the list broke", zap.Error(err), zap.Int64("revision", d.revision))
		if d.onlyAsked && !again {
			d.router.ListLost()
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(d.pause()):
		}
	}
}

// pause is drawn: all senders' watches may break at once.
func (d *Discovery) pause() time.Duration {
	most := watchAgain
	if d.onlyAsked {
		most = askedAgain
	}
	return most/10 + rand.N(most*9/10)
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
	first := time.Now().Add(pushedFirst)
	if d.onlyAsked {
		first = time.Now().Add(askedFirst)
	}
	c, err := d.dial(ctx, addr, min(d.within, time.Until(first)))
	if err != nil {
		return err
	}
	_ = c.SetDeadline(first)
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
	if err := d.next(w); err != nil {
		return err
	}
	d.heardOnce.Do(func() { close(d.heard) })
	for {
		_ = c.SetDeadline(time.Now().Add(silence))
		if err := d.next(w); errors.Is(err, os.ErrDeadlineExceeded) {
			return errSilent
		} else if err != nil {
			return err
		}
	}
}

// next takes in what the watch brings next.
func (d *Discovery) next(w *protocol.Watch) error {
	l, beat, err := w.Next()
	if err != nil || beat {
		return err
	}
	d.log.Info("list", zap.Int64("revision", l.Revision), zap.Bool("whole", l.Whole), zap.Int("members", len(l.Members)))
	d.revision = l.Revision
	d.router.List(listings(l), l.Whole, false)
	return nil
}

func listings(l protocol.List) (ls []routing.Listing) {
	for _, m := range l.Members {
		ls = append(ls, routing.Listing{ID: m.ID, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Dst: m.Dst, Weight: m.Weight,
			Listed: m.Serving})
	}
	return ls
}
