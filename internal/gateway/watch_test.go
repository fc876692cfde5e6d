package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/rpc"
)

// TestWatchWaitIsNotCountedTwiceInProofAge guards against counting the wait of a watch call both in
// the peer's proof age and in the duration of the call.
func TestWatchWaitIsNotCountedTwiceInProofAge(t *testing.T) {
	const wait, slack = 300 * time.Millisecond, 150 * time.Millisecond
	reader, watcher := newTestGateway(t), newTestGateway(t)
	reader.freshness.Prove(reader.now())
	start := watcher.now()
	response := reader.handleWatch(context.Background(), &rpc.WatchRequest{WaitMillis: uint32(wait.Milliseconds())})
	watcher.applyWatchResponse("reader", start, response)
	age, proven := watcher.freshness.Age(watcher.now())
	require.True(t, proven)
	readerAge, _ := reader.freshness.Age(reader.now())
	assert.GreaterOrEqual(t, age, wait, "must not be underestimated")
	assert.Less(t, age, wait+slack)
	assert.GreaterOrEqual(t, age+slack, readerAge)
}

// TestProofIsNotFromTheFuture guards against a proof dated later than now if a peer reports a wrong
// time for which it held the call.
func TestProofIsNotFromTheFuture(t *testing.T) {
	g := newTestGateway(t)
	g.applyWatchResponse("other", g.now(), &rpc.WatchResponse{ProofAgeMillis: 1, HeldMillis: 1 << 31})
	age, proven := g.freshness.Age(g.now())
	require.True(t, proven)
	assert.GreaterOrEqual(t, age, time.Duration(0))
}
