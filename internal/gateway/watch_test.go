package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/rpc"
)

// TestWatchWaitIsNotCountedTwiceInProofAge: the wait of a call would count twice, in the
// age that the other node tells and in the time of the call.
func TestWatchWaitIsNotCountedTwiceInProofAge(t *testing.T) {
	const wait, slack = 300 * time.Millisecond, 150 * time.Millisecond
	reader, asker := newTestGateway(t), newTestGateway(t)
	reader.freshness.Prove(reader.now())
	begun := asker.now()
	response := reader.answerWatch(context.Background(), &rpc.WatchRequest{WaitMillis: uint32(wait.Milliseconds())})
	asker.applyWatchResponse("reader", begun, response)
	age, proven := asker.freshness.Age(asker.now())
	require.True(t, proven)
	told, _ := reader.freshness.Age(reader.now())
	assert.GreaterOrEqual(t, age, wait, "never younger than it is")
	assert.Less(t, age, wait+slack)
	assert.GreaterOrEqual(t, age+slack, told)
}

// TestProofIsNotFromTheFuture whatever another node tells of the time for which it held a call.
func TestProofIsNotFromTheFuture(t *testing.T) {
	g := newTestGateway(t)
	g.applyWatchResponse("other", g.now(), &rpc.WatchResponse{ProofAgeMillis: 1, HeldMillis: 1 << 31})
	age, proven := g.freshness.Age(g.now())
	require.True(t, proven)
	assert.GreaterOrEqual(t, age, time.Duration(0))
}
