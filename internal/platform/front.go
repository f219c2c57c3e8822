// Package platform speaks the platform's protocol: clients' hand-ins, calls to receivers, notices, discovery.
package platform

import (
	"errors"
	"strings"
	"sync/atomic"

	"go.uber.org/zap"

	"ravenlink/internal/protocol"
	"ravenlink/internal/relay"
	"ravenlink/internal/routing"
	"ravenlink/internal/spool"
	"ravenlink/internal/transport"
)

const microsInMilli = 1000

// Front takes messages on from clients that speak RESP2.
type Front struct {
	log    *zap.Logger
	engine *relay.Engine

	// Channels takes in what names a channel; nil where channels are off. It is set before any client comes.
	Channels relay.Channels

	// Orders takes in orders of customers; nil where none are taken. It is set before any client comes.
	Orders *Orders

	Busy, Refused atomic.Int64 // hand-ins pushed back at once, and in error
}

// NewFront makes a front before an engine.
func NewFront(log *zap.Logger, engine *relay.Engine) *Front { return &Front{log: log, engine: engine} }

// Serve answers one client's commands until its connection ends.
func (f *Front) Serve(c *transport.Client) {
	var used channels
	defer used.leave(f.Channels)
	for c.Await() {
		args, err := protocol.ReadCommand(c.R, c.Grant)
		if protocol.IsMalformed(err) {
			f.Refused.Add(1)
			_ = protocol.WriteError(c.W, err.Error())
			c.Farewell()
			return
		}
		if err != nil {
			if c.Late(err) || errors.Is(err, transport.ErrNoRoom) {
				f.Busy.Add(1)
				_ = protocol.WriteBusy(c.W, 0)
				c.Farewell()
			}
			return
		}
		if !f.command(c, args, &used) {
			return
		}
	}
}

// command answers one command and tells whether the connection stays.
func (f *Front) command(c *transport.Client, args [][]byte, used *channels) bool {
	name := ""
	if len(args) > 0 {
		name = strings.ToUpper(string(args[0]))
	}
	switch name {
	case "PING":
		_ = protocol.WritePong(c.W)
	case "ENQUEUE":
		return f.enqueue(c, args, used)
	default:
		f.Refused.Add(1)
		_ = protocol.WriteError(c.W, "unknown command")
	}
	return c.Answer() == nil
}

// enqueue takes one message on: the module first, which may end it on the spot, then the record, then the
// answer, then the first leg.
func (f *Front) enqueue(c *transport.Client, args [][]byte, used *channels) bool {
	m, lane, err := f.parse(args)
	if err == nil && m.Channel != "" && f.Channels == nil {
		err = errChannelsOff
	}
	if err != nil {
		f.Refused.Add(1)
		_ = protocol.WriteError(c.W, err.Error())
		return c.Answer() == nil
	}
	if c.Gone() { // nobody is there to be answered: what is not taken on yet may come again
		return false
	}
	c.Served()
	if f.Orders != nil && m.Dst == f.Orders.Dst {
		return f.order(c, m)
	}
	if m.Channel != "" {
		used.note(m.Channel)
		return f.ordered(c, m, lane)
	}
	way, advice := f.engine.TakeFromClient(m, lane)
	f.log.Debug("handed in", zap.String("id", m.ID), zap.Int64("dst", m.Dst), zap.Uint8("way", uint8(way)))
	f.answer(c, way, advice)
	err = c.Answer()
	if way == routing.Held {
		if err != nil { // its client never heard: it hands the message in again
			f.engine.Withdraw(m.ID)
		} else {
			f.engine.Answered(m)
		}
		f.engine.Carry(m)
	}
	return err == nil
}

func (f *Front) parse(args [][]byte) (*spool.Message, int, error) {
	h, err := protocol.ParseHandIn(args)
	if err != nil {
		return nil, 0, err
	}
	lane, known := f.engine.Lane(h.Lane)
	if !known {
		return nil, 0, errors.New("unknown lane")
	}
	return &spool.Message{ID: h.ID, Lane: h.Lane, Key: h.Key, OrderKey: h.OrderKey, Dst: h.Dst, Body: h.Body, Channel: h.Channel, Pos: h.Pos,
		Expires: f.engine.Now() + h.LeftMillis*microsInMilli}, lane, nil
}

func (f *Front) answer(c *transport.Client, way routing.Way, advice int64) {
	switch way {
	case routing.Held, routing.Doubled:
		_ = protocol.WriteOK(c.W)
	case routing.Twice:
		f.Refused.Add(1)
		_ = protocol.WriteError(c.W, "this id is taken on already")
	case routing.Failed:
		f.Refused.Add(1)
		_ = protocol.WriteError(c.W, "failed")
	default:
		f.Busy.Add(1)
		_ = protocol.WriteBusy(c.W, millisUp(advice))
	}
}

// millisUp rounds to whole milliseconds, up: to come back early is to come in vain.
func millisUp(micros int64) int64 { return (micros + microsInMilli - 1) / microsInMilli }
