package quota

import "time"

// drainAll brings all accounts up to now, before what determines the shares changes.
func (l *Limiter) drainAll(now time.Duration) {
	shares := l.shares(now)
	for _, tenant := range l.accounts {
		tenant.drain(now, shares)
	}
}

// shares are parts of a limit.
type shares struct {
	now time.Duration
	// reachable is the part of this node and the peers in reachable.
	reachable float64
	// stale are the peers in touch that weren't heard just now, with their parts.
	stale []stalePeer
	// joining is the part of this node while it is a joining.
	joining float64
}

// stalePeer is a peer that counts as out of touch for a tenant that has been near its
// limit for longer than since.
type stalePeer struct {
	since time.Duration
	share float64
}

// forAccount returns the part that counts for a tenant. Of a tenant near its limit, peers that
// were asked since and haven't answered are left their parts.
func (s shares) forAccount(tenant *account) float64 {
	share := s.reachable
	if !tenant.nearLimit {
		return share
	}
	for _, peer := range s.stale {
		if s.now > tenant.nearLimitSince+peer.since {
			share -= peer.share
		}
	}
	return max(share, 0)
}

// shares returns the parts of a limit. Those of two sides of a partition add up to 1,
// since both go by the rates of requests from before.
func (l *Limiter) shares(now time.Duration) shares {
	l.detectPause(now)
	l.updateJoining(now)
	l.detectUnreachable(now)
	parts := shares{now: now, reachable: 1, joining: 1.0 / assumedJoiningNodes}
	total, inTouch := 1.0, 1
	for _, known := range l.peers {
		if known.unreachable {
			parts.reachable -= known.share
			continue
		}
		total += known.weight
		inTouch++
	}
	parts.reachable = max(parts.reachable, 0)
	stale := time.Duration(l.reportRounds) * nearLimitPeerTimeout
	for _, known := range l.peers {
		if !known.unreachable && now > known.lastHeardAt+stale {
			parts.stale = append(parts.stale, stalePeer{since: stale, share: parts.reachable * known.weight / total})
		}
	}
	if l.joinTimedOut && now < l.started+partitionGuardPeriod {
		parts.reachable *= min(float64(inTouch)/assumedJoiningNodes, 1)
	}
	if now >= l.started+joinTimeout {
		parts.joining *= isolatedJoiningFraction
	}
	l.reachableShare = parts.reachable
	return parts
}

// detectPause sees whether this node did nothing for a while, as a frozen process. Its peers
// count as silent then, but they were not: without this, all that they have admitted
// meanwhile would count as used at once, here and, by this node's reports, at all others.
func (l *Limiter) detectPause(now time.Duration) {
	if now-l.lastUpdateAt > pauseThreshold {
		for _, tenant := range l.accounts {
			tenant.drainPause(now, l.reachableShare)
		}
	}
	l.lastUpdateAt = now
}

// detectUnreachable marks the peers that were not heard for too long. Several that fall
// silent at once are given their parts by the same rates.
func (l *Limiter) detectUnreachable(now time.Duration) {
	var fallen []*peer
	total, left := 1.0, 1.0
	for node, known := range l.peers {
		switch {
		case known.unreachable && now >= known.unreachableSince+shareReservation:
			delete(l.peers, node)
		case known.unreachable:
			left -= known.share
		default:
			total += known.weight
			if now > known.lastHeardAt+time.Duration(l.reportRounds)*peerTimeout {
				fallen = append(fallen, known)
			}
		}
	}
	for _, known := range fallen {
		known.unreachable, known.unreachableSince = true, now
		known.share = max(left, 0) * known.weight / total
	}
}
