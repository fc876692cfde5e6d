package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// newStarted returns the selector of a node that has just started.
func newStarted(self fleet.NodeID, seed uint64) *Selector {
	return New(0, Options{Self: self, Random: rand.New(rand.NewPCG(seed, 1))})
}

// newSelector returns the selector of a node that has had the full state and whose role is confirmed.
func newSelector(self fleet.NodeID, seed uint64) *Selector {
	selector := newStarted(self, seed)
	selector.MarkSynced()
	selector.ConfirmRole(0)
	return selector
}

func source(t *testing.T, selector *Selector) fleet.NodeID {
	t.Helper()
	node, found := selector.Source()
	require.True(t, found)
	return node
}

// TestReaderReadsAndOthersAskTheirFirstSource guards against readers that don't read, and against
// others that read the store or ask themselves.
func TestReaderReadsAndOthersAskTheirFirstSource(t *testing.T) {
	selector := newSelector("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"n", "a", "b"})
	assert.Equal(t, fleet.NodeID("a"), source(t, selector), "a node must not ask itself")
	assert.True(t, selector.ShouldAskPeer(0))
	assert.False(t, selector.ShouldReadStore(0))
	selector.SetRole(0, true, []fleet.NodeID{"a"})
	assert.True(t, selector.ShouldReadStore(0))
	assert.True(t, selector.ShouldAskPeer(0), "no proof from the store yet")
	selector.ObserveOwnProof(time.Second, 200*time.Millisecond)
	assert.False(t, selector.ShouldAskPeer(2*time.Second))
	assert.True(t, selector.ShouldAskPeer(time.Second-200*time.Millisecond+DefaultStaleAfter), "the last proof is stale")
	assert.True(t, selector.ShouldReadStore(time.Minute))
}

// TestStartedNodeReadsUntilSynced guards against nodes that stop reading after a restart of all nodes,
// when peers answer without the full state.
func TestStartedNodeReadsUntilSynced(t *testing.T) {
	selector := newStarted("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"a"})
	assert.True(t, selector.ShouldReadStore(0))
	assert.False(t, selector.ShouldAskPeer(0), "the store may still answer")
	assert.True(t, selector.ShouldAskPeer(DefaultStoreGracePeriod), "the store does not answer")
	selector.ObserveStoreCall(true)
	assert.False(t, selector.ShouldAskPeer(DefaultStoreGracePeriod))
	selector.ObserveStoreCall(false)
	assert.True(t, selector.ShouldAskPeer(DefaultStoreGracePeriod))
	selector.ObserveAnswer(time.Millisecond, "a", 0, false)
	assert.True(t, selector.ShouldReadStore(time.Millisecond))
	selector.ObserveAnswer(2*time.Millisecond, "a", 0, true)
	assert.True(t, selector.ShouldReadStore(2*time.Millisecond), "a proof of one table is not the full state")
	selector.MarkSynced()
	assert.False(t, selector.ShouldReadStore(2*time.Millisecond))
}

// TestConfirmedNodeLeavesReadingToReaders guards against all nodes reading a slow store after a restart
// although their peers answer.
func TestConfirmedNodeLeavesReadingToReaders(t *testing.T) {
	selector := newStarted("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"a"})
	selector.ConfirmRole(time.Second)
	assert.True(t, selector.ShouldAskPeer(time.Second))
	assert.True(t, selector.ShouldReadStore(time.Second), "no peer has answered yet")
	selector.ObserveAnswer(time.Second, "a", 0, false)
	assert.False(t, selector.ShouldReadStore(time.Second))
	selector.SetRole(time.Second, true, []fleet.NodeID{"a"})
	assert.True(t, selector.ShouldReadStore(time.Second))
}

// TestNodeWaitsForItsRoleAtTheFirstStart guards against nodes that read the store without being
// readers.
func TestNodeWaitsForItsRoleAtTheFirstStart(t *testing.T) {
	selector := New(0, Options{Self: "n", Random: rand.New(rand.NewPCG(1, 1)), AwaitRole: true})
	selector.SetRole(0, false, []fleet.NodeID{"a"})
	assert.False(t, selector.ShouldReadStore(DefaultPeerTimeout))
	assert.False(t, selector.ShouldAskPeer(DefaultPeerTimeout))
	selector.ConfirmRole(2 * time.Second)
	assert.True(t, selector.ShouldAskPeer(2*time.Second))
	assert.False(t, selector.ShouldReadStore(2*time.Second+DefaultPeerTimeout-1))
	assert.True(t, selector.ShouldReadStore(2*time.Second+DefaultPeerTimeout), "no peer answers")
	selector.ObserveAnswer(4*time.Second, "a", 0, true)
	assert.False(t, selector.ShouldReadStore(4*time.Second))
}

// TestNodeWithoutAnAnswerReads guards against nodes that stay without updates while no peer answers.
func TestNodeWithoutAnAnswerReads(t *testing.T) {
	selector := newSelector("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"a"})
	assert.False(t, selector.ShouldReadStore(DefaultPeerTimeout-1))
	assert.True(t, selector.ShouldReadStore(DefaultPeerTimeout))
	selector.ObserveAnswer(2*time.Second, "a", time.Second, true)
	assert.False(t, selector.ShouldReadStore(2*time.Second))
	assert.True(t, selector.ShouldReadStore(2*time.Second+DefaultPeerTimeout))
}

// TestFailoverAndFailback guards against nodes that stay with a silent or stale source, or never return
// to their first one.
func TestFailoverAndFailback(t *testing.T) {
	selector := newSelector("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"a", "b", "c"})
	assert.True(t, selector.ObserveFailure(time.Second, "a"))
	assert.False(t, selector.ObserveFailure(time.Second, "a"), "no longer the current source")
	assert.True(t, selector.ObserveAnswer(time.Second, "b", DefaultStaleAfter, true))
	assert.Equal(t, fleet.NodeID("c"), source(t, selector))
	assert.False(t, selector.ObserveAnswer(2*time.Second, "c", time.Second, true))
	assert.Equal(t, fleet.NodeID("c"), source(t, selector))
	assert.True(t, selector.ObserveAnswer(time.Second+DefaultFailbackAfter, "c", time.Second, true))
	assert.Equal(t, fleet.NodeID("a"), source(t, selector))
}

// TestNewOrderKeepsRecentSource guards against nodes that leave a recently chosen source whenever the
// order of sources changes.
func TestNewOrderKeepsRecentSource(t *testing.T) {
	selector := newSelector("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"a", "b", "c"})
	selector.ObserveFailure(time.Second, "a")
	selector.SetRole(2*time.Second, false, []fleet.NodeID{"a", "d", "b"})
	assert.Equal(t, fleet.NodeID("b"), source(t, selector))
	selector.SetRole(3*time.Second, false, []fleet.NodeID{"a", "d"})
	assert.Equal(t, fleet.NodeID("a"), source(t, selector), "b is no longer a source")
}

// TestWatchedNodeReadsForAWhile guards against chains of nodes that don't end at the store, and against
// nodes that read forever once asked.
func TestWatchedNodeReadsForAWhile(t *testing.T) {
	selector := newSelector("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"a"})
	selector.ObserveAnswer(time.Second, "a", 0, true)
	selector.ObserveWatch(time.Second)
	assert.True(t, selector.ShouldReadStore(2*time.Second))
	for now := 2 * time.Second; now < 5*time.Second; now += time.Second / 2 {
		selector.ObserveAnswer(now, "a", 0, true)
	}
	assert.False(t, selector.ShouldReadStore(time.Second+DefaultWatchLinger))
}

// TestUnreachableStoreIsNotFlooded guards against most nodes reading the store at once while all peers
// answer with stale proofs.
func TestUnreachableStoreIsNotFlooded(t *testing.T) {
	const nodes = 79
	reading := 0
	steps := 0
	for number := range uint64(nodes) {
		selector := newSelector(fleet.NodeID(fmt.Sprint("n", number)), number)
		selector.SetRole(0, false, []fleet.NodeID{"a", "b"})
		for now := time.Second; now < 20*time.Second; now += 100 * time.Millisecond {
			selector.ObserveAnswer(now, source(t, selector), now, true)
			if now < 5*time.Second {
				continue
			}
			steps++
			if selector.ShouldReadStore(now) {
				reading++
			}
		}
	}
	assert.Positive(t, reading, "some nodes must probe")
	assert.Less(t, float64(reading)/float64(steps), 0.15)
}

// TestProbesDontGrowWithTheFleet guards against a number of concurrent probes that grows with the fleet
// while all peers answer with stale proofs.
func TestProbesDontGrowWithTheFleet(t *testing.T) {
	probing := func(nodes int) float64 {
		reading, steps := 0, 0
		for number := range uint64(nodes) {
			selector := newSelector(fleet.NodeID(fmt.Sprint("n", number)), number)
			selector.SetNonServingNodes(nodes)
			selector.SetRole(0, false, []fleet.NodeID{"a", "b"})
			for now := time.Second; now < 200*time.Second; now += 100 * time.Millisecond {
				selector.ObserveAnswer(now, source(t, selector), now, true)
				if now >= 5*time.Second && selector.ShouldReadStore(now) {
					reading++
				}
			}
			steps = 1950
		}
		return float64(reading) / float64(steps)
	}
	bound := 1.5 * float64(DefaultProbeDuration) / float64(DefaultProbeSpacing)
	for _, nodes := range []int{79, 195, 680} {
		assert.InDelta(t, bound, probing(nodes), bound, "%d nodes", nodes)
	}
}

// TestNodesConvergeOnSourcesThatReachTheStore guards against nodes without a fresh proof, or too many
// readers, if the store refuses some of the nodes.
func TestNodesConvergeOnSourcesThatReachTheStore(t *testing.T) {
	const nodes = 60
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 2))
		order := make([]fleet.NodeID, nodes)
		selectors := make(map[fleet.NodeID]*Selector)
		refused := make(map[fleet.NodeID]bool)
		provenAt := make(map[fleet.NodeID]time.Duration)
		for number := range order {
			node := fleet.NodeID(fmt.Sprint("n", number))
			order[number] = node
			selectors[node] = newSelector(node, seed*nodes+uint64(number))
			refused[node] = random.IntN(100) < 40
		}
		refused[order[0]] = true
		for now := time.Duration(0); now < 12*time.Second; now += 200 * time.Millisecond {
			for _, node := range order {
				selector := selectors[node]
				selector.SetRole(now, node == order[0], order)
				if selector.ShouldReadStore(now) && !refused[node] {
					provenAt[node] = now
				}
				if from, found := selector.Source(); found && selector.ShouldAskPeer(now) {
					selectors[from].ObserveWatch(now)
					at, proven := provenAt[from]
					selector.ObserveAnswer(now, from, now-at, proven)
					if proven {
						provenAt[node] = max(provenAt[node], at-200*time.Millisecond)
					}
				}
			}
			if now < 6*time.Second {
				continue
			}
			for _, node := range order[1:] {
				at, proven := provenAt[node]
				require.True(t, proven && now-at < 4*time.Second, "seed %d: %s at %s", seed, node, now)
			}
		}
		reading := 0
		for _, node := range order {
			if selectors[node].ShouldReadStore(12 * time.Second) {
				reading++
			}
		}
		assert.LessOrEqual(t, reading, 2*DefaultMaxSources, "seed %d", seed)
	}
}

// TestAwaitRoleStopsReading guards against a restarted node that reads a large state before its role is
// confirmed, or never reads if no peer answers.
func TestAwaitRoleStopsReading(t *testing.T) {
	selector := newStarted("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"a"})
	assert.True(t, selector.ShouldReadStore(0))
	selector.AwaitRole()
	assert.False(t, selector.ShouldReadStore(DefaultPeerTimeout))
	selector.ConfirmRole(2 * time.Second)
	assert.True(t, selector.ShouldAskPeer(2*time.Second))
	assert.False(t, selector.ShouldReadStore(2*time.Second+DefaultPeerTimeout-1))
	assert.True(t, selector.ShouldReadStore(2*time.Second+DefaultPeerTimeout), "no peer answers")
	selector.SetRole(2*time.Second, true, []fleet.NodeID{"a"})
	assert.True(t, selector.ShouldReadStore(2*time.Second))
}

// TestNodeStaysWithSourceThatHasNoProofYet guards against nodes that leave a source which has just
// begun to read, when the roles of all nodes are confirmed at once.
func TestNodeStaysWithSourceThatHasNoProofYet(t *testing.T) {
	selector := New(0, Options{Self: "n", Random: rand.New(rand.NewPCG(1, 1)), AwaitRole: true})
	selector.SetRole(0, false, []fleet.NodeID{"a", "b"})
	selector.ConfirmRole(2 * time.Second)
	soon := 2*time.Second + DefaultProofGracePeriod - 1
	assert.False(t, selector.ObserveAnswer(soon, "a", 0, false))
	assert.Equal(t, fleet.NodeID("a"), source(t, selector))
	assert.True(t, selector.ObserveFailure(soon, "a"), "a source that does not answer is left")
	assert.Equal(t, fleet.NodeID("b"), source(t, selector))
	assert.True(t, selector.ObserveAnswer(soon+1, "b", 0, false))
	assert.Equal(t, fleet.NodeID("a"), source(t, selector))

	selector = New(0, Options{Self: "n", Random: rand.New(rand.NewPCG(1, 1)), AwaitRole: true})
	selector.SetRole(0, false, []fleet.NodeID{"a", "b"})
	selector.ConfirmRole(2 * time.Second)
	assert.False(t, selector.ObserveAnswer(soon-1, "a", 0, true))
	assert.True(t, selector.ObserveAnswer(soon, "a", 0, false), "the source had a proof before")
}

// TestBriefReadDoesNotNeedFullState guards against nodes that read the full state although their peers
// are only slow, and against watched or isolated nodes that don't read it.
func TestBriefReadDoesNotNeedFullState(t *testing.T) {
	selector := New(0, Options{Self: "self", Random: rand.New(rand.NewPCG(1, 1))})
	selector.ConfirmRole(0)
	selector.SetRole(0, false, []fleet.NodeID{"a", "b"})
	selector.MarkSynced()
	selector.ObserveAnswer(time.Second, "a", 0, true)
	now := time.Second + DefaultPeerTimeout
	assert.True(t, selector.ShouldReadStore(now))
	assert.False(t, selector.NeedsFullState(now))
	selector.ObserveWatch(now)
	assert.True(t, selector.NeedsFullState(now))
	now += DefaultWatchLinger
	assert.False(t, selector.NeedsFullState(now))
	assert.True(t, selector.NeedsFullState(time.Second+DefaultIsolatedAfter))
}
