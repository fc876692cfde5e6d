package router

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// ownership determines which engines a router owns, given a list of machines and a list of routers.
// It is immutable.
type ownership struct {
	node  fleet.NodeID
	pools *membership.PoolMap
	sites map[fleet.EngineID]membership.EngineSite
}

// newOwnership returns the ownership of engines for node. With 0 replicas, or while no routers are
// known, node owns all engines.
func newOwnership(node fleet.NodeID, listed []platform.Machine, routers []membership.Member, replicas int) *ownership {
	o := &ownership{node: node}
	if replicas == 0 || len(routers) == 0 {
		return o
	}
	o.sites = make(map[fleet.EngineID]membership.EngineSite, len(listed))
	engines := make([]membership.EngineSite, 0, len(listed))
	for _, machine := range listed {
		if machine.Kind == platform.MachineEngine {
			site := engineSite(machine)
			o.sites[fleet.EngineID(machine.ID)] = site
			engines = append(engines, site)
		}
	}
	o.pools = membership.NewPoolMap(engines, routers, replicas)
	return o
}

func engineSite(machine platform.Machine) membership.EngineSite {
	return membership.EngineSite{
		Pool:     machine.Pool,
		Location: membership.Location{Region: machine.Region, Zone: machine.Zone},
	}
}

// owns reports whether this router indexes an engine and places requests on it.
func (o *ownership) owns(id fleet.EngineID) bool {
	if o.pools == nil {
		return true
	}
	return slices.Contains(o.pools.Owners(id, o.sites[id]), o.node)
}
