package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/relay"
)

// sourceSelector says from whom this node learns what changes in the store.
type sourceSelector struct {
	mutex    sync.Mutex
	selector *relay.Selector
	reading  bool
	// changed is closed when reading changes.
	changed chan struct{}
}

func newSourceSelector(now time.Duration, options relay.Options) *sourceSelector {
	return &sourceSelector{
		selector: relay.New(now, options),
		changed:  make(chan struct{}),
	}
}

// sourceRole is what a node's role says of its reading.
type sourceRole struct {
	// settled is set once the role is known, reader if it is to read.
	settled bool
	reader  bool
	// order is whom it asks otherwise, best first.
	order []fleet.NodeID
	// standbyCount is the number of nodes that callers aren't sent to, if this is one.
	standbyCount int
}

// setRole says what this node's role is.
func (s *sourceSelector) setRole(now time.Duration, role sourceRole) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if role.settled {
		s.selector.Settle(now)
	}
	s.selector.SetOthers(role.standbyCount)
	s.selector.SetRole(now, role.reader, role.order)
	s.updateReading(now)
}

// updateReading takes over whether the node is to read now; the mutex is held.
func (s *sourceSelector) updateReading(now time.Duration) {
	reading := s.selector.Reads(now)
	if reading == s.reading {
		return
	}
	s.reading = reading
	close(s.changed)
	s.changed = make(chan struct{})
}

// readsStore tells whether this node is to read the store, and returns a channel
// that is closed when that changes.
func (s *sourceSelector) readsStore() (bool, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reading, s.changed
}

// peerToAsk returns the peer to ask, if one is to be asked now.
func (s *sourceSelector) peerToAsk(now time.Duration) (fleet.NodeID, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.selector.Asks(now) {
		return "", false
	}
	return s.selector.Source()
}

// recordWatcher notes that another node asks this one.
func (s *sourceSelector) recordWatcher(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.Watched(now)
	s.updateReading(now)
}

// needsAll tells whether this node is to know everything that the store holds.
func (s *sourceSelector) needsAll(now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.selector.NeedsAll(now)
}

// recordTablesKnown notes that this node knows everything for the first time.
func (s *sourceSelector) recordTablesKnown(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.Inform()
	s.updateReading(now)
}

// awaitRole leaves reading to others until this node knows its role.
func (s *sourceSelector) awaitRole(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.AwaitRole()
	s.updateReading(now)
}

// recordStoreCall notes whether this node's last call to the store was answered.
func (s *sourceSelector) recordStoreCall(answered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.StoreAnswered(answered)
}

// recordProof notes this node's own proof by the store.
func (s *sourceSelector) recordProof(now, at time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.Proven(now, now-at)
}

// hasProofWithin tells whether this node has a proof of its own by the store that isn't
// older than within.
func (s *sourceSelector) hasProofWithin(now, within time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.selector.ProvenWithin(now, within)
}

// recordResponse takes in a peer's answer and tells whether another one is asked next.
func (s *sourceSelector) recordResponse(now time.Duration, from fleet.NodeID, age time.Duration, proven bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	moved := s.selector.Answered(now, from, age, proven)
	s.updateReading(now)
	return moved
}

// recordFailure takes in that a peer gave no answer.
func (s *sourceSelector) recordFailure(now time.Duration, from fleet.NodeID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	moved := s.selector.Failed(now, from)
	s.updateReading(now)
	return moved
}

// awaitReading waits until this node is to read the store; false if the process
// ends before.
func (g *Gateway) awaitReading() bool {
	for {
		reading, changed := g.sources.readsStore()
		if reading {
			return g.life.Alive()
		}
		select {
		case <-changed:
		case <-g.life.Dying():
			return false
		}
	}
}
