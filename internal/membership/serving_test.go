package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// zoneMembers describes the members of a zone by their capacities in thousandths of a core.
type zoneMembers struct {
	location   Location
	capacities []uint32
}

// fleetOf returns a view of the members of the given zones.
func fleetOf(zones ...zoneMembers) *View {
	var members []Member
	for _, zone := range zones {
		for number, capacity := range zone.capacities {
			members = append(members, Member{
				Node:   fleet.NodeID(fmt.Sprintf("%s-%s-%03d", zone.location.Region, zone.location.Zone, number)),
				Region: zone.location.Region, Zone: zone.location.Zone, State: Alive, Capacity: capacity,
			})
		}
	}
	return NewView(1, members[0], members)
}

// equal returns the given number of equal capacities.
func equal(count int, capacity uint32) []uint32 {
	capacities := make([]uint32, count)
	for index := range capacities {
		capacities[index] = capacity
	}
	return capacities
}

func always(Member) bool { return true }

// expectedShares returns the fraction of a location's callers that each member gets, if they ask
// the location's members evenly and pick one router of the response at random.
func expectedShares(t *testing.T, roles *Roles, from Location) map[fleet.NodeID]float64 {
	shares := make(map[fleet.NodeID]float64)
	responders := 0.0
	for _, member := range roles.routable {
		if member.location() != from {
			continue
		}
		responders++
		response := roles.RoutersFor(from, member.Node, always)
		require.NotEmpty(t, response)
		require.LessOrEqual(t, len(response), MaxRouters)
		for _, named := range response {
			shares[named.Node] += 1 / float64(len(response))
		}
	}
	for node := range shares {
		shares[node] /= responders
	}
	return shares
}

// sharesByZone sums shares by zone.
func sharesByZone(view *View, shares map[fleet.NodeID]float64) map[fleet.ZoneName]float64 {
	byZone := make(map[fleet.ZoneName]float64)
	for node, share := range shares {
		member, _ := view.Find(node)
		byZone[member.Zone] += share
	}
	return byZone
}

var (
	northA = Location{"north", "a"}
	northB = Location{"north", "b"}
	southC = Location{"south", "c"}
	southD = Location{"south", "d"}
)

func TestCallersStayInZoneWithinCapacity(t *testing.T) {
	view := fleetOf(zoneMembers{northA, equal(10, 200)}, zoneMembers{northB, equal(10, 200)}, zoneMembers{southC, equal(10, 200)})
	roles := AssignRoles(view, 150, RoleOptions{Utilization: 0.5, DemandByLocation: map[Location]float64{northA: 90, northB: 40, southC: 20}})
	assert.Len(t, roles.Serving, 6, "two members of capacity 200 sustain 100 requests per second")
	for _, from := range []Location{northA, northB, southC} {
		assert.InDelta(t, 1, sharesByZone(view, expectedShares(t, roles, from))[from.Zone], 1e-9)
	}
}

func TestCallersStayInRegionWhenZonesAreTooMany(t *testing.T) {
	view := fleetOf(zoneMembers{northA, equal(5, 200)}, zoneMembers{northB, equal(5, 200)}, zoneMembers{southC, equal(5, 200)}, zoneMembers{southD, equal(5, 200)})
	roles := AssignRoles(view, 60, RoleOptions{Utilization: 0.5})
	assert.Len(t, roles.Serving, 6, "four zones with two members each would need eight")
	for _, from := range []Location{northA, northB, southC, southD} {
		for _, named := range roles.RoutersFor(from, roles.Serving[0].Node, always) {
			assert.Equal(t, from.Region, named.Region)
		}
	}
	zones := map[fleet.ZoneName]int{}
	for _, member := range roles.Serving {
		zones[member.Zone]++
	}
	for _, zone := range []fleet.ZoneName{"a", "b", "c", "d"} {
		assert.Positive(t, zones[zone], "serving members must be spread over the region's zones")
	}
	roles = AssignRoles(view, 380, RoleOptions{Utilization: 0.5})
	assert.InDelta(t, 1, sharesByZone(view, expectedShares(t, roles, northA))["a"], 1e-9, "enough members serve to group by zone")
}

