package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tillerfall/tillerfall/internal/traffic"
)

// metrics are the Prometheus metrics of a gateway.
type metrics struct {
	requests            *prometheus.CounterVec
	latency             *prometheus.HistogramVec
	attempts            *prometheus.CounterVec
	storeFailures       *prometheus.CounterVec
	peerFailures        prometheus.Counter
	connections         prometheus.Counter
	orders              prometheus.Counter
	invalidInputs       *prometheus.CounterVec
	quotaUnits          *prometheus.CounterVec
	quotaShare          *prometheus.GaugeVec
	quotaDecisions      *quotaDecisionMetrics
	pressure            prometheus.Gauge
	refusedConnections  prometheus.Counter
	idleCloses          *prometheus.CounterVec
	bodiesRefused       prometheus.Counter
	runsEndedWithWorker prometheus.Counter
	suspensions         prometheus.Counter
	probedEnds          *prometheus.CounterVec
	workerCalls         *prometheus.CounterVec
	limitedWorkers      prometheus.Gauge
	limitGrants         *prometheus.CounterVec
	notices             *prometheus.CounterVec
	workersInBackoff    prometheus.Gauge
	droppedRows         *prometheus.CounterVec
	storeEpoch          prometheus.Gauge
	rejectionLimits     prometheus.Gauge

	quarantineRefusals prometheus.Counter
	quarantined        prometheus.Gauge
	beforeSend         prometheus.Histogram

	links         *linkMetrics
	streamOrigins *streamOriginMetrics
	overload      *overloadMetrics
	silence       silenceMetrics

	deliveryAnswers *prometheus.CounterVec
	deliveryLatency *prometheus.HistogramVec
	deliveryShare   *prometheus.GaugeVec

	engineSpeeds *engineSpeedMetrics
	retryBudgets *retryMetrics
}

// bytesMetric is the name of the metric that counts the bytes of all connections.
const bytesMetric = "tillerfall_gateway_bytes_total"

// latencyBuckets are the bucket bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .3, .5, .8, 1.2, 2, 4, 8}

// ownTimeBuckets are the bucket bounds for the time that the gateway itself adds to a request, in
// seconds.
var ownTimeBuckets = []float64{.0005, .001, .002, .005, .01, .025, .05, .1, .25}

