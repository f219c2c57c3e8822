package purge

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The faults that are planted, each with a play that shows it where what is drawn rarely does. The same play without the fault ends well.
var planted = []struct {
	name string
	faults
	play []string
}{
	{"completes on told", faults{told: true}, nil},
	{"forgets a member that is gone", faults{forgets: true}, nil},
	{"fence moves back", faults{back: true}, nil},
	{"acts before the memo is on disk", faults{unsaved: true}, nil},
	{"erases nothing and reads nothing", faults{keeps: true}, nil},
	{"believes an older copy of a folder", faults{believes: true}, []string{"order a t", "finish a", "hear abcase/t/1", "finish b",
		"hear bareport/t/1", "crash b", "look a", "restart copy", "look a", "hear accase/t/1", "finish c", "hear careport/t/1"}},
	{"a later order's fence covers an earlier one's", faults{covers: true}, []string{"order b t", "hear bccase/t/1", "finish c", "take c t",
		"second a t", "finish a", "hear abcase/t/2", "finish b", "hear bareport/t/2", "hear accase/t/2", "hear careport/t/2"}},
	{"a raised order fences anew", faults{raises: true}, []string{"second b t", "finish b", "order a t", "finish a", "hear accase/t/1",
		"finish c", "take c t", "hear abcase/t/1", "hear bareport/t/1", "tick a", "hear accase/t/1", "finish c"}},
	{"an id a sender, not an order", faults{anyID: true}, []string{"order a t", "finish a", "hear abcase/t/1", "hear accase/t/1", "finish b",
		"finish c", "late a", "hear abcase/t/1", "hear accase/t/1", "hear bareport/t/1", "hear careport/t/1", "finish a", "cut a", "late b",
		"late b", "look b", "look c", "tick b", "hear bccase/t/1", "hear cbreport/t/1", "finish b"}},
}

// play runs a play: each line is an event by its name, an order, data taken on, or all acts of a sender.
func play(t *testing.T, lines []string, f faults) *world {
	w := newWorld(f)
	for _, line := range lines {
		w.line(t, line)
	}
	w.settle()
	return w
}

func (w *world) line(t *testing.T, line string) {
	w.step++
	word := strings.Fields(line + " -")
	switch n := w.node(word[1]); word[0] {
	case "order":
		require.NoError(t, w.order(n, purgeOrder(word[2], "1")))
	case "second":
		require.NoError(t, w.order(n, purgeOrder(word[2], "2")))
	case "cancel":
		require.NoError(t, w.order(n, Order{Act: ActCancel, Tenant: word[2], ID: "1"}))
	case "take":
		n.take(word[2], w.step)
	case "finish":
		for len(n.acts) > 0 {
			w.do(n)
		}
	default:
		for _, e := range w.events(map[string]int{}) {
			if e.name == line {
				e.run(w)
				return
			}
		}
		t.Fatalf("%q cannot happen: %v", line, w.net)
	}
}

func TestPlantedFaultsAreFound(t *testing.T) {
	for _, p := range planted {
		t.Run(p.name, func(t *testing.T) {
			if p.play != nil {
				assert.Empty(t, play(t, p.play, faults{}).broken)
				assert.NotEmpty(t, play(t, p.play, p.faults).broken)
				return
			}
			g := rapid.Custom(func(t *rapid.T) []string { return drawn(t, p.faults).broken })
			for seed := range 500 {
				if len(g.Example(seed)) > 0 {
					return
				}
			}
			t.Error("not found")
		})
	}
}
