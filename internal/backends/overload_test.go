package backends

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/overload"
)

// hardLoad replays a day on which a quarter of the engines goes dark, long reviews and then short
// replies come in bursts, and two tenants send 4.9 times their usual.
func hardLoad(seed uint64, controlsOverload bool) *overloadReplay {
	r := newOverloadReplay(seed, 4, controlsOverload)
	r.darkAt, r.darkEngines = 2500*time.Millisecond, 5
	r.flooding, r.flood, r.floodAt, r.floodEnd = []int{1, 4}, 4.9, 6900*time.Millisecond, 12600*time.Millisecond
	return r.run()
}

// outcomes are the means of a kind's outcomes over replays, as fractions of what arrived, and the
// standard error of late.
type outcomes struct{ inTime, late, lateError, refused, expired float64 }

func outcomesOf(kind int, replays []*overloadReplay) outcomes {
	var sum outcomes
	squares, count := 0.0, float64(len(replays))
	for _, r := range replays {
		k := r.kinds[kind]
		arrived := float64(k.arrived)
		late := float64(k.late) / arrived
		sum.inTime, sum.late, squares = sum.inTime+float64(k.inTime)/arrived, sum.late+late, squares+late*late
		sum.refused, sum.expired = sum.refused+float64(k.refused)/arrived, sum.expired+float64(k.expired)/arrived
	}
	variance := (squares - sum.late*sum.late/count) / (count - 1)
	return outcomes{sum.inTime / count, sum.late / count, math.Sqrt(variance / count), sum.refused / count, sum.expired / count}
}

// TestUrgentRequestsAreLateUnderHardLoad guards against more than one late request in twenty of the
// most urgent kind, beyond the error of the sample, while less urgent ones use the engines.
func TestUrgentRequestsAreLateUnderHardLoad(t *testing.T) {
	const seeds = 6
	var before, after []*overloadReplay
	for seed := range uint64(seeds) {
		before, after = append(before, hardLoad(seed, false)), append(after, hardLoad(seed, true))
	}
	for kind, name := range []string{"reply", "review"} {
		t.Logf("%-6s before %+.3v", name, outcomesOf(kind, before))
		t.Logf("%-6s after  %+.3v", name, outcomesOf(kind, after))
	}
	replies := outcomesOf(0, after)
	assert.LessOrEqual(t, replies.late-2*replies.lateError, 0.05)
}

// competing replays ten tenants that want more than engines have, one of them four times as much as
// usual, and six that want little.
func competing(perSecond float64) *overloadReplay {
	r := newOverloadReplay(1, 10, true)
	r.kinds = r.kinds[1:]
	r.kinds[0].perSecond, r.kinds[0].burst, r.kinds[0].things = perSecond, 1, 20
	for tenant := range r.weights {
		r.weights[tenant] = 0.1
		if tenant < 10 {
			r.weights[tenant] = 1 + 0.1*float64(tenant)
		}
	}
	r.weights[9] *= 4
	r.measureAt = 4 * time.Second
	return r
}

// fairness returns Jain's index.
func fairness(shares []time.Duration) float64 {
	sum, squares := 0.0, 0.0
	for _, share := range shares {
		sum, squares = sum+share.Seconds(), squares+share.Seconds()*share.Seconds()
	}
	return sum * sum / (float64(len(shares)) * squares)
}

// TestFloodTakesEngineTimeOfOthers guards against shares by what tenants send, by the number of nodes
// to which they come, or by what was known before all nodes restarted.
func TestFloodTakesEngineTimeOfOthers(t *testing.T) {
	for name, change := range map[string]func(*overloadReplay){
		"anywhere": func(*overloadReplay) {},
		"two at one node each": func(r *overloadReplay) {
			r.nodeOf = func(tenant int) int {
				if tenant == 9 || tenant == 3 {
					return tenant
				}
				return r.random.IntN(len(r.nodes))
			}
		},
		"restart": func(r *overloadReplay) { r.restartAt, r.measureAt = 8*time.Second, 11*time.Second },
	} {
		r := competing(500)
		change(r)
		r.run()
		t.Logf("%s: Jain's index %.3f, %v", name, fairness(r.engineTime[:10]), r.engineTime)
		assert.GreaterOrEqual(t, fairness(r.engineTime[:10]), 0.95, name)
	}
}

