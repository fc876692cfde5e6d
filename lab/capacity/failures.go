package capacity

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// failure is an event after which the routers have to converge again.
type failure struct {
	name string
	// inject causes the failure.
	inject func(n *network)
}

// crashNodes returns a failure that stops the nodes matching the condition.
func crashNodes(condition func(number int, node *networkNode) bool) func(*network) {
	return func(n *network) {
		for number, node := range n.all {
			if condition(number, node) {
				node.down = true
			}
		}
	}
}

// replaceNode returns a planned replacement: a node leaves, and a new process joins at its address.
func replaceNode(number int) func(*network) {
	return func(n *network) {
		old := n.all[number]
		old.send(old.core.Leave(n.now()))
		n.advance(2 * time.Second)
		old.down = true
		started := n.add(member(number, 1))
		seeds := []fleet.Address{n.all[number+1].member.Address, n.all[number+2].member.Address, n.all[number+3].member.Address}
		started.send(started.core.Join(n.now(), seeds))
	}
}

// rackSizes lists the numbers of nodes that fail with a rack or a switch.
var rackSizes = []int{15, 50}

func failures() []failure {
	list := []failure{
		{"one router crashes", crashNodes(func(number int, _ *networkNode) bool { return number == 3 })},
		{"one router is replaced as planned", replaceNode(4)},
	}
	for zone, size := range rackSizes {
		list = append(list, failure{
			fmt.Sprintf("a rack of %d crashes", size),
			crashNodes(func(number int, _ *networkNode) bool { return number%zones == zone && number/zones < size }),
		})
	}
	return append(list, failure{
		"a zone of 13 crashes",
		crashNodes(func(_ int, node *networkNode) bool { return node.member.Zone == zoneName(zones-1) }),
	})
}

// failurePause is the virtual time between two failures of one fleet. Nodes stop forwarding the
// updates of the first failure within it.
const failurePause = 30 * time.Second

// measureFailures injects failures into a fleet, one after the other and each at different nodes,
// and measures the cost until the routers agree on the membership again.
func measureFailures(o Options) ([]Figure, error) {
	count := o.Sizes.FailureMembers
	n := newNetwork(o.Seed)
	n.startConverged(count)
	n.startCounting()
	n.advance(o.Sizes.SteadyTime)
	_, bytes := n.totals()
	steadyRate := bytes / float64(count) / o.Sizes.SteadyTime.Seconds()
	var figures []Figure
	for _, next := range failures() {
		n.startCounting()
		start := n.now()
		next.inject(n)
		n.advanceUntil(convergenceLimit, n.converged)
		figures = append(figures, recoveryFigures(n, next.name, n.now()-start, steadyRate)...)
		n.counting = false
		n.advance(failurePause)
	}
	region, err := partitionRegion(o, steadyRate)
	if err != nil {
		return figures, err
	}
	return append(figures, region...), nil
}

// recoveryFigures returns the duration and the cost of a recovery that took the given time.
func recoveryFigures(n *network, name string, duration time.Duration, steadyRate float64) []Figure {
	mean, worst := 0.0, 0.0
	running := n.running()
	for _, node := range running {
		mean += float64(node.bytes) / float64(len(running))
		worst = max(worst, float64(node.bytes))
	}
	state := "all agree"
	if !n.converged() {
		state = "NOT all agree"
	}
	return []Figure{
		{Name: name + ": until " + state, Unit: "s", Value: duration.Seconds()},
		{Name: name + ": encoded bytes sent a node, beyond the steady ones", Unit: "B", Value: mean - steadyRate*duration.Seconds()},
		{Name: name + ": encoded bytes sent by the busiest node", Unit: "B", Value: worst},
	}
}

// partitionRegion partitions one region from the others, then heals the partition.
func partitionRegion(o Options, steadyRate float64) ([]Figure, error) {
	n := newNetwork(o.Seed)
	n.startConverged(o.Sizes.FailureMembers)
	region := regionName(0)
	inside := 0
	for _, node := range n.all {
		if node.member.Region == region {
			inside++
		}
	}
	outside := len(n.all) - inside
	n.isCut = func(from, to membership.Member) bool { return (from.Region == region) != (to.Region == region) }
	start := n.now()
	n.startCounting()
	seen, agreed := n.advanceUntil(convergenceLimit, func() bool {
		for _, node := range n.all {
			want := outside
			if node.member.Region == region {
				want = inside
			}
			if len(node.core.Members()) != want {
				return false
			}
		}
		return true
	})
	state := "all have seen it"
	if !agreed {
		state = "NOT all have seen it"
	}
	n.advance(max(0, o.Sizes.PartitionTime-(n.now()-start)))
	_, during := n.totals()
	cutRate := during / float64(len(n.all)) / (n.now() - start).Seconds()
	n.isCut = nil
	n.startCounting()
	healed, _ := n.advanceUntil(convergenceLimit, n.converged)
	name := fmt.Sprintf("region of %d cut off", inside)
	return append([]Figure{
		{Name: name + ": until " + state, Unit: "s", Value: seen.Seconds()},
		{Name: name + ": encoded bytes sent a node while cut", Unit: "B/s", Value: cutRate},
	}, recoveryFigures(n, name+", back", healed, steadyRate)...), nil
}
