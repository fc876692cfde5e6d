package router

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/settings"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/standin/engineserver"
	"github.com/tillerfall/tillerfall/lab/standin/platformmodel"
	"github.com/tillerfall/tillerfall/lab/standin/platformserver"
)

const (
	anyPort = fleet.Address("127.0.0.1:0")
	// waitTimeout limits each wait for a condition.
	waitTimeout  = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

const configuration = `
tenants:
  - {name: ward, key_hashes: ["0000000000000000000000000000000000000000000000000000000000000001"], weight: 1, classes: [counter], max_concurrent: 100, max_waiting: 100}
classes:
  - {name: counter, rank: 0, max_wait: 60s, min_share: 0}
models:
  - {name: m, pool: p, max_prompt_tokens: 10000, max_output_tokens: 100, block_tokens: 16, versions: [{name: v1, state: serving}, {name: v2, state: loading}]}
pools:
  - {name: p, max_streams: 2, max_loads: 2}
`

// testFleet is a platform server with engine servers on loopback.
type testFleet struct {
	t        testing.TB
	platform *platformserver.Server
	engines  []*engineserver.Server
}

func newTestFleet(t testing.TB, engines int) *testFleet {
	f := &testFleet{t: t, platform: platformserver.New(platformmodel.Options{}, zerolog.Nop())}
	require.NoError(t, f.platform.Start(anyPort))
	t.Cleanup(func() { _ = f.platform.Stop() })
	for number := range engines {
		server := engineserver.New(engineserver.Config{Logger: zerolog.Nop(), Model: enginemodel.Config{
			ID: fleet.EngineID(fmt.Sprintf("e%d", number)), Incarnation: 1, Zone: "z",
			Loaded: []engine.ModelVersion{{Model: "m", Version: "v1"}},
		}})
		require.NoError(t, server.Start(anyPort))
		t.Cleanup(server.Kill)
		f.engines = append(f.engines, server)
	}
	f.platform.SetMachines(f.machines())
	return f
}

// blockLoads keeps engines from loading further model versions.
func (f *testFleet) blockLoads() {
	for _, server := range f.engines {
		faults := server.Faults()
		faults.LoadTimeMillis = time.Hour.Milliseconds()
		server.SetFaults(faults)
	}
}

func (f *testFleet) machines() []platform.Machine {
	var machines []platform.Machine
	for number, server := range f.engines {
		machines = append(machines, platform.Machine{
			ID: fmt.Sprintf("e%d", number), Kind: platform.MachineEngine, Address: server.Address(),
			Zone: "z", Pool: "p", Incarnation: 1, State: platform.MachineLive,
		})
	}
	return machines
}

func (f *testFleet) commitConfiguration() {
	document, problems := config.Parse([]byte(configuration))
	require.NoError(f.t, problems.Err())
	client := platform.NewClient(platform.ClientOptions{Address: f.platform.Address()})
	defer client.Close()
	_, err := config.NewStore(client, client, config.StoreOptions{}).Commit(context.Background(), config.CommitRequest{
		Token: "first", Mutate: func(config.Document) (config.Document, error) { return *document, nil },
	})
	require.NoError(f.t, err)
}

func (f *testFleet) startRouter(name string, adjustments ...func(*Settings)) *Router {
	options := DefaultSettings()
	options.Node = settings.Node{ID: name, Zone: "z", Address: anyPort}
	options.Platform.Address = f.platform.Address()
	options.StatusInterval = settings.Duration(20 * time.Millisecond)
	options.MachineInterval = settings.Duration(50 * time.Millisecond)
	options.ConfigurationInterval = settings.Duration(50 * time.Millisecond)
	for _, adjust := range adjustments {
		adjust(&options)
	}
	r := New(Options{Settings: options, Logger: zerolog.Nop(), Version: "test"})
	require.NoError(f.t, r.Start())
	f.t.Cleanup(func() { _ = r.Stop() })
	return r
}

// joinThrough makes a router join through another one.
func joinThrough(other *Router) func(*Settings) {
	return func(options *Settings) { options.Peers = []fleet.Address{other.Address()} }
}

// withoutPlatform configures a platform address that refuses connections.
func withoutPlatform(options *Settings) { options.Platform.Address = "127.0.0.1:1" }

func (f *testFleet) startReadyRouter(name string, adjustments ...func(*Settings)) *Router {
	r := f.startRouter(name, adjustments...)
	f.awaitEngines(r)
	return r
}

// awaitEngines waits until the router is ready, has finished its warm-up and can place requests on
// every engine.
func (f *testFleet) awaitEngines(r *Router) {
	require.Eventually(f.t, func() bool {
		ready := 0
		for _, described := range r.placer.snapshot().Engines {
			if described.Condition == "ready" && len(described.Loaded) > 0 {
				ready++
			}
		}
		return r.Ready() && ready == len(f.engines) && !r.isWarmingUp()
	}, waitTimeout, pollInterval)
}

func placementClient(r *Router) rpc.Placement {
	return rpc.NewPlacementProtobufClient("http://"+string(r.Address()), &http.Client{})
}

func placeRequest(id string) *rpc.PlaceRequest {
	return &rpc.PlaceRequest{
		Header: &rpc.Header{Sender: "agent", KnownRevision: 1}, RequestId: id, Attempt: 1, Tenant: "ward", Class: "counter",
		Weights: &rpc.Weights{Model: "m", Version: "v1"}, PromptTokens: 64, MaxTokens: 8,
		BlockHashes: []uint64{1, 2, 3, 4}, DeadlineMillis: uint32((2 * waitTimeout).Milliseconds()),
	}
}

func place(t testing.TB, r *Router, id string) *rpc.PlaceResponse {
	response, err := placementClient(r).Place(context.Background(), placeRequest(id))
	require.NoError(t, err)
	return response
}

// placeAsync starts a placement call. The channel yields its response, or nil if the call failed.
func placeAsync(ctx context.Context, r *Router, id string) <-chan *rpc.PlaceResponse {
	responses := make(chan *rpc.PlaceResponse, 1)
	go func() {
		response, _ := placementClient(r).Place(ctx, placeRequest(id))
		responses <- response
	}()
	return responses
}

func reportPhase(t testing.TB, r *Router, response *rpc.PlaceResponse, phase rpc.AttemptPhase) {
	_, err := placementClient(r).Report(context.Background(), &rpc.ReportRequest{Reports: []*rpc.AttemptReport{{
		RequestId: response.GetRequestId(), Attempt: response.GetAttempt(), Run: response.GetGrant().GetRun(), Phase: phase,
	}}})
	require.NoError(t, err)
}

// fillStreams takes every stream of the fleet and reports first tokens, so that the grants stay in
// flight.
func (f *testFleet) fillStreams(r *Router) []*rpc.PlaceResponse {
	var granted []*rpc.PlaceResponse
	for number := range 2 * len(f.engines) {
		response := place(f.t, r, fmt.Sprintf("fill-%d", number))
		require.NotNil(f.t, response.GetGrant(), "%v", response)
		reportPhase(f.t, r, response, rpc.AttemptPhase_ATTEMPT_PHASE_FIRST_TOKEN)
		granted = append(granted, response)
	}
	return granted
}

func execute(t testing.TB, r *Router, statement string) *rpc.ExecuteResponse {
	client := rpc.NewOperationsProtobufClient("http://"+string(r.Address()), &http.Client{})
	response, err := client.Execute(context.Background(), &rpc.ExecuteRequest{Statement: statement})
	require.NoError(t, err)
	return response
}
