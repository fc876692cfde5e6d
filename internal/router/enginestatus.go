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
	// statusFresh is the age up to which an engine's status is used for rollout.
	statusFresh = 5 * time.Second
	// askedStatusAge is the age up to which an engine isn't asked again, whether
	// it answered or not.
	askedStatusAge = 2 * time.Second
	// parallelStatusCalls bounds the calls to engines at a time.
	parallelStatusCalls = 32
)

// heardStatus is an engine's last word about itself.
type heardStatus struct {
	status engine.Status
	at     time.Duration
}

// statusBoard keeps the last status of each engine. It is safe for concurrent use.
type statusBoard struct {
	clock fleet.Clock
	// asking lets one caller at a time ask engines, so that none mistakes a
	// question under way for an engine that doesn't answer.
	asking sync.Mutex

	mutex    sync.Mutex
	statuses map[fleet.EngineID]heardStatus
	asked    map[fleet.EngineID]time.Duration
}

func newStatusBoard(clock fleet.Clock) *statusBoard {
	return &statusBoard{
		clock:    clock,
		statuses: make(map[fleet.EngineID]heardStatus),
		asked:    make(map[fleet.EngineID]time.Duration),
	}
}

func (b *statusBoard) note(status engine.Status) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known := b.statuses[status.Engine]; status.Incarnation < known.status.Incarnation {
		return
	}
	b.statuses[status.Engine] = heardStatus{status: status, at: b.clock.Now()}
}

func (b *statusBoard) forget(id fleet.EngineID) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.statuses, id)
	delete(b.asked, id)
}

// shouldAsk tells whether an engine is to be asked now, and notes that it is.
func (b *statusBoard) shouldAsk(id fleet.EngineID) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	heard, known := b.statuses[id]
	asked, everAsked := b.asked[id]
	if known && now-heard.at <= askedStatusAge || everAsked && now-asked <= askedStatusAge {
		return false
	}
	b.asked[id] = now
	return true
}

// find returns a status that isn't older than an age.
func (b *statusBoard) find(id fleet.EngineID, age time.Duration) (engine.Status, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	heard, found := b.statuses[id]
	return heard.status, found && b.clock.Now()-heard.at <= age
}

// lastRun returns the run that an engine last named; 0 if it was never heard.
func (b *statusBoard) lastRun(id fleet.EngineID) fleet.Incarnation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.statuses[id].status.Incarnation
}

// allStatuses returns the listed engines with a fresh status, by identifier.
// Those that no watcher of this router has heard lately are asked now.
func (f *engineFleet) allStatuses(ctx context.Context) []rollout.Engine {
	listed := f.listedEngines()
	f.board.asking.Lock()
	f.askSilent(ctx, listed)
	f.board.asking.Unlock()
	var engines []rollout.Engine
	for _, machine := range listed {
		if status, fresh := f.board.find(fleet.EngineID(machine.ID), statusFresh); fresh {
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

func (f *engineFleet) askSilent(ctx context.Context, listed []platform.Machine) {
	queue := make(chan platform.Machine)
	var workers sync.WaitGroup
	for range min(len(listed), parallelStatusCalls) {
		workers.Go(func() {
			for machine := range queue {
				f.askStatus(ctx, machine)
			}
		})
	}
	for _, machine := range listed {
		if f.board.shouldAsk(fleet.EngineID(machine.ID)) {
			queue <- machine
		}
	}
	close(queue)
	workers.Wait()
}

func (f *engineFleet) askStatus(ctx context.Context, machine platform.Machine) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client := engine.New(machine.Address, engine.Options{})
	defer client.CloseIdle()
	status, err := client.Status(ctx)
	if err == nil && string(status.Engine) == machine.ID {
		f.board.note(status)
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
