package rollout

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Defaults of PlannerSettings.
const (
	DefaultStatusGrace = 3 * time.Second
	DefaultUnloadGrace = 10 * time.Second
)

// PlannerSettings sets up a Planner; zero fields take the defaults.
type PlannerSettings struct {
	// StatusGrace is how long an ordered load counts as under way while the
	// engine's status doesn't show it: the lag of the status.
	StatusGrace time.Duration
	// UnloadGrace is how long weights stay after the planner first sees them
	// retired, for requests that were admitted before.
	UnloadGrace time.Duration
}

// pendingLoad is a load that was planned and isn't seen in a status yet.
type pendingLoad struct {
	pool    fleet.PoolName
	version engine.Weights
	at      time.Duration
}

// Planner compares the configuration with the engines. It has no I/O; now is
// elapsed time. It isn't safe for concurrent use.
type Planner struct {
	settings PlannerSettings
	// pendingLoads holds at most one load a run.
	pendingLoads map[fleet.EngineRun]pendingLoad
	// retiredSince is when each set of weights was first seen as retired.
	retiredSince map[engine.Weights]time.Duration
}

// NewPlanner returns a planner that knows of no earlier orders.
func NewPlanner(settings PlannerSettings) *Planner {
	if settings.StatusGrace <= 0 {
		settings.StatusGrace = DefaultStatusGrace
	}
	if settings.UnloadGrace <= 0 {
		settings.UnloadGrace = DefaultUnloadGrace
	}
	return &Planner{
		settings:     settings,
		pendingLoads: make(map[fleet.EngineRun]pendingLoad),
		retiredSince: make(map[engine.Weights]time.Duration),
	}
}

// Plan returns the orders that bring the engines closer to the document: first
// directives and unloads by engine, then loads, serving versions first. Equal
// input gives equal orders. A planned load counts as under way for StatusGrace;
// every other order is planned again until a status shows its effect. A nil
// document gives no orders.
func (p *Planner) Plan(now time.Duration, document *config.Document, engines []Engine) []Order {
	if document == nil {
		return nil
	}
	newest := newestRuns(engines)
	p.expireLoads(now, newest)
	wanted := newCatalogue(document)
	p.updateRetired(now, wanted)
	directed := newDirectiveSet(document)
	orders := planDirectives(directed, newest)
	available := directed.withoutLeaving(newest)
	for _, candidate := range available {
		orders = append(orders, p.planUnloads(now, wanted, candidate)...)
	}
	for _, pool := range document.Pools {
		free := pool.MaxLoads - p.countLoading(pool.Name, newest)
		needed := versionsInPool(wanted.needed(), pool.Name)
		orders = append(orders, p.planLoads(now, free, needed, enginesInPool(available, pool.Name))...)
	}
	return orders
}

// planDirectives orders what operators have directed and engines don't show.
// Leaving is never taken back: it sticks to the run.
func planDirectives(directed directiveSet, engines []Engine) []Order {
	var orders []Order
	for _, candidate := range engines {
		ordered := directed[candidate.run()]
		if _, retired := ordered[config.DirectiveRetire]; retired && !candidate.Status.Leaving {
			orders = append(orders, candidate.order(engine.OrderRetire))
		}
		directive, hasRole := ordered[config.DirectiveRole]
		if role := engine.Role(directive.Role); hasRole && candidate.Status.Role != role {
			order := candidate.order(engine.OrderRole)
			order.Order.Role = role
			orders = append(orders, order)
		}
	}
	return orders
}
