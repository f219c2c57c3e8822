package purge

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ravenlink/internal/members"
	"ravenlink/internal/post"
)

// A world simulates three senders, their folders and the messages between them. Faults are injected at the interfaces of the machine.

type item struct {
	tenant    string
	acceptSeq int64
	step      int // step at which it was accepted
}

type folder struct {
	id, incarnation uint64
	seq             int64
	snapshot        Snapshot
	items           []item
	destroyed       bool
	restored        bool // an older copy of it was restored
}

func (f *folder) copy() *folder {
	n := *f
	n.items = slices.Clone(f.items)
	return &n
}

type node struct {
	name      string
	m         *Machine // nil while crashed
	f, old    *folder
	actions   []Action
	view      members.View
	positions map[string]FencePosition
}

type inFlight struct {
	from string
	post.PeerMessage[Msg]
}

type faults struct {
	reportsVerifiedEarly, forgetsDeadMembers, trustsOldCopies, movesFenceBack, skipsSave, skipsErasure,
	acceptsLaterFence, fencesAgainOnRaise, noticeIDPerSender bool
}

type world struct {
	nodes       []*node
	lost        []*folder
	network     []inFlight
	partitioned map[string]bool // names of partitioned senders
	now         int64
	step        int
	accepted    map[Key]int
	completed   map[Key]bool
	noticeIDs   map[Key]map[string]bool // ids of completion notices handed in
	used        map[string]bool
	boots       uint64
	violations  []string
	faults
}

var tenants = []string{"t", "u"}

func newWorld(f faults) *world {
	w := &world{faults: f, partitioned: map[string]bool{}, accepted: map[Key]int{}, completed: map[Key]bool{}, noticeIDs: map[Key]map[string]bool{},
		used: map[string]bool{}, now: 1}
	for i, name := range []string{"a", "b", "c"} {
		n := &node{name: name, f: &folder{id: uint64(10 + i)}}
		w.nodes = append(w.nodes, n)
		for _, t := range tenants {
			n.accept(t, 0)
		}
		n.old = n.f.copy()
		w.start(n)
	}
	for _, n := range w.nodes {
		w.refreshView(n)
		w.apply(n, n.m.Tick(w.now))
	}
	for len(w.network) > 0 {
		w.deliver(0)
	}
	w.step = 1
	return w
}

func (n *node) accept(tenant string, at int) {
	n.f.seq++
	n.f.items = append(n.f.items, item{tenant, n.f.seq, at})
}

func (w *world) start(n *node) {
	for n.f.incarnation++; w.used[fmt.Sprint(n.f.id, n.f.incarnation)]; n.f.incarnation++ { // the members module ensures that no incarnation is used twice
	}
	w.used[fmt.Sprint(n.f.id, n.f.incarnation)] = true
	n.actions, n.view, n.positions = nil, members.View{}, map[string]FencePosition{}
	w.boots++
	n.m = New(Identity{n.name, n.f.id, n.f.incarnation, w.boots << 20}, tenants, n.f.snapshot)
	w.apply(n, n.m.Start(w.now))
}

func (w *world) apply(n *node, o Effects) {
	if o.Save && !w.skipsSave {
		n.f.snapshot = n.m.Snapshot()
	}
	n.actions = append(n.actions, o.Actions...)
	for _, pm := range o.PeerMessages {
		if r := pm.Msg.Report; r != nil && (w.reportsVerifiedEarly || w.acceptsLaterFence && r.HigherFence.N > 0) {
			forged := *r
			forged.Phase, forged.HigherFence = Verified, Epoch{}
			pm.Msg.Report = &forged
		}
		older := slices.IndexFunc(w.network, func(o inFlight) bool { return o.from == n.name && o.To == pm.To && o.Slot == pm.Slot })
		if older >= 0 {
			w.network = slices.Delete(w.network, older, older+1)
		}
		w.network = append(w.network, inFlight{n.name, pm})
	}
	w.checkInvariants(n)
}

