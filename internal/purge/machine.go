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

// The bounds, and why. Times in µs.
const (
	repeatEvery  = int64(1_000_000)   // of what is not answered: a letter is small, a purge takes minutes
	copyEvery    = int64(5_000_000)   // between copies of a changed case: at 300 senders one is 20 KB
	beatEvery    = int64(10_000_000)  // a coordinator is heard at least so often
	leadPatience = 4 * beatEvery      // without a word of it the next one takes over
	retryEvery   = int64(5_000_000)   // after a fault such as a full disk
	waitEvery    = int64(300_000_000) // between messages to the customer that say who is missing
	startFor     = int64(1_000_000)   // a start waits so long for the others' fences; with all links cut it serves all the same

	mostOpen    = 64  // orders running
	mostEnded   = 256 // remembered for their ids; the one that ended first gives way
	mostFolders = 700 // in the roster; a further one stops completions until an operator's word makes room; as many fit one letter
)

// The faults that callers tell apart.
var (
	ErrTenant = errors.New("no such tenant")
	ErrOther  = errors.New("this id is in use for another order")
	ErrMany   = fmt.Errorf("%d orders are running", mostOpen)
	ErrUnder  = errors.New("no running order of this id")
)

// Act is something that the runtime is to do. It reports back with Did and the same Key, Kind and Round.
type Act struct {
	Kind   ActKind
	Key    Key
	Round  uint64
	Kinds  Kinds
	Cut    int64 // what was taken on up to here; of Recall, Erase and Verify
	Notice *Notice
}

// ActKind tells acts apart.
type ActKind uint8

// The acts.
const (
	Fence  ActKind = iota // refuse from now on what is older than now, and tell the cut
	Recall                // end held messages up to the cut, and report once no leg of any is out
	Erase                 // have all up to the cut durably gone
	Verify                // read the files back
	Post                  // hand a message to the customer in
)

// Done is how an act went.
type Done struct {
	Kind   ActKind
	Key    Key
	Round  uint64
	Cut    int64  // of Fence
	Counts Counts // of Recall and Erase
	Found  int64  // of Verify: places that still hold data
	Fault  string // empty: it went well
	Notice string // of Post: its id
}

// Out is what comes of an event. With Save the memo has to be on disk before anything else of it is carried out.
type Out struct {
	Save    bool
	Acts    []Act
	Letters []post.Letter[Msg]
	Notes   []string // for the log
}

// Me is the sender that a machine belongs to. Boot is drawn at each start: an older copy of a folder counts its starts from lower on.
type Me struct {
	Name        string
	Folder      uint64
	Incarnation uint64
	Boot        uint64
}

// mark names one life of a sender: on a new folder, or an older copy of one, it does not know what epochs it gave before.
func (m Me) mark() string { return fmt.Sprintf("%s/%x", m.Name, m.Boot) }

// Machine is one sender's part: it takes part in all orders, and coordinates some.
type Machine struct {
	me      Me
	tenants map[string]bool
	now     int64
	begun   int64
	view    members.View

	fences  map[string]*fence // as many as tenants
	jobs    map[Key]*job      // as many as cases, and one a tenant
	cases   map[Key]*lead     // mostOpen and mostEnded
	endings []Key             // those ended, oldest first
	roster  roster
	outbox  map[string]*parcel // messages to customers; emptied as they are handed in; three an order
	heard   map[string]uint64  // digest of my fences that each member has answered; as many as members
	theirs  map[string]uint64  // digest of each member's
	marked  map[string]int64   // when fences were last told to it
	round   uint64
	out     Out
}

// Memo is what outlasts the process.
type Memo struct {
	Fences  []FenceMemo  `cbor:"1,keyasint,omitempty"`
	Jobs    []JobMemo    `cbor:"2,keyasint,omitempty"`
	Cases   []Case       `cbor:"3,keyasint,omitempty"`
	Endings []Key        `cbor:"4,keyasint,omitempty"`
	Roster  []Seen       `cbor:"5,keyasint,omitempty"`
	Full    bool         `cbor:"6,keyasint,omitempty"`
	Outbox  []ParcelMemo `cbor:"7,keyasint,omitempty"`
}

// New makes a machine of what was saved. Begin comes first.
func New(me Me, tenants []string, m Memo) *Machine {
	p := &Machine{me: me, tenants: map[string]bool{}, fences: map[string]*fence{}, jobs: map[Key]*job{}, cases: map[Key]*lead{},
		outbox: map[string]*parcel{}, heard: map[string]uint64{}, theirs: map[string]uint64{}, marked: map[string]int64{},
		roster: roster{all: map[place]*Seen{}}, endings: slices.Clone(m.Endings)}
	for _, t := range tenants {
		p.tenants[t] = true
	}
	for _, f := range m.Fences {
		p.fences[f.Tenant] = &fence{f.Marks}
	}
	for _, j := range m.Jobs {
		p.jobs[j.Key] = &job{JobMemo: j}
	}
	for _, c := range m.Cases {
		p.cases[c.Order.Key()] = &lead{Case: *c.copied()}
	}
	for _, s := range m.Roster {
		p.roster.all[place{s.Name, s.Folder}] = &s
	}
	for _, o := range m.Outbox {
		p.outbox[o.Notice.ID] = &parcel{ParcelMemo: o}
	}
	p.roster.full = m.Full
	return p
}

