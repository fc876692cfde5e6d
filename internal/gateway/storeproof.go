package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// A store that is restored from an older copy has lost what it acknowledged last, until the operator
// writes it again. That this gateway has read such a store therefore doesn't prove that its
// configuration is current: it may have missed a change that the store has lost. The peers may know
// of it.

const (
	// restoreSettleTime is how long a proof from a restored store doesn't count unless the operator
	// has written again. It covers one exchange of load reports.
	restoreSettleTime = loadExchangeInterval + loadExchangeTimeout
	// startSettleTime is how long a gateway that has just started waits at most for the report of a
	// peer before its first proof from the store counts. The store may have been restored shortly
	// before. It is shorter than startupHold, so that no request is refused for it.
	startSettleTime = 200 * time.Millisecond
	// startExchangeFanout is the number of peers that it asks at once, startExchangeRetry the time
	// between two rounds.
	startExchangeFanout = 3
	startExchangeRetry  = 40 * time.Millisecond
	// peerConfigurationTTL is how long a peer's newer configuration keeps proofs from counting. The
	// peer may be gone, and its configuration lost with it.
	peerConfigurationTTL = 10 * time.Second
)

// Reasons why a proof from the store doesn't count.
const (
	reasonRestored  = "store restored"
	reasonPeerNewer = "peer has a newer configuration"
)

// peerConfigurations is the newest configuration that a peer has stated. It is safe for concurrent
// use.
type peerConfigurations struct {
	mutex sync.Mutex
	// version is the highest version of a configuration at a peer, first stated at statedAt; 0 if no
	// peer has stated one.
	version  fleet.Revision
	statedAt time.Duration
}

// observe records the version of the configuration at a peer, 0 if it has none.
func (p *peerConfigurations) observe(now time.Duration, version fleet.Revision) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if version > p.version {
		p.version, p.statedAt = version, now
	}
}

// isKnown reports whether a peer has stated a configuration.
func (p *peerConfigurations) isKnown() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.version > 0
}

// isNewerThan reports whether a peer has stated a newer configuration than the given version.
func (p *peerConfigurations) isNewerThan(now time.Duration, version fleet.Revision) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.version > version && now < p.statedAt+peerConfigurationTTL
}

// startProof holds a starting gateway's first proof from the store back until a peer has reported its
// configuration or startSettleTime has passed. It is safe for concurrent use.
type startProof struct {
	mutex    sync.Mutex
	released bool
	// at is the time of the newest proof that is held back; held is set if there is one.
	held bool
	at   time.Duration
}

// hold holds a proof back, and reports whether it did.
func (s *startProof) hold(at time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.released {
		return false
	}
	s.held, s.at = true, max(s.at, at)
	return true
}

// release lets proofs pass from now on. It returns the one that was held back, if any.
func (s *startProof) release() (at time.Duration, held bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.released = true
	return s.at, s.held
}

// reasonAgainstProof returns why a proof from the store of a time doesn't count; empty if it does. The
// proof may be older than the process's knowledge of it, if the process was suspended.
func (g *Gateway) reasonAgainstProof(at time.Duration) string {
	snapshot := g.configuration.Current()
	switch {
	case snapshot == nil:
		return ""
	case g.peerConfigurations.isNewerThan(g.now(), snapshot.Table.Version()):
		return reasonPeerNewer
	case g.storeEpoch.isSettling(at) && !g.isWrittenSinceRead(snapshot.Revision):
		return reasonRestored
	default:
		return ""
	}
}

// isWrittenSinceRead reports whether the configuration with a revision was written after the operator
// table was last read in full, in the same epoch.
func (g *Gateway) isWrittenSinceRead(revision fleet.Revision) bool {
	read := g.table(TableOperator).cache.SnapshotRevision()
	return revision.Epoch() == read.Epoch() && revision > read
}

// mayHavePredecessors reports whether other gateways may have run before this one.
func (g *Gateway) mayHavePredecessors() bool {
	return !g.settings().FirstStart && len(g.settings().Seeds) > 0
}

// exchangeAtStart exchanges load reports with some peers as soon as this gateway has joined them, and
// then lets its proofs from the store count.
func (g *Gateway) exchangeAtStart() error {
	for g.mayHavePredecessors() && g.now() < startSettleTime && !g.peerConfigurations.isKnown() {
		peers := g.otherMembers()
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, member := range peers[:min(len(peers), startExchangeFanout)] {
			go g.exchangeLoad(member)
		}
		if !g.pause(startExchangeRetry) {
			return nil
		}
	}
	if at, held := g.startProof.release(); held {
		g.recordStoreProof(at)
	}
	return nil
}

// otherMembers returns the gateways that this one knows to be reachable.
func (g *Gateway) otherMembers() []membership.Member {
	var others []membership.Member
	for _, member := range g.peers.View().Routable() {
		if member.Node != g.node {
			others = append(others, member)
		}
	}
	return others
}
