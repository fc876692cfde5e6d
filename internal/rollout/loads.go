package rollout

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// forgetLoads drops the planned loads that a status shows, that are too old to
// be under way, and those of runs that have been superseded.
func (p *Planner) forgetLoads(now time.Duration, engines []Engine) {
	newest := make(map[fleet.EngineID]Engine, len(engines))
	for _, candidate := range engines {
		newest[candidate.Status.Engine] = candidate
	}
	for run, load := range p.ordered {
		known, listed := newest[run.Engine]
		superseded := listed && known.Status.Incarnation > run.Incarnation
		shown := listed && (known.loaded(load.weights) || known.loading(load.weights))
		if superseded || shown || now >= load.at+p.settings.StatusGrace {
			delete(p.ordered, run)
		}
	}
}

// planLoads orders at most free loads of what one pool's engines need. Each
// engine loads one set of weights at a time.
func (p *Planner) planLoads(now time.Duration, free int, needed []weightsState, engines []Engine) []Order {
	var orders []Order
	for _, wanted := range needed {
		for _, candidate := range engines {
			if free <= 0 {
				return orders
			}
			if candidate.loaded(wanted.weights) || p.busyLoading(candidate) {
				continue
			}
			order := candidate.order(engine.OrderLoad)
			order.Order.Weights = wanted.weights
			orders = append(orders, order)
			p.ordered[candidate.run()] = orderedLoad{pool: wanted.pool, weights: wanted.weights, at: now}
			free--
		}
	}
	return orders
}

// countLoading counts the engines of a pool that load or have been told to,
// also those that are leaving or not listed at the moment.
func (p *Planner) countLoading(pool fleet.PoolName, engines []Engine) int {
	count := 0
	listed := make(map[fleet.EngineRun]bool, len(engines))
	for _, candidate := range engines {
		listed[candidate.run()] = true
		if candidate.Pool == pool && p.busyLoading(candidate) {
			count++
		}
	}
	for run, load := range p.ordered {
		if load.pool == pool && !listed[run] {
			count++
		}
	}
	return count
}

func (p *Planner) busyLoading(candidate Engine) bool {
	_, ordered := p.ordered[candidate.run()]
	return ordered || len(candidate.Status.Loading) > 0
}

// noteRetired keeps since when each set of weights has been retired.
func (p *Planner) noteRetired(now time.Duration, wanted catalogue) {
	retired := make(map[engine.Weights]time.Duration)
	for _, candidate := range wanted.retired {
		since, known := p.retiredSince[candidate.weights]
		if !known {
			since = now
		}
		retired[candidate.weights] = since
	}
	p.retiredSince = retired
}

// planUnloads orders an engine to drop what the document names as retired.
// Weights that the document doesn't name at all stay: the document in hand may
// be older than the one that loaded them.
func (p *Planner) planUnloads(now time.Duration, wanted catalogue, candidate Engine) []Order {
	var orders []Order
	for _, retired := range wanted.retired {
		due := now >= p.retiredSince[retired.weights]+p.settings.UnloadGrace
		if !due || !candidate.loaded(retired.weights) || !replaced(wanted, retired, candidate) {
			continue
		}
		order := candidate.order(engine.OrderUnload)
		order.Order.Weights = retired.weights
		orders = append(orders, order)
	}
	return orders
}

// replaced tells whether the engine can do without retired weights: it holds
// the version that serves instead, or its pool doesn't serve the model.
func replaced(wanted catalogue, retired weightsState, candidate Engine) bool {
	if candidate.Pool != retired.pool {
		return true
	}
	return slices.ContainsFunc(wanted.serving, func(serving weightsState) bool {
		return sameVariant(serving.weights, retired.weights) && candidate.loaded(serving.weights)
	})
}
