package quota

import (
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// demandPeriod is the time constant of the moving average of the demand. It spans several
	// exchanges of reports, so that the nodes' averages are comparable, and a flood of some seconds
	// counts soon after its start.
	demandPeriod = time.Second
	// demandLifetime is how long a peer's demand is valid: two exchanges of load reports. A multiple
	// of it applies if a peer reports only in every few rounds.
	demandLifetime = 1200 * time.Millisecond
	// excessSmoothing is the weight of one report in the moving average of a peer's excess, since
	// each report lacks what is in flight.
	excessSmoothing = 0.2
)

// Demand is the units per second that callers ask for, admitted or refused, by priority.
type Demand [PriorityCount]float64

func (d *Demand) add(other *Demand, sign float64) {
	for priority := range d {
		d[priority] = max(d[priority]+sign*other[priority], 0)
	}
}

// demandMeter keeps the demand at this node and the demands that peers report.
type demandMeter struct {
	own   Demand
	ownAt time.Duration
	// peers holds the last report of each peer, peerTotal their sum.
	peers     map[fleet.NodeID]reportedDemand
	peerTotal Demand
	// divergence is by how much the deficit of any of these peers exceeds this node's.
	divergence float64
	// summedAt is when reports that have expired were last removed.
	summedAt time.Duration
}

// reportedDemand is the demand at a peer.
type reportedDemand struct {
	demand Demand
	at     time.Duration
	// excess is the moving average by which the peer's deficit exceeds this node's.
	excess float64
}

func newDemandMeter(now time.Duration) demandMeter {
	return demandMeter{ownAt: now, summedAt: now, peers: make(map[fleet.NodeID]reportedDemand)}
}

// ask records units that a caller asks this node for.
func (m *demandMeter) ask(now time.Duration, priority int, amount float64) {
	m.decay(now)
	m.own[priority] += amount / demandPeriod.Seconds()
}

// decay reduces the moving average for the time since the last call.
func (m *demandMeter) decay(now time.Duration) {
	if now <= m.ownAt {
		return
	}
	factor := math.Exp(-(now - m.ownAt).Seconds() / demandPeriod.Seconds())
	for priority := range m.own {
		m.own[priority] *= factor
	}
	m.ownAt = now
}

// observe replaces the demand that a peer has reported. excess is by how much its deficit exceeds
// this node's.
func (m *demandMeter) observe(now time.Duration, node fleet.NodeID, demand Demand, excess float64) {
	before, known := m.peers[node]
	if known {
		m.peerTotal.add(&before.demand, -1)
		excess = before.excess + (excess-before.excess)*excessSmoothing
	}
	if demand == (Demand{}) {
		delete(m.peers, node)
		return
	}
	m.peers[node] = reportedDemand{demand: demand, at: now, excess: excess}
	m.peerTotal.add(&demand, 1)
}

// expire removes reports older than lifetime. It looks for them once each NearLimitInterval.
func (m *demandMeter) expire(now, lifetime time.Duration) {
	if now < m.summedAt+NearLimitInterval {
		return
	}
	m.summedAt, m.peerTotal, m.divergence = now, Demand{}, 0
	for node, report := range m.peers {
		if now > report.at+lifetime {
			delete(m.peers, node)
			continue
		}
		m.peerTotal.add(&report.demand, 1)
		m.divergence = max(m.divergence, report.excess)
	}
}

// of returns the demand of a priority at all nodes.
func (m *demandMeter) of(priority int) float64 { return m.own[priority] + m.peerTotal[priority] }

// moreUrgent returns the demand of all priorities before one, at all nodes.
func (m *demandMeter) moreUrgent(priority int) float64 {
	sum := 0.0
	for before := range priority {
		sum += m.of(before)
	}
	return sum
}
