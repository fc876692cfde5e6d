// Package spill simulates a fleet whose engines are shared among routers (index_replicas above 0),
// to compare policies of sharing and spilling. It runs the product's placement cores, pool map and
// prefix affinity with engine models on a virtual clock. Agents are reduced to router selection:
// rank, affinity, hand-backs and failures.
package spill

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/affinity"
)

// Policy selects how engines are assigned to routers and how agents choose routers.
type Policy struct {
	Name string
	// ByPool assigns engines by the pool map. Otherwise they are assigned by rendezvous hashing
	// over all routers, and agents do not know which routers serve a pool.
	ByPool bool
	// Spill allows saturated routers to hand requests back.
	Spill bool
	// Affinity configures the agents' affinity tables. It has an effect only with Spill.
	Affinity affinity.Options
}

// Policies to compare.
var (
	// FixedDepth uses a single key over four blocks, assigns engines regardless of pools and does
	// not spill.
	FixedDepth = Policy{Name: "fixed depth, no spill"}
	// PoolsOnly adds the pool map to FixedDepth.
	PoolsOnly = Policy{Name: "by pool, no spill", ByPool: true}
	// SpillOnly adds hand-backs by saturated routers, and replicates prefixes by the short key
	// only.
	SpillOnly = Policy{Name: "by pool, spill, one key", ByPool: true, Spill: true, Affinity: affinity.Options{Levels: 1}}
	// DeepKey replicates prefixes by a single key over 64 blocks, which differs between documents.
	DeepKey = Policy{Name: "by pool, spill, one deep key", ByPool: true, Spill: true, Affinity: affinity.Options{FirstDepth: 64, Levels: 1}}
	// NestedKeys is the product's policy.
	NestedKeys = Policy{Name: "by pool, spill, nested keys", ByPool: true, Spill: true}
)

// RouterChange crashes or starts routers at a time.
type RouterChange struct {
	At time.Duration
	// Router is the index of the first router, Count their number and Step the distance between
	// their indexes.
	Router, Count, Step int
	// Join starts routers that do not run from the beginning; otherwise running ones crash.
	Join bool
}

// Options configures a run.
type Options struct {
	Policy Policy
	// Replicas is the number of routers that own each engine.
	Replicas int
	Seed     uint64

	Routers int
	Zones   int
	// Pools is the number of pools, each with EnginesPerPool engines spread over the zones.
	Pools          int
	EnginesPerPool int
	// Agents is the number of agents in each zone.
	Agents int

	// Rate is the number of requests per second from all agents.
	Rate     float64
	Duration time.Duration
	// Warmup is the initial part of the run whose requests are not measured.
	Warmup time.Duration
	// HotShare is the fraction of a pool's requests that have its hottest prefix.
	HotShare float64
	// Documents is the number of long documents of each tenant and pool.
	Documents int
	// CacheBlocks is the cache size of each engine, in blocks of 16 tokens.
	CacheBlocks   int
	RouterChanges []RouterChange
}

// DefaultOptions returns a fleet of 16 routers and 240 engines in 3 pools and 4 zones. In each pool
// the load of the hottest prefix exceeds the capacity of one router's engines.
func DefaultOptions() Options {
	return Options{
		Policy: NestedKeys, Replicas: 1, Seed: 1,
		Routers: 16, Zones: 4, Pools: 3, EnginesPerPool: 80, Agents: 2,
		Rate: 2400, Duration: 20 * time.Second, Warmup: 8 * time.Second, HotShare: 0.4,
		Documents: 40, CacheBlocks: 2048,
	}
}

// Latencies, intervals and limits of the model.
const (
	latency           = 500 * time.Microsecond // one way, between any two processes
	pollInterval      = 100 * time.Millisecond
	loadLag           = 200 * time.Millisecond
	eventDelay        = 200 * time.Millisecond
	detectionDelay    = 2 * time.Second // from a crash until the membership changes
	connectTimeout    = 50 * time.Millisecond
	routerBackoff     = time.Second
	requestTimeout    = 10 * time.Second
	maxPlacementCalls = 12
)
