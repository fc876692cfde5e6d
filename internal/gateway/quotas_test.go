package gateway

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/routes"
)

// TestNonServingNodeReportsUsageOnlyForTenantsWithQuota guards against usage exchanges that
// requests of tenants without a quota would cause.
func TestNonServingNodeReportsUsageOnlyForTenantsWithQuota(t *testing.T) {
	g := newTestGateway(t)
	g.roles.Store(deriveRoles("node-000", "z0", largeFleet(195), 0, false))
	require.False(t, g.isServing())
	require.Empty(t, g.loadPeers())
	request := func(tenant *routes.Tenant) *callerRequest {
		g.requestCount.Add(1)
		g.lastRequest.Store(int64(g.now()))
		return &callerRequest{request: httptest.NewRequest("GET", "/", nil), tenant: tenant}
	}
	assert.Empty(t, g.usagePeers())
	assert.Nil(t, g.chargeQuota(request(nil)))
	assert.Nil(t, g.chargeQuota(request(&routes.Tenant{Name: "without"})))
	assert.Empty(t, g.usagePeers())
	limited := &routes.Tenant{Name: "limited", Quota: &routes.Quota{}}
	g.chargeQuota(request(limited))
	assert.Equal(t, g.roles.Load().Serving, g.usagePeers())
	g.lastLimitedRequest.Store(int64(g.now() - usageReportPeriod - 1))
	assert.Empty(t, g.usagePeers())
}
