package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// reject returns the outcome of a request that can't wait here, or nil.
func (c *Core) reject(request *Request) Outcome {
	if c.draining {
		return HandBack{Key: request.Key, Reason: HandBackDraining}
	}
	if c.view == nil {
		return Refusal{
			Key:        request.Key,
			Code:       resultcode.NoConfiguration,
			Reason:     "this router has no configuration yet",
			RetryAfter: c.flow.JitterRetryAfter(0),
		}
	}
	if outcome := c.rejectModelVersion(request); outcome != nil {
		return outcome
	}
	model, _ := c.view.Model(request.ModelVersion.Model)
	if c.hasEngine(model.Pool, request.Excluded) {
		return nil
	}
	if request.nonSpillHops() < c.maxHops(model.Pool) {
		return HandBack{Key: request.Key, Reason: HandBackNoEngine}
	}
	return Refusal{
		Key:        request.Key,
		Code:       resultcode.NoEngine,
		Reason:     "no engine of pool " + string(model.Pool) + " takes requests",
		RetryAfter: c.flow.JitterRetryAfter(time.Second),
	}
}

// maxHops returns the bound on the hand-backs of a request for lack of an engine.
func (c *Core) maxHops(pool fleet.PoolName) int {
	if c.foreign[pool] > 0 {
		return c.options.MaxForeignHops
	}
	return c.options.MaxHops
}

func (c *Core) rejectModelVersion(request *Request) Outcome {
	state, _ := c.view.VersionState(request.ModelVersion)
	if state == config.VersionServing {
		return nil
	}
	if request.KnownRevision > c.view.Revision() {
		return HandBack{Key: request.Key, Reason: HandBackStaleConfiguration}
	}
	return Refusal{
		Key:    request.Key,
		Code:   resultcode.StaleWeights,
		Reason: "version " + string(request.ModelVersion.Version) + " isn't serving",
	}
}

func (c *Core) hasEngine(pool fleet.PoolName, excluded []fleet.EngineRun) bool {
	for _, state := range c.byPool[pool] {
		if !slices.Contains(excluded, state.run) {
			return true
		}
	}
	return false
}

// recheckWaiting concludes, in order of submission, the waiting requests that can't wait here any
// more.
func (c *Core) recheckWaiting(now time.Duration) {
	queued := make([]*waitingRequest, 0, len(c.waiting))
	for _, waiting := range c.waiting {
		queued = append(queued, waiting)
	}
	slices.SortFunc(queued, func(a, b *waitingRequest) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, waiting := range queued {
		outcome := c.reject(&waiting.request)
		if outcome != nil && c.flow.Remove(now, waiting.request.Key) {
			c.conclude(waiting, outcome)
		}
	}
}
