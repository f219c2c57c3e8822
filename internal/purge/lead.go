package purge

import (
	"fmt"
	"slices"

	"ravenlink/internal/members"
)

// State of a case. Every change goes through end.
type State uint8

// The states. What was fenced and erased for a case that ended otherwise than complete stays so.
const (
	Running State = iota
	Complete
	Cancelled
	Superseded
)

func (s State) String() string {
	return [...]string{"running", "complete", "cancelled", "superseded"}[s]
}

// rank: what is complete stays so, and what a customer ended is not taken up again by a coordinator that does not know of it.
func (s State) rank() int { return [...]int{0, 2, 1, 1}[s] }

// states are the changes allowed. That a case was complete becomes known late, where its coordinator was cut off: it stands above any
// other end, because the customer was told and it was true.
var states = map[State][]State{Running: {Complete, Cancelled, Superseded}, Cancelled: {Complete}, Superseded: {Complete}}

// lead is a case and, where this sender coordinates it, how far it has got.
type lead struct {
	Case
	heardAt int64 // its coordinator
	waitAt  int64 // the customer is told who is missing
	peers   map[string]*peer
	asks    uint64
}

// peer is how a coordinator stands with one member; as many as members.
type peer struct {
	ask     uint64
	fresh   bool // its word answers this ask
	version uint64
	toldAt  int64
	told    bool
	cause   string
}

func (l *lead) peer(name string) *peer {
	if l.peers == nil {
		l.peers = map[string]*peer{}
	}
	if l.peers[name] == nil {
		l.asks++
		l.peers[name] = &peer{ask: l.asks}
	}
	return l.peers[name]
}

// forget has a member asked anew, and takes its word off the record: it came back, perhaps with an older copy of its folder.
func (l *lead) forget(name string, folder uint64) {
	delete(l.peers, name)
	if l.State == Running {
		l.strike(name, folder)
	}
}

// strike takes a word off the record.
func (l *lead) strike(name string, folder uint64) {
	n := len(l.Words)
	l.Words = slices.DeleteFunc(l.Words, func(w Word) bool { return w.Name == name && uint64(w.Folder) == folder })
	if len(l.Words) < n {
		l.Version++
	}
}

// Accept takes an order on. With no error the customer may be told +OK once Out is on disk.
func (p *Machine) Accept(now int64, o Order) (Out, error) {
	var err error
	out := p.turn(now, func() { err = p.accept(o) })
	return out, err
}

func (p *Machine) accept(o Order) error {
	if err := o.check(); err != nil {
		return err
	}
	if !p.tenants[o.Tenant] {
		return fmt.Errorf("%w: %q", ErrTenant, o.Tenant)
	}
	l := p.cases[o.Key()]
	switch {
	case o.Act == ActCancel && (l == nil || l.State != Running):
		return fmt.Errorf("%w: %q", ErrUnder, o.ID)
	case o.Act == ActCancel:
		p.endHere(l, Cancelled, "cancelled by an order of the customer")
		return nil
	case l != nil && l.Order != o:
		return fmt.Errorf("%w: %q", ErrOther, o.ID)
	case l != nil:
		p.again(l)
		return nil
	case p.open() >= mostOpen:
		return ErrMany
	}
	l = &lead{Case: Case{Order: o, Epoch: p.above(o), Owner: p.me.Name, Term: 1, Version: 1}, heardAt: p.now, waitAt: p.now + waitEvery}
	l.asks = p.me.Boot
	p.cases[o.Key()] = l
	p.out.Save = true
	p.tell(l, accepted, 0)
	if old := p.cases[Key{o.Tenant, o.Replaces}]; o.Replaces != "" && old != nil && old.State == Running {
		p.endHere(old, Superseded, "superseded by "+o.ID)
	}
	p.join(&l.Case)
	p.report(p.jobs[o.Key()])
	p.lead(l)
	return nil
}

// above gives an epoch above all that are known here of a tenant.
func (p *Machine) above(o Order) Epoch {
	n := p.highest(o.Tenant, All).N
	for k, l := range p.cases {
		if k.Tenant == o.Tenant {
			n = max(n, l.Epoch.N)
		}
	}
	return Epoch{n + 1, p.me.mark()}
}

func (p *Machine) open() (n int) {
	for _, l := range p.cases {
		if l.State == Running {
			n++
		}
	}
	return n
}

