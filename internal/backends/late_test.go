package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// targetedRequest returns a request that is to begin within half a second.
func targetedRequest(prefix string, tokens, priority int) *Request {
	request := engineRequest(prefix)
	request.Engine.PromptTokens = tokens
	request.Engine.Parts[len(request.Engine.Parts)-1].Tokens = tokens
	request.Engine.Priority = priority
	request.Engine.Target = 500 * time.Millisecond
	request.Engine.TimeLeft = request.Engine.Target
	request.Engine.MayRefuse = true
	return request
}

// TestRequestThatWouldWaitTooLongIsRefused has a request refused that would wait for
// others for longer than its target at every engine, and told for how much longer.
func TestRequestThatWouldWaitTooLongIsRefused(t *testing.T) {
	registry := withEngines()
	for _, known := range registry.workers {
		known.prefillTokens, known.priorities[1].PrefillTokens = 40_000, 40_000
	}
	request := targetedRequest("p", 1000, 1)
	placement, refused := registry.Choose(0, request)
	require.Nil(t, placement)
	assert.Equal(t, ReasonLate, refused.Reason)
	assert.InDelta(t, 580, refused.RetryAfter.Milliseconds(), 60, "40,000 tokens take 1,040 ms")
	request.Engine.MayRefuse = false
	placement, refused = registry.Choose(0, request)
	assert.NotNil(t, placement, refused, "what may have run elsewhere is carried on")
}

// TestUrgentRequestIsNotRefusedForLowerPriorityWork has the engine take it first.
func TestUrgentRequestIsNotRefusedForLowerPriorityWork(t *testing.T) {
	registry := withEngines()
	for _, known := range registry.workers {
		known.prefillTokens, known.priorities[4].PrefillTokens = 40_000, 40_000
	}
	placement, refused := registry.Choose(0, targetedRequest("p", 1000, 3))
	assert.NotNil(t, placement, refused)
	placement, _ = registry.Choose(0, targetedRequest("p", 1000, 4))
	assert.Nil(t, placement)
}

// TestLongPromptIsNotRefusedForItsLength has a prompt that takes longer to read than
// its target go to an engine that is idle, or busy for less than half of the target.
func TestLongPromptIsNotRefusedForItsLength(t *testing.T) {
	registry := withEngines()
	placement, refused := registry.Choose(0, targetedRequest("p", 40_000, 1))
	require.NotNil(t, placement, refused)
	for _, known := range registry.workers {
		known.prefillTokens, known.priorities[1].PrefillTokens = 8_000, 8_000
	}
	placement, refused = registry.Choose(0, targetedRequest("q", 40_000, 1))
	assert.NotNil(t, placement, refused)
}

// TestRequestWithoutATargetIsNeverRefusedForLateness has it wait.
func TestRequestWithoutATargetIsNeverRefusedForLateness(t *testing.T) {
	registry := withEngines()
	for _, known := range registry.workers {
		known.prefillTokens, known.priorities[1].PrefillTokens = 40_000, 40_000
	}
	request := targetedRequest("p", 1000, 1)
	request.Engine.Target, request.Engine.TimeLeft = 0, 0
	placement, refused := registry.Choose(0, request)
	assert.NotNil(t, placement, refused)
}

// TestLoadByPriorityIsSummedOverNodes has what other nodes tell count like own
// requests, for those that told nothing too.
func TestLoadByPriorityIsSummedOverNodes(t *testing.T) {
	registry := withEngines()
	registry.SetPeerCount(2)
	told := Load{Engine: "e0", InFlight: 3, PrefillTokens: 300}
	told.Priorities[2] = PriorityLoad{InFlight: 3, PrefillTokens: 300}
	registry.ObservePeer(0, "other", PeerReport{Loads: []Load{told}})
	registry.workers["e0"].begin(placedWork{priority: 1, prefillTokens: 50})
	overtaken := func(priority int) PriorityLoad {
		return registry.lowerPriorityLoad(0, registry.workers["e0"], priority)
	}
	assert.Equal(t, PriorityLoad{InFlight: 6, PrefillTokens: 600}, overtaken(1))
	assert.Equal(t, PriorityLoad{InFlight: 7, PrefillTokens: 650}, overtaken(0))
	assert.Equal(t, PriorityLoad{}, overtaken(2))
	told.InFlight, told.PrefillTokens, told.Priorities[2] = 1, 100, PriorityLoad{InFlight: 1, PrefillTokens: 100}
	registry.UpdatePeerLoads("other", []Load{told})
	assert.Equal(t, PriorityLoad{InFlight: 2, PrefillTokens: 200}, overtaken(1))
	assert.Equal(t, 3, registry.totalLoad(0, registry.workers["e0"]).InFlight)
	registry.ForgetPeer("other")
	assert.Equal(t, PriorityLoad{}, overtaken(1))
}
