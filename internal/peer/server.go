package peer

import (
	"context"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

var _ rpc.Peer = (*Peer)(nil)

// Gossip implements rpc.Peer. If there is no message to answer with, the response has an
// unspecified kind and only a header.
func (p *Peer) Gossip(_ context.Context, request *rpc.GossipMessage) (*rpc.GossipMessage, error) {
	p.metrics.count(directionReceived, request.GetKind().String(), proto.Size(request))
	message, err := membership.DecodeMessage(request)
	if err != nil {
		return nil, twirp.InvalidArgumentError("message", err.Error())
	}
	answer, others := splitAnswer(p.receive(message), message.Sender.Address)
	p.send(others)
	if answer == nil {
		return &rpc.GossipMessage{Header: p.header()}, nil
	}
	encoded := answer.Encode()
	if request.GetTakesPacked() {
		if encoded, err = answer.EncodePacked(); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
	}
	p.metrics.count(directionSent, encoded.GetKind().String(), proto.Size(encoded))
	return encoded, nil
}

// splitAnswer removes the last message to the sender and returns it and the others.
func splitAnswer(messages []membership.Message, sender fleet.Address) (*membership.Message, []membership.Message) {
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].To == sender {
			answer := messages[i]
			return &answer, append(messages[:i], messages[i+1:]...)
		}
	}
	return nil, messages
}

// Changes implements rpc.Peer. It returns the full document if the changes after the requested
// revision are no longer held.
func (p *Peer) Changes(_ context.Context, request *rpc.ChangesRequest) (*rpc.ChangesResponse, error) {
	response := &rpc.ChangesResponse{Header: p.header()}
	changes, held := p.options.Holder.ChangesAfter(fleet.Revision(request.GetAfter()))
	var err error
	if held {
		response.Changes, err = config.ChangeMessages(changes)
	} else if view := p.options.Holder.Current(); view != nil {
		response.Snapshot, err = config.SnapshotMessage(view.Document())
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return response, nil
}

// ShareLoad implements rpc.Peer.
func (p *Peer) ShareLoad(ctx context.Context, request *rpc.LoadReport) (*rpc.LoadReport, error) {
	if p.options.HandleLoadReport == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this process shares no load")
	}
	return p.options.HandleLoadReport(ctx, request), nil
}

// Watch implements rpc.Peer.
func (p *Peer) Watch(ctx context.Context, request *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	if p.options.HandleWatch == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this process keeps no tables")
	}
	return p.options.HandleWatch(ctx, request), nil
}

// Caches implements rpc.Peer.
func (p *Peer) Caches(ctx context.Context, request *rpc.CachesRequest) (*rpc.CachesResponse, error) {
	if p.options.HandleCaches == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this process follows no caches")
	}
	response, err := p.options.HandleCaches(ctx, request)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return response, nil
}

// GrantSend implements rpc.Peer.
func (p *Peer) GrantSend(ctx context.Context, question *rpc.LimitQuestion) (*rpc.LimitAnswer, error) {
	if p.options.HandleLimitQuestion == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this process grants no requests")
	}
	answer, err := p.options.HandleLimitQuestion(ctx, question)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return answer, nil
}

// RecordStreams implements rpc.Peer.
func (p *Peer) RecordStreams(_ context.Context, records *rpc.StreamRecords) (*rpc.StreamRecordsKept, error) {
	if p.options.HandleStreamRecords == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this process holds no records of streams")
	}
	p.options.HandleStreamRecords(records)
	return &rpc.StreamRecordsKept{}, nil
}

// FindStream implements rpc.Peer.
func (p *Peer) FindStream(_ context.Context, query *rpc.StreamQuery) (*rpc.StreamAnswer, error) {
	if p.options.HandleStreamQuery == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this process holds no records of streams")
	}
	return p.options.HandleStreamQuery(query), nil
}
