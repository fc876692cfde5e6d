package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/rollout"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

// ErrManyRows means that a whole read was given up since it would be a long one.
var ErrManyRows = errors.New("many rows")

// ErrHistoryGone means that changes can't be followed from a revision any more:
// everything must be read again.
var ErrHistoryGone = errors.New("history gone")

// Table names a table of the store that gateways follow.
type Table string

// Tables that gateways follow.
const (
	// TableOperator holds the configuration and the named weights.
	TableOperator Table = "operator"
	// TableWorkers holds a row for each worker.
	TableWorkers Table = "workers"
	// TableQuarantine holds a row for each request under which several workers ended.
	TableQuarantine Table = "quarantine"
)

// OperatorRows is what an operator has written, as far as rows tell.
type OperatorRows struct {
	// Document is the newest configuration, nil if it isn't among the rows.
	Document         *routes.Document
	DocumentRevision fleet.Revision
	// Weights lists named versions.
	Weights []NamedWeights
	// Deliveries lists orders to move a service to a version of its software.
	Deliveries []delivery.Order
	// RefusedDeliveries lists the orders of that kind that can't be used.
	RefusedDeliveries []Unreadable
	// Unreadable lists the parts of the configuration that couldn't be read and are left
	// as they were.
	Unreadable []Unreadable
}

// NamedWeights is a version of a model's weights that an operator has named.
type NamedWeights struct {
	Model   fleet.ModelName
	Version backends.ModelVersion
	// Revision is that of the row.
	Revision fleet.Revision
}

// WorkerRow is one worker's row, or the word that it is gone.
type WorkerRow struct {
	Revision fleet.Revision
	Worker   backends.Worker
	Gone     bool
	// Unusable is set if the row names no worker to use: it can't be read, or lacks what
	// every worker writes. Only the worker's identifier is known then.
	Unusable bool
}

// Unreadable is something from outside that couldn't be read and counts as absent.
type Unreadable struct {
	// Source says what it is, such as a table or a header; it labels a metric.
	Source string
	// Key names the one among others of the source; empty if there is one.
	Key string
	Err error
}

// StoredDelivery is what the store holds of one service's delivery.
type StoredDelivery struct {
	delivery.Record
	// Version is that of the record in the store; 0 if there is none.
	Version fleet.Revision
}

// StoredDeliveries is what the store holds of deliveries.
type StoredDeliveries struct {
	// Records holds those that couldn't be read too, without a target.
	Records []StoredDelivery
	// Unreadable tells why records couldn't be read.
	Unreadable []Unreadable
	// StoreTime is the store's steady clock at the answer.
	StoreTime time.Duration
}

// QuarantineRow is what the store holds of one request under which workers ended. It names
// no times: the clocks of nodes don't agree, and a row outlives them all.
type QuarantineRow struct {
	Fingerprint quarantine.Fingerprint
	// Workers are those that ended, Trials the times that the request was let through after
	// it had been held.
	Workers []fleet.EngineID
	Trials  int
	// Version is that of the row; 0 if there is none.
	Version fleet.Revision
	Gone    bool
}

// Node is another gateway as the store knows it.
type Node struct {
	// Name is the machine's name.
	Name    string
	Address fleet.Address
	Zone    fleet.ZoneName
	Region  fleet.RegionName
}

// Platform is the store, as the gateway needs it. Reads return an error of
// package platform, or ErrHistoryGone.
type Platform interface {
	// ReadTable returns all rows of a table. It may be behind. Of a table with many rows it
	// reads the first ones and asks readOn whether to go on; else it returns ErrManyRows.
	ReadTable(ctx context.Context, table Table, readOn func() bool) (*watchcache.Update, error)
	// FollowTable returns what has changed after a revision, as soon as something
	// has or after wait.
	FollowTable(ctx context.Context, table Table, after fleet.Revision, wait time.Duration) (*watchcache.Update, error)
	// DecodeOperator reads rows of the operator's table. Rows that can't be read
	// are left out, and the error tells of the first.
	DecodeOperator(rows []watchcache.Row) (*OperatorRows, error)
	// DecodeWorkers reads rows of the workers' table. A row that can't be read is
	// left out: its worker stays as it was.
	DecodeWorkers(rows []watchcache.Row) ([]WorkerRow, []Unreadable)
	// RegisterNode writes this node's row.
	RegisterNode(ctx context.Context, node Node) error
	// ReadNodes returns the nodes that have ever registered, without rows that can't
	// be read.
	ReadNodes(ctx context.Context) ([]Node, []Unreadable, error)
	// ReadDeliveries returns the records of deliveries.
	ReadDeliveries(ctx context.Context) (*StoredDeliveries, error)
	// WriteDelivery writes a record together with the status that operators read, if the
	// store's record still has the version that was expected; 0 expects none. It returns
	// what the store holds afterwards, together with platform.ErrConflict if that isn't the
	// record. After another error nothing is known of the outcome.
	WriteDelivery(ctx context.Context, record delivery.Record, expected fleet.Revision) (StoredDelivery, error)
	// DecodeQuarantine reads rows of the table of requests under which workers ended. A row
	// that can't be read is left out.
	DecodeQuarantine(rows []watchcache.Row) ([]QuarantineRow, []Unreadable)
	// WriteQuarantine writes a row if the store's still has the version that was expected; 0
	// expects none. It returns the row with its new version, or platform.ErrConflict with
	// what the store holds. After another error nothing is known of the outcome.
	WriteQuarantine(ctx context.Context, row QuarantineRow, expected fleet.Revision) (QuarantineRow, error)
	// RemoveQuarantine removes a row if it still has a version; it returns
	// platform.ErrConflict if it hasn't.
	RemoveQuarantine(ctx context.Context, fingerprint quarantine.Fingerprint, expected fleet.Revision) error
}

