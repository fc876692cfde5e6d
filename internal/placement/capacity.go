package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// roomKey names a pool as seen by one class.
type roomKey struct {
	pool  fleet.PoolName
	class fleet.ClassName
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
	key := roomKey{pool: waiting.model.Pool, class: waiting.request.Class}
	known, found := c.rooms[key]
	if found {
		return known
	}
	var result room
	limit := c.streamLimit(waiting)
	for _, state := range c.byPool[key.pool] {
		if !state.ready(now, c.options.ReadyFor) || state.streams() >= limit {
			continue
		}
		excess := c.queueExcess(now, state, waiting)
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

// share returns the part of an engine that a request may use. The reserve is
// open to a class that is owed a dispatch by its minimum share: better classes
// may hold all the rest for as long as they have work.
func (c *Core) share(waiting *waitingRequest) float64 {
	if waiting.rank <= c.bestRank || c.options.ReserveFraction <= 0 {
		return 1
	}
	if c.flow.Owed(waiting.lane, waiting.request.Class) {
		return 1
	}
	return 1 - c.options.ReserveFraction
}

// streamLimit returns the bound on an engine's streams for a request.
func (c *Core) streamLimit(waiting *waitingRequest) int {
	policy, _ := c.view.Pool(waiting.model.Pool)
	return max(int(float64(policy.MaxStreams)*c.share(waiting)), 1)
}

// queueTokens returns the prompt work at an engine ahead of a rank.
func (c *Core) queueTokens(now time.Duration, state *engineState, rank int) int {
	state.forgetOverdue(now)
	return max(state.load.tokens(now)-state.worseRankTokens(rank), 0)
}

// queueExcess returns by how much an engine's queue is over the bound for a
// request; it may get work at 0 or less.
func (c *Core) queueExcess(now time.Duration, state *engineState, waiting *waitingRequest) time.Duration {
	queue := time.Duration(c.queueTokens(now, state, waiting.rank)) * state.load.speed()
	return queue - time.Duration(float64(c.options.MaxEngineQueue)*c.share(waiting))
}
