package membership

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// joinState is the state of the attempts to contact a first member.
type joinState struct {
	seeds   []fleet.Address
	pending bool
	retryAt time.Duration
	backoff time.Duration
}

// reconnectProbe is a pending probe of an address where a lost member may answer.
type reconnectProbe struct {
	address fleet.Address
	expires time.Duration
}

// Join sets the addresses of possible members and asks some of them for the full membership,
// repeatedly until one answers. Seeds that are not members continue to be probed at SeedInterval.
func (c *Core) Join(now time.Duration, seeds []fleet.Address) []Message {
	c.join.seeds = slices.DeleteFunc(slices.Clone(seeds), func(address fleet.Address) bool {
		return address == c.self.Address
	})
	c.startTimers(now)
	if c.liveTotal == 1 && len(c.join.seeds) > 0 {
		c.join.pending = true
		c.join.backoff = c.options.ProbeInterval / 2
		c.join.retryAt = now
		c.retryJoin(now)
	}
	return c.flush()
}

// startTimers schedules the periodic work at random times, to keep nodes that start together from
// acting together.
func (c *Core) startTimers(now time.Duration) {
	if c.nextProbe != 0 {
		return
	}
	c.nextProbe = now + 1 + c.randomDelay(c.options.ProbeInterval)
	c.nextDeadProbe = now + c.randomDelay(c.options.ReconnectInterval)
	c.nextSeedProbe = now + c.randomDelay(c.options.SeedInterval)
	c.nextExchange = now + c.randomDelay(c.options.ExchangeInterval)
}

// randomDelay returns a random duration between zero and upTo.
func (c *Core) randomDelay(upTo time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(upTo) + 1))
}

func (c *Core) retryJoin(now time.Duration) {
	if !c.join.pending || now < c.join.retryAt {
		return
	}
	c.join.retryAt = now + c.join.backoff + c.randomDelay(c.join.backoff)
	c.join.backoff = min(c.join.backoff*2, maxJoinBackoff)
	seeds := slices.Clone(c.join.seeds)
	c.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, address := range seeds[:min(seedsPerJoinAttempt, len(seeds))] {
		c.sendFullState(now, Join, address, "")
	}
}

// endJoin ends the attempts to join because a member has answered.
func (c *Core) endJoin() { c.join.pending = false }

// joinSampleSize is the number of members sent to a joining node that itself knows less than one
// part in fewKnownDivisor of the fleet. It bounds the traffic of a seed when many nodes start at
// once; the answers of several seeds and later exchanges complete the membership.
const (
	joinSampleSize  = 96
	fewKnownDivisor = 4
)

// answerJoin answers a Join that carried the given number of members.
func (c *Core) answerJoin(now time.Duration, sender Member, carried int) {
	c.endJoin()
	c.startTimers(now)
	if c.liveTotal <= 2*joinSampleSize || carried >= c.liveTotal/fewKnownDivisor {
		c.sendFullState(now, Ack, sender.Address, sender.Node)
		return
	}
	updates := c.pickRandom(joinSampleSize, func(r *record) bool { return r.Node != sender.Node })
	c.sendMembers(Ack, sender.Address, sender.Node, updates)
}

// sendFullState queues a message with the full membership, including recent deaths. The receiver's
// own record is included for it to refute.
func (c *Core) sendFullState(now time.Duration, kind Kind, to fleet.Address, receiver fleet.NodeID) {
	updates := make([]Member, 0, c.liveTotal)
	for _, record := range c.table.sorted {
		recent := now-record.stateSince < deadExchangeDuration
		if (record.State != Dead || recent) && record.Node != receiver {
			updates = append(updates, record.Member)
		}
	}
	c.sendMembers(kind, to, receiver, updates)
}

// sendMembers queues a message with the given members and the receiver's own record or tombstone.
func (c *Core) sendMembers(kind Kind, to fleet.Address, receiver fleet.NodeID, updates []Member) {
	if record, known := c.table.byNode[receiver]; known {
		updates = append(updates, record.Member)
	}
	if incarnation, hasTombstone := c.table.tombstones[receiver]; hasTombstone {
		updates = append(updates, Member{Node: receiver, Address: to, Incarnation: incarnation, State: Dead})
	}
	message := Message{Kind: kind, To: to, Updates: updates, Complete: true}
	if kind == Ack {
		message.Target = c.self.Node
	}
	c.outbox = append(c.outbox, message)
}

