// Package channels implements ordering contracts. A channel is a tenant's named stream to one destination; its messages are sent in
// order of position, whichever sender accepts them. At most one sender owns a channel at a time, by a lease and a fencing token (fence)
// granted by a majority of the channel's voters. docs/contracts.md explains the design and the behaviour under each network partition.
package channels

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ravenlink/internal/post"
)

// Prefixes of row keys.
const (
	voterKey       = "s/"
	recordKey      = "o/"
	entryKey       = "e/"
	declarationKey = "d/"
	purgedKey      = "f/"
)

const (
	maxVoters           = 3                // tolerates one failure; five would cost two more peer messages each way for rarely used channels
	ceilingReserve      = 64               // positions reserved on the voters ahead of acceptance: one round of replication for every half of them
	maxTails            = 20               // final records of fenced owners that a voter keeps
	minRetry            = int64(100_000)   // µs; the shortest retry-after
	unknownChannelRetry = int64(1_000_000) // µs for which an unknown channel name is cached; also the retry-after where nothing is accepted
)

// Limits bounds the size of a Table.
type Limits struct {
	Channels int // known at once, counted separately as voter and as sender
	Held     int // messages held, over all channels
}

// Table is the state machine of one sender for all channels, as voter and as owner. It is not safe for concurrent use.
type Table struct {
	self               string
	incarnation        uint64
	senders            []string
	t                  Timing
	limits             Limits
	voterStates        map[string]*voterState  // entries are removed by expireVoterState
	channels           map[string]*channel     // entries are removed when idle and without messages
	declarations       map[string]*declaration // entries are removed once all voters replied or most rejected
	purged             map[uint64]int64        // by a contract's Instance: messages about it are refused until this time, then the entry is removed
	due                alarms
	held               int
	selfMsgs           []Msg // peer messages from this sender to itself
	effects            Effects
	disabled           bool
	draining           bool
	malformed          int    // malformed or unexpected peer messages
	invalidTransitions int    // phase changes that transitions does not allow; always 0
	lastRejection      string // the last declaration that voters rejected, and the reason
}

// declaration is a contract that is being sent to its voters.
type declaration struct {
	Contract        Contract `cbor:"1,keyasint"`
	acked, rejected map[string]bool
	resendAt        int64
}

// purged marks a purged channel. It contains nothing that the tenant named.
type purged struct {
	Instance uint64 `cbor:"1,keyasint"`
	Until    int64  `cbor:"2,keyasint"`
}

// New returns an empty table. The incarnation grows with each start on the same state directory; senders are all senders in the
// operator's file, including self.
func New(self string, incarnation uint64, senders []string, timing Timing, limits Limits) *Table {
	return &Table{self: self, incarnation: incarnation, senders: slices.Sorted(slices.Values(senders)), t: timing, limits: limits,
		voterStates: map[string]*voterState{}, channels: map[string]*channel{}, declarations: map[string]*declaration{}, purged: map[uint64]int64{}}
}

// Voters returns the senders whose majority decides who owns a channel, in the order in which they are asked: the three with
// the highest rendezvous hash, or a single one if fewer than three are listed.
func Voters(listed []string, channel string) []string {
	n := maxVoters
	if len(listed) < n {
		n = 1
	}
	ranked := slices.Clone(listed)
	hash := func(name string) uint64 { return xxhash.Sum64String(name + "\x00" + channel) }
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Or(cmp.Compare(hash(b), hash(a)), cmp.Compare(a, b)) })
	return ranked[:n]
}

// Declare accepts a contract: a new one, a change or a withdrawal. A nil error means that the effects store and send it; voters may
// still reject it, which Count reports.
func (t *Table) Declare(now int64, k Contract) (Effects, error) {
	if err := k.Validate(); err != nil {
		return Effects{}, err
	}
	newestContract := t.newestContract(k.Channel)
	if err := k.follows(newestContract); err != nil {
		return Effects{}, err
	}
	if newestContract != nil && newestContract.Version == k.Version {
		return Effects{}, nil
	}
	if len(t.declarations) >= t.limits.Channels {
		return Effects{}, fmt.Errorf("%d declarations are already waiting for their voters", len(t.declarations))
	}
	k.Voters, k.Instance = Voters(t.senders, k.Channel), xxhash.Sum64String(fmt.Sprint(t.self, t.incarnation, now, k.Channel))|1
	if newestContract != nil && newestContract.Voters != nil {
		k.Voters, k.Instance = newestContract.Voters, newestContract.Instance
	}
	o := &declaration{Contract: k, acked: map[string]bool{}, rejected: map[string]bool{}}
	t.declarations[k.Channel] = o
	t.putRow(declarationKey+k.Channel, o)
	t.sendDeclaration(now, o)
	return t.flush(now), nil
}

