package emulator

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// Ending is the final state of a request. Each request has exactly one.
type Ending string

// Endings of a request.
const (
	EndingFinished Ending = "finished"
	// EndingRefused means that the request was refused and did not run on any engine.
	EndingRefused Ending = "refused"
	// EndingExpired means that the deadline passed after the request was dispatched.
	EndingExpired Ending = "expired"
	// EndingFailed means that an engine failed and no other engine finished the request.
	EndingFailed Ending = "failed"
)

// call is the state of one request of the trace, with its measurements.
type call struct {
	request      *workload.Request
	blocks       []fleet.BlockHash
	promptTokens int

	ending Ending
	code   resultcode.Code
	// firstToken and finished are times since the arrival, as seen by the caller.
	firstToken    time.Duration
	finished      time.Duration
	hasFirstToken bool

	// callerRetried is set once the caller has retried after a refusal. refusals also counts a
	// refusal of that retry.
	callerRetried bool
	refusals      int
	// refusedAfter is the time from the arrival to the first refusal, retryAfter the retry delay
	// given with the last one.
	refusedAfter time.Duration
	retryAfter   time.Duration
	stats        attempt.Stats

	// cachedTokens and reachableTokens describe the last attempt that computed its prompt: tokens
	// served from the cache, and the longest prefix cached on any live engine when the dispatch
	// arrived. dispatchedAt is the time of the last dispatch since the request's arrival.
	cachedTokens    int
	reachableTokens int
	dispatchedAt    time.Duration
	prefillDone     bool
}

// recordDispatch records the reachable prefix when a dispatch arrives.
func (c *call) recordDispatch(reachableTokens int) { c.reachableTokens = reachableTokens }

// recordPrefill records that an engine has computed the prompt.
func (c *call) recordPrefill(event enginemodel.StreamEvent) {
	c.cachedTokens = event.CachedTokens
	c.prefillDone = true
}

// recomputedTokens returns the prompt tokens that the last attempt computed although a live engine
// had them cached when it was dispatched.
func (c *call) recomputedTokens() int {
	if !c.prefillDone {
		return 0
	}
	return max(c.reachableTokens-c.cachedTokens, 0)
}

// meetsObjective reports whether the request met the objective of its class.
func (c *call) meetsObjective() bool {
	objective := settingsByClass[c.request.Class].objective
	return c.ending == EndingFinished && (objective == 0 || c.firstToken <= objective)
}
