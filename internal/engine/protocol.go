// Package engine defines the protocol of inference engines and implements a client for it. The
// protocol uses HTTP with JSON bodies, and server-sent events for token streams.
package engine

import "github.com/tillerfall/tillerfall/internal/fleet"

// Paths of the engine protocol.
const (
	PathStreams = "/v1/streams"            // POST dispatches a stream
	PathResume  = "/v1/streams/:id"        // GET resumes from ?offset=
	PathCancel  = "/v1/streams/:id/cancel" // POST cancels a stream and bars its ID
	PathStatus  = "/v1/status"             // GET
	PathEvents  = "/v1/cache/events"       // GET ?after=SEQ&wait_ms=N, long poll
	PathCache   = "/v1/cache"              // GET, a snapshot of the whole cache
	PathOrders  = "/v1/orders"             // POST, fenced
	PathExport  = "/v1/kv/export"          // POST
	PathImport  = "/v1/kv/import"          // POST
)

// ModelVersion is the wire form of fleet.ModelVersion.
type ModelVersion struct {
	Model   fleet.ModelName   `json:"model"`
	Adapter fleet.AdapterName `json:"adapter,omitempty"`
	Version fleet.VersionName `json:"version"`
}

// DispatchRequest starts one attempt of a request on an engine. The engine rejects it if
// Incarnation isn't its current one, the model version isn't loaded, or an earlier cancel barred
// the stream.
type DispatchRequest struct {
	StreamID     fleet.StreamID    `json:"stream_id"`
	Incarnation  fleet.Incarnation `json:"incarnation"`
	Tenant       fleet.TenantName  `json:"tenant"`
	ModelVersion ModelVersion      `json:"weights"`
	Prompt       string            `json:"prompt"`
	// MaxTokens limits the whole output, including Continuation.
	MaxTokens int `json:"max_tokens"`
	// Priority orders the engine's waiting streams; lower values run first.
	Priority int `json:"priority"`
	// Continuation holds the texts of the output tokens that were already generated. The engine
	// continues after them; its first token has the index len(Continuation).
	Continuation []string `json:"continuation,omitempty"`
}

// FrameKind identifies the content of a stream frame.
type FrameKind string

// Frame kinds, which are also the names of the server-sent events.
const (
	// FrameAccepted is the first frame: the engine has accepted the stream.
	FrameAccepted FrameKind = "accepted"
	// FrameToken carries one token.
	FrameToken FrameKind = "token"
	// FrameDone ends a complete stream and carries its token count.
	FrameDone FrameKind = "done"
	// FrameError ends a stream that the engine aborted.
	FrameError FrameKind = "error"
)

// Frame is one event of a token stream.
type Frame struct {
	Kind FrameKind `json:"kind"`
	// Stream is the ID of the frame's stream, which lets the client detect a misdirected response.
	Stream fleet.StreamID `json:"stream"`
	// Index is the token's position in the whole output, from 0.
	Index int    `json:"index,omitempty"`
	Text  string `json:"text,omitempty"`
	// Count is the number of tokens in the whole output (FrameDone).
	Count int `json:"count,omitempty"`
	// FinishReason is "stop" or "length" (FrameDone).
	FinishReason string `json:"finish_reason,omitempty"`
	// PromptTokens and CachedTokens are set on FrameAccepted, where CachedTokens is preliminary,
	// and on FrameDone.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	CachedTokens int `json:"cached_tokens,omitempty"`
	// Error and Message describe FrameError.
	Error   ErrorCode `json:"error,omitempty"`
	Message string    `json:"message,omitempty"`
}

// ErrorCode is the machine-readable reason for a failed request or stream.
type ErrorCode string

// Error codes of the engine. All except ErrorInternal and ErrorCancelled mean that no work was done
// for the rejected dispatch.
const (
	ErrorWrongIncarnation ErrorCode = "wrong_incarnation"
	ErrorVersionNotLoaded ErrorCode = "weights_not_loaded"
	ErrorBarred           ErrorCode = "barred"
	ErrorDuplicate        ErrorCode = "duplicate_stream"
	ErrorDraining         ErrorCode = "draining"
	ErrorOverloaded       ErrorCode = "overloaded"
	ErrorStaleFence       ErrorCode = "stale_fencing_token"
	ErrorUnknownStream    ErrorCode = "unknown_stream"
	ErrorBadRequest       ErrorCode = "bad_request"
	ErrorChecksum         ErrorCode = "checksum"
	ErrorInternal         ErrorCode = "internal"
	// ErrorCancelled is the code of the FrameError that ends a cancelled stream.
	ErrorCancelled ErrorCode = "cancelled"
)

