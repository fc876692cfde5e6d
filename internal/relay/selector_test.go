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

// newStarted returns the selector of a node that knows nothing yet.
func newStarted(self fleet.NodeID, seed uint64) *Selector {
	return New(0, Options{Self: self, Random: rand.New(rand.NewPCG(seed, 1))})
}

// newSelector returns the selector of a node that has known everything once and
// knows its role.
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

func TestReaderReadsAndOthersAskTheFirst(t *testing.T) {
	selector := newSelector("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"n", "a", "b"})
	assert.Equal(t, fleet.NodeID("a"), source(t, selector), "not itself")
	assert.True(t, selector.ShouldAskPeer(0))
	assert.False(t, selector.ShouldReadStore(0))
	selector.SetRole(0, true, []fleet.NodeID{"a"})
	assert.True(t, selector.ShouldReadStore(0))
	assert.True(t, selector.ShouldAskPeer(0), "the store has proven nothing yet")
	selector.ObserveOwnProof(time.Second, 200*time.Millisecond)
	assert.False(t, selector.ShouldAskPeer(2*time.Second))
	assert.True(t, selector.ShouldAskPeer(time.Second-200*time.Millisecond+DefaultStaleAfter), "the store gives no proof any more")
	assert.True(t, selector.ShouldReadStore(time.Minute))
}

// TestNodeThatHasJustStartedReadsUntilItKnowsEverything has all nodes restart at
// once: peers answer, but know nothing, or not everything.
func TestNodeThatHasJustStartedReadsUntilItKnowsEverything(t *testing.T) {
	selector := newStarted("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"a"})
	assert.True(t, selector.ShouldReadStore(0))
	assert.False(t, selector.ShouldAskPeer(0), "many different nodes would be asked, and read")
	assert.True(t, selector.ShouldAskPeer(DefaultStoreGracePeriod), "the store doesn't answer: peers are asked at the same time")
	selector.ObserveStoreCall(true)
	assert.False(t, selector.ShouldAskPeer(DefaultStoreGracePeriod))
	selector.ObserveStoreCall(false)
	assert.True(t, selector.ShouldAskPeer(DefaultStoreGracePeriod))
	selector.ObserveAnswer(time.Millisecond, "a", 0, false)
	assert.True(t, selector.ShouldReadStore(time.Millisecond))
	selector.ObserveAnswer(2*time.Millisecond, "a", 0, true)
	assert.True(t, selector.ShouldReadStore(2*time.Millisecond), "a proof of one table isn't all")
	selector.MarkSynced()
	assert.False(t, selector.ShouldReadStore(2*time.Millisecond))
}

// TestNodeThatKnowsItsRoleLeavesReadingToTheReaders has the store be slow or down
// while all nodes restart: nodes whose peers answer don't all wait at the store.
func TestNodeThatKnowsItsRoleLeavesReadingToTheReaders(t *testing.T) {
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

// TestNodeWaitsForItsRoleAtTheFirstStart has nobody but the readers read.
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

func TestNodeWithoutAnAnswerReads(t *testing.T) {
	selector := newSelector("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"a"})
	assert.False(t, selector.ShouldReadStore(DefaultPeerTimeout-1))
	assert.True(t, selector.ShouldReadStore(DefaultPeerTimeout))
	selector.ObserveAnswer(2*time.Second, "a", time.Second, true)
	assert.False(t, selector.ShouldReadStore(2*time.Second))
	assert.True(t, selector.ShouldReadStore(2*time.Second+DefaultPeerTimeout))
}

func TestSilentOrStaleSourceIsLeftAndFirstTriedAgainLater(t *testing.T) {
	selector := newSelector("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"a", "b", "c"})
	assert.True(t, selector.ObserveFailure(time.Second, "a"))
	assert.False(t, selector.ObserveFailure(time.Second, "a"), "it was left already")
	assert.True(t, selector.ObserveAnswer(time.Second, "b", DefaultStaleAfter, true))
	assert.Equal(t, fleet.NodeID("c"), source(t, selector))
	assert.False(t, selector.ObserveAnswer(2*time.Second, "c", time.Second, true))
	assert.Equal(t, fleet.NodeID("c"), source(t, selector))
	assert.True(t, selector.ObserveAnswer(time.Second+DefaultFailbackAfter, "c", time.Second, true))
	assert.Equal(t, fleet.NodeID("a"), source(t, selector))
}

func TestNewOrderKeepsASourceThatWasJustChosen(t *testing.T) {
	selector := newSelector("n", 1)
	selector.SetRole(0, false, []fleet.NodeID{"a", "b", "c"})
	selector.ObserveFailure(time.Second, "a")
	selector.SetRole(2*time.Second, false, []fleet.NodeID{"a", "d", "b"})
	assert.Equal(t, fleet.NodeID("b"), source(t, selector))
	selector.SetRole(3*time.Second, false, []fleet.NodeID{"a", "d"})
	assert.Equal(t, fleet.NodeID("a"), source(t, selector), "b is gone")
}

func TestNodeThatIsAskedReadsForAWhile(t *testing.T) {
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

// TestStoreOutOfEverybodysReachIsNotStormed counts the nodes that read while
// all peers answer with old proofs.
func TestStoreOutOfEverybodysReachIsNotStormed(t *testing.T) {
	const nodes = 79
	reading := 0
	looks := 0
	for number := range uint64(nodes) {
		selector := newSelector(fleet.NodeID(fmt.Sprint("n", number)), number)
		selector.SetRole(0, false, []fleet.NodeID{"a", "b"})
		for now := time.Second; now < 20*time.Second; now += 100 * time.Millisecond {
			selector.ObserveAnswer(now, source(t, selector), now, true)
			if now < 5*time.Second {
				continue
			}
			looks++
			if selector.ShouldReadStore(now) {
				reading++
			}
		}
	}
	assert.Positive(t, reading, "some try")
	assert.Less(t, float64(reading)/float64(looks), 0.15)
}

// TestTriesDontGrowWithTheFleet counts the nodes that try the store at a time while
// all peers answer with old proofs: as many in a fleet of 680 as in one of 79.
func TestTriesDontGrowWithTheFleet(t *testing.T) {
	trying := func(nodes int) float64 {
		reading, looks := 0, 0
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
			looks = 1950
		}
		return float64(reading) / float64(looks)
	}
	bound := 1.5 * float64(DefaultProbeDuration) / float64(DefaultProbeSpacing)
	for _, nodes := range []int{79, 195, 680} {
		assert.InDelta(t, bound, trying(nodes), bound, "%d nodes", nodes)
	}
}

// TestWatchersMeetAtANodeThatReachesTheStore has a part of the nodes refused by
// the store: the others end with a fresh proof all the same, and few nodes read.
func TestWatchersMeetAtANodeThatReachesTheStore(t *testing.T) {
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

// TestNodeThatIsToldToAwaitItsRoleDoes has a node that has just restarted find that there is
// much to read: it reads by its role, or if nobody tells it.
func TestNodeThatIsToldToAwaitItsRoleDoes(t *testing.T) {
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

// TestNodeStaysWithAReaderThatHasJustBegun has all nodes learn their roles at once: the first
// source has no proof yet.
func TestNodeStaysWithAReaderThatHasJustBegun(t *testing.T) {
	selector := New(0, Options{Self: "n", Random: rand.New(rand.NewPCG(1, 1)), AwaitRole: true})
	selector.SetRole(0, false, []fleet.NodeID{"a", "b"})
	selector.ConfirmRole(2 * time.Second)
	soon := 2*time.Second + DefaultProofGracePeriod - 1
	assert.False(t, selector.ObserveAnswer(soon, "a", 0, false))
	assert.Equal(t, fleet.NodeID("a"), source(t, selector))
	assert.True(t, selector.ObserveFailure(soon, "a"), "no answer is another thing")
	assert.Equal(t, fleet.NodeID("b"), source(t, selector))
	assert.True(t, selector.ObserveAnswer(soon+1, "b", 0, false))
	assert.Equal(t, fleet.NodeID("a"), source(t, selector))

	selector = New(0, Options{Self: "n", Random: rand.New(rand.NewPCG(1, 1)), AwaitRole: true})
	selector.SetRole(0, false, []fleet.NodeID{"a", "b"})
	selector.ConfirmRole(2 * time.Second)
	assert.False(t, selector.ObserveAnswer(soon-1, "a", 0, true))
	assert.True(t, selector.ObserveAnswer(soon, "a", 0, false), "it has had a proof before")
}

// TestNodeThatReadsForAMomentDoesNotNeedAll: its peers are slow, or answer with old proofs; one
// that others ask, or that nobody answers for long, does.
func TestNodeThatReadsForAMomentDoesNotNeedAll(t *testing.T) {
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
