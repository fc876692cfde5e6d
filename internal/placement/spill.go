package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/flowcontrol"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// canSpill tells whether another router may place a request that finds the
// engines here saturated: some engines of the pool belong to others only, and
// the agent hasn't been handed the request back too often.
func (c *Core) canSpill(waiting *waitingRequest) bool {
	return waiting.request.Spills < c.options.MaxSpills && c.foreign[waiting.model.Pool] > 0
}

// spill returns the hand-back of a new request that would do better at another
// router, or nil.
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

// nonSpillHops counts the routers that handed the request back for another reason
// than being saturated.
func (r *Request) nonSpillHops() int { return r.Hops - r.Spills }

// spillRefused returns the outcome of a request that is refused here: a
// hand-back if it is for want of capacity and another router may have some.
func (c *Core) spillRefused(waiting *waitingRequest, refusal flowcontrol.Refusal) Outcome {
	shortOfCapacity := refusal.Code == resultcode.Overloaded || refusal.Code == resultcode.DeadlineTooShort
	if shortOfCapacity && c.canSpill(waiting) {
		return HandBack{Key: refusal.Key, Reason: HandBackSaturated}
	}
	return Refusal(refusal)
}

// hasReadyEngine tells whether an engine of the request's pool is ready with its
// weights.
func (c *Core) hasReadyEngine(now time.Duration, waiting *waitingRequest) bool {
	for _, state := range c.byPool[waiting.model.Pool] {
		if state.isReady(now, c.options.StatusTTL) && state.serves(waiting.request.ModelVersion) {
			return true
		}
	}
	return false
}

// isSaturated tells whether a request would wait here for longer than it is
// worth, or so long that it would miss its deadline.
func (c *Core) isSaturated(now time.Duration, waiting *waitingRequest) bool {
	clear(c.capacities)
	pool := c.capacityFor(now, waiting)
	lane := flowcontrol.Lane(waiting.model.Pool)
	queued := c.flow.WaitingIn(lane)
	if pool.available && queued == 0 {
		return false
	}
	if queued >= c.options.SpillQueue*len(c.byPool[waiting.model.Pool]) {
		return true
	}
	wait, known := c.flow.PredictWait(now, lane, waiting.request.Class, waiting.request.Tenant)
	if !known {
		wait = 0
	}
	if pool.availableAt > now {
		wait += pool.availableAt - now
	}
	return wait > c.tolerableWait(now, waiting)
}

// tolerableWait is how long a request may wait here: SpillWait and the time to
// compute elsewhere what an engine here holds, as far as its deadline lets it.
func (c *Core) tolerableWait(now time.Duration, waiting *waitingRequest) time.Duration {
	cached, uncached := c.prefillTimes(waiting)
	tolerable := c.options.SpillWait + cached
	if waiting.deadline > 0 {
		tolerable = min(tolerable, waiting.deadline-now-uncached)
	}
	return tolerable
}

// prefillTimes returns the time to compute the longest prefix that an owned
// engine holds, and the time to compute the rest of the prompt.
func (c *Core) prefillTimes(waiting *waitingRequest) (cached, uncached time.Duration) {
	c.matchBlocks(waiting.request.Blocks)
	for position, state := range c.byPool[waiting.model.Pool] {
		tokens := 0
		if state.matchedStep == c.matchStep {
			tokens = min(state.matchedBlocks*waiting.model.BlockTokens, waiting.tokens())
		}
		speed := state.load.timePerToken()
		cached = max(cached, time.Duration(tokens)*speed)
		rest := time.Duration(waiting.tokens()-tokens) * speed
		if position == 0 || rest < uncached {
			uncached = rest
		}
	}
	return cached, uncached
}

// updateForeignCount brings the number of engines that only other routers place on
// up to date.
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
