package backends

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// reportOutcomes tells a registry what another one knows of rejections.
func reportOutcomes(now time.Duration, from, to *Registry) {
	to.ObservePeer(now, "peer", PeerReport{Outcomes: from.OwnOutcomes(now)})
}

func failureRateOf(registry *Registry, now time.Duration, id fleet.EngineID) float64 {
	return registry.workers[id].failureRate(now)
}

// endAt ends requests at a worker as rejected, or as served.
func endAt(registry *Registry, now time.Duration, id fleet.EngineID, count int, outcome Outcome) {
	for range count {
		registry.mutex.Lock()
		placement := registry.begin(now, registry.workers[id], 1, placedWork{})
		registry.mutex.Unlock()
		placement.End(now, outcome)
	}
}

// TestRejectingFleetIsFoundOutOnce guards against gateways that each find out by themselves which
// workers reject requests, with a rejected request a worker, and again once their memory fades.
func TestRejectingFleetIsFoundOutOnce(t *testing.T) {
	const gateways, workers, rejecting, underWay = 8, 9, 6, 16
	// Reports pass each 0.3 s, and a request comes each 16 ms.
	const reportSteps = 19
	play := func(share bool) (rejected int) {
		random := rand.New(rand.NewPCG(1, 2))
		var inFlight []*Placement
		registries := make([]*Registry, gateways)
		for number := range registries {
			registries[number] = newPlainRegistry(workers)
		}
		for step := range 600 {
			now := time.Duration(step) * 16 * time.Millisecond
			chosen, refusal := registries[step%gateways].Choose(now, &Request{Service: "plain"})
			require.NotNil(t, chosen, refusal.Reason)
			if chosen.Worker.ID < plainWorker(rejecting).ID && random.Float64() < 0.9 {
				rejected++
				chosen.End(now, Refused)
			} else {
				inFlight = append(inFlight, chosen)
			}
			if len(inFlight) > underWay {
				inFlight[0].End(now, Succeeded)
				inFlight = inFlight[1:]
			}
			if share && step%reportSteps == 0 {
				for number, registry := range registries {
					for other := range registries {
						if other != number {
							registry.ObservePeer(now, fleet.NodeID(fmt.Sprint(other)), PeerReport{Outcomes: registries[other].OwnOutcomes(now)})
						}
					}
				}
			}
		}
		return rejected
	}
	alone, together := play(false), play(true)
	t.Logf("%d of 600 requests rejected, %d with reports", alone, together)
	assert.Less(t, together, alone*3/4)
}

// TestOutcomesAreCountedOnce guards against a rejection that counts anew with each report.
func TestOutcomesAreCountedOnce(t *testing.T) {
	one, other := newPlainRegistry(3), newPlainRegistry(3)
	endAt(one, 0, "p1", 2, Refused)
	reportOutcomes(0, one, other)
	once := failureRateOf(other, 0, "p1")
	assert.Positive(t, once)
	reportOutcomes(0, one, other)
	assert.Equal(t, once, failureRateOf(other, 0, "p1"))
	endAt(one, 0, "p1", 1, Refused)
	reportOutcomes(0, one, other)
	assert.Greater(t, failureRateOf(other, 0, "p1"), once)
	assert.Zero(t, failureRateOf(other, 0, "p2"))
}

// TestSuccessesAtPeersCountToo guards against a worker that is avoided by all others while it serves
// one gateway's requests again.
func TestSuccessesAtPeersCountToo(t *testing.T) {
	one, other := newPlainRegistry(3), newPlainRegistry(3)
	endAt(one, 0, "p1", 5, Refused)
	reportOutcomes(0, one, other)
	before := failureRateOf(other, 0, "p1")
	endAt(one, 0, "p1", 20, Succeeded)
	reportOutcomes(0, one, other)
	assert.Less(t, failureRateOf(other, 0, "p1"), before*0.6)
}

// TestPeersOutcomesWeighLessThanOwn guards against a gateway that leaves a worker which serves it, since
// the worker rejects the requests of another one.
func TestPeersOutcomesWeighLessThanOwn(t *testing.T) {
	one, other := newPlainRegistry(3), newPlainRegistry(3)
	endAt(one, 0, "p1", 1000, Refused)
	endAt(other, 0, "p1", 1, Refused)
	own := failureRateOf(other, 0, "p1")
	third := newPlainRegistry(3)
	single := newPlainRegistry(3)
	endAt(single, 0, "p1", 1, Refused)
	reportOutcomes(0, single, third)
	assert.Less(t, failureRateOf(third, 0, "p1"), own)
	reportOutcomes(0, one, third)
	assert.Less(t, failureRateOf(third, 0, "p1"), 0.8, "one report is no proof")
}

// TestOldRejectionsAreNotReported guards against reports that grow with each worker that ever rejected.
func TestOldRejectionsAreNotReported(t *testing.T) {
	registry := newPlainRegistry(3)
	endAt(registry, 0, "p1", 2, Refused)
	endAt(registry, 0, "p2", 1, Failed)
	assert.Equal(t, []Outcomes{{Worker: "p1", Rejected: 2}}, registry.OwnOutcomes(time.Second))
	assert.Empty(t, registry.OwnOutcomes(rejectionMemory))
	endAt(registry, rejectionMemory, "p1", 1, Refused)
	assert.Equal(t, []Outcomes{{Worker: "p1", Rejected: 1}}, registry.OwnOutcomes(rejectionMemory), "counted anew")
}

// TestReportedOutcomesAreBounded guards against a report with each of thousands of rejecting workers.
func TestReportedOutcomesAreBounded(t *testing.T) {
	registry := newPlainRegistry(3 * maxReportedOutcomes)
	for number := range 3 * maxReportedOutcomes {
		endAt(registry, 0, plainWorker(number).ID, 1+number%3, Refused)
	}
	outcomes := registry.OwnOutcomes(0)
	assert.Len(t, outcomes, maxReportedOutcomes)
	assert.Equal(t, uint32(3), outcomes[len(outcomes)-1].Rejected, "those with the most rejections")
}

// TestReplacedWorkerStartsWithoutRejections guards against outcomes of a run that is gone.
func TestReplacedWorkerStartsWithoutRejections(t *testing.T) {
	registry := newTestRegistry()
	worker := plainWorker(1)
	worker.StartTime = 1
	registry.Observe(1, worker)
	endAt(registry, 0, "p1", 3, Refused)
	worker.StartTime = 2
	registry.Observe(2, worker)
	assert.Empty(t, registry.OwnOutcomes(0))
}
