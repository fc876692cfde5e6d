package gateway

import (
	"sync"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// storeEpoch is the highest epoch that the store has reported. It is safe for concurrent use.
type storeEpoch struct {
	mutex   sync.Mutex
	highest fleet.StoreEpoch
}

// observe records an epoch. It returns the highest one before and whether it has increased.
func (s *storeEpoch) observe(epoch fleet.StoreEpoch) (previous fleet.StoreEpoch, increased bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	previous = s.highest
	s.highest = max(s.highest, epoch)
	return previous, epoch > previous
}

// observeStoreEpoch records the epoch in a response of the store and logs when it increases.
func (g *Gateway) observeStoreEpoch(epoch fleet.StoreEpoch) {
	previous, increased := g.storeEpoch.observe(epoch)
	if !increased {
		return
	}
	g.lease.ObserveEpoch(epoch)
	g.metrics.storeEpoch.Set(float64(epoch))
	g.logger.Warn().Uint64("previous", uint64(previous)).Uint64("epoch", uint64(epoch)).Msg("store_epoch_changed")
}
