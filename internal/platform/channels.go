package platform

import (
	"errors"
	"slices"

	"go.uber.org/zap"

	"ravenlink/internal/protocol"
	"ravenlink/internal/relay"
	"ravenlink/internal/spool"
	"ravenlink/internal/transport"
)

const maxTrackedChannels = 16 // channels per connection that are notified when it closes; others rely on the time since their last use

var errChannelsOff = errors.New("channels are off here")

// enqueueChannel handles a hand-in of a channel. If the client receives no reply the message stays accepted:
// the client hands in the same position again.
func (f *Frontend) enqueueChannel(c *transport.Client, m *spool.Message, class int) bool {
	a := f.Channels.HandIn(m, class)
	f.log.Debug("handed in", zap.String("id", m.ID), zap.String("channel", m.Channel), zap.Int64("pos", m.Pos), zap.Int64("last", a.Pos))
	switch {
	case a.OK:
		_ = protocol.WriteChannelOK(c.W, a.Pos)
	case a.Cause != "":
		f.ErrorReplies.Add(1)
		_ = protocol.WriteChannelError(c.W, a.Cause, a.Pos)
	default:
		f.BusyReplies.Add(1)
		_ = protocol.WriteChannelBusy(c.W, ceilMillis(a.RetryAfter), a.Pos)
	}
	err := c.SendReply()
	if a.OnAnswered != nil {
		a.OnAnswered()
	}
	return err == nil
}

// usedChannels lists the channels that a connection has used.
type usedChannels []string

func (u *usedChannels) add(name string) {
	if len(*u) < maxTrackedChannels && !slices.Contains(*u, name) {
		*u = append(*u, name)
	}
}

func (u *usedChannels) notifyClosed(to relay.Channels) {
	for _, name := range *u {
		to.ConnectionClosed(name)
	}
}
