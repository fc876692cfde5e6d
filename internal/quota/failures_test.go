package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// trouble is what fails in one simulated run.
type trouble struct {
	events []troubleEvent
	names  []string
	// few is the number of nodes that callers go to; 0 means all.
	few int
}

type troubleEvent struct {
	at    time.Duration
	apply func(*simFleet)
}

// newTrouble draws one or two failures, at any moment. A partition and a restart of all
// nodes aren't drawn together: nodes that have all restarted while they were parted
// can't know of the other side, and each side of eight nodes or more has the whole limit.
func newTrouble(random *rand.Rand) *trouble {
	drawn := &trouble{}
	kinds := []func(*rand.Rand, time.Duration){drawn.killSome, drawn.add, drawn.changeLimit, drawn.fewNodes}
	if random.IntN(2) == 0 {
		kinds = append(kinds, drawn.cut)
	} else {
		kinds = append(kinds, drawn.killAll)
	}
	for range 1 + random.IntN(2) {
		kinds[random.IntN(len(kinds))](random, time.Duration(random.IntN(14_000))*time.Millisecond)
	}
	return drawn
}

func (t *trouble) note(at time.Duration, name string, apply func(*simFleet)) {
	t.names = append(t.names, fmt.Sprintf("%s at %s", name, at))
	t.events = append(t.events, troubleEvent{at, apply})
}

// cut parts the fleet in two for some seconds.
func (t *trouble) cut(random *rand.Rand, at time.Duration) {
	part := 0.1 + 0.4*random.Float64()
	t.note(at, fmt.Sprintf("cut of %.2f", part), func(f *simFleet) {
		for _, node := range f.nodes[:max(1, int(part*float64(len(f.nodes))))] {
			node.side = 1
		}
	})
	t.note(at+time.Duration(2+random.IntN(10))*time.Second, "healed", func(f *simFleet) {
		for _, node := range f.nodes {
			node.side = 0
		}
	})
}

// killSome kills a part of the nodes, which come back a second later.
func (t *trouble) killSome(random *rand.Rand, at time.Duration) {
	part := 0.1 + 0.4*random.Float64()
	t.note(at, fmt.Sprintf("killed %.2f", part), func(f *simFleet) {
		for _, node := range f.nodes[:max(1, int(part*float64(len(f.nodes))))] {
			f.kill(node, time.Second)
		}
	})
}

// killAll kills all nodes, which come back a second later.
func (t *trouble) killAll(_ *rand.Rand, at time.Duration) {
	t.note(at, "killed all", func(f *simFleet) {
		for _, node := range f.nodes {
			f.kill(node, time.Second)
		}
	})
}

// add adds nodes.
func (t *trouble) add(random *rand.Rand, at time.Duration) {
	count := 1 + random.IntN(6)
	t.note(at, fmt.Sprintf("%d added", count), func(f *simFleet) {
		for range count {
			node := &simNode{machine: fmt.Sprintf("m%d", len(f.nodes)), ratePercent: 100}
			f.start(node, false)
			f.nodes = append(f.nodes, node)
		}
	})
}

// changeLimit lowers the limits and raises them again to what they were, node by node.
func (t *trouble) changeLimit(_ *rand.Rand, at time.Duration) {
	change := func(f *simFleet, factor float64) {
		for _, node := range f.nodes {
			limits := make(map[fleet.TenantName]Limit)
			for tenant, limit := range f.limits {
				limits[tenant] = Limit{Rate: limit.Rate * factor, Burst: limit.Burst * factor}
			}
			node.limiter.SetLimits(node.clock(f.now), limits)
		}
	}
	t.note(at, "limits lowered", func(f *simFleet) { change(f, 0.2) })
	t.note(at+2*time.Second, "limits raised", func(f *simFleet) { change(f, 1) })
}

// fewNodes has callers go to a few nodes alone.
func (t *trouble) fewNodes(random *rand.Rand, at time.Duration) {
	few := 1 + random.IntN(2)
	t.note(at, fmt.Sprintf("callers at %d nodes", few), func(*simFleet) { t.few = few })
}

func (t *trouble) pick(f *simFleet) *simNode {
	if t.few > 0 {
		return f.nodes[f.random.IntN(min(t.few, len(f.nodes)))]
	}
	return anyNode(f)
}

func (t *trouble) step(f *simFleet) {
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
