package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tillerfall/tillerfall/internal/quota"
)

// quotaDecisionMetrics counts the decisions on requests of tenants with a quota. It has one series
// for each cause.
type quotaDecisionMetrics struct {
	decisions *prometheus.CounterVec
}

// newQuotaDecisionMetrics returns the metrics, registered unless registry is nil.
func newQuotaDecisionMetrics(registry *prometheus.Registry) *quotaDecisionMetrics {
	m := &quotaDecisionMetrics{decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tillerfall_gateway_quota_decisions_total", Help: "Requests of tenants with a quota, by the cause of the decision.",
	}, []string{"cause"})}
	if registry != nil {
		registry.MustRegister(m.decisions)
	}
	return m
}

func (m *quotaDecisionMetrics) count(cause quota.Cause) {
	m.decisions.WithLabelValues(cause.String()).Inc()
}
