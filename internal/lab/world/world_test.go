package world

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/lab/loop"
	"ravenlink/internal/lab/policy"
	"ravenlink/internal/lab/rules"
	"ravenlink/internal/lab/scenario"
)

const smallScenario = `version = 1
name = "small"
length = "40s"
[team]
senders = 2
[traffic]
rate = 30.0
load = 0.8
[[lane]]
name = "order"
[[kind]]
name = "plant"
destinations = 4
endpoints = [2, 2]
limit = { counting = "rate", headroom = 1.5, tells_wait = 1.0 }
`

func newScenario(t testing.TB, more string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Decode("test", []byte(smallScenario+more))
	require.NoError(t, err)
	return &s
}

func run(t testing.TB, s *scenario.Scenario, seed uint64, name string) *Result {
	t.Helper()
	r, err := Run(s, seed, name, nil)
	require.NoError(t, err)
	return r
}

// totalEnded returns how many messages have ended, in any way.
func totalEnded(r *Result) (n int) {
	for _, k := range r.Ends {
		n += k
	}
	return n
}

func TestTheSameSeedGivesTheSameBytesOnAnyNumberOfCores(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.toml")
	require.NoError(t, err)
	for _, f := range files {
		s, err := scenario.Read(f)
		require.NoError(t, err)
		s.Length = min(s.Length, 6e6)
		if s.Fleet.Senders > 100 || len(s.Kinds) > 0 && s.Kinds[0].Destinations > 100 {
			continue // too large for a test; the experiments run them
		}
		for i := range s.Faults {
			s.Faults[i].At /= 15
		}
		print := func() [32]byte {
			var b bytes.Buffer
			trace := NewTrace(&b)
			r, err := Run(&s, 7, policy.ModuleName, trace)
			require.NoError(t, err)
			require.NoError(t, trace.Close())
			require.NoError(t, json.NewEncoder(&b).Encode(r))
			assert.Equal(t, r.Asked, totalEnded(r), f)
			return sha256.Sum256(b.Bytes())
		}
		first := print()
		was := runtime.GOMAXPROCS(1)
		second := print()
		runtime.GOMAXPROCS(was)
		assert.Equal(t, first, second, f)
	}
}

// violators maps each rule to a policy that violates it, and to faults or classes that provoke the violation.
var violators = map[rules.Rule]struct{ policy, settings string }{
	rules.Answer: {"broken-answer", "[[trouble]]\nkind = \"silent\"\nat = \"5s\"\nfor = \"30s\"\ndestination = [1]\n"},
	rules.Effect: {"broken-effect", "[[lane]]\nname = \"pay\"\nrepeat = \"non-retriable\"\n[[trouble]]\nkind = \"lost\"\nat = \"5s\"\nfor = \"20s\"\nsize = 0.5\n"},
	rules.Drain:  {"broken-drain", "[[trouble]]\nkind = \"drain\"\nat = \"5s\"\nfor = \"20s\"\nreceiver = 1\n"},
	rules.Return: {"broken-return", "[[trouble]]\nkind = \"refuse\"\nat = \"5s\"\nfor = \"15s\"\ndestination = [1, 2]\n"},
	rules.Order:  {"broken-order", "[[lane]]\nname = \"log\"\nin_order = true\nkeys = 5\n"},
	rules.Wait:   {"broken-wait", "[[trouble]]\nkind = \"shut\"\nat = \"5s\"\nfor = \"15s\"\ndestination = [1, 2]\n"},
}

func TestEachRuleDetectsItsViolatorAndPassesOthers(t *testing.T) {
	for rule, b := range violators {
		s := newScenario(t, b.settings)
		if rule == rules.Return {
			s.Traffic.Load = 1.5 // builds up a backlog that overloads the recovering receivers
		}
		bad := run(t, s, 1, b.policy)
		assert.Positive(t, bad.Rules[rule], "%s on %s", b.policy, rule)
		if assert.NotEmpty(t, bad.Violations) {
			assert.NotEmpty(t, bad.Violations[0].What)
		}
		good := run(t, s, 1, policy.ModuleName)
		assert.Zero(t, good.Broken, "%s: %v", rule, good.Violations)
		if rule != rules.Return { // baseline policies do not limit calls to cold receivers
			assert.Zero(t, run(t, s, 1, "backoff").Rules[rule], rule)
		}
	}
}

func TestRunsWithoutTrafficAndWithOverloadEnd(t *testing.T) {
	none := newScenario(t, "")
	none.Traffic.Load = 0
	r := run(t, none, 1, policy.ModuleName)
	assert.Zero(t, r.Asked)
	assert.Equal(t, 1.0, r.Service)
	assert.Zero(t, r.DeliveryTimes.Count)

	flood := newScenario(t, "")
	flood.Traffic.Load = 25
	r = run(t, flood, 1, policy.ModuleName)
	assert.Equal(t, r.Asked, totalEnded(r))
	assert.Zero(t, r.Broken, r.Violations)
	assert.Positive(t, r.Rejections)
	assert.Less(t, r.Service, .15)
}

