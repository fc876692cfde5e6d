package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// TestNodeIsUnreachableAfterConsecutiveFailures guards against declaring a gateway unreachable
// after a single failed exchange.
func TestNodeIsUnreachableAfterConsecutiveFailures(t *testing.T) {
	failures := newPeerFailures()
	assert.False(t, failures.record("a", false))
	assert.False(t, failures.record("a", true), "the peer answered again")
	assert.False(t, failures.record("a", false))
	assert.False(t, failures.record("b", false))
	assert.True(t, failures.record("a", false))
	assert.True(t, failures.record("a", false), "until it answers")
	failures.forget("a")
	assert.Len(t, failures.consecutive, 1)
}

// TestCallersAreNotDirectedToAnUnreachableNode guards against idle gateways that direct callers to
// a gateway which no longer answers its peers but is still alive in the membership.
func TestCallersAreNotDirectedToAnUnreachableNode(t *testing.T) {
	g, watcher := newTestGateway(t), newTestGateway(t)
	lost := membership.Member{Node: "lost", State: membership.Alive}
	g.recordExchange(lost.Node, false)
	assert.False(t, g.origins.isUnreachable(g.now(), lost.Node))
	g.recordExchange(lost.Node, false)
	require.True(t, g.origins.isUnreachable(g.now(), lost.Node))
	assert.Empty(t, g.origins.capacityFactors(g.now()), "it is not replaced yet, since nodes near it may be lost, too")
	_, pressures := g.originReport(g.now())
	watcher.applyOriginReport(watcher.now(), nil, pressures)
	assert.True(t, watcher.origins.isUnreachable(watcher.now(), lost.Node))
	assert.False(t, watcher.isReachable(lost))
	assert.False(t, watcher.origins.isUnreachable(watcher.now()+rateLifetime+time.Second, lost.Node), "a report that isn't renewed expires")
	g.applyLoadReport(&rpc.LoadReport{Node: "lost"})
	assert.False(t, g.origins.isUnreachable(g.now(), lost.Node), "it has reported again")
	g.origins.setPressure(g.now(), g.node, pressureUnreachable)
	g.recordUsage(g.now(), resourceUsage{})
	assert.False(t, g.origins.isUnreachable(g.now(), g.node), "a node's own measurement replaces the report")
}
