package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

// workerTable is a store with worker rows in JSON alone.
type workerTable struct{ Store }

func (workerTable) DecodeWorkers(rows []watchcache.Row) ([]WorkerRow, []InvalidInput) {
	decoded := make([]WorkerRow, len(rows))
	for index, row := range rows {
		decoded[index] = WorkerRow{Revision: row.Revision, Deleted: row.Deleted}
		if !row.Deleted {
			decoded[index].Unusable = json.Unmarshal(row.Value, &decoded[index].Worker) != nil
		}
		decoded[index].Worker.ID = fleet.EngineID(row.Key)
	}
	return decoded, nil
}

func (workerTable) WriterSequence(Table, string, []byte) (watchcache.WriterSequence, error) {
	return watchcache.WriterSequence{}, nil
}

func (workerTable) DecodeOperator([]watchcache.Row) (*OperatorRows, error) {
	return &OperatorRows{}, nil
}

// padding brings a row to the size of typical rows, about 300 bytes.
const padding = 150

// workerTableRow returns the row of a worker.
func workerTableRow(number int, revision fleet.Revision, draining bool) watchcache.Row {
	value, _ := json.Marshal(backends.Worker{
		Address: fleet.Address(fmt.Sprintf("10.0.%d.%d:1%0*d", number/250, number%250, padding, number)), Service: "engines",
		Zone: fleet.ZoneName(fmt.Sprint("z", number%5)), Slots: 16, Draining: draining,
		Versions: map[fleet.ModelName]backends.ModelVersion{"m": 1},
	})
	return watchcache.Row{Key: fmt.Sprintf("i-%05d", number), Revision: revision, Value: value}
}

// readerGateway returns a gateway that has read that many workers from the store.
func readerGateway(t testing.TB, workers int) *Gateway {
	g := newTestGateway(t)
	g.dependencies.Store = workerTable{}
	update := &watchcache.Update{Revision: 1, Complete: true}
	for number := range workers {
		update.Rows = append(update.Rows, workerTableRow(number, 1, false))
	}
	g.workersTable().apply(update, gapNone)
	g.table(TableOperator).cache.Apply(&watchcache.Update{Revision: 1, Complete: true})
	g.freshness.Prove(g.now())
	return g
}

// followerGateway returns a gateway that knows no workers yet and needs only those in use.
func followerGateway(t testing.TB) *Gateway {
	g := newTestGateway(t)
	g.dependencies.Store = workerTable{}
	roles := *g.roles.Load()
	roles.isCandidate, roles.isReader = false, false
	g.roles.Store(&roles)
	return g
}

// watch makes one watch call and returns the size of the response in bytes.
func watch(t testing.TB, follower, source *Gateway) int {
	request := &rpc.WatchRequest{Node: string(follower.node), PositionsOf: string(source.node)}
	follower.requestSubsets(request)
	for _, followed := range follower.tables {
		if followed.source != source.node {
			followed.source, followed.seenSequence = source.node, 0
		}
		request.Positions = append(request.Positions, &rpc.TablePosition{Table: string(followed.name), Sequence: follower.watchPosition(followed)})
	}
	response, _ := source.buildWatchResponse(request)
	follower.applyWatchResponse(source.node, follower.now(), response)
	require.NotZero(t, response.GetProofAgeMillis())
	return proto.Size(response)
}

// Neither the response to an idle watcher nor its known workers may grow with the fleet.
func TestWatcherStateDoesNotGrowWithFleet(t *testing.T) {
	const maxKnown = 2 * 192 * 3 / 2
	for _, workers := range []int{10_000, 20_000} {
		reader, follower := readerGateway(t, workers), followerGateway(t)
		size := watch(t, follower, reader)
		known := len(follower.workers.Workers())
		t.Logf("%d workers: %d known, response of %d bytes", workers, known, size)
		assert.Less(t, known, maxKnown)
		assert.Greater(t, known, 192*3/4)
		assert.Less(t, size, 60_000)
		assert.Equal(t, reader.workers.WorkersInUse(), follower.workers.Workers())
		assert.Less(t, watch(t, follower, reader), 200, "no changes")
	}
}

