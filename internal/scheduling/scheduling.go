// Package scheduling chooses an engine for a request: filters remove ineligible engines, scorers
// predict the cost of each remaining one, and a picker selects one. All steps work on an immutable
// snapshot and do no I/O.
//
// The structure follows the endpoint picker of the Gateway API Inference Extension. Scores are
// predicted times rather than weighted points, so that queueing and missing prefixes are compared
// in the same unit.
package scheduling

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Endpoint is the snapshot of one engine run that a decision is based on.
type Endpoint struct {
	Run     fleet.EngineRun
	Address fleet.Address
	Zone    fleet.ZoneName
	Pool    fleet.PoolName
	// Ready reports whether the engine has responded recently.
	Ready bool
	// Draining is set once any source has reported that this run is shutting down. It is never
	// reset for the same run.
	Draining bool
	// Serves reports whether the run has the model version loaded and its role accepts requests.
	Serves func(version fleet.ModelVersion) bool
	// InFlight is the number of streams placed here that are not known to have ended.
	InFlight int
	// MaxStreams limits InFlight; 0 means no limit.
	MaxStreams int
	// Slots is the number of streams that the engine runs concurrently; 0 means no limit. SlotTime
	// is the mean time for which a stream occupies a slot.
	Slots    int
	SlotTime time.Duration
	// PrefillTokens is the number of uncached prompt tokens queued ahead of a new request: the last
	// load report, plus requests placed since, minus those that have ended.
	PrefillTokens int
	// ComputedTokens is the part of PrefillTokens that the engine is predicted to have computed
	// since it was reported.
	ComputedTokens int
	// LowerPriorityTokens and LowerPriorityStreams are the parts of PrefillTokens and InFlight with
	// a lower priority than the request. The engine serves the request before them.
	LowerPriorityTokens  int
	LowerPriorityStreams int
	// PrefillPerToken is the measured time to prefill one prompt token. Step is the time that a
	// batch step takes in addition.
	PrefillPerToken time.Duration
	Step            time.Duration
	// StepTokens is the maximum number of prompt tokens in one batch step; 0 means
	// DefaultStepTokens.
	StepTokens int
	// CachedBlocks is the number of leading blocks of the request's prefix that are cached here.
	CachedBlocks int
	// PendingBlocks is the number of leading blocks, including CachedBlocks, that are cached here
	// once the prefill of an earlier request completes.
	PendingBlocks int
	// PendingRemaining is the time until PendingBlocks are computed. The work is also part of
	// PrefillTokens.
	PendingRemaining time.Duration
	// ImportBlocks is the number of leading blocks that this engine can import from another holder
	// before prefill; 0 means that no holder with more blocks is known. An import takes ImportSetup
	// plus ImportPerToken for each token.
	ImportBlocks   int
	ImportPerToken time.Duration
	ImportSetup    time.Duration
	// ImportCostFactor multiplies the import weight for distant holders; 0 counts as 1.
	ImportCostFactor int
	// NetworkDelay is the additional latency of the first token due to distance. TransferCost is
	// the cost of the bytes transferred in both directions.
	NetworkDelay time.Duration
	TransferCost time.Duration
	// ColdTokens is the number of tokens at the end of the prompt that no engine has cached.
	// Computing them does not count as recomputation.
	ColdTokens int
	// DuplicateTokens are charged like recomputed tokens, since a concurrent request may compute
	// the same uncached prefix on another engine.
	DuplicateTokens int
	// FailureCost is the expected time lost to failures of this engine.
	FailureCost time.Duration
	// ReservedPenalty is the cost of using an engine that is reserved for prompts of another size.
	ReservedPenalty time.Duration
	// OutdatedPenalty is the cost of using an outdated model version.
	OutdatedPenalty time.Duration
	// MemoryTokens is the endpoint's KV cache capacity in tokens; 0 if unknown. MemoryUsed is what
	// its requests would occupy, including this one.
	MemoryTokens int
	MemoryUsed   int
	// DecodingStreams is the number of streams that have completed prefill.
	DecodingStreams int
	// StepsPerEvent is the number of batch steps between two events of a stream; 0 disables the
	// decode stall cost.
	StepsPerEvent int
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	ID           fleet.RequestID
	Tenant       fleet.TenantName
	Class        fleet.ClassName
	Rank         int
	ModelVersion fleet.ModelVersion
	Pool         fleet.PoolName
	AgentZone    fleet.ZoneName
	PromptTokens int
	MaxTokens    int
	// BlockTokens is the number of tokens in a block of the prompt's prefix.
	BlockTokens int
	// PartTokens holds the cumulative token counts of a prompt whose parts differ in size; nil if
	// all blocks have BlockTokens tokens.
	PartTokens []int
	Excluded   []fleet.EngineRun
	// Deadline is the time left until the first token is due; 0 means no deadline.
	Deadline time.Duration
	// MaxWait is the longest wait for requests of the same or a higher priority; 0 means any.
	MaxWait time.Duration
	// MinTieFraction is the least tie fraction for this request, if it is above that of the options.
	MinTieFraction float64
	// RecomputeDiscount is the fraction of the recomputation price, from 0 to 1, that is waived
	// because the request has waited for an engine with a warm cache.
	RecomputeDiscount float64
	// Explain requests Decision.Candidates.
	Explain bool
}