// end changes a case's state. Whoever does it coordinates the case.
func (p *Machine) end(l *lead, to State, cause string) {
	if !slices.Contains(states[l.State], to) {
		p.note("purge %s: %s does not become %s", l.Order.Key(), l.State, to)
		return
	}
	l.State, l.Cause = to, cause
	l.Version++
	p.ended(l)
	if to == Complete {
		p.tell(l, complete, 0)
	} else {
		p.tell(l, stopped, 0)
	}
	p.note("purge %s: %s", l.Order.Key(), to)
}

// ended remembers a case that ended, and forgets the one that ended first if there are too many.
func (p *Machine) ended(l *lead) {
	p.out.Save = true
	if k := l.Order.Key(); !slices.Contains(p.endings, k) {
		p.endings = append(p.endings, k)
	}
	for len(p.endings) > mostEnded && p.Shed() {
	}
}

// Shed forgets the case that ended first and is not being erased for any more; false: there is none. Its fence stays, its id is free again.
// The runtime sheds cases while the memo does not fit its place.
func (p *Machine) Shed() bool {
	for i, k := range p.endings {
		if j := p.jobs[k]; j != nil && j.Phase < Verified {
			continue
		}
		delete(p.cases, k)
		delete(p.jobs, k)
		p.endings = slices.Delete(p.endings, i, i+1)
		return true
	}
	return false
}

// endHere ends a case by an order, whoever coordinated it.
func (p *Machine) endHere(l *lead, to State, cause string) {
	if l.Owner != p.me.Name {
		p.takeOver(l)
	}
	p.end(l, to, cause)
}

// takeOver has this sender coordinate a case from now on. All members are asked anew; words of those gone stand.
func (p *Machine) takeOver(l *lead) {
	l.Term++
	l.Owner, l.Version, l.peers, l.heardAt = p.me.Name, 1, nil, p.now
	l.asks += p.me.Boot
	p.out.Save = true
	p.note("purge %s: coordinated here, term %d", l.Order.Key(), l.Term)
	if low := p.join(&l.Case); low.N > 0 { // an older copy of a folder may not know its own part
		p.raise(l, low)
		p.join(&l.Case)
	}
	p.report(p.jobs[l.Order.Key()])
}

// wins tells whether a says more of an order than b, or is to be followed before it. It is the same on every sender.
func wins(a, b *Case) bool {
	if a.State.rank() != b.State.rank() {
		return a.State.rank() > b.State.rank()
	}
	if a.State == Complete {
		return false
	}
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	if a.Owner != b.Owner {
		return a.Owner < b.Owner
	}
	return a.Version > b.Version
}

// hearCase takes in a case, from its coordinator or as a copy that is ahead of ours.
func (p *Machine) hearCase(from string, c *Case) {
	if _, member := p.view.Member(from); !member || c.Order.check() != nil || c.Order.Kinds() == 0 {
		return
	}
	k := c.Order.Key()
	l := p.cases[k]
	switch {
	case l == nil:
		if c.State == Running && p.open() >= 4*mostOpen {
			p.note("purge %s: not followed, too many are running", k)
			return
		}
		l = &lead{Case: *c.copied(), waitAt: p.now + waitEvery}
		p.cases[k] = l
		p.adopted(l)
	case wins(c, &l.Case):
		if l.Owner == p.me.Name && l.Order != c.Order {
			p.tellOther(l, c)
		}
		led := l.Owner == p.me.Name && l.State == Running
		l.Case, l.peers = *c.copied(), nil
		p.adopted(l)
		if led && l.State == Complete { // the order was handed in again where it was forgotten
			p.tell(l, complete, 0)
		}
	case wins(&l.Case, c):
		mine := l.copied()
		mine.Ask = 0
		p.send(from, "case/"+k.String(), Msg{Case: mine})
		return
	}
	l.heardAt = p.now
	if l.Owner == p.me.Name {
		return
	}
	p.follow(l, from, c)
}

func (p *Machine) adopted(l *lead) {
	l.Ask = 0
	p.out.Save = true
	if l.Owner == p.me.Name && l.State == Running { // our own, from before a restart with an older folder, or with a new one
		p.takeOver(l)
	}
	if l.State != Running {
		p.ended(l)
	}
}