func TestAReceiverReplacedAtItsAddressWhileCallsAreOut(t *testing.T) {
	s := newScenario(t, "[[trouble]]\nkind = \"replace\"\nat = \"10s\"\n[[trouble]]\nkind = \"stale\"\nat = \"5s\"\nfor = \"15s\"\nsenders = 1.0\n")
	r := run(t, s, 3, policy.ModuleName)
	assert.Positive(t, r.Outcomes["reset"], "calls to the old receiver are reset")
	assert.Greater(t, r.Service, .85, "senders that know only the old id reach the new process")
	assert.Zero(t, r.Broken, r.Violations)
}

func TestADrainDuringAnOutage(t *testing.T) {
	s := newScenario(t, "[[trouble]]\nkind = \"silent\"\nat = \"5s\"\nfor = \"15s\"\ndestination = [1]\n"+
		"[[trouble]]\nkind = \"drain\"\nat = \"10s\"\nfor = \"5s\"\ndestination = [1]\n")
	for seed := range uint64(3) {
		r := run(t, s, seed, policy.ModuleName)
		assert.Zero(t, r.Broken, r.Violations)
		assert.Equal(t, r.Asked, totalEnded(r))
	}
}

func TestSenderCrashesLoseNoRetriableMessage(t *testing.T) {
	s := newScenario(t, "[[trouble]]\nkind = \"kill\"\nat = \"10s\"\nsenders = 1.0\n[[trouble]]\nkind = \"roll\"\nat = \"20s\"\nfor = \"10s\"\nsenders = 1.0\n")
	r := run(t, s, 1, policy.ModuleName)
	assert.Zero(t, r.Ends["lost"])
	assert.Equal(t, r.Asked, totalEnded(r))
	assert.Positive(t, r.Orphaned)
	assert.Zero(t, r.Broken, r.Violations)
	assert.Greater(t, r.Service, .9)
}

func TestPartitionAffectsOnlyItsLinks(t *testing.T) {
	s := newScenario(t, "[[trouble]]\nkind = \"cut\"\nat = \"10s\"\nfor = \"15s\"\nsenders = 0.5\ndestination = [1]\n")
	var b bytes.Buffer
	trace := NewTrace(&b)
	_, err := Run(s, 1, policy.ModuleName, trace)
	require.NoError(t, err)
	require.NoError(t, trace.Close())
	bad := map[int]bool{}
	for d := json.NewDecoder(&b); d.More(); {
		var e event
		require.NoError(t, d.Decode(&e))
		if e.Outcome == "timed out" || e.Outcome == "not connected" {
			assert.EqualValues(t, 1, e.Dst)
			bad[e.Sender] = true
		}
	}
	assert.Len(t, bad, 1)
}

func TestNotesAreDeliveredOnceOrLost(t *testing.T) {
	for _, loss := range []string{"0.0", "1.0"} {
		s := newScenario(t, "[[trouble]]\nkind = \"refuse\"\nat = \"5s\"\nfor = \"10s\"\ndestination = [1]\n")
		require.NoError(t, s.Set("network.note_loss", loss))
		w := newWorld(s, 1, policy.Module, nil)
		w.Run(w.end + 60*second)
		assert.Positive(t, w.tally.Notes)
		assert.Empty(t, w.notes.texts)
	}
}

func TestClockDriftAffectsOnlyItsSender(t *testing.T) {
	s := newScenario(t, "[[trouble]]\nkind = \"clock\"\nat = \"5s\"\nfor = \"30s\"\nsize = 0.0005\nsenders = 0.5\n")
	r := run(t, s, 1, policy.ModuleName)
	assert.Zero(t, r.Broken, "a drift of 0.5 ms per second is within the tolerance of the rules: %v", r.Violations)
	w := newWorld(s, 1, policy.Module, nil)
	w.Run(loop.Origin + 36*second)
	offs := []int64{w.senders[0].now() - w.Now(), w.senders[1].now() - w.Now()}
	assert.Contains(t, offs, int64(0))
	assert.Contains(t, offs, int64(15_000))
}

func TestUpperBoundServesAtLeastAsMuchAsAnyPolicy(t *testing.T) {
	s := newScenario(t, "[[trouble]]\nkind = \"errors\"\nat = \"10s\"\nfor = \"10s\"\nsize = 0.9\ndestination = [1, 2]\n")
	bound := run(t, s, 1, policy.BoundName)
	assert.Zero(t, bound.Broken, bound.Violations)
	for _, p := range []string{policy.ModuleName, "none", "backoff/two", "budget/least", "throttle/robin"} {
		assert.LessOrEqual(t, run(t, s, 1, p).Service, bound.Service+.005, p)
	}
}

func BenchmarkDay(b *testing.B) {
	for _, p := range []string{policy.ModuleName, "backoff"} {
		b.Run(p, func(b *testing.B) {
			s := newScenario(b, "")
			events := uint64(0)
			for b.Loop() {
				events += run(b, s, 1, p).Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
