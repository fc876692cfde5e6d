// Package openai implements the API for callers: the requests and responses of the OpenAI HTTP API
// for completions, with optional streaming by server-sent events, and additional X-Tillerfall
// headers.
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
	// HeaderAuthorization carries "Bearer KEY", where the key identifies the tenant.
	HeaderAuthorization = "Authorization"
	// HeaderClass selects a priority class. The default is the tenant's first class.
	HeaderClass = "X-Tillerfall-Class"
	// HeaderNotRepeatable marks a request that must run at most once. Its value is a boolean.
	HeaderNotRepeatable = "X-Tillerfall-Not-Repeatable"
	// HeaderDeadline is the time in milliseconds after which the caller no longer needs the
	// response.
	HeaderDeadline = "X-Tillerfall-Deadline-Ms"
	// HeaderIdempotencyKey identifies repetitions of the same request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID is the first part of the request ID. The response header of the same name
	// carries the full request ID.
	HeaderRequestID = "X-Request-Id"
)

// Response headers.
const (
	headerRetryAfter       = "Retry-After"
	headerRetryAfterMillis = "Retry-After-Ms"
	// headerShouldRetry controls retries by OpenAI's client libraries, which by default retry on
	// every status of 500 or more.
	headerShouldRetry = "X-Should-Retry"
)

// Endpoint identifies the API endpoint of a request, which determines the format of the response.
type Endpoint int

// Endpoints that run a model.
const (
	Chat Endpoint = iota
	Completion
)

// Request is a parsed request body.
type Request struct {
	Endpoint Endpoint
	// Model is "model" or "model:adapter", as requested.
	Model string
	// Prompt is the prompt text, or the chat messages rendered as text.
	Prompt string
	// MaxTokens limits the output; 0 means that the request sets no limit.
	MaxTokens int
	// Stream requests the response as server-sent events.
	Stream bool
	// IncludeUsage requests the token usage at the end of a stream.
	IncludeUsage bool
}

// Usage holds the token counts that the API reports.
type Usage struct {
	PromptTokens int
	// CachedTokens is the number of prompt tokens that were in the engine's cache.
	CachedTokens     int
	CompletionTokens int
}

// Failure is an error response.
type Failure struct {
	Code    resultcode.Code
	Message string
	// Param is the name of the invalid field or header, if any.
	Param     string
	RequestID fleet.RequestID
	// RetryAfter is the recommended delay before a retry; 0 means none is recommended.
	RetryAfter time.Duration
	// NotRepeatable forbids an automatic retry by the caller's library, unless the request did not
	// run.
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
