package purge

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fence holds the fence positions of a tenant, by kind of data.
type fence struct{ positions [numKinds]FencePosition }

// FencePosition is the position of one fence. The epoch is shared with the peers; the cutoff is a sequence number of this folder,
// up to which accepted data is fenced.
type FencePosition struct {
	Epoch  Epoch `cbor:"1,keyasint"`
	Cutoff int64 `cbor:"2,keyasint"`
}

// FenceSnapshot is the persistent form of a tenant's fence.
type FenceSnapshot struct {
	Tenant    string                  `cbor:"1,keyasint"`
	Positions [numKinds]FencePosition `cbor:"2,keyasint"`
}

// raise moves a fence forward; neither the epoch nor the cutoff ever decreases.
func (m *FencePosition) raise(e Epoch, cutoff int64) {
	if m.Epoch.Less(e) {
		m.Epoch = e
	}
	m.Cutoff = max(m.Cutoff, cutoff)
}

func (k Kinds) forEach(f func(i int)) {
	for i := range numKinds {
		if k&(1<<i) != 0 {
			f(i)
		}
	}
}

func kindIndex(k Kinds) int { return bits.TrailingZeros8(uint8(k)) }

func (p *Machine) fenceOf(tenant string) *fence {
	f := p.fences[tenant]
	if f == nil {
		f = &fence{}
		p.fences[tenant] = f
	}
	return f
}

// highestEpoch returns the highest fence epoch of a tenant among the given kinds.
func (p *Machine) highestEpoch(tenant string, k Kinds) (e Epoch) {
	f := p.fences[tenant]
	if f == nil {
		return e
	}
	k.forEach(func(i int) {
		if e.Less(f.positions[i].Epoch) {
			e = f.positions[i].Epoch
		}
	})
	return e
}

// FenceEpoch returns the epoch to attach to data of one kind that is sent to another sender.
func (p *Machine) FenceEpoch(tenant string, kind Kinds) Epoch { return p.highestEpoch(tenant, kind) }

// IsFenced reports whether data of one kind that arrived with the given epoch is older than the fence here.
func (p *Machine) IsFenced(tenant string, kind Kinds, epoch Epoch) bool {
	return epoch.Less(p.highestEpoch(tenant, kind))
}

// Cutoff returns the sequence number up to which this folder's own data of one kind is fenced.
func (p *Machine) Cutoff(tenant string, kind Kinds) int64 {
	if f := p.fences[tenant]; f != nil {
		return f.positions[kindIndex(kind)].Cutoff
	}
	return 0
}

func (p *Machine) entries() (entries []FenceEntry) {
	for _, t := range slices.Sorted(maps.Keys(p.fences)) {
		for i, m := range p.fences[t].positions {
			if m.Epoch.N > 0 {
				entries = append(entries, FenceEntry{t, i, m.Epoch})
			}
		}
	}
	return entries
}

func digestEntries(entries []FenceEntry) uint64 {
	d := xxhash.New()
	for _, m := range entries {
		_, _ = fmt.Fprintf(d, "%s/%d/%d/%s\n", m.Tenant, m.Kind, m.Epoch.N, m.Epoch.Issuer)
	}
	return d.Sum64() | 1 // never 0, which means that nothing was received
}

// announceFences sends all fences to each member that has not acknowledged them or whose fences are not known yet.
func (p *Machine) announceFences() {
	digest := digestEntries(p.entries())
	for _, m := range p.view.Members {
		at, sent := p.fencesSentAt[m.Name]
		if m.Name == p.me.Name || p.acked[m.Name] == digest && p.peerDigests[m.Name] != 0 || sent && p.now-at < resendInterval {
			continue
		}
		p.sendFences(m.Name)
	}
}

func (p *Machine) sendFences(to string) {
	entries := p.entries()
	p.fencesSentAt[to] = p.now
	p.send(to, "fences", Msg{Fences: &Fences{Entries: entries, Digest: p.peerDigests[to], ReplyWanted: p.acked[to] != digestEntries(entries)}})
}

// receiveFences handles the fences of a peer. Each one that is unknown here is set here too, and covers all data accepted so far.
func (p *Machine) receiveFences(from string, f *Fences) {
	if _, member := p.view.Member(from); !member {
		return
	}
	p.acked[from], p.peerDigests[from] = f.Digest, digestEntries(f.Entries)
	if f.ReplyWanted {
		p.sendFences(from)
	}
	for _, m := range f.Entries {
		if m.Kind < 0 || m.Kind >= numKinds || !p.tenants[m.Tenant] || !p.highestEpoch(m.Tenant, 1<<m.Kind).Less(m.Epoch) {
			continue
		}
		p.fenceWithoutOrder(m)
	}
}

// Ready reports whether PING may be answered: all known fences are in force here, and every reachable member, at least one, has reported
// its fences. Without these reports a sender serves after startTimeout, and with a fence that is still being set after twice that: until it
// learns of a fence it may deliver data that the fence forbids.
func (p *Machine) Ready(now int64) bool {
	for _, j := range p.jobs {
		if j.Phase < Recalling {
			return now-p.startedAt >= 2*startTimeout
		}
	}
	if now-p.startedAt >= startTimeout {
		return true
	}
	reported := 0
	for _, name := range p.view.Alive() {
		if name == p.me.Name {
			continue
		}
		if p.peerDigests[name] == 0 {
			return false
		}
		reported++
	}
	return reported > 0 || len(p.view.Members) == 1
}
