// Package scheduling decides which engine gets a request: filters remove the
// engines that must not have it, scorers predict what each of the rest would
// cost, a picker takes one. Each step reads an immutable snapshot and has no
// I/O. The shape follows the endpoint picker of the Gateway API inference
// extension; scores are predicted times instead of weighted points, so that a
// long queue and a missing prefix are compared in one unit.
package scheduling

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Endpoint is what is known of one engine run at the moment of a decision.
type Endpoint struct {
	Run     fleet.EngineRun
	Address fleet.Address
	Zone    fleet.ZoneName
	Pool    fleet.PoolName
	// Ready is false for an engine that hasn't answered lately.
	Ready bool
	// Draining is true once any source has said that this run is leaving; it
	// never becomes false again for the same run.
	Draining bool
	// Serves tells whether the run has the weights loaded and its role takes requests.
	Serves func(version fleet.Weights) bool
	// InFlight counts the streams placed here and not known to have ended.
	InFlight int
	// MaxStreams bounds InFlight; 0 means no bound.
	MaxStreams int
	// Slots is the number of streams that the engine runs at once; 0 means any
	// number. SlotTime is the mean time that a stream holds one.
	Slots    int
	SlotTime time.Duration
	// PrefillTokens is the uncached prompt work ahead of a new request: the
	// last load report plus what was placed since, less what has ended.
	PrefillTokens int
	// LowerPriorityTokens and OvertakenStreams are the parts of PrefillTokens and InFlight
	// that are less urgent than the request: the engine takes it before them.
	LowerPriorityTokens  int
	LowerPriorityStreams int
	// PrefillPerToken and Step are the engine's measured speed: the time to
	// compute a prompt token, and the time that a batch step takes besides.
	PrefillPerToken time.Duration
	Step            time.Duration
	// StepTokens is the most prompt tokens of one batch step; 0 means
	// DefaultStepTokens.
	StepTokens int
	// CachedBlocks is the length of the request's prefix held here.
	CachedBlocks int
	// PendingBlocks is the part of the prefix that a request placed here
	// earlier is computing now, CachedBlocks included.
	PendingBlocks int
	// PendingRemaining is the time until PendingBlocks are computed. The work
	// is part of PrefillTokens too.
	PendingRemaining time.Duration
	// ImportBlocks is the length of the request's prefix that this engine can
	// take over from another holder before it computes, at ImportPerToken and
	// ImportSetup; 0 means that nobody is known to hold more.
	ImportBlocks   int
	ImportPerToken time.Duration
	ImportSetup    time.Duration
	// ImportCostFactor is how many times as dear the move is as one nearby; 0 counts as 1.
	ImportCostFactor int
	// NetworkDelay is by how much later the first token comes from there, Crossing the price of
	// the bytes that go there and back.
	NetworkDelay time.Duration
	TransferCost time.Duration
	// ColdTokens is the end of the prompt that nobody holds: computing it is no
	// recomputation.
	ColdTokens int
	// DuplicateTokens are charged like recomputed ones, since another request may have
	// the unread prefix computed elsewhere at the same time.
	DuplicateTokens int
	// FailureCost is the time that failures of this engine are expected to cost.
	FailureCost time.Duration
	// ReservedPenalty is the price of taking an engine that is kept for requests of
	// another size.
	ReservedPenalty time.Duration
	// OutdatedPenalty is the price of weights that have been replaced.
	OutdatedPenalty time.Duration
	// MemoryTokens is the endpoint's memory for KV cache; 0 if it doesn't matter.
	// MemoryUsed is what its requests would hold there with this one.
	MemoryTokens int
	MemoryUsed   int
	// DecodingStreams counts the streams that are past their prompts here.
	DecodingStreams int
	// StepsPerEvent is the number of batch steps between two events of a stream; 0
	// if the streams' pauses don't matter.
	StepsPerEvent int
}

