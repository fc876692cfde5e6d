package platformserver

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/standin/platformmodel"
)

func start(t *testing.T) (*Server, *platform.Client) {
	t.Helper()
	server := New(platformmodel.Options{}, zerolog.Nop())
	require.NoError(t, server.Start("127.0.0.1:0"))
	t.Cleanup(func() { require.NoError(t, server.Stop()) })
	client := platform.NewClient(platform.ClientOptions{Address: server.Address(), Timeout: time.Minute})
	t.Cleanup(client.Close)
	return server, client
}

func createRow(key string) platform.Transaction {
	return platform.Transaction{
		Compares: []platform.Compare{{Key: key}},
		Writes:   []platform.Write{{Key: key, Value: []byte("v")}},
	}
}

// TestClientReachesEveryOperation guards against a client and a server that encode calls
// differently.
func TestClientReachesEveryOperation(t *testing.T) {
	server, client := start(t)
	ctx := context.Background()

	require.NoError(t, client.Commit(ctx, createRow("k/é?&")))
	require.ErrorIs(t, client.Commit(ctx, createRow("k/é?&")), platform.ErrConflict)
	require.ErrorIs(t, client.Commit(ctx, createRow("")), platform.ErrInvalid)
	row, err := client.Get(ctx, "k/é?&")
	require.NoError(t, err)
	assert.Equal(t, platform.Row{Key: "k/é?&", Value: []byte("v"), Revision: 1}, row)
	_, err = client.Get(ctx, "missing")
	require.ErrorIs(t, err, platform.ErrNotFound)
	rows, err := client.List(ctx, "k/", "", 10)
	require.NoError(t, err)
	assert.Equal(t, []platform.Row{row}, rows)

	for _, body := range [][]byte{[]byte("bytes \x00"), {}} {
		require.NoError(t, client.PutObject(ctx, "o", body))
		object, err := client.GetObject(ctx, "o")
		require.NoError(t, err)
		assert.Equal(t, body, object)
	}

	machines := []platform.Machine{{ID: "e1", Address: "127.0.0.1:1", State: platform.MachineLive}}
	server.SetMachines(machines)
	listed, err := client.ListMachines(ctx)
	require.NoError(t, err)
	assert.Equal(t, machines, listed)
	status, err := client.WeightStore(ctx)
	require.NoError(t, err)
	assert.Equal(t, platform.WeightStoreStatus{Limit: 1}, status)
	assert.Equal(t, Counters{Get: 2, List: 1, Commit: 3, GetObject: 2, PutObject: 2, ListMachines: 1, WeightStore: 1},
		server.Counters())
}

// TestLostAnswerReportsUnknownOutcome guards against a commit whose answer is lost being reported
// as failed or sent twice.
func TestLostAnswerReportsUnknownOutcome(t *testing.T) {
	server, client := start(t)
	ctx := context.Background()
	_, err := client.List(ctx, "", "", 1) // leaves an idle connection
	require.NoError(t, err)
	server.SetFaults(Faults{LoseAnswers: 1, LoseWritesOnly: true})
	require.ErrorIs(t, client.Commit(ctx, createRow("k")), platform.ErrUnknownOutcome)
	_, err = client.Get(ctx, "k")
	require.NoError(t, err, "the commit took effect")
	assert.EqualValues(t, 1, server.Counters().Commit, "the commit was sent once")
}

// TestReadsAreNotRetried guards against the HTTP client silently retrying a read.
func TestReadsAreNotRetried(t *testing.T) {
	server, client := start(t)
	ctx := context.Background()
	_, err := client.List(ctx, "", "", 1)
	require.NoError(t, err)
	server.SetFaults(Faults{LoseAnswers: -1})
	_, err = client.List(ctx, "", "", 1)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	assert.EqualValues(t, 2, server.Counters().List)
}

// TestDownServiceHasNoEffect guards against calls to a service that is down taking effect.
func TestDownServiceHasNoEffect(t *testing.T) {
	server, client := start(t)
	ctx := context.Background()
	server.SetFaults(Faults{Down: true})
	require.ErrorIs(t, client.Commit(ctx, createRow("k")), platform.ErrUnknownOutcome)
	_, err := client.Get(ctx, "k")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	server.SetFaults(Faults{})
	_, err = client.Get(ctx, "k")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// TestCancelledCommitReportsUnknownOutcome guards against a commit being reported as failed when
// the caller stops waiting after its effect.
func TestCancelledCommitReportsUnknownOutcome(t *testing.T) {
	server, client := start(t)
	server.SetFaults(Faults{AnswerDelay: config.Duration(time.Hour)})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	outcome := make(chan error, 1)
	go func() { outcome <- client.Commit(ctx, createRow("k")) }()
	require.Eventually(t, func() bool { return server.Counters().Commit == 1 }, time.Minute, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-outcome, platform.ErrUnknownOutcome)
}

// TestConnectErrorIsUnavailable guards against a refused connection being reported as an unknown
// outcome.
func TestConnectErrorIsUnavailable(t *testing.T) {
	server, client := start(t)
	require.NoError(t, server.Stop())
	require.ErrorIs(t, client.Commit(context.Background(), createRow("k")), platform.ErrUnavailable)
}

// TestControlEndpoints guards against control endpoints that accept unknown fields or have no
// effect.
func TestControlEndpoints(t *testing.T) {
	server, client := start(t)
	ctx := context.Background()
	post := func(path, body string) int {
		response, err := http.Post("http://"+string(server.Address())+path, contentTypeJSON, bytes.NewBufferString(body))
		require.NoError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	assert.Equal(t, http.StatusBadRequest, post(PathFaults, `{"slw":"1s"}`))
	assert.Equal(t, http.StatusOK, post(PathFaults, `{"rate":{"per_second":0.001,"burst":1}}`))
	require.NoError(t, client.Commit(ctx, createRow("k")))
	require.ErrorIs(t, client.Commit(ctx, createRow("l")), platform.ErrRateLimited)
	assert.Equal(t, http.StatusOK, post(PathSetMachines, `{"machines":[{"id":"r1","address":"127.0.0.1:2","state":"leaving"}]}`))
	machines, err := client.ListMachines(ctx)
	require.NoError(t, err)
	require.Len(t, machines, 1)

	response, err := http.Get("http://" + string(server.Address()) + PathCounters)
	require.NoError(t, err)
	defer response.Body.Close()
	var counters Counters
	require.NoError(t, json.NewDecoder(response.Body).Decode(&counters))
	assert.Equal(t, Counters{Commit: 2, RateLimited: 1, ListMachines: 1}, counters)
}
