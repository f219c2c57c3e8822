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

// StepKind is what a step does.
type StepKind string

// The kinds of steps. A and B are the senders that a Step names.
const (
	DoKill    StepKind = "kill"    // SIGKILL to A
	DoTerm    StepKind = "term"    // SIGTERM to A, and wait for its end
	DoStop    StepKind = "stop"    // SIGSTOP to A
	DoCont    StepKind = "cont"    // SIGCONT to A
	DoStart   StepKind = "start"   // start A again, with its folder
	DoSave    StepKind = "keep"    // copy A's folder
	DoRestore StepKind = "restore" // replace A's folder by that copy, while A is down
	DoWipe    StepKind = "wipe"    // remove A's folder, while A is down
	DoLink    StepKind = "link"    // set Faults on the link from A to B
	DoHeal    StepKind = "heal"    // remove the faults of all links
	DoConduct StepKind = "conduct" // set the Conduct of Dst
	DoServing StepKind = "serving" // list Dst as serving (On) or draining
	DoHandIn  StepKind = "hand-in" // hand Message in by client number Client
)

// Step is one step of a schedule. At is the time since the schedule started.
type Step struct {
	At      time.Duration
	Do      StepKind
	A       string   `json:",omitempty"`
	B       string   `json:",omitempty"`
	Dst     int64    `json:",omitempty"`
	On      bool     `json:",omitempty"`
	Client  int      `json:",omitempty"`
	Faults  *Faults  `json:",omitempty"`
	Conduct *Conduct `json:",omitempty"`
	Message *Message `json:",omitempty"`
}

// Schedule is a list of steps that can be saved as JSON and played again. Seed also seeds the random faults of the links, by Setup.Seed.
type Schedule struct {
	Seed    uint64
	Senders int
	Clients int
	Dsts    []int64
	Steps   []Step
}

// ReadSchedule reads a schedule that Save wrote.
func ReadSchedule(path string) (s Schedule, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}

// Save writes the schedule to a file.
func (s Schedule) Save(path string) error {
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o600)
}

// Setup returns the setup of a rig on which the schedule can be played.
func (s Schedule) Setup() Setup {
	return Setup{Senders: s.Senders, Destinations: s.Dsts, Seed: s.Seed}
}

// Play runs the steps in order, each no sooner than its time; a hand-in waits for its answer. At the end it removes the faults of all
// links, lets all receivers answer, resumes all stopped processes and starts those that are down, so that every message can end.
func (r *Rig) Play(s Schedule) {
	r.t.Helper()
	clients := make([]*Client, max(1, s.Clients))
	for i := range clients {
		clients[i] = r.Client(i % len(r.senders))
	}
	started := time.Now()
	for _, step := range s.Steps {
		if d := time.Until(started.Add(step.At)); d > 0 {
			time.Sleep(d) // paces the steps; no check depends on it
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
		r.applyToSender(r.Sender(s.A), s.Do)
	}
}

// applyToSender runs a step on one sender if its state allows that: a random schedule may name one that is down.
func (r *Rig) applyToSender(one *Sender, do StepKind) {
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
	case do == DoSave:
		one.SaveFolder("schedule")
	case !up && do == DoRestore:
		one.RestoreFolder("schedule")
	case !up && do == DoWipe:
		one.WipeFolder()
	case do == DoKill, do == DoTerm, do == DoStop, do == DoCont, do == DoStart, do == DoRestore, do == DoWipe:
	default:
		require.FailNow(r.t, "unknown kind of step", do)
	}
}

// RandomSchedule returns a schedule with a hand-in every gap to one of the destinations, and so many faults in between. It depends on
// the seed only. At least one sender is up at any time. State folders are not touched, because what is lost by restoring or removing one
// is no fault of the sender.
func RandomSchedule(seed uint64, senders int, dsts []int64, messages, faults int, gap time.Duration) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x5c4ed))
	s := Schedule{Seed: seed, Senders: senders, Clients: senders, Dsts: dsts}
	classes := []string{"notice", "once", "again", "lined"}
	for i := range messages {
		m := Message{ID: fmt.Sprintf("m%d", i), Class: classes[rng.IntN(len(classes))], Dst: dsts[rng.IntN(len(dsts))], Timeout: 4 * time.Second}
		if m.Class == "lined" {
			m.OrderKey = fmt.Sprintf("1%03d", rng.IntN(3))
		}
		s.Steps = append(s.Steps, Step{At: time.Duration(i) * gap, Do: DoHandIn, Client: rng.IntN(senders), Message: &m})
	}
	d := scheduleGenerator{rng: rng, senders: senders, dsts: dsts, down: map[string]StepKind{}}
	every := max(1, messages/max(1, faults))
	for i := range faults {
		at := i * every
		s.Steps = append(s.Steps, d.fault(s.Steps[min(at, messages-1)].At))
	}
	s.sort()
	return s
}

func (s *Schedule) sort() {
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}

// scheduleGenerator tracks which senders are down or stopped while a random schedule is generated.
type scheduleGenerator struct {
	rng     *rand.Rand
	senders int
	dsts    []int64
	down    map[string]StepKind
}

func (d *scheduleGenerator) fault(at time.Duration) Step {
	rng, name := d.rng, func() string { return string(rune('a' + d.rng.IntN(d.senders))) }
	s := Step{At: at, A: name(), Dst: d.dsts[rng.IntN(len(d.dsts))]}
	kinds := []StepKind{DoKill, DoStop, DoTerm, DoLink, DoLink, DoLink, DoHeal, DoConduct, DoConduct}
	s.Do = kinds[rng.IntN(len(kinds))]
	switch state := d.down[s.A]; {
	case state == DoStop:
		s.Do = DoCont
		delete(d.down, s.A)
	case state != "":
		s.Do = DoStart
		delete(d.down, s.A)
	case s.Do == DoKill || s.Do == DoStop || s.Do == DoTerm:
		if len(d.down) == d.senders-1 {
			s.Do = DoHeal
			break
		}
		d.down[s.A] = s.Do
	case s.Do == DoLink:
		for s.B = name(); s.B == s.A; {
			s.B = name()
		}
		all := []Faults{{Cut: true}, {DropAnswers: true}, {HalfOpen: true}, {Delay: 300 * time.Millisecond}, {Loss: 0.3}, {Duplication: 0.5},
			{Reordering: 0.5, ReplayDelay: 100 * time.Millisecond}, {ThrottleBytes: 64, ThrottleInterval: 10 * time.Millisecond}}
		s.Faults = &all[rng.IntN(len(all))]
	case s.Do == DoConduct:
		all := []Conduct{{}, {Status: 500}, {Down: true}, {AnswerDelay: 200 * time.Millisecond}, {Limit: 3, RetryAfter: time.Second}}
		s.Conduct = &all[rng.IntN(len(all))]
	}
	return s
}
