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
	// maxRoomWaits is the number of requests that wait for room at the same time: each of their choices looks at all
	// workers of a full service.
	maxRoomWaits = 16
	// firstChoiceDelay and maxChoiceDelay bound the time between two choices, which doubles.
	firstChoiceDelay = 20 * time.Millisecond
	maxChoiceDelay   = 160 * time.Millisecond
)

// chooseWorker chooses a worker for a request, which describe describes as of now. A request that was sent before may
// wait.
func (g *Gateway) chooseWorker(ctx context.Context, current *callerRequest, describe func() *backends.Request) (*backends.Placement, backends.Refusal) {
	placement, refused := g.workers.Choose(g.now(), describe())
	wait := choiceWait(current, &refused)
	if placement != nil || wait == 0 {
		return placement, refused
	}
	if refused.Reason != backends.ReasonVersion {
		if g.roomWaits.Add(1) > maxRoomWaits {
			wait = 0
		}
		defer g.roomWaits.Add(-1)
	}
	until := g.now() + wait
	for delay := firstChoiceDelay; placement == nil && g.now() < until && choiceWait(current, &refused) > 0; delay = min(2*delay, maxChoiceDelay) {
		if !pauseWithContext(ctx, delay) {
			break
		}
		placement, refused = g.workers.Choose(g.now(), describe())
	}
	return placement, refused
}

// choiceWait returns for how long a request waits for a worker after a refusal.
func choiceWait(current *callerRequest, refused *backends.Refusal) time.Duration {
	mayWait := current.attempts.MayHaveRun() && current.held == nil
	switch refused.Reason {
	case backends.ReasonVersion:
		if current.attempts.Sends() > 0 {
			return versionWait
		}
	case backends.ReasonFull:
		if mayWait {
			return roomWait
		}
	case backends.ReasonLimited:
		if mayWait && refused.RetryAfter < roomWait {
			return roomWait
		}
	}
	return 0
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
