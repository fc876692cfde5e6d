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

// ErrTooManyRows is returned by ReadTable if it stopped reading a large table early.
var ErrTooManyRows = errors.New("many rows")

// ErrHistoryExpired is returned if the store no longer has the changes since a revision. The table
// must then be read again in full.
var ErrHistoryExpired = errors.New("store history expired")

// Table is the name of a store table that gateways follow.
type Table string

// Tables that gateways follow.
const (
	// TableOperator holds the configuration and the desired model versions.
	TableOperator Table = "operator"
	// TableWorkers holds a row for each worker.
	TableWorkers Table = "workers"
	// TableQuarantine holds a row for each request, and each part of prompts, that several workers failed on.
	TableQuarantine Table = "quarantine"
)

// OperatorRows is the decoded content of rows of the operator table.
type OperatorRows struct {
	// Document is the newest configuration, or nil if the rows do not contain it.
	Document         *routes.Document
	DocumentRevision fleet.Revision
	// DesiredVersions lists the model versions that the operator requests.
	DesiredVersions []DesiredVersion
	// Deliveries lists the orders to move a service to a software version.
	Deliveries []delivery.Order
	// RefusedDeliveries lists the delivery orders that are invalid.
	RefusedDeliveries []InvalidInput
	// Invalid lists the parts of the configuration that could not be decoded. Their previous values
	// stay active.
	Invalid []InvalidInput
}

// DesiredVersion is the version of a model's weights that an operator requests.
type DesiredVersion struct {
	Model   fleet.ModelName
	Version backends.ModelVersion
	// Revision is the revision of the row.
	Revision fleet.Revision
}

// WorkerRow is the row of one worker or, if Deleted, its deletion.
type WorkerRow struct {
	Revision fleet.Revision
	Worker   backends.Worker
	Deleted  bool
	// Unusable is set if the row cannot be decoded or misses a mandatory field. Only the worker's
	// identifier is known then.
	Unusable bool
}

// InvalidInput describes external input that could not be decoded and is treated as absent.
type InvalidInput struct {
	// Source is the kind of input, such as a table or a header. It labels a metric.
	Source string
	// Key identifies the input within its source. It is empty if the source has one input only.
	Key string
	Err error
}

// StoredDelivery is the stored record of one service's delivery.
type StoredDelivery struct {
	delivery.Record
	// Version is the version of the record in the store, 0 if there is none.
	Version fleet.Revision
}

// StoredDeliveries is the stored state of all deliveries.
type StoredDeliveries struct {
	// Records also contains, without a target, the records that could not be decoded.
	Records []StoredDelivery
	// Invalid lists the records that could not be decoded.
	Invalid []InvalidInput
	// StoreTime is the store's steady clock at the time of the response.
	StoreTime time.Duration
}

// SoftwareRow is the row of a service's software versions: all that streams which can still be resumed may
// have begun at.
type SoftwareRow struct {
	Service  fleet.PoolName
	Versions []fleet.SoftwareVersion
	// Revision is that of the row, 0 for a row that isn't stored.
	Revision fleet.Revision
}

// QuarantineRow is the stored row of one request, or one part of prompts, that workers failed on. It contains no times,
// since the clocks of gateways differ and the row outlives their processes.
type QuarantineRow struct {
	// Fingerprint is that of the request, or of the part of prompts.
	Fingerprint quarantine.Fingerprint
	// Quarantined is set if it is a part that is quarantined.
	Quarantined bool
	// StoredCrashes are the crashes of workers. Trials counts how often the request was let through
	// after it had been quarantined.
	quarantine.StoredCrashes
	Trials int
	// Version is the version of the row, 0 if there is none.
	Version fleet.Revision
	Deleted bool
}

// Node is the store's row of a gateway.
type Node struct {
	// Name is the name of the machine.
	Name    string
	Address fleet.Address
	Zone    fleet.ZoneName
	Region  fleet.RegionName
}

