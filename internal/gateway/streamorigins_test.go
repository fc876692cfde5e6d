package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/streamorigin"
)

// resumingRequest returns a request of a tenant that resumes the stream of its request "first".
func resumingRequest(tenant fleet.TenantName) *callerRequest {
	return &callerRequest{
		request:  httptest.NewRequest("POST", "/", nil),
		metadata: Metadata{RequestID: "second", LastEventID: "3", Resumes: "first"},
		service:  &routes.Service{Name: "app"},
		route:    &routes.Route{Kind: routes.Streaming, Resumable: true, Priority: 2, Split: []routes.Share{{Service: "app", Weight: 1}}},
		tenant:   &routes.Tenant{Name: tenant},
	}
}

// beginFirst makes a gateway record that the stream of the tenant's request "first" began at a version.
func beginFirst(g *Gateway, tenant fleet.TenantName, version fleet.SoftwareVersion) {
	current := resumingRequest(tenant)
	current.metadata = Metadata{RequestID: "first"}
	g.beginStream(context.Background(), current, &backends.Placement{Worker: backends.Worker{Service: "app", Software: version}})
}

// TestResumptionIsBoundToItsOwnTenantsStream guards against a stream that goes on at a guessed version, and
// against a request identifier of one tenant that tells of or binds another one's stream.
func TestResumptionIsBoundToItsOwnTenantsStream(t *testing.T) {
	g := newTestGateway(t)
	beginFirst(g, "tenant", "v1")
	own := resumingRequest("tenant")
	require.Nil(t, g.bindToOrigin(own))
	assert.Equal(t, streamorigin.Only("v1"), own.origin)

	refused := g.bindToOrigin(resumingRequest("other"))
	require.NotNil(t, refused)
	entry := resultcode.Lookup(refused.code)
	assert.Equal(t, "origin_unknown", entry.Name)
	assert.True(t, entry.NotRun)
	assert.Positive(t, refused.retryAfter)

	beginFirst(g, "other", "v2")
	again := resumingRequest("tenant")
	require.Nil(t, g.bindToOrigin(again))
	assert.Equal(t, streamorigin.Only("v1"), again.origin)

	beginFirst(g, "tenant", "v2")
	assert.NotNil(t, g.bindToOrigin(resumingRequest("tenant")), "two streams of one identifier")
}

// TestStreamsOfOtherRoutesAreNotBound guards against requests that are refused though their callers resume
// no stream, or their routes know no resumption.
func TestStreamsOfOtherRoutesAreNotBound(t *testing.T) {
	g := newTestGateway(t)
	fresh := resumingRequest("tenant")
	fresh.metadata = Metadata{RequestID: "second"}
	once := resumingRequest("tenant")
	once.route.Resumable = false
	for _, current := range []*callerRequest{fresh, once} {
		assert.Nil(t, g.bindToOrigin(current))
		assert.True(t, current.origin.IsAny())
	}
}

// TestResumptionMovesToTheServiceOfItsStream guards against streams of a split route that go on at another
// service, and against ones that go on at a service that the route has left.
func TestResumptionMovesToTheServiceOfItsStream(t *testing.T) {
	g := newTestGateway(t)
	table, err := routes.Compile(routes.Document{
		Routes: []routes.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: routes.Streaming, Resumable: true, MaxAttempts: 1, Public: true,
			Split: []routes.Share{{Service: "app", Weight: 1}, {Service: "other", Weight: 1}},
		}},
		Services: []routes.Service{{Name: "app"}, {Name: "other"}},
	})
	require.NoError(t, err)
	require.True(t, g.configuration.InstallIfNewer(0, 1, table))
	beginFirst(g, "tenant", "v1")
	current := resumingRequest("tenant")
	current.service = &routes.Service{Name: "other"}
	current.route.Split = append(current.route.Split, routes.Share{Service: "other", Weight: 1})
	current.metadata.Parts = []backends.Part{{ID: "shared"}, {ID: "own"}}
	require.Nil(t, g.bindToOrigin(current))
	assert.Equal(t, fleet.PoolName("app"), current.service.Name)
	assert.Equal(t, partFingerprints(current), current.parts, "parts are looked at for the service that it goes to")

	current = resumingRequest("tenant")
	current.service = &routes.Service{Name: "other"}
	current.route.Split = []routes.Share{{Service: "other", Weight: 1}}
	assert.NotNil(t, g.bindToOrigin(current))
}

// tableOfRoute returns a configuration with one resumable route to a service.
func tableOfRoute(t *testing.T, service fleet.PoolName) *routes.Table {
	table, err := routes.Compile(routes.Document{
		Routes: []routes.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: routes.Streaming, Resumable: true, MaxAttempts: 1, Public: true,
			Timeout: 2 * time.Minute, Split: []routes.Share{{Service: service, Weight: 1}},
		}},
		Services: []routes.Service{{Name: "app"}, {Name: "other"}},
	})
	require.NoError(t, err)
	return table
}

