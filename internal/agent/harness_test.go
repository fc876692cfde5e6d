package agent_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/agent"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/fleetsync"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/settings"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/standin/engineserver"
)

const (
	testKey      = "counter-key"
	waitTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
	maxBody      = 1 << 16
	blockTokens  = 4
)

var testPrompt = strings.Repeat("Tariff circular, clause one: every ward office shows the new screen. ", 4)

func testDocument() config.Document {
	return config.Document{
		Revision: 7,
		Tenants: []config.Tenant{{
			Name: "counter", KeyHashes: []string{config.HashKey(testKey)}, Weight: 1,
			Classes: []fleet.ClassName{"urgent"}, MaxConcurrent: 4, MaxWaiting: 8,
		}},
		Classes: []config.Class{
			{Name: "urgent", MaxWait: config.Duration(30 * time.Second)},
			{Name: "batch", Rank: 9, MaxWait: config.Duration(time.Minute)},
		},
		Models: []config.Model{{
			Name: "notes", Pool: "main", Versions: []config.Version{{Name: "v1", State: config.VersionServing}},
			MaxPromptTokens: 2000, MaxOutputTokens: 400, BlockTokens: blockTokens,
		}},
		Pools: []config.Pool{{Name: "main", MaxStreams: 8, MaxLoads: 1}},
	}
}

// fakeRouter is a router that grants engines in turn.
type fakeRouter struct {
	server *httptest.Server

	mutex    sync.Mutex
	engines  []*engineserver.Server
	revision uint64
	config   *rpc.ConfigSnapshot
	// changes are sent instead of config, unless a snapshot is requested.
	changes    []*rpc.ConfigChange
	machines   *rpc.MachineList
	lists      *fleetsync.Publisher
	reports    []*rpc.AttemptReport
	placements int
	// blocked delays every response until it is closed. blockedCalls counts the calls that were
	// delayed, cancelledCalls those cancelled meanwhile.
	blocked        chan struct{}
	blockedCalls   int
	cancelledCalls int
	// retired is the model version for which placements are refused as stale.
	retired string
}

func startRouter(t *testing.T, engines ...*engineserver.Server) *fakeRouter {
	snapshot, err := config.SnapshotMessage(testDocument())
	require.NoError(t, err)
	router := &fakeRouter{engines: engines, config: snapshot, revision: snapshot.GetRevision()}
	router.machines = &rpc.MachineList{Digest: 5, Machines: []*rpc.Machine{{Id: "a"}}}
	router.server = httptest.NewServer(rpc.NewPlacementServer(router))
	router.lists = fleetsync.NewPublisher(router.node())
	t.Cleanup(router.server.Close)
	return router
}

func (f *fakeRouter) address() fleet.Address {
	return fleet.Address(strings.TrimPrefix(f.server.URL, "http://"))
}

func (f *fakeRouter) node() fleet.NodeID { return fleet.NodeID("router-" + string(f.address())) }

func (f *fakeRouter) header() *rpc.Header {
	return &rpc.Header{Sender: string(f.node()), KnownRevision: f.revision}
}

func (f *fakeRouter) wait(ctx context.Context) {
	f.mutex.Lock()
	unblocked := f.blocked
	if unblocked != nil {
		f.blockedCalls++
	}
	f.mutex.Unlock()
	if unblocked == nil {
		return
	}
	select {
	case <-unblocked:
	case <-ctx.Done():
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.cancelledCalls++
	}
}

// blockResponses delays all responses until unblock is called.
func (f *fakeRouter) blockResponses() (unblock func()) {
	unblocked := make(chan struct{})
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.blocked = unblocked
	return func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.blocked = nil
		close(unblocked)
	}
}

func (f *fakeRouter) Place(ctx context.Context, request *rpc.PlaceRequest) (*rpc.PlaceResponse, error) {
	f.wait(ctx)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if request.GetWeights().GetVersion() == f.retired {
		refusal := &rpc.Refusal{Code: uint32(resultcode.StaleWeights)}
		return &rpc.PlaceResponse{
			Header: f.header(), RequestId: request.GetRequestId(), Attempt: request.GetAttempt(),
			Outcome: &rpc.PlaceResponse_Refusal{Refusal: refusal},
		}, nil
	}
	chosen := f.engines[f.placements%len(f.engines)]
	f.placements++
	status := chosen.Status()
	grant := &rpc.Grant{
		Run:         &rpc.EngineRun{Engine: string(status.Engine), Incarnation: uint64(status.Incarnation)},
		Address:     string(chosen.Address()),
		ValidMillis: uint32(waitTimeout.Milliseconds()),
	}
	return &rpc.PlaceResponse{
		Header: f.header(), RequestId: request.GetRequestId(), Attempt: request.GetAttempt(),
		Outcome: &rpc.PlaceResponse_Grant{Grant: grant},
	}, nil
}

