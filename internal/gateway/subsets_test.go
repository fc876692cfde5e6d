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

// workerTable is the store's part about workers: rows are workers in JSON.
type workerTable struct{ Platform }

func (workerTable) DecodeWorkers(rows []watchcache.Row) ([]WorkerRow, []Unreadable) {
	decoded := make([]WorkerRow, len(rows))
	for index, row := range rows {
		decoded[index] = WorkerRow{Revision: row.Revision, Gone: row.Deleted}
		if !row.Deleted {
			decoded[index].Unusable = json.Unmarshal(row.Value, &decoded[index].Worker) != nil
		}
		decoded[index].Worker.ID = fleet.EngineID(row.Key)
	}
	return decoded, nil
}

func (workerTable) DecodeOperator([]watchcache.Row) (*OperatorRows, error) {
	return &OperatorRows{}, nil
}

// padding brings a row to the size of the users' rows, some 300 bytes.
const padding = 150

// workerNamed returns the row of an engine.
func workerNamed(number int, revision fleet.Revision, draining bool) watchcache.Row {
	value, _ := json.Marshal(backends.Worker{
		Address: fleet.Address(fmt.Sprintf("10.0.%d.%d:1%0*d", number/250, number%250, padding, number)), Service: "engines",
		Zone: fleet.ZoneName(fmt.Sprint("z", number%5)), Slots: 16, Draining: draining,
		Versions: map[fleet.ModelName]backends.WeightsVersion{"m": 1},
	})
	return watchcache.Row{Key: fmt.Sprintf("i-%05d", number), Revision: revision, Value: value}
}

// readerOf returns a gateway that has read so many workers from the store.
func readerOf(t testing.TB, workers int) *Gateway {
	g := idleGateway(t)
	g.outside.Platform = workerTable{}
	update := &watchcache.Update{Revision: 1, Complete: true}
	for number := range workers {
		update.Rows = append(update.Rows, workerNamed(number, 1, false))
	}
	g.workersTable().apply(update, gapNone)
	g.table(TableOperator).cache.Apply(&watchcache.Update{Revision: 1, Complete: true})
	g.fresh.Prove(g.now())
	return g
}

// followerOf returns a gateway that knows nothing yet and is to know the workers in use alone.
func followerOf(t testing.TB) *Gateway {
	g := idleGateway(t)
	g.outside.Platform = workerTable{}
	roles := *g.roles.Load()
	roles.candidate, roles.reader = false, false
	g.roles.Store(&roles)
	return g
}

// watch has one gateway ask another once, and returns the size of the answer in bytes.
func watch(t testing.TB, follower, source *Gateway) int {
	request := &rpc.WatchRequest{Node: string(follower.node), PositionsOf: string(source.node)}
	follower.askForSubsets(request)
	for _, followed := range follower.tables {
		if followed.source != source.node {
			followed.source, followed.seen = source.node, 0
		}
		request.Positions = append(request.Positions, &rpc.TablePosition{Table: string(followed.name), Sequence: follower.positionAt(followed)})
	}
	response, _ := source.watchResponse(request)
	follower.takeWatch(source.node, follower.now(), response)
	require.NotZero(t, response.GetProofAgeMillis())
	return proto.Size(response)
}

// TestWatcherLearnsAsMuchInAFleetTwiceAsLarge counts what a node that rests is told and keeps
// of 10,000 and of 20,000 workers: neither grows with the fleet.
func TestWatcherLearnsAsMuchInAFleetTwiceAsLarge(t *testing.T) {
	const most = 2 * 192 * 3 / 2
	for _, workers := range []int{10_000, 20_000} {
		reader, follower := readerOf(t, workers), followerOf(t)
		size := watch(t, follower, reader)
		known := len(follower.workers.Workers())
		t.Logf("of %d workers %d are known, told in %d bytes", workers, known, size)
		assert.Less(t, known, most)
		assert.Greater(t, known, 192*3/4)
		assert.Less(t, size, 60_000)
		assert.Equal(t, reader.workers.WorkersInUse(), follower.workers.Workers())
		assert.Less(t, watch(t, follower, reader), 200, "nothing has changed")
	}
}

