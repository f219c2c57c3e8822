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

// Table is the table `fleet` of the operator's file. The fleet is enabled if the table is present; each sub-table
// enables a component.
type Table struct {
	Name              string            `toml:"name"`   // of the fleet: the same at all its senders
	Self              string            `toml:"self"`   // of this sender
	Listen            string            `toml:"listen"` // where others reach it
	Peers             []links.PeerTable `toml:"peer"`
	MaxLogMB          float64           `toml:"most_mb"`   // size limit of the fleet log in the state folder
	HeartbeatInterval strict.Duration   `toml:"beat"`      // between two heartbeats of a member
	DriftPPM          int               `toml:"drift_ppm"` // by which any clock may run fast or slow
	Orders            *int64            `toml:"orders_dst"`
	Tenants           []Tenant          `toml:"tenant"`
	Limits            *Limits           `toml:"limits"`   // nil: each sender applies limits on its own
	Verdicts          *Verdicts         `toml:"verdicts"` // nil: each sender uses only its own observations
	Channels          *Channels         `toml:"channels"` // nil: no channels

	// Destroyed lists folders that the operator declares lost, with all data in them.
	Destroyed []Destroyed `toml:"destroyed"`
}

// Tenant defines what belongs to one tenant. The three criteria are alternatives: any match suffices.
type Tenant struct {
	Name      string   `toml:"name"`
	Dst       []int64  `toml:"dst"`
	Classes   []string `toml:"lanes"`
	KeyPrefix string   `toml:"key_prefix"` // of ordering keys
}

// Destroyed is one lost folder. If it reappears, the declaration is void.
type Destroyed struct {
	Sender string `toml:"sender"`
	Folder string `toml:"folder"` // as messages on purges and the log show it; 0 for a sender that was never heard from
}

func (d Destroyed) folderID() uint64 {
	n, _ := strconv.ParseUint(d.Folder, 16, 64) // validated before
	return n
}

// Limits enables leases on destinations' limits.
type Limits struct {
	Lease    strict.Duration `toml:"lease"`
	Declared []Declared      `toml:"declared"`
}

// Declared is a limit configured by the operator.
type Declared struct {
	Dst    int64   `toml:"dst"`
	PerSec float64 `toml:"per_sec"` // calls per second, for all senders together
}

// Verdicts enables sharing of observations between senders.
type Verdicts struct {
	BytesPerSec int `toml:"bytes_per_sec"` // for all messages of one sender together
}

// Limits and defaults of the settings.
const (
	defaultMaxLogMB       = 0.2 // fits beside the spool in a folder of 3 MB
	minHeartbeat          = strict.Duration(20_000)
	maxHeartbeat          = strict.Duration(5_000_000)
	maxDriftPPM           = 10_000
	maxTenants            = 256
	maxEntries            = 4096 // entries of a table: destinations and classes, or declared limits
	maxNameBytes          = 64
	minLease              = strict.Duration(500_000)
	maxLease              = strict.Duration(30_000_000)
	minVerdictBytesPerSec = 200
)

// SetDefaults fills in settings that were left out.
func (t *Table) SetDefaults() {
	t.MaxLogMB, t.HeartbeatInterval = cmp.Or(t.MaxLogMB, defaultMaxLogMB), cmp.Or(t.HeartbeatInterval, strict.Duration(members.DefaultTiming(len(t.Peers)+1).HeartbeatInterval))
	t.DriftPPM = cmp.Or(t.DriftPPM, int(shares.DefaultTiming().Drift))
	if t.Limits != nil {
		t.Limits.Lease = cmp.Or(t.Limits.Lease, strict.Duration(shares.DefaultTiming().Lease))
	}
	if t.Channels != nil {
		t.Channels.setDefaults(t)
	}
	if t.Verdicts != nil {
		_, limits := verdicts.Defaults()
		t.Verdicts.BytesPerSec = cmp.Or(t.Verdicts.BytesPerSec, limits.BytesPerSec)
	}
}

func (t Table) links() links.Table {
	return links.Table{Fleet: t.Name, Self: t.Self, Listen: t.Listen, Peers: t.Peers}
}

