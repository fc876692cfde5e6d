package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestRequestThatMayHaveRunFailsForWantOfRoom guards against an error for a request that left its silent worker as
// another one took the last place elsewhere, and against requests that wait though they can be refused.
func TestRequestThatMayHaveRunFailsForWantOfRoom(t *testing.T) {
	isFull := func(request *backends.Request) { request.HasConnection = func(*backends.Worker) bool { return false } }
	isLimited := func(opensIn time.Duration) func(request *backends.Request) {
		return func(request *backends.Request) {
			request.Admission = func(*backends.Worker) (backends.Admission, time.Duration) { return backends.AdmissionClosed, opensIn }
		}
	}
	for name, test := range map[string]struct {
		mayHaveRun, placed bool
		restrict           func(*backends.Request)
	}{
		"may have run, no connection": {true, true, isFull},
		"may have run, at the limit":  {true, true, isLimited(100 * time.Millisecond)},
		"may have run, long closed":   {true, false, isLimited(time.Minute)},
		"not sent, no connection":     {false, false, isFull},
		"not sent, at the limit":      {false, false, isLimited(100 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.workers.Observe(1, backends.Worker{ID: "w", Service: "app", Slots: 1})
			policy := attempt.ForwardingPolicy{Idempotent: true, MaxRuns: 2, Deadline: time.Minute}
			current := &callerRequest{attempts: attempt.NewForwarding(0, policy, attempt.NewBudget(attempt.BudgetOptions{}))}
			if test.mayHaveRun {
				current.attempts.Unanswered(0, fleet.EngineRun{})
			}
			roomAt := time.Now().Add(100 * time.Millisecond)
			placement, _ := g.chooseWorker(context.Background(), current, func() *backends.Request {
				request := &backends.Request{Service: "app"}
				if time.Now().Before(roomAt) {
					test.restrict(request)
				}
				return request
			})
			assert.Equal(t, test.placed, placement != nil)
		})
	}
}

// TestWaitsForRoomAreUnbounded guards against a gateway that is busy with the choices of requests that wait.
func TestWaitsForRoomAreUnbounded(t *testing.T) {
	g := newTestGateway(t)
	g.roomWaits.Store(maxRoomWaits)
	current := &callerRequest{attempts: attempt.NewForwarding(0, attempt.ForwardingPolicy{}, attempt.NewBudget(attempt.BudgetOptions{}))}
	current.attempts.Unanswered(0, fleet.EngineRun{})
	choices := 0
	g.workers.Observe(1, backends.Worker{ID: "w", Service: "app", Slots: 1})
	placement, refused := g.chooseWorker(context.Background(), current, func() *backends.Request {
		choices++
		return &backends.Request{Service: "app", HasConnection: func(*backends.Worker) bool { return false }}
	})
	assert.Nil(t, placement)
	assert.Equal(t, backends.ReasonFull, refused.Reason)
	assert.Equal(t, 1, choices)
	assert.EqualValues(t, maxRoomWaits, g.roomWaits.Load())
}
