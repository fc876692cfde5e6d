package membership

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// claimSource describes the origin of a claim about a member.
type claimSource struct {
	// region is the region of the node that forwarded the claim.
	region fleet.RegionName
	// complete is set for claims from a full exchange, which may be stale.
	complete bool
}

// merge applies one claim about a member to the table.
func (c *Core) merge(now time.Duration, claim Member, source claimSource) {
	if claim.Node == "" || claim.State < Alive || claim.State > Dead {
		return
	}
	if claim.Node == c.self.Node {
		c.refute(claim)
		return
	}
	current, known := c.table.byNode[claim.Node]
	if !known {
		c.addMember(now, claim, source)
		return
	}
	if !claim.supersedes(current.Member) {
		if source.complete && current.State == Dead && claim.Incarnation == current.Incarnation && claim.State != Dead {
			c.queueContested(claim.Node)
		}
		return
	}
	if claim.State == Dead && c.isContestable(current, source) {
		c.queueContested(claim.Node)
		claim.State = Suspect
		if !claim.supersedes(current.Member) {
			return
		}
	}
	c.apply(now, current, claim)
}

// isContestable reports whether a death claim may result from a partition. The member then becomes
// suspect instead, which gives it time to refute.
func (c *Core) isContestable(current *record, source claimSource) bool {
	if current.State == Leaving || current.State == Dead {
		return false
	}
	return source.complete || (current.Region == c.self.Region && source.region != c.self.Region)
}

// queueContested schedules a probe of the member, which informs it of the claim about it.
func (c *Core) queueContested(node fleet.NodeID) {
	for _, other := range c.contested {
		if other == node {
			return
		}
	}
	position := c.random.IntN(len(c.contested) + 1)
	c.contested = append(c.contested, node)
	last := len(c.contested) - 1
	c.contested[position], c.contested[last] = c.contested[last], c.contested[position]
}

// addMember adds a member that is not in the table. A member reported alive by a full exchange is
// not gossiped further: the nodes that it contacted directly do so. Otherwise n nodes that learn
// the full membership at once would each gossip all n records.
func (c *Core) addMember(now time.Duration, claim Member, source claimSource) {
	if tombstone, found := c.table.tombstones[claim.Node]; found {
		if claim.Incarnation <= tombstone {
			return
		}
		c.table.removeTombstone(claim.Node)
	}
	added := c.table.insert(claim, now)
	if claim.State == Dead {
		return
	}
	c.adjustLive(claim.Region, 1)
	if source.complete && claim.State == Alive {
		c.version++
		return
	}
	c.handleStateChange(now, added, Dead)
}

// apply replaces a record by a claim that supersedes it.
func (c *Core) apply(now time.Duration, current *record, claim Member) {
	previous := current.State
	if claim.Address == "" {
		claim.Address = current.Address
	}
	claim.Region, claim.Zone = current.Region, current.Zone
	current.Member = claim
	if previous == Suspect {
		c.suspects--
	}
	if previous != claim.State {
		current.stateSince = now
	}
	switch {
	case previous == Dead && claim.State != Dead:
		c.adjustLive(claim.Region, 1)
	case previous != Dead && claim.State == Dead:
		c.adjustLive(claim.Region, -1)
	}
	c.handleStateChange(now, current, previous)
}

// handleStateChange gossips a changed record and starts its suspicion timer if it is suspect.
func (c *Core) handleStateChange(now time.Duration, current *record, previous State) {
	c.version++
	c.queue.push(current.Node)
	switch current.State {
	case Suspect:
		c.suspects++
		current.suspicionDeadline = now + c.options.suspicionTimeout(c.liveTotal)
	case Leaving:
		if previous != Leaving && previous != Dead {
			c.announce(current.Member, leaveFanout)
		}
	}
}

func (c *Core) adjustLive(region fleet.RegionName, change int) {
	c.live[region] += change
	c.liveTotal += change
}

// refute overrides a false claim about this node by a higher incarnation.
func (c *Core) refute(claim Member) {
	if !claim.supersedes(c.self) {
		return
	}
	c.self.Incarnation = claim.Incarnation + 1
	c.version++
	c.queue.push(c.self.Node)
}

// confirmSuspects declares suspects dead whose suspicion has timed out.
func (c *Core) confirmSuspects(now time.Duration) {
	if c.suspects > 0 {
		for _, record := range c.table.sorted {
			if record.State == Suspect && now >= record.suspicionDeadline {
				c.declare(now, record, Dead)
			}
		}
	}
}

// declare changes a member's state because of this node's own observation.
func (c *Core) declare(now time.Duration, current *record, state State) {
	claim := current.Member
	claim.State = state
	if claim.supersedes(current.Member) {
		c.apply(now, current, claim)
	}
}

// announce sends a changed record to a few random members immediately.
func (c *Core) announce(member Member, fanout int) {
	for _, peer := range c.pickRandom(fanout, func(r *record) bool { return r.Node != member.Node }) {
		message := Message{Kind: Ack, To: peer.Address, Target: c.self.Node}
		if member.Node != c.self.Node {
			message.Updates = []Member{member}
		}
		c.outbox = append(c.outbox, message)
	}
}

// pickRandom returns up to count random live members that match.
func (c *Core) pickRandom(count int, matches func(*record) bool) []Member {
	var candidates []Member
	for _, record := range c.table.sorted {
		if record.State != Dead && matches(record) {
			candidates = append(candidates, record.Member)
		}
	}
	count = min(count, len(candidates))
	for i := range count {
		other := i + c.random.IntN(len(candidates)-i)
		candidates[i], candidates[other] = candidates[other], candidates[i]
	}
	return candidates[:count]
}