// TestStreamsOfARouteThatMovesNeedARecord guards against streams that go on at the service that their route
// has moved to, since that has a single version, and against streams since then that can't be resumed.
func TestStreamsOfARouteThatMovesNeedARecord(t *testing.T) {
	origins := newStreamOrigins(0, Settings{FirstStart: true})
	app, other := streamorigin.Origin{Service: "app", Version: "v1"}, streamorigin.Origin{Service: "other", Version: "v1"}
	origins.observe(0, map[fleet.PoolName][]fleet.SoftwareVersion{"app": {"v1"}, "other": {"v1"}})
	assert.Empty(t, origins.observeRoutes(0, tableOfRoute(t, "app")))
	assert.Empty(t, origins.observeRoutes(time.Second, tableOfRoute(t, "app")))
	assert.False(t, origins.add(time.Second, 1, app))
	assert.False(t, origins.haveRoutesChanged(time.Second))

	assert.Equal(t, []fleet.PoolName{"app"}, origins.observeRoutes(2*time.Second, tableOfRoute(t, "other")))
	assert.Equal(t, map[streamorigin.Key]streamorigin.Origin{1: app}, origins.takePrivate("app"))
	assert.True(t, origins.haveRoutesChanged(3*time.Second))
	assert.True(t, origins.add(3*time.Second, 2, other))
	later := 2*time.Second + lifetimesPerTimeout*2*time.Minute
	origins.observe(later, map[fleet.PoolName][]fleet.SoftwareVersion{"app": {"v1"}, "other": {"v1"}})
	assert.False(t, origins.haveRoutesChanged(later))
	assert.True(t, origins.add(later, 3, other), "nodes observe the end at different times")
	assert.False(t, origins.add(later+recordMargin, 4, other))
}

// TestPartitionedGatewayTrustsNoListOfItsOwn guards against streams that go on at the single version that a
// gateway knows of while it is cut off from the store and from all other gateways.
func TestPartitionedGatewayTrustsNoListOfItsOwn(t *testing.T) {
	g := newTestGateway(t)
	assert.False(t, g.mayHaveMissedVersions(), "a gateway without others")
	settings := *g.settings()
	settings.Seeds = []fleet.Address{"127.0.0.1:9"}
	g.currentSettings.Store(&settings)
	assert.True(t, g.mayHaveMissedVersions())
	g.freshness.Prove(g.now())
	assert.False(t, g.mayHaveMissedVersions(), "it follows the store, and nobody else does")

	g.streamOrigins = newStreamOrigins(0, Settings{FirstStart: true})
	g.streamOrigins.observe(g.now(), map[fleet.PoolName][]fleet.SoftwareVersion{"app": {"v1"}})
	require.Nil(t, g.bindToOrigin(resumingRequest("tenant")))
	g.freshness = routes.NewFreshness()
	assert.NotNil(t, g.bindToOrigin(resumingRequest("tenant")))
}

// TestResumptionGoesBeforeNewStreams guards against streams that are refused at the few engines where they
// can go on, or wait there behind new ones that could begin elsewhere.
func TestResumptionGoesBeforeNewStreams(t *testing.T) {
	g := newTestGateway(t)
	current := resumingRequest("tenant")
	current.service.Engine = &routes.EngineService{}
	current.attempts = attempt.NewForwarding(0, attempt.ForwardingPolicy{Deadline: time.Minute}, g.budgets.forRequest("app", "r1"))
	before := g.placementRequest(current)
	assert.True(t, before.Engine.MayRefuse)
	current.origin = streamorigin.Only("v1")
	bound := g.placementRequest(current)
	assert.False(t, bound.Engine.MayRefuse)
	assert.Less(t, bound.Engine.Priority, before.Engine.Priority)
	assert.Equal(t, streamorigin.Only("v1"), bound.Origin)
}

// TestRecordsSurviveTheirMessages guards against records and answers that mean something else at the node
// that receives them.
func TestRecordsSurviveTheirMessages(t *testing.T) {
	g := newTestGateway(t)
	one, two := streamorigin.Origin{Service: "app", Version: "v1"}, streamorigin.Origin{Service: "app", Version: ""}
	message := encodeRecords([]queuedRecord{{key: 1, origin: one}, {key: 1<<64 - 1, origin: two}, {key: 3, origin: one}})
	assert.Len(t, message.GetOrigins(), 2)
	g.handleStreamRecords(message)
	for key, origin := range map[streamorigin.Key]streamorigin.Origin{1: one, 1<<64 - 1: two, 3: one} {
		answer := decodeStreamAnswer(g.handleStreamQuery(&rpc.StreamQuery{Key: uint64(key), Service: "app"}))
		assert.Equal(t, streamorigin.Record{Origin: origin}, answer.Record)
		assert.True(t, answer.HasRecord)
	}
	g.streamOrigins.observe(g.now(), map[fleet.PoolName][]fleet.SoftwareVersion{"app": {"v1", "v2"}})
	answer := decodeStreamAnswer(g.handleStreamQuery(&rpc.StreamQuery{Key: 9, Service: "app"}))
	assert.Equal(t, streamorigin.Answer{Versions: []fleet.SoftwareVersion{"v1", "v2"}}, answer)
}

// TestRecordsWaitForOneCall guards against a call for each record while one to the same node is under way,
// and against records that stay in the queue.
func TestRecordsWaitForOneCall(t *testing.T) {
	queues := newRecordQueues()
	assert.True(t, queues.add("n", queuedRecord{key: 1}))
	assert.Len(t, queues.take("n"), 1)
	assert.False(t, queues.add("n", queuedRecord{key: 2}))
	assert.False(t, queues.add("n", queuedRecord{key: 3}))
	assert.Len(t, queues.take("n"), 2)
	assert.Empty(t, queues.take("n"))
	assert.True(t, queues.add("n", queuedRecord{key: 4}))
}
