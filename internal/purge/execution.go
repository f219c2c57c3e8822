package purge

import (
	"fmt"
	"slices"

	"ravenlink/internal/members"
)

// State is the state of an order. All changes go through finish.
type State uint8

// States of an order. Fences and erasures of an order that did not complete are not undone.
const (
	Running State = iota
	Complete
	Cancelled
	Superseded
)

func (s State) String() string {
	return [...]string{"running", "complete", "cancelled", "superseded"}[s]
}

// precedence ranks conflicting copies: completion is final, and an order ended by the customer stays so if a coordinator missed that.
func (s State) precedence() int { return [...]int{0, 2, 1, 1}[s] }

// stateTransitions lists the allowed changes. A partitioned coordinator's completion, known late, overrides any other end: the data is
// erased and the customer notified.
var stateTransitions = map[State][]State{Running: {Complete, Cancelled, Superseded}, Cancelled: {Complete}, Superseded: {Complete}}

// execution is an order with the local state of following or coordinating it.
type execution struct {
	Execution
	coordinatorHeardAt int64 // when the coordinator was last heard
	waitNoticeAt       int64 // when the next waiting notice is due
	peers              map[string]*peer
	lastRequestID      uint64
}

// peer is the coordinator's state for one member; there are as many as members.
type peer struct {
	requestID    uint64
	confirmed    bool // the recorded confirmation answers this request
	ackedVersion uint64
	sentAt       int64
	sent         bool
	status       string
}

func (l *execution) peer(name string) *peer {
	if l.peers == nil {
		l.peers = map[string]*peer{}
	}
	if l.peers[name] == nil {
		l.lastRequestID++
		l.peers[name] = &peer{requestID: l.lastRequestID}
	}
	return l.peers[name]
}

// resetPeer drops a member's confirmation and requests a new one: the member came back, perhaps with an older copy of its folder.
func (l *execution) resetPeer(name string, folder uint64) {
	delete(l.peers, name)
	if l.State == Running {
		l.removeConfirmation(name, folder)
	}
}

// removeConfirmation removes the confirmation of one folder.
func (l *execution) removeConfirmation(name string, folder uint64) {
	n := len(l.Confirmations)
	l.Confirmations = slices.DeleteFunc(l.Confirmations, func(w Confirmation) bool { return w.Name == name && uint64(w.Folder) == folder })
	if len(l.Confirmations) < n {
		l.Version++
	}
}

// Accept handles an order. If it returns no error, the client may be answered +OK once the effects are on disk.
func (p *Machine) Accept(now int64, o Order) (Effects, error) {
	var err error
	effects := p.handle(now, func() { err = p.accept(o) })
	return effects, err
}

func (p *Machine) accept(o Order) error {
	if err := o.validate(); err != nil {
		return err
	}
	if !p.tenants[o.Tenant] {
		return fmt.Errorf("%w: %q", ErrUnknownTenant, o.Tenant)
	}
	l := p.executions[o.Key()]
	switch {
	case o.Action == ActionCancel && (l == nil || l.State != Running):
		return fmt.Errorf("%w: %q", ErrNotRunning, o.ID)
	case o.Action == ActionCancel:
		p.finishHere(l, Cancelled, "cancelled by an order of the customer")
		return nil
	case l != nil && l.Order != o:
		return fmt.Errorf("%w: %q", ErrIDConflict, o.ID)
	case l != nil:
		p.repeatNotice(l)
		return nil
	case p.countRunning() >= maxRunning:
		return ErrTooManyOrders
	}
	l = &execution{Execution: Execution{Order: o, Epoch: p.nextEpoch(o), Coordinator: p.me.Name, Term: 1, Version: 1},
		coordinatorHeardAt: p.now, waitNoticeAt: p.now + waitNoticeInterval}
	l.lastRequestID = p.me.BootID
	p.executions[o.Key()] = l
	p.effects.Save = true
	p.notify(l, noticeAccepted, 0)
	if old := p.executions[Key{o.Tenant, o.Replaces}]; o.Replaces != "" && old != nil && old.State == Running {
		p.finishHere(old, Superseded, "superseded by "+o.ID)
	}
	p.join(&l.Execution)
	p.report(p.jobs[o.Key()])
	p.coordinate(l)
	return nil
}

