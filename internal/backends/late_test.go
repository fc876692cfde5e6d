package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/overload"
)

// targetedRequest returns a request with a target of half a second.
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

// TestRequestThatWouldWaitTooLongIsRefused guards against accepting a request that would miss its
// target at every engine, and against a wrong retry time.
func TestRequestThatWouldWaitTooLongIsRefused(t *testing.T) {
	registry := newEngineRegistry()
	for _, state := range registry.workers {
		state.prefillTokens, state.priorities[1].PrefillTokens = 40_000, 40_000
	}
	request := targetedRequest("p", 1000, 1)
	placement, refusal := registry.Choose(0, request)
	require.Nil(t, placement)
	assert.Equal(t, ReasonLate, refusal.Reason)
	assert.InDelta(t, 580, refusal.RetryAfter.Milliseconds(), 60, "40,000 tokens take 1,040 ms")
	request.Engine.MayRefuse = false
	placement, refusal = registry.Choose(0, request)
	assert.NotNil(t, placement, refusal, "a request that may have run elsewhere is not refused")
}

// TestUrgentRequestIsNotRefusedForLowerPriorityWork guards against counting lower-priority work in
// an urgent request's wait.
func TestUrgentRequestIsNotRefusedForLowerPriorityWork(t *testing.T) {
	registry := newEngineRegistry()
	for _, state := range registry.workers {
		state.prefillTokens, state.priorities[4].PrefillTokens = 40_000, 40_000
	}
	placement, refusal := registry.Choose(0, targetedRequest("p", 1000, 3))
	assert.NotNil(t, placement, refusal)
	placement, _ = registry.Choose(0, targetedRequest("p", 1000, 4))
	assert.Nil(t, placement)
}

// TestLongPromptIsNotRefusedForItsLength guards against refusing a prompt whose own prefill exceeds
// its target, unless it would also wait for more than half of the target.
func TestLongPromptIsNotRefusedForItsLength(t *testing.T) {
	registry := newEngineRegistry()
	placement, refusal := registry.Choose(0, targetedRequest("p", 40_000, 1))
	require.NotNil(t, placement, refusal)
	for _, state := range registry.workers {
		state.prefillTokens, state.priorities[1].PrefillTokens = 8_000, 8_000
	}
	placement, refusal = registry.Choose(0, targetedRequest("q", 40_000, 1))
	assert.NotNil(t, placement, refusal)
}

// TestRequestWithoutATargetIsNeverRefusedForLateness guards against refusing requests that have no
// target.
func TestRequestWithoutATargetIsNeverRefusedForLateness(t *testing.T) {
	registry := newEngineRegistry()
	for _, state := range registry.workers {
		state.prefillTokens, state.priorities[1].PrefillTokens = 40_000, 40_000
	}
	request := targetedRequest("p", 1000, 1)
	request.Engine.Target, request.Engine.TimeLeft = 0, 0
	placement, refusal := registry.Choose(0, request)
	assert.NotNil(t, placement, refusal)
}

// TestIdleEngineIsPassedOver guards against refusing a request that yields although an idle engine
// would serve it in time, only not as soon as a busy engine with its prompt cached.
func TestIdleEngineIsPassedOver(t *testing.T) {
	registry := newEngineRegistry()
	for id, state := range registry.workers {
		state.prefillTokens, state.priorities[1].PrefillTokens = 6_000, 6_000
		if id == "e1" {
			state.prefillTokens, state.priorities[1].PrefillTokens = 0, 0
		}
	}
	request := targetedRequest("p", 12_000, 1)
	request.Engine.Parts = []Part{{"p", 11_900}, {"own", 100}}
	request.Engine.Store, request.Engine.LinkMegabits = "", 1
	request.Engine.Target, request.Engine.TimeLeft, request.Engine.Deadline = 600*time.Millisecond, 600*time.Millisecond, time.Second
	registry.ObserveCache(registry.workers["e0"].worker.Run(), true, []PartChange{{Stored: true, Scope: Scope(testModel, 1, "", false), Part: "p"}})
	registry.overloadController("engines").RecordRefused(0, &overload.Request{Priority: 0}, 0, overload.CauseDeadline)
	placement, refusal := registry.Choose(0, request)
	require.NotNil(t, placement, refusal)
	assert.Equal(t, fleet.EngineID("e1"), placement.Worker.ID)
}

