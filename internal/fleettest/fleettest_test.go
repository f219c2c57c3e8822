package fleettest

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"ravenlink/internal/links"
	"ravenlink/internal/shares"
)

func TestMain(m *testing.M) { Main(m) }

func TestKilledAndStartedAgainEveryMessageEndsOnce(t *testing.T) {
	t.Parallel()
	r := New(t, Setup{Senders: 3, Destinations: []int64{7, 8}})
	r.Start()
	c := r.Client(0)
	handIn := func(from, to int) {
		for i := from; i < to; i++ {
			m := Message{ID: fmt.Sprint("m", i), Class: []string{"notice", "once", "again", "lined"}[i%4], Dst: int64(7 + i/4%2), Timeout: 4 * time.Second}
			if m.Class == "lined" {
				m.OrderKey = "1a"
			}
			c.HandIn(m)
		}
	}
	r.Conduct(7, Conduct{Silent: true})
	r.Conduct(8, Conduct{Limit: 4, RetryAfter: time.Second})
	handIn(0, 24)
	r.Until("legs are open", func(rec Record) bool { return len(rec.Calls) > 2 })
	r.Sender("a").Kill()
	handIn(24, 48) // at another sender
	r.Conduct(7, Conduct{})
	r.Sender("a").Start()
	r.UntilEnded()
	r.Check()
	rec, by := r.Record(), map[string]bool{}
	for _, h := range rec.HandIns {
		by[h.Sender] = by[h.Sender] || h.Accepted()
	}
	require.True(t, by["a"] && by["b"], "the client did not move on to the next sender")
}

func TestRandomSchedules(t *testing.T) {
	t.Parallel()
	seeds := []uint64{1, 2, 3, 14}                                                      // with and without a fleet, each with stopped senders
	if one, err := strconv.ParseUint(os.Getenv("FLEETTEST_SEED"), 10, 64); err == nil { // to repeat one
		seeds = []uint64{one}
	}
	if n, err := strconv.Atoi(os.Getenv("FLEETTEST_DRAWN")); err == nil { // so many further ones, outside CI
		for i := range n {
			seeds = append(seeds, uint64(1000+i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := RandomSchedule(seed, 3, []int64{7, 8}, 60, 8, 20*time.Millisecond)
			require.Equal(t, s, RandomSchedule(seed, 3, []int64{7, 8}, 60, 8, 20*time.Millisecond))
			path := filepath.Join(t.TempDir(), "schedule.json")
			require.NoError(t, s.Save(path))
			s, err := ReadSchedule(path)
			require.NoError(t, err)
			setup, more := s.Setup(), []Check{}
			if seed%2 == 1 { // with a fleet, where senders that are cut off use no more than half of an even share
				setup.OperatorFile = fleetOperatorFile
				more = append(more, WithinLimit(7, int(declaredRate), time.Second, int(shares.Burst(declaredRate)+declaredRate/2)))
			}
			r := New(t, setup)
			r.Start()
			r.Play(s)
			r.UntilEnded()
			r.Check(more...)
		})
	}
}

func TestFolderIsSavedRestoredAndWiped(t *testing.T) {
	t.Parallel()
	r := New(t, Setup{Senders: 3})
	r.Conduct(7, Conduct{Silent: true})
	a := r.Sender("a")
	a.Start()
	require.Equal(t, "+OK", r.Client(0).HandIn(Message{ID: "m", Class: "notice", Dst: 7, Timeout: time.Minute, Body: "a body"}))
	r.Until("the leg is open", func(rec Record) bool { return len(rec.Calls) == 1 })
	a.Kill()
	require.NotEmpty(t, a.Grep("a body"))
	a.SaveFolder("owing")
	a.WipeFolder()
	r.Conduct(7, Conduct{})
	a.Start()
	a.Term()
	require.Equal(t, []string{"m"}, r.Record().Unended(), "a sender without its folder knows no messages")
	a.RestoreFolder("owing")
	a.Start()
	r.UntilEnded()
	a.Stop()
	a.Cont()
	a.Term()
	r.Check()
}

// fake is a scripted sender that calls receivers and the platform as a faulty program would.
type fake struct {
	*testing.T
	*Rig
	accepted int
}

func (f *fake) accept(m Message) {
	f.accepted++
	f.rec.update(func(rec *Record) {
		rec.HandIns = append(rec.HandIns, HandIn{Message: m, At: f.rec.now(), Sender: "a", Answer: "+OK"})
	})
}

func (f *fake) call(sender string, dst int64, id string) {
	in, err := http.NewRequest(http.MethodPost, f.Rig.Sender(sender).receivers[dst].URL+"/events", strings.NewReader("x"))
	require.NoError(f.T, err)
	in.Header.Set("X-Txn", id)
	in.Header.Set("Idempotency-Key", "k")
	f.do(in)
}

func (f *fake) post(id, state string) {
	in, err := http.NewRequest(http.MethodPost, f.Rig.Sender("a").platform.server.URL+"/v2/finals",
		strings.NewReader(fmt.Sprintf(`{"id":"%s","state":"%s"}`, id, state)))
	require.NoError(f.T, err)
	f.do(in)
}

func (f *fake) do(in *http.Request) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(in)
	require.NoError(f.T, err)
	require.NoError(f.T, res.Body.Close())
}

