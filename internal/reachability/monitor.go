// Package reachability decides whether a node fails to reach workers since it has lost its own links,
// or since the workers have failed.
//
// A worker that this node can't connect to, but another node can, has lost nothing: the link from here
// to it is lost. A node that has lost its links to several workers and has connected to none since is
// partitioned from all of them. Its failures then say nothing of any worker. While neither this node nor
// any other reaches a worker, nobody is partitioned, and no request can be served.
//
// The package has no I/O and no clock: callers pass in the monotonic time. Its types are not safe for
// concurrent use.
package reachability

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// minLostLinks is the number of workers to which the links must be lost before the node counts as
	// partitioned from all, if there are as many. Some workers may be cut off from some nodes alone.
	minLostLinks = 3
	// checkInterval is the time between two checks of the same lost link. Each check tries one connection.
	checkInterval = time.Second
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
	// lost holds the links that are lost, by worker.
	lost map[fleet.EngineID]lostLink
	// connectedAt is when this node last opened a connection to a worker itself; 0 before the first.
	connectedAt time.Duration
	partitioned bool
	// unreached holds the workers to which no way was found since one was last reached.
	unreached map[fleet.EngineID]bool
	// noneReachable is set while there are enough of them.
	noneReachable bool
}

// lostLink is a link that is lost.
type lostLink struct {
	// foundAt is when it was last found lost, checkAt when it is due for a check.
	foundAt, checkAt time.Duration
}

// New returns a monitor for a node whose links are assumed to work.
func New() *Monitor {
	return &Monitor{lost: make(map[fleet.EngineID]lostLink), unreached: make(map[fleet.EngineID]bool)}
}

// Connected records that this node has opened a connection to a worker itself. That ends a partition;
// links that were found lost one by one stay so until each is checked, which is due at once.
func (m *Monitor) Connected(now time.Duration, worker fleet.EngineID) Change {
	m.connectedAt = max(m.connectedAt, now)
	m.Reached()
	delete(m.lost, worker)
	if !m.partitioned {
		return Unchanged
	}
	m.partitioned = false
	for other, link := range m.lost {
		m.lost[other] = lostLink{foundAt: link.foundAt, checkAt: now}
	}
	return Healed
}

// LinkLost records that another node has connected to a worker to which this one couldn't. known is the
// number of workers that this node knows.
func (m *Monitor) LinkLost(now time.Duration, worker fleet.EngineID, known int) Change {
	m.Reached()
	m.lost[worker] = lostLink{foundAt: now, checkAt: now + checkInterval}
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
	for _, link := range m.lost {
		if link.foundAt > m.connectedAt {
			count++
		}
	}
	return count
}

// Reached records that any worker was reached or heard, by this node or through another one.
func (m *Monitor) Reached() {
	clear(m.unreached)
	m.noneReachable = false
}

// Unreached records that neither this node nor another one that was asked found a way to a worker, nor to
// any other. known is the number of workers that this node knows. It reports whether none can be reached
// from now on.
func (m *Monitor) Unreached(worker fleet.EngineID, known int) bool {
	m.unreached[worker] = true
	if m.noneReachable || len(m.unreached) < min(minLostLinks, max(known, 1)) {
		return false
	}
	m.noneReachable = true
	return true
}

// IsNoneReachable reports whether no way was found to several workers, or to all if there are fewer, since
// one was last reached.
func (m *Monitor) IsNoneReachable() bool { return m.noneReachable }

// Forget drops a worker that is gone.
func (m *Monitor) Forget(worker fleet.EngineID) {
	delete(m.lost, worker)
	delete(m.unreached, worker)
}

// IsPartitioned reports whether the node is partitioned from all workers.
func (m *Monitor) IsPartitioned() bool { return m.partitioned }

// IsLinkLost reports whether the link to a worker is lost.
func (m *Monitor) IsLinkLost(worker fleet.EngineID) bool {
	_, lost := m.lost[worker]
	return m.partitioned || lost
}

// ConnectedAt returns when this node last opened a connection to a worker itself; 0 before the first.
func (m *Monitor) ConnectedAt() time.Duration { return m.connectedAt }

// HasLostLinks reports whether there is anything to check: a lost link, or a worker without a way.
func (m *Monitor) HasLostLinks() bool {
	return m.partitioned || m.noneReachable || len(m.lost) > 0
}

// NextChecks returns the workers whose links are due for a check, at most limit. The caller is to try a
// connection to each, and reports those that succeed by Connected.
func (m *Monitor) NextChecks(now time.Duration, limit int) []fleet.EngineID {
	var due []fleet.EngineID
	for worker, link := range m.lost {
		if now >= link.checkAt {
			due = append(due, worker)
		}
	}
	slices.SortFunc(due, func(a, b fleet.EngineID) int {
		return cmp.Or(cmp.Compare(m.lost[a].checkAt, m.lost[b].checkAt), cmp.Compare(a, b))
	})
	due = due[:min(len(due), limit)]
	for _, worker := range due {
		m.lost[worker] = lostLink{foundAt: m.lost[worker].foundAt, checkAt: now + checkInterval}
	}
	return due
}