// Request is what a decision needs to know of a request.
type Request struct {
	ID           fleet.RequestID
	Tenant       fleet.TenantName
	Class        fleet.ClassName
	Rank         int
	ModelVersion fleet.Weights
	Pool         fleet.PoolName
	AgentZone    fleet.ZoneName
	PromptTokens int
	MaxTokens    int
	// BlockTokens is the size of every block of the prompt's prefix.
	BlockTokens int
	// PartTokens holds, for prompts of named parts of different sizes, the tokens
	// up to the end of each part; nil for blocks of one size.
	PartTokens []int
	Excluded   []fleet.EngineRun
	// Deadline is the time left until the first token is of no use; 0 means none.
	Deadline time.Duration
	// RecomputeDiscount is the part of the price of recomputation, 0 to 1, that
	// isn't charged to this request, because it has waited for a warm engine.
	RecomputeDiscount float64
	// Explain asks for Decision.Candidates.
	Explain bool
}

// Decision is the outcome of scheduling one request.
type Decision struct {
	// Index is the chosen endpoint's position in the snapshot.
	Index    int
	Endpoint Endpoint
	// CachedTokens is the expected part of the prompt that needs no prefill.
	CachedTokens int
	// ImportedTokens is the part beyond it to be taken over from another holder.
	ImportedTokens int
	// FirstToken is the predicted time until the first token.
	FirstToken time.Duration
	// ServiceTime is the part of FirstToken that the request takes at an idle engine, and Wait
	// the part for which it waits for others, without those that it overtakes.
	ServiceTime time.Duration
	WaitTime    time.Duration
	// Late is true when no candidate is predicted to meet the deadline; the
	// chosen one is the earliest. The caller should refuse the request.
	Late bool
	// Candidates explains the decision, one element for each endpoint of the
	// snapshot in its order, if the request asked for it.
	Candidates []Candidate
}

// Candidate tells what a decision made of one endpoint.
type Candidate struct {
	Run fleet.EngineRun
	// RemovedBy names the filter that removed the endpoint; empty if none did.
	RemovedBy string
	// Scores are meaningful if no filter removed the endpoint.
	Scores Scores
	Chosen bool
}

// Scores are the predicted costs of serving a request at one endpoint.
type Scores struct {
	// CachedTokens is the part of the prompt expected to need no prefill.
	CachedTokens int
	// Queue is the time until the request's own prefill can begin.
	Queue time.Duration
	// LowerPriority is the part of Queue that doesn't delay the request, since the engine
	// takes it before: what it holds up there counts all the same.
	LowerPriority time.Duration
	// ImportedTokens is the part of the prompt that is cheaper to take over from
	// another holder than to compute, and Import the time that this takes.
	ImportedTokens int
	Import         time.Duration
	// Prefill is the time to compute the uncached part of the prompt.
	Prefill time.Duration
	// Interference is the time that decoding streams take out of both.
	Interference time.Duration
	// Zone is the price of leaving the agent's zone, the delay from there included.
	Zone time.Duration
	// Transfer is the price of the bytes that leave the zone.
	Transfer time.Duration
	// Recompute is the price of the capacity that recomputing takes from
	// others. It doesn't delay this request.
	Recompute time.Duration
	// ImportCost is the price of what is taken over besides the time that it takes.
	ImportCost time.Duration
	// Failure is the price of the engine's failures.
	Failure time.Duration
	// Reserved is the price of an engine that is kept for others.
	Reserved time.Duration
	// Outdated is the price of weights that have been replaced.
	Outdated time.Duration
	// DecodeStall is the price of the pauses that the prompt makes in the streams
	// of others.
	DecodeStall time.Duration
	// Memory is the price of what doesn't fit into the endpoint's memory.
	Memory time.Duration
}

// FirstToken is the predicted time until the first token.
func (s Scores) FirstToken() time.Duration {
	return s.Queue + s.ServiceTime()
}

// EarliestFirstToken is FirstToken for a request that overtakes all that it may.
func (s Scores) EarliestFirstToken() time.Duration { return s.WaitTime() + s.ServiceTime() }

// WaitTime returns the time for which the request waits for others.
func (s Scores) WaitTime() time.Duration { return s.Queue - s.LowerPriority }

// ServiceTime returns the time that the request takes itself.
func (s Scores) ServiceTime() time.Duration { return s.Import + s.Prefill + s.Interference + s.Zone }

// Cost is what the picker minimises.
func (s Scores) Cost() time.Duration {
	prices := s.Recompute + s.ImportCost + s.Failure + s.Reserved + s.Outdated + s.DecodeStall + s.Memory + s.Transfer
	return s.FirstToken() + prices
}
