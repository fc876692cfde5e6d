package platformmodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/platform"
)

func put(key, value string) platform.Write {
	return platform.Write{Key: key, Value: []byte(value)}
}

// TestCommitWritesAllRowsOrNone guards against partially applied transactions.
func TestCommitWritesAllRowsOrNone(t *testing.T) {
	model := New(Options{})
	create := platform.Transaction{
		Compares: []platform.Compare{{Key: "a"}, {Key: "b"}},
		Writes:   []platform.Write{put("a", "1"), put("b", "1")},
	}
	require.NoError(t, model.Commit(0, create))
	require.ErrorIs(t, model.Commit(0, create), platform.ErrConflict)
	half := platform.Transaction{
		Compares: []platform.Compare{{Key: "a", Revision: 1}, {Key: "b", Revision: 7}},
		Writes:   []platform.Write{put("a", "2"), {Key: "b", Delete: true}},
	}
	require.ErrorIs(t, model.Commit(0, half), platform.ErrConflict)
	row, err := model.Get(0, "a")
	require.NoError(t, err)
	assert.Equal(t, platform.Row{Key: "a", Value: []byte("1"), Revision: 1}, row)

	twice := platform.Transaction{Writes: []platform.Write{put("a", "2"), put("a", "3")}}
	require.ErrorIs(t, model.Commit(0, twice), platform.ErrInvalid)
}

// TestReturnedRowsAreCopies guards against callers that change stored rows.
func TestReturnedRowsAreCopies(t *testing.T) {
	model := New(Options{})
	require.NoError(t, model.Commit(0, platform.Transaction{Writes: []platform.Write{put("a", "1")}}))
	row, err := model.Get(0, "a")
	require.NoError(t, err)
	row.Value[0] = 'x'
	again, err := model.Get(0, "a")
	require.NoError(t, err)
	assert.Equal(t, "1", string(again.Value))
}

// TestListPagesThroughEveryRowOnce guards against rows that paging skips or repeats.
func TestListPagesThroughEveryRowOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := New(Options{})
		keys := rapid.SliceOfDistinct(rapid.StringMatching(`[ab]{1,4}`), rapid.ID[string]).Draw(t, "keys")
		want := 0
		for _, key := range keys {
			require.NoError(t, model.Commit(0, platform.Transaction{Writes: []platform.Write{put(key, "")}}))
			if key[0] == 'a' {
				want++
			}
		}
		after := ""
		got := 0
		for {
			rows, err := model.List(0, "a", after, 2)
			require.NoError(t, err)
			if len(rows) == 0 {
				break
			}
			for _, row := range rows {
				require.Greater(t, row.Key, after)
				after = row.Key
				got++
			}
		}
		require.Equal(t, want, got)
	})
}

// TestRateLimitRefusesWithoutEffect guards against refused calls that take effect.
func TestRateLimitRefusesWithoutEffect(t *testing.T) {
	model := New(Options{Rate: Rate{PerSecond: 1, Burst: 2}})
	write := platform.Transaction{Writes: []platform.Write{put("a", "1")}}
	require.NoError(t, model.Commit(0, write))
	require.NoError(t, model.Commit(0, write))
	require.ErrorIs(t, model.Commit(0, write), platform.ErrRateLimited)
	row, err := model.Get(time.Second, "a")
	require.NoError(t, err)
	assert.EqualValues(t, 2, row.Revision)
}

// TestMachineListLagsAndShowsOlderStates guards against a machine list that shows changes before
// its lag.
func TestMachineListLagsAndShowsOlderStates(t *testing.T) {
	model := New(Options{MachineLag: time.Second})
	live := []platform.Machine{{ID: "m", State: platform.MachineLive}}
	leaving := []platform.Machine{{ID: "m", State: platform.MachineLeaving}}
	model.SetMachines(0, live)
	model.SetMachines(10*time.Second, leaving)
	assert.Equal(t, live, model.ListMachines(10900*time.Millisecond))
	assert.Equal(t, leaving, model.ListMachines(11*time.Second))
	model.SetMachineLag(5 * time.Second)
	assert.Equal(t, live, model.ListMachines(12*time.Second), "an increased lag returns the older state again")
}

// TestWeightLoadsShareTheStoreBeyondItsLimit guards against wrong finish times of concurrent loads.
func TestWeightLoadsShareTheStoreBeyondItsLimit(t *testing.T) {
	store := NewWeightStore(2)
	for _, loader := range []string{"a", "b", "c", "d"} {
		store.Start(0, loader, 600*time.Millisecond)
	}
	finish, running := store.NextFinish(0)
	require.True(t, running)
	assert.Equal(t, 1200*time.Millisecond, finish, "four loads at half speed")
	assert.Equal(t, platform.WeightStoreStatus{Loading: 4, Limit: 2}, store.Status(0))

	store.Cancel(600*time.Millisecond, "c")
	store.Cancel(600*time.Millisecond, "d")
	assert.Empty(t, store.Finished(899*time.Millisecond))
	assert.Equal(t, []string{"a", "b"}, store.Finished(900*time.Millisecond), "the other half of the work runs at full speed")
	_, running = store.NextFinish(time.Second)
	assert.False(t, running)
}