func newMetrics(registry *prometheus.Registry, meter *traffic.Meter) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_requests_total", Help: "Requests answered, by route and result.",
		}, []string{"route", "result"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tillerfall_gateway_first_byte_seconds", Help: "Time to the first byte of an answer, by route.",
			Buckets: latencyBuckets,
		}, []string{"route"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_attempts_total", Help: "Sends to workers, by service and outcome.",
		}, []string{"service", "outcome"}),
		storeFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_store_failures_total", Help: "Failed calls to the store, by table.",
		}, []string{"table"}),
		peerFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tillerfall_gateway_share_failures_total", Help: "Failed exchanges with other gateways.",
		}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tillerfall_gateway_worker_connections_total", Help: "Connections made to workers.",
		}),
		orders: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tillerfall_gateway_orders_total", Help: "Orders sent to engines.",
		}),
		invalidInputs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_unreadable_total", Help: "Rows and headers that couldn't be read, by source.",
		}, []string{"source"}),
		quotaUnits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_quota_units_total", Help: "Units of tenants' quotas that were asked for, by outcome.",
		}, []string{"tenant", "outcome"}),
		quotaShare: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "tillerfall_gateway_quota_share", Help: "Part of a tenant's quota that the node and those in touch had at the last refusal.",
		}, []string{"tenant"}),
		deliveryAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_delivery_answers_total", Help: "Answers of a service with an order to deliver a version, by version, route and result.",
		}, []string{"service", "version", "route", "result"}),
		deliveryLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tillerfall_gateway_delivery_first_byte_seconds", Help: "Time from a worker's choice to its first byte, by version and route.",
			Buckets: latencyBuckets,
		}, []string{"service", "version", "route"}),
		deliveryShare: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "tillerfall_gateway_delivery_share", Help: "Part of a route's requests that a version's target is asked to get, and part of the answers that it gave.",
		}, []string{"service", "route", "kind"}),
	}
	m.quotaDecisions = newQuotaDecisionMetrics(registry)
	m.engineSpeeds = newEngineSpeedMetrics(registry)
	m.retryBudgets = newRetryMetrics(registry)
	m.pressure = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "tillerfall_gateway_pressure", Help: "How near the node is to its limits: 0 free, 1 busy, 2 full.",
	})
	m.bodiesRefused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tillerfall_gateway_bodies_refused_total", Help: "Requests refused since the bodies under way left no memory for theirs.",
	})
	m.refusedConnections = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tillerfall_gateway_untaken_connections_total", Help: "Connections of callers closed for want of descriptors.",
	})
	m.idleCloses = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tillerfall_gateway_idle_connections_closed_total", Help: "Connections of callers closed while they carried no request, by cause.",
	}, []string{"cause"})
	m.runsEndedWithWorker = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tillerfall_gateway_runs_ended_with_worker_total", Help: "Runs that were under way at a worker when it ended.",
	})
	m.probedEnds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tillerfall_gateway_probed_ends_total", Help: "Answers that ended with their connection, by what the connection and a probe of their worker showed.",
	}, []string{"worker"})
	m.suspensions = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tillerfall_gateway_suspensions_total", Help: "Times that the machine was found to have been suspended.",
	})
	m.quarantineRefusals = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tillerfall_gateway_held_requests_total", Help: "Requests kept from workers since workers ended under them.",
	})
	m.quarantined = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "tillerfall_gateway_quarantined", Help: "Different requests that are kept from workers now.",
	})
	m.beforeSend = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "tillerfall_gateway_before_send_seconds", Help: "Time from a request's head to its first send to a worker.",
		Buckets: ownTimeBuckets,
	})
	m.workerCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tillerfall_gateway_worker_calls_total", Help: "Calls that reach workers, by what they are for.",
	}, []string{"kind"})
	m.limitedWorkers = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "tillerfall_gateway_limited_workers", Help: "Workers that name a limit on their requests now.",
	})
	m.limitGrants = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tillerfall_gateway_limit_grants_total", Help: "Sends to workers with limits, by whether they were granted.",
	}, []string{"outcome"})
	m.notices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tillerfall_gateway_worker_notices_total", Help: "Answers in which workers say that they shut down or want no requests, by notice and call.",
	}, []string{"notice", "call"})
	m.workersInBackoff = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "tillerfall_gateway_workers_in_backoff", Help: "Workers that have asked this node for no requests and get none now.",
	})
	m.droppedRows = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tillerfall_gateway_dropped_rows_total", Help: "Rows that were not applied since a newer one is held, by table.",
	}, []string{"table"})
	m.rejectionLimits = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "tillerfall_gateway_rejection_limits", Help: "Services whose workers bear few rejections now.",
	})
	m.storeEpoch = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "tillerfall_gateway_store_epoch", Help: "Highest epoch that the store has reported.",
	})
	m.links = newLinkMetrics(registry)
	m.streamOrigins = newStreamOriginMetrics(registry)
	m.overload = newOverloadMetrics(registry)
	m.silence = newSilenceMetrics(registry)
	if registry != nil {
		registry.MustRegister(m.droppedRows, m.storeEpoch, m.rejectionLimits)
		registry.MustRegister(m.limitGrants, m.notices, m.workersInBackoff)
		registry.MustRegister(m.workerCalls, m.limitedWorkers)
		registry.MustRegister(m.pressure, m.refusedConnections, m.idleCloses, m.runsEndedWithWorker, m.probedEnds, m.suspensions, m.quarantineRefusals, m.quarantined, m.beforeSend)
		registry.MustRegister(m.bodiesRefused, m.requests, m.latency, m.attempts, m.storeFailures, m.peerFailures, m.connections, m.orders, m.invalidInputs, m.quotaUnits, m.quotaShare,
			m.deliveryAnswers, m.deliveryLatency, m.deliveryShare, traffic.NewCollector(meter, bytesMetric))
	}
	return m
}
