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

const mostUsed = 16 // channels of one connection that are told when it ends; further ones go by the time since their last use

var errChannelsOff = errors.New("channels are off here")

// ordered answers a hand-in of a channel. One whose client never hears stays taken on: it hands the position in again.
func (f *Front) ordered(c *transport.Client, m *spool.Message, lane int) bool {
	a := f.Channels.HandIn(m, lane)
	f.log.Debug("handed in", zap.String("id", m.ID), zap.String("channel", m.Channel), zap.Int64("pos", m.Pos), zap.Int64("last", a.Pos))
	switch {
	case a.OK:
		_ = protocol.WriteOKAt(c.W, a.Pos)
	case a.Cause != "":
		f.Refused.Add(1)
		_ = protocol.WriteErrorAt(c.W, a.Cause, a.Pos)
	default:
		f.Busy.Add(1)
		_ = protocol.WriteBusyAt(c.W, millisUp(a.Wait), a.Pos)
	}
	err := c.Answer()
	if a.Then != nil {
		a.Then()
	}
	return err == nil
}

// channels are those that a connection has used.
type channels []string

func (u *channels) note(name string) {
	if len(*u) < mostUsed && !slices.Contains(*u, name) {
		*u = append(*u, name)
	}
}

func (u *channels) leave(to relay.Channels) {
	for _, name := range *u {
		to.Gone(name)
	}
}
