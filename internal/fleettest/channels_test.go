package fleettest

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const channelsTOML = "orders_dst = 1000\nmost_mb = 0.25\n[[fleet.tenant]]\nname = \"acme\"\ndst = [7]\n" +
	"[fleet.channels]\nlease = \"1200ms\"\nleg = \"3s\"\nlive = \"300ms\"\ndrain = \"300ms\"\n"

// How long a message of channel x may wait for its turn, and its deadline. Both are longer than any test: a message that waits longer is
// rejected and skipped, as the contract says.
const (
	longHold    = 10 * time.Minute
	longTimeout = 10 * time.Minute
)

// newChannelRig returns a rig with channel x to destination 7, under a contract with the given gap rule.
func newChannelRig(t *testing.T, gap string) *Rig { return newChannelRigWithHold(t, gap, longHold) }

// newChannelRigWithHold is newChannelRig with a limit on how long messages may wait for their turn.
func newChannelRigWithHold(t *testing.T, gap string, hold time.Duration) *Rig {
	r := New(t, Setup{Senders: 3, Destinations: []int64{acme}, OperatorFile: func(s *Sender) string {
		return "version = 1\n" + strings.Replace(s.LinksTOML("fleet"), "[[fleet.peer]]", channelsTOML+"[[fleet.peer]]", 1)
	}})
	r.Start()
	order := `{"order":"contract","channel":"x","tenant":"acme","dst":7,"mode":"whole","gap":"` + gap + `","wait":"1s","most_hold":"` + hold.String() + `","version":1}`
	r.mustHandIn(0, Message{ID: "contract", Class: "once", Dst: orders, Body: order})
	return r
}

// channelClient is a client of channel x. It continues at the position that answers name, and hands a position in under the same ID until
// it has an answer.
type channelClient struct {
	r    *Rig
	c    *Client
	next int64
}

func (r *Rig) channelClient() *channelClient { return &channelClient{r: r, c: r.Client(0), next: 1} }

// answeredPosition returns the position that an answer names, or -1.
func answeredPosition(answer string) int64 {
	_, pos, found := strings.Cut(answer, " pos=")
	if n, err := strconv.ParseInt(pos, 10, 64); found && err == nil {
		return n
	}
	return -1
}

// handIn hands messages in until n more were accepted.
func (s *channelClient) handIn(n int) {
	s.r.t.Helper()
	for deadline := time.Now().Add(waitLimit); n > 0; {
		require.True(s.r.t, time.Now().Before(deadline), "position %d was not accepted in time", s.next)
		answer := s.c.HandIn(Message{ID: fmt.Sprint("x", s.next), Class: "once", Dst: acme, Fields: fmt.Sprint("ch=x,pos=", s.next), Timeout: longTimeout})
		if strings.HasPrefix(answer, "+OK") {
			n--
		}
		if last := answeredPosition(answer); last >= 0 {
			s.next = last + 1
		}
		if strings.HasPrefix(answer, "-BUSY") {
			time.Sleep(50 * time.Millisecond) // as a client backs off
		}
	}
}

// handUpTo hands in until a position is accepted, with rejected positions handed in again.
func (s *channelClient) handUpTo(pos int64) {
	s.r.t.Helper()
	for s.next <= pos {
		s.handIn(1)
	}
}

// switchTo closes the client's connection and continues at another sender.
func (s *channelClient) switchTo(sender int) { s.c.Close(); s.c = s.r.Client(sender) }

// orderViolations lists positions that the receiver got out of order or twice.
func orderViolations(rec Record) (violations []string) {
	last := int64(0)
	for _, c := range rec.Calls {
		pos, err := strconv.ParseInt(strings.TrimPrefix(c.ID, "x"), 10, 64)
		if err != nil || !c.MayHaveRun() {
			continue
		}
		if pos <= last {
			violations = append(violations, fmt.Sprintf("position %d arrived after %d, from %s", pos, last, c.Sender))
		}
		last = pos
	}
	return violations
}

