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

// Within these a message of channel x waits for its turn and has its end: no play may last as long, for what waits longer is pushed back
// and passed, as its contract has it.
const (
	holdWithin    = 10 * time.Minute
	handInsWithin = 10 * time.Minute
)

// ordering is a rig with channel x to destination 7, whose gap rule is named.
func ordering(t *testing.T, gap string) *Rig { return orderingHeld(t, gap, holdWithin) }

// orderingHeld is the same with a channel whose messages wait for their turn for so long.
func orderingHeld(t *testing.T, gap string, hold time.Duration) *Rig {
	r := New(t, Setup{Senders: 3, Destinations: []int64{acme}, Operator: func(s *Sender) string {
		return "version = 1\n" + strings.Replace(s.LinksTOML("fleet"), "[[fleet.peer]]", channelsTOML+"[[fleet.peer]]", 1)
	}})
	r.Start()
	order := `{"order":"contract","channel":"x","tenant":"acme","dst":7,"mode":"whole","gap":"` + gap + `","wait":"1s","most_hold":"` + hold.String() + `","version":1}`
	r.take(0, Message{ID: "contract", Lane: "once", Dst: orders, Body: order})
	return r
}

// stream is a client of channel x. It goes on where it is told, and hands a position in under one id until it has an answer.
type stream struct {
	r    *Rig
	c    *Client
	next int64
}

func (r *Rig) stream() *stream { return &stream{r: r, c: r.Client(0), next: 1} }

// position reads the position of an answer, -1 for none.
func position(answer string) int64 {
	_, pos, there := strings.Cut(answer, " pos=")
	if n, err := strconv.ParseInt(pos, 10, 64); there && err == nil {
		return n
	}
	return -1
}

// hand has so many more messages taken on.
func (s *stream) hand(n int) {
	s.r.t.Helper()
	for deadline := time.Now().Add(long); n > 0; {
		require.True(s.r.t, time.Now().Before(deadline), "position %d is not taken on", s.next)
		if s.offer(Message{ID: fmt.Sprint("x", s.next), Lane: "once", Dst: acme, Channel: "x", Pos: s.next, Within: handInsWithin}) {
			n--
		}
	}
}

// offer hands a message in, goes on where the answer tells it to, and says whether it was taken on.
func (s *stream) offer(m Message) (taken bool) {
	answer := s.c.HandIn(m)
	s.goOn(answer)
	if strings.HasPrefix(answer, "-BUSY") {
		time.Sleep(50 * time.Millisecond) // as a client waits that is told to come back
	}
	return strings.HasPrefix(answer, "+OK")
}

// goOn takes the next position from an answer that names the last one.
func (s *stream) goOn(answer string) {
	if last := position(answer); last >= 0 {
		s.next = last + 1
	}
}

// handUpTo hands in until a position is taken on, those again that were pushed back.
func (s *stream) handUpTo(pos int64) {
	s.r.t.Helper()
	for s.next <= pos {
		s.hand(1)
	}
}

// elsewhere has the client lose its connection and go on at another sender.
func (s *stream) elsewhere(sender int) { s.c.Leave(); s.c = s.r.Client(sender) }

// ascending judges what the receiver got: positions in order, none twice.
func ascending(rec Record) (faults []string) {
	last := int64(0)
	for _, c := range rec.Calls {
		pos, err := strconv.ParseInt(strings.TrimPrefix(c.ID, "x"), 10, 64)
		if err != nil || !c.Ran() {
			continue
		}
		if pos <= last {
			faults = append(faults, fmt.Sprintf("position %d came after %d, from %s", pos, last, c.Sender))
		}
		last = pos
	}
	return faults
}

// missing lists the positions up to one that were not delivered.
func missing(rec Record, upTo int64) (faults []string) {
	came := map[string]bool{}
	for _, c := range rec.Calls {
		came[c.ID] = came[c.ID] || c.Status == 200
	}
	for pos := range upTo {
		if id := fmt.Sprint("x", pos+1); !came[id] {
			faults = append(faults, id)
		}
	}
	return faults
}

// ends lists what the platform was told of a message, once for each row of the same words: a notice whose answer is lost is told again.
func ends(rec Record, id string) (states []string) {
	for _, n := range rec.Notices {
		if n.ID == id {
			states = append(states, n.State)
		}
	}
	return slices.Compact(states)
}

func (s *stream) judge() {
	s.r.t.Helper()
	assert.Empty(s.r.t, ascending(s.r.Record()))
}

