package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/relay"
)

// sourceSelector selects where this gateway gets changes of the store from: the store itself or a
// peer. It is a relay.Selector that is safe for concurrent use.
type sourceSelector struct {
	mutex    sync.Mutex
	selector *relay.Selector
	reading  bool
	// changed is closed and replaced when reading changes.
	changed chan struct{}
}

func newSourceSelector(now time.Duration, options relay.Options) *sourceSelector {
	return &sourceSelector{
		selector: relay.New(now, options),
		changed:  make(chan struct{}),
	}
}

// sourceRole is the part of a gateway's role that the choice of a source depends on.
type sourceRole struct {
	// settled is set once the role is known, reader if the gateway reads the store.
	settled bool
	reader  bool
	// order lists the peers to ask otherwise, best first.
	order []fleet.NodeID
	// nonServingCount is the number of gateways that aren't serving, if this is one of them.
	nonServingCount int
}

// setRole sets this gateway's role.
func (s *sourceSelector) setRole(now time.Duration, role sourceRole) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if role.settled {
		s.selector.ConfirmRole(now)
	}
	s.selector.SetNonServingNodes(role.nonServingCount)
	s.selector.SetRole(now, role.reader, role.order)
	s.updateReading(now)
}

// updateReading updates reading from the selector. The mutex must be held.
func (s *sourceSelector) updateReading(now time.Duration) {
	reading := s.selector.ShouldReadStore(now)
	if reading == s.reading {
		return
	}
	s.reading = reading
	close(s.changed)
	s.changed = make(chan struct{})
}

// readsStore reports whether this gateway is to read the store, and returns a channel that is
// closed when that changes.
func (s *sourceSelector) readsStore() (bool, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reading, s.changed
}

// peerToAsk returns the peer to ask, and whether there is one now.
func (s *sourceSelector) peerToAsk(now time.Duration) (fleet.NodeID, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.selector.ShouldAskPeer(now) {
		return "", false
	}
	return s.selector.Source()
}

// recordWatcher records that another gateway asks this one for changes.
func (s *sourceSelector) recordWatcher(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.ObserveWatch(now)
	s.updateReading(now)
}

// needsFullState reports whether this gateway needs the complete tables.
func (s *sourceSelector) needsFullState(now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.selector.NeedsFullState(now)
}

// recordTablesLoaded records that this gateway has loaded all tables.
func (s *sourceSelector) recordTablesLoaded(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.MarkSynced()
	s.updateReading(now)
}

// awaitRole stops this gateway from reading the store until its role is known.
func (s *sourceSelector) awaitRole(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.AwaitRole()
	s.updateReading(now)
}

// recordStoreCall records whether the store answered this gateway's last call.
func (s *sourceSelector) recordStoreCall(answered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.ObserveStoreCall(answered)
}

// recordProof records a freshness proof that this gateway got from the store itself.
func (s *sourceSelector) recordProof(now, provenAt time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selector.ObserveOwnProof(now, now-provenAt)
}

// hasProofWithin reports whether this gateway has a freshness proof from the store itself whose age
// is at most within.
func (s *sourceSelector) hasProofWithin(now, within time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.selector.HasProofWithin(now, within)
}

// recordResponse records a peer's response and reports whether another peer is asked next.
func (s *sourceSelector) recordResponse(now time.Duration, from fleet.NodeID, age time.Duration, proven bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changed := s.selector.ObserveAnswer(now, from, age, proven)
	s.updateReading(now)
	return changed
}

// recordFailure records that a peer didn't answer and reports whether another peer is asked next.
func (s *sourceSelector) recordFailure(now time.Duration, from fleet.NodeID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changed := s.selector.ObserveFailure(now, from)
	s.updateReading(now)
	return changed
}

// awaitReading waits until this gateway is to read the store. It returns false if the process ends
// first.
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
