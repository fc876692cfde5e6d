package capacity

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/lab/eventqueue"
)

// One-way delays of the modelled network.
const (
	zoneDelay   = 250 * time.Microsecond
	regionDelay = 1500 * time.Microsecond
	remoteDelay = 40 * time.Millisecond
	// connectTrips is the number of one-way trips before the first byte of a request on a new
	// connection. Every exchange is modelled as using a new one.
	connectTrips = 2
)

// networkNode is one router's membership core on the virtual network.
type networkNode struct {
	network       *network
	member        membership.Member
	core          *membership.Core
	dissemination *membership.Dissemination
	changeLog     []membership.Change
	down          bool
	wakeAt        time.Duration

	// calls counts the exchanges that the node initiated, bytes the encoded size of the requests and
	// responses that it sent.
	calls int
	bytes int
}

// network connects membership cores by exchanges of encoded messages on a virtual clock.
type network struct {
	queue  *eventqueue.Queue
	random *rand.Rand
	nodes  map[fleet.Address]*networkNode
	all    []*networkNode
	// loss is the probability that a request is lost, and that a response is.
	loss float64
	// isCut reports whether a partition separates two members; nil means no partition.
	isCut func(from, to membership.Member) bool
	// counting enables the encoding and counting of messages.
	counting bool
}

func newNetwork(seed uint64) *network {
	queue := eventqueue.New(seed)
	return &network{queue: queue, random: queue.Random(), nodes: make(map[fleet.Address]*networkNode)}
}

// add starts a router with no other members in its view.
func (n *network) add(self membership.Member) *networkNode {
	seed := n.random.Uint64()
	node := &networkNode{
		network:       n,
		member:        self,
		core:          membership.New(membership.Options{Self: self, Random: rand.New(rand.NewPCG(seed, 1))}),
		dissemination: membership.NewDissemination(membership.DisseminationOptions{Random: rand.New(rand.NewPCG(seed, 2))}),
		wakeAt:        -1,
	}
	n.nodes[self.Address] = node
	n.all = append(n.all, node)
	return node
}

// startConverged starts routers that have each other in their views, and advances time until they
// stop forwarding the initial updates.
func (n *network) startConverged(count int) {
	known := members(count)
	for _, self := range known {
		node := n.add(self)
		node.core.Join(0, nil)
		sender := known[0]
		if self.Node == sender.Node {
			sender = known[1]
		}
		node.core.Receive(0, membership.Message{Kind: membership.Ack, Sender: sender, Updates: known, Complete: true})
		node.scheduleWake()
	}
	// A node forwards each of count records about 4 log10(count) times, 32 per message, with more
	// than two messages per second.
	n.advance(20*time.Second + time.Duration(count)*200*time.Millisecond)
}

// startCold starts routers within one second that have only each other's addresses as seeds.
func (n *network) startCold(count int) {
	known := members(count)
	seeds := make([]fleet.Address, count)
	for i, self := range known {
		seeds[i] = self.Address
	}
	for _, self := range known {
		node := n.add(self)
		n.queue.After(time.Duration(n.random.Int64N(int64(time.Second))), func() {
			node.send(node.core.Join(n.now(), seeds))
		})
	}
}

func (n *network) now() time.Duration { return n.queue.Now() }

func (n *network) advance(duration time.Duration) { n.queue.RunUntil(n.now() + duration) }

// advanceUntil advances time until the condition holds, and returns the elapsed time and true. If
// the limit is reached first, it returns the limit and false.
func (n *network) advanceUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	const step = 50 * time.Millisecond
	start := n.now()
	for !condition() {
		if n.now()-start >= limit {
			return limit, false
		}
		n.advance(step)
	}
	return n.now() - start, true
}

// running returns the nodes that aren't down.
func (n *network) running() []*networkNode {
	var running []*networkNode
	for _, node := range n.all {
		if !node.down {
			running = append(running, node)
		}
	}
	return running
}

// startCounting resets the counters and enables counting.
func (n *network) startCounting() {
	n.counting = true
	for _, node := range n.all {
		node.calls, node.bytes = 0, 0
	}
}

// totals returns the sums of the nodes' counters.
func (n *network) totals() (calls, bytes float64) {
	for _, node := range n.all {
		calls += float64(node.calls)
		bytes += float64(node.bytes)
	}
	return calls, bytes
}

// converged reports whether the view of each running router consists of exactly the running routers.
func (n *network) converged() bool {
	running := n.running()
	for _, node := range running {
		view := node.core.View()
		if len(view.Members()) != len(running) {
			return false
		}
		for _, member := range view.Members() {
			peer := n.nodes[member.Address]
			if member.State != membership.Alive || peer.down || peer.member.Node != member.Node {
				return false
			}
		}
	}
	return true
}

// delay returns a random one-way delay between two members.
func (n *network) delay(from, to membership.Member) time.Duration {
	mean := remoteDelay
	switch {
	case from.Zone == to.Zone:
		mean = zoneDelay
	case from.Region == to.Region:
		mean = regionDelay
	}
	return mean/2 + time.Duration(n.random.Int64N(int64(mean)))
}

// lost reports whether a message is lost, at random or by a partition.
func (n *network) lost(from, to membership.Member) bool {
	return (n.loss > 0 && n.random.Float64() < n.loss) || (n.isCut != nil && n.isCut(from, to))
}