// TestZoneOverflowGoesToSameRegion guards against a zone whose callers exceed its capacity being
// overloaded, or overflowing to another region while its own has spare capacity.
func TestZoneOverflowGoesToSameRegion(t *testing.T) {
	view := fleetOf(zoneMembers{northA, equal(4, 200)}, zoneMembers{northB, equal(20, 200)}, zoneMembers{southC, equal(20, 200)})
	origins := map[Location]float64{northA: 400, northB: 100, southC: 100}
	roles := AssignRoles(view, 600, RoleOptions{Utilization: 0.5, DemandByLocation: origins})
	byZone := sharesByZone(view, expectedShares(t, roles, northA))
	assert.InDelta(t, 0.5, byZone["a"], 0.02, "four members sustain 200 of 400")
	assert.InDelta(t, 0.5, byZone["b"], 0.02)
	assert.Zero(t, byZone["c"])
	assert.InDelta(t, 1, sharesByZone(view, expectedShares(t, roles, northB))["b"], 1e-9)
	sustained := 0.0
	for _, member := range roles.Serving {
		if member.Zone == "b" {
			sustained += float64(member.Capacity) * 0.5 / DefaultRequestCost
		}
	}
	assert.GreaterOrEqual(t, sustained, 300.0, "its own callers and the overflow")
}

// TestOverflowIsAttributedToOriginZone guards against overflow being attributed to the zone that
// serves it: the origin would seem to need less.
func TestOverflowIsAttributedToOriginZone(t *testing.T) {
	view := fleetOf(zoneMembers{northA, equal(4, 200)}, zoneMembers{northB, equal(20, 200)}, zoneMembers{southC, equal(20, 200)})
	origins := map[Location]float64{northA: 400, northB: 100, southC: 100}
	roles := AssignRoles(view, 600, RoleOptions{Utilization: 0.5, DemandByLocation: origins})
	again := roles.DemandByOrigin(map[Location]float64{northA: 200, northB: 300, southC: 100})
	for location, rate := range origins {
		assert.InDelta(t, rate, again[location], 1, location)
	}
	unplanned := roles.DemandByOrigin(map[Location]float64{{"east", "e"}: 5})
	assert.Equal(t, map[Location]float64{{"east", "e"}: 5}, unplanned)
}

// TestLostRegionOverflowsBySpareCapacity guards against overload when a region's members are lost
// while its callers remain: they must spread by spare capacity.
func TestLostRegionOverflowsBySpareCapacity(t *testing.T) {
	view := fleetOf(zoneMembers{northA, equal(20, 200)}, zoneMembers{northB, equal(8, 200)})
	origins := map[Location]float64{northA: 100, northB: 350, southC: 500}
	roles := AssignRoles(view, 950, RoleOptions{Utilization: 0.5, DemandByLocation: origins})
	parts := map[fleet.ZoneName]float64{}
	for _, member := range view.Members() {
		response := roles.RoutersFor(southC, member.Node, always)
		require.NotEmpty(t, response)
		for _, named := range response {
			parts[named.Zone] += 1 / float64(len(response)*len(view.Members()))
		}
	}
	assert.InDelta(t, 0.9, parts["a"], 0.05, "spare capacity is 900 in this zone and 50 in the other")
	flow := 0.0
	for from, group := range roles.plan.groups {
		if to, found := roles.plan.byLocation[northB]; found {
			flow += group.demand * roles.plan.flows[from][to]
		}
	}
	assert.LessOrEqual(t, flow, 400.0, "no zone may exceed its capacity")
}

// TestPlanRespectsCapacity guards against plans, for random fleets, that lose callers, overload a
// group while others have spare capacity, or select too few members for the demand.
func TestPlanRespectsCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 500 {
		var zones []zoneMembers
		origins := map[Location]float64{}
		members, total := 0, 0.0
		for zone := range 1 + random.IntN(6) {
			location := Location{fleet.RegionName(fmt.Sprint("r", zone%3)), fleet.ZoneName(fmt.Sprint("z", zone))}
			origins[location] = random.Float64() * 500
			total += origins[location]
			if count := random.IntN(20); count > 0 {
				zones = append(zones, zoneMembers{location, equal(count, uint32(100+random.IntN(800)))})
				members += count
			}
		}
		if members <= DefaultSmallFleet {
			continue
		}
		plan := AssignRoles(fleetOf(zones...), total, RoleOptions{Utilization: 0.5, DemandByLocation: origins}).plan
		capacity := 0.0
		for _, group := range plan.groups {
			capacity += group.capacity
		}
		for to, group := range plan.groups {
			incoming, sustained := 0.0, 0.0
			for from := range plan.groups {
				incoming += plan.groups[from].demand * plan.flows[from][to]
			}
			for _, entry := range group.members[:group.serving] {
				sustained += plan.options.sustainableRate(entry.Member)
			}
			if total <= capacity {
				require.LessOrEqual(t, incoming, group.capacity+0.01)
				require.GreaterOrEqual(t, sustained, incoming-0.01)
			}
			sum := 0.0
			for _, part := range plan.flows[to] {
				sum += part
			}
			require.InDelta(t, 1, sum, 1e-6)
		}
	}
}

