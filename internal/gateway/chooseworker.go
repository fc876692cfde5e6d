package gateway

import (
	"context"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
)

const (
	// versionWait is how long a request that was cancelled at an engine with a stale version waits
	// for an engine with a current one.
	versionWait = 400 * time.Millisecond
	// roomWait is how long a request that may have run, and can't be refused any more, waits for a worker with room.
	// Several requests may leave a lost or silent worker at once, and have room again when it is back.
	roomWait = time.Second
	// firstChoiceDelay and maxChoiceDelay bound the time between two choices, which doubles.
	firstChoiceDelay = 20 * time.Millisecond
	maxChoiceDelay   = 160 * time.Millisecond
)

// chooseWorker chooses a worker for a request. A request that was sent before may wait.
func (g *Gateway) chooseWorker(ctx context.Context, current *callerRequest, request *backends.Request) (*backends.Placement, backends.Refusal) {
	start := g.now()
	for delay := firstChoiceDelay; ; delay = min(2*delay, maxChoiceDelay) {
		placement, refused := g.workers.Choose(g.now(), request)
		if placement != nil || g.now() >= start+choiceWait(current, refused.Reason) || !pauseWithContext(ctx, delay) {
			return placement, refused
		}
	}
}

// choiceWait returns for how long a request waits for a worker after a refusal for a reason.
func choiceWait(current *callerRequest, reason string) time.Duration {
	switch {
	case reason == backends.ReasonVersion && current.attempts.Sends() > 0:
		return versionWait
	case reason == backends.ReasonFull && current.attempts.MayHaveRun() && current.held == nil:
		return roomWait
	default:
		return 0
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
