package engine

import (
	"net/http"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Error codes that the client sets itself; engines don't send them.
const (
	// ErrorConnect means that no connection could be established, so nothing was sent.
	ErrorConnect ErrorCode = "connect"
	// ErrorConnectionLost means that the connection failed or the context ended after the engine
	// may have received the request.
	ErrorConnectionLost ErrorCode = "connection_lost"
	// ErrorProtocol means that the response was malformed, exceeded a limit or belonged to another
	// stream.
	ErrorProtocol ErrorCode = "protocol"
)

// Error describes a failed request to an engine.
type Error struct {
	Code    ErrorCode
	Message string
	// Incarnation is the engine's incarnation if the engine sent the error, otherwise 0.
	Incarnation fleet.Incarnation
	// Sent is false only if no byte of the request was sent.
	Sent bool
	// Cause is the underlying transport or decoding error; nil if the engine sent the error.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return "engine: " + string(e.Code) + ": " + e.Message
}

// Unwrap returns Cause, which lets errors.Is match context errors.
func (e *Error) Unwrap() error { return e.Cause }

// Outcome classifies a failed dispatch by whether the engine may have run the stream.
type Outcome int

// Outcomes of a failed dispatch.
const (
	// OutcomeUnknown means that the engine may have accepted or run the stream.
	OutcomeUnknown Outcome = iota
	// OutcomeNotSent means that no part of the request was sent.
	OutcomeNotSent
	// OutcomeRejected means that the engine rejected the request before doing any work.
	OutcomeRejected
)

// Outcome returns the outcome of the failed dispatch. ErrorDuplicate yields OutcomeUnknown, because
// an earlier dispatch of the same stream took effect.
func (e *Error) Outcome() Outcome {
	if !e.Sent {
		return OutcomeNotSent
	}
	switch e.Code {
	case ErrorWrongIncarnation, ErrorVersionNotLoaded, ErrorBarred,
		ErrorDraining, ErrorOverloaded, ErrorBadRequest:
		return OutcomeRejected
	default:
		return OutcomeUnknown
	}
}

// httpStatus returns the HTTP status for an error code.
func httpStatus(code ErrorCode) int {
	switch code {
	case ErrorBadRequest, ErrorChecksum:
		return http.StatusBadRequest
	case ErrorUnknownStream:
		return http.StatusNotFound
	case ErrorWrongIncarnation, ErrorBarred, ErrorDuplicate, ErrorStaleFence, ErrorVersionNotLoaded:
		return http.StatusConflict
	case ErrorDraining, ErrorOverloaded:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
