package fleettest

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/shares"
)

const (
	declaredRate = 10.0 // calls per second to destination 7, for all senders together
	limitLease   = 500 * time.Millisecond
)

// fleetOperatorFile returns an operator's file with one shared limit and with verdicts enabled.
func fleetOperatorFile(s *Sender) string {
	return "version = 1\n" + s.LinksTOML("fleet") + fmt.Sprintf("[fleet.verdicts]\n[fleet.limits]\nlease = %q\n"+
		"[[fleet.limits.declared]]\ndst = 7\nper_sec = %g\n", limitLease, declaredRate)
}

// loadSchedule returns a schedule with 50 hand-ins in two seconds, which is 2.5 times declaredRate, most of them at one sender, together with
// the given steps.
func loadSchedule(seed uint64, senders int, steps ...Step) Schedule {
	s := Schedule{Seed: seed, Senders: senders, Clients: senders, Dsts: []int64{7, 8}}
	for i := range 50 {
		m := Message{ID: fmt.Sprint("m", i), Class: "again", Dst: 7, Timeout: 3 * time.Second}
		s.Steps = append(s.Steps, Step{At: time.Duration(i) * 40 * time.Millisecond, Do: DoHandIn, Client: []int{0, 0, 0, 1, senders - 1}[i%5], Message: &m})
	}
	s.Steps = append(s.Steps, steps...)
	s.sort()
	return s
}

func onAllLinks(senders int, f Faults, at time.Duration) (steps []Step) {
	for i := range senders {
		for j := range senders {
			if i != j {
				steps = append(steps, Step{At: at, Do: DoLink, A: string(rune('a' + i)), B: string(rune('a' + j)), Faults: &f})
			}
		}
	}
	return steps
}

func onLinksFrom(group, others string, f Faults, at time.Duration) (steps []Step) {
	for _, a := range group {
		for _, b := range others {
			steps = append(steps, Step{At: at, Do: DoLink, A: string(a), B: string(b), Faults: &f})
		}
	}
	return steps
}

func onLinksBothWays(group, others string, f Faults, at time.Duration) []Step {
	return append(onLinksFrom(group, others, f, at), onLinksFrom(others, group, f, at)...)
}

// Guards against a fleet that together exceeds a shared limit while links or processes fail. The allowed excess is the burst plus the
// bound of the event. The checks of the delivery rules have to pass as well.
func TestLimitsOfTheFleetHoldInEachEvent(t *testing.T) {
	t.Parallel()
	const at, back = 500 * time.Millisecond, 1700 * time.Millisecond
	cut := Faults{Cut: true}
	one := func(at time.Duration, do StepKind, who string) Step { return Step{At: at, Do: do, A: who} }
	for name, c := range map[string]struct {
		event   shares.Event
		apart   float64
		senders int
		late    string // a sender that the schedule starts
		steps   []Step
	}{
		"calm":              {shares.NoFault, 0, 3, "", nil},
		"slow links":        {shares.SlowLinks, 0, 3, "", onAllLinks(3, Faults{Delay: 150 * time.Millisecond}, 0)},
		"loss":              {shares.SlowLinks, 0, 3, "", onAllLinks(3, Faults{Loss: 0.3}, 0)},
		"doubles, disorder": {shares.NoFault, 0, 3, "", onAllLinks(3, Faults{Duplication: 0.4, Reordering: 0.4, ReplayDelay: 300 * time.Millisecond}, 0)},
		"cut one way":       {shares.PartitionOneWay, 1. / 3, 3, "", onLinksFrom("a", "bc", cut, at)},
		"cut both ways":     {shares.PartitionBothWays, 1. / 3, 3, "", append(onLinksBothWays("a", "bc", cut, at), Step{At: back, Do: DoHeal})},
		"halves":            {shares.EvenSplit, 0.5, 4, "", append(onLinksBothWays("ab", "cd", cut, at), Step{At: back, Do: DoHeal})},
		"half-open":         {shares.PartitionBothWays, 1. / 3, 3, "", onLinksBothWays("b", "ac", Faults{HalfOpen: true}, at)},
		"a killed":          {shares.OwnerKilled, 1. / 3, 3, "", []Step{one(at, DoKill, "a"), one(back, DoStart, "a")}},
		"b killed":          {shares.OwnerKilled, 1. / 3, 3, "", []Step{one(at, DoKill, "b"), one(back, DoStart, "b")}},
		"c killed":          {shares.OwnerKilled, 1. / 3, 3, "", []Step{one(at, DoKill, "c"), one(back, DoStart, "c")}},
		"a paused":          {shares.OwnerPaused, 1. / 3, 3, "", []Step{one(at, DoStop, "a"), one(back, DoCont, "a")}},
		"b paused":          {shares.OwnerPaused, 1. / 3, 3, "", []Step{one(at, DoStop, "b"), one(back, DoCont, "b")}},
		"c joins":           {shares.MemberJoins, 1. / 3, 3, "c", []Step{one(at, DoStart, "c")}},
		"c leaves":          {shares.MemberDies, 1. / 3, 3, "", []Step{one(at, DoTerm, "c")}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := loadSchedule(7, c.senders, c.steps...)
			setup := s.Setup()
			setup.OperatorFile = fleetOperatorFile
			r := New(t, setup)
			r.Start(c.late)
			r.Play(s)
			r.UntilEnded()
			bound := shares.DefaultTiming().Bound(shares.Case{Event: c.event, LostFraction: c.apart})
			over := int(math.Ceil(shares.Burst(declaredRate) + bound.Excess*declaredRate))
			r.Check(WithinLimit(7, int(declaredRate), time.Second, over))
			t.Log("calls over the limit:", r.Record().OverLimit(7, int(declaredRate), time.Second), "allowed:", over, "delivered:", r.Record().Delivered())
			require.Greater(t, r.Record().Delivered(), 8, "too few deliveries: a fleet that makes no calls is within any limit")
		})
	}
}