// follow takes part in a case that another coordinates, and answers it.
func (p *Machine) follow(l *lead, from string, c *Case) {
	k := l.Order.Key()
	low := Epoch{}
	if l.State == Running || l.State == Complete {
		low = p.join(&l.Case)
	}
	j := p.jobs[k]
	if from != l.Owner && l.State != Complete {
		return
	}
	if c.Ask != 0 {
		l.Ask = c.Ask
	}
	if j == nil || l.State == Complete {
		p.send(from, "report/"+k.String(), Msg{Report: &Report{Key: k, Term: c.Term, Version: c.Version, Ask: l.Ask, Folder: p.me.Folder,
			Incarnation: p.me.Incarnation, Low: low}})
	}
	if j == nil {
		return
	}
	if j.Phase == Verified && slices.ContainsFunc(l.Words, func(w Word) bool {
		return w.Name == p.me.Name && uint64(w.Folder) == p.me.Folder && w.Incarnation == p.me.Incarnation
	}) {
		p.turnTo(j, Settled)
	}
	p.report(j)
}

// report tells a case's coordinator how far this sender has got.
func (p *Machine) report(j *job) {
	if j == nil {
		return
	}
	l := p.cases[j.Key]
	if l == nil || l.State != Running {
		return
	}
	r := &Report{Key: j.Key, Term: l.Term, Version: l.Version, Ask: l.Ask, Folder: p.me.Folder, Incarnation: p.me.Incarnation,
		Phase: j.Phase, Fence: j.Cut, Counts: j.Counts, Cause: j.cause}
	if l.Owner == p.me.Name {
		r.Ask = l.peer(p.me.Name).ask
		p.takeReport(l, p.me.Name, r)
		return
	}
	if l.Ask == 0 {
		return
	}
	if j.Phase >= Verified {
		r.Seen = p.roster.list()
	}
	p.send(l.Owner, "report/"+j.Key.String(), Msg{Report: r})
}

func (p *Machine) hearReport(from string, r *Report) {
	l := p.cases[r.Key]
	if l == nil || l.Owner != p.me.Name || r.Term != l.Term {
		return
	}
	m, member := p.view.Member(from)
	if !member || m.Folder != r.Folder || m.Incarnation != r.Incarnation {
		return
	}
	p.takeReport(l, from, r)
}

// takeReport takes a member's word into account.
func (p *Machine) takeReport(l *lead, from string, r *Report) {
	f := l.peer(from)
	if r.Ask != f.ask {
		return
	}
	f.version, f.cause = max(f.version, r.Version), r.Phase.String()
	if r.Cause != "" {
		f.cause += ": " + r.Cause
	}
	if l.State != Running {
		return
	}
	for _, s := range r.Seen {
		if s.Name != p.me.Name || s.Folder != p.me.Folder {
			p.out.Save = p.roster.hear(s) || p.out.Save
		}
	}
	if r.Low.N > 0 {
		p.raise(l, r.Low)
		return
	}
	if p.roster.full {
		return
	}
	p.word(l, f, from, r)
	p.judge()
}

// word puts on record what a member said, or takes off what it no longer says.
func (p *Machine) word(l *lead, f *peer, from string, r *Report) {
	if r.Phase < Verified {
		if f.fresh {
			f.fresh = false
			l.strike(from, r.Folder)
			p.out.Save = true
		}
		return
	}
	w := Word{Name: from, Folder: Hex(r.Folder), Incarnation: r.Incarnation, Fence: r.Fence, Counts: r.Counts}
	i := slices.IndexFunc(l.Words, func(o Word) bool { return o.Name == from && uint64(o.Folder) == r.Folder })
	if f.fresh && i >= 0 && l.Words[i] == w {
		return
	}
	f.fresh = true
	if i >= 0 {
		l.Words[i] = w
	} else {
		l.Words = append(l.Words, w)
		sortWords(l.Words)
	}
	l.Version++
	p.out.Save = true
	if j := p.jobs[l.Order.Key()]; from == p.me.Name && j != nil && j.Phase == Verified {
		p.turnTo(j, Settled)
	}
}

// raise has a case begin above a fence that another order set first.
func (p *Machine) raise(l *lead, over Epoch) {
	if over.Less(l.Epoch) {
		return // raised already
	}
	l.Epoch = Epoch{max(over.N, p.above(l.Order).N-1) + 1, p.me.mark()}
	l.Version++
	p.out.Save = true
	if j := p.jobs[l.Order.Key()]; j != nil {
		p.lift(j, l.Epoch)
	}
}

