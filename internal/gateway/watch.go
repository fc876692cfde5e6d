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

const (
	// watchWait is the longest wait of one watch call. watchSlack is how much longer the first byte
	// of the response may take before the peer counts as unresponsive.
	watchWait  = 600 * time.Millisecond
	watchSlack = 350 * time.Millisecond
	// watchBatchDelay is the pause after a change at a gateway that isn't serving. A rollout
	// changes the row of each engine, and without the pause each change would end a call of every
	// gateway. It adds to the time until a change is active there.
	watchBatchDelay = 400 * time.Millisecond
	// watchIdlePause is the pause while there is no peer to ask. watchRetry is the pause after a
	// failed call; it grows with each failure up to watchRetryMax to bound the load on the readers
	// while no gateway can reach the store.
	watchIdlePause = 200 * time.Millisecond
	watchRetry     = 100 * time.Millisecond
	watchRetryMax  = 500 * time.Millisecond
	// maxWatchWait bounds the wait that a peer may request.
	maxWatchWait = 2 * time.Second
	// staleNumerator/staleDenominator times the wait of a store call is the proof age from which a
	// gateway counts as cut off from the store.
	staleNumerator   = 13
	staleDenominator = 10
)

// Limits of encoded rows, in bytes.
const (
	// compressThreshold is the size from which rows are compressed.
	compressThreshold = 1 << 10
	// maxRowsBytes limits the uncompressed rows of one update.
	maxRowsBytes = 32 << 20
)

// fullTimingBound is the least revocation bound at which the watch times apply unscaled. For
// shorter bounds they shrink in proportion, because a gateway's proof is as old as its peer's plus
// its own call.
const fullTimingBound = 5 * time.Second

func scaleForBound(revokeWithin, duration time.Duration) time.Duration {
	if revokeWithin >= fullTimingBound {
		return duration
	}
	return time.Duration(float64(duration) * float64(revokeWithin) / float64(fullTimingBound))
}

// watchWaitFor returns the longest wait of one watch call for a revocation bound.
func watchWaitFor(revokeWithin time.Duration) time.Duration {
	return scaleForBound(revokeWithin, watchWait)
}

// watchBatchDelayFor returns the pause after a change for a revocation bound.
func watchBatchDelayFor(revokeWithin time.Duration) time.Duration {
	return scaleForBound(revokeWithin, watchBatchDelay)
}

// staleAfterFor returns the proof age from which a gateway asks another peer. It is greater than
// the proof age of a gateway that reads the store.
func staleAfterFor(revokeWithin time.Duration) time.Duration {
	return min(relay.DefaultStaleAfter, operatorWaitFor(revokeWithin)*staleNumerator/staleDenominator)
}

// watchPeers follows the changes of the store through a peer while this gateway is to ask one.
func (g *Gateway) watchPeers() error {
	failures := 0
	for {
		pause := watchIdlePause
		if source, found := g.sources.peerToAsk(g.now()); found {
			outcome := g.watchOnce(source)
			failures = outcome.countFailures(failures)
			pause = g.watchPause(outcome, failures)
		}
		if !g.pause(pause) {
			return nil
		}
	}
}

// watchOutcome is the outcome of one watch call.
type watchOutcome int

// Outcomes of a watch call.
const (
	// watchUnchanged means that no rows have changed.
	watchUnchanged watchOutcome = iota
	// watchChanged means that rows have changed.
	watchChanged
	// watchFailed means that the next call must wait a little, usually for another peer: the peer
	// didn't respond, has no freshness proof, or an old one.
	watchFailed
)

// countFailures returns the number of consecutive failures, including this outcome.
func (o watchOutcome) countFailures(previous int) int {
	if o == watchFailed {
		return previous + 1
	}
	return 0
}

// watchPause returns the pause until the next call. failures is the number of consecutive failed
// calls.
func (g *Gateway) watchPause(outcome watchOutcome, failures int) time.Duration {
	switch {
	case outcome == watchFailed:
		return min(time.Duration(failures)*watchRetry, watchRetryMax)
	case outcome == watchChanged && !g.isServing():
		return watchBatchDelayFor(g.settings().RevokeWithin)
	default:
		return 0
	}
}

