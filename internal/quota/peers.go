package quota

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// peer is another node that reports what it admits.
type peer struct {
	machine string
	// weight is the peer's requests for each one that this node takes. Both are
	// measured at the same time, so that a burst at all nodes changes nothing. Of a
	// peer that hasn't reported yet, nodes assume that it takes as many as they do.
	weight float64
	// lastHeardAt is when the peer last reported, or when it became known; told is set once
	// it has reported.
	lastHeardAt time.Duration
	reported    bool
	// unreachable is set while the peer is out of touch, share the part of the limit that
	// is left to it meanwhile, and since the time from which it is.
	unreachable      bool
	share            float64
	unreachableSince time.Duration
}

// AddPeer makes a node known that is to report, so that it is left a part if it doesn't.
func (l *Limiter) AddPeer(now time.Duration, node fleet.NodeID, machine string) {
	if l.peers[node] != nil {
		return
	}
	l.drainAll(now)
	l.expireDeparted(now)
	if _, back := l.departed[node]; back {
		delete(l.departed, node)
	} else {
		l.removeMachine(now, machine)
	}
	l.peers[node] = &peer{machine: machine, weight: 1, lastHeardAt: now}
}

// Observe takes a peer's report in. The first whole report of a peer that knows what
// was used before ends this node's time as a newcomer.
func (l *Limiter) Observe(now time.Duration, report Report) {
	l.drainAll(now)
	l.AddPeer(now, report.Node, report.Machine)
	known := l.peers[report.Node]
	known.lastHeardAt, known.reported = now, true
	if report.RequestRate >= 0 {
		weight := (report.RequestRate + 1) / (l.ownRate + 1)
		known.weight += (weight - known.weight) * weightSmoothing
	}
	if l.joining && !report.Joining {
		l.synchronize(report)
	}
	for _, use := range report.Usages {
		if tenant := l.accounts[use.Tenant]; tenant != nil {
			tenant.observe(now, report, use, known.reservedUnits(now, tenant.limit))
		}
	}
	known.unreachable = false
}

// synchronize takes over from a peer what was used before this node's start. Tenants that
// the peer doesn't name have used nothing.
func (l *Limiter) synchronize(report Report) {
	l.joining = false
	for _, tenant := range l.accounts {
		tenant.synchronize(Usage{})
	}
	for _, use := range report.Usages {
		if tenant := l.accounts[use.Tenant]; tenant != nil {
			tenant.synchronize(use)
		}
	}
}

// reservedUnits returns the units of a limit that were reservedUnits to a peer while it was out of
// touch.
func (p *peer) reservedUnits(now time.Duration, limit Limit) float64 {
	if !p.unreachable {
		return 0
	}
	return p.share * limit.Rate * (now - p.unreachableSince).Seconds()
}

// SetOwnRate says how many requests a second this node takes.
func (l *Limiter) SetOwnRate(rate float64) { l.ownRate = max(rate, 0) }

// SetReportRounds says in how many rounds of reports each peer is heard once.
func (l *Limiter) SetReportRounds(rounds int) { l.reportRounds = max(rounds, 1) }

// HasReportedSince tells whether a peer has reported since a time.
func (l *Limiter) HasReportedSince(node fleet.NodeID, at time.Duration) bool {
	known := l.peers[node]
	return known != nil && known.reported && known.lastHeardAt >= at
}

// Peers returns the peers whose reports count.
func (l *Limiter) Peers() []fleet.NodeID {
	nodes := make([]fleet.NodeID, 0, len(l.peers))
	for node := range l.peers {
		nodes = append(nodes, node)
	}
	return nodes
}

// departedPeer is a forgotten peer.
type departedPeer struct {
	machine string
	at      time.Duration
}

// departedRetention is how long what a forgotten peer has told is remembered: two exchanges. The
// nodes that share loads change several times within seconds of a start. After that others
// have told of the peer's use by their deficits.
const departedRetention = 1200 * time.Millisecond

// RemovePeer drops a peer that is known to report to others.
func (l *Limiter) RemovePeer(now time.Duration, node fleet.NodeID) {
	known := l.peers[node]
	if known == nil {
		return
	}
	l.drainAll(now)
	delete(l.peers, node)
	l.departed[node] = departedPeer{machine: known.machine, at: now}
}

// expireDeparted drops what peers have told that were forgotten for too long.
func (l *Limiter) expireDeparted(now time.Duration) {
	for node, left := range l.departed {
		if now > left.at+departedRetention {
			l.dropTotals(node)
		}
	}
}

// dropTotals drops what a peer has told.
func (l *Limiter) dropTotals(node fleet.NodeID) {
	delete(l.departed, node)
	for _, tenant := range l.accounts {
		delete(tenant.peerTotals, node)
	}
}

// Leave makes this node a newcomer: it no longer hears what others admit.
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
	for _, tenant := range l.accounts {
		tenant.recent = 0
	}
}

// removeMachine drops the earlier run of a node that has restarted.
func (l *Limiter) removeMachine(now time.Duration, machine string) {
	for node, known := range l.peers {
		if known.machine == machine {
			l.RemovePeer(now, node)
		}
	}
	for node, left := range l.departed {
		if left.machine == machine {
			l.dropTotals(node)
		}
	}
}
