package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// delivery is a message or pull in flight, or the wake-up of a node.
type delivery struct {
	at      time.Duration
	order   uint64
	to      fleet.Address
	message Message
	wake    bool
	pull    *pullRequest
}

// pullRequest asks for the changes after a revision, as the Changes call does.
type pullRequest struct {
	from  fleet.Address
	after fleet.Revision
}

type deliveries []delivery

func (d deliveries) Len() int      { return len(d) }
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || (d[i].at == d[j].at && d[i].order < d[j].order)
}
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// node is one core in the simulated network.
type node struct {
	core          *Core
	dissemination *Dissemination
	down          bool
	paused        bool
	wakeAt        time.Duration
	deferred      []delivery
	changes       []Change
	bytes         int
	sent          int
}

// network simulates a network on a virtual clock with seeded randomness.
type network struct {
	t        testing.TB
	random   *rand.Rand
	now      time.Duration
	order    uint64
	queue    deliveries
	nodes    map[fleet.Address]*node
	all      []*node
	loss     float64
	counting bool
	regions  int
	// blocked reports whether messages from one member to another are lost.
	blocked func(from, to Member) bool
}

func newNetwork(t testing.TB, seed uint64, regions int) *network {
	return &network{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), regions: regions,
		nodes: make(map[fleet.Address]*node),
	}
}

func (n *network) member(index int) Member {
	region := index % n.regions
	return Member{
		Node:    fleet.NodeID(fmt.Sprintf("router-%04d-8f14e45fceea", index)),
		Address: fleet.Address(fmt.Sprintf("10.0.%d.%d:7070", index/250, index%250)),
		Region:  fleet.RegionName(fmt.Sprintf("region-%d", region)),
		Zone:    fleet.ZoneName(fmt.Sprintf("region-%d-zone-%d", region, index/n.regions%2)),
	}
}

// start adds nodes up to the given count, which join through the seeds.
func (n *network) start(count int) {
	for index := len(n.all); index < count; index++ {
		n.startNode(n.member(index))
	}
}

func (n *network) startNode(self Member) *node {
	seed := n.random.Uint64()
	started := &node{
		core:          New(Options{Self: self, Random: rand.New(rand.NewPCG(seed, 2))}),
		dissemination: NewDissemination(DisseminationOptions{Random: rand.New(rand.NewPCG(seed, 3))}),
	}
	n.nodes[self.Address] = started
	n.all = append(n.all, started)
	n.send(started, started.core.Join(n.now, n.seeds()))
	return started
}

func (n *network) seeds() []fleet.Address {
	return []fleet.Address{n.member(0).Address, n.member(1).Address, n.member(2).Address}
}

// startConverged adds nodes that already have the full membership, which saves the joins.
func (n *network) startConverged(count int) {
	members := make([]Member, count)
	for index := range members {
		members[index] = n.member(index)
		members[index].State = Alive
	}
	for _, self := range members {
		started := n.startNode(self)
		for _, member := range members {
			started.core.merge(n.now, member, claimSource{complete: true})
		}
		started.core.queue = broadcastQueue{}
		started.core.join.pending = false
		started.core.nextExchange = n.now + started.core.randomDelay(started.core.options.exchangeDelay(count))
	}
	n.queue = slices.DeleteFunc(n.queue, func(d delivery) bool { return !d.wake })
	heap.Init(&n.queue)
}

// clearSeeds removes the seeds of all nodes, so that they depend on their membership alone.
func (n *network) clearSeeds() {
	for _, x := range n.all {
		x.core.Join(n.now, nil)
	}
}

func (n *network) push(d delivery) {
	n.order++
	d.order = n.order
	heap.Push(&n.queue, d)
}

func (n *network) send(from *node, messages []Message) {
	for _, message := range messages {
		from.dissemination.Piggyback(&message)
		if n.counting {
			from.sent++
			from.bytes += proto.Size(message.Encode())
		}
		target, exists := n.nodes[message.To]
		lost := n.loss > 0 && n.random.Float64() < n.loss
		if !exists || lost || (n.blocked != nil && n.blocked(from.core.Self(), target.core.Self())) {
			continue
		}
		delay := time.Millisecond + time.Duration(n.random.Int64N(int64(3*time.Millisecond)))
		n.push(delivery{at: n.now + delay, to: message.To, message: message})
	}
	wake := from.core.NextWake()
	if at, pending := from.dissemination.NextWake(); pending {
		wake = max(n.now, min(wake, at))
	}
	if wake != from.wakeAt {
		from.wakeAt = wake
		n.push(delivery{at: from.wakeAt, to: from.core.Self().Address, wake: true})
	}
}

