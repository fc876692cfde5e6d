package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// storeEpoch is the highest epoch that the store has reported, and when the store was last restored. It
// is safe for concurrent use.
type storeEpoch struct {
	mutex sync.Mutex
	// highest was first reported to this process at reportedAt, if reported is set.
	reported   bool
	reportedAt time.Duration
	highest    fleet.StoreEpoch
	// restoredAt is when this process or a peer learnt that restoredEpoch had begun, if restored is set.
	restored      bool
	restoredAt    time.Duration
	restoredEpoch fleet.StoreEpoch
	// formerPeerEpoch is the lowest epoch that a peer knew before the store reported one to this
	// process, if formerPeer is set.
	formerPeer      bool
	formerPeerEpoch fleet.StoreEpoch
}

// peerEpoch is what a peer knows of the store's epoch.
type peerEpoch struct {
	highest fleet.StoreEpoch
	// restoredAt is when the peer learnt that this epoch had begun, or earlier; restored is set if that
	// is less than restoreSettleTime ago.
	restored   bool
	restoredAt time.Duration
}

// observe records an epoch. It returns the highest one before, whether this is the first one that was
// reported, and whether the epoch has increased since.
func (s *storeEpoch) observe(now time.Duration, epoch fleet.StoreEpoch) (previous fleet.StoreEpoch, first, restored bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	previous, first = s.highest, !s.reported
	restored = s.reported && epoch > s.highest
	isUnknownToPeer := first && s.formerPeer && epoch > s.formerPeerEpoch
	if restored || isUnknownToPeer {
		s.recordRestore(now, epoch)
	}
	if first {
		s.reported, s.reportedAt = true, now
	}
	s.highest = max(s.highest, epoch)
	return previous, first, restored
}

// observePeer records what a peer knows. A process that started after the store was restored can't see
// that by itself: peers have seen the epoch begin, or don't know it yet.
func (s *storeEpoch) observePeer(peer peerEpoch) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.restored && peer.highest <= s.restoredEpoch {
		return
	}
	if !s.reported && (!s.formerPeer || peer.highest < s.formerPeerEpoch) {
		s.formerPeer, s.formerPeerEpoch = true, peer.highest
	}
	switch {
	case s.reported && peer.highest < s.highest:
		s.recordRestore(s.reportedAt, s.highest)
	case peer.restored:
		s.recordRestore(peer.restoredAt, peer.highest)
	}
}

// recordRestore records when an epoch began. The mutex must be held.
func (s *storeEpoch) recordRestore(at time.Duration, epoch fleet.StoreEpoch) {
	s.restored, s.restoredAt, s.restoredEpoch = true, at, epoch
}

// report returns what this process knows, for its peers; false if it knows no epoch.
func (s *storeEpoch) report(now time.Duration) (known peerEpoch, isKnown bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	restored := s.restored && s.restoredEpoch >= s.highest && now < s.restoredAt+restoreSettleTime
	return peerEpoch{highest: s.highest, restored: restored, restoredAt: s.restoredAt}, s.reported
}

// current returns the highest epoch that the store has reported, 0 if none.
func (s *storeEpoch) current() fleet.StoreEpoch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.highest
}

// isSettling reports whether a time is less than restoreSettleTime after the store was restored.
func (s *storeEpoch) isSettling(at time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.restored && at < s.restoredAt+restoreSettleTime
}

// observeStoreEpoch records an epoch of the store, from its own response or from a peer that reads it.
// If it has increased, the state that this gateway keeps in the store is written again where that is
// lost.
func (g *Gateway) observeStoreEpoch(epoch fleet.StoreEpoch) {
	previous, first, restored := g.storeEpoch.observe(g.now(), epoch)
	if !first && !restored {
		return
	}
	g.lease.ObserveEpoch(epoch)
	g.metrics.storeEpoch.Set(float64(epoch))
	if !restored {
		return
	}
	g.deliveries.handleRestore(g.now())
	g.logger.Warn().Uint64("previous", uint64(previous)).Uint64("epoch", uint64(epoch)).Msg("store_epoch_changed")
}

// writeStoreEpoch adds what this gateway knows of the store's epoch to a report to a peer.
func (g *Gateway) writeStoreEpoch(now time.Duration, report *rpc.LoadReport) {
	known, isKnown := g.storeEpoch.report(now)
	if !isKnown {
		return
	}
	report.StoreEpochPlusOne = uint64(known.highest) + 1
	if known.restored {
		report.StoreRestoreAgePlusOne = uint32((now - known.restoredAt).Milliseconds()) + 1
	}
}

// applyPeerEpoch applies what a peer knows of the store's epoch. The report was written at writtenAt or
// later.
func (g *Gateway) applyPeerEpoch(writtenAt time.Duration, report *rpc.LoadReport) {
	if report.GetStoreEpochPlusOne() == 0 {
		return
	}
	peer := peerEpoch{highest: fleet.StoreEpoch(report.GetStoreEpochPlusOne() - 1)}
	if age := report.GetStoreRestoreAgePlusOne(); age > 0 {
		peer.restored = true
		peer.restoredAt = writtenAt - time.Duration(age)*time.Millisecond
	}
	g.storeEpoch.observePeer(peer)
}
