package quota

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// peer is another node that reports what it admits.
type peer struct {
	machine string
	// weight is the ratio of the peer's request rate to this node's. Both rates are taken at the
	// same time, so a burst at all nodes doesn't change it. It is 1 until the peer has reported.
	weight float64
	// lastReportAt is when the peer last reported, or when it was added if it hasn't yet.
	lastReportAt time.Duration
	// reported is set once the peer has reported.
	reported bool
	// unreachable is set while the peer's reports are overdue, since unreachableSince. share is the
	// share of the limit that is reserved for it meanwhile.
	unreachable      bool
	share            float64
	unreachableSince time.Duration
}

// AddPeer adds a node that is to report. Its share is reserved if it doesn't.
func (l *Limiter) AddPeer(now time.Duration, node fleet.NodeID, machine string) {
	if l.peers[node] != nil {
		return
	}
	l.drainAll(now)
	l.expireDeparted(now)
	if _, returned := l.departed[node]; returned {
		delete(l.departed, node)
	} else {
		l.removeMachine(now, machine)
	}
	l.peers[node] = &peer{machine: machine, weight: 1, lastReportAt: now}
}

// Observe applies a peer's report. If this node is joining and the peer isn't, this node
// synchronizes with the report.
func (l *Limiter) Observe(now time.Duration, report Report) {
	l.drainAll(now)
	l.AddPeer(now, report.Node, report.Machine)
	peer := l.peers[report.Node]
	peer.lastReportAt, peer.reported = now, true
	if report.RequestRate >= 0 {
		weight := (report.RequestRate + 1) / (l.ownRate + 1)
		peer.weight += (weight - peer.weight) * weightSmoothing
	}
	if l.joining && !report.Joining {
		l.synchronize(report)
	}
	for _, usage := range report.Usages {
		if account := l.accounts[usage.Tenant]; account != nil {
			account.observe(now, report, usage, peer.reservedUnits(now, account.limit))
			account.demand.observe(now, report.Node, usage.Demand, float64(usage.Deficit)-account.fleet.deficit)
		}
	}
	peer.unreachable = false
}

// synchronize adopts the use before this node's start from a peer's report. Tenants that are missing
// in the report have used nothing.
func (l *Limiter) synchronize(report Report) {
	l.joining = false
	for _, account := range l.accounts {
		account.synchronize(Usage{})
	}
	for _, usage := range report.Usages {
		if account := l.accounts[usage.Tenant]; account != nil {
			account.synchronize(usage)
		}
	}
}

// reservedUnits returns the units of a limit that were reserved for a peer while it was
// unreachable.
func (p *peer) reservedUnits(now time.Duration, limit Limit) float64 {
	if !p.unreachable {
		return 0
	}
	return p.share * limit.Rate * (now - p.unreachableSince).Seconds()
}

// SetOwnRate sets this node's request rate, in requests per second.
func (l *Limiter) SetOwnRate(rate float64) { l.ownRate = max(rate, 0) }

// SetReportRounds sets the number of report rounds in which each peer reports once.
func (l *Limiter) SetReportRounds(rounds int) { l.reportRounds = max(rounds, 1) }

// HasReportedSince reports whether a peer has reported at or after a time.
func (l *Limiter) HasReportedSince(node fleet.NodeID, at time.Duration) bool {
	peer := l.peers[node]
	return peer != nil && peer.reported && peer.lastReportAt >= at
}

// Peers returns the peers whose reports count.
func (l *Limiter) Peers() []fleet.NodeID {
	nodes := make([]fleet.NodeID, 0, len(l.peers))
	for node := range l.peers {
		nodes = append(nodes, node)
	}
	return nodes
}

// departedPeer is a removed peer.
type departedPeer struct {
	machine string
	at      time.Duration
}

// departedRetention is how long the totals of a removed peer are kept, in case it returns: two
// exchanges, since the load-sharing nodes change several times within seconds of a start. After
// that the deficits that other peers report include its use.
const departedRetention = 1200 * time.Millisecond

// RemovePeer removes a peer that now reports to other nodes.
func (l *Limiter) RemovePeer(now time.Duration, node fleet.NodeID) {
	peer := l.peers[node]
	if peer == nil {
		return
	}
	l.drainAll(now)
	delete(l.peers, node)
	l.departed[node] = departedPeer{machine: peer.machine, at: now}
}

// expireDeparted drops the totals of peers that were removed more than departedRetention ago.
func (l *Limiter) expireDeparted(now time.Duration) {
	for node, departed := range l.departed {
		if now > departed.at+departedRetention {
			l.dropTotals(node)
		}
	}
}

// dropTotals drops the totals that a removed peer has reported.
func (l *Limiter) dropTotals(node fleet.NodeID) {
	delete(l.departed, node)
	for _, account := range l.accounts {
		delete(account.peerTotals, node)
	}
}

// Leave removes all peers and makes this node a joining one, since it no longer receives reports.
func (l *Limiter) Leave(now time.Duration) {
	for node := range l.peers {
		l.RemovePeer(now, node)
	}
	for node := range l.departed {
		l.dropTotals(node)
	}
	if l.joining || l.options.Standalone {
		return
	}
	l.joining, l.started = true, now
	for _, account := range l.accounts {
		account.recent = 0
	}
}

// removeMachine removes the earlier run of a node that has restarted.
func (l *Limiter) removeMachine(now time.Duration, machine string) {
	for node, peer := range l.peers {
		if peer.machine == machine {
			l.RemovePeer(now, node)
		}
	}
	for node, departed := range l.departed {
		if departed.machine == machine {
			l.dropTotals(node)
		}
	}
}
