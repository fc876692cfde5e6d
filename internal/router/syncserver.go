package router

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// Sync implements rpc.Placement. It exchanges the configuration and the list of machines with an
// agent; the side that is behind is updated.
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
	if err := s.fillConfiguration(message, response); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	s.router.listPublisher.FillResponse(s.router.peers.View(), s.router.machines.encoded(), message, response)
	return response, nil
}

// fillConfiguration adds the configuration changes that an agent is missing, or the whole
// document if the changes are not available or the agent can't apply them.
func (s *placementServer) fillConfiguration(message *rpc.SyncRequest, response *rpc.SyncResponse) error {
	known := message.GetHeader().GetKnownRevision()
	if known >= response.GetHeader().GetKnownRevision() {
		return nil
	}
	if known > 0 && !message.GetConfigSnapshotWanted() {
		changes, available := s.router.holder.ChangesAfter(fleet.Revision(known))
		if available {
			var err error
			response.ConfigChanges, err = config.ChangeMessages(changes)
			return err
		}
	}
	response.Config = s.router.configurationMessage()
	return nil
}