// ErrorBody is the JSON body of every response with a status of 400 or more.
type ErrorBody struct {
	Error       ErrorCode         `json:"error"`
	Message     string            `json:"message"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// CancelRequest asks an engine to stop a stream and to reject later dispatches of it.
type CancelRequest struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// CancelState is the state of a stream when its cancel request arrived.
type CancelState string

// Cancel states. CancelNeverRan means that the stream never ran in this incarnation of the engine
// and is now barred.
const (
	CancelNeverRan  CancelState = "never_ran"
	CancelCancelled CancelState = "cancelled"
	CancelFinished  CancelState = "finished"
)

// CancelResponse is the response to a CancelRequest. If the incarnation doesn't match, the engine
// responds with ErrorWrongIncarnation instead, since it has no record of the stream.
type CancelResponse struct {
	State  CancelState `json:"state"`
	Tokens int         `json:"tokens"`
}

// Role is the kind of work that an engine accepts.
type Role string

// Engine roles.
const (
	RoleServe   Role = "serve"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Status is an engine's report of its own state. Load may be stale.
type Status struct {
	Engine      fleet.EngineID     `json:"engine"`
	Incarnation fleet.Incarnation  `json:"incarnation"`
	Zone        fleet.ZoneName     `json:"zone"`
	Role        Role               `json:"role"`
	Leaving     bool               `json:"leaving"`
	Loaded      []ModelVersion     `json:"loaded"`
	Loading     []ModelVersion     `json:"loading,omitempty"`
	BlockTokens int                `json:"block_tokens"`
	CacheBlocks int                `json:"cache_blocks"`
	Fence       fleet.FencingToken `json:"fence"`
	Load        Load               `json:"load"`
}

// Load is a report of an engine's work, which may be stale.
type Load struct {
	// MeasuredAtMillis is the time of the measurement on the engine's own monotonic clock.
	MeasuredAtMillis int64 `json:"measured_at_ms"`
	RunningStreams   int   `json:"running_streams"`
	WaitingStreams   int   `json:"waiting_streams"`
	// WaitingPrefillTokens is the number of prompt tokens that are still to be computed.
	WaitingPrefillTokens int `json:"waiting_prefill_tokens"`
	UsedBlocks           int `json:"used_blocks"`
	// StepTokens is the token budget of one batch step. PrefillMicrosPerToken and StepMicros are
	// the engine's measured prefill time per token and time per step, in microseconds.
	StepTokens            int     `json:"step_tokens"`
	PrefillMicrosPerToken float64 `json:"prefill_us_per_token"`
	StepMicros            float64 `json:"step_us"`
}

// CacheEventKind is the kind of change to cached blocks.
type CacheEventKind string

// Cache event kinds.
const (
	BlockStored  CacheEventKind = "stored"
	BlockRemoved CacheEventKind = "removed"
	// CacheCleared means that all blocks were removed.
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is a batch of changes of one kind. Sequence increases by one with each event; a gap
// means that events were lost.
type CacheEvent struct {
	Sequence uint64            `json:"seq"`
	Kind     CacheEventKind    `json:"kind"`
	Hashes   []fleet.BlockHash `json:"hashes,omitempty"`
}

// CacheEvents is the response to a poll for cache events.
type CacheEvents struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}

// CacheSnapshot is the set of all cached blocks as of the event Sequence.
type CacheSnapshot struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Sequence    uint64            `json:"seq"`
	Hashes      []fleet.BlockHash `json:"hashes"`
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// Order kinds.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
	OrderRetire OrderKind = "retire"
	OrderResume OrderKind = "resume"
)

// Order is an administrative command to an engine, protected by a fencing token: an engine that has
// seen a higher token rejects it with ErrorStaleFence. Orders are idempotent.
type Order struct {
	Fence        fleet.FencingToken `json:"fence"`
	Incarnation  fleet.Incarnation  `json:"incarnation"`
	Kind         OrderKind          `json:"kind"`
	ModelVersion ModelVersion       `json:"weights,omitzero"`
	Role         Role               `json:"role,omitempty"`
}

// KVExportRequest requests the cached blocks of a prefix.
type KVExportRequest struct {
	Tenant       fleet.TenantName  `json:"tenant"`
	ModelVersion ModelVersion      `json:"weights"`
	Hashes       []fleet.BlockHash `json:"hashes"`
}

// KVBundle holds exported blocks. Checksum covers the tenant, the model version and the hashes.
type KVBundle struct {
	Tenant       fleet.TenantName  `json:"tenant"`
	ModelVersion ModelVersion      `json:"weights"`
	Hashes       []fleet.BlockHash `json:"hashes"`
	Checksum     uint64            `json:"checksum"`
}
