package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/lab/standin/platformserver"
)

func TestPlaceGrantsAnEngine(t *testing.T) {
	f := newTestFleet(t, 2)
	f.commitConfiguration()
	r := f.startReadyRouter("r")
	response := place(t, r, "q1")
	grant := response.GetGrant()
	require.NotNil(t, grant, "%v", response)
	assert.Equal(t, "q1", response.GetRequestId())
	assert.Equal(t, uint64(1), response.GetHeader().GetKnownRevision())
	assert.Equal(t, uint32(16), grant.GetBlockTokens())
	assert.Equal(t, uint64(1), grant.GetRun().GetIncarnation())
	explained := execute(t, r, "explain q1")
	assert.Contains(t, explained.GetMessage(), "granted "+grant.GetRun().GetEngine())
	assert.Len(t, explained.GetRows(), 2)
}

func TestMalformedPlaceRequestIsRejected(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	r := f.startReadyRouter("r")
	_, err := placementClient(r).Place(context.Background(), &rpc.PlaceRequest{})
	require.Error(t, err)
	unknown := placeRequest("q")
	unknown.Weights.Model = "unknown"
	response, err := placementClient(r).Place(context.Background(), unknown)
	require.NoError(t, err)
	assert.Equal(t, uint32(resultcode.StaleWeights), response.GetRefusal().GetCode())
	assert.NotNil(t, place(t, r, "next").GetGrant(), "the router must keep placing requests")
}

func TestCancelledCallReleasesItsQueueEntry(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	r := f.startReadyRouter("r")
	granted := f.fillStreams(r)
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := placeAsync(ctx, r, "gone")
	require.Eventually(t, func() bool { return r.placer.openCallCount() == 1 }, waitTimeout, pollInterval)
	listed := execute(t, r, "show waiting tenant ward")
	require.Len(t, listed.GetRows(), 1)
	assert.Equal(t, "gone", listed.GetRows()[0].GetCells()[0])
	cancel()
	require.Nil(t, <-cancelled)
	require.Eventually(t, func() bool { return r.placer.snapshot().WaitingRequests == 0 }, waitTimeout, pollInterval)
	waiting := placeAsync(context.Background(), r, "stays")
	reportPhase(t, r, granted[0], rpc.AttemptPhase_ATTEMPT_PHASE_FINISHED)
	assert.NotNil(t, (<-waiting).GetGrant())
}

func TestLaterCallSupersedesEarlierCall(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	r := f.startReadyRouter("r")
	granted := f.fillStreams(r)
	earlier := placeAsync(context.Background(), r, "twice")
	require.Eventually(t, func() bool { return r.placer.openCallCount() == 1 }, waitTimeout, pollInterval)
	later := placeAsync(context.Background(), r, "twice")
	require.Nil(t, <-earlier)
	reportPhase(t, r, granted[0], rpc.AttemptPhase_ATTEMPT_PHASE_FINISHED)
	assert.NotNil(t, (<-later).GetGrant())
}

func TestUndeliveredGrantIsAbandoned(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	r := f.startReadyRouter("r")
	request, err := decodePlaceRequest(placeRequest("q"))
	require.NoError(t, err)
	call := r.placer.submit(request)
	require.Len(t, call.outcome, 1)
	require.Equal(t, 1, r.placer.snapshot().InFlight)
	r.placer.withdraw(call)
	assert.Zero(t, r.placer.snapshot().InFlight)
}

func TestStopHandsBackWaitingRequests(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	r := f.startReadyRouter("r")
	f.fillStreams(r)
	var waiting []<-chan *rpc.PlaceResponse
	for _, id := range []string{"a", "b", "c"} {
		waiting = append(waiting, placeAsync(context.Background(), r, id))
	}
	require.Eventually(t, func() bool { return r.placer.openCallCount() == len(waiting) }, waitTimeout, pollInterval)
	f.platform.SetFaults(platformserver.Faults{Down: true})
	go func() { _ = r.Stop() }()
	require.NoError(t, r.Stop(), "the second stop must wait for the first")
	for _, response := range waiting {
		assert.Equal(t, string(placement.HandBackDraining), (<-response).GetHandBack().GetReason())
	}
	assert.Zero(t, r.placer.openCallCount())
	<-r.Dead()
}

