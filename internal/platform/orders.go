package platform

import (
	"errors"

	"go.uber.org/zap"

	"ravenlink/internal/protocol"
	"ravenlink/internal/spool"
	"ravenlink/internal/transport"
)

const orderAgain = 1000 // milliseconds after which an order that could not be written down may come again

// Orders is where orders of customers go, in the place of a receiver.
type Orders struct {
	Dst  int64                   // reserved for them
	Take func(body []byte) error // with no error the order is on this sender's disk
	Busy error                   // Take says so where the order may come again as it is
}

// order answers a hand-in to the destination of orders. The order has an id of its own, so one that is handed in again is the same.
func (f *Front) order(c *transport.Client, m *spool.Message) bool {
	err := f.Orders.Take(m.Body)
	f.log.Info("order handed in", zap.String("id", m.ID), zap.Error(err))
	switch {
	case err == nil:
		_ = protocol.WriteOK(c.W)
	case errors.Is(err, f.Orders.Busy):
		f.Busy.Add(1)
		_ = protocol.WriteBusy(c.W, orderAgain)
	default:
		f.Refused.Add(1)
		_ = protocol.WriteError(c.W, err.Error())
	}
	return c.Answer() == nil
}
