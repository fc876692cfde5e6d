package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// roomKey names a pool as seen by one rank.
type roomKey struct {
	pool fleet.PoolName
	rank int
}

// room tells whether any engine of a pool may get work, and if not, when its
// queue should have drained enough; 0 means only an event can tell.
type room struct {
	open  bool
	opens time.Duration
}

// roomIn tells whether any engine may get the request now, without regard to
// its prefix.
func (c *Core) roomIn(now time.Duration, waiting *waitingRequest) room {
	key := roomKey{pool: waiting.model.Pool, rank: waiting.rank}
	known, found := c.rooms[key]
	if found {
		return known
	}
	var result room
	limit := c.streamLimit(key.pool, waiting.rank)
	for _, state := range c.byPool[key.pool] {
		if !state.ready(now, c.options.ReadyFor) || state.streams() >= limit {
			continue
		}
		excess := c.queueExcess(now, state, waiting.rank)
		if excess <= 0 {
			result = room{open: true}
			break
		}
		if result.opens == 0 || now+excess < result.opens {
			result.opens = now + excess
		}
	}
	c.rooms[key] = result
	return result
}

// share returns the part of an engine that a rank may use.
func (c *Core) share(rank int) float64 {
	if rank <= c.bestRank || c.options.ReserveFraction <= 0 {
		return 1
	}
	return 1 - c.options.ReserveFraction
}

// streamLimit returns the bound on an engine's streams for a rank.
func (c *Core) streamLimit(pool fleet.PoolName, rank int) int {
	policy, _ := c.view.Pool(pool)
	return max(int(float64(policy.MaxStreams)*c.share(rank)), 1)
}

// queueTokens returns the prompt work at an engine ahead of a rank.
func (c *Core) queueTokens(now time.Duration, state *engineState, rank int) int {
	state.forgetOverdue(now)
	return max(state.load.tokens(now)-state.worseRankTokens(rank), 0)
}

// queueExcess returns by how much an engine's queue is over the bound for a
// rank; it may get work at 0 or less.
func (c *Core) queueExcess(now time.Duration, state *engineState, rank int) time.Duration {
	queue := time.Duration(c.queueTokens(now, state, rank)) * state.load.speed()
	return queue - time.Duration(float64(c.options.MaxEngineQueue)*c.share(rank))
}