func TestRouterIsReadyOnceConfiguredAndListed(t *testing.T) {
	f := newTestFleet(t, 1)
	r := f.startRouter("r")
	status := func(path string) (int, string) {
		response, err := http.Get("http://" + string(r.Address()) + path)
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(body)
	}
	code, body := status(PathReady)
	assert.Equal(t, http.StatusServiceUnavailable, code)
	assert.Contains(t, body, "no configuration")
	code, _ = status(PathHealth)
	assert.Equal(t, http.StatusOK, code)
	assert.Equal(t, string(placement.HandBackStaleConfiguration), place(t, r, "early").GetHandBack().GetReason(), "an agent with a newer configuration must be handed back")
	withoutRevision := placeRequest("without-revision")
	withoutRevision.Header = nil
	refused, err := placementClient(r).Place(context.Background(), withoutRevision)
	require.NoError(t, err)
	assert.Equal(t, uint32(resultcode.NoConfiguration), refused.GetRefusal().GetCode())
	assert.NotZero(t, refused.GetRefusal().GetRetryAfterMillis())
	f.commitConfiguration()
	f.awaitEngines(r)
	code, _ = status(PathReady)
	assert.Equal(t, http.StatusOK, code)
	_, body = status(PathMetrics)
	assert.Contains(t, body, `tillerfall_router_engines{condition="ready"} 1`)
	assert.Contains(t, body, `tillerfall_router_outcomes_total{class="counter",code="2008",outcome="refused"} 1`)
}

func TestRestartDuringPlatformOutageRecoversFromAgent(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	first := f.startReadyRouter("r")
	known, err := placementClient(first).Sync(context.Background(), &rpc.SyncRequest{})
	require.NoError(t, err)
	require.NotNil(t, known.GetConfig())
	require.NotNil(t, known.GetMachines())
	require.NoError(t, first.Stop())
	f.platform.SetFaults(platformserver.Faults{Down: true})
	restarted := f.startRouter("r")
	client := placementClient(restarted)
	header := &rpc.Header{Sender: "agent", KnownRevision: known.GetConfig().GetRevision()}
	digest := known.GetMachines().GetDigest()
	response, err := client.Sync(context.Background(), &rpc.SyncRequest{Header: header, MachinesDigest: digest})
	require.NoError(t, err)
	assert.Zero(t, response.GetHeader().GetKnownRevision())
	assert.True(t, response.GetMachinesWanted())
	response, err = client.Sync(context.Background(), &rpc.SyncRequest{
		Header: header, Config: known.GetConfig(), Machines: known.GetMachines(), MachinesDigest: digest,
	})
	require.NoError(t, err)
	assert.Equal(t, known.GetConfig().GetRevision(), response.GetHeader().GetKnownRevision())
	assert.False(t, response.GetMachinesWanted())
	assert.Nil(t, response.GetMachines(), "the agent already has this list")
	f.awaitEngines(restarted)
	assert.NotNil(t, place(t, restarted, "q").GetGrant())
}

func TestOutdatedAgentGetsOnlyConfigurationChanges(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	r := f.startReadyRouter("r")
	require.Zero(t, execute(t, r, "drain e0").GetCode())
	require.Eventually(t, func() bool { return r.holder.Revision() == 2 }, waitTimeout, pollInterval)
	request := &rpc.SyncRequest{Header: &rpc.Header{Sender: "agent", KnownRevision: 1}}
	response, err := placementClient(r).Sync(context.Background(), request)
	require.NoError(t, err)
	require.Len(t, response.GetConfigChanges(), 1)
	assert.EqualValues(t, 2, response.GetConfigChanges()[0].GetRevision())
	assert.Nil(t, response.GetConfig())
	request.ConfigSnapshotWanted = true
	response, err = placementClient(r).Sync(context.Background(), request)
	require.NoError(t, err)
	assert.Empty(t, response.GetConfigChanges())
	assert.EqualValues(t, 2, response.GetConfig().GetRevision())
}

func TestLowerRevisionIsIgnored(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	r := f.startReadyRouter("r")
	old := r.configurationMessage()
	require.Zero(t, execute(t, r, "drain e0").GetCode())
	require.Eventually(t, func() bool { return r.holder.Revision() == 2 }, waitTimeout, pollInterval)
	_, err := placementClient(r).Sync(context.Background(), &rpc.SyncRequest{Config: old})
	require.NoError(t, err)
	assert.EqualValues(t, 2, r.holder.Revision())
}

