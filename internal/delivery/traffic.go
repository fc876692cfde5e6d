package delivery

import (
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// rateWindow is the time constant over which rates are averaged. Nodes report every 0.6 s, at
// different times.
const rateWindow = 2 * time.Second

// meter adds up the evidence of all nodes.
type meter struct {
	nodes map[fleet.NodeID]Evidence
	// lastReport is when each node last reported.
	lastReport map[fleet.NodeID]time.Duration
	// pending counts responses by route since the last tick; rates are in responses per second.
	pending   map[RouteName]float64
	rates     map[RouteName]float64
	tickedAt  time.Duration
	startedAt time.Duration
	total     float64
	// targetResponses counts the target's responses, targetPlanned the requests that its shares
	// planned.
	targetResponses, targetPlanned float64
}

func newMeter(now time.Duration) meter {
	return meter{
		nodes:      map[fleet.NodeID]Evidence{},
		lastReport: map[fleet.NodeID]time.Duration{},
		pending:    map[RouteName]float64{},
		rates:      map[RouteName]float64{},
		tickedAt:   now,
		startedAt:  now,
	}
}

// observe takes a node's cumulative evidence and passes the increase to the judge.
func (m *meter) observe(current conditions, node fleet.NodeID, evidence Evidence, judge *judge) {
	previous, reported := m.nodes[node]
	m.nodes[node] = evidence
	m.lastReport[node] = current.now
	for route, counts := range evidence.Old {
		delta := counts.since(previous.Old[route])
		if delta.Responses == 0 {
			continue
		}
		judge.observeOld(route, &delta)
		m.count(route, delta.Responses, reported)
	}
	for route, byWorker := range evidence.New {
		for worker, counts := range byWorker {
			delta := counts.since(previous.New[route][worker])
			if delta.Responses == 0 {
				continue
			}
			judge.observeNew(current, route, worker, &delta)
			m.count(route, delta.Responses, reported)
			m.targetResponses += float64(delta.Responses)
		}
	}
}

// count adds responses. Those in a node's first report have no known time and don't count for the
// rate.
func (m *meter) count(route RouteName, responses uint64, recent bool) {
	if recent {
		m.pending[route] += float64(responses)
	}
	m.total += float64(responses)
}

// tick updates the rates and the planned requests to now.
func (m *meter) tick(now time.Duration, plannedShare func(RouteName) float64) {
	passed := (now - m.tickedAt).Seconds()
	if passed <= 0 {
		return
	}
	m.tickedAt = now
	// Shortly after the start, average over the time since then.
	window := min(rateWindow, max(now-m.startedAt, EvaluationInterval)).Seconds()
	weight := 1 - math.Exp(-passed/window)
	for route := range m.pending {
		m.rates[route] += weight * (m.pending[route]/passed - m.rates[route])
		m.pending[route] = 0
		m.targetPlanned += plannedShare(route) * m.rates[route] * passed
	}
}

// isMissingReports reports whether the nodes that have recently stopped reporting are at least as
// many as those that still report. The director is then partitioned, or has just started.
func (m *meter) isMissingReports(now time.Duration) bool {
	reporting, silent := 0, 0
	for _, reportedAt := range m.lastReport {
		switch age := now - reportedAt; {
		case age <= maxEvidenceAge:
			reporting++
		case age <= nodeRetention:
			silent++
		}
	}
	return reporting <= silent
}

// traffic returns the traffic for the schedule. The rate is unknown until rateWarmup has passed.
func (m *meter) traffic(now time.Duration) traffic {
	observed := traffic{total: m.total, target: max(m.targetResponses, m.targetPlanned)}
	if now-m.startedAt < rateWarmup {
		return observed
	}
	for _, rate := range m.rates {
		observed.rate += rate
	}
	return observed
}

// maxEvidenceAge is the age up to which a report is current, covering two report intervals and a
// relay. A node that hasn't reported for nodeRetention is ignored.
const (
	maxEvidenceAge = 1500 * time.Millisecond
	nodeRetention  = 10 * time.Second
)

// rateWarmup is the time after which each node has reported responses twice.
const rateWarmup = 1500 * time.Millisecond
