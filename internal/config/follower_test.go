package config

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// TestSimultaneousRestartsKeepToFleetCallLimit guards against bursts of platform calls over the
// fleet's limit when all nodes restart together, with the platform available and unavailable.
func TestSimultaneousRestartsKeepToFleetCallLimit(t *testing.T) {
	const (
		nodes   = 680
		span    = 120 * time.Second
		tick    = 10 * time.Millisecond
		ceiling = 1.2 * DefaultFleetCallsPerSecond
	)
	for _, platformUp := range []bool{true, false} {
		var followers []*Follower
		for node := range nodes {
			followers = append(followers, NewFollower(FollowerOptions{}, seeded(uint64(node)), 0, nodes))
		}
		calls := make([]int, span/(10*time.Second))
		for now := time.Duration(0); now < span; now += tick {
			for _, follower := range followers {
				switch follower.Next(now).Source {
				case SourcePeer:
					follower.PeerDone(now)
				case SourcePlatform:
					calls[now/(10*time.Second)]++
					follower.PlatformDone(now, platformUp)
				}
			}
		}
		for window, count := range calls {
			assert.LessOrEqual(t, float64(count)/10, ceiling, "up=%v window %d", platformUp, window)
		}
		assert.Positive(t, calls[len(calls)-1], "the platform is still polled")
	}
}

// TestNodesThatDiscoverFleetSizeKeepToFleetCallLimit guards against bursts of platform calls while
// restarted nodes know only three of their peers.
func TestNodesThatDiscoverFleetSizeKeepToFleetCallLimit(t *testing.T) {
	const (
		nodes     = 680
		span      = 60 * time.Second
		tick      = 10 * time.Millisecond
		learnedAt = 50 * time.Millisecond
	)
	var followers []*Follower
	for node := range nodes {
		follower := NewFollower(FollowerOptions{}, seeded(uint64(node)), 0, 4)
		follower.SetLocalRevision(1)
		followers = append(followers, follower)
	}
	calls := make([]int, span/time.Second)
	for now := time.Duration(0); now < span; now += tick {
		for _, follower := range followers {
			if now >= learnedAt {
				follower.SetNodeCount(now, nodes)
			}
			if follower.Next(now).Source == SourcePlatform {
				calls[now/time.Second]++
				follower.PlatformDone(now, true)
			}
		}
	}
	t.Logf("busiest second: %d calls", slices.Max(calls))
	assert.Less(t, slices.Max(calls), 70, "calls before the fleet size was known plus the limit with its jitter")
	assert.InEpsilon(t, DefaultFleetCallsPerSecond*len(calls), total(calls), 0.3)
}

func total(counts []int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

func TestNodeCountDoesNotShortenFailureBackoff(t *testing.T) {
	follower := NewFollower(FollowerOptions{}, seeded(1), 0, 1)
	follower.SetLocalRevision(1)
	follower.PlatformDone(0, false)
	until := follower.Next(0).Until
	follower.SetNodeCount(0, 680)
	assert.Equal(t, until, follower.Next(0).Until)
}

func TestSingleNodePollsPlatformImmediately(t *testing.T) {
	follower := NewFollower(FollowerOptions{}, seeded(1), 0, 1)
	require.Equal(t, SourcePeer, follower.Next(0).Source)
	follower.PeerDone(0)
	assert.Equal(t, SourcePlatform, follower.Next(0).Source)
}

func TestObservedRevisionTriggersPeerRequest(t *testing.T) {
	follower := NewFollower(FollowerOptions{}, seeded(1), 0, 680)
	follower.SetLocalRevision(5)
	follower.ObserveRevision(0, 4)
	require.Equal(t, SourceNone, follower.Next(0).Source, "a lower revision does not trigger a request")
	follower.ObserveRevision(0, 6)
	require.Equal(t, SourcePeer, follower.Next(0).Source)
	follower.PeerDone(0)
	first := follower.Next(0)
	require.Equal(t, SourceNone, first.Source)
	assert.LessOrEqual(t, first.Until, 3*DefaultPeerRetry/2)
	follower.ObserveRevision(0, 7)
	assert.Equal(t, SourcePeer, follower.Next(0).Source, "a newer revision is requested immediately")
	follower.SetLocalRevision(7)
	assert.Equal(t, SourceNone, follower.Next(time.Millisecond).Source)
}

func TestPlatformFailuresBackOff(t *testing.T) {
	follower := NewFollower(FollowerOptions{}, seeded(1), 0, 1)
	follower.SetLocalRevision(1)
	now := time.Duration(0)
	calls := 0
	for now < time.Hour {
		action := follower.Next(now)
		if action.Source == SourcePlatform {
			calls++
			follower.PlatformDone(now, false)
			continue
		}
		require.Greater(t, action.Until, now)
		now = action.Until
	}
	assert.Less(t, calls, 100)
	follower.PlatformDone(now, true)
	assert.LessOrEqual(t, follower.Next(now).Until-now, 3*DefaultPollInterval/2)
}

// fakePeers offers its document, unless the document's revision is 0.
type fakePeers struct {
	document Document
	asked    chan struct{}
}

func (f *fakePeers) Count() int { return 1000 }

func (f *fakePeers) Fetch(_ context.Context, holder *Holder) error {
	select {
	case f.asked <- struct{}{}:
	default:
	}
	if f.document.Revision == 0 {
		return errors.New("no peer has a configuration")
	}
	_, err := holder.OfferSnapshot(f.document)
	return err
}

func waitFor(t *testing.T, event <-chan struct{}) {
	select {
	case <-event:
	case <-time.After(30 * time.Second):
		t.Fatal("timed out waiting for the event")
	}
}

func testFollowerOptions() PlatformFollowerOptions {
	return PlatformFollowerOptions{Timeout: time.Second, Clock: fleet.NewClock(), Random: seeded(1), Logger: zerolog.Nop()}
}

func TestPlatformFollowerUpdatesFromPeersWhilePlatformIsDown(t *testing.T) {
	tables := newFakeTables()
	tables.nextFault = func() fault { return faultUnavailable }
	holder := NewHolder()
	updated := holder.Updated()
	peers := &fakePeers{document: validDocument(7), asked: make(chan struct{}, 1)}
	follower := StartPlatformFollower(newTestStore(tables, StoreOptions{}), holder, peers, testFollowerOptions())
	waitFor(t, updated)
	assert.Equal(t, fleet.Revision(7), holder.Revision())
	waitFor(t, peers.asked)
	follower.ObserveRevision(7)
	follower.ObserveRevision(8)
	waitFor(t, peers.asked)
	require.NoError(t, follower.Stop())
}

func TestPlatformFollowerUpdatesFromPlatform(t *testing.T) {
	store := newTestStore(newFakeTables(), StoreOptions{})
	commitAll(t, store, 3)
	holder := NewHolder()
	updated := holder.Updated()
	options := testFollowerOptions()
	options.Follower = FollowerOptions{PollInterval: time.Millisecond, FleetCallsPerSecond: 1e6}
	follower := StartPlatformFollower(store, holder, &fakePeers{asked: make(chan struct{}, 1)}, options)
	waitFor(t, updated)
	require.NoError(t, follower.Stop())
	assert.Equal(t, fleet.Revision(3), holder.Revision())
}
