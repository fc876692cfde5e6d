package gateway

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

// quarantineStore is a store with quarantine rows alone.
type quarantineStore struct {
	Store
	// mutex guards the rest in tests with a goroutine that writes rows.
	mutex   sync.Mutex
	rows    map[quarantine.Fingerprint]QuarantineRow
	version fleet.Revision
	failed  error
	calls   int
}

func newQuarantineStore() *quarantineStore {
	return &quarantineStore{rows: make(map[quarantine.Fingerprint]QuarantineRow)}
}

func (s *quarantineStore) WriteQuarantine(_ context.Context, row QuarantineRow, expected fleet.Revision) (QuarantineRow, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.failed != nil {
		return QuarantineRow{}, s.failed
	}
	if held := s.rows[row.Fingerprint]; held.Version != expected {
		held.Fingerprint = row.Fingerprint
		return held, platform.ErrConflict
	}
	s.version++
	row.Version = s.version
	s.rows[row.Fingerprint] = row
	return row, nil
}

func (s *quarantineStore) RemoveQuarantine(_ context.Context, fingerprint quarantine.Fingerprint, expected fleet.Revision) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.failed != nil {
		return s.failed
	}
	if s.rows[fingerprint].Version != expected {
		return platform.ErrConflict
	}
	delete(s.rows, fingerprint)
	return nil
}

func (s *quarantineStore) DecodeQuarantine([]watchcache.Row) ([]QuarantineRow, []InvalidInput) {
	return nil, nil
}

// quarantineGateway returns a gateway with a store. It isn't started.
func quarantineGateway(t *testing.T, store *quarantineStore) *Gateway {
	g := newTestGateway(t)
	g.dependencies.Store = store
	return g
}

// record returns the record of a request, if any.
func (q *quarantineState) record(fingerprint quarantine.Fingerprint) (quarantine.Record, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.tracker.Record(fingerprint)
}

// storedCrashes returns what a row lists of workers that crashed one after the other.
func storedCrashes(workers ...fleet.EngineID) quarantine.StoredCrashes {
	return quarantine.StoredCrashes{Workers: workers}
}

// quarantinedRequest returns a request that is quarantined at the gateway, with crashes that long
// ago.
func quarantinedRequest(g *Gateway, ago time.Duration) *callerRequest {
	current := &callerRequest{
		request:  httptest.NewRequest("POST", "/a", nil),
		metadata: Metadata{RequestID: "r"},
		route:    &routes.Route{Name: "route"},
		body:     []byte("body"),
		deadline: g.now() + time.Minute,
	}
	current.fingerprint = fingerprintOf(current)
	record := quarantine.Record{Fingerprint: current.fingerprint}
	for number := range quarantine.DefaultThreshold {
		record.Crashes = append(record.Crashes, quarantine.Crash{Worker: fleet.EngineID(fmt.Sprint("w", number)), At: g.now() - ago})
	}
	change, _ := g.quarantines.merge(g.now(), record)
	g.handleQuarantineChange("peer", change)
	return current
}

// A quarantined request must be refused before any send, with a result code that means it wasn't
// run.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	current := quarantinedRequest(g, time.Second)
	refused := g.checkQuarantine(current)
	require.NotNil(t, refused)
	assert.Equal(t, resultcode.Quarantined, refused.code)
	assert.True(t, resultcode.Lookup(refused.code).NotRun)
	assert.InDelta(t, quarantine.DefaultTrialDelay.Seconds()-1, refused.retryAfter.Seconds(), 0.5)
	assert.ErrorIs(t, g.permitRequest(current, nil), errQuarantined, "checked again before the send")
	other := *current
	other.fingerprint[0]++
	assert.Nil(t, g.checkQuarantine(&other))
}

// Of two gateways that try a quarantined request at the same time only one may succeed.
func TestOnlyOneGatewayRunsATrial(t *testing.T) {
	store := newQuarantineStore()
	one, other := quarantineGateway(t, store), quarantineGateway(t, store)
	const past = quarantine.DefaultTrialDelay + time.Second
	first, second := quarantinedRequest(one, past), quarantinedRequest(other, past)
	assert.Nil(t, one.checkQuarantine(first))
	assert.True(t, first.quarantineTrial)
	assert.NoError(t, one.permitRequest(first, nil))
	assert.NotNil(t, other.checkQuarantine(second), "stored trial is newer")
	assert.NotNil(t, one.checkQuarantine(quarantinedRequest(one, past)), "no second trial")
	assert.Equal(t, 1, store.rows[first.fingerprint].Trials)
}

// No trial may run without the store's confirmation.
func TestTrialRequiresStoreWrite(t *testing.T) {
	store := newQuarantineStore()
	g := quarantineGateway(t, store)
	current := quarantinedRequest(g, quarantine.DefaultTrialDelay+time.Second)
	store.failed = errors.Wrap(platform.ErrUnavailable, "down")
	assert.NotNil(t, g.checkQuarantine(current))
	store.failed = nil
	assert.Nil(t, g.checkQuarantine(current))
}

