package operator

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Source is one router's view, as the queries read it. Each call returns a
// copy in a stable order.
type Source interface {
	// Configuration returns the configuration in force; false if none is known.
	Configuration() (config.Document, bool)
	Engines() []Engine
	Routers() []Router
	Waiting() []Waiting
	// Holders returns the engine runs that hold a prefix of the chained block
	// hashes, with the number of leading blocks that each holds.
	Holders(hashes []fleet.BlockHash) []Holder
	// RequestBlocks returns the block hashes of a recent request.
	RequestBlocks(request fleet.RequestID) ([]fleet.BlockHash, bool)
	// Explain returns why a recent request was placed as it was.
	Explain(request fleet.RequestID) (Explanation, bool)
	// Version returns the version of the router's program.
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
	// LeavingBy names who said that the run is leaving; empty if nobody did.
	LeavingBy string
	// Owned tells that this router indexes the engine and places on it.
	Owned         bool
	Loaded        []fleet.ModelVersion
	InFlight      int
	PrefillTokens int
	CachedBlocks  int
	// CacheTrusted is false from lost cache events on, until the cache has been
	// read anew.
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
	Request fleet.RequestID
	Attempt fleet.Attempt
	Tenant  fleet.TenantName
	Class   fleet.ClassName
	Weights fleet.ModelVersion
	Waited  time.Duration
	Reason  string
}

// Holder is an engine run that holds leading blocks of a prefix.
type Holder struct {
	Run    fleet.EngineRun
	Blocks int
}

// Explanation tells why a request was placed as it was.
type Explanation struct {
	Outcome string
	// Candidates lists the engines that were weighed, best first.
	Candidates []Candidate
}

// Candidate is one engine as a decision saw it.
type Candidate struct {
	Run    fleet.EngineRun
	Chosen bool
	// Rejected names the filter that removed the engine; empty if it was scored.
	Rejected string
	// CachedTokens is the part of the prompt expected in the engine's cache.
	CachedTokens int
	// Queue, Prefill, Interference, Zone and Recompute are the predicted costs.
	Queue        time.Duration
	Prefill      time.Duration
	Interference time.Duration
	Zone         time.Duration
	Recompute    time.Duration
}
