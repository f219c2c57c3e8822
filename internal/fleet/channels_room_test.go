package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/channels"
	"ravenlink/internal/fleetlog"
)

// As many channels as the operator's file has, where it does not say how many, can all be had at one sender that is an elector of each, and
// leave room for messages.
func TestTheUsualLogHoldsTheUsualChannels(t *testing.T) {
	table := Table{Name: "yard", Self: "sender-a", Listen: "127.0.0.1:0", Channels: &Channels{}}
	table.Fill()
	log, _, err := fleetlog.Open(t.TempDir(), table.Bytes())
	require.NoError(t, err)
	defer log.Close()
	c := table.Channels
	one := channels.New(table.Self, 1, []string{table.Self}, c.timing(table), channels.Room{Channels: c.Most, Held: c.Held})
	one.Limit(budget{log})
	write := func(e channels.Effects) { require.NoError(t, rows{log}.Write(e.Rows)) }
	taken := 0
	for i := range c.Most {
		name := fmt.Sprint("meter-", i)
		e, err := one.Declare(1, channels.Contract{Channel: name, Tenant: "north", Dst: 7, Mode: channels.Whole, Gap: channels.Wait, Wait: 1, Window: 64,
			PassFailed: true, MostHold: 10_000_000, Version: 1, From: 1})
		require.NoError(t, err)
		write(e)
		require.Empty(t, one.Count().Refused)
		for pos := int64(1); pos <= 64; pos++ {
			v, e := one.HandIn(2, channels.In{Channel: name, Pos: pos, ID: fmt.Sprint(name, "-", pos), Dst: 7, Until: 10_000_000})
			if v.Way == channels.Busy && pos > 1 {
				break
			}
			require.Equal(t, channels.Taken, v.Way, "channel %d, position %d", i, pos)
			write(e)
			taken++
			if pos > 2 { // all but two of each channel end
				write(one.Ended(3, name, pos, true, false))
			}
		}
	}
	require.Equal(t, 12, c.Most)
	require.GreaterOrEqual(t, taken, 3*c.Most)
}
