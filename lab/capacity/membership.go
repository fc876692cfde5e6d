package capacity

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
)

const (
	// convergenceLimit bounds the virtual time until all agree.
	convergenceLimit = 5 * time.Minute
	// changeLimit bounds the virtual time until all hold a change.
	changeLimit = time.Minute
	// changeSettle is the virtual time after which a change isn't passed on any more.
	changeSettle = 6 * time.Second
	// heavyLoss is the loss of requests, and of answers, in a bad network.
	heavyLoss = 0.3
)

// steadyCost is what one router's membership costs a second while nothing changes.
type steadyCost struct {
	exchanges    float64
	bytes        float64
	microseconds float64
}

// steady measures the membership of routers that know each other.
func steady(o Options, count int) steadyCost {
	n := newNetwork(o.Seed)
	n.startKnown(count)
	n.startCount()
	start := ProcessorTime()
	n.pass(o.Sizes.SteadyTime)
	taken := ProcessorTime() - start
	exchanges, bytes := n.counted()
	nodeSeconds := float64(count) * o.Sizes.SteadyTime.Seconds()
	return steadyCost{
		exchanges:    exchanges / nodeSeconds,
		bytes:        bytes / nodeSeconds,
		microseconds: microseconds(taken) / nodeSeconds,
	}
}

// changeCost is what one change of the configuration costs until all hold it.
type changeCost struct {
	// toAll is the slowest of the changes, in seconds.
	toAll float64
	// exchanges and bytes are a node's, beyond the steady ones.
	exchanges float64
	bytes     float64
}

// spreadChanges publishes changes of a size at different nodes of a network
// that has settled, one after the other.
func spreadChanges(n *network, patchBytes int, loss float64) (changeCost, error) {
	count := len(n.all)
	n.loss = loss
	n.startCount()
	n.pass(changeSettle)
	steadyExchanges, steadyBytes := n.counted()
	const changes = 5
	var cost changeCost
	for number := range changes {
		n.startCount()
		revision := n.all[number*count/changes].publish(make([]byte, patchBytes))
		start := n.now()
		took, all := n.until(changeLimit, func() bool { return n.allHold(revision) })
		if !all {
			return cost, errors.Errorf("a change isn't held by all of %d nodes after %s", count, took)
		}
		cost.toAll = max(cost.toAll, took.Seconds())
		n.pass(max(0, changeSettle-(n.now()-start)))
		exchanges, bytes := n.counted()
		cost.exchanges += (exchanges - steadyExchanges) / float64(count*changes)
		cost.bytes += (bytes - steadyBytes) / float64(count*changes)
	}
	return cost, nil
}

// patchBytes returns the size of a change of one tenant as nodes pass it on.
func patchBytes(tenants int) (int, error) {
	_, change, err := weightChange(tenants, targetModels)
	if err != nil {
		return 0, err
	}
	messages, err := config.ChangeMessages([]config.Change{change})
	if err != nil {
		return 0, err
	}
	return len(messages[0].GetPatch()), nil
}

// sweepParts measures several values of one run at each size.
func sweepParts(sizes []int, measure func(size int) ([]float64, error), quantities ...quantity) ([]Slope, error) {
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
	return sweepParts(o.Sizes.Members, func(size int) ([]float64, error) {
		cost := steady(o, size)
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
	slopes, err := sweepParts(o.Sizes.Members, func(size int) ([]float64, error) {
		n := newNetwork(o.Seed)
		n.startKnown(size)
		clean, err := spreadChanges(n, patch, 0)
		if err != nil {
			return nil, err
		}
		lossy, err := spreadChanges(n, patch, heavyLoss)
		return []float64{
			clean.toAll, clean.exchanges, clean.bytes, lossy.toAll, lossy.exchanges, lossy.bytes,
		}, err
	}, quantities...)
	if err != nil {
		return slopes, err
	}
	bySize, err := sweepParts(o.Sizes.Tenants, func(tenants int) ([]float64, error) {
		patch, err := patchBytes(tenants)
		if err != nil {
			return nil, err
		}
		n := newNetwork(o.Seed)
		n.startKnown(o.Sizes.Members[1])
		cost, err := spreadChanges(n, patch, 0)
		return []float64{cost.toAll, cost.bytes}, err
	},
		quantity{name: "one change by size of the configuration: time to all", size: "tenants", unit: "s", growth: GrowthLinear},
		quantity{name: "one change by size of the configuration: encoded bytes sent a node", size: "tenants", unit: "B", growth: GrowthLinear},
	)
	return append(slopes, bySize...), err
}
