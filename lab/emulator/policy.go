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

// Router decides where attempts go. placement.Core is the product's; its
// documentation tells what the methods mean.
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

// Setup is what a policy may use to make a router.
type Setup struct {
	Node      fleet.NodeID
	Zone      fleet.ZoneName
	View      *config.View
	Random    *rand.Rand
	Placement placement.Options
	// Owned tells which engines the router indexes and places on.
	Owned func(fleet.EngineID) bool
	// engines is the truth, for the clairvoyant policy alone.
	engines []*engineHost
}

// Routing tells how agents choose a router.
type Routing int

// Ways to choose a router.
const (
	// RouteByAffinity orders the routers as the agent process does.
	RouteByAffinity Routing = iota
	// RouteByPrefix ranks the routers by the prompt's first blocks.
	RouteByPrefix
	// RouteRoundRobin takes the routers in turn.
	RouteRoundRobin
	// RouteCentral means one router that agents reach without delay.
	RouteCentral
)

// Policy makes the routers of a run.
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

// Policies returns all policies, the product first and the limit last.
func Policies() []Policy {
	return []Policy{Tillerfall(), Sharded(), RoundRobin(), LeastLoaded(), PrefixHash(), PrefixMatch(), Clairvoyant()}
}

// Tillerfall is the product with its defaults: every router owns every engine
// and one of them places.
func Tillerfall() Policy {
	return Policy{Name: PolicyTillerfall, Routing: RouteByAffinity, New: newProductRouter}
}

// Sharded is the product with one owner for each engine, so that what is known
// of an engine's work isn't split among routers.
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
	core.SetOwned(setup.Owned)
	return core
}
