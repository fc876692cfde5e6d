package router

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/rollout"
)

const (
	// maxStatusAge is the maximum age of an engine status used for rollouts.
	maxStatusAge = 5 * time.Second
	// minRepollInterval is the time after a response or a poll during which an engine isn't polled
	// again.
	minRepollInterval = 2 * time.Second
	// maxParallelStatusCalls limits concurrent status calls to engines.
	maxParallelStatusCalls = 32
)

// timedStatus is an engine status with the time of its receipt.
type timedStatus struct {
	status     engine.Status
	observedAt time.Duration
}

// statusCache holds the last status of each engine. It is safe for concurrent use.
type statusCache struct {
	clock fleet.Clock
	// pollMutex serializes polls, so that no caller mistakes an engine with a poll in flight for
	// one that doesn't answer.
	pollMutex sync.Mutex

	mutex    sync.Mutex
	statuses map[fleet.EngineID]timedStatus
	polledAt map[fleet.EngineID]time.Duration
}

func newStatusCache(clock fleet.Clock) *statusCache {
	return &statusCache{
		clock:    clock,
		statuses: make(map[fleet.EngineID]timedStatus),
		polledAt: make(map[fleet.EngineID]time.Duration),
	}
}

func (c *statusCache) record(status engine.Status) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known := c.statuses[status.Engine]; status.Incarnation < known.status.Incarnation {
		return
	}
	c.statuses[status.Engine] = timedStatus{status: status, observedAt: c.clock.Now()}
}

func (c *statusCache) remove(id fleet.EngineID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.statuses, id)
	delete(c.polledAt, id)
}

// claimPoll reports whether an engine is due for a poll, and if so records the poll.
func (c *statusCache) claimPoll(id fleet.EngineID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.clock.Now()
	cached, known := c.statuses[id]
	polled, everPolled := c.polledAt[id]
	if known && now-cached.observedAt <= minRepollInterval || everPolled && now-polled <= minRepollInterval {
		return false
	}
	c.polledAt[id] = now
	return true
}

// lookup returns an engine's status if it is not older than maxAge.
func (c *statusCache) lookup(id fleet.EngineID, maxAge time.Duration) (engine.Status, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cached, found := c.statuses[id]
	return cached.status, found && c.clock.Now()-cached.observedAt <= maxAge
}

// lastIncarnation returns the incarnation in an engine's last status, or 0 if there is none.
func (c *statusCache) lastIncarnation(id fleet.EngineID) fleet.Incarnation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.statuses[id].status.Incarnation
}

// freshStatuses returns the listed engines that have a fresh status, sorted by identifier. It polls
// engines without a recent one.
func (f *engineFleet) freshStatuses(ctx context.Context) []rollout.Engine {
	listed := f.listedEngines()
	f.statuses.pollMutex.Lock()
	f.pollStaleStatuses(ctx, listed)
	f.statuses.pollMutex.Unlock()
	var engines []rollout.Engine
	for _, machine := range listed {
		if status, fresh := f.statuses.lookup(fleet.EngineID(machine.ID), maxStatusAge); fresh {
			engines = append(engines, rollout.Engine{Pool: machine.Pool, Status: status})
		}
	}
	return engines
}

// listedEngines returns the listed engines sorted by identifier.
func (f *engineFleet) listedEngines() []platform.Machine {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	listed := slices.Collect(maps.Values(f.machines))
	slices.SortFunc(listed, func(a, b platform.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return listed
}

func (f *engineFleet) pollStaleStatuses(ctx context.Context, listed []platform.Machine) {
	queue := make(chan platform.Machine)
	var workers sync.WaitGroup
	for range min(len(listed), maxParallelStatusCalls) {
		workers.Go(func() {
			for machine := range queue {
				f.pollStatus(ctx, machine)
			}
		})
	}
	for _, machine := range listed {
		if f.statuses.claimPoll(fleet.EngineID(machine.ID)) {
			queue <- machine
		}
	}
	close(queue)
	workers.Wait()
}

func (f *engineFleet) pollStatus(ctx context.Context, machine platform.Machine) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client := engine.NewClient(machine.Address, engine.Options{})
	defer client.CloseIdle()
	status, err := client.Status(ctx)
	if err == nil && string(status.Engine) == machine.ID {
		f.statuses.record(status)
	}
}

// client returns a client for a listed engine. If found, the caller must call release after use.
func (f *engineFleet) client(id fleet.EngineID) (client *engine.Client, release func(), found bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if watcher := f.watchers[id]; watcher != nil {
		return watcher.client, func() {}, true
	}
	machine, found := f.machines[id]
	if !found {
		return nil, nil, false
	}
	client = engine.NewClient(machine.Address, engine.Options{})
	return client, client.CloseIdle, true
}
