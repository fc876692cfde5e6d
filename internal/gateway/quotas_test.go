package gateway

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/routes"
)

// TestIdleNodeTellsUsesOnlyForLimitedTenants has a node to which callers aren't sent get
// requests: those of tenants with a limit, whether admitted or not, have it talk about uses.
func TestIdleNodeTellsUsesOnlyForLimitedTenants(t *testing.T) {
	g := newTestGateway(t)
	g.roles.Store(deriveRoles("node-000", "z0", largeFleet(195), 0, false))
	require.False(t, g.isServing())
	require.Empty(t, g.loadPeers())
	request := func(tenant *routes.Tenant) *carried {
		g.requestCount.Add(1)
		g.lastRequest.Store(int64(g.now()))
		return &carried{request: httptest.NewRequest("GET", "/", nil), tenant: tenant}
	}
	assert.Empty(t, g.usePeers())
	assert.Nil(t, g.chargeTenant(request(nil)))
	assert.Nil(t, g.chargeTenant(request(&routes.Tenant{Name: "without"})))
	assert.Empty(t, g.usePeers())
	limited := &routes.Tenant{Name: "limited", Quota: &routes.Quota{}}
	g.chargeTenant(request(limited))
	assert.Equal(t, g.roles.Load().Serving, g.usePeers())
	g.lastLimitedRequest.Store(int64(g.now() - carryingFor - 1))
	assert.Empty(t, g.usePeers())
}
