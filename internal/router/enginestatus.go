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
	// maxStatusAge is the age up to which an engine's status is used for rollout.
	maxStatusAge = 5 * time.Second
	// minRepollInterval is the age up to which an engine isn't asked again, whether
	// it answered or not.
	minRepollInterval = 2 * time.Second
	// maxParallelStatusCalls bounds the calls to engines at a time.
	maxParallelStatusCalls = 32
)

// timedStatus is an engine's last word about itself.
type timedStatus struct {
	status     engine.Status
	observedAt time.Duration
}

// statusCache keeps the last status of each engine. It is safe for concurrent use.
type statusCache struct {
	clock fleet.Clock
	// pollMutex lets one caller at a time ask engines, so that none mistakes a
	// question under way for an engine that doesn't answer.
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

func (b *statusCache) record(status engine.Status) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known := b.statuses[status.Engine]; status.Incarnation < known.status.Incarnation {
		return
	}
	b.statuses[status.Engine] = timedStatus{status: status, observedAt: b.clock.Now()}
}

func (b *statusCache) remove(id fleet.EngineID) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.statuses, id)
	delete(b.polledAt, id)
}

// claimPoll tells whether an engine is to be asked now, and notes that it is.
func (b *statusCache) claimPoll(id fleet.EngineID) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	heard, known := b.statuses[id]
	asked, everAsked := b.polledAt[id]
	if known && now-heard.observedAt <= minRepollInterval || everAsked && now-asked <= minRepollInterval {
		return false
	}
	b.polledAt[id] = now
	return true
}

// lookup returns a status that isn't older than an age.
func (b *statusCache) lookup(id fleet.EngineID, age time.Duration) (engine.Status, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	heard, found := b.statuses[id]
	return heard.status, found && b.clock.Now()-heard.observedAt <= age
}

// lastIncarnation returns the run that an engine last named; 0 if it was never heard.
func (b *statusCache) lastIncarnation(id fleet.EngineID) fleet.Incarnation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.statuses[id].status.Incarnation
}

// freshStatuses returns the listed engines with a fresh status, by identifier.
// Those that no watcher of this router has heard lately are asked now.
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

// listedEngines returns the listed engines by identifier.
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
	client := engine.New(machine.Address, engine.Options{})
	defer client.CloseIdle()
	status, err := client.Status(ctx)
	if err == nil && string(status.Engine) == machine.ID {
		f.statuses.record(status)
	}
}

// client returns a client of a listed engine, to be released after use.
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
	client = engine.New(machine.Address, engine.Options{})
	return client, client.CloseIdle, true
}
