package purge

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Injected faults. A fault that random runs rarely expose has a script that does; without the fault the same script ends correctly.
var injected = []struct {
	name string
	faults
	script []string
}{
	{"completes before verification", faults{reportsVerifiedEarly: true}, nil},
	{"forgets dead members", faults{forgetsDeadMembers: true}, nil},
	{"fence moves back", faults{movesFenceBack: true}, nil},
	{"acts before the snapshot is on disk", faults{skipsSave: true}, nil},
	{"skips erasure and verification", faults{skipsErasure: true}, nil},
	{"trusts an older copy of a folder", faults{trustsOldCopies: true}, []string{
		"order a t", "finish a", "deliver abcase/t/1", "finish b",
		"deliver bareport/t/1", "crash b", "refresh a", "restart copy", "refresh a", "deliver accase/t/1", "finish c", "deliver careport/t/1"}},
	{"a later order's fence counts for an earlier order", faults{acceptsLaterFence: true}, []string{
		"order b t", "deliver bccase/t/1", "finish c", "accept c t",
		"second a t", "finish a", "deliver abcase/t/2", "finish b", "deliver bareport/t/2", "deliver accase/t/2", "deliver careport/t/2"}},
	{"fences again when the epoch is raised", faults{fencesAgainOnRaise: true}, []string{
		"second b t", "finish b", "order a t", "finish a", "deliver accase/t/1",
		"finish c", "accept c t", "deliver abcase/t/1", "deliver bareport/t/1", "tick a", "deliver accase/t/1", "finish c"}},
	{"notice id per sender instead of per order", faults{noticeIDPerSender: true}, []string{
		"order a t", "finish a", "deliver abcase/t/1", "deliver accase/t/1", "finish b",
		"finish c", "timeout a", "deliver abcase/t/1", "deliver accase/t/1", "deliver bareport/t/1", "deliver careport/t/1", "finish a", "partition a", "timeout b",
		"timeout b", "refresh b", "refresh c", "tick b", "deliver bccase/t/1", "deliver cbreport/t/1", "finish b"}},
}

// runScript runs a script. Each line is an event by its name, an order, accepted data, or all waiting actions of a sender.
func runScript(t *testing.T, lines []string, f faults) *world {
	w := newWorld(f)
	for _, line := range lines {
		w.runLine(t, line)
	}
	w.settle()
	return w
}

func (w *world) runLine(t *testing.T, line string) {
	w.step++
	fields := strings.Fields(line + " -")
	switch n := w.node(fields[1]); fields[0] {
	case "order":
		require.NoError(t, w.order(n, purgeOrder(fields[2], "1")))
	case "second":
		require.NoError(t, w.order(n, purgeOrder(fields[2], "2")))
	case "cancel":
		require.NoError(t, w.order(n, Order{Action: ActionCancel, Tenant: fields[2], ID: "1"}))
	case "accept":
		n.accept(fields[2], w.step)
	case "finish":
		for len(n.actions) > 0 {
			w.runAction(n)
		}
	default:
		for _, e := range w.events(map[string]int{}) {
			if e.name == line {
				e.run(w)
				return
			}
		}
		t.Fatalf("%q cannot happen: %v", line, w.network)
	}
}

func TestInjectedFaultsAreDetected(t *testing.T) {
	for _, p := range injected {
		t.Run(p.name, func(t *testing.T) {
			if p.script != nil {
				assert.Empty(t, runScript(t, p.script, faults{}).violations)
				assert.NotEmpty(t, runScript(t, p.script, p.faults).violations)
				return
			}
			g := rapid.Custom(func(t *rapid.T) []string { return randomRun(t, p.faults).violations })
			for seed := range 500 {
				if len(g.Example(seed)) > 0 {
					return
				}
			}
			t.Error("fault not detected")
		})
	}
}
