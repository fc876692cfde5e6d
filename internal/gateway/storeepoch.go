package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// storeEpoch is the highest epoch that the store has reported. It is safe for concurrent use.
type storeEpoch struct {
	mutex    sync.Mutex
	reported bool
	highest  fleet.StoreEpoch
	// restoredAt is when the epoch last increased while this process ran, if restored is set.
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
	if restored {
		s.restored, s.restoredAt = true, now
	}
	s.reported = true
	s.highest = max(s.highest, epoch)
	return previous, first, restored
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
