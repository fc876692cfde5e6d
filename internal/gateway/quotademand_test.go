package gateway

import (
	"bytes"
	"math"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/quota"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// TestDemandSurvivesItsReport guards against a demand that peers read differently from how it was sent.
func TestDemandSurvivesItsReport(t *testing.T) {
	for _, demand := range []quota.Demand{{}, {1, 0, 0}, {0, 0, 420_000}, {3, 2, 1}} {
		decoded, err := decodeDemand(encodeDemand(demand))
		require.NoError(t, err)
		require.Equal(t, demand, decoded)
	}
	require.Equal(t, []uint32{maxDemand, 0, 0}, encodeDemand(quota.Demand{math.Inf(1), math.NaN(), -1}))
}

// TestInvalidDemandIsLeftOutAndCounted guards against a peer's absurd demand that closes a tenant's
// limit, and against one that drops the rest of the report.
func TestInvalidDemandIsLeftOutAndCounted(t *testing.T) {
	for _, encoded := range [][]uint32{{1, 2, 3, 4}, {math.MaxUint32}} {
		g := newTestGateway(t)
		g.applyQuotaReport(g.now(), &rpc.LoadReport{
			Node: "x/1", UsesTold: true, TenantUses: []*rpc.TenantUse{{Tenant: "a", Total: 5, Demand: encoded}},
		})
		require.Equal(t, 1.0, testutil.ToFloat64(g.metrics.invalidInputs.WithLabelValues("tenant_demand")))
		require.True(t, g.quotas.hasReportedSince("x/1", 0))
	}
}

// TestLimitedRequestTellsItsPriorityAndCause guards against refusals whose cause operators can't see.
func TestLimitedRequestTellsItsPriorityAndCause(t *testing.T) {
	g := newTestGateway(t)
	var log bytes.Buffer
	g.events = newEventLog(zerolog.New(&log))
	tenant := routes.Tenant{Name: "a", Quota: &routes.Quota{Rate: 1, Burst: 1}}
	g.quotas.setLimits(g.now(), []routes.Tenant{tenant})
	request := &callerRequest{request: httptest.NewRequest("POST", "/chat", nil), tenant: &tenant, route: &routes.Route{Priority: 7}}
	for range 100 {
		g.chargeQuota(request)
	}
	require.Contains(t, log.String(), `"priority":2,"reserved":0,"cause":"limit_used"`)
	require.Positive(t, testutil.ToFloat64(g.metrics.quotaDecisions.decisions.WithLabelValues("limit_used")))
}
