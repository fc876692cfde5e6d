package enginemodel

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

type pendingLoad struct {
	weights engine.ModelVersion
	readyAt time.Duration
}

// controlState is the state that fenced orders change.
type controlState struct {
	fence   fleet.FencingToken
	role    engine.Role
	leaving bool
	loaded  []engine.ModelVersion
	loading []pendingLoad
}

func (c *controlState) isLoaded(weights engine.ModelVersion) bool {
	return slices.Contains(c.loaded, weights)
}

func (c *controlState) nextLoad() (time.Duration, bool) {
	if len(c.loading) == 0 {
		return 0, false
	}
	next := c.loading[0].readyAt
	for _, pending := range c.loading[1:] {
		next = min(next, pending.readyAt)
	}
	return next, true
}

func (c *controlState) finishLoads(now time.Duration) {
	c.loading = slices.DeleteFunc(c.loading, func(pending pendingLoad) bool {
		if pending.readyAt > now {
			return false
		}
		c.loaded = append(c.loaded, pending.weights)
		return true
	})
}

func (c *controlState) loadingWeights() []engine.ModelVersion {
	var weights []engine.ModelVersion
	for _, pending := range c.loading {
		weights = append(weights, pending.weights)
	}
	return weights
}

func (c *controlState) load(weights engine.ModelVersion, readyAt time.Duration) {
	underWay := func(pending pendingLoad) bool { return pending.weights == weights }
	if c.isLoaded(weights) || slices.ContainsFunc(c.loading, underWay) {
		return
	}
	c.loading = append(c.loading, pendingLoad{weights: weights, readyAt: readyAt})
}

func (c *controlState) unload(weights engine.ModelVersion) {
	c.loaded = slices.DeleteFunc(c.loaded, func(other engine.ModelVersion) bool { return other == weights })
	c.loading = slices.DeleteFunc(c.loading, func(pending pendingLoad) bool { return pending.weights == weights })
}

// ApplyOrder applies a fenced order. Loading weights ends Costs.LoadTime later. Accepted streams
// run to their end even if their weights are unloaded or the engine is leaving. Errors are
// *engine.Error.
func (e *Engine) ApplyOrder(now time.Duration, order engine.Order) error {
	e.Advance(now)
	if order.Incarnation != e.incarnation {
		return e.newError(engine.ErrorWrongIncarnation, "order is for another run of this engine")
	}
	if order.Fence < e.control.fence {
		return e.newError(engine.ErrorStaleFence, "a higher fencing token has been seen")
	}
	if problem := validateOrder(order); problem != "" {
		return e.newError(engine.ErrorBadRequest, problem)
	}
	e.control.fence = order.Fence
	switch order.Kind {
	case engine.OrderLoad:
		e.control.load(order.ModelVersion, e.now+e.config.Costs.LoadTime)
	case engine.OrderUnload:
		e.control.unload(order.ModelVersion)
	case engine.OrderRole:
		e.control.role = order.Role
	case engine.OrderRetire:
		e.control.leaving = true
	case engine.OrderResume:
		e.control.leaving = false
	}
	return nil
}

// validateOrder returns what is wrong with an order, or an empty string if it is valid.
func validateOrder(order engine.Order) string {
	switch order.Kind {
	case engine.OrderLoad, engine.OrderUnload:
		if order.ModelVersion.Model == "" || order.ModelVersion.Version == "" {
			return "model and version are required"
		}
	case engine.OrderRole:
		switch order.Role {
		case engine.RoleServe, engine.RolePrefill, engine.RoleDecode:
		default:
			return "unknown role"
		}
	case engine.OrderRetire, engine.OrderResume:
	default:
		return "unknown kind of order"
	}
	return ""
}
