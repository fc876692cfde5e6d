package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// failurePlan is what fails in one simulated run.
type failurePlan struct {
	events       []failureEvent
	descriptions []string
	// targetNodes is the number of nodes that callers go to; 0 means all.
	targetNodes int
}

type failureEvent struct {
	at    time.Duration
	apply func(*simFleet)
}

// newFailurePlan draws one or two failures, at any moment. A partition and a restart of all
// nodes aren't drawn together: nodes that have all restarted while they were parted
// can't know of the other side, and each side of eight nodes or more has the whole limit.
func newFailurePlan(random *rand.Rand) *failurePlan {
	drawn := &failurePlan{}
	kinds := []func(*rand.Rand, time.Duration){drawn.killSome, drawn.addNodes, drawn.changeLimit, drawn.restrictCallers}
	if random.IntN(2) == 0 {
		kinds = append(kinds, drawn.partition)
	} else {
		kinds = append(kinds, drawn.killAll)
	}
	for range 1 + random.IntN(2) {
		kinds[random.IntN(len(kinds))](random, time.Duration(random.IntN(14_000))*time.Millisecond)
	}
	return drawn
}

func (t *failurePlan) schedule(at time.Duration, name string, apply func(*simFleet)) {
	t.descriptions = append(t.descriptions, fmt.Sprintf("%s at %s", name, at))
	t.events = append(t.events, failureEvent{at, apply})
}

// partition parts the fleet in two for some seconds.
func (t *failurePlan) partition(random *rand.Rand, at time.Duration) {
	part := 0.1 + 0.4*random.Float64()
	t.schedule(at, fmt.Sprintf("cut of %.2f", part), func(f *simFleet) {
		for _, node := range f.nodes[:max(1, int(part*float64(len(f.nodes))))] {
			node.partition = 1
		}
	})
	t.schedule(at+time.Duration(2+random.IntN(10))*time.Second, "healed", func(f *simFleet) {
		for _, node := range f.nodes {
			node.partition = 0
		}
	})
}

// killSome kills a part of the nodes, which come back a second later.
func (t *failurePlan) killSome(random *rand.Rand, at time.Duration) {
	part := 0.1 + 0.4*random.Float64()
	t.schedule(at, fmt.Sprintf("killed %.2f", part), func(f *simFleet) {
		for _, node := range f.nodes[:max(1, int(part*float64(len(f.nodes))))] {
			f.kill(node, time.Second)
		}
	})
}

// killAll kills all nodes, which come back a second later.
func (t *failurePlan) killAll(_ *rand.Rand, at time.Duration) {
	t.schedule(at, "killed all", func(f *simFleet) {
		for _, node := range f.nodes {
			f.kill(node, time.Second)
		}
	})
}

// addNodes adds nodes.
func (t *failurePlan) addNodes(random *rand.Rand, at time.Duration) {
	count := 1 + random.IntN(6)
	t.schedule(at, fmt.Sprintf("%d added", count), func(f *simFleet) {
		for range count {
			node := &simNode{machine: fmt.Sprintf("m%d", len(f.nodes)), ratePercent: 100}
			f.start(node, false)
			f.nodes = append(f.nodes, node)
		}
	})
}

// changeLimit lowers the limits and raises them again to what they were, node by node.
func (t *failurePlan) changeLimit(_ *rand.Rand, at time.Duration) {
	change := func(f *simFleet, factor float64) {
		for _, node := range f.nodes {
			limits := make(map[fleet.TenantName]Limit)
			for tenant, limit := range f.limits {
				limits[tenant] = Limit{Rate: limit.Rate * factor, Burst: limit.Burst * factor}
			}
			node.limiter.SetLimits(node.clock(f.now), limits)
		}
	}
	t.schedule(at, "limits lowered", func(f *simFleet) { change(f, 0.2) })
	t.schedule(at+2*time.Second, "limits raised", func(f *simFleet) { change(f, 1) })
}

// restrictCallers has callers go to a few nodes alone.
func (t *failurePlan) restrictCallers(random *rand.Rand, at time.Duration) {
	few := 1 + random.IntN(2)
	t.schedule(at, fmt.Sprintf("callers at %d nodes", few), func(*simFleet) { t.targetNodes = few })
}

func (t *failurePlan) pickNode(f *simFleet) *simNode {
	if t.targetNodes > 0 {
		return f.nodes[f.random.IntN(min(t.targetNodes, len(f.nodes)))]
	}
	return anyNode(f)
}

func (t *failurePlan) applyDue(f *simFleet) {
	left := t.events[:0]
	for _, event := range t.events {
		if f.now < event.at {
			left = append(left, event)
			continue
		}
		event.apply(f)
	}
	t.events = left
}
