package membership

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// joinState is the attempt to find a first member.
type joinState struct {
	seeds   []fleet.Address
	pending bool
	retryAt time.Duration
	backoff time.Duration
}

// reconnectProbe is a probe of an address that may answer with a lost member.
type reconnectProbe struct {
	address fleet.Address
	expires time.Duration
}

// Join sets the addresses of possible members and asks some of them for the
// whole membership, again and again until one answers. Seeds that aren't
// members are probed now and then for ever.
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

// startTimers starts the periodic work, spread over time against a herd.
func (c *Core) startTimers(now time.Duration) {
	if c.nextProbe != 0 {
		return
	}
	c.nextProbe = now + 1 + c.randomDelay(c.options.ProbeInterval)
	c.nextDeadProbe = now + c.randomDelay(c.options.ReconnectInterval)
	c.nextSeedProbe = now + c.randomDelay(c.options.SeedInterval)
	c.nextExchange = now + c.randomDelay(c.options.ExchangeInterval)
}

// randomDelay returns a random time from zero up to the given one.
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

// endJoin ends the attempts to join: a member has answered.
func (c *Core) endJoin() { c.join.pending = false }

// joinSampleSize is the number of members that a node is told which knows few itself, and
// fewKnownDivisor the part of the members, as a divisor, under which it does. A seed of a fleet that
// starts at once is asked by all: told everything, n nodes are n squared records over one
// link. The samples of three seeds and two
// exchanges with drawn members bring all as well.
const (
	joinSampleSize  = 96
	fewKnownDivisor = 4
)

// answerJoin answers a member that has told so many others.
func (c *Core) answerJoin(now time.Duration, sender Member, told int) {
	c.endJoin()
	c.startTimers(now)
	if c.liveTotal <= 2*joinSampleSize || told >= c.liveTotal/fewKnownDivisor {
		c.sendFullState(now, Ack, sender.Address, sender.Node)
		return
	}
	updates := c.pickRandom(joinSampleSize, func(r *record) bool { return r.Node != sender.Node })
	c.sendMembers(Ack, sender.Address, sender.Node, updates)
}

// sendFullState queues a message with the whole membership. The receiver is told if
// this node holds it for dead.
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

// sendMembers queues a message with some members. The receiver is told what is believed of it
// besides.
func (c *Core) sendMembers(kind Kind, to fleet.Address, receiver fleet.NodeID, updates []Member) {
	if record, known := c.table.byNode[receiver]; known {
		updates = append(updates, record.Member)
	}
	if incarnation, buried := c.table.tombstones[receiver]; buried {
		updates = append(updates, Member{Node: receiver, Address: to, Incarnation: incarnation, State: Dead})
	}
	message := Message{Kind: kind, To: to, Updates: updates, Complete: true}
	if kind == Ack {
		message.Target = c.self.Node
	}
	c.outbox = append(c.outbox, message)
}

// reconnect probes one member believed dead and one seed that isn't a member,
// each in its own interval, and forgets the long dead.
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

// deadCandidate picks a random dead member, of a lost region if there is one.
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

// handleReconnectAnswer starts a whole exchange with a lost member that answered.
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

// exchange starts a whole exchange with a random member now and then.
func (c *Core) exchange(now time.Duration) {
	if now < c.nextExchange {
		return
	}
	c.scheduleExchange(now)
	near := c.scheduleRejoin(now)
	for _, peer := range c.pickRandom(1, func(r *record) bool { return !near || r.Zone == c.self.Zone }) {
		c.sendFullState(now, Join, peer.Address, peer.Node)
	}
}

// exchangeAnswered sets the next whole exchange after one was answered. A member that
// has just joined repeats it soon.
func (c *Core) exchangeAnswered(now time.Duration) {
	if c.join.pending {
		c.remainingRejoins = maxRejoins
		c.nextExchange = now + rejoinInterval/2 + c.randomDelay(rejoinInterval)
	}
	if c.remainingRejoins == 0 {
		c.scheduleExchange(now)
	}
}

// scheduleRejoin sets the exchange after the one that begins now, if this node has just
// joined: soon again, until two in a row have found no new member, since in a herd
// the first answers are incomplete. It tells whether the one that begins is to stay
// within the zone, as every second one does: bytes between zones are dear.
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
