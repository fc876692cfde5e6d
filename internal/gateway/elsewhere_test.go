package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rejectionlimit"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/streamorigin"
	"github.com/tillerfall/tillerfall/internal/workerbackoff"
)

// repeatable returns the attempts of a request that may be sent again.
func repeatable() *attempt.Forwarding {
	policy := attempt.ForwardingPolicy{Idempotent: true, Resumable: true, MaxRuns: 3, Deadline: time.Minute}
	return attempt.NewForwarding(0, policy, attempt.NewBudget(attempt.BudgetOptions{}))
}

// TestRequestMovesWithoutMemoryElsewhere guards against a request that is cancelled at its engine though all others lack
// the memory for it.
func TestRequestMovesWithoutMemoryElsewhere(t *testing.T) {
	g := newTestGateway(t)
	earnRetries(g, "engines")
	g.observeRejectionLimit(rejectionlimit.Advertisement{Service: "engines", Rejections: 3, At: g.now()}, "request")
	g.workers.SetMemoryCapacity("engines", 20_000)
	for _, id := range []fleet.EngineID{"a", "b"} {
		g.workers.Observe(1, backends.Worker{ID: id, Service: "engines", Slots: 8, Versions: map[fleet.ModelName]backends.ModelVersion{"m": 1}})
	}
	current := &callerRequest{
		request: httptest.NewRequest(http.MethodPost, "/x", nil), service: &routes.Service{Name: "engines", Engine: &routes.EngineService{}},
		route: &routes.Route{Name: "r", Kind: routes.Streaming, Resumable: true}, attempts: repeatable(), deadline: time.Minute,
	}
	current.metadata.Model, current.metadata.PromptTokens, current.metadata.OutputTokens = "m", 6000, 3000
	placement, _ := g.workers.Choose(g.now(), g.placementRequest(current))
	require.NotNil(t, placement)
	for more := placement; more != nil; {
		more, _ = g.workers.Choose(g.now(), g.placementRequest(current))
	}
	assert.False(t, g.elsewhere(current, placement)(g.now(), streamorigin.Constraint{}))
	assert.False(t, g.reserveMove(current, placement)(g.now()))
}

// TestRequestMovesToTheVersionThatItLeaves guards against a request that is cancelled at an engine with a new version
// for another one with it, which it may not be sent to afterwards.
func TestRequestMovesToTheVersionThatItLeaves(t *testing.T) {
	g := deliveryGateway(t)
	g.applyDirective(directiveToTarget(g, delivery.StageCanary, g.now()))
	versions := map[fleet.ModelName]backends.ModelVersion{"m": 1}
	g.workers.Observe(1, backends.Worker{ID: "v2-a", Service: "app", Software: "v2", Slots: 4, Versions: versions})
	placement, _ := g.workers.Choose(g.now(), &backends.Request{Service: "app"})
	require.NotNil(t, placement)
	g.workers.Observe(1, backends.Worker{ID: "v2-b", Service: "app", Software: "v2", Slots: 4, Versions: versions})
	g.workers.Observe(1, backends.Worker{ID: "v1", Service: "app", Software: "v1", Slots: 4, Versions: versions})
	g.backoffs.extend(g.now(), workerbackoff.Run{Worker: "v1"}, 10*time.Second)
	current := deliveryRequest()
	current.request, current.deadline, current.attempts = httptest.NewRequest(http.MethodPost, "/x", nil), time.Minute, repeatable()
	current.metadata.Model = "m"
	assert.False(t, g.elsewhere(current, placement)(g.now(), streamorigin.Constraint{}))
}