// until waits until a position is delivered. Where it is told as pushed back, the client hands it in again: an owner pushes back what has
// waited too long, or what it holds as it gives its channel up.
func (s *stream) until(pos int64) {
	s.r.t.Helper()
	id := fmt.Sprint("x", pos)
	for deadline := time.Now().Add(long); ; {
		delivered := false
		s.r.Until(fmt.Sprint("position ", pos, " is delivered"), func(rec Record) bool {
			delivered = slices.ContainsFunc(rec.Calls, func(c Call) bool { return c.ID == id && c.Status == 200 })
			return delivered || isPushedBack(rec, id)
		})
		if delivered {
			return
		}
		require.True(s.r.t, time.Now().Before(deadline), "position %d is pushed back each time", pos)
		s.next = pos
		s.handUpTo(pos)
	}
}

// isPushedBack tells whether a message was told as pushed back since it was taken on last.
func isPushedBack(rec Record, id string) bool {
	told := time.Duration(-1)
	for _, n := range rec.Notices {
		if n.ID == id && n.State == "returned" {
			told = n.At
		}
	}
	return told >= 0 && !slices.ContainsFunc(rec.HandIns, func(h HandIn) bool { return h.ID == id && h.Taken() && h.Answered >= told })
}

// complete judges that nothing was skipped up to a position.
func (s *stream) complete(upTo int64) {
	s.r.t.Helper()
	rec := s.r.Record()
	for _, id := range missing(rec, upTo) {
		s.r.t.Errorf("not delivered: %s", rec.Story(id))
	}
}

// completeButBegun judges the same where a sender was killed: the one message that it had begun may have run, and is told as failed.
func (s *stream) completeButBegun(upTo int64, killed string) {
	s.r.t.Helper()
	rec := s.r.Record()
	absent := missing(rec, upTo)
	begun := func(id string) bool {
		taken := slices.ContainsFunc(rec.HandIns, func(h HandIn) bool { return h.ID == id && h.Sender == killed && h.Taken() })
		return taken && slices.Equal(ends(rec, id), []string{"failed"})
	}
	for _, id := range absent {
		if len(absent) > 1 || !begun(id) {
			s.r.t.Errorf("not delivered: %s", rec.Story(id))
		}
	}
}

func TestChannelMovesAndDrains(t *testing.T) {
	t.Parallel()
	r := ordering(t, "wait")
	s := r.stream()
	s.hand(20)
	s.elsewhere(1)
	s.hand(20)
	r.Sender("b").Term()
	s.elsewhere(2)
	s.handUpTo(60) // an owner that gives a channel up pushes back what it has not begun, and that comes again
	s.until(60)
	s.judge()
	s.complete(60)
}

func TestChannelOwnerKilledAndBack(t *testing.T) {
	t.Parallel()
	r := ordering(t, "wait")
	s := r.stream()
	s.hand(15)
	r.Sender("a").Kill()
	s.elsewhere(1)
	r.Sender("a").Start()
	s.handUpTo(30) // what a had not delivered when it was killed it pushes back as it returns, and that comes again
	s.until(30)
	s.judge()
	s.completeButBegun(30, "a")
}

// Guards against messages that are lost in silence, or delivered late, when their owner is away for longer than they may wait.
func TestChannelTellsWhatWaitedTooLongForItsTurn(t *testing.T) {
	t.Parallel()
	r := orderingHeld(t, "wait", time.Second)
	s := r.stream()
	r.Conduct(acme, Conduct{Silent: true})
	s.hand(15) // the first is out, the others wait for it
	r.Sender("a").Kill()
	r.Conduct(acme, Conduct{})
	s.elsewhere(1)
	r.Sender("a").Start()
	s.handUpTo(30)
	s.until(30)
	s.judge()
	r.Until("what was not delivered is told", func(rec Record) bool {
		return !slices.ContainsFunc(missing(rec, 30), func(id string) bool { return !rec.Ended(id) })
	})
	rec := r.Record()
	tooLate := missing(rec, 30)
	assert.Contains(t, tooLate, "x15")
	for _, id := range tooLate {
		end := "returned"
		if slices.ContainsFunc(rec.Calls, func(c Call) bool { return c.ID == id }) {
			end = "failed" // it may have run
		}
		assert.Equal(t, []string{end}, ends(rec, id), id)
	}
}

