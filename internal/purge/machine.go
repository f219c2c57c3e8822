package purge

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"ravenlink/internal/members"
	"ravenlink/internal/post"
)

// Limits and intervals. Times are in µs.
const (
	resendInterval     = int64(1_000_000)      // between repetitions of an unanswered message: messages are small, and a purge takes minutes
	updateInterval     = int64(5_000_000)      // between copies of a changed order: at 300 senders one is 20 KB
	heartbeatInterval  = int64(10_000_000)     // longest silence of a working coordinator
	coordinatorTimeout = 4 * heartbeatInterval // silence after which the next sender takes over
	retryInterval      = int64(5_000_000)      // after an error such as a full disk
	waitNoticeInterval = int64(300_000_000)    // between notices to the customer that list the missing senders
	startTimeout       = int64(1_000_000)      // how long a start waits for the peers' fences; it serves after that even if fully partitioned

	maxRunning = 64  // running orders
	maxEnded   = 256 // ended orders whose ids are remembered; the oldest is evicted
	maxFolders = 700 // roster entries that fit one message; beyond them nothing completes until the operator declares folders destroyed
)

// Errors that callers distinguish.
var (
	ErrUnknownTenant = errors.New("no such tenant")
	ErrIDConflict    = errors.New("this id is in use for another order")
	ErrTooManyOrders = fmt.Errorf("%d orders are running", maxRunning)
	ErrNotRunning    = errors.New("no running order of this id")
)

// Action is work for the runtime, which reports its result with HandleResult and the same Key, Kind and Round.
type Action struct {
	Kind   ActionKind
	Key    Key
	Round  uint64
	Kinds  Kinds
	Cutoff int64 // data accepted up to here is affected; for Recall, Erase and Verify
	Notice *Notice
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	Fence  ActionKind = iota // reject data older than now from now on, and return the cutoff
	Recall                   // end pending messages up to the cutoff, and report once none of them has a leg in flight
	Erase                    // durably erase everything up to the cutoff
	Verify                   // read the files back
	Post                     // hand in a notice to the customer
)

// ActionResult is the result of an action.
type ActionResult struct {
	Kind      ActionKind
	Key       Key
	Round     uint64
	Cutoff    int64  // for Fence
	Counts    Counts // for Recall and Erase
	Remaining int64  // for Verify: places that still hold data
	Failure   string // empty on success
	Notice    string // for Post: the notice's id
}

// Effects is the outcome of an event. If Save is set, the snapshot must be on disk before any of the other effects is carried out.
type Effects struct {
	Save         bool
	Actions      []Action
	PeerMessages []post.PeerMessage[Msg]
	LogLines     []string
}

// Identity identifies the sender that a machine runs on. BootID is random per start, because a sender that starts from an older copy
// of its folder counts its incarnations from a lower number again.
type Identity struct {
	Name        string
	Folder      uint64
	Incarnation uint64
	BootID      uint64
}

// instanceID identifies one start: on a new folder or an older copy, the sender does not know which epochs it issued before.
func (m Identity) instanceID() string { return fmt.Sprintf("%s/%x", m.Name, m.BootID) }

// Machine is the state machine of one sender. It takes part in all orders and coordinates some of them.
type Machine struct {
	me        Identity
	tenants   map[string]bool
	now       int64
	startedAt int64
	view      members.View

	fences       map[string]*fence  // one per tenant
	jobs         map[Key]*job       // one per order, and one per tenant for fences without an order
	executions   map[Key]*execution // at most 4*maxRunning running ones; ended ones beyond maxEnded go once erased here
	endedOrders  []Key              // ended orders, oldest first
	roster       roster
	outbox       map[string]*outboxEntry // notices to customers until they are handed in; up to three per order
	acked        map[string]uint64       // digest of the local fences that each member acknowledged; one per member
	peerDigests  map[string]uint64       // digest of each member's fences
	fencesSentAt map[string]int64        // when the fences were last sent to each member
	round        uint64
	effects      Effects
}

