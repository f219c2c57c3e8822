package fleettest

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
)

// What a step does.
type What string

// The acts of a schedule.
const (
	DoKill    What = "kill"    // A by SIGKILL
	DoTerm    What = "term"    // A by SIGTERM, to its end
	DoStop    What = "stop"    // A by SIGSTOP
	DoCont    What = "cont"    // A goes on
	DoStart   What = "start"   // A again, with its folder
	DoKeep    What = "keep"    // a copy of A's folder
	DoRestore What = "restore" // that copy in the folder's place, while A is down
	DoWipe    What = "wipe"    // A's folder, while it is down
	DoLink    What = "link"    // Faults on the link from A to B
	DoHeal    What = "heal"    // all links
	DoConduct What = "conduct" // Conduct of Dst
	DoServing What = "serving" // Dst is listed as serving (On) or draining
	DoHandIn  What = "hand-in" // Message by client Client
)

// Step is one act at a time since the schedule began.
type Step struct {
	At      time.Duration
	Do      What
	A       string   `json:",omitempty"`
	B       string   `json:",omitempty"`
	Dst     int64    `json:",omitempty"`
	On      bool     `json:",omitempty"`
	Client  int      `json:",omitempty"`
	Faults  *Faults  `json:",omitempty"`
	Conduct *Conduct `json:",omitempty"`
	Message *Message `json:",omitempty"`
}

// Schedule is data: kept as JSON it can be played again. Seed also sets the links' draws, by Setup.Seed.
type Schedule struct {
	Seed    uint64
	Senders int
	Clients int
	Dsts    []int64
	Steps   []Step
}

// ReadSchedule reads one that was kept.
func ReadSchedule(path string) (s Schedule, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}

// Keep writes it down.
func (s Schedule) Keep(path string) error {
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o600)
}

// Setup is what a schedule is played on.
func (s Schedule) Setup() Setup {
	return Setup{Senders: s.Senders, Destinations: s.Dsts, Seed: s.Seed}
}

// Play takes the steps, each no sooner than its time; a step that would wait for its message's answer does so. At the end all links
// are mended, all receivers answer, all stopped processes go on and all that are down are started again, so that every message can end.
func (r *Rig) Play(s Schedule) {
	r.t.Helper()
	clients := make([]*Client, max(1, s.Clients))
	for i := range clients {
		clients[i] = r.Client(i % len(r.senders))
	}
	begun := time.Now()
	for _, step := range s.Steps {
		if d := time.Until(begun.Add(step.At)); d > 0 {
			time.Sleep(d) // paces what is done; decides nothing
		}
		r.step(step, clients)
	}
	r.Heal()
	for _, dst := range r.setup.Destinations {
		r.Conduct(dst, Conduct{})
	}
	for _, one := range r.senders {
		if one.cmd == nil {
			one.Start()
		} else {
			one.Cont()
		}
	}
}

func (r *Rig) step(s Step, clients []*Client) {
	r.t.Helper()
	switch s.Do {
	case DoLink:
		r.Link(s.A, s.B).Set(*s.Faults)
	case DoHeal:
		r.Heal()
	case DoConduct:
		r.Conduct(s.Dst, *s.Conduct)
	case DoServing:
		r.Serving(s.Dst, s.On)
	case DoHandIn:
		clients[s.Client].HandIn(*s.Message)
	default:
		r.process(r.Sender(s.A), s.Do)
	}
}

// process acts on one sender, where that can be: drawn schedules may say it to one that is down.
func (r *Rig) process(one *Sender, do What) {
	r.t.Helper()
	up := one.Running()
	switch {
	case up && do == DoKill:
		one.Kill()
	case up && do == DoTerm:
		one.Cont()
		one.Term()
	case up && do == DoStop:
		one.Stop()
	case up && do == DoCont:
		one.Cont()
	case !up && do == DoStart:
		one.Start()
	case do == DoKeep:
		one.Keep("schedule")
	case !up && do == DoRestore:
		one.Restore("schedule")
	case !up && do == DoWipe:
		one.Wipe()
	case do == DoKill, do == DoTerm, do == DoStop, do == DoCont, do == DoStart, do == DoRestore, do == DoWipe:
	default:
		require.FailNow(r.t, "no such step", do)
	}
}

// Draw makes a schedule of hand-ins every gap at all destinations, with so many troubles among them; the same seed gives the same one.
// One sender is up at any time. Folders stay: what restoring or wiping one loses is no fault of the sender.
func Draw(seed uint64, senders int, dsts []int64, messages, troubles int, gap time.Duration) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x5c4ed))
	s := Schedule{Seed: seed, Senders: senders, Clients: senders, Dsts: dsts}
	lanes := []string{"notice", "once", "again", "lined"}
	for i := range messages {
		m := Message{ID: fmt.Sprintf("m%d", i), Lane: lanes[rng.IntN(len(lanes))], Dst: dsts[rng.IntN(len(dsts))], Within: 4 * time.Second}
		if m.Lane == "lined" {
			m.OrderKey = fmt.Sprintf("1%03d", rng.IntN(3))
		}
		s.Steps = append(s.Steps, Step{At: time.Duration(i) * gap, Do: DoHandIn, Client: rng.IntN(senders), Message: &m})
	}
	d := drawn{rng: rng, senders: senders, dsts: dsts, away: map[string]What{}}
	every := max(1, messages/max(1, troubles))
	for i := range troubles {
		at := i * every
		s.Steps = append(s.Steps, d.trouble(s.Steps[min(at, messages-1)].At))
	}
	s.sort()
	return s
}

func (s *Schedule) sort() {
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}

// drawn keeps who is away while a schedule is drawn.
type drawn struct {
	rng     *rand.Rand
	senders int
	dsts    []int64
	away    map[string]What
}

func (d *drawn) trouble(at time.Duration) Step {
	rng, name := d.rng, func() string { return string(rune('a' + d.rng.IntN(d.senders))) }
	s := Step{At: at, A: name(), Dst: d.dsts[rng.IntN(len(d.dsts))]}
	acts := []What{DoKill, DoStop, DoTerm, DoLink, DoLink, DoLink, DoHeal, DoConduct, DoConduct}
	s.Do = acts[rng.IntN(len(acts))]
	switch was := d.away[s.A]; {
	case was == DoStop:
		s.Do = DoCont
		delete(d.away, s.A)
	case was != "":
		s.Do = DoStart
		delete(d.away, s.A)
	case s.Do == DoKill || s.Do == DoStop || s.Do == DoTerm:
		if len(d.away) == d.senders-1 {
			s.Do = DoHeal
			break
		}
		d.away[s.A] = s.Do
	case s.Do == DoLink:
		for s.B = name(); s.B == s.A; {
			s.B = name()
		}
		all := []Faults{{Cut: true}, {Mute: true}, {HalfOpen: true}, {Delay: 300 * time.Millisecond}, {Loss: 0.3}, {Doubles: 0.5},
			{Disorder: 0.5, ReplayWait: 100 * time.Millisecond}, {BytesEach: 64, Each: 10 * time.Millisecond}}
		s.Faults = &all[rng.IntN(len(all))]
	case s.Do == DoConduct:
		all := []Conduct{{}, {Status: 500}, {Down: true}, {Slow: 200 * time.Millisecond}, {Limit: 3, Wait: time.Second}}
		s.Conduct = &all[rng.IntN(len(all))]
	}
	return s
}