func TestOperatorsCommands(t *testing.T) {
	f := newTestFleet(t, 2)
	f.blockLoads()
	f.commitConfiguration()
	r := f.startReadyRouter("r")
	assert.Equal(t, uint32(resultcode.CommandImpossible), execute(t, r, "promote m v2").GetCode(), "v2 is not loaded")
	drained := execute(t, r, "drain e0")
	assert.Zero(t, drained.GetCode(), drained.GetMessage())
	assert.Equal(t, drained.GetRevision(), execute(t, r, "lookup "+drained.GetToken()).GetRevision())
	require.Eventually(t, func() bool {
		return len(execute(t, r, "show engines where state = leaving and leaving_by = operator and owned = yes").GetRows()) == 1
	}, waitTimeout, pollInterval)
	for _, id := range []string{"a", "b"} {
		assert.Equal(t, "e1", place(t, r, id).GetGrant().GetRun().GetEngine())
	}
	require.Zero(t, execute(t, r, "admit e0").GetCode())
	require.Eventually(t, func() bool {
		return len(execute(t, r, "show engines where state = ready").GetRows()) == 2
	}, waitTimeout, pollInterval)
	f.platform.SetFaults(platformserver.Faults{Down: true})
	lost := execute(t, r, "drain e1")
	assert.Contains(t, []uint32{uint32(resultcode.PlatformUnavailable), uint32(resultcode.CommandUncertain)}, lost.GetCode())
}

func TestPromotionWaitsForVersionToLoad(t *testing.T) {
	f := newTestFleet(t, 2)
	f.commitConfiguration()
	first, second := f.startReadyRouter("r1"), f.startReadyRouter("r2")
	require.Eventually(t, func() bool { return execute(t, first, "promote m v2").GetCode() == 0 }, waitTimeout, 20*pollInterval)
	require.Eventually(t, func() bool { return second.holder.Revision() == 2 }, waitTimeout, pollInterval)
	request := placeRequest("q")
	request.Weights.Version = "v2"
	response, err := placementClient(second).Place(context.Background(), request)
	require.NoError(t, err)
	assert.NotNil(t, response.GetGrant(), "%v", response)
}

func TestEngineIsRetiredAfterLeaseFailover(t *testing.T) {
	f := newTestFleet(t, 1)
	f.blockLoads()
	f.commitConfiguration()
	first := f.startReadyRouter("r1")
	require.Eventually(t, func() bool { _, held := first.rollout.keeper.Fence(); return held }, waitTimeout, pollInterval)
	second := f.startReadyRouter("r2")
	require.NoError(t, first.Stop())
	require.Zero(t, execute(t, second, "retire e0").GetCode())
	require.Eventually(t, func() bool { return f.engines[0].Status().Leaving }, waitTimeout, pollInterval)
}

// callUntilStopped places and finishes requests one after another, until the router hands one back,
// refuses one or can't be reached. It returns the refusals.
func callUntilStopped(r *Router, caller int) (granted int, refused []*rpc.Refusal) {
	client := placementClient(r)
	for number := 0; ; number++ {
		response, err := client.Place(context.Background(), placeRequest(fmt.Sprintf("load-%d-%d", caller, number)))
		if err != nil || response.GetHandBack() != nil {
			return granted, refused
		}
		if refusal := response.GetRefusal(); refusal != nil {
			return granted, append(refused, refusal)
		}
		granted++
		_, _ = client.Report(context.Background(), &rpc.ReportRequest{Reports: []*rpc.AttemptReport{{
			RequestId: response.GetRequestId(), Attempt: 1, Run: response.GetGrant().GetRun(),
			Phase: rpc.AttemptPhase_ATTEMPT_PHASE_FINISHED,
		}}})
	}
}

func TestStopUnderLoadRefusesNothing(t *testing.T) {
	f := newTestFleet(t, 2)
	f.commitConfiguration()
	r := f.startReadyRouter("r")
	const callers = 32
	var group sync.WaitGroup
	var granted atomic.Int32
	refusals := make(chan *rpc.Refusal, callers)
	for caller := range callers {
		group.Go(func() {
			count, refused := callUntilStopped(r, caller)
			granted.Add(int32(count))
			for _, refusal := range refused {
				refusals <- refusal
			}
		})
	}
	require.Eventually(t, func() bool {
		return testutil.CollectAndCount(r.metrics.outcomes) > 0 && r.placer.openCallCount() > 0
	}, waitTimeout, pollInterval)
	require.NoError(t, r.Stop())
	group.Wait()
	close(refusals)
	for refusal := range refusals {
		t.Errorf("refused: %v", refusal)
	}
	assert.Positive(t, granted.Load())
}
