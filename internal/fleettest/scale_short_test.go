package fleettest

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	shortly      = 8     // senders of the short form
	shortMessage = 800   // messages of each
	shortPace    = 400.0 // a second
)

// TestScaleInShort has a fleet at rest, one with messages to destinations without a limit, and one with the planted fault that every
// destination has a limit, so that each message takes letters of its own.
func TestScaleInShort(t *testing.T) {
	t.Parallel()
	var rest, thin, planted Cost
	t.Run("fleets", func(t *testing.T) {
		for _, c := range []struct {
			name string
			cost *Cost
			w    Wants
		}{{"at rest", &rest, Wants{Silent: true}}, {"thin", &thin, Wants{}}, {"each limited", &planted, Wants{EachLimited: true, Destination: 4000}}} {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				*c.cost = costOf(t, c.w)
			})
		}
	})
	require.NotZero(t, planted.Messages, "all fleets ran")
	require.Empty(t, costly(rest, thin))
	faults := strings.Join(costly(rest, planted), "\n")
	require.Regexp(t, `bytes: [\d.]+ a message`, faults)
	require.Regexp(t, `letters: [\d.]+ on shares a message`, faults)
	t.Logf("thin: %.1f bytes a message more than at rest; planted: %s", (thin.Bytes-rest.Bytes*thin.Letters["members"]/rest.Letters["members"])/thin.Messages, faults)
}

// costOf has a fleet meet, make its messages and leave, and adds up what it told.
func costOf(t *testing.T, w Wants) Cost {
	from := time.Now()
	f := NewHollowFleet(t, shortly, 0, w, 1, nil, nil)
	f.UntilMet()
	for _, h := range f.Own {
		h.Driver.left.Store(shortMessage)
	}
	f.Load(Load{Thin: shortPace})
	f.Until("all messages are made", func(h *Hollow) bool { return h.Driver.left.Load() == 0 })
	if w.EachLimited {
		f.Until("some calls are let go", func(h *Hollow) bool { return h.Driver.Let.Load() > 0 })
	}
	passed := f.meter.look()
	f.stopAll()
	c := Cost{Senders: shortly, Seconds: time.Since(from).Seconds(), Bytes: float64(passed.in + passed.out), Letters: map[string]float64{}}
	for _, h := range f.Own {
		c.Messages += shortMessage
		for name, n := range h.Lines.last() {
			if kind, is := strings.CutPrefix(name, "letters_sent_"); is {
				c.Letters[kind] += n
			}
		}
	}
	return c
}
