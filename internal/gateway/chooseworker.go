package gateway

import (
	"context"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
)

const (
	// versionWait is how long a request that was cancelled at an engine with a stale version waits
	// for an engine with a current one.
	versionWait         = 400 * time.Millisecond
	versionPollInterval = 20 * time.Millisecond
)

// chooseWorker chooses a worker for a request. A request that was sent before and finds no engine
// with a version it may start on waits for up to versionWait.
func (g *Gateway) chooseWorker(ctx context.Context, current *callerRequest, request *backends.Request) (*backends.Placement, backends.Refusal) {
	until := g.now() + versionWait
	for {
		placement, refused := g.workers.Choose(g.now(), request)
		shouldWait := refused.Reason == backends.ReasonVersion && current.attempts.Sends() > 0 && g.now() < until
		if placement != nil || !shouldWait || !pauseWithContext(ctx, versionPollInterval) {
			return placement, refused
		}
	}
}

// pauseWithContext waits for a duration. It returns false if the context ends first.
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
