package engine

import (
	"net/http"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Codes that only the client gives; they never travel.
const (
	// ErrorConnect means that no connection came about, so nothing was sent.
	ErrorConnect ErrorCode = "connect"
	// ErrorConnectionLost means that the connection broke, or the context
	// ended, when the engine may already have had the request.
	ErrorConnectionLost ErrorCode = "connection_lost"
	// ErrorProtocol means that the engine's answer couldn't be understood, was
	// over a limit or belongs to another stream.
	ErrorProtocol ErrorCode = "protocol"
)

// Error is a failed exchange with an engine.
type Error struct {
	Code    ErrorCode
	Message string
	// Incarnation is the engine's own when the engine gave the error, else 0.
	Incarnation fleet.Incarnation
	// Sent is false only when certainly no byte of the request left this side.
	Sent bool
	// Cause is the transport's error, nil when the engine itself answered.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return "engine: " + string(e.Code) + ": " + e.Message
}

// Unwrap gives the transport's error, so that context errors can be told.
func (e *Error) Unwrap() error { return e.Cause }

// Outcome tells what a failed dispatch has left at the engine.
type Outcome int

// The outcomes of a failed dispatch.
const (
	// OutcomeUnknown means that the engine may hold or have run the stream.
	OutcomeUnknown Outcome = iota
	// OutcomeNotSent means that the request certainly never left this side.
	OutcomeNotSent
	// OutcomeRejected means that the engine refused before any work.
	OutcomeRejected
)

// Outcome tells what the failed dispatch has left at the engine. A duplicate
// counts as unknown: an earlier dispatch of the same stream took effect.
func (e *Error) Outcome() Outcome {
	if !e.Sent {
		return OutcomeNotSent
	}
	switch e.Code {
	case ErrorWrongIncarnation, ErrorWeightsNotLoaded, ErrorBarred,
		ErrorDraining, ErrorOverloaded, ErrorBadRequest:
		return OutcomeRejected
	default:
		return OutcomeUnknown
	}
}

// httpStatus returns the HTTP status that carries an error code.
func httpStatus(code ErrorCode) int {
	switch code {
	case ErrorBadRequest, ErrorChecksum:
		return http.StatusBadRequest
	case ErrorUnknownStream:
		return http.StatusNotFound
	case ErrorWrongIncarnation, ErrorBarred, ErrorDuplicate, ErrorStaleFence, ErrorWeightsNotLoaded:
		return http.StatusConflict
	case ErrorDraining, ErrorOverloaded:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