func TestWithoutSharesTheSameScheduleBreaksTheLimit(t *testing.T) {
	t.Parallel()
	s := loadSchedule(7, 3)
	for i := range s.Steps {
		s.Steps[i].At = 0
	}
	r := New(t, s.Setup())
	r.Start()
	r.Play(s)
	r.UntilEnded()
	require.NotEmpty(t, WithinLimit(7, int(declaredRate), time.Second, int(shares.Burst(declaredRate)))(r.Record()))
}

const (
	settleTime     = 1500 * time.Millisecond // after which connected senders, and the faults of their links, are in a steady state
	hopTime        = 20 * time.Millisecond   // of one post, added to the link's delay: 2 ms to collect a batch, two connections, and the wait for a worker
	newsInterval   = 100 * time.Millisecond  // between posts that repeat new facts
	longRetryAfter = 2400 * time.Millisecond // a longer one is also announced as the destination being down, which by itself would stop the others' calls
	joinTime       = time.Second             // of a joining sender: a heartbeat of each side, then four posts a quarter of a second apart
)

// heedBound returns the time after which all senders heed a retry-after that one of them got. Facts are announced at once, so it is the
// post that is already under way plus the one after it, for each link on the path, plus the tolerance for a busy machine.
func heedBound(pathLinks int, delay, more time.Duration) time.Duration {
	return time.Duration(pathLinks)*2*(delay+hopTime) + more + clockSlack
}

// retryAfterSchedule returns the hand-ins of loadSchedule after settleTime, for a destination that allows two calls in five seconds and
// answers others with a retry-after. Until the bound has passed, all hand-ins go to sender a, so that only a gets a retry-after.
func retryAfterSchedule(bound time.Duration, steps ...Step) (Schedule, Setup) {
	s := loadSchedule(7, 3)
	for i := range s.Steps {
		if s.Steps[i].At *= 2; s.Steps[i].At < bound+400*time.Millisecond {
			s.Steps[i].Client = 0
		} else {
			s.Steps[i].Client = i % 3
		}
		s.Steps[i].Message.Dst = 8
		s.Steps[i].At += settleTime
	}
	conduct := Step{Do: DoConduct, Dst: 8, Conduct: &Conduct{Limit: 2, Window: 5 * time.Second, RetryAfter: longRetryAfter}}
	s.Steps = append(append(s.Steps, steps...), conduct)
	s.sort()
	setup := s.Setup()
	setup.Settings = strings.Replace(Settings, `"max_retry_after":2000`, `"max_retry_after":3000`, 1)
	return s, setup
}

// untilAllAlive waits until each running sender has logged that the other running ones are alive: facts that are announced before reach
// nobody.
func (r *Rig) untilAllAlive() {
	r.t.Helper()
	for _, s := range r.senders {
		for _, o := range r.senders {
			if s != o && s.Running() && o.Running() {
				r.Until(s.Name+" sees "+o.Name, func(Record) bool { return strings.HasPrefix(s.lastMemberState(o.Name), "alive") })
			}
		}
	}
}

// Guards against senders that call a destination although another sender of the fleet was told to wait, while any path of links works.
func TestAWaitToldToOneIsHeededByAll(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		late  string
		by    time.Duration
		steps []Step
	}{
		"calm":              {"", heedBound(1, 0, 0), nil},
		"slow links":        {"", heedBound(1, 150*time.Millisecond, 0), onAllLinks(3, Faults{Delay: 150 * time.Millisecond}, 0)},
		"loss":              {"", heedBound(2, 0, 2*newsInterval), onAllLinks(3, Faults{Loss: 0.1}, 0)},
		"doubles, disorder": {"", heedBound(1, 0, 0), onAllLinks(3, Faults{Duplication: 0.4, Reordering: 0.4, ReplayDelay: 300 * time.Millisecond}, 0)},
		"b killed":          {"", heedBound(1, 0, 0), []Step{{At: settleTime + 700*time.Millisecond, Do: DoKill, A: "b"}}},
		"one link cut":      {"", heedBound(2, 0, 0), onLinksFrom("a", "b", Faults{Cut: true}, 0)},
		"c joins":           {"c", heedBound(1, 0, joinTime), []Step{{At: settleTime + 100*time.Millisecond, Do: DoStart, A: "c"}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, setup := retryAfterSchedule(c.by, c.steps...)
			setup.OperatorFile = fleetOperatorFile
			r := New(t, setup)
			r.Start(c.late)
			r.untilAllAlive()
			r.Play(s)
			r.UntilEnded()
			r.Check(FleetCallsDuringRetryAfter(c.by))
		})
	}
}

func TestWithoutVerdictsOthersCallDuringTheRetryAfter(t *testing.T) {
	t.Parallel()
	by := heedBound(1, 0, 0)
	s, setup := retryAfterSchedule(by)
	r := New(t, setup)
	r.Start()
	r.Play(s)
	r.UntilEnded()
	rec := r.Record()
	rec.Stalls = nil // so that they excuse no call
	require.NotEmpty(t, FleetCallsDuringRetryAfter(by)(rec))
}
