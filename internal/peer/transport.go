package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/tillerfall/tillerfall/internal/boundedhttp"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

// call is a queued call: a pull if one is set, else a message.
type call struct {
	message membership.Message
	pull    *membership.Pull
}

// newHTTPClient returns a client that keeps connections open or, without keep, opens one for each
// call.
func newHTTPClient(meter *traffic.Meter, keep bool) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{
		DialContext:         meter.Dial(dialer.DialContext),
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   !keep,

		MaxResponseHeaderBytes: boundedhttp.MaxHeadBytes,
	}
	return &http.Client{Transport: boundedhttp.Transport{
		Next:         minimalHeaders{next: traffic.RoundTripper{Next: transport}},
		MaxBodyBytes: maxMessageBytes,
	}}
}

// pooledMembersLimit is the number of members from which gossip uses single-use connections. A
// node probes one member a second. Of 128 members it meets only a fifth again within idleTimeout,
// while two kept connections a second, with buffers of about 25 KB each, are most of the memory of an
// idle node.
const pooledMembersLimit = 128

func (p *Peer) client(address fleet.Address) rpc.Peer {
	return rpc.NewPeerProtobufClient("http://"+string(address), p.pooledClient)
}

// gossipClient returns a client for calls to randomly chosen members.
func (p *Peer) gossipClient(address fleet.Address) rpc.Peer {
	if len(p.Members()) < pooledMembersLimit {
		return p.client(address)
	}
	return rpc.NewPeerProtobufClient("http://"+string(address), p.singleUseClient)
}

// ExchangeLoad sends this process's load report to a member and returns the member's own.
func (p *Peer) ExchangeLoad(ctx context.Context, address fleet.Address, report *rpc.LoadReport) (*rpc.LoadReport, error) {
	return p.client(address).ShareLoad(ctx, report)
}

// responseBodyTimeout bounds the time from the first byte of a response to its last. A member may
// send large responses to many others at once.
const responseBodyTimeout = 3 * time.Second

// Causes of a canceled call: the response did not begin, or did not end, in time.
var (
	errFirstByteTimeout = errors.New("response did not begin in time")
	errBodyTimeout      = errors.New("response did not end in time")
)

// withResponseTimeouts returns a context that ends if a response does not begin within first, or does
// not end within whole after that. With a single timeout, a member that sends a long response over
// a busy link would be taken for unresponsive, and another one asked for the same data.
func withResponseTimeouts(ctx context.Context, first, whole time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	var begun atomic.Bool
	timer := time.AfterFunc(first, func() {
		if begun.Load() {
			cancel(errBodyTimeout)
			return
		}
		cancel(errFirstByteTimeout)
	})
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() {
		begun.Store(true)
		timer.Reset(whole)
	}}
	stop := func() {
		timer.Stop()
		cancel(nil)
	}
	return httptrace.WithClientTrace(ctx, trace), stop
}

// RequestWatch asks a member for changes in the store's tables. firstByte bounds the time until the
// response begins.
func (p *Peer) RequestWatch(ctx context.Context, address fleet.Address, firstByte time.Duration, request *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	ctx, cancel := withResponseTimeouts(ctx, firstByte, responseBodyTimeout)
	defer cancel()
	return p.client(address).Watch(ctx, request)
}

// distance returns the network distance to the member at an address.
func (p *Peer) distance(address fleet.Address) traffic.Distance {
	view := p.View()
	for _, member := range view.Members() {
		if member.Address == address {
			return traffic.Between(location(view.Self), location(member))
		}
	}
	return traffic.Unknown
}

// location returns the location of a member.
func location(member membership.Member) membership.Location {
	return membership.Location{Zone: member.Zone, Region: member.Region}
}

// ErrUnavailable reports that a member cannot answer a request at the moment.
var ErrUnavailable = errors.New("unavailable")

// RequestCaches asks a member for changes in the caches of its zone. It returns ErrUnavailable if
// the member cannot provide them.
func (p *Peer) RequestCaches(ctx context.Context, address fleet.Address, request *rpc.CachesRequest) (*rpc.CachesResponse, error) {
	response, err := p.client(address).Caches(ctx, request)
	var failure twirp.Error
	if errors.As(err, &failure) && failure.Code() == twirp.Unavailable {
		return nil, errors.Wrap(ErrUnavailable, failure.Msg())
	}
	return response, err
}

// RequestGrant asks a member whether a request may be sent to a worker with a limit.
func (p *Peer) RequestGrant(ctx context.Context, address fleet.Address, question *rpc.LimitQuestion) (*rpc.LimitAnswer, error) {
	return p.client(address).GrantSend(ctx, question)
}

// SendStreamRecords makes a member hold records of where streams began.
func (p *Peer) SendStreamRecords(ctx context.Context, address fleet.Address, records *rpc.StreamRecords) error {
	_, err := p.client(address).RecordStreams(ctx, records)
	return err
}

// QueryStream asks a member where a stream began.
func (p *Peer) QueryStream(ctx context.Context, address fleet.Address, query *rpc.StreamQuery) (*rpc.StreamAnswer, error) {
	return p.client(address).FindStream(ctx, query)
}

