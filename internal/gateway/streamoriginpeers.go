package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/streamorigin"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

const (
	// recordReplicas is the number of other gateways that hold a record. Of a few gateways more than half may
	// be lost at once, with the one that relayed the first event among them.
	recordReplicas = 3
	// recordCandidates is the number of gateways that are asked for a record: more than hold it, since
	// restarted gateways may have taken the places of some holders.
	recordCandidates = recordReplicas + 2
	// recordCallTimeout bounds a call that hands records over, and originAnswerTimeout the time to find out
	// where a stream began, after which the caller is refused.
	recordCallTimeout   = 250 * time.Millisecond
	originAnswerTimeout = 150 * time.Millisecond
	// maxRecordCalls bounds the concurrent calls that hand over the records of all recent streams.
	maxRecordCalls = 16
)

// recordQueues holds the records that are to be sent to other gateways. While a call to one is under way,
// its further records wait and are sent together. It is safe for concurrent use.
type recordQueues struct {
	mutex  sync.Mutex
	queues map[fleet.NodeID][]queuedRecord
}

type queuedRecord struct {
	key    streamorigin.Key
	origin streamorigin.Origin
	kept   *keptSignal
}

// keptSignal tells that at least one other gateway holds a record, or that one can't.
type keptSignal struct {
	once sync.Once
	held chan struct{}
}

func newKeptSignal() *keptSignal { return &keptSignal{held: make(chan struct{})} }

func (k *keptSignal) notify() { k.once.Do(func() { close(k.held) }) }

func newRecordQueues() *recordQueues {
	return &recordQueues{queues: make(map[fleet.NodeID][]queuedRecord)}
}

// add queues a record and reports whether the caller must begin to send.
func (q *recordQueues) add(to fleet.NodeID, record queuedRecord) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	queue, sending := q.queues[to]
	q.queues[to] = append(queue, record)
	return !sending
}

// take returns the queued records. If there is none, sending ends.
func (q *recordQueues) take(to fleet.NodeID) []queuedRecord {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	taken := q.queues[to]
	if len(taken) == 0 {
		delete(q.queues, to)
		return nil
	}
	q.queues[to] = []queuedRecord{}
	return taken
}

// replicateRecord sends a record to the gateways that are to hold it. It returns nil if there is none.
func (g *Gateway) replicateRecord(key streamorigin.Key, origin streamorigin.Origin) *keptSignal {
	holders := g.recordHolders(key)
	if len(holders) == 0 {
		return nil
	}
	kept := newKeptSignal()
	for _, member := range holders {
		if g.recordQueues.add(member.Node, queuedRecord{key: key, origin: origin, kept: kept}) {
			go g.sendRecords(member)
		}
	}
	return kept
}

// recordHolders returns the other gateways that are to hold the record of a stream.
func (g *Gateway) recordHolders(key streamorigin.Key) []membership.Member {
	return membership.TopMembers(uint64(key), g.peers.View().Members(), g.node, recordReplicas)
}

// sendRecords sends the records that are queued for a gateway until there are no more.
func (g *Gateway) sendRecords(member membership.Member) {
	for records := g.recordQueues.take(member.Node); len(records) > 0; records = g.recordQueues.take(member.Node) {
		g.callWithRecords(member, records)
	}
}

// callWithRecords hands records over to a gateway in one call. One of an earlier release can't hold them,
// and there is nothing to wait for.
func (g *Gateway) callWithRecords(member membership.Member, records []queuedRecord) {
	ctx, cancel := context.WithTimeout(g.peerCallContext(traffic.StreamRecords, member), recordCallTimeout)
	defer cancel()
	err := g.peers.SendStreamRecords(ctx, member.Address, encodeRecords(records))
	if err != nil {
		g.metrics.peerFailures.Inc()
		g.logger.Debug().Err(err).Str("peer", string(member.Node)).Int("records", len(records)).Msg("stream_records_unsent")
	}
	if err != nil && !isUnknownCall(err) {
		return
	}
	for _, record := range records {
		record.kept.notify()
	}
}

// isUnknownCall reports whether a call failed since the other gateway is of an earlier release.
func isUnknownCall(err error) bool {
	var failure twirp.Error
	return errors.As(err, &failure) && failure.Code() == twirp.BadRoute
}

// replicatePrivate sends the records of a service's streams that no other gateway holds, since their origins
// are no longer evident.
func (g *Gateway) replicatePrivate(service fleet.PoolName) {
	records := g.streamOrigins.takePrivate(service)
	queues := make(map[fleet.NodeID][]queuedRecord)
	var members []membership.Member
	for key, origin := range records {
		for _, member := range g.recordHolders(key) {
			if queues[member.Node] == nil {
				members = append(members, member)
			}
			queues[member.Node] = append(queues[member.Node], queuedRecord{key: key, origin: origin, kept: newKeptSignal()})
		}
	}
	newFanout(maxRecordCalls).call(g.life.Dying(), members, func(member membership.Member) {
		g.callWithRecords(member, queues[member.Node])
	})
	g.events.line("stream_records_replicated").Str("service", string(service)).Int("records", len(records)).Int("nodes", len(members)).Msg("stream_records_replicated")
}

