package cachefeed

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// FailureBackoff is how long a source that did not answer is not selected again.
const FailureBackoff = 5 * time.Second

// StartupGracePeriod is how long a node waits after its start for a source that is ready, before it
// reads the caches directly. It keeps the nodes from all reading the whole history of the caches
// after a restart of the fleet.
const StartupGracePeriod = 1500 * time.Millisecond

// FailbackDelay is how long a source is kept before a better one replaces it. Each change of the
// source costs a full transfer.
const FailbackDelay = 10 * time.Second

// Selector chooses the node to query about the caches of a zone. It stays with a source that
// answers for FailbackDelay.
type Selector struct {
	current fleet.NodeID
	// selectedAt is the time at which current was selected.
	selectedAt  time.Duration
	failedUntil map[fleet.NodeID]time.Duration
	// graceUntil is the end of the startup grace period.
	graceUntil time.Duration
}

// NewSelector returns a selector without a source. The startup grace period begins at now.
func NewSelector(now time.Duration) *Selector {
	return &Selector{failedUntil: make(map[fleet.NodeID]time.Duration), graceUntil: now + StartupGracePeriod}
}

// CanReadDirectly reports whether the caches may be read directly if no source is available.
func (s *Selector) CanReadDirectly(now time.Duration) bool { return now >= s.graceUntil }

// MarkNotReady records that a node has no data yet. During the startup grace period it may be
// selected again at once; after that it counts as failed.
func (s *Selector) MarkNotReady(now time.Duration, node fleet.NodeID) {
	if now >= s.graceUntil {
		s.MarkFailed(now, node)
	}
}

// Choose returns the source to query. order lists the candidates, best first; all nodes of a zone
// use the same order. Choose returns false if all candidates have failed recently.
func (s *Selector) Choose(now time.Duration, order []fleet.NodeID) (fleet.NodeID, bool) {
	for node, until := range s.failedUntil {
		if now >= until {
			delete(s.failedUntil, node)
		}
	}
	if s.current != "" && now < s.selectedAt+FailbackDelay && slices.Contains(order, s.current) {
		return s.current, true
	}
	s.current = ""
	for _, node := range order {
		if _, failed := s.failedUntil[node]; !failed {
			s.current, s.selectedAt = node, now
			return node, true
		}
	}
	return "", false
}

// MarkFailed records that a node did not answer.
func (s *Selector) MarkFailed(now time.Duration, node fleet.NodeID) {
	s.failedUntil[node] = now + FailureBackoff
	if s.current == node {
		s.current = ""
	}
}
