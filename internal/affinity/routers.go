package affinity

import (
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// Routers is what an agent knows of the routers. It is immutable.
type Routers struct {
	// Location is where the agent is.
	Location membership.Location
	Members  []membership.Member
	// Pools says which routers own engines of which pool; nil while every router
	// owns every engine.
	Pools *membership.PoolMap
}

// Order returns the routers in the order in which a prompt for a pool asks them.
func (r Routers) Order(choice Choice, pool fleet.PoolName) []membership.Member {
	return choice.Order(r.rank(choice, pool))
}

// Serving returns how many routers may share the prompts of a pool that begin
// alike.
func (r Routers) Serving(choice Choice, pool fleet.PoolName) int {
	_, serving := r.rank(choice, pool)
	return serving
}

// rank returns the routers in the order for a prompt's first key, and how many
// of them serve the pool. Routers that own the same engines would each choose
// the engine that looks idle to all of them: one places for the whole pool, the
// others stand by.
func (r Routers) rank(choice Choice, pool fleet.PoolName) ([]membership.Member, int) {
	if r.Pools != nil {
		return r.Pools.Rank(choice.Key(), pool, r.Location)
	}
	return membership.RankForPool(pool, r.Location, r.Members), 1
}
