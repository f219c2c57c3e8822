package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"ravenlink/internal/protocol"
	"ravenlink/internal/relay"
	"ravenlink/internal/routing"
	"ravenlink/internal/transport"
)

// Calls carries legs and probes as calls over HTTP/1.1.
type Calls struct {
	pool      *transport.Pool
	clock     relay.Clock
	router    *routing.Router
	probeLoad bool // probes ask for a report

	Foreign atomic.Int64 // answers that came for a call and were not its own
}

// NewCalls makes a carrier over a pool of connections.
func NewCalls(pool *transport.Pool, clock relay.Clock, router *routing.Router, probeLoad bool) *Calls {
	return &Calls{pool: pool, clock: clock, router: router, probeLoad: probeLoad}
}

// Carry is one leg.
func (c *Calls) Carry(ctx context.Context, l relay.Leg) relay.Journey {
	var answer protocol.Answer
	var use relay.ConnectionUse
	stage := c.pool.Do(ctx, l.To.ID, l.To.Addr, l.Patience, transport.Exchange{
		Ready: l.Ready,
		Still: l.Still,
		Write: func(w *bufio.Writer, closing bool) error {
			wait := max(1, (l.Until-c.clock.Now())/microsInMilli)
			return protocol.WriteCall(w, l.To.Addr, l.Msg.ID, l.Msg.Key, wait, l.Msg.Body, closing)
		},
		Read:   c.into(&answer, l.To),
		Begins: func(connection uint64, number int) { use = relay.ConnectionUse{Connection: connection, Number: number} },
	})
	res, wait := result(stage, answer)
	return relay.Journey{Result: res, Wait: wait, Load: load(answer.Load), Stage: uint8(stage), Status: answer.Status, Use: use}
}

// Probe asks a receiver how it is. The module has one out for a receiver at most.
func (c *Calls) Probe(ctx context.Context, to routing.Receiver, patience time.Duration) {
	var a protocol.Answer
	stage := c.pool.Do(ctx, to.ID, to.Addr, patience, transport.Exchange{
		Ready: func() bool { return c.router.Reachable(to) },
		Still: func() bool { return c.router.Reachable(to) }, // a further connection may have been opened since
		Write: func(w *bufio.Writer, closing bool) error {
			return protocol.WriteProbe(w, to.Addr, c.probeLoad, closing)
		},
		Read: c.into(&a, to),
	})
	res, _ := result(stage, a)
	c.router.Probed(to, res, load(probed(a)))
}

// probed is the report in the answer to a probe, which is its body.
func probed(a protocol.Answer) []byte {
	if len(a.Load) > 0 {
		return a.Load
	}
	return a.Body
}

// into reads an exchange's answer with a receiver. A wait binds from when it is told, whichever call it answers.
func (c *Calls) into(a *protocol.Answer, from routing.Receiver) func(*bufio.Reader, transport.Reading) (bool, error) {
	return into(a, func(micros int64) { c.router.WaitTold(from, micros) }, &c.Foreign)
}

// into reads an exchange's answer, and counts answers in front of it that were not its own.
func into(a *protocol.Answer, waited func(micros int64), foreign *atomic.Int64) func(*bufio.Reader, transport.Reading) (bool, error) {
	return func(r *bufio.Reader, in transport.Reading) (keep bool, err error) {
		if !in.Closing {
			*a, err = protocol.ReadAnswer(r, in.Told)
			return !a.EndsConnection(), err
		}
		var passed int
		*a, passed, err = protocol.ReadClosingAnswer(r, protocol.Hearing{Told: in.Told, Whole: in.Whole, Waited: waited})
		foreign.Add(int64(passed))
		a.Close = false // it was asked for, and says nothing of the receiver
		if errors.Is(err, protocol.ErrNotOwn) {
			err = fmt.Errorf("%w: %w", transport.ErrNotOwn, err)
		}
		return false, err
	}
}

// result reads an outcome off how far the exchange came and what was answered.
func result(stage transport.Stage, a protocol.Answer) (res routing.Result, wait int64) {
	switch stage {
	case transport.NotReady, transport.NoRoom:
		return routing.NotSent, 0
	case transport.NotConnected, transport.NotWritten:
		return routing.NotConnected, 0
	case transport.Unasked:
		return unasked(a)
	}
	if a.Status == 200 { // the first line is enough
		return routing.Delivered, 0
	}
	switch stage {
	case transport.TimedOut:
		return routing.TimedOut, 0
	case transport.CalledOff:
		return routing.CalledOff, 0
	case transport.Broken:
		return routing.Reset, 0
	}
	return answered(a)
}

// unasked is the outcome of a call that was not written, as its connection had brought an answer already: only a refusal can be meant.
func unasked(a protocol.Answer) (res routing.Result, wait int64) {
	if a.Status == 429 || a.Status == 503 {
		return answered(a)
	}
	return routing.NotConnected, 0
}

func answered(a protocol.Answer) (res routing.Result, wait int64) {
	switch a.Status {
	case 500:
		return routing.Errored, 0
	case 429:
		return routing.TurnedAway, a.WaitMicros
	case 503:
		switch {
		case a.NoSlot:
			return routing.NotSent, 0
		case a.Close: // danger: taken for a limit, a lack of connections has every sender keep idle ones, which are the lack
			return routing.NotConnected, 0
		}
		return routing.TurnedAway, 0
	case 504:
		return routing.NotSent, 0
	case 410:
		return routing.GoneThere, 0
	}
	return routing.Reset, 0 // nonsense: it may have run
}

func load(report []byte) (l routing.Load) {
	l.ShareLeft, l.Limit, l.Told = protocol.ParseLoad(report)
	return l
}
