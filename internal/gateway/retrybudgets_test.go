package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/retrybudget"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// settledAge is the age of a process whose counts are used.
const settledAge = time.Minute

// slackShare returns the part of the slack by which a gateway's budgets decide.
func slackShare(g *Gateway) float64 { return g.budgets.share.At(settledAge, g.retryCounts()) }

// TestReplacedGatewayIsCountedOnce guards against shares of the retry slack that shrink when gateways
// are restarted, since each process is a member of its own.
func TestReplacedGatewayIsCountedOnce(t *testing.T) {
	members := []membership.Member{
		{Node: "a-1", Address: "10.0.0.1:1", State: membership.Suspect},
		{Node: "a-2", Address: "10.0.0.1:1", State: membership.Alive},
		{Node: "b-1", Address: "10.0.0.2:1", State: membership.Alive},
	}
	view := membership.NewView(1, members[1], members)
	roles := deriveRoles("a-2", "z0", view, 0, false)
	assert.Equal(t, retrybudget.Counts{Members: 2, Serving: 2, Serves: true}, roles.retryCounts)
}

// TestRestartedGatewayLearnsTheFleetsSize guards against a restarted gateway that takes the part of the
// fleet that it sees for the whole, or never gets a share again.
func TestRestartedGatewayLearnsTheFleetsSize(t *testing.T) {
	settings := testSettings()
	settings.Seeds = []fleet.Address{"10.0.0.2:1"}
	restarted := newTestGatewayWith(t, settings)
	assert.Zero(t, slackShare(restarted))
	restarted.applyLoadReport(&rpc.LoadReport{Node: "of an earlier release"})
	assert.Zero(t, slackShare(restarted))
	settings.FirstStart = true
	first := newTestGatewayWith(t, settings)
	first.roles.Store(deriveRoles("node-000", "z0", largeFleet(195), 0, false))
	first.budgets.share.At(settledAge, first.retryCounts())
	report := &rpc.LoadReport{Node: "first"}
	first.budgets.writeReport(settledAge, report)
	assert.Equal(t, uint32(195), report.GetFleetMembers())
	restarted.applyLoadReport(report)
	restarted.roles.Store(deriveRoles("node-000", "z0", largeFleet(195), 0, false))
	assert.InDelta(t, slackShare(first), slackShare(restarted), 1e-9)
}

// TestImplausibleFleetSizesAreIgnored guards against a report that takes a gateway's share away for good.
func TestImplausibleFleetSizesAreIgnored(t *testing.T) {
	settings := testSettings()
	settings.Seeds = []fleet.Address{"10.0.0.2:1"}
	for _, report := range []*rpc.LoadReport{
		{FleetMembers: 4, FleetServing: 5}, {FleetMembers: 1 << 31, FleetServing: 1}, {FleetServing: 3},
	} {
		g := newTestGatewayWith(t, settings)
		g.budgets.applyReport(time.Second, report)
		_, known := g.budgets.share.Peaks(settledAge)
		assert.False(t, known, "%v", report)
	}
}
