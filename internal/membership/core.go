package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Core is the membership state machine of one node. It isn't safe for
// concurrent use; its views are.
type Core struct {
	options Options
	random  *rand.Rand
	self    Member
	table   table
	queue   broadcastQueue
	outbox  []Message

	// live counts the members that aren't dead, self included, by region.
	live      map[fleet.RegionName]int
	liveTotal int
	suspects  int

	version uint64
	view    *View

	probe      pendingProbe
	probeCount int
	nextProbe  time.Duration
	localRing  probeRing
	remoteRing probeRing
	relays     []relay
	contested  []fleet.NodeID

	join            joinState
	reconnectProbes []reconnectProbe
	nextDeadProbe   time.Duration
	nextSeedProbe   time.Duration
	nextExchange    time.Duration
	// remainingRejoins counts the whole exchanges that a node which has just joined still makes
	// soon, rejoinLive is the number of members at the last one that knew of more than
	// the one before, and quietRejoins counts those since.
	remainingRejoins int
	rejoinLiveTotal  int
	unchangedRejoins int
}

// New returns a core that knows itself alone.
func New(options Options) *Core {
	options.setDefaults()
	self := options.Self
	self.State = Alive
	core := &Core{
		options:   options,
		random:    options.Random,
		self:      self,
		table:     newTable(options.MaxTombstones),
		live:      map[fleet.RegionName]int{self.Region: 1},
		liveTotal: 1,
		version:   1,
	}
	core.localRing.matches = func(r *record) bool { return r.Region == self.Region }
	core.remoteRing.matches = func(r *record) bool { return r.Region != self.Region }
	return core
}

// Self returns this node's own record.
func (c *Core) Self() Member { return c.self }

// Version rises with each change of the membership.
func (c *Core) Version() uint64 { return c.version }

// HasChangedSince tells whether the membership has changed since the given version.
func (c *Core) HasChangedSince(since uint64) bool { return c.version > since }

// Members returns all members that aren't dead, self included, sorted by node.
func (c *Core) Members() []Member { return c.View().Members() }

// View returns a snapshot of the membership.
func (c *Core) View() *View {
	if c.view == nil || c.view.Version != c.version {
		c.view = newSortedView(c.version, c.self, c.liveMembers())
	}
	return c.view
}

// NextWake returns when Tick has to be called next. It changes with every call
// of Tick, Receive, Join and Leave.
func (c *Core) NextWake() time.Duration {
	wake := c.nextProbe
	if c.probe.active && !c.probe.indirectSent {
		wake = min(wake, c.probe.indirectAt)
	}
	if c.join.pending {
		wake = min(wake, c.join.retryAt)
	}
	if c.remainingRejoins > 0 {
		wake = min(wake, c.nextExchange)
	}
	return wake
}

// Tick does what is due and returns the messages to send. Calling it early is harmless.
func (c *Core) Tick(now time.Duration) []Message {
	c.compensateStall(now)
	c.retryJoin(now)
	c.advanceProbe(now)
	if c.remainingRejoins > 0 {
		c.exchange(now)
	}
	if now >= c.nextProbe {
		c.confirmSuspects(now)
		c.expireRelays(now)
		c.reconnect(now)
		c.exchange(now)
		c.probeContested()
		c.startProbe(now)
	}
	return c.flush()
}

// Receive takes one message in and returns the messages to send. The last one
// that goes to the sender answers it.
func (c *Core) Receive(now time.Duration, message Message) []Message {
	sender := message.Sender
	if sender.Node == "" || sender.Node == c.self.Node {
		return nil
	}
	known := c.isLive(sender.Node)
	c.merge(now, sender, claimSource{})
	source := claimSource{region: sender.Region, complete: message.isComplete()}
	for _, update := range message.Updates {
		c.merge(now, update, source)
	}
	switch message.Kind {
	case Probe:
		c.answerProbe(message)
	case Ack:
		c.handleAck(now, message, known)
	case IndirectProbe:
		c.relayProbe(now, message)
	case Nack:
		c.handleNack(now, message)
	case Join:
		c.answerJoin(now, sender, len(message.Updates))
	}
	return c.flush()
}

// Leave announces a planned stop. The node goes on answering until it exits.
func (c *Core) Leave(now time.Duration) []Message {
	if c.self.State == Leaving {
		return nil
	}
	c.self.State = Leaving
	c.version++
	c.queue.push(c.self.Node)
	c.announce(c.self, leaveFanout*2)
	c.nextProbe = min(c.nextProbe, now+c.options.ProbeInterval)
	return c.flush()
}

// compensateStall moves the deadlines of others by the time that this process was
// frozen, so that a thawed node doesn't blame its peers.
func (c *Core) compensateStall(now time.Duration) {
	stall := now - c.NextWake()
	if c.nextProbe == 0 || stall <= c.options.ProbeInterval {
		return
	}
	c.probe = pendingProbe{}
	for _, record := range c.table.sorted {
		if record.State == Suspect {
			record.suspicionDeadline += stall
		}
	}
}

func (c *Core) isLive(node fleet.NodeID) bool {
	record, known := c.table.byNode[node]
	return known && record.State != Dead
}

// liveMembers returns the members that aren't dead, self included, sorted by node.
func (c *Core) liveMembers() []Member {
	members := make([]Member, 0, c.liveTotal)
	position := 0
	for _, record := range c.table.sorted {
		if record.State == Dead {
			continue
		}
		members = append(members, record.Member)
		if record.Node < c.self.Node {
			position = len(members)
		}
	}
	return slices.Insert(members, position, c.self)
}

// send queues a message with piggybacked updates. The receiver is told first
// what is believed of it, so that it can refute.
func (c *Core) send(kind Kind, to Member, target fleet.NodeID) {
	var updates []Member
	if record, known := c.table.byNode[to.Node]; known && record.State != Alive {
		updates = append(updates, record.Member)
	} else if incarnation, buried := c.table.tombstones[to.Node]; buried && !known {
		to.Incarnation, to.State = incarnation, Dead
		updates = append(updates, to)
	}
	limit := c.options.retransmitLimit(c.liveTotal)
	for _, node := range c.queue.take(c.options.MaxUpdates-len(updates), limit) {
		if node == c.self.Node || node == to.Node {
			continue
		}
		if record, known := c.table.byNode[node]; known {
			updates = append(updates, record.Member)
		}
	}
	c.outbox = append(c.outbox, Message{Kind: kind, To: to.Address, Target: target, Updates: updates})
}

// flush returns the queued messages, each with this node's newest own record.
func (c *Core) flush() []Message {
	messages := c.outbox
	c.outbox = nil
	for i := range messages {
		messages[i].Sender = c.self
	}
	return messages
}

func (m *Message) isComplete() bool { return m.Kind == Join || m.Complete }