// MaxLogBytes is the size limit of the fleet log.
func (t Table) MaxLogBytes() int64 { return int64(t.MaxLogMB * 1e6) }

// MemberNames returns the names of all senders of the fleet, sorted.
func (t Table) MemberNames() []string {
	names := []string{t.Self}
	for _, p := range t.Peers {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	return names
}

// Validate reports each fault with the name of its setting.
func (t Table) Validate(fault func(setting, what string)) {
	t.links().Validate(fault)
	if t.MaxLogBytes() < fleetlog.MinBytes {
		fault("most_mb", fmt.Sprintf("that is less than %.2f megabytes", float64(fleetlog.MinBytes)/1e6+0.005))
	}
	checkRange(t.HeartbeatInterval, minHeartbeat, maxHeartbeat, "beat", fault)
	if t.DriftPPM < 1 || t.DriftPPM > maxDriftPPM {
		fault("drift_ppm", fmt.Sprintf("must be 1 to %d", maxDriftPPM))
	}
	if t.Orders != nil && *t.Orders < 0 {
		fault("orders_dst", "must not be negative")
	}
	t.validateTenants(fault)
	for i, d := range t.Destroyed {
		if _, err := strconv.ParseUint(d.Folder, 16, 64); err != nil || d.Sender == "" {
			fault(fmt.Sprintf("destroyed.%d.folder", i), "needs a sender and the hexadecimal ID of its folder")
		}
	}
	if t.Limits != nil {
		t.Limits.validate(func(setting, what string) { fault("limits."+setting, what) })
	}
	if t.Channels != nil {
		t.Channels.validate(t, func(setting, what string) { fault("channels."+setting, what) })
	}
	if t.Verdicts != nil && t.Verdicts.BytesPerSec < minVerdictBytesPerSec {
		fault("verdicts.bytes_per_sec", fmt.Sprintf("fewer than %d carry nothing", minVerdictBytesPerSec))
	}
}

func checkRange(value, lower, upper strict.Duration, setting string, fault func(setting, what string)) {
	if value < lower || value > upper {
		fault(setting, fmt.Sprintf("%v is not within %v and %v", value, lower, upper))
	}
}

func (t Table) validateTenants(fault func(setting, what string)) {
	if len(t.Tenants) > maxTenants {
		fault("tenant", fmt.Sprintf("%d tenants; at most %d", len(t.Tenants), maxTenants))
		return
	}
	names, owners, entries := map[string]bool{}, map[int64]string{}, 0
	for i, n := range t.Tenants {
		at := fmt.Sprintf("tenant.%d.", i)
		switch {
		case n.Name == "" || len(n.Name) > maxNameBytes:
			fault(at+"name", fmt.Sprintf("a name needs 1 to %d bytes", maxNameBytes))
		case names[n.Name]:
			fault(at+"name", fmt.Sprintf("%q is listed twice", n.Name))
		}
		names[n.Name] = true
		if len(n.Dst) == 0 && len(n.Classes) == 0 && n.KeyPrefix == "" {
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
		if slices.Contains(n.Classes, "") {
			fault(at+"lanes", "empty lane name")
		}
		if entries += len(n.Dst) + len(n.Classes); entries > maxEntries {
			fault(at+"dst", fmt.Sprintf("more than %d destinations and lanes in all", maxEntries))
			return
		}
	}
}

func (l Limits) validate(fault func(setting, what string)) {
	checkRange(l.Lease, minLease, maxLease, "lease", fault)
	if len(l.Declared) > maxEntries {
		fault("declared", fmt.Sprintf("%d limits; at most %d", len(l.Declared), maxEntries))
		return
	}
	seen := map[int64]bool{}
	for i, d := range l.Declared {
		at := fmt.Sprintf("declared.%d.", i)
		if seen[d.Dst] {
			fault(at+"dst", fmt.Sprintf("destination %d is declared twice", d.Dst))
		}
		if seen[d.Dst] = true; !(d.PerSec > 0) {
			fault(at+"per_sec", "must be above 0")
		}
	}
}
