package fleet

import (
	"slices"
	"strings"
)

// Owns tells whether a message is a tenant's: by its destination, its lane or its ordering key.
func (t Tenant) Owns(dst int64, lane, orderKey string) bool {
	return slices.Contains(t.Dst, dst) || slices.Contains(t.Lanes, lane) || t.KeyPrefix != "" && strings.HasPrefix(orderKey, t.KeyPrefix)
}

// tenant finds one by name.
func (t Table) tenant(name string) (Tenant, bool) {
	i := slices.IndexFunc(t.Tenants, func(n Tenant) bool { return n.Name == name })
	if i < 0 {
		return Tenant{}, false
	}
	return t.Tenants[i], true
}

// alone lists the destinations that are one tenant's and nobody else's.
func (t Tenant) alone() []int64 { return t.Dst }
