// Package platform implements the platform's protocol: hand-ins from clients, calls to receivers, notices,
// discovery.
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

const microsPerMilli = 1000

// Frontend accepts messages from clients over RESP2.
type Frontend struct {
	log    *zap.Logger
	engine *relay.Engine

	// Channels accepts hand-ins that name a channel; nil if channels are disabled. It is set before the first
	// client connects.
	Channels relay.Channels

	// Orders accepts customers' orders; nil if none are accepted. It is set before the first client connects.
	Orders *Orders

	BusyReplies, ErrorReplies atomic.Int64 // hand-ins answered with -BUSY and with -ERR
}

// NewFrontend creates a frontend for an engine.
func NewFrontend(log *zap.Logger, engine *relay.Engine) *Frontend {
	return &Frontend{log: log, engine: engine}
}

// Serve handles one client's commands until its connection ends.
func (f *Frontend) Serve(c *transport.Client) {
	var used usedChannels
	defer used.notifyClosed(f.Channels)
	for c.AwaitCommand() {
		args, err := protocol.ReadCommand(c.R)
		if protocol.IsMalformed(err) {
			f.ErrorReplies.Add(1)
			_ = protocol.WriteError(c.W, err.Error())
			c.ReplyAndClose()
			return
		}
		if err != nil {
			if c.CountTimeout(err) {
				f.BusyReplies.Add(1)
				_ = protocol.WriteBusy(c.W, 0)
				c.ReplyAndClose()
			}
			return
		}
		if !f.handleCommand(c, args, &used) {
			return
		}
	}
}

// handleCommand executes one command and reports whether the connection stays open.
func (f *Frontend) handleCommand(c *transport.Client, args [][]byte, used *usedChannels) bool {
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
		f.ErrorReplies.Add(1)
		_ = protocol.WriteError(c.W, "unknown command")
	}
	return c.SendReply() == nil
}

// enqueue accepts one message: first the module decides, which may reject or fail it at once, then the record
// is written, then the reply sent, then the first leg started.
func (f *Frontend) enqueue(c *transport.Client, args [][]byte, used *usedChannels) bool {
	m, class, err := f.parseHandIn(args)
	if err == nil && m.Channel != "" && f.Channels == nil {
		err = errChannelsOff
	}
	if err != nil {
		f.ErrorReplies.Add(1)
		_ = protocol.WriteError(c.W, err.Error())
		return c.SendReply() == nil
	}
	c.MarkServed()
	if f.Orders != nil && m.Dst == f.Orders.Dst {
		return f.submitOrder(c, m)
	}
	if m.Channel != "" {
		used.add(m.Channel)
		return f.enqueueChannel(c, m, class)
	}
	disposition, retryAfter := f.engine.Accept(m, class)
	f.log.Debug("handed in", zap.String("id", m.ID), zap.Int64("dst", m.Dst), zap.Uint8("way", uint8(disposition)))
	f.reply(c, disposition, retryAfter)
	err = c.SendReply()
	if disposition == routing.Held {
		if err != nil { // its client has received no reply and will hand the message in again under another id
			f.engine.Withdraw(m.ID)
		}
		f.engine.Deliver(m)
	}
	return err == nil
}

func (f *Frontend) parseHandIn(args [][]byte) (*spool.Message, int, error) {
	h, err := protocol.ParseHandIn(args)
	if err != nil {
		return nil, 0, err
	}
	class, known := f.engine.Class(h.Class)
	if !known {
		return nil, 0, errors.New("unknown lane")
	}
	return &spool.Message{ID: h.ID, Class: h.Class, Key: h.Key, OrderKey: h.OrderKey, Dst: h.Dst, Body: h.Body, Channel: h.Channel, Pos: h.Pos,
		Expires: f.engine.Now() + h.RemainingMillis*microsPerMilli}, class, nil
}

func (f *Frontend) reply(c *transport.Client, disposition routing.Disposition, retryAfter int64) {
	switch disposition {
	case routing.Held:
		_ = protocol.WriteOK(c.W)
	case routing.Duplicate:
		f.ErrorReplies.Add(1)
		_ = protocol.WriteError(c.W, "this id is taken on already")
	case routing.Failed:
		f.ErrorReplies.Add(1)
		_ = protocol.WriteError(c.W, "failed")
	default:
		f.BusyReplies.Add(1)
		_ = protocol.WriteBusy(c.W, ceilMillis(retryAfter))
	}
}

// ceilMillis rounds up to whole milliseconds: a client that returns early would be rejected again.
func ceilMillis(micros int64) int64 { return (micros + microsPerMilli - 1) / microsPerMilli }
