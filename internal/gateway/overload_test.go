package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/overload"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// TestReportedWorkIsOutOfRange guards against work of peers that is not possible, and against losing
// what is readable beside it.
func TestReportedWorkIsOutOfRange(t *testing.T) {
	g := newTestGateway(t)
	uses := []overload.Use{{Tenant: "t", Used: 1500 * time.Millisecond, Unmet: time.Second}}
	encoded := encodeTenantWork(map[fleet.PoolName][]overload.Use{"engines": uses})
	decoded := g.decodeTenantWork(append(encoded, nil, &rpc.TenantWork{Service: "engines"}, &rpc.TenantWork{Tenant: "t"},
		&rpc.TenantWork{Service: "engines", Tenant: "u", Millis: math.MaxUint32}, &rpc.TenantWork{Service: "engines", Tenant: "u", RefusedMillis: math.MaxUint32}))
	assert.Equal(t, map[fleet.PoolName][]overload.Use{"engines": uses}, decoded)
	assert.InDelta(t, 5, testutil.ToFloat64(g.metrics.invalidInputs.WithLabelValues("tenant_work")), 0)
}

// TestOverloadControlWithoutConfiguration guards against the overload control for requests without a tenant or
// routes without a timeout or a target.
func TestOverloadControlWithoutConfiguration(t *testing.T) {
	g := newTestGateway(t)
	waits := func(tenant *routes.Tenant, timeout, target time.Duration) time.Duration {
		return g.callerWaits(&callerRequest{tenant: tenant, route: &routes.Route{Timeout: timeout, TargetLatency: target}, deadline: g.now() + time.Hour})
	}
	assert.Zero(t, waits(nil, time.Second, time.Second))
	assert.Zero(t, waits(&routes.Tenant{}, 0, time.Second))
	assert.Zero(t, waits(&routes.Tenant{}, time.Second, 0))
	assert.InDelta(t, time.Hour, waits(&routes.Tenant{}, time.Second, time.Second), float64(time.Minute))
}
