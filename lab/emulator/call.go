package emulator

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// Ending tells how a request ended. Each ends in exactly one way.
type Ending string

// Endings of a request.
const (
	EndingFinished Ending = "finished"
	// EndingRefused means that it was refused and certainly did not run.
	EndingRefused Ending = "refused"
	// EndingExpired means that its deadline passed after an engine had it.
	EndingExpired Ending = "expired"
	// EndingFailed means that an engine failed and no other finished it.
	EndingFailed Ending = "failed"
)

// call is one request of the trace on its way.
type call struct {
	request      *workload.Request
	blocks       []fleet.BlockHash
	promptTokens int

	ending Ending
	code   resultcode.Code
	// firstToken and finished are times since the arrival, on the caller's side.
	firstToken    time.Duration
	finished      time.Duration
	hasFirstToken bool

	// callerRetried tells that the caller has come back after a refusal; refusals
	// counts both.
	callerRetried bool
	refusals      int
	// refusedAfter is the time from the arrival to the first refusal, retryAfter
	// what the last one told.
	refusedAfter time.Duration
	retryAfter   time.Duration
	stats        attempt.Stats

	// Of the last attempt that computed its prompt: tokens taken from the cache,
	// the longest prefix that any live engine held on arrival of its dispatch,
	// and the time of the last dispatch since the request's arrival.
	cachedTokens    int
	reachableTokens int
	dispatchedAt    time.Duration
	prefillDone     bool
}

// recordDispatch notes what was reachable when a dispatch arrived.
func (c *call) recordDispatch(reachableTokens int) { c.reachableTokens = reachableTokens }

// recordPrefill notes the engine's word that the prompt is recordPrefill.
func (c *call) recordPrefill(event enginemodel.StreamEvent) {
	c.cachedTokens = event.CachedTokens
	c.prefillDone = true
}

// recomputedTokens returns the prompt tokens that the last attempt computed
// although a live engine held them when it was dispatched.
func (c *call) recomputedTokens() int {
	if !c.prefillDone {
		return 0
	}
	return max(c.reachableTokens-c.cachedTokens, 0)
}

// meetsObjective tells whether the request met its class's objective.
func (c *call) meetsObjective() bool {
	objective := settingsByClass[c.request.Class].objective
	return c.ending == EndingFinished && (objective == 0 || c.firstToken <= objective)
}