// nextEpoch returns an epoch above all known ones of the tenant.
func (p *Machine) nextEpoch(o Order) Epoch {
	n := p.highestEpoch(o.Tenant, All).N
	for k, l := range p.executions {
		if k.Tenant == o.Tenant {
			n = max(n, l.Epoch.N)
		}
	}
	return Epoch{n + 1, p.me.instanceID()}
}

func (p *Machine) countRunning() (n int) {
	for _, l := range p.executions {
		if l.State == Running {
			n++
		}
	}
	return n
}

// finish ends an order. Its caller is the coordinator.
func (p *Machine) finish(l *execution, to State, cause string) {
	if !slices.Contains(stateTransitions[l.State], to) {
		p.logf("purge %s: %s does not become %s", l.Order.Key(), l.State, to)
		return
	}
	l.State, l.Cause = to, cause
	l.Version++
	p.recordEnd(l)
	if to == Complete {
		p.notify(l, noticeComplete, 0)
	} else {
		p.notify(l, noticeEnded, 0)
	}
	p.logf("purge %s: %s", l.Order.Key(), to)
}

// recordEnd records an order as ended and evicts the oldest ended ones over the limit.
func (p *Machine) recordEnd(l *execution) {
	p.effects.Save = true
	if k := l.Order.Key(); !slices.Contains(p.endedOrders, k) {
		p.endedOrders = append(p.endedOrders, k)
	}
	for len(p.endedOrders) > maxEnded && p.EvictEnded() {
	}
}

// EvictEnded forgets the order that ended first among those that need no more erasure here, and returns false if there is none. Its
// fence stays and its id can be used again. The runtime calls it while the snapshot exceeds its space.
func (p *Machine) EvictEnded() bool {
	for i, k := range p.endedOrders {
		if j := p.jobs[k]; j != nil && j.Phase < Verified {
			continue
		}
		delete(p.executions, k)
		delete(p.jobs, k)
		p.endedOrders = slices.Delete(p.endedOrders, i, i+1)
		return true
	}
	return false
}

// finishHere ends an order at this sender, and takes over its coordination first if another sender has it.
func (p *Machine) finishHere(l *execution, to State, cause string) {
	if l.Coordinator != p.me.Name {
		p.takeOver(l)
	}
	p.finish(l, to, cause)
}

// takeOver makes this sender the coordinator of an order. Every member is asked again; confirmations of unreachable ones stay valid.
func (p *Machine) takeOver(l *execution) {
	l.Term++
	l.Coordinator, l.Version, l.peers, l.coordinatorHeardAt = p.me.Name, 1, nil, p.now
	l.lastRequestID += p.me.BootID
	p.effects.Save = true
	p.logf("purge %s: coordinated here, term %d", l.Order.Key(), l.Term)
	if higher := p.join(&l.Execution); higher.N > 0 { // an older copy of the folder may have lost this sender's own job
		p.raiseEpoch(l, higher)
		p.join(&l.Execution)
	}
	p.report(p.jobs[l.Order.Key()])
}

// takesPrecedence reports whether a supersedes b. All senders reach the same result.
func takesPrecedence(a, b *Execution) bool {
	if a.State.precedence() != b.State.precedence() {
		return a.State.precedence() > b.State.precedence()
	}
	if a.State == Complete {
		return false
	}
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	if a.Coordinator != b.Coordinator {
		return a.Coordinator < b.Coordinator
	}
	return a.Version > b.Version
}

