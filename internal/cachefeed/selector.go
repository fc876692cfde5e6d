package cachefeed

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// FailureBackoff is how long a source that gave no answer isn't asked again.
const FailureBackoff = 5 * time.Second

// StartupGracePeriod is how long a node that begins to ask waits for a source that can tell, before it
// follows the caches itself. After a loss of all nodes none knows the others or the caches
// for about a second; if each then read the whole history of all caches, that would be two
// thirds of these bytes of a day with such a loss.
const StartupGracePeriod = 1500 * time.Millisecond

// FailbackDelay is how long another source than the best is kept, if the best hasn't failed
// meanwhile. A change of the source costs a whole transfer.
const FailbackDelay = 10 * time.Second

// Selector says which node is asked about a zone's caches. It stays with one that answers
// for a while.
type Selector struct {
	current fleet.NodeID
	// selectedAt is from when it is asked.
	selectedAt  time.Duration
	failedUntil map[fleet.NodeID]time.Duration
	// graceUntil is until when it waits for sources that can't tell yet.
	graceUntil time.Duration
}

// NewSelector returns a selector that has asked nobody.
func NewSelector(now time.Duration) *Selector {
	return &Selector{failedUntil: make(map[fleet.NodeID]time.Duration), graceUntil: now + StartupGracePeriod}
}

// CanReadDirectly tells whether the caches themselves are to be asked when no source is found.
func (s *Selector) CanReadDirectly(now time.Duration) bool { return now >= s.graceUntil }

// MarkNotReady takes in that a node can't tell: at first it is asked again.
func (s *Selector) MarkNotReady(now time.Duration, node fleet.NodeID) {
	if now >= s.graceUntil {
		s.MarkFailed(now, node)
	}
}

// Choose returns whom to ask, of an order in which all nodes of a zone agree, best first.
// It returns false if none of them has answered of late.
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

// MarkFailed takes in that a node gave no answer.
func (s *Selector) MarkFailed(now time.Duration, node fleet.NodeID) {
	s.failedUntil[node] = now + FailureBackoff
	if s.current == node {
		s.current = ""
	}
}
