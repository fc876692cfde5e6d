// Package upstream carries single HTTP exchanges to workers. It never retries: each exchange is
// written at most once, on one connection, and its error says whether the request was sent.
//
// It does not use net/http.Transport, which retries requests on idle connections that have died and
// does not report whether any byte was written. Requests are written and responses parsed by
// net/http.
//
// Polls for changes, which may be repeated, are made by clients of net/http. DoPoll judges their responses.
package upstream

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Stage is how far a failed exchange got.
type Stage int

// Stages of a failed exchange.
const (
	// NotSent means that no byte of the request was written.
	NotSent Stage = iota
	// Sent means that the request was written at least in part and no valid response arrived: the
	// worker may have run it.
	Sent
)

// String returns the name of the stage.
func (s Stage) String() string {
	if s == NotSent {
		return "not_sent"
	}
	return "sent"
}

// Causes of a failed exchange.
var (
	// ErrTooManyConnections means that MaxConnections to the worker are in use.
	ErrTooManyConnections = errors.New("too many connections")
	// ErrResponseMismatch means that the response belongs to another request.
	ErrResponseMismatch = errors.New("response to another request: identifier differs")
	// ErrHeadTooLarge means that the head of a response exceeds MaxResponseHeadBytes.
	ErrHeadTooLarge = errors.New("response head too large")
	// ErrUnsolicitedData means that an idle connection received data.
	ErrUnsolicitedData = errors.New("unsolicited data on idle connection")
)

// ExchangeError is the error of an exchange without a response.
type ExchangeError struct {
	Stage Stage
	Cause error
	// Reused is set if the connection had carried an earlier exchange. It was idle for Idle before this one.
	Reused bool
	Idle   time.Duration
}

// Error implements error.
func (e *ExchangeError) Error() string { return e.Stage.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// Request is a request to a worker.
type Request struct {
	Method string
	// Target is the raw request target, path and query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body is the complete body; empty means none.
	Body []byte
	// Permit is called once the connection is available, right before the request is sent. If it
	// returns an error, nothing is sent. nil permits every request.
	Permit func() error
	// Connected is called once the connection is available, with the node through which it goes, which
	// is empty for a direct one; may be nil.
	Connected func(relay fleet.NodeID)
	// Identify tells whether a response answers this request. nil takes every response for its answer.
	Identify func(status int, header http.Header) Identity
}

// Identity tells whether a response answers a request.
type Identity int

// Identities of a response.
const (
	// Identified means that the response names the request.
	Identified Identity = iota
	// Unidentified means that the response names no request. It is the answer if all earlier responses
	// on its connection were identified; a later one there could be a copy of it.
	Unidentified
	// Foreign means that the response names another request, or none where it must.
	Foreign
)

// Destination is one run of one worker.
type Destination struct {
	Engine  fleet.EngineID
	Address fleet.Address
	// MaxConnections limits the connections of this process to the worker; 0 means no limit.
	MaxConnections int
	// MinRemaining is for how long an idle connection must still be valid to be reused, unless it was used a moment ago
	// or no further one may be opened.
	MinRemaining time.Duration
	// Patient is set if a timeout of the connection gains nothing, since the request may not be sent again. Written
	// bytes may then stay unacknowledged for longer.
	Patient bool
}