// checkInvariants checks the invariants after an event.
func (w *world) checkInvariants(n *node) {
	for k, l := range n.m.executions {
		if l.State == Complete && !w.completed[k] {
			w.completed[k] = true
			w.checkCompletion(n, k)
		}
	}
	for t, f := range n.m.fences {
		m := f.positions[kindIndex(Pending)]
		if old := n.positions[t]; m.Cutoff < old.Cutoff || m.Epoch.Less(old.Epoch) {
			w.violations = append(w.violations, "fence moved back")
		}
		n.positions[t] = m
	}
}

func (w *world) checkCompletion(by *node, k Key) {
	check := func(f *folder, of string) {
		if f.destroyed {
			return
		}
		for _, i := range f.items {
			if i.tenant == k.Tenant && i.step < w.accepted[k] {
				w.violations = append(w.violations, fmt.Sprintf("%s reported complete with data in folder %d of %s, %+v: %+v, %+v", k, f.id, of, *f, *by.m.executions[k], by.m.view))
			}
		}
	}
	for _, f := range w.lost {
		check(f, "nobody")
	}
	for _, n := range w.nodes {
		if m, _ := by.m.view.Member(n.name); n.f.restored && m.Incarnation != n.f.incarnation {
			continue // an older copy was restored and the coordinator has not heard of it yet
		}
		check(n.f, n.name)
	}
}

// currentView returns the view that a sender's membership should have by now.
func (w *world) currentView(by *node) members.View {
	v := members.View{Self: by.name, Epoch: by.view.Epoch}
	for _, n := range w.nodes {
		old, known := by.view.Member(n.name)
		m := members.Member{Name: n.name, State: members.Alive, Incarnation: n.f.incarnation, Folder: n.f.id, Since: old.Since}
		if n != by && (n.m == nil || w.partitioned[n.name] || w.partitioned[by.name]) {
			m = old
			m.Name, m.State = n.name, members.Dead
		}
		if !known || m != old {
			m.Since = w.now
		}
		v.Members = append(v.Members, m)
	}
	return v
}

func (w *world) viewOutdated(n *node) bool {
	return n.m != nil && !slices.Equal(w.currentView(n).Members, n.view.Members)
}

func (w *world) refreshView(n *node) {
	before := map[Key]*execution{}
	if w.trustsOldCopies {
		for k, l := range n.m.executions {
			c := *l
			c.Confirmations, c.peers = slices.Clone(l.Confirmations), maps.Clone(l.peers)
			before[k] = &c
		}
	}
	n.view = w.currentView(n)
	if w.forgetsDeadMembers {
		n.view.Members = slices.DeleteFunc(n.view.Members, func(m members.Member) bool { return m.State == members.Dead })
		for at := range n.m.roster.folders {
			if _, there := n.view.Member(at.name); !there {
				delete(n.m.roster.folders, at)
			}
		}
	}
	out := n.m.UpdateMembers(w.now, n.view)
	for k, l := range before {
		now := n.m.executions[k]
		now.Confirmations, now.peers = l.Confirmations, l.peers
		for i, confirmation := range now.Confirmations {
			if s := n.m.roster.folders[folderKey{confirmation.Name, uint64(confirmation.Folder)}]; s != nil {
				now.Confirmations[i].Incarnation = s.Incarnation
			}
		}
	}
	if w.trustsOldCopies {
		w.apply(n, n.m.handle(w.now, n.m.completeConfirmed))
	}
	w.apply(n, out)
}

func (w *world) order(n *node, o Order) error {
	out, err := n.m.Accept(w.now, o)
	if _, any := w.accepted[o.Key()]; !any && err == nil {
		w.accepted[o.Key()] = w.step
	}
	w.apply(n, out)
	return err
}