// TestSmallFleetIsKnownWhole.
func TestSmallFleetIsKnownWhole(t *testing.T) {
	reader, follower := readerOf(t, 280), followerOf(t)
	watch(t, follower, reader)
	assert.Len(t, follower.workers.Workers(), 280)
	assert.Len(t, reader.workers.WorkersInUse(), 280)
}

// TestChangesOfWorkersInUseReachWatchers has one of the workers in use drain and one go, and
// others that the watcher doesn't know.
func TestChangesOfWorkersInUseReachWatchers(t *testing.T) {
	reader, follower := readerOf(t, 5000), followerOf(t)
	watch(t, follower, reader)
	known := follower.workers.Workers()
	inUse := make(map[fleet.EngineID]bool)
	for _, worker := range known {
		inUse[worker.ID] = true
	}
	update := &watchcache.Update{Revision: 2}
	drained, gone := fleet.EngineID(""), fleet.EngineID("")
	for number := range 5000 {
		row := workerNamed(number, 2, true)
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
	assert.Less(t, watch(t, follower, reader), 1500, "two rows")
	assert.True(t, follower.workers.Draining(drained))
	assert.Len(t, follower.workers.Workers(), len(known)-1)
}

// TestWatcherThatMayGiveOrdersLearnsAll has its role change twice: it learns of all workers,
// then drops those that aren't in use, and none of them counts as gone.
func TestWatcherThatMayGiveOrdersLearnsAll(t *testing.T) {
	reader, follower := readerOf(t, 5000), followerOf(t)
	watch(t, follower, reader)
	few := len(follower.workers.Workers())
	follower.standIn.Store(true)
	watch(t, follower, reader)
	assert.Len(t, follower.workers.Workers(), 5000)
	assert.Len(t, follower.workers.WorkersInUse(), few)
	follower.standIn.Store(false)
	watch(t, follower, reader)
	assert.Len(t, follower.workers.Workers(), few)
	assert.Empty(t, follower.workers.Forget(time.Hour, 0), "nothing counts as gone")
	follower.standIn.Store(true)
	watch(t, follower, reader)
	assert.Len(t, follower.workers.Workers(), 5000, "what was dropped comes back at the same revision")
}

// TestWatcherChangesItsSource has two readers that plan alike.
func TestWatcherChangesItsSource(t *testing.T) {
	first, second, follower := readerOf(t, 5000), readerOf(t, 5000), followerOf(t)
	watch(t, follower, first)
	known := follower.workers.Workers()
	watch(t, follower, second)
	assert.Equal(t, known, follower.workers.Workers())
}

// TestPartialKnowledgeIsNotPassedOn has a node that knows the workers in use alone be asked:
// it can't tell all of them, nor that what it tells is all of a subset.
func TestPartialKnowledgeIsNotPassedOn(t *testing.T) {
	reader, follower, other := readerOf(t, 5000), followerOf(t), followerOf(t)
	watch(t, follower, reader)
	for _, all := range []bool{false, true} {
		other.standIn.Store(all)
		request := &rpc.WatchRequest{PositionsOf: string(follower.node), Positions: []*rpc.TablePosition{{Table: string(TableWorkers)}}}
		other.askForSubsets(request)
		response, _ := follower.watchResponse(request)
		assert.Empty(t, response.GetUpdates())
		assert.Zero(t, response.GetProofAgeMillis())
	}
}

// TestWatcherWithoutRoomGetsMoreWorkers has the workers in use refuse, so that their subset
// is doubled.
func TestWatcherWithoutRoomGetsMoreWorkers(t *testing.T) {
	reader, follower := readerOf(t, 5000), followerOf(t)
	watch(t, follower, reader)
	few := len(follower.workers.Workers())
	_, refused := follower.workers.Choose(0, &backends.Request{
		Service: "engines", Free: func(*backends.Worker) bool { return false },
	})
	require.Equal(t, backends.ReasonFull, refused.Reason)
	watch(t, follower, reader)
	assert.Greater(t, len(follower.workers.Workers()), few*3/2)
	assert.Len(t, reader.workers.WorkersInUse(), few)
}

// TestReaderOfTheReleaseBeforeTellsAll has a source that knows nothing of subsets.
func TestReaderOfTheReleaseBeforeTellsAll(t *testing.T) {
	reader, follower := readerOf(t, 5000), followerOf(t)
	request := &rpc.WatchRequest{PositionsOf: string(reader.node), Positions: []*rpc.TablePosition{{Table: string(TableWorkers)}}}
	response, _ := reader.watchResponse(request)
	follower.takeWatch(reader.node, follower.now(), response)
	assert.Len(t, follower.workers.Workers(), 5000)
	assert.Equal(t, reader.workers.InForce(), follower.workers.InForce(), "it plans by itself")
	watch(t, follower, reader)
	assert.Len(t, follower.workers.Workers(), len(reader.workers.WorkersInUse()))
}

// BenchmarkWatcherOfManyWorkers measures what a node that rests takes in at a start.
func BenchmarkWatcherOfManyWorkers(b *testing.B) {
	for _, workers := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			reader := readerOf(b, workers)
			b.ReportAllocs()
			for b.Loop() {
				watch(b, followerOf(b), reader)
			}
		})
	}
}

