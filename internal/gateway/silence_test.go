package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

func TestNodeIsSilentAfterFailuresInARow(t *testing.T) {
	silences := newPeerFailures()
	assert.False(t, silences.record("a", false))
	assert.False(t, silences.record("a", true), "it was only late")
	assert.False(t, silences.record("a", false))
	assert.False(t, silences.record("b", false))
	assert.True(t, silences.record("a", false))
	assert.True(t, silences.record("a", false), "as long as it is silent")
	silences.forget("a")
	assert.Len(t, silences.consecutive, 1)
}

// TestSilentNodeIsNamedToNobody has exchanges with a node fail while the membership still takes
// it for alive, and the word on that reach a node at rest.
func TestSilentNodeIsNamedToNobody(t *testing.T) {
	g, atRest := idleGateway(t), idleGateway(t)
	lost := membership.Member{Node: "lost", State: membership.Alive}
	g.noteExchange(lost.Node, false)
	assert.False(t, g.origins.isUnreachable(g.now(), lost.Node))
	g.noteExchange(lost.Node, false)
	require.True(t, g.origins.isUnreachable(g.now(), lost.Node))
	assert.Empty(t, g.origins.capacityWeights(g.now()), "nobody is taken in its place yet: its neighbours may be lost, too")
	_, told := g.originReport(g.now())
	atRest.applyOriginReport(atRest.now(), nil, told)
	assert.True(t, atRest.origins.isUnreachable(atRest.now(), lost.Node))
	assert.False(t, atRest.reachable(lost))
	assert.False(t, atRest.origins.isUnreachable(atRest.now()+rateLifetime+time.Second, lost.Node), "a word that isn't renewed ends")
	g.takeLoad(&rpc.LoadReport{Node: "lost"})
	assert.False(t, g.origins.isUnreachable(g.now(), lost.Node), "it is heard again")
	g.origins.setPressure(g.now(), g.node, pressureUnreachable)
	g.recordUsage(g.now(), resourceUsage{})
	assert.False(t, g.origins.isUnreachable(g.now(), g.node), "a node knows better of itself")
}