// judge completes the cases that have everybody's word.
func (p *Machine) judge() {
	for _, k := range sorted(p.cases) {
		l := p.cases[k]
		if l.Owner == p.me.Name && l.State == Running && p.view.Self == p.me.Name && !p.roster.full && len(p.missing(l)) == 0 {
			p.declared(l)
			p.end(l, Complete, "")
		}
	}
}

// declared puts the operators' words into the record that the certificate is made of.
func (p *Machine) declared(l *lead) {
	for _, s := range p.roster.list() {
		if s.Destroyed != "" && p.missingOf(l, s, true) != "" {
			l.strike(s.Name, s.Folder)
			l.Words = append(l.Words, Word{Name: s.Name, Folder: Hex(s.Folder), Incarnation: s.Incarnation, Destroyed: s.Destroyed})
		}
	}
	sortWords(l.Words)
}

// missing lists whose word a case waits for.
func (p *Machine) missing(l *lead) (all []Missing) {
	for _, s := range p.roster.list() {
		if why := p.missingOf(l, s, false); why != "" {
			m, known := p.view.Member(s.Name)
			since := int64(-1)
			if known {
				since = max(0, p.now-m.Since)
			}
			all = append(all, Missing{s.Name, Hex(s.Folder), why, since})
		}
	}
	for _, m := range p.view.Members {
		if (m.State >= members.Gone || m.Folder == 0) && p.roster.known(m.Name) && p.roster.all[place{m.Name, 0}] == nil && p.roster.vacant(m.Name) {
			all = append(all, Missing{m.Name, 0, "its folder is declared destroyed, and of one begun since nothing is heard", max(0, p.now-m.Since)})
		}
	}
	return all
}

// missingOf tells why a folder's word is not there; empty: it is. An operator's word stands for it unless that is put aside.
func (p *Machine) missingOf(l *lead, s Seen, ignoreOperator bool) string {
	if s.Destroyed != "" && !ignoreOperator {
		return ""
	}
	m, known := p.view.Member(s.Name)
	silent := !known || m.State == members.Gone || m.State == members.Left
	current := known && m.Folder == s.Folder
	i := slices.IndexFunc(l.Words, func(w Word) bool {
		return w.Name == s.Name && uint64(w.Folder) == s.Folder && w.Incarnation == s.Incarnation
	})
	f := l.peers[s.Name]
	switch {
	case s.Folder == 0:
		return "never heard of"
	case current && !silent && (f == nil || !f.fresh || i < 0):
		if f != nil && f.cause != "" {
			return f.cause
		}
		return "not answered yet"
	case i >= 0:
		return ""
	case current:
		return m.State.String()
	}
	return "an earlier folder, neither erased nor declared destroyed"
}

// lead goes on with a case as time passes.
func (p *Machine) lead(l *lead) {
	if l.Owner != p.me.Name {
		if l.State == Running && p.now-l.heardAt >= leadPatience*int64(1+p.rank(l.Owner)) {
			p.takeOver(l)
		} else {
			return
		}
	}
	for _, m := range p.view.Members {
		if m.Name != p.me.Name {
			p.ask(l, m)
		}
	}
	if l.State == Running && p.now >= l.waitAt {
		l.waitAt = p.now + waitEvery
		l.Waits++
		p.out.Save = true
		p.tell(l, waiting, l.Waits)
	}
}

// rank tells how many others take a case over before this sender: the members alive but for the silent owner, by name.
func (p *Machine) rank(owner string) (n int) {
	for _, name := range p.view.Alive() {
		if name < p.me.Name && name != owner {
			n++
		}
	}
	return n
}

// ask tells a member of a case as often as it needs.
func (p *Machine) ask(l *lead, m members.Member) {
	f := l.peer(m.Name)
	silent := m.State == members.Gone || m.State == members.Left
	gap := beatEvery
	switch {
	case l.State != Running && f.version >= l.Version:
		return
	case silent:
	case l.State == Running && !f.fresh:
		gap = repeatEvery
	case f.version < l.Version:
		gap = copyEvery
	}
	if f.told && p.now-f.toldAt < gap {
		return
	}
	f.told, f.toldAt = true, p.now
	c := l.copied()
	c.Ask = f.ask
	p.send(m.Name, "case/"+l.Order.Key().String(), Msg{Case: c})
}
