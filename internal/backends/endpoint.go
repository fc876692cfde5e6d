package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// endpoint returns the scheduler's view of an engine.
func (r *Registry) endpoint(search *search, prompt *prompt, state *workerState, scoped *promptScope) scheduling.Endpoint {
	engine := prompt.engine
	endpoint := r.endpointLoad(search.now, engine, state)
	endpoint.Address, endpoint.Zone = state.worker.Address, state.worker.Zone
	distance := r.distanceTo(state.worker.Zone)
	endpoint.NetworkDelay = r.options.Distances.Delay[distance]
	endpoint.TransferCost = r.options.Distances.transferCost(distance, search.request.Bytes)
	endpoint.DecodingStreams = max(endpoint.InFlight-state.prefilling, 0)
	endpoint.StepsPerEvent = engine.EventTokens
	endpoint.FailureCost = time.Duration(state.failureRate(search.now) * float64(failureCost))
	if capacity := r.memoryCapacities[state.worker.Service]; capacity > 0 {
		endpoint.MemoryTokens = capacity
		endpoint.MemoryUsed = r.totalLoad(search.now, state).MemoryTokens - state.memory.tokens() + state.memory.tokensWith(memoryNeedOf(engine, scoped))
	}
	held := r.heldParts(scoped, state)
	endpoint.CachedBlocks = held
	from := r.bestSource(prompt, scoped, state, held)
	if from.parts > held {
		endpoint.ImportBlocks = from.parts
		endpoint.ImportSetup = importSetup
		endpoint.ImportPerToken = from.perToken
		endpoint.ImportCostFactor = r.options.Distances.MovePrice[from.distance]
	}
	heldAnywhere := sharedTokens(prompt.ends, max(held, from.parts))
	endpoint.ColdTokens = max(engine.PromptTokens-heldAnywhere, 0)
	if state != prompt.home {
		endpoint.DuplicateTokens = int(duplicatePrefillFraction * float64(max(sharedTokens(prompt.ends, prompt.shared)-heldAnywhere, 0)))
	}
	return endpoint
}

// endpointLoad returns the scheduler's view of an engine's load, without its cache.
func (r *Registry) endpointLoad(now time.Duration, engine *EngineRequest, state *workerState) scheduling.Endpoint {
	load := r.totalLoad(now, state)
	lowerPriority := r.lowerPriorityLoad(now, state, engine.Priority)
	service, speed := state.worker.Service, r.speedOf(state)
	perToken := scaled(r.usualPerToken(service), speed.Prefill)
	computed := 0
	if r.isUneven(service) {
		computed = load.PrefillTokens - state.ahead.update(now, load.PrefillTokens, perToken)
		// The work of less urgent requests is subtracted from a wait as such.
		computed = min(max(computed, 0), max(load.PrefillTokens-int(lowerPriority.PrefillTokens), 0))
	}
	return scheduling.Endpoint{
		Run:                  state.worker.Run(),
		Pool:                 service,
		Ready:                true,
		InFlight:             load.InFlight,
		MaxStreams:           maxStreams(state.worker.Slots),
		Slots:                state.worker.Slots,
		LowerPriorityStreams: int(lowerPriority.InFlight),
		SlotTime:             scaled(r.slotTime(service), speed.Step),
		PrefillTokens:        load.PrefillTokens,
		ComputedTokens:       computed,
		LowerPriorityTokens:  int(lowerPriority.PrefillTokens),
		PrefillPerToken:      perToken,
		Step:                 scaled(r.options.Step, speed.Step),
		StepTokens:           r.options.StepTokens,
	}
}

// slotsPerQueuedRequest is the number of slots for which one request may be queued at an engine.
const slotsPerQueuedRequest = 2

func maxStreams(slots int) int { return slots + slots/slotsPerQueuedRequest }
