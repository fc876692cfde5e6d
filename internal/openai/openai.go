// Package openai is the only package that knows the callers' protocol: the
// OpenAI HTTP API for completions, plain and as server-sent events, with a few
// headers of our own. Another dialect of callers replaces this package and
// nothing else.
package openai

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Paths of the API.
const (
	PathChatCompletions = "/v1/chat/completions" // POST
	PathCompletions     = "/v1/completions"      // POST
	PathModels          = "/v1/models"           // GET
)

// Request headers.
const (
	// HeaderAuthorization carries "Bearer KEY"; the key names the tenant.
	HeaderAuthorization = "Authorization"
	// HeaderClass names a priority class; without it the tenant's first
	// class applies.
	HeaderClass = "X-Tillerfall-Class"
	// HeaderNotRepeatable is "true" for a request that must run at most once.
	HeaderNotRepeatable = "X-Tillerfall-Not-Repeatable"
	// HeaderDeadline is the time in milliseconds after which the caller has no
	// use for the answer.
	HeaderDeadline = "X-Tillerfall-Deadline-Ms"
	// HeaderIdempotencyKey marks requests that are the same to the caller.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID becomes the first part of the request's identifier. The
	// answer carries the whole identifier under the same name.
	HeaderRequestID = "X-Request-Id"
)

// Answer headers.
const (
	headerRetryAfter       = "Retry-After"
	headerRetryAfterMillis = "Retry-After-Ms"
	// headerShouldRetry is read by OpenAI's client libraries, which otherwise
	// repeat a request on any status of 500 or more by themselves.
	headerShouldRetry = "X-Should-Retry"
)

// Endpoint tells which form of answer a request wants.
type Endpoint int

// The endpoints that run a model.
const (
	Chat Endpoint = iota
	Completion
)

// Request is a decoded request body.
type Request struct {
	Endpoint Endpoint
	// Model is "model" or "model:adapter", as the caller wrote it.
	Model string
	// Prompt is the text for the engine; chat messages are rendered into it.
	Prompt string
	// MaxTokens bounds the output; 0 means that the caller gave no bound.
	MaxTokens int
	// Stream asks for server-sent events.
	Stream bool
	// IncludeUsage asks for the usage at the end of a stream.
	IncludeUsage bool
}

// Usage counts tokens as the API reports them.
type Usage struct {
	PromptTokens int
	// CachedTokens is the part of the prompt found in the engine's cache.
	CachedTokens     int
	CompletionTokens int
}

// Failure is an answer that isn't a result.
type Failure struct {
	Code    resultcode.Code
	Message string
	// Param names the field or header at fault, if any.
	Param     string
	RequestID fleet.RequestID
	// RetryAfter is when to come back; 0 leaves it open.
	RetryAfter time.Duration
	// NotRepeatable is set when the caller's library must not repeat the
	// request by itself unless it did not run.
	NotRepeatable bool
}

// Error implements error.
func (f *Failure) Error() string { return f.Code.String() + ": " + f.Message }

func invalidParameter(param, message string) *Failure {
	return &Failure{Code: resultcode.InvalidParameter, Message: message, Param: param}
}

func malformedBody(param, message string) *Failure {
	return &Failure{Code: resultcode.MalformedBody, Message: message, Param: param}
}
