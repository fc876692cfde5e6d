package affinity

import (
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// Routers is an agent's view of the routers. It is immutable.
type Routers struct {
	// Location is the agent's location.
	Location membership.Location
	Members  []membership.Member
	// Pools lists which routers own engines of each pool; nil while every router owns every engine.
	Pools *membership.PoolMap
}

// Order returns the routers in the order in which to ask them for a prompt of a pool.
func (r Routers) Order(choice Choice, pool fleet.PoolName) []membership.Member {
	return choice.Order(r.rank(choice, pool))
}

// Serving returns how many routers may share the prompts of a pool with a common prefix.
func (r Routers) Serving(choice Choice, pool fleet.PoolName) int {
	_, serving := r.rank(choice, pool)
	return serving
}

// rank returns the routers ranked for a prompt's first key, and how many of them serve the pool. If
// every router owns every engine, a single router places for the whole pool and the others are
// standbys, because several would choose the same idle engine.
func (r Routers) rank(choice Choice, pool fleet.PoolName) ([]membership.Member, int) {
	if r.Pools != nil {
		return r.Pools.Rank(choice.Key(), pool, r.Location)
	}
	return membership.RankForPool(pool, r.Location, r.Members), 1
}
