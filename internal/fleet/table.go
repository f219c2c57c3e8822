package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"ravenlink/internal/fleetlog"
	"ravenlink/internal/links"
	"ravenlink/internal/members"
	"ravenlink/internal/shares"
	"ravenlink/internal/strict"
	"ravenlink/internal/verdicts"
)

// Table is `fleet` in the operator's file. The fleet is on where the table is there; each sub-table turns on a part of it.
type Table struct {
	Name     string            `toml:"name"`   // of the fleet: the same at all its senders
	Self     string            `toml:"self"`   // of this sender
	Listen   string            `toml:"listen"` // where others reach it
	Peers    []links.PeerTable `toml:"peer"`
	MostMB   float64           `toml:"most_mb"`   // of the fleet's log in the state folder
	Beat     strict.Span       `toml:"beat"`      // between two beats of a member
	DriftPPM int               `toml:"drift_ppm"` // by which any clock may run fast or slow
	Orders   *int64            `toml:"orders_dst"`
	Tenants  []Tenant          `toml:"tenant"`
	Limits   *Limits           `toml:"limits"`   // nil: each sender keeps to limits alone
	Verdicts *Verdicts         `toml:"verdicts"` // nil: each sender goes by its own sight
	Channels *Channels         `toml:"channels"` // nil: no channels

	// Destroyed is the operator's word that folders are gone, with all that was in them.
	Destroyed []Destroyed `toml:"destroyed"`
}

// Tenant says what is one tenant's. Each of its three ways of naming adds to the others.
type Tenant struct {
	Name      string   `toml:"name"`
	Dst       []int64  `toml:"dst"`
	Lanes     []string `toml:"lanes"`
	KeyPrefix string   `toml:"key_prefix"` // of ordering keys
}

// Destroyed is one folder. It may come to the light of day all the same: then the word counts no more.
type Destroyed struct {
	Sender string `toml:"sender"`
	Folder string `toml:"folder"` // as messages on purges and the log name it; 0 for a sender that was never heard of
}

func (d Destroyed) number() uint64 {
	n, _ := strconv.ParseUint(d.Folder, 16, 64) // checked
	return n
}

// Limits turns on leases on destinations' limits.
type Limits struct {
	Lease    strict.Span `toml:"lease"`
	Declared []Declared  `toml:"declared"`
}

// Declared is a limit that the operator knows.
type Declared struct {
	Dst    int64   `toml:"dst"`
	PerSec float64 `toml:"per_sec"` // calls a second, for all senders together
}

// Verdicts turns on the telling of what senders see.
type Verdicts struct {
	BytesPerSec int `toml:"bytes_per_sec"` // of all letters of one sender together
}

// Bounds of the table, and what stands for settings left out.
const (
	usualMB     = 0.2 // fits beside the spool of a folder of 3 MB
	leastBeat   = strict.Span(20_000)
	mostBeat    = strict.Span(5_000_000)
	mostDrift   = 10_000
	mostTenants = 256
	mostNamed   = 4096 // destinations, or declared limits, of a table
	nameBytes   = 64
	leastLease  = strict.Span(500_000)
	mostLease   = strict.Span(30_000_000)
	leastRate   = 200
)

// Fill sets what was left out.
func (t *Table) Fill() {
	t.MostMB, t.Beat = cmp.Or(t.MostMB, usualMB), cmp.Or(t.Beat, strict.Span(members.Usual(len(t.Peers)+1).Beat))
	t.DriftPPM = cmp.Or(t.DriftPPM, int(shares.Usual().Drift))
	if t.Limits != nil {
		t.Limits.Lease = cmp.Or(t.Limits.Lease, strict.Span(shares.Usual().Lease))
	}
	if t.Channels != nil {
		t.Channels.fill(t)
	}
	if t.Verdicts != nil {
		_, room := verdicts.Usual()
		t.Verdicts.BytesPerSec = cmp.Or(t.Verdicts.BytesPerSec, room.Rate)
	}
}

func (t Table) links() links.Table {
	return links.Table{Fleet: t.Name, Self: t.Self, Listen: t.Listen, Peers: t.Peers}
}

// Bytes is the bound of the fleet's log.
func (t Table) Bytes() int64 { return int64(t.MostMB * 1e6) }

