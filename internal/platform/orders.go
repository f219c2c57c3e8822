package platform

import (
	"errors"

	"go.uber.org/zap"

	"ravenlink/internal/protocol"
	"ravenlink/internal/spool"
	"ravenlink/internal/transport"
)

const orderRetryMillis = 1000 // retry-after in milliseconds for an order that could not be recorded

// Orders accepts customers' orders, which are handed in to a reserved destination.
type Orders struct {
	Dst     int64                   // the reserved destination
	Submit  func(body []byte) error // on success the order is on this sender's disk
	ErrBusy error                   // returned by Submit if the same order may be retried
}

// submitOrder handles a hand-in to the destination for orders. An order has an id of its own, so a repeated
// hand-in is the same order.
func (f *Frontend) submitOrder(c *transport.Client, m *spool.Message) bool {
	err := f.Orders.Submit(m.Body)
	f.log.Info("order handed in", zap.String("id", m.ID), zap.Error(err))
	switch {
	case err == nil:
		_ = protocol.WriteOK(c.W)
	case errors.Is(err, f.Orders.ErrBusy):
		f.BusyReplies.Add(1)
		_ = protocol.WriteBusy(c.W, orderRetryMillis)
	default:
		f.ErrorReplies.Add(1)
		_ = protocol.WriteError(c.W, err.Error())
	}
	return c.SendReply() == nil
}
