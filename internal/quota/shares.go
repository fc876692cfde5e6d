package quota

import "time"

// drainAll updates all accounts to now. It is called before a change that affects the shares.
func (l *Limiter) drainAll(now time.Duration) {
	shares := l.shares(now)
	for _, account := range l.accounts {
		account.drain(now, shares)
	}
}

// shares holds fractions of a limit. It is valid until the next call of Limiter.shares.
type shares struct {
	now time.Duration
	// reachable is the share of this node and its reachable peers.
	reachable float64
	// stale lists the reachable peers without a recent report, with their shares.
	stale []stalePeer
	// joining is the share of this node while it is joining.
	joining float64
}

// stalePeer is a peer that counts as unreachable for a tenant that has been near its limit for
// longer than timeout.
type stalePeer struct {
	timeout time.Duration
	share   float64
}

// forAccount returns the share that applies to a tenant. While the tenant is near its limit, the
// shares of peers that haven't reported in that time are reserved for them.
func (s shares) forAccount(account *account) float64 {
	share := s.reachable
	if !account.nearLimit {
		return share
	}
	for _, peer := range s.stale {
		if s.now > account.nearLimitSince+peer.timeout {
			share -= peer.share
		}
	}
	return max(share, 0)
}

// shares returns the current shares. Those of the two sides of a partition add up to 1, since both
// sides use the request rates from before it.
func (l *Limiter) shares(now time.Duration) shares {
	l.detectPause(now)
	l.updateJoining(now)
	l.detectUnreachable(now)
	result := shares{now: now, reachable: 1, joining: 1.0 / assumedJoiningNodes, stale: l.stalePeers[:0]}
	total, reachable := 1.0, 1
	for _, peer := range l.peers {
		if peer.unreachable {
			result.reachable -= peer.share
			continue
		}
		total += peer.weight
		reachable++
	}
	result.reachable = max(result.reachable, 0)
	stale := time.Duration(l.reportRounds) * nearLimitPeerTimeout
	for _, peer := range l.peers {
		if !peer.unreachable && now > peer.lastReportAt+stale {
			result.stale = append(result.stale, stalePeer{timeout: stale, share: result.reachable * peer.weight / total})
		}
	}
	if l.joinTimedOut && now < l.started+partitionGuardPeriod {
		result.reachable *= min(float64(reachable)/assumedJoiningNodes, 1)
	}
	if now >= l.started+joinTimeout {
		result.joining *= isolatedJoiningFraction
	}
	l.reachableShare, l.stalePeers = result.reachable, result.stale
	return result
}

// detectPause detects that this node was paused, as a frozen process is. Its peers then appear
// unreachable without being so: all that they admitted during the pause would count as used at
// once, here and, through this node's reports, at all other nodes.
func (l *Limiter) detectPause(now time.Duration) {
	if now-l.lastUpdateAt > pauseThreshold {
		for _, account := range l.accounts {
			account.drainPause(now, l.reachableShare)
		}
	}
	l.lastUpdateAt = now
}

// detectUnreachable marks the peers whose reports are overdue and drops those whose reservation has
// expired. The shares of peers that become unreachable at once are computed from the same rates.
func (l *Limiter) detectUnreachable(now time.Duration) {
	var lost []*peer
	total, left := 1.0, 1.0
	for node, peer := range l.peers {
		switch {
		case peer.unreachable && now >= peer.unreachableSince+shareReservation:
			delete(l.peers, node)
		case peer.unreachable:
			left -= peer.share
		default:
			total += peer.weight
			if now > peer.lastReportAt+time.Duration(l.reportRounds)*peerTimeout {
				lost = append(lost, peer)
			}
		}
	}
	for _, peer := range lost {
		peer.unreachable, peer.unreachableSince = true, now
		peer.share = max(left, 0) * peer.weight / total
	}
}
