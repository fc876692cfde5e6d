package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/flowcontrol"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// canSpill reports whether a request may be handed back because the engines here are saturated:
// some engines of the pool are owned only by other routers, and the request hasn't reached
// MaxSpills.
func (c *Core) canSpill(waiting *waitingRequest) bool {
	return waiting.request.Spills < c.options.MaxSpills && c.foreign[waiting.model.Pool] > 0
}

// spill returns the hand-back of a new request that another router is likely to serve sooner, or
// nil.
func (c *Core) spill(now time.Duration, waiting *waitingRequest) Outcome {
	foreign := c.foreign[waiting.model.Pool] > 0
	if foreign && waiting.request.nonSpillHops() < c.options.MaxHops && !c.hasReadyEngine(now, waiting) {
		return HandBack{Key: waiting.request.Key, Reason: HandBackNoEngine}
	}
	if c.canSpill(waiting) && c.isSaturated(now, waiting) {
		return HandBack{Key: waiting.request.Key, Reason: HandBackSaturated}
	}
	return nil
}

// nonSpillHops counts the hops for reasons other than saturation.
func (r *Request) nonSpillHops() int { return r.Hops - r.Spills }

// spillRefused returns the outcome of a request that flow control or the scheduler refused: a
// hand-back if capacity is short and another router may have some, else the refusal.
func (c *Core) spillRefused(waiting *waitingRequest, refusal flowcontrol.Refusal) Outcome {
	shortOfCapacity := refusal.Code == resultcode.Overloaded || refusal.Code == resultcode.DeadlineTooShort
	if shortOfCapacity && c.canSpill(waiting) {
		return HandBack{Key: refusal.Key, Reason: HandBackSaturated}
	}
	return Refusal(refusal)
}

// hasReadyEngine reports whether an engine of the request's pool is ready and serves its model
// version.
func (c *Core) hasReadyEngine(now time.Duration, waiting *waitingRequest) bool {
	for _, state := range c.byPool[waiting.model.Pool] {
		if state.isReady(now, c.options.StatusTTL) && state.serves(waiting.request.ModelVersion) {
			return true
		}
	}
	return false
}

// isSaturated reports whether the predicted wait or the queue here is too long for a request.
func (c *Core) isSaturated(now time.Duration, waiting *waitingRequest) bool {
	clear(c.capacities)
	capacity := c.capacityFor(now, waiting)
	lane := flowcontrol.Lane(waiting.model.Pool)
	queued := c.flow.WaitingIn(lane)
	if capacity.available && queued == 0 {
		return false
	}
	if queued >= c.options.SpillQueue*len(c.byPool[waiting.model.Pool]) {
		return true
	}
	wait, known := c.flow.PredictWait(now, lane, waiting.request.Class, waiting.request.Tenant)
	if !known {
		wait = 0
	}
	if capacity.availableAt > now {
		wait += capacity.availableAt - now
	}
	return wait > c.tolerableWait(now, waiting)
}

// tolerableWait returns how long a request may wait here: SpillWait plus the time that the cached
// prefix saves, limited by the request's deadline.
func (c *Core) tolerableWait(now time.Duration, waiting *waitingRequest) time.Duration {
	cached, uncached := c.prefillTimes(waiting)
	tolerable := c.options.SpillWait + cached
	if waiting.deadline > 0 {
		tolerable = min(tolerable, waiting.deadline-now-uncached)
	}
	return tolerable
}

// prefillTimes returns the time to compute the longest prefix that an owned engine holds, and the
// least time in which an owned engine computes the rest of the prompt.
func (c *Core) prefillTimes(waiting *waitingRequest) (cached, uncached time.Duration) {
	c.matchBlocks(waiting.request.Blocks)
	for position, state := range c.byPool[waiting.model.Pool] {
		tokens := 0
		if state.matchedStep == c.matchStep {
			tokens = min(state.matchedBlocks*waiting.model.BlockTokens, waiting.tokens())
		}
		perToken := state.load.timePerToken()
		cached = max(cached, time.Duration(tokens)*perToken)
		rest := time.Duration(waiting.tokens()-tokens) * perToken
		if position == 0 || rest < uncached {
			uncached = rest
		}
	}
	return cached, uncached
}

// updateForeignCount updates the count of engines that only other routers own.
func (c *Core) updateForeignCount(state *engineState) {
	listed := c.engines[state.run.Engine] == state
	pool := fleet.PoolName("")
	if listed && !state.owned && state.leavingSource() == LeavingNone {
		pool = state.machine.Pool
	}
	if pool == state.foreignPool {
		return
	}
	c.addForeign(state.foreignPool, -1)
	c.addForeign(pool, 1)
	state.foreignPool = pool
}

func (c *Core) addForeign(pool fleet.PoolName, change int) {
	if pool == "" {
		return
	}
	c.foreign[pool] += change
	if c.foreign[pool] == 0 {
		delete(c.foreign, pool)
	}
}
