package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// capacityKey identifies the capacity of a pool for one class.
type capacityKey struct {
	pool  fleet.PoolName
	class fleet.ClassName
}

// poolCapacity describes whether any engine of a pool accepts work. If none does, availableAt is
// when a queue is expected to have drained enough; 0 means that no time is known.
type poolCapacity struct {
	available   bool
	availableAt time.Duration
}

// capacityFor returns the capacity of the request's pool now, regardless of cached prefixes.
func (c *Core) capacityFor(now time.Duration, waiting *waitingRequest) poolCapacity {
	key := capacityKey{pool: waiting.model.Pool, class: waiting.request.Class}
	known, found := c.capacities[key]
	if found {
		return known
	}
	var result poolCapacity
	limit := c.streamLimit(waiting)
	for _, state := range c.byPool[key.pool] {
		if !state.isReady(now, c.options.StatusTTL) || state.streams() >= limit {
			continue
		}
		excess := c.queueExcess(now, state, waiting)
		if excess <= 0 {
			result = poolCapacity{available: true}
			break
		}
		if result.availableAt == 0 || now+excess < result.availableAt {
			result.availableAt = now + excess
		}
	}
	c.capacities[key] = result
	return result
}

// usableFraction returns the fraction of an engine that a request may use. The reserve is open to a
// class with enough minimum-share credit, because higher-priority classes may keep the rest busy
// indefinitely.
func (c *Core) usableFraction(waiting *waitingRequest) float64 {
	if waiting.rank <= c.bestRank || c.options.ReserveFraction <= 0 {
		return 1
	}
	if c.flow.HasShareCredit(waiting.lane, waiting.request.Class) {
		return 1
	}
	return 1 - c.options.ReserveFraction
}

// streamLimit returns the maximum number of streams at an engine for a request to be placed there.
func (c *Core) streamLimit(waiting *waitingRequest) int {
	policy, _ := c.view.Pool(waiting.model.Pool)
	return max(int(float64(policy.MaxStreams)*c.usableFraction(waiting)), 1)
}

// queueTokens returns the prompt tokens queued at an engine ahead of a rank.
func (c *Core) queueTokens(now time.Duration, state *engineState, rank int) int {
	state.dropOverduePrefills(now)
	return max(state.load.tokens(now)-state.lowerPriorityTokens(rank), 0)
}

// queueExcess returns how far an engine's queue exceeds the bound for a request. The engine accepts
// the request at 0 or less.
func (c *Core) queueExcess(now time.Duration, state *engineState, waiting *waitingRequest) time.Duration {
	queue := time.Duration(c.queueTokens(now, state, waiting.rank)) * state.load.timePerToken()
	return queue - time.Duration(float64(c.options.MaxEngineQueue)*c.usableFraction(waiting))
}
