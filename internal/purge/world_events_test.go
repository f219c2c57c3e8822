package purge

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func purgeOrder(tenant, id string) Order {
	return Order{Action: ActionPurge, Tenant: tenant, Scope: "all", ID: id, NotifyTarget: NotifyTarget{9, "keyed"}}
}

type event struct {
	name string
	run  func(w *world)
}

// events lists everything that can happen next. Crashes, partitions, ticks and new data are limited per path.
func (w *world) events(spent map[string]int) (es []event) {
	add := func(name string, run func(w *world)) { es = append(es, event{name, run}) }
	once := func(kind string, most int, name string, run func(w *world)) {
		if spent[kind] < most {
			add(name, func(w *world) { spent[kind]++; run(w) })
		}
	}
	for i, pm := range w.network {
		add("deliver "+pm.from+pm.To+pm.Slot, func(w *world) { w.deliver(i) })
	}
	for i, n := range w.nodes {
		if n.m == nil {
			for _, with := range []string{"same", "copy", "none"} {
				add("restart "+with, func(w *world) { w.restart(w.nodes[i], with) })
			}
			continue
		}
		if len(n.actions) > 0 {
			add("run "+n.name, func(w *world) { w.runAction(w.nodes[i]) })
		}
		if w.viewOutdated(n) {
			add("refresh "+n.name, func(w *world) { w.refreshView(w.nodes[i]) })
		}
		if len(w.lost) > 0 {
			once("declare", 1, "declare "+n.name, func(w *world) { w.declare(w.nodes[i]) })
		}
		once("crash", 1, "crash "+n.name, func(w *world) { w.crash(w.nodes[i]) })
		once("partition", 1, "partition "+n.name, func(w *world) { w.partitioned[w.nodes[i].name] = true })
		if w.partitioned[n.name] {
			add("heal "+n.name, func(w *world) { delete(w.partitioned, w.nodes[i].name) })
		}
		once("tick", 1, "tick "+n.name, func(w *world) { w.now += resendInterval; w.apply(w.nodes[i], w.nodes[i].m.Tick(w.now)) })
		once("timeout", 1, "timeout "+n.name, func(w *world) { w.now += 3 * coordinatorTimeout; w.apply(w.nodes[i], w.nodes[i].m.Tick(w.now)) })
	}
	return es
}

// rootScripts are the scripts from whose end all event interleavings are explored: two orders just handed in at two senders, and one that waits
// for its last confirmation.
var rootScripts = [][]string{
	{"order a t", "order b u"},
	{"order a t", "order b u", "finish a", "deliver abcase/t/1", "finish b", "deliver bareport/t/1", "deliver accase/t/1", "accept c t", "second b t",
		"run c", "run c"},
}

// replay runs a path, given as indexes of events, after the script root.
func replay(t *testing.T, root []string, path []int, f faults) (*world, []event) {
	w, spent := newWorld(f), map[string]int{}
	for _, line := range root {
		w.runLine(t, line)
	}
	for _, i := range path {
		w.step++
		w.events(spent)[i].run(w)
	}
	return w, w.events(spent)
}

// Explores all interleavings of events at three senders and two tenants up to a depth, including one crash and one partition.
func TestEveryOrderOfEvents(t *testing.T) {
	depth := 3
	if more, err := strconv.Atoi(os.Getenv("PURGE_DEPTH")); err == nil {
		depth = more
	}
	for i, root := range rootScripts {
		explore(t, root, depth-i) // the second root has more events to choose from
	}
}

func explore(t *testing.T, root []string, depth int) {
	seen, paths := map[uint64]bool{}, [][]int{nil}
	for d := range depth {
		var next [][]int
		for _, path := range paths {
			_, es := replay(t, root, path, faults{})
			for i := range es {
				extended := append(path[:len(path):len(path)], i)
				w, _ := replay(t, root, extended, faults{})
				if p := w.hash(); seen[p] {
					continue
				} else {
					seen[p] = true
				}
				require.Empty(t, w.violations, "%v", extended)
				next = append(next, extended)
			}
		}
		paths = next
		t.Logf("depth %d: %d states", d+1, len(seen))
	}
	for i, path := range paths {
		if i%max(1, len(paths)/50) == 0 { // run an even sample of the last states to completion
			w, _ := replay(t, root, path, faults{})
			w.settle()
			require.Empty(t, w.violations, "%v", path)
		}
	}
}

// randomRun runs a long random path with orders and new data at any time, and many crashes and partitions.
func randomRun(t *rapid.T, f faults) *world {
	w := newWorld(f)
	orders := 0
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		w.step++
		spent := map[string]int{}
		es := w.events(spent)
		for i, n := range w.nodes {
			if n.m == nil {
				continue
			}
			for _, tenant := range tenants {
				es = append(es, event{"accept " + n.name + tenant, func(w *world) { w.nodes[i].accept(tenant, w.step) }})
				if orders < 6 {
					es = append(es, event{"order " + n.name + tenant, func(w *world) {
						orders++
						o := purgeOrder(tenant, fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "id")))
						switch rapid.IntRange(0, 9).Draw(t, "kind") {
						case 0:
							o = Order{Action: ActionCancel, Tenant: o.Tenant, ID: o.ID}
						case 1:
							o.Replaces = "1"
						case 2:
							o.NotifyTarget.Dst = 10 // same id, different content
						}
						_ = w.order(w.nodes[i], o)
					}})
				}
			}
		}
		for i := range w.network { // duplicate a message
			es = append(es, event{"duplicate " + w.network[i].from + w.network[i].To + w.network[i].Slot, func(w *world) {
				pm := w.network[i]
				w.deliver(i)
				w.network = append(w.network, pm)
			}})
		}
		e := es[rapid.IntRange(0, len(es)-1).Draw(t, "event")]
		t.Logf("%d %s", w.step, e.name)
		e.run(w)
	}
	w.step++
	w.settle()
	return w
}

func TestRandomFaultsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { assert.Empty(t, randomRun(t, faults{}).violations) })
}