func encodeRecords(records []queuedRecord) *rpc.StreamRecords {
	byOrigin := make(map[streamorigin.Origin]*rpc.StreamOrigin)
	message := &rpc.StreamRecords{}
	for _, record := range records {
		encoded := byOrigin[record.origin]
		if encoded == nil {
			encoded = &rpc.StreamOrigin{Service: string(record.origin.Service), Version: string(record.origin.Version)}
			byOrigin[record.origin] = encoded
			message.Origins = append(message.Origins, encoded)
		}
		encoded.Keys = append(encoded.Keys, uint64(record.key))
	}
	return message
}

func decodeOrigin(message *rpc.StreamOrigin) streamorigin.Origin {
	return streamorigin.Origin{Service: fleet.PoolName(message.GetService()), Version: fleet.SoftwareVersion(message.GetVersion())}
}

// handleStreamRecords holds records of another gateway.
func (g *Gateway) handleStreamRecords(message *rpc.StreamRecords) {
	now := g.now()
	for _, encoded := range message.GetOrigins() {
		origin := decodeOrigin(encoded)
		for _, key := range encoded.GetKeys() {
			g.streamOrigins.addReplica(now, streamorigin.Key(key), origin)
		}
	}
}

// handleStreamQuery answers another gateway that looks for the origin of a stream.
func (g *Gateway) handleStreamQuery(query *rpc.StreamQuery) *rpc.StreamAnswer {
	answer := g.streamOrigins.answer(g.now(), streamorigin.Key(query.GetKey()), fleet.PoolName(query.GetService()))
	encoded := &rpc.StreamAnswer{Complete: answer.Complete}
	for _, version := range answer.Versions {
		encoded.Versions = append(encoded.Versions, string(version))
	}
	if answer.HasRecord {
		origin := answer.Record.Origin
		encoded.Origin = &rpc.StreamOrigin{Service: string(origin.Service), Version: string(origin.Version)}
		encoded.Ambiguous = answer.Record.Ambiguous
	}
	return encoded
}

func decodeStreamAnswer(message *rpc.StreamAnswer) streamorigin.Answer {
	answer := streamorigin.Answer{Complete: message.GetComplete()}
	for _, version := range message.GetVersions() {
		answer.Versions = append(answer.Versions, fleet.SoftwareVersion(version))
	}
	if origin := message.GetOrigin(); origin != nil {
		answer.HasRecord = true
		answer.Record = streamorigin.Record{Origin: decodeOrigin(origin), Ambiguous: message.GetAmbiguous()}
	}
	return answer
}

// streamCandidates returns the gateways that may hold the record of a stream, and one that reads the store:
// after a restart of all, the readers learn first which versions there were.
func (g *Gateway) streamCandidates(key streamorigin.Key) []membership.Member {
	view := g.peers.View()
	members := membership.TopMembers(uint64(key), view.Members(), g.node, recordCandidates)
	for _, reader := range g.roles.Load().readerOrder {
		if slices.ContainsFunc(members, func(member membership.Member) bool { return member.Node == reader }) {
			break
		}
		if member, found := view.Find(reader); found && reader != g.node {
			return append(members, member)
		}
	}
	return members
}

// findStream asks the gateways that may hold the record of a stream where it began. It returns the
// answers that came before the timeout, up to the first one with a record, and how many were asked.
func (g *Gateway) findStream(ctx context.Context, key streamorigin.Key, service fleet.PoolName) (answers []streamorigin.Answer, asked int) {
	members := g.streamCandidates(key)
	query := &rpc.StreamQuery{Key: uint64(key), Service: string(service)}
	received := make(chan *streamorigin.Answer, len(members))
	for _, member := range members {
		go func() { received <- g.queryStream(member, query) }()
	}
	timer := time.NewTimer(originAnswerTimeout)
	defer timer.Stop()
	for range members {
		select {
		case answer := <-received:
			if answer != nil {
				answers = append(answers, *answer)
			}
			if answer != nil && answer.HasRecord {
				return answers, len(members)
			}
		case <-timer.C:
			return answers, len(members)
		case <-ctx.Done():
			return answers, len(members)
		}
	}
	return answers, len(members)
}

// queryStream asks one gateway where a stream began. It returns nil if there is no answer. A gateway of an
// earlier release doesn't know the call, which shows that this one isn't partitioned from it.
func (g *Gateway) queryStream(member membership.Member, query *rpc.StreamQuery) *streamorigin.Answer {
	ctx, cancel := context.WithTimeout(g.peerCallContext(traffic.StreamRecords, member), originAnswerTimeout)
	defer cancel()
	message, err := g.peers.QueryStream(ctx, member.Address, query)
	switch {
	case err != nil && isUnknownCall(err):
		return &streamorigin.Answer{}
	case err != nil:
		g.metrics.peerFailures.Inc()
		g.logger.Debug().Err(err).Str("peer", string(member.Node)).Msg("stream_origin_unanswered")
		return nil
	}
	answer := decodeStreamAnswer(message)
	return &answer
}
