package fleettest

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	shortSenders  = 8     // senders of each fleet
	shortMessages = 800   // messages of each sender
	shortRate     = 400.0 // messages per second of each sender
)

// TestScaleInShort compares the cost of an idle fleet with that of a fleet with messages to destinations without a limit. A third fleet has
// a deliberate fault that must exceed the bounds: every destination has a limit, so that every message causes peer messages.
func TestScaleInShort(t *testing.T) {
	t.Parallel()
	var rest, thin, faulty Cost
	t.Run("fleets", func(t *testing.T) {
		for _, c := range []struct {
			name string
			cost *Cost
			opts StubOptions
		}{{"at rest", &rest, StubOptions{Silent: true}}, {"thin", &thin, StubOptions{}}, {"each limited", &faulty, StubOptions{EachLimited: true, Destination: 4000}}} {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				*c.cost = measureCost(t, c.opts)
			})
		}
	})
	require.NotZero(t, faulty.Messages, "not all fleets ran")
	require.Empty(t, exceededCosts(rest, thin))
	faults := strings.Join(exceededCosts(rest, faulty), "\n")
	require.Regexp(t, `bytes: [\d.]+ per message`, faults)
	require.Regexp(t, `peer messages: [\d.]+ on shares per message`, faults)
	t.Logf("unlimited: %.1f bytes per message more than idle; faulty: %s", (thin.Bytes-rest.Bytes*thin.PeerMessages["members"]/rest.PeerMessages["members"])/thin.Messages, faults)
}

// measureCost runs a fleet from start through its messages to its end and sums its traffic.
func measureCost(t *testing.T, opts StubOptions) Cost {
	from := time.Now()
	f := NewStubFleet(t, shortSenders, 0, opts, 1, nil, nil)
	f.WaitAllAlive()
	for _, h := range f.Local {
		h.Driver.remaining.Store(shortMessages)
	}
	f.Load(Load{Thin: shortRate})
	f.WaitUntil("all messages handed in", func(h *StubSender) bool { return h.Driver.remaining.Load() == 0 })
	if opts.EachLimited {
		f.WaitUntil("some calls allowed", func(h *StubSender) bool { return h.Driver.Allowed.Load() > 0 })
	}
	passed := f.meter.sample()
	f.stopLocal()
	c := Cost{Senders: shortSenders, Seconds: time.Since(from).Seconds(), Bytes: float64(passed.in + passed.out), PeerMessages: map[string]float64{}}
	for _, h := range f.Local {
		c.Messages += shortMessages
		for name, n := range h.Records.lastCounts() {
			if kind, is := strings.CutPrefix(name, "letters_sent_"); is {
				c.PeerMessages[kind] += n
			}
		}
	}
	return c
}
