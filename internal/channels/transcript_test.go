package channels

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// handInRepeatedly hands in the next message at a sender a number of times, delivering peer messages and ending legs in between.
func (w *world) handInRepeatedly(n *node, ch string, times int) {
	for range times {
		if v := w.handIn(n, ch, 0); v.Outcome == Busy {
			w.logf("  its client waits")
		}
		w.settle()
		w.startLegs(n)
		w.endLegs(n, true)
		w.settle()
		w.advance(400_000)
	}
}

// TestTranscripts compares whole exchanges with the approved golden files. To approve a change, run
// go test ./internal/channels -run TestTranscripts -update
func TestTranscripts(t *testing.T) {
	for name, play := range map[string]func(w *world, a, b, c *node){
		"moves-to-another-sender": func(w *world, a, b, _ *node) {
			w.handInRepeatedly(a, "x", 3)
			w.logf("the client's connection to a ends; it continues at b")
			a.t.ConnectionClosed("x")
			w.handInRepeatedly(b, "x", 3)
		},
		"owner-killed-between-two-positions": func(w *world, a, b, _ *node) {
			w.handInRepeatedly(a, "x", 2)
			w.handIn(a, "x", 0)
			w.startLegs(a)
			w.crash(a)
			w.handInRepeatedly(b, "x", 16)
			w.restart(a)
			w.handInRepeatedly(b, "x", 6)
		},
		"lease-lost-in-mid-burst": func(w *world, a, b, _ *node) {
			w.handInRepeatedly(a, "x", 2)
			for range 3 {
				w.handIn(a, "x", 0)
			}
			w.logf("a is paused")
			a.paused = true
			w.client["x"] = 3
			w.handInRepeatedly(b, "x", 16)
			w.logf("a resumes, and calls MayBegin before any peer message or timer")
			w.startLegs(a)
			a.paused = false
			w.tick(a)
			w.handInRepeatedly(b, "x", 6)
		},
		"owner-cut-off": func(w *world, a, b, _ *node) {
			w.handInRepeatedly(a, "x", 2)
			w.logf("a is partitioned off, both ways")
			w.isolate(0, true)
			w.handIn(a, "x", 0)
			w.startLegs(a)
			w.endLegs(a, true)
			w.handInRepeatedly(b, "x", 14)
			w.logf("the partition ends")
			w.isolate(0, false)
			w.handInRepeatedly(a, "x", 4)
			w.handInRepeatedly(b, "x", 4)
		},
		"gap-waited-for-and-given-up": func(w *world, a, _, _ *node) {
			w.handInRepeatedly(a, "x", 1)
			w.handIn(a, "x", 1)
			w.handIn(a, "x", 2)
			for range 4 {
				w.advance(400_000)
			}
			w.handInRepeatedly(a, "x", 3)
		},
		"two-clients-claim": func(w *world, a, b, c *node) {
			for range 3 {
				w.handInRepeatedly(a, "x", 1)
				w.handInRepeatedly(b, "x", 1)
				w.handInRepeatedly(c, "x", 1)
			}
		},
		"drain": func(w *world, a, b, _ *node) {
			w.handInRepeatedly(a, "x", 1)
			w.handIn(a, "x", 0)
			w.handIn(a, "x", 0)
			w.startLegs(a)
			w.logf("a is told to exit")
			w.apply(a, a.t.ReleaseAll(w.now))
			w.advance(400_000)
			w.endLegs(a, false)
			w.settle()
			w.advance(500_000)
			w.settle()
			w.client["x"] = 1
			w.handInRepeatedly(b, "x", 4)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(contract("x", nil))
			w.client["x"] = 1
			play(w, w.nodes[0], w.nodes[1], w.nodes[2])
			require.Empty(t, w.failure)
			for _, n := range w.nodes {
				w.logf("%s at the end: %+v", n.name, n.t.View())
			}
			text := strings.Join(w.trace, "\n") + "\n"
			for i, way := range []string{"accepted", "duplicate", "busy", "rejected"} {
				text = strings.ReplaceAll(text, fmt.Sprintf("{Outcome:%d ", i), "{"+way+" ")
			}
			goldie.New(t).Assert(t, name, []byte(text))
		})
	}
}