// watchOnce makes one watch call to a peer and applies the response.
func (g *Gateway) watchOnce(source fleet.NodeID) watchOutcome {
	member, found := g.peers.View().Find(source)
	if !found {
		g.logSourceChange(source, g.sources.recordFailure(g.now(), source), "not a member")
		return watchFailed
	}
	request := &rpc.WatchRequest{
		Node:        string(g.node),
		WaitMillis:  uint32(watchWaitFor(g.settings().RevokeWithin).Milliseconds()),
		RequestRate: encodeRate(g.demand.sharedTotal(g.now())),
	}
	if _, proven := g.freshness.Age(g.now()); !proven {
		request.WaitMillis = 0
	}
	request.PositionsOf = string(source)
	request.QuarantineDigest = g.quarantines.digest()
	request.DeliveriesSeen = g.deliveries.seenChanges(source)
	if request.GetRequestRate() > 0 {
		request.Origins, request.Pressures = g.originReport(g.now())
	}
	for _, followed := range g.tables {
		if followed.source != source {
			followed.source, followed.seenSequence = source, 0
		}
		request.Positions = append(request.Positions, &rpc.TablePosition{
			Table: string(followed.name), Sequence: g.watchPosition(followed),
		})
	}
	g.requestSubsets(request)
	start := g.now()
	firstByte := time.Duration(request.GetWaitMillis())*time.Millisecond + watchSlack
	ctx, stop := g.suspensionSignal.bind(g.peerCallContext(traffic.Watches, member))
	defer stop()
	response, err := g.peers.RequestWatch(ctx, member.Address, firstByte, request)
	if g.context().Err() != nil {
		return watchUnchanged
	}
	if err != nil {
		g.logSourceChange(source, g.sources.recordFailure(g.now(), source), err.Error())
		return watchFailed
	}
	return g.applyWatchResponse(source, start, response)
}

// applyWatchResponse applies a peer's response. The peer's freshness proof is also valid here: its
// time is the start of the call plus the time for which the peer held the call, less the age of the
// proof.
func (g *Gateway) applyWatchResponse(source fleet.NodeID, start time.Duration, response *rpc.WatchResponse) watchOutcome {
	g.applyPeerVersions(response.GetNamed())
	g.applyDirectives(start, response.GetDeliveries())
	g.deliveries.setSeenChanges(source, response.GetDeliveriesSeen())
	g.mergeQuarantineRecords(response.GetQuarantineRecords())
	if response.GetQuarantineKnown() {
		g.recordQuarantineKnown()
	}
	for _, message := range response.GetUpdates() {
		followed := g.table(Table(message.GetTable()))
		if followed == nil {
			continue
		}
		update, err := decodeUpdate(message)
		if err != nil {
			g.logSourceChange(source, g.sources.recordFailure(g.now(), source), err.Error())
			return watchFailed
		}
		g.observeStoreEpoch(update.LatestEpoch())
		if followed.name == TableWorkers {
			g.applyWorkersUpdate(followed, message, update)
		} else {
			followed.apply(update, gapUnreachable)
		}
		followed.seenSequence = update.Sequence
		followed.cache.Advance(update.WatchedRevision)
	}
	g.demand.setReportedTotal(g.now(), decodeRate(response.GetRequestRate()))
	g.applyOriginReport(g.now(), response.GetOrigins(), response.GetPressures())
	proven := response.GetProofAgeMillis() > 0
	age := time.Duration(response.GetProofAgeMillis()) * time.Millisecond
	if proven {
		held := time.Duration(response.GetHeldMillis()) * time.Millisecond
		g.freshness.Prove(min(start+held, g.now()) - age)
		g.updateReadiness()
	}
	if changed := g.sources.recordResponse(g.now(), source, age, proven); changed {
		g.logSourceChange(source, changed, "freshness proof too old, or preferred source available again")
		return watchFailed
	}
	if !proven {
		return watchFailed
	}
	if hasChangedRows(response) {
		return watchChanged
	}
	return watchUnchanged
}

// hasChangedRows reports whether a response contains changed rows.
func hasChangedRows(response *rpc.WatchResponse) bool {
	return slices.ContainsFunc(response.GetUpdates(), func(update *rpc.TableUpdate) bool {
		return len(update.GetRows()) > 0 || len(update.GetCompressedRows()) > 0
	})
}