func TestWatcherKnowsAllWorkersOfSmallFleet(t *testing.T) {
	reader, follower := readerGateway(t, 280), followerGateway(t)
	watch(t, follower, reader)
	assert.Len(t, follower.workers.Workers(), 280)
	assert.Len(t, reader.workers.WorkersInUse(), 280)
}

// Changes of workers in use must reach the watcher, changes of others must not.
func TestWatcherReceivesChangesOfWorkersInUse(t *testing.T) {
	reader, follower := readerGateway(t, 5000), followerGateway(t)
	watch(t, follower, reader)
	known := follower.workers.Workers()
	inUse := make(map[fleet.EngineID]bool)
	for _, worker := range known {
		inUse[worker.ID] = true
	}
	update := &watchcache.Update{Revision: 2}
	drained, gone := fleet.EngineID(""), fleet.EngineID("")
	for number := range 5000 {
		row := workerTableRow(number, 2, true)
		id := fleet.EngineID(row.Key)
		switch {
		case !inUse[id] && number%2 == 0:
			update.Rows = append(update.Rows, row)
		case inUse[id] && drained == "":
			drained = id
			update.Rows = append(update.Rows, row)
		case inUse[id] && gone == "":
			gone = id
			update.Rows = append(update.Rows, watchcache.Row{Key: row.Key, Revision: 2, Deleted: true})
		}
	}
	reader.workersTable().apply(update, gapNone)
	assert.Less(t, watch(t, follower, reader), 1500, "two changed rows")
	assert.True(t, follower.workers.IsDraining(drained))
	assert.Len(t, follower.workers.Workers(), len(known)-1)
}

// A change of role must add and drop workers without reporting any as gone.
func TestLeaseCandidateLearnsAllWorkers(t *testing.T) {
	reader, follower := readerGateway(t, 5000), followerGateway(t)
	watch(t, follower, reader)
	inUse := len(follower.workers.Workers())
	follower.fallbackCandidate.Store(true)
	watch(t, follower, reader)
	assert.Len(t, follower.workers.Workers(), 5000)
	assert.Len(t, follower.workers.WorkersInUse(), inUse)
	follower.fallbackCandidate.Store(false)
	watch(t, follower, reader)
	assert.Len(t, follower.workers.Workers(), inUse)
	assert.Empty(t, follower.workers.Forget(time.Hour, 0), "no worker counts as gone")
	follower.fallbackCandidate.Store(true)
	watch(t, follower, reader)
	assert.Len(t, follower.workers.Workers(), 5000, "dropped workers return at the same revision")
}

// A new source with the same plan must not change the known workers.
func TestWatcherKeepsWorkersOnSourceChange(t *testing.T) {
	first, second, follower := readerGateway(t, 5000), readerGateway(t, 5000), followerGateway(t)
	watch(t, follower, first)
	known := follower.workers.Workers()
	watch(t, follower, second)
	assert.Equal(t, known, follower.workers.Workers())
}

// A gateway that knows only the workers in use must not serve the table to others.
func TestPartialTableIsNotServed(t *testing.T) {
	reader, follower, other := readerGateway(t, 5000), followerGateway(t), followerGateway(t)
	watch(t, follower, reader)
	for _, all := range []bool{false, true} {
		other.fallbackCandidate.Store(all)
		request := &rpc.WatchRequest{PositionsOf: string(follower.node), Positions: []*rpc.TablePosition{{Table: string(TableWorkers)}}}
		other.requestSubsets(request)
		response, _ := follower.buildWatchResponse(request)
		assert.Empty(t, response.GetUpdates())
		assert.Zero(t, response.GetProofAgeMillis())
	}
}

// Workers in use that refuse requests must double their subset.
func TestFullWorkersWidenSubset(t *testing.T) {
	reader, follower := readerGateway(t, 5000), followerGateway(t)
	watch(t, follower, reader)
	inUse := len(follower.workers.Workers())
	_, refused := follower.workers.Choose(0, &backends.Request{
		Service: "engines", HasConnection: func(*backends.Worker) bool { return false },
	})
	require.Equal(t, backends.ReasonFull, refused.Reason)
	watch(t, follower, reader)
	assert.Greater(t, len(follower.workers.Workers()), inUse*3/2)
	assert.Len(t, reader.workers.WorkersInUse(), inUse)
}

