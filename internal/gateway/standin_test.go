package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

const undoneWithin = 3400 * time.Millisecond

// look returns what two engines show with these versions; those below 2 wait.
func look(versions ...uint64) engineVersions {
	seen := engineVersions{sums: make(map[fleet.EngineID]uint64)}
	for index, version := range versions {
		seen.sums[fleet.EngineID(rune('a'+index))] = version
		if version < 2 {
			seen.waiting++
		}
	}
	return seen
}

// lookUntil looks each second from one second to another and returns when the duty was
// first found undone; 0 if it wasn't.
func lookUntil(duty *dutyWatch, from, until int, seen engineVersions) int {
	for second := from; second <= until; second++ {
		if duty.observe(time.Duration(second)*time.Second, seen, undoneWithin) {
			return second
		}
	}
	return 0
}

func TestDutyThatNobodyDoesIsNoticed(t *testing.T) {
	var duty dutyWatch
	assert.Equal(t, 4, lookUntil(&duty, 0, 4, look(1, 1)), "engines wait since the first look")
	assert.Equal(t, 9, lookUntil(&duty, 5, 9, look(1, 2)), "one has changed")
	assert.Zero(t, lookUntil(&duty, 10, 20, look(2, 2)), "none waits")
	assert.Zero(t, lookUntil(&duty, 30, 33, look(2, 1)), "nobody has looked for a while")
}

// TestDeliveryThatNobodyDirectsIsNoticed has engines change while nobody directs.
func TestDeliveryThatNobodyDirectsIsNoticed(t *testing.T) {
	var duty dutyWatch
	undirected := look(2, 2)
	undirected.undirected = true
	assert.Equal(t, 4, lookUntil(&duty, 0, 4, undirected))
	assert.Zero(t, lookUntil(&duty, 5, 5, look(2, 2)), "somebody directs")
	assert.Equal(t, 9, lookUntil(&duty, 6, 9, undirected))
}

// TestDeliveryWithoutDirectiveIsUndirected has an order without and with a directive that
// counts.
func TestDeliveryWithoutDirectiveIsUndirected(t *testing.T) {
	g := idleGateway(t)
	assert.False(t, g.deliveries.undirected(0))
	order := delivery.Order{Service: "app", Target: "v2", Duration: 12 * time.Second, Revision: 7}
	_, err := g.deliveries.order(0, 0, order)
	require.NoError(t, err)
	assert.True(t, g.deliveries.undirected(0))
	directive := delivery.Directive{Service: "app", Target: "v2", Revision: 7, Sequence: 1, Stage: delivery.StageCanary, IssuedAt: time.Second}
	g.deliveries.take(time.Second, directive)
	assert.False(t, g.deliveries.undirected(2*time.Second))
	assert.True(t, g.deliveries.undirected(time.Second+delivery.DirectiveLifetime+time.Millisecond), "it has lapsed")
	directive.Stage, directive.Sequence = delivery.StageRolledBack, 2
	g.deliveries.take(5*time.Second, directive)
	assert.False(t, g.deliveries.undirected(time.Minute), "it is over")
}

// TestEnginesThatComeAndGoAreNoProgress has an engine crash and come back as another run
// while nobody changes any.
func TestEnginesThatComeAndGoAreNoProgress(t *testing.T) {
	var duty dutyWatch
	assert.Zero(t, lookUntil(&duty, 0, 1, look(1, 1)))
	assert.Zero(t, lookUntil(&duty, 2, 3, look(1)))
	assert.Equal(t, 4, lookUntil(&duty, 4, 4, look(1, 1, 1)))
}

// TestNodeThatReachesTheStoreStandsInForTheCandidates has an engine wait for new weights
// at a node that isn't a candidate.
func TestNodeThatReachesTheStoreStandsInForTheCandidates(t *testing.T) {
	g := idleGateway(t)
	g.roles.Store(deriveRoles("node-000", "z0", largeFleet(195), 0, false))
	require.False(t, g.roles.Load().candidate)
	g.settled.Store(true)
	g.workers.Observe(1, backends.Worker{ID: "engine", Service: "pool", Versions: map[fleet.ModelName]backends.WeightsVersion{"model": 1}})
	g.weights.name(0, true, NamedWeights{Model: "model", Version: 2})
	step := func(second int, proven bool) bool {
		now := time.Duration(second) * time.Second
		if proven {
			g.sources.proven(now, now)
		}
		g.noteStandIn(now)
		return g.rolloutCandidate()
	}
	for second := 1; second <= 4; second++ {
		assert.False(t, step(second, true), second)
	}
	assert.True(t, step(5, true), "nobody changes the engine")
	roles := deriveRoles("node-000", "z0", largeFleet(195), 0, g.standIn.Load())
	assert.True(t, roles.sharesLoads, "those that place requests hear of its orders")
	assert.Len(t, roles.loadPeers, membership.DefaultMinServing+membership.DefaultCandidates)
	assert.True(t, step(6, false), "its proof is a second old")
	assert.False(t, step(7, false), "it has lost the store itself")
	assert.True(t, step(8, true))
	g.workers.NoteVersion("engine", "model", 2)
	assert.False(t, step(9, true), "it is done")
}
