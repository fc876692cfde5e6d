package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	fleetSize    = 680
	fleetRegions = 6
	changeLimit  = 4 * time.Second
)

// offer gives one node a change, as an operator's command does.
func (n *network) offer(to *node, patch string) {
	change := Change{Revision: to.spread.Held() + 1, Patch: []byte(patch)}
	to.log = append(to.log, change)
	n.send(to, to.spread.Publish(n.now, []Change{change}, to.core.View()))
}

func (n *network) allHold(revision int) func() bool {
	return func() bool {
		for _, x := range n.running() {
			if len(x.log) < revision {
				return false
			}
		}
		return true
	}
}

func TestChangeReachesWholeFleetUnderLoss(t *testing.T) {
	network := newNetwork(t, 21, fleetRegions)
	network.startKnown(fleetSize)
	network.loss = 0.3
	network.pass(time.Second)
	for revision := 1; revision <= 3; revision++ {
		network.offer(network.all[revision*97], "patch")
		took := network.until(changeLimit, network.allHold(revision))
		t.Logf("change %d held by all of %d after %s with 30%% loss", revision, fleetSize, took)
	}
	for _, x := range network.all {
		for i, change := range x.log {
			require.EqualValues(t, i+1, change.Revision)
		}
	}
}

func TestRestartedNodePullsWhatItLacks(t *testing.T) {
	network := newNetwork(t, 22, 2)
	network.startKnown(20)
	for range 5 {
		network.offer(network.all[0], "patch")
		network.until(changeLimit, network.allHold(int(network.all[0].spread.Held())))
	}
	network.pass(time.Minute)
	network.restart(6, "-second")
	network.until(changeLimit, network.allHold(5))
}

func TestOversizedChangeIsPulled(t *testing.T) {
	network := newNetwork(t, 23, 2)
	network.startKnown(20)
	network.pass(time.Second)
	network.offer(network.all[0], string(make([]byte, DefaultMaxPatchBytes+1)))
	network.until(changeLimit, network.allHold(1))
}

func TestNextTakesOnlyWhatFollows(t *testing.T) {
	spread := NewDissemination(DisseminationOptions{Random: rand.New(rand.NewPCG(1, 1))})
	spread.Hold(4)
	spread.Hold(2)
	assert.EqualValues(t, 4, spread.Held())
	assert.Empty(t, spread.Next([]Change{{Revision: 3}, {Revision: 4}, {Revision: 6}}))
	assert.Equal(t, []Change{{Revision: 5}, {Revision: 6}}, spread.Next([]Change{{Revision: 4}, {Revision: 5}, {Revision: 6}}))
}

func TestPullIsRepeatedUntilAnswered(t *testing.T) {
	spread := NewDissemination(DisseminationOptions{Random: rand.New(rand.NewPCG(1, 1))})
	_, due := spread.Pull(0)
	assert.False(t, due)
	spread.Observe("10.0.0.1:1", 3)
	spread.Observe("10.0.0.2:1", 2)
	pull, due := spread.Pull(time.Second)
	require.True(t, due)
	assert.Equal(t, Pull{From: "10.0.0.1:1"}, pull)
	_, due = spread.Pull(time.Second)
	assert.False(t, due)
	_, due = spread.Pull(time.Second + DefaultPullInterval)
	assert.True(t, due)
	_, due = spread.Pull(time.Second + 2*DefaultPullInterval)
	assert.False(t, due, "the second pause is not longer")
	_, due = spread.Pull(time.Second + 3*DefaultPullInterval)
	assert.True(t, due)
	spread.Hold(3)
	_, due = spread.Pull(time.Minute)
	assert.False(t, due)
}
