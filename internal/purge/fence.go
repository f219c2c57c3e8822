package purge

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fence of a tenant, by kind.
type fence struct{ marks [kinds]FenceMark }

// FenceMark is one fence: Epoch is told to others, Cut is this folder's own count of what it took on.
type FenceMark struct {
	Epoch Epoch `cbor:"1,keyasint"`
	Cut   int64 `cbor:"2,keyasint"`
}

// FenceMemo is a tenant's fence on disk.
type FenceMemo struct {
	Tenant string           `cbor:"1,keyasint"`
	Marks  [kinds]FenceMark `cbor:"2,keyasint"`
}

// raise moves a fence forward; neither number ever goes back.
func (m *FenceMark) raise(e Epoch, cut int64) {
	if m.Epoch.Less(e) {
		m.Epoch = e
	}
	m.Cut = max(m.Cut, cut)
}

func (k Kinds) each(f func(i int)) {
	for i := range kinds {
		if k&(1<<i) != 0 {
			f(i)
		}
	}
}

func index(k Kinds) int { return bits.TrailingZeros8(uint8(k)) }

func (p *Machine) marks(tenant string) *fence {
	f := p.fences[tenant]
	if f == nil {
		f = &fence{}
		p.fences[tenant] = f
	}
	return f
}

// highest gives the highest epoch that a tenant is fenced at here for some of the kinds.
func (p *Machine) highest(tenant string, k Kinds) (e Epoch) {
	f := p.fences[tenant]
	if f == nil {
		return e
	}
	k.each(func(i int) {
		if e.Less(f.marks[i].Epoch) {
			e = f.marks[i].Epoch
		}
	})
	return e
}

// Stamp is what goes with data of one kind that leaves for another sender.
func (p *Machine) Stamp(tenant string, kind Kinds) Epoch { return p.highest(tenant, kind) }

// Old tells whether data of one kind that comes from elsewhere with a stamp is older than the fence here.
func (p *Machine) Old(tenant string, kind Kinds, stamp Epoch) bool {
	return stamp.Less(p.highest(tenant, kind))
}

// Cut is up to where this folder's own data of one kind is fenced off.
func (p *Machine) Cut(tenant string, kind Kinds) int64 {
	if f := p.fences[tenant]; f != nil {
		return f.marks[index(kind)].Cut
	}
	return 0
}

func (p *Machine) all() (all []Mark) {
	for _, t := range slices.Sorted(maps.Keys(p.fences)) {
		for i, m := range p.fences[t].marks {
			if m.Epoch.N > 0 {
				all = append(all, Mark{t, i, m.Epoch})
			}
		}
	}
	return all
}

func digest(all []Mark) uint64 {
	d := xxhash.New()
	for _, m := range all {
		_, _ = fmt.Fprintf(d, "%s/%d/%d/%s\n", m.Tenant, m.Kind, m.Epoch.N, m.Epoch.By)
	}
	return d.Sum64() | 1 // never 0, which stands for nothing heard
}

// tellFences tells all fences to each member that has not answered for them, and to each not heard from yet.
func (p *Machine) tellFences() {
	mine := digest(p.all())
	for _, m := range p.view.Members {
		at, told := p.marked[m.Name]
		if m.Name == p.me.Name || p.heard[m.Name] == mine && p.theirs[m.Name] != 0 || told && p.now-at < repeatEvery {
			continue
		}
		p.sendFences(m.Name)
	}
}

func (p *Machine) sendFences(to string) {
	all := p.all()
	p.marked[to] = p.now
	p.send(to, "fences", Msg{Fences: &Fences{All: all, Digest: p.theirs[to], Open: p.heard[to] != digest(all)}})
}

// hearFences takes in what another has fenced: what is unknown here is fenced here too, with all that has been taken on so far.
func (p *Machine) hearFences(from string, f *Fences) {
	if _, member := p.view.Member(from); !member {
		return
	}
	p.heard[from], p.theirs[from] = f.Digest, digest(f.All)
	if f.Open {
		p.sendFences(from)
	}
	for _, m := range f.All {
		if m.Kind < 0 || m.Kind >= kinds || !p.tenants[m.Tenant] || !p.highest(m.Tenant, 1<<m.Kind).Less(m.Epoch) {
			continue
		}
		p.fenceWithout(m)
	}
}

// Ready tells whether PING may be answered: what is fenced here is refused, and every member that answers has told its
// fences, one at least. A sender that hears nobody serves after startFor all the same: it may then carry what a fence that it cannot
// know forbids, until it hears of it.
func (p *Machine) Ready(now int64) bool {
	for _, j := range p.jobs {
		if j.Phase < Ending {
			return now-p.begun >= 2*startFor
		}
	}
	if now-p.begun >= startFor {
		return true
	}
	told := 0
	for _, name := range p.view.Alive() {
		if name == p.me.Name {
			continue
		}
		if p.theirs[name] == 0 {
			return false
		}
		told++
	}
	return told > 0 || len(p.view.Members) == 1
}