func (w *world) deliver(i int) {
	pm := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	to := w.node(pm.To)
	if to.m == nil || w.partitioned[pm.From()] || w.partitioned[pm.To] {
		return
	}
	raised := pm.Msg.Execution
	if w.fencesAgainOnRaise && raised != nil {
		if j := to.m.jobs[raised.Order.Key()]; j != nil && j.Epoch.Less(raised.Epoch) {
			delete(to.m.jobs, raised.Order.Key())
		}
	}
	w.apply(to, to.m.Receive(w.now, pm.from, pm.Msg))
	if w.movesFenceBack && len(to.m.fences) > 0 {
		for _, f := range to.m.fences {
			f.positions[kindIndex(Pending)].Cutoff--
		}
		w.checkInvariants(to)
	}
}

func (m inFlight) From() string { return m.from }

func (w *world) node(name string) *node { return w.nodes[int(name[0]-'a')] }

// runAction carries out the first waiting action.
func (w *world) runAction(n *node) {
	a := n.actions[0]
	n.actions = n.actions[1:]
	d := ActionResult{Kind: a.Kind, Key: a.Key, Round: a.Round}
	gone := func(i item) bool { return i.tenant == a.Key.Tenant && i.acceptSeq <= a.Cutoff }
	switch a.Kind {
	case Fence:
		d.Cutoff = n.f.seq
		if once := a.Key.String() + fmt.Sprint(n.f.id, n.f.incarnation); a.Key.ID != "" && w.used[once] {
			w.violations = append(w.violations, "fenced twice for one order")
		} else {
			w.used[once] = true
		}
	case Erase:
		if !w.skipsErasure {
			n.f.items = slices.DeleteFunc(n.f.items, gone)
		}
	case Verify:
		if slices.ContainsFunc(n.f.items, gone) && !w.skipsErasure {
			d.Remaining = 1
		}
	case Post:
		d.Notice = a.Notice.ID
		if o := n.m.outbox[a.Notice.ID]; o != nil && o.Kind == noticeComplete {
			if w.noticeIDs[a.Key] == nil {
				w.noticeIDs[a.Key] = map[string]bool{}
			}
			id := a.Notice.ID
			if w.noticeIDPerSender {
				id += n.name
			}
			if w.noticeIDs[a.Key][id] = true; len(w.noticeIDs[a.Key]) > 1 {
				w.violations = append(w.violations, "two completions")
			}
		}
	}
	w.apply(n, n.m.HandleResult(w.now, d))
}

func (w *world) crash(n *node) { n.m = nil }

// restart starts a sender again with its folder, with the copy made at the beginning, or with a new folder.
func (w *world) restart(n *node, with string) {
	switch with {
	case "copy":
		n.f = n.old.copy()
		n.f.restored = true
	case "none":
		w.lost = append(w.lost, n.f)
		n.f = &folder{id: n.f.id + 100}
		n.old = n.f.copy()
	}
	w.start(n)
}

func (w *world) declare(by *node) {
	for _, f := range w.lost {
		f.destroyed = true
		for _, n := range w.nodes {
			if f.id%10 == n.f.id%10 {
				w.apply(by, by.m.DeclareDestroyed(w.now, n.name, f.id, "operator"))
			}
		}
	}
}

