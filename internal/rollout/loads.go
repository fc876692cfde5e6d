package rollout

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// expireLoads drops the planned loads that a status shows, that are too old to
// be under way, and those of runs that have been superseded.
func (p *Planner) expireLoads(now time.Duration, engines []Engine) {
	newest := make(map[fleet.EngineID]Engine, len(engines))
	for _, candidate := range engines {
		newest[candidate.Status.Engine] = candidate
	}
	for run, load := range p.pendingLoads {
		known, listed := newest[run.Engine]
		superseded := listed && known.Status.Incarnation > run.Incarnation
		shown := listed && (known.hasLoaded(load.version) || known.isLoading(load.version))
		if superseded || shown || now >= load.at+p.settings.StatusGrace {
			delete(p.pendingLoads, run)
		}
	}
}

// planLoads orders at most free loads of what one pool's engines need. Each
// engine loads one set of weights at a time.
func (p *Planner) planLoads(now time.Duration, free int, needed []configuredVersion, engines []Engine) []Order {
	var orders []Order
	for _, wanted := range needed {
		for _, candidate := range engines {
			if free <= 0 {
				return orders
			}
			if candidate.hasLoaded(wanted.version) || p.isBusyLoading(candidate) {
				continue
			}
			order := candidate.order(engine.OrderLoad)
			order.Order.Weights = wanted.version
			orders = append(orders, order)
			p.pendingLoads[candidate.run()] = pendingLoad{pool: wanted.pool, version: wanted.version, at: now}
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
		if candidate.Pool == pool && p.isBusyLoading(candidate) {
			count++
		}
	}
	for run, load := range p.pendingLoads {
		if load.pool == pool && !listed[run] {
			count++
		}
	}
	return count
}

func (p *Planner) isBusyLoading(candidate Engine) bool {
	_, ordered := p.pendingLoads[candidate.run()]
	return ordered || len(candidate.Status.Loading) > 0
}

// updateRetired keeps since when each set of weights has been retired.
func (p *Planner) updateRetired(now time.Duration, wanted catalogue) {
	retired := make(map[engine.Weights]time.Duration)
	for _, candidate := range wanted.retired {
		since, known := p.retiredSince[candidate.version]
		if !known {
			since = now
		}
		retired[candidate.version] = since
	}
	p.retiredSince = retired
}

// planUnloads orders an engine to drop what the document names as retired.
// Weights that the document doesn't name at all stay: the document in hand may
// be older than the one that loaded them.
func (p *Planner) planUnloads(now time.Duration, wanted catalogue, candidate Engine) []Order {
	var orders []Order
	for _, retired := range wanted.retired {
		due := now >= p.retiredSince[retired.version]+p.settings.UnloadGrace
		if !due || !candidate.hasLoaded(retired.version) || !isReplaced(wanted, retired, candidate) {
			continue
		}
		order := candidate.order(engine.OrderUnload)
		order.Order.Weights = retired.version
		orders = append(orders, order)
	}
	return orders
}

// isReplaced tells whether the engine can do without retired weights: it holds
// the version that serves instead, or its pool doesn't serve the model.
func isReplaced(wanted catalogue, retired configuredVersion, candidate Engine) bool {
	if candidate.Pool != retired.pool {
		return true
	}
	return slices.ContainsFunc(wanted.serving, func(serving configuredVersion) bool {
		return isSameVariant(serving.version, retired.version) && candidate.hasLoaded(serving.version)
	})
}
