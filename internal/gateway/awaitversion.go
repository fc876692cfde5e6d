package gateway

import (
	"context"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
)

// Waiting for an engine with weights that a request may begin on.
const (
	// versionWait is how long a request that was taken away from old weights waits for
	// an engine that has the new ones: engines are under order then, and are asked each
	// reportInterval. Without it such a request fails although an engine is known to be ready a few
	// milliseconds later.
	versionWait         = 400 * time.Millisecond
	versionPollInterval = 20 * time.Millisecond
)

// chooseWorker chooses a worker for a request. One that was at an engine already and finds none
// with the weights that it may begin on waits for a moment.
func (g *Gateway) chooseWorker(ctx context.Context, current *callerRequest, request *backends.Request) (*backends.Placement, backends.Refusal) {
	until := g.now() + versionWait
	for {
		placement, refused := g.workers.Choose(g.now(), request)
		waits := refused.Reason == backends.ReasonVersion && current.attempts.Sends() > 0 && g.now() < until
		if placement != nil || !waits || !pauseWithContext(ctx, versionPollInterval) {
			return placement, refused
		}
	}
}

// pauseWithContext waits; it returns false when the context ends before.
func pauseWithContext(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
