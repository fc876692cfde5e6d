package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/flowcontrol"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Key identifies an attempt to place a request.
type Key = flowcontrol.Key

// Request is an attempt submitted by an agent for placement.
type Request struct {
	Key          Key
	Tenant       fleet.TenantName
	ModelVersion fleet.ModelVersion
	Class        fleet.ClassName
	// PromptTokens and MaxTokens are the lengths of the prompt and of the output.
	PromptTokens int
	MaxTokens    int
	// Blocks holds the chained hashes of the prompt's full blocks, longest prefix last. The core
	// keeps the slice until the prefill is done.
	Blocks []fleet.BlockHash
	// Deadline is the caller's remaining time; 0 means none.
	Deadline time.Duration
	// Excluded lists the engine runs where earlier attempts failed.
	Excluded []fleet.EngineRun
	// ContinuationTokens is the number of output tokens that the caller already has.
	ContinuationTokens int
	AgentZone          fleet.ZoneName
	// Hops counts the routers that have handed the request back.
	Hops int
	// Spills counts the hops since the last grant that were due to saturation.
	Spills int
	// KnownRevision is the configuration revision that the agent used; 0 means unknown.
	KnownRevision fleet.Revision
}

// Outcome is the result of a Submit: a Grant, a Refusal or a HandBack.
type Outcome interface {
	// OutcomeKey returns the attempt that the outcome belongs to.
	OutcomeKey() Key
}

// Grant assigns an attempt to an engine run.
type Grant struct {
	Key     Key
	Run     fleet.EngineRun
	Address fleet.Address
	// Priority orders the request at the engine; lower runs first.
	Priority int
	// ExpectedCachedTokens is the number of prompt tokens expected to be cached.
	ExpectedCachedTokens int
	BlockTokens          int
	// ValidFor is the time within which the agent must dispatch.
	ValidFor time.Duration
}

// Refusal says that an attempt was not and will not be placed.
type Refusal struct {
	Key    Key
	Code   resultcode.Code
	Reason string
	// RetryAfter is when to retry; 0 means at once, with corrected input.
	RetryAfter time.Duration
}

// HandBackReason says why an attempt is handed back.
type HandBackReason string

// Reasons for a hand-back.
const (
	// HandBackDraining means that this router is stopping.
	HandBackDraining HandBackReason = "draining"
	// HandBackNoEngine means that this router owns no engine for the model.
	HandBackNoEngine HandBackReason = "no_engine"
	// HandBackStaleConfiguration means that the agent has a newer configuration.
	HandBackStaleConfiguration HandBackReason = "configuration_behind"
	// HandBackWarmingUp means that this router has just started and doesn't know its engines'
	// caches yet, while other routers may.
	HandBackWarmingUp HandBackReason = "warming_up"
	// HandBackSaturated means that the predicted wait at the engines owned here is too long, and
	// that other routers own more of the pool.
	HandBackSaturated HandBackReason = "saturated"
)

// HandBack says that an attempt was not placed and may go to another router at once.
type HandBack struct {
	Key    Key
	Reason HandBackReason
}

// OutcomeKey implements Outcome.
func (g Grant) OutcomeKey() Key { return g.Key }

// OutcomeKey implements Outcome.
func (r Refusal) OutcomeKey() Key { return r.Key }

// OutcomeKey implements Outcome.
func (h HandBack) OutcomeKey() Key { return h.Key }

// Phase is the progress of a granted attempt.
type Phase int

// Phases of an attempt.
const (
	// PhaseAccepted means that the engine accepted the stream.
	PhaseAccepted Phase = iota + 1
	// PhaseFirstToken means that the prompt has been computed.
	PhaseFirstToken
	// PhaseFinished means that the stream is complete.
	PhaseFinished
	// PhaseFailed means that the engine lost or rejected the stream.
	PhaseFailed
	// PhaseAbandoned means that the attempt was never dispatched or was cancelled.
	PhaseAbandoned
)

// isTerminal reports whether the attempt no longer uses the engine.
func (p Phase) isTerminal() bool { return p >= PhaseFinished }

// AttemptReport is an agent's report on a granted attempt. Reports may be late, duplicated or lost.
type AttemptReport struct {
	Key   Key
	Run   fleet.EngineRun
	Phase Phase
	// CachedTokens is the number of prompt tokens that the engine had cached.
	CachedTokens int
	OutputTokens int
	// EngineLost is set if the engine can't be reached or is another incarnation.
	EngineLost bool
}
