// Package engine is the only package that knows the engines' protocol: HTTP
// with JSON bodies, and server-sent events for token streams. Another dialect
// of engine replaces this package and nothing else.
package engine

import "github.com/tillerfall/tillerfall/internal/fleet"

// Paths of the engine protocol.
const (
	PathStreams = "/v1/streams"            // POST dispatches
	PathResume  = "/v1/streams/:id"        // GET resumes from ?offset=
	PathCancel  = "/v1/streams/:id/cancel" // POST cancels and bars
	PathStatus  = "/v1/status"             // GET
	PathEvents  = "/v1/cache/events"       // GET ?after=SEQ&wait_ms=N, long poll
	PathCache   = "/v1/cache"              // GET, the whole cache for resynchronisation
	PathOrders  = "/v1/orders"             // POST, fenced
	PathExport  = "/v1/kv/export"          // POST
	PathImport  = "/v1/kv/import"          // POST
)

// Weights is the wire form of fleet.Weights.
type Weights struct {
	Model   fleet.ModelName   `json:"model"`
	Adapter fleet.AdapterName `json:"adapter,omitempty"`
	Version fleet.VersionName `json:"version"`
}

// DispatchRequest starts one attempt of a request at an engine. The engine
// rejects it when Incarnation isn't its own, when the weights aren't loaded,
// or when the stream has been barred by an earlier cancel.
type DispatchRequest struct {
	StreamID    fleet.StreamID    `json:"stream_id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Tenant      fleet.TenantName  `json:"tenant"`
	Weights     Weights           `json:"weights"`
	Prompt      string            `json:"prompt"`
	// MaxTokens bounds the whole output, continuation included.
	MaxTokens int `json:"max_tokens"`
	// Priority orders waiting work at the engine; lower runs first.
	Priority int `json:"priority"`
	// Continuation holds the texts of the tokens that the caller already has.
	// The engine continues after exactly these and numbers from their count.
	Continuation []string `json:"continuation,omitempty"`
}

// FrameKind tells what a stream frame carries.
type FrameKind string

// The kinds of stream frames, also their SSE event names.
const (
	// FrameAccepted is the first frame: the engine holds the stream.
	FrameAccepted FrameKind = "accepted"
	// FrameToken carries one token.
	FrameToken FrameKind = "token"
	// FrameDone ends a complete stream and carries its token count.
	FrameDone FrameKind = "done"
	// FrameError ends a stream that the engine gave up.
	FrameError FrameKind = "error"
)

// Frame is one event of a token stream.
type Frame struct {
	Kind FrameKind `json:"kind"`
	// Stream repeats the stream identifier, so that a crossed answer shows.
	Stream fleet.StreamID `json:"stream"`
	// Index is the token's position in the whole output, from 0.
	Index int    `json:"index,omitempty"`
	Text  string `json:"text,omitempty"`
	// Count is the number of tokens of the whole output (FrameDone).
	Count int `json:"count,omitempty"`
	// FinishReason is "stop" or "length" (FrameDone).
	FinishReason string `json:"finish_reason,omitempty"`
	// PromptTokens and CachedTokens are sent on FrameAccepted (CachedTokens as
	// known then) and on FrameDone (final).
	PromptTokens int `json:"prompt_tokens,omitempty"`
	CachedTokens int `json:"cached_tokens,omitempty"`
	// Error and Message describe FrameError.
	Error   ErrorCode `json:"error,omitempty"`
	Message string    `json:"message,omitempty"`
}

// ErrorCode is the engine's machine-readable reason for a rejection.
type ErrorCode string

// Engine error codes. Each but ErrorInternal and ErrorCancelled is sent before
// any work has been done for the dispatch that it answers.
const (
	ErrorWrongIncarnation ErrorCode = "wrong_incarnation"
	ErrorWeightsNotLoaded ErrorCode = "weights_not_loaded"
	ErrorBarred           ErrorCode = "barred"
	ErrorDuplicate        ErrorCode = "duplicate_stream"
	ErrorDraining         ErrorCode = "draining"
	ErrorOverloaded       ErrorCode = "overloaded"
	ErrorStaleFence       ErrorCode = "stale_fencing_token"
	ErrorUnknownStream    ErrorCode = "unknown_stream"
	ErrorBadRequest       ErrorCode = "bad_request"
	ErrorChecksum         ErrorCode = "checksum"
	ErrorInternal         ErrorCode = "internal"
	// ErrorCancelled ends the frames of a stream that was cancelled.
	ErrorCancelled ErrorCode = "cancelled"
)

// ErrorBody is the JSON body of every answer with a status of 400 or more.
type ErrorBody struct {
	Error       ErrorCode         `json:"error"`
	Message     string            `json:"message"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// CancelRequest asks an engine to stop a stream and to reject any later
// dispatch of it.
type CancelRequest struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// CancelState is what a cancel found.
type CancelState string

// The states that a cancel can find. After CancelNeverRan the stream is barred
// and certainly never ran at this incarnation.
const (
	CancelNeverRan  CancelState = "never_ran"
	CancelCancelled CancelState = "cancelled"
	CancelFinished  CancelState = "finished"
)

// CancelResponse is the outcome of a cancel. A wrong incarnation is an error:
// a newer run of the engine knows nothing of the stream.
type CancelResponse struct {
	State  CancelState `json:"state"`
	Tokens int         `json:"tokens"`
}

// Role tells what work an engine takes.
type Role string

// Engine roles.
const (
	RoleServe   Role = "serve"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Status is the engine's word about itself. Load may lag.
type Status struct {
	Engine      fleet.EngineID     `json:"engine"`
	Incarnation fleet.Incarnation  `json:"incarnation"`
	Zone        fleet.ZoneName     `json:"zone"`
	Role        Role               `json:"role"`
	Leaving     bool               `json:"leaving"`
	Loaded      []Weights          `json:"loaded"`
	Loading     []Weights          `json:"loading,omitempty"`
	BlockTokens int                `json:"block_tokens"`
	CacheBlocks int                `json:"cache_blocks"`
	Fence       fleet.FencingToken `json:"fence"`
	Load        Load               `json:"load"`
}

// Load is a lagging report of an engine's work.
type Load struct {
	// MeasuredAtMillis is the engine's own elapsed time of the measurement.
	MeasuredAtMillis int64 `json:"measured_at_ms"`
	RunningStreams   int   `json:"running_streams"`
	WaitingStreams   int   `json:"waiting_streams"`
	// WaitingPrefillTokens is the prompt work not yet computed.
	WaitingPrefillTokens int `json:"waiting_prefill_tokens"`
	UsedBlocks           int `json:"used_blocks"`
	// StepTokens is the token budget of one batch step, PrefillMicrosPerToken
	// and StepMicros describe the engine's speed as it measures it.
	StepTokens            int     `json:"step_tokens"`
	PrefillMicrosPerToken float64 `json:"prefill_us_per_token"`
	StepMicros            float64 `json:"step_us"`
}

// CacheEventKind tells what became of a block.
type CacheEventKind string

// Kinds of cache events.
const (
	BlockStored  CacheEventKind = "stored"
	BlockRemoved CacheEventKind = "removed"
	// CacheCleared means that every block is gone.
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one batch of equal changes. Sequence numbers rise by one for
// each event; a jump means that events were lost.
type CacheEvent struct {
	Sequence uint64            `json:"seq"`
	Kind     CacheEventKind    `json:"kind"`
	Hashes   []fleet.BlockHash `json:"hashes,omitempty"`
}

// CacheEvents answers a poll for events.
type CacheEvents struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}

// CacheSnapshot is the whole set of cached blocks, consistent at Sequence.
type CacheSnapshot struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Sequence    uint64            `json:"seq"`
	Hashes      []fleet.BlockHash `json:"hashes"`
}

// OrderKind names what an order changes.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
	OrderRetire OrderKind = "retire"
	OrderResume OrderKind = "resume"
)

// Order is a fenced instruction. An engine that has seen a higher token
// rejects it with ErrorStaleFence. Orders are idempotent.
type Order struct {
	Fence       fleet.FencingToken `json:"fence"`
	Incarnation fleet.Incarnation  `json:"incarnation"`
	Kind        OrderKind          `json:"kind"`
	Weights     Weights            `json:"weights,omitzero"`
	Role        Role               `json:"role,omitempty"`
}

// KVExportRequest asks for the cached blocks of a prefix.
type KVExportRequest struct {
	Tenant  fleet.TenantName  `json:"tenant"`
	Weights Weights           `json:"weights"`
	Hashes  []fleet.BlockHash `json:"hashes"`
}

// KVBundle carries exported blocks. Checksum covers owner, weights and hashes.
type KVBundle struct {
	Tenant   fleet.TenantName  `json:"tenant"`
	Weights  Weights           `json:"weights"`
	Hashes   []fleet.BlockHash `json:"hashes"`
	Checksum uint64            `json:"checksum"`
}