// advance advances the virtual clock and delivers what is due.
func (n *network) advance(duration time.Duration) {
	until := n.now + duration
	for len(n.queue) > 0 && n.queue[0].at <= until {
		next := heap.Pop(&n.queue).(delivery)
		n.now = next.at
		if target := n.nodes[next.to]; target != nil && !target.down {
			n.deliver(target, next)
		}
	}
	n.now = until
}

func (n *network) deliver(target *node, next delivery) {
	switch {
	case target.paused:
		target.deferred = append(target.deferred, next)
	case next.pull != nil:
		changes := target.changes[min(int(next.pull.after), len(target.changes)):]
		answer := Message{Kind: Ack, To: next.pull.from, Sender: target.core.Self(), Changes: changes}
		n.send(target, []Message{answer})
	case !next.wake:
		messages := target.core.Receive(n.now, next.message)
		messages = append(messages, n.takeChanges(target, next.message)...)
		n.pull(target)
		n.send(target, messages)
	case next.at == target.wakeAt:
		messages := target.core.Tick(n.now)
		if _, pending := target.dissemination.NextWake(); pending {
			messages = append(messages, target.dissemination.Tick(n.now, target.core.View())...)
		}
		n.pull(target)
		n.send(target, messages)
	}
}

// takeChanges applies the changes of a message and publishes them.
func (n *network) takeChanges(x *node, message Message) []Message {
	x.dissemination.Observe(message.Sender.Address, message.KnownRevision)
	next := x.dissemination.NextChanges(message.Changes)
	x.changes = append(x.changes, next...)
	if len(next) == 0 {
		return nil
	}
	return x.dissemination.Publish(n.now, next, x.core.View())
}

// pull sends the pull that is due, if any.
func (n *network) pull(from *node) {
	pull, due := from.dissemination.NextPull(n.now)
	if !due || n.random.Float64() < n.loss {
		return
	}
	request := &pullRequest{from: from.core.Self().Address, after: pull.After}
	n.push(delivery{at: n.now + time.Millisecond, to: pull.From, pull: request})
}

// resume ends the pause of a node and delivers the messages received meanwhile.
func (n *network) resume(target *node) {
	target.paused = false
	target.wakeAt = -1
	n.send(target, target.core.Tick(n.now))
	for _, held := range target.deferred {
		if !held.wake {
			held.at = n.now
			n.push(held)
		}
	}
	target.deferred = nil
}

// restart replaces the process at a node's address by a new one.
func (n *network) restart(index int, generation string) *node {
	old := n.all[index]
	old.down = true
	self := n.member(index)
	self.Node += fleet.NodeID(generation)
	return n.startNode(self)
}

// running returns the nodes that run.
func (n *network) running() []*node {
	return slices.DeleteFunc(slices.Clone(n.all), func(x *node) bool { return x.down })
}

// advanceUntil advances the clock until the condition holds and returns how long it took.
func (n *network) advanceUntil(limit time.Duration, condition func() bool) time.Duration {
	n.t.Helper()
	start := n.now
	for !condition() {
		require.Less(n.t, n.now-start, limit, "condition not met in time")
		n.advance(100 * time.Millisecond)
	}
	return n.now - start
}

// converged reports whether each running node sees exactly the running nodes, all as alive.
func (n *network) converged() bool {
	running := n.running()
	for _, x := range running {
		members := x.core.Members()
		if len(members) != len(running) {
			return false
		}
		for _, member := range members {
			if owner := n.nodes[member.Address]; member.State != Alive || owner.down || owner.core.Self().Node != member.Node {
				return false
			}
		}
	}
	return true
}

// state returns the state that this node records for another, or 0.
func (x *node) state(of *node) State {
	if record, known := x.core.table.byNode[of.core.Self().Node]; known {
		return record.State
	}
	return 0
}

// allSee reports whether all other running nodes see a node in one of the states.
func (n *network) allSee(of *node, states ...State) bool {
	for _, x := range n.running() {
		if x != of && !slices.Contains(states, x.state(of)) {
			return false
		}
	}
	return true
}