// receiveExecution handles an order's state from its coordinator, or from a peer with a later copy.
func (p *Machine) receiveExecution(from string, c *Execution) {
	if _, member := p.view.Member(from); !member || c.Order.validate() != nil || c.Order.Kinds() == 0 {
		return
	}
	k := c.Order.Key()
	l := p.executions[k]
	switch {
	case l == nil:
		if c.State == Running && p.countRunning() >= 4*maxRunning {
			p.logf("purge %s: not followed, too many are running", k)
			return
		}
		l = &execution{Execution: *c.clone(), waitNoticeAt: p.now + waitNoticeInterval}
		p.executions[k] = l
		p.afterAdopting(l)
	case takesPrecedence(c, &l.Execution):
		if l.Coordinator == p.me.Name && l.Order != c.Order {
			p.notifyConflict(l, c)
		}
		coordinated := l.Coordinator == p.me.Name && l.State == Running
		l.Execution, l.peers = *c.clone(), nil
		p.afterAdopting(l)
		if coordinated && l.State == Complete { // the order was handed in again at a sender that had forgotten it
			p.notify(l, noticeComplete, 0)
		}
	case takesPrecedence(&l.Execution, c):
		mine := l.clone()
		mine.RequestID = 0
		p.send(from, "case/"+k.String(), Msg{Execution: mine})
		return
	}
	l.coordinatorHeardAt = p.now
	if l.Coordinator == p.me.Name {
		return
	}
	p.follow(l, from, c)
}

func (p *Machine) afterAdopting(l *execution) {
	l.RequestID = 0
	p.effects.Save = true
	if l.Coordinator == p.me.Name && l.State == Running { // coordinated here before a restart with an older or a new folder
		p.takeOver(l)
	}
	if l.State != Running {
		p.recordEnd(l)
	}
}

// follow takes part in an order that another sender coordinates, and answers the coordinator.
func (p *Machine) follow(l *execution, from string, c *Execution) {
	k := l.Order.Key()
	higher := Epoch{}
	if l.State == Running || l.State == Complete {
		higher = p.join(&l.Execution)
	}
	j := p.jobs[k]
	if from != l.Coordinator && l.State != Complete {
		return
	}
	if c.RequestID != 0 {
		l.RequestID = c.RequestID
	}
	if j == nil || l.State == Complete {
		p.send(from, "report/"+k.String(), Msg{Report: &Report{Key: k, Term: c.Term, Version: c.Version, RequestID: l.RequestID, Folder: p.me.Folder,
			Incarnation: p.me.Incarnation, HigherFence: higher}})
	}
	if j == nil {
		return
	}
	if j.Phase == Verified && slices.ContainsFunc(l.Confirmations, func(w Confirmation) bool {
		return w.Name == p.me.Name && uint64(w.Folder) == p.me.Folder && w.Incarnation == p.me.Incarnation
	}) {
		p.setPhase(j, Recorded)
	}
	p.report(j)
}

// report sends the progress of this sender's job to the coordinator.
func (p *Machine) report(j *job) {
	if j == nil {
		return
	}
	l := p.executions[j.Key]
	if l == nil || l.State != Running {
		return
	}
	r := &Report{Key: j.Key, Term: l.Term, Version: l.Version, RequestID: l.RequestID, Folder: p.me.Folder, Incarnation: p.me.Incarnation,
		Phase: j.Phase, Fence: j.Cutoff, Counts: j.Counts, Cause: j.cause}
	if l.Coordinator == p.me.Name {
		r.RequestID = l.peer(p.me.Name).requestID
		p.applyReport(l, p.me.Name, r)
		return
	}
	if l.RequestID == 0 {
		return
	}
	if j.Phase >= Verified {
		r.KnownFolders = p.roster.list()
	}
	p.send(l.Coordinator, "report/"+j.Key.String(), Msg{Report: r})
}

