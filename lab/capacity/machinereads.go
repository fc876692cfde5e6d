package capacity

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tillerfall/tillerfall/internal/fleetsync"
	routerprocess "github.com/tillerfall/tillerfall/internal/router"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// machineListFreshness is the maximum age at which a reader's list of machines still serves its
// followers.
const machineListFreshness = 12 * time.Second

// maxReaderWaits is the number of times that a follower waits for a reader's list before it reads
// the list itself.
const maxReaderWaits = 2

// countMachineReads counts the reads of the platform's list of machines by routers that have all
// restarted at once and discover each other over the network.
func countMachineReads(o Options, count int) *callCounter {
	n := newNetwork(o.Seed)
	n.startCold(count)
	counter := &callCounter{}
	readAt := make(map[*networkNode]time.Duration)
	waits := make(map[*networkNode]int)
	for _, node := range n.all {
		random := rand.New(rand.NewPCG(n.random.Uint64(), 3))
		var step func()
		step = func() {
			pause := machineInterval
			switch reader, served := readerState(node, readAt); {
			case reader || (!served && waits[node] >= maxReaderWaits):
				counter.count(n.now())
				readAt[node] = n.now()
				waits[node] = 0
			case served:
				waits[node] = 0
				pause /= 2
			default:
				waits[node]++
				pause /= 2
			}
			n.queue.After(platformDelay+jittered(random, pause), step)
		}
		started := time.Duration(random.Int64N(int64(time.Second)))
		n.queue.After(started, step)
	}
	n.queue.RunUntil(countedTime)
	return counter
}

// machineInterval is the mean time between two reads by one router.
var machineInterval = time.Duration(routerprocess.DefaultSettings().MachineInterval)

// jittered returns a random duration between 3/4 and 5/4 of pause.
func jittered(random *rand.Rand, pause time.Duration) time.Duration {
	return pause*3/4 + time.Duration(random.Int64N(int64(pause/2)+1))
}

// readerState reports whether a router is a reader, and otherwise whether the list of a reader in
// its view is fresh.
func readerState(node *networkNode, readAt map[*networkNode]time.Duration) (reader, served bool) {
	now := node.network.now()
	for _, reader := range fleetsync.Readers(node.member.Region, node.core.View().Routable()) {
		if reader.Node == node.member.Node {
			return true, false
		}
		at, read := readAt[node.network.nodes[reader.Address]]
		served = served || read && now-at <= machineListFreshness
	}
	return false, served
}

// machineListServer serves its list of machines to routers that follow it.
type machineListServer struct {
	fixedResponses
	publisher *fleetsync.Publisher
	lists     [2]*rpc.MachineList
	// changing makes the server switch to the other list on each call.
	changing bool
	calls    int
}

// Changes implements rpc.Peer.
func (s *machineListServer) Changes(_ context.Context, request *rpc.ChangesRequest) (*rpc.ChangesResponse, error) {
	if s.changing {
		s.calls++
	}
	response := &rpc.SyncResponse{}
	s.publisher.FillMachinesResponse(s.lists[s.calls%len(s.lists)], &rpc.SyncRequest{
		VersionsOf:      request.GetMachinesVersionsOf(),
		MachinesVersion: request.GetMachinesVersion(),
		MachinesDigest:  request.GetMachinesDigest(),
	}, response)
	return &rpc.ChangesResponse{
		Header: header(), MachinesCurrent: true, Machines: response.GetMachines(), MachinesStep: response.GetMachinesStep(),
	}, nil
}

// machineListCost returns the cost of one Changes call of a router that follows a list of machines.
// If changing is set, one machine changes between two calls.
func machineListCost(o Options, machines int, changing bool) (callCost, error) {
	list := machineList(machines)
	changed := &rpc.MachineList{Digest: list.GetDigest() + 1, Machines: append([]*rpc.Machine(nil), list.GetMachines()...)}
	leaving := proto.Clone(list.GetMachines()[0]).(*rpc.Machine)
	leaving.Leaving = true
	changed.Machines[0] = leaving
	node := member(0, 0).Node
	server := &machineListServer{
		publisher: fleetsync.NewPublisher(node), lists: [2]*rpc.MachineList{list, changed}, changing: changing,
	}
	e, err := newEndpoint(rpc.NewPeerServer(server))
	if err != nil {
		return callCost{}, err
	}
	defer e.stop()
	client := rpc.NewPeerProtobufClient(e.url, e.client)
	var subscriber fleetsync.Subscriber
	return e.measure(o, func(ctx context.Context) error {
		syncRequest := &rpc.SyncRequest{}
		subscriber.FillRequest(syncRequest)
		response, err := client.Changes(ctx, &rpc.ChangesRequest{
			Header: header(), After: 1 << 20, MachinesFollowed: true, MachinesVersionsOf: syncRequest.GetVersionsOf(),
			MachinesVersion: syncRequest.GetMachinesVersion(), MachinesDigest: syncRequest.GetMachinesDigest(),
		})
		if err != nil {
			return err
		}
		subscriber.Apply(syncRequest, &rpc.SyncResponse{
			Header: response.GetHeader(), Machines: response.GetMachines(), MachinesStep: response.GetMachinesStep(),
		})
		return nil
	})
}