// Decision is the outcome of scheduling one request.
type Decision struct {
	// Index is the position of the chosen endpoint in the snapshot.
	Index    int
	Endpoint Endpoint
	// CachedTokens is the number of prompt tokens expected to need no prefill.
	CachedTokens int
	// ImportedTokens is the number of further tokens to import from another holder.
	ImportedTokens int
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// ServiceTime is the part of FirstToken that the request would take on an idle engine. WaitTime
	// is the time for which it waits for requests of the same or a higher priority.
	ServiceTime time.Duration
	WaitTime    time.Duration
	// Late is set if no candidate that waits for at most Request.MaxWait is predicted to meet the
	// deadline. The chosen one is then the earliest of those, or of all if all wait for longer. The
	// caller should refuse the request if it waits for too long.
	Late bool
	// Candidates explains the decision if Request.Explain is set, with one element for each
	// endpoint of the snapshot, in order.
	Candidates []Candidate
}

// Candidate explains how a decision treated one endpoint.
type Candidate struct {
	Run fleet.EngineRun
	// RemovedBy names the filter that removed the endpoint; empty if none did.
	RemovedBy string
	// Scores is valid if RemovedBy is empty.
	Scores Scores
	Chosen bool
}

// Scores holds the predicted costs of serving a request at one endpoint.
type Scores struct {
	// CachedTokens is the number of prompt tokens expected to need no prefill.
	CachedTokens int
	// Queue is the time until the request's own prefill can begin if it waits for all queued prompt
	// work.
	Queue time.Duration
	// LowerPriority is the part of Queue due to lower-priority requests. It does not delay this
	// request, but counts in its cost because those requests are delayed instead.
	LowerPriority time.Duration
	// Computed is the part of Queue that the engine is predicted to have done.
	Computed time.Duration
	// ImportedTokens is the number of prompt tokens that are faster to import than to compute.
	// Import is the time that this takes.
	ImportedTokens int
	Import         time.Duration
	// Prefill is the time to compute the uncached part of the prompt.
	Prefill time.Duration
	// Interference is the time that batch steps shared with decoding streams add.
	Interference time.Duration
	// Zone is the cost of leaving the agent's zone, including the network delay.
	Zone time.Duration
	// Transfer is the cost of the bytes transferred to and from the endpoint.
	Transfer time.Duration
	// Recompute is the cost of the capacity that recomputation takes from other requests. It does
	// not delay this request.
	Recompute time.Duration
	// ImportCost is the cost of imported tokens beyond the time that the import takes.
	ImportCost time.Duration
	// Failure is the expected cost of the engine's failures.
	Failure time.Duration
	// Reserved is the cost of an engine that is reserved for prompts of another size.
	Reserved time.Duration
	// Outdated is the cost of an outdated model version.
	Outdated time.Duration
	// DecodeStall is the cost of the pauses that the prompt causes in other streams.
	DecodeStall time.Duration
	// Memory is the cost of exceeding the endpoint's memory.
	Memory time.Duration
}

// FirstToken returns the time to the first token if the request waits for all queued prompt work,
// none of which has been computed yet.
func (s Scores) FirstToken() time.Duration {
	return s.Queue + s.ServiceTime()
}

// EarliestFirstToken returns the predicted time to the first token if the request is served before
// all lower-priority requests.
func (s Scores) EarliestFirstToken() time.Duration { return s.WaitTime() + s.ServiceTime() }

// WaitTime returns the time for which the request waits for requests of the same or a higher
// priority.
func (s Scores) WaitTime() time.Duration { return max(s.Queue-s.LowerPriority-s.Computed, 0) }

// ServiceTime returns the time that the request takes on an idle engine.
func (s Scores) ServiceTime() time.Duration { return s.Import + s.Prefill + s.Interference + s.Zone }

// Cost returns the total cost, which the picker minimizes.
func (s Scores) Cost() time.Duration {
	prices := s.Recompute + s.ImportCost + s.Failure + s.Reserved + s.Outdated + s.DecodeStall + s.Memory + s.Transfer
	return s.FirstToken() + prices
}
