package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quota"
	"github.com/tillerfall/tillerfall/internal/readmission"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// newLimitedGateway returns a gateway without peers that knows one tenant, a, with a limit.
func newLimitedGateway(t *testing.T) (*Gateway, *routes.Tenant) {
	g := newTestGateway(t)
	limited := &routes.Tenant{Name: "a", Quota: &routes.Quota{Rate: 100, Burst: 100}}
	g.quotas.setLimits(g.now(), []routes.Tenant{*limited})
	g.quotas.limiter.Observe(g.now(), quota.Report{Node: "peer/1", Machine: "peer"})
	return g, limited
}

func limitedRequest(tenant *routes.Tenant, id string) *callerRequest {
	return &callerRequest{
		request: httptest.NewRequest("POST", "/chat", nil), tenant: tenant,
		metadata: Metadata{RequestID: id, Key: "key", TimeLeft: time.Minute, Parts: []backends.Part{{ID: "p", Tokens: 10}}},
	}
}

// TestTriesOfOneRequestDiffer guards against a request that isn't recognized when it is tried again,
// and against two that are taken for one.
func TestTriesOfOneRequestDiffer(t *testing.T) {
	signature := func(change func(*callerRequest)) uint64 {
		current := limitedRequest(&routes.Tenant{Name: "a"}, "first")
		change(current)
		return requestSignature(current)
	}
	first := signature(func(*callerRequest) {})
	assert.Equal(t, first, signature(func(c *callerRequest) { c.metadata.RequestID = "second" }))
	assert.Equal(t, first, signature(func(c *callerRequest) { c.metadata.TimeLeft = time.Second }))
	for name, change := range map[string]func(*callerRequest){
		"tenant": func(c *callerRequest) { c.tenant = &routes.Tenant{Name: "b"} },
		"key":    func(c *callerRequest) { c.metadata.Key = "other" },
		"path":   func(c *callerRequest) { c.request.RequestURI = "/other" },
		"length": func(c *callerRequest) { c.request.ContentLength = 5 },
		"part":   func(c *callerRequest) { c.metadata.Parts = []backends.Part{{ID: "q", Tokens: 10}} },
		"tokens": func(c *callerRequest) { c.metadata.PromptTokens = 7 },
	} {
		assert.NotEqual(t, first, signature(change), name)
	}
}

// TestTicketIgnoresTheLatencyTarget guards against tickets that are made without the route's target.
func TestTicketIgnoresTheLatencyTarget(t *testing.T) {
	g, tenant := newLimitedGateway(t)
	current := limitedRequest(tenant, "first")
	limited := quotaRequest(current, 1)
	require.Zero(t, g.readmissionRequest(current, &limited).TargetLeft)
	current.route = &routes.Route{TargetLatency: time.Second}
	current.startedAt = g.now()
	left := g.readmissionRequest(current, &limited).TargetLeft
	require.Positive(t, left)
	require.LessOrEqual(t, left, time.Second)
}

// TestRefusedCallerIsNotExpected guards against a refusal that makes no ticket, and against one whose
// ticket other gateways don't receive.
func TestRefusedCallerIsNotExpected(t *testing.T) {
	g, tenant := newLimitedGateway(t)
	other, _ := newLimitedGateway(t)
	for count := 0; g.chargeQuota(limitedRequest(tenant, "newcomer")) == nil; count++ {
		require.Less(t, count, 1000)
	}
	_, waiting := g.quotas.tickets.counts()
	require.Equal(t, 1, waiting)
	report := &rpc.LoadReport{Node: "giver/1", UsesTold: true}
	g.quotas.writeReport(g.now(), report, "other/1")
	other.quotas.applyReport(other.now(), report)
	_, waiting = other.quotas.tickets.counts()
	require.Equal(t, 1, waiting)
}

// TestReturnTicketIsReadWrong guards against tickets that change on their way or are taken although
// they are invalid.
func TestReturnTicketIsReadWrong(t *testing.T) {
	tickets := newReturnTickets()
	tickets.setLimits(map[fleet.TenantName]quota.Limit{"a": {Rate: 100}})
	tickets.applyReport(0, &rpc.LoadReport{Node: "x", ReturnTickets: []*rpc.ReturnTicket{
		{Request: 1, Tenant: "a", DueMillis: 1000, Units: 20, Priority: 2},
		{Request: 2, Tenant: "unknown", DueMillis: 1000, Units: 20},
		{Request: 3, Tenant: "a", DueMillis: 1 << 30, Units: 20},
		{Request: 4, Tenant: "a", DueMillis: 1000, Units: 20, Priority: 1 << 31},
	}})
	counts, waiting := tickets.counts()
	assert.Equal(t, 1, waiting)
	assert.Equal(t, uint64(3), counts.Dropped)
	returning, _ := tickets.claim(time.Second, readmission.Request{Signature: 1, Tenant: "a", Priority: 2})
	assert.True(t, returning)
	_, holdBack := tickets.claim(time.Second, readmission.Request{Signature: 9, Tenant: "a", Priority: 2})
	assert.Equal(t, 20.0, holdBack)
}