// A source without support for subsets must be usable.
func TestSourceWithoutSubsetSupport(t *testing.T) {
	reader, follower := readerGateway(t, 5000), followerGateway(t)
	request := &rpc.WatchRequest{PositionsOf: string(reader.node), Positions: []*rpc.TablePosition{{Table: string(TableWorkers)}}}
	response, _ := reader.buildWatchResponse(request)
	follower.applyWatchResponse(reader.node, follower.now(), response)
	assert.Len(t, follower.workers.Workers(), 5000)
	assert.Equal(t, reader.workers.ActiveSubsets(), follower.workers.ActiveSubsets(), "watcher plans its own subsets")
	watch(t, follower, reader)
	assert.Len(t, follower.workers.Workers(), len(reader.workers.WorkersInUse()))
}

// BenchmarkWatchWorkersInUse measures the first watch call of an idle gateway.
func BenchmarkWatchWorkersInUse(b *testing.B) {
	for _, workers := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			reader := readerGateway(b, workers)
			b.ReportAllocs()
			for b.Loop() {
				watch(b, followerGateway(b), reader)
			}
		})
	}
}

// BenchmarkWatchAllWorkers measures the first watch call of a gateway that needs all workers.
func BenchmarkWatchAllWorkers(b *testing.B) {
	reader := readerGateway(b, 10_000)
	b.ReportAllocs()
	for b.Loop() {
		follower := followerGateway(b)
		follower.fallbackCandidate.Store(true)
		watch(b, follower, reader)
	}
}

// BenchmarkStartUpdates measures one check of the lease holder for engines to update while none is
// outdated.
func BenchmarkStartUpdates(b *testing.B) {
	reader := readerGateway(b, 10_000)
	reader.rollout.setDesired(0, true, DesiredVersion{Model: "m", Version: 1})
	for b.Loop() {
		reader.rollout.startUpdates(reader.now(), reader.workers.Workers(), reader.workers.AllSuspects(reader.now()))
	}
}

// recordingStore is a store that counts complete reads and records the revisions of incremental
// ones.
type recordingStore struct {
	workerTable
	completeReads int
	positions     []fleet.Revision
	changes       *watchcache.Update
}

func (s *recordingStore) ReadTable(context.Context, Table, func() bool) (*watchcache.Update, error) {
	s.completeReads++
	return &watchcache.Update{Revision: s.changes.Revision, Complete: true}, nil
}

func (s *recordingStore) FollowTable(_ context.Context, _ Table, after fleet.Revision, _ time.Duration) (*watchcache.Update, error) {
	s.positions = append(s.positions, after)
	return s.changes, nil
}

// A gateway that reads the store because its peers are slow must follow changes. Complete reads by
// all such gateways would overload the store.
func TestTemporaryReaderFollowsKnownRows(t *testing.T) {
	reader, follower := readerGateway(t, 5000), followerGateway(t)
	reader.workersTable().cache.Advance(7)
	watch(t, follower, reader)
	drained := follower.workers.Workers()[0].ID
	number := 0
	_, err := fmt.Sscanf(string(drained), "i-%05d", &number)
	require.NoError(t, err)
	store := &recordingStore{changes: &watchcache.Update{Revision: 9, Rows: []watchcache.Row{workerTableRow(number, 9, true)}}}
	follower.dependencies.Store = store
	follower.sources.recordResponse(follower.now(), "peer", 0, true)
	tableFollower := &storeFollower{gateway: follower, table: follower.workersTable(), gap: gapUnreachable}
	tableFollower.step(t.Context())
	tableFollower.step(t.Context())
	assert.Equal(t, []fleet.Revision{7, 9}, store.positions)
	assert.Zero(t, store.completeReads)
	assert.True(t, follower.workers.IsDraining(drained))
	follower.sources.recordWatcher(follower.now())
	tableFollower.step(t.Context())
	assert.Equal(t, 1, store.completeReads, "gateway is watched by others")
}