func TestEachCheckFindsItsViolation(t *testing.T) {
	t.Parallel()
	msg := func(id, class string) Message {
		return Message{ID: id, Class: class, Dst: 7, Timeout: time.Minute, OrderKey: "1a"}
	}
	for name, c := range map[string]struct {
		check Check
		want  string
		act   func(f *fake)
	}{
		"never ends":     {ExactlyOneEnd(Classes), "m: no end", func(f *fake) { f.accept(msg("m", "once")) }},
		"two states":     {ExactlyOneEnd(Classes), "m: 2 states", func(f *fake) { f.accept(msg("m", "once")); f.post("m", "failed"); f.post("m", "returned") }},
		"both ends":      {ExactlyOneEnd(Classes), "m: delivered and reported", func(f *fake) { f.accept(msg("m", "once")); f.call("a", 7, "m"); f.post("m", "failed") }},
		"told late":      {ExactlyOneEnd(Classes), "m: reported", func(f *fake) { m := msg("m", "once"); m.Timeout = -time.Minute; f.accept(m); f.post("m", "failed") }},
		"delivered late": {ExactlyOneEnd(Classes), "m: delivered", func(f *fake) { m := msg("m", "once"); m.Timeout = -time.Minute; f.accept(m); f.call("a", 7, "m") }},
		"repeated":       {ForbiddenRepeats(Classes), "m: may have run 2", func(f *fake) { f.accept(msg("m", "once")); f.call("a", 7, "m"); f.call("b", 7, "m") }},
		"out of window":  {ForbiddenRepeats(map[string]Class{"notice": {Keyed: true}}), "m: repeated", func(f *fake) { f.accept(msg("m", "notice")); f.call("a", 7, "m"); f.call("a", 7, "m") }},
		"wait": {CallsDuringRetryAfter(0), "n: a called 7", func(f *fake) {
			f.Conduct(7, Conduct{Limit: 1, RetryAfter: time.Minute})
			f.call("a", 7, "l")
			f.call("a", 7, "m")
			f.call("a", 7, "n")
		}},
		"wait of another": {FleetCallsDuringRetryAfter(0), "n: b called 7", func(f *fake) {
			f.Conduct(7, Conduct{Limit: 1, RetryAfter: time.Minute})
			f.call("a", 7, "l")
			f.call("a", 7, "m")
			f.call("b", 7, "n")
		}},
		"drains": {CallsWhileDraining(0), "m: called 7", func(f *fake) { f.Serving(7, false); f.call("a", 7, "m") }},
		"limit":  {WithinLimit(7, 2, time.Minute, 0), "1 calls over", func(f *fake) { f.call("a", 7, "l"); f.call("b", 7, "m"); f.call("c", 7, "n") }},
		"order": {InOrder(ByKey), `n of "a 1a" ran before m`, func(f *fake) {
			f.accept(msg("m", "lined"))
			f.accept(msg("n", "lined"))
			f.call("a", 7, "n")
			f.call("a", 7, "m")
		}},
		"channel": {InOrder(ByChannel), `n of "channel x" ran before m`, func(f *fake) {
			m, n := msg("m", "again"), msg("n", "again")
			m.Channel, m.Pos, n.Channel, n.Pos = "x", 1, "x", 2
			f.accept(n)
			f.accept(m)
			f.call("b", 7, "n")
			f.call("a", 7, "m")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fake{T: t, Rig: New(t, Setup{Senders: 3})}
			c.act(f)
			rec := f.Record()
			rec.Stalls = nil // so that they excuse no violation
			found := c.check(rec)
			require.Len(t, found, 1)
			require.Contains(t, found[0], c.want)
		})
	}
	sound := &fake{T: t, Rig: New(t, Setup{Senders: 3})}
	sound.accept(msg("m", "lined"))
	sound.accept(msg("n", "notice"))
	sound.call("a", 7, "m")
	sound.call("a", 7, "n")
	sound.call("a", 7, "n")
	sound.Check(FleetCallsDuringRetryAfter(0), WithinLimit(7, 3, time.Minute, 0))
}

