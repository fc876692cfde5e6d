package router

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/fleetsync"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/settings"
)

// countingMachines counts the reads of the platform's list and can simulate an outage.
type countingMachines struct {
	platform.Machines
	reads atomic.Int64

	// mutex is read-locked during a read, so that no earlier read continues after setDown returns.
	mutex sync.RWMutex
	down  bool
}

func (c *countingMachines) ListMachines(ctx context.Context) ([]platform.Machine, error) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	c.reads.Add(1)
	if c.down {
		return nil, errors.New("platform is down")
	}
	return c.Machines.ListMachines(ctx)
}

func (c *countingMachines) setDown(down bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.down = down
}

// startRoutersCountingReads starts routers of one region that join through the first.
func startRoutersCountingReads(t *testing.T, f *testFleet, count int) (routers []*Router, lists []*countingMachines) {
	var seeds []fleet.Address
	for number := range count {
		options := DefaultSettings()
		options.Node = settings.Node{ID: fmt.Sprintf("r%d", number), Zone: "z", Region: "west", Address: anyPort}
		options.Platform.Address = f.platform.Address()
		options.Platform.Timeout = settings.Duration(500 * time.Millisecond)
		options.MachineInterval = settings.Duration(20 * time.Millisecond)
		options.Peers = seeds
		client := platform.NewClient(platform.ClientOptions{Address: f.platform.Address()})
		list := &countingMachines{Machines: client}
		r := New(Options{Settings: options, Logger: zerolog.Nop(), Tables: client, Objects: client, Machines: list})
		require.NoError(t, r.Start())
		t.Cleanup(func() { _ = r.Stop() })
		seeds = []fleet.Address{r.Address()}
		routers, lists = append(routers, r), append(lists, list)
	}
	awaitRoutable(t, count, routers...)
	return routers, lists
}

// isReader reports whether a router is a designated reader of the list.
func isReader(r *Router) bool {
	for _, reader := range fleetsync.Readers("west", r.peers.View().Routable()) {
		if reader.Node == r.node {
			return true
		}
	}
	return false
}

func awaitListed(t *testing.T, ids []string, routers ...*Router) {
	t.Helper()
	for _, r := range routers {
		require.Eventually(t, func() bool {
			listed := r.machines.current()
			if len(listed) != len(ids) {
				return false
			}
			for index, id := range ids {
				if listed[index].ID != id {
					return false
				}
			}
			return true
		}, waitTimeout, pollInterval, "%s", r.node)
	}
}

// awaitReads waits for a number of further reads.
func awaitReads(t *testing.T, by *countingMachines, more int64) {
	until := by.reads.Load() + more
	require.Eventually(t, func() bool { return by.reads.Load() >= until }, waitTimeout, pollInterval)
}

func TestFewRoutersReadTheListOfMachines(t *testing.T) {
	f := newTestFleet(t, 0)
	f.platform.SetMachines([]platform.Machine{machine("a", 1, platform.MachineLive)})
	routers, lists := startRoutersCountingReads(t, f, 6)
	awaitListed(t, []string{"a"}, routers...)
	var readers, followers []int
	for number, r := range routers {
		if isReader(r) {
			readers = append(readers, number)
			continue
		}
		followers = append(followers, number)
	}
	require.Len(t, readers, 3)
	awaitReads(t, lists[readers[0]], 10)
	before := make(map[int]int64)
	for _, number := range followers {
		before[number] = lists[number].reads.Load()
	}
	router := platform.Machine{ID: "b", Kind: platform.MachineRouter, Address: "127.0.0.1:1", Incarnation: 1, State: platform.MachineLive}
	f.platform.SetMachines([]platform.Machine{machine("a", 1, platform.MachineLeaving), router, machine("c", 1, platform.MachineLive)})
	awaitListed(t, []string{"a", "b", "c"}, routers...)
	awaitReads(t, lists[readers[0]], 10)
	for _, number := range followers {
		r := routers[number]
		assert.Equal(t, before[number], lists[number].reads.Load(), "follower %s read the platform's list", r.node)
		assert.Equal(t, []fleet.Address{"127.0.0.1:1"}, r.listedRouters(), "followers must know listed routers as seeds")
		assert.Equal(t, platform.MachineLeaving, r.machines.current()[0].State)
	}

	require.NoError(t, routers[readers[0]].server.Close())
	require.NoError(t, routers[readers[0]].peers.Stop(), "stop without announcement")
	f.platform.SetMachines([]platform.Machine{machine("d", 1, platform.MachineLive)})
	for number, r := range routers {
		if number != readers[0] {
			awaitListed(t, []string{"d"}, r)
		}
	}
}

