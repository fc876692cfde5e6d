package gateway

import "github.com/prometheus/client_golang/prometheus"

// Outcomes of asking a retry budget.
const (
	retryGranted = "granted"
	retryRefused = "refused"
)

// retryMetrics are the metrics of retry budgets.
type retryMetrics struct {
	retries   *prometheus.CounterVec
	remaining *prometheus.GaugeVec
}

func newRetryMetrics(registry *prometheus.Registry) *retryMetrics {
	m := &retryMetrics{
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_retries_total", Help: "Retries asked of the retry budget, by service and outcome.",
		}, []string{"service", "outcome"}),
		remaining: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "tillerfall_gateway_retry_budget_remaining", Help: "Retries left in the budget when it was last asked, by service.",
		}, []string{"service"}),
	}
	if registry != nil {
		registry.MustRegister(m.retries, m.remaining)
	}
	return m
}

// recordRetryDecision logs and counts the decision of a retry budget.
func (g *Gateway) recordRetryDecision(decision retryDecision) {
	outcome := retryRefused
	if decision.Granted {
		outcome = retryGranted
	}
	g.metrics.retryBudgets.retries.WithLabelValues(string(decision.service), outcome).Inc()
	g.metrics.retryBudgets.remaining.WithLabelValues(string(decision.service)).Set(decision.Available)
	g.events.line("retry_decision").Str("service", string(decision.service)).Str("request_id", decision.requestID).
		Str("outcome", outcome).Float64("available", decision.Available).Float64("capacity", decision.Capacity).Int("requests", decision.Requests).
		Float64("share", decision.Share).Int("members", decision.counts.Members).Int("serving", decision.counts.Serving).
		Bool("serves", decision.counts.Serves).Msg("retry_decision")
}
