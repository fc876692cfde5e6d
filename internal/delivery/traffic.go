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
	// heard is when each node last told.
	heard map[fleet.NodeID]time.Duration
	// pending counts answers by route since the last tick, rates are answers a second.
	pending map[RouteName]float64
	rates   map[RouteName]float64
	ticked  time.Duration
	begun   time.Duration
	all     float64
	// answered counts the target's answers, asked what its shares asked for.
	answered, asked float64
}

func newMeter(now time.Duration) meter {
	return meter{
		nodes:   map[fleet.NodeID]Evidence{},
		heard:   map[fleet.NodeID]time.Duration{},
		pending: map[RouteName]float64{},
		rates:   map[RouteName]float64{},
		ticked:  now,
		begun:   now,
	}
}

// observe takes in what a node has counted and passes what is new of it to the judge.
func (m *meter) observe(in situation, node fleet.NodeID, evidence Evidence, judge *judge) {
	before, heard := m.nodes[node]
	m.nodes[node] = evidence
	m.heard[node] = in.now
	for route, counts := range evidence.Old {
		delta := counts.since(before.Old[route])
		if delta.Answers == 0 {
			continue
		}
		judge.noteOld(route, &delta)
		m.count(route, delta.Answers, heard)
	}
	for route, byWorker := range evidence.New {
		for worker, counts := range byWorker {
			delta := counts.since(before.New[route][worker])
			if delta.Answers == 0 {
				continue
			}
			judge.noteNew(in, route, worker, &delta)
			m.count(route, delta.Answers, heard)
			m.answered += float64(delta.Answers)
		}
	}
}

// count adds answers up. Those that a node had seen before it was first heard are of no
// known time, and don't count for the rate.
func (m *meter) count(route RouteName, answers uint64, recent bool) {
	if recent {
		m.pending[route] += float64(answers)
	}
	m.all += float64(answers)
}

// tick brings the rates and what was asked for up to now.
func (m *meter) tick(now time.Duration, asked func(RouteName) float64) {
	passed := (now - m.ticked).Seconds()
	if passed <= 0 {
		return
	}
	m.ticked = now
	// Early on the average is over the time since the begin.
	window := min(rateWindow, max(now-m.begun, LookInterval)).Seconds()
	weight := 1 - math.Exp(-passed/window)
	for route := range m.pending {
		m.rates[route] += weight * (m.pending[route]/passed - m.rates[route])
		m.pending[route] = 0
		m.asked += asked(route) * m.rates[route] * passed
	}
}

// silent tells whether most nodes that told something lately tell nothing now, or none
// ever has: the director is cut off, or has just begun.
func (m *meter) silent(now time.Duration) bool {
	telling, silent := 0, 0
	for _, heard := range m.heard {
		switch age := now - heard; {
		case age <= evidenceFresh:
			telling++
		case age <= nodeForgotten:
			silent++
		}
	}
	return telling <= silent
}

// traffic returns what the schedule goes by. Before each node may have reported the
// rate isn't known.
func (m *meter) traffic(now time.Duration) traffic {
	seen := traffic{all: m.all, target: max(m.answered, m.asked)}
	if now-m.begun < ratesKnownAfter {
		return seen
	}
	for _, rate := range m.rates {
		seen.rate += rate
	}
	return seen
}

// evidenceFresh is the age up to which evidence counts as of now: two reports and a
// relay. A node that tells nothing for nodeForgotten is taken for gone.
const (
	evidenceFresh = 1500 * time.Millisecond
	nodeForgotten = 10 * time.Second
)

// ratesKnownAfter is the time after which each node has reported answers twice.
const ratesKnownAfter = 1500 * time.Millisecond
