package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/relay"
)

// sources says from whom this node learns what changes in the store.
type sources struct {
	mutex    sync.Mutex
	selector *relay.Selector
	reading  bool
	// changed is closed when reading changes.
	changed chan struct{}
}

func newSources(now time.Duration, options relay.Options) *sources {
	return &sources{
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
	// others is the number of nodes that callers aren't sent to, if this is one.
	others int
}

// setRole says what this node's role is.
func (s *sources) setRole(now time.Duration, role sourceRole) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if role.settled {
		s.selector.ConfirmRole(now)
	}
	s.selector.SetNonServingNodes(role.others)
	s.selector.SetRole(now, role.reader, role.order)
	s.refresh(now)
}

// refresh takes over whether the node is to read now; the mutex is held.
func (s *sources) refresh(now time.Duration) {
	reading := s.selector.ShouldReadStore(now)
	if reading == s.reading {
		return
	}
	s.reading = reading
	close(s.changed)
	s.changed = make(chan struct{})
}

// reads tells whether this node is to read the store, and returns a channel
// that is closed when that changes.
func (s *sources) reads() (bool, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reading, s.changed
}

// asks returns the peer to ask, if one is to be asked now.
func (s *sources) asks(now time.Duration) (fleet.NodeID, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.selector.ShouldAskPeer(now) {
		return "", false
	}
	return s.selector.Source()
}

// watched notes that another node asks this one.
func (s *sources) watched(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.ObserveWatch(now)
	s.refresh(now)
}

// needsAll tells whether this node is to know everything that the store holds.
func (s *sources) needsAll(now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.selector.NeedsFullState(now)
}

// inform notes that this node knows everything for the first time.
func (s *sources) inform(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.MarkSynced()
	s.refresh(now)
}

// awaitRole leaves reading to others until this node knows its role.
func (s *sources) awaitRole(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.AwaitRole()
	s.refresh(now)
}

// storeAnswered notes whether this node's last call to the store was answered.
func (s *sources) storeAnswered(answered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.ObserveStoreCall(answered)
}

// proven notes this node's own proof by the store.
func (s *sources) proven(now, at time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.ObserveOwnProof(now, now-at)
}

// provenWithin tells whether this node has a proof of its own by the store that isn't
// older than within.
func (s *sources) provenWithin(now, within time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.selector.HasProofWithin(now, within)
}

// answered takes in a peer's answer and tells whether another one is asked next.
func (s *sources) answered(now time.Duration, from fleet.NodeID, age time.Duration, proven bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	moved := s.selector.ObserveAnswer(now, from, age, proven)
	s.refresh(now)
	return moved
}

// failed takes in that a peer gave no answer.
func (s *sources) failed(now time.Duration, from fleet.NodeID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	moved := s.selector.ObserveFailure(now, from)
	s.refresh(now)
	return moved
}

// awaitReading waits until this node is to read the store; false if the process
// ends before.
func (g *Gateway) awaitReading() bool {
	for {
		reading, changed := g.sources.reads()
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
