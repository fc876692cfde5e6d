package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// TestHeardStreamStaysForGood guards against a stream that never moves again, though nothing was sent to the engine
// with its copy, since its own engine was heard when it was first to be moved.
func TestHeardStreamStaysForGood(t *testing.T) {
	g := newTestGateway(t)
	earnRetries(g, "engines")
	g.workers.Observe(1, backends.Worker{ID: "dark", Service: "app", Slots: 1})
	placement, _ := g.workers.Choose(g.now(), &backends.Request{Service: "app"})
	require.NotNil(t, placement)
	watched, _ := watchTestSend(g, "dark")
	for event := range 3 {
		g.engineWatch.monitor.Event(time.Duration(event)*time.Millisecond, watched.run, true)
	}
	now, verdict := fallSilent(t, g)
	g.moveSends(now, verdict.Moves)
	<-watched.moves

	policy := attempt.ForwardingPolicy{MaxRuns: 1, Deadline: time.Minute}
	current := &callerRequest{
		request: httptest.NewRequest("POST", "/", nil), service: &routes.Service{Name: "app"},
		route: &routes.Route{Kind: routes.Streaming}, attempts: attempt.NewForwarding(0, policy, attempt.NewBudget(attempt.BudgetOptions{})),
	}
	r := newRelayTest(t)
	stream := &openStream{send: &openSend{placement: placement, watched: watched, response: r.response, cancel: func(error) {}}, relay: r.relay, ended: r.ended}
	require.True(t, g.holdStream(current, stream))
	r.write("id: 1\ndata: a\n\n")
	require.Eventually(t, current.isHeldStreamHeard, time.Second, time.Millisecond)
	require.Equal(t, attempt.StepAbort, current.attempts.CalledOff(fleet.EngineRun{}, false).Kind)
	require.NoError(t, r.worker.Close()) // ends the wait of the stream that has returned
	g.returnToHeldStream(context.Background(), current)
	assert.True(t, g.engineWatch.monitor.MayMove(now+2*time.Second, watched.run), "nothing was asked of its copy")
}
