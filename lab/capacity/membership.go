package capacity

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
)

const (
	// convergenceLimit bounds the virtual time until all routers agree on the membership.
	convergenceLimit = 5 * time.Minute
	// changeLimit bounds the virtual time until all routers hold a change.
	changeLimit = time.Minute
	// changeSettleTime is the virtual time after which nodes no longer forward a change.
	changeSettleTime = 6 * time.Second
	// heavyLoss is the probability that a request is lost, and that a response is, in a lossy network.
	heavyLoss = 0.3
)

// steadyCost is the membership cost per second of one router while nothing changes.
type steadyCost struct {
	exchanges    float64
	bytes        float64
	microseconds float64
}

// measureSteadyCost measures the steady-state cost of the membership protocol in a converged network.
func measureSteadyCost(o Options, count int) steadyCost {
	n := newNetwork(o.Seed)
	n.startConverged(count)
	n.startCounting()
	start := ProcessorTime()
	n.advance(o.Sizes.SteadyTime)
	used := ProcessorTime() - start
	exchanges, bytes := n.totals()
	nodeSeconds := float64(count) * o.Sizes.SteadyTime.Seconds()
	return steadyCost{
		exchanges:    exchanges / nodeSeconds,
		bytes:        bytes / nodeSeconds,
		microseconds: microseconds(used) / nodeSeconds,
	}
}

// changeCost is the cost of one configuration change until all routers hold it.
type changeCost struct {
	// secondsToAll is the time until all routers hold the slowest of the changes, in seconds.
	secondsToAll float64
	// exchanges and bytes are means per node, in excess of the steady ones.
	exchanges float64
	bytes     float64
}

// measureChangeCost publishes changes of the given size at different nodes of a converged network,
// one after the other.
func measureChangeCost(n *network, patchBytes int, loss float64) (changeCost, error) {
	count := len(n.all)
	n.loss = loss
	n.startCounting()
	n.advance(changeSettleTime)
	steadyExchanges, steadyBytes := n.totals()
	const changes = 5
	var cost changeCost
	for number := range changes {
		n.startCounting()
		revision := n.all[number*count/changes].publish(make([]byte, patchBytes))
		start := n.now()
		elapsed, reached := n.advanceUntil(changeLimit, func() bool { return n.allHold(revision) })
		if !reached {
			return cost, errors.Errorf("configuration change did not reach all of %d nodes within %s", count, elapsed)
		}
		cost.secondsToAll = max(cost.secondsToAll, elapsed.Seconds())
		n.advance(max(0, changeSettleTime-(n.now()-start)))
		exchanges, bytes := n.totals()
		cost.exchanges += (exchanges - steadyExchanges) / float64(count*changes)
		cost.bytes += (bytes - steadyBytes) / float64(count*changes)
	}
	return cost, nil
}

// patchBytes returns the encoded size of a change to one tenant, as nodes forward it.
func patchBytes(tenants int) (int, error) {
	_, change, err := tenantWeightChange(tenants, targetModels)
	if err != nil {
		return 0, err
	}
	messages, err := config.ChangeMessages([]config.Change{change})
	if err != nil {
		return 0, err
	}
	return len(messages[0].GetPatch()), nil
}

// sweepTogether sweeps several quantities that one measurement yields together. measure returns
// their values in the order of quantities.
func sweepTogether(sizes []int, measure func(size int) ([]float64, error), quantities ...quantity) ([]Slope, error) {
	values := make(map[int][]float64)
	for _, size := range sizes {
		parts, err := measure(size)
		if err != nil {
			return nil, err
		}
		values[size] = parts
	}
	for i := range quantities {
		quantities[i].sizes = sizes
		quantities[i].measure = func(size int) (float64, error) { return values[size][i], nil }
	}
	return sweepAll(quantities...)
}

func measureSteadyMembership(o Options) ([]Slope, error) {
	return sweepTogether(o.Sizes.Members, func(size int) ([]float64, error) {
		cost := measureSteadyCost(o, size)
		return []float64{cost.exchanges, cost.bytes, cost.microseconds}, nil
	},
		quantity{name: "membership, steady: exchanges begun a node", size: "routers", unit: "1/s", growth: GrowthLogarithmic},
		quantity{name: "membership, steady: encoded bytes sent a node", size: "routers", unit: "B/s", growth: GrowthLogarithmic},
		quantity{name: "membership, steady: core and codec a node", size: "routers", unit: "core-µs/s", growth: GrowthLogarithmic},
	)
}

func measureChanges(o Options) ([]Slope, error) {
	patch, err := patchBytes(targetTenants)
	if err != nil {
		return nil, err
	}
	var quantities []quantity
	for _, loss := range []string{"no loss", "30% loss"} {
		prefix := "one change, " + loss + ": "
		quantities = append(quantities,
			quantity{name: prefix + "time to all, slowest of 5", size: "routers", unit: "s", growth: GrowthLogarithmic},
			quantity{name: prefix + "exchanges a node", size: "routers", unit: "1", growth: GrowthLogarithmic},
			quantity{name: prefix + "encoded bytes sent a node", size: "routers", unit: "B", growth: GrowthLogarithmic},
		)
	}
	slopes, err := sweepTogether(o.Sizes.Members, func(size int) ([]float64, error) {
		n := newNetwork(o.Seed)
		n.startConverged(size)
		clean, err := measureChangeCost(n, patch, 0)
		if err != nil {
			return nil, err
		}
		lossy, err := measureChangeCost(n, patch, heavyLoss)
		return []float64{
			clean.secondsToAll, clean.exchanges, clean.bytes, lossy.secondsToAll, lossy.exchanges, lossy.bytes,
		}, err
	}, quantities...)
	if err != nil {
		return slopes, err
	}
	bySize, err := sweepTogether(o.Sizes.Tenants, func(tenants int) ([]float64, error) {
		patch, err := patchBytes(tenants)
		if err != nil {
			return nil, err
		}
		n := newNetwork(o.Seed)
		n.startConverged(o.Sizes.Members[1])
		cost, err := measureChangeCost(n, patch, 0)
		return []float64{cost.secondsToAll, cost.bytes}, err
	},
		quantity{name: "one change by size of the configuration: time to all", size: "tenants", unit: "s", growth: GrowthLinear},
		quantity{name: "one change by size of the configuration: encoded bytes sent a node", size: "tenants", unit: "B", growth: GrowthLinear},
	)
	return append(slopes, bySize...), err
}
