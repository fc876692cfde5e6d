package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// maxExplainedEndpoints is the largest number of engines for which a decision records every
// candidate.
const maxExplainedEndpoints = 64

// schedule runs the scheduler over all engines of the pool. It includes engines with a full queue
// or no free stream, because waiting for one may cost less than computing the prefix again. The
// wait for a stream counts as prompt work of the same duration.
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

// recomputeDiscount returns the discount on the cost of recomputing a prefix. It grows linearly
// with the time waited, from 0 to 1 at the given fraction of the maximum wait. It bounds the wait
// for a warm engine that requests with a higher priority or a longer cached prefix keep busy.
func (w *waitingRequest) recomputeDiscount(now time.Duration, fraction float64) float64 {
	warmWait := float64(w.maxWait) * fraction
	if warmWait <= 0 {
		return 0
	}
	return min(float64(now-w.submitted)/warmWait, 1)
}

// matchBlocks stores on each engine the length of the cached prefix of a prompt.
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
	slotWait := state.slotWait(limit, parked.requests, output)
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
		PrefillTokens:   max(ahead, int(slotWait/state.load.timePerToken())),
		PrefillPerToken: state.load.perToken,
		Step:            state.load.step,
		StepTokens:      state.load.stepTokens,
	}
	if state.matchedStep == c.matchStep {
		endpoint.CachedBlocks = state.matchedBlocks
	}
	pending, prefilling := state.pendingBlocks(waiting.request.Blocks, waiting.rank)
	endpoint.PendingBlocks = max(pending, endpoint.CachedBlocks)
	if pending > endpoint.CachedBlocks {
		endpoint.PendingRemaining = max(prefilling.prefillDoneAt-now, 0)
	}
	return endpoint
}
