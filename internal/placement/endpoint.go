package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// maxExplainedEndpoints is the number of engines up to which decisions are kept
// with every candidate.
const maxExplainedEndpoints = 64

// schedule lets the scheduler choose among all engines of the pool, those with
// a full queue or no free stream included: waiting for one may be cheaper than
// computing again. The wait for a stream is given as prompt work of its length.
func (c *Core) schedule(now time.Duration, waiting *waitingRequest) (scheduling.Decision, bool) {
	request := &waiting.request
	c.matchBlocks(request.Blocks)
	limit := c.streamLimit(waiting)
	c.endpoints = c.endpoints[:0]
	for _, state := range c.byPool[waiting.model.Pool] {
		c.endpoints = append(c.endpoints, c.endpoint(now, waiting, state, limit))
	}
	query := scheduling.Request{
		ID:           request.Key.Request,
		Tenant:       request.Tenant,
		Class:        request.Class,
		Rank:         waiting.rank,
		ModelVersion: request.ModelVersion,
		Pool:         waiting.model.Pool,
		AgentZone:    request.AgentZone,
		PromptTokens: waiting.tokens(),
		MaxTokens:    request.MaxTokens,
		BlockTokens:  waiting.model.BlockTokens,
		Excluded:     request.Excluded,
		Explain:      len(c.endpoints) <= maxExplainedEndpoints,

		RecomputeDiscount: waiting.recomputeDiscount(now, c.options.WarmWaitFraction),
	}
	if query.AgentZone == "" {
		query.AgentZone = c.options.Zone
	}
	if waiting.deadline > 0 {
		query.Deadline = max(waiting.deadline-now, 1)
	}
	return c.scheduler.Schedule(query, c.endpoints, c.options.Random)
}

// recomputeDiscount grows with the time that a request has waited, up to the
// whole price at the given part of its longest wait. A better class, or requests
// of which more is cached, may keep a warm engine busy for as long as they come.
func (w *waitingRequest) recomputeDiscount(now time.Duration, fraction float64) float64 {
	patience := float64(w.maxWait) * fraction
	if patience <= 0 {
		return 0
	}
	return min(float64(now-w.submitted)/patience, 1)
}

// matchBlocks marks the engines with the prefix that each holds.
func (c *Core) matchBlocks(blocks []fleet.BlockHash) {
	c.matchStep++
	c.matches = c.index.Lookup(blocks, c.matches)
	for _, match := range c.matches {
		state := c.engines[match.Run.Engine]
		if state != nil && state.run == match.Run {
			state.matchedBlocks = match.Blocks
			state.matchedStep = c.matchStep
		}
	}
}

func (c *Core) endpoint(now time.Duration, waiting *waitingRequest, state *engineState, limit int) scheduling.Endpoint {
	parked := state.parkedAhead(waiting.rank)
	output := time.Duration(waiting.request.MaxTokens) * state.load.step
	slot := state.slotWait(limit, parked.requests, output)
	ahead := c.queueTokens(now, state, waiting.rank) + parked.tokens
	endpoint := scheduling.Endpoint{
		Run:             state.run,
		Address:         state.machine.Address,
		Zone:            state.machine.Zone,
		Pool:            state.machine.Pool,
		Ready:           state.isReady(now, c.options.StatusTTL),
		Draining:        state.leavingSource() != LeavingNone,
		Serves:          state.serves,
		InFlight:        state.streams(),
		PrefillTokens:   max(ahead, int(slot/state.load.timePerToken())),
		PrefillPerToken: state.load.perToken,
		Step:            state.load.step,
		StepTokens:      state.load.stepTokens,
	}
	if state.matchedStep == c.matchStep {
		endpoint.CachedBlocks = state.matchedBlocks
	}
	pending, computing := state.pendingBlocks(waiting.request.Blocks, waiting.rank)
	endpoint.PendingBlocks = max(pending, endpoint.CachedBlocks)
	if pending > endpoint.CachedBlocks {
		endpoint.PendingRemaining = max(computing.prefillDoneAt-now, 0)
	}
	return endpoint
}
