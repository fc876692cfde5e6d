package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/flowcontrol"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// maxLookDelay bounds, in units of Options.Reconsider, how long a request that
// waits for a warm engine goes without another look.
const maxLookDelay = 5

// minimumLookDelay keeps a queue that is hardly over its bound from causing a
// burst of looks.
const minimumLookDelay = time.Millisecond

// explainedEndpoints is the number of engines up to which decisions are kept
// with every candidate.
const explainedEndpoints = 64

// choice is the engine that admit found for the request it accepted last.
type choice struct {
	waiting  *waitingRequest
	state    *engineState
	decision scheduling.Decision
}

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

// pump places waiting requests as long as engines take them.
func (c *Core) pump(now time.Duration) {
	c.nextLook = 0
	if len(c.waiting) == 0 {
		return
	}
	admit := func(item flowcontrol.Item) bool { return c.admit(now, c.waiting[item.Key]) }
	for {
		clear(c.rooms)
		_, found := c.flow.Next(now, admit)
		c.refuseHopeless(now)
		if !found {
			return
		}
		c.grant(now)
	}
}

// admit looks for an engine for one request and notes it in c.choice.
func (c *Core) admit(now time.Duration, waiting *waitingRequest) bool {
	if waiting == nil || !c.worthALook(now, waiting) {
		return false
	}
	pool := c.roomIn(now, waiting)
	if !pool.open {
		waiting.reason = "every engine of the pool is full"
		c.lookAgain(pool.opens)
		return false
	}
	c.unpark(waiting)
	decision, found := c.schedule(now, waiting)
	if !found {
		waiting.reason = "no engine is ready with the weights"
		c.postpone(waiting, now+c.options.Reconsider)
		return false
	}
	if decision.Late {
		c.hopeless = append(c.hopeless, waiting)
		c.postpone(waiting, now+c.options.Reconsider)
		return false
	}
	state := c.engines[decision.Endpoint.Run.Engine]
	if c.mustWait(now, waiting, state, decision) {
		return false
	}
	c.choice = choice{waiting: waiting, state: state, decision: decision}
	return true
}

// worthALook tells whether anything can have changed since the last look.
func (c *Core) worthALook(now time.Duration, waiting *waitingRequest) bool {
	if waiting.heldFor != nil {
		if waiting.heldFor.stillComputing(now) {
			c.lookAgain(waiting.heldFor.computingUntil)
			return false
		}
		waiting.heldFor = nil
		return true
	}
	if now < waiting.reconsiderAt {
		c.lookAgain(waiting.reconsiderAt)
		return false
	}
	return true
}

// mustWait tells whether the cheapest engine is one to wait for: it has enough
// queued, or computes now what the request would otherwise compute again.
func (c *Core) mustWait(now time.Duration, waiting *waitingRequest, state *engineState, decision scheduling.Decision) bool {
	if excess := c.queueExcess(now, state, waiting.rank); excess > 0 {
		waiting.reason = "the cheapest engine's queue is full"
		c.park(waiting, state, decision)
		delay := min(max(excess, c.options.Reconsider), maxLookDelay*c.options.Reconsider)
		c.postpone(waiting, now+delay)
		return true
	}
	pending, computing := state.pendingBlocks(waiting.request.Blocks, waiting.rank)
	uncomputed := (pending - decision.Endpoint.CachedBlocks) * waiting.model.BlockTokens
	if c.options.HoldTokens < 0 || uncomputed < c.options.HoldTokens {
		return false
	}
	waiting.reason = "an earlier request computes the common prefix"
	waiting.heldFor = computing
	c.park(waiting, state, decision)
	c.lookAgain(computing.computingUntil)
	return true
}

func (c *Core) postpone(waiting *waitingRequest, until time.Duration) {
	waiting.reconsiderAt = until
	c.lookAgain(until)
}

// lookAgain asks for a Tick at a time; 0 asks for none.
func (c *Core) lookAgain(at time.Duration) {
	if at <= 0 {
		return
	}
	at = max(at, c.now+minimumLookDelay)
	if c.nextLook == 0 || at < c.nextLook {
		c.nextLook = at
	}
}

// park counts a waiting request's work against the engine it waits for, so
// that those behind it see the whole queue.
func (c *Core) park(waiting *waitingRequest, state *engineState, decision scheduling.Decision) {
	waiting.parkedAt = state
	waiting.parkedTokens = max(waiting.tokens()-decision.CachedTokens, 0)
	state.parked[waiting.rank] += waiting.parkedTokens
}

