package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	fleetSize        = 680
	fleetRegions     = 6
	propagationLimit = 4 * time.Second
)

// publishChange applies a change at one node, as an operator's command does, and publishes it.
func (n *network) publishChange(to *node, patch string) {
	change := Change{Revision: to.dissemination.Held() + 1, Patch: []byte(patch)}
	to.changes = append(to.changes, change)
	n.send(to, to.dissemination.Publish(n.now, []Change{change}, to.core.View()))
}

func (n *network) allHold(revision int) func() bool {
	return func() bool {
		for _, x := range n.running() {
			if len(x.changes) < revision {
				return false
			}
		}
		return true
	}
}

func TestChangeReachesWholeFleetUnderLoss(t *testing.T) {
	network := newNetwork(t, 21, fleetRegions)
	network.startConverged(fleetSize)
	network.loss = 0.3
	network.advance(time.Second)
	for revision := 1; revision <= 3; revision++ {
		network.publishChange(network.all[revision*97], "patch")
		took := network.advanceUntil(propagationLimit, network.allHold(revision))
		t.Logf("change %d held by all %d members after %s with 30%% loss", revision, fleetSize, took)
	}
	for _, x := range network.all {
		for i, change := range x.changes {
			require.EqualValues(t, i+1, change.Revision)
		}
	}
}

// publishUnderLoss publishes changes one after another under message loss and returns the sorted
// times until all members held each. It takes many changes to observe a member that every push has
// missed.
func publishUnderLoss(t testing.TB, seed uint64, members, changes int) []time.Duration {
	network := newNetwork(t, seed, fleetRegions)
	network.startConverged(members)
	network.loss = 0.3
	network.advance(time.Second)
	took := make([]time.Duration, 0, changes)
	for revision := 1; revision <= changes; revision++ {
		network.publishChange(network.all[revision*97%members], "patch")
		took = append(took, network.advanceUntil(time.Minute, network.allHold(revision)))
	}
	slices.Sort(took)
	return took
}

func TestSlowestOfManyChangesUnderLoss(t *testing.T) {
	const changes = 150
	took := publishUnderLoss(t, 24, 100, changes)
	t.Logf("changes=%d median=%s slowest=%s", changes, took[changes/2], took[changes-1])
	assert.Less(t, took[changes-1], propagationLimit)
}

// BenchmarkLossyChanges reports the tail of the propagation times in a full-size fleet.
func BenchmarkLossyChanges(b *testing.B) {
	const changes = 150
	for seed := range b.N {
		took := publishUnderLoss(b, uint64(seed), fleetSize, changes)
		b.ReportMetric(took[changes/2].Seconds(), "median-s")
		b.ReportMetric(took[changes*9/10].Seconds(), "p90-s")
		b.ReportMetric(took[changes-2].Seconds(), "second-slowest-s")
		b.ReportMetric(took[changes-1].Seconds(), "slowest-s")
	}
}

func TestRestartedNodePullsMissingChanges(t *testing.T) {
	network := newNetwork(t, 22, 2)
	network.startConverged(20)
	for range 5 {
		network.publishChange(network.all[0], "patch")
		network.advanceUntil(propagationLimit, network.allHold(int(network.all[0].dissemination.Held())))
	}
	network.advance(time.Minute)
	network.restart(6, "-second")
	network.advanceUntil(propagationLimit, network.allHold(5))
}

func TestOversizedChangeIsPulled(t *testing.T) {
	network := newNetwork(t, 23, 2)
	network.startConverged(20)
	network.advance(time.Second)
	network.publishChange(network.all[0], string(make([]byte, DefaultMaxPatchBytes+1)))
	network.advanceUntil(propagationLimit, network.allHold(1))
}

func TestNextChangesReturnsOnlyConsecutiveRevisions(t *testing.T) {
	dissemination := NewDissemination(DisseminationOptions{Random: rand.New(rand.NewPCG(1, 1))})
	dissemination.RecordHeld(4)
	dissemination.RecordHeld(2)
	assert.EqualValues(t, 4, dissemination.Held())
	assert.Empty(t, dissemination.NextChanges([]Change{{Revision: 3}, {Revision: 4}, {Revision: 6}}))
	assert.Equal(t, []Change{{Revision: 5}, {Revision: 6}}, dissemination.NextChanges([]Change{{Revision: 4}, {Revision: 5}, {Revision: 6}}))
}

func TestPullIsRepeatedUntilAnswered(t *testing.T) {
	dissemination := NewDissemination(DisseminationOptions{Random: rand.New(rand.NewPCG(1, 1))})
	_, due := dissemination.NextPull(0)
	assert.False(t, due)
	dissemination.Observe("10.0.0.1:1", 3)
	dissemination.Observe("10.0.0.2:1", 2)
	pull, due := dissemination.NextPull(time.Second)
	require.True(t, due)
	assert.Equal(t, Pull{From: "10.0.0.1:1"}, pull)
	_, due = dissemination.NextPull(time.Second)
	assert.False(t, due)
	pull, due = dissemination.NextPull(time.Second + DefaultPullInterval)
	assert.True(t, due)
	assert.Equal(t, fleet.Address("10.0.0.2:1"), pull.From, "the second pull must go to another member")
	at := time.Second + DefaultPullInterval
	for range DefaultPersistentPulls - 1 {
		_, due = dissemination.NextPull(at + DefaultPullInterval/2)
		require.False(t, due, "the pull followed without a delay")
		at += DefaultPullInterval
		_, due = dissemination.NextPull(at)
		require.True(t, due, "the delay grew too early")
	}
	for range 100 {
		at += DefaultMaxPullInterval
		_, due = dissemination.NextPull(at - DefaultMaxPullInterval/2)
		require.False(t, due, "the delay did not grow")
		_, due = dissemination.NextPull(at)
		require.True(t, due, "the delay exceeds its maximum")
	}
	dissemination.RecordHeld(3)
	_, due = dissemination.NextPull(time.Hour)
	assert.False(t, due)
}
