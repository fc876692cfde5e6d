package simulation

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Latencies and timeouts of the network.
const (
	localLatency   = 300 * time.Microsecond
	zoneLatency    = 1500 * time.Microsecond
	latencyJitter  = 500 * time.Microsecond
	connectTimeout = 300 * time.Millisecond
	// delayedDeliveryChance is the probability that a message sent during a partition arrives after
	// it ends instead of being lost.
	delayedDeliveryChance = 0.5
)

// partition blocks one direction between two addresses.
type partition struct {
	from, to fleet.Address
	until    time.Duration
}

// slowdown adds a random delay below maxDelay to each message in one direction.
type slowdown struct {
	from, to fleet.Address
	until    time.Duration
	maxDelay time.Duration
}

// network delivers messages between processes. An empty address in a partition or slowdown matches
// every address.
type network struct {
	world      *world
	partitions []partition
	slowdowns  []slowdown
}

func (n *network) now() time.Duration { return n.world.queue.Now() }

func matches(pattern, address fleet.Address) bool { return pattern == "" || pattern == address }

// blockedUntil returns when the last partition of a direction ends; 0 if it is open.
func (n *network) blockedUntil(from, to *process) time.Duration {
	var until time.Duration
	n.partitions = slices.DeleteFunc(n.partitions, func(p partition) bool { return p.until <= n.now() })
	for _, p := range n.partitions {
		if matches(p.from, from.address) && matches(p.to, to.address) {
			until = max(until, p.until)
		}
	}
	return until
}

func (n *network) latency(from, to *process) time.Duration {
	latency := localLatency + time.Duration(n.world.random.Int64N(int64(latencyJitter)))
	if from.zone != to.zone {
		latency += zoneLatency
	}
	n.slowdowns = slices.DeleteFunc(n.slowdowns, func(s slowdown) bool { return s.until <= n.now() })
	for _, s := range n.slowdowns {
		if matches(s.from, from.address) && matches(s.to, to.address) {
			latency += time.Duration(n.world.random.Int64N(int64(s.maxDelay)))
		}
	}
	return latency
}

// arrival returns when a message sent now arrives; false if it is lost.
func (n *network) arrival(from, to *process) (time.Duration, bool) {
	at := n.now() + n.latency(from, to)
	until := n.blockedUntil(from, to)
	if until == 0 {
		return at, true
	}
	return until + at - n.now(), n.world.random.Float64() < delayedDeliveryChance
}

// send delivers a message one way, unless it is lost.
func (n *network) send(from, to *process, deliver func()) {
	at, arrives := n.arrival(from, to)
	if !arrives {
		return
	}
	generation := to.generation
	n.world.queue.At(at, func() { to.run(generation, deliver) })
}

// callOutcome is the way in which a call ended.
type callOutcome int

// Outcomes of a call.
const (
	// answered means that the caller received the answer.
	answered callOutcome = iota
	// refused means that nothing was sent.
	refused
	// broken means that the connection ended after the request was sent.
	broken
	// timedOut means that no answer arrived in time after the request was sent.
	timedOut
)

// call is a request and its answer.
type call struct {
	network    *network
	from       *process
	to         *process
	generation int
	finished   bool
	done       func(answer any, outcome callOutcome)
}

// call sends a request, lets the target serve it and passes the answer to done on the caller's
// process. done is called exactly once, unless the caller's process ends or the call is cancelled
// first. serve may reply later; reply returns when the answer arrives at the caller, or 0 if it is
// lost.
func (n *network) call(
	from, to *process, timeout time.Duration, serve func(reply func(answer any) time.Duration), done func(any, callOutcome),
) *call {
	c := &call{network: n, from: from, to: to, generation: from.generation, done: done}
	blocked := n.blockedUntil(from, to) > 0
	switch {
	case blocked && n.world.random.Float64() < delayedDeliveryChance:
		c.finishAt(n.now()+min(timeout, connectTimeout), nil, refused)
		return c
	case !blocked && !to.alive:
		c.finishAt(n.now()+n.latency(from, to)+n.latency(to, from), nil, refused)
		return c
	}
	c.finishAt(n.now()+timeout, nil, timedOut)
	to.trackCall(c)
	generation := to.generation
	if at, arrives := n.arrival(from, to); arrives {
		n.world.queue.At(at, func() { to.run(generation, func() { serve(c.reply) }) })
	}
	return c
}

// trackCall registers a call that breaks if the process ends.
func (p *process) trackCall(c *call) {
	const cleanupThreshold = 64
	if len(p.inbound) >= cleanupThreshold {
		p.inbound = slices.DeleteFunc(p.inbound, func(other *call) bool { return other.finished })
	}
	p.inbound = append(p.inbound, c)
}

// reply sends the answer and returns when it arrives, or 0 if it is lost.
func (c *call) reply(answer any) time.Duration {
	at, arrives := c.network.arrival(c.to, c.from)
	if !arrives {
		return 0
	}
	c.finishAt(at, answer, answered)
	return at
}

// connectionBroken reports to the caller that the connection is gone.
func (c *call) connectionBroken() {
	if c.finished {
		return
	}
	if at, arrives := c.network.arrival(c.to, c.from); arrives {
		c.finishAt(at, nil, broken)
	}
}

// cancel abandons the call; done is not called.
func (c *call) cancel() { c.finished = true }

func (c *call) finishAt(at time.Duration, answer any, outcome callOutcome) {
	c.network.world.queue.At(at, func() {
		c.from.run(c.generation, func() {
			if c.finished {
				return
			}
			c.finished = true
			c.done(answer, outcome)
		})
	})
}
