package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/packed"
	"github.com/tillerfall/tillerfall/internal/relay"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

// Times of watching another node.
const (
	// watchWait is the longest wait of one call, watchSlack how much longer the answer may
	// take to begin until the peer counts as silent.
	watchWait  = 600 * time.Millisecond
	watchSlack = 350 * time.Millisecond
	// watchGather is the pause after news at a node that callers aren't sent to: one
	// roll-out changes a row of each engine, and each change would have every node ask
	// again. It adds to the time until a change is in force there.
	watchGather = 400 * time.Millisecond
	// watchIdle is the pause while nobody is asked, watchRetry that after an answer
	// of no use, which grows to watchRetryMax after several in a row: while the store is
	// out of everybody's reach a large fleet would ask its readers all the time.
	watchIdle     = 200 * time.Millisecond
	watchRetry    = 100 * time.Millisecond
	watchRetryMax = 500 * time.Millisecond
	// maxWatchWait bounds what a caller may ask for.
	maxWatchWait = 2 * time.Second
	// staleNumerator over staleDenominator is the least age of a proof at which a node counts
	// as out of the store's reach, in waits of a call to the store.
	staleNumerator   = 13
	staleDenominator = 10
)

// Bounds of encoded rows, in bytes.
const (
	// compressAbove is the size from which on rows are compressed.
	compressAbove = 1 << 10
	// maxRowsBytes bounds the rows of one update, uncompressed.
	maxRowsBytes = 32 << 20
)

// wholeBound is a bound on revocations from which on the times of watching hold; for shorter
// ones they are shorter in proportion: a node's proof is as old as that of the node it asks,
// and then as its own call.
const wholeBound = 5 * time.Second

func shortenedFor(revokeWithin, duration time.Duration) time.Duration {
	if revokeWithin >= wholeBound {
		return duration
	}
	return time.Duration(float64(duration) * float64(revokeWithin) / float64(wholeBound))
}

// watchWaitFor returns the longest wait of one call for a bound on revocations.
func watchWaitFor(revokeWithin time.Duration) time.Duration {
	return shortenedFor(revokeWithin, watchWait)
}

// watchGatherFor returns the pause after news for a bound on revocations.
func watchGatherFor(revokeWithin time.Duration) time.Duration {
	return shortenedFor(revokeWithin, watchGather)
}

// staleAfterFor returns the age of a node's proof from which on another node is asked: more
// than that of one that reads the store.
func staleAfterFor(revokeWithin time.Duration) time.Duration {
	return min(relay.DefaultStaleAfter, operatorWaitFor(revokeWithin)*staleNumerator/staleDenominator)
}

// watchPeers learns from another node what changes in the store, while this
// node is to ask one.
func (g *Gateway) watchPeers() error {
	useless := 0
	for {
		pause := watchIdle
		if source, found := g.sources.asks(g.now()); found {
			outcome := g.watchOnce(source)
			useless = outcome.countUseless(useless)
			pause = g.watchPause(outcome, useless)
		}
		if !g.pause(pause) {
			return nil
		}
	}
}

// watchOutcome tells what a call that watches another node has brought.
type watchOutcome int

// Outcomes of watching.
const (
	// watchQuiet means that nothing has changed.
	watchQuiet watchOutcome = iota
	// watchNews means that rows have changed.
	watchNews
	// watchUseless means that the next question is to wait a little, mostly at another node:
	// this one gave no answer, has no proof, or an old one.
	watchUseless
)

// countUseless returns the number of useless outcomes in a row, this one included.
func (o watchOutcome) countUseless(before int) int {
	if o == watchUseless {
		return before + 1
	}
	return 0
}

// watchPause returns the pause until the next call. useless counts the outcomes
// of no use in a row.
func (g *Gateway) watchPause(outcome watchOutcome, useless int) time.Duration {
	switch {
	case outcome == watchUseless:
		return min(time.Duration(useless)*watchRetry, watchRetryMax)
	case outcome == watchNews && !g.serves():
		return watchGatherFor(g.settings().RevokeWithin)
	default:
		return 0
	}
}

// watchOnce asks one node and takes its answer in.
func (g *Gateway) watchOnce(source fleet.NodeID) watchOutcome {
	member, found := g.peers.View().Find(source)
	if !found {
		g.noteSource(source, g.sources.failed(g.now(), source), "not a member")
		return watchUseless
	}
	request := &rpc.WatchRequest{
		Node:        string(g.node),
		WaitMillis:  uint32(watchWaitFor(g.settings().RevokeWithin).Milliseconds()),
		RequestRate: encodeRate(g.demand.summed(g.now())),
	}
	if _, proven := g.fresh.Age(g.now()); !proven {
		request.WaitMillis = 0
	}
	request.PositionsOf = string(source)
	request.QuarantineDigest = g.quarantines.digest()
	request.DeliveriesSeen = g.deliveries.seenOf(source)
	if request.GetRequestRate() > 0 {
		request.Origins, request.Pressures = g.originReport(g.now())
	}
	for _, followed := range g.tables {
		if followed.source != source {
			followed.source, followed.seen = source, 0
		}
		request.Positions = append(request.Positions, &rpc.TablePosition{
			Table: string(followed.name), Sequence: g.positionAt(followed),
		})
	}
	g.askForSubsets(request)
	begun := g.now()
	firstByte := time.Duration(request.GetWaitMillis())*time.Millisecond + watchSlack
	ctx, stop := g.resumptions.bind(g.peerCall(traffic.Watches, member))
	defer stop()
	response, err := g.peers.AskWatch(ctx, member.Address, firstByte, request)
	if g.context().Err() != nil {
		return watchQuiet
	}
	if err != nil {
		g.noteSource(source, g.sources.failed(g.now(), source), err.Error())
		return watchUseless
	}
	return g.takeWatch(source, begun, response)
}

