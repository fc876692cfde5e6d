package attempt

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Action is something to be done for a request. Actions are carried out in
// their order. A terminal action ends every operation still under way, save
// best-effort cancels.
type Action interface{ action() }

// RequestPlacement asks a router for an engine. Its answer is Granted, Refused,
// HandedBack or PlacementFailed.
type RequestPlacement struct {
	Operation Operation
	// Attempt is a new number for each question, so that a late answer to an
	// earlier one can't be taken for the answer to this.
	Attempt fleet.Attempt
	// Excluded lists the engine runs that this request has failed at.
	Excluded []fleet.EngineRun
	// ContinuationTokens counts the tokens that the caller already has.
	ContinuationTokens int
	// Preferred lists routers to try first; empty leaves the choice.
	Preferred []fleet.Address
	// Delay is the time to wait before asking.
	Delay time.Duration
}

// Dispatch starts the stream at an engine. Its answer is DispatchNotSent,
// DispatchRejected, DispatchUnknown or frames.
type Dispatch struct {
	Operation Operation
	Attempt   fleet.Attempt
	Run       fleet.EngineRun
	Address   fleet.Address
	Stream    fleet.StreamID
	Priority  int
	// Continuation holds the token texts that the caller already has.
	Continuation []string
}

// Resume reads the stream again from a token's index. Its answer is
// ResumeRejected, ResumeFailed or frames.
type Resume struct {
	Operation Operation
	Run       fleet.EngineRun
	Address   fleet.Address
	Stream    fleet.StreamID
	Offset    int
	// Delay is the time to wait before asking.
	Delay time.Duration
}

// CancelAndFence stops a stream and bars any later dispatch of it.
type CancelAndFence struct {
	// Operation is 0 when the cancel is best effort: nobody waits for its
	// answer. Otherwise it is answered by CancelAnswered or CancelFailed.
	Operation Operation
	Run       fleet.EngineRun
	Address   fleet.Address
	Stream    fleet.StreamID
	// Delay is the time to wait before asking.
	Delay time.Duration
}

// EmitToken passes one token on to the caller.
type EmitToken struct {
	Index int
	Text  string
}

// Finish is terminal: the caller has the whole output.
type Finish struct {
	Reason       string
	PromptTokens int
	// CachedTokens is the part of the prompt that the engine took from its
	// cache, at the last attempt.
	CachedTokens int
	OutputTokens int
}

// Fail is terminal: the caller gets an error.
type Fail struct {
	Code   resultcode.Code
	Reason string
	// RetryAfter is when to come back; 0 means not at all, or that nothing is
	// known.
	RetryAfter time.Duration
}

// NotRun tells that the request certainly did not run.
func (f Fail) NotRun() bool { return resultcode.Lookup(f.Code).NotRun }

// Abort is terminal: the caller is gone and nothing is answered.
type Abort struct{}

// ReportPhase tells a router what became of a grant.
type ReportPhase int

// Phases of a granted attempt.
const (
	ReportAccepted ReportPhase = iota + 1
	ReportFirstToken
	ReportFinished
	// ReportFailed means that the engine lost or rejected the attempt.
	ReportFailed
	// ReportAbandoned means that the grant was never used.
	ReportAbandoned
)

// Report tells the router that granted an attempt what became of it.
type Report struct {
	Attempt      fleet.Attempt
	Run          fleet.EngineRun
	Phase        ReportPhase
	CachedTokens int
	OutputTokens int
	// EngineLost is set when the engine can't be reached or is another
	// incarnation.
	EngineLost bool
}

func (RequestPlacement) action() {}
func (Dispatch) action()         {}
func (Resume) action()           {}
func (CancelAndFence) action()   {}
func (EmitToken) action()        {}
func (Finish) action()           {}
func (Fail) action()             {}
func (Abort) action()            {}
func (Report) action()           {}