// settle runs all senders without further faults and checks the final state.
func (w *world) settle() {
	clear(w.partitioned)
	for _, n := range w.nodes {
		if n.m == nil {
			w.restart(n, "same")
		}
	}
	for range 150 {
		w.now += resendInterval
		for _, n := range w.nodes {
			if w.viewOutdated(n) {
				w.refreshView(n)
			}
			w.apply(n, n.m.Tick(w.now))
			w.declare(n)
		}
		for budget := 400; len(w.network) > 0 && budget > 0; budget-- {
			w.deliver(0)
		}
		for _, n := range w.nodes {
			for len(n.actions) > 0 {
				w.runAction(n)
			}
		}
	}
	for k, step := range w.accepted {
		if w.orderLost(k) {
			continue
		}
		stopped := slices.ContainsFunc(w.nodes, func(n *node) bool { return n.m.executions[k] != nil && n.m.executions[k].State > Complete })
		ended := slices.ContainsFunc(w.nodes, func(n *node) bool { return n.m.executions[k] != nil && n.m.executions[k].State == Complete })
		for _, n := range w.nodes {
			l := n.m.executions[k]
			lost := l == nil && (stopped || ended && (n.f.restored || n.f.id >= 100)) // lost with its folder; the fences still reach it
			if !lost && (l == nil || l.State == Running) {
				w.violations = append(w.violations, fmt.Sprintf("%s never ends at %s: %s", k, n.name, w.describe(k)))
				continue
			}
			for _, i := range n.f.items {
				if ended && i.tenant == k.Tenant && i.step < step {
					w.violations = append(w.violations, fmt.Sprintf("%s left data at %s", k, n.name))
				}
			}
		}
	}
}

// orderLost reports whether no sender has the order because the only folder with it is lost.
func (w *world) orderLost(k Key) bool {
	for _, n := range w.nodes {
		if n.m.executions[k] != nil {
			return false
		}
	}
	return len(w.lost) > 0 || slices.ContainsFunc(w.nodes, func(n *node) bool { return n.f.restored })
}

func (w *world) describe(k Key) (text string) {
	for _, n := range w.nodes {
		l := n.m.executions[k]
		if l == nil {
			text += n.name + " does not know it; "
			continue
		}
		text += fmt.Sprintf("%s: coordinator %s term %d version %d %v", n.name, l.Coordinator, l.Term, l.Version, l.State)
		if l.Coordinator == n.name {
			text += fmt.Sprintf(" waits for %+v, roster %+v", n.m.missingSenders(l), n.m.roster.list())
		}
		if j := n.m.jobs[k]; j != nil {
			text += fmt.Sprintf(" job %+v actions %v; ", *j, n.actions)
		}
	}
	return text
}

// hash returns a hash that distinguishes states.
func (w *world) hash() uint64 {
	d := xxhash.New()
	for _, n := range w.nodes {
		_, _ = fmt.Fprintf(d, "%+v %+v %v", *n.f, n.view.Members, n.m != nil)
		for _, a := range n.actions {
			_, _ = fmt.Fprintf(d, "%d%v%d%d", a.Kind, a.Key, a.Cutoff, a.Round)
		}
		if n.m == nil {
			continue
		}
		_, _ = fmt.Fprintf(d, "%+v %v %v %v", n.m.Snapshot(), n.m.acked, n.m.peerDigests, n.m.fencesSentAt)
		for _, k := range sortedKeys(n.m.executions) {
			l := n.m.executions[k]
			for _, name := range slices.Sorted(maps.Keys(l.peers)) {
				_, _ = fmt.Fprintf(d, "%s%+v", name, *l.peers[name])
			}
			_, _ = fmt.Fprint(d, l.coordinatorHeardAt, l.waitNoticeAt, l.RequestID)
		}
		for _, k := range sortedKeys(n.m.jobs) {
			_, _ = fmt.Fprint(d, n.m.jobs[k].round, n.m.jobs[k].retryAt)
		}
	}
	for _, pm := range w.network {
		_, _ = fmt.Fprintf(d, "%s%s%s", pm.from, pm.To, pm.Slot)
		switch m := pm.Msg; {
		case m.Execution != nil:
			_, _ = fmt.Fprintf(d, "%+v", *m.Execution)
		case m.Report != nil:
			_, _ = fmt.Fprintf(d, "%+v", *m.Report)
		default:
			_, _ = fmt.Fprintf(d, "%+v", *m.Fences)
		}
	}
	_, _ = fmt.Fprint(d, w.partitioned, w.now, len(w.lost))
	return d.Sum64()
}
