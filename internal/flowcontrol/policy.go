package flowcontrol

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// ClassPolicy is what the configuration says of one priority class.
type ClassPolicy struct {
	Name fleet.ClassName
	// Rank orders the classes; a lower rank is served first.
	Rank int
	// MaxWait bounds the time an item waits before it is refused; 0 means no bound.
	MaxWait time.Duration
	// MinShare is the share of a lane's dispatches that the class gets while a
	// class of better rank also has work; 0 means none.
	MinShare float64
}

// TenantPolicy is what the configuration says of one tenant.
type TenantPolicy struct {
	Name fleet.TenantName
	// Weight is the tenant's share of a class relative to other tenants.
	Weight float64
	// MaxWaiting bounds the tenant's waiting items in all classes and lanes.
	MaxWaiting int
}

// Policy is the part of the configuration that flow control follows.
type Policy struct {
	Classes []ClassPolicy
	Tenants []TenantPolicy
}

// policyTable is a Policy prepared for look-ups.
type policyTable struct {
	classes map[fleet.ClassName]ClassPolicy
	tenants map[fleet.TenantName]TenantPolicy
	// shareScale keeps the sum of all minimum shares at one or less.
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

// tenant returns a tenant's policy. A tenant that this node hasn't learnt of
// yet gets the fallback, because its agent may know a newer configuration.
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