// BenchmarkWatcherOfAllWorkers measures what a node that is to know all workers takes in.
func BenchmarkWatcherOfAllWorkers(b *testing.B) {
	reader := readerOf(b, 10_000)
	b.ReportAllocs()
	for b.Loop() {
		follower := followerOf(b)
		follower.standIn.Store(true)
		watch(b, follower, reader)
	}
}

// BenchmarkLookForChanges measures one look of the holder of the lease at which engines are to
// change, while none is.
func BenchmarkLookForChanges(b *testing.B) {
	reader := readerOf(b, 10_000)
	reader.weights.name(0, true, NamedWeights{Model: "m", Version: 1})
	for b.Loop() {
		reader.weights.next(reader.now(), reader.workers.Workers(), reader.workers.Doubtful(reader.now()))
	}
}

// followedTables is a store that counts whole reads of the workers and has the changes after a
// revision.
type followedTables struct {
	workerTable
	whole   int
	after   []fleet.Revision
	changes *watchcache.Update
}

func (s *followedTables) ReadTable(context.Context, Table, func() bool) (*watchcache.Update, error) {
	s.whole++
	return &watchcache.Update{Revision: s.changes.Revision, Complete: true}, nil
}

func (s *followedTables) FollowTable(_ context.Context, _ Table, after fleet.Revision, _ time.Duration) (*watchcache.Update, error) {
	s.after = append(s.after, after)
	return s.changes, nil
}

// TestNodeThatReadsForAMomentFollowsWhatItKnows: its peers are slow, and it asks the store. In
// a fleet of hundreds that all do so, whole reads of thousands of rows would swamp it.
func TestNodeThatReadsForAMomentFollowsWhatItKnows(t *testing.T) {
	reader, follower := readerOf(t, 5000), followerOf(t)
	reader.workersTable().cache.Advance(7)
	watch(t, follower, reader)
	drained := follower.workers.Workers()[0].ID
	number := 0
	_, err := fmt.Sscanf(string(drained), "i-%05d", &number)
	require.NoError(t, err)
	store := &followedTables{changes: &watchcache.Update{Revision: 9, Rows: []watchcache.Row{workerNamed(number, 9, true)}}}
	follower.outside.Platform = store
	follower.sources.answered(follower.now(), "peer", 0, true)
	feed := &storeFeed{gateway: follower, table: follower.workersTable(), since: gapUnreached}
	feed.step(t.Context())
	feed.step(t.Context())
	assert.Equal(t, []fleet.Revision{7, 9}, store.after)
	assert.Zero(t, store.whole)
	assert.True(t, follower.workers.Draining(drained))
	follower.sources.watched(follower.now())
	feed.step(t.Context())
	assert.Equal(t, 1, store.whole, "others ask it")
}