func (p *Peer) send(messages []membership.Message) {
	for _, message := range messages {
		p.enqueue(call{message: message})
	}
}

func (p *Peer) enqueue(next call) {
	select {
	case p.calls <- next:
	default:
		p.metrics.dropped.Inc()
	}
}

// sendLoop performs queued calls, one at a time.
func (p *Peer) sendLoop() error {
	ctx := p.tomb.Context(context.Background())
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case next := <-p.calls:
			if next.pull != nil {
				p.pullChanges(ctx, *next.pull)
			} else {
				p.deliver(ctx, next.message)
			}
		}
	}
}

// deliver sends a message and processes the answer.
func (p *Peer) deliver(ctx context.Context, message membership.Message) {
	timeout, purpose := probeTimeout, traffic.Probes
	if message.Kind == membership.Join {
		timeout, purpose = transferTimeout, traffic.Exchanges
	}
	ctx = traffic.With(ctx, purpose, p.distance(message.To))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := message.EncodePacked()
	if err != nil {
		p.options.Logger.Error().Err(err).Str("address", string(message.To)).Msg("peer_message_unencoded")
		return
	}
	p.metrics.count(directionSent, request.GetKind().String(), proto.Size(request))
	answer, err := p.gossipClient(message.To).Gossip(ctx, request)
	if err != nil {
		p.metrics.failed.Inc()
		p.options.Logger.Debug().Err(err).Str("address", string(message.To)).Msg("peer_call_failed")
		return
	}
	p.metrics.count(directionReceived, answer.GetKind().String(), proto.Size(answer))
	if answer.GetKind() == rpc.GossipKind_GOSSIP_KIND_UNSPECIFIED {
		p.observe(message.To, answer.GetHeader())
		return
	}
	received, err := membership.DecodeMessage(answer)
	if err != nil {
		p.options.Logger.Warn().Err(err).Str("address", string(message.To)).Msg("peer_answer_malformed")
		return
	}
	received.Complete = message.Kind == membership.Join
	p.send(p.receive(received))
}

// receive processes a message and returns the messages to send.
func (p *Peer) receive(message membership.Message) []membership.Message {
	p.applyChanges(message.Sender.Address, message.Changes)
	return p.step(func(now time.Duration) []membership.Message {
		p.dissemination.Observe(message.Sender.Address, message.KnownRevision)
		return p.core.Receive(now, message)
	})
}

// observe records the configuration revision of a header.
func (p *Peer) observe(address fleet.Address, header *rpc.Header) {
	p.step(func(time.Duration) []membership.Message {
		p.dissemination.Observe(address, fleet.Revision(header.GetKnownRevision()))
		return nil
	})
}

// applyChanges applies another router's configuration changes. Those that do not directly follow
// the held revision are pulled later.
func (p *Peer) applyChanges(from fleet.Address, changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	decoded, err := decodeChanges(changes)
	if err == nil {
		_, _, err = p.options.Holder.OfferChanges(decoded)
	}
	if err != nil {
		p.options.Logger.Warn().Err(err).Str("address", string(from)).Msg("configuration_change_refused")
	}
}

// pullChanges pulls the configuration changes that this router is missing.
func (p *Peer) pullChanges(ctx context.Context, pull membership.Pull) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	request := &rpc.ChangesRequest{Header: p.header(), After: uint64(pull.After)}
	p.metrics.count(directionSent, kindPull, proto.Size(request))
	response, err := p.client(pull.From).Changes(ctx, request)
	if err != nil {
		p.metrics.failed.Inc()
		p.options.Logger.Debug().Err(err).Str("address", string(pull.From)).Msg("configuration_pull_failed")
		return
	}
	p.metrics.count(directionReceived, kindPull, proto.Size(response))
	if err := p.applyPullResponse(response); err != nil {
		p.options.Logger.Warn().Err(err).Str("address", string(pull.From)).Msg("configuration_refused")
	}
}

func (p *Peer) applyPullResponse(response *rpc.ChangesResponse) error {
	if snapshot := response.GetSnapshot(); snapshot != nil {
		document, err := config.DocumentFromMessage(snapshot)
		if err != nil {
			return err
		}
		if _, err = p.options.Holder.OfferSnapshot(document); err != nil {
			return errors.Wrap(err, "apply snapshot")
		}
		return nil
	}
	changes, err := config.ChangesFromMessages(response.GetChanges())
	if err != nil {
		return err
	}
	if _, _, err = p.options.Holder.OfferChanges(changes); err != nil {
		return errors.Wrap(err, "apply changes")
	}
	return nil
}

func (p *Peer) header() *rpc.Header {
	return &rpc.Header{
		Sender:        string(p.options.Membership.Self.Node),
		KnownRevision: uint64(p.options.Holder.Revision()),
	}
}

// encodeChanges encodes changes for membership messages.
func encodeChanges(changes []config.Change) ([]membership.Change, error) {
	encoded, err := config.ChangeMessages(changes)
	if err != nil {
		return nil, err
	}
	return membership.DecodeChanges(encoded), nil
}

func decodeChanges(changes []membership.Change) ([]config.Change, error) {
	message := membership.Message{Changes: changes}
	return config.ChangesFromMessages(message.Encode().GetChanges())
}
