package attempt

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Operation identifies a call of the machine to a router or an engine. The answers carry its
// number; answers to any but the latest call are dropped.
type Operation uint32

// Event is an event in the life of a request.
type Event interface{ event() }

// Granted is a router's grant of an engine.
type Granted struct {
	Operation Operation
	// Attempt is the attempt number of the placement request that the router answers.
	Attempt  fleet.Attempt
	Run      fleet.EngineRun
	Address  fleet.Address
	Priority int
	// ValidUntil is the time after which the grant must not be used; 0 means no limit.
	ValidUntil time.Duration
}

// Refused is a router's final refusal.
type Refused struct {
	Operation  Operation
	Code       resultcode.Code
	Reason     string
	RetryAfter time.Duration
}

// Redirected means that a router did not place the request and another one can be asked at once.
type Redirected struct {
	Operation Operation
	// Routers lists the routers to ask, best first; if empty, any router may be asked.
	Routers []fleet.Address
}

// PlacementFailed means that a router did not answer. If it sent a grant that was lost, the grant
// was not used.
type PlacementFailed struct{ Operation Operation }

// DispatchNotSent means that no byte of the dispatch was sent.
type DispatchNotSent struct{ Operation Operation }

// DispatchRejected is an engine's rejection of a dispatch.
type DispatchRejected struct {
	Operation Operation
	Code      engine.ErrorCode
	Message   string
}

// DispatchUnknown means that the dispatch failed after the engine may have received it.
type DispatchUnknown struct {
	Operation Operation
	// TimedOut is set if the engine did not answer in time; it is false if the connection broke.
	TimedOut bool
}

// FrameReceived is a frame of a dispatched or resumed stream.
type FrameReceived struct {
	Operation Operation
	Frame     engine.Frame
}

// StreamBroken means that a stream's connection ended without a final frame.
type StreamBroken struct{ Operation Operation }

// ResumeRejected is an engine's answer that it does not hold the stream.
type ResumeRejected struct {
	Operation Operation
	Code      engine.ErrorCode
	// Incarnation is that of the engine that answered; 0 if unknown.
	Incarnation fleet.Incarnation
}

// ResumeFailed means that a resume was not answered.
type ResumeFailed struct{ Operation Operation }

// CancelAnswered is the state of the stream that a cancel found.
type CancelAnswered struct {
	Operation Operation
	State     engine.CancelState
}

// CancelFailed means that a cancel was answered by an error or not at all.
type CancelFailed struct {
	Operation Operation
	Code      engine.ErrorCode
}

// CallerGone means that the caller has disconnected.
type CallerGone struct{}

// DeadlinePassed means that the request's deadline has passed.
type DeadlinePassed struct{}

// Stopping means that the agent stops now, at the end of the grace period for running requests.
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