// Store is the interface to the store. Reads return the errors of package platform, or
// ErrHistoryExpired.
type Store interface {
	// ReadTable returns all rows of a table, possibly not the latest ones. For a table with many
	// rows it reads the first ones and calls continueReading; if that returns false it returns
	// ErrTooManyRows.
	ReadTable(ctx context.Context, table Table, continueReading func() bool) (*watchcache.Update, error)
	// FollowTable returns the changes of a table after a revision. It waits until there is a
	// change, for at most wait. If the store has been restored since it gave out the revision, the
	// update is of another epoch and may lack changes, unless ErrHistoryExpired is returned.
	FollowTable(ctx context.Context, table Table, after fleet.Revision, wait time.Duration) (*watchcache.Update, error)
	// WriterSequence returns the position of a row's value among those that its writer has written.
	WriterSequence(table Table, key string, value []byte) (watchcache.WriterSequence, error)
	// DecodeOperator decodes rows of the operator table. It leaves out rows that cannot be decoded
	// and returns the error of the first one.
	DecodeOperator(rows []watchcache.Row) (*OperatorRows, error)
	// DecodeWorkers decodes rows of the workers table. It leaves out rows that cannot be decoded;
	// the state of their workers stays unchanged.
	DecodeWorkers(rows []watchcache.Row) ([]WorkerRow, []InvalidInput)
	// ReadWorker returns the present row of a worker, Deleted if there is none.
	ReadWorker(ctx context.Context, id fleet.EngineID) (WorkerRow, error)
	// RegisterNode writes the row of this gateway.
	RegisterNode(ctx context.Context, node Node) error
	// ReadNodes returns all gateways that have ever registered, except rows that cannot be decoded.
	ReadNodes(ctx context.Context) ([]Node, []InvalidInput, error)
	// ReadDeliveries returns the delivery records.
	ReadDeliveries(ctx context.Context) (*StoredDeliveries, error)
	// WriteDelivery writes a record and the status shown to operators if the stored record still
	// has the expected version, 0 for no record. It returns the stored record afterwards, with
	// platform.ErrConflict if that is not the given one. After any other error the outcome is
	// unknown.
	WriteDelivery(ctx context.Context, record delivery.Record, expected fleet.Revision) (StoredDelivery, error)
	// DecodeQuarantine decodes rows of the quarantine table. It leaves out rows that cannot be
	// decoded.
	DecodeQuarantine(rows []watchcache.Row) ([]QuarantineRow, []InvalidInput)
	// WriteQuarantine writes a row if the stored row still has the expected version, 0 for no row.
	// It returns the row with its new version, or the stored row and platform.ErrConflict. After
	// any other error the outcome is unknown.
	WriteQuarantine(ctx context.Context, row QuarantineRow, expected fleet.Revision) (QuarantineRow, error)
	// ReadSoftware returns the rows of software versions, except those that cannot be decoded.
	ReadSoftware(ctx context.Context) ([]SoftwareRow, []InvalidInput, error)
	// WriteSoftware writes a row if the stored row still has its revision. It returns the row with its
	// new revision, or the stored row and platform.ErrConflict. After any other error the outcome is
	// unknown.
	WriteSoftware(ctx context.Context, row SoftwareRow) (SoftwareRow, error)
	// RemoveQuarantine removes a row if it still has the expected version. It returns
	// platform.ErrConflict if it does not.
	RemoveQuarantine(ctx context.Context, fingerprint quarantine.Fingerprint, expected fleet.Revision) error
}

// EngineClient makes the calls to engines other than requests. It passes the notices in the
// responses to HandleNotice.
type EngineClient interface {
	Report(ctx context.Context, worker backends.Worker) (rollout.Report, error)
	// CheckRun returns nil if a run of a worker of any kind answers at its address, and
	// rollout.ErrDifferentRun if another one does. healthPath is that of the worker's service.
	CheckRun(ctx context.Context, worker backends.Worker, healthPath string) error
	// CacheEvents returns the changes in the cache of an engine or of a KV cache store after a
	// position. It waits for a change, for at most wait.
	CacheEvents(ctx context.Context, address fleet.Address, since uint64, wait time.Duration) (*CacheEvents, error)
	// OrderVersion sends an order to load a version. The error explains a result other than
	// OrderAccepted and OrderAlreadyApplied.
	OrderVersion(ctx context.Context, worker backends.Worker, order rollout.VersionOrder) (rollout.OrderResult, error)
}

// workerDialKey is the context key of the function that opens a call's connection.
type workerDialKey struct{}

