package placement

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/flowcontrol"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Key identifies one attempt of a request to be placed.
type Key = flowcontrol.Key

// Request is one attempt that an agent asks to have placed.
type Request struct {
	Key          Key
	Tenant       fleet.TenantName
	ModelVersion fleet.Weights
	Class        fleet.ClassName
	// PromptTokens and MaxTokens are the lengths of prompt and output.
	PromptTokens int
	MaxTokens    int
	// Blocks holds the chained hashes of the prompt's whole blocks, longest
	// prefix last. The core keeps the slice until the request's prefill is done.
	Blocks []fleet.BlockHash
	// Deadline is the time left for the caller; 0 means none.
	Deadline time.Duration
	// Excluded lists the engine runs where earlier attempts failed.
	Excluded []fleet.EngineRun
	// ContinuationTokens counts the output that the caller already has.
	ContinuationTokens int
	AgentZone          fleet.ZoneName
	// Hops counts the routers that have handed this request back already.
	Hops int
	// Spills counts those of them, since the request's last grant, that were
	// saturated.
	Spills int
	// KnownRevision is the configuration that the agent resolved the request by;
	// 0 means unknown.
	KnownRevision fleet.Revision
}

// Outcome is the answer to one Submit: a Grant, a Refusal or a HandBack.
type Outcome interface {
	// OutcomeKey tells which attempt is answered.
	OutcomeKey() Key
}

// Grant gives an attempt an engine run.
type Grant struct {
	Key     Key
	Run     fleet.EngineRun
	Address fleet.Address
	// Priority orders the request at the engine; lower runs first.
	Priority int
	// ExpectedCachedTokens is the part of the prompt believed to be cached.
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
	// RetryAfter is when to come back; 0 means at once, with corrected input.
	RetryAfter time.Duration
}

// HandBackReason tells why an attempt goes to another router.
type HandBackReason string

// Reasons for a hand-back.
const (
	// HandBackDraining means that this router is stopping.
	HandBackDraining HandBackReason = "draining"
	// HandBackNoEngine means that no engine of the model is owned here.
	HandBackNoEngine HandBackReason = "no_engine"
	// HandBackStaleConfiguration means that the agent knows a newer configuration.
	HandBackStaleConfiguration HandBackReason = "configuration_behind"
	// HandBackWarmingUp means that this router has just started and doesn't know the
	// caches of its engines yet, and that others may.
	HandBackWarmingUp HandBackReason = "warming_up"
	// HandBackSaturated means that the engines owned here are busy for longer
	// than it is worth to wait, and that other routers own more of the pool.
	HandBackSaturated HandBackReason = "saturated"
)

// HandBack says that an attempt was not placed and can go to another router
// at once.
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

// Phase tells how far a granted attempt has come.
type Phase int

// Phases of an attempt.
const (
	// PhaseAccepted means that the engine holds the stream.
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

// isTerminal tells whether the attempt takes no more of the engine.
func (p Phase) isTerminal() bool { return p >= PhaseFinished }

// AttemptReport is an agent's word on a granted attempt. Reports may come late,
// twice or not at all.
type AttemptReport struct {
	Key   Key
	Run   fleet.EngineRun
	Phase Phase
	// CachedTokens is the part of the prompt that the engine had cached.
	CachedTokens int
	OutputTokens int
	// EngineLost is set when the engine can't be reached or is another incarnation.
	EngineLost bool
}
