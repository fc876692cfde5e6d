// Package spill measures a fleet whose engines are shared among routers
// (index_replicas over 0): the product's placement cores, pool map and prefix
// affinity over models of engines on a virtual clock. Agents are modelled by
// what decides the router: rank, affinity, hand-backs and failures.
package spill

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/affinity"
)

// Policy says how engines are shared and routers chosen.
type Policy struct {
	Name string
	// ByPool shares the engines by the pool map; otherwise by rendezvous over
	// all routers, and agents don't know which routers serve a pool.
	ByPool bool
	// Spill lets saturated routers hand back.
	Spill bool
	// Affinity sets up the agents' tables; it matters with Spill alone.
	Affinity affinity.Options
}

// Policies that are compared.
var (
	// FixedDepth is one key over four blocks, engines shared without regard to
	// pools and no spill.
	FixedDepth = Policy{Name: "fixed depth, no spill"}
	// PoolsOnly adds the pool map.
	PoolsOnly = Policy{Name: "by pool, no spill", ByPool: true}
	// SpillOnly hands back, and replicates by the short key alone.
	SpillOnly = Policy{Name: "by pool, spill, one key", ByPool: true, Spill: true, Affinity: affinity.Options{Levels: 1}}
	// DeepKey replicates by one long key, 64 blocks, which tells documents apart.
	DeepKey = Policy{Name: "by pool, spill, one deep key", ByPool: true, Spill: true, Affinity: affinity.Options{FirstDepth: 64, Levels: 1}}
	// NestedKeys is what the product does.
	NestedKeys = Policy{Name: "by pool, spill, nested keys", ByPool: true, Spill: true}
)

// RouterChange ends or begins routers at a time.
type RouterChange struct {
	At time.Duration
	// Router is the first of Count routers, a step apart.
	Router, Count, Step int
	// Join starts routers that weren't running before; otherwise they die.
	Join bool
}

// Options says what to run.
type Options struct {
	Policy   Policy
	Replicas int
	Seed     uint64

	Routers int
	Zones   int
	// Pools have EnginesPerPool engines each, spread over the zones.
	Pools          int
	EnginesPerPool int
	// Agents is the number in each zone.
	Agents int

	// Rate is the number of requests a second of all agents.
	Rate     float64
	Duration time.Duration
	// Warmup is the first part, whose requests aren't measured.
	Warmup time.Duration
	// HotShare is the part of a pool's requests with its hottest prefix.
	HotShare float64
	// Documents is the number of long documents of each tenant and pool.
	Documents int
	// CacheBlocks is the memory of each engine, in blocks of 16 tokens.
	CacheBlocks   int
	RouterChanges []RouterChange
}

// DefaultOptions returns 16 routers before 240 engines in 3 pools and 4 zones.
// In each pool one prefix has more requests than one router's engines take.
func DefaultOptions() Options {
	return Options{
		Policy: NestedKeys, Replicas: 1, Seed: 1,
		Routers: 16, Zones: 4, Pools: 3, EnginesPerPool: 80, Agents: 2,
		Rate: 2400, Duration: 20 * time.Second, Warmup: 8 * time.Second, HotShare: 0.4,
		Documents: 40, CacheBlocks: 2048,
	}
}

// Times of the model.
const (
	latency           = 500 * time.Microsecond // one way between any two processes
	pollInterval      = 100 * time.Millisecond
	loadLag           = 200 * time.Millisecond
	eventDelay        = 200 * time.Millisecond
	detectionDelay    = 2 * time.Second // from a death until the members know
	connectTimeout    = 50 * time.Millisecond
	routerBackoff     = time.Second
	requestTimeout    = 10 * time.Second
	maxPlacementCalls = 12
)
