package flowcontrol

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// ClassPolicy is the configuration of a priority class.
type ClassPolicy struct {
	Name fleet.ClassName
	// Rank orders the classes; a lower rank is served first.
	Rank int
	// MaxWait bounds the time an item waits before it is refused; 0 means no bound.
	MaxWait time.Duration
	// MinShare is the fraction of a lane's dispatches guaranteed to the class while higher-priority
	// classes have work; 0 means none.
	MinShare float64
}

// TenantPolicy is the configuration of a tenant.
type TenantPolicy struct {
	Name fleet.TenantName
	// Weight is the tenant's share of a class relative to other tenants.
	Weight float64
	// MaxWaiting bounds the tenant's waiting items across all classes and lanes.
	MaxWaiting int
}

// Policy is the configuration of flow control.
type Policy struct {
	Classes []ClassPolicy
	Tenants []TenantPolicy
}

// policyTable is a Policy indexed by name.
type policyTable struct {
	classes map[fleet.ClassName]ClassPolicy
	tenants map[fleet.TenantName]TenantPolicy
	// shareScale limits the sum of all minimum shares to 1.
	shareScale float64
	fallback   TenantPolicy
}

func newPolicyTable(policy Policy, fallback TenantPolicy) policyTable {
	table := policyTable{
		classes:    make(map[fleet.ClassName]ClassPolicy, len(policy.Classes)),
		tenants:    make(map[fleet.TenantName]TenantPolicy, len(policy.Tenants)),
		shareScale: 1,
		fallback:   fallback,
	}
	total := 0.0
	for _, class := range policy.Classes {
		table.classes[class.Name] = class
		total += class.MinShare
	}
	if total > 1 {
		table.shareScale = 1 / total
	}
	for _, tenant := range policy.Tenants {
		table.tenants[tenant.Name] = tenant
	}
	return table
}

// tenant returns a tenant's policy. An unknown tenant gets the fallback, because its agent may have
// a newer configuration.
func (t policyTable) tenant(name fleet.TenantName) TenantPolicy {
	policy, found := t.tenants[name]
	if !found {
		return t.fallback
	}
	if policy.Weight <= 0 {
		policy.Weight = t.fallback.Weight
	}
	return policy
}