// Snapshot is the state that survives a restart.
type Snapshot struct {
	Fences     []FenceSnapshot `cbor:"1,keyasint,omitempty"`
	Jobs       []JobSnapshot   `cbor:"2,keyasint,omitempty"`
	Executions []Execution     `cbor:"3,keyasint,omitempty"`
	Ended      []Key           `cbor:"4,keyasint,omitempty"`
	Roster     []KnownFolder   `cbor:"5,keyasint,omitempty"`
	RosterFull bool            `cbor:"6,keyasint,omitempty"`
	Outbox     []PendingNotice `cbor:"7,keyasint,omitempty"`
}

// New restores a machine from a snapshot. Start must be called first.
func New(me Identity, tenants []string, m Snapshot) *Machine {
	p := &Machine{me: me, tenants: map[string]bool{}, fences: map[string]*fence{}, jobs: map[Key]*job{}, executions: map[Key]*execution{},
		outbox: map[string]*outboxEntry{}, acked: map[string]uint64{}, peerDigests: map[string]uint64{}, fencesSentAt: map[string]int64{},
		roster: roster{folders: map[folderKey]*KnownFolder{}}, endedOrders: slices.Clone(m.Ended)}
	for _, t := range tenants {
		p.tenants[t] = true
	}
	for _, f := range m.Fences {
		p.fences[f.Tenant] = &fence{f.Positions}
	}
	for _, j := range m.Jobs {
		p.jobs[j.Key] = &job{JobSnapshot: j}
	}
	for _, c := range m.Executions {
		p.executions[c.Order.Key()] = &execution{Execution: *c.clone()}
	}
	for _, s := range m.Roster {
		p.roster.folders[folderKey{s.Name, s.Folder}] = &s
	}
	for _, o := range m.Outbox {
		p.outbox[o.Notice.ID] = &outboxEntry{PendingNotice: o}
	}
	p.roster.full = m.RosterFull
	return p
}

// Snapshot returns the state to persist, in a deterministic order.
func (p *Machine) Snapshot() Snapshot {
	m := Snapshot{Ended: slices.Clone(p.endedOrders), RosterFull: p.roster.full, Roster: p.roster.list()}
	for _, t := range slices.Sorted(maps.Keys(p.fences)) {
		m.Fences = append(m.Fences, FenceSnapshot{t, p.fences[t].positions})
	}
	for _, k := range sortedKeys(p.jobs) {
		m.Jobs = append(m.Jobs, p.jobs[k].JobSnapshot)
	}
	for _, k := range sortedKeys(p.executions) {
		m.Executions = append(m.Executions, *p.executions[k].clone())
	}
	for _, id := range slices.Sorted(maps.Keys(p.outbox)) {
		m.Outbox = append(m.Outbox, p.outbox[id].PendingNotice)
	}
	return m
}

func sortedKeys[V any](m map[Key]V) []Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b Key) int { return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.ID, b.ID)) })
}

// Start resumes the work of the previous process. Fences stay in force; unfinished jobs start again at their fence.
func (p *Machine) Start(now int64) Effects {
	return p.handle(now, func() {
		p.startedAt = now
		p.roster.observe(KnownFolder{Name: p.me.Name, Folder: p.me.Folder, Incarnation: p.me.Incarnation})
		p.effects.Save = true
		for _, k := range sortedKeys(p.executions) {
			l := p.executions[k]
			l.coordinatorHeardAt, l.waitNoticeAt, l.RequestID = now, now+waitNoticeInterval, 0
			if l.Coordinator == p.me.Name && l.State == Running {
				p.takeOver(l) // a new term: replies to the previous process no longer count
			}
		}
		for _, k := range sortedKeys(p.jobs) {
			p.resume(p.jobs[k])
		}
		p.handInNotices()
	})
}

