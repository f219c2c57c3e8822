package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	fullLogMB  = "most_mb = 0.197" // the least bound of the fleet's log
	fullWithin = 4 * time.Second   // of a message
	fullFlood  = 600               // hand-ins, of which such a log holds less than half
	fullLeast  = 20                // messages that it holds at least
)

// orderingFull is a fleet whose logs are as small as can be, with channel x whose window is larger than they hold.
func orderingFull(t *testing.T) *Rig {
	r := New(t, Setup{Senders: 3, Destinations: []int64{acme}, Operator: func(s *Sender) string {
		channels := strings.Replace(channelsTOML, "most_mb = 0.25", fullLogMB, 1)
		return "version = 1\n" + strings.Replace(s.LinksTOML("fleet"), "[[fleet.peer]]", channels+"[[fleet.peer]]", 1)
	}})
	r.Start()
	order := `{"order":"contract","channel":"x","tenant":"acme","dst":7,"mode":"whole","gap":"wait","wait":"1s","window":1024,"version":1}`
	r.take(0, Message{ID: "contract", Lane: "once", Dst: orders, Body: order})
	return r
}

// flood hands in one position after the other, whether or not it is taken on, and counts those that were.
func (s *stream) flood(times int) (taken int) {
	for range times {
		answer := s.c.HandIn(Message{ID: fmt.Sprintf("%s%d", strings.Repeat("i", 40), s.next), Lane: "once", Dst: acme, OrderKey: strings.Repeat("k", 60),
			Channel: "x", Pos: s.next, Within: fullWithin})
		if strings.HasPrefix(answer, "+OK") {
			taken++
		}
		s.goOn(answer)
	}
	return taken
}

// serves has the channel deliver so many hand-ins in a row. After a pushback the client goes on where the next answer tells it to: an owner
// that a busy machine cuts off from the others gives up its lease, and pushes back what it holds.
func (s *stream) serves(times int) {
	s.r.t.Helper()
	for deadline := time.Now().Add(long); ; {
		require.True(s.r.t, time.Now().Before(deadline), "position %d is not delivered", s.next)
		ids := s.handAll(times)
		s.r.Until("all of them end", func(rec Record) bool {
			return !slices.ContainsFunc(ids, func(id string) bool { return !rec.Ended(id) })
		})
		rec := s.r.Record()
		undelivered := slices.IndexFunc(ids, func(id string) bool { return len(ends(rec, id)) > 0 })
		if undelivered < 0 {
			return
		}
		require.Equal(s.r.t, []string{"returned"}, ends(rec, ids[undelivered]), rec.Story(ids[undelivered]))
	}
}

// handAll has so many positions taken on, and gives their ids.
func (s *stream) handAll(times int) (ids []string) {
	s.r.t.Helper()
	for deadline := time.Now().Add(long); len(ids) < times; {
		require.True(s.r.t, time.Now().Before(deadline), "position %d is not taken on", s.next)
		id := fmt.Sprintf("x%d-%d", s.next, len(s.r.Record().HandIns))
		if s.offer(Message{ID: id, Lane: "once", Dst: acme, Channel: "x", Pos: s.next, Within: handInsWithin}) {
			ids = append(ids, id)
		}
	}
	return ids
}

// messages leaves out of a record what was handed in as an order, which has no end.
func messages(rec Record) Record {
	rec.HandIns = slices.DeleteFunc(slices.Clone(rec.HandIns), func(h HandIn) bool { return h.Dst == orders })
	return rec
}

// Guards against messages without an end: those that wait for their turn filled the fleet's log, its refusal stopped channels at that sender
// until a restart, and what it had taken on was told to nobody.
func TestChannelMessagesEndWhileTheLogIsFull(t *testing.T) {
	t.Parallel()
	for name, meanwhile := range map[string]func(a *Sender){
		"running":    func(*Sender) {},
		"killed":     func(a *Sender) { a.Kill(); a.Start() },
		"terminated": func(a *Sender) { a.Term(); a.Start() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := orderingFull(t)
			s := r.stream()
			s.hand(1)
			r.Conduct(acme, Conduct{Silent: true})
			taken := s.flood(fullFlood)
			require.Less(t, taken, fullFlood, "all found room: the log is not full")
			require.Greater(t, taken, fullLeast)
			meanwhile(r.Sender("a"))
			r.Until("all messages of the channel end", func(rec Record) bool { return len(messages(rec).Owed()) == 0 })
			r.Conduct(acme, Conduct{})
			s.elsewhere(0)
			s.serves(3)
			rec := messages(r.Record())
			for _, judge := range []Judge{OneEnd(Lanes), Repeats(Lanes), Order(ByChannel)} {
				assert.Empty(t, judge(rec))
			}
			assert.NotContains(t, r.Sender("a").Log(), "channels pause here")
		})
	}
}
