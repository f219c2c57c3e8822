package channels

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// insist has a client hand one message after another in at a sender, for so long, with letters and legs going on.
func (w *world) insist(n *node, ch string, times int) {
	for range times {
		if v := w.handIn(n, ch, 0); v.Way == Busy {
			w.say("  its client waits")
		}
		w.settle()
		w.begin(n)
		w.over(n, true)
		w.settle()
		w.pass(400_000)
	}
}

// TestTranscripts compares whole exchanges with approved ones. A change is approved by
// go test ./internal/channels -run TestTranscripts -update
func TestTranscripts(t *testing.T) {
	for name, play := range map[string]func(w *world, a, b, c *node){
		"moves-to-another-sender": func(w *world, a, b, _ *node) {
			w.insist(a, "x", 3)
			w.say("the client's connection to a ends; it goes on at b")
			a.t.Gone("x")
			w.insist(b, "x", 3)
		},
		"owner-killed-between-two-positions": func(w *world, a, b, _ *node) {
			w.insist(a, "x", 2)
			w.handIn(a, "x", 0)
			w.begin(a)
			w.crash(a)
			w.insist(b, "x", 16)
			w.restart(a)
			w.insist(b, "x", 6)
		},
		"lease-lost-in-mid-burst": func(w *world, a, b, _ *node) {
			w.insist(a, "x", 2)
			for range 3 {
				w.handIn(a, "x", 0)
			}
			w.say("a is stopped")
			a.paused = true
			w.client["x"] = 3
			w.insist(b, "x", 16)
			w.say("a wakes, and asks before any letter or timer")
			w.begin(a)
			a.paused = false
			w.tick(a)
			w.insist(b, "x", 6)
		},
		"owner-cut-off": func(w *world, a, b, _ *node) {
			w.insist(a, "x", 2)
			w.say("a is cut off, both ways")
			w.isolate(0, true)
			w.handIn(a, "x", 0)
			w.begin(a)
			w.over(a, true)
			w.insist(b, "x", 14)
			w.say("the cut is over")
			w.isolate(0, false)
			w.insist(a, "x", 4)
			w.insist(b, "x", 4)
		},
		"gap-waited-for-and-given-up": func(w *world, a, _, _ *node) {
			w.insist(a, "x", 1)
			w.handIn(a, "x", 1)
			w.handIn(a, "x", 2)
			for range 4 {
				w.pass(400_000)
			}
			w.insist(a, "x", 3)
		},
		"two-clients-claim": func(w *world, a, b, c *node) {
			for range 3 {
				w.insist(a, "x", 1)
				w.insist(b, "x", 1)
				w.insist(c, "x", 1)
			}
		},
		"drain": func(w *world, a, b, _ *node) {
			w.insist(a, "x", 1)
			w.handIn(a, "x", 0)
			w.handIn(a, "x", 0)
			w.begin(a)
			w.say("a is told to end")
			w.do(a, a.t.Leave(w.now))
			w.pass(400_000)
			w.over(a, false)
			w.settle()
			w.pass(500_000)
			w.settle()
			w.client["x"] = 1
			w.insist(b, "x", 4)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(contract("x", nil))
			w.client["x"] = 1
			play(w, w.nodes[0], w.nodes[1], w.nodes[2])
			require.Empty(t, w.wrong)
			for _, n := range w.nodes {
				w.say("%s in the end: %+v", n.name, n.t.View())
			}
			text := strings.Join(w.story, "\n") + "\n"
			for i, way := range []string{"taken", "doubled", "busy", "barred"} {
				text = strings.ReplaceAll(text, fmt.Sprintf("{Way:%d ", i), "{"+way+" ")
			}
			goldie.New(t).Assert(t, name, []byte(text))
		})
	}
}
