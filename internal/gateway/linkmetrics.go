package gateway

import "github.com/prometheus/client_golang/prometheus"

// linkMetrics are the metrics of this gateway's links to workers.
type linkMetrics struct {
	// partitioned is 1 while this gateway is partitioned from all workers.
	partitioned prometheus.Gauge
	// relayedDials counts the connections to workers that were asked of other gateways, by result.
	relayedDials *prometheus.CounterVec
	// tunnels counts the tunnels that other gateways asked for, by result.
	tunnels *prometheus.CounterVec
}

func newLinkMetrics(registry *prometheus.Registry) *linkMetrics {
	m := &linkMetrics{
		partitioned: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tillerfall_gateway_partitioned", Help: "1 while the node has lost its links to all workers.",
		}),
		relayedDials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_relayed_connections_total", Help: "Connections to workers asked of other gateways, by result.",
		}, []string{"result"}),
		tunnels: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_tunnels_total", Help: "Tunnels to workers that other gateways asked for, by result.",
		}, []string{"result"}),
	}
	if registry != nil {
		registry.MustRegister(m.partitioned, m.relayedDials, m.tunnels)
	}
	return m
}
