package delivery

import (
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// rateWindow is the time over which rates are averaged. Reports come each 0.6 s from
// each node, at times of their own.
const rateWindow = 2 * time.Second

// meter adds up the evidence of all nodes.
type meter struct {
	nodes map[fleet.NodeID]Evidence
	// lastReport is when each node last told.
	lastReport map[fleet.NodeID]time.Duration
	// pending counts answers by route since the last tick, rates are answers a second.
	pending   map[RouteName]float64
	rates     map[RouteName]float64
	tickedAt  time.Duration
	startedAt time.Duration
	total     float64
	// targetAnswers counts the target's answers, targetPlanned what its shares targetPlanned for.
	targetAnswers, targetPlanned float64
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

// observe takes in what a node has counted and passes what is new of it to the judge.
func (m *meter) observe(in conditions, node fleet.NodeID, evidence Evidence, judge *judge) {
	before, heard := m.nodes[node]
	m.nodes[node] = evidence
	m.lastReport[node] = in.now
	for route, counts := range evidence.Old {
		delta := counts.since(before.Old[route])
		if delta.Answers == 0 {
			continue
		}
		judge.observeOld(route, &delta)
		m.count(route, delta.Answers, heard)
	}
	for route, byWorker := range evidence.New {
		for worker, counts := range byWorker {
			delta := counts.since(before.New[route][worker])
			if delta.Answers == 0 {
				continue
			}
			judge.observeNew(in, route, worker, &delta)
			m.count(route, delta.Answers, heard)
			m.targetAnswers += float64(delta.Answers)
		}
	}
}

// count adds answers up. Those that a node had seen before it was first heard are of no
// known time, and don't count for the rate.
func (m *meter) count(route RouteName, answers uint64, recent bool) {
	if recent {
		m.pending[route] += float64(answers)
	}
	m.total += float64(answers)
}

// tick brings the rates and what was asked for up to now.
func (m *meter) tick(now time.Duration, asked func(RouteName) float64) {
	passed := (now - m.tickedAt).Seconds()
	if passed <= 0 {
		return
	}
	m.tickedAt = now
	// Early on the average is over the time since the begin.
	window := min(rateWindow, max(now-m.startedAt, EvaluationInterval)).Seconds()
	weight := 1 - math.Exp(-passed/window)
	for route := range m.pending {
		m.rates[route] += weight * (m.pending[route]/passed - m.rates[route])
		m.pending[route] = 0
		m.targetPlanned += asked(route) * m.rates[route] * passed
	}
}

// isSilent tells whether most nodes that told something lately tell nothing now, or none
// ever has: the director is cut off, or has just begun.
func (m *meter) isSilent(now time.Duration) bool {
	telling, silent := 0, 0
	for _, heard := range m.lastReport {
		switch age := now - heard; {
		case age <= maxEvidenceAge:
			telling++
		case age <= nodeRetention:
			silent++
		}
	}
	return telling <= silent
}

// traffic returns what the schedule goes by. Before each node may have reported the
// rate isn't known.
func (m *meter) traffic(now time.Duration) traffic {
	seen := traffic{total: m.total, target: max(m.targetAnswers, m.targetPlanned)}
	if now-m.startedAt < rateWarmup {
		return seen
	}
	for _, rate := range m.rates {
		seen.rate += rate
	}
	return seen
}

// maxEvidenceAge is the age up to which evidence counts as of now: two reports and a
// relay. A node that tells nothing for nodeRetention is taken for gone.
const (
	maxEvidenceAge = 1500 * time.Millisecond
	nodeRetention  = 10 * time.Second
)

// rateWarmup is the time after which each node has reported answers twice.
const rateWarmup = 1500 * time.Millisecond
