package operator

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Source provides the state of one router to queries. Each call returns a copy in a stable order.
type Source interface {
	// Configuration returns the active configuration, and false if there is none yet.
	Configuration() (config.Document, bool)
	Engines() []Engine
	Routers() []Router
	Waiting() []Waiting
	// Holders returns the engine runs that have at least the first of the chained block hashes in
	// their cache.
	Holders(hashes []fleet.BlockHash) []Holder
	// RequestBlocks returns the block hashes of a recent request, and false if it is unknown.
	RequestBlocks(request fleet.RequestID) ([]fleet.BlockHash, bool)
	// Explain returns the placement decision for a recent request, and false if it is unknown.
	Explain(request fleet.RequestID) (Explanation, bool)
	// Version returns the version of the router's software.
	Version() string
}

// Engine is a row of "show engines".
type Engine struct {
	Run     fleet.EngineRun
	Address fleet.Address
	Zone    fleet.ZoneName
	Pool    fleet.PoolName
	Role    string
	State   string
	// LeavingBy identifies who reported that the run is leaving; empty if nobody did.
	LeavingBy string
	// Owned is true if this router indexes the engine's cache and places requests on it.
	Owned         bool
	Loaded        []fleet.ModelVersion
	InFlight      int
	PrefillTokens int
	CachedBlocks  int
	// CacheTrusted is false before the first cache snapshot of an owned engine, after a loss of
	// cache events until the next snapshot, and for other engines.
	CacheTrusted bool
}

// Router is a row of "show routers".
type Router struct {
	Node    fleet.NodeID
	Address fleet.Address
	Region  fleet.RegionName
	Zone    fleet.ZoneName
	State   string
}

// Waiting is a row of "show waiting".
type Waiting struct {
	Request      fleet.RequestID
	Attempt      fleet.Attempt
	Tenant       fleet.TenantName
	Class        fleet.ClassName
	ModelVersion fleet.ModelVersion
	Waited       time.Duration
	Reason       string
}

// Holder is an engine run that has the first Blocks blocks of a prefix in its cache.
type Holder struct {
	Run    fleet.EngineRun
	Blocks int
}

// Explanation describes the placement decision for a request.
type Explanation struct {
	Outcome string
	// Candidates lists the considered engines, best first.
	Candidates []Candidate
}

// Candidate is an engine that a placement decision considered.
type Candidate struct {
	Run    fleet.EngineRun
	Chosen bool
	// Rejected is the name of the filter that excluded the engine; empty if it was scored.
	Rejected string
	// CachedTokens is the number of prompt tokens that are expected in the engine's cache.
	CachedTokens int
	// Queue, Prefill, Interference, Zone and Recompute are the predicted costs.
	Queue        time.Duration
	Prefill      time.Duration
	Interference time.Duration
	Zone         time.Duration
	Recompute    time.Duration
}
