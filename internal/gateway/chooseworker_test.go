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
	for name, mayHaveRun := range map[string]bool{"may have run": true, "not sent": false} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.workers.Observe(1, backends.Worker{ID: "w", Service: "app", Slots: 1})
			policy := attempt.ForwardingPolicy{Idempotent: true, MaxRuns: 2, Deadline: time.Minute}
			current := &callerRequest{attempts: attempt.NewForwarding(0, policy, attempt.NewBudget(attempt.BudgetOptions{}))}
			if mayHaveRun {
				current.attempts.Unanswered(0, fleet.EngineRun{})
			}
			roomAt := time.Now().Add(100 * time.Millisecond)
			hasRoom := func(*backends.Worker) bool { return time.Now().After(roomAt) }
			placement, refused := g.chooseWorker(context.Background(), current, &backends.Request{Service: "app", HasConnection: hasRoom})
			assert.Equal(t, mayHaveRun, placement != nil)
			if !mayHaveRun {
				assert.Equal(t, backends.ReasonFull, refused.Reason)
			}
		})
	}
}
