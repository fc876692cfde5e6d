// Package rollout rolls out model versions to engines and carries out operators' directives. It
// turns the configuration into orders to engines, protected by fencing tokens: which model versions
// to load and unload, which engines to retire, and which roles they have. The Planner and the Pacer
// have no I/O; the Controller runs the Planner while the process holds a lease.
package rollout

import (
	"cmp"
	"slices"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Engine is the state of one engine as observed by this process.
type Engine struct {
	// Pool is the engine's pool in the list of machines.
	Pool fleet.PoolName
	// Status is reported by the engine and may lag.
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

func (e Engine) hasLoaded(version engine.ModelVersion) bool {
	return slices.Contains(e.Status.Loaded, version)
}

func (e Engine) isLoading(version engine.ModelVersion) bool {
	return slices.Contains(e.Status.Loading, version)
}

func (e Engine) order(kind engine.OrderKind) Order {
	return Order{
		Engine: e.Status.Engine,
		Order:  engine.Order{Incarnation: e.Status.Incarnation, Kind: kind},
	}
}

// newestRuns returns the newest run of each engine, ordered by identifier.
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

// directiveSet holds the operators' directives by run and kind. The last directive of a kind wins.
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

// withoutLeaving returns the engines that are neither leaving nor directed to drain or retire.
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
