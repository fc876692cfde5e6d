package router

import (
	"context"

	"github.com/tillerfall/tillerfall/internal/rpc"
)

// peerServer serves other routers. It extends the membership peer by the list of machines, for
// routers that have none or follow this one.
type peerServer struct {
	rpc.Peer
	router *Router
}

// Changes implements rpc.Peer.
func (s *peerServer) Changes(ctx context.Context, message *rpc.ChangesRequest) (*rpc.ChangesResponse, error) {
	s.router.observeRevision(message.GetHeader())
	response, err := s.Peer.Changes(ctx, message)
	switch {
	case err != nil:
	case message.GetMachinesFollowed():
		s.router.machineFollower.fillFollowerResponse(message, response)
	case message.GetMachinesWanted():
		response.Machines = s.router.machines.encoded()
	}
	return response, err
}