func (c *Core) unpark(waiting *waitingRequest) {
	if waiting.parkedAt == nil {
		return
	}
	waiting.parkedAt.parked[waiting.rank] -= waiting.parkedTokens
	waiting.parkedAt = nil
	waiting.parkedTokens = 0
}

// tokens is the length of what the engine has to hold before it goes on.
func (w *waitingRequest) tokens() int {
	return w.request.PromptTokens + w.request.ContinuationTokens
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

// schedule lets the scheduler choose among all engines of the pool, those with
// a full queue included: waiting for one may be cheaper than computing again.
func (c *Core) schedule(now time.Duration, waiting *waitingRequest) (scheduling.Decision, bool) {
	request := &waiting.request
	c.matchBlocks(request.Blocks)
	limit := c.streamLimit(waiting.model.Pool, waiting.rank)
	c.endpoints = c.endpoints[:0]
	for _, state := range c.byPool[waiting.model.Pool] {
		c.endpoints = append(c.endpoints, c.endpoint(now, waiting, state, limit))
	}
	query := scheduling.Request{
		ID:           request.Key.Request,
		Tenant:       request.Tenant,
		Class:        request.Class,
		Rank:         waiting.rank,
		Weights:      request.Weights,
		Pool:         waiting.model.Pool,
		AgentZone:    request.AgentZone,
		PromptTokens: waiting.tokens(),
		MaxTokens:    request.MaxTokens,
		BlockTokens:  waiting.model.BlockTokens,
		Excluded:     request.Excluded,
		Explain:      len(c.endpoints) <= explainedEndpoints,
	}
	if query.AgentZone == "" {
		query.AgentZone = c.options.Zone
	}
	if waiting.deadline > 0 {
		query.Deadline = max(waiting.deadline-now, 1)
	}
	return c.scheduler.Schedule(query, c.endpoints, c.options.Random)
}

// matchBlocks marks the engines with the prefix that each holds.
func (c *Core) matchBlocks(blocks []fleet.BlockHash) {
	c.matchStep++
	c.matches = c.index.Lookup(blocks, c.matches)
	for _, match := range c.matches {
		state := c.engines[match.Run.Engine]
		if state != nil && state.run == match.Run {
			state.matchedBlocks = match.Blocks
			state.matchedAt = c.matchStep
		}
	}
}

func (c *Core) endpoint(now time.Duration, waiting *waitingRequest, state *engineState, limit int) scheduling.Endpoint {
	endpoint := scheduling.Endpoint{
		Run:             state.run,
		Address:         state.machine.Address,
		Zone:            state.machine.Zone,
		Pool:            state.machine.Pool,
		Ready:           state.ready(now, c.options.ReadyFor),
		Leaving:         state.leaving != LeavingNone,
		Serves:          state.serves,
		InFlight:        state.streams(),
		MaxStreams:      limit,
		PrefillTokens:   c.queueTokens(now, state, waiting.rank) + state.parkedTokens(waiting.rank),
		PrefillPerToken: state.load.perToken,
		Step:            state.load.step,
		StepTokens:      state.load.stepTokens,
	}
	if state.matchedAt == c.matchStep {
		endpoint.CachedBlocks = state.matchedBlocks
	}
	pending, computing := state.pendingBlocks(waiting.request.Blocks, waiting.rank)
	endpoint.PendingBlocks = max(pending, endpoint.CachedBlocks)
	if pending > endpoint.CachedBlocks {
		endpoint.PendingRemaining = max(computing.computedAt-now, 0)
	}
	return endpoint
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

// refuseHopeless refuses the requests that no engine can serve in time.
func (c *Core) refuseHopeless(now time.Duration) {
	for _, waiting := range c.hopeless {
		key := waiting.request.Key
		if c.waiting[key] != waiting || !c.flow.Remove(now, key) {
			continue
		}
		c.conclude(waiting, Refusal{
			Key:        key,
			Code:       resultcode.DeadlineTooShort,
			Reason:     "no engine is predicted to answer before the deadline",
			RetryAfter: c.flow.Spread(c.options.MaxEngineQueue),
		})
	}
	c.hopeless = c.hopeless[:0]
}
