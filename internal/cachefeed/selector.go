package cachefeed

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// RetryAfter is how long a source that gave no answer isn't asked again.
const RetryAfter = 5 * time.Second

// Patience is how long a node that begins to ask waits for a source that can tell, before it
// follows the caches itself. After a loss of all nodes none knows the others or the caches
// for about a second; if each then read the whole history of all caches, that would be two
// thirds of these bytes of a day with such a loss.
const Patience = 1500 * time.Millisecond

// ReturnAfter is how long another source than the best is kept, if the best hasn't failed
// meanwhile. A change of the source costs a whole transfer.
const ReturnAfter = 10 * time.Second

// Selector says which node is asked about a zone's caches. It stays with one that answers
// for a while.
type Selector struct {
	current fleet.NodeID
	// since is from when it is asked.
	since  time.Duration
	failed map[fleet.NodeID]time.Duration
	// patient is until when it waits for sources that can't tell yet.
	patient time.Duration
}

// NewSelector returns a selector that has asked nobody.
func NewSelector(now time.Duration) *Selector {
	return &Selector{failed: make(map[fleet.NodeID]time.Duration), patient: now + Patience}
}

// Alone tells whether the caches themselves are to be asked when no source is found.
func (s *Selector) Alone(now time.Duration) bool { return now >= s.patient }

// Unavailable takes in that a node can't tell: at first it is asked again.
func (s *Selector) Unavailable(now time.Duration, node fleet.NodeID) {
	if now >= s.patient {
		s.Failed(now, node)
	}
}

// Choose returns whom to ask, of an order in which all nodes of a zone agree, best first.
// It returns false if none of them has answered of late.
func (s *Selector) Choose(now time.Duration, order []fleet.NodeID) (fleet.NodeID, bool) {
	for node, until := range s.failed {
		if now >= until {
			delete(s.failed, node)
		}
	}
	if s.current != "" && now < s.since+ReturnAfter && slices.Contains(order, s.current) {
		return s.current, true
	}
	s.current = ""
	for _, node := range order {
		if _, failed := s.failed[node]; !failed {
			s.current, s.since = node, now
			return node, true
		}
	}
	return "", false
}

// Failed takes in that a node gave no answer.
func (s *Selector) Failed(now time.Duration, node fleet.NodeID) {
	s.failed[node] = now + RetryAfter
	if s.current == node {
		s.current = ""
	}
}