// A notice that the platform had in time is not late because it is sent again: the sender repeats it if the answer takes longer than 80 ms,
// as when other test programs run at the same time, and duplicates do no harm.
func TestRepeatOfANoticeIsNotALateOne(t *testing.T) {
	t.Parallel()
	rec := Record{
		HandIns: []HandIn{{Message: Message{ID: "m", Class: "once", Timeout: time.Second}, Sender: "a", Answer: "+OK"}},
		Notices: []Notice{{time.Second, "a", "m", "failed"}, {time.Minute, "a", "m", "failed"}},
	}
	require.Empty(t, ExactlyOneEnd(Classes)(rec))
	rec.Notices = rec.Notices[1:]
	require.Equal(t, []string{"m: reported 59s after its deadline"}, ExactlyOneEnd(Classes)(rec))
}

// Guards against a sender that goes on sending notices that the platform has answered. What it repeats must be in its log as not taken.
func TestRepeatedNoticesMustBeLoggedAsNotTaken(t *testing.T) {
	t.Parallel()
	f := &fake{T: t, Rig: New(t, Setup{Senders: 2})}
	f.accept(msgOnce("m"))
	f.post("m", "failed")
	require.Empty(t, f.RepeatedNotices()(f.Record()))
	f.post("m", "failed")
	f.post("m", "failed")
	a := f.Rig.Sender("a")
	_, err := a.log.Write([]byte(`{"msg":"notices not taken","count":1}` + "\n"))
	require.NoError(t, err)
	require.Equal(t, []string{"m: a sent 2 notices again, 1 more than it logged as not taken"}, f.RepeatedNotices()(f.Record()))
	_, err = a.log.Write([]byte(`{"msg":"notices not taken","count":1}` + "\n"))
	require.NoError(t, err)
	require.Empty(t, f.RepeatedNotices()(f.Record()))
	a.recordAction("start") // the next process does not know what the platform has answered
	f.post("m", "failed")
	require.Empty(t, f.RepeatedNotices()(f.Record()))
}

func msgOnce(id string) Message { return Message{ID: id, Class: "once", Dst: 7, Timeout: time.Minute} }