// logSourceChange logs that the gateway has switched to another peer as its source.
func (g *Gateway) logSourceChange(source fleet.NodeID, changed bool, reason string) {
	if !changed {
		return
	}
	next, _ := g.sources.peerToAsk(g.now())
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

// handleWatch answers a peer's watch call: at once if this gateway has changes for it, otherwise as
// soon as it has some or when the requested wait is over.
func (g *Gateway) handleWatch(ctx context.Context, request *rpc.WatchRequest) *rpc.WatchResponse {
	arrived := g.now()
	g.sources.recordWatcher(arrived)
	g.demand.setReportedTotal(g.now(), decodeRate(request.GetRequestRate()))
	g.applyOriginReport(g.now(), request.GetOrigins(), request.GetPressures())
	wait := min(time.Duration(request.GetWaitMillis())*time.Millisecond, maxWatchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		tableChanges := make([]<-chan struct{}, 0, len(g.tables))
		for _, followed := range g.tables {
			tableChanges = append(tableChanges, followed.cache.Changed())
		}
		deliveriesChanged := g.deliveries.nextChange()
		response, changed := g.heldResponse(request, arrived)
		if changed {
			return response
		}
		select {
		case <-tableChanges[0]:
		case <-tableChanges[1]:
		case <-deliveriesChanged:
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

// heldResponse returns buildWatchResponse's response for a call that has been held since arrived.
// It measures the time held before the proof's age is read, so that the peer never underestimates
// that age.
func (g *Gateway) heldResponse(request *rpc.WatchRequest, arrived time.Duration) (*rpc.WatchResponse, bool) {
	held := g.now() - arrived
	response, changed := g.buildWatchResponse(request)
	response.HeldMillis = uint32(max(held, 0).Milliseconds())
	return response, changed
}

// buildWatchResponse returns the changes that the peer has not seen, and whether there are any.
func (g *Gateway) buildWatchResponse(request *rpc.WatchRequest) (*rpc.WatchResponse, bool) {
	now := g.now()
	// The proof must be read before the tables, so that they are at least as new as the proof.
	age, proven := g.freshness.Age(now)
	response := &rpc.WatchResponse{
		Named:       g.encodeRecentVersions(now),
		RequestRate: encodeRate(g.demand.total(now)),
	}
	changed := g.deliveries.writeWatchResponse(now, request, response)
	response.Origins, response.Pressures = g.originReport(now)
	// Whether the records are known must be read before them.
	response.QuarantineKnown = g.isQuarantineKnown()
	response.QuarantineRecords = g.quarantines.missingRecords(now, request.GetQuarantineDigest())
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
		changed = changed || update.Complete || len(update.Rows) > 0
		message := followed.encode(seen, update, subsetsDigest(subsets))
		message.WorkersInUse, message.Subsets = update.Filter != nil, encodeSubsets(subsets)
		response.Updates = append(response.Updates, message)
	}
	return response, changed
}

// updateFor returns the changes of a table after a sequence number, and the subsets of the workers
// that they are limited to.
func (g *Gateway) updateFor(followed *table, request *rpc.WatchRequest, seen uint64) (*watchcache.Update, backends.Subsets) {
	if followed.name == TableWorkers {
		return g.workersUpdate(followed, request, seen)
	}
	return followed.cache.After(seen), nil
}

// encode returns the wire form of an update. It caches the last compressed rows, because most peers
// ask for the same part after the same position.
func (t *table) encode(after uint64, update *watchcache.Update, part uint64) *rpc.TableUpdate {
	message := &rpc.TableUpdate{
		Table: string(t.name), Complete: update.Complete, Sequence: update.Sequence,
		Revision: update.Revision.Number(), Epoch: uint32(update.Revision.Epoch()),
		Followed: update.WatchedRevision.Number(), FollowedEpoch: uint32(update.WatchedRevision.Epoch()),
	}
	size := 0
	for _, row := range update.Rows {
		size += len(row.Key) + len(row.Value)
		message.Rows = append(message.Rows, &rpc.TableRow{
			Key: row.Key, Value: row.Value, Gone: row.Deleted,
			Revision: row.Revision.Number(), Epoch: uint32(row.Revision.Epoch()),
		})
	}
	if size < compressThreshold {
		return message
	}
	// A peer that asks for another part receives the complete table even though it has seen some of
	// it. These rows must not be cached as the changes after its position.
	if update.Complete {
		after = 0
	}
	if compressed, err := t.compress(after, update, part, message.GetRows()); err == nil {
		message.Rows, message.CompressedRows = nil, compressed
	}
	return message
}

// encodedUpdate holds the compressed rows of an update of one part of a table, from one sequence
// number to another.
type encodedUpdate struct {
	after, upTo, part uint64
	content           []byte
}

// compress returns the compressed rows of an update.
func (t *table) compress(after uint64, update *watchcache.Update, part uint64, rows []*rpc.TableRow) ([]byte, error) {
	t.encodingMutex.Lock()
	defer t.encodingMutex.Unlock()
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

// decodeUpdate decodes the wire form of an update.
func decodeUpdate(message *rpc.TableUpdate) (*watchcache.Update, error) {
	rows := message.GetRows()
	if compressed := message.GetCompressedRows(); len(compressed) > 0 {
		var decompressed rpc.TableRows
		if err := packed.Unpack(compressed, maxRowsBytes, &decompressed); err != nil {
			return nil, errors.Wrap(err, "rows")
		}
		rows = decompressed.GetRows()
	}
	revision, err := decodeRevision(message.GetEpoch(), message.GetRevision())
	if err != nil {
		return nil, err
	}
	watched, err := decodeRevision(message.GetFollowedEpoch(), message.GetFollowed())
	if err != nil {
		return nil, err
	}
	update := &watchcache.Update{Revision: revision, Complete: message.GetComplete(), Sequence: message.GetSequence(), WatchedRevision: watched}
	for _, row := range rows {
		written, err := decodeRevision(row.GetEpoch(), row.GetRevision())
		if err != nil {
			return nil, errors.Wrapf(err, "row %q", row.GetKey())
		}
		update.Rows = append(update.Rows, watchcache.Row{Key: row.GetKey(), Revision: written, Value: row.GetValue(), Deleted: row.GetGone()})
	}
	return update, nil
}

// decodeRevision decodes a revision of the store. A peer that doesn't know of epochs sends 0, the
// lowest one.
func decodeRevision(epoch uint32, number uint64) (fleet.Revision, error) {
	if uint64(epoch) > uint64(fleet.MaxStoreEpoch) || number > fleet.MaxRevisionNumber {
		return 0, errors.Errorf("revision %d of epoch %d is too high", number, epoch)
	}
	return fleet.StoreEpoch(epoch).Revision(number), nil
}
