package attempt

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Action is a step to be carried out for a request. Actions are carried out in order. A terminal
// action ends all operations in flight except best-effort cancels.
type Action interface{ action() }

// RequestPlacement asks a router for an engine. It is answered by Granted, Refused, Redirected or
// PlacementFailed.
type RequestPlacement struct {
	Operation Operation
	// Attempt is unique to each placement request, so a late answer to an earlier one is not
	// mistaken for the answer to this one.
	Attempt fleet.Attempt
	// Excluded lists the engine runs on which this request has failed.
	Excluded []fleet.EngineRun
	// ContinuationTokens counts the tokens that the caller already has.
	ContinuationTokens int
	// Preferred lists the routers to try first; if empty, any router may be asked.
	Preferred []fleet.Address
	// Delay is the time to wait before sending.
	Delay time.Duration
}

// Dispatch starts the stream at an engine. It is answered by DispatchNotSent, DispatchRejected,
// DispatchUnknown or frames.
type Dispatch struct {
	Operation Operation
	Attempt   fleet.Attempt
	Run       fleet.EngineRun
	Address   fleet.Address
	Stream    fleet.StreamID
	Priority  int
	// Continuation holds the texts of the tokens that the caller already has.
	Continuation []string
}

// Resume reads the stream again from the token at Offset. It is answered by ResumeRejected,
// ResumeFailed or frames.
type Resume struct {
	Operation Operation
	Run       fleet.EngineRun
	Address   fleet.Address
	Stream    fleet.StreamID
	Offset    int
	// Delay is the time to wait before sending.
	Delay time.Duration
}

// CancelAndFence stops a stream and prevents any later dispatch of it from running.
type CancelAndFence struct {
	// Operation is 0 for a best-effort cancel, whose answer is ignored. Any other is answered by
	// CancelAnswered or CancelFailed.
	Operation Operation
	Run       fleet.EngineRun
	Address   fleet.Address
	Stream    fleet.StreamID
	// Delay is the time to wait before sending.
	Delay time.Duration
}

// EmitToken passes a token to the caller.
type EmitToken struct {
	Index int
	Text  string
}

// Finish is terminal: the caller has the complete output.
type Finish struct {
	Reason       string
	PromptTokens int
	// CachedTokens counts the prompt tokens that the last engine took from its cache.
	CachedTokens int
	OutputTokens int
}

// Fail is terminal: the caller gets an error.
type Fail struct {
	Code   resultcode.Code
	Reason string
	// RetryAfter is the time after which the caller may retry; 0 means never or unknown.
	RetryAfter time.Duration
}

// NotRun reports whether the request certainly did not run.
func (f Fail) NotRun() bool { return resultcode.Lookup(f.Code).NotRun }

// Abort is terminal: the caller has disconnected and gets no answer.
type Abort struct{}

// ReportPhase is the state of a granted attempt, as reported to its router.
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

// Report informs the router that granted an attempt of its progress.
type Report struct {
	Attempt      fleet.Attempt
	Run          fleet.EngineRun
	Phase        ReportPhase
	CachedTokens int
	OutputTokens int
	// EngineLost is set if the engine is unreachable or has been replaced by another incarnation.
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
