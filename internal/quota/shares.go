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
	// touch is the part of this node and the peers in touch.
	touch float64
	// stale are the peers in touch that weren't heard just now, with their parts.
	stale []stalePeer
	// newcomer is the part of this node while it is a newcomer.
	newcomer float64
}

// stalePeer is a peer that counts as out of touch for a tenant that has been near its
// limit for longer than since.
type stalePeer struct {
	since time.Duration
	share float64
}

// of returns the part that counts for a tenant. Of a tenant near its limit, peers that
// were asked since and haven't answered are left their parts.
func (s shares) of(tenant *account) float64 {
	share := s.touch
	if !tenant.near {
		return share
	}
	for _, peer := range s.stale {
		if s.now > tenant.nearSince+peer.since {
			share -= peer.share
		}
	}
	return max(share, 0)
}

// shares returns the parts of a limit. Those of two sides of a partition add up to 1,
// since both go by the rates of requests from before.
func (l *Limiter) shares(now time.Duration) shares {
	l.noteAsleep(now)
	l.settle(now)
	l.noteSilent(now)
	parts := shares{now: now, touch: 1, newcomer: 1.0 / newcomerSharers}
	total, inTouch := 1.0, 1
	for _, known := range l.peers {
		if known.silent {
			parts.touch -= known.share
			continue
		}
		total += known.weight
		inTouch++
	}
	parts.touch = max(parts.touch, 0)
	stale := time.Duration(l.rounds) * staleAfter
	for _, known := range l.peers {
		if !known.silent && now > known.heard+stale {
			parts.stale = append(parts.stale, stalePeer{since: stale, share: parts.touch * known.weight / total})
		}
	}
	if l.guessed && now < l.started+guessedFor {
		parts.touch *= min(float64(inTouch)/newcomerSharers, 1)
	}
	if now >= l.started+newcomerFor {
		parts.newcomer *= strayPart
	}
	l.touch = parts.touch
	return parts
}

// noteAsleep sees whether this node did nothing for a while, as a frozen process. Its peers
// count as silent then, but they were not: without this, all that they have admitted
// meanwhile would count as used at once, here and, by this node's reports, at all others.
func (l *Limiter) noteAsleep(now time.Duration) {
	if now-l.called > asleepAfter {
		for _, tenant := range l.accounts {
			tenant.wake(now, l.touch)
		}
	}
	l.called = now
}

// noteSilent marks the peers that were not heard for too long. Several that fall
// silent at once are given their parts by the same rates.
func (l *Limiter) noteSilent(now time.Duration) {
	var fallen []*peer
	total, left := 1.0, 1.0
	for node, known := range l.peers {
		switch {
		case known.silent && now >= known.since+silentFor:
			delete(l.peers, node)
		case known.silent:
			left -= known.share
		default:
			total += known.weight
			if now > known.heard+time.Duration(l.rounds)*silentAfter {
				fallen = append(fallen, known)
			}
		}
	}
	for _, known := range fallen {
		known.silent, known.since = true, now
		known.share = max(left, 0) * known.weight / total
	}
}