// send initiates an exchange for each message.
func (node *networkNode) send(messages []membership.Message) {
	for _, message := range messages {
		node.dissemination.Piggyback(&message)
		node.exchange(message)
	}
	node.scheduleWake()
}

// exchange transmits one message and its response, as one call does.
func (node *networkNode) exchange(message membership.Message) {
	n := node.network
	node.calls++
	message = node.transmit(message)
	target, exists := n.nodes[message.To]
	if !exists || n.lost(node.member, target.member) {
		return
	}
	trip := n.delay(node.member, target.member) * (connectTrips + 1)
	n.queue.After(trip, func() {
		if target.down {
			return
		}
		response := target.handleRequest(message)
		if response.Kind == 0 || n.lost(target.member, node.member) {
			return
		}
		response.Complete = message.Kind == membership.Join
		n.queue.After(n.delay(target.member, node.member), func() {
			if !node.down {
				node.send(node.handleMessage(response))
			}
		})
	})
}

// handleRequest processes a request and returns its response: the last message addressed to the
// sender. Without one, the response is only a header and the returned message is empty.
func (node *networkNode) handleRequest(message membership.Message) membership.Message {
	messages := node.handleMessage(message)
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].To != message.Sender.Address {
			continue
		}
		response := messages[i]
		node.send(append(messages[:i:i], messages[i+1:]...))
		node.dissemination.Piggyback(&response)
		return node.transmit(response)
	}
	node.send(messages)
	if node.network.counting {
		node.bytes += proto.Size(&rpc.GossipMessage{Header: header()})
	}
	return membership.Message{}
}

// handleMessage passes a message to the membership core and the dissemination, and returns the
// messages to send.
func (node *networkNode) handleMessage(message membership.Message) []membership.Message {
	now := node.network.now()
	node.dissemination.Observe(message.Sender.Address, message.KnownRevision)
	messages := node.core.Receive(now, message)
	next := node.dissemination.NextChanges(message.Changes)
	if len(next) == 0 {
		return messages
	}
	node.changeLog = append(node.changeLog, next...)
	return append(messages, node.dissemination.Publish(now, next, node.core.View())...)
}

// transmit encodes, counts and decodes a message as the transport does.
func (node *networkNode) transmit(message membership.Message) membership.Message {
	if !node.network.counting {
		return message
	}
	data, err := proto.Marshal(message.Encode())
	if err != nil {
		panic(err) // the core must produce encodable messages
	}
	node.bytes += len(data)
	received := &rpc.GossipMessage{}
	if err := proto.Unmarshal(data, received); err != nil {
		panic(err)
	}
	decoded, err := membership.DecodeMessage(received)
	if err != nil {
		panic(err)
	}
	decoded.To = message.To
	decoded.Complete = message.Complete
	return decoded
}

// scheduleWake schedules the node's next tick.
func (node *networkNode) scheduleWake() {
	wake := node.core.NextWake()
	if at, pending := node.dissemination.NextWake(); pending {
		wake = min(wake, at)
	}
	wake = max(wake, node.network.now()+time.Millisecond)
	if wake == node.wakeAt {
		return
	}
	node.wakeAt = wake
	node.network.queue.At(wake, func() {
		if node.wakeAt == wake && !node.down {
			node.wakeAt = -1
			node.tick()
		}
	})
}

func (node *networkNode) tick() {
	now := node.network.now()
	messages := node.core.Tick(now)
	if pull, due := node.dissemination.NextPull(now); due {
		node.pullChanges(pull)
	}
	node.send(append(messages, node.dissemination.Tick(now, node.core.View())...))
}

// pullChanges requests the changes after a revision from another node.
func (node *networkNode) pullChanges(pull membership.Pull) {
	n := node.network
	node.calls++
	node.bytes += proto.Size(&rpc.ChangesRequest{Header: header(), After: uint64(pull.After)})
	source, exists := n.nodes[pull.From]
	if !exists || n.lost(node.member, source.member) {
		return
	}
	n.queue.After(n.delay(node.member, source.member)*(connectTrips+1), func() {
		if source.down || n.lost(source.member, node.member) {
			return
		}
		changes := source.changeLog[min(int(pull.After), len(source.changeLog)):]
		response := membership.Message{Kind: membership.Ack, Sender: source.member, Changes: changes}
		source.bytes += proto.Size(response.Encode())
		n.queue.After(n.delay(source.member, node.member), func() { node.receivePulled(changes) })
	})
}

func (node *networkNode) receivePulled(changes []membership.Change) {
	if node.down {
		return
	}
	next := node.dissemination.NextChanges(changes)
	if len(next) == 0 {
		return
	}
	node.changeLog = append(node.changeLog, next...)
	node.send(node.dissemination.Publish(node.network.now(), next, node.core.View()))
}

// publish publishes a change at the node with the revision after its latest one.
func (node *networkNode) publish(patch []byte) fleet.Revision {
	revision := node.dissemination.Held() + 1
	changes := []membership.Change{{Revision: revision, Patch: patch}}
	node.changeLog = append(node.changeLog, changes...)
	node.send(node.dissemination.Publish(node.network.now(), changes, node.core.View()))
	return revision
}

// allHold reports whether all running nodes hold a revision.
func (n *network) allHold(revision fleet.Revision) bool {
	for _, node := range n.running() {
		if node.dissemination.Held() < revision {
			return false
		}
	}
	return true
}
