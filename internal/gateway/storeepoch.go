package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// A store that is restored from an older copy has lost what it acknowledged last, until the operator
// writes it again. That this gateway has read such a store therefore doesn't prove that its
// configuration is current: it may have missed a change that the store has lost.

const (
	// restoreSettleTime is how long a proof from a restored store doesn't count unless the operator
	// has written again. It covers one exchange of load reports, in which peers state a newer
	// configuration.
	restoreSettleTime = loadExchangeInterval + loadExchangeTimeout
	// peerConfigurationTTL is how long a peer's newer configuration keeps proofs from counting. The
	// peer may be gone, and its configuration lost with it.
	peerConfigurationTTL = 10 * time.Second
)

// Reasons why a proof from the store doesn't count.
const (
	reasonRestored  = "store restored"
	reasonPeerNewer = "peer has a newer configuration"
)

// storeEpoch is the highest epoch that the store has reported, and the newest configuration that a
// peer has stated. It is safe for concurrent use.
type storeEpoch struct {
	mutex    sync.Mutex
	reported bool
	highest  fleet.StoreEpoch
	// restoredAt is when the epoch last increased while this process ran.
	restored   bool
	restoredAt time.Duration
	// peerVersion is the highest version of a configuration at a peer, first stated at peerVersionAt.
	peerVersion   fleet.Revision
	peerVersionAt time.Duration
}

// observe records an epoch. It returns the highest one before and whether it has increased.
func (s *storeEpoch) observe(now time.Duration, epoch fleet.StoreEpoch) (previous fleet.StoreEpoch, increased bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	previous, increased = s.highest, epoch > s.highest
	if increased && s.reported {
		s.restored, s.restoredAt = true, now
	}
	s.reported = true
	s.highest = max(s.highest, epoch)
	return previous, increased
}

// current returns the highest epoch that the store has reported, 0 if none.
func (s *storeEpoch) current() fleet.StoreEpoch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.highest
}

// observePeerVersion records the version of the configuration at a peer.
func (s *storeEpoch) observePeerVersion(now time.Duration, version fleet.Revision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if version > s.peerVersion {
		s.peerVersion, s.peerVersionAt = version, now
	}
}

// isSettling reports whether the store was restored less than restoreSettleTime ago.
func (s *storeEpoch) isSettling(now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.restored && now < s.restoredAt+restoreSettleTime
}

// isBehindPeer reports whether a peer has stated a newer configuration than the given version.
func (s *storeEpoch) isBehindPeer(now time.Duration, version fleet.Revision) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peerVersion > version && now < s.peerVersionAt+peerConfigurationTTL
}

// observeStoreEpoch records the epoch in a response of the store and logs when it increases.
func (g *Gateway) observeStoreEpoch(epoch fleet.StoreEpoch) {
	previous, increased := g.storeEpoch.observe(g.now(), epoch)
	if !increased {
		return
	}
	g.lease.ObserveEpoch(epoch)
	g.deliveries.handleRestore(g.now())
	g.metrics.storeEpoch.Set(float64(epoch))
	g.logger.Warn().Uint64("previous", uint64(previous)).Uint64("epoch", uint64(epoch)).Msg("store_epoch_changed")
}

// reasonAgainstProof returns why a proof from the store doesn't count now; empty if it does.
func (g *Gateway) reasonAgainstProof() string {
	now := g.now()
	snapshot := g.configuration.Current()
	if snapshot == nil {
		return ""
	}
	readAt := g.table(TableOperator).cache.SnapshotRevision()
	writtenSince := snapshot.Revision.Epoch() == readAt.Epoch() && snapshot.Revision > readAt
	switch {
	case g.storeEpoch.isBehindPeer(now, snapshot.Table.Version()):
		return reasonPeerNewer
	case g.storeEpoch.isSettling(now) && !writtenSince:
		return reasonRestored
	default:
		return ""
	}
}