// TestPlatformOutageKeepsLastMachineList guards against losing machines while no router can read
// the list.
func TestPlatformOutageKeepsLastMachineList(t *testing.T) {
	f := newTestFleet(t, 0)
	f.platform.SetMachines([]platform.Machine{machine("a", 1, platform.MachineLive)})
	routers, lists := startRoutersCountingReads(t, f, 5)
	awaitListed(t, []string{"a"}, routers...)
	for _, list := range lists {
		list.setDown(true)
	}
	f.platform.SetMachines([]platform.Machine{machine("b", 1, platform.MachineLive)})
	for _, list := range lists {
		awaitReads(t, list, 1)
	}
	awaitListed(t, []string{"a"}, routers...)
	for _, list := range lists {
		list.setDown(false)
	}
	awaitListed(t, []string{"b"}, routers...)
}

func TestReaderWithoutPlatformFollowsAnotherReader(t *testing.T) {
	f := newTestFleet(t, 0)
	f.platform.SetMachines([]platform.Machine{machine("a", 1, platform.MachineLive)})
	routers, lists := startRoutersCountingReads(t, f, 2)
	awaitListed(t, []string{"a"}, routers...)
	lists[0].setDown(true)
	f.platform.SetMachines([]platform.Machine{machine("b", 1, platform.MachineLive)})
	awaitListed(t, []string{"b"}, routers...)
	lists[1].setDown(true)
	f.platform.SetMachines(nil)
	awaitReads(t, lists[1], 2)
	awaitListed(t, []string{"b"}, routers...)
}

func TestRouterWithStaleReadIsNotFollowed(t *testing.T) {
	f := newTestFleet(t, 0)
	routers, lists := startRoutersCountingReads(t, f, 1)
	r := routers[0]
	require.Eventually(t, r.machineFollower.isCurrent, waitTimeout, pollInterval)
	response := &rpc.ChangesResponse{}
	r.machineFollower.fillFollowerResponse(&rpc.ChangesRequest{MachinesFollowed: true}, response)
	assert.True(t, response.GetMachinesCurrent())
	lists[0].setDown(true)
	require.Eventually(t, func() bool { return !r.machineFollower.isCurrent() }, waitTimeout, pollInterval)
	response = &rpc.ChangesResponse{}
	r.machineFollower.fillFollowerResponse(&rpc.ChangesRequest{MachinesFollowed: true}, response)
	assert.False(t, response.GetMachinesCurrent())
}

// TestStaleListFromNewReaderKeepsEngines guards against losing engines when the new reader lags
// behind the previous one.
func TestStaleListFromNewReaderKeepsEngines(t *testing.T) {
	list := newMachineList()
	newer := []platform.Machine{machine("a", 2, platform.MachineLeaving), machine("b", 1, platform.MachineLive)}
	list.setFromReader(encodeMachines(newer), false)
	older := encodeMachines([]platform.Machine{machine("a", 2, platform.MachineLive)})
	list.setFromReader(older, true)
	assert.Equal(t, newer, list.current(), "engines known from the previous reader must be kept")
	list.setFromReader(older, false)
	assert.Equal(t, newer[:1], list.current(), "the leaving state must be kept after confirmation")
}

// TestRestartedRouterFetchesMachineListFromPeer guards against a router that waits for its next
// read although a peer has the list.
func TestRestartedRouterFetchesMachineListFromPeer(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	first := f.startReadyRouter("r1")
	second := f.startReadyRouter("r2", joinThrough(first), withoutPlatform, func(options *Settings) {
		options.MachineInterval = settings.Duration(time.Hour)
	})
	assert.NotNil(t, place(t, second, "q").GetGrant())
}
