package capacity

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/lease"
	routerprocess "github.com/tillerfall/tillerfall/internal/router"
	"github.com/tillerfall/tillerfall/lab/eventqueue"
	"github.com/tillerfall/tillerfall/lab/standin/platformmodel"
)

const (
	// platformDelay is the duration of a call to the platform.
	platformDelay = 20 * time.Millisecond
	// leaseCandidates is the number of routers eligible for the lease.
	leaseCandidates = 3
	// countedTime is the virtual time over which calls are counted.
	countedTime = 60 * time.Second
)

// callCounter counts calls by second of virtual time.
type callCounter struct {
	bySecond [countedTime / time.Second]int
}

func (c *callCounter) count(at time.Duration) {
	if second := int(at / time.Second); second < len(c.bySecond) {
		c.bySecond[second]++
	}
}

// steadyRate returns the mean rate per second over the last half of countedTime.
func (c *callCounter) steadyRate() float64 {
	half := c.bySecond[len(c.bySecond)/2:]
	sum := 0
	for _, calls := range half {
		sum += calls
	}
	return float64(sum) / float64(len(half))
}

// peak returns the number of calls in the busiest second.
func (c *callCounter) peak() float64 {
	most := 0
	for _, calls := range c.bySecond {
		most = max(most, calls)
	}
	return float64(most)
}

// herdBootstrap describes how routers that restart together discover each other: the configured ones
// immediately, including themselves, and all of them after membershipAfter.
type herdBootstrap struct {
	configuredNodes int
	membershipAfter time.Duration
}

// countConfigurationPolls counts the reads of the configuration head by followers that start
// together.
func countConfigurationPolls(o Options, count int, start herdBootstrap) *callCounter {
	queue := eventqueue.New(o.Seed)
	counter := &callCounter{}
	interval := time.Duration(routerprocess.DefaultSettings().ConfigurationInterval)
	for range count {
		random := rand.New(rand.NewPCG(queue.Random().Uint64(), 1))
		follower := config.NewFollower(config.FollowerOptions{PollInterval: interval}, random, 0, min(count, start.configuredNodes))
		follower.SetLocalRevision(1)
		var step func()
		step = func() {
			if queue.Now() >= start.membershipAfter {
				follower.SetNodeCount(queue.Now(), count)
			}
			action := follower.Next(queue.Now())
			if action.Source != config.SourcePlatform {
				wake := action.Until
				if queue.Now() < start.membershipAfter {
					wake = min(wake, start.membershipAfter)
				}
				queue.At(max(wake, queue.Now()+time.Millisecond), step)
				return
			}
			counter.count(queue.Now())
			queue.After(platformDelay, func() {
				follower.PlatformDone(queue.Now(), true)
				step()
			})
		}
		queue.At(0, step)
	}
	queue.RunUntil(countedTime)
	return counter
}

// countLeaseCalls counts the table calls of the lease elections of count routers.
func countLeaseCalls(o Options, count int) (*callCounter, error) {
	queue := eventqueue.New(o.Seed)
	tables := platformmodel.New(platformmodel.Options{})
	counter := &callCounter{}
	for number := range count {
		settings := lease.Settings{Key: "lease/measured", Duration: lease.DefaultDuration, Margin: lease.DefaultMargin}
		random := rand.New(rand.NewPCG(queue.Random().Uint64(), 1))
		election, err := lease.NewElection(settings, lease.NewHolderID(member(number, 0).Node, uint64(number)), random)
		if err != nil {
			return nil, errors.Wrap(err, "create lease election")
		}
		election.SetEligible(number < leaseCandidates)
		var step func()
		step = func() {
			action := election.Next(queue.Now())
			switch action.Kind {
			case lease.ActionRead:
				counter.count(queue.Now())
				row, err := tables.Get(queue.Now(), settings.Key)
				queue.After(platformDelay, func() {
					_ = election.ReadDone(queue.Now(), row, err) // fails only for a malformed row
					step()
				})
			case lease.ActionCommit:
				counter.count(queue.Now())
				err := tables.Commit(queue.Now(), action.Transaction)
				queue.After(platformDelay, func() {
					election.CommitDone(queue.Now(), err)
					step()
				})
			default:
				queue.At(max(action.Until, queue.Now()+time.Millisecond), step)
			}
		}
		queue.At(0, step)
	}
	queue.RunUntil(countedTime)
	return counter, nil
}

// configuredRouters is the number of routers in a router's own configuration, including itself.
const configuredRouters = 4

var (
	// listedBootstrap discovers the routers by reading the list of machines.
	listedBootstrap = herdBootstrap{configuredNodes: configuredRouters, membershipAfter: 2 * platformDelay}
	// unlistedBootstrap discovers the routers through the membership protocol, without a list of
	// machines.
	unlistedBootstrap = herdBootstrap{configuredNodes: configuredRouters, membershipAfter: 3 * time.Second}
	// configuredBootstrap starts with all routers configured.
	configuredBootstrap = herdBootstrap{configuredNodes: math.MaxInt}
)

// measurePlatformCalls measures the total rate of platform calls of all routers.
func measurePlatformCalls(o Options) ([]Slope, error) {
	slopes, err := sweepTogether(o.Sizes.Members, func(count int) ([]float64, error) {
		polls := countConfigurationPolls(o, count, listedBootstrap)
		unlisted := countConfigurationPolls(o, count, unlistedBootstrap)
		configured := countConfigurationPolls(o, count, configuredBootstrap)
		machines := countMachineReads(o, count)
		leases, err := countLeaseCalls(o, count)
		if err != nil {
			return nil, err
		}
		return []float64{
			polls.steadyRate(), polls.peak(), configured.peak(), unlisted.peak(), leases.steadyRate(), machines.steadyRate(), machines.peak(),
		}, nil
	},
		quantity{name: "table reads of the configuration, all routers, steady", size: "routers", unit: "1/s", growth: GrowthLogarithmic},
		quantity{name: "table reads of the configuration, all routers, busiest second of a herd restart", size: "routers", unit: "1/s", growth: GrowthLogarithmic},
		quantity{name: "the same, each configured with all routers", size: "routers", unit: "1/s", growth: GrowthLogarithmic},
		quantity{name: "the same, no list of machines, the membership known after 3 s", size: "routers", unit: "1/s", growth: GrowthLinear},
		quantity{name: "table calls of the lease, all routers, steady", size: "routers", unit: "1/s", growth: GrowthLinear},
		quantity{name: "reads of the list of machines, all routers, steady", size: "routers", unit: "1/s", growth: GrowthLogarithmic},
		quantity{name: "reads of the list of machines, all routers, busiest second of a herd restart", size: "routers", unit: "1/s", growth: GrowthLinear},
	)
	return slopes, err
}

// measureHerdRestart restarts all routers at once and measures how they discover each other.
func measureHerdRestart(o Options) []Figure {
	n := newNetwork(o.Seed)
	n.startCounting()
	n.startCold(o.Sizes.FailureMembers)
	const name = "herd restart of all routers"
	half, _ := n.advanceUntil(convergenceLimit, func() bool {
		for _, node := range n.all {
			if len(node.core.Members()) < o.Sizes.FailureMembers/2 {
				return false
			}
		}
		return true
	})
	rest, _ := n.advanceUntil(convergenceLimit, n.converged)
	return append(
		[]Figure{{Name: name + ": until each knows half of them", Unit: "s", Value: half.Seconds()}},
		recoveryFigures(n, name, half+rest, 0)...,
	)
}
