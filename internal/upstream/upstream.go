// Package upstream carries single HTTP exchanges to workers. It decides
// nothing and repeats nothing: each exchange is written at most once, on one
// connection, and its outcome says how far it came.
//
// net/http's own transport is not used for this, because it repeats requests by
// itself on a connection that died while idle, and because it hides whether a
// byte was written. Requests are still written and answers still parsed by
// net/http.
package upstream

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Stage tells how far a failed exchange came.
type Stage int

// Stages of an exchange.
const (
	// NotSent means that no byte of the request was written.
	NotSent Stage = iota
	// Sent means that the request was written, in whole or in part, and that no
	// answer to it came: the worker may have run it.
	Sent
)

// String returns the stage's name.
func (s Stage) String() string {
	if s == NotSent {
		return "not_sent"
	}
	return "sent"
}

// Errors that say why an exchange failed.
var (
	// ErrTooManyConnections means that the worker's share of connections is in use.
	ErrTooManyConnections = errors.New("too many connections")
	// ErrResponseMismatch means that an answer to another request came.
	ErrResponseMismatch = errors.New("answer to another request")
	// ErrUnsolicitedData means that bytes came that nobody had asked for.
	ErrUnsolicitedData = errors.New("surplus bytes on an idle connection")
)

// ExchangeError is the error of an exchange without an answer.
type ExchangeError struct {
	Stage Stage
	Cause error
}

// Error implements error.
func (f *ExchangeError) Error() string { return f.Stage.String() + ": " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *ExchangeError) Unwrap() error { return f.Cause }

// Request is one request to a worker.
type Request struct {
	Method string
	// Target is the raw request target, path and query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body is the whole body; empty means none.
	Body []byte
	// Permit returns an error if the request may not be sent any more, right before it is:
	// a connection may have taken its time. nil means that it always may.
	Permit func() error
	// CheckResponse returns an error for an answer that belongs to another request.
	CheckResponse func(status int, header http.Header) error
}

// Destination is one run of one worker.
type Destination struct {
	Engine  fleet.EngineID
	Address fleet.Address
	// MaxConnections bounds this process's connections; 0 means no bound.
	MaxConnections int
}
