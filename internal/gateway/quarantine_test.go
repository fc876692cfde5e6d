package gateway

import (
	"context"
	"fmt"
	"net/http/httptest"
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

// quarantineStore is the store's part about requests that end workers.
type quarantineStore struct {
	Platform
	rows    map[quarantine.Fingerprint]QuarantineRow
	version fleet.Revision
	failed  error
	calls   int
}

func newQuarantineStore() *quarantineStore {
	return &quarantineStore{rows: make(map[quarantine.Fingerprint]QuarantineRow)}
}

func (s *quarantineStore) WriteQuarantine(_ context.Context, row QuarantineRow, expected fleet.Revision) (QuarantineRow, error) {
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

func (s *quarantineStore) DecodeQuarantine([]watchcache.Row) ([]QuarantineRow, []Unreadable) {
	return nil, nil
}

// quarantineGateway returns a gateway that isn't started, before a store.
func quarantineGateway(t *testing.T, store *quarantineStore) *Gateway {
	g := idleGateway(t)
	g.outside.Platform = store
	return g
}

// heldRequest returns a request and has a gateway hold it since so long ago.
func heldRequest(g *Gateway, ago time.Duration) *carried {
	current := &carried{
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
	g.noteQuarantine(current.fingerprint, "peer", g.quarantines.merge(g.now(), &record))
	return current
}

// TestHeldRequestIsRefusedAsNotRun, and as one that may have run once it was sent.
func TestHeldRequestIsRefusedAsNotRun(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	current := heldRequest(g, time.Second)
	refused := g.checkQuarantine(current)
	require.NotNil(t, refused)
	assert.Equal(t, resultcode.Quarantined, refused.code)
	assert.True(t, resultcode.Lookup(refused.code).NotRun)
	assert.InDelta(t, quarantine.DefaultTrialDelay.Seconds()-1, refused.retryAfter.Seconds(), 0.5)
	assert.ErrorIs(t, g.permit(current, nil), errQuarantined, "nor right before a send")
	other := *current
	other.fingerprint[0]++
	assert.Nil(t, g.checkQuarantine(&other))
}

// TestOneTrialForTheWholeFleet: whoever gets the store's word, whether or not it knew the row.
func TestOneTrialForTheWholeFleet(t *testing.T) {
	store := newQuarantineStore()
	one, other := quarantineGateway(t, store), quarantineGateway(t, store)
	const past = quarantine.DefaultTrialDelay + time.Second
	first, second := heldRequest(one, past), heldRequest(other, past)
	assert.Nil(t, one.checkQuarantine(first))
	assert.True(t, first.trial)
	assert.NoError(t, one.permit(first, nil))
	assert.NotNil(t, other.checkQuarantine(second), "the store holds one trial more than this node knows")
	assert.NotNil(t, one.checkQuarantine(heldRequest(one, past)), "nor a second one here")
	assert.Equal(t, 1, store.rows[first.fingerprint].Trials)
}

// TestNoTrialWithoutTheStoresWord.
func TestNoTrialWithoutTheStoresWord(t *testing.T) {
	store := newQuarantineStore()
	g := quarantineGateway(t, store)
	current := heldRequest(g, quarantine.DefaultTrialDelay+time.Second)
	store.failed = errors.Wrap(platform.ErrUnavailable, "down")
	assert.NotNil(t, g.checkQuarantine(current))
	store.failed = nil
	assert.Nil(t, g.checkQuarantine(current))
}

// TestTrialIsFoundWhereTheRowWasUnknown: the row is there, from before this node's start.
func TestTrialIsFoundWhereTheRowWasUnknown(t *testing.T) {
	store := newQuarantineStore()
	g := quarantineGateway(t, store)
	current := heldRequest(g, quarantine.DefaultTrialDelay+time.Second)
	store.rows[current.fingerprint] = QuarantineRow{Fingerprint: current.fingerprint, Workers: []fleet.EngineID{"w0", "w1"}, Version: 9}
	store.version = 9
	assert.Nil(t, g.checkQuarantine(current))
	assert.Equal(t, 1, store.rows[current.fingerprint].Trials)
}

// TestRowsAreWrittenByThoseThatLostRuns, once, and removed when the request was answered.
func TestRowsAreWrittenByThoseThatLostRuns(t *testing.T) {
	store := newQuarantineStore()
	g := quarantineGateway(t, store)
	look := func(reads, leads bool) {
		work := g.quarantines.work(g.now(), reads, leads)
		g.carryOut(&work)
	}
	current := heldRequest(g, 0)
	look(true, true)
	assert.Empty(t, store.rows, "others write it")
	g.blame("w3", quarantine.ConnectionRefused, []quarantine.Fingerprint{current.fingerprint})
	store.failed = errors.Wrap(platform.ErrUnavailable, "down")
	look(false, false)
	store.failed = nil
	look(false, false)
	assert.Len(t, store.rows[current.fingerprint].Workers, 4)
	calls := store.calls
	look(true, true)
	assert.Equal(t, calls, store.calls, "nothing is left to do")

	g.noteAnswered(current)
	look(false, false)
	assert.Empty(t, store.rows)
}

// TestStrandedRequestIsWrittenByAReader: those that lost runs to it may have died.
func TestStrandedRequestIsWrittenByAReader(t *testing.T) {
	store := newQuarantineStore()
	g := quarantineGateway(t, store)
	current := heldRequest(g, strandedAfter+time.Second)
	assert.Empty(t, g.quarantines.work(g.now(), false, true).write)
	assert.Len(t, g.quarantines.work(g.now(), true, false).write, 1)
	g.takeQuarantineRow(&QuarantineRow{Fingerprint: current.fingerprint, Workers: []fleet.EngineID{"w0", "w1", "w2"}, Version: 3})
	assert.Empty(t, g.quarantines.work(g.now(), true, false).write)
}

// TestRemovedRowEndsTheHold here and at those that still tell of it.
func TestRemovedRowEndsTheHold(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	current := heldRequest(g, time.Second)
	row := QuarantineRow{Fingerprint: current.fingerprint, Workers: []fleet.EngineID{"w0", "w1", "w2"}, Version: 3}
	gone := QuarantineRow{Fingerprint: current.fingerprint, Version: 4, Gone: true}
	g.takeQuarantineRow(&gone)
	assert.NotNil(t, g.checkQuarantine(current), "there was no row yet")
	g.takeQuarantineRow(&row)
	g.takeQuarantineRow(&gone)
	assert.Nil(t, g.checkQuarantine(current))
	g.quarantines.takeUntold()
	heldRequest(g, time.Second)
	assert.Nil(t, g.checkQuarantine(current), "a node that hasn't heard yet doesn't bring it back")
	assert.Len(t, g.quarantines.takeUntold(), 1, "it is told")
}

// TestRowThatAWholeReadLacksEndsTheHold: this node wrote it before it read any, and it was
// removed meanwhile. A read that is older than the row says nothing.
func TestRowThatAWholeReadLacksEndsTheHold(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	current := heldRequest(g, time.Second)
	g.quarantines.noteStored(&QuarantineRow{Fingerprint: current.fingerprint, Workers: []fleet.EngineID{"w0", "w1", "w2"}, Version: 7})
	g.quarantineTable.apply(&watchcache.Update{Revision: 6, Complete: true}, gapNone)
	assert.NotNil(t, g.checkQuarantine(current))
	g.quarantineTable.apply(&watchcache.Update{Revision: 8, Complete: true}, gapNone)
	assert.Nil(t, g.checkQuarantine(current))
}

// TestHoldBreaksOffWhatWaits at workers, but for a trial.
func TestHoldBreaksOffWhatWaits(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	current := heldRequest(g, time.Second)
	var causes []error
	for _, send := range []*pendingSend{
		{fingerprint: current.fingerprint}, {fingerprint: current.fingerprint, trial: true}, {fingerprint: quarantine.Fingerprint{1}},
	} {
		send.cancel = func(cause error) { causes = append(causes, cause) }
		g.pending.add(send)
	}
	assert.Equal(t, 1, g.pending.hold(current.fingerprint))
	require.Len(t, causes, 1)
	assert.ErrorIs(t, causes[0], errQuarantined)
}

// TestReportsCarryChangesAndWhatAnotherLacks.
func TestReportsCarryChangesAndWhatAnotherLacks(t *testing.T) {
	one, other := quarantineGateway(t, newQuarantineStore()), quarantineGateway(t, newQuarantineStore())
	single := quarantine.Record{Fingerprint: quarantine.Fingerprint{9}, Crashes: []quarantine.Crash{{Worker: "w", At: one.now()}}}
	one.quarantines.merge(one.now(), &single)
	assert.Empty(t, one.loadReport("other").QuarantineRecords, "another node's to tell")
	assert.Zero(t, one.loadReport("other").QuarantineDigest)
	one.blame("v", quarantine.ConnectionRefused, []quarantine.Fingerprint{{8}})
	assert.Len(t, one.loadReport("other").QuarantineRecords, 1)
	one.quarantines.mutex.Lock()
	clear(one.quarantines.changed)
	one.quarantines.mutex.Unlock()
	current := heldRequest(one, 5*time.Second)
	report := one.loadReport("other")
	require.Len(t, report.QuarantineRecords, 1, "it has changed a moment ago")
	decoded, err := decodeRecord(one.now(), report.QuarantineRecords[0])
	require.NoError(t, err)
	assert.InDelta(t, (one.now() - 5*time.Second).Seconds(), decoded.Crashes[0].At.Seconds(), 0.1)

	one.quarantines.mutex.Lock()
	clear(one.quarantines.changed)
	one.quarantines.mutex.Unlock()
	assert.Empty(t, one.loadReport("other").QuarantineRecords)
	answer := one.answerLoad(context.Background(), other.loadReport("one"))
	other.takeQuarantineRecords(answer.GetQuarantineRecords())
	assert.NotNil(t, other.checkQuarantine(current), "another digest brings it")
	assert.Empty(t, one.answerLoad(context.Background(), other.loadReport("one")).QuarantineRecords, "the same one doesn't")
	watched, _ := one.watchResponse(&rpc.WatchRequest{})
	assert.Len(t, watched.GetQuarantineRecords(), 1)
	watched, _ = one.watchResponse(&rpc.WatchRequest{QuarantineDigest: other.quarantines.digest()})
	assert.Empty(t, watched.GetQuarantineRecords())

	other.takeQuarantineRecords([]*rpc.QuarantineRecord{{Fingerprint: []byte{1}}})
	assert.Equal(t, 1, other.quarantines.ledger.QuarantinedCount(), "a record that can't be read changes nothing")
}

// TestAnswersSpeakAtOnceAndElsewhere for a request that others suspect.
func TestAnswersSpeakAtOnceAndElsewhere(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	current := &carried{fingerprint: quarantine.Fingerprint{7}}
	g.noteAnswered(current)
	assert.Empty(t, g.quarantines.takeUntold())
	record := quarantine.Record{Fingerprint: current.fingerprint, Crashes: []quarantine.Crash{{Worker: "a", At: g.now()}, {Worker: "b", At: g.now()}, {Worker: "c", At: g.now()}}}
	g.noteQuarantine(current.fingerprint, "peer", g.quarantines.merge(g.now(), &record))
	assert.False(t, g.quarantines.check(g.now(), current.fingerprint).Quarantined)
	untold := g.quarantines.takeUntold()
	require.Len(t, untold, 1, "others are told of the answer")
	assert.True(t, untold[0].Answered)
}

// TestWhoeverBeginsToHoldTellsAll: nodes that missed one of the words before would let the
// request through.
func TestWhoeverBeginsToHoldTellsAll(t *testing.T) {
	g := quarantineGateway(t, newQuarantineStore())
	for number := range quarantine.DefaultThreshold {
		assert.Empty(t, g.quarantines.takeUntold(), "what others have told isn't told on")
		record := quarantine.Record{Fingerprint: quarantine.Fingerprint{7}, Crashes: []quarantine.Crash{{Worker: fleet.EngineID(fmt.Sprint(number)), At: g.now()}}}
		g.quarantines.merge(g.now(), &record)
	}
	untold := g.quarantines.takeUntold()
	require.Len(t, untold, 1)
	assert.Len(t, untold[0].Crashes, quarantine.DefaultThreshold)
}

// TestOnlyEndsWithoutLeaveCount: a row that goes after word of leaving is no crash.
func TestOnlyEndsWithoutLeaveCount(t *testing.T) {
	for _, draining := range []bool{false, true} {
		g := quarantineGateway(t, newQuarantineStore())
		worker := backends.Worker{ID: "w", Service: "app", Address: "127.0.0.1:9"}
		worker.Draining = draining
		g.workers.Observe(1, worker)
		g.crashes.note(g.now(), "w", quarantine.Fingerprint{1}, quarantine.ConnectionBroken)
		g.noteWorker(worker, g.workers.ObserveGone(g.now(), 2, "w"))
		_, blamed := g.quarantines.record(quarantine.Fingerprint{1})
		assert.Equal(t, !draining, blamed)
	}
}
