package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// endpoint describes an engine to the scheduler.
func (r *Registry) endpoint(found *search, prompt *prompt, known *workerState, parts *promptScope) scheduling.Endpoint {
	engine := prompt.engine
	endpoint := r.endpointLoad(found.now, engine, known)
	endpoint.Address, endpoint.Zone = known.worker.Address, known.worker.Zone
	distance := r.distanceTo(known.worker.Zone)
	endpoint.NetworkDelay = r.options.Distances.Delay[distance]
	endpoint.TransferCost = r.options.Distances.transferCost(distance, found.request.Bytes)
	endpoint.DecodingStreams = max(endpoint.InFlight-known.prefilling, 0)
	endpoint.StepsPerEvent = engine.EventTokens
	endpoint.FailureCost = time.Duration(known.failureRate(found.now) * float64(failureCost))
	if capacity := r.memoryCapacities[known.worker.Service]; capacity > 0 {
		endpoint.MemoryTokens = capacity
		endpoint.MemoryUsed = r.totalLoad(found.now, known).MemoryTokens - known.memory.tokens() + known.memory.tokensWith(memoryNeedOf(engine, parts))
	}
	held := r.heldParts(parts, known)
	endpoint.CachedBlocks = held
	from := r.bestSource(prompt, parts, known, held)
	if from.parts > held {
		endpoint.ImportBlocks = from.parts
		endpoint.ImportSetup = importSetup
		endpoint.ImportPerToken = from.perToken
		endpoint.ImportCostFactor = r.options.Distances.MovePrice[from.distance]
	}
	somewhere := sharedTokens(prompt.ends, max(held, from.parts))
	endpoint.ColdTokens = max(engine.PromptTokens-somewhere, 0)
	if known != prompt.home {
		endpoint.DuplicateTokens = int(duplicatePrefillFraction * float64(max(sharedTokens(prompt.ends, prompt.shared)-somewhere, 0)))
	}
	return endpoint
}

// endpointLoad describes an engine by its load alone.
func (r *Registry) endpointLoad(now time.Duration, engine *EngineRequest, known *workerState) scheduling.Endpoint {
	load := r.totalLoad(now, known)
	overtaken := r.lowerPriorityLoad(now, known, engine.Priority)
	return scheduling.Endpoint{
		Run:                  known.worker.Run(),
		Pool:                 known.worker.Service,
		Ready:                true,
		InFlight:             load.InFlight,
		MaxStreams:           maxStreams(known.worker.Slots),
		Slots:                known.worker.Slots,
		LowerPriorityStreams: int(overtaken.InFlight),
		SlotTime:             r.slotTime(known.worker.Service),
		PrefillTokens:        load.PrefillTokens,
		LowerPriorityTokens:  int(overtaken.PrefillTokens),
		PrefillPerToken:      time.Duration(float64(r.perToken(known.worker.Service)) * max(known.slowness, 1)),
		Step:                 r.options.Step,
		StepTokens:           r.options.StepTokens,
	}
}

// queueDivisor is how many requests beyond its slots an engine may be sent, as a
// part of the slots.
const queueDivisor = 2

func maxStreams(slots int) int { return slots + slots/queueDivisor }
