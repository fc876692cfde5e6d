package gateway

import "github.com/prometheus/client_golang/prometheus"

// overloadMetrics are the metrics of the decision whose requests wait for an engine.
type overloadMetrics struct {
	refusals       *prometheus.CounterVec
	tenantsAtShare prometheus.Gauge
}

func newOverloadMetrics(registry *prometheus.Registry) *overloadMetrics {
	m := &overloadMetrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_late_refusals_total", Help: "Requests refused since they would have waited too long at every engine, by the rule that limits their wait.",
		}, []string{"cause"}),
		tenantsAtShare: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tillerfall_gateway_tenants_at_share", Help: "Tenants that want more than their share of engines that have too little room for all.",
		}),
	}
	if registry != nil {
		registry.MustRegister(m.refusals, m.tenantsAtShare)
	}
	return m
}
