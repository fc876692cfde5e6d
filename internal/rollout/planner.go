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

// PlannerSettings configures a Planner. Zero fields take the defaults.
type PlannerSettings struct {
	// StatusGrace is how long an ordered load counts as in progress although the engine's status
	// doesn't show it. It covers the lag of the status.
	StatusGrace time.Duration
	// UnloadGrace is how long a version stays loaded after the planner first sees it retired, for
	// requests that are already admitted.
	UnloadGrace time.Duration
}

// pendingLoad is an ordered load that isn't visible in a status yet.
type pendingLoad struct {
	pool    fleet.PoolName
	version engine.ModelVersion
	at      time.Duration
}

// Planner compares the configuration with the engines' status and plans orders. It has no I/O;
// times are on the process's monotonic clock. It isn't safe for concurrent use.
type Planner struct {
	settings PlannerSettings
	// pendingLoads holds at most one load for each run.
	pendingLoads map[fleet.EngineRun]pendingLoad
	// retiredSince holds when each version was first seen as retired.
	retiredSince map[engine.ModelVersion]time.Duration
}

// NewPlanner returns a planner without pending loads.
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
		retiredSince: make(map[engine.ModelVersion]time.Duration),
	}
}

// Plan returns the orders that bring the engines closer to the document: first directives and
// unloads by engine, then loads, serving versions first. The result is deterministic. A planned
// load counts as in progress for StatusGrace; every other order is planned again until a status
// shows its effect. A nil document yields no orders.
func (p *Planner) Plan(now time.Duration, document *config.Document, engines []Engine) []Order {
	if document == nil {
		return nil
	}
	newest := newestRuns(engines)
	p.expireLoads(now, newest)
	versions := newCatalogue(document)
	p.updateRetired(now, versions)
	directed := newDirectiveSet(document)
	orders := planDirectives(directed, newest)
	available := directed.withoutLeaving(newest)
	for _, candidate := range available {
		orders = append(orders, p.planUnloads(now, versions, candidate)...)
	}
	for _, pool := range document.Pools {
		free := pool.MaxLoads - p.countLoading(pool.Name, newest)
		needed := versionsInPool(versions.needed(), pool.Name)
		orders = append(orders, p.planLoads(now, free, needed, enginesInPool(available, pool.Name))...)
	}
	return orders
}

// planDirectives returns orders for directives that aren't visible in the engines' status. A
// retirement isn't reverted; it lasts for the run.
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