// undelivered lists the positions up to a given one that were not delivered.
func undelivered(rec Record, upTo int64) (missing []string) {
	delivered := map[string]bool{}
	for _, c := range rec.Calls {
		delivered[c.ID] = delivered[c.ID] || c.Status == 200
	}
	for pos := range upTo {
		if id := fmt.Sprint("x", pos+1); !delivered[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// noticedStates lists the states of a message's notices to the platform, without repetitions: a notice is sent again if its answer is lost.
func noticedStates(rec Record, id string) (states []string) {
	for _, n := range rec.Notices {
		if n.ID == id {
			states = append(states, n.State)
		}
	}
	return slices.Compact(states)
}

func (s *channelClient) checkOrder() {
	s.r.t.Helper()
	assert.Empty(s.r.t, orderViolations(s.r.Record()))
}

func (s *channelClient) untilDelivered(pos int64) {
	s.r.t.Helper()
	s.r.Until(fmt.Sprint("position ", pos, " is delivered"), func(rec Record) bool {
		return slices.ContainsFunc(rec.Calls, func(c Call) bool { return c.ID == fmt.Sprint("x", pos) && c.Status == 200 })
	})
}

// checkComplete checks that no position up to a given one was skipped.
func (s *channelClient) checkComplete(upTo int64) {
	s.r.t.Helper()
	rec := s.r.Record()
	for _, id := range undelivered(rec, upTo) {
		s.r.t.Errorf("not delivered: %s", rec.Timeline(id))
	}
}

// checkCompleteExceptBegun is checkComplete for a channel whose sender was killed: the one message that it was delivering may have run, and
// is then reported as failed.
func (s *channelClient) checkCompleteExceptBegun(upTo int64, killed string) {
	s.r.t.Helper()
	rec := s.r.Record()
	missing := undelivered(rec, upTo)
	begun := func(id string) bool {
		accepted := slices.ContainsFunc(rec.HandIns, func(h HandIn) bool { return h.ID == id && h.Sender == killed && h.Accepted() })
		return accepted && slices.Equal(noticedStates(rec, id), []string{"failed"})
	}
	for _, id := range missing {
		if len(missing) > 1 || !begun(id) {
			s.r.t.Errorf("not delivered: %s", rec.Timeline(id))
		}
	}
}

func TestChannelMovesAndDrains(t *testing.T) {
	t.Parallel()
	r := newChannelRig(t, "wait")
	s := r.channelClient()
	s.handIn(20)
	s.switchTo(1)
	s.handIn(20)
	r.Sender("b").Term()
	s.switchTo(2)
	s.handUpTo(60) // an owner that gives up a channel rejects messages that it has not begun to deliver; they are handed in again
	s.untilDelivered(60)
	s.checkOrder()
	s.checkComplete(60)
}

func TestChannelOwnerKilledAndBack(t *testing.T) {
	t.Parallel()
	r := newChannelRig(t, "wait")
	s := r.channelClient()
	s.handIn(15)
	r.Sender("a").Kill()
	s.switchTo(1)
	r.Sender("a").Start()
	s.handUpTo(30) // after its restart a rejects what it had not delivered; those messages are handed in again
	s.untilDelivered(30)
	s.checkOrder()
	s.checkCompleteExceptBegun(30, "a")
}

// Guards against messages that are lost without a notice, or delivered late, when the owner is down for longer than they may wait.
func TestChannelReportsMessagesThatWaitedTooLong(t *testing.T) {
	t.Parallel()
	r := newChannelRigWithHold(t, "wait", time.Second)
	s := r.channelClient()
	r.Conduct(acme, Conduct{Silent: true})
	s.handIn(15) // the first has an open leg, the others wait for it
	r.Sender("a").Kill()
	r.Conduct(acme, Conduct{})
	s.switchTo(1)
	r.Sender("a").Start()
	s.handUpTo(30)
	s.untilDelivered(30)
	s.checkOrder()
	r.Until("each undelivered message has a notice", func(rec Record) bool {
		return !slices.ContainsFunc(undelivered(rec, 30), func(id string) bool { return !rec.Ended(id) })
	})
	rec := r.Record()
	tooLate := undelivered(rec, 30)
	assert.Contains(t, tooLate, "x15")
	for _, id := range tooLate {
		end := "returned"
		if slices.ContainsFunc(rec.Calls, func(c Call) bool { return c.ID == id }) {
			end = "failed" // it may have run
		}
		assert.Equal(t, []string{end}, noticedStates(rec, id), id)
	}
}

func TestChannelOwnerGone(t *testing.T) {
	t.Parallel()
	r := newChannelRig(t, "skip")
	s := r.channelClient()
	s.handIn(15)
	r.Sender("a").Kill()
	s.switchTo(1)
	s.handIn(15)
	s.untilDelivered(s.next - 1)
	assert.Greater(t, s.next, int64(31), "positions that the owner may have accepted were not skipped")
	s.checkOrder()
}

func TestChannelOwnerStoppedAndCutOff(t *testing.T) {
	t.Parallel()
	r := newChannelRig(t, "skip")
	s := r.channelClient()
	s.handIn(10)
	r.Sender("a").Stop()
	s.switchTo(1)
	s.handIn(10)
	r.Sender("a").Cont()
	s.handIn(5)
	r.Cut([]string{"b"}, []string{"a", "c"})
	s.switchTo(2)
	s.handIn(10)
	r.Heal()
	s.switchTo(1)
	s.handIn(5)
	s.untilDelivered(s.next - 1)
	s.checkOrder()
}

// setAllLinks sets the same faults on every link.
func (r *Rig) setAllLinks(f Faults) {
	for _, from := range r.Senders() {
		for _, to := range r.Senders() {
			if from != to {
				r.Link(from.Name, to.Name).Set(f)
			}
		}
	}
}

// Guards against disorder under further faults of links and processes. After each one the channel continues at another sender.
func TestChannelSchedules(t *testing.T) {
	t.Parallel()
	for name, play := range map[string]func(r *Rig, s *channelClient){
		"slow-links": func(r *Rig, s *channelClient) {
			r.setAllLinks(Faults{Delay: 60 * time.Millisecond})
			s.handIn(10)
			s.switchTo(1)
			s.handIn(10)
		},
		"a-tenth-lost-doubled-and-late": func(r *Rig, s *channelClient) {
			r.setAllLinks(Faults{Loss: 0.1, Duplication: 0.2, Reordering: 0.2, ReplayDelay: 300 * time.Millisecond})
			s.handIn(10)
			s.switchTo(1)
			s.handIn(10)
			s.switchTo(2)
			s.handIn(10)
		},
		"no-link-works": func(r *Rig, s *channelClient) {
			s.handIn(10)
			r.setAllLinks(Faults{Cut: true})
			s.switchTo(1)
			time.AfterFunc(4*time.Second, r.Heal) // after every lease has ended
			s.handIn(10)
		},
		"links-half-open": func(r *Rig, s *channelClient) {
			s.handIn(5)
			r.setAllLinks(Faults{HalfOpen: true})
			time.AfterFunc(3*time.Second, r.Heal)
			s.handIn(10)
		},
		"owner-sends-but-does-not-receive": func(r *Rig, s *channelClient) {
			s.handIn(10)
			r.Link("b", "a").Set(Faults{Cut: true})
			r.Link("c", "a").Set(Faults{Cut: true})
			s.switchTo(1)
			s.handIn(10)
			r.Heal()
			s.switchTo(0)
			s.handIn(5)
		},
		"owner-killed-in-mid-burst-and-back-at-once": func(r *Rig, s *channelClient) {
			r.Conduct(acme, Conduct{Down: true})
			s.handIn(8)
			r.Sender("a").Kill()
			r.Sender("a").Start()
			r.Conduct(acme, Conduct{})
			s.handIn(8)
		},
		"a-voter-without-its-folder": func(r *Rig, s *channelClient) {
			s.handIn(5)
			r.Sender("c").Kill()
			r.Sender("c").WipeFolder()
			r.Sender("c").Start()
			s.switchTo(1)
			s.handIn(5)
			s.switchTo(2)
			s.handIn(5)
		},
		"one-sender-after-another-restarts": func(r *Rig, s *channelClient) {
			for i, name := range []string{"a", "b", "c"} {
				s.handIn(5)
				r.Sender(name).Term()
				r.Sender(name).Start()
				s.switchTo((i + 1) % 3)
			}
			s.handIn(5)
		},
		"a-client-that-comes-and-goes": func(r *Rig, s *channelClient) {
			for i := range 12 {
				s.switchTo(i % 3)
				s.handIn(1)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newChannelRig(t, "skip")
			s := r.channelClient()
			play(r, s)
			s.switchTo(2)
			s.handIn(3)
			s.untilDelivered(s.next - 1)
			s.checkOrder()
		})
	}
}

// The check must find a receiver that got positions out of order or twice.
func TestChannelChecksFindDisorderAndDuplicates(t *testing.T) {
	for name, ids := range map[string][]string{"disorder": {"x1", "x3", "x2"}, "doubled": {"x1", "x1"}} {
		rec := Record{}
		for _, id := range ids {
			rec.Calls = append(rec.Calls, Call{ID: id, Status: 200})
		}
		assert.NotEmpty(t, orderViolations(rec), name)
	}
}