// takeWatch takes a peer's answer in. A peer that proved at its answer what it
// holds by a proof of an age proves the same here, as of the call's start and the
// time for which the peer held the call, less that age.
func (g *Gateway) takeWatch(source fleet.NodeID, begun time.Duration, response *rpc.WatchResponse) watchOutcome {
	g.learnNamed(response.GetNamed())
	g.takeDirectives(begun, response.GetDeliveries())
	g.deliveries.noteSeen(source, response.GetDeliveriesSeen())
	g.takeQuarantineRecords(response.GetQuarantineRecords())
	for _, message := range response.GetUpdates() {
		followed := g.table(Table(message.GetTable()))
		if followed == nil {
			continue
		}
		update, err := decodeUpdate(message)
		if err != nil {
			g.noteSource(source, g.sources.failed(g.now(), source), err.Error())
			return watchUseless
		}
		if followed.name == TableWorkers {
			g.applyWorkers(followed, message, update)
		} else {
			followed.apply(update, gapUnreached)
		}
		followed.seen = update.Sequence
		followed.cache.Advance(update.WatchedRevision)
	}
	g.demand.told(g.now(), decodeRate(response.GetRequestRate()))
	g.takeOrigins(g.now(), response.GetOrigins(), response.GetPressures())
	proven := response.GetProofAgeMillis() > 0
	age := time.Duration(response.GetProofAgeMillis()) * time.Millisecond
	if proven {
		held := time.Duration(response.GetHeldMillis()) * time.Millisecond
		g.fresh.Prove(min(begun+held, g.now()) - age)
		g.noteKnown()
	}
	if moved := g.sources.answered(g.now(), source, age, proven); moved {
		g.noteSource(source, moved, "proof too old, or first source again")
		return watchUseless
	}
	if !proven {
		return watchUseless
	}
	if news(response) {
		return watchNews
	}
	return watchQuiet
}

// news tells whether an answer brings changed rows.
func news(response *rpc.WatchResponse) bool {
	return slices.ContainsFunc(response.GetUpdates(), func(update *rpc.TableUpdate) bool {
		return len(update.GetRows()) > 0 || len(update.GetCompressedRows()) > 0
	})
}

// noteSource logs that another node is asked from now on.
func (g *Gateway) noteSource(source fleet.NodeID, moved bool, reason string) {
	if !moved {
		return
	}
	next, _ := g.sources.asks(g.now())
	g.events.line("source_changed").Str("from", string(source)).Str("to", string(next)).Str("reason", reason).Msg("source_changed")
}

// table returns the table with a name, or nil.
func (g *Gateway) table(name Table) *table {
	for _, followed := range g.tables {
		if followed.name == name {
			return followed
		}
	}
	return nil
}

// answerWatch answers another node's call: at once if this node knows more than
// the caller, else when it does or when the wait is over.
func (g *Gateway) answerWatch(ctx context.Context, request *rpc.WatchRequest) *rpc.WatchResponse {
	arrived := g.now()
	g.sources.watched(arrived)
	g.demand.told(g.now(), decodeRate(request.GetRequestRate()))
	g.takeOrigins(g.now(), request.GetOrigins(), request.GetPressures())
	wait := min(time.Duration(request.GetWaitMillis())*time.Millisecond, maxWatchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := make([]<-chan struct{}, 0, len(g.tables))
		for _, followed := range g.tables {
			changed = append(changed, followed.cache.Changed())
		}
		redirected := g.deliveries.changedAfter()
		response, news := g.heldResponse(request, arrived)
		if news {
			return response
		}
		select {
		case <-changed[0]:
		case <-changed[1]:
		case <-redirected:
		case <-timer.C:
			response, _ = g.heldResponse(request, arrived)
			return response
		case <-ctx.Done():
			return response
		case <-g.life.Dying():
			return response
		}
	}
}

// heldResponse is watchResponse for a call that has been held since it arrived. The time is read
// before the age of the proof, so that nobody takes the proof for younger than it is.
func (g *Gateway) heldResponse(request *rpc.WatchRequest, arrived time.Duration) (*rpc.WatchResponse, bool) {
	held := g.now() - arrived
	response, news := g.watchResponse(request)
	response.HeldMillis = uint32(max(held, 0).Milliseconds())
	return response, news
}

