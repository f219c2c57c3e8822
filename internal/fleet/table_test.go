package fleet

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"ravenlink/internal/links"
)

func TestFleetTableValidateReportsFaults(t *testing.T) {
	orders := int64(99)
	valid := func() *Table {
		return &Table{Name: "east", Self: "a", Listen: "127.0.0.1:7301", Peers: []links.PeerTable{{Name: "b", Address: "127.0.0.1:7401"}}, Orders: &orders,
			Tenants: []Tenant{{Name: "acme", Dst: []int64{7}}, {Name: "zeta", KeyPrefix: "z-"}}, Limits: &Limits{Declared: []Declared{{7, 50}}}, Verdicts: &Verdicts{}}
	}
	for want, change := range map[string]func(*Table){
		"":                          func(*Table) {},
		"self":                      func(t *Table) { t.Self = "" },
		"peer.0.name":               func(t *Table) { t.Peers[0].Name = "a" },
		"peer.0.address":            func(t *Table) { t.Peers[0].Address = "b" },
		"most_mb":                   func(t *Table) { t.MaxLogMB = 0.1 },
		"beat":                      func(t *Table) { t.HeartbeatInterval = 1 },
		"drift_ppm":                 func(t *Table) { t.DriftPPM = -1 },
		"orders_dst":                func(t *Table) { n := int64(-1); t.Orders = &n },
		"tenant.1.name":             func(t *Table) { t.Tenants[1].Name = "acme" },
		"tenant.1.dst":              func(t *Table) { t.Tenants[1].Dst = []int64{7} },
		"tenant.0.dst":              func(t *Table) { t.Tenants[0].Dst = []int64{99} },
		"tenant.0.dst ":             func(t *Table) { t.Tenants[0].Dst = nil },
		"tenant.1.lanes":            func(t *Table) { t.Tenants[1].Classes = []string{""} },
		"limits.lease":              func(t *Table) { t.Limits.Lease = 5 },
		"limits.declared.0.per_sec": func(t *Table) { t.Limits.Declared[0].PerSec = 0 },
		"limits.declared.1.dst":     func(t *Table) { t.Limits.Declared = append(t.Limits.Declared, Declared{7, 1}) },
		"verdicts.bytes_per_sec":    func(t *Table) { t.Verdicts.BytesPerSec = 1 },
	} {
		table := valid()
		change(table)
		table.SetDefaults()
		var faults []string
		table.Validate(func(setting, _ string) { faults = append(faults, setting) })
		assert.Equal(t, strings.TrimSpace(want), strings.Join(faults, " "))
	}
}