// newestContract returns the newest version of a contract that this sender knows.
func (t *Table) newestContract(channel string) *Contract {
	var k *Contract
	newer := func(o *Contract) {
		if o != nil && (k == nil || o.Version > k.Version) {
			k = o
		}
	}
	if o := t.declarations[channel]; o != nil {
		newer(&o.Contract)
	}
	if s := t.voterStates[channel]; s != nil {
		newer(s.Contract)
		newer(s.Next)
	}
	if c := t.channels[channel]; c != nil {
		newer(c.contract)
		newer(c.next)
	}
	return k
}

func (t *Table) sendDeclaration(now int64, o *declaration) {
	o.resendAt = now + t.t.Lease
	for _, v := range o.Contract.Voters {
		if !o.acked[v] && !o.rejected[v] {
			k := o.Contract
			t.send(v, Msg{Kind: Declare, Channel: k.Channel, Contract: &k})
		}
	}
	t.wakeAt(o.resendAt, o.Contract.Channel, false)
}

// handleDeclareReply records a voter's reply. A declaration is sent again until all voters replied or most rejected it.
func (t *Table) handleDeclareReply(from string, m Msg) {
	o := t.declarations[m.Channel]
	if o == nil || o.Contract.Version != m.Fence || !slices.Contains(o.Contract.Voters, from) {
		return
	}
	if m.Kind == DeclareAck {
		o.acked[from] = true
	} else {
		o.rejected[from] = true
		t.lastRejection = fmt.Sprintf("%s version %d: %s", m.Channel, m.Fence, m.Cause)
	}
	if n := len(o.Contract.Voters); len(o.acked)+len(o.rejected) == n || len(o.rejected) > n/2 {
		delete(t.declarations, m.Channel)
		t.deleteRow(declarationKey + m.Channel)
	}
}

// Receive handles a peer message.
func (t *Table) Receive(now int64, from string, m Msg) Effects {
	if t.disabled || !ValidName(m.Channel) || !slices.Contains(t.senders, from) {
		t.malformed++
		return Effects{}
	}
	if !m.valid() {
		t.malformed++
		return Effects{}
	}
	if m.Contract != nil && t.isPurged(now, m.Contract.Instance) {
		if m.Kind == Replicate {
			t.send(from, Msg{Kind: Deny, Channel: m.Channel, SentAt: m.SentAt, Incarnation: m.Incarnation, Fence: m.Fence, NoRecord: true})
		}
		return t.flush(now)
	}
	t.dispatch(now, from, m)
	return t.flush(now)
}

// isPurged reports whether a peer message concerns a channel instance that this sender has purged, so that it predates the purge.
func (t *Table) isPurged(now int64, instance uint64) bool {
	until, found := t.purged[instance]
	if found && now >= until {
		delete(t.purged, instance)
		t.deleteRow(purgedRow(instance))
		return false
	}
	return found
}

func purgedRow(instance uint64) string { return fmt.Sprintf("%s%x", purgedKey, instance) }

func (t *Table) dispatch(now int64, from string, m Msg) {
	switch m.Kind {
	case RequestVote:
		t.handleRequestVote(now, from, m)
	case Replicate:
		t.handleReplicate(now, from, m)
	case Abandon:
		t.handleAbandon(now, from, m)
	case Declare:
		t.handleDeclare(now, from, m)
	case Tail:
		t.handleTail(now, from, m)
	case DeclareAck, DeclareReject:
		t.handleDeclareReply(from, m)
	case Grant, Deny, ReplicateAck, RequestHandover, TailAck:
		if c := t.channels[m.Channel]; c != nil {
			t.step(now, c)
			t.handleAsSender(now, c, from, m)
			t.step(now, c)
		}
	default:
		t.malformed++
	}
}

// Tick runs what is due. Its cost grows with what is due, not with the size of the table.
func (t *Table) Tick(now int64) Effects {
	if t.disabled {
		return Effects{}
	}
	for len(t.due) > 0 && t.due[0].at <= now {
		a := heap.Pop(&t.due).(alarm)
		if a.voter {
			t.expireVoterState(now, a.name)
			continue
		}
		if o := t.declarations[a.name]; o != nil && now >= o.resendAt {
			t.sendDeclaration(now, o)
		}
		if c := t.channels[a.name]; c != nil && c.alarmAt == a.at {
			c.alarmAt = 0
			t.step(now, c)
		}
	}
	return t.flush(now)
}

// Next returns when Tick is next due, 0 for never.
func (t *Table) Next() int64 {
	if len(t.due) == 0 {
		return 0
	}
	return t.due[0].at
}

