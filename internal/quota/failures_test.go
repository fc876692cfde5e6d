package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// failurePlan holds the failures of one simulation.
type failurePlan struct {
	events       []failureEvent
	descriptions []string
	// targetNodes is the number of nodes to which callers send requests; 0 means all.
	targetNodes int
}

type failureEvent struct {
	at    time.Duration
	apply func(*simFleet)
}

// newFailurePlan draws one or two failures at random times. It never combines a partition with a
// restart of all nodes: nodes that restart while partitioned can't detect the other side, and each
// side of eight nodes or more then has the whole limit.
func newFailurePlan(random *rand.Rand) *failurePlan {
	plan := &failurePlan{}
	kinds := []func(*rand.Rand, time.Duration){plan.killSome, plan.addNodes, plan.changeLimit, plan.restrictCallers}
	if random.IntN(2) == 0 {
		kinds = append(kinds, plan.partition)
	} else {
		kinds = append(kinds, plan.killAll)
	}
	for range 1 + random.IntN(2) {
		kinds[random.IntN(len(kinds))](random, time.Duration(random.IntN(14_000))*time.Millisecond)
	}
	return plan
}

func (p *failurePlan) schedule(at time.Duration, name string, apply func(*simFleet)) {
	p.descriptions = append(p.descriptions, fmt.Sprintf("%s at %s", name, at))
	p.events = append(p.events, failureEvent{at, apply})
}

// partition splits the fleet in two for some seconds.
func (p *failurePlan) partition(random *rand.Rand, at time.Duration) {
	fraction := 0.1 + 0.4*random.Float64()
	p.schedule(at, fmt.Sprintf("partition of %.2f", fraction), func(f *simFleet) {
		for _, node := range f.nodes[:max(1, int(fraction*float64(len(f.nodes))))] {
			node.partition = 1
		}
	})
	p.schedule(at+time.Duration(2+random.IntN(10))*time.Second, "healed", func(f *simFleet) {
		for _, node := range f.nodes {
			node.partition = 0
		}
	})
}

// killSome kills a fraction of the nodes, which restart a second later.
func (p *failurePlan) killSome(random *rand.Rand, at time.Duration) {
	fraction := 0.1 + 0.4*random.Float64()
	p.schedule(at, fmt.Sprintf("killed %.2f", fraction), func(f *simFleet) {
		for _, node := range f.nodes[:max(1, int(fraction*float64(len(f.nodes))))] {
			f.kill(node, time.Second)
		}
	})
}

// killAll kills all nodes, which restart a second later.
func (p *failurePlan) killAll(_ *rand.Rand, at time.Duration) {
	p.schedule(at, "killed all", func(f *simFleet) {
		for _, node := range f.nodes {
			f.kill(node, time.Second)
		}
	})
}

// addNodes adds up to six nodes.
func (p *failurePlan) addNodes(random *rand.Rand, at time.Duration) {
	count := 1 + random.IntN(6)
	p.schedule(at, fmt.Sprintf("%d added", count), func(f *simFleet) {
		for range count {
			node := &simNode{machine: fmt.Sprintf("m%d", len(f.nodes)), ratePercent: 100}
			f.start(node, false)
			f.nodes = append(f.nodes, node)
		}
	})
}

// changeLimit lowers the limits at all nodes and restores them two seconds later.
func (p *failurePlan) changeLimit(_ *rand.Rand, at time.Duration) {
	change := func(f *simFleet, factor float64) {
		for _, node := range f.nodes {
			limits := make(map[fleet.TenantName]Limit)
			for tenant, limit := range f.limits {
				limits[tenant] = Limit{Rate: limit.Rate * factor, Burst: limit.Burst * factor}
			}
			node.limiter.SetLimits(node.clock(f.now), limits)
		}
	}
	p.schedule(at, "limits lowered", func(f *simFleet) { change(f, 0.2) })
	p.schedule(at+2*time.Second, "limits raised", func(f *simFleet) { change(f, 1) })
}

// restrictCallers makes callers send requests to one or two nodes only.
func (p *failurePlan) restrictCallers(random *rand.Rand, at time.Duration) {
	count := 1 + random.IntN(2)
	p.schedule(at, fmt.Sprintf("callers at %d nodes", count), func(*simFleet) { p.targetNodes = count })
}

func (p *failurePlan) pickNode(f *simFleet) *simNode {
	if p.targetNodes > 0 {
		return f.nodes[f.random.IntN(min(p.targetNodes, len(f.nodes)))]
	}
	return anyNode(f)
}

func (p *failurePlan) applyDue(f *simFleet) {
	left := p.events[:0]
	for _, event := range p.events {
		if f.now < event.at {
			left = append(left, event)
			continue
		}
		event.apply(f)
	}
	p.events = left
}
