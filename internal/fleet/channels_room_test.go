package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/channels"
	"ravenlink/internal/fleetlog"
)

// As many channels as the operator's file has, where it does not say how many, can all be had at one sender that is an elector of each, and
// leave room for messages.
func TestTheUsualLogHoldsTheUsualChannels(t *testing.T) {
	one, write := usualChannels(t)
	taken := 0
	for i := range usualMost {
		name := declareMeter(t, one, write, i)
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
	require.GreaterOrEqual(t, taken, 3*usualMost)
}

const usualMost = 12 // channels, where the operator's file names no number

// usualChannels is the table of a sender alone in its fleet, with the usual bounds and the room of the usual log, and what writes its rows.
func usualChannels(t *testing.T) (*channels.Table, func(channels.Effects)) {
	t.Helper()
	table := Table{Name: "yard", Self: "sender-a", Listen: "127.0.0.1:0", Channels: &Channels{}}
	table.Fill()
	require.Equal(t, usualMost, table.Channels.Most)
	log, _, err := fleetlog.Open(t.TempDir(), table.Bytes())
	require.NoError(t, err)
	t.Cleanup(func() { log.Close() })
	c := table.Channels
	one := channels.New(table.Self, 1, []string{table.Self}, c.timing(table), channels.Room{Channels: c.Most, Held: c.Held})
	opened := func() *fleetlog.Log { return log }
	one.Limit(budget{opened})
	return one, func(e channels.Effects) {
		t.Helper()
		require.NoError(t, rows{opened}.Write(e.Rows))
	}
}

// declareMeter declares one of the usual channels, and gives its name.
func declareMeter(t *testing.T, one *channels.Table, write func(channels.Effects), i int) (name string) {
	t.Helper()
	name = fmt.Sprint("meter-", i)
	e, err := one.Declare(1, channels.Contract{Channel: name, Tenant: "north", Dst: 7, Mode: channels.Whole, Gap: channels.Wait, Wait: 1, Window: 64,
		PassFailed: true, MostHold: 10_000_000, Version: 1, From: 1})
	require.NoError(t, err)
	write(e)
	require.Empty(t, one.Count().Refused)
	return name
}

// The page says how many messages wait in the usual log beside the usual channels, at one sender, by how long their names are.
func TestTheUsualLogHoldsMessagesBesideTheUsualChannels(t *testing.T) {
	for kind, c := range map[string]struct {
		id, key int // bytes
		least   int // messages
	}{
		"short names":   {12, 0, 3 * usualMost},
		"longest names": {64, 64, usualMost},
	} {
		t.Run(kind, func(t *testing.T) {
			one, write := usualChannels(t)
			var names []string
			for i := range usualMost {
				names = append(names, declareMeter(t, one, write, i))
			}
			taken := 0
			for pos := int64(1); pos <= 64; pos++ {
				for i, name := range names {
					id := fmt.Sprintf("%0*d", c.id, pos*100+int64(i))
					v, e := one.HandIn(2, channels.In{Channel: name, Pos: pos, ID: id, Key: strings.Repeat("k", c.key), Dst: 7, Until: 10_000_000})
					write(e)
					if v.Way == channels.Taken {
						taken++
					}
				}
			}
			t.Log("messages that wait:", taken)
			require.GreaterOrEqual(t, taken, c.least)
		})
	}
}
