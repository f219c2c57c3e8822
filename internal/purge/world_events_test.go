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
	return Order{Act: ActPurge, Tenant: tenant, Scope: "all", ID: id, Tell: Tell{9, "keyed"}}
}

type event struct {
	name string
	run  func(w *world)
}

// events lists all that can happen next. Crashes, cuts, ticks and new data are few on one path.
func (w *world) events(spent map[string]int) (es []event) {
	add := func(name string, run func(w *world)) { es = append(es, event{name, run}) }
	once := func(kind string, most int, name string, run func(w *world)) {
		if spent[kind] < most {
			add(name, func(w *world) { spent[kind]++; run(w) })
		}
	}
	for i, l := range w.net {
		add("hear "+l.from+l.To+l.Slot, func(w *world) { w.hear(i) })
	}
	for i, n := range w.nodes {
		if n.m == nil {
			for _, with := range []string{"same", "copy", "none"} {
				add("restart "+with, func(w *world) { w.restart(w.nodes[i], with) })
			}
			continue
		}
		if len(n.acts) > 0 {
			add("act "+n.name, func(w *world) { w.do(w.nodes[i]) })
		}
		if w.blind(n) {
			add("look "+n.name, func(w *world) { w.look(w.nodes[i]) })
		}
		if len(w.lost) > 0 {
			once("declare", 1, "declare "+n.name, func(w *world) { w.declare(w.nodes[i]) })
		}
		once("crash", 1, "crash "+n.name, func(w *world) { w.crash(w.nodes[i]) })
		once("cut", 1, "cut "+n.name, func(w *world) { w.apart[w.nodes[i].name] = true })
		if w.apart[n.name] {
			add("heal "+n.name, func(w *world) { delete(w.apart, w.nodes[i].name) })
		}
		once("tick", 1, "tick "+n.name, func(w *world) { w.now += repeatEvery; w.apply(w.nodes[i], w.nodes[i].m.Tick(w.now)) })
		once("late", 1, "late "+n.name, func(w *world) { w.now += 3 * leadPatience; w.apply(w.nodes[i], w.nodes[i].m.Tick(w.now)) })
	}
	return es
}

// roots are the plays from which every order of events is tried: two orders just handed in at two senders, and one that waits for its
// last word.
var roots = [][]string{
	{"order a t", "order b u"},
	{"order a t", "order b u", "finish a", "hear abcase/t/1", "finish b", "hear bareport/t/1", "hear accase/t/1", "take c t", "second b t",
		"act c", "act c"},
}

// replay runs a path from a root, given by numbers of events.
func replay(t *testing.T, root []string, path []int, f faults) (*world, []event) {
	w, spent := newWorld(f), map[string]int{}
	for _, line := range root {
		w.line(t, line)
	}
	for _, i := range path {
		w.step++
		w.events(spent)[i].run(w)
	}
	return w, w.events(spent)
}

// Every order of events at three senders and two tenants, to a depth, one crash and one cut included.
func TestEveryOrderOfEvents(t *testing.T) {
	depth := 3
	if more, err := strconv.Atoi(os.Getenv("PURGE_DEPTH")); err == nil {
		depth = more
	}
	for i, root := range roots {
		everyOrder(t, root, depth-i) // from further on there is more that can happen
	}
}

func everyOrder(t *testing.T, root []string, depth int) {
	seen, paths := map[uint64]bool{}, [][]int{nil}
	for d := range depth {
		var further [][]int
		for _, path := range paths {
			_, es := replay(t, root, path, faults{})
			for i := range es {
				way := append(path[:len(path):len(path)], i)
				w, _ := replay(t, root, way, faults{})
				if p := w.print(); seen[p] {
					continue
				} else {
					seen[p] = true
				}
				require.Empty(t, w.broken, "%v", way)
				further = append(further, way)
			}
		}
		paths = further
		t.Logf("depth %d: %d states", d+1, len(seen))
	}
	for i, path := range paths {
		if i%max(1, len(paths)/50) == 0 { // and from an even share of them all comes to its end
			w, _ := replay(t, root, path, faults{})
			w.settle()
			require.Empty(t, w.broken, "%v", path)
		}
	}
}

// drawn plays a long path, with orders and new data at any time, many crashes and cuts.
func drawn(t *rapid.T, f faults) *world {
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
				es = append(es, event{"take " + n.name + tenant, func(w *world) { w.nodes[i].take(tenant, w.step) }})
				if orders < 6 {
					es = append(es, event{"order " + n.name + tenant, func(w *world) {
						orders++
						o := purgeOrder(tenant, fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "id")))
						switch rapid.IntRange(0, 9).Draw(t, "kind") {
						case 0:
							o = Order{Act: ActCancel, Tenant: o.Tenant, ID: o.ID}
						case 1:
							o.Replaces = "1"
						case 2:
							o.Tell.Dst = 10 // other content under the same id
						}
						_ = w.order(w.nodes[i], o)
					}})
				}
			}
		}
		for i := range w.net { // doubled
			es = append(es, event{"double " + w.net[i].from + w.net[i].To + w.net[i].Slot, func(w *world) {
				l := w.net[i]
				w.hear(i)
				w.net = append(w.net, l)
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

func TestDrawnFaultsEndWell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { assert.Empty(t, drawn(t, faults{}).broken) })
}