// A trial must succeed although the row was written before this gateway started.
func TestTrialRetriesOnUnknownStoredRow(t *testing.T) {
	store := newQuarantineStore()
	g := quarantineGateway(t, store)
	current := quarantinedRequest(g, quarantine.DefaultTrialDelay+time.Second)
	store.rows[current.fingerprint] = QuarantineRow{Fingerprint: current.fingerprint, StoredCrashes: storedCrashes("w0", "w1"), Version: 9}
	store.version = 9
	assert.Nil(t, g.checkQuarantine(current))
	assert.Equal(t, 1, store.rows[current.fingerprint].Trials)
}

// Rows must be written once, by gateways that saw the crash, and removed after a response.
func TestRowsAreWrittenByGatewaysThatSawTheCrash(t *testing.T) {
	store := newQuarantineStore()
	g := quarantineGateway(t, store)
	sync := func(isReader, isHolder bool) {
		changes := g.quarantines.pendingStoreChanges(g.now(), isReader, isHolder)
		g.applyStoreChanges(&changes)
	}
	current := quarantinedRequest(g, 0)
	sync(true, true)
	assert.Empty(t, store.rows, "other gateways write it")
	g.recordWorkerCrash("w3", quarantine.ConnectionRefused, []quarantine.Subject{current.subject()})
	store.failed = errors.Wrap(platform.ErrUnavailable, "down")
	sync(false, false)
	store.failed = nil
	sync(false, false)
	assert.Len(t, store.rows[current.fingerprint].Workers, 4)
	calls := store.calls
	sync(true, true)
	assert.Equal(t, calls, store.calls, "no changes left")

	g.recordCompleteResponse(current)
	sync(false, false)
	assert.Empty(t, store.rows)
}

// A record whose gateways are gone must be written by a reader of the store.
func TestOrphanedRecordIsWrittenByAReader(t *testing.T) {
	store := newQuarantineStore()
	g := quarantineGateway(t, store)
	current := quarantinedRequest(g, orphanedAfter+time.Second)
	assert.Empty(t, g.quarantines.pendingStoreChanges(g.now(), false, true).write)
	assert.Len(t, g.quarantines.pendingStoreChanges(g.now(), true, false).write, 1)
	g.applyQuarantineRow(&QuarantineRow{Fingerprint: current.fingerprint, StoredCrashes: storedCrashes("w0", "w1", "w2"), Version: 3})
	assert.Empty(t, g.quarantines.pendingStoreChanges(g.now(), true, false).write)
}

// A removed row must release the request, also against peers that still report it.
func TestRemovedRowEndsQuarantine(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	current := quarantinedRequest(g, time.Second)
	row := QuarantineRow{Fingerprint: current.fingerprint, StoredCrashes: storedCrashes("w0", "w1", "w2"), Version: 3}
	gone := QuarantineRow{Fingerprint: current.fingerprint, Version: 4, Deleted: true}
	g.applyQuarantineRow(&gone)
	assert.NotNil(t, g.checkQuarantine(current), "no row known yet")
	g.applyQuarantineRow(&row)
	g.applyQuarantineRow(&gone)
	assert.Nil(t, g.checkQuarantine(current))
	g.quarantines.takePendingBroadcast()
	quarantinedRequest(g, time.Second)
	assert.Nil(t, g.checkQuarantine(current), "stale record must not restore the quarantine")
	assert.Len(t, g.quarantines.takePendingBroadcast(), 1, "release broadcast")
}

// A row that was removed before this gateway's first read must release the request. An older
// snapshot must not.
func TestRowMissingFromSnapshotEndsQuarantine(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	current := quarantinedRequest(g, time.Second)
	g.quarantines.setStored(&QuarantineRow{Fingerprint: current.fingerprint, StoredCrashes: storedCrashes("w0", "w1", "w2"), Version: 7})
	g.quarantineTable.apply(&watchcache.Update{Revision: 6, Complete: true}, gapNone)
	assert.NotNil(t, g.checkQuarantine(current))
	g.quarantineTable.apply(&watchcache.Update{Revision: 8, Complete: true}, gapNone)
	assert.Nil(t, g.checkQuarantine(current))
}

// The start of a quarantine must cancel pending sends of the request, but not its trial.
func TestQuarantineCancelsPendingSends(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	current := quarantinedRequest(g, time.Second)
	var causes []error
	for _, send := range []*pendingSend{
		{subject: current.subject()}, {subject: current.subject(), quarantineTrial: true}, {subject: quarantine.Subject{Request: quarantine.Fingerprint{1}}},
	} {
		send.cancel = func(cause error) { causes = append(causes, cause) }
		g.pending.add(send)
	}
	assert.Equal(t, 1, g.pending.cancelQuarantined(func(subject *quarantine.Subject) bool {
		return g.quarantines.check(g.now(), *subject).Quarantined
	}))
	require.Len(t, causes, 1)
	assert.ErrorIs(t, causes[0], errQuarantined)
}

