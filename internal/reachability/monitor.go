// Package reachability decides whether a node fails to reach workers since it has lost its own links,
// or since the workers have failed.
//
// A worker that this node can't connect to, but another node can, has lost nothing: the link from here
// to it is lost. A node that has lost its links to several workers and has connected to none since is
// partitioned from all of them. Its failures then say nothing of any worker.
//
// The package has no I/O and no clock: callers pass in the monotonic time. Its types are not safe for
// concurrent use.
package reachability

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// minLostLinks is the number of workers to which the links must be lost before the node counts as
	// partitioned from all, if there are as many. Some workers may be cut off from some nodes alone.
	minLostLinks = 3
	// checkInterval is the time between two checks of lost links. Each check tries one connection.
	checkInterval = 500 * time.Millisecond
)

// Change is what an observation changes about the node.
type Change int

// Changes of the node's state.
const (
	Unchanged Change = iota
	// Partitioned means that the node is partitioned from all workers now.
	Partitioned
	// Healed means that it no longer is.
	Healed
)

// Monitor tracks which links from this node to workers are lost.
type Monitor struct {
	// lost holds when a link was last found lost, by worker.
	lost map[fleet.EngineID]time.Duration
	// connectedAt is when this node last opened a connection to a worker itself; 0 before the first.
	connectedAt time.Duration
	partitioned bool
	// checkedAt is when a lost link was last handed out for a check.
	checkedAt time.Duration
}

// New returns a monitor for a node whose links are assumed to work.
func New() *Monitor { return &Monitor{lost: make(map[fleet.EngineID]time.Duration)} }

// Connected records that this node has opened a connection to a worker itself. That ends a partition,
// after which all links are tried again.
func (m *Monitor) Connected(now time.Duration, worker fleet.EngineID) Change {
	m.connectedAt = max(m.connectedAt, now)
	if !m.partitioned {
		delete(m.lost, worker)
		return Unchanged
	}
	m.partitioned = false
	clear(m.lost)
	return Healed
}

// LinkLost records that another node has connected to a worker to which this one couldn't. known is the
// number of workers that this node knows.
func (m *Monitor) LinkLost(now time.Duration, worker fleet.EngineID, known int) Change {
	m.lost[worker] = now
	if m.partitioned || m.lostSinceConnected() < min(minLostLinks, max(known, 1)) {
		return Unchanged
	}
	m.partitioned = true
	return Partitioned
}

// lostSinceConnected returns the number of links that were lost since this node last connected to any
// worker.
func (m *Monitor) lostSinceConnected() int {
	count := 0
	for _, at := range m.lost {
		if at > m.connectedAt {
			count++
		}
	}
	return count
}

// Forget drops a worker that is gone.
func (m *Monitor) Forget(worker fleet.EngineID) { delete(m.lost, worker) }

// IsPartitioned reports whether the node is partitioned from all workers.
func (m *Monitor) IsPartitioned() bool { return m.partitioned }

// IsLinkLost reports whether the link to a worker is lost.
func (m *Monitor) IsLinkLost(worker fleet.EngineID) bool {
	_, lost := m.lost[worker]
	return m.partitioned || lost
}

// ConnectedAt returns when this node last opened a connection to a worker itself; 0 before the first.
func (m *Monitor) ConnectedAt() time.Duration { return m.connectedAt }

// NextCheck returns the worker whose link has been lost for longest without a check, if a check is due.
// The caller is to try a connection and to report it by Connected or StillLost.
func (m *Monitor) NextCheck(now time.Duration) (fleet.EngineID, bool) {
	if len(m.lost) == 0 || now < m.checkedAt+checkInterval {
		return "", false
	}
	m.checkedAt = now
	workers := make([]fleet.EngineID, 0, len(m.lost))
	for worker := range m.lost {
		workers = append(workers, worker)
	}
	slices.Sort(workers)
	return slices.MinFunc(workers, func(a, b fleet.EngineID) int { return int(m.lost[a] - m.lost[b]) }), true
}

// StillLost records that a checked link is still lost.
func (m *Monitor) StillLost(now time.Duration, worker fleet.EngineID) {
	if _, lost := m.lost[worker]; lost {
		m.lost[worker] = now
	}
}
