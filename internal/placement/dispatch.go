package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/flowcontrol"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// maxBackoffSteps bounds the backoff between placement attempts, in units of
// Options.ReconsiderInterval.
const maxBackoffSteps = 5

// minReconsiderDelay is the minimum time until the next placement attempt. It prevents bursts of
// attempts while a queue is barely over its bound.
const minReconsiderDelay = time.Millisecond

// choice is the engine that admit selected for the last accepted request.
type choice struct {
	waiting  *waitingRequest
	state    *engineState
	decision scheduling.Decision
}

// dispatchWaiting places waiting requests until no engine accepts one.
func (c *Core) dispatchWaiting(now time.Duration) {
	c.nextReconsider = 0
	if len(c.waiting) == 0 {
		return
	}
	admit := func(item flowcontrol.Item) bool { return c.admit(now, c.waiting[item.Key]) }
	for {
		clear(c.capacities)
		_, found := c.flow.Next(now, admit)
		c.refuseInfeasible(now)
		if !found {
			return
		}
		c.grant(now)
	}
}

// admit reports whether a request can be placed now, and stores the selected engine in c.choice.
func (c *Core) admit(now time.Duration, waiting *waitingRequest) bool {
	if waiting == nil || !c.shouldReconsider(now, waiting) {
		return false
	}
	capacity := c.capacityFor(now, waiting)
	if !capacity.available {
		waiting.reason = "every engine of the pool is full"
		c.reconsiderBy(capacity.availableAt)
		return false
	}
	c.unpark(waiting)
	decision, found := c.schedule(now, waiting)
	if !found {
		waiting.reason = "no engine is ready with the weights"
		c.backOff(waiting, now)
		return false
	}
	if decision.Late {
		c.infeasible = append(c.infeasible, waiting)
		c.backOff(waiting, now)
		return false
	}
	state := c.engines[decision.Endpoint.Run.Engine]
	if c.mustWait(now, waiting, state, decision) {
		return false
	}
	c.choice = choice{waiting: waiting, state: state, decision: decision}
	return true
}

// shouldReconsider reports whether the result of a placement attempt may differ from the last one.
func (c *Core) shouldReconsider(now time.Duration, waiting *waitingRequest) bool {
	if waiting.blockedOn != nil {
		if waiting.blockedOn.isPrefilling(now) {
			c.reconsiderBy(waiting.blockedOn.prefillOverdueAt)
			return false
		}
		waiting.blockedOn = nil
		return true
	}
	if now < waiting.reconsiderAt {
		c.reconsiderBy(waiting.reconsiderAt)
		return false
	}
	return true
}

// mustWait reports whether the request should wait for the cheapest engine: its streams or queue
// are full, or it is already computing a prefix that the request shares.
func (c *Core) mustWait(now time.Duration, waiting *waitingRequest, state *engineState, decision scheduling.Decision) bool {
	if state.streams() >= c.streamLimit(waiting) {
		waiting.reason = "the cheapest engine's streams are taken"
		c.park(waiting, state, decision)
		c.backOff(waiting, now)
		return true
	}
	if c.queueExcess(now, state, waiting) > 0 {
		waiting.reason = "the cheapest engine's queue is full"
		c.park(waiting, state, decision)
		c.backOff(waiting, now)
		return true
	}
	pending, prefilling := state.pendingBlocks(waiting.request.Blocks, waiting.rank)
	uncomputed := (pending - decision.Endpoint.CachedBlocks) * waiting.model.BlockTokens
	if c.options.HoldTokens < 0 || uncomputed < c.options.HoldTokens {
		return false
	}
	waiting.reason = "an earlier request computes the common prefix"
	waiting.blockedOn = prefilling
	c.park(waiting, state, decision)
	c.reconsiderBy(prefilling.prefillOverdueAt)
	return true
}

// backOff delays the next placement attempt, longer after each failed one.
func (c *Core) backOff(waiting *waitingRequest, now time.Duration) {
	waiting.backoffSteps = min(waiting.backoffSteps+1, maxBackoffSteps)
	waiting.reconsiderAt = now + time.Duration(waiting.backoffSteps)*c.options.ReconsiderInterval
	c.reconsiderBy(waiting.reconsiderAt)
}

// reconsiderBy requests a Tick at the given time; 0 requests none.
func (c *Core) reconsiderBy(at time.Duration) {
	if at <= 0 {
		return
	}
	at = max(at, c.now+minReconsiderDelay)
	if c.nextReconsider == 0 || at < c.nextReconsider {
		c.nextReconsider = at
	}
}

// park adds a waiting request's work to the engine that it waits for, so that later requests see
// the whole queue.
func (c *Core) park(waiting *waitingRequest, state *engineState, decision scheduling.Decision) {
	waiting.parkedOn = state
	waiting.parkedTokens = max(waiting.tokens()-decision.CachedTokens, 0)
	state.park(waiting.rank, waiting.parkedTokens)
}

func (c *Core) unpark(waiting *waitingRequest) {
	if waiting.parkedOn == nil {
		return
	}
	waiting.parkedOn.unpark(waiting.rank, waiting.parkedTokens)
	waiting.parkedOn = nil
	waiting.parkedTokens = 0
}

// tokens returns the number of tokens that the engine must have in its cache before it generates
// output.
func (w *waitingRequest) tokens() int {
	return w.request.PromptTokens + w.request.ContinuationTokens
}

// grant gives the request in c.choice its engine.
func (c *Core) grant(now time.Duration) {
	waiting, state, decision := c.choice.waiting, c.choice.state, c.choice.decision
	c.choice = choice{}
	c.startGrant(now, &grantState{
		request:        &waiting.request,
		engine:         state,
		rank:           waiting.rank,
		uncachedTokens: max(waiting.tokens()-decision.CachedTokens, 0),
	})
	cached := decision.Endpoint.CachedBlocks * waiting.model.BlockTokens
	c.conclude(waiting, Grant{
		Key:                  waiting.request.Key,
		Run:                  state.run,
		Address:              state.machine.Address,
		Priority:             waiting.rank,
		ExpectedCachedTokens: min(cached, waiting.request.PromptTokens),
		BlockTokens:          waiting.model.BlockTokens,
		ValidFor:             c.options.GrantValid,
	})
	c.history.last().Decision = &decision
}

// refuseInfeasible refuses the requests that no engine can answer before their deadline.
func (c *Core) refuseInfeasible(now time.Duration) {
	for _, waiting := range c.infeasible {
		key := waiting.request.Key
		if c.waiting[key] != waiting || !c.flow.Remove(now, key) {
			continue
		}
		c.conclude(waiting, c.spillRefused(waiting, flowcontrol.Refusal{
			Key:        key,
			Code:       resultcode.DeadlineTooShort,
			Reason:     "no engine is predicted to answer before the deadline",
			RetryAfter: c.flow.JitterRetryAfter(c.options.MaxEngineQueue),
		}))
	}
	c.infeasible = c.infeasible[:0]
}
