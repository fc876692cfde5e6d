package membership

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// pendingProbe is the direct probe in flight and its indirect probes.
type pendingProbe struct {
	active       bool
	target       fleet.NodeID
	indirectSent bool
	indirectAt   time.Duration
}

// relay is a probe sent on behalf of another member.
type relay struct {
	target    fleet.NodeID
	requester Member
	expires   time.Duration
}

// probeRing visits all matching live members in random order before it visits one again, which
// bounds the detection time (section 4.3 of the SWIM paper).
type probeRing struct {
	matches func(*record) bool
	order   []fleet.NodeID
}

func (c *Core) nextInRing(ring *probeRing) (*record, bool) {
	for range 2 {
		for len(ring.order) > 0 {
			node := ring.order[len(ring.order)-1]
			ring.order = ring.order[:len(ring.order)-1]
			if record, known := c.table.byNode[node]; known && record.State != Dead {
				return record, true
			}
		}
		for _, member := range c.pickRandom(len(c.table.sorted), ring.matches) {
			ring.order = append(ring.order, member.Node)
		}
	}
	return nil, false
}

// startProbe probes the next member and suspects the previous one if it did not answer.
func (c *Core) startProbe(now time.Duration) {
	c.endProbe(now)
	jitter := time.Duration(c.random.Int64N(int64(c.options.ProbeInterval)/5+1)) - c.options.ProbeInterval/10
	c.nextProbe = now + c.options.ProbeInterval + jitter
	target, found := c.nextTarget()
	if !found {
		return
	}
	c.probe = pendingProbe{active: true, target: target.Node, indirectAt: now + c.options.ProbeTimeout}
	c.send(Probe, target.Member, target.Node)
}

func (c *Core) nextTarget() (*record, bool) {
	c.probeCount++
	first, second := &c.localRing, &c.remoteRing
	if c.probeCount%c.options.RemoteEvery == 0 {
		first, second = second, first
	}
	if target, found := c.nextInRing(first); found {
		return target, true
	}
	return c.nextInRing(second)
}

// advanceProbe sends indirect probes if the direct probe has timed out.
func (c *Core) advanceProbe(now time.Duration) {
	if !c.probe.active || c.probe.indirectSent || now < c.probe.indirectAt {
		return
	}
	c.probe.indirectSent = true
	for _, prober := range c.pickIndirectProbers(c.probe.target) {
		c.send(IndirectProbe, prober, c.probe.target)
	}
}

// pickIndirectProbers picks members of this node's region and at least one of another, if there is
// one. A partition between two regions alone then causes no suspicion.
func (c *Core) pickIndirectProbers(target fleet.NodeID) []Member {
	count := c.options.IndirectProbes
	others := c.pickRandom(max(1, count/2), func(r *record) bool {
		return r.Region != c.self.Region && r.Node != target && r.State == Alive
	})
	near := c.pickRandom(count-len(others), func(r *record) bool {
		return r.Region == c.self.Region && r.Node != target && r.State == Alive
	})
	return append(others, near...)
}

func (c *Core) endProbe(now time.Duration) {
	if !c.probe.active {
		return
	}
	c.probe.active = false
	record, known := c.table.byNode[c.probe.target]
	if !known {
		return
	}
	if record.State == Leaving {
		c.declare(now, record, Dead)
		return
	}
	c.declare(now, record, Suspect)
}

// probeContested probes members on whose state this node and another one disagree.
func (c *Core) probeContested() {
	for range min(contestedProbesPerInterval, len(c.contested)) {
		last := len(c.contested) - 1
		node := c.contested[last]
		c.contested = c.contested[:last]
		record, known := c.table.byNode[node]
		if known && record.State != Alive {
			c.send(Probe, record.Member, node)
		}
	}
}

func (c *Core) answerProbe(message Message) {
	if message.Target != "" && message.Target != c.self.Node {
		c.send(Nack, message.Sender, message.Target)
		return
	}
	c.send(Ack, message.Sender, c.self.Node)
}

func (c *Core) handleAck(now time.Duration, message Message, known bool) {
	if c.probe.active && c.probe.target == message.Target {
		c.probe.active = false
	}
	if message.Target != message.Sender.Node {
		return
	}
	if message.Complete {
		c.handleExchangeAnswer(now)
	}
	c.endJoin()
	c.relays = slices.DeleteFunc(c.relays, func(pending relay) bool {
		if pending.target != message.Target {
			return false
		}
		c.send(Ack, pending.requester, message.Target)
		return true
	})
	c.handleReconnectAnswer(now, message.Sender, known)
}

// handleNack declares a member dead whose address is used by another node now.
func (c *Core) handleNack(now time.Duration, message Message) {
	record, known := c.table.byNode[message.Target]
	if known && record.Address == message.Sender.Address && message.Target != message.Sender.Node {
		c.declare(now, record, Dead)
	}
}

func (c *Core) relayProbe(now time.Duration, message Message) {
	record, known := c.table.byNode[message.Target]
	if !known {
		return
	}
	expires := now + c.options.ProbeInterval
	c.relays = append(c.relays, relay{target: message.Target, requester: message.Sender, expires: expires})
	c.send(Probe, record.Member, message.Target)
}

func (c *Core) expireRelays(now time.Duration) {
	c.relays = slices.DeleteFunc(c.relays, func(pending relay) bool { return now >= pending.expires })
}