// Memo gives what has to outlast the process, always in the same order.
func (p *Machine) Memo() Memo {
	m := Memo{Endings: slices.Clone(p.endings), Full: p.roster.full, Roster: p.roster.list()}
	for _, t := range slices.Sorted(maps.Keys(p.fences)) {
		m.Fences = append(m.Fences, FenceMemo{t, p.fences[t].marks})
	}
	for _, k := range sorted(p.jobs) {
		m.Jobs = append(m.Jobs, p.jobs[k].JobMemo)
	}
	for _, k := range sorted(p.cases) {
		m.Cases = append(m.Cases, *p.cases[k].copied())
	}
	for _, id := range slices.Sorted(maps.Keys(p.outbox)) {
		m.Outbox = append(m.Outbox, p.outbox[id].ParcelMemo)
	}
	return m
}

func sorted[V any](m map[Key]V) []Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b Key) int { return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.ID, b.ID)) })
}

// Begin takes up what the last process left. What it had fenced stays fenced; what it had not finished begins again at the fence.
func (p *Machine) Begin(now int64) Out {
	return p.turn(now, func() {
		p.begun = now
		p.roster.see(Seen{Name: p.me.Name, Folder: p.me.Folder, Incarnation: p.me.Incarnation})
		p.out.Save = true
		for _, k := range sorted(p.cases) {
			l := p.cases[k]
			l.heardAt, l.waitAt, l.Ask = now, now+waitEvery, 0
			if l.Owner == p.me.Name && l.State == Running {
				p.takeOver(l) // a further term: what was said to the last process counts no more
			}
		}
		for _, k := range sorted(p.jobs) {
			p.resume(p.jobs[k])
		}
		p.ship()
	})
}

// turn runs one event.
func (p *Machine) turn(now int64, event func()) Out {
	p.now = max(p.now, now)
	p.out = Out{}
	event()
	return p.out
}

// Tick lets time pass: what is not answered is told again, what failed is done again, silent coordinators are replaced.
func (p *Machine) Tick(now int64) Out {
	return p.turn(now, func() {
		for _, k := range sorted(p.jobs) {
			p.retry(p.jobs[k])
		}
		for _, k := range sorted(p.cases) {
			p.lead(p.cases[k])
		}
		p.tellFences()
		p.ship()
	})
}

// Seen takes in a view.
func (p *Machine) Seen(now int64, v members.View) Out {
	return p.turn(now, func() {
		old := p.view
		p.view = v
		p.roster.full = p.roster.full && len(p.roster.all) >= mostFolders
		for _, m := range old.Members {
			if _, still := v.Member(m.Name); !still {
				p.silent(m.Name)
			}
		}
		for _, m := range v.Members {
			if m.Name == p.me.Name {
				p.self(m)
				continue
			}
			before, known := old.Member(m.Name)
			back := known && before.State >= members.Gone && m.State < members.Gone
			if changed := p.roster.see(Seen{Name: m.Name, Folder: m.Folder, Incarnation: m.Incarnation}); changed || back {
				p.returned(m)
			}
		}
		p.judge()
	})
}

// self takes in what the fleet says of this sender: after an older copy of its folder it counts on from the latest start known.
func (p *Machine) self(m members.Member) {
	if m.Incarnation <= p.me.Incarnation {
		return
	}
	p.me.Incarnation = m.Incarnation
	p.roster.see(Seen{Name: p.me.Name, Folder: p.me.Folder, Incarnation: m.Incarnation})
	p.out.Save = true
	for _, k := range sorted(p.cases) {
		if l := p.cases[k]; l.Owner == p.me.Name {
			l.forget(p.me.Name, p.me.Folder)
			p.report(p.jobs[k])
		}
	}
}

// returned has a member that started again, or was silent, say everything anew: it may have come back with an older copy of its folder.
func (p *Machine) returned(m members.Member) {
	p.out.Save = true
	p.silent(m.Name)
	for _, k := range sorted(p.cases) {
		p.cases[k].forget(m.Name, m.Folder)
	}
}

// silent forgets what a member has said of fences.
func (p *Machine) silent(name string) {
	delete(p.heard, name)
	delete(p.theirs, name)
	delete(p.marked, name)
}

// Declare takes an operator's word that a folder is destroyed; folder 0 is one never heard of.
func (p *Machine) Declare(now int64, name string, folder uint64, by string) Out {
	return p.turn(now, func() {
		if name != p.me.Name && p.roster.destroy(name, folder, by) {
			p.out.Save = true
			p.judge()
		}
	})
}

// Hear takes a letter in.
func (p *Machine) Hear(now int64, from string, m Msg) Out {
	return p.turn(now, func() {
		switch {
		case from == p.me.Name:
		case m.Case != nil:
			p.hearCase(from, m.Case)
		case m.Report != nil:
			p.hearReport(from, m.Report)
		case m.Fences != nil:
			p.hearFences(from, m.Fences)
		}
	})
}

func (p *Machine) send(to, slot string, m Msg) {
	if to != p.me.Name {
		p.out.Letters = append(p.out.Letters, post.Letter[Msg]{To: to, Slot: slot, Msg: m})
	}
}

func (p *Machine) note(format string, args ...any) {
	p.out.Notes = append(p.out.Notes, fmt.Sprintf(format, args...))
}