// watchResponse returns what this node knows beyond the caller, and whether
// that is anything.
func (g *Gateway) watchResponse(request *rpc.WatchRequest) (*rpc.WatchResponse, bool) {
	now := g.now()
	// The proof is read before the tables: it holds for what they hold by then.
	age, proven := g.fresh.Age(now)
	response := &rpc.WatchResponse{
		Named:       g.namedVersions(now),
		RequestRate: encodeRate(g.demand.total(now)),
	}
	news := g.deliveries.writeWatch(now, request, response)
	response.Origins, response.Pressures = g.originReport(now)
	response.QuarantineRecords = g.quarantines.beyond(now, request.GetQuarantineDigest())
	if proven {
		response.ProofAgeMillis = uint32(max(age, 0).Milliseconds()) + 1
	}
	for _, position := range request.GetPositions() {
		followed := g.table(Table(position.GetTable()))
		if followed == nil {
			continue
		}
		seen := position.GetSequence()
		if request.GetPositionsOf() != string(g.node) {
			seen = 0
		}
		update, subsets := g.updateFor(followed, request, seen)
		if update == nil {
			response.ProofAgeMillis = 0
			continue
		}
		news = news || update.Complete || len(update.Rows) > 0
		message := followed.encode(seen, update, digestOf(subsets))
		message.WorkersInUse, message.Subsets = update.Filter != nil, encodeSubsets(subsets)
		response.Updates = append(response.Updates, message)
	}
	return response, news
}

// updateFor returns what a watcher that has seen all up to a number is to be told of a table,
// and the subsets of the workers to which that is limited.
func (g *Gateway) updateFor(followed *table, request *rpc.WatchRequest, seen uint64) (*watchcache.Update, backends.Subsets) {
	if followed.name == TableWorkers {
		return g.workersUpdate(followed, request, seen)
	}
	return followed.cache.After(seen), nil
}

// encode returns an update in its transmitted form. Watchers mostly ask after
// the same position and for the same part, so the last compressed one is kept.
func (t *table) encode(after uint64, update *watchcache.Update, part uint64) *rpc.TableUpdate {
	message := &rpc.TableUpdate{
		Table: string(t.name), Revision: uint64(update.Revision), Complete: update.Complete, Sequence: update.Sequence,
		Followed: uint64(update.WatchedRevision),
	}
	size := 0
	for _, row := range update.Rows {
		size += len(row.Key) + len(row.Value)
		message.Rows = append(message.Rows, &rpc.TableRow{
			Key: row.Key, Revision: uint64(row.Revision), Value: row.Value, Gone: row.Deleted,
		})
	}
	if size < compressAbove {
		return message
	}
	// A watcher may be told everything though it has seen some, as it asks for another part.
	// Its rows aren't those of one that is told what has changed since.
	if update.Complete {
		after = 0
	}
	if compressed, err := t.compress(after, update, part, message.GetRows()); err == nil {
		message.Rows, message.CompressedRows = nil, compressed
	}
	return message
}

// encodedUpdate is the last update that was compressed: the changes after a
// number up to another, of a part of the table.
type encodedUpdate struct {
	after, upTo, part uint64
	content           []byte
}

// compress returns an update's rows compressed.
func (t *table) compress(after uint64, update *watchcache.Update, part uint64, rows []*rpc.TableRow) ([]byte, error) {
	t.encoding.Lock()
	defer t.encoding.Unlock()
	if t.encoded.content != nil && t.encoded.after == after && t.encoded.upTo == update.Sequence && t.encoded.part == part {
		return t.encoded.content, nil
	}
	content, err := packed.Pack(&rpc.TableRows{Rows: rows})
	if err != nil {
		return nil, err
	}
	t.encoded = encodedUpdate{after: after, upTo: update.Sequence, part: part, content: content}
	return content, nil
}

// decodeUpdate reads an update from its transmitted form.
func decodeUpdate(message *rpc.TableUpdate) (*watchcache.Update, error) {
	rows := message.GetRows()
	if compressed := message.GetCompressedRows(); len(compressed) > 0 {
		var decompressed rpc.TableRows
		if err := packed.Unpack(compressed, maxRowsBytes, &decompressed); err != nil {
			return nil, errors.Wrap(err, "rows")
		}
		rows = decompressed.GetRows()
	}
	update := &watchcache.Update{
		Revision: fleet.Revision(message.GetRevision()), Complete: message.GetComplete(), Sequence: message.GetSequence(),
		WatchedRevision: fleet.Revision(message.GetFollowed()),
	}
	for _, row := range rows {
		update.Rows = append(update.Rows, watchcache.Row{
			Key: row.GetKey(), Revision: fleet.Revision(row.GetRevision()), Value: row.GetValue(), Deleted: row.GetGone(),
		})
	}
	return update, nil
}