// Disable stops all channels here until a restart, as rows could not be written: it answers BUSY, starts no legs and grants no votes.
func (t *Table) Disable() { t.disabled = true }

// flush delivers messages to itself, then returns the accumulated effects.
func (t *Table) flush(now int64) Effects {
	t.deliverToSelf(now)
	e := t.effects
	t.effects = Effects{}
	return e
}

func (t *Table) deliverToSelf(now int64) {
	for len(t.selfMsgs) > 0 {
		m := t.selfMsgs[0]
		t.selfMsgs = t.selfMsgs[1:]
		t.dispatch(now, t.self, m)
	}
	t.selfMsgs = nil
}

func (t *Table) send(to string, m Msg) {
	if to == t.self {
		t.selfMsgs = append(t.selfMsgs, m)
		return
	}
	t.effects.PeerMessages = append(t.effects.PeerMessages, post.PeerMessage[Msg]{To: to, Slot: fmt.Sprintf("%s/%d", m.Channel, m.Kind), Msg: m})
}

func (t *Table) putRow(key string, v any) {
	b, err := cbor.Marshal(v)
	if err != nil { // none of the row types fails to encode
		t.malformed++
		return
	}
	t.effects.Rows = append(t.effects.Rows, Row{key, b})
}

func (t *Table) deleteRow(key string) { t.effects.Rows = append(t.effects.Rows, Row{Key: key}) }

// alarm is when a channel or a voter's state of it needs attention.
type alarm struct {
	at    int64
	name  string
	voter bool
}

type alarms []alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *alarms) Push(x any) { *a = append(*a, x.(alarm)) }

// Pop implements heap.Interface.
func (a *alarms) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (t *Table) wakeAt(at int64, name string, voter bool) { heap.Push(&t.due, alarm{at, name, voter}) }

// Restored is a message that was held before a restart.
type Restored struct {
	ID, Channel string
	Pos         int64
}

// Restore rebuilds the state from the rows of an earlier incarnation. Began reports whether a message, by id, had a leg that may have
// run. The returned messages are held again: they wait until this sender owns their channel, or are aborted.
func (t *Table) Restore(now int64, rows []Row, began func(id string) bool) (held []Restored, err error) {
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	for _, r := range rows {
		if err := t.restore(now, r, began, &held); err != nil {
			return nil, fmt.Errorf("channel row %q: %w", r.Key, err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.channels)) {
		t.removeOrSetAlarm(now, t.channels[name])
	}
	return held, nil
}

func (t *Table) restore(now int64, r Row, began func(string) bool, held *[]Restored) error {
	if len(r.Key) < 3 {
		return fmt.Errorf("unknown row key")
	}
	name := r.Key[2:]
	switch r.Key[:2] {
	case voterKey:
		s := &voterState{}
		if err := cbor.Unmarshal(r.Value, s); err != nil {
			return err
		}
		if s.Contract == nil {
			return fmt.Errorf("no contract")
		}
		if s.Owner != "" {
			s.until = now + t.t.promiseTime()
		}
		s.touched, s.scheduled = now, true
		t.voterStates[name] = s
		t.wakeAt(now+t.t.Forget, name, true)
	case declarationKey:
		o := &declaration{acked: map[string]bool{}, rejected: map[string]bool{}}
		if err := cbor.Unmarshal(r.Value, o); err != nil {
			return err
		}
		t.declarations[name] = o
		t.wakeAt(now, name, false)
	case purgedKey:
		g := purged{}
		if err := cbor.Unmarshal(r.Value, &g); err != nil {
			return err
		}
		t.purged[g.Instance] = g.Until
	case recordKey:
		c := t.restoredChannel(name)
		if err := cbor.Unmarshal(r.Value, &c.record); err != nil {
			return err
		}
		c.fence, c.maxFence = c.record.Fence, c.record.Fence
	case entryKey:
		e := &entry{}
		if err := cbor.Unmarshal(r.Value, e); err != nil {
			return err
		}
		e.mayHaveRun = began(e.ID)
		c := t.restoredChannel(e.Channel)
		c.insert(e)
		t.held++
		*held = append(*held, Restored{e.ID, e.Channel, e.Pos})
	default:
		return fmt.Errorf("unknown row key")
	}
	return nil
}

// restoredChannel finds or creates a channel during Restore. It starts as Lapsed, because its ownership is unknown.
func (t *Table) restoredChannel(name string) *channel {
	c := t.channels[name]
	if c == nil {
		c = &channel{name: name, phase: Lapsed, restored: true, voters: Voters(t.senders, name)}
		t.channels[name] = c
	}
	return c
}