// WorkerDial returns the function that opens the connection of a call to a worker, or fallback if the
// call has none.
func WorkerDial(ctx context.Context, fallback traffic.DialContext) traffic.DialContext {
	if dial, found := ctx.Value(workerDialKey{}).(traffic.DialContext); found {
		return dial
	}
	return fallback
}

// CacheEvents is a list of cache changes in order.
type CacheEvents struct {
	// Epoch changes with each restart, which empties the cache.
	Epoch uint64
	// Next is the position after the last event.
	Next uint64
	// Lost is set if earlier events after the requested position are no longer available.
	Lost   bool
	Events []CacheEvent
}

// CacheEvent reports that a prompt part was cached (Held) or evicted.
type CacheEvent struct {
	Held  bool
	Scope string
	Part  string
}

// Metadata is the content of a caller's request headers.
type Metadata struct {
	RequestID string
	// Key is the caller's API key, empty if none was sent.
	Key string
	// TimeLeft is how long the caller waits, 0 if not specified.
	TimeLeft time.Duration
	// LastEventID is the last event that the caller received of an interrupted stream.
	LastEventID string
	// Resumes identifies the caller's earlier request that brought the first event of the stream that
	// this one resumes; empty if it isn't specified.
	Resumes string

	Model        fleet.ModelName
	Parts        []backends.Part
	PromptTokens int
	OutputTokens int
	// HasTokenCounts is set if the request specifies its token counts.
	HasTokenCounts bool

	// Invalid lists the headers that could not be decoded.
	Invalid []InvalidInput
}

// Dispatch is what the gateway adds to a request that it sends to a worker.
type Dispatch struct {
	// Worker identifies the run of the worker. Another run must not accept the request.
	Worker   fleet.EngineID
	Tenant   fleet.TenantName
	TimeLeft time.Duration
	// Priority is the priority at an engine, from 0 (highest) to 9.
	Priority int
	// LastEventID is set when a stream is resumed.
	LastEventID string
	Engine      *backends.EnginePlacement
}

// ResponseInfo is the content of the headers of a worker's response.
type ResponseInfo struct {
	Notice

	RequestID string
	// Signed is set if the worker signed the response.
	Signed bool
	// NotExecuted is set if the worker states that it did not execute the request.
	NotExecuted bool
	// Version is the model version, valid if HasVersion is set.
	Version    backends.ModelVersion
	HasVersion bool
}

// Paths are the URL paths of the gateway's own services.
type Paths struct {
	Readiness  string
	Resolution string
}

// ResolutionQuery is a query to the directory for gateway addresses.
type ResolutionQuery struct {
	Host   string
	Zone   fleet.ZoneName
	Region fleet.RegionName
}

// Codec converts between HTTP headers and the gateway's types. It is safe for concurrent use.
type Codec interface {
	// ReadMetadata decodes the headers of a caller's request.
	ReadMetadata(header http.Header) (Metadata, error)
	// StripReserved removes the API key and the headers that only gateways may send to workers.
	StripReserved(header http.Header)
	// WriteDispatch adds the headers of a dispatch to a worker.
	WriteDispatch(header http.Header, dispatch *Dispatch)
	// ReadResponse decodes the headers of a worker's response.
	ReadResponse(status int, header http.Header) ResponseInfo
	// WriteRefusal writes the headers of a response that the gateway itself generates.
	WriteRefusal(header http.Header, requestID string, retryAfter time.Duration)
	// Paths returns the URL paths of the gateway's own services.
	Paths() Paths
	// ResolutionQuery decodes a directory query.
	ResolutionQuery(request *http.Request) ResolutionQuery
	// WriteResolution writes the response to a directory query.
	WriteResolution(writer http.ResponseWriter, addresses []fleet.Address, ttl time.Duration) error
}

// Dependencies are the external services and components that a gateway uses.
type Dependencies struct {
	Store Store
	// Leases is the table service that stores leases.
	Leases  platform.Tables
	Engines EngineClient
	Codec   Codec
	// Traffic counts the bytes of all connections. If nil, the gateway creates its own meter.
	Traffic *traffic.Meter
	// Clock is the steady clock, which includes time spent suspended. If nil, the system's clock is
	// used.
	Clock fleet.Clock
	// CloseIdle closes idle connections to the store and of Engines. It may be nil.
	CloseIdle func()
}
