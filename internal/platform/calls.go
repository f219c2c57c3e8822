package platform

import (
	"bufio"
	"context"
	"time"

	"ravenlink/internal/protocol"
	"ravenlink/internal/relay"
	"ravenlink/internal/routing"
	"ravenlink/internal/transport"
)

// Caller sends legs and probes as HTTP/1.1 requests.
type Caller struct {
	pool      *transport.Pool
	clock     relay.Clock
	router    *routing.Router
	probeLoad bool // probes request a load report
}

// NewCaller creates a Caller that uses a pool of connections.
func NewCaller(pool *transport.Pool, clock relay.Clock, router *routing.Router, probeLoad bool) *Caller {
	return &Caller{pool: pool, clock: clock, router: router, probeLoad: probeLoad}
}

// Send runs one leg.
func (c *Caller) Send(ctx context.Context, l relay.Leg) relay.Outcome {
	var answer protocol.Response
	stage := c.pool.Do(ctx, l.Receiver.ID, l.Receiver.Addr, l.Timeout, transport.Exchange{
		Authorize: l.Authorize,
		Confirm:   l.Confirm,
		Write: func(w *bufio.Writer) error {
			wait := max(1, (l.Deadline-c.clock.Now())/microsPerMilli)
			return protocol.WriteCall(w, l.Receiver.Addr, l.Msg.ID, l.Msg.Key, wait, l.Msg.Body)
		},
		Read: readInto(&answer),
	})
	res, wait := resultOf(stage, answer)
	return relay.Outcome{Result: res, RetryAfter: wait, Load: parseLoad(answer.Load), Stage: uint8(stage), Status: answer.Status}
}

// Probe checks a receiver. The module has at most one probe of a receiver in progress.
func (c *Caller) Probe(ctx context.Context, to routing.Receiver, timeout time.Duration) {
	var a protocol.Response
	stage := c.pool.Do(ctx, to.ID, to.Addr, timeout, transport.Exchange{
		Authorize: func() bool { return c.router.Reachable(to) },
		Confirm:   func() bool { return c.router.Reachable(to) }, // another connection may have been opened in the meantime
		Write:     func(w *bufio.Writer) error { return protocol.WriteProbe(w, to.Addr, c.probeLoad) },
		Read:      readInto(&a),
	})
	res, _ := resultOf(stage, a)
	c.router.ReportProbe(to, res, parseLoad(probeReport(a)))
}

// probeReport returns the load report in the response to a probe, which may be its body.
func probeReport(a protocol.Response) []byte {
	if len(a.Load) > 0 {
		return a.Load
	}
	return a.Body
}

// readInto returns a function that reads the response of an exchange into a.
func readInto(a *protocol.Response) func(r *bufio.Reader, decided func()) (keep bool, err error) {
	return func(r *bufio.Reader, decided func()) (keep bool, err error) {
		*a, err = protocol.ReadResponse(r, decided)
		return !a.Close, err
	}
}

// resultOf derives the result from the stage that the exchange reached and the response.
func resultOf(stage transport.Stage, a protocol.Response) (res routing.Result, wait int64) {
	switch stage {
	case transport.NotStarted, transport.NoCapacity:
		return routing.NotSent, 0
	case transport.NotConnected, transport.NotWritten:
		return routing.NotConnected, 0
	}
	if a.Status == 200 { // the status line suffices
		return routing.Delivered, 0
	}
	switch stage {
	case transport.TimedOut:
		return routing.TimedOut, 0
	case transport.Cancelled:
		return routing.Cancelled, 0
	case transport.Broken:
		return routing.Reset, 0
	}
	return resultOfStatus(a)
}

func resultOfStatus(a protocol.Response) (res routing.Result, wait int64) {
	switch a.Status {
	case 500:
		return routing.Errored, 0
	case 429:
		return routing.Refused, a.RetryAfterMicros
	case 503:
		switch {
		case a.NoSlot:
			return routing.NotSent, 0
		case a.Close: // treated as a limit, a lack of connections would make every sender keep idle ones, which cause the lack
			return routing.NotConnected, 0
		}
		return routing.Refused, 0
	case 504:
		return routing.NotSent, 0
	case 410:
		return routing.Gone, 0
	}
	return routing.Reset, 0 // invalid response: the message may have been processed
}

func parseLoad(report []byte) (l routing.Load) {
	l.ShareLeft, l.Limit, l.Reported = protocol.ParseLoad(report)
	return l
}