func (p *Machine) receiveReport(from string, r *Report) {
	l := p.executions[r.Key]
	if l == nil || l.Coordinator != p.me.Name || r.Term != l.Term {
		return
	}
	m, member := p.view.Member(from)
	if !member || m.Folder != r.Folder || m.Incarnation != r.Incarnation {
		return
	}
	p.applyReport(l, from, r)
}

// applyReport applies a member's report at the coordinator.
func (p *Machine) applyReport(l *execution, from string, r *Report) {
	f := l.peer(from)
	if r.RequestID != f.requestID {
		return
	}
	f.ackedVersion, f.status = max(f.ackedVersion, r.Version), r.Phase.String()
	if r.Cause != "" {
		f.status += ": " + r.Cause
	}
	if l.State != Running {
		return
	}
	for _, s := range r.KnownFolders {
		if s.Name != p.me.Name || s.Folder != p.me.Folder {
			p.effects.Save = p.roster.merge(s) || p.effects.Save
		}
	}
	if r.HigherFence.N > 0 {
		p.raiseEpoch(l, r.HigherFence)
		return
	}
	if p.roster.full {
		return
	}
	p.applyConfirmation(l, f, from, r)
	p.completeConfirmed()
}

// applyConfirmation records a member's confirmation, or removes one that the member no longer stands by.
func (p *Machine) applyConfirmation(l *execution, f *peer, from string, r *Report) {
	if r.Phase < Verified {
		if f.confirmed {
			f.confirmed = false
			l.removeConfirmation(from, r.Folder)
			p.effects.Save = true
		}
		return
	}
	w := Confirmation{Name: from, Folder: Hex(r.Folder), Incarnation: r.Incarnation, Fence: r.Fence, Counts: r.Counts}
	i := slices.IndexFunc(l.Confirmations, func(o Confirmation) bool { return o.Name == from && uint64(o.Folder) == r.Folder })
	if f.confirmed && i >= 0 && l.Confirmations[i] == w {
		return
	}
	f.confirmed = true
	if i >= 0 {
		l.Confirmations[i] = w
	} else {
		l.Confirmations = append(l.Confirmations, w)
		sortConfirmations(l.Confirmations)
	}
	l.Version++
	p.effects.Save = true
	if j := p.jobs[l.Order.Key()]; from == p.me.Name && j != nil && j.Phase == Verified {
		p.setPhase(j, Recorded)
	}
}

// raiseEpoch raises an order's epoch above a fence that another order set first.
func (p *Machine) raiseEpoch(l *execution, over Epoch) {
	if over.Less(l.Epoch) {
		return // already raised
	}
	l.Epoch = Epoch{max(over.N, p.nextEpoch(l.Order).N-1) + 1, p.me.instanceID()}
	l.Version++
	p.effects.Save = true
	if j := p.jobs[l.Order.Key()]; j != nil {
		p.adoptEpoch(j, l.Epoch)
	}
}

// completeConfirmed completes the orders that every known folder has confirmed.
func (p *Machine) completeConfirmed() {
	for _, k := range sortedKeys(p.executions) {
		l := p.executions[k]
		if l.Coordinator == p.me.Name && l.State == Running && p.view.Self == p.me.Name && !p.roster.full && len(p.missingSenders(l)) == 0 {
			p.confirmDestroyed(l)
			p.finish(l, Complete, "")
		}
	}
}

// confirmDestroyed adds the operator's declarations to the confirmations that the certificate lists.
func (p *Machine) confirmDestroyed(l *execution) {
	for _, s := range p.roster.list() {
		if s.DestroyedBy != "" && p.missingReason(l, s, true) != "" {
			l.removeConfirmation(s.Name, s.Folder)
			l.Confirmations = append(l.Confirmations, Confirmation{Name: s.Name, Folder: Hex(s.Folder), Incarnation: s.Incarnation,
				DestroyedBy: s.DestroyedBy})
		}
	}
	sortConfirmations(l.Confirmations)
}