// Sends frames between two instances of internal/links through the proxies, with each kind of fault.
func TestEachFaultOfALinkDoesWhatItSays(t *testing.T) {
	t.Parallel()
	hasOutcome := func(r *Rig, outcome string) func(Record) bool {
		return func(rec Record) bool {
			for _, p := range rec.Posts {
				if p.From == "a" && p.To == "b" && p.Outcome == outcome && p.Bytes > 60 { // larger than a hello
					return true
				}
			}
			return false
		}
	}
	for name, c := range map[string]struct {
		faults  Faults
		outcome string
		arrives bool
	}{
		"no-fault": {Faults{}, "delivered", true}, "cut": {Faults{Cut: true}, "cut", false}, "mute": {Faults{DropAnswers: true}, "unanswered", false},
		"half-open": {Faults{HalfOpen: true}, "held", false}, "lost": {Faults{Loss: 1}, "lost", false}, "doubled": {Faults{Duplication: 1}, "duplicated", true},
		"disorder": {Faults{Reordering: 1}, "replayed", true}, "delay": {Faults{Delay: 10 * time.Millisecond}, "delivered", true},
		"throttle": {Faults{ThrottleBytes: 10, ThrottleInterval: time.Millisecond}, "delivered", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(t, Setup{Senders: 3})
			received := make(chan string, 10_000)
			a, b := r.Sender("a"), r.Sender("b")
			ends := map[*Sender]*links.Links{}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 2)
			for _, s := range []*Sender{a, b} {
				var peers []links.Peer
				for _, p := range s.Peers() {
					peers = append(peers, links.Peer{Name: p[0], Addr: p[1]})
				}
				l, err := links.New(zap.NewNop(), links.Hello{Fleet: "f", Name: s.Name}, peers, s.LinkAddr, func(h links.Hello, f links.Frame) { received <- h.Name + string(f.Body) })
				require.NoError(t, err)
				ends[s] = l
				go func() { done <- l.Run(ctx) }()
			}
			t.Cleanup(func() { cancel(); require.NoError(t, <-done); require.NoError(t, <-done) })
			r.Link("a", "b").Set(c.faults)
			seen := hasOutcome(r, c.outcome)
			pass := func(rec Record) bool {
				ends[a].Send("b", links.Frame{Kind: links.Shares, Slot: "s", Body: []byte(strings.Repeat("1", 40))})
				if !c.arrives {
					return len(rec.Posts) > 0 && rec.Posts[0].Outcome == c.outcome
				}
				return seen(rec)
			}
			r.Until(c.outcome, pass)
			if !c.arrives {
				require.Empty(t, received)
				r.Until("the opposite direction works", func(Record) bool {
					ends[b].Send("a", links.Frame{Kind: links.Shares, Body: []byte("back")}) // repeatedly: a link drops frames that it has held for two seconds
					return len(received) > 0
				})
				for len(received) > 0 {
					require.Equal(t, "bback", <-received, "a frame passed in the faulty direction")
				}
				r.Heal()
			}
			r.Until("a frame arrives", func(Record) bool {
				ends[a].Send("b", links.Frame{Kind: links.Shares, Slot: "s", Body: []byte("x")})
				for len(received) > 0 {
					frame := <-received
					if c.arrives || frame != "bback" {
						require.Regexp(t, "^a", frame)
						return true
					}
				}
				return false
			})
		})
	}
}

func TestTranscriptOfADelivery(t *testing.T) {
	t.Parallel()
	r := New(t, Setup{Senders: 3})
	r.Start()
	s := r.Transcript()
	s.Phase("three senders start")
	r.Client(1).HandIn(Message{ID: "m1", Class: "notice", Key: "5c0f", Dst: 7, Body: "hello"})
	r.UntilEnded()
	s.Phase("a message is handed in at b and delivered")
	r.Sender("b").Term()
	s.Phase("b drains")
	s.Disk(r.Sender("b"))
	s.Compare("delivery")
}

func TestTranscriptOfAKillWhileAMessageIsOwed(t *testing.T) {
	t.Parallel()
	r := New(t, Setup{Senders: 3})
	r.Start()
	s := r.Transcript()
	s.Phase("three senders start")
	r.Conduct(7, Conduct{Silent: true})
	c := r.Client(0)
	c.HandIn(Message{ID: "m1", Class: "notice", Key: "5c0f", Dst: 7, Body: "may run twice"})
	r.Until("a leg is open", func(rec Record) bool { return len(rec.Calls) == 1 })
	c.HandIn(Message{ID: "m2", Class: "once", Dst: 7, Body: "must not"})
	r.Until("both legs are open", func(rec Record) bool { return len(rec.Calls) == 2 })
	r.Sender("a").Kill()
	s.Phase("two messages are handed in at a, which is killed with both legs open")
	s.Disk(r.Sender("a"))
	r.Conduct(7, Conduct{})
	r.Sender("a").Start()
	r.UntilEnded()
	s.Phase("a restarts: the keyed message is repeated, the other one fails")
	r.Sender("a").Term()
	s.Disk(r.Sender("a"))
	s.Compare("kill")
}

// failureRecorder is a testing.TB that records a failure instead of failing.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (w *failureRecorder) Error(...any)          { w.failed = true }
func (w *failureRecorder) Errorf(string, ...any) { w.failed = true }
func (w *failureRecorder) FailNow()              { w.failed = true }

func TestATranscriptThatChangedIsFound(t *testing.T) {
	t.Parallel()
	s := New(t, Setup{Senders: 3}).Transcript()
	s.Phase("nothing happens")
	w := &failureRecorder{TB: t}
	s.r.t = w
	s.Compare("delivery")
	s.r.t = t
	require.True(t, w.failed)
	text, err := os.ReadFile("testdata/delivery.golden")
	require.NoError(t, err)
	require.NotRegexp(t, `127\.\d|X-Remaining-Ms: \d`, string(text))
}