// handle runs one event handler and returns its effects.
func (p *Machine) handle(now int64, event func()) Effects {
	p.now = max(p.now, now)
	p.effects = Effects{}
	event()
	return p.effects
}

// Tick advances time: it repeats unanswered messages, retries failed actions and replaces silent coordinators.
func (p *Machine) Tick(now int64) Effects {
	return p.handle(now, func() {
		for _, k := range sortedKeys(p.jobs) {
			p.retryIfDue(p.jobs[k])
		}
		for _, k := range sortedKeys(p.executions) {
			p.coordinate(p.executions[k])
		}
		p.announceFences()
		p.handInNotices()
	})
}

// UpdateMembers applies a new view of the membership.
func (p *Machine) UpdateMembers(now int64, v members.View) Effects {
	return p.handle(now, func() {
		old := p.view
		p.view = v
		p.roster.full = p.roster.full && len(p.roster.folders) >= maxFolders
		for _, m := range old.Members {
			if _, still := v.Member(m.Name); !still {
				p.forgetFences(m.Name)
			}
		}
		for _, m := range v.Members {
			if m.Name == p.me.Name {
				p.updateSelf(m)
				continue
			}
			before, known := old.Member(m.Name)
			back := known && before.State >= members.Dead && m.State < members.Dead
			if changed := p.roster.observe(KnownFolder{Name: m.Name, Folder: m.Folder, Incarnation: m.Incarnation}); changed || back {
				p.memberReturned(m)
			}
		}
		p.completeConfirmed()
	})
}

// updateSelf applies the fleet's record of this sender: after an older copy of its folder was restored, it continues from the highest
// known incarnation.
func (p *Machine) updateSelf(m members.Member) {
	if m.Incarnation <= p.me.Incarnation {
		return
	}
	p.me.Incarnation = m.Incarnation
	p.roster.observe(KnownFolder{Name: p.me.Name, Folder: p.me.Folder, Incarnation: m.Incarnation})
	p.effects.Save = true
	for _, k := range sortedKeys(p.executions) {
		if l := p.executions[k]; l.Coordinator == p.me.Name {
			l.resetPeer(p.me.Name, p.me.Folder)
			p.report(p.jobs[k])
		}
	}
}

// memberReturned discards what is known from a member that restarted or was silent: it may have come back with an older copy of its
// folder.
func (p *Machine) memberReturned(m members.Member) {
	p.effects.Save = true
	p.forgetFences(m.Name)
	for _, k := range sortedKeys(p.executions) {
		p.executions[k].resetPeer(m.Name, m.Folder)
	}
}

// forgetFences discards what a member has reported about fences.
func (p *Machine) forgetFences(name string) {
	delete(p.acked, name)
	delete(p.peerDigests, name)
	delete(p.fencesSentAt, name)
}

// DeclareDestroyed records an operator's declaration that a folder is destroyed; folder 0 stands for one that was never seen.
func (p *Machine) DeclareDestroyed(now int64, name string, folder uint64, by string) Effects {
	return p.handle(now, func() {
		if name != p.me.Name && p.roster.markDestroyed(name, folder, by) {
			p.effects.Save = true
			p.completeConfirmed()
		}
	})
}

// Receive handles a message from a peer.
func (p *Machine) Receive(now int64, from string, m Msg) Effects {
	return p.handle(now, func() {
		switch {
		case from == p.me.Name:
		case m.Execution != nil:
			p.receiveExecution(from, m.Execution)
		case m.Report != nil:
			p.receiveReport(from, m.Report)
		case m.Fences != nil:
			p.receiveFences(from, m.Fences)
		}
	})
}

func (p *Machine) send(to, slot string, m Msg) {
	if to != p.me.Name {
		p.effects.PeerMessages = append(p.effects.PeerMessages, post.PeerMessage[Msg]{To: to, Slot: slot, Msg: m})
	}
}

func (p *Machine) logf(format string, args ...any) {
	p.effects.LogLines = append(p.effects.LogLines, fmt.Sprintf(format, args...))
}
