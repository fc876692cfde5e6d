package router

import (
	"context"

	"github.com/tillerfall/tillerfall/internal/rpc"
)

// peerServer answers other routers: the peer itself, and the list of machines
// to a router that has none.
type peerServer struct {
	rpc.Peer
	router *Router
}

// Changes implements rpc.Peer.
func (s *peerServer) Changes(ctx context.Context, message *rpc.ChangesRequest) (*rpc.ChangesResponse, error) {
	s.router.hear(message.GetHeader())
	response, err := s.Peer.Changes(ctx, message)
	if err == nil && message.GetMachinesWanted() {
		response.Machines = s.router.machines.encoded()
	}
	return response, err
}
