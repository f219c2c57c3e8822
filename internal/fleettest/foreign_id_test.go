package fleettest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const foreignBody = "of another client"

// handOwn hands in so many positions of the channel, each with a body of its own.
func (s *stream) handOwn(n int) {
	s.r.t.Helper()
	for range n {
		answer := s.c.HandIn(Message{ID: fmt.Sprint("x", s.next), Lane: "once", Dst: acme, Channel: "x", Pos: s.next, Within: handInsWithin,
			Body: fmt.Sprint("own ", s.next)})
		require.True(s.r.t, strings.HasPrefix(answer, "+OK"), answer)
		s.next++
	}
}

// Guards against a hand-in under the id of another client's message that waits for its turn: its receiver ran the foreign body under that id,
// the own one was never sent, and its client was told that nothing of it ran.
func TestAHandInUnderAnotherClientsIDTakesNoPlace(t *testing.T) {
	t.Parallel()
	const own = 4
	for name, c := range map[string]struct {
		meanwhile func(a *Sender)
		foreign   Message
	}{
		"plain":                 {func(*Sender) {}, Message{Lane: "once"}},
		"plain, after a kill":   {func(a *Sender) { a.Kill(); a.Start() }, Message{Lane: "once"}},
		"of a further position": {func(*Sender) {}, Message{Lane: "once", Channel: "x", Pos: own + 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := ordering(t, "wait")
			s := r.stream()
			s.hand(1)
			s.until(1)
			r.Conduct(acme, Conduct{Silent: true})
			s.handOwn(own - 1) // the second is out, the others wait for it
			c.meanwhile(r.Sender("a"))
			bad := c.foreign
			bad.ID, bad.Dst, bad.Within, bad.Body = fmt.Sprint("x", own), acme, 2*time.Second, foreignBody
			answer := r.Client(0).HandIn(bad)
			assert.False(t, strings.HasPrefix(answer, "+OK"), answer)
			r.Conduct(acme, Conduct{})
			s.until(own)
			for _, call := range r.Record().CallsOf(bad.ID) {
				assert.Contains(t, call.Text, fmt.Sprint("own ", own))
				assert.NotContains(t, call.Text, foreignBody)
			}
			s.judge()
			r.Until("all messages of the channel end", func(rec Record) bool { return len(messages(rec).Owed()) == 0 }) // a notice may come later
			rec := messages(r.Record())
			for _, judge := range []Judge{OneEnd(Lanes), Repeats(Lanes), Order(ByChannel)} {
				assert.Empty(t, judge(rec))
			}
		})
	}
}