// Listed are the names of all senders of the fleet, sorted.
func (t Table) Listed() []string {
	names := []string{t.Self}
	for _, p := range t.Peers {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	return names
}

// Check names what is wrong, by setting.
func (t Table) Check(fault func(setting, what string)) {
	t.links().Check(fault)
	if t.Bytes() < fleetlog.LeastBytes {
		fault("most_mb", fmt.Sprintf("that is less than %.2f megabytes", float64(fleetlog.LeastBytes)/1e6+0.005))
	}
	within(t.Beat, leastBeat, mostBeat, "beat", fault)
	if t.DriftPPM < 1 || t.DriftPPM > mostDrift {
		fault("drift_ppm", fmt.Sprintf("1 to %d millionths are wanted", mostDrift))
	}
	if t.Orders != nil && *t.Orders < 0 {
		fault("orders_dst", "a destination is never below 0")
	}
	t.checkTenants(fault)
	for i, d := range t.Destroyed {
		if _, err := strconv.ParseUint(d.Folder, 16, 64); err != nil || d.Sender == "" {
			fault(fmt.Sprintf("destroyed.%d.folder", i), "a sender and the number of its folder, in hexadecimal digits, are wanted")
		}
	}
	if t.Limits != nil {
		t.Limits.check(func(setting, what string) { fault("limits."+setting, what) })
	}
	if t.Channels != nil {
		t.Channels.check(t, func(setting, what string) { fault("channels."+setting, what) })
	}
	if t.Verdicts != nil && t.Verdicts.BytesPerSec < leastRate {
		fault("verdicts.bytes_per_sec", fmt.Sprintf("fewer than %d carry nothing", leastRate))
	}
}

func within(is, least, most strict.Span, setting string, fault func(setting, what string)) {
	if is < least || is > most {
		fault(setting, fmt.Sprintf("%v is not within %v and %v", is, least, most))
	}
}

func (t Table) checkTenants(fault func(setting, what string)) {
	if len(t.Tenants) > mostTenants {
		fault("tenant", fmt.Sprintf("%d tenants; at most %d", len(t.Tenants), mostTenants))
		return
	}
	names, owners, named := map[string]bool{}, map[int64]string{}, 0
	for i, n := range t.Tenants {
		at := fmt.Sprintf("tenant.%d.", i)
		switch {
		case n.Name == "" || len(n.Name) > nameBytes:
			fault(at+"name", fmt.Sprintf("a name of 1 to %d bytes is wanted", nameBytes))
		case names[n.Name]:
			fault(at+"name", fmt.Sprintf("%q is listed twice", n.Name))
		}
		names[n.Name] = true
		if len(n.Dst) == 0 && len(n.Lanes) == 0 && n.KeyPrefix == "" {
			fault(at+"dst", "a tenant is named by destination, lane or key prefix")
		}
		for _, d := range n.Dst {
			if owner, taken := owners[d]; taken {
				fault(at+"dst", fmt.Sprintf("destination %d is %s's already", d, owner))
			}
			if t.Orders != nil && d == *t.Orders {
				fault(at+"dst", fmt.Sprintf("destination %d is reserved for orders", d))
			}
			owners[d] = n.Name
		}
		if slices.Contains(n.Lanes, "") {
			fault(at+"lanes", "a lane without a name")
		}
		if named += len(n.Dst) + len(n.Lanes); named > mostNamed {
			fault(at+"dst", fmt.Sprintf("more than %d destinations and lanes in all", mostNamed))
			return
		}
	}
}

func (l Limits) check(fault func(setting, what string)) {
	within(l.Lease, leastLease, mostLease, "lease", fault)
	if len(l.Declared) > mostNamed {
		fault("declared", fmt.Sprintf("%d limits; at most %d", len(l.Declared), mostNamed))
		return
	}
	seen := map[int64]bool{}
	for i, d := range l.Declared {
		at := fmt.Sprintf("declared.%d.", i)
		if seen[d.Dst] {
			fault(at+"dst", fmt.Sprintf("destination %d is declared twice", d.Dst))
		}
		if seen[d.Dst] = true; !(d.PerSec > 0) {
			fault(at+"per_sec", "a limit is above 0")
		}
	}
}
