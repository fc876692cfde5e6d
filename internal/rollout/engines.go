// Package rollout turns the configuration into fenced orders to engines: which
// weights to load and unload, which engines to retire, and their roles. The
// planner has no I/O; the controller runs it while it holds a lease.
package rollout

import (
	"cmp"
	"slices"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Engine is what is known of one engine.
type Engine struct {
	// Pool comes from the list of machines.
	Pool fleet.PoolName
	// Status is the engine's own word, which may lag.
	Status engine.Status
}

// Order is an order to one engine. The sender sets its fencing token.
type Order struct {
	Engine fleet.EngineID
	Order  engine.Order
}

func (e Engine) run() fleet.EngineRun {
	return fleet.EngineRun{Engine: e.Status.Engine, Incarnation: e.Status.Incarnation}
}

func (e Engine) hasLoaded(weights engine.Weights) bool {
	return slices.Contains(e.Status.Loaded, weights)
}

func (e Engine) isLoading(weights engine.Weights) bool {
	return slices.Contains(e.Status.Loading, weights)
}

func (e Engine) order(kind engine.OrderKind) Order {
	return Order{
		Engine: e.Status.Engine,
		Order:  engine.Order{Incarnation: e.Status.Incarnation, Kind: kind},
	}
}

// newestRuns returns the newest run of each engine in order of identifier.
func newestRuns(engines []Engine) []Engine {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(a.Status.Engine, b.Status.Engine),
			cmp.Compare(b.Status.Incarnation, a.Status.Incarnation),
		)
	})
	return slices.CompactFunc(sorted, func(a, b Engine) bool { return a.Status.Engine == b.Status.Engine })
}

// directiveSet is the operators' orders by run and kind; of several of a kind
// the last counts.
type directiveSet map[fleet.EngineRun]map[config.DirectiveKind]config.Directive

func newDirectiveSet(document *config.Document) directiveSet {
	set := make(directiveSet)
	for _, directive := range document.Directives {
		run := fleet.EngineRun{Engine: directive.Engine, Incarnation: directive.Incarnation}
		if set[run] == nil {
			set[run] = make(map[config.DirectiveKind]config.Directive)
		}
		set[run][directive.Kind] = directive
	}
	return set
}

// withoutLeaving returns the engines that are neither leaving nor told to leave.
func (s directiveSet) withoutLeaving(engines []Engine) []Engine {
	var kept []Engine
	for _, candidate := range engines {
		ordered := s[candidate.run()]
		_, drained := ordered[config.DirectiveDrain]
		_, retired := ordered[config.DirectiveRetire]
		if !candidate.Status.Leaving && !drained && !retired {
			kept = append(kept, candidate)
		}
	}
	return kept
}

func enginesInPool(engines []Engine, pool fleet.PoolName) []Engine {
	var kept []Engine
	for _, candidate := range engines {
		if candidate.Pool == pool {
			kept = append(kept, candidate)
		}
	}
	return kept
}
