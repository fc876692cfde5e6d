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
	silences := newSilences()
	assert.False(t, silences.note("a", false))
	assert.False(t, silences.note("a", true), "it was only late")
	assert.False(t, silences.note("a", false))
	assert.False(t, silences.note("b", false))
	assert.True(t, silences.note("a", false))
	assert.True(t, silences.note("a", false), "as long as it is silent")
	silences.forget("a")
	assert.Len(t, silences.failed, 1)
}

// TestSilentNodeIsNamedToNobody has exchanges with a node fail while the membership still takes
// it for alive, and the word on that reach a node at rest.
func TestSilentNodeIsNamedToNobody(t *testing.T) {
	g, atRest := newTestGateway(t), newTestGateway(t)
	lost := membership.Member{Node: "lost", State: membership.Alive}
	g.noteExchange(lost.Node, false)
	assert.False(t, g.origins.silent(g.now(), lost.Node))
	g.noteExchange(lost.Node, false)
	require.True(t, g.origins.silent(g.now(), lost.Node))
	assert.Empty(t, g.origins.planWeights(g.now()), "nobody is taken in its place yet: its neighbours may be lost, too")
	_, told := g.originReport(g.now())
	atRest.takeOrigins(atRest.now(), nil, told)
	assert.True(t, atRest.origins.silent(atRest.now(), lost.Node))
	assert.False(t, atRest.isReachable(lost))
	assert.False(t, atRest.origins.silent(atRest.now()+rateValid+time.Second, lost.Node), "a word that isn't renewed ends")
	g.takeLoad(&rpc.LoadReport{Node: "lost"})
	assert.False(t, g.origins.silent(g.now(), lost.Node), "it is heard again")
	g.origins.press(g.now(), g.node, unreachable)
	g.takeUsage(g.now(), consumption{})
	assert.False(t, g.origins.silent(g.now(), g.node), "a node knows better of itself")
}