func TestChannelOwnerGone(t *testing.T) {
	t.Parallel()
	r := ordering(t, "skip")
	s := r.stream()
	s.hand(15)
	r.Sender("a").Kill()
	s.elsewhere(1)
	s.hand(15)
	s.until(s.next - 1)
	assert.Greater(t, s.next, int64(31), "what the owner may have taken on was skipped")
	s.judge()
}

func TestChannelOwnerStoppedAndCutOff(t *testing.T) {
	t.Parallel()
	r := ordering(t, "skip")
	s := r.stream()
	s.hand(10)
	r.Sender("a").Stop()
	s.elsewhere(1)
	s.hand(10)
	r.Sender("a").Cont()
	s.hand(5)
	r.Cut([]string{"b"}, []string{"a", "c"})
	s.elsewhere(2)
	s.hand(10)
	r.Heal()
	s.elsewhere(1)
	s.hand(5)
	s.until(s.next - 1)
	s.judge()
}

// each sets the same faults on every link.
func (r *Rig) each(f Faults) {
	for _, from := range r.Senders() {
		for _, to := range r.Senders() {
			if from != to {
				r.Link(from.Name, to.Name).Set(f)
			}
		}
	}
}

// TestChannelSchedules plays further fixed schedules; after each the channel goes on at a further sender, and the judge reads what came.
func TestChannelSchedules(t *testing.T) {
	t.Parallel()
	for name, play := range map[string]func(r *Rig, s *stream){
		"slow-links": func(r *Rig, s *stream) {
			r.each(Faults{Delay: 60 * time.Millisecond})
			s.hand(10)
			s.elsewhere(1)
			s.hand(10)
		},
		"a-tenth-lost-doubled-and-late": func(r *Rig, s *stream) {
			r.each(Faults{Loss: 0.1, Doubles: 0.2, Disorder: 0.2, ReplayWait: 300 * time.Millisecond})
			s.hand(10)
			s.elsewhere(1)
			s.hand(10)
			s.elsewhere(2)
			s.hand(10)
		},
		"no-link-works": func(r *Rig, s *stream) {
			s.hand(10)
			r.each(Faults{Cut: true})
			s.elsewhere(1)
			time.AfterFunc(4*time.Second, r.Heal) // past every lease
			s.hand(10)
		},
		"links-half-open": func(r *Rig, s *stream) {
			s.hand(5)
			r.each(Faults{HalfOpen: true})
			time.AfterFunc(3*time.Second, r.Heal)
			s.hand(10)
		},
		"owner-heard-and-deaf": func(r *Rig, s *stream) {
			s.hand(10)
			r.Link("b", "a").Set(Faults{Cut: true})
			r.Link("c", "a").Set(Faults{Cut: true})
			s.elsewhere(1)
			s.hand(10)
			r.Heal()
			s.elsewhere(0)
			s.hand(5)
		},
		"owner-killed-in-mid-burst-and-back-at-once": func(r *Rig, s *stream) {
			r.Conduct(acme, Conduct{Down: true})
			s.hand(8)
			r.Sender("a").Kill()
			r.Sender("a").Start()
			r.Conduct(acme, Conduct{})
			s.hand(8)
		},
		"an-elector-without-its-folder": func(r *Rig, s *stream) {
			s.hand(5)
			r.Sender("c").Kill()
			r.Sender("c").Wipe()
			r.Sender("c").Start()
			s.elsewhere(1)
			s.hand(5)
			s.elsewhere(2)
			s.hand(5)
		},
		"one-sender-after-another-restarts": func(r *Rig, s *stream) {
			for i, name := range []string{"a", "b", "c"} {
				s.hand(5)
				r.Sender(name).Term()
				r.Sender(name).Start()
				s.elsewhere((i + 1) % 3)
			}
			s.hand(5)
		},
		"a-client-that-comes-and-goes": func(r *Rig, s *stream) {
			for i := range 12 {
				s.elsewhere(i % 3)
				s.hand(1)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := ordering(t, "skip")
			s := r.stream()
			play(r, s)
			s.elsewhere(2)
			s.hand(3)
			s.until(s.next - 1)
			s.judge()
		})
	}
}

// A receiver that got positions out of order, or one twice, is found.
func TestChannelJudgeFails(t *testing.T) {
	for name, ids := range map[string][]string{"disorder": {"x1", "x3", "x2"}, "doubled": {"x1", "x1"}} {
		rec := Record{}
		for _, id := range ids {
			rec.Calls = append(rec.Calls, Call{ID: id, Status: 200})
		}
		assert.NotEmpty(t, ascending(rec), name)
	}
}
