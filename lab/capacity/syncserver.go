package capacity

import (
	"context"

	"github.com/tillerfall/tillerfall/internal/fleetsync"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// syncServer answers Sync calls with the changes to the lists of routers and engines that the agent
// doesn't hold.
type syncServer struct {
	fixedResponses
	publisher *fleetsync.Publisher
	view      *membership.View
	machines  *rpc.MachineList
}

// Sync implements rpc.Placement.
func (s *syncServer) Sync(_ context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	response := &rpc.SyncResponse{Header: header()}
	s.publisher.FillResponse(s.view, s.machines, request, response)
	return response, nil
}

// incrementalSyncCost returns the cost of a Sync call of an agent that already holds the current
// lists of routers and engines.
func incrementalSyncCost(o Options, routers int) (callCost, error) {
	routerList := members(routers)
	server := &syncServer{
		publisher: fleetsync.NewPublisher(routerList[0].Node),
		view:      membership.NewView(1, routerList[0], routerList),
		machines:  machineList(o.Sizes.Engines[0]),
	}
	var subscriber fleetsync.Subscriber
	return placementCost(o, server, func(ctx context.Context, client rpc.Placement) error {
		request := &rpc.SyncRequest{Header: header()}
		subscriber.FillRequest(request)
		response, err := client.Sync(ctx, request)
		if err != nil {
			return err
		}
		subscriber.Apply(request, response)
		return nil
	})
}