func TestMembersUnderPressureGetFewerCallers(t *testing.T) {
	view := fleetOf(zoneMembers{northA, equal(10, 200)}, zoneMembers{northB, equal(10, 200)}, zoneMembers{southC, equal(10, 200)})
	before := AssignRoles(view, 90, RoleOptions{Utilization: 0.5})
	busy := before.RoutersFor(northA, view.Members()[0].Node, always)[0].Node
	after := AssignRoles(view, 240, RoleOptions{Utilization: 0.5, CapacityFactors: map[fleet.NodeID]float64{busy: 0.5}})
	shares := expectedShares(t, after, northA)
	assert.Less(t, shares[busy], 0.51*0.5, "at most half of its earlier share")
	assert.True(t, after.IsServing(busy), "a member under pressure must not be replaced")
	for _, member := range before.Serving {
		assert.True(t, after.IsServing(member.Node))
	}
}

func BenchmarkPlanServing(b *testing.B) {
	var zones []zoneMembers
	for zone := range 13 {
		zones = append(zones, zoneMembers{Location{fleet.RegionName(fmt.Sprint("r", zone%6)), fleet.ZoneName(fmt.Sprint("z", zone))}, equal(52, 200)})
	}
	view := fleetOf(zones...)
	b.Run("assign, 676 members", func(b *testing.B) {
		for b.Loop() {
			AssignRoles(view, 5000, RoleOptions{Utilization: 0.5})
		}
	})
	roles := AssignRoles(view, 5000, RoleOptions{Utilization: 0.5})
	b.Run("routers for caller, 676 members", func(b *testing.B) {
		for b.Loop() {
			roles.RoutersFor(Location{"r0", "z0"}, view.Members()[3].Node, always)
		}
	})
}

// TestGroupsGrowImmediatelyAndShrinkDelayed guards against groups that shrink as soon as their need
// varies, or do not grow with it.
func TestGroupsGrowImmediatelyAndShrinkDelayed(t *testing.T) {
	var hysteresis SizeHysteresis
	at := func(now time.Duration, need int) int {
		return hysteresis.Observe(now, 100, map[Location]int{northA: need})[northA]
	}
	assert.Equal(t, 2, at(0, 2))
	assert.Equal(t, 4, at(time.Second, 4))
	assert.Equal(t, 4, at(2*time.Second, 2))
	assert.Equal(t, 4, at(10*time.Second, 3))
	assert.Equal(t, 4, at(20*time.Second, 2))
	assert.Equal(t, 3, at(21*time.Second, 2), "the largest need since the last change of size")
	assert.Equal(t, 5, at(22*time.Second, 5))
	assert.Equal(t, 5, at(41*time.Second, 1))
	assert.Equal(t, 1, at(42*time.Second, 1))
	assert.Equal(t, 7, at(43*time.Second, 7))
	assert.Equal(t, 2, hysteresis.Observe(44*time.Second, 50, map[Location]int{northA: 2})[northA], "lower planned demand must reset the sizes")
	assert.NotContains(t, hysteresis.Observe(45*time.Second, 50, nil), northA, "a group that no longer exists must be removed")
	view := fleetOf(zoneMembers{northA, equal(10, 200)}, zoneMembers{northB, equal(10, 200)}, zoneMembers{southC, equal(10, 200)})
	roles := AssignRoles(view, 60, RoleOptions{MinServingByLocation: map[Location]int{northA: 4, southC: 99}})
	assert.Equal(t, map[Location]int{northA: 2, northB: 2, southC: 2}, roles.Needed())
	assert.Len(t, roles.Serving, 4+2+10)
}