// EngineCalls are the calls to an engine besides requests. What each answer says of the engine
// goes to HandleNotice.
type EngineCalls interface {
	Report(ctx context.Context, worker backends.Worker) (rollout.Report, error)
	// CacheEvents returns what changed in the cache of an engine, or of a store of
	// kept KV cache, after a position; it waits for a change, up to a time.
	CacheEvents(ctx context.Context, address fleet.Address, since uint64, wait time.Duration) (*CacheEvents, error)
	// OrderVersion sends an order; the error explains a result that isn't
	// OrderAccepted or OrderHolds.
	OrderVersion(ctx context.Context, worker backends.Worker, order rollout.VersionOrder) (rollout.OrderResult, error)
}

// CacheEvents are changes of a cache, in order.
type CacheEvents struct {
	// Epoch is another after each restart, which empties the cache.
	Epoch uint64
	// Next is the position behind the events.
	Next uint64
	// Lost is set if events before these are no longer kept.
	Lost   bool
	Events []CacheEvent
}

// CacheEvent tells that a part is held or dropped.
type CacheEvent struct {
	Held  bool
	Scope string
	Part  string
}

// Metadata is what a caller's headers say.
type Metadata struct {
	RequestID string
	// Key is the caller's API key; empty if none was sent.
	Key string
	// TimeLeft is how long the caller will wait; 0 if it doesn't say.
	TimeLeft time.Duration
	// LastEventID is the last event of an earlier stream that the caller has.
	LastEventID string

	Model        fleet.ModelName
	Parts        []backends.Part
	PromptTokens int
	OutputTokens int
	// TokensNamed is set if the request names its tokens.
	TokensNamed bool

	// Unreadable lists the headers that couldn't be read.
	Unreadable []Unreadable
}

// Dispatch is what the gateway adds to a request for a worker.
type Dispatch struct {
	// Worker is the run that must not be mistaken for another.
	Worker   fleet.EngineID
	Tenant   fleet.TenantName
	TimeLeft time.Duration
	// Priority orders requests at an engine, 0 to 9, 0 first.
	Priority int
	// LastEventID is set when a stream is resumed.
	LastEventID string
	Engine      *backends.EnginePlacement
}

// AnswerInfo is what the headers of a worker's answer say.
type AnswerInfo struct {
	Notice

	RequestID string
	// Signed is set if the worker has signed the answer.
	Signed bool
	// NotExecuted is the worker's word that it did not run the request.
	NotExecuted bool
	// Version is the version of the weights, if HasVersion.
	Version    backends.ModelVersion
	HasVersion bool
}

// Paths are the paths of the calls to the gateway's own services.
type Paths struct {
	Readiness  string
	Resolution string
}

// ResolutionQuery asks which addresses to use.
type ResolutionQuery struct {
	Host   string
	Zone   fleet.ZoneName
	Region fleet.RegionName
}

// Codec translates between headers and the gateway's types. It is safe for
// concurrent use.
type Codec interface {
	// Metadata reads a caller's headers.
	Metadata(header http.Header) (Metadata, error)
	// StripReserved removes what only the gateway may tell a worker, and the key.
	StripReserved(header http.Header)
	// WriteDispatch adds what the gateway tells a worker.
	WriteDispatch(header http.Header, dispatch *Dispatch)
	// Answer reads the headers of a worker's answer.
	Answer(status int, header http.Header) AnswerInfo
	// WriteRefusal writes the headers of an answer of the gateway's own.
	WriteRefusal(header http.Header, requestID string, retryAfter time.Duration)
	// Paths returns the paths of the gateway's own services.
	Paths() Paths
	// ResolutionQuery reads a question to the directory.
	ResolutionQuery(request *http.Request) ResolutionQuery
	// WriteResolution writes the directory's answer.
	WriteResolution(writer http.ResponseWriter, addresses []fleet.Address, ttl time.Duration) error
}

// Outside is all that the gateway needs from where it runs.
type Outside struct {
	Platform Platform
	// Leases is the table service for leases.
	Leases  platform.Tables
	Engines EngineCalls
	Codec   Codec
	// Traffic counts the bytes of all connections; nil for a meter of the gateway's own.
	Traffic *traffic.Meter
	// Clock counts the time in which the machine is suspended; nil for the system's.
	Clock fleet.Clock
	// CloseIdle closes the idle connections to the store and of EngineCalls; nil if there are
	// none to close.
	CloseIdle func()
}
