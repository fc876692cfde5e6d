package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tillerfall/tillerfall/internal/readmission"
)

// registerTicketMetrics registers the metrics of return tickets. They have no label of a tenant, so
// the number of series is fixed.
func registerTicketMetrics(registry *prometheus.Registry, tickets *returnTickets) {
	if registry == nil {
		return
	}
	outcomes := map[string]func(readmission.Counts) uint64{
		"kept":    func(counts readmission.Counts) uint64 { return counts.OfferedKept },
		"unkept":  func(counts readmission.Counts) uint64 { return counts.OfferedWithout },
		"used":    func(counts readmission.Counts) uint64 { return counts.Used },
		"lapsed":  func(counts readmission.Counts) uint64 { return counts.Lapsed },
		"dropped": func(counts readmission.Counts) uint64 { return counts.Dropped },
	}
	for outcome, count := range outcomes {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "tillerfall_gateway_return_tickets_total", Help: "Times to return given to callers over their quota, and what became of them, by outcome.",
			ConstLabels: prometheus.Labels{"outcome": outcome},
		}, func() float64 {
			counts, _ := tickets.counts()
			return float64(count(counts))
		}))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tillerfall_gateway_return_tickets_waiting", Help: "Times to return that the node knows of and that haven't been used.",
	}, func() float64 {
		_, waiting := tickets.counts()
		return float64(waiting)
	}))
}
