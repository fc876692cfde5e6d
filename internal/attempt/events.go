package attempt

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Operation numbers the machine's calls to routers and engines. The answers to
// a call carry its number; answers to any but the latest call are dropped.
type Operation uint32

// Event is something that happened to a request.
type Event interface{ event() }

// Granted is a router's grant of an engine.
type Granted struct {
	Operation Operation
	// Attempt is the attempt that the router answers.
	Attempt  fleet.Attempt
	Run      fleet.EngineRun
	Address  fleet.Address
	Priority int
	// ValidUntil is the time after which the grant must not be used; 0 means
	// no limit.
	ValidUntil time.Duration
}

// Refused is a router's final no.
type Refused struct {
	Operation  Operation
	Code       resultcode.Code
	Reason     string
	RetryAfter time.Duration
}

// Redirected means that a router didn't place the request and that it can go
// to another at once.
type Redirected struct {
	Operation Operation
	// Routers lists the addresses to try, best first; empty leaves the choice.
	Routers []fleet.Address
}

// PlacementFailed means that a router gave no answer. A grant that was lost on
// its way was never used.
type PlacementFailed struct{ Operation Operation }

// DispatchNotSent means that no byte of the dispatch left this side.
type DispatchNotSent struct{ Operation Operation }

// DispatchRejected is an engine's rejection of a dispatch.
type DispatchRejected struct {
	Operation Operation
	Code      engine.ErrorCode
	Message   string
}

// DispatchUnknown means that the dispatch failed when the engine may have had it.
type DispatchUnknown struct {
	Operation Operation
	// TimedOut is set when the engine gave no answer in time, rather than
	// that the connection broke.
	TimedOut bool
}

// FrameReceived is one frame of a dispatched or resumed stream.
type FrameReceived struct {
	Operation Operation
	Frame     engine.Frame
}

// StreamBroken means that a stream's connection ended without a final frame.
type StreamBroken struct{ Operation Operation }

// ResumeRejected is an engine's answer that it doesn't hold the stream.
type ResumeRejected struct {
	Operation Operation
	Code      engine.ErrorCode
	// Incarnation is the answering engine's own; 0 if it gave none.
	Incarnation fleet.Incarnation
}

// ResumeFailed means that a resume got no answer.
type ResumeFailed struct{ Operation Operation }

// CancelAnswered tells what a cancel has found.
type CancelAnswered struct {
	Operation Operation
	State     engine.CancelState
}

// CancelFailed means that a cancel got no answer, or an error.
type CancelFailed struct {
	Operation Operation
	Code      engine.ErrorCode
}

// CallerGone means that nobody waits for the answer any more.
type CallerGone struct{}

// DeadlinePassed means that the request's deadline is over.
type DeadlinePassed struct{}

// Stopping means that the agent ends now, after its grace for running requests.
type Stopping struct{}

func (Granted) event()          {}
func (Refused) event()          {}
func (Redirected) event()       {}
func (PlacementFailed) event()  {}
func (DispatchNotSent) event()  {}
func (DispatchRejected) event() {}
func (DispatchUnknown) event()  {}
func (FrameReceived) event()    {}
func (StreamBroken) event()     {}
func (ResumeRejected) event()   {}
func (ResumeFailed) event()     {}
func (CancelAnswered) event()   {}
func (CancelFailed) event()     {}
func (CallerGone) event()       {}
func (DeadlinePassed) event()   {}
func (Stopping) event()         {}
