package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rejectionlimit"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// limitService makes the workers of linkTestGateway bear few rejections.
func limitService(g *Gateway) {
	g.observeRejectionLimit(rejectionlimit.Advertisement{Service: "app", Rejections: 3, At: g.now()}, "request")
}

// fillShare places requests until none is admitted any more, and returns how many were.
func fillShare(t *testing.T, g *Gateway) (placed int, refused backends.Refusal) {
	for placed = 0; placed < 100; placed++ {
		current := &callerRequest{service: &routes.Service{Name: "app"}, capacity: &capacity{gateway: g, service: "app"}}
		placement, reason := g.workers.Choose(g.now(), &backends.Request{Service: "app", InFlightLimit: current.capacity.inFlightLimit(g.now())})
		if placement == nil {
			return placed, g.unavailableRefusal(current, reason.RetryAfter)
		}
	}
	require.Fail(t, "no limit")
	return placed, refused
}

// TestGatewaysTogetherFillTheSlots guards against gateways that together let requests wait at workers
// which bear few rejections, and against slots that stay free.
func TestGatewaysTogetherFillTheSlots(t *testing.T) {
	var workers []backends.Worker
	for number := range 4 {
		workers = append(workers, backends.Worker{ID: fleet.EngineID(fmt.Sprint("w", number)), Service: "app", Slots: 6})
	}
	workers = append(workers, backends.Worker{ID: "x", Service: "other", Slots: 6})
	for _, nodes := range []int{1, 7, 40} {
		var serving []membership.Member
		for number := range nodes {
			serving = append(serving, membership.Member{Node: fleet.NodeID(fmt.Sprint("n", number))})
		}
		slots := map[fleet.EngineID]int{}
		for _, member := range serving {
			share := deriveShare(member.Node, "app", append([]backends.Worker(nil), workers...), serving)
			for worker, count := range share.slots {
				slots[worker] += count
			}
			assert.Equal(t, share.total == 0, share.borrowed != "", "a gateway without a share may use a free slot")
		}
		for _, worker := range workers[:4] {
			assert.Equal(t, worker.Slots, slots[worker.ID], "%d nodes", nodes)
		}
	}
}

// TestRequestsBeyondTheShareAreRefusedAtOnce guards against requests that are sent to workers without a
// free slot, and against callers that are all told the same time to return.
func TestRequestsBeyondTheShareAreRefusedAtOnce(t *testing.T) {
	g := linkTestGateway(t)
	assert.Nil(t, (&capacity{gateway: g, service: "app"}).inFlightLimit(g.now()))
	limitService(g)
	placed, refused := fillShare(t, g)
	assert.Equal(t, 4*4, placed, "the only gateway has all slots")
	assert.Equal(t, reasonAtShare, refused.Reason)
	assert.Positive(t, refused.RetryAfter)
	_, again := fillShare(t, g)
	assert.Greater(t, again.RetryAfter, refused.RetryAfter)
}

// TestRejectingWorkerGetsNoRequests guards against a worker that rejects more than it bears since its
// slots are in use although nobody knows of it.
func TestRejectingWorkerGetsNoRequests(t *testing.T) {
	g := linkTestGateway(t)
	limitService(g)
	for _, id := range linkTestWorkers[1:] {
		worker, _ := g.workers.Worker(id)
		g.rejections.recordRejection(g.now(), &worker)
	}
	placed, _ := fillShare(t, g)
	assert.Equal(t, 4, placed, "at the worker that has rejected nothing")
}

// TestRejectionLimitsAreReported guards against a gateway that has no answer yet and sends as usual, and
// against a limit that gateways keep alive among themselves.
func TestRejectionLimitsAreReported(t *testing.T) {
	g, peer := linkTestGateway(t), linkTestGateway(t)
	limitService(g)
	report := g.loadReport("peer")
	peer.applyRejectionLimits(peer.now(), report.GetRejectionLimits())
	assert.NotNil(t, (&capacity{gateway: peer, service: "app"}).inFlightLimit(peer.now()))
	for _, limit := range report.GetRejectionLimits() {
		limit.AgeMillis = uint32((time.Hour).Milliseconds())
	}
	other := linkTestGateway(t)
	other.applyRejectionLimits(other.now(), report.GetRejectionLimits())
	assert.Nil(t, (&capacity{gateway: other, service: "app"}).inFlightLimit(other.now()))
}
