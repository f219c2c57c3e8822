package fleet

import (
	"slices"
	"strings"
)

// Owns reports whether a message belongs to the tenant: by its destination, its class or its ordering key.
func (t Tenant) Owns(dst int64, class, orderKey string) bool {
	return slices.Contains(t.Dst, dst) || slices.Contains(t.Classes, class) || t.KeyPrefix != "" && strings.HasPrefix(orderKey, t.KeyPrefix)
}

// tenant looks a tenant up by name.
func (t Table) tenant(name string) (Tenant, bool) {
	i := slices.IndexFunc(t.Tenants, func(n Tenant) bool { return n.Name == name })
	if i < 0 {
		return Tenant{}, false
	}
	return t.Tenants[i], true
}

// exclusiveDestinations returns the destinations that belong to this tenant only.
func (t Tenant) exclusiveDestinations() []int64 { return t.Dst }