// reconnect probes one dead member and one seed that is not a member, each at its own interval, and
// expires records of members that have been dead for DeadRetention.
func (c *Core) reconnect(now time.Duration) {
	c.reconnectProbes = slices.DeleteFunc(c.reconnectProbes, func(o reconnectProbe) bool { return now >= o.expires })
	if now >= c.nextDeadProbe {
		c.nextDeadProbe = now + c.options.ReconnectInterval/2 + c.randomDelay(c.options.ReconnectInterval)
		c.table.expireDead(now - c.options.DeadRetention)
		if target, found := c.deadCandidate(); found {
			c.sendReconnectProbe(now, target)
		}
	}
	if now >= c.nextSeedProbe {
		c.nextSeedProbe = now + c.options.SeedInterval/2 + c.randomDelay(c.options.SeedInterval)
		if address, found := c.seedCandidate(); found {
			c.sendReconnectProbe(now, Member{Address: address})
		}
	}
}

func (c *Core) sendReconnectProbe(now time.Duration, target Member) {
	c.reconnectProbes = append(c.reconnectProbes, reconnectProbe{address: target.Address, expires: now + reconnectProbeTimeout})
	c.send(Probe, target, target.Node)
}

// deadCandidate picks a random dead member, preferably of a region without live members.
func (c *Core) deadCandidate() (Member, bool) {
	var lost, others []Member
	for _, record := range c.table.sorted {
		switch {
		case record.State != Dead:
		case c.live[record.Region] == 0:
			lost = append(lost, record.Member)
		default:
			others = append(others, record.Member)
		}
	}
	if len(lost) > 0 {
		others = lost
	}
	if len(others) == 0 {
		return Member{}, false
	}
	return others[c.random.IntN(len(others))], true
}

func (c *Core) seedCandidate() (fleet.Address, bool) {
	known := make(map[fleet.Address]bool, c.liveTotal)
	for _, record := range c.table.sorted {
		if record.State != Dead {
			known[record.Address] = true
		}
	}
	var unknown []fleet.Address
	for _, address := range c.join.seeds {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) == 0 {
		return "", false
	}
	return unknown[c.random.IntN(len(unknown))], true
}

// handleReconnectAnswer starts a full exchange with a lost member that answered a reconnecting
// probe.
func (c *Core) handleReconnectAnswer(now time.Duration, sender Member, known bool) {
	for i, pending := range c.reconnectProbes {
		if pending.address != sender.Address {
			continue
		}
		c.reconnectProbes = slices.Delete(c.reconnectProbes, i, i+1)
		if !known {
			c.scheduleExchange(now)
			c.sendFullState(now, Join, sender.Address, sender.Node)
		}
		return
	}
}

// exchange starts a full exchange with a random member if one is due.
func (c *Core) exchange(now time.Duration) {
	if now < c.nextExchange {
		return
	}
	c.scheduleExchange(now)
	withinZone := c.scheduleRejoin(now)
	for _, peer := range c.pickRandom(1, func(r *record) bool { return !withinZone || r.Zone == c.self.Zone }) {
		c.sendFullState(now, Join, peer.Address, peer.Node)
	}
}

// handleExchangeAnswer schedules the next full exchange after one was answered. A member that has
// just joined repeats it soon.
func (c *Core) handleExchangeAnswer(now time.Duration) {
	if c.join.pending {
		c.remainingRejoins = maxRejoins
		c.nextExchange = now + rejoinInterval/2 + c.randomDelay(rejoinInterval)
	}
	if c.remainingRejoins == 0 {
		c.scheduleExchange(now)
	}
}

// scheduleRejoin schedules the exchange after the one that starts now, if this node has just
// joined. It reports whether the one that starts now must stay within the zone, as every second one
// does to limit traffic between zones.
func (c *Core) scheduleRejoin(now time.Duration) bool {
	if c.remainingRejoins == 0 {
		return false
	}
	c.remainingRejoins--
	c.unchangedRejoins++
	if c.liveTotal > c.rejoinLiveTotal {
		c.rejoinLiveTotal, c.unchangedRejoins = c.liveTotal, 0
	}
	delay := rejoinInterval
	if c.unchangedRejoins >= maxUnchangedRejoins {
		c.remainingRejoins = 0
	}
	if c.remainingRejoins == 0 {
		delay = postRejoinInterval
	}
	c.nextExchange = now + delay/2 + c.randomDelay(delay)
	return c.remainingRejoins%2 == 1
}

func (c *Core) scheduleExchange(now time.Duration) {
	delay := c.options.exchangeDelay(c.liveTotal)
	c.nextExchange = now + delay/2 + c.randomDelay(delay)
}