// TestFloodIsHeldBackWithoutShortage guards against limiting a tenant while there is room for all.
func TestFloodIsHeldBackWithoutShortage(t *testing.T) {
	r := competing(15).run()
	assert.Zero(t, r.kinds[0].refused)
	assert.Greater(t, r.engineTime[9], 3*r.engineTime[8])
}

// TestOverloadControlChangesChoicesWithoutShortage guards against other choices than without
// overload control while engines can take all requests.
func TestOverloadControlChangesChoicesWithoutShortage(t *testing.T) {
	var chosen [2][]fleet.EngineID
	for index, deadline := range []time.Duration{0, 4 * time.Second} {
		registry := newEngineRegistry()
		for number := range 100 {
			now := time.Duration(number) * 100 * time.Millisecond
			request := targetedRequest("p", 1000, 1)
			request.Engine.Deadline = deadline
			placement, refusal := registry.Choose(now, request)
			require.NotNil(t, placement, refusal)
			chosen[index] = append(chosen[index], placement.Worker.ID)
			placement.FirstByte(now + 50*time.Millisecond)
			placement.End(now+90*time.Millisecond, Succeeded)
		}
	}
	assert.Equal(t, chosen[0], chosen[1])
}

// TestEngineFullOfLessUrgentRequests guards against refusing an urgent request since less urgent ones
// fill the only engine that may take it, also if a less urgent one has found all engines full.
func TestEngineFullOfLessUrgentRequests(t *testing.T) {
	registry := newTestRegistry()
	for number := range 300 {
		registry.Observe(fleet.Revision(number+1), engineWorker(number, 1))
		state := registry.workers[engineWorker(number, 1).ID]
		for range maxStreams(state.worker.Slots) {
			state.begin(placedWork{priority: map[bool]int{true: 5, false: 3}[number == 299]})
		}
	}
	request := targetedRequest("p", 300, 5)
	request.Engine.Deadline = 4 * time.Second
	placement, refusal := registry.Choose(0, request)
	require.Nil(t, placement)
	assert.Equal(t, ReasonFull, refusal.Reason)
	request.Engine.Priority = 3
	for range 20 {
		placement, refusal = registry.Choose(0, request)
		require.NotNil(t, placement, refusal)
		placement.End(0, Cancelled)
	}
}

// TestTenantWorkPassesBetweenRegistries guards against shares that count this node's requests alone,
// or work that is reported for services that nobody knows.
func TestTenantWorkPassesBetweenRegistries(t *testing.T) {
	one, other := newEngineRegistry(), newEngineRegistry()
	request := targetedRequest("p", 1000, 1)
	request.Engine.Tenant, request.Engine.Deadline = "busy", 4*time.Second
	placement, _ := one.Choose(0, request)
	require.NotNil(t, placement)
	assert.Empty(t, one.OwnTenantWork(0))
	one.overloadController("engines").RecordRefused(0, &overload.Request{Tenant: "busy"}, time.Second, overload.CauseDeadline)
	work := one.OwnTenantWork(time.Second)
	require.Len(t, work["engines"], 1)
	assert.Equal(t, fleet.TenantName("busy"), work["engines"][0].Tenant)
	other.ObservePeer(0, "one", PeerReport{TenantWork: work})
	other.ObservePeer(0, "two", PeerReport{TenantWork: map[fleet.PoolName][]overload.Use{"unknown": work["engines"]}})
	assert.Equal(t, 1, other.TenantsAtShare(0))
	assert.Len(t, other.overloadControllers, 1)
	other.ForgetPeer("one")
	assert.Zero(t, other.TenantsAtShare(time.Second))
}