// TestRequestPlacedAtOldVersionCountsAsRefused guards against unmet demand of requests that the few
// engines of a new version can't take and others do.
func TestRequestPlacedAtOldVersionCountsAsRefused(t *testing.T) {
	for name, load := range map[string]func(*workerState){
		"late": func(state *workerState) { state.prefillTokens, state.priorities[1].PrefillTokens = 40_000, 40_000 },
		"full": func(state *workerState) { state.inFlight = maxStreams(state.worker.Slots) },
	} {
		registry := newEngineRegistry()
		target := engineWorker(0, 1)
		target.Software = "new"
		registry.Observe(100, target)
		load(registry.workers[target.ID])
		request := targetedRequest("p", 1000, 1)
		request.Software = delivery.NewFilter("new", true, nil, delivery.NewFilter("new", false, nil, nil))
		placement, refusal := registry.Choose(0, request)
		require.NotNil(t, placement, refusal)
		assert.NotEqual(t, target.ID, placement.Worker.ID, name)
		assert.Empty(t, registry.OwnTenantWork(time.Second), "nothing is reported while no demand is unmet")
		controller := registry.overloadController("engines")
		assert.Equal(t, overload.CauseDeadline, controller.Limit(0, &overload.Request{Priority: 2, Target: time.Second, Deadline: time.Second}).Cause, name)
		request.Software = delivery.NewFilter("new", true, nil, nil)
		placement, _ = registry.Choose(0, request)
		assert.Nil(t, placement, name)
	}
}

// TestLongPromptIsLateOnAnIdleEngine guards against less urgent requests that yield to one that is late
// by its own prefill alone, and against none that yield to one that is late by its waiting.
func TestLongPromptIsLateOnAnIdleEngine(t *testing.T) {
	for name, finish := range map[string]func(*Placement, time.Duration){
		"first token": func(placement *Placement, at time.Duration) { placement.FirstByte(at) },
		"cancelled":   func(placement *Placement, at time.Duration) { placement.End(at, Cancelled) },
	} {
		for took, cause := range map[time.Duration]overload.Cause{
			1100 * time.Millisecond: overload.CauseDeadline,
			1500 * time.Millisecond: overload.CausePriority,
		} {
			registry := newEngineRegistry()
			placement, refusal := registry.Choose(0, targetedRequest("p", 40_000, 1))
			require.NotNil(t, placement, refusal)
			finish(placement, took)
			limit := registry.overloadController("engines").Limit(took, &overload.Request{Priority: 2, Target: time.Second, Deadline: time.Second})
			assert.Equal(t, cause, limit.Cause, "%s after %v", name, took)
		}
	}
}

// TestLoadByPriorityIsSummedOverNodes guards against ignoring the load of peers by priority, or not
// extrapolating it to peers without a report.
func TestLoadByPriorityIsSummedOverNodes(t *testing.T) {
	registry := newEngineRegistry()
	registry.SetPeerCount(2)
	load := Load{Engine: "e0", InFlight: 3, PrefillTokens: 300}
	load.Priorities[2] = PriorityLoad{InFlight: 3, PrefillTokens: 300}
	registry.ObservePeer(0, "other", PeerReport{Loads: []Load{load}})
	registry.workers["e0"].begin(placedWork{priority: 1, prefillTokens: 50})
	lowerPriority := func(priority int) PriorityLoad {
		return registry.lowerPriorityLoad(0, registry.workers["e0"], priority)
	}
	assert.Equal(t, PriorityLoad{InFlight: 6, PrefillTokens: 600}, lowerPriority(1))
	assert.Equal(t, PriorityLoad{InFlight: 7, PrefillTokens: 650}, lowerPriority(0))
	assert.Equal(t, PriorityLoad{}, lowerPriority(2))
	load.InFlight, load.PrefillTokens, load.Priorities[2] = 1, 100, PriorityLoad{InFlight: 1, PrefillTokens: 100}
	registry.UpdatePeerLoads("other", []Load{load})
	assert.Equal(t, PriorityLoad{InFlight: 2, PrefillTokens: 200}, lowerPriority(1))
	assert.Equal(t, 3, registry.totalLoad(0, registry.workers["e0"]).InFlight)
	registry.ForgetPeer("other")
	assert.Equal(t, PriorityLoad{}, lowerPriority(1))
}