func (f *fakeRouter) Report(_ context.Context, request *rpc.ReportRequest) (*rpc.ReportResponse, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.reports = append(f.reports, request.GetReports()...)
	return &rpc.ReportResponse{Header: f.header()}, nil
}

func (f *fakeRouter) Sync(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	f.wait(ctx)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if pushed := request.GetConfig(); pushed.GetRevision() > f.revision {
		f.revision = pushed.GetRevision()
		f.config = pushed
	}
	if pushed := request.GetMachines(); pushed != nil {
		f.machines = pushed
	}
	response := &rpc.SyncResponse{Header: f.header(), MachinesWanted: f.machines == nil}
	f.lists.FillResponse(membership.NewView(1, membership.Member{}, nil), f.machines, request, response)
	if request.GetHeader().GetKnownRevision() < f.revision {
		if f.changes != nil && !request.GetConfigSnapshotWanted() {
			response.ConfigChanges = f.changes
			return response, nil
		}
		response.Config = f.config
	}
	return response, nil
}

func (f *fakeRouter) phases() []rpc.AttemptPhase {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var phases []rpc.AttemptPhase
	for _, report := range f.reports {
		phases = append(phases, report.GetPhase())
	}
	return phases
}

func startEngine(t *testing.T, id fleet.EngineID, step time.Duration) *engineserver.Server {
	server := engineserver.New(engineserver.Config{
		Model: enginemodel.Config{
			ID: id, Incarnation: 1, KeepWeights: true, BlockTokens: blockTokens,
			Loaded: []engine.ModelVersion{{Model: "notes", Version: "v1"}, {Model: "notes", Version: "v2"}},
			Costs:  enginemodel.Costs{StepBase: step},
		},
		Logger: zerolog.Nop(),
	})
	require.NoError(t, server.Start("127.0.0.1:0"))
	t.Cleanup(server.Kill)
	return server
}

// startAgent starts an agent and waits until it is ready.
func startAgent(t *testing.T, change func(*agent.Settings), routers ...*fakeRouter) *agent.Agent {
	agentSettings := agent.DefaultSettings()
	agentSettings.Node = settings.Node{ID: "agent", Zone: "paldi-hall", Address: "127.0.0.1:0"}
	agentSettings.HTTP.MaxBodyBytes = maxBody
	agentSettings.Sync.Interval = settings.Duration(50 * time.Millisecond)
	for _, router := range routers {
		agentSettings.Routers = append(agentSettings.Routers, router.address())
	}
	if change != nil {
		change(&agentSettings)
	}
	started, err := agent.New(agentSettings, agent.Dependencies{Logger: zerolog.Nop()})
	require.NoError(t, err)
	require.NoError(t, started.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, started.Stop()) })
	require.Eventually(t, func() bool {
		status, _ := get(t, started, agent.PathReady)
		return status == http.StatusOK
	}, waitTimeout, pollInterval)
	return started
}

func get(t *testing.T, a *agent.Agent, path string) (int, string) {
	response, err := http.Get("http://" + string(a.Address()) + path)
	require.NoError(t, err)
	return readAll(t, response)
}

func readAll(t *testing.T, response *http.Response) (int, string) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// post sends a body with the tenant's key and additional headers given as "Name: value".
func post(t *testing.T, a *agent.Agent, path, body string, headers ...string) *http.Response {
	request, err := http.NewRequest(http.MethodPost, "http://"+string(a.Address())+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	for _, header := range headers {
		name, value, found := strings.Cut(header, ": ")
		if !found {
			continue
		}
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	return response
}

func completionBody(maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"notes","prompt":%q,"max_tokens":%d,"stream":%t,"stream_options":{"include_usage":true}}`,
		testPrompt, maxTokens, stream)
}
