package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Core is the membership state machine of one node. It is not safe for concurrent use; its views
// are.
type Core struct {
	options Options
	random  *rand.Rand
	self    Member
	table   table
	queue   broadcastQueue
	outbox  []Message

	// live counts the members that are not dead, including self, by region. liveTotal is their sum.
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
	// remainingRejoins is the number of early full exchanges that are left after a join.
	// rejoinLiveTotal is the largest number of live members seen by them, and unchangedRejoins
	// counts the latest of them that found no more.
	remainingRejoins int
	rejoinLiveTotal  int
	unchangedRejoins int
}

// New returns a core whose only member is the node itself.
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

// Self returns the record of this node.
func (c *Core) Self() Member { return c.self }

// Version returns a number that increases with each change of the membership.
func (c *Core) Version() uint64 { return c.version }

// HasChangedSince reports whether the membership has changed since the given version.
func (c *Core) HasChangedSince(since uint64) bool { return c.version > since }

// Members returns all members that are not dead, including self, sorted by node.
func (c *Core) Members() []Member { return c.View().Members() }

// View returns a snapshot of the membership.
func (c *Core) View() *View {
	if c.view == nil || c.view.Version != c.version {
		c.view = newSortedView(c.version, c.self, c.liveMembers())
	}
	return c.view
}

// NextWake returns when Tick must be called next. Every call of Tick, Receive, Join and Leave may
// change it.
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

// Tick performs the work that is due and returns the messages to send. Calling it early is
// harmless.
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

// Receive processes one message and returns the messages to send. The last one addressed to the
// sender is the answer.
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

// Leave announces a planned stop. The node continues to answer until it exits.
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

// compensateStall extends suspicion deadlines by the time that this process was paused. Otherwise a
// resumed node would declare its peers dead.
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

// liveMembers returns the members that are not dead, including self, sorted by node.
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

// send queues a message with piggybacked updates. Unless the receiver is alive by this node's
// table, its own record comes first, which lets it refute the claim.
func (c *Core) send(kind Kind, to Member, target fleet.NodeID) {
	var updates []Member
	if record, known := c.table.byNode[to.Node]; known && record.State != Alive {
		updates = append(updates, record.Member)
	} else if incarnation, hasTombstone := c.table.tombstones[to.Node]; hasTombstone && !known {
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

// flush returns the queued messages, each with this node's current record as the sender.
func (c *Core) flush() []Message {
	messages := c.outbox
	c.outbox = nil
	for i := range messages {
		messages[i].Sender = c.self
	}
	return messages
}

func (m *Message) isComplete() bool { return m.Kind == Join || m.Complete }
