package capacity

import (
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// changeBytes returns the encoded size of a change to one tenant.
func changeBytes(tenants int) (float64, error) {
	_, change, err := tenantWeightChange(tenants, targetModels)
	if err != nil {
		return 0, err
	}
	messages, err := config.ChangeMessages([]config.Change{change})
	if err != nil {
		return 0, err
	}
	return float64(proto.Size(messages[0])), nil
}

// documentBytes returns the encoded size of a whole configuration.
func documentBytes(tenants, models int) (float64, error) {
	message, err := config.SnapshotMessage(document(1, tenants, models))
	return float64(proto.Size(message)), err
}

// changeTime returns the processor time in microseconds in which a router validates one change and
// applies it to its configuration holder and placement core.
func changeTime(o Options, tenants int) (float64, error) {
	before, change, err := tenantWeightChange(tenants, targetModels)
	if err != nil {
		return 0, err
	}
	r, err := newRouter(o.Seed, ownedEngines, 0)
	if err != nil {
		return 0, err
	}
	holder := config.NewHolder()
	if _, err := holder.OfferSnapshot(before); err != nil {
		return 0, err
	}
	var failed error
	used := processorTimeOf(o.Sizes.ProcessorTime, func(repetition int) {
		next := change
		next.Revision = fleet.Revision(repetition + 2)
		accepted, _, err := holder.OfferChanges([]config.Change{next})
		if err != nil || !accepted {
			failed = errors.Errorf("configuration change %d not accepted: %v", next.Revision, err)
			return
		}
		r.core.ApplyConfig(r.now, holder.Current())
	})
	return microseconds(used), failed
}

// configurationMemory returns the memory in bytes of a router with the given configuration.
func configurationMemory(o Options, tenants, models int) (float64, error) {
	return memoryOf(func() (any, error) {
		r, err := newRouter(o.Seed, 1, 0)
		if err != nil {
			return nil, err
		}
		view, err := config.NewView(document(2, tenants, models))
		if err != nil {
			return nil, err
		}
		r.core.ApplyConfig(r.now, view)
		return r, nil
	})
}

// measureConfiguration measures the cost of one configuration change at one node.
func measureConfiguration(o Options) ([]Slope, error) {
	return sweepAll(
		quantity{
			name: "change of one tenant, encoded", size: "tenants", unit: "B", growth: GrowthLinear,
			sizes: o.Sizes.Tenants, measure: changeBytes,
		},
		quantity{
			name: "whole configuration, encoded", size: "tenants", unit: "B", growth: GrowthLinear, sizes: o.Sizes.Tenants,
			measure: func(tenants int) (float64, error) { return documentBytes(tenants, targetModels) },
		},
		quantity{
			name: "change put in force at one router", size: "tenants", unit: "core-µs", growth: GrowthLinear, sizes: o.Sizes.Tenants,
			measure: func(tenants int) (float64, error) { return changeTime(o, tenants) },
		},
	)
}

// measureRouterMemory measures the memory of the state that a router holds.
func measureRouterMemory(o Options) ([]Slope, error) {
	memory := func(state, size string, sizes []int, measure func(int) (float64, error)) quantity {
		return quantity{name: "memory at a router: " + state, size: size, unit: "B", growth: GrowthLinear, sizes: sizes, measure: measure}
	}
	return sweepAll(
		memory("tenants", "tenants", o.Sizes.Tenants, func(size int) (float64, error) {
			return configurationMemory(o, size, targetModels)
		}),
		memory("models, a pool to each", "models", o.Sizes.Models, func(size int) (float64, error) {
			return configurationMemory(o, o.Sizes.Tenants[0], size)
		}),
		memory("owned engines, caches empty", "engines", o.Sizes.Engines, func(size int) (float64, error) {
			return memoryOf(func() (any, error) { return newRouter(o.Seed, size, 0) })
		}),
		memory("listed engines of other owners", "engines", o.Sizes.Engines, func(size int) (float64, error) {
			return memoryOf(func() (any, error) { return routerWithListedEngines(o.Seed, size) })
		}),
		memory("waiting requests of 128 blocks", "requests", o.Sizes.Waiting, func(size int) (float64, error) {
			return memoryOf(func() (any, error) { return routerWithWaiting(o.Seed, size) })
		}),
		memory("open grants after the first token", "grants", o.Sizes.Waiting, func(size int) (float64, error) {
			return memoryOf(func() (any, error) { return routerWithGrants(o.Seed, size) })
		}),
	)
}

// routerWithListedEngines returns a router that owns none of the listed engines.
func routerWithListedEngines(seed uint64, engines int) (*router, error) {
	r, err := newRouter(seed, 0, 0)
	if err != nil {
		return nil, err
	}
	r.core.SetOwned(func(fleet.EngineID) bool { return false })
	for number := range engines {
		r.core.ObserveMachine(time.Second, machine(number, poolName(0)))
	}
	return r, nil
}
