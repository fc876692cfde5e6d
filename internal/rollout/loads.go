package rollout

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// expireLoads removes pending loads that are visible in a status, have exceeded the grace period,
// or belong to a superseded run.
func (p *Planner) expireLoads(now time.Duration, engines []Engine) {
	newest := make(map[fleet.EngineID]Engine, len(engines))
	for _, candidate := range engines {
		newest[candidate.Status.Engine] = candidate
	}
	for run, load := range p.pendingLoads {
		current, listed := newest[run.Engine]
		superseded := listed && current.Status.Incarnation > run.Incarnation
		visible := listed && (current.hasLoaded(load.version) || current.isLoading(load.version))
		if superseded || visible || now >= load.at+p.settings.StatusGrace {
			delete(p.pendingLoads, run)
		}
	}
}

// planLoads orders up to free loads for the engines of one pool. An engine loads one version at a
// time.
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
			order.Order.ModelVersion = wanted.version
			orders = append(orders, order)
			p.pendingLoads[candidate.run()] = pendingLoad{pool: wanted.pool, version: wanted.version, at: now}
			free--
		}
	}
	return orders
}

// countLoading counts the engines of a pool that are loading or have been ordered to load,
// including those that are leaving or currently not listed.
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

// updateRetired tracks since when each version has been retired.
func (p *Planner) updateRetired(now time.Duration, versions catalogue) {
	retired := make(map[engine.ModelVersion]time.Duration)
	for _, candidate := range versions.retired {
		since, found := p.retiredSince[candidate.version]
		if !found {
			since = now
		}
		retired[candidate.version] = since
	}
	p.retiredSince = retired
}

// planUnloads orders an engine to unload retired versions. Versions missing from the document stay
// loaded, since this document may be older than the one that loaded them.
func (p *Planner) planUnloads(now time.Duration, versions catalogue, candidate Engine) []Order {
	var orders []Order
	for _, retired := range versions.retired {
		due := now >= p.retiredSince[retired.version]+p.settings.UnloadGrace
		if !due || !candidate.hasLoaded(retired.version) || !isReplaced(versions, retired, candidate) {
			continue
		}
		order := candidate.order(engine.OrderUnload)
		order.Order.ModelVersion = retired.version
		orders = append(orders, order)
	}
	return orders
}

// isReplaced reports whether the engine no longer needs a retired version: it has loaded the
// serving version instead, or its pool doesn't serve the model.
func isReplaced(versions catalogue, retired configuredVersion, candidate Engine) bool {
	if candidate.Pool != retired.pool {
		return true
	}
	return slices.ContainsFunc(versions.serving, func(serving configuredVersion) bool {
		return isSameVariant(serving.version, retired.version) && candidate.hasLoaded(serving.version)
	})
}
