package router

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// Sync implements rpc.Placement. Configuration and machine list go to the side
// that lacks them.
func (s *placementServer) Sync(_ context.Context, message *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	s.router.offerConfiguration(message.GetConfig(), message.GetHeader().GetSender())
	s.router.observeRevision(message.GetHeader())
	s.router.machines.offer(message.GetMachines())
	response := &rpc.SyncResponse{
		Header:         s.router.header(),
		Stopping:       s.router.isStopping(),
		MachinesWanted: !s.router.machines.isKnown(),
		IndexReplicas:  uint32(s.router.options.Settings.IndexReplicas),
	}
	if err := s.answerConfiguration(message, response); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	s.router.listPublisher.FillResponse(s.router.peers.View(), s.router.machines.encoded(), message, response)
	return response, nil
}

// answerConfiguration adds what an agent that is behind lacks: the changes, or
// the whole document if they aren't held or are of no use to the agent.
func (s *placementServer) answerConfiguration(message *rpc.SyncRequest, response *rpc.SyncResponse) error {
	known := message.GetHeader().GetKnownRevision()
	if known >= response.GetHeader().GetKnownRevision() {
		return nil
	}
	if known > 0 && !message.GetConfigSnapshotWanted() {
		changes, held := s.router.holder.ChangesAfter(fleet.Revision(known))
		if held {
			var err error
			response.ConfigChanges, err = config.ChangeMessages(changes)
			return err
		}
	}
	response.Config = s.router.configurationMessage()
	return nil
}
