package fleettest

import (
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const waitsUnjoined = 8 // messages of the channel that wait while their sender is without its fleet

// obstruct keeps a sender that is down from having its fleet, until the way is freed.
var obstruct = map[string]func(t *testing.T, s *Sender) (free func()){
	"address taken": func(t *testing.T, s *Sender) func() {
		taken, err := net.Listen("tcp", s.Links)
		require.NoError(t, err)
		return func() { require.NoError(t, taken.Close()) }
	},
	"log locked": func(t *testing.T, s *Sender) func() {
		f, err := os.Open(filepath.Join(s.Folder(), "fleet.db"))
		require.NoError(t, err)
		require.NoError(t, syscall.Flock(int(f.Fd()), syscall.LOCK_EX))
		return func() { require.NoError(t, f.Close()) }
	},
	"log not readable": func(t *testing.T, s *Sender) func() {
		log := filepath.Join(s.Folder(), "fleet.db")
		require.NoError(t, os.Rename(log, s.Folder()+".fleet.db"))
		require.NoError(t, os.WriteFile(log, []byte(strings.Repeat("not a log of ours ", 1000)), 0o600))
		return func() { require.NoError(t, os.Rename(s.Folder()+".fleet.db", log)) }
	},
}

// Guards against messages of channels that go in no order, and channels that are refused for good until a restart, where a sender could not
// have its fleet as it started: its log or its address was not to be had.
func TestChannelMessagesEndWhereTheFleetCannotBeHad(t *testing.T) {
	t.Parallel()
	for name, obstruct := range obstruct {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := orderingFull(t)
			s := r.stream()
			s.hand(1)
			s.until(1)
			r.Conduct(acme, Conduct{Silent: true})
			require.Positive(t, s.flood(waitsUnjoined))
			a := r.Sender("a")
			a.Kill()
			free := obstruct(t, a)
			a.Start()
			calls := len(r.Record().Calls)
			s.elsewhere(0)
			answer := s.c.HandIn(Message{ID: "meanwhile", Lane: "once", Dst: acme, Channel: "x", Pos: s.next, Within: fullWithin})
			require.True(t, strings.HasPrefix(answer, "-BUSY"), answer)
			r.Until("all messages of the channel end", func(rec Record) bool { return len(messages(rec).Owed()) == 0 })
			assert.Len(t, r.Record().Calls, calls, "no call goes out without a lease")
			r.Conduct(acme, Conduct{})
			free()
			s.serves(3)
			rec := messages(r.Record())
			for _, judge := range []Judge{OneEnd(Lanes), Repeats(Lanes), Order(ByChannel)} {
				assert.Empty(t, judge(rec))
			}
		})
	}
}

// A sender whose fleet can be had soon after its start loses nothing of what waits: it goes on in order, without a restart.
func TestChannelMessagesGoOnWhereTheFleetIsHadSoon(t *testing.T) {
	t.Parallel()
	r := ordering(t, "wait")
	s := r.stream()
	s.hand(1)
	s.until(1)
	r.Conduct(acme, Conduct{Silent: true})
	s.hand(waitsUnjoined)
	a := r.Sender("a")
	a.Kill()
	free := obstruct["address taken"](t, a)
	r.Conduct(acme, Conduct{})
	a.Start()
	last := s.next - 1
	time.AfterFunc(time.Second, free)
	s.until(last)
	s.judge()
	r.Until("what was begun is told", func(rec Record) bool {
		return !slices.ContainsFunc(missing(rec, last), func(id string) bool { return !rec.Ended(id) })
	})
	s.completeButBegun(last, "a")
}
