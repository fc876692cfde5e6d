package router

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// peerServer answers other routers.
type peerServer struct {
	router *Router
}

var _ rpc.Peer = (*peerServer)(nil)

// Gossip implements rpc.Peer.
func (s *peerServer) Gossip(context.Context, *rpc.GossipMessage) (*rpc.GossipMessage, error) {
	return nil, twirp.Unimplemented.Error("no peers")
}

// Changes implements rpc.Peer. It sends the whole document when the changes are
// no longer held, and the list of machines to a router that has none.
func (s *peerServer) Changes(_ context.Context, message *rpc.ChangesRequest) (*rpc.ChangesResponse, error) {
	s.router.hear(message.GetHeader())
	response := &rpc.ChangesResponse{Header: s.router.header()}
	if message.GetMachinesWanted() {
		response.Machines = s.router.machines.encoded()
	}
	changes, held := s.router.holder.ChangesAfter(fleet.Revision(message.GetAfter()))
	if !held {
		response.Snapshot = s.router.configurationMessage()
		return response, nil
	}
	encoded, err := config.ChangeMessages(changes)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	response.Changes = encoded
	return response, nil
}
