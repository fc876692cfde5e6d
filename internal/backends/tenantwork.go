package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/overload"
)

// OwnTenantWork returns the recent engine time of this node's requests by service and tenant, the
// largest amounts only. Services in which no demand is unmet are omitted.
func (r *Registry) OwnTenantWork(now time.Duration) map[fleet.PoolName][]overload.Use {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	work := make(map[fleet.PoolName][]overload.Use, len(r.overloadControllers))
	for service, controller := range r.overloadControllers {
		if uses := controller.Report(now); len(uses) > 0 {
			work[service] = uses
		}
	}
	return work
}

// TenantsAtShare returns the number of tenants that want more than their share of a service's engines
// while engine time is short, summed over the services.
func (r *Registry) TenantsAtShare(now time.Duration) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, controller := range r.overloadControllers {
		count += controller.TenantsAtShare(now)
	}
	return count
}

// observePeerUse replaces the engine time that a peer has reported, also for the services that its
// report lacks. Services without known workers are ignored. The mutex must be held.
func (r *Registry) observePeerUse(now time.Duration, node fleet.NodeID, work map[fleet.PoolName][]overload.Use) {
	for service, controller := range r.overloadControllers {
		if _, reported := work[service]; !reported {
			controller.ForgetPeer(node)
		}
	}
	for service, uses := range work {
		if r.pools[service] != nil {
			r.overloadController(service).ObservePeer(now, node, uses)
		}
	}
}