// Reports must carry recent changes, and responses must carry the records that the other gateway
// misses.
func TestReportsCarryChangedAndMissingRecords(t *testing.T) {
	one, other := quarantineGateway(t, newQuarantineStore()), quarantineGateway(t, newQuarantineStore())
	single := quarantine.Record{Fingerprint: quarantine.Fingerprint{9}, Crashes: []quarantine.Crash{{Worker: "w", At: one.now()}}}
	one.quarantines.merge(one.now(), single)
	assert.Empty(t, one.loadReport("other").QuarantineRecords, "crash seen by another gateway")
	assert.Zero(t, one.loadReport("other").QuarantineDigest)
	one.recordWorkerCrash("v", quarantine.ConnectionRefused, []quarantine.Subject{{Request: quarantine.Fingerprint{8}}})
	assert.Len(t, one.loadReport("other").QuarantineRecords, 1)
	one.quarantines.mutex.Lock()
	clear(one.quarantines.changedAt)
	one.quarantines.mutex.Unlock()
	current := quarantinedRequest(one, 5*time.Second)
	report := one.loadReport("other")
	require.Len(t, report.QuarantineRecords, 1, "recently changed")
	decoded, err := decodeQuarantineRecord(one.now(), report.QuarantineRecords[0])
	require.NoError(t, err)
	assert.InDelta(t, (one.now() - 5*time.Second).Seconds(), decoded.Crashes[0].At.Seconds(), 0.1)

	one.quarantines.mutex.Lock()
	clear(one.quarantines.changedAt)
	one.quarantines.mutex.Unlock()
	assert.Empty(t, one.loadReport("other").QuarantineRecords)
	response := one.handleLoadReport(context.Background(), other.loadReport("one"))
	other.mergeQuarantineRecords(response.GetQuarantineRecords())
	assert.NotNil(t, other.checkQuarantine(current), "digest differs")
	assert.Empty(t, one.handleLoadReport(context.Background(), other.loadReport("one")).QuarantineRecords, "digest equal")
	watched, _ := one.buildWatchResponse(&rpc.WatchRequest{})
	assert.Len(t, watched.GetQuarantineRecords(), 1)
	watched, _ = one.buildWatchResponse(&rpc.WatchRequest{QuarantineDigest: other.quarantines.digest()})
	assert.Empty(t, watched.GetQuarantineRecords())

	other.mergeQuarantineRecords([]*rpc.QuarantineRecord{{Fingerprint: []byte{1}}})
	assert.Equal(t, 1, other.quarantines.tracker.QuarantinedCount(), "unreadable record ignored")
}

// A response to a request that other gateways suspect must release it and be broadcast.
func TestResponseToSuspectedRequestIsBroadcast(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	current := &callerRequest{fingerprint: quarantine.Fingerprint{7}}
	g.recordCompleteResponse(current)
	assert.Empty(t, g.quarantines.takePendingBroadcast())
	record := quarantine.Record{Fingerprint: current.fingerprint, Crashes: []quarantine.Crash{{Worker: "a", At: g.now()}, {Worker: "b", At: g.now()}, {Worker: "c", At: g.now()}}}
	change, _ := g.quarantines.merge(g.now(), record)
	g.handleQuarantineChange("peer", change)
	assert.False(t, g.quarantines.check(g.now(), current.subject()).Quarantined)
	broadcast := g.quarantines.takePendingBroadcast()
	require.Len(t, broadcast, 1, "response broadcast")
	assert.True(t, broadcast[0].Answered)
}

// The start of a quarantine must be broadcast: gateways that missed an earlier update would let the
// request pass.
func TestQuarantineStartIsBroadcast(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	for number := range quarantine.DefaultThreshold {
		assert.Empty(t, g.quarantines.takePendingBroadcast(), "received records aren't broadcast")
		record := quarantine.Record{Fingerprint: quarantine.Fingerprint{7}, Crashes: []quarantine.Crash{{Worker: fleet.EngineID(fmt.Sprint(number)), At: g.now()}}}
		g.quarantines.merge(g.now(), record)
	}
	broadcast := g.quarantines.takePendingBroadcast()
	require.Len(t, broadcast, 1)
	assert.Len(t, broadcast[0].Crashes, quarantine.DefaultThreshold)
}

// A worker that drained before it was gone must not count as crashed.
func TestDrainedWorkerIsNotACrash(t *testing.T) {
	for _, draining := range []bool{false, true} {
		g := quarantineGateway(t, newQuarantineStore())
		worker := backends.Worker{ID: "w", Service: "app", Address: "127.0.0.1:9"}
		worker.Draining = draining
		g.workers.Observe(1, worker)
		g.crashes.recordLoss(g.now(), "w", quarantine.Subject{Request: quarantine.Fingerprint{1}}, quarantine.ConnectionBroken)
		g.handleWorkerChange(worker, g.workers.ObserveGone(g.now(), 2, "w"))
		_, recorded := g.quarantines.record(quarantine.Fingerprint{1})
		assert.Equal(t, !draining, recorded)
	}
}