// missingSenders lists the folders whose confirmation an order waits for.
func (p *Machine) missingSenders(l *execution) (all []Missing) {
	for _, s := range p.roster.list() {
		if reason := p.missingReason(l, s, false); reason != "" {
			m, known := p.view.Member(s.Name)
			silentFor := int64(-1)
			if known {
				silentFor = max(0, p.now-m.Since)
			}
			all = append(all, Missing{s.Name, Hex(s.Folder), reason, silentFor})
		}
	}
	for _, m := range p.view.Members {
		if (m.State >= members.Dead || m.Folder == 0) && p.roster.known(m.Name) && p.roster.folders[folderKey{m.Name, 0}] == nil &&
			p.roster.allDestroyed(m.Name) {
			all = append(all, Missing{m.Name, 0, "its folder is declared destroyed, and of one begun since nothing is heard", max(0, p.now-m.Since)})
		}
	}
	return all
}

// missingReason returns why the confirmation of a folder is missing, or an empty string if it is there. A declaration by the operator
// replaces the confirmation unless ignoreOperator is set.
func (p *Machine) missingReason(l *execution, s KnownFolder, ignoreOperator bool) string {
	if s.DestroyedBy != "" && !ignoreOperator {
		return ""
	}
	m, known := p.view.Member(s.Name)
	silent := !known || m.State == members.Dead || m.State == members.Left
	current := known && m.Folder == s.Folder
	i := slices.IndexFunc(l.Confirmations, func(w Confirmation) bool {
		return w.Name == s.Name && uint64(w.Folder) == s.Folder && w.Incarnation == s.Incarnation
	})
	f := l.peers[s.Name]
	switch {
	case s.Folder == 0:
		return "never heard of"
	case current && !silent && (f == nil || !f.confirmed || i < 0):
		if f != nil && f.status != "" {
			return f.status
		}
		return "not answered yet"
	case i >= 0:
		return ""
	case current:
		return m.State.String()
	}
	return "an earlier folder, neither erased nor declared destroyed"
}

// coordinate takes the next steps of an order as time passes: it replaces a silent coordinator, and sends requests and notices.
func (p *Machine) coordinate(l *execution) {
	if l.Coordinator != p.me.Name {
		if l.State == Running && p.now-l.coordinatorHeardAt >= coordinatorTimeout*int64(1+p.takeoverRank(l.Coordinator)) {
			p.takeOver(l)
		} else {
			return
		}
	}
	for _, m := range p.view.Members {
		if m.Name != p.me.Name {
			p.sendExecution(l, m)
		}
	}
	if l.State == Running && p.now >= l.waitNoticeAt {
		l.waitNoticeAt = p.now + waitNoticeInterval
		l.WaitNotices++
		p.effects.Save = true
		p.notify(l, noticeWaiting, l.WaitNotices)
	}
}

// takeoverRank returns how many members take over before this sender: the live members with a lower name, without the silent
// coordinator.
func (p *Machine) takeoverRank(coordinator string) (n int) {
	for _, name := range p.view.Alive() {
		if name < p.me.Name && name != coordinator {
			n++
		}
	}
	return n
}

// sendExecution sends the state of an order to a member if the last copy is missing, outdated or due for repetition.
func (p *Machine) sendExecution(l *execution, m members.Member) {
	f := l.peer(m.Name)
	silent := m.State == members.Dead || m.State == members.Left
	interval := heartbeatInterval
	switch {
	case l.State != Running && f.ackedVersion >= l.Version:
		return
	case silent:
	case l.State == Running && !f.confirmed:
		interval = resendInterval
	case f.ackedVersion < l.Version:
		interval = updateInterval
	}
	if f.sent && p.now-f.sentAt < interval {
		return
	}
	f.sent, f.sentAt = true, p.now
	c := l.clone()
	c.RequestID = f.requestID
	p.send(m.Name, "case/"+l.Order.Key().String(), Msg{Execution: c})
}