func TestTheLinksTableOfASenderIsSound(t *testing.T) {
	t.Parallel()
	r := New(t, Setup{Senders: 9})
	var file struct{ Fleet links.Table }
	require.NoError(t, toml.Unmarshal([]byte(r.Sender("c").LinksTOML("fleet")), &file))
	file.Fleet.Validate(func(setting, what string) { t.Error(setting, what) })
	require.Len(t, file.Fleet.PeerList(), 8)
	require.Equal(t, r.Link("c", "a").Addr(), file.Fleet.PeerList()[0].Addr)
}

func TestAStreamGoesWhereItIsTold(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		answer string
		next   int64
		on     bool
	}{{"+OK pos=3", 4, true}, {"-BUSY 1 pos=1", 2, true}, {"-BUSY 1", 3, true}, {"", 3, true}, {"-ERR closed pos=9", 10, false}, {"+OK", 3, false}} {
		s := Stream{next: 3}
		require.Equal(t, c.on, s.follow(c.answer), c.answer)
		require.Equal(t, c.next, s.next, c.answer)
	}
}

// A stall of the rig extends the bound by its length and no more, and only if it lies between the retry-after and the call.
func TestStallOfTheRigExtendsTheBoundOfARetryAfter(t *testing.T) {
	const s = time.Second
	rec := Record{Calls: []Call{{At: s, Answered: s, Sender: "a", Dst: 7, Status: 429, RetryAfter: 9 * s}, {At: 4 * s, Sender: "b", ID: "m", Dst: 7}}}
	for stall, faults := range map[Stall]int{{}: 1, {0, s}: 1, {4 * s, 8 * s}: 1, {2 * s, 3 * s}: 1, {s, 3 * s}: 0, {0, 9 * s}: 0} {
		rec.Stalls = []Stall{stall}
		require.Len(t, FleetCallsDuringRetryAfter(3*s/2)(rec), faults, stall)
	}
}

// Guards against a lost hand-in by a client that was delayed between connecting and writing until the sender closed the idle connection.
func TestDelayedClientReconnectsBeforeItsFirstRequest(t *testing.T) {
	t.Parallel()
	r := New(t, Setup{Senders: 3})
	r.Start()
	c := r.Client(0)
	c.beforeWrite = func() {
		c.beforeWrite = nil
		r.Until("a closes the idle connection", func(Record) bool { return peerHasClosed(c.conn) })
	}
	require.Equal(t, "+OK", c.HandIn(Message{ID: "m1", Class: "again", Dst: 7, Body: "hello"}))
	r.UntilEnded()
	h := r.Record().HandIns
	require.Len(t, h, 1)
	require.Equal(t, "a", h[0].Sender)
}

// Guards against a message with no end or with two at a sender that gets little processor time, where the message has a deadline of 0.3 s.
func TestMessageEndsOnceAtASenderWithLittleCPUTime(t *testing.T) {
	t.Parallel()
	for stopped := 100 * time.Millisecond; stopped <= 200*time.Millisecond; stopped += 50 * time.Millisecond {
		r := New(t, Setup{Senders: 3})
		r.Start()
		r.Conduct(7, Conduct{Silent: true})
		answer := ""
		r.Sender("a").withTimeSlices(stopped, func() {
			answer = r.Client(0).HandIn(Message{ID: "m1", Class: "again", Dst: 7, Body: "hello", Timeout: 300 * time.Millisecond})
			r.Until("m1 ends", func(rec Record) bool { return answer != "+OK" || rec.Ended("m1") })
		})
		r.Sender("a").Term()
		rec := r.Record()
		require.LessOrEqual(t, len(rec.Calls), 1)
		if answer == "+OK" {
			again := noticesNotTaken(r.Sender("a")) // sent again if the platform's answer is late; duplicates do no harm
			require.NotEmpty(t, rec.Notices)
			require.LessOrEqual(t, len(rec.Notices), 1+again)
			for _, n := range rec.Notices {
				require.Equal(t, rec.Notices[0].State, n.State)
			}
		}
		require.Empty(t, rec.Unended())
	}
}
