package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// Router places attempts on engines. placement.Core, the product's implementation, documents the
// methods.
type Router interface {
	Submit(now time.Duration, request placement.Request)
	Withdraw(now time.Duration, key placement.Key) bool
	Report(now time.Duration, report placement.AttemptReport)
	ObserveMachine(now time.Duration, machine platform.Machine)
	ObserveStatus(now time.Duration, status engine.Status)
	ObserveUnreachable(now time.Duration, id fleet.EngineID)
	ObserveCacheEvents(now time.Duration, id fleet.EngineID, events engine.CacheEvents)
	ObserveCacheSnapshot(now time.Duration, id fleet.EngineID, snapshot engine.CacheSnapshot)
	EventsAfter(id fleet.EngineID) (uint64, fleet.Incarnation, bool)
	NeedsSnapshot() []fleet.EngineID
	Tick(now time.Duration)
	NextWake() (time.Duration, bool)
	TakeOutcomes() []placement.Outcome
}

// Setup is the input of Policy.New.
type Setup struct {
	Node      fleet.NodeID
	Zone      fleet.ZoneName
	View      *config.View
	Random    *rand.Rand
	Placement placement.Options
	// IsOwned reports whether the router indexes an engine and places requests on it.
	IsOwned func(fleet.EngineID) bool
	// engines gives the clairvoyant policy access to the true state of the engines.
	engines []*engineHost
}

// Routing is how agents choose a router.
type Routing int

// Ways to choose a router.
const (
	// RouteByAffinity orders the routers by prefix affinity, as the agent process does.
	RouteByAffinity Routing = iota
	// RouteByPrefix ranks the routers by a hash of the prompt's first blocks.
	RouteByPrefix
	// RouteRoundRobin uses the routers in turn.
	RouteRoundRobin
	// RouteCentral uses a single router that agents reach without delay.
	RouteCentral
)

// Policy defines the routers of a run and how agents choose among them.
type Policy struct {
	Name    string
	Routing Routing
	// IndexReplicas is the number of routers that own an engine; 0 means all.
	IndexReplicas int
	New           func(setup Setup) Router
}

// Names of the policies.
const (
	PolicyTillerfall  = "tillerfall"
	PolicySharded     = "tillerfall-sharded"
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoaded = "least-loaded"
	PolicyPrefixHash  = "prefix-hash"
	PolicyPrefixMatch = "prefix-match"
	PolicyClairvoyant = "clairvoyant"
)

// Policies returns all policies: the product's first, the clairvoyant upper bound last.
func Policies() []Policy {
	return []Policy{Tillerfall(), Sharded(), RoundRobin(), LeastLoaded(), PrefixHash(), PrefixMatch(), Clairvoyant()}
}

// Tillerfall is the product with its defaults: every router owns every engine.
func Tillerfall() Policy {
	return Policy{Name: PolicyTillerfall, Routing: RouteByAffinity, New: newProductRouter}
}

// Sharded is the product with a single owner for each engine, so that one router sees all the work
// placed on it.
func Sharded() Policy {
	return Policy{Name: PolicySharded, Routing: RouteByAffinity, IndexReplicas: 1, New: newProductRouter}
}

func newProductRouter(setup Setup) Router {
	options := setup.Placement
	options.Node = setup.Node
	options.Zone = setup.Zone
	options.Random = setup.Random
	core := placement.New(options)
	core.ApplyConfig(0, setup.View)
	core.SetOwned(setup.IsOwned)
	return core
}
